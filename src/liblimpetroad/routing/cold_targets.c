#include "private/cold_targets.h"

#include "limpetroad/logger.h"

#include <glib.h>
#include <math.h>

/* A router that has just started knows too few of the others to know its part. */
#define MIN_RUNNING_MS 3000
/* The highest number of routers in the last one to two periods counts. */
#define ROUTER_COUNT_PERIOD_MS 30000
/* Largest part of the rate of a service that the routers plan with. */
#define MAX_PLANNED_FRACTION 0.9
/* The requests of many routers in a second are close to a Poisson variable, of which this
 * many standard deviations have to fit between its mean and the bound. */
#define PLANNED_DEVIATIONS 7.0
/* Some routers may know too few of the others, and take too large a part: with few
 * routers, the sum may be this many times what is planned. */
#define MAX_PART_EXCESS 1.5
/* After the cold time a target's rate rises from 1 to this multiple within another cold
 * time. */
#define MAX_RETURN_FACTOR 4.0
/* Time of the next send to a target that gets nothing. */
#define NEVER_MS G_MAXINT64

typedef struct
{
  double per_s; /* requests that a cold target bears from all routers together */
  LimpetMs cold_ms;
} Service;

struct LimpetColdTargets
{
  GHashTable *services; /* name → Service; only those whose targets may be cold */
  LimpetColdBound bound;
  LimpetMs started_ms;
  LimpetMs period_began_ms; /* of the count of routers */
  uint32_t routers;         /* the highest number in this period */
  uint32_t former_routers;  /* and in the one before */
  bool is_fleet_known;
};

LimpetColdTargets *
limpet_cold_targets_new (LimpetMs now_ms)
{
  LimpetColdTargets *cold = g_new0 (LimpetColdTargets, 1);

  cold->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  cold->bound.excess = 1;
  cold->started_ms = now_ms;
  cold->period_began_ms = now_ms;
  cold->routers = 1;
  cold->is_fleet_known = true;
  return cold;
}

void
limpet_cold_targets_delete (LimpetColdTargets *cold)
{
  g_hash_table_destroy (cold->services);
  g_free (cold);
}

void
limpet_cold_targets_set_bound (LimpetColdTargets *cold, const LimpetColdBound *bound)
{
  cold->bound = *bound;
}

void
limpet_cold_targets_set_services (LimpetColdTargets *cold, const LimpetRouteTable *table)
{
  g_hash_table_remove_all (cold->services);
  for (guint i = 0; i < table->services->len; i++)
    {
      const LimpetRouteService *service = g_ptr_array_index (table->services, i);
      Service entry = { .per_s = service->cold_per_s, .cold_ms = service->cold_ms };

      if (entry.per_s > 0)
        g_hash_table_replace (cold->services, g_strdup (service->name),
                              g_memdup2 (&entry, sizeof entry));
    }
}

void
limpet_cold_targets_set_routers (LimpetColdTargets *cold, uint32_t count, LimpetMs now_ms)
{
  if (now_ms - cold->period_began_ms >= ROUTER_COUNT_PERIOD_MS)
    {
      cold->former_routers = cold->routers;
      cold->routers = 1;
      cold->period_began_ms = now_ms;
    }
  cold->routers = MAX (cold->routers, count);
}

void
limpet_cold_targets_set_fleet_known (LimpetColdTargets *cold, bool is_known)
{
  cold->is_fleet_known = is_known;
}

void
limpet_cold_targets_mark (const LimpetColdTargets *cold,
                          LimpetTarget *target,
                          LimpetMs now_ms)
{
  const Service *service = g_hash_table_lookup (cold->services, target->vm.group);

  if (service != NULL)
    limpet_target_extend_cold (target, now_ms + service->cold_ms);
}

/* Returns the requests per second that all routers together plan to send to a cold
 * target. With few routers, their intervals keep them within the bound even if all of
 * them send at once. */
static double
planned_per_s (const LimpetColdTargets *cold, const Service *service, uint32_t routers)
{
  double bound = cold->bound.excess * service->per_s + cold->bound.slack;
  double root
      = (sqrt (PLANNED_DEVIATIONS * PLANNED_DEVIATIONS + 4 * bound) - PLANNED_DEVIATIONS)
        / 2;

  return MIN (MAX_PLANNED_FRACTION * service->per_s,
              MAX (root * root, (bound - routers - 1) / MAX_PART_EXCESS));
}

/* Returns the multiple of its planned rate that a target gets which is cold, or was. */
static double
return_factor (const LimpetTarget *target, const Service *service, LimpetMs now_ms)
{
  LimpetMs since_ms = now_ms - atomic_load (&target->cold_until_ms);

  return 1
         + (MAX_RETURN_FACTOR - 1) * (double)MAX (0, since_ms)
               / (double)MAX (1, service->cold_ms);
}

static bool
is_paced (const LimpetTarget *target, const Service *service, LimpetMs now_ms)
{
  LimpetMs until_ms = atomic_load (&target->cold_until_ms);

  return service != NULL && until_ms > 0 && now_ms < until_ms + service->cold_ms;
}

static void
end_pacing (LimpetTarget *target)
{
  if (target->cold_own_per_s > 0 || atomic_load (&target->cold_next_send_ms) > 0)
    limpet_log (LIMPET_LOG_NOTICE, "cold", target->vm.id, "ended");
  target->cold_own_per_s = 0;
  atomic_store (&target->cold_next_send_ms, 0);
}

static LimpetMs
interval_ms (const LimpetTarget *target)
{
  return (LimpetMs)ceil (1000 / target->cold_own_per_s);
}

static void
update_target (const LimpetColdTargets *cold, LimpetTarget *target, LimpetMs now_ms)
{
  const Service *service = g_hash_table_lookup (cold->services, target->vm.group);
  uint32_t routers = MAX (cold->routers, cold->former_routers);
  bool is_new = target->cold_own_per_s <= 0;
  LimpetMs next_ms = atomic_load (&target->cold_next_send_ms);

  if (!is_paced (target, service, now_ms))
    {
      end_pacing (target);
      return;
    }
  if (!cold->is_fleet_known || now_ms - cold->started_ms < MIN_RUNNING_MS)
    {
      target->cold_own_per_s = 0;
      atomic_store (&target->cold_next_send_ms, NEVER_MS);
      return;
    }
  target->cold_own_per_s = planned_per_s (cold, service, routers)
                           * return_factor (target, service, now_ms) / routers;
  if (is_new)
    {
      limpet_log (LIMPET_LOG_NOTICE, "cold", target->vm.id,
                  "left_ms=%ld own_per_s=%.3f routers=%u",
                  (long)(atomic_load (&target->cold_until_ms) - now_ms),
                  target->cold_own_per_s, routers);
      /* Routers that learn of a cold target together do not send together. */
      next_ms = now_ms + (LimpetMs)(g_random_double () * (double)interval_ms (target));
    }
  atomic_store (&target->cold_next_send_ms, MIN (next_ms, now_ms + interval_ms (target)));
}

void
limpet_cold_targets_update (LimpetColdTargets *cold,
                            const LimpetTargetView *view,
                            LimpetMs now_ms)
{
  for (uint32_t i = 0; i < view->count; i++)
    if (atomic_load (&view->targets[i]->cold_until_ms) > 0)
      update_target (cold, view->targets[i], now_ms);
}

void
limpet_cold_targets_record_send (LimpetTarget *target, LimpetMs now_ms)
{
  if (target->cold_own_per_s > 0)
    atomic_store (&target->cold_next_send_ms, now_ms + interval_ms (target));
}
