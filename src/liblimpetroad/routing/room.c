#include "private/room.h"

#include "limpetroad/histogram.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Load, in calls a slot of the targets that take calls, below which the most urgent and
 * the least urgent calls of a service are admitted. The limits of those between are
 * spread geometrically. */
#define MOST_URGENT_LIMIT 1.5
#define LEAST_URGENT_LIMIT 0.9
/* The same for a service whose calls are all equally urgent. */
#define ONLY_URGENCY_LIMIT 1.3
/* The same for what a team asks for beyond its usual. */
#define TEAM_EXCESS_LIMIT 0.8
/* Below this load nothing is refused. */
#define FREE_LOAD 0.5
/* A caller who gives less than this part of the longest time that callers of the route
 * give has come back. */
#define RETURNING_TIME_FRACTION 0.93
/* A team asks for more than its usual if its calls of the last seconds exceed this
 * multiple of the usual number, and that number by so many standard deviations and calls.
 * What is usual is learned only while there is room. */
#define TEAM_EXCESS_FACTOR 2.0
#define TEAM_EXCESS_DEVIATIONS 3.0
#define TEAM_EXCESS_CALLS 3.0
/* Time constants of the averages of now, and of what is usual. */
#define NOW_MS 2000.0
#define USUAL_MS 30000.0
/* What is usual is not known before this time has passed. */
#define MIN_KNOWN_MS 2000
/* With less load there is no traffic from which something is learned. */
#define MIN_LEARNED_LOAD 0.02
/* Limits are spread by this part to both sides, by the call: many routers that believe
 * the same load would admit calls, and refuse them, by turns. */
#define LIMIT_SPREAD 0.1
/* Teams and routes beyond these are not remembered. */
#define MAX_TEAMS 4096
#define MAX_ROUTES 4096
/* Most lines of each metric. */
#define MAX_METRIC_LINES 64
/* Weight of a new sample in release_gap_ms. */
#define RELEASE_GAP_ALPHA 0.1
/* Bounds of the time after which callers come back; it is also limited to a part of the
 * time that they have left. */
#define MIN_RETRY_AFTER_MS 150
#define MAX_RETRY_AFTER_MS 3000
#define RETRY_TIME_LEFT_FRACTION 0.25
/* The time is spread from this part of it to as much more. */
#define RETRY_SPREAD_LOW 0.75
/* Too little room has ended when the load has stayed below the limit of the least urgent
 * calls for this time. */
#define CALM_MS 1000

const char *const limpet_room_bound_string[LIMPET_ROOM_BOUND_COUNT] = {
  [LIMPET_ROOM_FREE] = "free",
  [LIMPET_ROOM_URGENCY] = "urgency",
  [LIMPET_ROOM_TEAM] = "team",
  [LIMPET_ROOM_QUEUE] = "queue",
};

typedef struct
{
  bool has_urgency[LIMPET_CALL_URGENCIES]; /* calls of this urgency may come */
  double load_now;                         /* moving averages of the load per slot */
  double load_usual;                       /* while there was room */
  LimpetMs learned_ms;                     /* for which load_usual has been learned */
  double release_gap_ms; /* moving average of the time between releases */
  LimpetMs last_release_ms;
  LimpetMs tight_since_ms; /* too little room since then; 0 if there is enough */
  LimpetMs last_tight_ms;
  LimpetHistogram retry_after; /* times that refused callers were told */
} Service;

typedef struct
{
  double calls_now;    /* calls of the last NOW_MS, which fade out */
  double calls_usual;  /* moving average of calls_now while there was room */
  LimpetMs learned_ms; /* for which calls_usual has been learned */
  LimpetMs updated_ms;
  uint64_t refused[LIMPET_ROOM_BOUND_COUNT];
} Team;

typedef struct
{
  LimpetMs longest_ms; /* that a caller of the route has given */
  uint64_t refused[LIMPET_ROOM_BOUND_COUNT];
} Route;

