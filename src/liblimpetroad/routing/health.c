#include "limpetroad/targets.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* Lowest weight of a slow target, out of LIMPET_WEIGHT_FULL. It is above 0 so that the
 * target still gets requests. */
#define MIN_SLOW_WEIGHT 30
/* A target whose last sample is older has no fresh sample. It does not count for the
 * median and is not slow. */
#define MAX_SAMPLE_AGE_MS 1500
/* A target whose time between tokens exceeds the median by no more than this is not slow.
 */
#define SLOW_MARGIN_MS 8.0
/* Factors by which a reduced weight grows at each tick: of a target with a fresh sample
 * that is not slow, and of one without a fresh sample. */
#define WEIGHT_GROWTH_SAMPLED 1.5
#define WEIGHT_GROWTH_UNSAMPLED 1.015
/* With fewer fresh samples in a group, none of its targets is slow. */
#define MIN_FRESH_SAMPLES 3

/* Average time between tokens of one target at one tick. */
typedef struct
{
  LimpetTarget *target;
  double gap_ms;
  double ratio; /* gap_ms / median; 0 if not fresh or within SLOW_MARGIN_MS */
  bool is_fresh;
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

/* Fills samples with one entry per engine of the group, and returns their number. */
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
        .gap_ms = target->latency.gap_ms,
        .is_fresh = target->latency.gap_ms > 0
                    && now_ms - target->latency.sampled_ms < MAX_SAMPLE_AGE_MS,
      };
      pthread_mutex_unlock (&target->lock);
    }
  return count;
}

/* Returns the median of the fresh samples; 0 if there are none. */
static double
median_gap (Sample *samples, uint32_t count, uint32_t *fresh_count)
{
  Sample *fresh = g_new (Sample, count + 1);
  double median = 0;

  *fresh_count = 0;
  for (uint32_t i = 0; i < count; i++)
    if (samples[i].is_fresh)
      fresh[(*fresh_count)++] = samples[i];
  if (*fresh_count > 0)
    {
      qsort (fresh, *fresh_count, sizeof *fresh, compare_gaps);
      median = fresh[*fresh_count / 2].gap_ms;
    }
  g_free (fresh);
  return median;
}

/* Lowers the weight of a slow target, or raises that of any other by one step. Returns
 * whether the target became slow, that is, had its full weight before. */
static bool
update_weight (LimpetTarget *target, bool is_slow, bool is_fresh)
{
  int32_t old_weight = atomic_load (&target->own_weight);
  double grown
      = old_weight * (is_fresh ? WEIGHT_GROWTH_SAMPLED : WEIGHT_GROWTH_UNSAMPLED) + 1;
  int32_t weight = is_slow ? MAX (MIN_SLOW_WEIGHT, old_weight / 4)
                           : (int32_t)MIN (LIMPET_WEIGHT_FULL, grown);

  atomic_store (&target->own_weight, weight);
  if (is_slow && old_weight == LIMPET_WEIGHT_FULL)
    {
      limpet_counter_add (LIMPET_COUNTER_SLOW_MARKS, 1);
      limpet_log (LIMPET_LOG_NOTICE, "health", target->vm.id, "slower than its peers");
    }
  if (!is_slow && old_weight < LIMPET_WEIGHT_FULL && weight == LIMPET_WEIGHT_FULL)
    limpet_log (LIMPET_LOG_NOTICE, "health", target->vm.id, "back at full weight");
  return is_slow && old_weight == LIMPET_WEIGHT_FULL;
}

/* Updates the weights of the engines of a group. Returns whether any of them became slow.
 */
static bool
update_group (LimpetTargetView *view,
              const char *group,
              const LimpetFleetPart *fleet,
              LimpetMs now_ms)
{
  Sample *samples = g_new0 (Sample, view->count);
  uint32_t count = collect_group (view, group, now_ms, samples);
  uint32_t fresh_count = 0;
  bool became_slow = false;
  double median_ms = median_gap (samples, count, &fresh_count);
  uint32_t max_slow = (uint32_t)(count * (uint64_t)fleet->set_aside_percent / 100);

  for (uint32_t i = 0; i < count; i++)
    {
      atomic_store (&samples[i].target->group_median_gap_ms, median_ms);
      if (samples[i].is_fresh && median_ms > 0
          && samples[i].gap_ms > median_ms + SLOW_MARGIN_MS)
        samples[i].ratio = samples[i].gap_ms / median_ms;
    }
  qsort (samples, count, sizeof *samples, compare_ratios_descending);
  for (uint32_t i = 0; i < count; i++)
    {
      bool is_slow = fresh_count >= MIN_FRESH_SAMPLES && i < max_slow
                     && samples[i].ratio * 100 > (double)fleet->slow_ratio_percent;

      became_slow = update_weight (samples[i].target, is_slow, samples[i].is_fresh)
                    || became_slow;
    }
  g_free (samples);
  return became_slow;
}

bool
limpet_health_tick (LimpetTargetView *view, const LimpetFleetPart *fleet, LimpetMs now_ms)
{
  GHashTable *groups = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer group;
  bool became_slow = false;

  for (uint32_t i = 0; i < view->count; i++)
    g_hash_table_add (groups, view->targets[i]->vm.group);
  g_hash_table_iter_init (&iter, groups);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    became_slow = update_group (view, group, fleet, now_ms) || became_slow;
  g_hash_table_destroy (groups);
  return became_slow;
}
