#include "tests.h"

#include "limpetroad/bundle_history.h"
#include "limpetroad/gossip.h"
#include "limpetroad/limits.h"
#include "limpetroad/log_era.h"
#include "limpetroad/topic_state.h"
#include "cluster_state/peer.pb-c.h"
#include "private/claim_record.h"
#include "private/gossip.pb-c.h"
#include "private/router_state.h"
#include "private/schema.h"
#include "private/sse.h"
#include "private/state_message.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define ROUNDS 20000
#define SEED 4711

/* Well-formed bundle records, a claim record and an event stream, to be corrupted. */
static const char *const valid_texts[] = {
  "{\"type\":\"draft\",\"parent\":0,\"root\":\"00\",\"author\":\"a\",\"note\":\"\","
  "\"changes\":"
  "[{\"name\":\"fleet\",\"text\":\"{}\"}]}",
  "{\"type\":\"checkpoint\",\"version\":9,\"parent\":1,\"root\":\"0\",\"author\":\"a\","
  "\"approver\":\"b\",\"signature\":\"c\",\"changes\":[]}",
  "{\"claims\":[{\"k\":\"00\",\"a\":\"00\",\"h\":\"0\",\"i\":1}],\"outcomes\":[{\"k\":"
  "\"0\"}],"
  "\"p\":1,\"pt\":2}",
  "id: 3\ndata: {\"choices\":[{\"delta\":{\"content\":\"x\"}}]}\n\n: c\n\nid: 4\ndata: "
  "[DONE]\n\n",
};

/* Returns a copy of text with one to five random changes; a change may truncate it. */
static char *
corrupt (GRand *random, const char *text, size_t *length)
{
  char *copy;

  *length = strlen (text);
  copy = g_strdup (text);
  for (int i = g_rand_int_range (random, 1, 6); i > 0; i--)
    {
      size_t position = (size_t)g_rand_int_range (random, 0, (gint32)*length);

      switch (g_rand_int_range (random, 0, 3))
        {
        case 0:
          copy[position] = (char)g_rand_int_range (random, 1, 256);
          break;
        case 1:
          copy[position] = "{}[]\",:0"[g_rand_int_range (random, 0, 8)];
          break;
        default:
          *length = MAX (1, position);
          copy[*length] = '\0';
          break;
        }
    }
  return copy;
}

/* States that pass the check are merged without a crash. */
static void
test_corrupted_topic_states_are_handled_safely (void)
{
  LimpetTopicState *state = limpet_topic_state_new ();
  GRand *random = g_rand_new_with_seed (SEED);
  GString *valid = g_string_new (NULL);
  uint32_t merged = 0;

  limpet_topic_state_put (state, "config", "0123456789", 10, 3);
  limpet_topic_state_put (state, "i-1", "abc", 3, 4);
  limpet_topic_state_write (state, 5, valid);
  for (int i = 0; i < ROUNDS; i++)
    {
      size_t length = (size_t)g_rand_int_range (random, 0, (gint32)valid->len + 1);
      char *copy = g_memdup2 (valid->str, valid->len);
      int64_t end;

      copy[g_rand_int_range (random, 0, (gint32)valid->len)]
          = (char)g_rand_int_range (random, 0, 256);
      if (i % 2 == 0)
        length = valid->len;
      if (limpet_topic_state_check (copy, length, &end))
        {
          limpet_topic_state_merge (state, copy, length);
          merged++;
        }
      g_free (copy);
    }
  CU_ASSERT_TRUE (merged > 0);
  g_string_free (valid, TRUE);
  g_rand_free (random);
  limpet_topic_state_delete (state);
}

static bool
ignore_event (void *user, const LimpetSseEvent *event)
{
  (void)user;
  return event->raw_length > 0;
}

/* Each parser gets each text, so most inputs are also of the wrong kind. None causes a
 * crash or puts a bundle in force. */
static void
test_corrupted_texts_are_handled_safely (void)
{
  LimpetSettings settings = { .approvers_count = 0 };
  LimpetBundleHistory *history = limpet_bundle_history_new (&settings);
  GRand *random = g_rand_new_with_seed (SEED);

  for (int i = 0; i < ROUNDS; i++)
    {
      size_t length;
      char *text
          = corrupt (random, valid_texts[i % (int)G_N_ELEMENTS (valid_texts)], &length);
      LimpetError error;
      LimpetSseParser *sse = limpet_sse_parser_new (ignore_event, NULL);

      limpet_bundle_history_apply (history, i + 1, i, text, length, &error);
      limpet_claim_record_delete (limpet_claim_record_parse (text, length));
      limpet_sse_parser_feed (sse, text, length);
      limpet_sse_parser_delete (sse);
      g_free (text);
    }
  CU_ASSERT_EQUAL (limpet_bundle_history_current (history)->version, 0);
  limpet_bundle_history_delete (history);
  g_rand_free (random);
}

