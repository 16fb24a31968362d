#include "limpetroad/news.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/news.pb-c.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* A read of a topic is news for the first part of the bound; then one router after the
 * other reads again, within the second. A read, some hops and one lost datagram have the
 * rest. */
#define NEWS_LIFE_PART 0.35
#define NEWS_SPREAD_PART 0.25
#define DEFAULT_BOUND_MS 2000
/* What a hop adds to the age: the way between zones and the time to be scheduled. */
#define HOP_MS 5
/* A read that is younger by less is no reason to pass it on. */
#define FORWARD_STEP_MS 150
/* Members are forgotten after this silence; one that others name has less time to show.
 */
#define MEMBER_LIFE_MS 20000
#define NAMED_LIFE_MS 8000
/* Only members heard within this time are named to others. */
#define NAMING_AGE_MS 4000
#define DIGEST_PERIOD_MS 300
#define DIGEST_FANOUT 2
#define DIGEST_MEMBERS 6
/* Loads older than this are not passed on; they are known twice as long, so that one that
 * comes late is not taken for a new one. */
#define LOAD_LIFE_MS 1500
/* Fits into one packet. */
#define BATCH_BYTES 1100
#define MOST_RECORDS 64

typedef struct
{
  uint32_t address;
  LimpetMs heard_ms; /* directly; or when it was named, less what shortens its life */
  bool answered;
} Member;

typedef struct
{
  int64_t end;       /* offset up to which this router knows the topic */
  LimpetMs read_ms;  /* when the newest read that is known was made; 0 for never */
  LimpetMs delay_ms; /* of this router's own read after the news' life */
} Topic;

struct LimpetNews
{
  const LimpetNewsOps *ops;
  void *user;
  uint32_t own_address;
  LimpetMs bound_ms;
  GRand *random;
  GArray *members;   /* of Member */
  GHashTable *loads; /* target hash → LimpetNewsLoad */
  Topic topics[LIMPET_NEWS_TOPICS];
  LimpetMs digest_ms;
};

/* Timers of many routers that are to lead to one action: exponentially more routers get
 * longer delays, so that few act at once (RFC 5401, section 3.2.2). */
static LimpetMs
draw_delay_ms (LimpetNews *news)
{
  double steepness = log (limpet_news_routers (news)) + 1;
  double draw = g_rand_double (news->random);

  double spread_ms = NEWS_SPREAD_PART * (double)news->bound_ms;

  return (LimpetMs)(spread_ms * log (draw * (exp (steepness) - 1) + 1) / steepness);
}

LimpetNews *
limpet_news_new (const LimpetNewsOps *ops,
                 void *user,
                 uint32_t own_address,
                 uint64_t seed)
{
  LimpetNews *news = g_new0 (LimpetNews, 1);
  guint32 seeds[2] = { (guint32)seed, (guint32)(seed >> 32) };

  news->ops = ops;
  news->user = user;
  news->own_address = own_address;
  news->bound_ms = DEFAULT_BOUND_MS;
  news->random = g_rand_new_with_seed_array (seeds, 2);
  news->members = g_array_new (FALSE, FALSE, sizeof (Member));
  news->loads = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return news;
}

void
limpet_news_delete (LimpetNews *news)
{
  if (news == NULL)
    return;
  g_rand_free (news->random);
  g_array_free (news->members, TRUE);
  g_hash_table_destroy (news->loads);
  g_free (news);
}

void
limpet_news_set_bound (LimpetNews *news, LimpetMs bound_ms)
{
  news->bound_ms = bound_ms;
}

static Member *
find_member (LimpetNews *news, uint32_t address)
{
  for (guint i = 0; i < news->members->len; i++)
    {
      Member *member = &g_array_index (news->members, Member, i);

      if (member->address == address)
        return member;
    }
  return NULL;
}

static Member *
ensure_member (LimpetNews *news, uint32_t address, LimpetMs heard_ms)
{
  Member *member = find_member (news, address);

  if (member == NULL && address != news->own_address && address != 0)
    {
      Member added = { .address = address, .heard_ms = heard_ms };

      g_array_append_val (news->members, added);
      member = find_member (news, address);
    }
  return member;
}

static void
send_message (LimpetNews *news, NewsMessage *message, uint32_t address)
{
  size_t length = news_message__get_packed_size (message);
  uint8_t *data = g_malloc (length);

  news_message__pack (message, data);
  limpet_count (LIMPET_COUNTER_DIGESTS_SENT, 1);
  limpet_count (LIMPET_COUNTER_PEER_SENT_BYTES, length);
  news->ops->send (news->user, address, data, length);
  g_free (data);
}

