#include "limpetroad/policy.h"

#include "private/policy_helpers.h"

#include <glib.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Percentage of the load bound's excess over the mean load that one router uses. The rest
 * is a margin for requests that the digests of other routers do not show yet, and for
 * requests that end on other targets, which lowers the mean. */
#define PLANNED_EXCESS_PERCENT 45
/* A load of at least this fraction of planned_limit() is near the bound. */
#define NEAR_BOUND_FRACTION 0.9

double
limpet_policy_rendezvous_score (const LimpetTarget *target, uint64_t key_hash)
{
  uint64_t hash = XXH64 (&key_hash, sizeof key_hash, target->route_hash);
  double uniform = ((double)(hash >> 11) + 0.5) / (double)(UINT64_C (1) << 53);
  double weight = target->rate_limit.is_set ? target->rate_limit.weight : 1;

  return -(double)target->vm.slots * weight / log (uniform);
}

static bool
is_excluded (const LimpetPolicyRequest *request, const LimpetTarget *target)
{
  for (uint32_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == target)
      return true;
  return false;
}

/* Returns whether the target belongs to the request's group and accepts new requests. A
 * target in backoff accepts them only if ignore_backoff is set. */
static bool
is_member (const LimpetPolicyRequest *request,
           const LimpetTarget *target,
           LimpetMs now_ms)
{
  return target->vm.kind == request->kind
         && strcmp (target->vm.group, request->group) == 0
         && (request->software_hash == 0
             || request->software_hash == target->software_hash)
         && (request->ignore_backoff ? limpet_target_is_usable (target)
                                           && !limpet_target_is_resting (target, now_ms)
                                     : limpet_target_is_open (target, now_ms));
}

/* Returns whether a slot is free in this router's part of an engine's slots. The part is
 * at least one slot, and is rounded up on some engines and down on others, differently in
 * each router, so that the parts of all routers add up to about all slots without
 * messages between routers. */
static bool
has_own_capacity (const LimpetPolicyRequest *request, const LimpetTarget *target)
{
  uint64_t draw = XXH64 (&request->slot_rounding_salt, sizeof request->slot_rounding_salt,
                         target->id_hash);
  double part = (double)(target->vm.slots * request->usable_slots_percent) / 100
                * request->own_slot_share;
  int32_t limit = (int32_t)(part + (double)(draw % 1024) / 1024);

  return request->own_slot_share >= 1
         || atomic_load (&target->own_inflight) < MAX (1, limit);
}

/* Returns whether the target has a slot that the request may use. Plain services always
 * have one. */
static bool
has_capacity (const LimpetPolicyRequest *request, const LimpetTarget *target)
{
  int64_t long_slots
      = MAX (1, target->vm.slots * request->fleet->long_share_percent / 100);

  if (target->vm.kind != LIMPET_VM_ENGINE)
    return true;
  if (limpet_target_inflight (target) * 100
      >= target->vm.slots * request->usable_slots_percent)
    return false;
  if (!has_own_capacity (request, target))
    return false;
  return !request->is_long || limpet_target_long_inflight (target) < long_slots;
}

bool
limpet_policy_is_eligible (const LimpetPolicyRequest *request,
                           const LimpetTarget *target,
                           LimpetMs now_ms)
{
  return is_member (request, target, now_ms) && !limpet_target_is_paced (target, now_ms)
         && !is_excluded (request, target);
}

static bool
is_candidate (const LimpetPolicyRequest *request,
              const LimpetTarget *target,
              LimpetMs now_ms)
{
  return limpet_policy_is_eligible (request, target, now_ms)
         && has_capacity (request, target);
}

/* Returns whether the target's weight admits the request. A target with a reduced weight
 * gets only that fraction of the requests, selected by a hash of the request's seed. */
static bool
passes_weight (const LimpetPolicyRequest *request,
               const LimpetTarget *target,
               LimpetMs now_ms)
{
  int32_t weight = limpet_target_weight (target, now_ms);
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, target->id_hash);

  return weight >= LIMPET_WEIGHT_FULL || (int32_t)(draw % LIMPET_WEIGHT_FULL) < weight;
}

