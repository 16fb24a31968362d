#include "simulated_fleet.h"
#include "tests.h"

#include "limpetroad/limits.h"
#include "private/brittle_targets.h"

#include <stdio.h>
#include <string.h>

#define TARGETS 6
#define MAX_ROUTERS 80
#define START_MS 100000
/* After this time no assumed router counts any more. */
#define SETTLED_MS (START_MS + 6000)

/* What one router believes of the targets of one service. */
typedef struct
{
  LimpetBrittleTargets *brittle;
  LimpetTarget targets[TARGETS];
  LimpetTarget *pointers[TARGETS];
  LimpetTargetView view;
} Believer;

static uint32_t addresses[MAX_ROUTERS];

static void
init_believer (Believer *believer, int64_t slots)
{
  memset (believer, 0, sizeof *believer);
  believer->brittle = limpet_brittle_targets_new (START_MS);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      believer->targets[i].vm.slots = slots;
      believer->targets[i].id_hash = 1000 + 7 * i;
      believer->targets[i].group_hash = 5;
      believer->pointers[i] = &believer->targets[i];
    }
  believer->view = (LimpetTargetView){ .targets = believer->pointers, .count = TARGETS };
}

/* Lets the router at index know all of count routers. */
static void
set_routers (Believer *believer, uint32_t index, uint32_t count, LimpetMs now_ms)
{
  uint32_t known[MAX_ROUTERS];

  for (uint32_t i = 0; i < count; i++)
    known[i] = addresses[(index + i) % count];
  limpet_brittle_targets_set_routers (believer->brittle, known, count, now_ms);
}

static void
update (Believer *believer, LimpetMs now_ms, LimpetMs wall_ms)
{
  limpet_brittle_targets_update (believer->brittle, &believer->view, now_ms, wall_ms);
}

/* Makes routers that all know that the service is brittle. */
static void
init_fleet (Believer *fleet, uint32_t count, int64_t slots, double max_refusals_per_s)
{
  for (uint32_t i = 0; i < MAX_ROUTERS; i++)
    addresses[i] = 0x0100007f + (i << 16);
  for (uint32_t i = 0; i < count; i++)
    {
      init_believer (&fleet[i], slots);
      set_routers (&fleet[i], i, count, SETTLED_MS);
      limpet_brittle_targets_record_peer (fleet[i].brittle, 5, max_refusals_per_s,
                                          SETTLED_MS);
    }
}

static void
clear_fleet (Believer *fleet, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    limpet_brittle_targets_delete (fleet[i].brittle);
}

/* Returns the sum of the routers' parts of a target. */
static int32_t
sum_shares (const Believer *fleet, uint32_t count, uint32_t target)
{
  int32_t sum = 0;

  for (uint32_t i = 0; i < count; i++)
    sum += fleet[i].targets[target].slot_share;
  return sum;
}

static void
test_routers_share_out_all_slots_of_a_brittle_target (void)
{
  static const int64_t slots[] = { 1, 6, 12, 32, 128 };
  static const uint32_t counts[] = { 1, 2, 3, 6, 9, 24, 73 };
  static Believer fleet[MAX_ROUTERS];

  for (size_t s = 0; s < G_N_ELEMENTS (slots); s++)
    for (size_t c = 0; c < G_N_ELEMENTS (counts); c++)
      {
        int32_t allowed = (int32_t)slots[s];

        /* One call more than slots is risked where routers take turns. */
        if (slots[s] < counts[c])
          allowed = MIN (allowed + 1, (int32_t)counts[c]);
        if (TARGETS * allowed < 0.6 * counts[c])
          continue; /* the slots are not divided, see below */
        init_fleet (fleet, counts[c], slots[s], 5);
        for (uint32_t i = 0; i < counts[c]; i++)
          update (&fleet[i], SETTLED_MS, 1234567);
        for (uint32_t t = 0; t < TARGETS; t++)
          CU_ASSERT_EQUAL (sum_shares (fleet, counts[c], t), allowed);
        clear_fleet (fleet, counts[c]);
      }
}

/* Servers may name any number; it comes from the wire. */
static void
test_extreme_numbers_of_refusals_give_parts_within_bounds (void)
{
  static const double numbers[] = { 0, 1e-300, 1e-9, 1e9, 1e38, 1e300 };
  static Believer fleet[MAX_ROUTERS];

  for (size_t n = 0; n < G_N_ELEMENTS (numbers); n++)
    {
      init_fleet (fleet, 24, 12, numbers[n]);
      for (uint32_t i = 0; i < 24; i++)
        update (&fleet[i], SETTLED_MS, 1234567890123);
      for (uint32_t t = 0; t < TARGETS; t++)
        CU_ASSERT_EQUAL (sum_shares (fleet, 24, t), numbers[n] < 1 ? 12 : 24);
      CU_ASSERT_TRUE (
          limpet_brittle_targets_rest_ms (fleet[0].brittle, &fleet[0].targets[0]) >= 100
          && limpet_brittle_targets_rest_ms (fleet[0].brittle, &fleet[0].targets[0])
                 <= 10000);
      clear_fleet (fleet, 24);
    }
}

