#include "private/target_rate.h"

#include "limpetroad/limits.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* A limited target gets at least this many requests per second, so that its responses
 * show when the limit ends. */
#define MIN_RATE_PER_S 0.1
/* The targets of a group together get at least this many, because callers are refused
 * while all of them are limited to less. */
#define MIN_GROUP_RATE_PER_S 0.25
/* Fraction of a limit that the routers plan with; the rest is a margin for requests of
 * several routers that coincide. */
#define PLANNED_LIMIT_FRACTION 0.9
/* Each router may send its part of the limit, or this multiple of it to an engine whose
 * weight keeps the sum of all routers near the limit: single routers need room for calls
 * that come in irregular intervals. The more calls the engines without a limit hold, the
 * more go elsewhere than to their homes, which the weights do not cover. The multiple
 * therefore falls to 1 while these engines fill up from FULL_LOAD_PER_SLOT calls per slot
 * to FULL_LOAD_PER_SLOT + QUEUED_LOAD_PER_SLOT. */
#define MAX_PART_FACTOR 3.0
#define FULL_LOAD_PER_SLOT 1.5
#define QUEUED_LOAD_PER_SLOT 0.5
/* The users count the requests to a limited target in any LIMIT_WINDOW_S, and allow
 * LIMIT_FACTOR times what the limit says plus LIMIT_SLACK; the margin is for requests
 * under way. A fleet of few routers stays within that even if all of them send at once.
 */
#define LIMIT_WINDOW_S 4.0
#define LIMIT_FACTOR 1.5
#define LIMIT_SLACK 5.0
#define LIMIT_MARGIN 2.0
/* A limited engine may hold this multiple of the requests that its limit explains, plus
 * one. */
#define MAX_INFLIGHT_FACTOR 1.2
/* Lowest weight, so that a limited engine keeps some contexts. */
#define MIN_WEIGHT 0.02
/* Weight of a new sample in the moving averages of a group, about 2 s at a tick of
 * 100 ms. */
#define SAMPLE_WEIGHT 0.05
#define TICKS_PER_S 10.0
/* Assumed duration of a call before one has ended. */
#define DEFAULT_DURATION_S 1.0
#define MIN_DURATION_S 0.001
/* A mean duration is known if at least this many calls have ended in a second. */
#define MIN_ENDED_PER_S 0.5

bool
limpet_target_rate_set (LimpetTarget *target, const double *per_s, LimpetMs at_ms)
{
  LimpetTargetRateLimit *limit = &target->rate_limit;

  if (at_ms < limit->at_ms)
    return false;
  limit->at_ms = at_ms;
  if (per_s != NULL && (!limit->is_set || *per_s != limit->per_s))
    limpet_log (LIMPET_LOG_NOTICE, "limit", target->vm.id, "per_s=%.2f", *per_s);
  if (per_s == NULL && limit->is_set)
    limpet_log (LIMPET_LOG_NOTICE, "limit", target->vm.id, "lifted");
  limit->is_set = per_s != NULL;
  limit->per_s = per_s != NULL ? *per_s : 0;
  return true;
}

static double
planned_per_s (const LimpetTarget *target)
{
  return MAX (PLANNED_LIMIT_FRACTION * target->rate_limit.per_s,
              MAX (target->rate_limit.min_per_s, MIN_RATE_PER_S));
}

/* Returns the minimum interval between requests of this router. */
static LimpetMs
interval_ms (const LimpetTarget *target)
{
  return (LimpetMs)(1000 / target->rate_limit.own_per_s);
}

static LimpetMs
draw_delay_ms (LimpetMs interval)
{
  return (LimpetMs)(g_random_double () * (double)interval);
}

/* Returns the largest multiple of its part with which each router keeps within what the
 * users allow whatever the others do; below 1 if there are too many routers. */
static double
guaranteed_factor (const LimpetTarget *target, uint32_t routers)
{
  double allowed = LIMIT_FACTOR * LIMIT_WINDOW_S * target->rate_limit.per_s + LIMIT_SLACK
                   - LIMIT_MARGIN - routers;

  return allowed / (LIMIT_WINDOW_S * planned_per_s (target));
}

/* Returns the part of MIN_GROUP_RATE_PER_S of each target of a group; 0 if one of them
 * has no limit, if they take more, or if MIN_RATE_PER_S for each of them is enough. */
