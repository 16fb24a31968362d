#include "tests.h"

#include "limpetroad/directory.h"
#include "limpetroad/dispatch.h"
#include "limpetroad/emptied_zones.h"
#include "private/cold_targets.h"

#include <glib.h>
#include <string.h>

/* Load: a third of a service comes back cold while each router always has calls for each
 * target. Virtual time. */
#define TARGETS 12
#define STEP_MS 20
#define BEGIN_MS 100000
#define COLD_FROM_MS (BEGIN_MS + 5000)
#define COLD_MS 3000
#define END_MS (COLD_FROM_MS + COLD_MS)
#define PER_S 8.7
#define EXCESS 1.5
#define SLACK 5.0
/* Requests that the users allow a cold target in any second. */
#define BOUND (EXCESS * PER_S + SLACK)

typedef struct
{
  LimpetTarget targets[TARGETS];
  LimpetTarget *pointers[TARGETS];
  LimpetTargetView view;
  LimpetColdTargets *cold;
} Router;

typedef struct
{
  Router *routers;
  uint32_t count;
  GArray *arrivals[TARGETS]; /* of LimpetMs */
} Fleet;

static LimpetRouteTable *
make_table (double per_s)
{
  LimpetRouteTable *table = limpet_route_table_new ();
  LimpetRouteService *service = limpet_route_table_add_service (table);

  g_strlcpy (service->name, "m", sizeof service->name);
  service->is_engine = true;
  service->cold_per_s = per_s;
  service->cold_ms = COLD_MS;
  return table;
}

static void
start_router (Router *router, LimpetMs now_ms)
{
  LimpetRouteTable *table = make_table (PER_S);
  LimpetColdBound bound = { .excess = EXCESS, .slack = SLACK };

  router->cold = limpet_cold_targets_new (now_ms);
  limpet_cold_targets_set_bound (router->cold, &bound);
  limpet_cold_targets_set_services (router->cold, table);
  limpet_route_table_unref (table);
  for (uint32_t i = 0; i < TARGETS; i++)
    {
      router->targets[i] = (LimpetTarget){ .vm = { .kind = LIMPET_VM_ENGINE } };
      g_strlcpy (router->targets[i].vm.group, "m", LIMPET_NAME_SIZE);
      router->pointers[i] = &router->targets[i];
    }
  router->view = (LimpetTargetView){ .targets = router->pointers, .count = TARGETS };
}

static void
make_fleet (Fleet *fleet, uint32_t count)
{
  *fleet = (Fleet){ .routers = g_new0 (Router, count), .count = count };
  for (uint32_t i = 0; i < count; i++)
    start_router (&fleet->routers[i], BEGIN_MS);
  for (uint32_t i = 0; i < TARGETS; i++)
    fleet->arrivals[i] = g_array_new (FALSE, FALSE, sizeof (LimpetMs));
}

static void
free_fleet (Fleet *fleet)
{
  for (uint32_t i = 0; i < fleet->count; i++)
    limpet_cold_targets_delete (fleet->routers[i].cold);
  for (uint32_t i = 0; i < TARGETS; i++)
    g_array_free (fleet->arrivals[i], TRUE);
  g_free (fleet->routers);
}

static void
make_cold (Fleet *fleet, LimpetMs until_ms)
{
  for (uint32_t r = 0; r < fleet->count; r++)
    for (uint32_t i = 0; i < TARGETS; i++)
      limpet_target_extend_cold (&fleet->routers[r].targets[i], until_ms);
}

/* A call of this router to the target, if it may have one. */
static void
try_send (Fleet *fleet, uint32_t router, uint32_t index, LimpetMs now_ms)
{
  LimpetTarget *target = &fleet->routers[router].targets[index];

  if (limpet_target_is_paced (target, now_ms))
    return;
  limpet_cold_targets_record_send (target, now_ms);
  g_array_append_val (fleet->arrivals[index], now_ms);
}

/* Runs from the time at which the targets are cold; router r believes that there are
 * believed[r % 4] routers. */
static void
run_cold (Fleet *fleet, const uint32_t believed[4])
{
  for (LimpetMs now_ms = COLD_FROM_MS; now_ms < END_MS; now_ms += STEP_MS)
    for (uint32_t r = 0; r < fleet->count; r++)
      {
        limpet_cold_targets_set_routers (fleet->routers[r].cold, believed[r % 4], now_ms);
        limpet_cold_targets_update (fleet->routers[r].cold, &fleet->routers[r].view,
                                    now_ms);
        for (uint32_t i = 0; i < TARGETS; i++)
          try_send (fleet, r, i, now_ms);
      }
}

