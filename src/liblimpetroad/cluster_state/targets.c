#include "limpetroad/targets.h"

#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>
#include <urcu-bp.h>
#include <xxhash.h>

/* A target that returns within this time after it left gets a slow start: it begins with
 * SLOW_START_FIRST_WEIGHT, which doubles with each step. */
#define DEPARTURE_MEMORY_MS 300000
#define SLOW_START_STEP_MS 1000
#define SLOW_START_FIRST_WEIGHT 125
/* Backoff after a failed exchange; it doubles with each consecutive failure. */
#define BACKOFF_FIRST_MS 200
#define BACKOFF_MAX_MS 5000
/* Weight of a new sample in the moving averages of latencies. */
#define AVERAGE_ALPHA 0.3

/* Time at which a target was last removed or restarted, to decide on a slow start. */
typedef struct
{
  LimpetMs left_ms;
} Departure;

struct LimpetTargets
{
  LimpetTargetView *view;    /* protected by RCU */
  GHashTable *departures;    /* id → Departure */
  GHashTable *emptied_zones; /* names */
};

static void
free_target (struct urcu_ref *reference)
{
  LimpetTarget *target = caa_container_of (reference, LimpetTarget, references);

  if (target->free_pool != NULL)
    target->free_pool (target->pool);
  pthread_mutex_destroy (&target->lock);
  g_free (target);
}

void
limpet_target_ref (LimpetTarget *target)
{
  urcu_ref_get (&target->references);
}

void
limpet_target_unref (LimpetTarget *target)
{
  if (target != NULL)
    urcu_ref_put (&target->references, free_target);
}

static void
free_view (struct urcu_ref *reference)
{
  LimpetTargetView *view = caa_container_of (reference, LimpetTargetView, references);

  for (uint32_t i = 0; i < view->count; i++)
    limpet_target_unref (view->targets[i]);
  g_free (view->targets);
  g_free (view);
}

void
limpet_target_view_release (LimpetTargetView *view)
{
  urcu_ref_put (&view->references, free_view);
}

static LimpetTargetView *
view_new (uint32_t capacity)
{
  LimpetTargetView *view = g_new0 (LimpetTargetView, 1);

  urcu_ref_init (&view->references);
  view->targets = g_new0 (LimpetTarget *, capacity + 1);
  return view;
}

LimpetTargets *
limpet_targets_new (void)
{
  LimpetTargets *targets = g_new0 (LimpetTargets, 1);

  targets->view = view_new (0);
  targets->departures = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  targets->emptied_zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return targets;
}

void
limpet_targets_delete (LimpetTargets *targets)
{
  if (targets == NULL)
    return;
  limpet_target_view_release (targets->view);
  g_hash_table_destroy (targets->departures);
  g_hash_table_destroy (targets->emptied_zones);
  g_free (targets);
}

LimpetTargetView *
limpet_targets_snapshot (LimpetTargets *targets)
{
  LimpetTargetView *view;

  urcu_bp_read_lock ();
  view = rcu_dereference (targets->view);
  urcu_ref_get (&view->references);
  urcu_bp_read_unlock ();
  return view;
}

void
limpet_targets_set_zone_emptied (LimpetTargets *targets, const char *zone, bool emptied)
{
  if (emptied)
    g_hash_table_add (targets->emptied_zones, g_strdup (zone));
  else
    g_hash_table_remove (targets->emptied_zones, zone);
  for (uint32_t i = 0; i < targets->view->count; i++)
    if (strcmp (targets->view->targets[i]->vm.zone, zone) == 0)
      atomic_store (&targets->view->targets[i]->is_emptied, emptied);
}

static LimpetTarget *
target_new (const LimpetVm *vm, LimpetMs slow_start_ms)
{
  LimpetTarget *target = g_new0 (LimpetTarget, 1);

  target->vm = *vm;
  target->id_hash = XXH32 (vm->id, strlen (vm->id), (uint32_t)vm->incarnation);
  target->route_hash = XXH32 (vm->id, strlen (vm->id), 0);
  target->software_hash
      = MAX (1, XXH32 (vm->software_version, strlen (vm->software_version), 0));
  target->group_hash = XXH32 (vm->group, strlen (vm->group), 0);
  urcu_ref_init (&target->references);
  pthread_mutex_init (&target->lock, NULL);
  atomic_store (&target->reported_inflight, -1);
  atomic_store (&target->leaving, vm->leaving);
  atomic_store (&target->own_weight, LIMPET_WEIGHT_FULL);
  atomic_store (&target->peers_weight, LIMPET_WEIGHT_FULL);
  atomic_store (&target->slow_start_ms, slow_start_ms);
  atomic_store (&target->cold_until_ms, vm->cold_until_ms);
  target->joined_ms = limpet_clock_mono_ms ();
  return target;
}

static LimpetTarget *
find_by_id (const LimpetTargetView *view, const char *id)
{
  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.id, id) == 0)
      return view->targets[i];
  return NULL;
}

