#ifndef LIMPETROAD_PRIVATE_POLICY_MEMBERS_H
#define LIMPETROAD_PRIVATE_POLICY_MEMBERS_H

#include "limpetroad/policy.h"

/* What the policies ask of targets. */

/* Returns whether the target is in the request's group, open, and not tried yet. Neither
 * room nor bound count. */
bool limpet_policy_is_choosable (const LimpetRouteRequest *request,
                                 const LimpetTarget *target,
                                 LimpetMs now_ms);

/* Sums over some targets of a group. */
typedef struct
{
  int64_t inflight;
  int64_t slots;
} LimpetGroupLoad;

/* Returns whether a target counts for the request. */
typedef bool (*LimpetPolicyTest) (const LimpetRouteRequest *request,
                                  const LimpetTarget *target,
                                  LimpetMs now_ms);

LimpetGroupLoad limpet_policy_sum_load (const LimpetRouteRequest *request,
                                        const LimpetTargetView *view,
                                        LimpetPolicyTest counts,
                                        LimpetMs now_ms);

/* The policy "homes". */
LimpetTarget *limpet_policy_choose_home (const LimpetPolicy *policy,
                                         const LimpetRouteRequest *request,
                                         const LimpetTargetView *view,
                                         LimpetMs now_ms);

#endif
