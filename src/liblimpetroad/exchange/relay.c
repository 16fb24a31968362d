#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/upstream.h"

#include <string.h>

/* Responses other than streams are buffered completely before they are forwarded, so that
 * the call can be retried if the connection fails during the response. A response with a
 * larger body fails the attempt. */
#define MAX_RESPONSE_BODY_BYTES (16 * 1024 * 1024)
/* While more bytes than MAX_BUFFERED_BYTES are buffered for all calls, a response that
 * exceeds SMALL_RESPONSE_BYTES fails, so that responses without end cannot use up the
 * memory of the router. */
#define MAX_BUFFERED_BYTES (32 * 1024 * 1024)
#define SMALL_RESPONSE_BYTES (256 * 1024)
/* Reading from the target pauses while more bytes than this are queued for the caller. */
#define MAX_CALLER_BACKLOG_BYTES (256 * 1024)
/* Subtracted from the idle time-out of a target, so that the target does not close the
 * connection while a request is in transit. */
#define KEEP_ALIVE_MARGIN_MS 400

static bool
is_event_stream (const LimpetTask *task)
{
  return task->call.route->kind == LIMPET_ROUTE_KIND_STREAM
         && task->response.status == 200 && strcmp (task->head->method, "HEAD") != 0;
}

/* Copies the status and the end-to-end fields. The fields that frame the body are written
 * later. */
static void
copy_head (LimpetTask *task, const LimpetHttpHead *head)
{
  if (task->response_head == NULL)
    task->response_head = g_string_new (NULL);
  g_string_printf (task->response_head, "HTTP/1.1 %d %s\r\n", head->status,
                   http_status_str ((enum http_status)head->status));
  for (uint32_t i = 0; i < head->fields_count; i++)
    if (limpet_http_head_is_end_to_end (head, head->fields[i].name))
      g_string_append_printf (task->response_head, "%s: %s\r\n", head->fields[i].name,
                              head->fields[i].value);
}

static void
record_rate_limit (LimpetTask *task, LimpetMs now_ms)
{
  LimpetExchange *exchange = task->exchange;
  const LimpetTargetResponse *response = &task->response;
  bool was_limited = task->target->rate_limit.is_set;

  limpet_dispatch_record_rate_limit (
      exchange->dispatch, task->target,
      response->has_rate_limit ? &response->rate_limit_per_s : NULL, now_ms);
  if ((was_limited || response->has_rate_limit) && exchange->limit_observer != NULL)
    exchange->limit_observer (exchange->limit_observer_user, task->target);
}

static void
record_brittle (LimpetTask *task)
{
  LimpetExchange *exchange = task->exchange;
  const LimpetTargetResponse *response = &task->response;

  limpet_dispatch_record_brittle (exchange->dispatch, task->target,
                                  response->is_brittle ? &response->max_refusals_per_s
                                                       : NULL);
  if (response->is_brittle && exchange->brittle_observer != NULL)
    exchange->brittle_observer (exchange->brittle_observer_user, task->target);
}

/* The target sees the router that relays as the sender of the call. */
static void
record_rest (LimpetTask *task)
{
  LimpetExchange *exchange = task->exchange;
  LimpetMs rest_ms = task->response.rest_ms;
  uint32_t relay_address = task->upstream->relay_address;

  limpet_dispatch_record_rest (exchange->dispatch, task->target, rest_ms);
  if (relay_address != 0)
    exchange->relay_ops->send_rest (exchange->relay_user, relay_address, task->target,
                                    rest_ms);
}