/* As 73 routers before three servers of 6 slots: with parts of the slots, nearly all
 * would refuse their callers even if the servers were idle. */
static void
test_routers_that_far_outnumber_the_slots_may_each_send_one_call (void)
{
  static Believer fleet[MAX_ROUTERS];

  init_fleet (fleet, 73, 3, 5);
  update (&fleet[0], SETTLED_MS, 0);
  for (uint32_t t = 0; t < TARGETS; t++)
    CU_ASSERT_EQUAL (fleet[0].targets[t].slot_share, 1);
  clear_fleet (fleet, 73);
}

/* Also the most turns that begin in a second, since the call of an earlier turn may still
 * hold the slot. */
static void
test_routers_take_turns_where_they_outnumber_the_slots (void)
{
  static Believer fleet[MAX_ROUTERS];
  uint32_t turns[24] = { 0 };
  uint32_t begun = 0;
  bool had_turn[24] = { false };

  init_fleet (fleet, 24, 6, 10);
  for (LimpetMs wall_ms = 0; wall_ms < 64000; wall_ms += 100)
    for (uint32_t i = 0; i < 24; i++)
      {
        bool has_turn;

        limpet_brittle_targets_record_peer (fleet[i].brittle, 5, 10,
                                            SETTLED_MS + wall_ms);
        update (&fleet[i], SETTLED_MS + wall_ms, wall_ms);
        has_turn = fleet[i].targets[0].slot_share > 0;
        turns[i] += has_turn;
        begun += has_turn && !had_turn[i] && wall_ms > 0;
        had_turn[i] = has_turn;
      }
  for (uint32_t i = 0; i < 24; i++)
    CU_ASSERT_TRUE (turns[i] > 0);
  CU_ASSERT_TRUE (begun <= 64 * 10 / 4);
  clear_fleet (fleet, 24);
}

static void
test_a_target_that_has_just_started_counts_as_brittle (void)
{
  Believer router;
  const double max_refusals_per_s = 5;

  init_fleet (&router, 1, 6, 5);
  limpet_brittle_targets_delete (router.brittle);
  init_believer (&router, 6);
  CU_ASSERT_TRUE (limpet_brittle_targets_record_response (
      router.brittle, &router.targets[0], &max_refusals_per_s, SETTLED_MS));
  update (&router, SETTLED_MS, 0);
  for (uint32_t i = 0; i < TARGETS; i++)
    CU_ASSERT_TRUE (router.targets[i].is_brittle);
  clear_fleet (&router, 1);
}

static void
test_brittleness_ends_with_a_response_or_after_silence (void)
{
  Believer router;

  init_fleet (&router, 1, 6, 5);
  update (&router, SETTLED_MS, 0);
  limpet_brittle_targets_record_response (router.brittle, &router.targets[0], NULL,
                                          SETTLED_MS + 10);
  update (&router, SETTLED_MS + 10, 0);
  CU_ASSERT_FALSE (router.targets[0].is_brittle);
  CU_ASSERT_FALSE (router.targets[0].has_slot_share);
  CU_ASSERT_TRUE (router.targets[1].is_brittle);
  update (&router, SETTLED_MS + LIMPET_RATE_LIMIT_VALIDITY_MS + 1, 0);
  CU_ASSERT_FALSE (router.targets[1].is_brittle);
  clear_fleet (&router, 1);
}

/* It must not take all slots for its own before it knows the other routers and the
 * service. */
static void
test_a_router_that_has_just_started_takes_a_small_part (void)
{
  Believer router;

  init_fleet (&router, 1, 32, 5);
  limpet_brittle_targets_delete (router.brittle);
  init_believer (&router, 32);
  set_routers (&router, 0, 1, START_MS);
  update (&router, START_MS, 0);
  CU_ASSERT_TRUE (router.targets[0].has_slot_share);
  CU_ASSERT_EQUAL (router.targets[0].slot_share, 2);
  limpet_brittle_targets_record_response (router.brittle, &router.targets[0], NULL,
                                          START_MS + 100);
  update (&router, START_MS + 100, 0);
  CU_ASSERT_FALSE (router.targets[0].has_slot_share);
  limpet_brittle_targets_delete (router.brittle);
  init_believer (&router, 32);
  set_routers (&router, 0, 1, SETTLED_MS);
  update (&router, SETTLED_MS, 0); /* no response has come, from calls of any length */
  CU_ASSERT_FALSE (router.targets[0].has_slot_share);
  clear_fleet (&router, 1);
}

/* As after its own suspension, when it has not heard of any other for long. */
static void
test_a_router_that_forgets_the_others_does_not_take_their_parts_at_once (void)
{
  Believer router;

  init_fleet (&router, 1, 32, 5);
  set_routers (&router, 0, 8, SETTLED_MS);
  set_routers (&router, 0, 1, SETTLED_MS + 1000);
  update (&router, SETTLED_MS + 1000, 0);
  CU_ASSERT_EQUAL (router.targets[0].slot_share, 4);
  clear_fleet (&router, 1);
}

