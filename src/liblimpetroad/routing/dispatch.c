#include "limpetroad/dispatch.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "limpetroad/outlier.h"
#include "limpetroad/popularity.h"
#include "limpetroad/retry_budget.h"
#include "private/brittle_targets.h"
#include "private/cold_targets.h"
#include "private/load_belief.h"
#include "private/room.h"
#include "private/target_rate.h"

#include <string.h>

/* Fraction of the fleet's retry limits that the routers use; the rest is a margin for
 * windows in which routers join or leave. */
#define PLANNED_RETRY_FRACTION 0.7
/* Number of routers assumed until limpet_dispatch_set_router_count() is called; more than
 * any present site has, so that the fleet stays within its retry slack. */
#define DEFAULT_ROUTERS 16
/* Load bound of the policy "bounded", in percent of the mean load. The policy is a
 * baseline for comparisons (docs/MEASURES.md). */
#define BOUNDED_LOAD_PERCENT 160
/* Bounds of the Retry-After delay. Callers honour a delay of up to a third of their time
 * limit, so retry_after_ms() also limits it to a third of the time left. */
#define MIN_RETRY_AFTER_MS 150
#define MAX_RETRY_AFTER_MS 4000
/* The same where there is no target, all are in emptied zones, or they get nothing from
 * this router. */
#define CLOSED_RETRY_MS 1000
/* Longest wait for a slot, as a fraction of the route's latency goal. A call that cannot
 * start by then is refused with a Retry-After delay. */
#define MAX_WAIT_GOAL_FRACTION 1.0
/* A target that refused a call because it was full gets no new calls for this time. */
#define FULL_BACKOFF_MS 100
/* Consecutive error responses after which a target is put into backoff. */
#define FAILURES_BEFORE_BACKOFF 4
/* With at least MIN_SAMPLING_ROUTERS, a router chooses the least loaded of
 * SAMPLED_TARGETS engines, not of all: the others have the same reports. */
#define MIN_SAMPLING_ROUTERS 9
#define SAMPLED_TARGETS 4
/* Weight of a new call in the mean of the tokens that may be cached. */
#define SHARED_TOKENS_ALPHA 0.01
/* Of a call without cached tokens; 0 stands for an unknown ratio. */
#define MIN_REREAD_RATIO 0.01
/* The lowest priority that an engine knows. */
#define LOWEST_PRIORITY 9

struct LimpetDispatch
{
  LimpetTargets *targets;
  const LimpetPolicy *policy;
  LimpetFleetPart fleet;
  LimpetRetryLimits limits;
  LimpetPopularity *popularity;
  GHashTable *budgets;       /* service name → LimpetRetryBudget */
  GHashTable *shared_tokens; /* service name → moving average of its calls, a double */
  GQueue waiting;            /* of LimpetDispatchRequest, the most urgent first */
  double load_limit;
  uint32_t routers;
  uint64_t next_order;
  LimpetRateBalancer *balancer;
  LimpetBrittleTargets *brittle;
  LimpetColdTargets *cold;
  LimpetRoom *room;
  bool is_serving; /* serve_queue() is running; callbacks must not enter it again */
};

LimpetDispatch *
limpet_dispatch_new (LimpetTargets *targets)
{
  LimpetDispatch *dispatch = g_new0 (LimpetDispatch, 1);

  dispatch->targets = targets;
  dispatch->policy = limpet_policy_by_name ("homes");
  dispatch->fleet = (LimpetFleetPart){
    .policy = "homes",
    .load_bound_percent = BOUNDED_LOAD_PERCENT,
    .long_share_percent = 100,
  };
  dispatch->routers = DEFAULT_ROUTERS;
  dispatch->load_limit = 2;
  dispatch->popularity = limpet_popularity_new ();
  dispatch->balancer = limpet_rate_balancer_new ();
  dispatch->brittle = limpet_brittle_targets_new (limpet_clock_mono_ms ());
  dispatch->cold = limpet_cold_targets_new (limpet_clock_mono_ms ());
  dispatch->room = limpet_room_new ();
  dispatch->shared_tokens
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  dispatch->budgets = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&dispatch->waiting);
  return dispatch;
}

