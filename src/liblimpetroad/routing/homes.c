#include "private/policy_helpers.h"

#include "limpetroad/outlier.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Calls go to another target when the load of their home reaches this multiple of the
 * mean load plus this fraction of the home's slots (trials in docs/MEASURES.md). */
#define HOME_LIMIT_MEAN_FACTOR 1.6
#define HOME_LIMIT_SLOTS_FRACTION 0.25
/* While the mean load is below the slots, the calls of a home wait there, beyond its
 * slots, only up to this fraction of the slots for each multiple of the mean call's
 * tokens that another target would have to read again. */
#define WAIT_SLOTS_FRACTION 0.5
/* Under more load than that, homes differ from the mean by this factor at least. */
#define FULL_MEAN_FACTOR 1.15
/* The users require that the load of a target stays within load_limit times the mean load
 * plus three requests. The policy plans with this fraction of load_limit, and with this
 * many requests instead of three. The rest is a margin for requests that other routers
 * have started but that no report shows yet. */
#define PLANNED_LOAD_LIMIT_FRACTION 0.9
#define PLANNED_LOAD_LIMIT_SLACK 2.0
/* An engine may hold as many calls, running and queued, as it has slots, or this multiple
 * of the mean load if that is more (trials in docs/MEASURES.md). */
#define CAPACITY_MEAN_FACTOR 1.4
/* An engine may never hold more calls than this multiple of its slots. A queued call then
 * waits for at most about the duration of one call (trials in docs/MEASURES.md). */
#define MAX_CAPACITY_SLOTS_FACTOR 2.0
/* At this age, about three times the duration of a call, a load report is hardly a better
 * estimate of a target's load than the mean load is. */
#define OLD_REPORT_MS 1000.0
/* A context gets one more home per this many calls per second. At peak load on the users'
 * largest site, an engine serves 24 calls per second with its 12 slots and gets 14 of
 * other contexts; the value is half of the difference. */
#define CALLS_PER_HOME_PER_S 5
#define MAX_HOMES 16
/* Fraction of the slots of a plain service's target that one router fills before it
 * queues calls. */
#define SERVICE_SLOTS_FRACTION 1.0
/* One of PROBE_INTERVAL_CALLS calls goes to a target with a rate limit that no router has
 * heard of for MAX_LIMIT_SILENCE_MS, if there is one: a target with few contexts may get
 * no other call whose response shows that the limit has ended. */
#define PROBE_INTERVAL_CALLS 50
#define MAX_LIMIT_SILENCE_MS 2000

/* Returns the load that the target would have if the requests of its group, plus
 * extra_requests, were spread evenly over all slots. */
static double
mean_load (const LimpetGroupLoad *load,
           const LimpetTarget *target,
           int64_t extra_requests)
{
  return (double)(load->inflight + extra_requests) * (double)target->vm.slots
         / (double)load->slots;
}

/* Returns a limit between lower_limit and limit, drawn from the call's seed. With a fixed
 * limit, all routers that get the same load report would start or stop sending to the
 * target at the same moment. */
static double
randomized_limit (const LimpetPolicyRequest *request,
                  const LimpetTarget *target,
                  double limit,
                  double lower_limit)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, target->id_hash);

  return limit - (double)(draw % 1024) / 1024 * MAX (0, limit - lower_limit);
}

/* Returns the fraction of the target's load that is known only from reports; 0 if this
 * router sent all of it. */
static double
reported_load_fraction (const LimpetTarget *target)
{
  int32_t inflight = limpet_target_inflight (target);

  return inflight > 0 ? (double)atomic_load (&target->peers_inflight) / (double)inflight
                      : 0;
}

/* Returns the number of calls that an engine may hold, running and queued. With the
 * number of slots as a fixed limit, all routers under full load would send their queued
 * calls to the few engines whose last reports show a free slot. The capacity therefore
 * grows with the mean load, so that calls queue at their homes. The growth is scaled by
 * the fraction of the load that other routers sent. This router knows the number of its
 * own requests exactly; when these fill the slots, it keeps further calls in its own
 * queue, which is ordered by priority. */
