#include "private/brittle_targets.h"

#include "limpetroad/limits.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <xxhash.h>

/* A router counts for this time after it was last known. */
#define ROUTER_MEMORY_MS 5000
/* A router that has just started assumes this many until it has found the others, and
 * takes for this time only its part of the slots of services that have not responded yet:
 * they may be brittle, which it would then learn from another router. */
#define ASSUMED_ROUTERS 16
#define LEARNING_MS 3000
/* Parts of the refusals that a target bears. Routers that were turned away come back so
 * often that they are refused at most REST_FRACTION. Where routers take turns, one call
 * may be refused for each turn that begins while the call of an earlier one still runs,
 * and EXTRA_FRACTION more routers than slots have their turn. */
#define REST_FRACTION 0.5
#define TURN_FRACTION 0.25
#define EXTRA_FRACTION 0.25
/* The parts of the slots are computed anew after this time, or when a router was added or
 * removed. */
#define SHARE_VALIDITY_MS 400
/* With fewer calls than this for each router, at all targets of a service together, most
 * routers would have to refuse their callers beside idle targets. Each may then have one
 * call at each target, and only the rests bound the refusals. */
#define MIN_CALLS_PER_ROUTER 0.6
/* Bounds of the time in which each router has its turn. */
#define MIN_ROUND_MS 1024
#define MAX_ROUND_MS (1024 * 1024)
#define MIN_REST_MS 100
#define MAX_REST_MS 10000

typedef struct
{
  bool is_heard; /* a target of the service has responded to this router */
  bool is_brittle;
  LimpetMs said_ms; /* when a target last said that it is brittle; 0 for never */
  double max_refusals_per_s;
  uint32_t allowed; /* sum of allowed_calls() of its targets */
} Service;

typedef struct
{
  uint32_t address;
  LimpetMs known_ms; /* when it was last among the known routers */
} Router;

struct LimpetBrittleTargets
{
  LimpetMs start_ms;
  GHashTable *services; /* LimpetTarget.group_hash → Service */
  GArray *routers;      /* of Router; the first is this one */
  uint32_t version;     /* of the parts of the slots; never 0 */
  LimpetMs version_ms;  /* when it changed */
};

LimpetBrittleTargets *
limpet_brittle_targets_new (LimpetMs now_ms)
{
  LimpetBrittleTargets *brittle = g_new0 (LimpetBrittleTargets, 1);

  brittle->services = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  brittle->start_ms = now_ms;
  brittle->version = 1;
  brittle->routers = g_array_new (FALSE, FALSE, sizeof (Router));
  /* The numbers of the assumed routers are no addresses of real ones. */
  for (uint32_t i = 0; i < ASSUMED_ROUTERS; i++)
    {
      Router router = { .address = i, .known_ms = now_ms };

      g_array_append_val (brittle->routers, router);
    }
  return brittle;
}

void
limpet_brittle_targets_delete (LimpetBrittleTargets *brittle)
{
  g_hash_table_destroy (brittle->services);
  g_array_free (brittle->routers, TRUE);
  g_free (brittle);
}

static void
set_known (LimpetBrittleTargets *brittle, uint32_t address, LimpetMs now_ms)
{
  GArray *routers = brittle->routers;
  Router added = { .address = address, .known_ms = now_ms };

  for (guint i = 0; i < routers->len; i++)
    {
      Router *router = &g_array_index (routers, Router, i);

      if (router->address != address)
        continue;
      router->known_ms = now_ms;
      return;
    }
  g_array_append_val (routers, added);
  brittle->version++;
}

void
limpet_brittle_targets_set_routers (LimpetBrittleTargets *brittle,
                                    const uint32_t *addresses,
                                    uint32_t count,
                                    LimpetMs now_ms)
{
  GArray *routers = brittle->routers;

  if (count == 0)
    return;
  if (g_array_index (routers, Router, 0).address != addresses[0])
    brittle->version++;
  g_array_index (routers, Router, 0)
      = (Router){ .address = addresses[0], .known_ms = now_ms };
  for (uint32_t i = 1; i < count; i++)
    set_known (brittle, addresses[i], now_ms);
  for (guint i = 1; i < routers->len;)
    if (now_ms - g_array_index (routers, Router, i).known_ms > ROUTER_MEMORY_MS)
      {
        g_array_remove_index_fast (routers, i);
        brittle->version++;
      }
    else
      i++;
}

static Service *
get_service (LimpetBrittleTargets *brittle, uint32_t group_hash)
{
  Service *service
      = g_hash_table_lookup (brittle->services, GUINT_TO_POINTER (group_hash));

  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      g_hash_table_insert (brittle->services, GUINT_TO_POINTER (group_hash), service);
    }
  return service;
}

