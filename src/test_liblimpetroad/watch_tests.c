#include "tests.h"

#include "limpetroad/log_era.h"
#include "limpetroad/read_hedge.h"
#include "limpetroad/state_offer.h"
#include "limpetroad/topic_state.h"
#include "platform/store_client.h"
#include "platform/watch_private.h"
#include "private/state_message.h"
#include "watch_stubs.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>

/* Most connections of one test. */
#define MAX_CLIENTS 256
/* Between reads of a store whose responses are outdated. */
#define READ_PAUSE_MS 450
#define ITEM(key) "{\"key\":" key ",\"value\":\"YQ==\",\"offset\":0}"
#define PAGE(items, truncated)                                                           \
  "{\"items\":[" items "],\"truncated\":" truncated ",\"end\":3}"
#define WHOLE_PAGE PAGE (ITEM ("\"well\""), "false")
/* Most reads of a page that stays unusable, while a test runs. */
#define MAX_REPEATED_READS 10
/* Runs of 100 ms until a page that is well again must have been read. */
#define MAX_FURTHER_RUNS 20

/* A minimal store server. It serves one connection after the other and closes new ones
 * while a request has no response yet, and delays its response to the first read of
 * records. It responds to one request for a snapshot. */
typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_tcp_t
      clients[MAX_CLIENTS]; /* of which the one at index connections - 1 is the last */
  uv_tcp_t *client;         /* that is served */
  bool awaits_response;     /* its request */
  uv_timer_t response_timer;
  uv_timer_t stop_timer;
  PlatformWatch *watch;
  uint32_t connections;
  bool is_snapshot_under_way; /* one that gets no response */
  uint32_t requests;
  uint32_t read_requests;
  bool fails_first_read;        /* with status 503 */
  bool fails_all_reads;         /* likewise */
  bool is_silent;               /* it never responds */
  LimpetStatusPort *state_port; /* of another router; NULL if there is none */
  GString *state;               /* what it serves */
  const char *awaited_values;   /* NULL if the test does not wait for them */
  uint32_t checks;              /* of stop_timer */
  uint64_t reads_before;        /* by the watch, when the test began */
  GString *values;              /* values that the watch passed to on_record */
  LimpetMs state_age_ms;        /* of the newest read that the watch is told of */
  LimpetMs last_read_ms;        /* boot clock of the last request for records */
  bool is_outdated;             /* it responds as before its newest record */
  const char *const *pages;   /* its responses to requests for snapshots; the last one is
                                 repeated; NULL if there are none */
  uint32_t page;              /* index of the next one */
  uint32_t snapshot_requests; /* that have got one */
  uint32_t readers;           /* routers that read for each other; 0 for many */
  bool is_well;               /* it responds with the whole snapshot instead */
  char buffer[4096];
} StoreServer;

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  StoreServer *server = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (server->buffer, sizeof server->buffer);
}

static void
respond (StoreServer *server, const char *body, size_t length)
{
  GString *out = g_string_new (NULL);
  uv_buf_t buffer;

  g_string_printf (out, "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n", length);
  g_string_append_len (out, body, (gssize)length);
  buffer = uv_buf_init (out->str, (unsigned)out->len);
  uv_try_write ((uv_stream_t *)server->client, &buffer, 1);
  server->awaits_response = false;
  g_string_free (out, TRUE);
}

static void
respond_with_failure (StoreServer *server)
{
  static const char response[] = "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n";
  uv_buf_t out = uv_buf_init ((char *)response, sizeof response - 1);

  uv_try_write ((uv_stream_t *)server->client, &out, 1);
  server->awaits_response = false;
}

/* Returns the body of the response to a read that starts at offset from: the end of the
 * topic, the first retained offset, and the records, each after its length. The topic has
 * the records k=a, k=b and k=c at offsets 0 to 2. */
static GString *
records_from (int from)
{
  static const char bytes[3][7] = { "\0\0\0\3\1ka", "\0\0\0\3\1kb", "\0\0\0\3\1kc" };
  GString *body = g_string_new (NULL);

  g_string_append_len (body, "\0\0\0\0\0\0\0\3\0\0\0\0\0\0\0\0", 16);
  for (int i = from; i < 3; i++)
    g_string_append_len (body, bytes[i], 7);
  return body;
}

static void
respond_to_read (uv_timer_t *timer)
{
  GString *body = records_from (0);

  respond (timer->data, body->str, body->len);
  g_string_free (body, TRUE);
}

/* Another router has read that the topic has a record. */
static void
announce_record (uv_timer_t *timer)
{
  StoreServer *server = timer->data;
  LimpetGossipBatch batch = { .first_offset = 1, .end_offset = 1 };

  if (server->state_port != NULL)
    {
      batch.end_offset = 9;
      batch.sender = htonl (INADDR_LOOPBACK);
    }
  platform_watch_apply_batch (server->watch, &batch);
}