static double
engine_capacity (const LimpetPolicyRequest *request,
                 const LimpetTarget *target,
                 const LimpetGroupLoad *load)
{
  double slots = (double)target->vm.slots;
  double capacity = CLAMP (CAPACITY_MEAN_FACTOR * mean_load (load, target, 0), slots,
                           MAX_CAPACITY_SLOTS_FACTOR * slots);

  capacity = slots + reported_load_fraction (target) * (capacity - slots);
  return randomized_limit (request, target, capacity, slots);
}

static bool
is_within_slot_share (const LimpetTarget *target)
{
  return !target->has_slot_share
         || atomic_load (&target->own_inflight) < target->slot_share;
}

static bool
has_capacity (const LimpetPolicyRequest *request,
              const LimpetTarget *target,
              const LimpetGroupLoad *load)
{
  if (target->vm.kind == LIMPET_VM_ENGINE && target->rate_limit.is_set
      && limpet_target_inflight (target) >= target->rate_limit.max_inflight)
    return false;
  if (target->has_slot_share)
    return is_within_slot_share (target);
  if (target->vm.kind == LIMPET_VM_ENGINE)
    return limpet_target_inflight (target) < engine_capacity (request, target, load);
  return atomic_load (&target->own_inflight)
         < SERVICE_SLOTS_FRACTION * (double)target->vm.slots;
}

/* Returns the load up to which it is cheaper for the call to wait at its home than to
 * have its prompt read again elsewhere. */
static double
waiting_limit (const LimpetPolicyRequest *request, double slots, double mean)
{
  if (request->reread_ratio <= 0)
    return G_MAXDOUBLE;
  return MAX (slots * (1 + WAIT_SLOTS_FRACTION * request->reread_ratio),
              FULL_MEAN_FACTOR * mean + 1);
}

/* Returns a limit drawn from a range below it. The older the last report is, and the
 * larger the fraction of the load that is known only from reports, the closer the lower
 * end of the range is to the mean load. */
static double
uncertain_limit (const LimpetPolicyRequest *request,
                 const LimpetTarget *target,
                 double limit,
                 double mean,
                 LimpetMs now_ms)
{
  double age = CLAMP ((double)(now_ms - target->report.at_ms) / OLD_REPORT_MS, 0, 1);
  double uncertainty = age * reported_load_fraction (target);

  return randomized_limit (request, target, limit,
                           limit - uncertainty * MAX (0, limit - mean));
}

/* Returns whether the target gets the calls whose home it is, by the load that it is
 * believed to have. */
static bool
is_below_home_limit (const LimpetPolicyRequest *request,
                     const LimpetTarget *target,
                     const LimpetGroupLoad *load,
                     LimpetMs now_ms)
{
  double slots = (double)target->vm.slots;
  double mean = mean_load (load, target, 1);
  double limit = MIN (HOME_LIMIT_MEAN_FACTOR * mean + HOME_LIMIT_SLOTS_FRACTION * slots,
                      waiting_limit (request, slots, mean));

  return limpet_target_inflight (target)
         < uncertain_limit (request, target, limit, mean, now_ms);
}

/* Returns whether the target stays within the users' load limit, which refers to the
 * whole group; load is the part of it that takes calls. What was reported counts in full
 * here, however old it is. */
static bool
is_below_load_limit (const LimpetPolicyRequest *request,
                     const LimpetTarget *target,
                     const LimpetGroupLoad *load,
                     const LimpetGroupLoad *whole,
                     LimpetMs now_ms)
{
  double limit
      = PLANNED_LOAD_LIMIT_FRACTION * request->load_limit * mean_load (whole, target, 1)
        + PLANNED_LOAD_LIMIT_SLACK;
  int32_t inflight = MAX (limpet_target_inflight (target),
                          target->reported_peers + atomic_load (&target->own_inflight));

  return inflight
         < uncertain_limit (request, target, limit, mean_load (load, target, 1), now_ms);
}