/* Returns the most arrivals at one target in any second. */
static uint32_t
worst_second (const Fleet *fleet)
{
  uint32_t worst = 0;

  for (uint32_t i = 0; i < TARGETS; i++)
    {
      const GArray *arrivals = fleet->arrivals[i];
      guint first = 0;

      for (guint last = 0; last < arrivals->len; last++)
        {
          while (g_array_index (arrivals, LimpetMs, last)
                     - g_array_index (arrivals, LimpetMs, first)
                 > 1000)
            first++;
          worst = MAX (worst, last + 1 - first);
        }
    }
  return worst;
}

static uint32_t
total_sent (const Fleet *fleet)
{
  uint32_t sent = 0;

  for (uint32_t i = 0; i < TARGETS; i++)
    sent += fleet->arrivals[i]->len;
  return sent;
}

static const uint32_t fleet_sizes[] = { 3, 9, 85, 300 };

static void
test_cold_targets_stay_within_the_bound_of_all_routers (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    for (size_t i = 0; i < G_N_ELEMENTS (fleet_sizes); i++)
      {
        uint32_t count = fleet_sizes[i];
        Fleet fleet;

        g_random_set_seed (seed);
        make_fleet (&fleet, count);
        make_cold (&fleet, END_MS);
        run_cold (&fleet, (const uint32_t[4]){ count, count, count, count });
        printf ("routers=%u seed=%u: %u in the worst second, %.2f a second\n", count,
                seed, worst_second (&fleet),
                total_sent (&fleet) * 1000.0 / TARGETS / COLD_MS);
        CU_ASSERT_TRUE (worst_second (&fleet) <= BOUND);
        /* A cold target is used: it gets at least a third of what it bears. */
        CU_ASSERT_TRUE (total_sent (&fleet) >= PER_S / 3 * TARGETS * COLD_MS / 1000);
        free_fleet (&fleet);
      }
}

/* Half of the fleet was lost just before and is back, and a quarter of the routers still
 * knows only the others. */
static void
test_routers_that_disagree_on_their_number_keep_to_the_bound (void)
{
  for (guint32 seed = 1; seed <= 5; seed++)
    for (size_t i = 0; i < G_N_ELEMENTS (fleet_sizes); i++)
      {
        uint32_t count = fleet_sizes[i];
        uint32_t half = (count + 1) / 2;
        Fleet fleet;

        g_random_set_seed (seed);
        make_fleet (&fleet, count);
        make_cold (&fleet, END_MS);
        run_cold (&fleet, (const uint32_t[4]){ count, count, half, count });
        printf ("routers=%u seed=%u: %u in the worst second\n", count, seed,
                worst_second (&fleet));
        CU_ASSERT_TRUE (worst_second (&fleet) <= BOUND);
        free_fleet (&fleet);
      }
}

/* After a cut or a loss a router knows fewer routers; those may still send. */
static void
test_lost_routers_do_not_raise_a_part_for_half_a_minute (void)
{
  Fleet fleet;
  double before;

  make_fleet (&fleet, 1);
  make_cold (&fleet, END_MS + 60000);
  limpet_cold_targets_set_routers (fleet.routers[0].cold, 85, COLD_FROM_MS);
  limpet_cold_targets_update (fleet.routers[0].cold, &fleet.routers[0].view,
                              COLD_FROM_MS);
  before = fleet.routers[0].targets[0].cold_own_per_s;
  CU_ASSERT_TRUE (before > 0);
  for (LimpetMs now_ms = COLD_FROM_MS; now_ms < COLD_FROM_MS + 29000; now_ms += 100)
    {
      limpet_cold_targets_set_routers (fleet.routers[0].cold, 1, now_ms);
      limpet_cold_targets_update (fleet.routers[0].cold, &fleet.routers[0].view, now_ms);
      CU_ASSERT_DOUBLE_EQUAL (fleet.routers[0].targets[0].cold_own_per_s, before, 1e-9);
    }
  free_fleet (&fleet);
}

