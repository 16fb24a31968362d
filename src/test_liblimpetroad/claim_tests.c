#include "tests.h"

#include "limpetroad/log_client.h"
#include "private/claim_index.h"
#include "private/claim_record.h"
#include "private/keyed_call.h"

#include <glib.h>
#include <netinet/in.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Returns a claim whose key and attempt id begin with the given bytes. Its offset is also
 * its time. */
static LimpetClaim
make_claim (uint8_t key, uint8_t attempt, int64_t offset)
{
  LimpetClaim claim = { .offset = offset, .time_ms = offset };

  claim.key.bytes[0] = key;
  claim.attempt.bytes[0] = attempt;
  return claim;
}

static void
apply_outcome (LimpetClaimIndex *index, const LimpetClaim *claim, LimpetOutcome outcome)
{
  LimpetClaimOutcome claim_outcome = { .kind = outcome };

  limpet_claim_index_apply_outcome (index, &claim->key, &claim->attempt, &claim_outcome,
                                    claim->offset);
}

static void
test_the_first_claim_wins (void)
{
  LimpetClaimIndex *index = limpet_claim_index_new ();
  LimpetClaim first = make_claim (1, 1, 10);
  LimpetClaim second = make_claim (1, 2, 11);

  CU_ASSERT_TRUE (limpet_claim_index_apply_claim (index, &first));
  CU_ASSERT_FALSE (limpet_claim_index_apply_claim (index, &second));
  CU_ASSERT_TRUE (limpet_claim_index_apply_claim (index, &first));
  apply_outcome (index, &second, LIMPET_OUTCOME_DONE);
  CU_ASSERT_FALSE (limpet_claim_index_find (index, &first.key)->has_outcome);
  apply_outcome (index, &first, LIMPET_OUTCOME_DONE);
  CU_ASSERT_TRUE (limpet_claim_index_find (index, &first.key)->has_outcome);
  limpet_claim_index_delete (index);
}

static void
test_an_abandoned_attempt_frees_the_key (void)
{
  LimpetClaimIndex *index = limpet_claim_index_new ();
  LimpetClaim first = make_claim (1, 1, 10);
  LimpetClaim second = make_claim (1, 2, 12);

  limpet_claim_index_apply_claim (index, &first);
  apply_outcome (index, &first, LIMPET_OUTCOME_NOT_RUN);
  CU_ASSERT_FALSE (limpet_claim_index_apply_claim (index, &first));
  CU_ASSERT_TRUE (limpet_claim_index_apply_claim (index, &second));
  CU_ASSERT_FALSE (limpet_claim_index_apply_claim (index, &first));
  limpet_claim_index_delete (index);
}

/* A retried append can put a claim after the outcome of its attempt. */
static void
test_an_attempt_abandoned_before_its_claim_stays_abandoned (void)
{
  LimpetClaimIndex *index = limpet_claim_index_new ();
  LimpetClaim claim_after_outcome = make_claim (1, 1, 10);

  apply_outcome (index, &claim_after_outcome, LIMPET_OUTCOME_NOT_RUN);
  CU_ASSERT_FALSE (limpet_claim_index_apply_claim (index, &claim_after_outcome));
  CU_ASSERT_PTR_NULL (limpet_claim_index_find (index, &claim_after_outcome.key));
  limpet_claim_index_delete (index);
}

static void
test_the_first_outcome_is_final (void)
{
  LimpetClaimIndex *index = limpet_claim_index_new ();
  LimpetClaim claim = make_claim (1, 1, 10);
  LimpetClaim other = make_claim (1, 2, 11);

  limpet_claim_index_apply_claim (index, &claim);
  apply_outcome (index, &claim, LIMPET_OUTCOME_UNKNOWN);
  apply_outcome (index, &claim, LIMPET_OUTCOME_NOT_RUN);
  CU_ASSERT_FALSE (limpet_claim_index_apply_claim (index, &other));
  limpet_claim_index_delete (index);
}

