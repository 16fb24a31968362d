#include "limpetroad/admission.h"

#include "limpetroad/counters.h"
#include "private/condition.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

/* Weight of a new sample in release_gap_ms. */
#define RELEASE_GAP_ALPHA 0.05
/* A pass over the queue ends when requests of this many kinds (WaiterKind) have got no
 * target. */
#define MAX_FAILED_KINDS 16
/* Multiplies the expected wait, because requests that arrive later are served first if
 * their teams use less of their shares. */
#define WAIT_SAFETY_FACTOR 2
/* Below this load of all engines, in percent of their slots, a team above its share
 * may be served even if this router exceeds its part of the slots, which happens when
 * callers send it more requests than the other routers. */
#define LOW_LOAD_PERCENT 50
/* From this load of all engines on, in percent of their slots, a team above its share may
 * use only this router's part of the slots of each engine. */
#define OWN_PART_LOAD_PERCENT 80
/* Bounds of the retry delay of refused requests. */
#define MIN_RETRY_AFTER_MS 1000
#define MAX_RETRY_AFTER_MS 30000
/* While a request waits, its thread serves the queue this often even if no slot is
 * released. */
#define QUEUE_POLL_PERIOD_MS 50

/* A queued request. It is on the stack of the thread that waits for a target. */
typedef struct
{
  LimpetAdmissionRequest *request;
  LimpetTarget *target; /* set when served */
  pthread_cond_t served;
  uint64_t order;    /* sequence number of arrival */
  double used_share; /* the team's requests in flight divided by its share */
} Waiter;

struct LimpetAdmission
{
  LimpetTargets *targets;
  pthread_mutex_t lock;
  GPtrArray *waiters;     /* of Waiter */
  GHashTable *team_usage; /* team name → requests of this router in flight */
  uint64_t next_order;
  uint32_t routers;
  uint64_t rounding_salt; /* random, so that it differs between routers */
  void (*near_bound) (void *user);
  void *near_bound_user;
  double release_gap_ms; /* moving average of the time between releases */
  LimpetMs last_release_ms;
};

LimpetAdmission *
limpet_admission_new (LimpetTargets *targets)
{
  LimpetAdmission *admission = g_new0 (LimpetAdmission, 1);

  admission->targets = targets;
  admission->routers = 1;
  randombytes_buf (&admission->rounding_salt, sizeof admission->rounding_salt);
  pthread_mutex_init (&admission->lock, NULL);
  admission->waiters = g_ptr_array_new ();
  admission->team_usage = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return admission;
}

void
limpet_admission_delete (LimpetAdmission *admission)
{
  if (admission == NULL)
    return;
  g_assert (admission->waiters->len == 0);
  g_ptr_array_free (admission->waiters, TRUE);
  g_hash_table_destroy (admission->team_usage);
  pthread_mutex_destroy (&admission->lock);
  g_free (admission);
}

static int32_t
team_inflight (const LimpetAdmission *admission, const LimpetTeam *team)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (admission->team_usage, team->name));
}

static void
add_team_inflight (LimpetAdmission *admission, const LimpetTeam *team, int32_t change)
{
  int32_t count = team_inflight (admission, team) + change;

  if (count > 0)
    g_hash_table_replace (admission->team_usage, g_strdup (team->name),
                          GINT_TO_POINTER (count));
  else
    g_hash_table_remove (admission->team_usage, team->name);
}

/* Sums over all engines that are not leaving. */
typedef struct
{
  int64_t slots;
  int64_t own_inflight; /* requests in flight from this router */
  int64_t inflight;     /* requests in flight from all routers */
} EngineLoad;

static EngineLoad
sum_engines (const LimpetTargetView *view)
{
  EngineLoad load = { .slots = 0 };

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];

      if (target->vm.kind != LIMPET_VM_ENGINE || atomic_load (&target->leaving))
        continue;
      load.slots += target->vm.slots;
      load.own_inflight += atomic_load (&target->own_inflight);
      load.inflight += limpet_target_inflight (target);
    }
  return load;
}

/* Returns whether the team's requests in flight have reached its share of this router's
 * part of the slots. A share of less than one slot counts as one. */