/* A router that has just started, or hears of no other one, does not know its part. */
static void
test_routers_that_know_no_fleet_send_nothing_to_cold_targets (void)
{
  Fleet fleet;

  make_fleet (&fleet, 9);
  for (uint32_t r = 0; r < 9; r++)
    if (r % 2 == 0)
      limpet_cold_targets_set_fleet_known (fleet.routers[r].cold, false);
    else
      {
        limpet_cold_targets_delete (fleet.routers[r].cold);
        start_router (&fleet.routers[r], END_MS - 2500);
      }
  make_cold (&fleet, END_MS);
  run_cold (&fleet, (const uint32_t[4]){ 1, 1, 1, 1 });
  CU_ASSERT_EQUAL (total_sent (&fleet), 0);
  free_fleet (&fleet);
}

/* After the cold time the calls come back in steps: no jump from a part to no limit. */
static void
test_a_target_that_was_cold_comes_back_in_steps (void)
{
  Fleet fleet;
  Router *router;
  double last_per_s = 0;

  make_fleet (&fleet, 1);
  router = &fleet.routers[0];
  make_cold (&fleet, END_MS);
  limpet_cold_targets_set_routers (router->cold, 9, COLD_FROM_MS);
  for (LimpetMs now_ms = END_MS; now_ms < END_MS + COLD_MS; now_ms += 100)
    {
      limpet_cold_targets_update (router->cold, &router->view, now_ms);
      CU_ASSERT_TRUE (router->targets[0].cold_own_per_s > last_per_s);
      last_per_s = router->targets[0].cold_own_per_s;
    }
  limpet_cold_targets_update (router->cold, &router->view, END_MS + COLD_MS);
  CU_ASSERT_FALSE (limpet_target_is_paced (&router->targets[0], END_MS + COLD_MS));
  free_fleet (&fleet);
}

/* Targets of a service that never is cold are not paced, whatever is known of them. */
static void
test_services_without_a_cold_rate_are_not_paced (void)
{
  Fleet fleet;
  LimpetRouteTable *table = make_table (0);

  make_fleet (&fleet, 1);
  limpet_cold_targets_set_services (fleet.routers[0].cold, table);
  limpet_route_table_unref (table);
  make_cold (&fleet, END_MS);
  limpet_cold_targets_update (fleet.routers[0].cold, &fleet.routers[0].view,
                              COLD_FROM_MS);
  CU_ASSERT_FALSE (limpet_target_is_paced (&fleet.routers[0].targets[0], COLD_FROM_MS));
  free_fleet (&fleet);
}

/* The registry's entries of a target that is cold. */
static void
test_an_entry_that_is_read_again_does_not_keep_its_target_cold (void)
{
  LimpetDirectory *directory = limpet_directory_new (1200);
  LimpetVm vm = { .kind = LIMPET_VM_ENGINE,
                  .id = "a",
                  .slots = 1,
                  .incarnation = 1,
                  .cold_until_ms = COLD_FROM_MS + COLD_MS };
  LimpetVmList list;

  limpet_directory_put (directory, &vm, 7);
  CU_ASSERT_TRUE (limpet_directory_is_changed (directory, COLD_FROM_MS));
  limpet_directory_build (directory, &list);
  limpet_vm_list_clear (&list);
  vm.cold_until_ms = COLD_FROM_MS + 5 * COLD_MS; /* the same write, read later */
  limpet_directory_put (directory, &vm, 7);
  CU_ASSERT_FALSE (limpet_directory_is_changed (directory, COLD_FROM_MS));
  vm.cold_until_ms = COLD_FROM_MS + COLD_MS + 300; /* the next one, which took longer */
  limpet_directory_put (directory, &vm, 8);
  CU_ASSERT_FALSE (limpet_directory_is_changed (directory, COLD_FROM_MS));
  vm.cold_until_ms = COLD_FROM_MS + 5 * COLD_MS; /* it has become cold again */
  limpet_directory_put (directory, &vm, 9);
  CU_ASSERT_TRUE (limpet_directory_is_changed (directory, COLD_FROM_MS));
  limpet_directory_build (directory, &list);
  CU_ASSERT_EQUAL (list.vms[0].cold_until_ms, COLD_FROM_MS + 5 * COLD_MS);
  limpet_vm_list_clear (&list);
  limpet_directory_delete (directory);
}

