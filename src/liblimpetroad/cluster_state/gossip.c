#include "limpetroad/gossip.h"

#include "limpetroad/backoff.h"
#include "limpetroad/counters.h"
#include "limpetroad/limits.h"
#include "limpetroad/log_era.h"
#include "limpetroad/logger.h"
#include "private/gossip.pb-c.h"
#include "private/gossip_clocks.h"
#include "private/gossip_limits.h"
#include "private/gossip_loads.h"
#include "private/gossip_members.h"
#include "private/gossip_streams.h"
#include "private/gossip_suspects.h"

#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <string.h>
#include <xxhash.h>

/* Parts of the maximum staleness. A read of a topic counts as recent for READ_LIFE_RATIO.
 * A router that knows of no later read then reads the topic itself, after a random delay
 * of up to READ_DELAY_RATIO. The rest covers the read itself, some hops and one lost
 * datagram. */
#define READ_LIFE_RATIO 0.35
#define READ_DELAY_RATIO 0.25
/* A router that knows that it lacks records, which others pass on, reads them itself
 * after a random delay of up to this part. */
#define BEHIND_DELAY_RATIO 0.125
/* Of many routers, about this number read a topic when it is due. If they fail, the
 * others follow, about one in FLEET_READ_INTERVAL_MS: the number of reads in an outage
 * does not grow with the fleet. */
#define EARLY_READERS 12
#define FLEET_READ_INTERVAL_MS 100
#define DEFAULT_MAX_STALENESS_MS 2000
/* A read without new records is forwarded only if it is more recent, by at least this
 * time, than the last read that this router knew of. */
#define MIN_FORWARD_AGE_GAIN_MS 150
/* A router whose newest known read is older, as a part of the maximum staleness, may have
 * missed records. Without lost datagrams the age stays below READ_LIFE_RATIO +
 * READ_DELAY_RATIO. */
#define MAX_CURRENT_AGE_RATIO 0.75
/* Neither is a router current that has heard nothing from others for this time, three
 * digest periods, nor one whose last tick was that long ago: it stood still. */
#define MAX_SILENCE_MS 600
/* Datagrams that waited in the socket while this router stood still have all been
 * received this long after. The ages in them are too low. */
#define QUEUED_DATAGRAMS_MS 100
#define DIGEST_PERIOD_MS 200
#define DIGEST_FANOUT 2
#define MAX_DIGEST_MEMBERS 6
/* While all routers run that a router knows, it gets about ten digests in this time. If
 * it gets fewer than MIN_DIGESTS, most do not run, or it is cut off from them. */
#define DIGEST_CHECK_MS (5 * DIGEST_PERIOD_MS)
#define MIN_DIGESTS 4
/* Digests come at random: of routers that all run, about one in a hundred gets so few
 * within DIGEST_CHECK_MS, and next to none within this time. */
#define LONG_DIGEST_CHECK_MS (2 * DIGEST_CHECK_MS)
/* Rate limits in a regular digest, and the number of loads that take as many bytes as one
 * of them. */
#define MAX_DIGEST_LIMITS 6
#define LOADS_PER_LIMIT 4
/* Suspects in a regular digest, and the number of loads that take as many bytes
 * as one of them. */
#define MAX_DIGEST_SUSPECTS 1
#define LOADS_PER_SUSPECT 8
/* Number of loads that take as many bytes as what identifies a read in a digest. */
#define LOADS_PER_READ 2
/* A load with the hash of its target. */
#define LOAD_BYTES (LIMPET_GOSSIP_LOAD_BYTES + 4)
/* Limit for the records of one message, which keeps it within one packet. */
#define MAX_BATCH_BYTES 1100
/* Limit for the number of records in one message. A topic with more records is ignored.
 */
#define MAX_RECORDS 64
/* For this time, all messages of a router with the same topic and end go to the same
 * receivers; later ones go to others. */
#define RECEIVER_ROTATION_MS 1000
/* A datagram that may have waited longer in the socket does not count for the clocks of
 * other routers. */
#define MAX_CLOCK_WAIT_MS 200
/* Times on the clocks of other routers are below this limit, some 2,000 years. */
#define MAX_CLOCK_MS (INT64_C (1) << 46)
/* Positions only rise, so of two reads the later one cannot show an earlier end. Reads
 * that began within this time may have been served in the other order. */
#define READ_OVERLAP_MS 2000

/* A read of a topic by some router. */
typedef struct
{
  uint32_t reader;     /* start of the router that made it; 0 for one of an older build */
  LimpetMs read_at_ms; /* on the reader's clock */
  LimpetMs read_ms;    /* earliest time by the boot clock of this router; 0 for no read */
  LimpetMs latest_ms;  /* latest time by that clock */
} Read;

typedef struct
{
  int64_t end;             /* position up to which this router has the records */
  Read read;               /* the newest known one */
  LimpetMs delay_ms;       /* random delay before this router reads the topic itself */
  LimpetMs extra_delay_ms; /* the same beside that, if most other routers run */
  int64_t announced_end;   /* latest end that another router read */
  Read announced_read;     /* the newest read that showed it */
} Topic;

