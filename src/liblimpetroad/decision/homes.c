#include "private/policy_members.h"

#include "limpetroad/pace.h"

#include <glib.h>
#include <xxhash.h>

/* A target may have this many times the mean load, and this part of its slots besides,
 * before calls leave their home (trials in docs/MEASURES.md). */
#define HOME_TIMES_MEAN 1.6
#define HOME_PART_OF_SLOTS 0.25
/* The users' load limit is a multiple of the mean and three requests. This part of the
 * multiple and this slack are planned with; the rest is for starts that are not seen yet.
 */
#define LOAD_LIMIT_PART 0.9
#define LOAD_LIMIT_SLACK 2.0
/* A plain service's slots that one router fills before its calls wait here. */
#define OWN_PART_OF_SERVICE 1.0

/* Sums over the targets that may take the request. */
typedef struct
{
  double inflight;
  double slots;
} HomeLoad;

static HomeLoad
sum_load (const LimpetRouteRequest *request,
          const LimpetTargetView *view,
          LimpetMs now_ms)
{
  HomeLoad load = { .inflight = 0 };

  for (uint32_t i = 0; i < view->count; i++)
    if (limpet_policy_is_choosable (request, view->targets[i], now_ms))
      {
        load.inflight += limpet_target_inflight (view->targets[i]);
        load.slots += (double)view->targets[i]->vm.slots;
      }
  return load;
}

static bool
has_room (const LimpetTarget *target)
{
  if (target->vm.kind == LIMPET_VM_ENGINE)
    return limpet_target_inflight (target) < target->vm.slots;
  return atomic_load (&target->own_inflight)
         < OWN_PART_OF_SERVICE * (double)target->vm.slots;
}

static double
home_limit (const LimpetRouteRequest *request,
            const LimpetTarget *target,
            const HomeLoad *load)
{
  double slots = (double)target->vm.slots;
  double mean = (load->inflight + 1) * slots / load->slots;

  return MIN (HOME_TIMES_MEAN * mean + HOME_PART_OF_SLOTS * slots,
              LOAD_LIMIT_PART * request->load_limit * mean + LOAD_LIMIT_SLACK);
}

/* Load for the choice among targets without a home; equal ones are told apart by a draw.
 */
static double
relative_load (const LimpetRouteRequest *request,
               const LimpetTarget *target,
               LimpetMs now_ms)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, ~target->id_hash);
  double load = ((double)limpet_target_inflight (target) + 1) / (double)target->vm.slots;

  return load * LIMPET_WEIGHT_FULL / limpet_target_weight (target, now_ms)
         + (double)(draw % 1024) / (1024.0 * 1024.0);
}

static LimpetTarget *
choose_least (const LimpetRouteRequest *request,
              const LimpetTargetView *view,
              LimpetMs now_ms)
{
  LimpetTarget *best = NULL;
  double best_load = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      double load;

      if (!limpet_policy_is_choosable (request, target, now_ms) || !has_room (target))
        continue;
      load = relative_load (request, target, now_ms);
      if (best == NULL || load < best_load)
        {
          best = target;
          best_load = load;
        }
    }
  return best;
}

/* Rendezvous hashing with bounded loads: a context returns to its home unless that has
 * much more than the mean load. Load: contexts of very different popularity. */
LimpetTarget *
limpet_policy_choose_home (const LimpetPolicy *policy,
                           const LimpetRouteRequest *request,
                           const LimpetTargetView *view,
                           LimpetMs now_ms)
{
  HomeLoad load = sum_load (request, view, now_ms);
  LimpetTarget *home = NULL;
  double home_score = 0;

  (void)policy;
  if (request->kind != LIMPET_VM_ENGINE)
    return choose_least (request, view, now_ms);
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      double score;

      if (!limpet_policy_is_choosable (request, target, now_ms) || !has_room (target)
          || limpet_target_inflight (target) >= home_limit (request, target, &load)
          || limpet_pace_is_slow (target))
        continue;
      score = limpet_policy_score (target, request->key_hash);
      if (home == NULL || score > home_score)
        {
          home = target;
          home_score = score;
        }
    }
  return home != NULL ? home : choose_least (request, view, now_ms);
}
