#include "private/order.h"

#include "private/service_call.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define KEY_TEXT_LEAST 8
#define KEY_TEXT_MOST 64
#define CLOCK_SKEW_MS 60000
#define RETRY_AFTER_MS 1000
/* Part of the log's retention within which a key is accepted. */
#define WINDOW_PART 4
#define KEPT_BODY_BYTES 4096

/* One order on its way. */
typedef struct
{
  LimpetCall *call;
  const char *key;
  LimpetClaimEntry entry;
  LimpetClaimAnswer claim;
} Order;

bool
limpet_order_parse_key (const char *key, LimpetMs *issued_ms)
{
  char *end = NULL;
  size_t length;

  if (key[0] < '0' || key[0] > '9')
    return false;
  *issued_ms = g_ascii_strtoll (key, &end, 10);
  if (*end != '-' || end - key > 15)
    return false;
  length = strlen (end + 1);
  return length >= KEY_TEXT_LEAST && length <= KEY_TEXT_MOST
         && strspn (end + 1,
                    "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789_-")
                == length;
}

static void
reply (Order *order,
       int code,
       LimpetOutcome outcome,
       LimpetMs retry_after_ms,
       const LimpetError *error)
{
  LimpetReplyError answer = {
    .code = code,
    .outcome = outcome,
    .retry_after_ms = retry_after_ms,
    .error = error,
  };

  limpet_reply_error (order->call, &answer);
}

static LimpetMs
window_ms (const LimpetCall *call)
{
  return MIN (call->bundle->fleet.order_window_ms,
              call->context->settings->log_retention_ms / WINDOW_PART);
}

/* The key speaks for its team and plain service only. */
static void
hash_key (Order *order)
{
  const LimpetCall *call = order->call;
  crypto_generichash_state state;

  crypto_generichash_init (&state, NULL, 0, LIMPET_KEY_BYTES);
  crypto_generichash_update (&state, (const uint8_t *)call->team->name,
                             strlen (call->team->name) + 1);
  crypto_generichash_update (&state, (const uint8_t *)call->service->name,
                             strlen (call->service->name) + 1);
  crypto_generichash_update (&state, (const uint8_t *)order->key, strlen (order->key));
  crypto_generichash_final (&state, order->entry.key.bytes, LIMPET_KEY_BYTES);
}

static uint64_t
hash_request (const LimpetCall *call)
{
  uint64_t hash
      = XXH64 (call->info->request_method, strlen (call->info->request_method), 0);

  hash = XXH64 (call->service_path, strlen (call->service_path), hash);
  return XXH64 (call->body, call->body_length, hash);
}

/* Checks the key and fills the claim's entry; answers the caller if it returns false. */
static bool
prepare (Order *order)
{
  LimpetCall *call = order->call;
  LimpetMs now_ms = limpet_clock_wall_ms ();
  LimpetError error;

  order->key = limpet_call_header (call, "Idempotency-Key");
  if (order->key == NULL || !limpet_order_parse_key (order->key, &order->entry.issued_ms))
    {
      limpet_error_set (
          &error, LIMPET_STATUS_INVALID, "check", NULL,
          "Idempotency-Key: must be TIME-TEXT, the time of issue in ms and 8 to 64 "
          "letters, digits, '_' or '-'");
      reply (order, 400, LIMPET_OUTCOME_NOT_RUN, 0, &error);
      return false;
    }
  if (order->entry.issued_ms > now_ms + CLOCK_SKEW_MS
      || now_ms - order->entry.issued_ms > window_ms (call))
    {
      limpet_error_set (
          &error, LIMPET_STATUS_EXPIRED, "check", NULL,
          "Idempotency-Key: issued outside the last %d ms; not run now, and whether "
          "it ran before is not known",
          (int)window_ms (call));
      reply (order, 409, LIMPET_OUTCOME_UNKNOWN, 0, &error);
      return false;
    }
  hash_key (order);
  order->entry.request_hash = hash_request (call);
  randombytes_buf (order->entry.attempt.bytes, sizeof order->entry.attempt.bytes);
  limpet_claim_id_to_hex (&order->entry.attempt, call->attempt_id);
  return true;
}

static void
report (Order *order, const LimpetClaimOutcome *outcome)
{
  LimpetOutcomeEntry entry = {
    .key = order->entry.key,
    .attempt = order->entry.attempt,
    .outcome = *outcome,
  };

  limpet_claim_controller_report (order->call->context->claims, &entry);
}

/* Promises that this attempt never runs, so that a later one may. */
static void
report_not_run (Order *order)
{
  LimpetClaimOutcome outcome = { .outcome = LIMPET_OUTCOME_NOT_RUN };

  report (order, &outcome);
}

static void
reply_undecided (Order *order, LimpetError *error)
{
  report_not_run (order);
  g_strlcat (error->message, "; not run now, but an earlier attempt may have run",
             sizeof error->message);
  reply (order, 503, LIMPET_OUTCOME_UNKNOWN, RETRY_AFTER_MS, error);
}