struct LimpetGossip
{
  const LimpetGossipOps *ops;
  void *user;
  uint32_t own_address;
  uint64_t seed;   /* of the reader */
  uint32_t reader; /* identifies this start of the router and of its clock */
  uint32_t zone;   /* 0 if it is not known */
  LimpetMs max_staleness_ms;
  GRand *random;
  LimpetGossipMembers *members;
  LimpetGossipLoads *loads;
  LimpetGossipLimits *limits;
  LimpetGossipClocks *clocks;
  LimpetQuarantine *quarantine; /* borrowed; NULL if there is none */
  LimpetStreamOrigins *origins; /* borrowed; NULL if there are none */
  Topic topics[LIMPET_GOSSIP_TOPICS];
  LimpetMs last_digest_ms;          /* when digests were last sent */
  LimpetMs last_tick_ms;            /* 0 before the first */
  LimpetMs heard_ms;                /* when the last message came; 0 for none */
  LimpetMs digests_ms[MIN_DIGESTS]; /* when the last digests came */
  uint32_t digests;                 /* number that came by this clock */
  /* When this router last went on after it had stood still, and the datagrams that had
   * waited meanwhile were received; 0 for never. */
  LimpetMs resumed_ms;
  bool relays; /* this router relays connections */
};

/* Draws when this router reads a topic itself if no other one has. */
static void
draw_read_delays (LimpetGossip *gossip, Topic *topic)
{
  uint32_t routers = limpet_gossip_router_count (gossip);
  double max_delay_ms = READ_DELAY_RATIO * (double)gossip->max_staleness_ms;
  bool is_early = g_rand_double (gossip->random) * routers < EARLY_READERS;

  topic->delay_ms = limpet_backoff_first_of_many (
      max_delay_ms, MIN (routers, EARLY_READERS), g_rand_double (gossip->random));
  topic->extra_delay_ms = is_early ? 0
                                   : (LimpetMs)(g_rand_double (gossip->random) * routers
                                                * FLEET_READ_INTERVAL_MS);
}

LimpetMs
limpet_gossip_draw_behind_delay_ms (LimpetGossip *gossip)
{
  return limpet_backoff_first_of_many (
      BEHIND_DELAY_RATIO * (double)gossip->max_staleness_ms,
      limpet_gossip_router_count (gossip), g_rand_double (gossip->random));
}

static uint32_t
draw_reader (uint64_t seed, uint32_t own_address)
{
  return MAX (1, (uint32_t)XXH64 (&seed, sizeof seed, own_address));
}

LimpetGossip *
limpet_gossip_new (const LimpetGossipOps *ops,
                   void *user,
                   uint32_t own_address,
                   uint64_t seed)
{
  LimpetGossip *gossip = g_new0 (LimpetGossip, 1);
  guint32 seeds[2] = { (guint32)seed, (guint32)(seed >> 32) };

  gossip->ops = ops;
  gossip->user = user;
  gossip->own_address = own_address;
  gossip->seed = seed;
  gossip->reader = draw_reader (seed, own_address);
  gossip->max_staleness_ms = DEFAULT_MAX_STALENESS_MS;
  gossip->random = g_rand_new_with_seed_array (seeds, 2);
  gossip->members = limpet_gossip_members_new (own_address);
  gossip->loads = limpet_gossip_loads_new ();
  gossip->limits = limpet_gossip_limits_new (gossip->reader);
  gossip->clocks = limpet_gossip_clocks_new ();
  return gossip;
}

void
limpet_gossip_delete (LimpetGossip *gossip)
{
  if (gossip == NULL)
    return;
  g_rand_free (gossip->random);
  limpet_gossip_members_delete (gossip->members);
  limpet_gossip_loads_delete (gossip->loads);
  limpet_gossip_limits_delete (gossip->limits);
  limpet_gossip_clocks_delete (gossip->clocks);
  g_free (gossip);
}

void
limpet_gossip_set_max_staleness (LimpetGossip *gossip, LimpetMs max_staleness_ms)
{
  gossip->max_staleness_ms = max_staleness_ms;
}

void
limpet_gossip_set_zone (LimpetGossip *gossip, uint32_t zone)
{
  gossip->zone = zone;
}

void
limpet_gossip_set_quarantine (LimpetGossip *gossip, LimpetQuarantine *quarantine)
{
  gossip->quarantine = quarantine;
}

void
limpet_gossip_set_stream_origins (LimpetGossip *gossip, LimpetStreamOrigins *origins)
{
  gossip->origins = origins;
}

static void
send_message (LimpetGossip *gossip, GossipMessage *message, uint32_t address)
{
  size_t length;
  uint8_t *data;

  message->sender = gossip->own_address;
  message->zone = gossip->zone;
  length = gossip_message__get_packed_size (message);
  data = g_malloc (length);
  gossip_message__pack (message, data);
  limpet_counter_add (LIMPET_COUNTER_DIGESTS_SENT, 1);
  limpet_counter_add (LIMPET_COUNTER_PEER_SENT_BYTES, length);
  gossip->ops->send (gossip->user, address, data, length);
  g_free (data);
}

/* Sends a message to count random members. A selected member with the address except is
 * skipped and not replaced. */
static void
send_to_random_members (LimpetGossip *gossip,
                        GossipMessage *message,
                        uint32_t count,
                        uint32_t except)
{
  uint32_t remaining = limpet_gossip_members_count (gossip->members);

  for (uint32_t i = 0; remaining > 0 && count > 0; i++, remaining--)
    {
      uint32_t address = limpet_gossip_members_address (gossip->members, i);

      if ((uint32_t)g_rand_int_range (gossip->random, 0, (gint32)remaining) >= count)
        continue;
      count--;
      if (address != except)
        send_message (gossip, message, address);
    }
}