LimpetGroupLoad
limpet_policy_sum_load (const LimpetPolicyRequest *request,
                        const LimpetTargetView *view,
                        LimpetTargetPredicate is_counted,
                        LimpetMs now_ms)
{
  LimpetGroupLoad load = { .inflight = 0 };

  for (uint32_t i = 0; i < view->count; i++)
    if (is_counted (request, view->targets[i], now_ms))
      {
        load.inflight += limpet_target_inflight (view->targets[i]);
        load.slots += view->targets[i]->vm.slots;
      }
  return load;
}

/* Returns the limit on the requests in flight of a target: one with more gets no further
 * request. */
static double
planned_limit (const LimpetPolicyRequest *request,
               const LimpetTarget *target,
               const LimpetGroupLoad *load)
{
  double planned = 1
                   + (double)(request->fleet->load_bound_percent - 100)
                         * PLANNED_EXCESS_PERCENT / 10000.0;

  return planned * (double)(load->inflight + 1) * (double)target->vm.slots
         / (double)load->slots;
}

/* Returns whether the target may get the request under consistent hashing with bounded
 * loads (Mirrokni, Thorup, Zadimoghaddam 2018), here with the order of rendezvous scores
 * instead of a ring. */
static bool
is_within_bound (const LimpetPolicyRequest *request,
                 const LimpetTarget *target,
                 const LimpetGroupLoad *load,
                 LimpetMs now_ms)
{
  return has_capacity (request, target)
         && limpet_target_inflight (target)
                <= (int64_t)planned_limit (request, target, load)
         && passes_weight (request, target, now_ms);
}

bool
limpet_policy_is_near_bound (const LimpetPolicyRequest *request,
                             const LimpetTargetView *view,
                             const LimpetTarget *target,
                             LimpetMs now_ms)
{
  LimpetGroupLoad load = limpet_policy_sum_load (request, view, is_member, now_ms);

  return load.slots > 0
         && limpet_target_inflight (target)
                >= NEAR_BOUND_FRACTION * planned_limit (request, target, &load);
}

/* A candidate with its random rank, derived from the request's seed. */
typedef struct
{
  LimpetTarget *target;
  uint64_t draw;
} DrawnTarget;

/* Returns the requests per slot with one more request, divided by the target's weight. */
static double
relative_load (const LimpetTarget *target, LimpetMs now_ms)
{
  return ((double)limpet_target_inflight (target) + 1) / (double)target->vm.slots
         * LIMPET_WEIGHT_FULL / limpet_target_weight (target, now_ms);
}

/* Returns the less loaded of two candidates drawn from the seed (power of two choices;
 * Mitzenmacher 2001). If the least loaded of all targets were chosen, all routers would
 * send to the one that was last reported idle. */
static LimpetTarget *
choose_less_loaded_of_two (const LimpetPolicyRequest *request,
                           const LimpetTargetView *view,
                           LimpetMs now_ms)
{
  DrawnTarget first = { .target = NULL };
  DrawnTarget second = { .target = NULL };

  for (uint32_t i = 0; i < view->count; i++)
    {
      DrawnTarget drawn = { .target = view->targets[i] };

      if (!is_candidate (request, drawn.target, now_ms))
        continue;
      drawn.draw = XXH64 (&request->seed, sizeof request->seed, ~drawn.target->id_hash);
      if (first.target == NULL || drawn.draw > first.draw)
        {
          second = first;
          first = drawn;
        }
      else if (second.target == NULL || drawn.draw > second.draw)
        second = drawn;
    }
  if (second.target == NULL
      || relative_load (first.target, now_ms) <= relative_load (second.target, now_ms))
    return first.target;
  return second.target;
}

/* Returns the target with the highest score for the key. If load is not NULL, only
 * targets within the load bound are considered. */
