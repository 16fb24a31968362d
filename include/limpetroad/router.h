#ifndef LIMPETROAD_ROUTER_H
#define LIMPETROAD_ROUTER_H

#include "limpetroad/settings.h"

#include <stdint.h>

/** \defgroup router Router
 *  A whole router: callers' port, operators' port, filters and controllers.
 *
 *  limpet_router_new() → limpet_router_init() → (runs in threads of its own) →
 *  limpet_router_drain() → limpet_router_finish() → limpet_router_delete().
 */
typedef struct LimpetRouter LimpetRouter;

/** State of a router. */
typedef enum
{
  LIMPET_ROUTER_NEW = 0,
  LIMPET_ROUTER_STARTING, /**< does not know the bundle in force yet */
  LIMPET_ROUTER_READY,
  LIMPET_ROUTER_DRAINING, /**< a planned stop; finishes what it has */
  LIMPET_ROUTER_STOPPED,
  LIMPET_ROUTER_STATE_COUNT
} LimpetRouterState;

/** Name of each LimpetRouterState. */
extern const char *const limpet_router_state_string[LIMPET_ROUTER_STATE_COUNT];

/** Returns a router; \p settings must outlive it. */
LimpetRouter *limpet_router_new (const LimpetSettings *settings);

/** Opens the ports and starts the controllers. */
LimpetStatus limpet_router_init (LimpetRouter *router, LimpetError *error);

/** Reports not ready to the balancer, and leaving to the peers. New requests are still
 *  answered, with the connection closed after each. */
void limpet_router_drain (LimpetRouter *router);

/** Returns the state. */
LimpetRouterState limpet_router_state (LimpetRouter *router);

/** Returns the requests in flight, and the outcomes that the log does not have yet. */
uint32_t limpet_router_inflight (LimpetRouter *router);

/** Closes the ports and stops the controllers. Requests in flight are waited for. */
void limpet_router_finish (LimpetRouter *router);

/** Frees a finished router. */
void limpet_router_delete (LimpetRouter *router);

#endif