/* Returns the number of routers to which a batch is sent or forwarded. */
static uint32_t
push_fanout (const LimpetGossip *gossip)
{
  return (uint32_t)ceil (log (limpet_gossip_router_count (gossip))) + 2;
}

typedef struct
{
  uint32_t address;
  uint64_t rank; /* random; the members with the lowest ranks become receivers */
} Receiver;

static int
compare_ranks (const void *a, const void *b)
{
  uint64_t left = ((const Receiver *)a)->rank;
  uint64_t right = ((const Receiver *)b)->rank;

  return (left > right) - (left < right);
}

/* Selects random receivers, which stay the same for RECEIVER_ROTATION_MS. A batch may
 * take several messages, which arrive and are forwarded one by one, and a receiver can
 * use them only if it gets all of them. The caller frees the array. */
static GArray *
draw_receivers (const LimpetGossip *gossip,
                const LimpetGossipBatch *batch,
                LimpetMs now_ms,
                uint32_t except)
{
  GArray *receivers = g_array_new (FALSE, FALSE, sizeof (Receiver));
  int64_t seed_input[] = { batch->end_offset, now_ms / RECEIVER_ROTATION_MS };
  uint64_t seed = XXH64 (seed_input, sizeof seed_input,
                         (uint64_t)batch->topic << 32 | gossip->own_address);

  for (uint32_t i = 0; i < limpet_gossip_members_count (gossip->members); i++)
    {
      Receiver receiver
          = { .address = limpet_gossip_members_address (gossip->members, i) };

      if (receiver.address == except)
        continue;
      receiver.rank = XXH64 (&receiver.address, sizeof receiver.address, seed);
      g_array_append_val (receivers, receiver);
    }
  g_array_sort (receivers, compare_ranks);
  g_array_set_size (receivers, MIN (receivers->len, push_fanout (gossip)));
  return receivers;
}

static void
encode_end (int64_t end, TopicUpdate *update)
{
  update->era = limpet_log_position_era (end);
  update->end = limpet_log_position_offset (end);
}

static void
encode_read (const Read *read, LimpetMs now_ms, TopicUpdate *update)
{
  update->age_ms = (uint32_t)CLAMP (now_ms - read->read_ms, 0, UINT32_MAX);
  update->age_range_ms = (uint32_t)(read->latest_ms - read->read_ms);
  update->reader = read->reader;
  update->read_at_ms = read->read_at_ms;
}

/* Sends the records first to first + count - 1 of a batch to the receivers. */
static void
push_message (LimpetGossip *gossip,
              const LimpetGossipBatch *batch,
              const Read *read,
              uint32_t first,
              uint32_t count,
              LimpetMs now_ms,
              const GArray *receivers)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;
  TopicUpdate topic = TOPIC_UPDATE__INIT;
  TopicUpdate *topics[] = { &topic };
  ProtobufCBinaryData records[MAX_RECORDS];

  for (uint32_t i = 0; i < count; i++)
    records[i] = (ProtobufCBinaryData){
      .data = (uint8_t *)batch->records[first + i].bytes,
      .len = batch->records[first + i].length,
    };
  topic.topic = batch->topic;
  encode_end (batch->end_offset, &topic);
  encode_read (read, now_ms, &topic);
  topic.from = count > 0 ? limpet_log_position_offset (batch->first_offset) + first : 0;
  topic.records = records;
  topic.n_records = count;
  topic.holds_all = gossip->topics[batch->topic].end >= batch->end_offset;
  message.topics = topics;
  message.n_topics = 1;
  for (guint i = 0; i < receivers->len; i++)
    send_message (gossip, &message, g_array_index (receivers, Receiver, i).address);
}

/* Sends a batch to random receivers in messages that each fit into a packet. A record
 * that is too long for a message is left out; from the end of the topic in the messages
 * the receivers see that they lack it. */
static void
push_batch (LimpetGossip *gossip,
            const LimpetGossipBatch *batch,
            const Read *read,
            LimpetMs now_ms,
            uint32_t except)
{
  GArray *receivers = draw_receivers (gossip, batch, now_ms, except);
  uint32_t first = 0;

  do
    {
      uint32_t count = 0;
      size_t bytes = 0;

      while (first + count < batch->count && count < MAX_RECORDS
             && bytes + batch->records[first + count].length <= MAX_BATCH_BYTES)
        bytes += batch->records[first + count++].length;
      push_message (gossip, batch, read, first, count, now_ms, receivers);
      first += MAX (1, count);
    }
  while (first < batch->count);
  g_array_free (receivers, TRUE);
}

static bool
is_same_read (const Read *a, const Read *b)
{
  return a->reader != 0 && a->reader == b->reader && a->read_at_ms == b->read_at_ms;
}

/* Takes over what another message tells of the time of the same read. */
static void
merge_read (Read *known, const Read *read)
{
  known->latest_ms = MIN (known->latest_ms, read->latest_ms);
  known->read_ms = MIN (MAX (known->read_ms, read->read_ms), known->latest_ms);
}

