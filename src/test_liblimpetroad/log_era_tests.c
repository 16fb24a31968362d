#include "tests.h"

#include "limpetroad/directory.h"
#include "limpetroad/log_era.h"
#include "limpetroad/topic_state.h"
#include "platform/record_writer.h"
#include "simulated_fleet.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>
#include <uv.h>

#define HEARTBEAT_MS 1200
/* By then the users' rules apply again after a disruption of the store. */
#define STABLE_WINDOW_MS 3000
#define OLD_END 500
#define MAX_STEPS 6
#define UNIX_MS INT64_C (1765000000000)

static void
test_positions_of_a_later_era_are_later (void)
{
  int64_t last_of_era = limpet_log_position (6, LIMPET_LOG_MAX_OFFSET);

  CU_ASSERT_EQUAL (limpet_log_position (0, 27), 27);
  CU_ASSERT_TRUE (limpet_log_position (7, 0) > last_of_era);
  CU_ASSERT_EQUAL (limpet_log_position_era (last_of_era), 6);
  CU_ASSERT_EQUAL (limpet_log_position_offset (last_of_era), LIMPET_LOG_MAX_OFFSET);
  CU_ASSERT_EQUAL (limpet_log_position_offset (limpet_log_position (7, 12)), 12);
  CU_ASSERT_TRUE (limpet_log_position (LIMPET_LOG_MAX_ERA, LIMPET_LOG_MAX_OFFSET) > 0);
  CU_ASSERT_EQUAL (limpet_log_position_offset (-1), -1);
}

#define NONE LIMPET_LOG_NO_ERA
#define CREDIBLE LIMPET_LOG_MAX_CREDIBLE_ERA
#define SAME LIMPET_LOG_ERA_SAME
#define NEW LIMPET_LOG_ERA_NEW
#define OUTDATED LIMPET_LOG_ERA_OUTDATED

/* What a router hears of at one time: the era that another router knows, or a response.
 */
static const struct
{
  const char *name;
  struct
  {
    int64_t named;
    LimpetMs called_ms; /* 0 if another router told it */
    LimpetLogEraNews news;
    uint32_t number;
  } steps[MAX_STEPS];
} histories[] = {
  { "a log without eras", { { NONE, 10, SAME, 0 }, { NONE, 20, SAME, 0 } } },
  { "the first era named is no restoration", { { 5, 10, SAME, 5 }, { 5, 20, SAME, 5 } } },
  { "a restoration", { { 5, 10, SAME, 5 }, { 6, 20, NEW, 6 }, { 6, 30, SAME, 6 } } },
  { "a late response of the era before",
    { { 5, 10, SAME, 5 },
      { 6, 20, NEW, 6 },
      { 5, 15, OUTDATED, 6 },
      { 6, 30, SAME, 6 } } },
  { "another router tells of it first",
    { { 5, 10, SAME, 5 },
      { 6, 0, SAME, 6 },
      { 5, 15, OUTDATED, 6 },
      { 6, 30, SAME, 6 },
      { 7, 40, NEW, 7 } } },
  { "a lower era begins one as well, once",
    { { 5, 10, SAME, 5 }, { 2, 20, NEW, 6 }, { 2, 30, SAME, 6 }, { 9, 40, NEW, 9 } } },
  { "a log that names now this era, now that one",
    { { 5, 10, SAME, 5 }, { 2, 20, NEW, 6 }, { 5, 30, SAME, 6 }, { 2, 40, SAME, 6 } } },
  { "a lower era of which another router told",
    { { 5, 10, SAME, 5 }, { 6, 0, SAME, 6 }, { 2, 30, SAME, 6 }, { 2, 40, SAME, 6 } } },
  { "an era that is no longer named",
    { { 5, 10, SAME, 5 },
      { NONE, 20, SAME, 5 },
      { NONE, 30, SAME, 5 },
      { 9, 40, NEW, 9 } } },
  { "a router that starts among others that counted further",
    { { 2, 10, SAME, 2 }, { 6, 0, SAME, 6 }, { 2, 30, SAME, 6 }, { 3, 40, NEW, 7 } } },
  { "a late response of a log without eras, after a later one",
    { { NONE, 10, SAME, 0 },
      { 1, 0, SAME, 1 },
      { NONE, 30, SAME, 1 },
      { NONE, 15, OUTDATED, 1 } } },
  { "a late response of a log whose name does not tell the era, after a later one",
    { { 7, 10, SAME, 7 },
      { 8, 0, SAME, 8 },
      { 7, 30, SAME, 8 },
      { 7, 15, OUTDATED, 8 } } },
  { "a number that cannot be one",
    { { 5, 10, SAME, 5 }, { INT64_C (1) << 40, 0, SAME, 5 } } },
  { "the highest number, told by another router",
    { { 5, 10, SAME, 5 },
      { LIMPET_LOG_MAX_ERA, 0, SAME, 5 },
      { 5, 30, SAME, 5 },
      { 6, 40, NEW, 6 } } },
  { "the highest number that is believed, and the next ones",
    { { 5, 10, SAME, 5 },
      { CREDIBLE, 0, SAME, CREDIBLE },
      { 5, 30, SAME, CREDIBLE },
      { 6, 40, NEW, CREDIBLE + 1 },
      { CREDIBLE + 2, 0, SAME, CREDIBLE + 2 },
      { LIMPET_LOG_MAX_ERA, 0, SAME, CREDIBLE + 2 } } },
  { "an era that is a time",
    { { UNIX_MS, 10, SAME, UNIX_MS % LIMPET_LOG_ERA_MODULUS },
      { UNIX_MS + 1, 20, NEW, UNIX_MS % LIMPET_LOG_ERA_MODULUS + 1 },
      { UNIX_MS, 15, OUTDATED, UNIX_MS % LIMPET_LOG_ERA_MODULUS + 1 } } },
  { "an era at which the numbers start over",
    { { LIMPET_LOG_ERA_MODULUS - 1, 10, SAME, LIMPET_LOG_ERA_MODULUS - 1 },
      { LIMPET_LOG_ERA_MODULUS, 20, NEW, LIMPET_LOG_ERA_MODULUS },
      { LIMPET_LOG_ERA_MODULUS, 30, SAME, LIMPET_LOG_ERA_MODULUS } } },
};