/* Returns whether the service was not known to be brittle in this way. */
static bool
record_said (Service *service, double max_refusals_per_s, LimpetMs at_ms)
{
  bool is_new = !service->is_brittle || service->max_refusals_per_s != max_refusals_per_s;

  service->said_ms = at_ms;
  service->max_refusals_per_s = max_refusals_per_s;
  return is_new;
}

bool
limpet_brittle_targets_record_response (LimpetBrittleTargets *brittle,
                                        LimpetTarget *target,
                                        const double *max_refusals_per_s,
                                        LimpetMs now_ms)
{
  Service *service = get_service (brittle, target->group_hash);
  bool is_first = !service->is_heard;

  service->is_heard = true;
  if (max_refusals_per_s != NULL)
    return record_said (service, *max_refusals_per_s, now_ms) || !target->is_brittle;
  target->not_brittle_ms = now_ms;
  return is_first || target->is_brittle;
}

bool
limpet_brittle_targets_record_peer (LimpetBrittleTargets *brittle,
                                    uint32_t group_hash,
                                    double max_refusals_per_s,
                                    LimpetMs at_ms)
{
  Service *service = get_service (brittle, group_hash);

  return at_ms > service->said_ms && record_said (service, max_refusals_per_s, at_ms);
}

static bool
is_brittle (const Service *service, const LimpetTarget *target, LimpetMs now_ms)
{
  return service->said_ms > target->not_brittle_ms
         && now_ms - service->said_ms <= LIMPET_RATE_LIMIT_VALIDITY_MS;
}

/* Returns the position of the router in the order of the target, seen from where the
 * rotation has come to. */
static uint32_t
distance (const Router *router, const LimpetTarget *target, uint32_t rotation)
{
  return XXH32 (&router->address, sizeof router->address, target->id_hash) - rotation;
}

/* Returns how far the turns have moved on, out of 2^32 for a whole round. The length of a
 * round changes seldom, so that routers which know of slightly different numbers of
 * routers agree. Clocks that differ make some turns overlap. */
static uint32_t
rotation_of (uint32_t routers, double max_refusals_per_s, LimpetMs wall_ms)
{
  double turns_per_s = TURN_FRACTION * max_refusals_per_s;
  uint64_t round_ms = MIN_ROUND_MS;

  if (turns_per_s <= 0)
    return 0;
  while (round_ms < MAX_ROUND_MS && (double)round_ms * turns_per_s < 1000.0 * routers)
    round_ms *= 2;
  return (uint32_t)(((uint64_t)wall_ms % round_ms << 32) / round_ms);
}

/* Returns how many calls all routers together may have in flight at the target. */
static uint32_t
allowed_calls (const LimpetTarget *target, uint32_t routers, double max_refusals_per_s)
{
  uint32_t slots = (uint32_t)MAX (1, target->vm.slots);

  if (slots >= routers)
    return slots;
  return slots
         + (uint32_t)MIN (EXTRA_FRACTION * max_refusals_per_s, (double)(routers - slots));
}

static bool
are_slots_divided (const LimpetBrittleTargets *brittle, const Service *service)
{
  return service->allowed >= MIN_CALLS_PER_ROUTER * brittle->routers->len;
}

/* Returns how many of these are this router's. */
static int32_t
slot_share (const LimpetBrittleTargets *brittle,
            const Service *service,
            const LimpetTarget *target,
            LimpetMs wall_ms)
{
  const Router *own = &g_array_index (brittle->routers, Router, 0);
  uint32_t routers = brittle->routers->len;
  double max_refusals_per_s = target->max_refusals_per_s;
  uint32_t allowed = allowed_calls (target, routers, max_refusals_per_s);
  uint32_t rotation
      = allowed < routers ? rotation_of (routers, max_refusals_per_s, wall_ms) : 0;
  uint32_t own_distance = distance (own, target, rotation);
  uint32_t rank = 0;

  if (!are_slots_divided (brittle, service))
    return 1;
  if (allowed % routers == 0)
    return (int32_t)(allowed / routers);
  for (guint i = 1; i < routers; i++)
    rank += distance (&g_array_index (brittle->routers, Router, i), target, rotation)
            < own_distance;
  return (int32_t)(allowed / routers + (rank < allowed % routers ? 1 : 0));
}

/* Sets this router's part of the slots. The first response of a service tells whether it
 * is brittle, so each target gets at least one call until then. */
