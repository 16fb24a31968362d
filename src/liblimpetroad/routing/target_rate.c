#include "private/target_rate.h"

#include "limpetroad/limits.h"
#include "limpetroad/logger.h"

#include <glib.h>

/* A limited target gets at least this many requests per second, so that its responses
 * show when the limit ends. */
#define MIN_RATE_PER_S 0.1
/* Number of routers that share a limit of L requests per second: L times
 * SHARERS_PER_RATE, plus MIN_SHARERS. Each of them may send one request at any moment, so
 * more of them could exceed the limit together. */
#define SHARERS_PER_RATE 2.0
#define MIN_SHARERS 2.0
/* A target of which this router has no part is closed for this time, which each update
 * renews. */
#define NO_PART_MS 1000

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

static LimpetMs
interval_ms (const LimpetTarget *target)
{
  return (LimpetMs)(1000 / target->rate_limit.own_per_s);
}

static double
own_part (double per_s, uint32_t routers, uint32_t rank)
{
  double rate = MAX (per_s, MIN_RATE_PER_S);
  uint32_t sharers = (uint32_t)MIN ((double)routers, rate * SHARERS_PER_RATE + MIN_SHARERS);

  return rank < sharers ? rate / sharers : 0;
}

void
limpet_target_rate_update (LimpetTarget *target,
                           uint32_t routers,
                           uint32_t rank,
                           LimpetMs now_ms)
{
  LimpetTargetRateLimit *limit = &target->rate_limit;
  double old_per_s = limit->own_per_s;
  LimpetMs next_ms = atomic_load (&target->next_send_ms);

  if (limit->is_set && now_ms - limit->at_ms > LIMPET_RATE_LIMIT_VALIDITY_MS)
    {
      limpet_log (LIMPET_LOG_NOTICE, "limit", target->vm.id, "expired");
      limit->is_set = false;
    }
  limit->own_per_s = limit->is_set ? own_part (limit->per_s, routers, rank) : 0;
  if (!limit->is_set)
    next_ms = 0;
  else if (limit->own_per_s == 0)
    next_ms = now_ms + NO_PART_MS;
  else if (old_per_s == 0)
    /* Routers that learn of a limit together do not send together. */
    next_ms = now_ms + (LimpetMs)(g_random_double () * (double)interval_ms (target));
  else
    next_ms = MIN (next_ms, now_ms + interval_ms (target));
  atomic_store (&target->next_send_ms, next_ms);
}

void
limpet_target_rate_record_send (LimpetTarget *target, LimpetMs now_ms)
{
  if (target->rate_limit.own_per_s > 0)
    atomic_store (&target->next_send_ms, now_ms + interval_ms (target));
}
