#include "tests.h"

#include "limpetroad/dispatch.h"
#include "limpetroad/outlier.h"

#include <glib.h>
#include <string.h>

#define ENGINES 18
#define SLOTS 8

/* A dispatcher, its targets, and a route table with one route to engines and one to a
 * plain service. */
typedef struct
{
  LimpetRouteTable *table;
  LimpetTargets *targets;
  LimpetDispatch *dispatch;
  LimpetRoute *chat_route;
  LimpetRoute *order_route;
} Fixture;

static LimpetRoute *
add_route (LimpetRouteTable *table,
           const char *prefix,
           LimpetRouteKind kind,
           const LimpetRouteService *service,
           int64_t priority)
{
  LimpetRoute *route = limpet_route_table_add_route (table);

  route->host = g_strdup ("a.example");
  route->path_prefix = g_strdup (prefix);
  route->kind = kind;
  route->timeout_ms = 10000;
  route->goal_ms = 200;
  route->max_targets = 2;
  route->priority = priority;
  route->weighted_services = g_new (LimpetWeightedService, 1);
  route->weighted_services[0]
      = (LimpetWeightedService){ .service = service, .weight = 1 };
  route->weighted_services_count = 1;
  return route;
}

/* Creates the given number of engines and two targets of the plain service. */
static void
make_fixture (Fixture *fixture, uint32_t engines)
{
  LimpetVm vms[ENGINES + 2] = { { .kind = LIMPET_VM_ENGINE } };
  LimpetVmList list = { .vms = vms, .count = engines + 2 };
  LimpetRouteService *engine_service;
  LimpetRouteService *plain_service;

  fixture->table = limpet_route_table_new ();
  engine_service = limpet_route_table_add_service (fixture->table);
  plain_service = limpet_route_table_add_service (fixture->table);
  g_strlcpy (engine_service->name, "model", sizeof engine_service->name);
  g_strlcpy (plain_service->name, "plain", sizeof plain_service->name);
  engine_service->is_engine = true;
  fixture->chat_route
      = add_route (fixture->table, "/chat/", LIMPET_ROUTE_KIND_STREAM, engine_service, 1);
  fixture->order_route
      = add_route (fixture->table, "/order/", LIMPET_ROUTE_KIND_UNSAFE, plain_service, 2);
  limpet_route_table_finalize (fixture->table);
  for (uint32_t i = 0; i < engines + 2; i++)
    {
      vms[i] = (LimpetVm){ .kind = i < engines ? LIMPET_VM_ENGINE : LIMPET_VM_SERVICE,
                           .port = 1,
                           .incarnation = 1,
                           .slots = SLOTS };
      g_snprintf (vms[i].id, sizeof vms[i].id, "t%u", i);
      g_strlcpy (vms[i].group, i < engines ? "model" : "plain", sizeof vms[i].group);
    }
  fixture->targets = limpet_targets_new ();
  limpet_targets_update (fixture->targets, &list);
  fixture->dispatch = limpet_dispatch_new (fixture->targets);
}

static void
free_fixture (Fixture *fixture)
{
  limpet_dispatch_delete (fixture->dispatch);
  limpet_targets_delete (fixture->targets);
  limpet_route_table_unref (fixture->table);
}

/* An attempt of a call, and the dispatcher's decision: a target, a refusal, or neither
 * while the attempt is queued. */
typedef struct
{
  LimpetCall call;
  LimpetDispatchRequest dispatch_request;
  LimpetTarget *target;
  bool refused;
  LimpetMs retry_after_ms;
} Attempt;

static void
on_target (void *user, LimpetTarget *target)
{
  ((Attempt *)user)->target = target;
}

static void
on_refused (void *user, LimpetMs retry_after_ms)
{
  ((Attempt *)user)->refused = true;
  ((Attempt *)user)->retry_after_ms = retry_after_ms;
}