/* The snapshot ends at offset 3, and so does the topic. */
static void
respond_with_page (StoreServer *server, bool is_snapshot)
{
  const char *page = WHOLE_PAGE;

  if (!is_snapshot)
    {
      server->read_requests++;
      respond (server, "\0\0\0\0\0\0\0\3\0\0\0\0\0\0\0\0", 16);
      return;
    }
  if (!server->is_well)
    page = server->pages[server->page];
  if (server->pages[server->page + 1] != NULL)
    server->page++;
  server->snapshot_requests++;
  respond (server, page, strlen (page));
}

static void
on_request (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  StoreServer *server = stream->data;
  LimpetGossipRecord records[] = { { .bytes = (const uint8_t *)"\1ka", .length = 3 },
                                   { .bytes = (const uint8_t *)"\1kb", .length = 3 } };
  LimpetGossipBatch batch
      = { .first_offset = 0, .records = records, .count = 2, .end_offset = 2 };

  if (count <= 0)
    return;
  server->awaits_response = true;
  server->requests++;
  if (server->pages != NULL)
    {
      respond_with_page (server, strstr (buffer->base, "log-newest") != NULL);
      return;
    }
  if (strstr (buffer->base, "log-newest") != NULL)
    {
      if (server->requests > 1 || server->is_silent)
        {
          server->is_snapshot_under_way = true;
          return;
        }
      respond (server, "{\"items\":[],\"truncated\":false,\"end\":0}", 38);
      return;
    }
  server->last_read_ms = limpet_clock_boot_ms ();
  server->read_requests++;
  if (server->is_outdated)
    {
      respond (server, "\0\0\0\0\0\0\0\2\0\0\0\0\0\0\0\0", 16);
      return;
    }
  if (server->read_requests > 1 && !server->fails_all_reads)
    return;
  if (server->fails_all_reads)
    {
      respond_with_failure (server);
      return;
    }
  if (server->state_port != NULL && !server->fails_first_read)
    {
      uv_timer_start (&server->response_timer, announce_record, 10, 0);
      return;
    }
  if (server->fails_first_read)
    {
      respond_with_failure (server);
      uv_timer_start (&server->response_timer, announce_record, 100, 0);
      return;
    }
  /* Two of the requested records arrive by gossip before the response. */
  platform_watch_apply_batch (server->watch, &batch);
  uv_timer_start (&server->response_timer, respond_to_read, 30, 0);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  StoreServer *server = listener->data;
  uv_tcp_t *client;

  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_TRUE_FATAL (server->connections < MAX_CLIENTS);
  client = &server->clients[server->connections++];
  uv_tcp_init (&server->loop, client);
  client->data = server;
  uv_accept (listener, (uv_stream_t *)client);
  if (server->awaits_response)
    {
      uv_close ((uv_handle_t *)client, NULL);
      return;
    }
  server->client = client;
  uv_read_start ((uv_stream_t *)client, alloc_buffer, on_request);
}

static void
append_value (void *user, const char *key, const char *value, size_t length)
{
  (void)key;
  g_string_append_len (((StoreServer *)user)->values, value, (gssize)length);
}

/* Makes the watch read at once, and then not again before the test ends, unless another
 * router gives it records after a failed read, or the responses are outdated. */
static LimpetMs
delay_of_single_read (void *user, uint32_t topic)
{
  const StoreServer *server = user;

  (void)topic;
  if (server->is_outdated)
    return MAX (0, server->last_read_ms + READ_PAUSE_MS - limpet_clock_boot_ms ());
  if ((server->state_port != NULL && server->values->len > 0) || server->readers > 0)
    return 0;
  return server->read_requests == 0 ? 0 : 100000;
}

static uint32_t
pick_router (void *user)
{
  const StoreServer *server = user;

  return server->state_port != NULL && !server->is_silent ? htonl (INADDR_LOOPBACK) : 0;
}

static LimpetMs
state_age_ms (void *user, uint32_t topic)
{
  (void)topic;
  return ((StoreServer *)user)->state_age_ms;
}

/* No state of another router is recent if the store responds, so that the watch reads a
 * snapshot first. */
static LimpetMs
max_state_age_ms (void *user)
{
  return ((StoreServer *)user)->is_silent ? 2000 : -1;
}

/* Many are so many that a failed read is not repeated before the test ends. */
static uint32_t
reader_count (void *user)
{
  const StoreServer *server = user;

  return server->readers > 0 ? server->readers : 1000;
}

static const PlatformWatchOps watch_ops = {
  .on_snapshot_begin = watch_stub_ignore_snapshot,
  .on_snapshot_end = watch_stub_ignore_snapshot,
  .on_record = append_value,
  .on_read = watch_stub_ignore_read,
  .next_read_delay_ms = delay_of_single_read,
  .reader_count = reader_count,
  .first_read_delay_ms = watch_stub_no_delay,
  .behind_read_delay_ms = watch_stub_no_delay,
  .max_state_age_ms = max_state_age_ms,
  .state_age_ms = state_age_ms,
  .pick_router = pick_router,
  .greet = watch_stub_ignore_router,
  .are_records_pushed = true,
  .log_step = "test",
};

