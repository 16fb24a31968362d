#include "simulated_fleet.h"
#include "tests.h"

#include "limpetroad/software_mix.h"

#include <glib.h>
#include <string.h>

#define OLD_VERSION 11
#define NEW_VERSION 12
/* Requests per second of a router at the size of the users' first letter. */
#define STREAMS_PER_S 29

static LimpetStreamOrigin
origin_of (uint64_t id)
{
  return (LimpetStreamOrigin){ .id = id,
                               .software_hash = id % 2 == 0 ? OLD_VERSION : NEW_VERSION };
}

static void
begin_stream (uint32_t router, uint64_t id, bool is_shared, LimpetMs now_ms)
{
  LimpetStreamOrigin origin = origin_of (id);

  limpet_stream_origins_add_own (routers[router].origins, &origin, is_shared, now_ms);
}

/* Returns how many of the streams with the ids from first on the router can resume, after
 * it has asked the others twice. */
static uint32_t
count_resumable (uint32_t router, uint64_t first, uint32_t count, LimpetMs now_ms)
{
  uint64_t *ids = g_new (uint64_t, count);
  uint32_t found = 0;
  int64_t end = 1;

  for (uint32_t i = 0; i < count; i++)
    ids[i] = first + i;
  for (uint32_t i = 0; i < 2; i++)
    {
      limpet_gossip_query_streams (routers[router].gossip, ids, count);
      run_fleet (now_ms + 50 * i, now_ms + 50 * (i + 1), &end, NULL);
    }
  for (uint32_t i = 0; i < count; i++)
    found += limpet_stream_origins_find (routers[router].origins, ids[i])
             == origin_of (ids[i]).software_hash;
  g_free (ids);
  return found;
}

/* A third of the routers restarts, and others have to resume their streams. */
static void
test_origins_of_streams_outlive_their_routers (void)
{
  int64_t end = 1;
  uint32_t found;

  start_routers (41);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 0.05;
  for (uint64_t i = 0; i < 300; i++)
    begin_stream (i % (ROUTERS / 3), 1000 + i, true, 20000);
  run_fleet (20000, 20500, &end, NULL);
  for (uint32_t i = 0; i < ROUTERS / 3; i++)
    restart_router (i, 42, 20500);
  run_fleet (20500, 21000, &end, NULL);
  found = count_resumable (ROUTERS - 1, 1000, 300, 21000);
  printf ("streams of restarted routers that can go on=%u of 300\n", found);
  CU_ASSERT_TRUE (found >= 270);
  stop_routers ();
}

/* Streams that began before the second version served are in no digest. */
static void
test_a_router_answers_for_its_own_streams (void)
{
  int64_t end = 1;

  start_routers (43);
  run_fleet (1, 20000, &end, NULL);
  begin_stream (3, 1000, false, 20000);
  run_fleet (20000, 21000, &end, NULL);
  CU_ASSERT_EQUAL (limpet_stream_origins_count (routers[50].origins), 0);
  CU_ASSERT_EQUAL (count_resumable (50, 1000, 1, 21000), 1);
  limpet_stream_origins_share (routers[3].origins);
  run_fleet (21100, 22000, &end, NULL);
  restart_router (3, 44, 22000);
  run_fleet (22000, 22500, &end, NULL);
  CU_ASSERT_EQUAL (count_resumable (60, 1000, 1, 22500), 1);
  CU_ASSERT_EQUAL (count_resumable (60, 2000, 1, 23000), 0);
  stop_routers ();
}

/* The users limit the control traffic of a router to 4 KB/s (letter 1). */
static void
test_origins_stay_within_the_traffic_limit (void)
{
  int64_t end = 1;
  uint64_t before;
  uint64_t id = 1000;
  uint64_t bytes;

  start_routers (45);
  run_fleet (1, 20000, &end, NULL);
  before = sent_bytes;
  for (LimpetMs now_ms = 20000; now_ms < 24000; now_ms += 100)
    {
      report_all_loads (now_ms);
      for (uint32_t i = 0; i < ROUTERS; i++)
        for (uint32_t j = 0; j < STREAMS_PER_S / 10 + (now_ms % 1000 != 0); j++)
          begin_stream (i, id++, true, now_ms);
      run_fleet (now_ms, now_ms + 100, &end, NULL);
    }
  bytes = (sent_bytes - before) / 4 / ROUTERS;
  printf ("bytes per router and second with origins of streams=%lu\n",
          (unsigned long)bytes);
  CU_ASSERT_TRUE (bytes < 4096);
  stop_routers ();
}