/* Sends to that many members, drawn without repetition. */
static void
send_to_some (LimpetNews *news, NewsMessage *message, uint32_t count, uint32_t except)
{
  guint left = news->members->len;

  message->sender = news->own_address;
  for (guint i = 0; i < news->members->len && count > 0; i++, left--)
    {
      const Member *member = &g_array_index (news->members, Member, i);

      if ((uint32_t)g_rand_int_range (news->random, 0, (gint32)left) >= count)
        continue;
      count--;
      if (member->address != except)
        send_message (news, message, member->address);
    }
}

static uint32_t
push_fanout (const LimpetNews *news)
{
  return (uint32_t)ceil (log (limpet_news_routers (news))) + 2;
}

static void
push_part (LimpetNews *news,
           const LimpetNewsBatch *batch,
           uint32_t first,
           uint32_t count,
           LimpetMs now_ms,
           uint32_t except)
{
  NewsMessage message = NEWS_MESSAGE__INIT;
  TopicNews topic = TOPIC_NEWS__INIT;
  TopicNews *topics[] = { &topic };
  ProtobufCBinaryData records[MOST_RECORDS];

  for (uint32_t i = 0; i < count; i++)
    records[i] = (ProtobufCBinaryData){
      .data = (uint8_t *)batch->records[first + i].bytes,
      .len = batch->records[first + i].length,
    };
  topic.topic = batch->topic;
  topic.end = batch->end;
  topic.age_ms = (uint32_t)MAX (0, now_ms - news->topics[batch->topic].read_ms);
  topic.from = batch->from + first;
  topic.records = records;
  topic.n_records = count;
  message.topics = topics;
  message.n_topics = 1;
  send_to_some (news, &message, push_fanout (news), except);
}

/* Pushes a batch in messages that each fit into a packet. Longer records are only told of
 * by the end of the topic. */
static void
push (LimpetNews *news, const LimpetNewsBatch *batch, LimpetMs now_ms, uint32_t except)
{
  uint32_t first = 0;

  do
    {
      uint32_t count = 0;
      size_t bytes = 0;

      while (first + count < batch->count && count < MOST_RECORDS
             && bytes + batch->records[first + count].length <= BATCH_BYTES)
        bytes += batch->records[first + count++].length;
      push_part (news, batch, first, count, now_ms, except);
      first += MAX (1, count);
    }
  while (first < batch->count);
}

static void
set_read (LimpetNews *news, uint32_t topic, LimpetMs read_ms)
{
  news->topics[topic].read_ms = read_ms;
  news->topics[topic].delay_ms = draw_delay_ms (news);
}

void
limpet_news_topic_read (LimpetNews *news, const LimpetNewsBatch *batch, LimpetMs now_ms)
{
  news->topics[batch->topic].end = MAX (news->topics[batch->topic].end, batch->end);
  set_read (news, batch->topic, batch->at_ms);
  push (news, batch, now_ms, 0);
}

LimpetMs
limpet_news_topic_due_ms (const LimpetNews *news, uint32_t topic, LimpetMs now_ms)
{
  const Topic *known = &news->topics[topic];
  LimpetMs life_ms = (LimpetMs)(NEWS_LIFE_PART * (double)news->bound_ms);
  LimpetMs due_ms = known->read_ms + life_ms + known->delay_ms;

  return known->read_ms == 0 ? 0 : MAX (0, due_ms - now_ms);
}

LimpetMs
limpet_news_topic_age_ms (const LimpetNews *news, uint32_t topic, LimpetMs now_ms)
{
  return now_ms - news->topics[topic].read_ms;
}

static void
take_topic (LimpetNews *news, const TopicNews *told, LimpetMs now_ms, uint32_t sender)
{
  LimpetNewsRecord records[MOST_RECORDS];
  LimpetNewsBatch batch = {
    .topic = told->topic, .from = told->from, .records = records, .end = told->end
  };
  LimpetMs read_ms = now_ms - (LimpetMs)told->age_ms - HOP_MS;
  Topic *known;
  int64_t old_end;
  bool is_newer;

  if (told->topic >= LIMPET_NEWS_TOPICS || told->n_records > MOST_RECORDS)
    return;
  known = &news->topics[told->topic];
  if (told->end < known->end)
    return; /* older than what is known here */
  for (size_t i = 0; i < told->n_records; i++)
    records[batch.count++] = (LimpetNewsRecord){ .bytes = told->records[i].data,
                                                 .length = told->records[i].len };
  old_end = known->end;
  if (told->end > known->end)
    known->end = news->ops->on_batch (news->user, &batch);
  is_newer = read_ms >= known->read_ms + FORWARD_STEP_MS;
  /* What was read then is known here only up to the end that was reached. */
  if (known->end >= told->end && read_ms > known->read_ms)
    set_read (news, told->topic, read_ms);
  if (known->end > old_end || (is_newer && known->end >= told->end))
    push (news, &batch, now_ms, sender);
}

