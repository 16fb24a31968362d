#include "private/load_belief.h"

#include <glib.h>
#include <math.h>

/* When the last report of a target is older than this, the part of its load that other
 * routers sent is moved towards the mean by the fraction at each tick. */
#define OLD_REPORT_MS 1500
#define AGING_FRACTION 0.1
/* The load of a target changes within about the duration of a call. What a report shows
 * beyond the usual deviation of its target from the mean counts the less the older it is,
 * by this time constant. */
#define REPORT_VALIDITY_MS 500.0
/* Time constant of the usual deviation. */
#define USUAL_DEVIATION_MS 5000.0

void
limpet_load_belief_record_own (LimpetTarget *target, int change, LimpetMs now_ms)
{
  LimpetOwnHistory *own = &target->own_history;

  atomic_fetch_add (&target->own_inflight, change);
  own->events[own->next++ % LIMPET_OWN_EVENTS]
      = (LimpetOwnEvent){ .at_ms = now_ms, .change = (int8_t)change };
}

/* Returns the calls that this router had in flight at the target at at_ms. */
static int32_t
own_inflight_at (const LimpetTarget *target, LimpetMs at_ms)
{
  int32_t inflight = atomic_load (&target->own_inflight);

  for (uint32_t i = 0; i < LIMPET_OWN_EVENTS; i++)
    if (target->own_history.events[i].at_ms > at_ms)
      inflight -= target->own_history.events[i].change;
  return MAX (0, inflight);
}

/* Returns the believed load after a report. The mean of the group is known from many
 * reports; the deviation of one target from it is known from an old one only as far as it
 * lasts. */
static double
estimate_inflight (LimpetTarget *target,
                   int32_t reported,
                   LimpetMs since_last_ms,
                   LimpetMs age_ms)
{
  double deviation = reported - target->group_mean_inflight;
  double validity = exp (-(double)MAX (0, age_ms) / REPORT_VALIDITY_MS);

  if (target->group_mean_inflight <= 0)
    return reported;
  target->usual_deviation += (1 - exp (-(double)since_last_ms / USUAL_DEVIATION_MS))
                             * (deviation - target->usual_deviation);
  return target->group_mean_inflight + validity * deviation
         + (1 - validity) * target->usual_deviation;
}

void
limpet_load_belief_record_report (LimpetTarget *target,
                                  int32_t inflight,
                                  LimpetMs at_ms,
                                  LimpetMs now_ms)
{
  double estimate;
  int32_t own;

  if (at_ms < target->report.at_ms)
    return;
  estimate = estimate_inflight (target, inflight, at_ms - target->report.at_ms,
                                now_ms - at_ms);
  target->report = (LimpetTargetReport){
    .at_ms = at_ms,
    .inflight = inflight,
  };
  atomic_store (&target->reported_inflight, inflight);
  own = own_inflight_at (target, at_ms);
  target->reported_peers = MAX (0, inflight - own);
  atomic_store (&target->peers_inflight, (int32_t)MAX (0, estimate - own + 0.5));
}

typedef struct
{
  double inflight;
  double slots;
} GroupSums;

static bool
has_recent_report (const LimpetTarget *target, LimpetMs now_ms)
{
  return now_ms - target->report.at_ms <= OLD_REPORT_MS;
}

/* Returns the sums of what the targets have reported lately, by group. */
static GHashTable *
sum_groups (const LimpetTargetView *view, LimpetMs now_ms)
{
  GHashTable *groups
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];
      gpointer key = GUINT_TO_POINTER (target->group_hash);
      GroupSums *sums = g_hash_table_lookup (groups, key);

      if (!has_recent_report (target, now_ms) || !limpet_target_is_usable (target))
        continue;
      if (sums == NULL)
        {
          sums = g_new0 (GroupSums, 1);
          g_hash_table_insert (groups, key, sums);
        }
      sums->inflight += target->report.inflight;
      sums->slots += (double)target->vm.slots;
    }
  return groups;
}

/* A target that gets no requests any more, as its zone is emptied, has none soon. */
static void
age_target (LimpetTarget *target)
{
  double peers = atomic_load (&target->peers_inflight);
  double mean = limpet_target_is_usable (target) ? target->group_mean_inflight : 0;
  double expected = MAX (0, mean - atomic_load (&target->own_inflight));

  /* Rounded towards the expected value, which it would not reach otherwise. */
  peers += AGING_FRACTION * (expected - peers);
  atomic_store (&target->peers_inflight,
                (int32_t)(peers > expected ? peers : peers + 1 - AGING_FRACTION));
}

void
limpet_load_belief_age (const LimpetTargetView *view, LimpetMs now_ms)
{
  GHashTable *groups = sum_groups (view, now_ms);

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      const GroupSums *sums
          = g_hash_table_lookup (groups, GUINT_TO_POINTER (target->group_hash));

      target->group_mean_inflight
          = sums != NULL ? sums->inflight * (double)target->vm.slots / sums->slots : 0;
      if (target->report.at_ms == 0 || has_recent_report (target, now_ms))
        continue;
      age_target (target);
      target->reported_peers
          = MIN (target->reported_peers, atomic_load (&target->peers_inflight));
    }
  g_hash_table_destroy (groups);
}