static void
test_a_formatted_record_is_parsed_unchanged (void)
{
  LimpetClaimRecord *record = limpet_claim_record_new ();
  LimpetClaimRecord *parsed;
  LimpetClaimEntry claim = { .request_hash = UINT64_MAX - 5, .issued_ms = 1764800000000 };
  LimpetOutcomeEntry outcome
      = { .outcome = { .kind = LIMPET_OUTCOME_DONE, .code = 201 } };
  char *text;

  memset (claim.key.bytes, 7, sizeof claim.key.bytes);
  outcome.outcome.body = g_strdup ("\"kept\" \xc3\xa9");
  g_array_append_val (record->claims, claim);
  g_array_append_val (record->outcomes, outcome);
  record->previous_offset = 41;
  text = limpet_claim_record_format (record);
  parsed = limpet_claim_record_parse (text, strlen (text));
  CU_ASSERT_PTR_NOT_NULL_FATAL (parsed);
  CU_ASSERT_EQUAL (g_array_index (parsed->claims, LimpetClaimEntry, 0).request_hash,
                   claim.request_hash);
  CU_ASSERT_STRING_EQUAL (
      g_array_index (parsed->outcomes, LimpetOutcomeEntry, 0).outcome.body,
      "\"kept\" \xc3\xa9");
  CU_ASSERT_EQUAL (parsed->previous_offset, 41);
  limpet_claim_record_delete (parsed);
  limpet_claim_record_delete (record);
  g_free (text);
}

static void
test_idempotency_keys_are_validated (void)
{
  static const struct
  {
    const char *key;
    bool is_valid;
  } keys[] = {
    { "1764800000000-abcdefgh", true },   { "1764800000000-abc_DEF-9", true },
    { "1764800000000-abcdefg", false },   { "1764800000000", false },
    { "-1-abcdefghij", false },           { "17648000000000000-abcdefgh", false },
    { "1764800000000-abc defgh", false }, { "", false },
  };
  LimpetMs issued_ms;

  for (size_t i = 0; i < G_N_ELEMENTS (keys); i++)
    CU_ASSERT_EQUAL (limpet_idempotency_key_parse (keys[i].key, &issued_ms),
                     keys[i].is_valid);
}

#define REPEATING_LOG_APPENDS 3

/* A log that sends each response again when the next request comes on its connection. */
static void *
run_repeating_log (void *user)
{
  int listener = *(int *)user;
  int offset = 0;

  while (offset < REPEATING_LOG_APPENDS)
    {
      int connection = accept (listener, NULL, NULL);
      char request[4096];
      char response[256] = "";

      while (offset < REPEATING_LOG_APPENDS
             && recv (connection, request, sizeof request, 0) > 0)
        {
          char body[64];

          send (connection, response, strlen (response), MSG_NOSIGNAL);
          g_snprintf (body, sizeof body, "{\"offset\":%d}", offset++);
          g_snprintf (response, sizeof response,
                      "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s", strlen (body),
                      body);
          send (connection, response, strlen (response), MSG_NOSIGNAL);
        }
      close (connection);
    }
  return NULL;
}

/* Guards against a fault: the repeated response to an append was taken for that to the
 * next one, whose claim then seemed to have another place in the log. */
static void
test_a_repeated_response_of_the_log_is_not_taken_for_the_next_one (void)
{
  struct sockaddr_in address
      = { .sin_family = AF_INET, .sin_addr = { .s_addr = htonl (INADDR_LOOPBACK) } };
  socklen_t length = sizeof address;
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  pthread_t thread;
  LimpetLogClient *client;
  char *url;

  CU_ASSERT_EQUAL_FATAL (bind (listener, (struct sockaddr *)&address, length), 0);
  listen (listener, 8);
  getsockname (listener, (struct sockaddr *)&address, &length);
  url = g_strdup_printf ("http://127.0.0.1:%d", ntohs (address.sin_port));
  client = limpet_log_client_http_new (url);
  pthread_create (&thread, NULL, run_repeating_log, &listener);
  for (int64_t i = 0; i < REPEATING_LOG_APPENDS; i++)
    {
      int64_t offset = -1;
      LimpetError error;

      CU_ASSERT_EQUAL (client->ops->append (client, "s", "x", 1, &offset, &error),
                       LIMPET_STATUS_OK);
      CU_ASSERT_EQUAL (offset, i);
    }
  client->ops->free (client);
  pthread_join (thread, NULL);
  close (listener);
  g_free (url);
}

void
add_claim_tests (void)
{
  CU_pSuite suite = CU_add_suite ("claims", NULL, NULL);

  CU_add_test (suite, "the first claim wins", test_the_first_claim_wins);
  CU_add_test (suite, "an abandoned attempt frees the key",
               test_an_abandoned_attempt_frees_the_key);
  CU_add_test (suite, "an attempt abandoned before its claim stays abandoned",
               test_an_attempt_abandoned_before_its_claim_stays_abandoned);
  CU_add_test (suite, "the first outcome is final", test_the_first_outcome_is_final);
  CU_add_test (suite, "a formatted record is parsed unchanged",
               test_a_formatted_record_is_parsed_unchanged);
  CU_add_test (suite, "a repeated response of the log is not taken for the next one",
               test_a_repeated_response_of_the_log_is_not_taken_for_the_next_one);
  CU_add_test (suite, "keys", test_idempotency_keys_are_validated);
}