static LimpetTarget *
choose_highest_score (const LimpetPolicyRequest *request,
                      const LimpetTargetView *view,
                      const LimpetGroupLoad *load,
                      LimpetMs now_ms)
{
  LimpetTarget *best = NULL;
  double best_score = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      double score;

      if (!limpet_policy_is_eligible (request, target, now_ms)
          || (load != NULL && !is_within_bound (request, target, load, now_ms)))
        continue;
      score = limpet_policy_rendezvous_score (target, request->key_hash);
      if (best == NULL || score > best_score)
        {
          best = target;
          best_score = score;
        }
    }
  return best;
}

/* Chooses the target with the highest score within the load bound. If there is none, the
 * choice ignores the bound and the affinity key. */
static LimpetTarget *
choose_bounded (const LimpetPolicy *policy,
                const LimpetPolicyRequest *request,
                const LimpetTargetView *view,
                LimpetMs now_ms)
{
  LimpetGroupLoad load = limpet_policy_sum_load (request, view, is_member, now_ms);
  LimpetTarget *best = choose_highest_score (request, view, &load, now_ms);

  (void)policy;
  return best != NULL ? best : choose_less_loaded_of_two (request, view, now_ms);
}

static LimpetTarget *
choose_rendezvous (const LimpetPolicy *policy,
                   const LimpetPolicyRequest *request,
                   const LimpetTargetView *view,
                   LimpetMs now_ms)
{
  (void)policy;
  return choose_highest_score (request, view, NULL, now_ms);
}

/* Chooses the target with the lowest load in its last report. Targets without a report
 * come first. */
static LimpetTarget *
choose_least_loaded (const LimpetPolicy *policy,
                     const LimpetPolicyRequest *request,
                     const LimpetTargetView *view,
                     LimpetMs now_ms)
{
  LimpetTarget *best = NULL;

  (void)policy;
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (!limpet_policy_is_eligible (request, target, now_ms))
        continue;
      if (best == NULL
          || atomic_load (&target->reported_inflight)
                 < atomic_load (&best->reported_inflight))
        best = target;
    }
  return best;
}

/* Chooses any eligible target with equal probability (reservoir sampling). */
static LimpetTarget *
choose_random (const LimpetPolicy *policy,
               const LimpetPolicyRequest *request,
               const LimpetTargetView *view,
               LimpetMs now_ms)
{
  LimpetTarget *chosen = NULL;
  uint64_t seen = 0;

  (void)policy;
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (!limpet_policy_is_eligible (request, target, now_ms))
        continue;
      seen++;
      if (XXH64 (&seen, sizeof seen, request->seed) % seen == 0)
        chosen = target;
    }
  return chosen;
}

static const LimpetPolicyOps policy_ops[] = {
  { .name = "bounded", .choose = choose_bounded },
  { .name = "rendezvous", .choose = choose_rendezvous },
  { .name = "least_loaded", .choose = choose_least_loaded },
  { .name = "random", .choose = choose_random },
  { .name = "homes", .choose = limpet_policy_choose_home },
};

static const LimpetPolicy policies[G_N_ELEMENTS (policy_ops)] = {
  { .ops = &policy_ops[0] }, { .ops = &policy_ops[1] }, { .ops = &policy_ops[2] },
  { .ops = &policy_ops[3] }, { .ops = &policy_ops[4] },
};

const LimpetPolicy *
limpet_policy_by_name (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (policies); i++)
    if (strcmp (policies[i].ops->name, name) == 0)
      return &policies[i];
  return NULL;
}

static bool
has_member (const LimpetPolicyRequest *request,
            const LimpetTargetView *view,
            LimpetMs now_ms)
{
  for (uint32_t i = 0; i < view->count; i++)
    if (is_member (request, view->targets[i], now_ms))
      return true;
  return false;
}

LimpetTarget *
limpet_policy_choose (const LimpetPolicy *policy,
                      const LimpetPolicyRequest *request,
                      const LimpetTargetView *view,
                      LimpetMs now_ms)
{
  LimpetPolicyRequest final_request = *request;

  final_request.ignore_backoff = !has_member (request, view, now_ms);
  /* cppcheck-suppress returnDanglingLifetime; the target belongs to the view */
  return policy->ops->choose (policy, &final_request, view, now_ms);
}
