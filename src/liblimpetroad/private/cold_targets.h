#ifndef LIMPETROAD_PRIVATE_COLD_TARGETS_H
#define LIMPETROAD_PRIVATE_COLD_TARGETS_H

#include "limpetroad/cold_bound.h"
#include "limpetroad/route_table.h"
#include "limpetroad/targets.h"

/* Paces what this router sends to cold targets, so that all routers together stay within
 * what these bear (docs/design/cold-targets.md). Load that it answers: targets that start
 * or come back while many routers, each of which sees a fraction of the requests, have
 * calls for them.
 *
 * limpet_cold_targets_new() → limpet_cold_targets_set_*() →
 * limpet_cold_targets_update() every 100 ms and after each change of the targets,
 * limpet_cold_targets_record_send() with each send → limpet_cold_targets_delete().
 * Belongs to one thread. Times are monotonic. */
typedef struct LimpetColdTargets LimpetColdTargets;

LimpetColdTargets *limpet_cold_targets_new (LimpetMs now_ms);
void limpet_cold_targets_delete (LimpetColdTargets *cold);
/* Sets the bound on the requests of all routers together. */
void limpet_cold_targets_set_bound (LimpetColdTargets *cold,
                                    const LimpetColdBound *bound);
/* Sets the services of the configuration in force. */
void limpet_cold_targets_set_services (LimpetColdTargets *cold,
                                       const LimpetRouteTable *table);
/* Sets the number of live routers, this one included. */
void limpet_cold_targets_set_routers (LimpetColdTargets *cold,
                                      uint32_t count,
                                      LimpetMs now_ms);
/* Sets whether this router hears from the others, or there are none. The default is true.
 */
void limpet_cold_targets_set_fleet_known (LimpetColdTargets *cold, bool is_known);
/* Records that the target may just have become cold. Does nothing if targets of its
 * service never are. */
void limpet_cold_targets_mark (const LimpetColdTargets *cold,
                               LimpetTarget *target,
                               LimpetMs now_ms);
/* Sets when this router may next send to each target that is cold or has been lately. */
void limpet_cold_targets_update (LimpetColdTargets *cold,
                                 const LimpetTargetView *view,
                                 LimpetMs now_ms);
void limpet_cold_targets_record_send (LimpetTarget *target, LimpetMs now_ms);

#endif
