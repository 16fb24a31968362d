#include "simulated_fleet.h"

#include "limpetroad/log_era.h"

#include <glib.h>
#include <math.h>

/* Interval of limpet_quarantine_tick(). */
#define DATAGRAM_HEADER_BYTES 28 /* IP and UDP */

typedef struct
{
  uint32_t from;
  uint32_t to;
  LimpetMs arrives_ms; /* 0 if it does not depend on the time */
  bool is_kept;        /* it was drawn that it is not lost */
  GBytes *bytes;
} Datagram;

Router routers[LARGEST_FLEET];
uint32_t router_count = ROUTERS;
static GQueue datagrams = G_QUEUE_INIT;
static GRand *loss_random;
static LimpetMs step_ms; /* simulated time of the step under way */
static const RouterClock exact_clock;
double loss_ratio;
double disorder_ratio;
LimpetMs newest_read_ms;
LimpetMs longest_without_read_ms;
uint32_t routers_deceived;
LimpetMs worst_deception_ms;
uint64_t sent_bytes;

LimpetMs
router_clock_ms (const Router *router, LimpetMs time_ms)
{
  return time_ms + router->clock.offset_ms
         + (LimpetMs)floor ((double)time_ms * router->clock.drift);
}

/* Returns the simulated time at which the router's clock shows clock_ms, to some ms if it
 * drifts. */
static LimpetMs
simulated_ms (const Router *router, LimpetMs clock_ms)
{
  LimpetMs time_ms = clock_ms - router->clock.offset_ms;

  return time_ms - (LimpetMs)floor ((double)time_ms * router->clock.drift);
}

static LimpetMs
draw_delay_ms (uint32_t address)
{
  LimpetMs delay_ms = 0;

  if (address < 1 || address > router_count)
    return 0;
  if (routers[address - 1].link_jitter_ms > 0)
    delay_ms = g_rand_int_range (loss_random, 0,
                                 (gint32)routers[address - 1].link_jitter_ms + 1);
  return delay_ms + routers[address - 1].link_delay_ms;
}

static void
send_datagram (void *user, uint32_t address, const uint8_t *data, size_t length)
{
  Datagram *datagram = g_new0 (Datagram, 1);
  uint32_t own_address = ((Router *)user)->address;
  LimpetMs delay_ms = draw_delay_ms (own_address) + draw_delay_ms (address);

  sent_bytes += length + DATAGRAM_HEADER_BYTES;
  datagram->from = own_address;
  datagram->to = address;
  datagram->arrives_ms = delay_ms > 0 ? step_ms + delay_ms : 0;
  datagram->bytes = g_bytes_new (data, length);
  g_queue_push_tail (&datagrams, datagram);
}

static int64_t
apply_batch (void *user, const LimpetGossipBatch *batch)
{
  Router *router = user;

  router->heard_end = batch->end_offset;
  if (batch->first_offset <= router->next_offset) /* no gap, as in platform/watch.c */
    router->next_offset = MAX (router->next_offset, batch->first_offset + batch->count);
  return router->next_offset;
}

static void
record_load (void *user, const LimpetGossipLoad *load)
{
  Router *router = user;

  router->load_reports++;
  if (load->target_hash == BUSY_TARGET)
    router->busy_reported_ms = simulated_ms (router, load->at_ms);
}

static void
record_limit (void *user, const LimpetGossipLimit *limit)
{
  Router *router = user;

  if (limit->is_of_refusals)
    router->refusal_limit = *limit;
  else
    router->limit = *limit;
}

static const LimpetGossipOps gossip_ops = { .send = send_datagram,
                                            .on_batch = apply_batch,
                                            .on_load = record_load,
                                            .on_limit = record_limit };

static void
receive_datagram (Router *router, const Datagram *datagram, LimpetMs now_ms)
{
  gsize length = 0;
  const uint8_t *data = g_bytes_get_data (datagram->bytes, &length);

  limpet_gossip_receive (router->gossip, datagram->from, data, length, router->drained_ms,
                         router_clock_ms (router, now_ms));
}