static void
keep_load (LimpetNews *news, const LimpetNewsLoad *load)
{
  g_hash_table_replace (news->loads, GUINT_TO_POINTER (load->target_hash),
                        g_memdup2 (load, sizeof *load));
}

static void
take_load (LimpetNews *news, const LoadNews *told, LimpetMs now_ms)
{
  LimpetNewsLoad load = {
    .target_hash = told->target,
    .inflight = (int32_t)MIN (told->inflight, INT32_MAX),
    .pace_percent = (int32_t)MIN (told->pace_percent, INT32_MAX),
    .at_ms = now_ms - (LimpetMs)told->age_ms - HOP_MS,
    .report = told->report,
  };
  const LimpetNewsLoad *known
      = g_hash_table_lookup (news->loads, GUINT_TO_POINTER (load.target_hash));

  /* Ages are not exact: a report that comes again may look newer than it was. */
  if (told->age_ms > LOAD_LIFE_MS
      || (known != NULL && (load.report == known->report || load.at_ms <= known->at_ms)))
    return;
  keep_load (news, &load);
  news->ops->on_load (news->user, &load);
}

static void send_digest (LimpetNews *news, uint32_t address, LimpetMs now_ms);

void
limpet_news_take (LimpetNews *news,
                  uint32_t sender,
                  const uint8_t *data,
                  size_t length,
                  LimpetMs now_ms)
{
  NewsMessage *message = news_message__unpack (NULL, length, data);
  Member *member;

  if (message == NULL || message->sender != sender)
    {
      limpet_count (LIMPET_COUNTER_PEER_MALFORMED, 1);
      if (message != NULL)
        news_message__free_unpacked (message, NULL);
      return;
    }
  limpet_count (LIMPET_COUNTER_DIGESTS_RECEIVED, 1);
  limpet_count (LIMPET_COUNTER_PEER_RECEIVED_BYTES, length);
  member = ensure_member (news, sender, now_ms);
  if (member != NULL)
    {
      member->heard_ms = message->leaving ? now_ms - MEMBER_LIFE_MS : now_ms;
      member->answered = true;
    }
  for (size_t i = 0; i < message->n_members; i++)
    ensure_member (news, message->members[i], now_ms - MEMBER_LIFE_MS + NAMED_LIFE_MS);
  for (size_t i = 0; i < message->n_topics; i++)
    take_topic (news, message->topics[i], now_ms, sender);
  for (size_t i = 0; i < message->n_loads; i++)
    take_load (news, message->loads[i], now_ms);
  if (message->asks)
    send_digest (news, sender, now_ms);
  news_message__free_unpacked (message, NULL);
}

void
limpet_news_note_load (LimpetNews *news, const LimpetNewsLoad *load)
{
  LimpetNewsLoad own = *load;

  own.report = g_rand_int (news->random);
  keep_load (news, &own);
}

static gint
newest_first (gconstpointer a, gconstpointer b)
{
  const LimpetNewsLoad *left = *(const LimpetNewsLoad *const *)a;
  const LimpetNewsLoad *right = *(const LimpetNewsLoad *const *)b;

  return (left->at_ms < right->at_ms) - (left->at_ms > right->at_ms);
}

/* Fills the newest loads; returns their number. */
static uint32_t
collect_loads (LimpetNews *news, LoadNews *loads, LimpetMs now_ms)
{
  GPtrArray *known = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer load;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, news->loads);
  while (g_hash_table_iter_next (&iter, NULL, &load))
    if (now_ms - ((LimpetNewsLoad *)load)->at_ms > 2 * LOAD_LIFE_MS)
      g_hash_table_iter_remove (&iter);
    else if (now_ms - ((LimpetNewsLoad *)load)->at_ms <= LOAD_LIFE_MS)
      g_ptr_array_add (known, load);
  g_ptr_array_sort (known, newest_first);
  for (; count < MIN (known->len, LIMPET_NEWS_MAX_LOADS); count++)
    {
      const LimpetNewsLoad *from = g_ptr_array_index (known, count);

      load_news__init (&loads[count]);
      loads[count].target = from->target_hash;
      loads[count].inflight = (uint32_t)MAX (0, from->inflight);
      loads[count].age_ms = (uint32_t)MAX (0, now_ms - from->at_ms);
      loads[count].pace_percent = (uint32_t)MAX (0, from->pace_percent);
      loads[count].report = from->report;
    }
  g_ptr_array_free (known, TRUE);
  return count;
}