static int
serve_state (void *user, const char *path, GString *body)
{
  StoreServer *server = user;

  CU_ASSERT_TRUE (g_str_has_prefix (path, "/state?topic=0&from="));
  if (server->fails_first_read && !server->is_snapshot_under_way)
    return 404;
  g_string_append_len (body, server->state->str, (gssize)server->state->len);
  return 200;
}

/* Stops once the awaited values have come, or at the latest after 5 s. */
static void
stop_if_served (uv_timer_t *timer)
{
  StoreServer *server = timer->data;

  server->checks++;
  if (server->awaited_values == NULL || server->checks >= 50
      || (strcmp (server->values->str, server->awaited_values) == 0
          && server->connections > 2))
    uv_stop (&server->loop);
}

/* Runs a watch with the store server for 700 ms, and longer until awaited values come. */
static void
run_watch (StoreServer *server)
{
  PlatformAddress address = { .address = "127.0.0.1", .port = 0 };
  struct sockaddr_in socket_address;
  int length = sizeof socket_address;

  uv_loop_init (&server->loop);
  uv_tcp_init (&server->loop, &server->listener);
  uv_timer_init (&server->loop, &server->response_timer);
  uv_timer_init (&server->loop, &server->stop_timer);
  server->listener.data = server->response_timer.data = server->stop_timer.data = server;
  uv_ip4_addr ("127.0.0.1", 0, &socket_address);
  uv_tcp_bind (&server->listener, (struct sockaddr *)&socket_address, 0);
  uv_listen ((uv_stream_t *)&server->listener, 4, on_connection);
  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&socket_address, &length);
  address.port = ntohs (socket_address.sin_port);
  server->watch = platform_watch_new (&server->loop, &address, "t", &watch_ops, server);
  if (server->state != NULL)
    server->state_port
        = watch_stub_serve_states (&server->loop, server->watch, serve_state, server);
  if (server->is_silent)
    uv_timer_start (&server->response_timer, announce_record, 50, 0);
  uv_timer_start (&server->stop_timer, stop_if_served, server->is_silent ? 200 : 700,
                  100);
  uv_run (&server->loop, UV_RUN_DEFAULT);
}

static void
close_watch (StoreServer *server)
{
  platform_watch_close (server->watch);
  if (server->state_port != NULL)
    limpet_status_port_close (server->state_port);
  uv_close ((uv_handle_t *)&server->listener, NULL);
  for (uint32_t i = 0; i < server->connections; i++)
    if (!uv_is_closing ((uv_handle_t *)&server->clients[i]))
      uv_close ((uv_handle_t *)&server->clients[i], NULL);
  uv_close ((uv_handle_t *)&server->response_timer, NULL);
  uv_close ((uv_handle_t *)&server->stop_timer, NULL);
  uv_run (&server->loop, UV_RUN_DEFAULT);
  uv_loop_close (&server->loop);
  g_string_free (server->values, TRUE);
}

/* Guards against a fault: records that arrived by gossip during a read were applied again
 * when the response arrived, and the offset advanced too far. */
static void
test_records_received_during_a_read_are_applied_once (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  LimpetGossipBatch empty_batch = { .first_offset = 3, .end_offset = 3 };

  run_watch (&server);
  CU_ASSERT_STRING_EQUAL (server.values->str, "abc");
  CU_ASSERT_EQUAL (platform_watch_apply_batch (server.watch, &empty_batch), 3);
  close_watch (&server);
}

/* Writes the state for a router that has no records; returns its age and sets end. */
static LimpetMs
written_age_ms (PlatformWatch *watch, int64_t *end)
{
  LimpetStateRequest request = { .format = LIMPET_STATE_MESSAGE_VERSION };
  LimpetStateMessage message = { .age_ms = -1 };
  GString *out = g_string_new (NULL);
  const char *reason = NULL;
  GBytes *state;

  CU_ASSERT_TRUE (platform_watch_write_state (watch, &request, out));
  state = limpet_state_message_read (out->str, out->len, &message, &reason);
  CU_ASSERT_PTR_NOT_NULL_FATAL (state);
  CU_ASSERT_TRUE (limpet_topic_state_check (g_bytes_get_data (state, NULL),
                                            g_bytes_get_size (state), end));
  g_bytes_unref (state);
  g_bytes_unref (message.compressed);
  g_string_free (out, TRUE);
  return message.age_ms;
}

/* Another router tells the record after those that the store has sent. */
static void
apply_fourth_record (PlatformWatch *watch)
{
  LimpetGossipRecord record = { .bytes = (const uint8_t *)"\1kd", .length = 3 };
  LimpetGossipBatch batch
      = { .first_offset = 3, .end_offset = 4, .count = 1, .records = &record };

  CU_ASSERT_EQUAL (platform_watch_apply_batch (watch, &batch), 4);
}

/* Guards against a compressed state that is sent again with the age of a later read,
 * whose records it lacks. */