struct LimpetRoom
{
  GHashTable *services; /* name → Service */
  GHashTable *teams;    /* name → Team */
  GHashTable *routes;   /* name → Route */
  LimpetMs ticked_ms;
};

LimpetRoom *
limpet_room_new (void)
{
  LimpetRoom *room = g_new0 (LimpetRoom, 1);

  room->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  room->teams = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  room->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return room;
}

void
limpet_room_delete (LimpetRoom *room)
{
  g_hash_table_destroy (room->services);
  g_hash_table_destroy (room->teams);
  g_hash_table_destroy (room->routes);
  g_free (room);
}

/* Returns the entry of a table, which is added with all fields 0 if it is missing; NULL
 * if the table is full. */
static gpointer
get_entry (GHashTable *table, const char *name, size_t size, guint max_count)
{
  gpointer entry = g_hash_table_lookup (table, name);

  if (entry == NULL && g_hash_table_size (table) < max_count)
    {
      entry = g_malloc0 (size);
      g_hash_table_insert (table, g_strdup (name), entry);
    }
  return entry;
}

static Service *
get_service (LimpetRoom *room, const char *name)
{
  return get_entry (room->services, name, sizeof (Service), G_MAXUINT);
}

/* Records the urgency that calls of a team, or of NULL, have on the route. */
static void
add_urgency (Service *service, const LimpetRoute *route, const LimpetRouteTeam *team)
{
  LimpetCall call = { .route = route, .team = team };

  service->has_urgency[limpet_call_urgency (&call)] = true;
}

static void
add_urgencies (Service *service, const LimpetRoute *route, const LimpetRouteTable *table)
{
  if (table->teams->len == 0 || route->is_public)
    add_urgency (service, route, NULL);
  for (guint i = 0; i < table->teams->len; i++)
    add_urgency (service, route, g_ptr_array_index (table->teams, i));
}

void
limpet_room_set_table (LimpetRoom *room, const LimpetRouteTable *table)
{
  GHashTableIter iter;
  gpointer service;

  g_hash_table_iter_init (&iter, room->services);
  while (g_hash_table_iter_next (&iter, NULL, &service))
    memset (((Service *)service)->has_urgency, 0, sizeof (bool) * LIMPET_CALL_URGENCIES);
  for (guint i = 0; i < table->routes->len; i++)
    {
      const LimpetRoute *route = g_ptr_array_index (table->routes, i);

      for (uint32_t j = 0; j < route->weighted_services_count; j++)
        add_urgencies (get_service (room, route->weighted_services[j].service->name),
                       route, table);
    }
}

static double
calls_now (const Team *team, LimpetMs now_ms)
{
  return team->calls_now * exp (-(double)MAX (0, now_ms - team->updated_ms) / NOW_MS);
}

void
limpet_room_record_call (LimpetRoom *room, const LimpetCall *call, LimpetMs now_ms)
{
  Route *route = get_entry (room->routes, call->route->name, sizeof (Route), MAX_ROUTES);
  Team *team = call->team != NULL
                   ? get_entry (room->teams, call->team->name, sizeof (Team), MAX_TEAMS)
                   : NULL;

  if (route != NULL)
    route->longest_ms = MAX (route->longest_ms, call->caller_timeout_ms);
  if (team == NULL || !call->service->is_engine)
    return;
  team->calls_now = calls_now (team, now_ms) + 1;
  team->updated_ms = now_ms;
}

/* Returns a number from 0 to 1 that depends on the call; independent for different bits
 * of its seed. */
static double
draw (const LimpetCall *call, int first_bit)
{
  return (double)(call->seed >> first_bit & 1023) / 1024;
}