static double
group_minimum_per_s (const LimpetTargetView *view, const char *group)
{
  double limits_per_s = 0;
  uint32_t targets = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];

      if (strcmp (target->vm.group, group) != 0 || !limpet_target_is_usable (target))
        continue;
      targets++;
      limits_per_s += target->rate_limit.per_s;
      if (!target->rate_limit.is_set
          || PLANNED_LIMIT_FRACTION * limits_per_s >= MIN_GROUP_RATE_PER_S
          || targets * MIN_RATE_PER_S >= MIN_GROUP_RATE_PER_S)
        return 0;
    }
  return targets > 0 ? MIN_GROUP_RATE_PER_S / targets : 0;
}

void
limpet_target_rate_set_minimum (LimpetTarget *target, const LimpetTargetView *view)
{
  LimpetTargetRateLimit *limit = &target->rate_limit;

  limit->min_per_s = 0;
  if (limit->is_set && PLANNED_LIMIT_FRACTION * limit->per_s < MIN_GROUP_RATE_PER_S)
    limit->min_per_s = group_minimum_per_s (view, target->vm.group);
}

void
limpet_target_rate_update (LimpetTarget *target,
                           uint32_t routers,
                           double part_factor,
                           LimpetMs now_ms)
{
  LimpetTargetRateLimit *limit = &target->rate_limit;
  bool was_limited = limit->own_per_s > 0;
  LimpetMs next_ms = atomic_load (&target->next_send_ms);

  if (limit->is_set && now_ms - limit->at_ms > LIMPET_RATE_LIMIT_VALIDITY_MS)
    {
      limpet_log (LIMPET_LOG_NOTICE, "limit", target->vm.id, "expired");
      limit->is_set = false;
    }
  if (!limit->is_set)
    {
      limit->own_per_s = 0;
      atomic_store (&target->next_send_ms, 0);
      return;
    }
  if (guaranteed_factor (target, routers) >= 1)
    part_factor = MIN (part_factor, guaranteed_factor (target, routers));
  limit->own_per_s = part_factor * planned_per_s (target) / routers;
  /* Routers that learn of a limit together do not send together. */
  if (!was_limited)
    next_ms = now_ms + draw_delay_ms (interval_ms (target));
  atomic_store (&target->next_send_ms, MIN (next_ms, now_ms + interval_ms (target)));
}

void
limpet_target_rate_record_send (LimpetTarget *target, LimpetMs now_ms)
{
  if (target->rate_limit.own_per_s > 0)
    atomic_store (&target->next_send_ms, now_ms + interval_ms (target));
}

/* Calls of this router at the engines with a limit, or at those without one; moving
 * averages. Engines with a limit hold fewer calls, which take less time. */
typedef struct
{
  double inflight;
  double ended_per_s;
  uint32_t ended; /* since the last tick */
} OwnCalls;

/* The engines of a group. */
typedef struct
{
  OwnCalls limited;
  OwnCalls unlimited;
  /* Moving average of the requests in flight per slot of the engines without a limit. */
  double load_per_slot;
  double part_factor; /* see MAX_PART_FACTOR */
} Group;

/* Sums over the engines of a group at one tick. */
typedef struct
{
  int64_t own_limited;
  int64_t own_unlimited;
  int64_t inflight; /* of engines without a limit, by all routers */
  int64_t slots;    /* the same */
  uint32_t limited; /* engines with a limit */
  double max_limit_per_slot;
} Sums;

struct LimpetRateBalancer
{
  GHashTable *groups; /* name → Group */
};

LimpetRateBalancer *
limpet_rate_balancer_new (void)
{
  LimpetRateBalancer *balancer = g_new0 (LimpetRateBalancer, 1);

  balancer->groups = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return balancer;
}

void
limpet_rate_balancer_delete (LimpetRateBalancer *balancer)
{
  g_hash_table_destroy (balancer->groups);
  g_free (balancer);
}

static Group *
get_group (LimpetRateBalancer *balancer, const char *name)
{
  Group *group = g_hash_table_lookup (balancer->groups, name);

  if (group == NULL)
    {
      group = g_new0 (Group, 1);
      group->part_factor = 1;
      g_hash_table_insert (balancer->groups, g_strdup (name), group);
    }
  return group;
}

void
limpet_rate_balancer_record_release (LimpetRateBalancer *balancer,
                                     const LimpetTarget *target)
{
  Group *group = get_group (balancer, target->vm.group);

  if (target->rate_limit.is_set)
    group->limited.ended++;
  else
    group->unlimited.ended++;
}

