#include "tests.h"

#include "limpetroad/policy.h"
#include "limpetroad/stall.h"

#include <glib.h>
#include <string.h>

#define ENGINES 20
#define CHATS 4000

static LimpetTargets *
make_targets (uint32_t count)
{
  LimpetTargets *targets = limpet_targets_new ();
  LimpetVm vms[ENGINES + 1];
  LimpetVmList list = { .vms = vms, .count = count };

  for (uint32_t i = 0; i < count; i++)
    {
      vms[i] = (LimpetVm){ .kind = LIMPET_VM_ENGINE, .slots = 16, .incarnation = 1 };
      g_snprintf (vms[i].id, sizeof vms[i].id, "e%u", i);
      g_strlcpy (vms[i].group, "m", sizeof vms[i].group);
    }
  limpet_targets_update (targets, &list);
  return targets;
}

/* Returns the target that a policy chooses for a request with the given affinity key. */
static LimpetTarget *
choose (const char *policy,
        LimpetTargetView *view,
        const LimpetFleetPart *fleet,
        uint64_t key)
{
  LimpetPolicyRequest request = {
    .group = "m",
    .kind = LIMPET_VM_ENGINE,
    .key_hash = key * 0x9e3779b97f4a7c15ULL,
    .seed = key,
    .usable_slots_percent = 100,
    .own_slot_share = 1,
    .fleet = fleet,
  };

  return limpet_policy_choose (limpet_policy_by_name (policy), &request, view,
                               limpet_clock_mono_ms ());
}

/* The load bound is 1.25 times the mean. Long requests may fill 25 % of the slots. */
static const LimpetFleetPart fleet
    = { .load_bound_percent = 125, .long_share_percent = 25 };