/* A dispatcher before four engines in two zones. */
typedef struct
{
  LimpetRouteTable *table;
  LimpetRoute *route;
  LimpetTargets *targets;
  LimpetDispatch *dispatch;
} Zones;

#define ZONE_TARGETS 4

static LimpetVmList
zone_list (LimpetVm vms[ZONE_TARGETS])
{
  for (uint32_t i = 0; i < ZONE_TARGETS; i++)
    {
      vms[i] = (LimpetVm){ .kind = LIMPET_VM_ENGINE, .slots = 8, .incarnation = 1 };
      g_snprintf (vms[i].id, sizeof vms[i].id, "t%u", i);
      g_strlcpy (vms[i].group, "m", sizeof vms[i].group);
      g_snprintf (vms[i].zone, sizeof vms[i].zone, "z%u", i % 2);
    }
  return (LimpetVmList){ .vms = vms, .count = ZONE_TARGETS };
}

static void
make_zones (Zones *zones)
{
  LimpetVm vms[ZONE_TARGETS];
  LimpetVmList list = zone_list (vms);

  zones->table = make_table (PER_S);
  zones->route = limpet_route_table_add_route (zones->table);
  zones->route->host = g_strdup ("a.example");
  zones->route->path_prefix = g_strdup ("/");
  zones->route->goal_ms = 200;
  zones->route->timeout_ms = 10000;
  limpet_route_table_finalize (zones->table);
  zones->targets = limpet_targets_new ();
  limpet_targets_update (zones->targets, &list);
  zones->dispatch = limpet_dispatch_new (zones->targets);
  limpet_dispatch_set_table (zones->dispatch, zones->table);
}

static void
free_zones (Zones *zones)
{
  limpet_dispatch_delete (zones->dispatch);
  limpet_targets_delete (zones->targets);
  limpet_route_table_unref (zones->table);
}

typedef struct
{
  LimpetTarget *target;
  LimpetMs retry_after_ms; /* -1 if the call was not refused */
} Outcome;

static void
on_target (void *user, LimpetTarget *target)
{
  ((Outcome *)user)->target = target;
}

static void
on_refused (void *user, LimpetMs retry_after_ms)
{
  ((Outcome *)user)->retry_after_ms = retry_after_ms;
}

/* Submits one call; a target that it gets is released. */
static Outcome
submit (Zones *zones, uint64_t seed)
{
  Outcome outcome = { .retry_after_ms = -1 };
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetCall call = { .route = zones->route,
                      .service = g_ptr_array_index (zones->table->services, 0),
                      .context = seed * 0x9e3779b97f4a7c15ULL,
                      .seed = seed,
                      .arrived_ms = now_ms,
                      .deadline_ms = now_ms + 10000,
                      .response_due_ms = now_ms + 10000 };
  LimpetDispatchRequest request = {
    .call = &call, .on_target = on_target, .on_refused = on_refused, .user = &outcome
  };

  limpet_dispatch_submit (zones->dispatch, &request);
  if (outcome.target != NULL)
    limpet_dispatch_release (zones->dispatch, outcome.target);
  limpet_dispatch_cancel (zones->dispatch, &request);
  return outcome;
}

static void
test_targets_of_an_emptied_zone_get_no_calls (void)
{
  LimpetVm vms[ZONE_TARGETS];
  LimpetVmList list = zone_list (vms);
  Zones zones;

  make_zones (&zones);
  limpet_targets_set_zone_emptied (zones.targets, "z0", true);
  vms[0].incarnation = 2; /* a target that starts meanwhile */
  limpet_targets_update (zones.targets, &list);
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      Outcome outcome = submit (&zones, seed);

      CU_ASSERT_PTR_NOT_NULL_FATAL (outcome.target);
      CU_ASSERT_STRING_EQUAL (outcome.target->vm.zone, "z1");
    }
  free_zones (&zones);
}