/* Returns the load per slot of the service's targets that take calls now. */
static double
load_per_slot (const LimpetTargetView *view, const char *service, LimpetMs now_ms)
{
  double inflight = 0;
  double slots = 0;

  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];

      if (strcmp (target->vm.group, service) != 0
          || !limpet_target_is_open (target, now_ms)
          || limpet_target_is_paced (target, now_ms))
        continue;
      inflight += limpet_target_inflight (target);
      slots += (double)target->vm.slots;
    }
  return slots > 0 ? inflight / slots : 0;
}

/* The urgencies of the calls of a service, seen from one call. */
typedef struct
{
  int more_urgent;
  int others;
} Urgencies;

static Urgencies
count_urgencies (const Service *service, const LimpetCall *call)
{
  int64_t own = limpet_call_urgency (call);
  Urgencies count = { .others = 0 };

  for (int64_t i = 0; i < LIMPET_CALL_URGENCIES; i++)
    if (service->has_urgency[i] && i != own)
      {
        count.others++;
        count.more_urgent += i < own;
      }
  return count;
}

int64_t
limpet_room_rank (const LimpetRoom *room, const LimpetCall *call)
{
  const Service *service = g_hash_table_lookup (room->services, call->service->name);

  return service != NULL ? count_urgencies (service, call).more_urgent : 0;
}

/* Returns the load up to which calls as urgent as this one are admitted. */
static double
urgency_limit (const Service *service, const LimpetCall *call)
{
  Urgencies count = count_urgencies (service, call);

  if (count.others == 0)
    return ONLY_URGENCY_LIMIT;
  return MOST_URGENT_LIMIT
         * pow (LEAST_URGENT_LIMIT / MOST_URGENT_LIMIT,
                (double)count.more_urgent / count.others);
}

/* Returns how many times its usual the team asks for, beyond what the whole service gets
 * more than usual; 1 if that is not much, or not known. */
static double
team_excess (const Team *team, const Service *service, LimpetMs now_ms)
{
  double usual;
  double now;

  if (team == NULL || team->learned_ms < MIN_KNOWN_MS
      || service->learned_ms < MIN_KNOWN_MS)
    return 1;
  now = calls_now (team, now_ms);
  usual = team->calls_usual * MAX (1, service->load_now / service->load_usual);
  if (now <= TEAM_EXCESS_FACTOR * usual
      || now <= usual + TEAM_EXCESS_DEVIATIONS * sqrt (usual) + TEAM_EXCESS_CALLS)
    return 1;
  return now / MAX (usual, 1);
}

/* Returns whether the call is among those that its team asks for beyond its usual. */
static bool
is_in_excess (const LimpetCall *call, double excess)
{
  return draw (call, 20) >= 1 / excess;
}

static bool
is_returning (const LimpetRoom *room, const LimpetCall *call)
{
  const Route *route = g_hash_table_lookup (room->routes, call->route->name);

  return route != NULL && call->caller_timeout_ms > 0
         && (double)call->caller_timeout_ms
                < RETURNING_TIME_FRACTION * (double)route->longest_ms;
}

/* Too little room lasts for as long again as it has lasted, for all that is known. */
static LimpetMs
retry_after_ms (const Service *service, const LimpetCall *call, LimpetMs now_ms)
{
  double tight_ms
      = service->tight_since_ms > 0 ? (double)(now_ms - service->tight_since_ms) : 0;
  double longest_ms
      = MIN (MAX_RETRY_AFTER_MS,
             RETRY_TIME_LEFT_FRACTION * (double)(call->deadline_ms - now_ms));
  double spread = RETRY_SPREAD_LOW + 2 * (1 - RETRY_SPREAD_LOW) * draw (call, 0);

  return (LimpetMs)CLAMP (spread * MIN (tight_ms, longest_ms), MIN_RETRY_AFTER_MS,
                          MAX (MIN_RETRY_AFTER_MS, longest_ms));
}

/* Callers who come back go before most of the new ones of their kind. */
static double
limit_spread (const LimpetRoom *room, const LimpetCall *call)
{
  if (is_returning (room, call))
    return 1 + LIMIT_SPREAD;
  return 1 - LIMIT_SPREAD + 2 * LIMIT_SPREAD * draw (call, 10);
}