/* Records a read of a topic, if no later one is known. */
static void
record_read (LimpetGossip *gossip, uint32_t topic, const Read *read)
{
  Topic *known = &gossip->topics[topic];
  LimpetMs gain_ms = read->read_ms - known->read.read_ms;

  if (is_same_read (read, &known->read))
    {
      merge_read (&known->read, read);
      return;
    }
  /* A read may be older than the start of the machine, from which the clock counts. */
  if (gain_ms <= 0 && known->read.read_ms != 0)
    return;
  known->read = *read;
  /* The age of one read differs by some ms between messages. */
  if (gain_ms >= MIN_FORWARD_AGE_GAIN_MS)
    draw_read_delays (gossip, known);
}

void
limpet_gossip_publish_read (LimpetGossip *gossip,
                            const LimpetGossipBatch *batch,
                            LimpetMs now_ms)
{
  Read read = { .reader = gossip->reader,
                .read_at_ms = batch->read_ms,
                .read_ms = batch->read_ms,
                .latest_ms = batch->read_ms };

  gossip->topics[batch->topic].end
      = MAX (gossip->topics[batch->topic].end, batch->end_offset);
  record_read (gossip, batch->topic, &read);
  push_batch (gossip, batch, &read, now_ms, 0);
}

/* Returns whether end, which a read at read_ms showed, is later than the known end and
 * is not contradicted by the newest known read, if there is one. */
static bool
is_later_end (const Topic *known, int64_t end, LimpetMs read_ms)
{
  return end > known->end
         && (known->read.read_ms == 0
             || read_ms + READ_OVERLAP_MS >= known->read.read_ms);
}

/* Returns whether MIN_DIGESTS have come within period_ms, so that many of the known
 * routers run. Other messages come in bursts, and prove less. */
static bool
gets_digests (const LimpetGossip *gossip, LimpetMs period_ms, LimpetMs now_ms)
{
  return gossip->digests >= MIN_DIGESTS
         && now_ms - gossip->digests_ms[gossip->digests % MIN_DIGESTS] <= period_ms;
}

static bool
hears_most_routers (const LimpetGossip *gossip, LimpetMs now_ms)
{
  return now_ms - gossip->heard_ms <= MAX_SILENCE_MS
         && gets_digests (gossip, DIGEST_CHECK_MS, now_ms);
}

uint32_t
limpet_gossip_reader_count (const LimpetGossip *gossip, LimpetMs now_ms)
{
  return gets_digests (gossip, LONG_DIGEST_CHECK_MS, now_ms)
             ? limpet_gossip_router_count (gossip)
             : 1;
}

LimpetMs
limpet_gossip_next_read_ms (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms)
{
  const Topic *known = &gossip->topics[topic];
  LimpetMs recent_ms = (LimpetMs)(READ_LIFE_RATIO * (double)gossip->max_staleness_ms);
  LimpetMs due_ms = known->read.read_ms + recent_ms + known->delay_ms;

  /* A router that is cut off from the others, or lacks what they pass on, cannot leave it
   * to them, nor can the few that still run. */
  if (hears_most_routers (gossip, now_ms)
      && !is_later_end (known, known->announced_end, known->announced_read.read_ms))
    due_ms += known->extra_delay_ms;
  return known->read.read_ms == 0 ? 0 : MAX (0, due_ms - now_ms);
}

LimpetMs
limpet_gossip_topic_age_ms (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms)
{
  return now_ms - gossip->topics[topic].read.read_ms;
}

/* Records an end that another router read. Returns whether it is new. */
static bool
record_announcement (Topic *known, int64_t end, const Read *read)
{
  bool is_current
      = is_later_end (known, known->announced_end, known->announced_read.read_ms);

  if (is_current && end < known->announced_end)
    return false;
  if (is_current && end == known->announced_end)
    {
      if (is_same_read (read, &known->announced_read))
        merge_read (&known->announced_read, read);
      else if (read->read_ms > known->announced_read.read_ms)
        known->announced_read = *read;
      return false;
    }
  known->announced_end = end;
  known->announced_read = *read;
  return true;
}

bool
limpet_gossip_is_current (const LimpetGossip *gossip, uint32_t topic, LimpetMs now_ms)
{
  LimpetMs read_ms = gossip->topics[topic].read.read_ms;
  bool is_alone = limpet_gossip_members_count (gossip->members) == 0;

  return read_ms > gossip->resumed_ms && now_ms - gossip->last_tick_ms <= MAX_SILENCE_MS
         && (double)(now_ms - read_ms)
                <= MAX_CURRENT_AGE_RATIO * (double)gossip->max_staleness_ms
         && (is_alone || now_ms - MAX (read_ms, gossip->heard_ms) <= MAX_SILENCE_MS);
}

/* Returns the read of which a message tells. The age in the message is too low by the
 * time that it was under way, which only the reader's clock shows. */
static Read
decode_read (LimpetGossip *gossip,
             const TopicUpdate *received,
             LimpetMs earliest_ms,
             LimpetMs now_ms)
{
  LimpetMs age_ms = (LimpetMs)received->age_ms;
  LimpetMs least_age_ms = MAX (0, age_ms - (LimpetMs)received->age_range_ms);
  Read read = { .reader = received->reader,
                .read_at_ms = received->read_at_ms,
                .read_ms = earliest_ms - age_ms - LIMPET_GOSSIP_HOP_MS,
                .latest_ms = now_ms - least_age_ms };

  if (read.read_at_ms < 0 || read.read_at_ms > MAX_CLOCK_MS)
    read.reader = 0;
  if (read.reader == gossip->reader)
    read.latest_ms = MIN (read.latest_ms, read.read_at_ms);
  else if (read.reader != 0)
    {
      if (now_ms - earliest_ms <= MAX_CLOCK_WAIT_MS)
        limpet_gossip_clocks_record (gossip->clocks, read.reader, read.read_at_ms,
                                     read.latest_ms, now_ms);
      limpet_gossip_clocks_convert (gossip->clocks, read.reader, read.read_at_ms,
                                    &read.latest_ms);
    }
  read.read_ms = MIN (read.read_ms, read.latest_ms);
  return read;
}

