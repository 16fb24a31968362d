#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/text_buffer.h"
#include "private/upstream.h"

#include <inttypes.h>
#include <string.h>

/* Responses other than streams are buffered before they are forwarded, so that the call
 * can be retried if the connection fails during the response. A larger one is forwarded
 * as it arrives. */
#define MAX_BUFFERED_BYTES (256 * 1024)
/* Body of a response that is not for the call of the connection, and is skipped. */
#define MAX_SKIPPED_BYTES (256 * 1024)
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

/* Returns whether the response can be what the target answered to the call. */
static bool
is_own_answer (const LimpetTargetResponse *response)
{
  bool is_success = response->status / 100 == 2;

  return response->is_misdirected || response->not_executed
         || (!response->is_encoded && (!is_success || response->is_from_target));
}

/* Returns whether a head in the body of a response is that of a further response: of the
 * same call or, if the connection carried others before, of one of these. */
static bool
is_further_response (void *user, const LimpetHttpHead *head)
{
  const LimpetTask *task = user;
  LimpetTargetCodec *codec = task->exchange->target_codec;
  LimpetTargetResponse response = { .status = head->status };

  codec->ops->read_response (codec, head, &task->call, task->target, &response);
  return task->call.id[0] != '\0' && response.names_call
         && (!response.is_for_other_call || task->upstream->call_count > 1);
}

static void
begin_scan (LimpetTask *task)
{
  limpet_response_scan_clear (&task->scan);
  task->scan.accepts = is_further_response;
  task->scan.user = task;
}

const char *
limpet_relay_count_incomplete (LimpetTask *task)
{
  limpet_task_count_held_bytes (task);
  if (limpet_task_incomplete_bytes (task) <= LIMPET_SMALL_HOLDER_BYTES
      || limpet_byte_holder_may_grow (&task->holder, 0))
    return NULL;
  limpet_counter_add (LIMPET_COUNTER_MEMORY_CUTS, 1);
  return "no memory for an incomplete head or event";
}

const char *
limpet_relay_head (LimpetTask *task, const LimpetHttpHead *head)
{
  LimpetExchange *exchange = task->exchange;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (!head->has_valid_status)
    return "invalid status code";
  task->response = (LimpetTargetResponse){ .status = head->status };
  if (head->status / 100 == 1)
    return NULL;
  exchange->target_codec->ops->read_response (exchange->target_codec, head, &task->call,
                                              task->target, &task->response);
  if (task->response.is_brittle || task->response.is_from_target)
    record_brittle (task);
  if (task->response.rest_ms > 0)
    record_rest (task);
  if (task->response.cold_ms > 0)
    limpet_dispatch_record_cold (exchange->dispatch, task->target, task->response.cold_ms,
                                 now_ms);
  if (task->response.is_leaving)
    limpet_exchange_mark_leaving (exchange, task->target, "its response");
  if (task->response.is_for_other_call)
    return NULL;
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
  begin_scan (task);
  task->is_streaming = is_event_stream (task) && task->response.is_from_target
                       && !task->response.is_encoded;
  task->ends_with_close = !head->is_chunked && head->content_length < 0;
  task->response_length = head->content_length;
  if (!is_own_answer (&task->response))
    return "the answer is not the target's own";
  if (!limpet_continuation_accepts_head (task, head))
    return "the response does not continue the stream";
  if (!task->head_sent)
    copy_head (task, head);
  return limpet_relay_count_incomplete (task);
}

/* Has the close of the caller's connection end the response; until it has acknowledged
 * all of it, a reset ends it, also if this process is killed. */
static void
end_with_close (LimpetTask *task)
{
  task->closes_connection = true;
  limpet_stream_set_reset_on_close (&task->caller->tcp, true);
}

/* Appends the fields that frame a body that is forwarded as it arrives. It is chunked
 * unless its length is known, the caller uses HTTP/1.0, or only the close of the target's
 * connection will end it: if the target crashes, that close is orderly, too, and does not
 * prove that the response is complete. */
