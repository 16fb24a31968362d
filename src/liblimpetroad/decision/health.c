#include "limpetroad/targets.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

#define TRICKLE_WEIGHT 30
#define SAMPLE_LIFE_MS 1500
#define SLOW_FLOOR_MS 8.0
/* Growth of a lowered weight in one tick: with samples that are good, and without
 * samples. */
#define GROWTH_SEEN 1.5
#define GROWTH_UNSEEN 1.015
#define LEAST_PEERS 3

/* Times of one target at one tick. */
typedef struct
{
  LimpetTarget *target;
  double gap_ms;
  double ratio; /* to the median of the group */
  bool fresh;
} Sample;

static int
compare_gaps (const void *a, const void *b)
{
  double left = ((const Sample *)a)->gap_ms;
  double right = ((const Sample *)b)->gap_ms;

  return (left > right) - (left < right);
}

static int
compare_ratios_descending (const void *a, const void *b)
{
  double left = ((const Sample *)a)->ratio;
  double right = ((const Sample *)b)->ratio;

  return (left < right) - (left > right);
}

static uint32_t
collect_group (LimpetTargetView *view,
               const char *group,
               LimpetMs now_ms,
               Sample *samples)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (strcmp (target->vm.group, group) != 0 || target->vm.kind != LIMPET_VM_ENGINE)
        continue;
      pthread_mutex_lock (&target->lock);
      samples[count++] = (Sample){
        .target = target,
        .gap_ms = target->times.gap_ms,
        .fresh
        = target->times.gap_ms > 0 && now_ms - target->times.sampled_ms < SAMPLE_LIFE_MS,
      };
      pthread_mutex_unlock (&target->lock);
    }
  return count;
}

static double
median_gap (Sample *samples, uint32_t count, uint32_t *fresh_count)
{
  Sample *fresh = g_new (Sample, count + 1);
  double median = 0;

  *fresh_count = 0;
  for (uint32_t i = 0; i < count; i++)
    if (samples[i].fresh)
      fresh[(*fresh_count)++] = samples[i];
  if (*fresh_count > 0)
    {
      qsort (fresh, *fresh_count, sizeof *fresh, compare_gaps);
      median = fresh[*fresh_count / 2].gap_ms;
    }
  g_free (fresh);
  return median;
}

/* Returns whether the target became slow. */
static bool
move_weight (LimpetTarget *target, bool slow, bool fresh)
{
  int32_t old = atomic_load (&target->own_weight);
  double grown = old * (fresh ? GROWTH_SEEN : GROWTH_UNSEEN) + 1;
  int32_t weight
      = slow ? MAX (TRICKLE_WEIGHT, old / 4) : (int32_t)MIN (LIMPET_WEIGHT_FULL, grown);

  atomic_store (&target->own_weight, weight);
  if (slow && old == LIMPET_WEIGHT_FULL)
    {
      limpet_count (LIMPET_COUNTER_SLOW_MARKS, 1);
      limpet_log (LIMPET_LOG_NOTICE, "health", target->vm.id, "slower than its peers");
    }
  if (!slow && old < LIMPET_WEIGHT_FULL && weight == LIMPET_WEIGHT_FULL)
    limpet_log (LIMPET_LOG_NOTICE, "health", target->vm.id, "back at full weight");
  return slow && old == LIMPET_WEIGHT_FULL;
}

static bool
tick_group (LimpetTargetView *view,
            const char *group,
            const LimpetFleetPart *fleet,
            LimpetMs now_ms)
{
  Sample *samples = g_new0 (Sample, view->count);
  uint32_t count = collect_group (view, group, now_ms, samples);
  uint32_t fresh_count = 0;
  bool marked = false;
  double median_ms = median_gap (samples, count, &fresh_count);
  uint32_t allowed = (uint32_t)(count * (uint64_t)fleet->set_aside_percent / 100);

  for (uint32_t i = 0; i < count; i++)
    {
      atomic_store (&samples[i].target->peers_gap_ms, median_ms);
      if (samples[i].fresh && median_ms > 0
          && samples[i].gap_ms > median_ms + SLOW_FLOOR_MS)
        samples[i].ratio = samples[i].gap_ms / median_ms;
    }
  qsort (samples, count, sizeof *samples, compare_ratios_descending);
  for (uint32_t i = 0; i < count; i++)
    {
      bool slow = fresh_count >= LEAST_PEERS && i < allowed
                  && samples[i].ratio * 100 > (double)fleet->slow_ratio_percent;

      marked = move_weight (samples[i].target, slow, samples[i].fresh) || marked;
    }
  g_free (samples);
  return marked;
}

bool
limpet_health_tick (LimpetTargetView *view, const LimpetFleetPart *fleet, LimpetMs now_ms)
{
  GHashTable *groups = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer group;
  bool marked = false;

  for (uint32_t i = 0; i < view->count; i++)
    g_hash_table_add (groups, view->targets[i]->vm.group);
  g_hash_table_iter_init (&iter, groups);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    marked = tick_group (view, group, fleet, now_ms) || marked;
  g_hash_table_destroy (groups);
  return marked;
}