static bool
is_offset (int64_t offset)
{
  return offset >= 0 && offset <= LIMPET_LOG_MAX_OFFSET;
}

static void
receive_topic (LimpetGossip *gossip,
               const TopicUpdate *received,
               LimpetMs earliest_ms,
               LimpetMs now_ms,
               uint32_t sender)
{
  LimpetGossipRecord records[MAX_RECORDS];
  LimpetGossipBatch batch = { .topic = received->topic,
                              .records = records,
                              .sender = received->holds_all ? sender : 0 };
  Read read;
  Topic *known;
  int64_t old_end;
  bool is_newer;
  bool is_announcement = false;

  if (received->topic >= LIMPET_GOSSIP_TOPICS || received->n_records > MAX_RECORDS
      || !is_offset (received->end) || !is_offset (received->from))
    return;
  known = &gossip->topics[received->topic];
  if (!limpet_log_era_is_credible (limpet_log_position_era (known->end), received->era))
    return;
  batch.first_offset = limpet_log_position (
      received->era, received->n_records > 0 ? received->from : received->end);
  batch.end_offset = limpet_log_position (received->era, received->end);
  read = decode_read (gossip, received, earliest_ms, now_ms);
  if (batch.end_offset < known->end)
    return; /* this router has newer records */
  if (batch.end_offset > known->end)
    {
      if (!is_later_end (known, batch.end_offset, read.read_ms))
        return;
      is_announcement = record_announcement (known, batch.end_offset, &read);
    }
  for (size_t i = 0; i < received->n_records; i++)
    records[batch.count++] = (LimpetGossipRecord){ .bytes = received->records[i].data,
                                                   .length = received->records[i].len };
  old_end = known->end;
  if (batch.end_offset > known->end)
    known->end = gossip->ops->on_batch (gossip->user, &batch);
  is_newer = read.read_ms >= known->read.read_ms + MIN_FORWARD_AGE_GAIN_MS
             && !is_same_read (&read, &known->read);
  /* The read counts for this router only if it now has all records of that read. */
  if (known->end >= batch.end_offset)
    {
      record_read (gossip, received->topic, &read);
      read = known->read;
    }
  if (known->end > old_end || is_announcement
      || (is_newer && known->end >= batch.end_offset))
    push_batch (gossip, &batch, &read, now_ms, sender);
}

static void
receive_loads (LimpetGossip *gossip, const GossipMessage *message, LimpetMs now_ms)
{
  LimpetGossipLoad load;

  if (message->loads.len < message->n_load_targets * LIMPET_GOSSIP_LOAD_BYTES)
    {
      limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
      return;
    }
  for (size_t i = 0; i < message->n_load_targets; i++)
    if (limpet_gossip_loads_receive (gossip->loads, message->load_targets[i],
                                     message->loads.data + i * LIMPET_GOSSIP_LOAD_BYTES,
                                     now_ms, &load))
      gossip->ops->on_load (gossip->user, &load);
}

static void
receive_suspects (LimpetGossip *gossip, const GossipMessage *message, LimpetMs now_ms)
{
  LimpetSuspect record;

  for (size_t i = 0; gossip->quarantine != NULL && i < message->n_suspects; i++)
    if (limpet_gossip_suspects_decode (message->suspects[i], now_ms, &record))
      limpet_quarantine_receive (gossip->quarantine, &record, now_ms);
    else
      limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
}

/* Sends the suspects that have changed to random routers, which pass on what is new to
 * them. */
static void
push_suspects (LimpetGossip *gossip, LimpetMs now_ms)
{
  LimpetSuspect records[LIMPET_GOSSIP_MAX_SUSPECTS];
  uint32_t count;

  while ((count = limpet_quarantine_collect_changed (gossip->quarantine, records,
                                                     LIMPET_GOSSIP_MAX_SUSPECTS))
         > 0)
    {
      GossipMessage message = GOSSIP_MESSAGE__INIT;
      LimpetGossipSuspects suspects;

      limpet_gossip_suspects_encode (&suspects, records, count, now_ms, &message);
      send_to_random_members (gossip, &message, push_fanout (gossip), 0);
    }
}

/* Sends the limits that have changed to random routers, which pass on what is new to
 * them. */
static void
push_limits (LimpetGossip *gossip, LimpetMs now_ms)
{
  LimpetGossipEncodedLimits limits;
  GossipMessage message = GOSSIP_MESSAGE__INIT;

  while (limpet_gossip_limits_collect_changed (gossip->limits, &limits, now_ms, &message)
         > 0)
    send_to_random_members (gossip, &message, push_fanout (gossip), 0);
}

static void
receive_limits (LimpetGossip *gossip, const GossipMessage *message, LimpetMs now_ms)
{
  LimpetGossipLimit limit;
  bool has_refusals = false;

  for (size_t i = 0; i < message->n_limits; i++)
    if (limpet_gossip_limits_receive (gossip->limits, message->limits[i], now_ms, &limit))
      {
        has_refusals = has_refusals || limit.is_of_refusals;
        gossip->ops->on_limit (gossip->user, &limit);
      }
  if (has_refusals)
    push_limits (gossip, now_ms);
}