void
limpet_dispatch_delete (LimpetDispatch *dispatch)
{
  if (dispatch == NULL)
    return;
  limpet_popularity_delete (dispatch->popularity);
  limpet_rate_balancer_delete (dispatch->balancer);
  limpet_brittle_targets_delete (dispatch->brittle);
  limpet_cold_targets_delete (dispatch->cold);
  limpet_room_delete (dispatch->room);
  g_hash_table_destroy (dispatch->budgets);
  g_hash_table_destroy (dispatch->shared_tokens);
  g_free (dispatch);
}

bool
limpet_dispatch_set_policy (LimpetDispatch *dispatch, const char *name)
{
  const LimpetPolicy *policy = limpet_policy_by_name (name);

  if (policy == NULL)
    return false;
  dispatch->policy = policy;
  return true;
}

void
limpet_dispatch_set_retry_limits (LimpetDispatch *dispatch,
                                  const LimpetRetryLimits *limits)
{
  dispatch->limits = *limits;
}

void
limpet_dispatch_set_load_limit (LimpetDispatch *dispatch, double mean_factor)
{
  dispatch->load_limit = mean_factor;
}

void
limpet_dispatch_set_router_count (LimpetDispatch *dispatch, uint32_t count)
{
  dispatch->routers = MAX (1, count);
}

void
limpet_dispatch_set_routers (LimpetDispatch *dispatch,
                             const uint32_t *addresses,
                             uint32_t count)
{
  limpet_dispatch_set_router_count (dispatch, count);
  limpet_brittle_targets_set_routers (dispatch->brittle, addresses, count,
                                      limpet_clock_mono_ms ());
  limpet_cold_targets_set_routers (dispatch->cold, count, limpet_clock_mono_ms ());
}

static void
update_cold (LimpetDispatch *dispatch)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_cold_targets_update (dispatch->cold, view, limpet_clock_mono_ms ());
  limpet_target_view_release (view);
}

void
limpet_dispatch_set_cold_bound (LimpetDispatch *dispatch, const LimpetColdBound *bound)
{
  limpet_cold_targets_set_bound (dispatch->cold, bound);
}

void
limpet_dispatch_set_fleet_known (LimpetDispatch *dispatch, bool is_known)
{
  limpet_cold_targets_set_fleet_known (dispatch->cold, is_known);
}

void
limpet_dispatch_set_table (LimpetDispatch *dispatch, const LimpetRouteTable *table)
{
  limpet_cold_targets_set_services (dispatch->cold, table);
  limpet_room_set_table (dispatch->room, table);
  update_cold (dispatch);
}

void
limpet_dispatch_zone_taken_back (LimpetDispatch *dispatch, const char *zone)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.zone, zone) == 0)
      limpet_cold_targets_mark (dispatch->cold, view->targets[i],
                                limpet_clock_mono_ms ());
  limpet_target_view_release (view);
  update_cold (dispatch);
}

void
limpet_dispatch_record_cold (LimpetDispatch *dispatch,
                             LimpetTarget *target,
                             LimpetMs left_ms,
                             LimpetMs now_ms)
{
  limpet_target_extend_cold (target, now_ms + left_ms);
  update_cold (dispatch);
}

/* Returns the retry budget of the call's service, set to the current limits. */
static LimpetRetryBudget *
get_budget (LimpetDispatch *dispatch, const LimpetCall *call)
{
  LimpetRetryBudget *budget
      = g_hash_table_lookup (dispatch->budgets, call->service->name);

  if (budget == NULL)
    {
      budget = g_new0 (LimpetRetryBudget, 1);
      g_hash_table_insert (dispatch->budgets, g_strdup (call->service->name), budget);
    }
  budget->ratio = dispatch->limits.ratio * PLANNED_RETRY_FRACTION;
  budget->slack
      = (double)dispatch->limits.slack * PLANNED_RETRY_FRACTION / dispatch->routers;
  budget->window_ms = MAX (1, dispatch->limits.window_ms);
  return budget;
}

static void
record_shared_tokens (LimpetDispatch *dispatch, const LimpetCall *call)
{
  double tokens = (double)limpet_call_shared_tokens (call);
  double *mean = g_hash_table_lookup (dispatch->shared_tokens, call->service->name);

  if (mean != NULL)
    *mean += SHARED_TOKENS_ALPHA * (tokens - *mean);
  else
    g_hash_table_insert (dispatch->shared_tokens, g_strdup (call->service->name),
                         g_memdup2 (&tokens, sizeof tokens));
}

