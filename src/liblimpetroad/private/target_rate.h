#ifndef LIMPETROAD_PRIVATE_TARGET_RATE_H
#define LIMPETROAD_PRIVATE_TARGET_RATE_H

#include "limpetroad/targets.h"

/* Keeps the requests of all routers to a target within the rate limit that it names.
 *
 * Engines that are homes of contexts get fewer contexts, in proportion to their limit
 * (LimpetTargetRateLimit.weight), so that about as many calls as the limit allows are
 * theirs at all routers together. What exceeds the limit by chance is held back by each
 * router: it leaves a minimum interval between its requests to the target, and no more
 * requests are in flight than the limit explains.
 *
 * limpet_target_rate_set() with each response, limpet_target_rate_set_minimum() and
 * limpet_target_rate_update() after it and regularly, limpet_target_rate_record_send()
 * with each request. While the target must not get a request, limpet_target_is_paced()
 * returns true. Times are monotonic. */

/* Records the limit that the target named, or that it named none (NULL). Returns false if
 * newer information is known. */
bool limpet_target_rate_set (LimpetTarget *target, const double *per_s, LimpetMs at_ms);
/* Sets the least that the target gets although its limit is lower, because of the limits
 * of the other targets of its group. */
void limpet_target_rate_set_minimum (LimpetTarget *target, const LimpetTargetView *view);
/* Sets this router's part of the limit: part_factor divided by the number of routers.
 * Forgets an old limit. */
void limpet_target_rate_update (LimpetTarget *target,
                                uint32_t routers,
                                double part_factor,
                                LimpetMs now_ms);
/* Records that a request is sent, which delays the next one. */
void limpet_target_rate_record_send (LimpetTarget *target, LimpetMs now_ms);

/* Balances the engines of a group by their limits.
 *
 * new → record_release() with each attempt that ends, tick() every 100 ms → delete. */
typedef struct LimpetRateBalancer LimpetRateBalancer;

LimpetRateBalancer *limpet_rate_balancer_new (void);
void limpet_rate_balancer_delete (LimpetRateBalancer *balancer);
void limpet_rate_balancer_record_release (LimpetRateBalancer *balancer,
                                          const LimpetTarget *target);
/* Returns by how much routers may exceed their even parts of the limits of a group's
 * targets: 1 for plain services, and for engines if those without a limit are full. */
double limpet_rate_balancer_part_factor (const LimpetRateBalancer *balancer,
                                         const char *group);
/* Sets the weights of the limited engines, and the most requests that they may hold. */
void limpet_rate_balancer_tick (LimpetRateBalancer *balancer,
                                const LimpetTargetView *view);

#endif
