#include "simulated_fleet.h"
#include "tests.h"

#include "limpetroad/quarantine.h"

#include <glib.h>

/* A prompt: the first part is in all requests of a team, the second one in those of a
 * session. CRASHING is the part that crashes targets. */
#define TEAM 0x11
#define SESSION 0x22
#define CRASHING 0xbad
/* The users allow requests with the part until this time after the fifth crash. */
#define STABLE_WINDOW_MS 3000

static const LimpetQuarantineOps quarantine_ops = { .on_quarantined = NULL };

static bool
is_found (LimpetQuarantine *quarantine, uint64_t part, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = { .parts = { part }, .parts_count = 1 };
  LimpetMs remaining_ms;

  return limpet_quarantine_find (quarantine, &fingerprints, now_ms, &remaining_ms)
         != NULL;
}

static void
tick_until (LimpetQuarantine *quarantine, LimpetMs from_ms, LimpetMs until_ms)
{
  for (LimpetMs now_ms = from_ms; now_ms <= until_ms; now_ms += 100)
    limpet_quarantine_tick (quarantine, now_ms);
}

/* Records that a request with the parts TEAM and part broke at a target. */
static void
crash (LimpetQuarantine *quarantine, uint64_t part, uint32_t target, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = { .parts = { TEAM, part }, .parts_count = 2 };

  limpet_quarantine_record_crash (quarantine, &fingerprints, target, now_ms);
}

static void
succeed (LimpetQuarantine *quarantine, uint64_t part, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = { .parts = { TEAM, part }, .parts_count = 2 };

  limpet_quarantine_record_success (quarantine, &fingerprints, now_ms);
}

static void
test_only_the_part_that_crashes_targets_is_quarantined (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  for (uint32_t i = 0; i < 4; i++)
    {
      LimpetMs now_ms = 20000 + 1000 * i;

      crash (quarantine, CRASHING, i, now_ms);
      crash (quarantine, SESSION + i, i, now_ms); /* bystanders */
      succeed (quarantine, SESSION, now_ms + 100);
      tick_until (quarantine, now_ms, now_ms + 900);
    }
  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, 24000));
  CU_ASSERT_FALSE (is_found (quarantine, TEAM, 24000));
  for (uint32_t i = 0; i < 4; i++)
    CU_ASSERT_FALSE (is_found (quarantine, SESSION + i, 24000));
  limpet_quarantine_delete (quarantine);
}

static void
count_verdict (void *user, const LimpetSuspect *suspect)
{
  (void)suspect;
  (*(uint32_t *)user)++;
}

/* Has the routers tell each other of a suspect, 5 ms later than it is. */
static void
exchange_suspects (LimpetQuarantine *const quarantines[2], LimpetMs now_ms)
{
  for (uint32_t from = 0; from < 2; from++)
    {
      LimpetSuspect records[8];
      uint32_t count = limpet_quarantine_collect_changed (quarantines[from], records, 8);

      for (uint32_t i = 0; i < count; i++)
        {
          for (uint32_t j = 0; j < records[i].crash_count; j++)
            records[i].crashes[j].at_ms += 5;
          limpet_quarantine_receive (quarantines[1 - from], &records[i], now_ms);
        }
    }
}

/* Guards against a fault: each of two routers took the other's crash for the last one,
 * and nobody wrote the quarantine to the store. */
static void
test_a_quarantine_is_written_by_a_router_that_saw_one_of_the_last_crashes (void)
{
  static const LimpetQuarantineOps counting_ops = { .on_quarantined = count_verdict };
  uint32_t verdicts = 0;
  LimpetQuarantine *quarantines[2]
      = { limpet_quarantine_new (&counting_ops, &verdicts, 1),
          limpet_quarantine_new (&counting_ops, &verdicts, 2) };

  crash (quarantines[0], CRASHING, 1, 20000);
  crash (quarantines[0], CRASHING, 2, 20400);
  crash (quarantines[1], CRASHING, 3, 20402);
  exchange_suspects (quarantines, 20410);
  for (uint32_t i = 0; i < 2; i++)
    {
      succeed (quarantines[i], SESSION, 20500); /* clears the part of the team */
      tick_until (quarantines[i], 20500, 23000);
      CU_ASSERT_TRUE (is_found (quarantines[i], CRASHING, 23000));
    }
  CU_ASSERT_TRUE (verdicts >= 1);
  for (uint32_t i = 0; i < 2; i++)
    limpet_quarantine_delete (quarantines[i]);
}

/* Guards against a fault: a router took the crash that it added last for its latest one,
 * and nobody wrote the quarantine to the store. */
