#ifndef LIMPETROAD_ROUTE_TABLE_H
#define LIMPETROAD_ROUTE_TABLE_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** \defgroup route_table Route table
 *  The routing part of one configuration version: which service gets the requests of a
 *  host and path, which requests may be retried, how long they may take, and who may send
 *  them.
 *
 *  limpet_route_table_new() → fill the fields, limpet_route_table_add_route(),
 *  _add_service(), _add_team(), _add_key() → limpet_route_table_finalize() → read →
 *  limpet_route_table_unref(). A finalized table does not change. The reference count
 *  is not atomic, so a table belongs to one thread. Each request holds a reference to the
 *  table that was in force when it arrived.
 */

/** Whether the requests of a route may be retried. */
typedef enum
{
  LIMPET_ROUTE_KIND_SAFE = 0, /**< idempotent; may run any number of times */
  LIMPET_ROUTE_KIND_UNSAFE,   /**< may run at most once */
  LIMPET_ROUTE_KIND_STREAM,   /**< event stream; may run at most once unless resumable */
  LIMPET_ROUTE_KIND_COUNT
} LimpetRouteKind;

/** Name of each LimpetRouteKind in the configuration. */
extern const char *const limpet_route_kind_string[LIMPET_ROUTE_KIND_COUNT];

/** A group of targets that requests are sent to. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  bool is_engine;
  int64_t slots; /**< of one engine; 0 if not configured */
  /** Requests per second that a cold target bears from all routers together; 0 if no
   *  target of the service is ever cold. */
  double cold_per_s;
  LimpetMs cold_ms; /**< for how long a target is cold after its start */
} LimpetRouteService;

/** One of the services among which a route splits its requests. */
typedef struct
{
  const LimpetRouteService *service;
  int64_t weight; /**< relative to the other weighted services */
} LimpetWeightedService;

/** How requests of one host and path prefix are handled. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char *host;        /**< in lower case */
  char *path_prefix; /**< begins and ends with a slash */
  LimpetRouteKind kind;
  bool is_public;    /**< accepts requests without a key */
  bool is_resumable; /**< another target may continue a broken stream */
  int64_t timeout_ms;
  int64_t goal_ms;     /**< latency goal; responses within it have their full value. It is
                            also the longest wait of a call for a target. */
  int64_t max_targets; /**< most targets to which one request may be sent */
  int64_t priority;    /**< 0 is the most urgent */
  LimpetWeightedService *weighted_services;
  uint32_t weighted_services_count;
  int64_t total_weight; /**< of the services; set by limpet_route_table_finalize() */
} LimpetRoute;

/** The settings of a team that apply to its requests. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  int64_t priority; /**< overrides the priority of a route; -1 if not set */
} LimpetRouteTeam;

/** Limits on the requests of callers. */
typedef struct
{
  int64_t head_bytes;
  int64_t body_bytes;
  int64_t head_timeout_ms;
  int64_t idle_timeout_ms;
} LimpetCallerLimits;

/** One version of the configuration. */
typedef struct
{
  int64_t version;
  LimpetCallerLimits limits;
  bool needs_keys;     /**< teams are configured, so requests must carry a key */
  GPtrArray *routes;   /**< of LimpetRoute */
  GPtrArray *services; /**< of LimpetRouteService */
  GPtrArray *teams;    /**< of LimpetRouteTeam */
  GHashTable *by_host; /**< host → GPtrArray of LimpetRoute, longest prefix first */
  GHashTable *by_key;  /**< key → LimpetRouteTeam */
  int references;
} LimpetRouteTable;

LimpetRouteTable *limpet_route_table_new (void);
LimpetRouteTable *limpet_route_table_ref (LimpetRouteTable *table);
void limpet_route_table_unref (LimpetRouteTable *table);

/** Each of these returns a new zeroed entry, owned by the table. */
LimpetRoute *limpet_route_table_add_route (LimpetRouteTable *table);
LimpetRouteService *limpet_route_table_add_service (LimpetRouteTable *table);
LimpetRouteTeam *limpet_route_table_add_team (LimpetRouteTable *table);

/** Adds \p key, which is copied, as a key of \p team, an entry of the table. */
void limpet_route_table_add_key (LimpetRouteTable *table,
                                 const char *key,
                                 const LimpetRouteTeam *team);

/** Returns the service called \p name, or NULL. */
const LimpetRouteService *limpet_route_table_find_service (const LimpetRouteTable *table,
                                                           const char *name);

/** Builds the index by host and sums up the weights of each route. Call it once, after
 *  the last route was added. */
void limpet_route_table_finalize (LimpetRouteTable *table);

/** Returns the route of \p host with the longest prefix that matches \p path, or NULL.
 *  The case of \p host is ignored. */
const LimpetRoute *limpet_route_table_find_route (const LimpetRouteTable *table,
                                                  const char *host,
                                                  const char *path);

/** Returns the team to which \p key belongs, or NULL. */
const LimpetRouteTeam *limpet_route_table_find_team (const LimpetRouteTable *table,
                                                     const char *key);

/** Chooses a service of the route by weight and returns it; NULL if all weights
 *  are 0. \p random_value may be any number; equal numbers give the same service. */
const LimpetRouteService *limpet_route_pick_service (const LimpetRoute *route,
                                                     uint64_t random_value);

#endif
