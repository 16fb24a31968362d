#ifndef TEST_LIBLIMPETROAD_SIMULATED_FLEET_H
#define TEST_LIBLIMPETROAD_SIMULATED_FLEET_H

#include "limpetroad/gossip.h"

/* Routers that exchange gossip in simulated time, with lost datagrams. Each has a clock
 * of its own; all times below are simulated ones.
 *
 * start_routers() → run_fleet() → … → stop_routers(). */

/* Number of simulated routers. */
#define ROUTERS 73
#define TICK_MS 100 /* of the periodic work of routers */
#define LARGEST_FLEET 295
/* Step of the simulated time; datagrams arrive one step after they are sent. */
#define STEP_MS 10
/* The topic that routers read from the store. */
#define STORE_TOPIC 1
/* Hash of the target whose load reports are recorded in Router.busy_reported_ms. */
#define BUSY_TARGET 4242

/* What the clock of a VM shows that has just booted. */
#define BOOT_MS 700

/* A boot clock: the simulated time, and this beside it. */
typedef struct
{
  LimpetMs offset_ms;
  double drift; /* ms for each ms of the simulated time */
} RouterClock;

typedef struct
{
  LimpetGossip *gossip;
  LimpetQuarantine *quarantine;
  LimpetStreamOrigins *origins;
  int64_t next_offset; /* offset after the last record that it has */
  int64_t heard_end;   /* end of the topic in the last batch */
  uint32_t address;
  LimpetGossipLimit limit;         /* last one of requests received */
  LimpetGossipLimit refusal_limit; /* the same of refusals */
  uint32_t load_reports;           /* number of load reports received */
  LimpetMs stands_still_until_ms;  /* it does nothing before; 0 if it never stood still */
  LimpetMs link_delay_ms;          /* of each datagram to and from it, beside a step */
  LimpetMs link_jitter_ms;         /* up to this beside it, drawn for each datagram */
  LimpetMs drained_ms;             /* when no datagram waited any more, by its clock */
  RouterClock clock;
  LimpetMs busy_reported_ms; /* time of the last received report of BUSY_TARGET */
} Router;

extern Router routers[LARGEST_FLEET];
/* ROUTERS unless a test sets it while none run. */
extern uint32_t router_count;
/* Probability with which each datagram is delivered before an earlier one, and with which
 * it is delivered twice. */
extern double disorder_ratio;
/* Time of the last read of the topic by any router. */
extern LimpetMs newest_read_ms;
/* The longest time between two of them. */
extern LimpetMs longest_without_read_ms;
/* How often a router, at a step of run_fleet(), believed a read newer than the newest
 * one, and by how much at most. */
extern uint32_t routers_deceived;
extern LimpetMs worst_deception_ms;
/* Probability with which each datagram is lost. */
extern double loss_ratio;
/* By all routers, including IP and UDP headers. */
extern uint64_t sent_bytes;

void start_routers (uint32_t seed);
/* The same, with one clock for each router. */
void start_routers_with_clocks (uint32_t seed, const RouterClock *clocks);
/* Returns what the router's clock shows at a simulated time. */
LimpetMs router_clock_ms (const Router *router, LimpetMs time_ms);
void stop_routers (void);
/* Delivers the datagrams under way, and drops each with the probability loss_ratio.
 * Datagrams that routers send in response stay queued. */
void deliver (LimpetMs now_ms);
/* Delivers the datagrams under way and those that routers send in response. */
void deliver_all (LimpetMs now_ms);
/* Replaces a router by one that knows nothing but the address of another router. */
void restart_router (uint32_t index, uint32_t seed, LimpetMs now_ms);
/* The same, after a reboot of its VM: the clock begins anew. */
void reboot_router (uint32_t index, uint32_t seed, LimpetMs now_ms);
/* Simulates the routers from from_ms to until_ms, while the store has the records of the
 * topic before offset *end. Returns the number of their reads. If max_age_ms is not NULL,
 * raises *max_age_ms to the highest limpet_gossip_topic_age_ms() of any router. */
uint32_t
run_fleet (LimpetMs from_ms, LimpetMs until_ms, const int64_t *end, LimpetMs *max_age_ms);
/* Each router reports the loads of two engines; together they report those of 112. */
void report_all_loads (LimpetMs now_ms);
/* Returns the number of routers that lack records before offset end. */
uint32_t count_outdated (int64_t end);

#endif