static void
test_a_state_is_not_sent_as_newer_than_its_read (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  int64_t end = 0;

  run_watch (&server);
  server.state_age_ms = 700;
  CU_ASSERT_TRUE (written_age_ms (server.watch, &end) >= 700);
  CU_ASSERT_EQUAL (end, 3);
  apply_fourth_record (server.watch);
  server.state_age_ms = 0;
  CU_ASSERT_TRUE (written_age_ms (server.watch, &end) >= 700);
  CU_ASSERT_EQUAL (end, 3);
  close_watch (&server);
}

/* Guards against a fault: a compressed state kept the age of the read before which it was
 * compressed, although a later one had shown that nothing was missing in it. */
static void
test_a_state_is_sent_with_the_age_of_the_newest_read_that_confirmed_it (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  int64_t end = 0;

  run_watch (&server);
  server.state_age_ms = 1700;
  CU_ASSERT_TRUE (written_age_ms (server.watch, &end) >= 1700);
  server.state_age_ms = 0;
  CU_ASSERT_EQUAL (written_age_ms (server.watch, &end), 0);
  apply_fourth_record (server.watch);
  CU_ASSERT_TRUE (written_age_ms (server.watch, &end) < 1700);
  CU_ASSERT_EQUAL (end, 3);
  close_watch (&server);
}

/* Guards against a fault: after the clock was set back, a compressed state that lacks
 * records was sent with an age of 0 until the clock had caught up. */
static void
test_a_state_compressed_before_the_clock_was_set_back_is_not_sent_again (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  int64_t end = 0;

  run_watch (&server);
  server.state_age_ms = 700;
  CU_ASSERT_EQUAL (written_age_ms (server.watch, &end), 700);
  CU_ASSERT_EQUAL (end, 3);
  apply_fourth_record (server.watch);
  server.watch->compressed_ms += 60000;
  server.watch->compressed_read_ms += 60000;
  CU_ASSERT_EQUAL (written_age_ms (server.watch, &end), 700);
  CU_ASSERT_EQUAL (end, 4);
  close_watch (&server);
}

/* Guards against a fault: three outdated responses of a store that is not slow counted as
 * a loss, since the pauses in which other routers read counted like slow responses. */
static void
test_outdated_responses_with_pauses_between_them_are_no_loss (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  LimpetGossipBatch empty_batch = { .first_offset = 3, .end_offset = 3 };
  uint32_t era = platform_store_era ();

  run_watch (&server);
  server.is_outdated = true;
  server.checks = 0;
  platform_watch_apply_batch (server.watch, &empty_batch);
  while (server.read_requests < 5 && server.checks < 50 && platform_store_era () == era)
    uv_run (&server.loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (server.read_requests, 5);
  CU_ASSERT_EQUAL (platform_store_era (), era);
  close_watch (&server);
}

/* Another router tells of one more record after a missing one, until the missing one is
 * read. */
static void
tell_one_more (uv_timer_t *timer)
{
  StoreServer *server = timer->data;
  LimpetGossipBatch batch = { .first_offset = 4, .end_offset = 4 + ++server->checks };

  if (server->watch->reads == server->reads_before && server->checks <= 50)
    platform_watch_apply_batch (server->watch, &batch);
  else
    uv_stop (&server->loop);
}

/* Guards against a fault: each news of a missing record put off the read of it, which
 * never began while they came faster than each 40 ms. */
static void
test_news_in_a_series_do_not_put_off_a_read (void)
{
  StoreServer server = { .values = g_string_new (NULL) };

  run_watch (&server);
  server.reads_before = server.watch->reads;
  server.checks = 0;
  uv_timer_start (&server.stop_timer, tell_one_more, 20, 20);
  uv_run (&server.loop, UV_RUN_DEFAULT);
  printf ("news of a missing record until it was read: %u\n", server.checks - 1);
  CU_ASSERT_EQUAL (server.watch->reads, server.reads_before + 1);
  CU_ASSERT_TRUE (server.checks <= 5);
  close_watch (&server);
}

/* Guards against a fault: after an outage, a router waited for its next retry although
 * another router had read that there is a new record. */
static void
test_a_new_record_is_read_before_the_retry_is_due (void)
{
  StoreServer server = { .values = g_string_new (NULL), .fails_first_read = true };

  run_watch (&server);
  /* A snapshot, the failed read, and the read of the new record. */
  CU_ASSERT_EQUAL (server.requests, 3);
  close_watch (&server);
}

/* Returns a message with a state that has the record k=value, and its end. */
static GString *
state_message (uint32_t topic, int64_t end, const char *value)
{
  LimpetTopicState *state = limpet_topic_state_new ();
  GString *written = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  LimpetStateMessage message
      = { .version = LIMPET_STATE_MESSAGE_VERSION, .topic = topic, .age_ms = 700 };

  limpet_topic_state_put (state, "k", value, strlen (value), end - 1);
  limpet_topic_state_write (state, end, written);
  message.compressed = limpet_state_message_compress (written->str, written->len);
  limpet_state_message_write (&message, out);
  g_bytes_unref (message.compressed);
  g_string_free (written, TRUE);
  limpet_topic_state_delete (state);
  return out;
}

static const struct
{
  int64_t end;
  size_t cut_bytes; /* missing at the end */
  uint32_t topic;
  const char *values;
} states[] = {
  { .end = 9, .values = "new" }, /* all records that the router was told of */
  { .end = 3, .values = "new" }, /* later records, but not all */
  { .end = 0, .values = "" },    /* nothing later than what the router has */
  { .end = 9, .cut_bytes = 1, .values = "" },
  { .end = 9, .cut_bytes = 20, .values = "" },
  { .end = 9, .topic = 1, .values = "" },
};

/* The store does not respond to reads, and another router serves its state. */
static void
test_only_a_later_and_whole_state_of_another_router_is_applied (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (states); i++)
    {
      StoreServer server
          = { .values = g_string_new (NULL),
              .state = state_message (states[i].topic, states[i].end, "new") };

      g_string_truncate (server.state, server.state->len - states[i].cut_bytes);
      run_watch (&server);
      CU_ASSERT_STRING_EQUAL (server.values->str, states[i].values);
      g_string_free (server.state, TRUE);
      close_watch (&server);
    }
}

