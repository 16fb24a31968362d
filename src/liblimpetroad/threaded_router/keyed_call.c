#include "private/keyed_call.h"

#include "private/service_call.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define MIN_KEY_TEXT_LENGTH 8
#define MAX_KEY_TEXT_LENGTH 64
/* A key whose time of issue is further in the future is refused. */
#define MAX_CLOCK_SKEW_MS 60000
#define RETRY_AFTER_MS 1000
/* A key expires at the latest after the log's retention time divided by this. */
#define LOG_RETENTION_DIVISOR 4
/* A longer response body is not recorded in the log. */
#define MAX_RECORDED_BODY_BYTES 4096

/* A call with an idempotency key and the claim for it. */
typedef struct
{
  LimpetRequest *call;
  const char *key;
  LimpetClaimEntry entry;
  LimpetClaimDecision claim;
} KeyedCall;

bool
limpet_idempotency_key_parse (const char *key, LimpetMs *issued_ms)
{
  char *end = NULL;
  size_t length;

  if (key[0] < '0' || key[0] > '9')
    return false;
  *issued_ms = g_ascii_strtoll (key, &end, 10);
  if (*end != '-' || end - key > 15)
    return false;
  length = strlen (end + 1);
  return length >= MIN_KEY_TEXT_LENGTH && length <= MAX_KEY_TEXT_LENGTH
         && strspn (end + 1,
                    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
                == length;
}

static void
reply_error (KeyedCall *keyed,
             int code,
             LimpetOutcome outcome,
             LimpetMs retry_after_ms,
             const LimpetError *error)
{
  LimpetReplyError error_reply = {
    .code = code,
    .outcome = outcome,
    .retry_after_ms = retry_after_ms,
    .error = error,
  };

  limpet_reply_error (keyed->call, &error_reply);
}

/* Returns the age above which a key is refused. */
static LimpetMs
key_window_ms (const LimpetRequest *call)
{
  return MIN (call->bundle->fleet.order_window_ms,
              call->context->settings->log_retention_ms / LOG_RETENTION_DIVISOR);
}

/* Hashes the key with the team and the service, because it is valid only for these. */
static void
hash_key (KeyedCall *keyed)
{
  const LimpetRequest *call = keyed->call;
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, LIMPET_CLAIM_ID_BYTES);
  crypto_generichash_update (&state, (const uint8_t *)call->team->name,
                             strlen (call->team->name) + 1);
  crypto_generichash_update (&state, (const uint8_t *)call->service->name,
                             strlen (call->service->name) + 1);
  crypto_generichash_update (&state, (const uint8_t *)keyed->key, strlen (keyed->key));
  crypto_generichash_final (&state, keyed->entry.key.bytes, LIMPET_CLAIM_ID_BYTES);
}

/* Returns a hash by which the use of a key for a different request is detected. */
static uint64_t
hash_request (const LimpetRequest *call)
{
  uint64_t hash
      = XXH64 (call->info->request_method, strlen (call->info->request_method), 0);

  hash = XXH64 (call->service_path, strlen (call->service_path), hash);
  return XXH64 (call->body, call->body_length, hash);
}

/* Checks the key and fills the claim entry. Sends an error response if it returns false.
 */
static bool
check_key (KeyedCall *keyed)
{
  LimpetRequest *call = keyed->call;
  LimpetMs now_ms = limpet_clock_wall_ms ();
  LimpetError error;

  keyed->key = limpet_request_header (call, "Idempotency-Key");
  if (keyed->key == NULL
      || !limpet_idempotency_key_parse (keyed->key, &keyed->entry.issued_ms))
    {
      limpet_error_set (
          &error, LIMPET_STATUS_INVALID, "check", NULL,
          "Idempotency-Key: must be TIME-TEXT, the time of issue in ms since the epoch "
          "and 8 to 64 letters, digits, '_' or '-'");
      reply_error (keyed, 400, LIMPET_OUTCOME_NOT_RUN, 0, &error);
      return false;
    }
  if (keyed->entry.issued_ms > now_ms + MAX_CLOCK_SKEW_MS
      || now_ms - keyed->entry.issued_ms > key_window_ms (call))
    {
      limpet_error_set (
          &error, LIMPET_STATUS_EXPIRED, "check", NULL,
          "Idempotency-Key: issued in the future or more than %d ms ago; the request was "
          "not run now, and it is unknown whether it ran before",
          (int)key_window_ms (call));
      reply_error (keyed, 409, LIMPET_OUTCOME_UNKNOWN, 0, &error);
      return false;
    }
  hash_key (keyed);
  keyed->entry.request_hash = hash_request (call);
  randombytes_buf (keyed->entry.attempt.bytes, sizeof keyed->entry.attempt.bytes);
  limpet_claim_id_to_hex (&keyed->entry.attempt, call->attempt_id);
  return true;
}

static void
record_outcome (KeyedCall *keyed, const LimpetClaimOutcome *outcome)
{
  LimpetOutcomeEntry entry = {
    .key = keyed->entry.key,
    .attempt = keyed->entry.attempt,
    .outcome = *outcome,
  };

  limpet_claim_controller_record_outcome (keyed->call->context->claims, &entry);
}

/* Records that this attempt did not run and will not run, so that a later attempt with
 * the same key may run. */
static void
record_not_run (KeyedCall *keyed)
{
  LimpetClaimOutcome outcome = { .kind = LIMPET_OUTCOME_NOT_RUN };

  record_outcome (keyed, &outcome);
}