static void
test_a_quarantine_is_written_by_a_router_that_saw_earlier_crashes_after_the_last (void)
{
  static const LimpetQuarantineOps counting_ops = { .on_quarantined = count_verdict };
  uint32_t verdicts = 0;
  LimpetQuarantine *quarantine = limpet_quarantine_new (&counting_ops, &verdicts, 1);

  crash (quarantine, CRASHING, 1, 20200);
  crash (quarantine, CRASHING, 2, 20000);
  crash (quarantine, CRASHING, 3, 20000);
  succeed (quarantine, SESSION, 20500); /* clears the part of the team */
  tick_until (quarantine, 20500, 23000);
  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, 23000));
  CU_ASSERT_EQUAL (verdicts, 1);
  limpet_quarantine_delete (quarantine);
}

/* Two targets may crash by chance under a request and its retry. */
static void
test_two_crashes_do_not_quarantine_a_part (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  for (uint32_t i = 0; i < 6; i++)
    crash (quarantine, SESSION, i % 2, 20000 + 100 * i);
  tick_until (quarantine, 20000, 30000);
  CU_ASSERT_FALSE (is_found (quarantine, SESSION, 30000));
  limpet_quarantine_delete (quarantine);
}

static void
test_crashes_of_all_targets_do_not_quarantine_a_popular_part (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  succeed (quarantine, SESSION, 15000);
  for (uint32_t i = 0; i < 8; i++)
    crash (quarantine, SESSION, i, 20000);
  tick_until (quarantine, 20000, 30000);
  CU_ASSERT_FALSE (is_found (quarantine, SESSION, 30000));
  CU_ASSERT_FALSE (is_found (quarantine, TEAM, 30000));
  limpet_quarantine_delete (quarantine);
}

/* Of two parts that only occur together, the one in fewer prompts is quarantined. */
static void
test_equal_evidence_quarantines_the_deeper_part (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  for (uint32_t i = 0; i < 3; i++)
    crash (quarantine, CRASHING, i, 20000 + 300 * i);
  tick_until (quarantine, 20000, 25000);
  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, 25000));
  CU_ASSERT_FALSE (is_found (quarantine, TEAM, 25000));
  for (uint32_t i = 3; i < 6; i++) /* the first part was the cause */
    crash (quarantine, SESSION + i, i, 25000);
  tick_until (quarantine, 25000, 27000);
  CU_ASSERT_TRUE (is_found (quarantine, TEAM, 27000));
  limpet_quarantine_delete (quarantine);
}

static void
test_a_success_lifts_a_quarantine (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  for (uint32_t i = 0; i < 3; i++)
    crash (quarantine, SESSION, i, 20000);
  tick_until (quarantine, 20000, 22000);
  CU_ASSERT_TRUE (is_found (quarantine, SESSION, 22000));
  succeed (quarantine, SESSION, 22500); /* of a request that was sent before */
  CU_ASSERT_FALSE (is_found (quarantine, SESSION, 22500));
  limpet_quarantine_delete (quarantine);
}

static void
test_one_crash_after_a_quarantine_renews_it (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetMs later_ms = 20000 + 11 * 60 * 1000;

  for (uint32_t i = 0; i < 3; i++)
    crash (quarantine, CRASHING, i, 20000);
  tick_until (quarantine, 20000, later_ms);
  CU_ASSERT_FALSE (is_found (quarantine, CRASHING, later_ms));
  crash (quarantine, CRASHING, 9, later_ms);
  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, later_ms));
  tick_until (quarantine, later_ms, later_ms + 61 * 60 * 1000);
  CU_ASSERT_EQUAL (limpet_quarantine_count (quarantine, false), 0);
  limpet_quarantine_delete (quarantine);
}

static void
test_many_suspects_take_bounded_memory (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetSuspect records[1024];

  for (uint64_t part = 1; part <= 5000; part++)
    {
      LimpetFingerprints fingerprints = { .parts = { part }, .parts_count = 1 };

      limpet_quarantine_record_crash (quarantine, &fingerprints, 1,
                                      20000 + (LimpetMs)part);
    }
  CU_ASSERT_TRUE (limpet_quarantine_collect_changed (quarantine, records, 1024) <= 512);
  for (uint32_t i = 0; i < 3; i++)
    crash (quarantine, CRASHING, i, 30000);
  tick_until (quarantine, 30000, 32000);
  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, 32000));
  limpet_quarantine_delete (quarantine);
}

static void
count_quarantined (void *user, const LimpetSuspect *suspect)
{
  (void)suspect;
  (*(uint32_t *)user)++;
}

static void
count_cleared (void *user, const LimpetSuspect *suspect)
{
  (void)suspect;
  (*(uint32_t *)user) += 100;
}