bool
limpet_relay_head (LimpetTask *task, const LimpetHttpHead *head)
{
  LimpetExchange *exchange = task->exchange;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  task->response = (LimpetTargetResponse){ .status = head->status };
  if (head->status / 100 == 1)
    return true;
  exchange->target_codec->ops->read_response (exchange->target_codec, head, &task->call,
                                              task->target, &task->response);
  if (task->response.is_brittle || task->response.is_from_target)
    record_brittle (task);
  if (task->response.rest_ms > 0)
    record_rest (task);
  if (task->response.is_leaving)
    limpet_exchange_mark_leaving (exchange, task->target, "its response");
  if (task->response.is_for_other_call)
    return true;
  task->response_head_ms = now_ms;
  exchange->responded_ms = now_ms;
  if (task->response.is_from_target)
    atomic_store (&task->target->responded_ms, now_ms);
  if (task->response.has_rate_limit || task->response.is_from_target)
    record_rate_limit (task, now_ms);
  if (task->response.has_load)
    {
      limpet_dispatch_record_load (exchange->dispatch, task->target,
                                   task->response.running + task->response.waiting,
                                   now_ms);
      if (exchange->load_observer != NULL)
        exchange->load_observer (exchange->load_observer_user, task->target);
    }
  limpet_relay_discard_body (task);
  task->is_streaming = is_event_stream (task) && task->response.is_from_target
                       && !task->response.is_encoded;
  task->ends_with_close = !head->is_chunked && head->content_length < 0;
  if (!limpet_continuation_accepts_head (task, head))
    return false;
  if (!task->head_sent)
    copy_head (task, head);
  return true;
}

/* Appends the fields that frame the body of a stream. The body is chunked unless the
 * caller uses HTTP/1.0 or the target marks the end of the response only by closing its
 * connection. In these cases the router ends the response by closing the caller's
 * connection. */
static void
append_framing (LimpetTask *task, GString *out)
{
  limpet_task_close_if_draining (task);
  task->is_chunked_to_caller = !task->is_http10 && !task->ends_with_close;
  if (task->is_chunked_to_caller)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else
    task->closes_connection = true;
  g_string_append (out, task->closes_connection ? "Connection: close\r\n\r\n" : "\r\n");
}

/* Writes event bytes to the caller, preceded by the response head if it has not been sent
 * yet. Pauses reading from the target if too many bytes are queued for the caller. */
static void
write_events (LimpetTask *task, const GString *events)
{
  LimpetCaller *caller = task->caller;
  GString *out;

  if (caller == NULL || (events->len == 0 && task->head_sent))
    return;
  out = g_string_sized_new (events->len + 512);
  if (!task->head_sent)
    {
      g_string_append_len (out, task->response_head->str,
                           (gssize)task->response_head->len);
      append_framing (task, out);
      task->head_sent = true;
    }
  if (events->len > 0 && task->is_chunked_to_caller)
    g_string_append_printf (out, "%zx\r\n", events->len);
  g_string_append_len (out, events->str, (gssize)events->len);
  if (events->len > 0 && task->is_chunked_to_caller)
    g_string_append (out, "\r\n");
  limpet_caller_write (caller, out->str, out->len);
  g_string_free (out, TRUE);
  if (!caller->is_closed && task->upstream != NULL
      && limpet_caller_backlog (caller) > MAX_CALLER_BACKLOG_BYTES)
    limpet_upstream_pause (task->upstream, true);
}

static void
record_first_event (LimpetTask *task)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (task->has_first_event)
    return;
  task->has_first_event = true;
  task->first_event_ms = now_ms;
  task->dispatch_request.software_hash = task->target->software_hash;
  limpet_dispatch_record_first_event (task->exchange->dispatch, task->target,
                                      now_ms - task->sent_ms);
}

/* Records the mean time between events as a sample for outlier detection. */
static void
record_event_gap (LimpetTask *task, uint32_t count)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (task->last_event_ms > 0)
    limpet_target_record_token_gap_ms (task->target,
                                       (double)(now_ms - task->last_event_ms) / count);
  task->last_event_ms = now_ms;
}

/* Adds bytes to the buffered response. Returns false if it exceeds the limits. */
static bool
buffer_body (LimpetTask *task, const char *data, size_t length)
{
  size_t *buffered_bytes = &task->exchange->buffered_bytes;
  size_t size = length;

  if (task->response_body == NULL)
    task->response_body = g_byte_array_new ();
  size += task->response_body->len;
  if (size > MAX_RESPONSE_BODY_BYTES
      || (size > SMALL_RESPONSE_BYTES && *buffered_bytes + length > MAX_BUFFERED_BYTES))
    return false;
  g_byte_array_append (task->response_body, (const guint8 *)data, (guint)length);
  *buffered_bytes += length;
  return true;
}