void
deliver (LimpetMs now_ms)
{
  for (guint count = datagrams.length; count > 0; count--)
    {
      bool is_early = count > 1 && g_rand_double (loss_random) < disorder_ratio;
      Datagram *datagram = g_queue_pop_nth (&datagrams, is_early ? 1 : 0);

      if (datagram->to >= 1 && datagram->to <= router_count
          && (datagram->is_kept || g_rand_double (loss_random) >= loss_ratio))
        {
          Router *router = &routers[datagram->to - 1];

          if (now_ms < MAX (router->stands_still_until_ms, datagram->arrives_ms))
            {
              datagram->is_kept = true;
              g_queue_push_tail (&datagrams, datagram);
              continue;
            }
          receive_datagram (router, datagram, now_ms);
          if (g_rand_double (loss_random) < disorder_ratio)
            receive_datagram (router, datagram, now_ms);
        }
      g_bytes_unref (datagram->bytes);
      g_free (datagram);
    }
  for (uint32_t i = 0; i < router_count; i++)
    if (now_ms >= routers[i].stands_still_until_ms)
      routers[i].drained_ms = router_clock_ms (&routers[i], now_ms);
}

void
deliver_all (LimpetMs now_ms)
{
  for (uint32_t i = 0; i < router_count; i++)
    routers[i].stands_still_until_ms = routers[i].link_delay_ms
        = routers[i].link_jitter_ms = 0;
  for (GList *link = datagrams.head; link != NULL; link = link->next)
    ((Datagram *)link->data)->arrives_ms = 0;
  disorder_ratio = 0;
  while (datagrams.length > 0)
    deliver (now_ms);
}

static const LimpetQuarantineOps quarantine_ops = { .on_quarantined = NULL };

static void
start_router (uint32_t index, uint32_t seed, const RouterClock *clock)
{
  Router *router = &routers[index];

  *router = (Router){ .address = index + 1, .clock = *clock };
  router->drained_ms = router_clock_ms (router, 0);
  router->gossip = limpet_gossip_new (&gossip_ops, router, index + 1, seed + index);
  router->quarantine = limpet_quarantine_new (&quarantine_ops, NULL, seed + index);
  limpet_gossip_set_quarantine (router->gossip, router->quarantine);
  router->origins = limpet_stream_origins_new ();
  limpet_gossip_set_stream_origins (router->gossip, router->origins);
}

void
start_routers (uint32_t seed)
{
  start_routers_with_clocks (seed, NULL);
}

void
start_routers_with_clocks (uint32_t seed, const RouterClock *clocks)
{
  loss_random = g_rand_new_with_seed (seed);
  loss_ratio = 0;
  disorder_ratio = 0;
  newest_read_ms = 0;
  longest_without_read_ms = 0;
  sent_bytes = 0;
  for (uint32_t i = 0; i < router_count; i++)
    start_router (i, seed, clocks == NULL ? &exact_clock : &clocks[i]);
  for (uint32_t i = 1; i < router_count; i++) /* all find router 1 in the registry */
    limpet_gossip_add_member (routers[i].gossip, 1, router_clock_ms (&routers[i], 1));
}

/* Replaces a router by one with the clock. */
static void
replace_router (uint32_t index, uint32_t seed, const RouterClock *clock, LimpetMs now_ms)
{
  Router *router = &routers[index];
  LimpetMs jitter_ms = router->link_jitter_ms;

  limpet_gossip_delete (router->gossip);
  limpet_quarantine_delete (router->quarantine);
  limpet_stream_origins_delete (router->origins);
  start_router (index, seed, clock);
  router->link_jitter_ms = jitter_ms;
  limpet_gossip_add_member (router->gossip, index == 0 ? 2 : 1,
                            router_clock_ms (router, now_ms));
}

void
restart_router (uint32_t index, uint32_t seed, LimpetMs now_ms)
{
  RouterClock clock = routers[index].clock;

  replace_router (index, seed, &clock, now_ms);
}

