#ifndef LIMPETROAD_VM_LIST_H
#define LIMPETROAD_VM_LIST_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup vm_list VM list
 *  The platform's list of VMs: routers, model engines and plain services. It lags behind
 *  the actual state of the VMs.
 *
 *  limpet_vm_list_client_http_new() → ops->fetch() as often as needed → ops->free(). A
 *  client is used by one thread only.
 */

/** What runs on a VM. */
typedef enum
{
  LIMPET_VM_ROUTER = 0,
  LIMPET_VM_ENGINE,
  LIMPET_VM_SERVICE,
  LIMPET_VM_KIND_COUNT
} LimpetVmKind;

/** Name of each LimpetVmKind in the VM list and in state dumps. */
extern const char *const limpet_vm_kind_string[LIMPET_VM_KIND_COUNT];

/** One entry of the list. */
typedef struct
{
  char id[LIMPET_NAME_SIZE];
  LimpetVmKind kind;
  char address[LIMPET_NAME_SIZE];
  int64_t port; /**< a target's port for requests; a router's port for other routers */
  char zone[LIMPET_NAME_SIZE];
  char group[LIMPET_NAME_SIZE]; /**< model of an engine, name of a plain service */
  int64_t incarnation;          /**< increases with each start of the VM */
  char software_version[LIMPET_NAME_SIZE]; /**< of what runs there; empty if unknown */
  int64_t slots; /**< requests that an engine runs concurrently */
  bool leaving;  /**< takes no new requests */
  /** Until when (monotonic) it bears few requests, as it has just started; 0 if it does
   *  not say so. */
  LimpetMs cold_until_ms;
} LimpetVm;

/** Returns whether \p a and \p b have the same address. */
bool limpet_vm_has_same_address (const LimpetVm *a, const LimpetVm *b);
/** Returns whether \p a and \p b differ at most in being about to leave. */
bool limpet_vm_is_same (const LimpetVm *a, const LimpetVm *b);

/** A list of VMs; its memory is freed with limpet_vm_list_clear(). */
typedef struct
{
  LimpetVm *vms;
  uint32_t count;
} LimpetVmList;

typedef struct LimpetVmListClient LimpetVmListClient;

/** Functions of a VM list client. */
typedef struct
{
  /** Fetches the list; blocks for at most LIMPET_CONTROL_TIMEOUT_MS. On LIMPET_STATUS_OK
   *  the caller frees \p list with limpet_vm_list_clear(); with any other status it is
   *  empty. Returns LIMPET_STATUS_UNCHANGED if the list has not changed since the last
   *  successful fetch, and sets \p error on failure. An invalid entry is skipped and
   *  logged. */
  LimpetStatus (*fetch) (LimpetVmListClient *client,
                         LimpetVmList *list,
                         LimpetError *error);
  void (*free) (LimpetVmListClient *client);
} LimpetVmListClientOps;

struct LimpetVmListClient
{
  const LimpetVmListClientOps *ops;
};

/** Returns a client for the HTTP protocol of docs/PROTOCOLS.md. \p url is copied. */
LimpetVmListClient *limpet_vm_list_client_http_new (const char *url);

/** Frees the entries of \p list and empties it. */
void limpet_vm_list_clear (LimpetVmList *list);

#endif