/* Packs a row with the loads of two targets into out, and returns its length. */
static size_t
pack_router_state (uint8_t *out)
{
  Limpet__RouterState state = LIMPET__ROUTER_STATE__INIT;
  uint8_t counts[] = { 0x21 };
  uint32_t ids[] = { 1, 2 };
  uint8_t weights[] = { 9 };

  state.router = (char *)"r1";
  state.count_bits = 4;
  state.counts = (ProtobufCBinaryData){ .data = counts, .len = 1 };
  state.ids = ids;
  state.n_ids = 2;
  state.slow_ids = ids;
  state.n_slow_ids = 1;
  state.slow_weights = (ProtobufCBinaryData){ .data = weights, .len = 1 };
  return limpet__router_state__pack (&state, out);
}

/* One byte of each row is random. Some rows stay valid and some do not. */
static void
test_corrupted_router_states_are_handled_safely (void)
{
  LimpetTargets *targets = limpet_targets_new ();
  LimpetTargetView *view = limpet_targets_snapshot (targets);
  LimpetPeerLoads loads = { .count = 0 };
  GRand *random = g_rand_new_with_seed (SEED);
  uint8_t valid_state[256];
  size_t length = pack_router_state (valid_state);
  int accepted = 0;

  for (int i = 0; i < ROUNDS; i++)
    {
      uint8_t bytes[256];
      Limpet__RouterState *state;

      memcpy (bytes, valid_state, length);
      bytes[g_rand_int_range (random, 0, (gint32)length)] = (uint8_t)g_rand_int (random);
      state = limpet__router_state__unpack (NULL, length, bytes);
      if (state == NULL)
        continue;
      accepted += limpet_router_state_unpack (state, view, &loads);
      limpet__router_state__free_unpacked (state, NULL);
    }
  CU_ASSERT (accepted > 0 && accepted < ROUNDS);
  limpet_router_state_clear (&loads);
  limpet_target_view_release (view);
  limpet_targets_delete (targets);
  g_rand_free (random);
}

static const uint32_t odd_eras[]
    = { 0, 1, LIMPET_LOG_MAX_ERA, LIMPET_LOG_MAX_ERA + 1, INT32_MAX, UINT32_MAX };
static const int64_t odd_numbers[] = { INT64_MIN,
                                       -LIMPET_LOG_MAX_OFFSET,
                                       -1,
                                       0,
                                       1,
                                       7,
                                       LIMPET_LOG_MAX_OFFSET,
                                       LIMPET_LOG_MAX_OFFSET + 1,
                                       INT64_C (1) << 46,
                                       INT64_MAX };
static const uint32_t odd_ages[] = { 0, 1, 900, INT32_MAX, UINT32_MAX };
static const uint32_t odd_topics[]
    = { 0, 1, LIMPET_GOSSIP_TOPICS, LIMPET_GOSSIP_TOPICS + 1, UINT32_MAX };

#define PICK(random, values)                                                             \
  ((values)[g_rand_int_range (random, 0, (gint32)G_N_ELEMENTS (values))])

/* What a router was given by odd messages. */
typedef struct
{
  uint32_t batches;
  uint32_t bad_batches;
  uint32_t bad_sends; /* own messages whose ends are no positions */
} OddGossip;

static bool
is_odd_position (uint32_t era, int64_t offset)
{
  return era > LIMPET_LOG_MAX_ERA || offset < 0 || offset > LIMPET_LOG_MAX_OFFSET;
}

static int64_t
count_batch (void *user, const LimpetGossipBatch *batch)
{
  OddGossip *odd = user;

  odd->batches++;
  odd->bad_batches += batch->topic >= LIMPET_GOSSIP_TOPICS || batch->first_offset < 0
                      || batch->end_offset < 0
                      || limpet_log_position_era (batch->first_offset)
                             != limpet_log_position_era (batch->end_offset);
  return batch->end_offset;
}

static void
check_sent (void *user, uint32_t address, const uint8_t *data, size_t length)
{
  OddGossip *odd = user;
  GossipMessage *message = gossip_message__unpack (NULL, length, data);

  (void)address;
  for (size_t i = 0; i < message->n_topics; i++)
    odd->bad_sends
        += message->topics[i]->topic >= LIMPET_GOSSIP_TOPICS
           || is_odd_position (message->topics[i]->era, message->topics[i]->end)
           || is_odd_position (message->topics[i]->era, message->topics[i]->from);
  gossip_message__free_unpacked (message, NULL);
}

static void
ignore_load (void *user, const LimpetGossipLoad *load)
{
  (void)user;
  (void)load;
}

