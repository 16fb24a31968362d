#ifndef LIMPETROAD_SETTINGS_H
#define LIMPETROAD_SETTINGS_H

#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup settings Settings
 *  The configuration that a router reads when it starts: its addresses, its availability
 *  zone, the URLs of the log and of the VM list, and the approvers of bundles.
 *
 *  Order of use: limpet_settings_load(); read the fields; limpet_settings_clear(). A file
 *  is rejected as a whole if any part of it is invalid. The error message names the path
 *  of the field; for an unknown key it suggests the known key with the smallest edit
 *  distance.
 */

#define LIMPET_MAX_APPROVERS 32

/** An address that the process listens on. */
typedef struct
{
  char address[LIMPET_NAME_SIZE];
  int64_t port;
  bool plaintext;             /**< allow plaintext on an address other than loopback */
  char *tls_certificate_file; /**< PEM file with key and certificate, or NULL */
} LimpetListener;

/** A person whose signature approves a bundle. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char public_key[LIMPET_HASH_HEX_SIZE]; /**< Ed25519 public key in hexadecimal */
} LimpetApprover;

/** Settings of one router. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char zone[LIMPET_NAME_SIZE];
  LimpetListener callers;
  LimpetListener operators; /**< health, metrics and the state dump */
  LimpetListener peers;     /**< messages between routers */
  /** file with the ZeroMQ CURVE secret key in Z85, or NULL for plaintext */
  char *peer_key_file;
  /** file with the CURVE public keys that are accepted, in Z85, one per line, or NULL */
  char *peer_public_keys_file;
  char *log_url;
  int64_t log_retention_ms; /**< how long the log keeps records */
  char *vm_list_url;
  bool author_may_approve;     /**< allow authors to approve their own drafts */
  int64_t workers;             /**< maximum of concurrent requests */
  int64_t memory_mb;           /**< of the VM; a quarter is held for others */
  int64_t control_bytes_per_s; /**< rate limit for messages to peers */
  int64_t drain_limit_ms;      /**< time limit of a drain; 0 for none */
  LimpetApprover approvers[LIMPET_MAX_APPROVERS];
  uint32_t approvers_count;
} LimpetSettings;

/** Reads and checks the JSON file at \p path, which may contain comments. Certificate
 *  files and the secret key file must not be accessible to group or others, e.g. mode
 *  600. Returns LIMPET_STATUS_NOT_FOUND if the file cannot be read or one of those files
 *  is missing, and LIMPET_STATUS_INVALID if the content or a mode is wrong; after a
 *  failure, nothing in \p settings has to be freed. */
LimpetStatus
limpet_settings_load (LimpetSettings *settings, const char *path, LimpetError *error);

/** Frees what limpet_settings_load() allocated. */
void limpet_settings_clear (LimpetSettings *settings);

#endif
