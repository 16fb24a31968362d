#ifndef LIMPETROAD_PRIVATE_TARGET_RATE_H
#define LIMPETROAD_PRIVATE_TARGET_RATE_H

#include "limpetroad/targets.h"

/* Keeps the requests of all routers to a target within the rate limit that it names. The
 * routers share the limit without messages between them: as many of them as the limit
 * allows, the first in an order that all agree on, send at an equal part of it each.
 *
 * limpet_target_rate_set() with each response, limpet_target_rate_update() after it and
 * regularly, limpet_target_rate_record_send() with each request. While the target must
 * not get a request, limpet_target_is_paced() returns true. Times are monotonic. */

/* Records the limit that the target named, or that it named none (NULL). Returns false if
 * newer information is known. */
bool
limpet_target_rate_set (LimpetTarget *target, const double *per_s, LimpetMs at_ms);
/* Sets this router's part, given the number of routers and the number of those that precede
 * it in the order for this target. Forgets an old limit. */
void limpet_target_rate_update (LimpetTarget *target,
                                uint32_t routers,
                                uint32_t rank,
                                LimpetMs now_ms);
/* Records that a request is sent, which delays the next one. */
void limpet_target_rate_record_send (LimpetTarget *target, LimpetMs now_ms);

#endif