/* The users' load limit counts the slots of emptied zones. Light load, one context. */
static void
test_the_load_limit_counts_the_targets_of_emptied_zones (void)
{
  enum
  {
    CALLS = 4
  };
  int32_t most = 0;
  LimpetTargetView *view;
  Zones zones;

  make_zones (&zones);
  limpet_targets_set_zone_emptied (zones.targets, "z0", true);
  view = limpet_targets_snapshot (zones.targets);
  for (uint64_t i = 0; i < 3 * CALLS; i++)
    {
      LimpetPolicyRequest request = { .group = "m",
                                      .kind = LIMPET_VM_ENGINE,
                                      .key_hash = 7,
                                      .seed = i,
                                      .load_limit = 2,
                                      .usable_slots_percent = 100,
                                      .own_slot_share = 1 };
      LimpetTarget *target = limpet_policy_choose (
          limpet_policy_by_name ("homes"), &request, view, limpet_clock_mono_ms ());

      CU_ASSERT_PTR_NOT_NULL_FATAL (target);
      atomic_fetch_add (&target->own_inflight, 1);
      most = MAX (most, atomic_load (&target->own_inflight));
      CU_ASSERT_TRUE (most <= (int32_t)(2 * (i + 1) / ZONE_TARGETS + 3));
    }
  limpet_target_view_release (view);
  free_zones (&zones);
}

static void
test_calls_whose_targets_are_all_in_emptied_zones_are_refused_at_once (void)
{
  Outcome outcome;
  Zones zones;

  make_zones (&zones);
  limpet_targets_set_zone_emptied (zones.targets, "z0", true);
  limpet_targets_set_zone_emptied (zones.targets, "z1", true);
  outcome = submit (&zones, 1);
  CU_ASSERT_PTR_NULL (outcome.target);
  CU_ASSERT_EQUAL (outcome.retry_after_ms, 1000);
  free_zones (&zones);
}

/* Targets of a zone that is taken back may have become cold shortly before. A router that
 * has just started sends nothing to cold targets, so this one shows which count as cold.
 */
static void
test_targets_of_a_zone_that_is_taken_back_count_as_cold (void)
{
  Zones zones;

  make_zones (&zones);
  limpet_targets_set_zone_emptied (zones.targets, "z0", true);
  limpet_targets_set_zone_emptied (zones.targets, "z0", false);
  limpet_dispatch_zone_taken_back (zones.dispatch, "z0");
  for (uint64_t seed = 1; seed <= 100; seed++)
    CU_ASSERT_STRING_EQUAL (submit (&zones, seed).target->vm.zone, "z1");
  free_zones (&zones);
}

/* A target that cannot be reached has crashed perhaps, and is cold when it comes back,
 * before its entry says so. */
static void
test_a_target_that_could_not_be_reached_counts_as_cold (void)
{
  LimpetTargetView *view;
  Zones zones;

  make_zones (&zones);
  view = limpet_targets_snapshot (zones.targets);
  limpet_dispatch_record_result (zones.dispatch, view->targets[0],
                                 LIMPET_STATUS_UNREACHABLE);
  limpet_dispatch_record_result (zones.dispatch, view->targets[1], LIMPET_STATUS_BROKEN);
  CU_ASSERT_TRUE (limpet_target_is_cold (view->targets[0], limpet_clock_mono_ms ()));
  CU_ASSERT_FALSE (limpet_target_is_cold (view->targets[1], limpet_clock_mono_ms ()));
  limpet_target_view_release (view);
  free_zones (&zones);
}

/* All targets are cold, and this router, which has just started, sends them nothing. */
static void
test_calls_that_no_cold_target_may_get_are_refused_at_once (void)
{
  LimpetTargetView *view;
  Outcome outcome;
  Zones zones;

  make_zones (&zones);
  view = limpet_targets_snapshot (zones.targets);
  for (uint32_t i = 0; i < view->count; i++)
    limpet_dispatch_record_cold (zones.dispatch, view->targets[i], COLD_MS,
                                 limpet_clock_mono_ms ());
  limpet_target_view_release (view);
  outcome = submit (&zones, 1);
  CU_ASSERT_PTR_NULL (outcome.target);
  CU_ASSERT_TRUE (outcome.retry_after_ms > 0);
  free_zones (&zones);
}

/* What the observer of emptied zones was told last of the zone "z". */
typedef struct
{
  bool is_emptied;
  uint32_t changes;
  bool is_recorded;
} Observed;

static void
observe (void *user, const char *zone, bool is_emptied)
{
  Observed *observed = user;

  CU_ASSERT_STRING_EQUAL (zone, "z");
  observed->is_emptied = is_emptied;
  observed->changes++;
}

static bool
is_recorded (void *user, const char *zone)
{
  (void)zone;
  return ((const Observed *)user)->is_recorded;
}

