#include "tests.h"

#include "limpetroad/policy.h"
#include "limpetroad/popularity.h"

#include <glib.h>
#include <string.h>

/* Simulates routers that send calls to one pool of engines, in virtual time. A router
 * learns the current load of an engine when the engine starts one of its calls. Every
 * GOSSIP_MS it also receives load reports of all engines that are GOSSIP_AGE_MS old. */
#define ROUTERS 60
#define ENGINES 56
#define SLOTS 12
#define SERVICE_MS 500 /* duration of a call */
#define CALLS_PER_S 800
#define CONTEXTS 600
/* From POPULAR_FROM_MS on, this percentage of the calls belongs to one context. */
#define POPULAR_CONTEXT 1
#define POPULAR_PERCENT 11
#define GOSSIP_MS 100
#define GOSSIP_AGE_MS 1000
#define STEP_MS 5
#define START_MS 10000
#define POPULAR_FROM_MS (START_MS + 4000)
#define END_MS (START_MS + 14000)
/* The users' load limit of an engine is a multiple of the mean load plus a slack. In any
 * WINDOW_MS, at most MAX_OVER_LIMIT_PERCENT of the calls may go to engines over it. */
#define LOAD_LIMIT_MEAN_FACTOR 2.0
#define LOAD_LIMIT_SLACK 3.0
#define MAX_OVER_LIMIT_PERCENT 3.0
#define WINDOW_MS 5000
#define SIMULATED_SECONDS ((END_MS - START_MS) / 1000)

typedef struct
{
  uint32_t router;
  LimpetMs end_ms; /* 0 while the call is queued */
} Call;

typedef struct
{
  /* Of Call, in order of arrival. The first SLOTS calls run; the others are queued. */
  GArray *calls;
  int32_t load_history[END_MS / GOSSIP_MS + 1]; /* number of calls every GOSSIP_MS */
} Engine;

typedef struct
{
  LimpetTarget targets[ENGINES];
  LimpetTarget *pointers[ENGINES];
  LimpetTargetView view;
  LimpetPopularity *popularity;
} Router;

typedef struct
{
  Router *routers;
  Engine engines[ENGINES];
  GRand *random;
  uint32_t inflight;
  uint32_t sent[SIMULATED_SECONDS];       /* calls sent in each second */
  uint32_t over_limit[SIMULATED_SECONDS]; /* those sent to engines over the load limit */
  uint32_t refused;
} Pool;

static const LimpetFleetPart fleet
    = { .load_bound_percent = 160, .long_share_percent = 100 };

static void
make_pool (Pool *pool, guint32 seed)
{
  *pool = (Pool){ .routers = g_new0 (Router, ROUTERS),
                  .random = g_rand_new_with_seed (seed) };
  for (uint32_t i = 0; i < ENGINES; i++)
    pool->engines[i].calls = g_array_new (FALSE, FALSE, sizeof (Call));
  for (uint32_t r = 0; r < ROUTERS; r++)
    {
      Router *router = &pool->routers[r];

      for (uint32_t i = 0; i < ENGINES; i++)
        {
          LimpetTarget *target = &router->targets[i];

          target->vm = (LimpetVm){ .kind = LIMPET_VM_ENGINE, .slots = SLOTS };
          g_strlcpy (target->vm.group, "m", sizeof target->vm.group);
          target->id_hash = target->route_hash = (i + 1) * 2654435761u;
          target->own_weight = target->peers_weight = LIMPET_WEIGHT_FULL;
          target->reported_inflight = -1;
          router->pointers[i] = target;
        }
      router->view = (LimpetTargetView){ .targets = router->pointers, .count = ENGINES };
      router->popularity = limpet_popularity_new ();
    }
}

static void
free_pool (Pool *pool)
{
  for (uint32_t i = 0; i < ENGINES; i++)
    g_array_free (pool->engines[i].calls, TRUE);
  for (uint32_t r = 0; r < ROUTERS; r++)
    limpet_popularity_delete (pool->routers[r].popularity);
  g_rand_free (pool->random);
  g_free (pool->routers);
}

/* Records a load report of a target, unless it is no newer than the last one. */
static void
update_load (LimpetTarget *target, int32_t inflight, LimpetMs at_ms)
{
  if (at_ms <= target->report.at_ms)
    return;
  target->report.at_ms = at_ms;
  target->report.inflight = inflight;
  target->peers_inflight = MAX (0, inflight - target->own_inflight);
}

/* Ends the completed calls of an engine, and starts queued calls in free slots. */
static void
run_engine (Pool *pool, uint32_t index, LimpetMs now_ms)
{
  Engine *engine = &pool->engines[index];

  for (guint i = 0; i < engine->calls->len;)
    {
      Call *call = &g_array_index (engine->calls, Call, i);
      LimpetTarget *target = &pool->routers[call->router].targets[index];

      if (call->end_ms > 0 && call->end_ms <= now_ms)
        {
          target->own_inflight--;
          pool->inflight--;
          g_array_remove_index (engine->calls, i);
          continue;
        }
      if (call->end_ms == 0 && i < SLOTS)
        {
          call->end_ms = now_ms + SERVICE_MS;
          update_load (target, (int32_t)engine->calls->len, now_ms);
        }
      i++;
    }
}