static void
test_origins_take_bounded_memory (void)
{
  LimpetStreamOrigins *origins = limpet_stream_origins_new ();

  for (uint64_t id = 1; id <= 50000; id++)
    {
      LimpetStreamOrigin origin = origin_of (id);

      limpet_stream_origins_receive (origins, &origin, 20000);
    }
  CU_ASSERT_EQUAL (limpet_stream_origins_count (origins), 32768);
  CU_ASSERT_EQUAL (limpet_stream_origins_find (origins, 50000), OLD_VERSION);
  limpet_stream_origins_expire (origins, 20001 + LIMPET_STREAM_VALIDITY_MS);
  CU_ASSERT_EQUAL (limpet_stream_origins_count (origins), 0);
  limpet_stream_origins_delete (origins);
}

static void
count_call (void *user, const char *service)
{
  (*(uint32_t *)user) += strcmp (service, "model") == 0;
}

/* Shows the mix targets of the service "model" with these versions. */
static void
show_versions (LimpetSoftwareMix *mix, const char *const *versions, LimpetMs now_ms)
{
  LimpetTargets *targets = limpet_targets_new ();
  LimpetVm vms[4] = { 0 };
  LimpetVmList list = { .vms = vms };
  LimpetTargetView *view;

  for (; versions[list.count] != NULL; list.count++)
    {
      LimpetVm *vm = &vms[list.count];

      *vm = (LimpetVm){ .kind = LIMPET_VM_ENGINE, .group = "model", .slots = 1 };
      g_snprintf (vm->id, sizeof vm->id, "e%u", list.count);
      g_strlcpy (vm->software_version, versions[list.count], sizeof vm->software_version);
    }
  limpet_targets_update (targets, &list);
  view = limpet_targets_snapshot (targets);
  limpet_software_mix_update (mix, view, 1, now_ms);
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

static void
test_a_service_is_mixed_while_streams_of_two_versions_may_run (void)
{
  static const char *const old[] = { "v1", "v1", NULL };
  static const char *const both[] = { "v1", "v2", NULL };
  static const char *const new[] = { "v2", NULL };
  uint32_t marks = 0;
  LimpetSoftwareMixOps ops = { .on_mark = count_call };
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, &marks, 1);

  CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 1000));
  limpet_software_mix_set_marks_known (mix, 3, 1000);
  show_versions (mix, old, 1000);
  CU_ASSERT_FALSE (limpet_software_mix_is_mixed (mix, "model", 1000));
  CU_ASSERT_EQUAL (marks, 0);
  show_versions (mix, both, 2000);
  CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 2000));
  CU_ASSERT_FALSE (limpet_software_mix_is_mixed (mix, "other", 2000));
  CU_ASSERT_EQUAL (marks, 1);
  for (LimpetMs now_ms = 3000; now_ms <= 62000; now_ms += 1000)
    show_versions (mix, both, now_ms);
  CU_ASSERT_EQUAL (marks, 5);
  show_versions (mix, new, 63000);
  CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 63000));
  CU_ASSERT_FALSE (
      limpet_software_mix_is_mixed (mix, "model", 63001 + LIMPET_STREAM_VALIDITY_MS));
  limpet_software_mix_delete (mix);
}

/* Between two views all servers of a version were replaced. */
static void
test_a_service_is_mixed_after_a_change_of_its_only_version (void)
{
  static const char *const old[] = { "v1", NULL };
  static const char *const new[] = { "v2", NULL };
  LimpetSoftwareMixOps ops = { .on_mark = NULL };
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, NULL, 1);

  limpet_software_mix_set_marks_known (mix, 3, 1000);
  show_versions (mix, old, 1000);
  show_versions (mix, new, 2000);
  CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 2000));
  limpet_software_mix_delete (mix);
}