/* Returns the tokens that another target than the call's home would have to read again,
 * relative to the mean of the service's calls; 0 if that is not known. */
static double
reread_ratio (const LimpetDispatch *dispatch, const LimpetCall *call)
{
  const double *mean = g_hash_table_lookup (dispatch->shared_tokens, call->service->name);

  if (mean == NULL || *mean <= 0)
    return 0;
  return MAX (MIN_REREAD_RATIO, (double)limpet_call_shared_tokens (call) / *mean);
}

void
limpet_dispatch_record_arrival (LimpetDispatch *dispatch,
                                const LimpetCall *call,
                                LimpetMs now_ms)
{
  limpet_retry_budget_record_request (get_budget (dispatch, call), now_ms);
  limpet_room_record_call (dispatch->room, call, now_ms);
  if (call->service->is_engine)
    record_shared_tokens (dispatch, call);
  if (call->context != 0)
    limpet_popularity_record (dispatch->popularity, call->context, now_ms);
}

bool
limpet_dispatch_try_spend_retry (LimpetDispatch *dispatch, const LimpetCall *call)
{
  bool granted = limpet_retry_budget_try_spend (get_budget (dispatch, call),
                                                limpet_clock_mono_ms ());

  if (!granted)
    limpet_counter_add (LIMPET_COUNTER_BUDGET_EXHAUSTED, 1);
  return granted;
}

int64_t
limpet_dispatch_priority (const LimpetDispatch *dispatch, const LimpetCall *call)
{
  return MIN (limpet_room_rank (dispatch->room, call), LOWEST_PRIORITY);
}

/* Returns the calls per second of the context in the whole fleet, assuming that the other
 * routers get about as many of them as this one. */
static double
fleet_rate (const LimpetDispatch *dispatch, const LimpetCall *call, LimpetMs now_ms)
{
  return limpet_popularity_rate (dispatch->popularity, call->context, now_ms)
         * dispatch->routers;
}

/* Chooses a target and occupies a slot of it for the attempt. */
static LimpetTarget *
choose (LimpetDispatch *dispatch, const LimpetDispatchRequest *request, LimpetMs now_ms)
{
  const LimpetCall *call = request->call;
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);
  LimpetPolicyRequest policy_request = {
    .group = call->service->name,
    .kind = call->service->is_engine ? LIMPET_VM_ENGINE : LIMPET_VM_SERVICE,
    .key_hash = call->context != 0 ? call->context : call->seed,
    .seed = call->seed + request->excluded_count,
    .key_rate_per_s = fleet_rate (dispatch, call, now_ms),
    .usable_slots_percent = 100,
    .own_slot_share = 1,
    .fleet = &dispatch->fleet,
    .load_limit = dispatch->load_limit,
    .reread_ratio = reread_ratio (dispatch, call),
    .sample_interval
    = dispatch->routers >= MIN_SAMPLING_ROUTERS ? view->count / SAMPLED_TARGETS : 0,
    .software_hash = request->software_hash,
    .excluded_count = MIN (request->excluded_count, LIMPET_MAX_EXCLUDED_TARGETS),
  };
  LimpetTarget *target;

  for (uint32_t i = 0; i < policy_request.excluded_count; i++)
    policy_request.excluded[i] = request->excluded[i];
  target = limpet_policy_choose (dispatch->policy, &policy_request, view, now_ms);
  if (target != NULL)
    {
      limpet_target_ref (target);
      limpet_load_belief_record_own (target, 1, now_ms);
      limpet_target_rate_record_send (target, now_ms);
      limpet_cold_targets_record_send (target, now_ms);
    }
  limpet_target_view_release (view);
  return target;
}

static bool
may_get (const LimpetDispatchRequest *request, const LimpetTarget *target)
{
  if (strcmp (target->vm.group, request->call->service->name) != 0
      || !limpet_target_is_usable (target)
      || (request->software_hash != 0 && request->software_hash != target->software_hash))
    return false;
  for (uint32_t i = 0; i < request->excluded_count; i++)
    if (request->excluded[i] == target)
      return false;
  return true;
}

