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
/* Calls an engine may hold, running and waiting: its slots, and more when the mean load
 * comes near them, up to a wait of one call's time (trials in docs/MEASURES.md). */
#define ROOM_TIMES_MEAN 1.4
#define MOST_ROOM_TIMES_SLOTS 2.0
/* From this age on, about three times as long as a call runs, a report says little more
 * than the mean load does. */
#define OLD_REPORT_MS 1000.0
/* A context has one more home for so many calls a second: half of what an engine of the
 * users' largest site has left at the crest, where it serves 24 calls a second with its
 * 12 slots and gets 14 of other contexts. */
#define CALLS_OF_A_HOME_PER_S 5
#define MOST_HOMES 16
/* A plain service's slots that one router fills before its calls wait here. */
#define OWN_PART_OF_SERVICE 1.0

/* The target's part of the load of all, if that many more requests ran. */
static double
mean_load (const LimpetGroupLoad *load, const LimpetTarget *target, int64_t more)
{
  return (double)(load->inflight + more) * (double)target->vm.slots / (double)load->slots;
}

/* A limit of which each call sees another part of the range down to the lower one: what
 * many routers believe at once does not open or close a target for all calls at once. */
static double
drawn_limit (const LimpetRouteRequest *request,
             const LimpetTarget *target,
             double limit,
             double lower)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, target->id_hash);

  return limit - (double)(draw % 1024) / 1024 * MAX (0, limit - lower);
}

/* Part of a target's load that only reports tell of: 0 where this router sent it all. */
static double
others_part (const LimpetTarget *target)
{
  int32_t inflight = limpet_target_inflight (target);

  return inflight > 0 ? (double)atomic_load (&target->peers_inflight) / (double)inflight
                      : 0;
}

/* When all engines are full, the few that seem to have room would get the waiting calls
 * of all routers. So room grows with the mean load, and calls queue at their homes; but
 * not where this router knows the load, and keeps its own queue in order of urgency. */
static double
engine_room (const LimpetRouteRequest *request,
             const LimpetTarget *target,
             const LimpetGroupLoad *load)
{
  double slots = (double)target->vm.slots;
  double most = CLAMP (ROOM_TIMES_MEAN * mean_load (load, target, 0), slots,
                       MOST_ROOM_TIMES_SLOTS * slots);

  most = slots + others_part (target) * (most - slots);
  return drawn_limit (request, target, most, slots);
}

static bool
has_room (const LimpetRouteRequest *request,
          const LimpetTarget *target,
          const LimpetGroupLoad *load)
{
  if (target->vm.kind == LIMPET_VM_ENGINE)
    return limpet_target_inflight (target) < engine_room (request, target, load);
  return atomic_load (&target->own_inflight)
         < OWN_PART_OF_SERVICE * (double)target->vm.slots;
}

static double
home_limit (const LimpetRouteRequest *request,
            const LimpetTarget *target,
            const LimpetGroupLoad *load,
            LimpetMs now_ms)
{
  double slots = (double)target->vm.slots;
  double mean = mean_load (load, target, 1);
  double limit = MIN (HOME_TIMES_MEAN * mean + HOME_PART_OF_SLOTS * slots,
                      LOAD_LIMIT_PART * request->load_limit * mean + LOAD_LIMIT_SLACK);
  double age = CLAMP ((double)(now_ms - target->report.at_ms) / OLD_REPORT_MS, 0, 1);
  double doubt = age * others_part (target);

  return drawn_limit (request, target, limit, limit - doubt * MAX (0, limit - mean));
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
              const LimpetGroupLoad *load,
              LimpetMs now_ms)
{
  LimpetTarget *best = NULL;
  double best_load = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      double relative;

      if (!limpet_policy_is_choosable (request, target, now_ms)
          || !has_room (request, target, load))
        continue;
      relative = relative_load (request, target, now_ms);
      if (best == NULL || relative < best_load)
        {
          best = target;
          best_load = relative;
        }
    }
  return best;
}

/* The targets of highest scores for a key, the highest first. */
typedef struct
{
  LimpetTarget *targets[MOST_HOMES];
  double scores[MOST_HOMES];
  uint32_t count;
} Candidates;

static void
add_candidate (Candidates *best, LimpetTarget *target, double score)
{
  uint32_t place = best->count;

  if (place < MOST_HOMES)
    best->count++;
  else if (score > best->scores[place - 1])
    place--;
  else
    return;
  for (; place > 0 && best->scores[place - 1] < score; place--)
    {
      best->scores[place] = best->scores[place - 1];
      best->targets[place] = best->targets[place - 1];
    }
  best->scores[place] = score;
  best->targets[place] = target;
}

static uint32_t
count_homes (const LimpetRouteRequest *request, const Candidates *best)
{
  uint32_t homes = 1 + (uint32_t)(request->key_rate_per_s / CALLS_OF_A_HOME_PER_S);

  return MIN (homes, best->count);
}

/* Rendezvous hashing with bounded loads: a context returns to its home unless that has
 * much more than the mean load. Load: contexts of very different popularity. Popular ones
 * have several homes from the start: else all routers would fill one after the other
 * before the first report of its load reaches them. */
LimpetTarget *
limpet_policy_choose_home (const LimpetPolicy *policy,
                           const LimpetRouteRequest *request,
                           const LimpetTargetView *view,
                           LimpetMs now_ms)
{
  LimpetGroupLoad load
      = limpet_policy_sum_load (request, view, limpet_policy_is_choosable, now_ms);
  Candidates best = { .count = 0 };

  (void)policy;
  if (request->kind != LIMPET_VM_ENGINE)
    return choose_least (request, view, &load, now_ms);
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (limpet_policy_is_choosable (request, target, now_ms)
          && has_room (request, target, &load)
          && limpet_target_inflight (target) < home_limit (request, target, &load, now_ms)
          && !limpet_pace_is_slow (target))
        add_candidate (&best, target, limpet_policy_score (target, request->key_hash));
    }
  if (best.count == 0)
    return choose_least (request, view, &load, now_ms);
  return best.targets[XXH64 (&request->seed, sizeof request->seed, 0)
                      % count_homes (request, &best)];
}