static bool
is_above_share (const LimpetAdmission *admission,
                const LimpetAdmissionRequest *request,
                const EngineLoad *load)
{
  double own_slots = (double)load->slots / admission->routers;
  double share = (double)request->team->share / (double)request->bundle->shares_total;

  return team_inflight (admission, request->team) >= MAX (1.0, own_slots * share);
}

/* Sets which slots the request may use; returns false if it may use none. A team within
 * its share may use any slot. A team above it must leave a reserve free, in the fleet and
 * on each engine. This router's requests are also compared with its own part of the
 * slots, because a jump in the load from the other routers becomes known here too late.
 */
static bool
apply_share_limit (const LimpetAdmission *admission,
                   LimpetAdmissionRequest *request,
                   const LimpetTargetView *view)
{
  EngineLoad load = sum_engines (view);
  double own_slots = (double)load.slots / admission->routers;
  int64_t usable_percent = 100 - request->bundle->fleet.reserve_percent;

  request->above_share = is_above_share (admission, request, &load);
  request->policy_request.usable_slots_percent
      = request->above_share ? usable_percent : 100;
  if (!request->above_share)
    return true;
  if (load.inflight * 100 >= load.slots * OWN_PART_LOAD_PERCENT)
    request->policy_request.own_slot_share = 1.0 / admission->routers;
  if (load.inflight * 100 >= load.slots * usable_percent)
    return false;
  return (double)load.own_inflight * 100 < own_slots * (double)usable_percent
         || load.inflight * 100 < load.slots * LOW_LOAD_PERCENT;
}

/* Chooses a target and occupies a slot of it for the request. */
static LimpetTarget *
choose_locked (LimpetAdmission *admission, LimpetAdmissionRequest *request)
{
  const LimpetPolicy *policy = limpet_policy_by_name (request->bundle->fleet.policy);
  LimpetTargetView *view = limpet_targets_snapshot (admission->targets);
  LimpetTarget *target = NULL;

  request->policy_request.usable_slots_percent = 100;
  request->policy_request.own_slot_share = 1;
  request->policy_request.slot_rounding_salt = admission->rounding_salt;
  if (request->team == NULL || request->policy_request.kind != LIMPET_VM_ENGINE
      || apply_share_limit (admission, request, view))
    target = limpet_policy_choose (policy, &request->policy_request, view,
                                   limpet_clock_mono_ms ());
  if (target != NULL)
    {
      limpet_target_ref (target);
      atomic_fetch_add (&target->own_inflight, 1);
      if (request->policy_request.is_long)
        atomic_fetch_add (&target->own_long, 1);
      if (request->team != NULL)
        add_team_inflight (admission, request->team, 1);
      if (admission->near_bound != NULL
          && request->policy_request.kind == LIMPET_VM_ENGINE
          && limpet_policy_is_near_bound (&request->policy_request, view, target,
                                          limpet_clock_mono_ms ()))
        admission->near_bound (admission->near_bound_user);
    }
  limpet_target_view_release (view);
  return target;
}

static int
compare_waiters (const void *a, const void *b)
{
  const Waiter *left = *(Waiter *const *)a;
  const Waiter *right = *(Waiter *const *)b;
  int64_t left_priority = left->request->team != NULL ? left->request->team->priority : 0;
  int64_t right_priority
      = right->request->team != NULL ? right->request->team->priority : 0;

  if (left_priority != right_priority)
    return left_priority > right_priority ? -1 : 1;
  if (left->used_share < right->used_share || left->used_share > right->used_share)
    return left->used_share < right->used_share ? -1 : 1;
  return left->order < right->order ? -1 : 1;
}

/* Requests with equal values are of one kind. When one of them gets no target, the pass
 * over the queue skips the others, which would get none either. */
typedef struct
{
  const LimpetTeam *team;
  const char *group;
  bool is_long;
  uint32_t software_hash;
} WaiterKind;