LimpetRoomDecision
limpet_room_decide (const LimpetRoom *room,
                    const LimpetCall *call,
                    const LimpetTargetView *view,
                    LimpetMs now_ms)
{
  const Service *service = g_hash_table_lookup (room->services, call->service->name);
  const Team *team
      = call->team != NULL ? g_hash_table_lookup (room->teams, call->team->name) : NULL;
  LimpetRoomDecision decision = { .bound = LIMPET_ROOM_FREE };

  if (service == NULL || !call->service->is_engine)
    return decision;
  decision.load_per_slot = load_per_slot (view, call->service->name, now_ms);
  decision.limit_per_slot = urgency_limit (service, call) * limit_spread (room, call);
  if (decision.load_per_slot < FREE_LOAD)
    return decision;
  if (decision.load_per_slot >= decision.limit_per_slot)
    decision.bound = LIMPET_ROOM_URGENCY;
  else if (decision.load_per_slot >= TEAM_EXCESS_LIMIT
           && is_in_excess (call, team_excess (team, service, now_ms)))
    {
      decision.bound = LIMPET_ROOM_TEAM;
      decision.limit_per_slot = TEAM_EXCESS_LIMIT;
    }
  if (decision.bound != LIMPET_ROOM_FREE)
    decision.retry_after_ms = retry_after_ms (service, call, now_ms);
  return decision;
}

void
limpet_room_record_refusal (LimpetRoom *room,
                            const LimpetCall *call,
                            LimpetRoomBound bound,
                            LimpetMs retry_ms)
{
  Route *route = g_hash_table_lookup (room->routes, call->route->name);
  Team *team
      = call->team != NULL ? g_hash_table_lookup (room->teams, call->team->name) : NULL;

  limpet_log (LIMPET_LOG_INFO, "room", call->service->name,
              "refused id=%s route=%s urgency=%d team=%s bound=%s retry_ms=%ld", call->id,
              call->route->name, (int)limpet_call_urgency (call),
              call->team != NULL ? call->team->name : "-",
              limpet_room_bound_string[bound], (long)retry_ms);
  if (route != NULL)
    route->refused[bound]++;
  if (team != NULL)
    team->refused[bound]++;
  limpet_histogram_record (&get_service (room, call->service->name)->retry_after,
                           retry_ms);
}

void
limpet_room_record_release (LimpetRoom *room, const char *name, LimpetMs now_ms)
{
  Service *service = get_service (room, name);

  if (service->last_release_ms > 0)
    service->release_gap_ms
        += RELEASE_GAP_ALPHA
           * ((double)(now_ms - service->last_release_ms) - service->release_gap_ms);
  service->last_release_ms = now_ms;
}

double
limpet_room_release_gap_ms (const LimpetRoom *room, const char *name)
{
  const Service *service = g_hash_table_lookup (room->services, name);

  return service != NULL ? service->release_gap_ms : 0;
}

static void
update_tightness (Service *service, const char *name, double load, LimpetMs now_ms)
{
  if (load >= LEAST_URGENT_LIMIT)
    {
      service->last_tight_ms = now_ms;
      if (service->tight_since_ms > 0)
        return;
      service->tight_since_ms = now_ms;
      limpet_log (LIMPET_LOG_NOTICE, "room", name, "too_little load_per_slot=%.2f", load);
    }
  else if (service->tight_since_ms > 0 && now_ms - service->last_tight_ms > CALM_MS)
    {
      limpet_log (LIMPET_LOG_NOTICE, "room", name,
                  "enough load_per_slot=%.2f lasted_ms=%ld", load,
                  (long)(now_ms - service->tight_since_ms));
      service->tight_since_ms = 0;
    }
}