void
limpet_gossip_publish_leaving (LimpetGossip *gossip, uint32_t target_hash)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;

  message.leaving_targets = &target_hash;
  message.n_leaving_targets = 1;
  send_to_random_members (gossip, &message, push_fanout (gossip), 0);
}

void
limpet_gossip_send_rest (LimpetGossip *gossip,
                         uint32_t address,
                         uint32_t target_hash,
                         LimpetMs rest_ms)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;
  TargetRest rest = TARGET_REST__INIT;
  TargetRest *rests[] = { &rest };

  rest.target = target_hash;
  rest.rest_ms = (uint32_t)rest_ms;
  message.rests = rests;
  message.n_rests = 1;
  send_message (gossip, &message, address);
}

static void
receive_rests (LimpetGossip *gossip, const GossipMessage *message)
{
  for (size_t i = 0; gossip->ops->on_rest != NULL && i < message->n_rests; i++)
    gossip->ops->on_rest (gossip->user, message->rests[i]->target,
                          MIN (message->rests[i]->rest_ms, LIMPET_MAX_REST_MS));
}

static void
receive_leaving (LimpetGossip *gossip, const GossipMessage *message)
{
  for (size_t i = 0; gossip->ops->on_leaving != NULL && i < message->n_leaving_targets;
       i++)
    gossip->ops->on_leaving (gossip->user, message->leaving_targets[i]);
}

void
limpet_gossip_query_streams (LimpetGossip *gossip, uint64_t *ids, uint32_t count)
{
  for (uint32_t first = 0; first < count; first += LIMPET_GOSSIP_MAX_STREAMS)
    {
      GossipMessage message = GOSSIP_MESSAGE__INIT;

      message.stream_queries = ids + first;
      message.n_stream_queries = MIN (count - first, LIMPET_GOSSIP_MAX_STREAMS);
      send_to_random_members (gossip, &message,
                              limpet_gossip_members_count (gossip->members), 0);
    }
}

/* Takes over the origins in a message, and answers the queries in it. */
static void
receive_streams (LimpetGossip *gossip, const GossipMessage *message, LimpetMs now_ms)
{
  LimpetGossipStreams streams;
  GossipMessage answer = GOSSIP_MESSAGE__INIT;

  if (gossip->origins == NULL)
    return;
  if (limpet_gossip_streams_receive (gossip->origins, message, now_ms)
      && gossip->ops->on_stream_origins != NULL)
    gossip->ops->on_stream_origins (gossip->user);
  if (limpet_gossip_streams_answer (gossip->origins, message, &streams, &answer))
    send_message (gossip, &answer, message->sender);
}

/* Records the clock of a sender, whose reads may become known by long ways only. */
static void
receive_clock (LimpetGossip *gossip,
               const GossipMessage *message,
               LimpetMs earliest_ms,
               LimpetMs now_ms)
{
  if (message->start != 0 && message->clock_ms >= 0 && message->clock_ms <= MAX_CLOCK_MS
      && now_ms - earliest_ms <= MAX_CLOCK_WAIT_MS)
    limpet_gossip_clocks_record (gossip->clocks, message->start, message->clock_ms,
                                 now_ms, now_ms);
}

static void send_digest (LimpetGossip *gossip, uint32_t address, LimpetMs now_ms);

void
limpet_gossip_receive (LimpetGossip *gossip,
                       uint32_t sender,
                       const uint8_t *data,
                       size_t length,
                       LimpetMs earliest_ms,
                       LimpetMs now_ms)
{
  GossipMessage *message = gossip_message__unpack (NULL, length, data);

  if (message == NULL || message->sender != sender)
    {
      limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
      if (message != NULL)
        gossip_message__free_unpacked (message, NULL);
      return;
    }
  /* This router's clock may have been set back since then. */
  earliest_ms = MIN (earliest_ms, now_ms);
  gossip->heard_ms = now_ms;
  limpet_counter_add (LIMPET_COUNTER_DIGESTS_RECEIVED, 1);
  limpet_counter_add (LIMPET_COUNTER_PEER_RECEIVED_BYTES, length);
  limpet_gossip_members_record_message (gossip->members, sender, message->leaving,
                                        now_ms);
  if (message->zone != 0)
    limpet_gossip_members_set_zone (gossip->members, sender, message->zone);
  if (message->relay_state != RELAY_STATE__UNKNOWN)
    limpet_gossip_members_set_relays (gossip->members, sender,
                                      message->relay_state == RELAY_STATE__RELAYS);
  for (size_t i = 0; i < message->n_members; i++)
    limpet_gossip_members_add (gossip->members, message->members[i], now_ms);
  if (message->start != 0)
    gossip->digests_ms[gossip->digests++ % MIN_DIGESTS] = now_ms;
  receive_clock (gossip, message, earliest_ms, now_ms);
  for (size_t i = 0; i < message->n_topics; i++)
    receive_topic (gossip, message->topics[i], earliest_ms, now_ms, sender);
  receive_loads (gossip, message, now_ms);
  receive_suspects (gossip, message, now_ms);
  receive_limits (gossip, message, now_ms);
  receive_leaving (gossip, message);
  receive_rests (gossip, message);
  receive_streams (gossip, message, now_ms);
  if (message->requests_digest)
    send_digest (gossip, sender, now_ms);
  gossip_message__free_unpacked (message, NULL);
}

