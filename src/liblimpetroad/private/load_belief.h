#ifndef LIMPETROAD_PRIVATE_LOAD_BELIEF_H
#define LIMPETROAD_PRIVATE_LOAD_BELIEF_H

#include "limpetroad/targets.h"

/* What a router believes of the load of targets, from reports that are a little old
 * (docs/design/even-load.md). Load that it answers: up to 300 routers choose by the same
 * reports at the same moment, and overrun the targets that look idle.
 *
 * limpet_load_belief_record_own() with each send and each end of a call of this router,
 * limpet_load_belief_record_report() with each report, limpet_load_belief_age() every 100
 * ms; limpet_target_inflight() is the result. Belongs to the dispatcher's thread. Times
 * are monotonic. */

/* Records that this router has sent a call to the target (change 1), or that one has
 * ended (-1). */
void limpet_load_belief_record_own (LimpetTarget *target, int change, LimpetMs now_ms);
/* Records a report, received at now_ms, that the target had inflight requests at at_ms.
 * Reports older than the last one are ignored. */
void limpet_load_belief_record_report (LimpetTarget *target,
                                       int32_t inflight,
                                       LimpetMs at_ms,
                                       LimpetMs now_ms);
/* Updates the means of the groups from the targets that have reported lately, and moves
 * the believed load of the others towards the mean. */
void limpet_load_belief_age (const LimpetTargetView *view, LimpetMs now_ms);

#endif