/* Returns the load by which choose_lowest_load() compares targets: requests per slot with
 * one more request, divided by the target's weight. A number drawn from the call's seed
 * breaks ties. */
static double
relative_load (const LimpetPolicyRequest *request,
               const LimpetTarget *target,
               LimpetMs now_ms)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, ~target->id_hash);
  double load = ((double)limpet_target_inflight (target) + 1) / (double)target->vm.slots;

  if (target->vm.kind == LIMPET_VM_ENGINE && target->rate_limit.is_set)
    load /= target->rate_limit.weight;
  return load * LIMPET_WEIGHT_FULL / limpet_target_weight (target, now_ms)
         + (double)(draw % 1024) / (1024.0 * 1024.0);
}

/* Returns whether the target is in the sample of targets from which the call's is chosen.
 * If all routers chose the least loaded of all engines, they would overrun the one whose
 * last report shows the least load. */
static bool
is_sampled (const LimpetPolicyRequest *request, const LimpetTarget *target)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, target->route_hash);

  return request->sample_interval <= 1 || draw % request->sample_interval == 0;
}

/* Chooses the target with the lowest relative load, of a sample if there is one in it:
 * for a call of a plain service, and for a call of a model if no engine is below its home
 * limit and not slow. */
static LimpetTarget *
choose_lowest_load (const LimpetPolicyRequest *request,
                    const LimpetTargetView *view,
                    const LimpetGroupLoad *load,
                    LimpetMs now_ms)
{
  LimpetTarget *best = NULL;
  double best_load = 0;
  bool is_best_sampled = false;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      bool sampled = is_sampled (request, target);
      double relative;

      if (!limpet_policy_is_eligible (request, target, now_ms)
          || !has_capacity (request, target, load))
        continue;
      relative = relative_load (request, target, now_ms);
      if (best == NULL || (sampled && !is_best_sampled)
          || (sampled == is_best_sampled && relative < best_load))
        {
          best = target;
          best_load = relative;
          is_best_sampled = sampled;
        }
    }
  return best;
}

/* The targets with the highest scores for a key, in descending order. */
typedef struct
{
  LimpetTarget *targets[MAX_HOMES];
  double scores[MAX_HOMES];
  uint32_t count;
} Candidates;

static void
add_candidate (Candidates *best, LimpetTarget *target, double score)
{
  uint32_t rank = best->count;

  if (rank < MAX_HOMES)
    best->count++;
  else if (score > best->scores[rank - 1])
    rank--;
  else
    return;
  for (; rank > 0 && best->scores[rank - 1] < score; rank--)
    {
      best->scores[rank] = best->scores[rank - 1];
      best->targets[rank] = best->targets[rank - 1];
    }
  best->scores[rank] = score;
  best->targets[rank] = target;
}

/* Returns the number of candidates among which the calls of the context are spread. */
static uint32_t
count_homes (const LimpetPolicyRequest *request, const Candidates *best)
{
  uint32_t homes = 1 + (uint32_t)(request->key_rate_per_s / CALLS_PER_HOME_PER_S);

  return MIN (homes, best->count);
}

static bool
is_unlimited (const LimpetPolicyRequest *request,
              const LimpetTarget *target,
              LimpetMs now_ms)
{
  return !target->rate_limit.is_set
         && limpet_policy_is_eligible (request, target, now_ms);
}

/* Sums the load of the targets without a rate limit, or of all if each has one. Those
 * with a limit hold few requests, and the mean load would be too low for the others,
 * which take over their work. */