void
limpet_gossip_publish_load (LimpetGossip *gossip, const LimpetGossipLoad *load)
{
  limpet_gossip_loads_record_own (
      gossip->loads, load, (uint8_t)g_rand_int_range (gossip->random, 0, UINT8_MAX + 1));
}

void
limpet_gossip_publish_limit (LimpetGossip *gossip, const LimpetGossipLimit *limit)
{
  if (limpet_gossip_limits_record_own (gossip->limits, limit) && limit->is_of_refusals)
    push_limits (gossip, limit->at_ms);
}

static uint32_t
collect_members (LimpetGossip *gossip, uint32_t *addresses, LimpetMs now_ms)
{
  uint32_t count = limpet_gossip_members_count (gossip->members);
  uint32_t first
      = count > 0 ? (uint32_t)g_rand_int_range (gossip->random, 0, (gint32)count) : 0;

  return limpet_gossip_members_collect (gossip->members, first, addresses,
                                        MAX_DIGEST_MEMBERS, now_ms);
}

/* A digest with the arrays it points to, so that it can be sent to several members. */
typedef struct
{
  GossipMessage message;
  uint32_t load_targets[LIMPET_GOSSIP_MAX_LOADS];
  uint8_t loads[LIMPET_GOSSIP_MAX_LOADS * LIMPET_GOSSIP_LOAD_BYTES];
  TopicUpdate topics[LIMPET_GOSSIP_TOPICS];
  TopicUpdate *topic_pointers[LIMPET_GOSSIP_TOPICS];
  uint32_t members[MAX_DIGEST_MEMBERS];
  LimpetGossipSuspects suspects;
  LimpetGossipEncodedLimits limits;
  LimpetGossipStreams streams;
} Digest;

/* Fills a digest with reads, some suspects, limits and origins of streams. They take the
 * place of loads, so that the digest does not grow. */
static void
fill_digest (LimpetGossip *gossip,
             Digest *digest,
             const LimpetSuspect *records,
             uint32_t suspects,
             LimpetMs now_ms)
{
  uint32_t replaced_loads
      = suspects * LOADS_PER_SUSPECT + LIMPET_GOSSIP_TOPICS * LOADS_PER_READ;
  uint32_t streams = 0;

  gossip_message__init (&digest->message);
  digest->message.start = gossip->reader;
  digest->message.clock_ms = now_ms;
  digest->message.relay_state
      = gossip->relays ? RELAY_STATE__RELAYS : RELAY_STATE__DOES_NOT_RELAY;
  limpet_gossip_suspects_encode (&digest->suspects, records, suspects, now_ms,
                                 &digest->message);
  replaced_loads += LOADS_PER_LIMIT
                    * limpet_gossip_limits_collect_next (gossip->limits, &digest->limits,
                                                         MAX_DIGEST_LIMITS, now_ms,
                                                         &digest->message);
  if (gossip->origins != NULL)
    streams = limpet_gossip_streams_collect (gossip->origins, &digest->streams,
                                             &digest->message);
  replaced_loads += (streams * LIMPET_GOSSIP_STREAM_BYTES + LOAD_BYTES - 1) / LOAD_BYTES;
  digest->message.n_load_targets = limpet_gossip_loads_collect (
      gossip->loads,
      LIMPET_GOSSIP_MAX_LOADS - MIN (LIMPET_GOSSIP_MAX_LOADS, replaced_loads),
      digest->load_targets, digest->loads, now_ms);
  digest->message.load_targets = digest->load_targets;
  digest->message.loads = (ProtobufCBinaryData){
    .data = digest->loads,
    .len = digest->message.n_load_targets * LIMPET_GOSSIP_LOAD_BYTES,
  };
  for (uint32_t i = 0; i < LIMPET_GOSSIP_TOPICS; i++)
    {
      const Topic *known = &gossip->topics[i];
      bool is_behind
          = is_later_end (known, known->announced_end, known->announced_read.read_ms);
      const Read *read = is_behind ? &known->announced_read : &known->read;

      topic_update__init (&digest->topics[i]);
      if (read->read_ms == 0)
        continue;
      digest->topics[i].topic = i;
      encode_end (is_behind ? known->announced_end : known->end, &digest->topics[i]);
      encode_read (read, now_ms, &digest->topics[i]);
      digest->topics[i].holds_all = !is_behind;
      digest->topic_pointers[digest->message.n_topics++] = &digest->topics[i];
    }
  digest->message.topics = digest->topic_pointers;
  digest->message.n_members = collect_members (gossip, digest->members, now_ms);
  digest->message.members = digest->members;
}

/* Sends a digest to a router that has just found this one, with as many suspects as fit
 * into a message. */
static void
send_digest (LimpetGossip *gossip, uint32_t address, LimpetMs now_ms)
{
  LimpetSuspect records[LIMPET_GOSSIP_MAX_SUSPECTS];
  uint32_t count = 0;
  Digest digest;

  if (gossip->quarantine != NULL)
    count = limpet_quarantine_collect_first (gossip->quarantine, records,
                                             LIMPET_GOSSIP_MAX_SUSPECTS);
  fill_digest (gossip, &digest, records, count, now_ms);
  send_message (gossip, &digest.message, address);
}

void
limpet_gossip_greet (LimpetGossip *gossip, uint32_t address)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;

  send_message (gossip, &message, address);
}