/* Of all routers one has to store a part, and none that only heard of it. */
static void
test_the_observer_of_the_last_crash_is_called_back (void)
{
  static const LimpetQuarantineOps ops
      = { .on_quarantined = count_quarantined, .on_cleared = count_cleared };
  uint32_t calls = 0;
  uint32_t other_calls = 0;
  LimpetQuarantine *quarantine = limpet_quarantine_new (&ops, &calls, 1);
  LimpetQuarantine *other = limpet_quarantine_new (&ops, &other_calls, 2);
  LimpetSuspect record;

  crash (other, CRASHING, 0, 20000);
  for (uint32_t i = 0; i < 3; i++)
    crash (quarantine, CRASHING, i, 20000 + 100 * i);
  tick_until (quarantine, 20000, 22000);
  CU_ASSERT_EQUAL (calls, 1);
  limpet_quarantine_collect_first (quarantine, &record, 1);
  limpet_quarantine_receive (other, &record, 22000);
  CU_ASSERT_TRUE (is_found (other, CRASHING, 22000));
  CU_ASSERT_EQUAL (other_calls, 0);
  succeed (other, CRASHING, 23000);
  CU_ASSERT_EQUAL (other_calls, 100);
  limpet_quarantine_delete (quarantine);
  limpet_quarantine_delete (other);
}

static uint32_t
count_routers_that_quarantine (uint64_t part, LimpetMs now_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < ROUTERS; i++)
    count += is_found (routers[i].quarantine, part, now_ms);
  return count;
}

/* Each crash is seen by another router, and a session by one router. */
static void
test_crashes_seen_by_different_routers_are_put_together (void)
{
  int64_t end = 1;

  start_routers (31);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 0.2;
  for (uint32_t i = 0; i < 3; i++)
    {
      LimpetMs now_ms = 20000 + 500 * i;

      crash (routers[7 * i].quarantine, CRASHING, i, now_ms);
      for (uint32_t j = 0; j < ROUTERS; j += 5)
        succeed (routers[j].quarantine, SESSION, now_ms);
      run_fleet (now_ms, now_ms + 500, &end, NULL);
    }
  run_fleet (21500, 21000 + STABLE_WINDOW_MS, &end, NULL);
  CU_ASSERT_EQUAL (count_routers_that_quarantine (CRASHING, 24000), ROUTERS);
  CU_ASSERT_EQUAL (count_routers_that_quarantine (TEAM, 24000), 0);
  stop_routers ();
}

/* Three routers could not tell anybody of a crash each; no fourth crash is needed. */
static void
test_crashes_seen_during_a_partition_are_exchanged_after_it (void)
{
  int64_t end = 1;

  start_routers (36);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 1;
  crash (routers[3].quarantine, CRASHING, 1, 20000);
  crash (routers[50].quarantine, CRASHING, 2, 20000);
  crash (routers[20].quarantine, CRASHING, 3, 20000);
  run_fleet (20000, 24000, &end, NULL);
  loss_ratio = 0;
  run_fleet (24000, 24000 + STABLE_WINDOW_MS, &end, NULL);
  CU_ASSERT_EQUAL (count_routers_that_quarantine (CRASHING, 27000), ROUTERS);
  stop_routers ();
}

/* A router that serves few requests of a session knows of no success. */
static void
test_a_success_at_another_router_clears_a_part (void)
{
  int64_t end = 1;

  start_routers (32);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 0.2;
  succeed (routers[40].quarantine, SESSION, 20000);
  for (uint32_t i = 0; i < 3; i++)
    crash (routers[1 + i].quarantine, SESSION, i, 20000);
  run_fleet (20000, 26000, &end, NULL);
  CU_ASSERT_EQUAL (count_routers_that_quarantine (SESSION, 26000), 0);
  CU_ASSERT_EQUAL (count_routers_that_quarantine (TEAM, 26000), 0);
  stop_routers ();
}

static void
test_a_router_that_starts_learns_the_quarantined_parts (void)
{
  int64_t end = 1;

  start_routers (33);
  run_fleet (1, 20000, &end, NULL);
  succeed (routers[0].quarantine, SESSION, 20000);
  for (uint64_t part = 0; part < 12; part++)
    for (uint32_t i = 0; i < 3; i++)
      crash (routers[i].quarantine, CRASHING + part, (uint32_t)part * 3 + i, 20000);
  run_fleet (20000, 24000, &end, NULL);
  restart_router (30, 34, 24000);
  run_fleet (24000, 24000 + STABLE_WINDOW_MS, &end, NULL);
  CU_ASSERT_TRUE (is_found (routers[30].quarantine, CRASHING, 27000));
  CU_ASSERT_TRUE (is_found (routers[30].quarantine, CRASHING + 11, 27000));
  stop_routers ();
}

/* The users limit the control traffic of a router to 4 KB/s (letter 1). */
static void
test_quarantined_parts_stay_within_the_traffic_limit (void)
{
  int64_t end = 1;
  uint64_t before;

  start_routers (35);
  run_fleet (1, 20000, &end, NULL);
  succeed (routers[0].quarantine, SESSION, 20000);
  for (uint64_t part = 0; part < 8; part++)
    for (uint32_t i = 0; i < 3; i++)
      crash (routers[i].quarantine, CRASHING + part, (uint32_t)part * 3 + i, 20000);
  run_fleet (20000, 24000, &end, NULL);
  before = sent_bytes;
  for (LimpetMs now_ms = 24000; now_ms < 28000; now_ms += 100)
    {
      report_all_loads (now_ms);
      run_fleet (now_ms, now_ms + 100, &end, NULL);
    }
  printf ("bytes per router and second with quarantined parts=%lu\n",
          (unsigned long)((sent_bytes - before) / 4 / ROUTERS));
  CU_ASSERT_TRUE ((sent_bytes - before) / 4 / ROUTERS < 4096);
  stop_routers ();
}