/* The requests fill 14 of the 16 slots of each engine on average. */
static void
test_the_load_bound_holds_as_load_grows (void)
{
  LimpetTargets *targets = make_targets (ENGINES);
  LimpetTargetView *view = limpet_targets_snapshot (targets);

  for (int placed = 1; placed <= ENGINES * 14; placed++)
    {
      LimpetTarget *target = choose ("bounded", view, &fleet, (uint64_t)placed);

      CU_ASSERT_PTR_NOT_NULL_FATAL (target);
      atomic_fetch_add (&target->own_inflight, 1);
      for (uint32_t i = 0; i < view->count; i++)
        CU_ASSERT (atomic_load (&view->targets[i]->own_inflight)
                   <= 1.25 * placed / ENGINES + 1);
    }
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

static void
test_a_leaving_engine_moves_only_its_own_chats (void)
{
  LimpetTargets *targets = make_targets (ENGINES);
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  LimpetTarget *before[CHATS];

  for (uint64_t i = 0; i < CHATS; i++)
    before[i] = choose ("rendezvous", view, &fleet, i);
  limpet_target_mark_leaving (view->targets[3], "test");
  for (uint64_t i = 0; i < CHATS; i++)
    {
      LimpetTarget *after = choose ("rendezvous", view, &fleet, i);

      CU_ASSERT (after == before[i] || before[i] == view->targets[3]);
      CU_ASSERT (after != view->targets[3]);
    }
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

/* Long requests may fill 4 of the 16 slots of each engine, others may fill the rest. */
static void
test_long_requests_stay_within_their_share (void)
{
  LimpetTargets *targets = make_targets (2);
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  LimpetPolicyRequest request = {
    .group = "m",
    .kind = LIMPET_VM_ENGINE,
    .is_long = true,
    .usable_slots_percent = 100,
    .own_slot_share = 1,
    .fleet = &fleet,
  };
  int placed = 0;
  LimpetTarget *target;

  while ((target
          = limpet_policy_choose (limpet_policy_by_name ("bounded"), &request, view, 0))
         != NULL)
    {
      atomic_fetch_add (&target->own_inflight, 1);
      atomic_fetch_add (&target->own_long, 1);
      placed++;
    }
  CU_ASSERT_EQUAL (placed, 2 * 4);
  CU_ASSERT_PTR_NOT_NULL (choose ("bounded", view, &fleet, 1));
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

static void
test_a_slow_target_has_less_weight_until_it_recovers (void)
{
  LimpetTargets *targets = make_targets (10);
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  LimpetFleetPart part = { .slow_ratio_percent = 250, .set_aside_percent = 30 };
  int reduced = 0;

  /* If half of the group is slow, its median is high, and no weight is reduced. */
  for (int tick = 0; tick < 6; tick++)
    {
      for (uint32_t i = 0; i < view->count; i++)
        limpet_target_record_token_gap_ms (view->targets[i], i < 5 ? 200 : 20);
      limpet_health_tick (view, &part, limpet_clock_mono_ms ());
    }
  for (uint32_t i = 0; i < view->count; i++)
    reduced += limpet_target_weight (view->targets[i], 0) < LIMPET_WEIGHT_FULL;
  CU_ASSERT_EQUAL (reduced, 0);
  for (int tick = 0; tick < 12; tick++)
    {
      for (uint32_t i = 0; i < view->count; i++)
        limpet_target_record_token_gap_ms (view->targets[i], i < 1 ? 200 : 20);
      limpet_health_tick (view, &part, limpet_clock_mono_ms ());
    }
  CU_ASSERT (limpet_target_weight (view->targets[0], 0) < 100);
  for (int tick = 0; tick < 40; tick++)
    {
      limpet_target_record_token_gap_ms (view->targets[0], 20);
      limpet_health_tick (view, &part, limpet_clock_mono_ms ());
    }
  CU_ASSERT_EQUAL (limpet_target_weight (view->targets[0], 0), LIMPET_WEIGHT_FULL);
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

static const struct
{
  LimpetStallProgress progress;
  LimpetMs remaining_ms;
} stall_cases[] = {
  { { .silent_ms = 500, .tokenless_ms = 500 }, 1500 },
  { { .silent_ms = 2000, .tokenless_ms = 2000 }, 0 },
  /* Bytes that are no token do not put the end off for ever. */
  { { .silent_ms = 100, .tokenless_ms = 4000 }, 1000 },
  { { .silent_ms = 100, .tokenless_ms = 5000 }, 0 },
  /* A slow stream has shown longer gaps, or its target has. */
  { { .silent_ms = 2500, .tokenless_ms = 2500, .longest_gap_ms = 1500 }, 2000 },
  { { .silent_ms = 2500, .tokenless_ms = 2500, .usual_gap_ms = 1000 }, 1500 },
  { { .silent_ms = 8000, .tokenless_ms = 8000, .longest_gap_ms = 60000 }, 0 },
  { { .silent_ms = 2500, .tokenless_ms = 2500, .stalls = 1 }, 1500 },
  { { .silent_ms = 2500, .tokenless_ms = 2500, .stalls = 9 }, 5500 },
  /* Comments while the request waits for its first token. */
  { { .silent_ms = 500, .tokenless_ms = 9000, .is_waiting = true }, 1000 },
  { { .silent_ms = 500, .tokenless_ms = 90000, .is_waiting = true, .has_deadline = true },
    1500 },
  { { .silent_ms = 2000, .tokenless_ms = 9000, .is_waiting = true, .has_deadline = true },
    0 },
};

static void
test_a_stream_stalls_if_no_token_comes (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (stall_cases); i++)
    CU_ASSERT_EQUAL (limpet_stall_remaining_ms (&stall_cases[i].progress),
                     stall_cases[i].remaining_ms);
}

void
add_policy_tests (void)
{
  CU_pSuite suite = CU_add_suite ("policy", NULL, NULL);

  CU_add_test (suite, "a stream stalls if no token comes",
               test_a_stream_stalls_if_no_token_comes);

  CU_add_test (suite, "the load bound holds as load grows",
               test_the_load_bound_holds_as_load_grows);
  CU_add_test (suite, "a leaving engine moves only its own chats",
               test_a_leaving_engine_moves_only_its_own_chats);
  CU_add_test (suite, "long requests stay within their share",
               test_long_requests_stay_within_their_share);
  CU_add_test (suite, "a slow target has less weight until it recovers",
               test_a_slow_target_has_less_weight_until_it_recovers);
}