void
limpet_gossip_add_member (LimpetGossip *gossip, uint32_t address, LimpetMs now_ms)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;

  if (!limpet_gossip_members_add (gossip->members, address, now_ms))
    return;
  message.requests_digest = true;
  send_message (gossip, &message, address);
}

/* Forgets what is known by a clock that has been set back: all of it would seem newer
 * than it is. The others know of the new clock by a new reader. */
static void
begin_clock (LimpetGossip *gossip, LimpetMs now_ms)
{
  limpet_log (LIMPET_LOG_WARNING, "gossip", NULL, "clock_set_back_ms=%" PRId64,
              gossip->last_tick_ms - now_ms);
  gossip->reader = draw_reader (++gossip->seed, gossip->own_address);
  limpet_gossip_clocks_clear (gossip->clocks);
  for (uint32_t i = 0; i < LIMPET_GOSSIP_TOPICS; i++)
    gossip->topics[i].read = gossip->topics[i].announced_read = (Read){ .read_ms = 0 };
  gossip->last_digest_ms = MIN (gossip->last_digest_ms, now_ms - DIGEST_PERIOD_MS);
  gossip->heard_ms = MIN (gossip->heard_ms, now_ms);
  gossip->digests = 0;
  gossip->resumed_ms = MIN (gossip->resumed_ms, now_ms);
}

static void
doubt_age (Read *read, LimpetMs gap_ms, LimpetMs now_ms)
{
  if (read->read_ms != 0)
    read->latest_ms = MIN (read->latest_ms + gap_ms, now_ms);
}

/* After a late tick: this router stood still, or its clock jumped forward. Then the known
 * reads are less old than they seem, and other routers must not take their ages as the
 * least ones. */
static void
doubt_clocks (LimpetGossip *gossip, LimpetMs now_ms)
{
  LimpetMs gap_ms = now_ms - gossip->last_tick_ms;

  limpet_gossip_clocks_doubt (gossip->clocks);
  for (uint32_t i = 0; i < LIMPET_GOSSIP_TOPICS; i++)
    {
      doubt_age (&gossip->topics[i].read, gap_ms, now_ms);
      doubt_age (&gossip->topics[i].announced_read, gap_ms, now_ms);
    }
}

void
limpet_gossip_tick (LimpetGossip *gossip, LimpetMs now_ms)
{
  LimpetSuspect records[MAX_DIGEST_SUSPECTS];
  uint32_t count = 0;
  Digest digest;

  if (gossip->last_tick_ms > 0 && now_ms - gossip->last_tick_ms > MAX_SILENCE_MS)
    {
      gossip->resumed_ms = now_ms + QUEUED_DATAGRAMS_MS;
      doubt_clocks (gossip, now_ms);
    }
  if (now_ms < gossip->last_tick_ms)
    begin_clock (gossip, now_ms);
  gossip->last_tick_ms = now_ms;
  if (gossip->quarantine != NULL)
    push_suspects (gossip, now_ms);
  push_limits (gossip, now_ms);
  if (now_ms - gossip->last_digest_ms < DIGEST_PERIOD_MS)
    return;
  gossip->last_digest_ms = now_ms;
  limpet_gossip_members_expire (gossip->members, now_ms);
  if (gossip->quarantine != NULL)
    count = limpet_quarantine_collect_next (gossip->quarantine, records,
                                            MAX_DIGEST_SUSPECTS);
  fill_digest (gossip, &digest, records, count, now_ms);
  send_to_random_members (gossip, &digest.message, DIGEST_FANOUT, 0);
}

void
limpet_gossip_leave (LimpetGossip *gossip)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;

  message.leaving = true;
  send_to_random_members (gossip, &message, limpet_gossip_members_count (gossip->members),
                          0);
}

void
limpet_gossip_set_relays (LimpetGossip *gossip, bool relays)
{
  gossip->relays = relays;
}

uint32_t
limpet_gossip_pick_relay (LimpetGossip *gossip, LimpetMs now_ms)
{
  return limpet_gossip_members_pick_relay (gossip->members, gossip->random, now_ms);
}

uint32_t
limpet_gossip_pick_router (LimpetGossip *gossip)
{
  return limpet_gossip_members_pick_confirmed (gossip->members, gossip->zone,
                                               gossip->random);
}

void
limpet_gossip_record_relay_failure (LimpetGossip *gossip,
                                    uint32_t address,
                                    LimpetMs now_ms)
{
  limpet_gossip_members_record_relay_failure (gossip->members, address, now_ms);
}

bool
limpet_gossip_is_router (const LimpetGossip *gossip, uint32_t address)
{
  return limpet_gossip_members_is_confirmed (gossip->members, address);
}

void
limpet_gossip_get_routers (const LimpetGossip *gossip, GArray *addresses)
{
  g_array_set_size (addresses, 0);
  g_array_append_val (addresses, gossip->own_address);
  for (uint32_t i = 0; i < limpet_gossip_members_count (gossip->members); i++)
    {
      uint32_t address = limpet_gossip_members_address (gossip->members, i);

      g_array_append_val (addresses, address);
    }
}

uint32_t
limpet_gossip_router_count (const LimpetGossip *gossip)
{
  return limpet_gossip_members_count (gossip->members) + 1;
}

uint32_t
limpet_gossip_responding_count (const LimpetGossip *gossip)
{
  return limpet_gossip_members_responding_count (gossip->members);
}