static void
receive_odd_update (LimpetGossip *gossip, GRand *random, LimpetMs now_ms)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;
  TopicUpdate topic = TOPIC_UPDATE__INIT;
  TopicUpdate *topics[] = { &topic };
  ProtobufCBinaryData records[] = { { .data = (uint8_t *)"r", .len = 1 }, { .len = 0 } };
  uint8_t bytes[256];
  size_t length;

  topic.topic = PICK (random, odd_topics);
  topic.era = PICK (random, odd_eras);
  topic.end = PICK (random, odd_numbers);
  topic.from = PICK (random, odd_numbers);
  topic.age_ms = PICK (random, odd_ages);
  topic.age_range_ms = PICK (random, odd_ages);
  topic.reader = (uint32_t)g_rand_int_range (random, 0, 3);
  topic.read_at_ms = PICK (random, odd_numbers);
  topic.holds_all = g_rand_boolean (random);
  topic.records = records;
  topic.n_records = (size_t)g_rand_int_range (random, 0, 3);
  message.sender = 2;
  message.topics = topics;
  message.n_topics = 1;
  message.start = (uint32_t)g_rand_int_range (random, 0, 3);
  message.clock_ms = PICK (random, odd_numbers);
  length = gossip_message__pack (&message, bytes);
  limpet_gossip_receive (gossip, 2, bytes, length, now_ms - 10, now_ms);
}

/* Neither a number that is no position nor a read in the future goes on from there. */
static void
test_odd_topic_updates_are_handled_safely (void)
{
  static const LimpetGossipOps ops
      = { .send = check_sent, .on_batch = count_batch, .on_load = ignore_load };
  GRand *random = g_rand_new_with_seed (SEED);
  OddGossip odd = { 0 };
  uint32_t reads_in_future = 0;

  for (int i = 0; i < ROUNDS / 20; i++)
    {
      LimpetGossip *gossip = limpet_gossip_new (&ops, &odd, 1, (uint64_t)i);

      for (LimpetMs now_ms = 5000; now_ms < 7000; now_ms += 100)
        {
          receive_odd_update (gossip, random, now_ms);
          limpet_gossip_tick (gossip, now_ms);
          for (uint32_t topic = 0; topic < LIMPET_GOSSIP_TOPICS; topic++)
            reads_in_future += limpet_gossip_topic_age_ms (gossip, topic, now_ms) < 0;
        }
      limpet_gossip_delete (gossip);
    }
  CU_ASSERT_TRUE (odd.batches > 0);
  CU_ASSERT_EQUAL (odd.bad_batches, 0);
  CU_ASSERT_EQUAL (odd.bad_sends, 0);
  CU_ASSERT_EQUAL (reads_in_future, 0);
  g_rand_free (random);
}

static const float odd_rates[]
    = { 0, 1, -1, 1e-45f, 3.4e38f, (float)INFINITY, -(float)INFINITY, (float)NAN };
static const uint32_t odd_reports[] = { 0, 1, 2, INT32_MAX, 1u << 31, UINT32_MAX };

typedef struct
{
  LimpetMs now_ms;
  uint32_t limits;
  uint32_t bad_limits;
  uint32_t bad_sends;
} OddLimits;

static void
count_limit (void *user, const LimpetGossipLimit *limit)
{
  OddLimits *odd = user;

  odd->limits++;
  odd->bad_limits += !isfinite (limit->per_s) || limit->per_s < 0
                     || limit->at_ms >= odd->now_ms
                     || odd->now_ms - limit->at_ms > LIMPET_RATE_LIMIT_VALIDITY_MS;
}

static void
check_sent_limits (void *user, uint32_t address, const uint8_t *data, size_t length)
{
  OddLimits *odd = user;
  GossipMessage *message = gossip_message__unpack (NULL, length, data);

  (void)address;
  for (size_t i = 0; i < message->n_limits; i++)
    odd->bad_sends += !isfinite (message->limits[i]->per_s)
                      || message->limits[i]->per_s < 0
                      || message->limits[i]->age_ms > LIMPET_RATE_LIMIT_VALIDITY_MS;
  gossip_message__free_unpacked (message, NULL);
}

static void
receive_odd_limit (LimpetGossip *gossip, GRand *random, LimpetMs now_ms)
{
  GossipMessage message = GOSSIP_MESSAGE__INIT;
  TargetLimit limit = TARGET_LIMIT__INIT;
  TargetLimit *limits[] = { &limit };
  uint8_t bytes[128];
  size_t length;

  limit.target = PICK (random, odd_reports);
  limit.lifted = g_rand_boolean (random);
  limit.refusals = g_rand_boolean (random);
  limit.per_s = PICK (random, odd_rates);
  limit.age_ms = PICK (random, odd_ages);
  limit.reporter = PICK (random, odd_reports);
  limit.report = PICK (random, odd_reports);
  message.sender = 2;
  message.limits = limits;
  message.n_limits = 1;
  length = gossip_message__pack (&message, bytes);
  limpet_gossip_receive (gossip, 2, bytes, length, now_ms, now_ms);
}