static LimpetGroupLoad
sum_load (const LimpetPolicyRequest *request,
          const LimpetTargetView *view,
          LimpetMs now_ms)
{
  LimpetGroupLoad load = limpet_policy_sum_load (request, view, is_unlimited, now_ms);

  if (load.slots == 0)
    load = limpet_policy_sum_load (request, view, limpet_policy_is_eligible, now_ms);
  return load;
}

/* Returns whether the target takes few calls or none for a reason that the users' load
 * limit does not know of, though it counts its slots. */
static bool
is_left_out (const LimpetPolicyRequest *request,
             const LimpetTarget *target,
             LimpetMs now_ms)
{
  return target->vm.kind == request->kind
         && strcmp (target->vm.group, request->group) == 0
         && !atomic_load (&target->leaving)
         && (atomic_load (&target->is_emptied)
             || now_ms < atomic_load (&target->cold_next_send_ms));
}

/* Adds the targets in emptied zones and the cold ones to the load of the others. */
static LimpetGroupLoad
sum_whole_load (const LimpetPolicyRequest *request,
                const LimpetTargetView *view,
                const LimpetGroupLoad *load,
                LimpetMs now_ms)
{
  LimpetGroupLoad left_out = limpet_policy_sum_load (request, view, is_left_out, now_ms);

  return (LimpetGroupLoad){ .inflight = load->inflight + left_out.inflight,
                            .slots = load->slots + left_out.slots };
}

/* Returns the target whose rate limit was confirmed longest ago, if that is too long ago
 * and the call is one that probes. */
static LimpetTarget *
choose_probed (const LimpetPolicyRequest *request,
               const LimpetTargetView *view,
               LimpetMs now_ms)
{
  uint64_t draw = XXH64 (&request->seed, sizeof request->seed, 1);
  LimpetTarget *oldest = NULL;

  if (draw % PROBE_INTERVAL_CALLS != 0)
    return NULL;
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (target->rate_limit.is_set
          && now_ms - target->rate_limit.at_ms > MAX_LIMIT_SILENCE_MS
          && limpet_policy_is_eligible (request, target, now_ms)
          && is_within_slot_share (target)
          && (oldest == NULL || target->rate_limit.at_ms < oldest->rate_limit.at_ms))
        oldest = target;
    }
  return oldest;
}

/* Session affinity by rendezvous hashing with bounded loads. The home of a context is the
 * target with the highest score for it. Its calls go there unless the load of the home is
 * far above the mean. Popularity differs widely between contexts. A popular context has
 * several homes even before its first home is full: with only one, all routers would
 * overload one target after the other before the first report of its load reached them.
 */
LimpetTarget *
limpet_policy_choose_home (const LimpetPolicy *policy,
                           const LimpetPolicyRequest *request,
                           const LimpetTargetView *view,
                           LimpetMs now_ms)
{
  LimpetPolicyRequest any_version = *request;
  LimpetGroupLoad load;
  LimpetGroupLoad whole;
  Candidates best = { .count = 0 };
  LimpetTarget *probed;

  (void)policy;
  any_version.software_hash = 0; /* the load limit refers to the whole group */
  load = sum_load (&any_version, view, now_ms);
  if (request->kind != LIMPET_VM_ENGINE)
    return choose_lowest_load (request, view, &load, now_ms);
  whole = sum_whole_load (&any_version, view, &load, now_ms);
  probed = choose_probed (request, view, now_ms);
  if (probed != NULL)
    return probed;
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (limpet_policy_is_eligible (request, target, now_ms)
          && has_capacity (request, target, &load)
          && is_below_home_limit (request, target, &load, now_ms)
          && is_below_load_limit (request, target, &load, &whole, now_ms)
          && !limpet_outlier_is_slow (target))
        add_candidate (&best, target,
                       limpet_policy_rendezvous_score (target, request->key_hash));
    }
  if (best.count == 0)
    return choose_lowest_load (request, view, &load, now_ms);
  return best.targets[XXH64 (&request->seed, sizeof request->seed, 0)
                      % count_homes (request, &best)];
}