/* Submits the first attempt of a new call. seed differs between calls. */
static void
submit (Fixture *fixture,
        Attempt *attempt,
        const LimpetRoute *route,
        uint64_t context,
        uint64_t seed)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  *attempt = (Attempt){
    .call = { .route = route,
              .service = route->weighted_services[0].service,
              .context = context,
              .seed = seed,
              .arrived_ms = now_ms,
              .deadline_ms = now_ms + 10000,
              .response_due_ms = now_ms + 10000 },
    .dispatch_request = { .on_target = on_target, .on_refused = on_refused },
  };
  attempt->dispatch_request.call = &attempt->call;
  attempt->dispatch_request.user = attempt;
  limpet_dispatch_submit (fixture->dispatch, &attempt->dispatch_request);
}

/* The home of a context is the engine that gets its calls, and has therefore cached its
 * prompt. The factor spreads consecutive numbers over 64 bits. */
static void
test_calls_of_a_context_go_to_its_home (void)
{
  Fixture fixture;

  make_fixture (&fixture, ENGINES);
  for (uint64_t context = 1; context <= 50; context++)
    {
      LimpetTarget *home = NULL;

      for (uint64_t i = 0; i < 5; i++)
        {
          Attempt attempt;

          submit (&fixture, &attempt, fixture.chat_route, context * 0x9e3779b97f4a7c15ULL,
                  i);
          CU_ASSERT_PTR_NOT_NULL_FATAL (attempt.target);
          CU_ASSERT_TRUE (home == NULL || attempt.target == home);
          home = attempt.target;
          limpet_dispatch_release (fixture.dispatch, attempt.target);
        }
    }
  free_fixture (&fixture);
}

/* The calls fill half of all slots. A third of them belong to one context. */
static void
test_a_popular_context_has_few_homes_within_the_load_limit (void)
{
  Fixture fixture;
  Attempt attempts[ENGINES * SLOTS / 2];
  uint32_t count = G_N_ELEMENTS (attempts);
  int32_t max_inflight = 0;
  uint32_t homes = 0;
  LimpetTargetView *view;

  make_fixture (&fixture, ENGINES);
  for (uint32_t i = 0; i < count; i++)
    submit (&fixture, &attempts[i], fixture.chat_route,
            (i % 3 == 0 ? 7 : i) * 0x9e3779b97f4a7c15ULL + 1, i);
  view = limpet_targets_snapshot (fixture.targets);
  for (uint32_t i = 0; i < view->count; i++)
    max_inflight = MAX (max_inflight, limpet_target_inflight (view->targets[i]));
  for (uint32_t i = 0; i < count; i += 3)
    {
      bool seen = false;

      for (uint32_t j = 0; j < i && !seen; j += 3)
        seen = attempts[j].target == attempts[i].target;
      homes += !seen;
    }
  /* The users' load limit (cap_x): twice the mean plus three. */
  CU_ASSERT_TRUE (max_inflight <= 2 * (int32_t)count / ENGINES + 3);
  CU_ASSERT_TRUE (homes <= 6);
  limpet_target_view_release (view);
  for (uint32_t i = 0; i < count; i++)
    limpet_dispatch_release (fixture.dispatch, attempts[i].target);
  free_fixture (&fixture);
}

/* Guards against calls that wait for a slot of a service that has no target left. */
static void
test_a_call_without_any_target_is_refused_at_once (void)
{
  LimpetVmList no_vms = { .count = 0 };
  Fixture fixture;
  Attempt attempt;

  make_fixture (&fixture, ENGINES);
  limpet_targets_update (fixture.targets, &no_vms);
  submit (&fixture, &attempt, fixture.chat_route, 1, 1);
  CU_ASSERT_TRUE (attempt.refused);
  CU_ASSERT_TRUE (attempt.retry_after_ms > 0);
  limpet_dispatch_cancel (fixture.dispatch, &attempt.dispatch_request);
  free_fixture (&fixture);
}

static void
test_calls_of_a_plain_service_are_spread_evenly (void)
{
  Fixture fixture;
  Attempt attempts[2 * SLOTS];

  make_fixture (&fixture, 1);
  for (uint32_t i = 0; i < G_N_ELEMENTS (attempts); i++)
    {
      submit (&fixture, &attempts[i], fixture.order_route, 0, i);
      CU_ASSERT_PTR_NOT_NULL_FATAL (attempts[i].target);
      CU_ASSERT_TRUE (limpet_target_inflight (attempts[i].target) <= (int32_t)i / 2 + 1);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (attempts); i++)
    limpet_dispatch_release (fixture.dispatch, attempts[i].target);
  free_fixture (&fixture);
}

