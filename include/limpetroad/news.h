#ifndef LIMPETROAD_NEWS_H
#define LIMPETROAD_NEWS_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup news News between routers
 *  Spreads what one router has read or heard, so that few have to ask at the source.
 *
 *  limpet_news_new() → limpet_news_add_member() for routers found in a registry →
 *  limpet_news_take() with each datagram, limpet_news_topic_read() after each read of a
 *  topic, limpet_news_note_load() with each report of a load, limpet_news_tick() every
 *  100 ms → limpet_news_delete(). No sockets and no threads.
 *
 *  A read is pushed to a few routers, which push it on (gossip with a fan-out of
 *  ln N + 2, so that nearly all hear it; see docs/DESIGN.md). Nothing has to be agreed:
 *  news carries the age of the read it stems from, and a router whose news is too old
 *  reads for itself (limpet_news_topic_due_ms()).
 */
typedef struct LimpetNews LimpetNews;

/** Topics of a log that routers follow. */
#define LIMPET_NEWS_TOPICS 2
/** Loads in one message, seven bytes each: with two digests each 200 ms a router sends
 *  under the 4 KB/s that letter 1 gives it for control. */
#define LIMPET_NEWS_MAX_LOADS 40

/** One record of a topic. */
typedef struct
{
  const uint8_t *bytes;
  size_t length;
} LimpetNewsRecord;

/** Some records of a topic, and where the topic ended when it was read. */
typedef struct
{
  uint32_t topic;
  int64_t from; /**< offset of the first record */
  const LimpetNewsRecord *records;
  uint32_t count;
  int64_t end;    /**< offset after the last record of the topic */
  LimpetMs at_ms; /**< boot clock when the read began; of own reads */
} LimpetNewsBatch;

/** Load of a target, as it told somebody. */
typedef struct
{
  uint32_t target_hash;
  int32_t inflight;
  LimpetMs at_ms; /**< boot clock of this machine */
} LimpetNewsLoad;

typedef struct
{
  /** Sends a datagram to the router at an IPv4 address (network order). */
  void (*send) (void *user, uint32_t address, const uint8_t *data, size_t length);
  /** Another router read \p batch. Returns the offset up to which it is known here. */
  int64_t (*on_batch) (void *user, const LimpetNewsBatch *batch);
  /** Another router heard of a load. */
  void (*on_load) (void *user, const LimpetNewsLoad *load);
} LimpetNewsOps;

/** Returns news for the router at \p own_address; \p seed differs between routers. */
LimpetNews *limpet_news_new (const LimpetNewsOps *ops,
                             void *user,
                             uint32_t own_address,
                             uint64_t seed);
void limpet_news_delete (LimpetNews *news);

/** Sets the time within which what a topic says has to be known to every router; 2,000 ms
 *  unless set. News live for a part of it. */
void limpet_news_set_bound (LimpetNews *news, LimpetMs bound_ms);

/** A registry names a router. It is asked for news. */
void limpet_news_add_member (LimpetNews *news, uint32_t address, LimpetMs now_ms);
/** Takes a datagram of another router; what cannot be read is dropped and counted. */
void limpet_news_take (LimpetNews *news,
                       uint32_t sender,
                       const uint8_t *data,
                       size_t length,
                       LimpetMs now_ms);

/** This router has read a topic itself: spreads the batch. */
void
limpet_news_topic_read (LimpetNews *news, const LimpetNewsBatch *batch, LimpetMs now_ms);
/** Returns the time until this router should read the topic itself, 0 for now. */
LimpetMs
limpet_news_topic_due_ms (const LimpetNews *news, uint32_t topic, LimpetMs now_ms);
/** Returns the age of what is known of a topic. */
LimpetMs
limpet_news_topic_age_ms (const LimpetNews *news, uint32_t topic, LimpetMs now_ms);

/** This router heard of a load itself. */
void limpet_news_note_load (LimpetNews *news, const LimpetNewsLoad *load);

/** Sends what is due, and forgets routers that are silent. */
void limpet_news_tick (LimpetNews *news, LimpetMs now_ms);
/** Tells the others that this router stops. */
void limpet_news_leave (LimpetNews *news);

/** Returns the routers that were heard of lately, this one included. */
uint32_t limpet_news_routers (const LimpetNews *news);
/** Returns the routers that answered lately. */
uint32_t limpet_news_heard (const LimpetNews *news);

#endif