static void
test_a_restoration_is_noticed_once (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (histories); i++)
    {
      LimpetLogEra era = { 0 };
      bool is_right = true;

      for (int k = 0; k < MAX_STEPS && histories[i].steps[k].named != 0; k++)
        {
          LimpetMs now_ms = 10 * (k + 1) + 5;
          LimpetLogEraNews news = SAME;

          if (histories[i].steps[k].called_ms > 0)
            news = limpet_log_era_record (&era, histories[i].steps[k].named,
                                          histories[i].steps[k].called_ms, now_ms);
          else
            limpet_log_era_hear (
                &era, (uint32_t)MIN (histories[i].steps[k].named, UINT32_MAX), now_ms);
          is_right = is_right && news == histories[i].steps[k].news
                     && era.number == histories[i].steps[k].number;
        }
      CU_ASSERT_TRUE (is_right);
      if (!is_right)
        printf ("case failed: %s\n", histories[i].name);
    }
}

static void
test_records_of_a_later_era_replace_those_of_the_one_before (void)
{
  LimpetTopicState *state = limpet_topic_state_new ();

  limpet_topic_state_put (state, "k", "old", 3, limpet_log_position (1, 90));
  limpet_topic_state_put (state, "lost", "x", 1, limpet_log_position (1, 91));
  limpet_topic_state_begin_list (state);
  CU_ASSERT_TRUE (
      limpet_topic_state_put (state, "k", "new", 3, limpet_log_position (2, 40)));
  limpet_topic_state_end_list (state, limpet_log_position (2, 41));
  CU_ASSERT_EQUAL (limpet_topic_state_count (state), 1);
  CU_ASSERT_FALSE (
      limpet_topic_state_put (state, "k", "old", 3, limpet_log_position (1, 95)));
  limpet_topic_state_delete (state);
}

static void
put_target (LimpetDirectory *directory, const char *id, int64_t sequence, bool leaving)
{
  LimpetVm vm
      = { .address = "10.0.0.1", .port = 80, .incarnation = 7, .leaving = leaving };

  g_strlcpy (vm.id, id, sizeof vm.id);
  limpet_directory_put (directory, &vm, sequence);
}

static uint32_t
count_targets (LimpetDirectory *directory, LimpetMs now_ms)
{
  LimpetVmList list;
  uint32_t count;

  limpet_directory_is_changed (directory, now_ms);
  limpet_directory_build (directory, &list);
  count = list.count;
  limpet_vm_list_clear (&list);
  return count;
}

/* A registry that comes back from a copy has s0 only; s1 was registered, s2 left, s3 was
 * removed since the copy was made. */
static LimpetDirectory *
make_restored_directory (void)
{
  LimpetDirectory *directory = limpet_directory_new (HEARTBEAT_MS);

  put_target (directory, "s0", 9, false);
  put_target (directory, "s1", 9, false);
  put_target (directory, "s2", 9, true);
  put_target (directory, "s3", 9, false);
  limpet_directory_remove (directory, "s3", 900);
  CU_ASSERT_EQUAL (count_targets (directory, 900), 3);
  limpet_directory_registry_restored (directory);
  limpet_directory_begin_list (directory);
  put_target (directory, "s0", 5, false);
  put_target (directory, "s3", 9, false);
  limpet_directory_end_list (directory, 1000);
  return directory;
}