const LimpetTarget *
limpet_dispatch_cache_source (LimpetDispatch *dispatch,
                              const LimpetCall *call,
                              const LimpetTarget *target)
{
  LimpetTargetView *view;
  const LimpetTarget *source = NULL;
  double source_score = 0;

  if (!call->service->is_engine || call->prompt_parts_count < 2)
    return NULL;
  view = limpet_targets_snapshot (dispatch->targets);
  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *other = view->targets[i];
      double score;

      if (other == target || strcmp (other->vm.group, call->service->name) != 0)
        continue;
      score = limpet_policy_rendezvous_score (other, call->context);
      if (source == NULL || score > source_score)
        {
          source = other;
          source_score = score;
        }
    }
  limpet_target_view_release (view);
  return source;
}

/* Orders the queue by urgency, then by arrival. */
static bool
is_before (const LimpetDispatchRequest *request, const LimpetDispatchRequest *other)
{
  int64_t urgency = limpet_call_urgency (request->call);
  int64_t other_urgency = limpet_call_urgency (other->call);

  if (urgency != other_urgency)
    return urgency < other_urgency;
  return request->order < other->order;
}

static void
enqueue (LimpetDispatch *dispatch, LimpetDispatchRequest *request)
{
  GList *after = dispatch->waiting.tail;

  request->link.data = request;
  request->is_waiting = true;
  while (after != NULL && is_before (request, after->data))
    after = after->prev;
  if (after == NULL)
    g_queue_push_head_link (&dispatch->waiting, &request->link);
  else
    {
      request->link.prev = after;
      request->link.next = after->next;
      if (after->next != NULL)
        after->next->prev = &request->link;
      else
        dispatch->waiting.tail = &request->link;
      after->next = &request->link;
      dispatch->waiting.length++;
    }
}

void
limpet_dispatch_cancel (LimpetDispatch *dispatch, LimpetDispatchRequest *request)
{
  if (!request->is_waiting)
    return;
  request->is_waiting = false;
  g_queue_unlink (&dispatch->waiting, &request->link);
}

/* Returns the number of queued calls of the call's service. */
static uint32_t
count_waiting (const LimpetDispatch *dispatch, const LimpetCall *call)
{
  uint32_t waiting = 0;

  for (const GList *link = dispatch->waiting.head; link != NULL; link = link->next)
    {
      const LimpetDispatchRequest *other = link->data;

      waiting += strcmp (other->call->service->name, call->service->name) == 0;
    }
  return waiting;
}

/* Estimates how long the service's releases at this router take to serve that many calls.
 */
static LimpetMs
expected_wait_ms (const LimpetDispatch *dispatch, const LimpetCall *call, uint32_t calls)
{
  return (LimpetMs)(calls
                    * limpet_room_release_gap_ms (dispatch->room, call->service->name));
}

static LimpetMs
retry_after_ms (const LimpetDispatch *dispatch, const LimpetCall *call, LimpetMs now_ms)
{
  LimpetMs max_delay_ms = MIN (MAX_RETRY_AFTER_MS, (call->deadline_ms - now_ms) / 3);
  uint32_t calls = count_waiting (dispatch, call) + 1;

  return CLAMP (2 * expected_wait_ms (dispatch, call, calls), MIN_RETRY_AFTER_MS,
                MAX (MIN_RETRY_AFTER_MS, max_delay_ms));
}

/* What keeps this router from sending a request to the targets that it may get. */
typedef struct
{
  bool has_target;
  bool has_slot_share; /* this router has a part of the slots of one of them */
  bool is_emptied;     /* there are some, all of which are in emptied zones */
  LimpetMs open_ms;    /* when the first of them may get a request, as far as rests and
                          cold targets go */
} Availability;

/* Returns until when a rest, or what it bears while it is cold, keeps requests away from
 * the target. */
static LimpetMs
closed_until_ms (const LimpetTarget *target)
{
  return MAX (atomic_load (&target->rest_until_ms),
              atomic_load (&target->cold_next_send_ms));
}