/* Adds a sample to an average over USUAL_MS, or over the time for which it has been
 * learned if that is shorter. */
static void
learn (double *average, LimpetMs *learned_ms, double sample, LimpetMs elapsed_ms)
{
  *learned_ms += elapsed_ms;
  *average += (sample - *average) * (double)elapsed_ms
              / MIN (USUAL_MS, (double)MAX (1, *learned_ms));
}

static void
tick_service (Service *service, double load, LimpetMs elapsed_ms)
{
  service->load_now
      += (1 - exp (-(double)elapsed_ms / NOW_MS)) * (load - service->load_now);
  if (service->tight_since_ms == 0 && load >= MIN_LEARNED_LOAD)
    learn (&service->load_usual, &service->learned_ms, load, elapsed_ms);
}

static void
tick_teams (LimpetRoom *room, LimpetMs now_ms, LimpetMs elapsed_ms)
{
  GHashTableIter iter;
  gpointer team;

  g_hash_table_iter_init (&iter, room->teams);
  while (g_hash_table_iter_next (&iter, NULL, &team))
    learn (&((Team *)team)->calls_usual, &((Team *)team)->learned_ms,
           calls_now (team, now_ms), elapsed_ms);
}

void
limpet_room_tick (LimpetRoom *room, const LimpetTargetView *view, LimpetMs now_ms)
{
  LimpetMs elapsed_ms = room->ticked_ms > 0 ? now_ms - room->ticked_ms : 0;
  bool is_tight = false;
  GHashTableIter iter;
  gpointer name;
  gpointer service;

  g_hash_table_iter_init (&iter, room->services);
  while (g_hash_table_iter_next (&iter, &name, &service))
    {
      double load = load_per_slot (view, name, now_ms);

      update_tightness (service, name, load, now_ms);
      tick_service (service, load, elapsed_ms);
      is_tight = is_tight || ((Service *)service)->tight_since_ms > 0;
    }
  if (!is_tight)
    tick_teams (room, now_ms, elapsed_ms);
  room->ticked_ms = now_ms;
}

/* Appends a line for each bound by which calls of the route or team were refused. */
static void
render_refusals (const char *metric,
                 const char *label,
                 const char *name,
                 const uint64_t refused[LIMPET_ROOM_BOUND_COUNT],
                 GString *out)
{
  for (int i = 0; i < LIMPET_ROOM_BOUND_COUNT; i++)
    if (refused[i] > 0)
      g_string_append_printf (out, "%s{%s=\"%s\",bound=\"%s\"} %lu\n", metric, label,
                              name, limpet_room_bound_string[i],
                              (unsigned long)refused[i]);
}

void
limpet_room_render_metrics (const LimpetRoom *room, GString *out)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;
  int lines = 0;

  g_hash_table_iter_init (&iter, room->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      const Service *service = value;
      char *labels = g_strdup_printf ("service=\"%s\"", (const char *)name);

      g_string_append_printf (out,
                              "limpetroad_room_load_per_slot{%s} %.3f\n"
                              "limpetroad_room_is_tight{%s} %d\n",
                              labels, service->load_now, labels,
                              service->tight_since_ms > 0);
      if (service->retry_after.total > 0)
        limpet_histogram_render (&service->retry_after, "limpetroad_room_retry_after_ms",
                                 labels, out);
      g_free (labels);
    }
  g_hash_table_iter_init (&iter, room->routes);
  while (lines++ < MAX_METRIC_LINES && g_hash_table_iter_next (&iter, &name, &value))
    render_refusals ("limpetroad_room_route_refused_total", "route", name,
                     ((const Route *)value)->refused, out);
  lines = 0;
  g_hash_table_iter_init (&iter, room->teams);
  while (lines++ < MAX_METRIC_LINES && g_hash_table_iter_next (&iter, &name, &value))
    render_refusals ("limpetroad_room_team_refused_total", "team", name,
                     ((const Team *)value)->refused, out);
}
