#include "private/request.h"

#include "limpetroad/counters.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

const char *
limpet_reply_reason_phrase (int code)
{
  return mg_get_response_code_text (NULL, code);
}

const char *
limpet_request_header (const LimpetRequest *call, const char *name)
{
  const char *value = mg_get_header (call->connection, name);

  return value != NULL && value[0] != '\0' ? value : NULL;
}

void
limpet_reply_body (LimpetRequest *call,
                   int code,
                   const char *content_type,
                   const char *extra_headers,
                   const char *body,
                   size_t length)
{
  bool draining = atomic_load (&call->context->draining);
  char attempt[64] = "";

  if (call->attempt_id[0] != '\0')
    g_snprintf (attempt, sizeof attempt, "X-Attempt-Id: %s\r\n", call->attempt_id);
  mg_printf (call->connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n"
             "X-Request-Id: %s\r\nX-Outcome: %s\r\n%s%s%s\r\n",
             code, limpet_reply_reason_phrase (code), content_type, length,
             call->request_id, limpet_outcome_string[call->outcome], attempt,
             draining ? "Connection: close\r\n" : "", extra_headers);
  mg_write (call->connection, body, length);
}

static void
count_outcome (LimpetOutcome outcome)
{
  static const LimpetCounter counters[LIMPET_OUTCOME_COUNT] = {
    [LIMPET_OUTCOME_DONE] = LIMPET_COUNTER_DONE,
    [LIMPET_OUTCOME_NOT_RUN] = LIMPET_COUNTER_NOT_RUN,
    [LIMPET_OUTCOME_FAILED] = LIMPET_COUNTER_FAILED,
    [LIMPET_OUTCOME_UNKNOWN] = LIMPET_COUNTER_UNKNOWN,
  };

  limpet_counter_add (counters[outcome], 1);
}

json_object *
limpet_reply_error_object (const LimpetRequest *call,
                           LimpetOutcome outcome,
                           const LimpetError *error)
{
  json_object *root = json_object_new_object ();
  json_object *object = json_object_new_object ();

  json_object_object_add (object, "type",
                          json_object_new_string (limpet_status_string[error->status]));
  json_object_object_add (object, "message", json_object_new_string (error->message));
  json_object_object_add (object, "outcome",
                          json_object_new_string (limpet_outcome_string[outcome]));
  json_object_object_add (object, "step", json_object_new_string (error->step));
  json_object_object_add (object, "peer", json_object_new_string (error->peer));
  json_object_object_add (object, "request_id",
                          json_object_new_string (call->request_id));
  json_object_object_add (root, "error", object);
  return root;
}

void
limpet_reply_error (LimpetRequest *call, const LimpetReplyError *reply)
{
  json_object *root = limpet_reply_error_object (call, reply->outcome, reply->error);
  const char *text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  char retry_after[64] = "";

  call->outcome = reply->outcome;
  if (reply->retry_after_ms > 0)
    g_snprintf (retry_after, sizeof retry_after, "Retry-After: %" PRId64 "\r\n",
                (reply->retry_after_ms + 999) / 1000);
  limpet_reply_body (call, reply->code, "application/json", retry_after, text,
                     strlen (text));
  json_object_put (root);
}

static void
clear_call (LimpetRequest *call)
{
  json_object_put (call->json);
  g_free (call->body);
  limpet_byte_holder_clear (&call->holder);
  limpet_bundle_unref (call->bundle);
}

void
limpet_request_run (LimpetRequestContext *context,
                    struct mg_connection *connection,
                    const LimpetFilter *const *chain)
{
  LimpetRequest call = {
    .context = context,
    .connection = connection,
    .info = mg_get_request_info (connection),
    .holder = { .account = context->chat.account },
    .received_ms = limpet_clock_mono_ms (),
    .outcome = LIMPET_OUTCOME_NOT_RUN,
  };

  atomic_fetch_add (&context->inflight, 1);
  while (*chain != NULL && (*chain)->ops->process (*chain, &call) == LIMPET_FILTER_NEXT)
    chain++;
  count_outcome (call.outcome);
  clear_call (&call);
  atomic_fetch_sub (&context->inflight, 1);
}
