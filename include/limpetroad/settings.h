#ifndef LIMPETROAD_SETTINGS_H
#define LIMPETROAD_SETTINGS_H

#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup settings Settings
 *  What a router reads at start: its addresses, its availability zone, the platform.
 *
 *  limpet_settings_load() → read the fields → limpet_settings_clear(). A file is checked
 *  whole: an error names the file and the path of the field, and an unknown key names the
 *  nearest known one.
 */

#define LIMPET_MAX_APPROVERS 32

/** An address that the process listens on. */
typedef struct
{
  char address[LIMPET_NAME_SIZE];
  int64_t port;
  bool plaintext;             /**< plaintext outside loopback was chosen */
  char *tls_certificate_file; /**< PEM with key and certificate, or NULL */
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
  LimpetListener operators;
  LimpetListener peers;
  char *peer_key_file; /**< CURVE secret key in hexadecimal, or NULL for plaintext */
  char *
      peer_public_keys_file; /**< CURVE public keys of the routers, one a line, or NULL */
  char *log_url;
  int64_t log_retention_ms; /**< time for which the log keeps records */
  char *vm_list_url;
  bool author_may_approve;
  int64_t workers;             /**< requests handled at the same time */
  int64_t control_bytes_per_s; /**< limit for messages to peers and probes */
  int64_t drain_limit_ms;      /**< 0: a planned stop waits for every request */
  LimpetApprover approvers[LIMPET_MAX_APPROVERS];
  uint32_t approvers_count;
} LimpetSettings;

/** Reads and checks the file at \p path. On failure \p settings holds nothing to free. */
LimpetStatus
limpet_settings_load (LimpetSettings *settings, const char *path, LimpetError *error);

/** Frees what limpet_settings_load() allocated. */
void limpet_settings_clear (LimpetSettings *settings);

#endif