void
limpet_relay_discard_body (LimpetTask *task)
{
  if (task->response_body == NULL)
    return;
  task->exchange->buffered_bytes -= task->response_body->len;
  g_byte_array_free (task->response_body, TRUE);
  task->response_body = NULL;
}

/* Forwards the events that are complete with the data. Returns false if the first one
 * does not continue the stream, or if an event exceeds the limit. */
static bool
relay_events (LimpetTask *task, const char *data, size_t length)
{
  GString *events = g_string_new (NULL);
  bool had_event = task->events.has_event;
  uint32_t count = limpet_event_splitter_feed (&task->events, data, length, events);
  bool is_accepted = had_event || limpet_continuation_accepts_events (task);

  if (!is_accepted)
    limpet_event_splitter_clear (&task->events); /* its ids are not those of the stream */
  else if (count > 0)
    {
      record_event_gap (task, count);
      record_first_event (task);
      limpet_counter_add (LIMPET_COUNTER_TOKENS, count);
      write_events (task, events);
    }
  g_string_free (events, TRUE);
  return is_accepted && !limpet_event_splitter_exceeds_limit (&task->events);
}

bool
limpet_relay_body (LimpetTask *task, const char *data, size_t length)
{
  if (task->response.is_for_other_call)
    return true;
  return task->is_streaming ? relay_events (task, data, length)
                            : buffer_body (task, data, length);
}

/* Writes the rest of a stream: bytes after the last complete event, the response head if
 * it has not been sent yet, and the last chunk. */
static void
end_stream (LimpetTask *task)
{
  if (task->events.text != NULL && task->events.text->len > 0)
    {
      write_events (task, task->events.text);
      g_string_truncate (task->events.text, 0);
    }
  if (!task->head_sent)
    {
      GString *no_events = g_string_new (NULL);

      write_events (task, no_events);
      g_string_free (no_events, TRUE);
    }
  if (task->caller != NULL && task->is_chunked_to_caller)
    limpet_caller_write (task->caller, "0\r\n\r\n", 5);
}

/* Writes a buffered response. If only the close of the target's connection ended it, the
 * close does not prove that the response is complete. A Content-Length would claim that
 * it is, so the router sends none and closes the caller's connection after the body. */
static void
write_complete_response (LimpetTask *task)
{
  size_t length = task->response_body != NULL ? task->response_body->len : 0;
  bool has_body = task->response.status != 204 && task->response.status != 304;
  GString *out;

  if (task->caller == NULL)
    return;
  limpet_task_close_if_draining (task);
  out = g_string_sized_new (task->response_head->len + length + 64);
  g_string_append_len (out, task->response_head->str, (gssize)task->response_head->len);
  if (has_body && task->ends_with_close)
    task->closes_connection = true;
  else if (has_body)
    g_string_append_printf (out, "Content-Length: %zu\r\n", length);
  g_string_append (out, task->closes_connection ? "Connection: close\r\n\r\n" : "\r\n");
  if (has_body && length > 0)
    g_string_append_len (out, (const char *)task->response_body->data, (gssize)length);
  task->head_sent = true;
  limpet_caller_write (task->caller, out->str, out->len);
  g_string_free (out, TRUE);
}

/* Returns how long the connection may stay in the pool; 0 or less to close it. */
static LimpetMs
max_idle_ms (const LimpetTask *task, bool reusable)
{
  LimpetMs target_timeout_ms = task->response.keep_alive_ms;

  if (!reusable)
    return 0;
  if (target_timeout_ms > 0)
    return MIN (target_timeout_ms - KEEP_ALIVE_MARGIN_MS, LIMPET_POOL_IDLE_MS);
  return LIMPET_POOL_IDLE_MS;
}