static void
record_departure (LimpetTargets *targets, const char *id, LimpetMs now_ms)
{
  Departure *departure = g_new0 (Departure, 1);

  departure->left_ms = now_ms;
  g_hash_table_replace (targets->departures, g_strdup (id), departure);
}

/* Returns now_ms, as the begin of the slow start, for a target that left within
 * DEPARTURE_MEMORY_MS, and 0 for any other. */
static LimpetMs
slow_start_begin_ms (LimpetTargets *targets, const char *id, LimpetMs now_ms)
{
  const Departure *departure = g_hash_table_lookup (targets->departures, id);

  if (departure == NULL || now_ms - departure->left_ms > DEPARTURE_MEMORY_MS)
    return 0;
  return now_ms;
}

static LimpetTarget *
reuse_or_add_target (LimpetTargets *targets,
                     LimpetTargetView *old,
                     const LimpetVm *vm,
                     LimpetMs now_ms)
{
  LimpetTarget *target = find_by_id (old, vm->id);
  LimpetTarget *successor;

  if (target != NULL && limpet_vm_is_same (&target->vm, vm))
    {
      if (vm->leaving)
        limpet_target_mark_leaving (target, "the VM list");
      limpet_target_extend_cold (target, vm->cold_until_ms);
      limpet_target_ref (target);
      return target;
    }
  if (target != NULL)
    record_departure (targets, vm->id, now_ms);
  limpet_log (LIMPET_LOG_NOTICE, "targets", vm->id,
              "joined as %s of %s at %s:%d, incarnation %ld, software %s",
              limpet_vm_kind_string[vm->kind], vm->group, vm->address, (int)vm->port,
              (long)vm->incarnation,
              vm->software_version[0] != '\0' ? vm->software_version : "unknown");
  successor = target_new (vm, slow_start_begin_ms (targets, vm->id, now_ms));
  atomic_store (&successor->is_emptied,
                g_hash_table_contains (targets->emptied_zones, vm->zone));
  if (target != NULL && target->vm.incarnation == vm->incarnation
      && limpet_vm_has_same_address (&target->vm, vm) && atomic_load (&target->leaving))
    atomic_store (&successor->leaving, true);
  return successor;
}

static int
compare_targets (const void *a, const void *b)
{
  const LimpetTarget *const *left = a;
  const LimpetTarget *const *right = b;

  return strcmp ((*left)->vm.id, (*right)->vm.id);
}

static void
mark_missing_targets (LimpetTargets *targets,
                      const LimpetTargetView *old,
                      const LimpetTargetView *view,
                      LimpetMs now_ms)
{
  for (uint32_t i = 0; i < old->count; i++)
    {
      LimpetTarget *target = old->targets[i];
      const LimpetTarget *successor = find_by_id (view, target->vm.id);
      bool was_announced = atomic_load (&target->leaving);

      if (!was_announced && successor == NULL)
        atomic_store (&target->has_vanished, true);
      else if (!was_announced && successor->vm.incarnation != target->vm.incarnation)
        atomic_store (&target->has_restarted, true);
      if (successor == NULL)
        {
          record_departure (targets, target->vm.id, now_ms);
          limpet_target_mark_leaving (target, "the VM list");
        }
    }
}

static gboolean
is_departure_expired (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return ((const Departure *)value)->left_ms + DEPARTURE_MEMORY_MS
         < *(const LimpetMs *)user;
}

void
limpet_targets_update (LimpetTargets *targets, const LimpetVmList *list)
{
  LimpetTargetView *old = targets->view;
  LimpetTargetView *view = view_new (list->count);
  LimpetMs now_ms = limpet_clock_mono_ms ();

  for (uint32_t i = 0; i < list->count; i++)
    if (list->vms[i].kind != LIMPET_VM_ROUTER)
      view->targets[view->count++]
          = reuse_or_add_target (targets, old, &list->vms[i], now_ms);
  qsort (view->targets, view->count, sizeof *view->targets, compare_targets);
  for (uint32_t i = 0; i < view->count; i++)
    view->fingerprint
        = XXH32 (&view->targets[i]->id_hash, sizeof (uint32_t), view->fingerprint);
  mark_missing_targets (targets, old, view, now_ms);
  g_hash_table_foreach_remove (targets->departures, is_departure_expired, &now_ms);
  rcu_assign_pointer (targets->view, view);
  urcu_bp_synchronize_rcu ();
  limpet_target_view_release (old);
}

LimpetTarget *
limpet_target_view_find (const LimpetTargetView *view, uint32_t id_hash)
{
  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->id_hash == id_hash)
      return view->targets[i];
  return NULL;
}

LimpetTarget *
limpet_targets_find (LimpetTargets *targets, uint32_t id_hash)
{
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  LimpetTarget *target = limpet_target_view_find (view, id_hash);

  if (target != NULL)
    limpet_target_ref (target);
  limpet_target_view_release (view);
  return target;
}

