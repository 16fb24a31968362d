#include "private/hedged_client.h"

#include "limpetroad/read_hedge.h"

#include <glib.h>

#define CONNECTIONS 2
#define CHECK_PERIOD_MS 50

typedef struct
{
  LimpetHedgedClient *owner;
  LimpetAsyncClient *client;
} Connection;

struct LimpetHedgedClient
{
  Connection connections[CONNECTIONS];
  LimpetAsyncClientStats *stats; /* borrowed */
  uv_timer_t timer;
  LimpetReadHedge hedge;
  char *path; /* of the read under way; NULL if there is none */
  LimpetMs timeout_ms;
  LimpetAsyncCallback on_response;
  void *user;
  LimpetMs started_ms; /* monotonic */
  uint32_t attempts;
};

static LimpetReadProgress
progress_of (const LimpetHedgedClient *client)
{
  LimpetReadProgress progress = {
    .attempts = client->attempts,
    .elapsed_ms = limpet_clock_mono_ms () - client->started_ms,
    .silent_ms = INT64_MAX,
  };

  for (int i = 0; i < CONNECTIONS; i++)
    if (limpet_async_client_is_busy (client->connections[i].client))
      progress.silent_ms
          = MIN (progress.silent_ms,
                 limpet_async_client_silent_ms (client->connections[i].client));
  return progress;
}

static void
end_read (LimpetHedgedClient *client)
{
  uv_timer_stop (&client->timer);
  for (int i = 0; i < CONNECTIONS; i++)
    limpet_async_client_cancel (client->connections[i].client);
  g_clear_pointer (&client->path, g_free);
}

/* Returns whether another attempt would get the same response. */
static bool
is_final (int status)
{
  return status >= 200 && status < 500 && status != 429;
}

static void
on_attempt_response (
    void *user, int status, const char *body, size_t length, const char *error)
{
  Connection *connection = user;
  LimpetHedgedClient *client = connection->owner;

  for (int i = 0; !is_final (status) && i < CONNECTIONS; i++)
    if (limpet_async_client_is_busy (client->connections[i].client))
      return;
  if (is_final (status))
    limpet_read_hedge_record_wait (&client->hedge,
                                   limpet_async_client_wait_ms (connection->client));
  end_read (client);
  client->on_response (client->user, status, body, length, error);
}

/* Uses the idle connection, or else the one on which the older attempt is under way. */
static void
start_attempt (LimpetHedgedClient *client)
{
  Connection *connection = &client->connections[client->attempts % CONNECTIONS];

  client->attempts++;
  limpet_async_client_cancel (connection->client);
  limpet_async_client_call (connection->client, "GET", client->path, NULL, 0,
                            client->timeout_ms, on_attempt_response, connection);
}

static void
on_check (uv_timer_t *timer)
{
  LimpetHedgedClient *client = timer->data;
  LimpetReadProgress progress = progress_of (client);

  if (limpet_read_hedge_needs_attempt (&client->hedge, &progress))
    {
      client->stats->hedged_calls++;
      start_attempt (client);
    }
}

LimpetHedgedClient *
limpet_hedged_client_new (uv_loop_t *loop,
                          const char *address,
                          int port,
                          LimpetAsyncClientStats *stats)
{
  LimpetHedgedClient *client = g_new0 (LimpetHedgedClient, 1);

  for (int i = 0; i < CONNECTIONS; i++)
    client->connections[i] = (Connection){
      .owner = client,
      .client = limpet_async_client_new (loop, address, port, stats),
    };
  uv_timer_init (loop, &client->timer);
  client->timer.data = client;
  client->stats = stats;
  return client;
}

void
limpet_hedged_client_get (LimpetHedgedClient *client,
                          const char *path,
                          LimpetMs timeout_ms,
                          LimpetAsyncCallback on_response,
                          void *user)
{
  g_assert (client->path == NULL);
  client->path = g_strdup (path);
  client->timeout_ms = timeout_ms;
  client->on_response = on_response;
  client->user = user;
  client->started_ms = limpet_clock_mono_ms ();
  client->attempts = 0;
  uv_timer_start (&client->timer, on_check, CHECK_PERIOD_MS, CHECK_PERIOD_MS);
  start_attempt (client);
}

bool
limpet_hedged_client_is_busy (const LimpetHedgedClient *client)
{
  return client->path != NULL;
}

bool
limpet_hedged_client_is_late (const LimpetHedgedClient *client)
{
  LimpetReadProgress progress = progress_of (client);

  return limpet_hedged_client_is_busy (client)
         && limpet_read_hedge_is_late (&client->hedge, &progress);
}

void
limpet_hedged_client_cancel (LimpetHedgedClient *client)
{
  if (limpet_hedged_client_is_busy (client))
    end_read (client);
}

static void
free_client (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
limpet_hedged_client_close (LimpetHedgedClient *client)
{
  limpet_hedged_client_cancel (client);
  for (int i = 0; i < CONNECTIONS; i++)
    limpet_async_client_close (client->connections[i].client);
  uv_close ((uv_handle_t *)&client->timer, free_client);
}
