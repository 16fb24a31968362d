#ifndef LIMPETROAD_PRIVATE_BRITTLE_TARGETS_H
#define LIMPETROAD_PRIVATE_BRITTLE_TARGETS_H

#include "limpetroad/targets.h"

/* Bounds the calls at targets that fall over when they turn too many calls away.
 *
 * All targets of a service count as brittle when one of them says so, until it says no
 * longer: one that has just started has said nothing yet. The slots of a brittle target
 * are divided among the routers, without messages between them, by the ranks of the
 * routers in an order that is drawn for each target (rendezvous hashing). Where there are
 * fewer slots than routers, the slots go round.
 *
 * Monotonic times, except for wall_ms, which only drives the rotation. Used by the
 * dispatcher's thread only. */
typedef struct LimpetBrittleTargets LimpetBrittleTargets;

LimpetBrittleTargets *limpet_brittle_targets_new (LimpetMs now_ms);
void limpet_brittle_targets_delete (LimpetBrittleTargets *brittle);

/* Sets the addresses of the known routers, this one first. A router that is no longer
 * among them counts for some seconds more, as do assumed ones after the start: the slots
 * of one that still sends must not be given to others. */
void limpet_brittle_targets_set_routers (LimpetBrittleTargets *brittle,
                                         const uint32_t *addresses,
                                         uint32_t count,
                                         LimpetMs now_ms);

/* Records a response of the target to this router, which named the refusals per second
 * that it bears, or NULL if it named none. Returns whether
 * limpet_brittle_targets_update() has to be called. */
bool limpet_brittle_targets_record_response (LimpetBrittleTargets *brittle,
                                             LimpetTarget *target,
                                             const double *max_refusals_per_s,
                                             LimpetMs now_ms);
/* Records that a target of a service, given by LimpetTarget.group_hash, named such a
 * number to another router at at_ms. Returns the same. */
bool limpet_brittle_targets_record_peer (LimpetBrittleTargets *brittle,
                                         uint32_t group_hash,
                                         double max_refusals_per_s,
                                         LimpetMs at_ms);

/* Updates is_brittle, max_refusals_per_s and slot_share of the targets. */
void limpet_brittle_targets_update (LimpetBrittleTargets *brittle,
                                    const LimpetTargetView *view,
                                    LimpetMs now_ms,
                                    LimpetMs wall_ms);

/* Returns for how long a brittle target that has turned a call of this router away gets
 * no further ones. */
LimpetMs limpet_brittle_targets_rest_ms (const LimpetBrittleTargets *brittle,
                                         const LimpetTarget *target);

#endif