static void
update_share (const LimpetBrittleTargets *brittle,
              const Service *service,
              LimpetTarget *target,
              LimpetMs wall_ms)
{
  target->slot_share = slot_share (brittle, service, target, wall_ms);
  if (!target->is_brittle)
    target->slot_share = MAX (1, target->slot_share);
  target->slot_share_version = brittle->version;
}

static void
update_target (LimpetBrittleTargets *brittle,
               LimpetTarget *target,
               LimpetMs now_ms,
               LimpetMs wall_ms)
{
  const Service *service = get_service (brittle, target->group_hash);
  bool was_brittle = target->is_brittle;

  target->is_brittle = is_brittle (service, target, now_ms);
  target->max_refusals_per_s = target->is_brittle ? service->max_refusals_per_s : 0;
  if (target->is_brittle && !was_brittle)
    target->brittle_ms = now_ms;
  target->has_slot_share
      = target->is_brittle
        || (!service->is_heard && now_ms - brittle->start_ms <= LEARNING_MS);
  if (target->has_slot_share
      && (target->is_brittle != was_brittle
          || target->slot_share_version != brittle->version))
    update_share (brittle, service, target, wall_ms);
}

/* Logs the services that have become brittle or sound. */
static void
log_changes (LimpetBrittleTargets *brittle, const LimpetTargetView *view, LimpetMs now_ms)
{
  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];
      Service *service = get_service (brittle, target->group_hash);

      if (!target->is_brittle || service->is_brittle)
        continue;
      service->is_brittle = true;
      limpet_log (LIMPET_LOG_NOTICE, "brittle", target->vm.group,
                  "is_brittle=1 max_refusals_per_s=%.1f said_ago_ms=%ld routers=%u "
                  "slot_share=%d",
                  service->max_refusals_per_s, (long)(now_ms - service->said_ms),
                  brittle->routers->len, target->slot_share);
    }
}

static bool
has_brittle_target (const LimpetTargetView *view, uint32_t group_hash)
{
  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->group_hash == group_hash && view->targets[i]->is_brittle)
      return true;
  return false;
}

static void
log_ends (LimpetBrittleTargets *brittle, const LimpetTargetView *view, LimpetMs now_ms)
{
  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];
      Service *service = get_service (brittle, target->group_hash);

      if (!service->is_brittle || has_brittle_target (view, target->group_hash))
        continue;
      service->is_brittle = false;
      limpet_log (LIMPET_LOG_NOTICE, "brittle", target->vm.group,
                  "is_brittle=0 said_ago_ms=%ld", (long)(now_ms - service->said_ms));
    }
}

static void
sum_allowed_calls (LimpetBrittleTargets *brittle, const LimpetTargetView *view)
{
  for (uint32_t i = 0; i < view->count; i++)
    get_service (brittle, view->targets[i]->group_hash)->allowed = 0;
  for (uint32_t i = 0; i < view->count; i++)
    {
      Service *service = get_service (brittle, view->targets[i]->group_hash);

      service->allowed += allowed_calls (view->targets[i], brittle->routers->len,
                                         service->max_refusals_per_s);
    }
}

void
limpet_brittle_targets_update (LimpetBrittleTargets *brittle,
                               const LimpetTargetView *view,
                               LimpetMs now_ms,
                               LimpetMs wall_ms)
{
  if (now_ms - brittle->version_ms >= SHARE_VALIDITY_MS)
    {
      brittle->version++;
      brittle->version_ms = now_ms;
    }
  sum_allowed_calls (brittle, view);
  for (uint32_t i = 0; i < view->count; i++)
    update_target (brittle, view->targets[i], now_ms, wall_ms);
  log_changes (brittle, view, now_ms);
  log_ends (brittle, view, now_ms);
}

LimpetMs
limpet_brittle_targets_rest_ms (const LimpetBrittleTargets *brittle,
                                const LimpetTarget *target)
{
  const Service *service
      = g_hash_table_lookup (brittle->services, GUINT_TO_POINTER (target->group_hash));
  uint32_t routers = brittle->routers->len;
  uint32_t allowed = allowed_calls (target, routers, target->max_refusals_per_s);
  uint32_t senders = service != NULL && are_slots_divided (brittle, service)
                         ? MIN (routers, allowed)
                         : routers;
  double refusals_per_s = REST_FRACTION * target->max_refusals_per_s;

  if (refusals_per_s * MAX_REST_MS <= 1000.0 * senders)
    return MAX_REST_MS;
  return MAX (MIN_REST_MS, (LimpetMs)(1000.0 * senders / refusals_per_s));
}
