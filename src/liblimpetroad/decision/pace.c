#include "limpetroad/pace.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* Part of a new comparison in the pace: a memory of two seconds, since neighbours slow an
 * engine to 2.5 times for some 100 ms at a time (users' site files). */
#define PACE_PART 0.05
/* An engine this many times slower than its peers is slow, until it is within the other.
 */
#define SLOW_PACE 2.5
#define SOUND_PACE 1.6
/* Without samples a pace returns to the usual by this part each period: about 9 s. */
#define FORGET_PART 0.02
#define SAMPLE_LIFE_MS 1500
/* Fewer engines with samples say nothing. */
#define LEAST_PEERS 3
/* Of a group, at most this part is slow at once. */
#define MOST_SLOW_PART 0.3

static gint
compare_gaps (gconstpointer a, gconstpointer b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

static bool
is_fresh (LimpetTarget *target, LimpetMs now_ms)
{
  return target->times.gap_ms > 0 && now_ms - target->times.sampled_ms < SAMPLE_LIFE_MS;
}

static double
median_gap (LimpetTargetView *view, const char *group, LimpetMs now_ms)
{
  GArray *gaps = g_array_new (FALSE, FALSE, sizeof (double));
  double median = 0;

  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0
        && is_fresh (view->targets[i], now_ms))
      g_array_append_val (gaps, view->targets[i]->times.gap_ms);
  g_array_sort (gaps, compare_gaps);
  if (gaps->len >= LEAST_PEERS)
    median = g_array_index (gaps, double, gaps->len / 2);
  g_array_free (gaps, TRUE);
  return median;
}

static void
move_pace (LimpetTarget *target, double median_ms, LimpetMs now_ms)
{
  double pace = target->pace > 0 ? target->pace : 1;

  if (median_ms > 0 && is_fresh (target, now_ms))
    pace += PACE_PART * (target->times.gap_ms / median_ms - pace);
  else
    pace += FORGET_PART * (1 - pace);
  target->pace = pace;
}

static void
mark (LimpetTarget *target, bool slow)
{
  if (target->is_slow == slow)
    return;
  target->is_slow = slow;
  if (slow)
    limpet_count (LIMPET_COUNTER_SLOW_MARKS, 1);
  limpet_log (LIMPET_LOG_NOTICE, "pace", target->vm.id, "slow=%s pace=%.1f gap_ms=%.0f",
              slow ? "yes" : "no", target->pace, target->times.gap_ms);
}

static void
tick_group (LimpetTargetView *view, const char *group, LimpetMs now_ms)
{
  double median_ms = median_gap (view, group, now_ms);
  uint32_t members = 0;
  uint32_t slow = 0;

  for (uint32_t i = 0; i < view->count; i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0)
      {
        members++;
        move_pace (view->targets[i], median_ms, now_ms);
        if (view->targets[i]->pace < SOUND_PACE)
          mark (view->targets[i], false);
        slow += view->targets[i]->is_slow;
      }
  for (uint32_t i = 0; i < view->count && slow + 1 <= MOST_SLOW_PART * members; i++)
    if (strcmp (view->targets[i]->vm.group, group) == 0
        && view->targets[i]->pace > SLOW_PACE && !view->targets[i]->is_slow)
      {
        mark (view->targets[i], true);
        slow++;
      }
}

void
limpet_pace_tick (LimpetTargetView *view, LimpetMs now_ms)
{
  GHashTable *groups = g_hash_table_new (g_str_hash, g_str_equal);
  GHashTableIter iter;
  gpointer group;

  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->vm.kind == LIMPET_VM_ENGINE)
      g_hash_table_add (groups, view->targets[i]->vm.group);
  g_hash_table_iter_init (&iter, groups);
  while (g_hash_table_iter_next (&iter, &group, NULL))
    tick_group (view, group, now_ms);
  g_hash_table_destroy (groups);
}

bool
limpet_pace_is_slow (const LimpetTarget *target)
{
  return target->is_slow;
}