static void
test_a_target_that_a_copy_lacks_is_kept_until_it_registers_again (void)
{
  LimpetDirectory *directory = make_restored_directory ();

  /* s1 is awaited; s2 and s3 have left. */
  CU_ASSERT_EQUAL (count_targets (directory, 1000), 2);
  CU_ASSERT_EQUAL (count_targets (directory, 2600), 2);
  put_target (directory, "s1", 9, false); /* the same entry again */
  CU_ASSERT_EQUAL (count_targets (directory, 9000), 2);
  limpet_directory_delete (directory);
}

static void
test_a_target_that_does_not_register_again_has_left (void)
{
  LimpetDirectory *directory = make_restored_directory ();

  CU_ASSERT_EQUAL (count_targets (directory, 2800), 1);
  put_target (directory, "s1", 9, false); /* late, but the same entry again */
  CU_ASSERT_EQUAL (count_targets (directory, 2800), 2);
  limpet_directory_remove (directory, "s1", 2900);
  put_target (directory, "s1", 9, false); /* an entry from before the removal */
  CU_ASSERT_EQUAL (count_targets (directory, 2900), 1);
  limpet_directory_delete (directory);
}

static void
test_a_target_that_a_copy_lacks_may_be_removed (void)
{
  LimpetDirectory *directory = make_restored_directory ();

  limpet_directory_remove (directory, "s1", 1100);
  CU_ASSERT_EQUAL (count_targets (directory, 1100), 1);
  limpet_directory_delete (directory);
}

/* Returns how long after the store's return at now_ms all routers have the records before
 * end, and adds the reads to *reads. */
static LimpetMs
time_to_catch_up_ms (LimpetMs now_ms, const int64_t *end, uint32_t *reads)
{
  LimpetMs since_ms = now_ms;

  while (count_outdated (*end) > 0 && now_ms - since_ms < 10 * STABLE_WINDOW_MS)
    {
      *reads += run_fleet (now_ms, now_ms + STEP_MS, end, NULL);
      now_ms += STEP_MS;
    }
  return now_ms - since_ms;
}

/* Guards against routers that stay with offsets of before a restoration because others
 * still announce them. */
static void
test_a_fleet_follows_a_restored_store (void)
{
  static const uint32_t counts[] = { 3, 9, 85, LARGEST_FLEET };

  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    for (uint32_t seed = 1; seed <= 5; seed++)
      {
        int64_t end = limpet_log_position (1, OLD_END);
        uint32_t reads = 0;
        LimpetMs late_ms;

        router_count = counts[i];
        start_routers (seed);
        run_fleet (1, 4001, &end, NULL);
        loss_ratio = 0.1;
        disorder_ratio = 0.1;
        routers[1].link_delay_ms
            = 400; /* announces the old end when others know better */
        /* Offsets are given out again: the end seems to be the old one. */
        end = limpet_log_position (2, seed % 2 == 0 ? OLD_END : OLD_END - 20);
        late_ms = time_to_catch_up_ms (4001, &end, &reads);
        CU_ASSERT_TRUE (late_ms < STABLE_WINDOW_MS);
        /* A second restoration follows at once. */
        end = limpet_log_position (3, OLD_END - 5);
        late_ms = time_to_catch_up_ms (4001 + late_ms, &end, &reads);
        CU_ASSERT_TRUE (late_ms < STABLE_WINDOW_MS);
        stop_routers ();
      }
  router_count = ROUTERS;
}

#define MAX_CONNECTIONS 16
/* The size of a record and that of its key stand before the key. */
#define KEY_OFFSET 5

/* A store that keeps the newest value written, or responds 503. */
typedef struct
{
  uv_loop_t loop;
  uv_tcp_t listener;
  uv_timer_t timer;
  uv_tcp_t clients[MAX_CONNECTIONS];
  uint32_t connections;
  char buffer[4096];
  char newest[64];
  bool is_away;
} WrittenStore;

static void
lend_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  WrittenStore *store = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (store->buffer, sizeof store->buffer);
}

static void
on_record (uv_stream_t *client, ssize_t count, const uv_buf_t *buffer)
{
  WrittenStore *store = client->data;
  const char *body = count > 0 ? g_strstr_len (buffer->base, count, "\r\n\r\n") : NULL;
  uv_buf_t response
      = uv_buf_init (store->is_away ? "HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n"
                                    : "HTTP/1.1 200 X\r\nContent-Length: 0\r\n\r\n",
                     37);

  if (body == NULL)
    return;
  if (!store->is_away)
    g_snprintf (store->newest, sizeof store->newest, "%.*s",
                (int)(buffer->base + count - body - 4 - KEY_OFFSET),
                body + 4 + KEY_OFFSET);
  uv_try_write (client, &response, 1);
}