static void
append_framing (LimpetTask *task, GString *out)
{
  bool has_length = !task->is_streaming && task->response_length >= 0;

  limpet_task_close_if_draining (task);
  task->is_chunked_to_caller = !task->is_http10 && !has_length && !task->ends_with_close;
  if (has_length)
    g_string_append_printf (out, "Content-Length: %" PRId64 "\r\n",
                            task->response_length);
  else if (task->is_chunked_to_caller)
    g_string_append (out, "Transfer-Encoding: chunked\r\n");
  else
    end_with_close (task);
  g_string_append (out, task->closes_connection ? "Connection: close\r\n\r\n" : "\r\n");
}

/* Writes a part of the body to the caller, preceded by the response head if it has not
 * been sent yet. Pauses reading from the target if too many bytes are queued for the
 * caller. */
static void
write_part (LimpetTask *task, const char *data, size_t length)
{
  LimpetCaller *caller = task->caller;
  GString *out;

  if (caller == NULL || (length == 0 && task->head_sent))
    return;
  out = g_string_sized_new (length + 512);
  if (!task->head_sent)
    {
      g_string_append_len (out, task->response_head->str,
                           (gssize)task->response_head->len);
      g_string_free (g_steal_pointer (&task->response_head), TRUE);
      append_framing (task, out);
      task->head_sent = true;
      limpet_task_count_held_bytes (task);
    }
  if (length > 0 && task->is_chunked_to_caller)
    g_string_append_printf (out, "%zx\r\n", length);
  g_string_append_len (out, data, (gssize)length);
  if (length > 0 && task->is_chunked_to_caller)
    g_string_append (out, "\r\n");
  limpet_caller_write (caller, out->str, out->len);
  g_string_free (out, TRUE);
  if (!caller->is_closed && task->upstream != NULL && limpet_caller_is_behind (caller))
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

/* Returns whether the response may be forwarded before it is complete: it is a success of
 * the target for this call. */
static bool
can_pass_on (const LimpetTask *task)
{
  const LimpetTargetResponse *response = &task->response;

  return response->status / 100 == 2 && !response->is_misdirected
         && !response->not_executed && !task->head_sent
         && (response->names_call || task->upstream->call_count <= 1);
}

/* Adds bytes to the buffered response. Once it is too large, or there is no memory for
 * it, what has come is forwarded, and the rest as it arrives. Returns why the attempt
 * fails, or NULL. */
static const char *
buffer_body (LimpetTask *task, const char *data, size_t length)
{
  bool fits;

  if (task->is_passing_on || task->caller == NULL)
    {
      write_part (task, data, length);
      return NULL;
    }
  if (task->response_body == NULL)
    task->response_body = g_byte_array_new ();
  fits = task->response_body->len + length <= MAX_BUFFERED_BYTES
         && limpet_byte_holder_may_grow (&task->holder, length);
  if (!fits && !can_pass_on (task))
    return "a body too large to be buffered";
  g_byte_array_append (task->response_body, (const guint8 *)data, (guint)length);
  if (!fits)
    {
      GByteArray *body = g_steal_pointer (&task->response_body);

      task->is_passing_on = true;
      write_part (task, (const char *)body->data, body->len);
      g_byte_array_free (body, TRUE);
    }
  limpet_task_count_held_bytes (task);
  return NULL;
}

void
limpet_relay_discard_body (LimpetTask *task)
{
  if (task->response_body == NULL)
    return;
  g_byte_array_free (task->response_body, TRUE);
  task->response_body = NULL;
  limpet_task_count_held_bytes (task);
}

/* Forwards the events that are complete with the data. Returns why the attempt fails, or
 * NULL. */
static const char *
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
      write_part (task, events->str, events->len);
    }
  g_string_free (events, TRUE);
  if (!is_accepted)
    return "the first event does not continue the stream";
  return limpet_event_splitter_exceeds_limit (&task->events)
             ? "an event too large, or comments without an event"
             : limpet_relay_count_incomplete (task);
}