static void
send_call (Pool *pool, LimpetMs now_ms)
{
  uint32_t r = (uint32_t)g_rand_int_range (pool->random, 0, ROUTERS);
  Router *router = &pool->routers[r];
  bool is_popular = now_ms >= POPULAR_FROM_MS
                    && g_rand_int_range (pool->random, 0, 100) < POPULAR_PERCENT;
  uint64_t context = is_popular ? POPULAR_CONTEXT
                                : (uint64_t)g_rand_int_range (pool->random, 2, CONTEXTS);
  LimpetPolicyRequest request = {
    .group = "m",
    .kind = LIMPET_VM_ENGINE,
    .key_hash = context * 0x9e3779b97f4a7c15ULL,
    .seed = g_rand_int (pool->random),
    .usable_slots_percent = 100,
    .own_slot_share = 1,
    .load_limit = LOAD_LIMIT_MEAN_FACTOR,
    .fleet = &fleet,
  };
  uint32_t second = (uint32_t)((now_ms - START_MS) / 1000);
  Call call = { .router = r };
  LimpetTarget *target;
  Engine *engine;

  limpet_popularity_record (router->popularity, context, now_ms);
  request.key_rate_per_s
      = limpet_popularity_rate (router->popularity, context, now_ms) * ROUTERS;
  target = limpet_policy_choose (limpet_policy_by_name ("homes"), &request, &router->view,
                                 now_ms);
  if (target == NULL)
    {
      pool->refused++;
      return;
    }
  engine = &pool->engines[target - router->targets];
  pool->sent[second]++;
  if (engine->calls->len
      > LOAD_LIMIT_MEAN_FACTOR * pool->inflight / ENGINES + LOAD_LIMIT_SLACK)
    pool->over_limit[second]++;
  target->own_inflight++;
  pool->inflight++;
  g_array_append_val (engine->calls, call);
}

/* Saves the current loads, and sends all routers those of GOSSIP_AGE_MS ago. */
static void
gossip_loads (Pool *pool, LimpetMs now_ms)
{
  LimpetMs reported_ms = now_ms - GOSSIP_AGE_MS;

  for (uint32_t i = 0; i < ENGINES; i++)
    {
      pool->engines[i].load_history[now_ms / GOSSIP_MS]
          = (int32_t)pool->engines[i].calls->len;
      if (reported_ms >= START_MS)
        for (uint32_t r = 0; r < ROUTERS; r++)
          update_load (&pool->routers[r].targets[i],
                       pool->engines[i].load_history[reported_ms / GOSSIP_MS],
                       reported_ms);
    }
}

/* Returns the percentage of calls sent to an engine over the load limit, in the window of
 * WINDOW_MS where it is highest. */
static double
worst_window_percent (const Pool *pool)
{
  double worst_percent = 0;

  for (uint32_t first = 0; first + WINDOW_MS / 1000 <= SIMULATED_SECONDS; first++)
    {
      uint32_t sent = 0;
      uint32_t over_limit = 0;

      for (uint32_t i = first; i < first + WINDOW_MS / 1000; i++)
        {
          sent += pool->sent[i];
          over_limit += pool->over_limit[i];
        }
      worst_percent = MAX (worst_percent, 100.0 * over_limit / MAX (1, sent));
    }
  return worst_percent;
}

/* Runs a simulation in which one context becomes popular; returns
 * worst_window_percent(). */
static double
simulate (guint32 seed)
{
  Pool pool;
  double worst_percent;

  make_pool (&pool, seed);
  for (LimpetMs now_ms = START_MS; now_ms < END_MS; now_ms += STEP_MS)
    {
      for (uint32_t i = 0; i < ENGINES; i++)
        run_engine (&pool, i, now_ms);
      for (int i = 0; i < CALLS_PER_S * STEP_MS / 1000; i++)
        send_call (&pool, now_ms);
      if (now_ms % GOSSIP_MS == 0)
        gossip_loads (&pool, now_ms);
    }
  worst_percent = worst_window_percent (&pool);
  printf ("seed=%u: calls over the load limit in the worst five seconds=%.1f %%\n", seed,
          worst_percent);
  CU_ASSERT_EQUAL (pool.refused, 0);
  free_pool (&pool);
  return worst_percent;
}

/* The users' rule LIMIT: in any five seconds, at most 3 of 100 calls may go to an engine
 * whose load is more than twice the mean plus three. If all calls of a popular
 * context went to one engine, all routers would fill it before they receive the first
 * report of its load. */
static void
test_the_load_limit_holds_when_a_context_becomes_popular (void)
{
  for (guint32 seed = 61; seed <= 64; seed++)
    CU_ASSERT_TRUE (simulate (seed) <= MAX_OVER_LIMIT_PERCENT);
}

void
add_stale_load_tests (void)
{
  CU_pSuite suite = CU_add_suite ("stale loads", NULL, NULL);

  CU_ADD_TEST (suite, test_the_load_limit_holds_when_a_context_becomes_popular);
}