/* Requests: the one that crashes targets, a second such one, and sound ones. */
#define CRASHING_REQUEST 0xbad1
#define SECOND_CRASHING_REQUEST 0xbad2
#define SOUND_REQUEST 0x900d

static LimpetFingerprints
plain (uint64_t request)
{
  return (LimpetFingerprints){ .request = request };
}

static bool
is_request_found (LimpetQuarantine *quarantine, uint64_t request, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = plain (request);
  LimpetMs remaining_ms;

  return limpet_quarantine_find (quarantine, &fingerprints, now_ms, &remaining_ms)
         != NULL;
}

static bool
is_admitted (LimpetQuarantine *quarantine, uint64_t request, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = plain (request);
  LimpetMs remaining_ms;

  return limpet_quarantine_admit (quarantine, &fingerprints, now_ms, &remaining_ms)
         == NULL;
}

static void
crash_request (LimpetQuarantine *quarantine,
               uint64_t request,
               uint32_t target,
               LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = plain (request);

  limpet_quarantine_record_crash (quarantine, &fingerprints, target, now_ms);
}

static void
complete_request (LimpetQuarantine *quarantine, uint64_t request, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = plain (request);

  limpet_quarantine_record_success (quarantine, &fingerprints, now_ms);
}

/* Four targets crash within half a second. The popular request is in flight at each, and
 * each of the others and its retry at two of them. */
static void
test_requests_beside_the_one_that_crashes_targets_are_served (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);

  complete_request (quarantine, SOUND_REQUEST, 15000);
  for (uint32_t i = 0; i < 4; i++)
    {
      LimpetMs now_ms = 20000 + 100 * i;

      crash_request (quarantine, CRASHING_REQUEST, i, now_ms);
      crash_request (quarantine, SOUND_REQUEST, i, now_ms);
      crash_request (quarantine, SOUND_REQUEST + 1 + i, i, now_ms);
      crash_request (quarantine, SOUND_REQUEST + 1 + i, (i + 1) % 4, now_ms);
    }
  CU_ASSERT_TRUE (is_request_found (quarantine, CRASHING_REQUEST, 20400));
  tick_until (quarantine, 20400, 23000);
  CU_ASSERT_TRUE (is_request_found (quarantine, CRASHING_REQUEST, 23000));
  for (uint32_t i = 0; i < 5; i++)
    CU_ASSERT_FALSE (is_request_found (quarantine, SOUND_REQUEST + i, 23000));
  CU_ASSERT_EQUAL (limpet_quarantine_count (quarantine, true), 1);
  limpet_quarantine_delete (quarantine);
}

/* The first one found accounts for all crashes; the second one needs one more. */
static void
test_a_second_request_that_crashes_targets_is_found_by_its_next_crash (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  bool is_first_found;
  bool is_second_found;

  for (uint32_t i = 0; i < 4; i++)
    {
      crash_request (quarantine, CRASHING_REQUEST, i, 20000 + 100 * i);
      crash_request (quarantine, SECOND_CRASHING_REQUEST, i, 20000 + 100 * i);
    }
  tick_until (quarantine, 20400, 23000);
  is_first_found = is_request_found (quarantine, CRASHING_REQUEST, 23000);
  is_second_found = is_request_found (quarantine, SECOND_CRASHING_REQUEST, 23000);
  CU_ASSERT_TRUE (is_first_found != is_second_found);
  crash_request (quarantine, is_first_found ? SECOND_CRASHING_REQUEST : CRASHING_REQUEST,
                 9, 23100);
  tick_until (quarantine, 23100, 25000);
  CU_ASSERT_TRUE (is_request_found (quarantine, CRASHING_REQUEST, 25000));
  CU_ASSERT_TRUE (is_request_found (quarantine, SECOND_CRASHING_REQUEST, 25000));
  limpet_quarantine_delete (quarantine);
}

/* A service that was away for long has no success that could clear a sound request. */
static void
test_a_request_quarantined_by_mistake_is_served_again (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetMs now_ms = 20000;

  for (uint32_t i = 0; i < 3; i++)
    crash_request (quarantine, SOUND_REQUEST, i, 20000);
  tick_until (quarantine, 20000, 22000);
  CU_ASSERT_FALSE (is_admitted (quarantine, SOUND_REQUEST, 22000));
  for (; now_ms < 200000 && !is_admitted (quarantine, SOUND_REQUEST, now_ms);
       now_ms += 100)
    limpet_quarantine_tick (quarantine, now_ms);
  CU_ASSERT_TRUE (now_ms < 20000 + 151000);
  CU_ASSERT_FALSE (is_admitted (quarantine, SOUND_REQUEST, now_ms + 100));
  CU_ASSERT_FALSE (is_request_found (quarantine, SOUND_REQUEST, now_ms + 100));
  complete_request (quarantine, SOUND_REQUEST, now_ms + 200);
  CU_ASSERT_TRUE (is_admitted (quarantine, SOUND_REQUEST, now_ms + 300));
  CU_ASSERT_EQUAL (limpet_quarantine_count (quarantine, true), 0);
  limpet_quarantine_delete (quarantine);
}