static uint32_t
collect_members (LimpetNews *news, uint32_t *addresses, LimpetMs now_ms)
{
  uint32_t count = 0;
  guint first
      = news->members->len > 0
            ? (guint)g_rand_int_range (news->random, 0, (gint32)news->members->len)
            : 0;

  for (guint i = 0; i < news->members->len && count < DIGEST_MEMBERS; i++)
    {
      const Member *member
          = &g_array_index (news->members, Member, (first + i) % news->members->len);

      if (member->answered && now_ms - member->heard_ms < NAMING_AGE_MS)
        addresses[count++] = member->address;
    }
  return count;
}

/* What a digest points to, so that it can be sent to several. */
typedef struct
{
  NewsMessage message;
  LoadNews loads[LIMPET_NEWS_MAX_LOADS];
  LoadNews *load_pointers[LIMPET_NEWS_MAX_LOADS];
  TopicNews topics[LIMPET_NEWS_TOPICS];
  TopicNews *topic_pointers[LIMPET_NEWS_TOPICS];
  uint32_t members[DIGEST_MEMBERS];
} Digest;

static void
fill_digest (LimpetNews *news, Digest *digest, LimpetMs now_ms)
{
  news_message__init (&digest->message);
  digest->message.sender = news->own_address;
  digest->message.n_loads = collect_loads (news, digest->loads, now_ms);
  for (size_t i = 0; i < digest->message.n_loads; i++)
    digest->load_pointers[i] = &digest->loads[i];
  digest->message.loads = digest->load_pointers;
  for (uint32_t i = 0; i < LIMPET_NEWS_TOPICS; i++)
    {
      const Topic *known = &news->topics[i];

      topic_news__init (&digest->topics[i]);
      if (known->read_ms == 0)
        continue;
      digest->topics[i].topic = i;
      digest->topics[i].end = known->end;
      digest->topics[i].from = known->end;
      digest->topics[i].age_ms = (uint32_t)MAX (0, now_ms - known->read_ms);
      digest->topic_pointers[digest->message.n_topics++] = &digest->topics[i];
    }
  digest->message.topics = digest->topic_pointers;
  digest->message.n_members = collect_members (news, digest->members, now_ms);
  digest->message.members = digest->members;
}

static void
send_digest (LimpetNews *news, uint32_t address, LimpetMs now_ms)
{
  Digest digest;

  fill_digest (news, &digest, now_ms);
  send_message (news, &digest.message, address);
}

void
limpet_news_add_member (LimpetNews *news, uint32_t address, LimpetMs now_ms)
{
  NewsMessage message = NEWS_MESSAGE__INIT;

  if (ensure_member (news, address, now_ms - MEMBER_LIFE_MS + NAMED_LIFE_MS) == NULL)
    return;
  message.sender = news->own_address;
  message.asks = true;
  send_message (news, &message, address);
}

static void
forget_silent (LimpetNews *news, LimpetMs now_ms)
{
  for (guint i = 0; i < news->members->len;)
    if (now_ms - g_array_index (news->members, Member, i).heard_ms > MEMBER_LIFE_MS)
      g_array_remove_index_fast (news->members, i);
    else
      i++;
}

void
limpet_news_tick (LimpetNews *news, LimpetMs now_ms)
{
  Digest digest;

  if (now_ms - news->digest_ms < DIGEST_PERIOD_MS)
    return;
  news->digest_ms = now_ms;
  forget_silent (news, now_ms);
  fill_digest (news, &digest, now_ms);
  send_to_some (news, &digest.message, DIGEST_FANOUT, 0);
}

void
limpet_news_leave (LimpetNews *news)
{
  NewsMessage message = NEWS_MESSAGE__INIT;

  message.leaving = true;
  send_to_some (news, &message, news->members->len, 0);
}

uint32_t
limpet_news_routers (const LimpetNews *news)
{
  return news->members->len + 1;
}

uint32_t
limpet_news_heard (const LimpetNews *news)
{
  uint32_t count = 0;

  for (guint i = 0; i < news->members->len; i++)
    count += g_array_index (news->members, Member, i).answered;
  return count;
}
