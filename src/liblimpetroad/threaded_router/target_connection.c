#include "private/target_connection.h"

#include <glib.h>

static void
delete_connections (LimpetTargetConnection *connection)
{
  while (connection != NULL)
    {
      LimpetTargetConnection *next = connection->next;

      limpet_target_connection_delete (connection);
      connection = next;
    }
}

static void
free_pool (void *pool)
{
  delete_connections (pool);
}

void
limpet_target_connection_clear_pool (LimpetTarget *target)
{
  LimpetTargetConnection *connections;

  pthread_mutex_lock (&target->lock);
  connections = target->pool;
  target->pool = NULL;
  pthread_mutex_unlock (&target->lock);
  delete_connections (connections);
}

LimpetTargetConnection *
limpet_target_connection_acquire (LimpetTarget *target, bool new_connection)
{
  LimpetMs min_idle_since_ms = limpet_clock_mono_ms () - LIMPET_POOL_IDLE_MS;
  LimpetTargetConnection *connection = NULL;

  if (!new_connection)
    {
      pthread_mutex_lock (&target->lock);
      connection = target->pool;
      if (connection != NULL)
        target->pool = connection->next;
      pthread_mutex_unlock (&target->lock);
    }
  /* The newest connection is the first, so if it has expired, all others have too. */
  if (connection != NULL && connection->idle_since_ms < min_idle_since_ms)
    {
      limpet_target_connection_delete (connection);
      limpet_target_connection_clear_pool (target);
      connection = NULL;
    }
  if (connection != NULL)
    {
      connection->reused = true;
      return connection;
    }
  connection = g_new0 (LimpetTargetConnection, 1);
  connection->multi = curl_multi_init ();
  connection->easy = curl_easy_init ();
  curl_multi_setopt (connection->multi, CURLMOPT_MAXCONNECTS, 1L);
  return connection;
}

/* Removes the connections that became idle before min_idle_since_ms from the pool and
 * returns them. The pool is ordered from the newest to the oldest. */
static LimpetTargetConnection *
detach_expired (LimpetTarget *target, LimpetMs min_idle_since_ms)
{
  LimpetTargetConnection *head = target->pool;
  LimpetTargetConnection **tail = &head;
  LimpetTargetConnection *expired;

  while (*tail != NULL && (*tail)->idle_since_ms >= min_idle_since_ms)
    tail = &(*tail)->next;
  expired = *tail;
  *tail = NULL;
  target->pool = head;
  return expired;
}

void
limpet_target_connection_release (LimpetTarget *target,
                                  LimpetTargetConnection *connection)
{
  LimpetTargetConnection *expired;

  connection->idle_since_ms = limpet_clock_mono_ms ();
  pthread_mutex_lock (&target->lock);
  connection->next = target->pool;
  target->pool = connection;
  target->free_pool = free_pool;
  expired = detach_expired (target, connection->idle_since_ms - LIMPET_POOL_IDLE_MS);
  pthread_mutex_unlock (&target->lock);
  delete_connections (expired);
}

void
limpet_target_connection_delete (LimpetTargetConnection *connection)
{
  curl_easy_cleanup (connection->easy);
  curl_multi_cleanup (connection->multi);
  g_free (connection);
}