/* A router that starts knows a mix from the marks of others. */
static void
test_marks_outlast_a_restart (void)
{
  LimpetSoftwareMixOps ops = { .on_mark = NULL };
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, NULL, 1);

  limpet_software_mix_receive (mix, "model", 100000);
  limpet_software_mix_receive (mix, "old", 20000);
  limpet_software_mix_set_marks_known (mix, 3, 1000);
  CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 110000));
  CU_ASSERT_FALSE (limpet_software_mix_is_mixed (mix, "old", 110000));
  limpet_software_mix_delete (mix);
}

static void
count_version (void *user, const char *service, uint32_t software_hash)
{
  (void)service;
  (void)software_hash;
  ++*(uint32_t *)user;
}

static void
test_a_version_is_stored_at_changes_only (void)
{
  static const char *const old[] = { "v1", NULL };
  static const char *const new[] = { "v2", NULL };
  LimpetSoftwareMixOps ops = { .on_version = count_version };
  uint32_t stored = 0;
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, &stored, 1);

  limpet_software_mix_set_marks_known (mix, 1, 1000);
  for (LimpetMs now_ms = 1000; now_ms < 100000; now_ms += 1000)
    show_versions (mix, old, now_ms);
  CU_ASSERT_EQUAL (stored, 1);
  for (LimpetMs now_ms = 100000; now_ms <= 100000 + LIMPET_STREAM_VALIDITY_MS;
       now_ms += 1000)
    show_versions (mix, new, now_ms);
  CU_ASSERT_EQUAL (stored, 1);
  for (LimpetMs now_ms = 170000; now_ms < 300000; now_ms += 1000)
    show_versions (mix, new, now_ms);
  CU_ASSERT_EQUAL (stored, 2);
  limpet_software_mix_delete (mix);
}

/* The order in which a router that starts learns of the servers and of the records. */
static void
test_a_stored_version_that_no_longer_serves_means_mixed (void)
{
  static const char *const new[] = { "v2", NULL };
  LimpetSoftwareMixOps ops = { .on_mark = NULL };

  for (int servers_first = 0; servers_first < 2; servers_first++)
    {
      LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, NULL, 1);

      if (servers_first)
        show_versions (mix, new, 1000);
      limpet_software_mix_receive_version (mix, "model", 12345, 0);
      limpet_software_mix_set_marks_known (mix, 3, 1000);
      if (!servers_first)
        show_versions (mix, new, 1000);
      CU_ASSERT_TRUE (limpet_software_mix_is_mixed (mix, "model", 1000));
      CU_ASSERT_FALSE (
          limpet_software_mix_is_mixed (mix, "model", 1001 + LIMPET_STREAM_VALIDITY_MS));
      limpet_software_mix_delete (mix);
    }
}

static void
keep_version (void *user, const char *service, uint32_t software_hash)
{
  (void)service;
  *(uint32_t *)user = software_hash;
}

static uint32_t
hash_of (const char *const *versions)
{
  LimpetSoftwareMixOps ops = { .on_version = keep_version };
  uint32_t hash = 0;
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, &hash, 1);

  limpet_software_mix_set_marks_known (mix, 1, 1000);
  show_versions (mix, versions, 1000);
  limpet_software_mix_delete (mix);
  return hash;
}

/* Guards against a list, read late, which hides a version that other streams may have. */
static void
test_an_older_list_does_not_replace_a_newer_version (void)
{
  static const char *const old[] = { "v1", NULL };
  static const char *const new[] = { "v2", NULL };
  static const struct
  {
    int64_t position; /* of the record of the old version, the other one's being 9 */
    bool is_mixed;
  } cases[] = { { 5, true }, { 10, false }, { 5 + (INT64_C (1) << 40), false } };
  LimpetSoftwareMixOps ops = { .on_mark = NULL };

  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, NULL, 1);

      limpet_software_mix_receive_version (mix, "model", hash_of (new), 9);
      limpet_software_mix_receive_version (mix, "model", hash_of (old),
                                           cases[i].position);
      limpet_software_mix_set_marks_known (mix, 3, 1000);
      show_versions (mix, old, 1000);
      CU_ASSERT_EQUAL (limpet_software_mix_is_mixed (mix, "model", 1000),
                       cases[i].is_mixed);
      limpet_software_mix_delete (mix);
    }
}

