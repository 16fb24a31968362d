#ifndef LIMPETROAD_ROUTER_H
#define LIMPETROAD_ROUTER_H

#include "limpetroad/settings.h"

#include <stdint.h>

/** \defgroup router Router
 *  The threaded router: the callers' port, the operators' port, filters and controllers.
 *  Each worker thread processes one request at a time.
 *
 *  limpet_router_new() → limpet_router_init() → (runs in threads of its own) →
 *  limpet_router_drain() → limpet_router_finish() → limpet_router_delete(). After a
 *  failed limpet_router_init(), continue with limpet_router_finish().
 */
typedef struct LimpetRouter LimpetRouter;

/** Phase of the router process. */
typedef enum
{
  LIMPET_ROUTER_NEW = 0,
  LIMPET_ROUTER_STARTING, /**< there is no configuration bundle or no VM list yet */
  LIMPET_ROUTER_READY,
  LIMPET_ROUTER_DRAINING, /**< planned stop: requests in flight are completed */
  LIMPET_ROUTER_STOPPED,
  LIMPET_ROUTER_PHASE_COUNT
} LimpetRouterPhase;

/** Name of each LimpetRouterPhase. */
extern const char *const limpet_router_phase_string[LIMPET_ROUTER_PHASE_COUNT];

/** Returns a router; \p settings must outlive it. */
LimpetRouter *limpet_router_new (const LimpetSettings *settings);

/** Starts the controllers and opens the ports. On failure sets \p error and returns
 *  LIMPET_STATUS_INTERNAL. */
LimpetStatus limpet_router_init (LimpetRouter *router, LimpetError *error);

/** Makes the readiness checks fail, so that the load balancer sends no new requests, and
 *  announces to the peers that this router is leaving. Requests that still arrive are
 *  served; the connection is closed after each response. */
void limpet_router_drain (LimpetRouter *router);

LimpetRouterPhase limpet_router_phase (LimpetRouter *router);

/** Returns the number of requests in flight plus the number of outcomes that are not in
 *  the log yet. */
uint32_t limpet_router_inflight (LimpetRouter *router);

/** Closes the ports, waits for the requests in flight and stops the controllers. */
void limpet_router_finish (LimpetRouter *router);

/** Frees a router after limpet_router_finish(). \p router may be NULL. */
void limpet_router_delete (LimpetRouter *router);

#endif
