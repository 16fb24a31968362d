#ifndef LIMPETROAD_ROUTE_TABLE_H
#define LIMPETROAD_ROUTE_TABLE_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/** \defgroup route_table Route table
 *  What one version of the configuration says about requests: which service a host and
 *  path lead to, what may be repeated, how long a request may take, and who may send it.
 *
 *  limpet_route_table_new() → fill the fields, limpet_route_table_add_route(),
 *  _add_service(), _add_team(), _add_key() → limpet_route_table_seal() → read →
 *  limpet_route_table_unref(). A sealed table does not change. It belongs to one thread;
 *  each request holds a reference to the table that was in force when it arrived.
 */

/** What may be done with a request more than once. */
typedef enum
{
  LIMPET_KIND_SAFE = 0, /**< may run any number of times */
  LIMPET_KIND_UNSAFE,   /**< may run once at most */
  LIMPET_KIND_STREAM,   /**< a stream of events; may run once at most unless resumable */
  LIMPET_KIND_COUNT
} LimpetKind;

/** Name of each LimpetKind. */
extern const char *const limpet_kind_string[LIMPET_KIND_COUNT];

/** A group of targets that requests are sent to. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  bool is_engine;
  int64_t slots; /**< of one engine; 0 if not told */
} LimpetRouteService;

/** One way out of a route. */
typedef struct
{
  const LimpetRouteService *service;
  int64_t weight;
} LimpetRouteBranch;

/** How requests of one host and path prefix are handled. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char *host;
  char *path_prefix; /**< begins and ends with a slash */
  LimpetKind kind;
  bool is_public;    /**< needs no key */
  bool is_resumable; /**< a broken stream may go on at another target */
  int64_t timeout_ms;
  int64_t goal_ms;       /**< answers within it earn their full worth */
  int64_t targets_limit; /**< targets to which one request may be sent */
  int64_t priority;      /**< 0 is the most urgent */
  LimpetRouteBranch *branches;
  uint32_t branches_count;
  int64_t weights_total;
} LimpetRoute;

/** A team, as far as requests are concerned. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  int64_t priority; /**< goes before the priority of a route; -1 if not told */
} LimpetRouteTeam;

/** What a caller may send. */
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
  bool needs_keys;     /**< teams are declared, so requests carry keys */
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

/** Each returns a new zeroed entry, owned by the table. */
LimpetRoute *limpet_route_table_add_route (LimpetRouteTable *table);
LimpetRouteService *limpet_route_table_add_service (LimpetRouteTable *table);
LimpetRouteTeam *limpet_route_table_add_team (LimpetRouteTable *table);

/** Makes \p key a key of \p team. */
void limpet_route_table_add_key (LimpetRouteTable *table,
                                 const char *key,
                                 const LimpetRouteTeam *team);

/** Returns a service by name, or NULL. */
const LimpetRouteService *limpet_route_table_service (const LimpetRouteTable *table,
                                                      const char *name);

/** Builds the index by host; no route may be added after it. */
void limpet_route_table_seal (LimpetRouteTable *table);

/** Returns the route of \p host whose prefix is the longest that begins \p path, or NULL.
 */
const LimpetRoute *limpet_route_table_find (const LimpetRouteTable *table,
                                            const char *host,
                                            const char *path);

/** Returns the team that holds \p key, or NULL. */
const LimpetRouteTeam *limpet_route_table_team (const LimpetRouteTable *table,
                                                const char *key);

/** Returns the service to which \p draw, any number, leads by the weights of the route.
 */
const LimpetRouteService *limpet_route_pick_service (const LimpetRoute *route,
                                                     uint64_t draw);

#endif
