#include "limpetroad/outlier.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* The gap ratio of an engine is a moving average of its time between events divided by
 * the median of its group. This constant is the weight of a new sample. The average
 * covers about two seconds, because noisy neighbours slow an engine down by a factor
 * of 2.5 for some 100 ms at a time (users' site files). */
#define GAP_RATIO_ALPHA 0.05
/* An engine becomes slow when its gap ratio exceeds the first value, and recovers when
 * the gap ratio falls below the second. */
#define SLOW_GAP_RATIO 2.5
#define RECOVERED_GAP_RATIO 1.6
/* Without fresh samples, the difference between the gap ratio and 1 shrinks by this
 * fraction per period, and is small after about 9 s. */
#define UNSAMPLED_DECAY 0.02
/* An engine whose last sample is older has no fresh sample. */
#define MAX_SAMPLE_AGE_MS 1500
/* With fewer fresh samples in a group, no median is computed. */
#define MIN_FRESH_SAMPLES 3
/* At most this fraction of a group is marked as slow at once. */
#define MAX_SLOW_FRACTION 0.3

static gint
compare_gaps (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static bool
has_fresh_sample (LimpetTarget *target, LimpetMs now_ms)
{
  return target->latency.gap_ms > 0
         && now_ms - target->latency.sampled_ms < MAX_SAMPLE_AGE_MS;
}

/* Returns the median of the fresh samples of a group; 0 if there are too few. */
static double
median_gap (LimpetTargetView *view, const char *group, LimpetMs now_ms)
{
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (double));
  double median = 0;

  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0
        && has_fresh_sample (view->targets[i], now_ms))
      g_array_append_val (gaps, view->targets[i]->latency.gap_ms);
  g_array_sort (gaps, compare_gaps);
  if (gaps->len >= MIN_FRESH_SAMPLES)
    median = g_array_index (gaps, double, gaps->len / 2);
  g_array_free (gaps, TRUE);
  return median;
}

static void
update_gap_ratio (LimpetTarget *target, double median_ms, LimpetMs now_ms)
{
  double gap_ratio = target->gap_ratio > 0 ? target->gap_ratio : 1;

  if (median_ms > 0 && has_fresh_sample (target, now_ms))
    gap_ratio += GAP_RATIO_ALPHA * (target->latency.gap_ms / median_ms - gap_ratio);
  else
    gap_ratio += UNSAMPLED_DECAY * (1 - gap_ratio);
  target->gap_ratio = gap_ratio;
}

static void
set_slow (LimpetTarget *target, bool slow)
{
  if (target->is_slow == slow)
    return;
  target->is_slow = slow;
  if (slow)
    limpet_counter_add (LIMPET_COUNTER_SLOW_MARKS, 1);
  limpet_log (LIMPET_LOG_NOTICE, "pace", target->vm.id, "slow=%s pace=%.1f gap_ms=%.0f",
              slow ? "yes" : "no", target->gap_ratio, target->latency.gap_ms);
}

static void
update_group (LimpetTargetView *view, const char *group, LimpetMs now_ms)
{
  double median_ms = median_gap (view, group, now_ms);
  uint32_t engines = 0;
  uint32_t slow_count = 0;

  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0)
      {
        engines++;
        update_gap_ratio (view->targets[i], median_ms, now_ms);
        if (view->targets[i]->gap_ratio < RECOVERED_GAP_RATIO)
          set_slow (view->targets[i], false);
        slow_count += view->targets[i]->is_slow;
      }
  for (uint32_t i = 0; i < view->count && slow_count + 1 <= MAX_SLOW_FRACTION * engines;
       i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0
        && view->targets[i]->gap_ratio > SLOW_GAP_RATIO && !view->targets[i]->is_slow)
      {
        set_slow (view->targets[i], true);
        slow_count++;
      }
}

void
limpet_outlier_tick (LimpetTargetView *view, LimpetMs now_ms)
{
  GHashTable *groups = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer group;

  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->vm.kind == LIMPET_VM_ENGINE)
      g_hash_table_add (groups, view->targets[i]->vm.group);
  g_hash_table_iter_init (&iter, groups);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    update_group (view, group, now_ms);
  g_hash_table_destroy (groups);
}

bool
limpet_outlier_is_slow (const LimpetTarget *target)
{
  return target->is_slow;
}