/* Each of three requests with the part crashes as many targets as a quarantine takes.
 * Returns the time after that. */
static LimpetMs
crash_by_retried_requests (LimpetQuarantine *quarantine)
{
  LimpetMs now_ms = 20000;

  for (uint32_t i = 0; i < 3; i++)
    {
      LimpetFingerprints fingerprints
          = { .parts = { TEAM, CRASHING }, .parts_count = 2, .request = 100 + i };

      for (uint32_t j = 0; j < 3; j++)
        limpet_quarantine_record_crash (quarantine, &fingerprints, 3 * i + j, now_ms);
      succeed (quarantine, SESSION, now_ms);
      tick_until (quarantine, now_ms, now_ms + 2000);
      now_ms += 2000;
    }
  return now_ms;
}

static void
test_retried_requests_do_not_hide_the_part_that_crashes_targets (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetMs now_ms = crash_by_retried_requests (quarantine);

  CU_ASSERT_TRUE (is_found (quarantine, CRASHING, now_ms));
  CU_ASSERT_FALSE (is_found (quarantine, TEAM, now_ms));
  limpet_quarantine_delete (quarantine);
}

/* Neither at a router that starts, in whichever order it reads the records. */
static void
test_quarantined_requests_do_not_hide_a_part_from_a_router_that_starts (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetMs now_ms = crash_by_retried_requests (quarantine);
  LimpetSuspect records[4];

  CU_ASSERT_EQUAL_FATAL (limpet_quarantine_collect_first (quarantine, records, 4), 4);
  for (uint32_t first = 0; first < 4; first++)
    for (uint32_t step = 1; step < 4; step += 2) /* upwards and downwards */
      {
        LimpetQuarantine *started = limpet_quarantine_new (&quarantine_ops, NULL, 2);

        for (uint32_t i = 0; i < 4; i++)
          {
            CU_ASSERT_TRUE (records[i].is_quarantined);
            limpet_quarantine_receive (started, &records[(first + step * i) % 4], now_ms);
          }
        CU_ASSERT_TRUE (is_found (started, CRASHING, now_ms));
        CU_ASSERT_FALSE (is_found (started, TEAM, now_ms));
        for (uint32_t i = 0; i < 3; i++)
          CU_ASSERT_TRUE (is_request_found (started, 100 + i, now_ms));
        limpet_quarantine_delete (started);
      }
  limpet_quarantine_delete (quarantine);
}

/* Calls that were sent before their request was quarantined may still crash targets. */
static void
test_late_crashes_of_a_quarantined_request_do_not_quarantine_its_parts (void)
{
  LimpetFingerprints fingerprints
      = { .parts = { TEAM, SESSION }, .parts_count = 2, .request = CRASHING_REQUEST };

  for (LimpetMs interval_ms = 100; interval_ms <= 1500; interval_ms += 1400)
    {
      LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
      LimpetMs now_ms = 22000;

      for (uint32_t i = 0; i < 3; i++)
        limpet_quarantine_record_crash (quarantine, &fingerprints, i, 20000);
      tick_until (quarantine, 20000, 22000);
      for (uint32_t i = 3; i < 9; i++)
        {
          now_ms += interval_ms;
          limpet_quarantine_record_crash (quarantine, &fingerprints, i, now_ms);
        }
      tick_until (quarantine, now_ms, now_ms + 2000);
      CU_ASSERT_TRUE (is_request_found (quarantine, CRASHING_REQUEST, now_ms + 2000));
      CU_ASSERT_FALSE (is_found (quarantine, SESSION, now_ms + 2000));
      CU_ASSERT_FALSE (is_found (quarantine, TEAM, now_ms + 2000));
      limpet_quarantine_delete (quarantine);
    }
}

/* The request comes at all routers in turn, and crashes a target 50 ms after it is sent.
 * Returns the number of times it is sent. */
static uint32_t
offer_crashing_request (LimpetMs from_ms, LimpetMs until_ms)
{
  static uint32_t target;
  int64_t end = 1;
  uint32_t sent = 0;

  for (LimpetMs now_ms = from_ms; now_ms < until_ms; now_ms += 100)
    {
      LimpetQuarantine *quarantine = routers[(now_ms / 100 * 7) % ROUTERS].quarantine;

      run_fleet (now_ms, now_ms + 50, &end, NULL);
      if (is_admitted (quarantine, CRASHING_REQUEST, now_ms))
        {
          sent++;
          crash_request (quarantine, CRASHING_REQUEST, ++target, now_ms + 50);
        }
      run_fleet (now_ms + 50, now_ms + 100, &end, NULL);
    }
  return sent;
}

