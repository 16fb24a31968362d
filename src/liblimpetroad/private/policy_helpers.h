#ifndef LIMPETROAD_PRIVATE_POLICY_HELPERS_H
#define LIMPETROAD_PRIVATE_POLICY_HELPERS_H

#include "limpetroad/policy.h"

/* Functions that the policies share. */

/* Returns whether the target belongs to the request's group, accepts new requests and has
 * not been tried yet. Free slots and load bounds are not checked. */
bool limpet_policy_is_eligible (const LimpetRouteRequest *request,
                                const LimpetTarget *target,
                                LimpetMs now_ms);

/* Sums over targets of a group. */
typedef struct
{
  int64_t inflight;
  int64_t slots;
} LimpetGroupLoad;

typedef bool (*LimpetTargetPredicate) (const LimpetRouteRequest *request,
                                       const LimpetTarget *target,
                                       LimpetMs now_ms);

/* Sums over the targets for which is_counted returns true. */
LimpetGroupLoad limpet_policy_sum_load (const LimpetRouteRequest *request,
                                        const LimpetTargetView *view,
                                        LimpetTargetPredicate is_counted,
                                        LimpetMs now_ms);

/* The policy "homes", in a file of its own. */
LimpetTarget *limpet_policy_choose_home (const LimpetPolicy *policy,
                                         const LimpetRouteRequest *request,
                                         const LimpetTargetView *view,
                                         LimpetMs now_ms);

#endif