static void
test_reads_go_on_after_the_state_of_another_router_ended_a_snapshot (void)
{
  StoreServer server = { .values = g_string_new (NULL),
                         .state = state_message (0, 9, "new"),
                         .awaited_values = "new",
                         .fails_first_read = true };

  run_watch (&server);
  CU_ASSERT_STRING_EQUAL (server.values->str, "new");
  /* The second one repeats the read of the snapshot. */
  CU_ASSERT_TRUE (server.connections > 2);
  g_string_free (server.state, TRUE);
  close_watch (&server);
}

/* Guards against a fault: a router that started did not ask a router that told it of the
 * newest records, and in a fleet that starts at once it was ready late. */
static void
test_a_router_without_a_state_asks_the_one_that_announces_it (void)
{
  StoreServer server = { .values = g_string_new (NULL),
                         .state = state_message (0, 9, "new"),
                         .is_silent = true };

  run_watch (&server);
  CU_ASSERT_STRING_EQUAL (server.values->str, "new");
  g_string_free (server.state, TRUE);
  close_watch (&server);
}

static void
collect_record (
    void *user, const char *key, const char *value, size_t length, int64_t offset)
{
  g_string_append_printf (user, "%s=%.*s@%ld ", key, (int)length, value, (long)offset);
}

static void
test_a_topic_state_keeps_the_record_with_the_latest_offset (void)
{
  LimpetTopicState *state = limpet_topic_state_new ();
  GString *out = g_string_new (NULL);
  GString *records = g_string_new (NULL);
  int64_t end;

  CU_ASSERT_TRUE (limpet_topic_state_put (state, "k", "b", 1, 5));
  CU_ASSERT_FALSE (limpet_topic_state_put (state, "k", "a", 1, 4));
  CU_ASSERT_FALSE (limpet_topic_state_put (state, "k", NULL, 0, 4));
  CU_ASSERT_TRUE (limpet_topic_state_put (state, "gone", "x", 1, 3));
  CU_ASSERT_TRUE (limpet_topic_state_put (state, "later", "y", 1, 7));
  limpet_topic_state_begin_list (state);
  CU_ASSERT_TRUE (limpet_topic_state_put (state, "k", "b", 1, 5));
  limpet_topic_state_end_list (state, 6);
  CU_ASSERT_EQUAL (limpet_topic_state_count (state), 2);
  CU_ASSERT_TRUE (limpet_topic_state_put (state, "later", NULL, 0, 8));
  limpet_topic_state_write (state, 9, out);
  CU_ASSERT_TRUE (limpet_topic_state_check (out->str, out->len, &end));
  CU_ASSERT_EQUAL (end, 9);
  limpet_topic_state_put (state, "k", "c", 1, 6);
  limpet_topic_state_put (state, "gone", "x", 1, 8);
  limpet_topic_state_merge (state, out->str, out->len);
  limpet_topic_state_for_each (state, collect_record, records);
  CU_ASSERT_STRING_EQUAL (records->str, "k=c@6 ");
  for (size_t length = 0; length < out->len; length++)
    CU_ASSERT_FALSE (limpet_topic_state_check (out->str, length, &end));
  g_string_append_c (out, '\0');
  CU_ASSERT_FALSE (limpet_topic_state_check (out->str, out->len, &end));
  g_string_free (out, TRUE);
  g_string_free (records, TRUE);
  limpet_topic_state_delete (state);
}