int32_t
limpet_target_inflight (const LimpetTarget *target)
{
  return atomic_load (&target->own_inflight) + atomic_load (&target->peers_inflight);
}

int32_t
limpet_target_long_inflight (const LimpetTarget *target)
{
  return atomic_load (&target->own_long) + atomic_load (&target->peers_long);
}

static int32_t
slow_start_weight (const LimpetTarget *target, LimpetMs now_ms)
{
  LimpetMs slow_start_ms = atomic_load (&target->slow_start_ms);
  int64_t steps = (now_ms - slow_start_ms) / SLOW_START_STEP_MS;

  if (slow_start_ms == 0 || steps > 10)
    return LIMPET_WEIGHT_FULL;
  return (int32_t)MIN (LIMPET_WEIGHT_FULL, SLOW_START_FIRST_WEIGHT << steps);
}

int32_t
limpet_target_weight (const LimpetTarget *target, LimpetMs now_ms)
{
  int32_t weight = atomic_load (&target->own_weight);

  weight = MIN (weight, slow_start_weight (target, now_ms));
  if (now_ms < atomic_load (&target->peers_weight_until_ms))
    weight = MIN (weight, atomic_load (&target->peers_weight));
  return weight;
}

bool
limpet_target_is_open (const LimpetTarget *target, LimpetMs now_ms)
{
  return limpet_target_is_usable (target)
         && now_ms >= atomic_load (&target->full_until_ms)
         && now_ms >= atomic_load (&target->failed_until_ms)
         && !limpet_target_is_resting (target, now_ms);
}

bool
limpet_target_is_resting (const LimpetTarget *target, LimpetMs now_ms)
{
  return now_ms < atomic_load (&target->rest_until_ms);
}

bool
limpet_target_is_usable (const LimpetTarget *target)
{
  return !atomic_load (&target->leaving) && !atomic_load (&target->is_emptied);
}

bool
limpet_target_is_cold (const LimpetTarget *target, LimpetMs now_ms)
{
  return now_ms < atomic_load (&target->cold_until_ms);
}

void
limpet_target_extend_cold (LimpetTarget *target, LimpetMs until_ms)
{
  atomic_store (&target->cold_until_ms,
                MAX (atomic_load (&target->cold_until_ms), until_ms));
}

bool
limpet_target_is_paced (const LimpetTarget *target, LimpetMs now_ms)
{
  return now_ms < atomic_load (&target->next_send_ms)
         || now_ms < atomic_load (&target->cold_next_send_ms);
}

void
limpet_target_mark_leaving (LimpetTarget *target, const char *source)
{
  if (!atomic_exchange (&target->leaving, true))
    limpet_log (LIMPET_LOG_NOTICE, "targets", target->vm.id, "leaving, reported by %s",
                source);
}

static void
update_average (double *average, double sample)
{
  *average = *average <= 0 ? sample : *average + AVERAGE_ALPHA * (sample - *average);
}

void
limpet_target_record_first_token_ms (LimpetTarget *target, double first_ms)
{
  pthread_mutex_lock (&target->lock);
  update_average (&target->latency.first_ms, first_ms);
  target->latency.sampled_ms = limpet_clock_mono_ms ();
  pthread_mutex_unlock (&target->lock);
}

void
limpet_target_record_pending_gap_ms (LimpetTarget *target, double waited_ms)
{
  pthread_mutex_lock (&target->lock);
  target->latency.gap_ms = MAX (target->latency.gap_ms, waited_ms);
  target->latency.sampled_ms = limpet_clock_mono_ms ();
  pthread_mutex_unlock (&target->lock);
}

double
limpet_target_token_gap_ms (LimpetTarget *target)
{
  double gap_ms;

  pthread_mutex_lock (&target->lock);
  gap_ms = target->latency.gap_ms;
  pthread_mutex_unlock (&target->lock);
  return gap_ms;
}

void
limpet_target_record_token_gap_ms (LimpetTarget *target, double gap_ms)
{
  pthread_mutex_lock (&target->lock);
  update_average (&target->latency.gap_ms, gap_ms);
  target->latency.sampled_ms = limpet_clock_mono_ms ();
  pthread_mutex_unlock (&target->lock);
}

void
limpet_target_record_result (LimpetTarget *target, LimpetStatus status)
{
  int32_t failures;
  LimpetMs backoff_ms;

  if (status == LIMPET_STATUS_OK)
    {
      atomic_store (&target->failures, 0);
      return;
    }
  if (status == LIMPET_STATUS_UNREACHABLE)
    atomic_store (&target->unreachable_ms, limpet_clock_mono_ms ());
  failures = atomic_fetch_add (&target->failures, 1);
  backoff_ms = MIN (BACKOFF_MAX_MS, (LimpetMs)BACKOFF_FIRST_MS << MIN (failures, 8));
  atomic_store (&target->failed_until_ms, limpet_clock_mono_ms () + backoff_ms);
}