void
reboot_router (uint32_t index, uint32_t seed, LimpetMs now_ms)
{
  RouterClock clock = { .offset_ms = BOOT_MS - now_ms };

  replace_router (index, seed, &clock, now_ms);
}

void
stop_routers (void)
{
  deliver_all (0);
  for (uint32_t i = 0; i < router_count; i++)
    {
      limpet_gossip_delete (routers[i].gossip);
      limpet_quarantine_delete (routers[i].quarantine);
      limpet_stream_origins_delete (routers[i].origins);
    }
  g_rand_free (loss_random);
}

/* Compares what a router believes with the newest read, by the pace of its own clock. One
 * that knows of no read believes nothing: the age is then that of the boot. */
static void
judge_belief (const Router *router, LimpetMs age_ms, LimpetMs now_ms)
{
  LimpetMs true_age_ms
      = router_clock_ms (router, now_ms) - router_clock_ms (router, newest_read_ms);

  if (age_ms >= true_age_ms || age_ms == router_clock_ms (router, now_ms))
    return;
  routers_deceived++;
  worst_deception_ms = MAX (worst_deception_ms, true_age_ms - age_ms);
}

uint32_t
run_fleet (LimpetMs from_ms, LimpetMs until_ms, const int64_t *end, LimpetMs *max_age_ms)
{
  uint32_t reads = 0;

  for (LimpetMs now_ms = from_ms; now_ms < until_ms; now_ms += STEP_MS)
    {
      step_ms = now_ms;
      longest_without_read_ms = MAX (longest_without_read_ms, now_ms - newest_read_ms);
      deliver (now_ms);
      for (uint32_t i = 0; i < router_count; i++)
        {
          Router *router = &routers[i];
          LimpetMs clock_ms = router_clock_ms (router, now_ms);
          LimpetGossipRecord records[64];
          LimpetMs age_ms;
          LimpetGossipBatch batch = { .topic = STORE_TOPIC,
                                      .first_offset = router->next_offset,
                                      .records = records,
                                      .end_offset = *end,
                                      .read_ms = clock_ms };

          if (now_ms < router->stands_still_until_ms)
            continue;
          if (now_ms % TICK_MS == 0)
            limpet_quarantine_tick (router->quarantine, clock_ms);
          limpet_gossip_tick (router->gossip, clock_ms);
          age_ms = limpet_gossip_topic_age_ms (router->gossip, STORE_TOPIC, clock_ms);
          judge_belief (router, age_ms, now_ms);
          if (max_age_ms != NULL && router->stands_still_until_ms == 0)
            *max_age_ms = MAX (*max_age_ms, age_ms);
          if (limpet_gossip_next_read_ms (router->gossip, STORE_TOPIC, clock_ms) > 0)
            continue;
          /* Of another era, a router reads a snapshot. */
          if (limpet_log_position_era (*end)
              != limpet_log_position_era (router->next_offset))
            router->next_offset = batch.first_offset = *end;
          for (; batch.count < MIN (64, *end - router->next_offset); batch.count++)
            records[batch.count]
                = (LimpetGossipRecord){ .bytes = (const uint8_t *)"record", .length = 6 };
          router->next_offset += batch.count;
          reads++;
          newest_read_ms = now_ms;
          limpet_gossip_publish_read (router->gossip, &batch, clock_ms);
        }
    }
  return reads;
}

void
report_all_loads (LimpetMs now_ms)
{
  for (uint32_t i = 0; i < router_count; i++)
    for (uint32_t engine = 0; engine < 2; engine++)
      {
        LimpetGossipLoad load
            = { .target_hash = 1000000007u * ((i * 2 + engine + 1) % 112 + 1),
                .inflight = 9,
                .at_ms = router_clock_ms (&routers[i], now_ms) };

        limpet_gossip_publish_load (routers[i].gossip, &load);
      }
}

uint32_t
count_outdated (int64_t end)
{
  uint32_t outdated = 0;

  for (uint32_t i = 0; i < router_count; i++)
    outdated += routers[i].next_offset < end;
  return outdated;
}
