#ifndef LIMPETROAD_PRIVATE_TARGET_CONNECTION_H
#define LIMPETROAD_PRIVATE_TARGET_CONNECTION_H

#include "limpetroad/targets.h"

#include <curl/curl.h>

/* A connection to a target: a libcurl handle whose connection cache holds one entry.
 *
 * It is owned by one attempt, or it is idle in the pool of its target. It is deleted
 * unless its exchange ended without an error. A connection that timed out, broke, was
 * cancelled or delivered the response to another attempt is therefore not reused.
 */
typedef struct LimpetTargetConnection LimpetTargetConnection;
struct LimpetTargetConnection
{
  CURLM *multi;
  CURL *easy;
  LimpetMs idle_since_ms;
  bool reused;                  /* it was taken from the pool */
  LimpetTargetConnection *next; /* in the pool, newest first */
};

/* Returns the newest connection in the target's pool. Returns a new connection instead if
 * new_connection is set, or if the pool has none that has been idle for at most
 * LIMPET_POOL_IDLE_MS. */
LimpetTargetConnection *limpet_target_connection_acquire (LimpetTarget *target,
                                                          bool new_connection);
/* Puts the connection into the target's pool, after an exchange that ended without an
 * error, and deletes the expired ones from the pool. */
void limpet_target_connection_release (LimpetTarget *target,
                                       LimpetTargetConnection *connection);
void limpet_target_connection_delete (LimpetTargetConnection *connection);
/* Deletes the pooled connections of a target. */
void limpet_target_connection_clear_pool (LimpetTarget *target);

#endif