/* At most three repeats from STABLE_WINDOW_MS after the third crash on, those after the
 * end of the quarantine included. */
static void
test_a_request_is_kept_from_targets_by_all_routers (void)
{
  int64_t end = 1;
  uint32_t sent;

  start_routers (37);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 0.2;
  sent = offer_crashing_request (20000, 20000 + 300 + STABLE_WINDOW_MS);
  CU_ASSERT_TRUE (sent >= 3 && sent <= 12);
  sent = offer_crashing_request (20000 + 300 + STABLE_WINDOW_MS, 20000 + 200000);
  printf ("repeats in 200 s=%u\n", sent);
  CU_ASSERT_TRUE (sent <= 3);
  stop_routers ();
}

/* A router that knows another cause of some of the crashes still follows the verdict. */
static void
test_a_verdict_on_a_request_holds_at_routers_with_another_view (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetQuarantine *other = limpet_quarantine_new (&quarantine_ops, NULL, 2);
  LimpetSuspect record;

  for (uint32_t i = 0; i < 3; i++)
    {
      crash_request (quarantine, SECOND_CRASHING_REQUEST, i, 20000);
      crash_request (other, CRASHING_REQUEST, i, 20000);
    }
  tick_until (quarantine, 20000, 22000);
  tick_until (other, 20000, 22000);
  CU_ASSERT_EQUAL (limpet_quarantine_collect_first (quarantine, &record, 1), 1);
  limpet_quarantine_receive (other, &record, 22000);
  CU_ASSERT_TRUE (is_request_found (other, SECOND_CRASHING_REQUEST, 22000));
  CU_ASSERT_TRUE (is_request_found (other, CRASHING_REQUEST, 22000));
  limpet_quarantine_delete (quarantine);
  limpet_quarantine_delete (other);
}

/* A fifth of 112 engines crash at once, each with five calls in flight. */
static void
test_many_crashes_at_once_are_told_within_the_traffic_limit (void)
{
  int64_t end = 1;
  uint64_t before;

  start_routers (38);
  run_fleet (1, 20000, &end, NULL);
  before = sent_bytes;
  for (uint32_t i = 0; i < 110; i++)
    crash_request (routers[i * 7 % ROUTERS].quarantine, 1000 + i, i / 5, 20000);
  run_fleet (20000, 80000, &end, NULL);
  printf ("bytes per router and second in the minute after 22 crashes=%lu\n",
          (unsigned long)((sent_bytes - before) / 60 / ROUTERS));
  CU_ASSERT_TRUE ((sent_bytes - before) / 60 / ROUTERS < 4096);
  for (uint32_t i = 0; i < ROUTERS; i++)
    CU_ASSERT_EQUAL (limpet_quarantine_count (routers[i].quarantine, true), 0);
  stop_routers ();
}

static bool
is_pending (LimpetQuarantine *quarantine, uint64_t request, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = plain (request);

  return limpet_quarantine_pending_since (quarantine, &fingerprints, now_ms) > 0;
}

static void
record_pending (LimpetQuarantine *quarantine, uint64_t request, LimpetMs now_ms)
{
  static const uint32_t targets[] = { 1, 2, 3 };
  LimpetFingerprints fingerprints = plain (request);

  limpet_quarantine_record_pending (quarantine, &fingerprints, targets, 3, now_ms);
}

static uint32_t
count_routers_that_hold (uint64_t request, LimpetMs now_ms)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < ROUTERS; i++)
    count += is_pending (routers[i].quarantine, request, now_ms);
  return count;
}

/* One router saw eight such requests, as if its links were cut, and stops saying so 5 s
 * later. */
static void
test_a_request_that_may_crash_targets_is_held_by_all_routers_while_it_is_unknown (void)
{
  int64_t end = 1;
  uint64_t before;

  start_routers (40);
  run_fleet (1, 20000, &end, NULL);
  loss_ratio = 0.2;
  before = sent_bytes;
  for (LimpetMs now_ms = 20000; now_ms < 25000; now_ms += 100)
    {
      for (uint64_t request = 0; request < 8; request++)
        record_pending (routers[5].quarantine, CRASHING_REQUEST + request, now_ms);
      report_all_loads (now_ms);
      run_fleet (now_ms, now_ms + 100, &end, NULL);
      if (now_ms >= 21000)
        CU_ASSERT_EQUAL (count_routers_that_hold (CRASHING_REQUEST, now_ms + 100),
                         ROUTERS);
    }
  printf ("bytes per router and second with pending requests=%lu\n",
          (unsigned long)((sent_bytes - before) / 5 / ROUTERS));
  CU_ASSERT_TRUE ((sent_bytes - before) / 5 / ROUTERS < 4096);
  for (uint64_t request = 3; request < 8; request++)
    CU_ASSERT_EQUAL (count_routers_that_hold (CRASHING_REQUEST + request, 25000), 0);
  run_fleet (25000, 26000, &end, NULL);
  CU_ASSERT_EQUAL (count_routers_that_hold (CRASHING_REQUEST, 26000), 0);
  CU_ASSERT_EQUAL (limpet_quarantine_count (routers[5].quarantine, true), 0);
  stop_routers ();
}

