#ifndef LIMPETROAD_PRIVATE_POLICY_HELPERS_H
#define LIMPETROAD_PRIVATE_POLICY_HELPERS_H

#include "limpetroad/policy.h"

/* Functions that the policies share. */

/* Returns whether the target belongs to the request's group, accepts new requests, also
 * by its rate limit, and is not excluded. Free slots and load bounds are not checked. */
bool limpet_policy_is_eligible (const LimpetPolicyRequest *request,
                                const LimpetTarget *target,
                                LimpetMs now_ms);

/* Requests in flight and slots, each summed over targets of a group. */
typedef struct
{
  int64_t inflight;
  int64_t slots;
} LimpetGroupLoad;

typedef bool (*LimpetTargetPredicate) (const LimpetPolicyRequest *request,
                                       const LimpetTarget *target,
                                       LimpetMs now_ms);

/* Returns the sums over the targets for which is_counted returns true. */
LimpetGroupLoad limpet_policy_sum_load (const LimpetPolicyRequest *request,
                                        const LimpetTargetView *view,
                                        LimpetTargetPredicate is_counted,
                                        LimpetMs now_ms);

/* Chooses the target of a request by the policy "homes". */
LimpetTarget *limpet_policy_choose_home (const LimpetPolicy *policy,
                                         const LimpetPolicyRequest *request,
                                         const LimpetTargetView *view,
                                         LimpetMs now_ms);

#endif