/* Neither a limit that is no number nor an expired one goes on from there. */
static void
test_odd_limits_are_handled_safely (void)
{
  static const LimpetGossipOps ops = { .send = check_sent_limits,
                                       .on_batch = count_batch,
                                       .on_load = ignore_load,
                                       .on_limit = count_limit };
  GRand *random = g_rand_new_with_seed (SEED);
  OddLimits odd = { 0 };

  for (int i = 0; i < ROUNDS / 20; i++)
    {
      LimpetGossip *gossip = limpet_gossip_new (&ops, &odd, 1, (uint64_t)i);

      for (odd.now_ms = 50000; odd.now_ms < 150000; odd.now_ms += 2500)
        {
          receive_odd_limit (gossip, random, odd.now_ms);
          limpet_gossip_tick (gossip, odd.now_ms);
        }
      limpet_gossip_delete (gossip);
    }
  CU_ASSERT_TRUE (odd.limits > 0);
  CU_ASSERT_EQUAL (odd.bad_limits, 0);
  CU_ASSERT_EQUAL (odd.bad_sends, 0);
  g_rand_free (random);
}

/* Changes one byte of a written state in half of the rounds, else one of the message. */
static bool
read_odd_message (const GString *state, int version, bool in_header, GRand *random)
{
  GString *written = g_string_new_len (state->str, (gssize)state->len);
  GString *out = g_string_new (NULL);
  LimpetStateMessage message = { .version = version, .topic = 1, .age_ms = 700 };
  LimpetStateMessage received;
  LimpetTopicState *merged = limpet_topic_state_new ();
  const char *reason = NULL;
  GBytes *read;
  bool is_read;
  gsize length = 0;
  int64_t end;

  if (!in_header)
    written->str[g_rand_int_range (random, 0, (gint32)written->len)]
        = (char)g_rand_int (random);
  message.compressed = limpet_state_message_compress (written->str, written->len);
  limpet_state_message_write (&message, out);
  if (in_header)
    out->str[g_rand_int_range (random, 0, (gint32)out->len)] = (char)g_rand_int (random);
  read = limpet_state_message_read (out->str, out->len, &received, &reason);
  is_read = read != NULL;
  if (read != NULL)
    {
      const char *data = g_bytes_get_data (read, &length);

      if (limpet_topic_state_check (data, length, &end))
        limpet_topic_state_merge (merged, data, length);
      g_bytes_unref (received.compressed);
      g_bytes_unref (read);
    }
  else
    CU_ASSERT_PTR_NOT_NULL (reason);
  limpet_topic_state_delete (merged);
  g_bytes_unref (message.compressed);
  g_string_free (written, TRUE);
  g_string_free (out, TRUE);
  return is_read;
}

static void
test_corrupted_state_messages_are_handled_safely (void)
{
  LimpetTopicState *state = limpet_topic_state_new ();
  GRand *random = g_rand_new_with_seed (SEED);

  for (int version = 0; version <= LIMPET_STATE_MESSAGE_VERSION + 1; version++)
    {
      bool is_known = version >= LIMPET_STATE_MESSAGE_VERSION_WITHOUT_ERAS
                      && version <= LIMPET_STATE_MESSAGE_VERSION;
      uint32_t era = version == LIMPET_STATE_MESSAGE_VERSION_WITHOUT_ERAS ? 0 : 5;
      GString *written = g_string_new (NULL);

      limpet_topic_state_put (state, "i-1", "abc", 3, limpet_log_position (era, 4));
      limpet_topic_state_write (state, limpet_log_position (era, 5), written);
      for (int i = 0; i < ROUNDS / 10; i++)
        {
          CU_ASSERT_EQUAL (read_odd_message (written, version, false, random), is_known);
          read_odd_message (written, version, true, random);
        }
      g_string_free (written, TRUE);
    }
  g_rand_free (random);
  limpet_topic_state_delete (state);
}

void
add_fuzz_tests (void)
{
  CU_pSuite suite = CU_add_suite ("fuzz", NULL, NULL);

  CU_add_test (suite, "corrupted texts are handled safely",
               test_corrupted_texts_are_handled_safely);
  CU_add_test (suite, "corrupted rows are handled safely",
               test_corrupted_router_states_are_handled_safely);
  CU_add_test (suite, "corrupted topic states are handled safely",
               test_corrupted_topic_states_are_handled_safely);
  CU_ADD_TEST (suite, test_odd_topic_updates_are_handled_safely);
  CU_ADD_TEST (suite, test_odd_limits_are_handled_safely);
  CU_ADD_TEST (suite, test_corrupted_state_messages_are_handled_safely);
}