static void
test_a_state_message_is_read_only_if_it_is_whole (void)
{
  GString *whole = state_message (1, 9, "new");
  LimpetStateMessage message;
  const char *reason = NULL;
  GBytes *state = limpet_state_message_read (whole->str, whole->len, &message, &reason);
  int64_t end = 0;

  CU_ASSERT_PTR_NOT_NULL_FATAL (state);
  CU_ASSERT_EQUAL (message.topic, 1);
  CU_ASSERT_EQUAL (message.age_ms, 700);
  CU_ASSERT_TRUE (limpet_topic_state_check (g_bytes_get_data (state, NULL),
                                            g_bytes_get_size (state), &end));
  CU_ASSERT_EQUAL (end, 9);
  g_bytes_unref (message.compressed);
  g_bytes_unref (state);
  for (size_t length = 0; length < whole->len; length++)
    CU_ASSERT_PTR_NULL (
        limpet_state_message_read (whole->str, length, &message, &reason));
  for (size_t i = 0; i < whole->len; i++)
    {
      whole->str[i] ^= 0x20;
      state = limpet_state_message_read (whole->str, whole->len, &message, &reason);
      /* The topic and the age have no check sum; all else is noticed. */
      CU_ASSERT_EQUAL (state != NULL, i >= 5 && i < 10);
      if (state != NULL)
        g_bytes_unref (message.compressed);
      g_clear_pointer (&state, g_bytes_unref);
      whole->str[i] ^= 0x20;
    }
  memcpy (whole->str + 10, "\4\0\0\0", 4); /* 64 MB */
  CU_ASSERT_PTR_NULL (
      limpet_state_message_read (whole->str, whole->len, &message, &reason));
  CU_ASSERT_STRING_EQUAL (reason, "the state is too large");
  g_string_free (whole, TRUE);
}

static const struct
{
  const char *path;
  bool is_valid;
  LimpetStateRequest request;
} requests[] = {
  { "/state?topic=1&from=7", true, { .topic = 1, .from = 7, .format = 0 } },
  { "/state?topic=0&from=-1&format=1", true, { .from = -1, .format = 1 } },
  { "/state?topic=0&from=-1&format=1x", false, { 0 } },
  { "/state?topic=0&from=-1x", false, { 0 } },
  { "/state?topic=0", false, { 0 } },
  { "/metrics", false, { 0 } },
  { "", false, { 0 } },
};

static void
test_requests_for_states_are_parsed (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (requests); i++)
    {
      LimpetStateRequest request;

      CU_ASSERT_EQUAL (limpet_state_fetch_parse_path (requests[i].path, &request),
                       requests[i].is_valid);
      if (!requests[i].is_valid)
        continue;
      CU_ASSERT_EQUAL (request.topic, requests[i].request.topic);
      CU_ASSERT_EQUAL (request.from, requests[i].request.from);
      CU_ASSERT_EQUAL (request.format, requests[i].request.format);
    }
}

/* Offers to a router that has no state, one after the other. */
static const struct
{
  const char *name;
  LimpetStateOffer offers[3];
  int accepted; /* index of the first offer that is taken; -1 for none */
} offer_cases[] = {
  { "recent", { { .address = 1, .end = 5, .age_ms = 900, .max_age_ms = 2000 } }, 0 },
  { "a router that is cut off",
    { { .address = 1, .end = 5, .age_ms = 2001, .max_age_ms = 2000 },
      { .address = 1, .end = 5, .age_ms = 2100, .max_age_ms = 2000 },
      { .address = 2, .end = 8, .age_ms = 100, .max_age_ms = 2000 } },
    2 },
  { "the log is away for all",
    { { .address = 1, .end = 5, .age_ms = 9000, .max_age_ms = 2000 },
      { .address = 2, .end = 5, .age_ms = 9100, .max_age_ms = 2000 } },
    1 },
  { "the second one has less",
    { { .address = 1, .end = 5, .age_ms = 9000, .max_age_ms = 2000 },
      { .address = 2, .end = 4, .age_ms = 9100, .max_age_ms = 2000 },
      { .address = 1, .end = 5, .age_ms = 9200, .max_age_ms = 2000 } },
    -1 },
  { "the own read fails as well",
    { { .address = 1,
        .end = 5,
        .age_ms = 9000,
        .max_age_ms = 2000,
        .is_log_failing = true } },
    0 },
};

static void
test_an_old_state_is_taken_only_if_nothing_newer_can_be_had (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (offer_cases); i++)
    {
      LimpetStateOffers offers = { 0 };
      int accepted = -1;

      for (int k = 0; k < 3 && accepted < 0; k++)
        if (offer_cases[i].offers[k].address != 0
            && limpet_state_offers_accept (&offers, &offer_cases[i].offers[k]))
          accepted = k;
      CU_ASSERT_EQUAL (accepted, offer_cases[i].accepted);
      if (accepted != offer_cases[i].accepted)
        printf ("case failed: %s\n", offer_cases[i].name);
    }
}

