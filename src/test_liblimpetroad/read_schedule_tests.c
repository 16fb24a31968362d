#include "tests.h"

#include "limpetroad/topic_state.h"
#include "platform/watch_private.h"
#include "private/state_message.h"
#include "watch_stubs.h"

#include <glib.h>
#include <netinet/in.h>

/* A router leaves its reads to others for so long, as long as they run. */
#define LEFT_TO_OTHERS_MS 8000
/* Time in which a router must notice that the others are gone, and read itself. */
#define TAKE_OVER_MS 500
#define SETTLE_MS 400
#define END "\0\0\0\0\0\0\0\3"
#define FIRST_RETAINED "\0\0\0\0\0\0\0\0"
#define SNAPSHOT "{\"items\":[],\"truncated\":false,\"end\":3}"

/* A watch of a topic in one of many routers. The store refuses its connections. */
typedef struct
{
  uv_loop_t loop;
  uv_timer_t stop_timer;
  PlatformWatch *watch;
  LimpetStatusPort *state_port; /* of another router; NULL if there is none */
  bool do_others_run;
} Router;

static void
ignore_record (void *user, const char *key, const char *value, size_t length)
{
  (void)user;
  (void)key;
  (void)value;
  (void)length;
}

static LimpetMs
next_read_delay_ms (void *user, uint32_t topic)
{
  (void)topic;
  return ((Router *)user)->do_others_run ? LEFT_TO_OTHERS_MS : 0;
}

/* So few that a failed read is repeated soon. */
static uint32_t
reader_count (void *user)
{
  (void)user;
  return 2;
}

static LimpetMs
max_state_age_ms (void *user)
{
  (void)user;
  return 2000;
}

static LimpetMs
state_age_ms (void *user, uint32_t topic)
{
  (void)user;
  (void)topic;
  return 0;
}

static uint32_t
pick_router (void *user)
{
  return ((Router *)user)->state_port != NULL ? htonl (INADDR_LOOPBACK) : 0;
}

static const PlatformWatchOps watch_ops = {
  .on_snapshot_begin = watch_stub_ignore_snapshot,
  .on_snapshot_end = watch_stub_ignore_snapshot,
  .on_record = ignore_record,
  .on_read = watch_stub_ignore_read,
  .next_read_delay_ms = next_read_delay_ms,
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

static void
end_snapshot (Router *router)
{
  platform_watch_on_snapshot_page (router->watch, 200, SNAPSHOT, strlen (SNAPSHOT), NULL);
}

static void
end_read (Router *router)
{
  end_snapshot (router);
  router->watch->requested_offset = router->watch->offset;
  platform_watch_on_read (router->watch, 200, END FIRST_RETAINED, 16, NULL);
}

static void
fail_read (Router *router)
{
  end_snapshot (router);
  platform_watch_on_read (router->watch, 503, "", 0, NULL);
}

static void
receive_record (Router *router)
{
  LimpetGossipRecord record = { .bytes = (const uint8_t *)"\1ka", .length = 3 };
  LimpetGossipBatch batch
      = { .first_offset = 3, .records = &record, .count = 1, .end_offset = 4 };

  end_snapshot (router);
  platform_watch_apply_batch (router->watch, &batch);
}

static int
serve_state (void *user, const char *path, GString *body)
{
  LimpetTopicState *state = limpet_topic_state_new ();
  GString *written = g_string_new (NULL);
  LimpetStateMessage message = { .version = LIMPET_STATE_MESSAGE_VERSION };

  (void)user;
  (void)path;
  limpet_topic_state_put (state, "k", "a", 1, 2);
  limpet_topic_state_write (state, 3, written);
  message.compressed = limpet_state_message_compress (written->str, written->len);
  limpet_state_message_write (&message, body);
  g_bytes_unref (message.compressed);
  g_string_free (written, TRUE);
  limpet_topic_state_delete (state);
  return 200;
}

static void
receive_state (Router *router)
{
  router->state_port
      = watch_stub_serve_states (&router->loop, router->watch, serve_state, router);
}

static void
stop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
run_for (Router *router, uint64_t period_ms)
{
  uv_timer_start (&router->stop_timer, stop, period_ms, 0);
  uv_run (&router->loop, UV_RUN_DEFAULT);
}

static void
start (Router *router)
{
  PlatformAddress closed_port = { .address = "127.0.0.1", .port = 1 };

  uv_loop_init (&router->loop);
  uv_timer_init (&router->loop, &router->stop_timer);
  router->watch
      = platform_watch_new (&router->loop, &closed_port, "t", &watch_ops, router);
}

static void
finish (Router *router)
{
  platform_watch_close (router->watch);
  if (router->state_port != NULL)
    limpet_status_port_close (router->state_port);
  uv_close ((uv_handle_t *)&router->stop_timer, NULL);
  uv_run (&router->loop, UV_RUN_DEFAULT);
  uv_loop_close (&router->loop);
}

static const struct
{
  const char *name;
  void (*play) (Router *router);
} events[] = {
  { "the end of a snapshot", end_snapshot },
  { "a read of the store", end_read },
  { "a failed read", fail_read },
  { "a record from another router", receive_record },
  { "the state of another router", receive_state },
};

/* Guards against a fault: a router drew, after one of these events, for how long it left
 * the topic to the others, and kept to that when they were killed (review/11). */
static void
test_no_event_makes_a_router_wait_for_others_that_are_gone (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (events); i++)
    {
      Router router = { .do_others_run = true };
      uint64_t reads;

      start (&router);
      events[i].play (&router);
      run_for (&router, SETTLE_MS);
      CU_ASSERT_EQUAL (router.watch->offset, events[i].play == receive_record ? 4 : 3);
      reads = router.watch->reads;
      run_for (&router, TAKE_OVER_MS);
      CU_ASSERT_EQUAL (router.watch->reads, reads);
      router.do_others_run = false;
      run_for (&router, TAKE_OVER_MS);
      printf ("reads in %d ms without others after %s: %lu\n", TAKE_OVER_MS,
              events[i].name, (unsigned long)(router.watch->reads - reads));
      CU_ASSERT_TRUE (router.watch->reads > reads);
      finish (&router);
    }
}

void
add_read_schedule_tests (void)
{
  CU_pSuite suite = CU_add_suite ("read schedule", NULL, NULL);

  CU_ADD_TEST (suite, test_no_event_makes_a_router_wait_for_others_that_are_gone);
}