static bool
is_failed_kind (const Waiter *waiter, const WaiterKind *failed, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    if (failed[i].team == waiter->request->team
        && failed[i].is_long == waiter->request->policy_request.is_long
        && failed[i].software_hash == waiter->request->policy_request.software_hash
        && strcmp (failed[i].group, waiter->request->policy_request.group) == 0)
      return true;
  return false;
}

static void
sort_waiters (LimpetAdmission *admission)
{
  for (guint i = 0; i < admission->waiters->len; i++)
    {
      Waiter *waiter = g_ptr_array_index (admission->waiters, i);
      const LimpetTeam *team = waiter->request->team;

      if (team != NULL)
        waiter->used_share
            = (double)team_inflight (admission, team) / (double)team->share;
    }
  g_ptr_array_sort (admission->waiters, compare_waiters);
}

static void
serve_waiters_locked (LimpetAdmission *admission)
{
  WaiterKind failed[MAX_FAILED_KINDS];
  uint32_t failed_count = 0;

  sort_waiters (admission);
  for (guint i = 0; i < admission->waiters->len && failed_count < MAX_FAILED_KINDS;)
    {
      Waiter *waiter = g_ptr_array_index (admission->waiters, i);

      if (is_failed_kind (waiter, failed, failed_count))
        {
          i++;
          continue;
        }
      waiter->target = choose_locked (admission, waiter->request);
      if (waiter->target == NULL)
        {
          failed[failed_count++] = (WaiterKind){
            .team = waiter->request->team,
            .group = waiter->request->policy_request.group,
            .is_long = waiter->request->policy_request.is_long,
            .software_hash = waiter->request->policy_request.software_hash,
          };
          i++;
          continue;
        }
      g_ptr_array_remove_index (admission->waiters, i);
      pthread_cond_signal (&waiter->served);
    }
}

/* Estimates the wait of the request at a position in the queue, counted from 0. */
static LimpetMs
expected_wait_ms (const LimpetAdmission *admission, guint position)
{
  return (LimpetMs)((position + 1) * admission->release_gap_ms);
}

static LimpetMs
retry_after_ms_locked (LimpetAdmission *admission)
{
  LimpetMs wait_ms
      = WAIT_SAFETY_FACTOR * expected_wait_ms (admission, admission->waiters->len);

  return CLAMP (wait_ms, MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
}

static void
wait_until (LimpetAdmission *admission, Waiter *waiter, LimpetMs until_ms)
{
  while (waiter->target == NULL)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();
      LimpetMs wake_ms = MIN (until_ms, now_ms + QUEUE_POLL_PERIOD_MS);

      if (now_ms >= until_ms)
        return;
      if (!limpet_condition_wait_until (&waiter->served, &admission->lock, wake_ms))
        serve_waiters_locked (admission);
    }
}

static void
init_waiter (LimpetAdmission *admission, Waiter *waiter, LimpetAdmissionRequest *request)
{
  *waiter = (Waiter){ .request = request, .order = admission->next_order++ };
  limpet_condition_init (&waiter->served);
}

/* Returns whether the queue is within its limit and the request can expect a slot within
 * max_wait_ms. The queue must be sorted. */
static bool
may_wait (const LimpetAdmission *admission, const Waiter *waiter, LimpetMs max_wait_ms)
{
  guint position = 0;

  if ((int64_t)admission->waiters->len > waiter->request->bundle->fleet.queue_limit)
    return false;
  g_ptr_array_find (admission->waiters, waiter, &position);
  return WAIT_SAFETY_FACTOR * expected_wait_ms (admission, position) <= max_wait_ms;
}

/* Queues every request before a target is chosen, so that requests are served in the
 * order of the queue. A request that gets no target does not block those behind it. */
static LimpetTarget *
acquire_locked (LimpetAdmission *admission, LimpetAdmissionRequest *request)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetMs max_wait_ms
      = MIN (request->bundle->fleet.queue_wait_ms, request->deadline_ms - now_ms);
  Waiter waiter;

  init_waiter (admission, &waiter, request);
  g_ptr_array_add (admission->waiters, &waiter);
  serve_waiters_locked (admission);
  if (waiter.target == NULL && may_wait (admission, &waiter, max_wait_ms))
    {
      limpet_counter_add (LIMPET_COUNTER_QUEUED, 1);
      wait_until (admission, &waiter, now_ms + max_wait_ms);
    }
  if (waiter.target == NULL)
    g_ptr_array_remove (admission->waiters, &waiter);
  pthread_cond_destroy (&waiter.served);
  return waiter.target;
}

