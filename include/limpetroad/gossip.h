#ifndef LIMPETROAD_GOSSIP_H
#define LIMPETROAD_GOSSIP_H

#include "limpetroad/quarantine.h"
#include "limpetroad/stream_origins.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup gossip Gossip between routers
 *  Spreads what one router has read from a log or received from a target, so that few
 *  routers have to read from the source.
 *
 *  limpet_gossip_new() → limpet_gossip_add_member() for routers found in a registry →
 *  limpet_gossip_receive() with each datagram, limpet_gossip_publish_read() after each
 *  read of a topic, limpet_gossip_publish_load() with each load report,
 *  limpet_gossip_tick() every 100 ms → limpet_gossip_leave() → limpet_gossip_delete().
 *  Opens no sockets, starts no threads, and is not thread-safe.
 *
 *  A router pushes the records that it read to a few routers, which push them on (gossip
 *  with a fan-out of ln N + 2, which reaches nearly all routers; see docs/PLATFORM.md).
 *  A router that lacks earlier records pushes them on as well, and its digests show the
 *  latest end that it knows of.
 *
 *  Routers need not agree on which of them reads: each message carries the age of the
 *  read that it stems from, and a router whose state is too old reads the topic itself
 *  (limpet_gossip_next_read_ms()). A message also names the reader and the time on its
 *  clock, so that a read seems no newer when a message takes long. In addition, each
 * router regularly sends digests to random routers: the end and age of its topics, load
 * reports, and some of the routers that it knows.
 *
 *  \p now_ms is always the boot clock (limpet_clock_boot_ms()).
 */
typedef struct LimpetGossip LimpetGossip;

/** Number of log topics that routers follow. */
#define LIMPET_GOSSIP_TOPICS 2
/** Most loads in one message, at seven bytes each. With two digests every 200 ms a router
 *  stays below 4 KB/s, the limit that the users set for control traffic (letter 1). */
#define LIMPET_GOSSIP_MAX_LOADS 40

/** One record of a topic. */
typedef struct
{
  const uint8_t *bytes;
  size_t length;
} LimpetGossipRecord;

/** Consecutive records of a topic, and the end of the topic when it was read. Offsets are
 *  positions (see limpetroad/log_era.h): those of a later era count as later. */
typedef struct
{
  uint32_t topic;
  int64_t first_offset; /**< of the first of the records */
  const LimpetGossipRecord *records;
  uint32_t count;
  int64_t end_offset; /**< after the last record of the topic */
  LimpetMs read_ms;   /**< boot clock when the read began */
  uint32_t sender;    /**< router that has all records of the topic; 0 if none is known */
} LimpetGossipBatch;

/** Load that a target reported to some router. */
typedef struct
{
  uint32_t target_hash;
  int32_t inflight; /**< requests in flight on the target */
  LimpetMs at_ms;   /**< time of the report, by the boot clock of this machine */
} LimpetGossipLoad;

/** Rate limit that a target named to some router, or its end. */
typedef struct
{
  uint32_t target_hash;
  /** The target is brittle: per_s are the refusals that each target of its service bears,
   *  and target_hash is LimpetTarget.group_hash. */
  bool is_of_refusals;
  bool is_set;    /**< false if the target no longer names a limit */
  double per_s;   /**< requests per second from all routers together */
  LimpetMs at_ms; /**< time of the response, by the boot clock of this machine */
} LimpetGossipLimit;

/** Callbacks, called from within the functions below. Their arguments are valid during
 *  the call only. */
typedef struct
{
  /** Sends a datagram to the router at an IPv4 address (network byte order). */
  void (*send) (void *user, uint32_t address, const uint8_t *data, size_t length);
  /** Delivers a batch that another router read. Returns the offset up to which this
   *  router now has all records of the topic. */
  int64_t (*on_batch) (void *user, const LimpetGossipBatch *batch);
  /** Delivers a load report that another router received. */
  void (*on_load) (void *user, const LimpetGossipLoad *load);
  /** Delivers a rate limit of either kind, or its end, that another router received. */
  void (*on_limit) (void *user, const LimpetGossipLimit *limit);
  /** A target has said to another router that it is leaving. May be NULL. */
  void (*on_leaving) (void *user, uint32_t target_hash);
  /** A target wants no requests from this router for \p rest_ms. May be NULL. */
  void (*on_rest) (void *user, uint32_t target_hash, LimpetMs rest_ms);
  /** Origins of streams have been added. May be NULL. */
  void (*on_stream_origins) (void *user);
} LimpetGossipOps;

/** Returns the gossip state of the router at \p own_address (IPv4, network byte order).
 *  \p ops is borrowed. \p seed has to differ between routers, so that they draw different
 *  random delays and receivers. */
LimpetGossip *limpet_gossip_new (const LimpetGossipOps *ops,
                                 void *user,
                                 uint32_t own_address,
                                 uint64_t seed);
void limpet_gossip_delete (LimpetGossip *gossip);

/** Sets the time within which every router has to know a new record of a topic; the
 *  default is 2,000 ms. A read counts as recent for a part of this time. */
void limpet_gossip_set_max_staleness (LimpetGossip *gossip, LimpetMs max_staleness_ms);

/** Sets the quarantine whose records are exchanged with the other routers. It is
 * borrowed, and its tick must be called separately. */