double
limpet_rate_balancer_part_factor (const LimpetRateBalancer *balancer, const char *group)
{
  const Group *known = g_hash_table_lookup (balancer->groups, group);

  return known != NULL ? known->part_factor : 1;
}

static bool
is_engine_of (const LimpetTarget *target, const char *group)
{
  return target->vm.kind == LIMPET_VM_ENGINE && strcmp (target->vm.group, group) == 0
         && limpet_target_is_usable (target);
}

static Sums
sum_group (const LimpetTargetView *view, const char *name)
{
  Sums sums = { .slots = 0 };

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];

      if (!is_engine_of (target, name))
        continue;
      if (target->rate_limit.is_set)
        {
          sums.limited++;
          sums.own_limited += atomic_load (&target->own_inflight);
          sums.max_limit_per_slot
              = MAX (sums.max_limit_per_slot,
                     target->rate_limit.per_s / (double)target->vm.slots);
          continue;
        }
      sums.own_unlimited += atomic_load (&target->own_inflight);
      sums.inflight += limpet_target_inflight (target);
      sums.slots += target->vm.slots;
    }
  return sums;
}

static void
add_sample (double *average, double sample)
{
  *average += SAMPLE_WEIGHT * (sample - *average);
}

static void
update_calls (OwnCalls *calls, int64_t inflight)
{
  add_sample (&calls->inflight, (double)inflight);
  add_sample (&calls->ended_per_s, TICKS_PER_S * calls->ended);
  calls->ended = 0;
}

static void
update_averages (Group *group, const Sums *sums)
{
  update_calls (&group->limited, sums->own_limited);
  update_calls (&group->unlimited, sums->own_unlimited);
  if (sums->slots > 0)
    add_sample (&group->load_per_slot, (double)sums->inflight / (double)sums->slots);
}

static double
part_factor (const Group *group, const Sums *sums)
{
  double load_per_slot
      = sums->slots > 0 ? (double)sums->inflight / (double)sums->slots : G_MAXDOUBLE;
  double queued_part = (MAX (load_per_slot, group->load_per_slot) - FULL_LOAD_PER_SLOT)
                       / QUEUED_LOAD_PER_SLOT;

  return MAX_PART_FACTOR - (MAX_PART_FACTOR - 1) * CLAMP (queued_part, 0, 1);
}

/* Returns the mean duration of calls by Little's law, or fallback_s if too few have ended
 * lately. */
static double
mean_duration_s (const OwnCalls *calls, double fallback_s)
{
  return calls->ended_per_s >= MIN_ENDED_PER_S ? calls->inflight / calls->ended_per_s
                                               : fallback_s;
}

/* Sets the weight of a limited engine to its limit, relative to the requests per second
 * of an engine without a limit, which follow from its load by Little's law. */
static void
update_engine (LimpetTarget *target, const Group *group, const Sums *sums)
{
  double duration_s = mean_duration_s (&group->unlimited, DEFAULT_DURATION_S);
  double limited_s = mean_duration_s (&group->limited, duration_s);
  double limit_per_s = planned_per_s (target);
  double slots = (double)target->vm.slots;
  double usual_per_slot = sums->slots > 0
                              ? group->load_per_slot / MAX (duration_s, MIN_DURATION_S)
                              : sums->max_limit_per_slot;
  double weight = usual_per_slot > 0 ? limit_per_s / slots / usual_per_slot : 1;

  target->rate_limit.weight = CLAMP (weight, MIN_WEIGHT, 1);
  target->rate_limit.max_inflight = MAX_INFLIGHT_FACTOR * limit_per_s * limited_s + 1;
}

void
limpet_rate_balancer_tick (LimpetRateBalancer *balancer, const LimpetTargetView *view)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  /* Limits may be known before a call of the group has ended. */
  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->rate_limit.is_set)
      get_group (balancer, view->targets[i]->vm.group);
  g_hash_table_iter_init (&iter, balancer->groups);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      Sums sums = sum_group (view, name);

      update_averages (value, &sums);
      ((Group *)value)->part_factor = part_factor (value, &sums);
      for (uint32_t i = 0; sums.limited > 0 && i < view->count; i++)
        if (is_engine_of (view->targets[i], name) && view->targets[i]->rate_limit.is_set)
          update_engine (view->targets[i], value, &sums);
    }
}
