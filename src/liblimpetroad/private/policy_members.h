#ifndef LIMPETROAD_PRIVATE_POLICY_MEMBERS_H
#define LIMPETROAD_PRIVATE_POLICY_MEMBERS_H

#include "limpetroad/policy.h"

/* What the policies ask of a single target. */

/* Returns whether the target is in the request's group, open, and not tried yet. Neither
 * room nor bound count. */
bool limpet_policy_is_choosable (const LimpetRouteRequest *request,
                                 const LimpetTarget *target,
                                 LimpetMs now_ms);

/* A target with a lowered weight gets that share of its turns. */
bool limpet_policy_gets_turn (const LimpetRouteRequest *request,
                              const LimpetTarget *target,
                              LimpetMs now_ms);

/* The policy "homes". */
LimpetTarget *limpet_policy_choose_home (const LimpetPolicy *policy,
                                         const LimpetRouteRequest *request,
                                         const LimpetTargetView *view,
                                         LimpetMs now_ms);

#endif