/* The links of the router that says so are cut. */
static void
test_a_request_completed_lately_is_not_held (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetQuarantine *other = limpet_quarantine_new (&quarantine_ops, NULL, 2);
  LimpetFingerprints fingerprints = plain (SOUND_REQUEST);
  LimpetSuspect record;

  limpet_quarantine_record_success (other, &fingerprints, 15000);
  record_pending (quarantine, SOUND_REQUEST, 20000);
  CU_ASSERT_TRUE (is_pending (quarantine, SOUND_REQUEST, 20000));
  CU_ASSERT_EQUAL (limpet_quarantine_collect_changed (quarantine, &record, 1), 1);
  limpet_quarantine_receive (other, &record, 20100);
  CU_ASSERT_FALSE (is_pending (other, SOUND_REQUEST, 20100));
  limpet_quarantine_record_success (quarantine, &fingerprints, 20200);
  CU_ASSERT_FALSE (is_pending (quarantine, SOUND_REQUEST, 20200));
  record_pending (quarantine, SOUND_REQUEST, 20300);
  CU_ASSERT_FALSE (is_pending (quarantine, SOUND_REQUEST, 20300));
  limpet_quarantine_delete (quarantine);
  limpet_quarantine_delete (other);
}

/* A response between the crashes made two of them count at once. */
static void
test_known_and_pending_crashes_of_a_request_are_added_up (void)
{
  static const uint32_t targets[] = { 2, 3, 4 };
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetFingerprints fingerprints = plain (CRASHING_REQUEST);

  limpet_quarantine_record_crash (quarantine, &fingerprints, 1, 20000);
  limpet_quarantine_record_crash (quarantine, &fingerprints, 2, 20000);
  limpet_quarantine_record_pending (quarantine, &fingerprints, targets, 1, 20100);
  CU_ASSERT_FALSE (is_pending (quarantine, CRASHING_REQUEST, 20100));
  limpet_quarantine_record_pending (quarantine, &fingerprints, targets, 2, 20200);
  CU_ASSERT_TRUE (is_pending (quarantine, CRASHING_REQUEST, 20200));
  limpet_quarantine_delete (quarantine);
}

/* Guards against a fault: a response of a new target ended the hold of a request that
 * crashed the new targets, too. */
static void
test_a_crash_after_a_request_became_pending_is_told_from_earlier_ones (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetFingerprints fingerprints = plain (CRASHING_REQUEST);

  CU_ASSERT_FALSE (limpet_quarantine_has_crash_since (quarantine, &fingerprints, 20000));
  limpet_quarantine_record_crash (quarantine, &fingerprints, 1, 19900);
  record_pending (quarantine, CRASHING_REQUEST, 20000);
  CU_ASSERT_FALSE (limpet_quarantine_has_crash_since (quarantine, &fingerprints, 20000));
  limpet_quarantine_record_crash (quarantine, &fingerprints, 4, 20500);
  CU_ASSERT_TRUE (limpet_quarantine_has_crash_since (quarantine, &fingerprints, 20000));
  limpet_quarantine_record_success (quarantine, &fingerprints, 20600);
  CU_ASSERT_FALSE (limpet_quarantine_has_crash_since (quarantine, &fingerprints, 20000));
  limpet_quarantine_delete (quarantine);
}

/* Guards against a fault: each request that broke at one target became a suspect, and
 * displaced those that are known to have crashed targets. */
static void
test_requests_that_broke_at_one_target_do_not_displace_suspects (void)
{
  static const uint32_t targets[] = { 9 };
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetFingerprints crashing = plain (CRASHING_REQUEST);

  limpet_quarantine_record_crash (quarantine, &crashing, 1, 20000);
  limpet_quarantine_record_crash (quarantine, &crashing, 2, 20000);
  for (uint64_t i = 1; i <= 1000; i++)
    {
      LimpetFingerprints broken = plain (CRASHING_REQUEST + i);

      limpet_quarantine_record_pending (quarantine, &broken, targets, 1, 20100);
    }
  limpet_quarantine_record_crash (quarantine, &crashing, 3, 20200);
  tick_until (quarantine, 20200, 22000);
  CU_ASSERT_EQUAL (limpet_quarantine_count (quarantine, true), 1);
  limpet_quarantine_delete (quarantine);
}

/* Guards against a record of another router, with no fingerprint, that holds all calls
 * without one. */