LimpetStatus
limpet_admission_acquire (LimpetAdmission *admission,
                          LimpetAdmissionRequest *request,
                          LimpetTarget **target,
                          LimpetMs *retry_after_ms,
                          LimpetError *error)
{
  pthread_mutex_lock (&admission->lock);
  *target = acquire_locked (admission, request);
  *retry_after_ms = *target == NULL ? retry_after_ms_locked (admission) : 0;
  pthread_mutex_unlock (&admission->lock);
  if (*target != NULL)
    return LIMPET_STATUS_OK;
  limpet_counter_add (LIMPET_COUNTER_REFUSED_ADMISSION, 1);
  return limpet_error_set (error, LIMPET_STATUS_OVERLOADED, "admission", NULL,
                           "no free slot for %s within the permitted wait",
                           request->policy_request.group);
}

LimpetTarget *
limpet_admission_try_acquire (LimpetAdmission *admission, LimpetAdmissionRequest *request)
{
  LimpetTarget *target;

  pthread_mutex_lock (&admission->lock);
  target = choose_locked (admission, request);
  pthread_mutex_unlock (&admission->lock);
  return target;
}

static void
record_release (LimpetAdmission *admission)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (admission->last_release_ms > 0)
    admission->release_gap_ms
        += RELEASE_GAP_ALPHA
           * ((double)(now_ms - admission->last_release_ms) - admission->release_gap_ms);
  admission->last_release_ms = now_ms;
}

void
limpet_admission_release (LimpetAdmission *admission,
                          LimpetTarget *target,
                          const LimpetTeam *team,
                          bool is_long)
{
  atomic_fetch_sub (&target->own_inflight, 1);
  if (is_long)
    atomic_fetch_sub (&target->own_long, 1);
  pthread_mutex_lock (&admission->lock);
  if (team != NULL)
    add_team_inflight (admission, team, -1);
  record_release (admission);
  if (admission->waiters->len > 0)
    serve_waiters_locked (admission);
  pthread_mutex_unlock (&admission->lock);
  limpet_target_unref (target);
}

void
limpet_admission_mark_long (LimpetTarget *target)
{
  atomic_fetch_add (&target->own_long, 1);
}

void
limpet_admission_serve_queue (LimpetAdmission *admission)
{
  pthread_mutex_lock (&admission->lock);
  if (admission->waiters->len > 0)
    serve_waiters_locked (admission);
  pthread_mutex_unlock (&admission->lock);
}

void
limpet_admission_set_routers (LimpetAdmission *admission, uint32_t count)
{
  pthread_mutex_lock (&admission->lock);
  admission->routers = MAX (1, count);
  pthread_mutex_unlock (&admission->lock);
}

void
limpet_admission_set_near_bound_callback (LimpetAdmission *admission,
                                          void (*near_bound) (void *user),
                                          void *user)
{
  admission->near_bound_user = user;
  admission->near_bound = near_bound;
}

void
limpet_admission_dump (LimpetAdmission *admission, json_object *object)
{
  json_object *teams = json_object_new_object ();
  GHashTableIter iter;
  gpointer name;
  gpointer count;

  pthread_mutex_lock (&admission->lock);
  json_object_object_add (object, "waiting",
                          json_object_new_int ((int)admission->waiters->len));
  json_object_object_add (object, "routers",
                          json_object_new_int ((int)admission->routers));
  json_object_object_add (object, "release_gap_ms",
                          json_object_new_double (admission->release_gap_ms));
  g_hash_table_iter_init (&iter, admission->team_usage);
  while (g_hash_table_iter_next (&iter, &name, &count))
    json_object_object_add (teams, name, json_object_new_int (GPOINTER_TO_INT (count)));
  json_object_object_add (object, "team_inflight", teams);
  pthread_mutex_unlock (&admission->lock);
}