static bool
knows (const Router *router)
{
  return router->refusal_limit.target_hash == 5;
}

static void
test_all_routers_learn_within_100_ms_that_a_service_is_brittle (void)
{
  LimpetGossipLimit limit
      = { .target_hash = 5, .is_of_refusals = true, .is_set = true, .per_s = 5 };
  int64_t end = 0;
  uint32_t informed = 0;

  start_routers (61);
  run_fleet (1, 8000, &end, NULL);
  limit.at_ms = 8000;
  limpet_gossip_publish_limit (routers[0].gossip, &limit);
  run_fleet (8000, 8100, &end, NULL);
  for (uint32_t i = 1; i < ROUTERS; i++)
    informed += knows (&routers[i]);
  CU_ASSERT_TRUE (informed >= ROUTERS * 9 / 10);
  run_fleet (8100, 9000, &end, NULL);
  for (uint32_t i = 1; i < ROUTERS; i++)
    CU_ASSERT_TRUE (knows (&routers[i]));
  stop_routers ();
}

/* From the first digest of another one, also if many targets have rate limits. */
static void
test_a_router_that_starts_learns_that_a_service_is_brittle (void)
{
  int64_t end = 0;

  start_routers (62);
  run_fleet (1, 3000, &end, NULL);
  for (uint32_t i = 0; i < 40; i++)
    {
      LimpetGossipLimit limit
          = { .target_hash = 100 + i, .is_set = true, .per_s = 1, .at_ms = 3000 };

      limpet_gossip_publish_limit (routers[0].gossip, &limit);
    }
  limpet_gossip_publish_limit (routers[0].gossip,
                               &(LimpetGossipLimit){ .target_hash = 5,
                                                     .is_of_refusals = true,
                                                     .is_set = true,
                                                     .per_s = 5,
                                                     .at_ms = 3000 });
  run_fleet (3000, 5000, &end, NULL);
  for (uint32_t i = 1; i < ROUTERS; i += 9)
    {
      restart_router (i, 63 + i, 5000);
      routers[i].refusal_limit.target_hash = 0;
      run_fleet (5000, 5060, &end, NULL);
      CU_ASSERT_TRUE (knows (&routers[i]));
    }
  stop_routers ();
}

/* The users limit the control traffic of a router to 4 KB/s (letter 1). Two services are
 * brittle and all engines report their loads throughout. */
static void
test_gossip_of_brittle_services_stays_within_the_traffic_limit (void)
{
  int64_t end = 0;
  uint64_t before;

  start_routers (16);
  run_fleet (1, 2000, &end, NULL);
  before = sent_bytes;
  for (LimpetMs now_ms = 2000; now_ms < 6000; now_ms += 100)
    {
      report_all_loads (now_ms);
      for (uint32_t i = 0; i < ROUTERS; i++)
        limpet_gossip_publish_limit (routers[i].gossip,
                                     &(LimpetGossipLimit){ .target_hash = 5 + i % 2,
                                                           .is_of_refusals = true,
                                                           .is_set = true,
                                                           .per_s = 5,
                                                           .at_ms = now_ms });
      end += now_ms % 1000 == 0;
      run_fleet (now_ms, now_ms + 100, &end, NULL);
    }
  printf ("bytes per router and second with two brittle services=%lu\n",
          (unsigned long)((sent_bytes - before) / 4 / ROUTERS));
  CU_ASSERT_TRUE ((sent_bytes - before) / 4 / ROUTERS < 4096);
  stop_routers ();
}

void
add_brittle_tests (void)
{
  CU_pSuite suite = CU_add_suite ("brittle targets", NULL, NULL);

  CU_ADD_TEST (suite, test_routers_share_out_all_slots_of_a_brittle_target);
  CU_ADD_TEST (suite, test_routers_take_turns_where_they_outnumber_the_slots);
  CU_ADD_TEST (suite, test_extreme_numbers_of_refusals_give_parts_within_bounds);
  CU_ADD_TEST (suite, test_routers_that_far_outnumber_the_slots_may_each_send_one_call);
  CU_ADD_TEST (suite, test_a_target_that_has_just_started_counts_as_brittle);
  CU_ADD_TEST (suite, test_brittleness_ends_with_a_response_or_after_silence);
  CU_ADD_TEST (suite, test_a_router_that_has_just_started_takes_a_small_part);
  CU_ADD_TEST (suite,
               test_a_router_that_forgets_the_others_does_not_take_their_parts_at_once);
  CU_ADD_TEST (suite, test_all_routers_learn_within_100_ms_that_a_service_is_brittle);
  CU_ADD_TEST (suite, test_a_router_that_starts_learns_that_a_service_is_brittle);
  CU_ADD_TEST (suite, test_gossip_of_brittle_services_stays_within_the_traffic_limit);
}