static void
on_writer (uv_stream_t *listener, int status)
{
  WrittenStore *store = listener->data;
  uv_tcp_t *client = &store->clients[store->connections++];

  (void)status;
  g_assert (store->connections <= MAX_CONNECTIONS);
  uv_tcp_init (&store->loop, client);
  client->data = store;
  uv_accept (listener, (uv_stream_t *)client);
  uv_read_start ((uv_stream_t *)client, lend_buffer, on_record);
}

static void
stop_loop (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

static void
run_store (WrittenStore *store, uint64_t time_ms)
{
  uv_timer_start (&store->timer, stop_loop, time_ms, 0);
  uv_run (&store->loop, UV_RUN_DEFAULT);
}

static PlatformRecordWriter *
start_store (WrittenStore *store)
{
  PlatformAddress address = { .address = "127.0.0.1" };
  struct sockaddr_in socket_address;
  int length = sizeof socket_address;

  uv_loop_init (&store->loop);
  uv_tcp_init (&store->loop, &store->listener);
  uv_timer_init (&store->loop, &store->timer);
  store->listener.data = store;
  uv_ip4_addr ("127.0.0.1", 0, &socket_address);
  uv_tcp_bind (&store->listener, (struct sockaddr *)&socket_address, 0);
  uv_listen ((uv_stream_t *)&store->listener, 4, on_writer);
  uv_tcp_getsockname (&store->listener, (struct sockaddr *)&socket_address, &length);
  address.port = ntohs (socket_address.sin_port);
  return platform_record_writer_new (&store->loop, &address, "test");
}

static void
stop_store (WrittenStore *store, PlatformRecordWriter *writer)
{
  platform_record_writer_close (writer);
  uv_close ((uv_handle_t *)&store->listener, NULL);
  uv_close ((uv_handle_t *)&store->timer, NULL);
  for (uint32_t i = 0; i < store->connections; i++)
    uv_close ((uv_handle_t *)&store->clients[i], NULL);
  uv_run (&store->loop, UV_RUN_DEFAULT);
  uv_loop_close (&store->loop);
}

/* Guards against writing a record again that a newer one, whose write the loss
 * interrupted, is to replace. */
static void
test_a_record_written_again_does_not_replace_a_newer_one (void)
{
  static const char *const others[] = { NULL, "other" };

  for (size_t i = 0; i < G_N_ELEMENTS (others); i++)
    {
      WrittenStore store = { .is_away = false };
      PlatformRecordWriter *writer = start_store (&store);

      platform_record_writer_put (writer, g_strdup ("k"), g_strdup ("old"));
      run_store (&store, 100);
      CU_ASSERT_STRING_EQUAL (store.newest, "kold");
      store.is_away = true;
      if (others[i] != NULL) /* it is being written, so that the newer one waits */
        platform_record_writer_put (writer, g_strdup (others[i]), g_strdup ("x"));
      platform_record_writer_put (writer, g_strdup ("k"), g_strdup ("new"));
      run_store (&store, 100);
      platform_record_writer_repeat (writer);
      store.is_away = false;
      run_store (&store, 2000);
      CU_ASSERT_STRING_EQUAL (store.newest, "knew");
      if (strcmp (store.newest, "knew") != 0)
        printf ("last written: %s, behind: %s\n", store.newest,
                others[i] != NULL ? others[i] : "none");
      stop_store (&store, writer);
    }
}

void
add_log_era_tests (void)
{
  CU_pSuite suite = CU_add_suite ("log era", NULL, NULL);

  CU_ADD_TEST (suite, test_positions_of_a_later_era_are_later);
  CU_ADD_TEST (suite, test_a_restoration_is_noticed_once);
  CU_ADD_TEST (suite, test_records_of_a_later_era_replace_those_of_the_one_before);
  CU_ADD_TEST (suite, test_a_target_that_a_copy_lacks_is_kept_until_it_registers_again);
  CU_ADD_TEST (suite, test_a_target_that_does_not_register_again_has_left);
  CU_ADD_TEST (suite, test_a_target_that_a_copy_lacks_may_be_removed);
  CU_ADD_TEST (suite, test_a_fleet_follows_a_restored_store);
}

void
add_record_writer_tests (void)
{
  CU_pSuite suite = CU_add_suite ("record writer", NULL, NULL);

  CU_ADD_TEST (suite, test_a_record_written_again_does_not_replace_a_newer_one);
}