static void
test_a_zone_is_emptied_while_its_record_is_there (void)
{
  Observed observed = { .changes = 0 };
  LimpetEmptiedZones *zones = limpet_emptied_zones_new (observe, &observed);

  limpet_emptied_zones_put (zones, "z", "{\"by\":\"a\"}", 10, 1000);
  limpet_emptied_zones_put (zones, "z", "{}", 2, 2000);
  CU_ASSERT_TRUE (observed.is_emptied && observed.changes == 1);
  observed.is_recorded = true;
  limpet_emptied_zones_end_list (zones, is_recorded, &observed, 3000);
  CU_ASSERT_EQUAL (observed.changes, 1);
  limpet_emptied_zones_remove (zones, "z");
  CU_ASSERT_TRUE (!observed.is_emptied && observed.changes == 2);
  limpet_emptied_zones_remove (zones, "z");
  CU_ASSERT_EQUAL (observed.changes, 2);
  limpet_emptied_zones_put (zones, "z", "{}", 2, 4000);
  observed.is_recorded = false;
  limpet_emptied_zones_end_list (zones, is_recorded, &observed, 5000);
  CU_ASSERT_TRUE (!observed.is_emptied && observed.changes == 4);
  limpet_emptied_zones_delete (zones);
}

/* The registry came back from a copy that lacks the record. */
static void
test_a_lost_record_keeps_its_zone_emptied_for_a_minute (void)
{
  Observed observed = { .changes = 0 };
  LimpetEmptiedZones *zones = limpet_emptied_zones_new (observe, &observed);

  limpet_emptied_zones_put (zones, "z", "{}", 2, 1000);
  limpet_emptied_zones_restored (zones);
  limpet_emptied_zones_end_list (zones, is_recorded, &observed, 2000);
  limpet_emptied_zones_end_list (zones, is_recorded, &observed, 3000);
  limpet_emptied_zones_tick (zones, 61999);
  CU_ASSERT_TRUE (observed.is_emptied);
  limpet_emptied_zones_tick (zones, 62000);
  CU_ASSERT_FALSE (observed.is_emptied);
  limpet_emptied_zones_put (zones, "z", "{}", 2, 70000);
  limpet_emptied_zones_restored (zones);
  limpet_emptied_zones_end_list (zones, is_recorded, &observed, 71000);
  limpet_emptied_zones_put (zones, "z", "{}", 2, 72000); /* written again */
  limpet_emptied_zones_tick (zones, 200000);
  CU_ASSERT_TRUE (observed.is_emptied);
  limpet_emptied_zones_delete (zones);
}

void
add_cold_target_tests (void)
{
  CU_pSuite suite = CU_add_suite ("cold targets and emptied zones", NULL, NULL);

  CU_ADD_TEST (suite, test_cold_targets_stay_within_the_bound_of_all_routers);
  CU_ADD_TEST (suite, test_routers_that_disagree_on_their_number_keep_to_the_bound);
  CU_ADD_TEST (suite, test_lost_routers_do_not_raise_a_part_for_half_a_minute);
  CU_ADD_TEST (suite, test_routers_that_know_no_fleet_send_nothing_to_cold_targets);
  CU_ADD_TEST (suite, test_a_target_that_was_cold_comes_back_in_steps);
  CU_ADD_TEST (suite, test_services_without_a_cold_rate_are_not_paced);
  CU_ADD_TEST (suite, test_an_entry_that_is_read_again_does_not_keep_its_target_cold);
  CU_ADD_TEST (suite, test_targets_of_an_emptied_zone_get_no_calls);
  CU_ADD_TEST (suite, test_the_load_limit_counts_the_targets_of_emptied_zones);
  CU_ADD_TEST (suite,
               test_calls_whose_targets_are_all_in_emptied_zones_are_refused_at_once);
  CU_ADD_TEST (suite, test_targets_of_a_zone_that_is_taken_back_count_as_cold);
  CU_ADD_TEST (suite, test_a_target_that_could_not_be_reached_counts_as_cold);
  CU_ADD_TEST (suite, test_calls_that_no_cold_target_may_get_are_refused_at_once);
  CU_ADD_TEST (suite, test_a_zone_is_emptied_while_its_record_is_there);
  CU_ADD_TEST (suite, test_a_lost_record_keeps_its_zone_emptied_for_a_minute);
}