/* Sends an error response after a claim without a decision. */
static void
reply_claim_failed (KeyedCall *keyed, LimpetError *error)
{
  record_not_run (keyed);
  g_strlcat (error->message,
             "; the request was not run now, but an earlier attempt may have run",
             sizeof error->message);
  reply_error (keyed, 503, LIMPET_OUTCOME_UNKNOWN, RETRY_AFTER_MS, error);
}

static void
reply_recorded_outcome (KeyedCall *keyed)
{
  const LimpetClaimOutcome *outcome = &keyed->claim.outcome;
  const char *body = outcome->body != NULL ? outcome->body : "";

  keyed->call->outcome = outcome->kind;
  limpet_reply_body (
      keyed->call, outcome->code,
      outcome->content_type[0] != '\0' ? outcome->content_type : "text/plain",
      outcome->body != NULL ? "X-Repeat: 1\r\n" : "X-Repeat: 1\r\nX-Body-Not-Kept: 1\r\n",
      body, strlen (body));
}

/* Sends the response of an attempt that did not win the claim: the recorded outcome of
 * the attempt that won it, or an error. */
static void
reply_claim_lost (KeyedCall *keyed)
{
  const LimpetClaimDecision *claim = &keyed->claim;
  LimpetError error;

  if (claim->result == LIMPET_CLAIM_EXPIRED)
    {
      limpet_error_set (
          &error, LIMPET_STATUS_EXPIRED, "claim", "log",
          "the log lost records; the request was not run now, and it is unknown whether "
          "it ran before");
      reply_error (keyed, 409, LIMPET_OUTCOME_UNKNOWN, 0, &error);
    }
  else if (!claim->same_request)
    {
      limpet_error_set (
          &error, LIMPET_STATUS_CONFLICT, "claim", NULL,
          "Idempotency-Key: already used for a different request; this one was not run");
      reply_error (keyed, 422, LIMPET_OUTCOME_NOT_RUN, 0, &error);
    }
  else if (claim->has_outcome && claim->outcome.kind != LIMPET_OUTCOME_UNKNOWN)
    reply_recorded_outcome (keyed);
  else
    {
      limpet_error_set (
          &error, LIMPET_STATUS_CONFLICT, "claim", NULL,
          "an earlier attempt with this key may have run or may still be running");
      reply_error (keyed, 409, LIMPET_OUTCOME_UNKNOWN,
                   claim->has_outcome ? 0 : RETRY_AFTER_MS, &error);
    }
}

static LimpetOutcome
call_outcome (const LimpetServiceCall *service_call, LimpetStatus status)
{
  if (status == LIMPET_STATUS_OK)
    return LIMPET_OUTCOME_DONE;
  if (status == LIMPET_STATUS_INVALID)
    return LIMPET_OUTCOME_FAILED;
  return service_call->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN;
}

/* Records the outcome in the log, with the response body if it is short and UTF-8. */
static void
record_run (KeyedCall *keyed, const LimpetServiceCall *service_call, LimpetStatus status)
{
  const LimpetServiceResponse *response = &service_call->response;
  LimpetClaimOutcome outcome = {
    .kind = call_outcome (service_call, status),
    .code = (int32_t)response->head.code,
  };

  g_strlcpy (outcome.content_type, response->head.content_type,
             sizeof outcome.content_type);
  if (response->body != NULL && response->body->len <= MAX_RECORDED_BODY_BYTES
      && g_utf8_validate (response->body->str, (gssize)response->body->len, NULL))
    outcome.body = response->body->str;
  record_outcome (keyed, &outcome);
}

/* Sends the request to the service. Only the attempt that won the claim for the key
 * may do so. */
static void
run_claimed (KeyedCall *keyed)
{
  LimpetServiceCall service_call;
  LimpetStatus status;
  LimpetOutcome outcome;

  limpet_service_call_init (&service_call, keyed->call);
  service_call.is_retryable = false;
  service_call.request.attempt_id = keyed->call->attempt_id;
  service_call.request.idempotency_key = keyed->key;
  service_call.request.new_connection = true;
  /* The offset of the claim in the log serves as the fencing number. */
  if (keyed->call->service->checks_fencing)
    service_call.request.fencing = keyed->claim.offset;
  status = limpet_service_call_run (&service_call);
  outcome = call_outcome (&service_call, status);
  record_run (keyed, &service_call, status);
  if (outcome == LIMPET_OUTCOME_DONE || outcome == LIMPET_OUTCOME_FAILED)
    limpet_service_call_reply (&service_call, status);
  else
    reply_error (keyed, outcome == LIMPET_OUTCOME_NOT_RUN ? 503 : 504, outcome,
                 RETRY_AFTER_MS, &service_call.error);
  limpet_service_call_clear (&service_call);
}

void
limpet_keyed_call_run (LimpetRequest *call)
{
  KeyedCall keyed = { .call = call };
  LimpetError error;

  if (!check_key (&keyed))
    return;
  if (limpet_claim_controller_claim (call->context->claims, &keyed.entry,
                                     call->deadline_ms, &keyed.claim, &error)
      != LIMPET_STATUS_OK)
    {
      reply_claim_failed (&keyed, &error);
      return;
    }
  if (keyed.claim.result != LIMPET_CLAIM_WON)
    reply_claim_lost (&keyed);
  else if (limpet_clock_mono_ms () >= call->deadline_ms)
    {
      record_not_run (&keyed);
      limpet_error_set (&error, LIMPET_STATUS_TIMEOUT, "claim", NULL,
                        "the deadline passed before the request was sent");
      reply_error (&keyed, 503, LIMPET_OUTCOME_NOT_RUN, RETRY_AFTER_MS, &error);
    }
  else
    run_claimed (&keyed);
  g_free (keyed.claim.outcome.body);
}