/* Guards against a version that a router does not store again, since a list from before
 * its own record names it. */
static void
test_an_older_list_does_not_replace_the_version_a_router_has_stored (void)
{
  static const char *const old[] = { "v1", NULL };
  static const char *const new[] = { "v2", NULL };
  LimpetSoftwareMixOps ops = { .on_version = count_version };
  uint32_t stored = 0;
  LimpetSoftwareMix *mix = limpet_software_mix_new (&ops, &stored, 1);

  limpet_software_mix_receive_version (mix, "model", hash_of (old), 5);
  limpet_software_mix_set_marks_known (mix, 1, 1000);
  show_versions (mix, old, 1000);
  for (LimpetMs now_ms = 2000; now_ms < 100000; now_ms += 1000)
    show_versions (mix, new, now_ms);
  CU_ASSERT_EQUAL (stored, 1);
  limpet_software_mix_receive_version (mix, "model", hash_of (old), 5);
  for (LimpetMs now_ms = 100000; now_ms < 200000; now_ms += 1000)
    show_versions (mix, old, now_ms);
  CU_ASSERT_EQUAL (stored, 2);
  limpet_software_mix_delete (mix);
}

/* Streams must not be resumed by what was known before. */
static void
test_a_router_that_stood_still_or_hears_nothing_is_not_current (void)
{
  int64_t end = 5;

  start_routers (45);
  run_fleet (1, 8000, &end, NULL);
  for (uint32_t i = 0; i < ROUTERS; i++)
    CU_ASSERT_TRUE (limpet_gossip_is_current (routers[i].gossip, STORE_TOPIC, 8000));
  CU_ASSERT_FALSE (limpet_gossip_is_current (routers[0].gossip, STORE_TOPIC, 8700));
  limpet_gossip_tick (routers[0].gossip, 8700);
  CU_ASSERT_FALSE (limpet_gossip_is_current (routers[0].gossip, STORE_TOPIC, 8710));
  loss_ratio = 1;
  for (LimpetMs now_ms = 8000; now_ms <= 8700; now_ms += 100)
    limpet_gossip_tick (routers[1].gossip, now_ms);
  CU_ASSERT_FALSE (limpet_gossip_is_current (routers[1].gossip, STORE_TOPIC, 8700));
  stop_routers ();
}

void
add_software_version_tests (void)
{
  CU_pSuite suite = CU_add_suite ("software versions", NULL, NULL);

  CU_ADD_TEST (suite, test_origins_of_streams_outlive_their_routers);
  CU_ADD_TEST (suite, test_a_router_answers_for_its_own_streams);
  CU_ADD_TEST (suite, test_origins_stay_within_the_traffic_limit);
  CU_ADD_TEST (suite, test_origins_take_bounded_memory);
  CU_ADD_TEST (suite, test_a_service_is_mixed_while_streams_of_two_versions_may_run);
  CU_ADD_TEST (suite, test_a_service_is_mixed_after_a_change_of_its_only_version);
  CU_ADD_TEST (suite, test_marks_outlast_a_restart);
  CU_ADD_TEST (suite, test_a_version_is_stored_at_changes_only);
  CU_ADD_TEST (suite, test_a_stored_version_that_no_longer_serves_means_mixed);
  CU_ADD_TEST (suite, test_an_older_list_does_not_replace_a_newer_version);
  CU_ADD_TEST (suite,
               test_an_older_list_does_not_replace_the_version_a_router_has_stored);
  CU_ADD_TEST (suite, test_a_router_that_stood_still_or_hears_nothing_is_not_current);
}