static void
reply_recorded (Order *order)
{
  const LimpetClaimOutcome *outcome = &order->claim.outcome;
  const char *body = outcome->body != NULL ? outcome->body : "";

  order->call->outcome = outcome->outcome;
  limpet_reply_body (
      order->call, outcome->code,
      outcome->content_type[0] != '\0' ? outcome->content_type : "text/plain",
      outcome->body != NULL ? "X-Repeat: 1\r\n" : "X-Repeat: 1\r\nX-Body-Not-Kept: 1\r\n",
      body, strlen (body));
}

/* Answers a repeat with what is known of the attempt that won. */
static void
reply_lost (Order *order)
{
  const LimpetClaimAnswer *claim = &order->claim;
  LimpetError error;

  if (claim->result == LIMPET_CLAIM_EXPIRED)
    {
      limpet_error_set (
          &error, LIMPET_STATUS_EXPIRED, "claim", "log",
          "the log lost records; not run now, and whether it ran before is not known");
      reply (order, 409, LIMPET_OUTCOME_UNKNOWN, 0, &error);
    }
  else if (!claim->same_request)
    {
      limpet_error_set (
          &error, LIMPET_STATUS_CONFLICT, "claim", NULL,
          "Idempotency-Key: was used for another request; this one was not run");
      reply (order, 422, LIMPET_OUTCOME_NOT_RUN, 0, &error);
    }
  else if (claim->has_outcome && claim->outcome.outcome != LIMPET_OUTCOME_UNKNOWN)
    reply_recorded (order);
  else
    {
      limpet_error_set (&error, LIMPET_STATUS_CONFLICT, "claim", NULL,
                        "an earlier attempt of this key may have run, or be running");
      reply (order, 409, LIMPET_OUTCOME_UNKNOWN, claim->has_outcome ? 0 : RETRY_AFTER_MS,
             &error);
    }
}

static LimpetOutcome
outcome_of (const LimpetServiceCall *service, LimpetStatus status)
{
  if (status == LIMPET_STATUS_OK)
    return LIMPET_OUTCOME_DONE;
  if (status == LIMPET_STATUS_INVALID)
    return LIMPET_OUTCOME_FAILED;
  return service->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN;
}

static void
report_run (Order *order, const LimpetServiceCall *service, LimpetStatus status)
{
  const LimpetServiceAnswer *answer = &service->answer;
  LimpetClaimOutcome outcome = {
    .outcome = outcome_of (service, status),
    .code = (int32_t)answer->answer.code,
  };

  g_strlcpy (outcome.content_type, answer->answer.content_type,
             sizeof outcome.content_type);
  if (answer->body != NULL && answer->body->len <= KEPT_BODY_BYTES
      && g_utf8_validate (answer->body->str, (gssize)answer->body->len, NULL))
    outcome.body = answer->body->str;
  report (order, &outcome);
}

/* Sends the order under its claim. This attempt is the only one of the key that may. */
static void
run_won (Order *order)
{
  LimpetServiceCall service;
  LimpetStatus status;
  LimpetOutcome outcome;

  limpet_service_call_init (&service, order->call);
  service.may_be_repeated = false;
  service.request.attempt_id = order->call->attempt_id;
  service.request.idempotency_key = order->key;
  service.request.fresh = true;
  if (order->call->service->checks_fencing)
    service.request.fencing = order->claim.offset;
  status = limpet_service_call_run (&service);
  outcome = outcome_of (&service, status);
  report_run (order, &service, status);
  if (outcome == LIMPET_OUTCOME_DONE || outcome == LIMPET_OUTCOME_FAILED)
    limpet_service_call_reply (&service, status);
  else
    reply (order, outcome == LIMPET_OUTCOME_NOT_RUN ? 503 : 504, outcome, RETRY_AFTER_MS,
           &service.error);
  limpet_service_call_clear (&service);
}

void
limpet_order_run (LimpetCall *call)
{
  Order order = { .call = call };
  LimpetError error;

  if (!prepare (&order))
    return;
  if (limpet_claim_controller_claim (call->context->claims, &order.entry,
                                     call->deadline_ms, &order.claim, &error)
      != LIMPET_STATUS_OK)
    {
      reply_undecided (&order, &error);
      return;
    }
  if (order.claim.result != LIMPET_CLAIM_WON)
    reply_lost (&order);
  else if (limpet_clock_mono_ms () >= call->deadline_ms)
    {
      report_not_run (&order);
      limpet_error_set (&error, LIMPET_STATUS_TIMEOUT, "claim", NULL,
                        "the deadline passed before the order was sent");
      reply (&order, 503, LIMPET_OUTCOME_NOT_RUN, RETRY_AFTER_MS, &error);
    }
  else
    run_won (&order);
  g_free (order.claim.outcome.body);
}