void limpet_gossip_set_quarantine (LimpetGossip *gossip, LimpetQuarantine *quarantine);

/** Sets the origins of streams that are exchanged with the other routers; borrowed. */
void limpet_gossip_set_stream_origins (LimpetGossip *gossip,
                                       LimpetStreamOrigins *origins);
/** Asks all other routers for the origins of \p count streams. Answers are added to the
 *  origins; a router that knows nothing does not answer. */
void limpet_gossip_query_streams (LimpetGossip *gossip, uint64_t *ids, uint32_t count);

/** Sets the availability zone of this router, as a hash of its name. Routers in the same
 *  one are preferred by limpet_gossip_pick_router(). */
void limpet_gossip_set_zone (LimpetGossip *gossip, uint32_t zone);
/** Sends a message to the router at \p address, by which it knows this one. */
void limpet_gossip_greet (LimpetGossip *gossip, uint32_t address);

/** Adds a router found in a registry and sends it a request for a digest. */
void limpet_gossip_add_member (LimpetGossip *gossip, uint32_t address, LimpetMs now_ms);
/** Processes a datagram from the router at \p sender, which came after \p earliest_ms.
 *  The ages of reads are taken as those at that time, so that none is believed to be
 *  newer than it is if this router stood still. A malformed datagram is dropped and
 *  counted. */
void limpet_gossip_receive (LimpetGossip *gossip,
                            uint32_t sender,
                            const uint8_t *data,
                            size_t length,
                            LimpetMs earliest_ms,
                            LimpetMs now_ms);

/** Sends a batch that this router read from the log, or has got from a router that did,
 * to a few other routers. */
void limpet_gossip_publish_read (LimpetGossip *gossip,
                                 const LimpetGossipBatch *batch,
                                 LimpetMs now_ms);
/** Returns the time in ms until this router should read the topic itself; 0 if it should
 *  read it now. */
LimpetMs
limpet_gossip_next_read_ms (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms);
/** Returns a random delay before this router reads records itself that another router has
 *  and passes on. Of many routers few draw a short one. */
LimpetMs limpet_gossip_draw_behind_delay_ms (LimpetGossip *gossip);
/** Returns the time in ms since the newest known read of a topic by any router, or since
 *  the machine booted if no read is known. */
LimpetMs
limpet_gossip_topic_age_ms (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms);

/** Returns whether this router would have learned of a new record of a topic: some router
 *  has read the topic lately, this one has not stood still since, and it hears from the
 *  others unless it is alone. */
bool
limpet_gossip_is_current (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms);

/** Records a load report that this router received, to be sent with the next digests. */
void limpet_gossip_publish_load (LimpetGossip *gossip, const LimpetGossipLoad *load);

/** Records the rate limit in a response that this router received. If it has changed, it
 *  is sent to other routers with the next tick, or at once if it is one of refusals. The
 * end of an unknown limit is ignored.
 */
void limpet_gossip_publish_limit (LimpetGossip *gossip, const LimpetGossipLimit *limit);

/** Sends at once to a few routers that a target has said that it is leaving. Each router
 *  that learns of it does the same. */
void limpet_gossip_publish_leaving (LimpetGossip *gossip, uint32_t target_hash);

/** Tells the router at \p address, which relayed a request of this one, for how long the
 *  target wants no requests from it. */
void limpet_gossip_send_rest (LimpetGossip *gossip,
                              uint32_t address,
                              uint32_t target_hash,
                              LimpetMs rest_ms);

/** Sets what digests say: whether this router relays connections to targets for routers
 *  that do not reach these. */
void limpet_gossip_set_relays (LimpetGossip *gossip, bool relays);
/** Returns the address of a random router that relays connections; 0 if none is known. */
uint32_t limpet_gossip_pick_relay (LimpetGossip *gossip, LimpetMs now_ms);
/** Records that a router failed to relay a connection, so that others are picked for some
 *  time. */
void limpet_gossip_record_relay_failure (LimpetGossip *gossip,
                                         uint32_t address,
                                         LimpetMs now_ms);
/** Returns the address of a random router that has sent a message to this one, usually of
 * one in the same availability zone; 0 if none is known. */
uint32_t limpet_gossip_pick_router (LimpetGossip *gossip);
/** Returns whether a known router at \p address has sent a message to this one. */
bool limpet_gossip_is_router (const LimpetGossip *gossip, uint32_t address);

/** Sends digests if they are due, and removes routers that stopped sending messages. */
void limpet_gossip_tick (LimpetGossip *gossip, LimpetMs now_ms);
/** Notifies all known routers that this one stops. */
void limpet_gossip_leave (LimpetGossip *gossip);

/** Sets the GArray of uint32_t \p addresses to the known routers, this one first. */
void limpet_gossip_get_routers (const LimpetGossip *gossip, GArray *addresses);
/** Returns the number of known routers, this one included. */
uint32_t limpet_gossip_router_count (const LimpetGossip *gossip);
/** Returns the number of routers that read the topics for each other, this one included:
 *  the known ones or, if few of these run or this router is cut off from them, 1. Routers
 *  stay known for a while after they have stopped without notice. */
uint32_t limpet_gossip_reader_count (const LimpetGossip *gossip, LimpetMs now_ms);
/** Returns the number of other known routers that have sent a message to this one. */
uint32_t limpet_gossip_responding_count (const LimpetGossip *gossip);

#endif