static Availability
find_availability (LimpetDispatch *dispatch, const LimpetDispatchRequest *request)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);
  Availability found = { .open_ms = G_MAXINT64 };

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];

      if (may_get (request, target))
        {
          found.has_target = true;
          found.has_slot_share
              = found.has_slot_share || !target->has_slot_share || target->slot_share > 0;
          found.open_ms = MIN (found.open_ms, closed_until_ms (target));
        }
      else if (strcmp (target->vm.group, request->call->service->name) == 0
               && !atomic_load (&target->leaving))
        found.is_emptied = found.is_emptied || atomic_load (&target->is_emptied);
    }
  limpet_target_view_release (view);
  found.is_emptied = found.is_emptied && !found.has_target;
  return found;
}

bool
limpet_dispatch_has_target (LimpetDispatch *dispatch,
                            const LimpetDispatchRequest *request)
{
  return find_availability (dispatch, request).has_target;
}

/* Returns the delay after which callers come back whose targets may all get no request
 * until open_ms. */
static LimpetMs
closed_retry_ms (LimpetMs open_ms, LimpetMs now_ms)
{
  return open_ms - now_ms > LIMPET_MAX_REST_MS ? CLOSED_RETRY_MS : open_ms - now_ms;
}

/* Refuses a new call, and returns true, if there is no room for it. Calls that have been
 * sent before, and streams that are resumed, are let in. */
static bool
refuse_without_room (LimpetDispatch *dispatch,
                     LimpetDispatchRequest *request,
                     LimpetMs now_ms)
{
  const LimpetCall *call = request->call;
  LimpetTargetView *view;
  LimpetRoomDecision decision;

  if (request->excluded_count > 0 || call->last_event_id != NULL)
    return false;
  view = limpet_targets_snapshot (dispatch->targets);
  decision = limpet_room_decide (dispatch->room, call, view, now_ms);
  limpet_target_view_release (view);
  if (decision.bound == LIMPET_ROOM_FREE)
    return false;
  limpet_room_record_refusal (dispatch->room, call, decision.bound,
                              decision.retry_after_ms);
  request->on_refused (request->user, decision.retry_after_ms);
  return true;
}

/* Refuses a call that got no target, whose caller may come back when one should be free.
 */
static void
refuse_queued (LimpetDispatch *dispatch, LimpetDispatchRequest *request, LimpetMs now_ms)
{
  LimpetMs retry_ms = retry_after_ms (dispatch, request->call, now_ms);

  limpet_room_record_refusal (dispatch->room, request->call, LIMPET_ROOM_QUEUE, retry_ms);
  request->on_refused (request->user, retry_ms);
}

void
limpet_dispatch_submit (LimpetDispatch *dispatch, LimpetDispatchRequest *request)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetTarget *target;
  const LimpetCall *call = request->call;
  LimpetMs wait_ms = (LimpetMs)(MAX_WAIT_GOAL_FRACTION * (double)call->route->goal_ms);
  Availability availability;

  if (refuse_without_room (dispatch, request, now_ms))
    return;
  target = choose (dispatch, request, now_ms);
  if (target != NULL)
    {
      request->on_target (request->user, target);
      return;
    }
  request->order = dispatch->next_order++;
  request->wait_until_ms = MIN (now_ms + wait_ms, call->response_due_ms);
  availability = find_availability (dispatch, request);
  if (availability.is_emptied
      || (!availability.has_target && request->excluded_count == 0))
    {
      request->on_refused (request->user, CLOSED_RETRY_MS);
      return;
    }
  if (availability.has_target && availability.open_ms > request->wait_until_ms)
    {
      request->on_refused (request->user, closed_retry_ms (availability.open_ms, now_ms));
      return;
    }
  /* The first in the queue waits: releases of other routers serve it as well. */
  if (expected_wait_ms (dispatch, call, count_waiting (dispatch, call))
          > request->wait_until_ms - now_ms
      || (availability.has_target && !availability.has_slot_share))
    {
      refuse_queued (dispatch, request, now_ms);
      return;
    }
  limpet_counter_add (LIMPET_COUNTER_QUEUED, 1);
  enqueue (dispatch, request);
}

/* Assigns targets to queued calls in order. After each assignment the search starts again
 * at the head, because the callback may have changed the queue. A call is
 * skipped if the last failed search was for its service. */