static const struct
{
  LimpetMs usual_wait_ms;
  LimpetReadProgress progress;
  bool needs_attempt;
  bool is_late;
} reads[] = {
  { 4, { .attempts = 1, .elapsed_ms = 200, .silent_ms = 200 }, false, false },
  { 4, { .attempts = 1, .elapsed_ms = 250, .silent_ms = 250 }, true, true },
  { 4, { .attempts = 2, .elapsed_ms = 300, .silent_ms = 50 }, false, true },
  { 4, { .attempts = 2, .elapsed_ms = 500, .silent_ms = 250 }, true, true },
  { 4, { .attempts = 3, .elapsed_ms = 750, .silent_ms = 250 }, false, true },
  /* A response that is arriving is not repeated, which would slow it down. */
  { 4, { .attempts = 1, .elapsed_ms = 600, .silent_ms = 20 }, false, true },
  /* A log that is slow for everybody does not get more reads. */
  { 300, { .attempts = 1, .elapsed_ms = 450, .silent_ms = 450 }, false, false },
  { 300, { .attempts = 1, .elapsed_ms = 600, .silent_ms = 600 }, true, true },
  { 5000, { .attempts = 1, .elapsed_ms = 900, .silent_ms = 900 }, true, true },
};

static void
test_a_read_without_response_is_repeated (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (reads); i++)
    {
      LimpetReadHedge hedge = { 0 };

      limpet_read_hedge_record_wait (&hedge, reads[i].usual_wait_ms);
      CU_ASSERT_EQUAL (limpet_read_hedge_needs_attempt (&hedge, &reads[i].progress),
                       reads[i].needs_attempt);
      CU_ASSERT_EQUAL (limpet_read_hedge_is_late (&hedge, &reads[i].progress),
                       reads[i].is_late);
    }
}

/* Another router names an era later than those before. */
static void
tell_later_era (uv_timer_t *timer)
{
  StoreServer *server = timer->data;
  int64_t end = limpet_log_position (platform_store_era () + 1, 0);
  LimpetGossipBatch batch = { .first_offset = end, .end_offset = end };

  if (++server->checks <= 30)
    platform_watch_apply_batch (server->watch, &batch);
  else
    uv_stop (&server->loop);
}

/* Guards against a fault: each news of a later era, though no response of the store named
 * one, ended the pauses between reads that failed. */
static void
test_news_of_ever_later_eras_cause_few_reads (void)
{
  StoreServer server = { .values = g_string_new (NULL) };
  uint64_t begun;

  run_watch (&server);
  server.fails_all_reads = true;
  server.checks = 0;
  begun = server.watch->reads;
  uv_timer_start (&server.stop_timer, tell_later_era, 100, 100);
  uv_run (&server.loop, UV_RUN_DEFAULT);
  begun = server.watch->reads - begun;
  printf ("reads that failed in 3 s with news of 30 eras: %lu\n", (unsigned long)begun);
  CU_ASSERT_TRUE (begun >= 3);
  CU_ASSERT_TRUE (begun <= 7);
  close_watch (&server);
}

/* Guards against routers left by most others, which repeated a failed read only after a
 * pause for the whole fleet, and served by an old configuration until then. */