/* There are more calls than slots. A slot that becomes free goes to the queued call with
 * the highest priority; the lowest number is the highest priority. */
static void
test_queued_calls_are_served_by_priority (void)
{
  Fixture fixture;
  Attempt running[SLOTS];
  Attempt waiting[2];
  LimpetRoute urgent_route;

  make_fixture (&fixture, 1);
  for (uint32_t i = 0; i < SLOTS; i++)
    submit (&fixture, &running[i], fixture.chat_route, 5, i);
  urgent_route = *fixture.chat_route;
  urgent_route.priority = 0;
  submit (&fixture, &waiting[0], fixture.chat_route, 5, 100);
  submit (&fixture, &waiting[1], &urgent_route, 5, 101);
  CU_ASSERT_PTR_NULL (waiting[0].target);
  CU_ASSERT_PTR_NULL (waiting[1].target);
  limpet_dispatch_release (fixture.dispatch, running[0].target);
  CU_ASSERT_PTR_NOT_NULL (waiting[1].target);
  CU_ASSERT_PTR_NULL (waiting[0].target);
  limpet_dispatch_release (fixture.dispatch, running[1].target);
  CU_ASSERT_PTR_NOT_NULL (waiting[0].target);
  for (uint32_t i = 2; i < SLOTS; i++)
    limpet_dispatch_release (fixture.dispatch, running[i].target);
  for (uint32_t i = 0; i < 2; i++)
    limpet_dispatch_release (fixture.dispatch, waiting[i].target);
  free_fixture (&fixture);
}

/* The priority of the team decides, then that of the route. */
static void
test_routes_order_calls_of_equally_urgent_teams (void)
{
  LimpetRoute urgent = { .priority = 0 };
  LimpetRoute idle = { .priority = 2 };
  LimpetRouteTeam usual = { .priority = 1 };
  LimpetRouteTeam first = { .priority = 0 };
  LimpetRouteTeam none = { .priority = -1 };
  LimpetCall usual_urgent = { .route = &urgent, .team = &usual };
  LimpetCall usual_idle = { .route = &idle, .team = &usual };
  LimpetCall first_idle = { .route = &idle, .team = &first };
  LimpetCall none_urgent = { .route = &urgent, .team = &none };

  CU_ASSERT_TRUE (limpet_call_urgency (&usual_urgent)
                  < limpet_call_urgency (&usual_idle));
  CU_ASSERT_TRUE (limpet_call_urgency (&first_idle)
                  < limpet_call_urgency (&usual_urgent));
  CU_ASSERT_TRUE (limpet_call_urgency (&none_urgent) < limpet_call_urgency (&first_idle));
}

/* Many calls wait for the only engine, whose slots are freed slowly. A call for the plain
 * service, which has just refused one for lack of capacity, waits all the same. */