static void
serve_queue (LimpetDispatch *dispatch)
{
  const LimpetRouteService *full_service = NULL;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  GList *next;

  if (dispatch->is_serving)
    return;
  dispatch->is_serving = true;
  for (GList *link = dispatch->waiting.head; link != NULL; link = next)
    {
      LimpetDispatchRequest *request = link->data;
      LimpetTarget *target;

      next = link->next;
      if (request->call->service == full_service)
        continue;
      target = choose (dispatch, request, now_ms);
      if (target == NULL)
        {
          full_service = request->call->service;
          continue;
        }
      limpet_dispatch_cancel (dispatch, request);
      request->on_target (request->user, target);
      next = dispatch->waiting.head;
      full_service = NULL;
    }
  dispatch->is_serving = false;
}

static void
refuse_overdue (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  GList *next;

  for (GList *link = dispatch->waiting.head; link != NULL; link = next)
    {
      LimpetDispatchRequest *request = link->data;

      next = link->next;
      if (now_ms < request->wait_until_ms)
        continue;
      limpet_dispatch_cancel (dispatch, request);
      refuse_queued (dispatch, request, now_ms);
    }
}

void
limpet_dispatch_release (LimpetDispatch *dispatch, LimpetTarget *target)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  limpet_load_belief_record_own (target, -1, now_ms);
  limpet_rate_balancer_record_release (dispatch->balancer, target);
  limpet_room_record_release (dispatch->room, target->vm.group, now_ms);
  limpet_target_unref (target);
  if (dispatch->waiting.length > 0)
    serve_queue (dispatch);
}

void
limpet_dispatch_record_load (LimpetDispatch *dispatch,
                             LimpetTarget *target,
                             int32_t inflight,
                             LimpetMs at_ms)
{
  (void)dispatch;
  limpet_load_belief_record_report (target, inflight, at_ms, limpet_clock_mono_ms ());
}

/* Sets this router's part of a target's rate limit. */
static void
update_rate (LimpetDispatch *dispatch,
             LimpetTarget *target,
             const LimpetTargetView *view,
             LimpetMs now_ms)
{
  double part_factor
      = limpet_rate_balancer_part_factor (dispatch->balancer, target->vm.group);

  limpet_target_rate_set_minimum (target, view);
  limpet_target_rate_update (target, dispatch->routers, part_factor, now_ms);
}

void
limpet_dispatch_record_rate_limit (LimpetDispatch *dispatch,
                                   LimpetTarget *target,
                                   const double *per_s,
                                   LimpetMs at_ms)
{
  LimpetTargetView *view;

  if ((per_s == NULL && !target->rate_limit.is_set)
      || !limpet_target_rate_set (target, per_s, at_ms))
    return;
  view = limpet_targets_snapshot (dispatch->targets);
  update_rate (dispatch, target, view, limpet_clock_mono_ms ());
  limpet_target_view_release (view);
}

void
limpet_dispatch_record_first_event (LimpetDispatch *dispatch,
                                    LimpetTarget *target,
                                    LimpetMs first_ms)
{
  (void)dispatch;
  limpet_target_record_first_token_ms (target, (double)first_ms);
  limpet_target_record_result (target, LIMPET_STATUS_OK);
}

void
limpet_dispatch_record_result (LimpetDispatch *dispatch,
                               LimpetTarget *target,
                               LimpetStatus status)
{
  limpet_target_record_result (target, status);
  /* A target that comes back from a crash is cold before its entry says so. */
  if (status == LIMPET_STATUS_UNREACHABLE)
    {
      limpet_cold_targets_mark (dispatch->cold, target, limpet_clock_mono_ms ());
      update_cold (dispatch);
    }
}

void
limpet_dispatch_record_error_response (LimpetDispatch *dispatch, LimpetTarget *target)
{
  (void)dispatch;
  if (atomic_fetch_add (&target->failures, 1) + 1 >= FAILURES_BEFORE_BACKOFF)
    limpet_target_record_result (target, LIMPET_STATUS_BROKEN);
}

static void
extend_rest (LimpetTarget *target, LimpetMs until_ms)
{
  atomic_store (&target->rest_until_ms,
                MAX (atomic_load (&target->rest_until_ms), until_ms));
}