static void
test_a_call_without_a_fingerprint_is_not_held (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetSuspect record = { .depth = LIMPET_QUARANTINE_REQUEST_DEPTH,
                           .is_pending = true,
                           .pending_ms = 20000 };

  limpet_quarantine_receive (quarantine, &record, 20000);
  CU_ASSERT_FALSE (is_pending (quarantine, 0, 20000));
  limpet_quarantine_delete (quarantine);
}

/* Guards against records of another router that displace suspects with known crashes. */
static void
test_records_of_pending_requests_do_not_displace_suspects (void)
{
  LimpetQuarantine *quarantine = limpet_quarantine_new (&quarantine_ops, NULL, 1);
  LimpetFingerprints crashing = plain (CRASHING_REQUEST);

  limpet_quarantine_record_crash (quarantine, &crashing, 1, 20000);
  limpet_quarantine_record_crash (quarantine, &crashing, 2, 20000);
  for (uint64_t i = 1; i <= 1000; i++)
    {
      LimpetSuspect record = { .id = CRASHING_REQUEST + i,
                               .depth = LIMPET_QUARANTINE_REQUEST_DEPTH,
                               .is_pending = true,
                               .pending_ms = 20100 };

      limpet_quarantine_receive (quarantine, &record, 20100);
      record_pending (quarantine, CRASHING_REQUEST + 2000 + i, 20100);
    }
  limpet_quarantine_record_crash (quarantine, &crashing, 3, 20200);
  tick_until (quarantine, 20200, 22000);
  CU_ASSERT_EQUAL (limpet_quarantine_count (quarantine, true), 1);
  limpet_quarantine_delete (quarantine);
}

void
add_quarantine_tests (void)
{
  CU_pSuite suite = CU_add_suite ("quarantine", NULL, NULL);

  CU_ADD_TEST (suite, test_only_the_part_that_crashes_targets_is_quarantined);
  CU_ADD_TEST (suite, test_two_crashes_do_not_quarantine_a_part);
  CU_ADD_TEST (suite, test_crashes_of_all_targets_do_not_quarantine_a_popular_part);
  CU_ADD_TEST (suite, test_equal_evidence_quarantines_the_deeper_part);
  CU_ADD_TEST (suite, test_a_success_lifts_a_quarantine);
  CU_ADD_TEST (suite, test_one_crash_after_a_quarantine_renews_it);
  CU_ADD_TEST (suite, test_many_suspects_take_bounded_memory);
  CU_ADD_TEST (suite, test_the_observer_of_the_last_crash_is_called_back);
  CU_ADD_TEST (suite, test_crashes_seen_by_different_routers_are_put_together);
  CU_ADD_TEST (suite, test_crashes_seen_during_a_partition_are_exchanged_after_it);
  CU_ADD_TEST (suite, test_a_success_at_another_router_clears_a_part);
  CU_ADD_TEST (suite, test_a_router_that_starts_learns_the_quarantined_parts);
  CU_ADD_TEST (suite, test_quarantined_parts_stay_within_the_traffic_limit);
  CU_ADD_TEST (suite, test_requests_beside_the_one_that_crashes_targets_are_served);
  CU_ADD_TEST (suite,
               test_a_second_request_that_crashes_targets_is_found_by_its_next_crash);
  CU_ADD_TEST (suite, test_a_request_quarantined_by_mistake_is_served_again);
  CU_ADD_TEST (suite, test_retried_requests_do_not_hide_the_part_that_crashes_targets);
  CU_ADD_TEST (suite,
               test_quarantined_requests_do_not_hide_a_part_from_a_router_that_starts);
  CU_ADD_TEST (suite,
               test_late_crashes_of_a_quarantined_request_do_not_quarantine_its_parts);
  CU_ADD_TEST (suite, test_a_request_is_kept_from_targets_by_all_routers);
  CU_ADD_TEST (suite, test_a_verdict_on_a_request_holds_at_routers_with_another_view);
  CU_ADD_TEST (suite,
               test_a_quarantine_is_written_by_a_router_that_saw_one_of_the_last_crashes);
  CU_ADD_TEST (
      suite,
      test_a_quarantine_is_written_by_a_router_that_saw_earlier_crashes_after_the_last);
  CU_ADD_TEST (suite, test_many_crashes_at_once_are_told_within_the_traffic_limit);
  CU_ADD_TEST (
      suite,
      test_a_request_that_may_crash_targets_is_held_by_all_routers_while_it_is_unknown);
  CU_ADD_TEST (suite, test_a_request_completed_lately_is_not_held);
  CU_ADD_TEST (suite, test_known_and_pending_crashes_of_a_request_are_added_up);
  CU_ADD_TEST (suite,
               test_a_crash_after_a_request_became_pending_is_told_from_earlier_ones);
  CU_ADD_TEST (suite, test_requests_that_broke_at_one_target_do_not_displace_suspects);
  CU_ADD_TEST (suite, test_a_call_without_a_fingerprint_is_not_held);
  CU_ADD_TEST (suite, test_records_of_pending_requests_do_not_displace_suspects);
}
