#ifndef LIMPETROAD_VM_LIST_H
#define LIMPETROAD_VM_LIST_H

#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup vm_list VM list
 *  The platform's lagging list of VMs: routers, model engines and plain services.
 *
 *  limpet_vm_list_client_http_new() → fetch → delete. A client belongs to one thread.
 */

/** What runs on a VM. */
typedef enum
{
  LIMPET_VM_ROUTER = 0,
  LIMPET_VM_ENGINE,
  LIMPET_VM_SERVICE,
  LIMPET_VM_KIND_COUNT
} LimpetVmKind;

/** Name of each LimpetVmKind. */
extern const char *const limpet_vm_kind_string[LIMPET_VM_KIND_COUNT];

/** One entry of the list. */
typedef struct
{
  char id[LIMPET_NAME_SIZE];
  LimpetVmKind kind;
  char address[LIMPET_NAME_SIZE];
  int64_t port; /**< callers' port of a target, peers' port of a router */
  char zone[LIMPET_NAME_SIZE];
  char group[LIMPET_NAME_SIZE]; /**< model of an engine, name of a plain service */
  int64_t incarnation;          /**< grows with each start of the VM */
  int64_t slots;                /**< requests that an engine runs at the same time */
  bool leaving;
} LimpetVm;

/** The list; release it with limpet_vm_list_clear(). */
typedef struct
{
  LimpetVm *vms;
  uint32_t count;
} LimpetVmList;

typedef struct LimpetVmListClient LimpetVmListClient;

/** Behaviour of a VM list client. */
typedef struct
{
  /** Fetches the list. UNCHANGED: it has not changed since the last fetch, and list is
   * empty. An entry that cannot be read refuses the whole answer. */
  LimpetStatus (*fetch) (LimpetVmListClient *client,
                         LimpetVmList *list,
                         LimpetError *error);
  void (*free) (LimpetVmListClient *client);
} LimpetVmListClientOps;

struct LimpetVmListClient
{
  const LimpetVmListClientOps *ops;
};

/** Returns a client that speaks the HTTP protocol of docs/PROTOCOLS.md. */
LimpetVmListClient *limpet_vm_list_client_http_new (const char *url);

/** Frees what a fetch returned. */
void limpet_vm_list_clear (LimpetVmList *list);

#endif