/* What this router knew of a brittle target that has turned a call away. */
static void
log_brittle_refusal (const LimpetDispatch *dispatch,
                     const LimpetTarget *target,
                     LimpetMs now_ms)
{
  limpet_log (LIMPET_LOG_NOTICE, "refused", target->vm.id,
              "own_inflight=%d slot_share=%d inflight=%d report_age_ms=%ld routers=%u "
              "waiting=%u max_refusals_per_s=%.1f known_for_ms=%ld joined_ago_ms=%ld",
              atomic_load (&target->own_inflight), target->slot_share,
              limpet_target_inflight (target),
              target->report.at_ms > 0 ? (long)(now_ms - target->report.at_ms) : -1L,
              dispatch->routers, dispatch->waiting.length, target->max_refusals_per_s,
              (long)(now_ms - target->brittle_ms), (long)(now_ms - target->joined_ms));
}

void
limpet_dispatch_record_target_full (LimpetDispatch *dispatch, LimpetTarget *target)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  limpet_counter_add (LIMPET_COUNTER_TARGET_REFUSALS, 1);
  atomic_store (&target->full_until_ms, now_ms + FULL_BACKOFF_MS);
  if (!target->is_brittle)
    return;
  log_brittle_refusal (dispatch, target, now_ms);
  extend_rest (target,
               now_ms + limpet_brittle_targets_rest_ms (dispatch->brittle, target));
}

static void
update_brittle (LimpetDispatch *dispatch)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_brittle_targets_update (dispatch->brittle, view, limpet_clock_mono_ms (),
                                 limpet_clock_wall_ms ());
  limpet_target_view_release (view);
}

void
limpet_dispatch_record_brittle (LimpetDispatch *dispatch,
                                LimpetTarget *target,
                                const double *max_refusals_per_s)
{
  if (limpet_brittle_targets_record_response (
          dispatch->brittle, target, max_refusals_per_s, limpet_clock_mono_ms ()))
    update_brittle (dispatch);
}

void
limpet_dispatch_record_peer_brittle (LimpetDispatch *dispatch,
                                     uint32_t group_hash,
                                     double max_refusals_per_s,
                                     LimpetMs at_ms)
{
  if (limpet_brittle_targets_record_peer (dispatch->brittle, group_hash,
                                          max_refusals_per_s, at_ms))
    update_brittle (dispatch);
}

void
limpet_dispatch_record_rest (LimpetDispatch *dispatch,
                             LimpetTarget *target,
                             LimpetMs rest_ms)
{
  (void)dispatch;
  limpet_log (LIMPET_LOG_NOTICE, "rest", target->vm.id, "rest_ms=%ld", (long)rest_ms);
  extend_rest (target, limpet_clock_mono_ms () + rest_ms);
}

void
limpet_dispatch_targets_changed (LimpetDispatch *dispatch)
{
  update_brittle (dispatch);
  update_cold (dispatch);
  serve_queue (dispatch);
}

static void
age_loads (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_load_belief_age (view, now_ms);
  limpet_target_view_release (view);
}

static void
update_rates (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_rate_balancer_tick (dispatch->balancer, view);
  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->rate_limit.is_set)
      update_rate (dispatch, view->targets[i], view, now_ms);
  limpet_target_view_release (view);
}

static void
update_room (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_room_tick (dispatch->room, view, now_ms);
  limpet_target_view_release (view);
}

void
limpet_dispatch_render_metrics (const LimpetDispatch *dispatch, GString *out)
{
  limpet_room_render_metrics (dispatch->room, out);
}

static void
detect_slow_engines (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  LimpetTargetView *view = limpet_targets_snapshot (dispatch->targets);

  limpet_outlier_tick (view, now_ms);
  limpet_target_view_release (view);
}

void
limpet_dispatch_tick (LimpetDispatch *dispatch, LimpetMs now_ms)
{
  age_loads (dispatch, now_ms);
  update_rates (dispatch, now_ms);
  update_brittle (dispatch);
  update_cold (dispatch);
  update_room (dispatch, now_ms);
  detect_slow_engines (dispatch, now_ms);
  serve_queue (dispatch);
  refuse_overdue (dispatch, now_ms);
}
