#include "tests.h"

#include "limpetroad/targets.h"

#include <glib.h>

#define TARGETS 3

static const LimpetVm vms[TARGETS + 1] = {
  { .id = "e0", .kind = LIMPET_VM_ENGINE, .group = "m", .slots = 4, .incarnation = 1 },
  { .id = "e1", .kind = LIMPET_VM_ENGINE, .group = "m", .slots = 4, .incarnation = 1 },
  { .id = "s0", .kind = LIMPET_VM_SERVICE, .group = "p", .slots = 4, .incarnation = 1 },
  { .id = "r0", .kind = LIMPET_VM_ROUTER, .incarnation = 1 },
};

/* Updates the targets with a list of count VMs from the one at index first on. */
static void
update (LimpetTargets *targets, uint32_t first, uint32_t count)
{
  LimpetVmList list = { .vms = (LimpetVm *)&vms[first], .count = count };

  limpet_targets_update (targets, &list);
}

static uint32_t
count_usable (LimpetTargets *targets)
{
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  uint32_t usable = 0;

  for (uint32_t i = 0; i < view->count; i++)
    usable += limpet_target_is_usable (view->targets[i]);
  limpet_target_view_release (view);
  return usable;
}

static const struct
{
  const char *name;
  uint32_t first;
  uint32_t count;
} lists_without_targets[] = {
  { "no VM", 0, 0 },
  { "a router", TARGETS, 1 },
};

/* Guards against a fault: a list without targets was ignored, and the targets of the list
 * before it got requests until they exited (review/12). */
static void
test_a_list_without_targets_makes_the_last_ones_leave (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (lists_without_targets); i++)
    {
      LimpetTargets *targets = limpet_targets_new ();
      LimpetTargetView *before;

      update (targets, 0, TARGETS);
      before = limpet_targets_snapshot (targets);
      CU_ASSERT_EQUAL (count_usable (targets), TARGETS);
      update (targets, lists_without_targets[i].first, lists_without_targets[i].count);
      CU_ASSERT_EQUAL (count_usable (targets), 0);
      for (uint32_t k = 0; k < before->count; k++)
        {
          CU_ASSERT_TRUE (atomic_load (&before->targets[k]->leaving));
          CU_ASSERT_TRUE (atomic_load (&before->targets[k]->has_vanished));
        }
      limpet_target_view_release (before);
      limpet_targets_delete (targets);
    }
}

static void
test_targets_listed_again_after_none_was_left_share_a_slow_start (void)
{
  LimpetTargets *targets = limpet_targets_new ();
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetTargetView *view;

  update (targets, 0, TARGETS);
  update (targets, 0, 0);
  update (targets, 0, TARGETS);
  CU_ASSERT_EQUAL (count_usable (targets), TARGETS);
  view = limpet_targets_snapshot (targets);
  for (uint32_t i = 0; i < view->count; i++)
    {
      CU_ASSERT_TRUE (limpet_target_is_open (view->targets[i], now_ms));
      CU_ASSERT_EQUAL (limpet_target_weight (view->targets[i], now_ms),
                       limpet_target_weight (view->targets[0], now_ms));
    }
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
}

void
add_target_tests (void)
{
  CU_pSuite suite = CU_add_suite ("targets", NULL, NULL);

  CU_ADD_TEST (suite, test_a_list_without_targets_makes_the_last_ones_leave);
  CU_ADD_TEST (suite, test_targets_listed_again_after_none_was_left_share_a_slow_start);
}