void
limpet_relay_discard_response (LimpetTask *task)
{
  limpet_relay_discard_body (task);
  limpet_response_scan_clear (&task->scan);
  if (task->response_head != NULL)
    g_string_free (g_steal_pointer (&task->response_head), TRUE);
  if (task->events.text != NULL)
    limpet_text_buffer_drop_front (&task->events.text, task->events.text->len);
  limpet_task_count_held_bytes (task);
}

static const char *
relay_part (LimpetTask *task, const char *data, size_t length)
{
  if (length == 0)
    return NULL;
  return task->is_streaming ? relay_events (task, data, length)
                            : buffer_body (task, data, length);
}

static const char *
relay_scanned_part (LimpetTask *task, const char *data, size_t length)
{
  GString *part = g_string_sized_new (length);
  const char *cause = "a further response in the body";

  if (limpet_response_scan_feed (&task->scan, data, length, part))
    cause = relay_part (task, part->str, part->len);
  g_string_free (part, TRUE);
  return cause != NULL ? cause : limpet_relay_count_incomplete (task);
}

/* Forwards what was held back, since the response ends with it. */
static const char *
end_scan (LimpetTask *task)
{
  GString *part = g_string_new (NULL);
  const char *cause;

  limpet_response_scan_end (&task->scan, part);
  cause = relay_part (task, part->str, part->len);
  g_string_free (part, TRUE);
  return cause;
}

const char *
limpet_relay_body (LimpetTask *task, const char *data, size_t length)
{
  task->received_bytes += length;
  if (task->response.is_for_other_call || task->response.status / 100 == 1)
    return task->received_bytes > MAX_SKIPPED_BYTES
               ? "a response to another call is too large"
               : NULL;
  return task->ends_with_close ? relay_scanned_part (task, data, length)
                               : relay_part (task, data, length);
}

/* Writes the rest of a response that is forwarded as it arrives: bytes after the last
 * complete event, the response head if it has not been sent yet, and the last chunk. */
static void
end_parts (LimpetTask *task)
{
  if (task->events.text != NULL && task->events.text->len > 0)
    {
      write_part (task, task->events.text->str, task->events.text->len);
      g_string_truncate (task->events.text, 0);
    }
  if (!task->head_sent)
    write_part (task, "", 0);
  if (task->caller != NULL && task->is_chunked_to_caller)
    limpet_caller_write (task->caller, "0\r\n\r\n", 5);
}

/* Writes a buffered response. If only the close of the target's connection ended it, a
 * Content-Length would claim that it is complete, so the router sends none and closes the
 * caller's connection after the body. */
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
    end_with_close (task);
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

/* Returns why a stream that only the close of its connection ended may have broken off,
 * or NULL. One that ends after an event is passed on with the same end, which does not
 * tell its caller more than the router knows. That is impossible if an earlier response
 * began the stream in chunks: the last chunk would claim that it is complete. */
static const char *
break_off_cause (const LimpetTask *task)
{
  if (!task->is_streaming || !task->ends_with_close)
    return NULL;
  if (!task->has_first_event || (task->events.text != NULL && task->events.text->len > 0))
    return "the stream ended inside an event";
  return task->is_chunked_to_caller ? "a close does not prove that the stream is complete"
                                    : NULL;
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
  const char *cause = task->ends_with_close ? end_scan (task) : NULL;

  if (cause != NULL)
    {
      fail_attempt (task, cause);
      return;
    }
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
  cause = break_off_cause (task);
  if (cause != NULL)
    {
      limpet_pending_crashes_add_disconnect (task);
      fail_attempt (task, cause);
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
      end_parts (task);
    }
  else if (task->is_passing_on)
    end_parts (task);
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
  bool by_reset = close_completes || task->is_passing_on; /* nobody needs half a body */

  limpet_resumption_record (task);
  task->caller = NULL;
  if (caller != NULL)
    caller->task = NULL;
  limpet_task_finish (task, "broken");
  if (caller != NULL && by_reset)
    limpet_caller_reset (caller);
  else if (caller != NULL)
    limpet_caller_close (caller);
}