static void
test_a_failed_read_is_repeated_soon_once_the_other_routers_are_gone (void)
{
  StoreServer server = { .values = g_string_new (NULL), .fails_all_reads = true };

  run_watch (&server);
  platform_watch_check_retry (server.watch);
  uv_timer_start (&server.stop_timer, stop_if_served, 1000, 0);
  uv_run (&server.loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (server.read_requests, 1); /* it is left to the others */
  server.readers = 1;
  platform_watch_check_retry (server.watch);
  uv_timer_start (&server.stop_timer, stop_if_served, 1000, 0);
  uv_run (&server.loop, UV_RUN_DEFAULT);
  CU_ASSERT_TRUE (server.read_requests >= 2);
  CU_ASSERT_TRUE (server.read_requests <= 4);
  close_watch (&server);
}

static const struct
{
  const char *name;
  const char *pages[4];
  const char *values; /* of the pages that are usable */
} unusable_snapshots[] = {
  { "no items, but truncated", { PAGE ("", "true") }, "" },
  { "only unreadable items, but truncated", { PAGE ("7,null", "true") }, "" },
  { "no items on a later page, but truncated",
    { PAGE (ITEM ("\"k\""), "true"), PAGE ("", "true") },
    "a" },
  { "the same page again",
    { PAGE (ITEM ("\"k\""), "true"), PAGE (ITEM ("\"k\""), "true") },
    "a" },
  { "an earlier page again",
    { PAGE (ITEM ("\"k\""), "true"), PAGE (ITEM ("\"m\""), "true"),
      PAGE (ITEM ("\"k\""), "true") },
    "aa" },
  { "key null", { PAGE (ITEM ("null"), "false") }, "" },
  { "key of wrong type", { PAGE (ITEM ("7"), "false") }, "" },
  { "key missing", { PAGE ("{\"value\":\"YQ==\"}", "false") }, "" },
  { "value null", { PAGE ("{\"key\":\"k\",\"value\":null}", "false") }, "" },
  { "value of wrong type", { PAGE ("{\"key\":\"k\",\"value\":7}", "false") }, "" },
  { "value missing", { PAGE ("{\"key\":\"k\"}", "false") }, "" },
  { "item null", { PAGE (ITEM ("\"k\"") ",null", "false") }, "" },
  { "item of wrong type", { PAGE (ITEM ("\"k\"") ",7", "false") }, "" },
  { "truncated null", { PAGE (ITEM ("\"k\""), "null") }, "" },
  { "truncated 0", { PAGE (ITEM ("\"k\""), "0") }, "" },
  { "truncated 1", { PAGE (ITEM ("\"k\""), "1") }, "" },
  { "truncated a text", { PAGE (ITEM ("\"k\""), "\"\"") }, "" },
  { "truncated a list", { PAGE (ITEM ("\"k\""), "[true]") }, "" },
  { "truncated missing", { "{\"items\":[" ITEM ("\"k\"") "],\"end\":3}" }, "" },
  { "end null", { "{\"items\":[],\"truncated\":false,\"end\":null}" }, "" },
  { "end a text", { "{\"items\":[],\"truncated\":false,\"end\":\"3\"}" }, "" },
  { "end negative", { "{\"items\":[],\"truncated\":false,\"end\":-1}" }, "" },
  { "end a fraction", { "{\"items\":[],\"truncated\":false,\"end\":2.5}" }, "" },
  { "end missing", { "{\"items\":[],\"truncated\":false}" }, "" },
  { "no page", { "[]" }, "" },
  { "no JSON", { "<html>" }, "" },
};

/* Guards against partial lists that count as whole, reads without a pause, and crashes.
 */
static void
test_an_unusable_page_of_a_snapshot_is_read_again_after_a_pause (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (unusable_snapshots); i++)
    {
      StoreServer server
          = { .values = g_string_new (NULL), .pages = unusable_snapshots[i].pages };
      char *values = g_strconcat (unusable_snapshots[i].values, "a", NULL);
      uint32_t failures = CU_get_number_of_failures ();

      run_watch (&server);
      CU_ASSERT_STRING_EQUAL (server.values->str, unusable_snapshots[i].values);
      CU_ASSERT_TRUE (server.snapshot_requests > server.page + 1);
      CU_ASSERT_TRUE (server.snapshot_requests <= server.page + MAX_REPEATED_READS);
      CU_ASSERT_EQUAL (server.watch->offset, -1);
      server.is_well = true;
      for (uint32_t runs = 0; runs < MAX_FURTHER_RUNS && server.watch->offset < 0; runs++)
        uv_run (&server.loop, UV_RUN_DEFAULT);
      CU_ASSERT_EQUAL (server.watch->offset,
                       limpet_log_position (platform_store_era (), 3));
      CU_ASSERT_STRING_EQUAL (server.values->str, values);
      g_free (values);
      close_watch (&server);
      if (CU_get_number_of_failures () > failures)
        printf ("case failed: %s\n", unusable_snapshots[i].name);
    }
}

void
add_watch_tests (void)
{
  CU_pSuite suite = CU_add_suite ("watch", NULL, NULL);

  CU_ADD_TEST (suite, test_records_received_during_a_read_are_applied_once);
  CU_ADD_TEST (suite, test_only_a_later_and_whole_state_of_another_router_is_applied);
  CU_ADD_TEST (suite,
               test_reads_go_on_after_the_state_of_another_router_ended_a_snapshot);
  CU_ADD_TEST (suite, test_a_router_without_a_state_asks_the_one_that_announces_it);
  CU_ADD_TEST (suite, test_a_topic_state_keeps_the_record_with_the_latest_offset);
  CU_ADD_TEST (suite, test_a_state_message_is_read_only_if_it_is_whole);
  CU_ADD_TEST (suite, test_requests_for_states_are_parsed);
  CU_ADD_TEST (suite, test_an_old_state_is_taken_only_if_nothing_newer_can_be_had);
  CU_ADD_TEST (suite, test_a_read_without_response_is_repeated);
  CU_ADD_TEST (suite, test_a_new_record_is_read_before_the_retry_is_due);
  CU_ADD_TEST (suite, test_news_in_a_series_do_not_put_off_a_read);
  CU_ADD_TEST (suite, test_a_state_is_not_sent_as_newer_than_its_read);
  CU_ADD_TEST (suite,
               test_a_state_is_sent_with_the_age_of_the_newest_read_that_confirmed_it);
  CU_ADD_TEST (suite,
               test_a_state_compressed_before_the_clock_was_set_back_is_not_sent_again);
  CU_ADD_TEST (suite, test_outdated_responses_with_pauses_between_them_are_no_loss);
  CU_ADD_TEST (suite, test_an_unusable_page_of_a_snapshot_is_read_again_after_a_pause);
  /* The eras stay known, so no other test of a watch may follow. */
  CU_ADD_TEST (suite, test_news_of_ever_later_eras_cause_few_reads);
  CU_ADD_TEST (suite,
               test_a_failed_read_is_repeated_soon_once_the_other_routers_are_gone);
}