static void
test_a_queue_for_engines_refuses_no_call_of_a_plain_service (void)
{
  Fixture fixture;
  Attempt running[SLOTS];
  Attempt waiting[4];
  Attempt order;
  LimpetTargetView *view;

  make_fixture (&fixture, 1);
  for (uint32_t i = 0; i < SLOTS; i++)
    submit (&fixture, &running[i], fixture.chat_route, 5, i);
  for (uint32_t i = 0; i < 6; i++)
    {
      limpet_dispatch_release (fixture.dispatch, running[i].target);
      g_usleep (250 * 1000);
      submit (&fixture, &running[i], fixture.chat_route, 5, 50 + i);
    }
  for (uint32_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    submit (&fixture, &waiting[i], fixture.chat_route, 5, 100 + i);
  view = limpet_targets_snapshot (fixture.targets);
  for (uint32_t i = 0; i < view->count; i++)
    if (view->targets[i]->vm.kind == LIMPET_VM_SERVICE)
      atomic_store (&view->targets[i]->own_inflight, SLOTS);
  submit (&fixture, &order, fixture.order_route, 0, 200);
  CU_ASSERT_FALSE (order.refused);
  CU_ASSERT_PTR_NULL (order.target);
  limpet_dispatch_cancel (fixture.dispatch, &order.dispatch_request);
  for (uint32_t i = 0; i < G_N_ELEMENTS (waiting); i++)
    limpet_dispatch_cancel (fixture.dispatch, &waiting[i].dispatch_request);
  for (uint32_t i = 0; i < SLOTS; i++)
    limpet_dispatch_release (fixture.dispatch, running[i].target);
  limpet_target_view_release (view);
  free_fixture (&fixture);
}

/* All slots stay occupied. A call that is queued for longer than the goal of its route is
 * refused with a retry delay. */
static void
test_calls_that_cannot_start_in_time_are_refused (void)
{
  Fixture fixture;
  Attempt running[SLOTS];
  Attempt queued;

  make_fixture (&fixture, 1);
  for (uint32_t i = 0; i < SLOTS; i++)
    submit (&fixture, &running[i], fixture.chat_route, 5, i);
  submit (&fixture, &queued, fixture.chat_route, 5, 100);
  CU_ASSERT_FALSE (queued.refused);
  limpet_dispatch_tick (fixture.dispatch,
                        limpet_clock_mono_ms () + fixture.chat_route->goal_ms + 1);
  CU_ASSERT_TRUE (queued.refused);
  CU_ASSERT_TRUE (queued.retry_after_ms > 0 && queued.retry_after_ms <= 10000 / 3);
  for (uint32_t i = 0; i < SLOTS; i++)
    limpet_dispatch_release (fixture.dispatch, running[i].target);
  free_fixture (&fixture);
}

/* A cancelled call is neither assigned a free slot nor refused. */
static void
test_cancelled_calls_get_no_target (void)
{
  Fixture fixture;
  Attempt running[SLOTS];
  Attempt cancelled;

  make_fixture (&fixture, 1);
  for (uint32_t i = 0; i < SLOTS; i++)
    submit (&fixture, &running[i], fixture.chat_route, 5, i);
  submit (&fixture, &cancelled, fixture.chat_route, 5, 100);
  limpet_dispatch_cancel (fixture.dispatch, &cancelled.dispatch_request);
  for (uint32_t i = 0; i < SLOTS; i++)
    limpet_dispatch_release (fixture.dispatch, running[i].target);
  limpet_dispatch_tick (fixture.dispatch, limpet_clock_mono_ms () + 20000);
  CU_ASSERT_PTR_NULL (cancelled.target);
  CU_ASSERT_FALSE (cancelled.refused);
  free_fixture (&fixture);
}

/* A report of a high load diverts calls from its target. Without newer reports the
 * reported load decays, and the target gets calls again. A report that is older than the
 * last one is ignored. */
static void
test_reported_loads_affect_the_choice (void)
{
  Fixture fixture;
  LimpetTargetView *view;
  Attempt first;
  Attempt second;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  make_fixture (&fixture, ENGINES);
  submit (&fixture, &first, fixture.chat_route, 99, 1);
  view = limpet_targets_snapshot (fixture.targets);
  limpet_dispatch_release (fixture.dispatch, first.target);
  limpet_dispatch_record_load (fixture.dispatch, first.target, SLOTS, now_ms);
  limpet_dispatch_record_load (fixture.dispatch, first.target, 0, now_ms - 50);
  submit (&fixture, &second, fixture.chat_route, 99, 2);
  CU_ASSERT_PTR_NOT_EQUAL (first.target, second.target);
  limpet_dispatch_release (fixture.dispatch, second.target);
  for (int i = 0; i < 100; i++)
    limpet_dispatch_tick (fixture.dispatch, now_ms + 5000 + 100 * i);
  submit (&fixture, &second, fixture.chat_route, 99, 3);
  CU_ASSERT_PTR_EQUAL (first.target, second.target);
  limpet_dispatch_release (fixture.dispatch, second.target);
  limpet_target_view_release (view);
  free_fixture (&fixture);
}

/* Simulates outlier detection for for_ms. first_gap_ms is the time between the events of
 * the first engine, and other_gap_ms that of the others. */
static void
run_outlier_ticks (LimpetTargetView *view,
                   LimpetMs for_ms,
                   double first_gap_ms,
                   double other_gap_ms)
{
  for (LimpetMs at_ms = 0; at_ms < for_ms; at_ms += LIMPET_OUTLIER_PERIOD_MS)
    {
      for (uint32_t i = 0; i < view->count; i++)
        if (view->targets[i]->vm.kind == LIMPET_VM_ENGINE)
          limpet_target_record_token_gap_ms (view->targets[i],
                                             i == 0 ? first_gap_ms : other_gap_ms);
      limpet_outlier_tick (view, limpet_clock_mono_ms ());
    }
}

/* Short slowdowns, which noisy neighbours cause, do not mark an engine as slow. An engine
 * that is four times slower than its group for seconds is marked, and gets no new calls
 * until it recovers. */
static void
test_only_lasting_slowness_diverts_calls (void)
{
  Fixture fixture;
  LimpetTargetView *view;

  make_fixture (&fixture, ENGINES);
  view = limpet_targets_snapshot (fixture.targets);
  /* 2.5 times slower for about 15 % of the time, as in the users' site files. */
  for (int i = 0; i < 20; i++)
    {
      run_outlier_ticks (view, 500, 30, 30);
      run_outlier_ticks (view, 100, 75, 30);
      CU_ASSERT_FALSE (limpet_outlier_is_slow (view->targets[0]));
    }
  run_outlier_ticks (view, 2500, 120, 30);
  CU_ASSERT_TRUE (limpet_outlier_is_slow (view->targets[0]));
  for (uint64_t context = 1; context < 200; context++)
    {
      Attempt attempt;

      submit (&fixture, &attempt, fixture.chat_route, context * 0x9e3779b97f4a7c15ULL,
              context);
      CU_ASSERT_PTR_NOT_EQUAL (attempt.target, view->targets[0]);
      limpet_dispatch_release (fixture.dispatch, attempt.target);
    }
  run_outlier_ticks (view, 6000, 30, 30);
  CU_ASSERT_FALSE (limpet_outlier_is_slow (view->targets[0]));
  limpet_target_view_release (view);
  free_fixture (&fixture);
}

/* Engines are compared with the median of their group, which rises if all engines are
 * slow. */
static void
test_a_uniformly_slow_group_has_no_outlier (void)
{
  Fixture fixture;
  LimpetTargetView *view;

  make_fixture (&fixture, ENGINES);
  view = limpet_targets_snapshot (fixture.targets);
  run_outlier_ticks (view, 5000, 200, 200);
  CU_ASSERT_FALSE (limpet_outlier_is_slow (view->targets[0]));
  limpet_target_view_release (view);
  free_fixture (&fixture);
}

static void
test_the_cache_source_is_another_engine (void)
{
  Fixture fixture;
  Attempt attempt;
  const LimpetTarget *source;

  make_fixture (&fixture, ENGINES);
  submit (&fixture, &attempt, fixture.chat_route, 1234, 1);
  /* A call without shared prompt parts has no source. */
  CU_ASSERT_PTR_NULL (
      limpet_dispatch_cache_source (fixture.dispatch, &attempt.call, attempt.target));
  attempt.call.prompt_parts_count = 2;
  source = limpet_dispatch_cache_source (fixture.dispatch, &attempt.call, attempt.target);
  CU_ASSERT_PTR_NOT_NULL_FATAL (source);
  CU_ASSERT_PTR_NOT_EQUAL (source, attempt.target);
  /* For any other target, the source is the home of the context. */
  CU_ASSERT_PTR_EQUAL (
      limpet_dispatch_cache_source (fixture.dispatch, &attempt.call, source),
      attempt.target);
  limpet_dispatch_release (fixture.dispatch, attempt.target);
  free_fixture (&fixture);
}

/* The retries of a window stay within the ratio of its requests plus the slack. The
 * budget counts in steps of 1 s. Its window is the current step and the nine before it,
 * which is 9 to 10 s. The test therefore checks each span of 9 s, with the 100 requests
 * that a window has at most. */
static void
test_retries_stay_within_the_budget (void)
{
  LimpetRetryBudget budget = { .ratio = 0.2, .slack = 5, .window_ms = 10000 };
  int32_t retries[600] = { 0 };

  for (LimpetMs now_ms = 0; now_ms < 60000; now_ms += 100)
    {
      if (now_ms < 20000 || now_ms > 40000)
        limpet_retry_budget_record_request (&budget, now_ms);
      for (int i = 0; i < 3; i++)
        retries[now_ms / 100] += limpet_retry_budget_try_spend (&budget, now_ms);
    }
  for (int from = 0; from + 90 <= 600; from++)
    {
      int32_t sum = 0;

      for (int i = from; i < from + 90; i++)
        sum += retries[i];
      CU_ASSERT_TRUE (sum <= 0.2 * 100 + 5);
    }
  CU_ASSERT_TRUE (retries[0] > 0);
}

static void
test_the_longest_matching_path_prefix_wins (void)
{
  LimpetRouteTable *table = limpet_route_table_new ();
  LimpetRouteService *service = limpet_route_table_add_service (table);
  LimpetRouteTeam *team = limpet_route_table_add_team (table);
  LimpetRoute *shorter = add_route (table, "/a/", LIMPET_ROUTE_KIND_SAFE, service, 0);
  LimpetRoute *longer = add_route (table, "/a/b/", LIMPET_ROUTE_KIND_SAFE, service, 0);

  limpet_route_table_add_key (table, "key", team);
  limpet_route_table_finalize (table);
  CU_ASSERT_PTR_EQUAL (limpet_route_table_find_route (table, "A.example", "/a/x"),
                       shorter);
  CU_ASSERT_PTR_EQUAL (limpet_route_table_find_route (table, "a.example", "/a/b/x"),
                       longer);
  CU_ASSERT_PTR_EQUAL (limpet_route_table_find_route (table, "a.example", "/a/bc"),
                       shorter);
  CU_ASSERT_PTR_NULL (limpet_route_table_find_route (table, "a.example", "/b"));
  CU_ASSERT_PTR_NULL (limpet_route_table_find_route (table, "b.example", "/a/x"));
  CU_ASSERT_PTR_EQUAL (limpet_route_table_find_team (table, "key"), team);
  CU_ASSERT_PTR_NULL (limpet_route_table_find_team (table, "ke"));
  limpet_route_table_unref (table);
}

static void
test_calls_are_split_by_weight (void)
{
  LimpetRouteService services[2] = { { .slots = 0 }, { .slots = 0 } };
  LimpetWeightedService split[2] = { { .service = &services[0], .weight = 90 },
                                     { .service = &services[1], .weight = 10 } };
  LimpetRoute route
      = { .weighted_services = split, .weighted_services_count = 2, .total_weight = 100 };
  int first = 0;

  for (uint64_t draw = 0; draw < 1000; draw++)
    first += limpet_route_pick_service (&route, draw) == &services[0];
  CU_ASSERT_EQUAL (first, 900);
}

/* All engines have named a limit of 0. One gets a call once it is due, and only one. */
static void
test_an_engine_with_a_limit_of_zero_gets_the_call_that_is_due (void)
{
  Fixture fixture;
  LimpetTargetView *view;
  const double limit_per_s = 0;

  for (uint64_t seed = 0; seed < 20; seed++)
    {
      Attempt attempts[2];

      make_fixture (&fixture, 2);
      view = limpet_targets_snapshot (fixture.targets);
      for (uint32_t i = 0; i < 2; i++)
        limpet_dispatch_record_rate_limit (fixture.dispatch, view->targets[i],
                                           &limit_per_s, limpet_clock_mono_ms ());
      limpet_dispatch_tick (fixture.dispatch, limpet_clock_mono_ms ());
      atomic_store (&view->targets[0]->next_send_ms, 0);
      atomic_store (&view->targets[1]->next_send_ms, INT64_MAX);
      for (uint32_t i = 0; i < 2; i++)
        submit (&fixture, &attempts[i], fixture.chat_route, 0x9e3779b97f4a7c15ULL, seed);
      CU_ASSERT_PTR_EQUAL (attempts[0].target, view->targets[0]);
      CU_ASSERT_PTR_NULL (attempts[1].target);
      limpet_dispatch_cancel (fixture.dispatch, &attempts[1].dispatch_request);
      if (attempts[0].target != NULL)
        limpet_dispatch_release (fixture.dispatch, attempts[0].target);
      limpet_dispatch_cancel (fixture.dispatch, &attempts[0].dispatch_request);
      limpet_target_view_release (view);
      free_fixture (&fixture);
    }
}

/* Requests per second that all routers together may send to a target, of a service with
 * so many engines, that has named a limit of 0. */
static double
probes_per_s (uint32_t engines, uint32_t limited_engines, uint32_t routers)
{
  Fixture fixture;
  LimpetTargetView *view;
  double per_s;

  make_fixture (&fixture, engines);
  limpet_dispatch_set_router_count (fixture.dispatch, routers);
  view = limpet_targets_snapshot (fixture.targets);
  for (uint32_t i = 0; i < limited_engines; i++)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();
      const double limit_per_s = 0;

      limpet_dispatch_record_rate_limit (fixture.dispatch, view->targets[i], &limit_per_s,
                                         now_ms);
      limpet_dispatch_tick (fixture.dispatch, now_ms);
    }
  per_s = view->targets[0]->rate_limit.own_per_s * routers;
  limpet_target_view_release (view);
  free_fixture (&fixture);
  return per_s;
}

