#include "private/state_fetch.h"

#include "limpetroad/backoff.h"
#include "limpetroad/logger.h"
#include "private/async_client.h"
#include "private/state_message.h"

#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>

#define PATH_FORMAT "/state?topic=%" PRIu32 "&from=%" PRId64 "&format=%d"
/* A router that is running responds within some milliseconds. */
#define CALL_TIMEOUT_MS 400
#define RETRY_FIRST_MS 50
#define RETRY_MAX_MS 800
/* The same for a router that has no state at all and does not serve callers yet. */
#define START_RETRY_MAX_MS 100
/* In a series of changes, a state then brings the newest one instead of each in turn. */
#define MIN_FETCH_INTERVAL_MS 400

struct LimpetStateFetch
{
  uv_loop_t *loop;
  char own_address[INET_ADDRSTRLEN];
  int port;
  const LimpetStateFetchOps *ops;
  void *user;
  LimpetAsyncClient *client; /* NULL if no router is being asked */
  LimpetAsyncClientStats stats;
  char address[INET_ADDRSTRLEN]; /* of the router asked last */
  uint32_t preferred;            /* router to be asked next; 0 for a random one */
  LimpetBackoff backoff;
  bool has_state;      /* when it asked last */
  LimpetMs asked_ms;   /* boot clock when it asked last */
  LimpetMs retry_ms;   /* monotonic time from which a router may be asked */
  LimpetMs fetched_ms; /* monotonic time of the last state that was of use; 0 for none */
};

LimpetStateFetch *
limpet_state_fetch_new (uv_loop_t *loop,
                        const char *own_address,
                        int port,
                        const LimpetStateFetchOps *ops,
                        void *user)
{
  LimpetStateFetch *fetch = g_new0 (LimpetStateFetch, 1);

  fetch->loop = loop;
  g_strlcpy (fetch->own_address, own_address, sizeof fetch->own_address);
  fetch->port = port;
  fetch->ops = ops;
  fetch->user = user;
  return fetch;
}

void
limpet_state_fetch_set_account (LimpetStateFetch *fetch, LimpetByteAccount *account)
{
  fetch->stats.account = account;
}

void
limpet_state_fetch_prefer (LimpetStateFetch *fetch, uint32_t address)
{
  if (address == 0)
    return;
  fetch->preferred = address;
  fetch->retry_ms = 0;
}

void
limpet_state_fetch_reset (LimpetStateFetch *fetch)
{
  limpet_backoff_reset (&fetch->backoff);
  fetch->retry_ms = 0;
}

static void
back_off (LimpetStateFetch *fetch)
{
  fetch->retry_ms
      = limpet_clock_mono_ms ()
        + limpet_backoff_next (&fetch->backoff, RETRY_FIRST_MS,
                               fetch->has_state ? RETRY_MAX_MS : START_RETRY_MAX_MS,
                               g_random_double ());
}

static void
on_response (void *user, int status, const char *body, size_t length, const char *error)
{
  LimpetStateFetch *fetch = user;

  limpet_async_client_close (fetch->client);
  fetch->client = NULL;
  if (status == 200
      && fetch->ops->on_state (fetch->user, fetch->address, body, length,
                               fetch->asked_ms))
    {
      limpet_state_fetch_reset (fetch);
      fetch->fetched_ms = limpet_clock_mono_ms ();
      return;
    }
  back_off (fetch);
  if (error != NULL)
    limpet_log (LIMPET_LOG_WARNING, "state", fetch->address,
                "fetch_failed cause=\"%s\" received_bytes=%zu", error, length);
}

void
limpet_state_fetch_poll (LimpetStateFetch *fetch, uint32_t topic, int64_t from)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  uint32_t address = fetch->preferred;
  char path[128];

  if (fetch->client != NULL || now_ms < fetch->retry_ms
      || (fetch->fetched_ms > 0 && now_ms - fetch->fetched_ms < MIN_FETCH_INTERVAL_MS))
    return;
  fetch->preferred = 0;
  fetch->has_state = from >= 0;
  if (address == 0)
    address = fetch->ops->pick_router (fetch->user);
  if (address == 0)
    {
      back_off (fetch);
      return;
    }
  inet_ntop (AF_INET, &address, fetch->address, sizeof fetch->address);
  g_snprintf (path, sizeof path, PATH_FORMAT, topic, from, LIMPET_STATE_MESSAGE_VERSION);
  fetch->ops->greet (fetch->user, address);
  fetch->client
      = limpet_async_client_new (fetch->loop, fetch->address, fetch->port, &fetch->stats);
  limpet_async_client_set_source (fetch->client, fetch->own_address);
  fetch->asked_ms = limpet_clock_boot_ms ();
  limpet_async_client_call (fetch->client, "GET", path, NULL, 0, CALL_TIMEOUT_MS,
                            on_response, fetch);
}

void
limpet_state_fetch_render_metrics (const LimpetStateFetch *fetch,
                                   const char *topic,
                                   GString *out)
{
  g_string_append_printf (out,
                          "limpetroad_state_fetches_total{topic=\"%s\"} %" PRIu64 "\n",
                          topic, fetch->stats.calls);
  g_string_append_printf (
      out, "limpetroad_state_fetch_received_bytes_total{topic=\"%s\"} %" PRIu64 "\n",
      topic, fetch->stats.received_bytes);
}

void
limpet_state_fetch_close (LimpetStateFetch *fetch)
{
  if (fetch->client != NULL)
    limpet_async_client_close (fetch->client);
  g_free (fetch);
}

bool
limpet_state_fetch_parse_path (const char *path, LimpetStateRequest *request)
{
  int end = 0;

  request->format = 0;
  if (sscanf (path, "/state?topic=%" SCNu32 "&from=%" SCNd64 "%n", &request->topic,
              &request->from, &end)
      != 2)
    return false;
  path += end;
  end = 0;
  return path[0] == '\0'
         || (sscanf (path, "&format=%d%n", &request->format, &end) == 1
             && path[end] == '\0');
}
