#include "tests.h"

#include "limpetroad/bundle_history.h"
#include "limpetroad/topic_state.h"
#include "cluster_state/peer.pb-c.h"
#include "private/claim_record.h"
#include "private/router_state.h"
#include "private/schema.h"
#include "private/sse.h"

#include <glib.h>
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
}