/* The callers of a service are refused while none of its targets takes requests, so it
 * has to show soon that one does again. */
static void
test_a_service_without_a_target_that_takes_requests_is_probed_more_often (void)
{
  for (uint32_t routers = 1; routers <= 81; routers += 8)
    {
      CU_ASSERT_TRUE (probes_per_s (1, 1, routers) > 0.24);
      CU_ASSERT_TRUE (2 * probes_per_s (2, 2, routers) > 0.24);
      /* The users allow 5 requests in 4 s beyond a limit of 0. */
      CU_ASSERT_TRUE (probes_per_s (1, 1, routers) < 0.26);
      CU_ASSERT_TRUE (probes_per_s (4, 4, routers) < 0.11);
      /* Beside an engine that has room, each router may use three times its part. */
      CU_ASSERT_TRUE (probes_per_s (2, 1, routers) < 3 * 0.11);
    }
}

void
add_dispatch_tests (void)
{
  CU_pSuite suite = CU_add_suite ("dispatch", NULL, NULL);

  CU_ADD_TEST (suite, test_calls_of_a_context_go_to_its_home);
  CU_ADD_TEST (suite, test_a_popular_context_has_few_homes_within_the_load_limit);
  CU_ADD_TEST (suite, test_a_call_without_any_target_is_refused_at_once);
  CU_ADD_TEST (suite, test_calls_of_a_plain_service_are_spread_evenly);
  CU_ADD_TEST (suite, test_queued_calls_are_served_by_priority);
  CU_ADD_TEST (suite, test_routes_order_calls_of_equally_urgent_teams);
  CU_ADD_TEST (suite, test_a_queue_for_engines_refuses_no_call_of_a_plain_service);
  CU_ADD_TEST (suite, test_calls_that_cannot_start_in_time_are_refused);
  CU_ADD_TEST (suite, test_cancelled_calls_get_no_target);
  CU_ADD_TEST (suite, test_reported_loads_affect_the_choice);
  CU_ADD_TEST (suite, test_only_lasting_slowness_diverts_calls);
  CU_ADD_TEST (suite, test_a_uniformly_slow_group_has_no_outlier);
  CU_ADD_TEST (suite, test_the_cache_source_is_another_engine);
  CU_ADD_TEST (suite, test_retries_stay_within_the_budget);
  CU_ADD_TEST (suite, test_the_longest_matching_path_prefix_wins);
  CU_ADD_TEST (suite, test_calls_are_split_by_weight);
  CU_ADD_TEST (suite, test_an_engine_with_a_limit_of_zero_gets_the_call_that_is_due);
  CU_ADD_TEST (suite,
               test_a_service_without_a_target_that_takes_requests_is_probed_more_often);
}