/* Returns whether the status tells callers that the call did not run and may be sent
 * again. For a call that must not run twice, the router must not forward such a status
 * unless the target has proved that it did not run the call. */
static bool
means_not_run (int status)
{
  return status == 408 || status == 421 || status == 429 || status == 503;
}

/* Clears the fingerprints of the call of the suspicion that they crash targets. A
 * response that only the close of the connection ended does not: a crash may have closed
 * it. */
static void
record_success (const LimpetTask *task)
{
  LimpetQuarantine *quarantine = task->exchange->quarantine;
  LimpetFingerprints fingerprints = limpet_call_fingerprints (&task->call);

  if (quarantine != NULL && !task->ends_with_close)
    limpet_quarantine_record_success (quarantine, &fingerprints, limpet_clock_boot_ms ());
}

/* Returns whether a stream broke off although its connection was closed in order: a
 * stream that only the close ends is complete if it ends after an event. */
static bool
is_broken_off (const LimpetTask *task)
{
  return task->is_streaming && task->ends_with_close
         && (!task->has_first_event
             || (task->events.text != NULL && task->events.text->len > 0));
}

/* Ends an attempt whose response cannot be used. */
static void
fail_attempt (LimpetTask *task, const char *cause)
{
  limpet_upstream_close (task->upstream);
  task->upstream = NULL;
  limpet_task_attempt_failed (task, LIMPET_STATUS_BROKEN, cause);
}

void
limpet_relay_complete (LimpetTask *task, bool reusable)
{
  const LimpetTargetResponse *response = &task->response;
  bool is_success = response->status / 100 == 2;

  if (response->is_misdirected || response->not_executed)
    {
      if (response->is_misdirected)
        limpet_exchange_mark_leaving (task->exchange, task->target, "its answer");
      else
        limpet_dispatch_record_target_full (task->exchange->dispatch, task->target);
      limpet_task_end_attempt (task, max_idle_ms (task, reusable));
      limpet_task_attempt_not_run (task);
      return;
    }
  if ((is_success && !response->is_from_target) || response->is_encoded)
    {
      fail_attempt (task, "the answer is not the target's own");
      return;
    }
  if (is_broken_off (task))
    {
      limpet_pending_crashes_add_disconnect (task);
      fail_attempt (task, "the stream ended inside an event");
      return;
    }
  if (is_success && !limpet_continuation_accepts_end (task))
    {
      fail_attempt (task, "the response does not continue the stream");
      return;
    }
  if (is_success)
    {
      limpet_dispatch_record_result (task->exchange->dispatch, task->target,
                                     LIMPET_STATUS_OK);
      record_success (task);
    }
  else if (limpet_task_retry_failure (task, max_idle_ms (task, reusable)))
    return;
  limpet_task_end_attempt (task, max_idle_ms (task, reusable));
  if (means_not_run (response->status) && !limpet_call_is_idempotent (&task->call)
      && task->caller != NULL && !task->head_sent)
    {
      limpet_task_write_failure (task, LIMPET_REFUSAL_BROKEN, 0);
      return;
    }
  if (task->is_streaming)
    {
      limpet_resumption_record (task); /* the end may not reach the caller */
      end_stream (task);
    }
  else if (task->head_sent)
    {
      /* The caller has received the start of a stream, and this response is no stream. */
      limpet_relay_abort (task);
      return;
    }
  else
    write_complete_response (task);
  limpet_task_finish (task, is_success ? "done" : "target_failure");
}

void
limpet_relay_abort (LimpetTask *task)
{
  LimpetCaller *caller = task->caller;
  bool close_completes = task->head_sent && !task->is_chunked_to_caller;

  limpet_resumption_record (task);
  task->caller = NULL;
  if (caller != NULL)
    caller->task = NULL;
  limpet_task_finish (task, "broken");
  if (caller != NULL && close_completes)
    limpet_caller_reset (caller);
  else if (caller != NULL)
    limpet_caller_close (caller);
}
