#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/exchange.h"
#include "private/suspect.h"
#include "private/upstream.h"

#include <inttypes.h>
#include <string.h>

/* A call that must not run twice reuses a pooled connection only if it has been idle for
 * at most this time: if the target closes the connection as the request is sent, it is
 * unknown whether the call ran. A connection that the target closed earlier is not
 * reused, because the event loop detects the close before the next send. Compared with a
 * limit of 1 s, a limit of 4 s did not raise the number of calls with an unknown outcome,
 * and a fifth to two fifths fewer connections were opened (docs/MEASURES.md). */
#define UNSAFE_MAX_IDLE_MS 4000
/* A call fails after this many failed connection attempts. The retries after them are not
 * taken from the retry budget. */
#define MAX_CONNECT_FAILURES 4
/* A call that was sent is not sent again if at most this much time is left until its
 * response is due. */
#define MIN_RETRY_TIME_MS 20
/* Retry delay for the caller after a target refused the call. */
#define TARGET_FULL_RETRY_MS 300

static const struct
{
  LimpetRefusalReason reason;
  int status;
} refusal_status[] = {
  { LIMPET_REFUSAL_BAD_REQUEST, 400 },     { LIMPET_REFUSAL_UNKNOWN_KEY, 401 },
  { LIMPET_REFUSAL_NO_ROUTE, 404 },        { LIMPET_REFUSAL_TOO_SLOW, 408 },
  { LIMPET_REFUSAL_BODY_SIZE, 413 },       { LIMPET_REFUSAL_HEAD_SIZE, 431 },
  { LIMPET_REFUSAL_NO_MEMORY, 503 },       { LIMPET_REFUSAL_NOT_READY, 503 },
  { LIMPET_REFUSAL_NO_TARGET, 503 },       { LIMPET_REFUSAL_FULL, 503 },
  { LIMPET_REFUSAL_TARGET_FULL, 503 },     { LIMPET_REFUSAL_VERSION_GONE, 503 },
  { LIMPET_REFUSAL_UNKNOWN_VERSION, 503 }, { LIMPET_REFUSAL_QUARANTINED, 503 },
  { LIMPET_REFUSAL_BROKEN, 502 },          { LIMPET_REFUSAL_TIMEOUT, 504 },
  { LIMPET_REFUSAL_STOPPING, 502 },
};

static void on_timer (uv_timer_t *timer);

/* Copies the request head. text is the block that holds its strings; it is copied too,
 * and the pointers of the new head refer to the copy. If text is NULL or the head has no
 * fields, target is the only string that is copied. */
static void
copy_head (LimpetTask *task, const LimpetHttpHead *head, const GString *text)
{
  task->head = g_memdup2 (head, sizeof *head);
  if (text == NULL || head->fields_count == 0)
    {
      task->head_text = g_strdup (head->target);
      task->head_text_bytes = strlen (head->target) + 1;
      task->head->target = task->head_text;
      return;
    }
  task->head_text = g_memdup2 (text->str, text->len + 1);
  task->head_text_bytes = text->len + 1;
  task->head->target = task->head_text + (head->target - text->str);
  for (uint32_t i = 0; i < head->fields_count; i++)
    {
      task->head->fields[i].name = task->head_text + (head->fields[i].name - text->str);
      task->head->fields[i].value = task->head_text + (head->fields[i].value - text->str);
    }
}

static void
log_quarantined (const LimpetTask *task,
                 const LimpetSuspect *suspect,
                 LimpetMs remaining_ms)
{
  limpet_log (LIMPET_LOG_INFO, "quarantine", NULL,
              "id=%s %s=%" PRIx64 " remaining_ms=%ld", task->call.id,
              limpet_suspect_log_key (suspect), suspect->id, (long)remaining_ms);
  limpet_counter_add (LIMPET_COUNTER_QUARANTINED, 1);
}

bool
limpet_task_is_admitted (const LimpetTask *task, LimpetMs *remaining_ms)
{
  LimpetQuarantine *quarantine = task->exchange->quarantine;
  LimpetFingerprints fingerprints = limpet_call_fingerprints (&task->call);
  const LimpetSuspect *suspect = NULL;

  if (quarantine != NULL)
    suspect = limpet_quarantine_admit (quarantine, &fingerprints, limpet_clock_boot_ms (),
                                       remaining_ms);
  if (suspect != NULL)
    log_quarantined (task, suspect, *remaining_ms);
  return suspect == NULL;
}

/* Refuses the call and returns true if it must not be sent any more. The one call that is
 * admitted after a quarantine is not retried. */
static bool
refuse_if_quarantined (LimpetTask *task, bool is_retry)
{
  LimpetQuarantine *quarantine = task->exchange->quarantine;
  LimpetFingerprints fingerprints = limpet_call_fingerprints (&task->call);
  const LimpetSuspect *suspect = NULL;
  LimpetMs now_ms = limpet_clock_boot_ms ();
  LimpetMs remaining_ms = 0;

  if (quarantine != NULL && is_retry)
    suspect = limpet_quarantine_admit (quarantine, &fingerprints, now_ms, &remaining_ms);
  else if (quarantine != NULL)
    suspect = limpet_quarantine_find (quarantine, &fingerprints, now_ms, &remaining_ms);
  if (suspect == NULL)
    return false;
  log_quarantined (task, suspect, remaining_ms);
  if (task->head_sent)
    limpet_relay_abort (task);
  else if (task->may_have_run)
    limpet_task_write_failure (task, LIMPET_REFUSAL_BROKEN, 0);
  else
    limpet_task_write_failure (task, LIMPET_REFUSAL_QUARANTINED, remaining_ms);
  return true;
}

/* Refuses the call and returns true if it must not be sent yet. */
static bool
refuse_if_held (LimpetTask *task)
{
  if (!limpet_pending_crashes_hold (task))
    return false;
  if (task->head_sent)
    limpet_relay_abort (task);
  else if (task->may_have_run)
    limpet_task_write_failure (task, LIMPET_REFUSAL_BROKEN, 0);
  else
    limpet_task_write_failure (task, LIMPET_REFUSAL_NO_TARGET, LIMPET_NO_TARGET_RETRY_MS);
  return true;
}

/* The call may have been quarantined while it waited for a slot, or the router may be
 * stopping now. */
static void
on_target (void *user, LimpetTarget *target)
{
  LimpetTask *task = user;
  LimpetDispatch *dispatch = task->exchange->dispatch;

  if (refuse_if_quarantined (task, false) || refuse_if_held (task))
    limpet_dispatch_release (dispatch, target);
  else if (task->sent_count == 0 && !limpet_task_can_end (task))
    {
      limpet_dispatch_release (dispatch, target);
      limpet_task_write_failure (task, LIMPET_REFUSAL_NOT_READY,
                                 LIMPET_STOPPING_RETRY_MS);
    }
  else
    limpet_task_send (task, target);
}

static void
on_refused (void *user, LimpetMs retry_after_ms)
{
  LimpetTask *task = user;

  if (task->head_sent)
    limpet_relay_abort (task);
  else
    limpet_task_write_failure (
        task, task->may_have_run ? LIMPET_REFUSAL_BROKEN : LIMPET_REFUSAL_FULL,
        retry_after_ms);
}

LimpetTask *
limpet_task_new (LimpetCaller *caller, const LimpetHttpHead *head)
{
  LimpetTask *task = g_new0 (LimpetTask, 1);

  task->exchange = caller->exchange;
  task->caller = caller;
  task->link.data = task;
  task->call.arrived_ms = limpet_clock_mono_ms ();
  task->body = g_byte_array_new ();
  task->holder.account = caller->exchange->account;
  limpet_byte_holder_set_owner (&task->holder, LIMPET_BYTE_OWNER_CALLER,
                                caller->holder.keys[LIMPET_BYTE_OWNER_CALLER]);
  task->is_http10 = head->minor_version == 0 && head->fields_count > 0;
  task->closes_connection = !head->keep_alive;
  copy_head (task, head, head->fields_count > 0 ? caller->reader.text : NULL);
  task->dispatch_request = (LimpetDispatchRequest){
    .call = &task->call,
    .on_target = on_target,
    .on_refused = on_refused,
    .user = task,
  };
  uv_timer_init (task->exchange->loop, &task->timer);
  task->timer.data = task;
  g_queue_push_tail_link (&task->exchange->tasks, &task->link);
  return task;
}

void
limpet_task_close_if_draining (LimpetTask *task)
{
  const LimpetCaller *caller = task->caller;

  if (task->exchange->is_draining
      && (caller == NULL || (caller->pipelined == NULL && !caller->has_more_input)))
    task->closes_connection = true;
}

bool
limpet_task_can_end (const LimpetTask *task)
{
  const LimpetExchange *exchange = task->exchange;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetMs longest_ms;

  if (!exchange->is_draining || task->call.response_due_ms <= exchange->abort_ms)
    return true;
  longest_ms = limpet_call_durations_longest (exchange->durations, task->call.route->name,
                                              now_ms);
  return longest_ms >= 0 && now_ms + longest_ms <= exchange->abort_ms;
}

static void
free_task (uv_handle_t *handle)
{
  LimpetTask *task = handle->data;

  limpet_call_clear (&task->call);
  limpet_event_splitter_clear (&task->events);
  limpet_response_scan_clear (&task->scan);
  limpet_relay_discard_body (task);
  g_byte_array_unref (task->body);
  limpet_byte_holder_clear (&task->holder);
  if (task->response_head != NULL)
    g_string_free (task->response_head, TRUE);
  g_free (task->head_text);
  g_free (task->head);
  g_free (task);
}

static void
log_outcome (const LimpetTask *task, const char *outcome)
{
  const LimpetCall *call = &task->call;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  limpet_log (LIMPET_LOG_INFO, "call",
              task->attempted_count > 0
                  ? task->attempted_targets[task->attempted_count - 1]->vm.id
                  : NULL,
              "id=%s outcome=%s status=%d route=%s kind=%s version=%ld sends=%u "
              "waited_ms=%ld first_ms=%ld total_ms=%ld",
              call->id, outcome, task->response.status,
              call->route != NULL ? call->route->name : "-",
              call->route != NULL ? limpet_route_kind_string[call->route->kind] : "-",
              call->table != NULL ? (long)call->table->version : 0L, task->sent_count,
              task->first_sent_ms > 0 ? (long)(task->first_sent_ms - call->arrived_ms)
                                      : (long)(now_ms - call->arrived_ms),
              task->response_head_ms > 0
                  ? (long)(task->response_head_ms - call->arrived_ms)
                  : -1L,
              (long)(now_ms - call->arrived_ms));
}

/* Counts the outcome that the status shows to the caller: done, unauthorized, not run,
 * unknown whether it ran, or failed. */
static void
count_outcome (const LimpetTask *task)
{
  int status = task->response.status;

  if (status / 100 == 2)
    limpet_counter_add (LIMPET_COUNTER_DONE, 1);
  else if (status == 401)
    limpet_counter_add (LIMPET_COUNTER_UNAUTHORIZED, 1);
  else if (status == 503 || status == 429 || status == 421 || status == 408)
    limpet_counter_add (LIMPET_COUNTER_NOT_RUN, 1);
  else if (status == 502 || status == 504)
    limpet_counter_add (LIMPET_COUNTER_UNKNOWN, 1);
  else
    limpet_counter_add (LIMPET_COUNTER_FAILED, 1);
}

static void
record_times (const LimpetTask *task)
{
  const LimpetCall *call = &task->call;
  LimpetCallTimes *times;

  if (call->route == NULL)
    return;
  times = &task->exchange->times[call->route->kind];
  if (task->first_sent_ms > 0)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();

      limpet_histogram_record (&times->waited, task->first_sent_ms - call->arrived_ms);
      limpet_call_durations_record (task->exchange->durations, call->route->name,
                                    now_ms - task->first_sent_ms, now_ms);
    }
  if (task->response_head_ms > 0)
    limpet_histogram_record (&times->first, task->response_head_ms - call->arrived_ms);
  limpet_histogram_record (&times->total, limpet_clock_mono_ms () - call->arrived_ms);
}

void
limpet_task_finish (LimpetTask *task, const char *outcome)
{
  LimpetCaller *caller = task->caller;
  bool close;

  if (task->is_finished)
    return; /* a failed write to the caller has already finished the task */
  task->is_finished = true;
  limpet_task_close_if_draining (task);
  close = task->closes_connection;
  limpet_task_end_attempt (task, 0);
  limpet_dispatch_cancel (task->exchange->dispatch, &task->dispatch_request);
  limpet_resumption_cancel (task);
  log_outcome (task, outcome);
  count_outcome (task);
  record_times (task);
  for (uint32_t i = 0; i < task->attempted_count; i++)
    limpet_target_unref ((LimpetTarget *)task->attempted_targets[i]);
  task->attempted_count = 0;
  g_queue_unlink (&task->exchange->tasks, &task->link);
  task->caller = NULL;
  uv_close ((uv_handle_t *)&task->timer, free_task);
  if (caller != NULL && caller->task == task)
    limpet_caller_response_done (caller, close, task->call.deadline_ms);
}

void
limpet_task_write_failure (LimpetTask *task,
                           LimpetRefusalReason reason,
                           LimpetMs retry_ms)
{
  LimpetCallerCodec *caller_codec = task->exchange->caller_codec;
  LimpetRefusal refusal = { .reason = reason, .retry_after_ms = retry_ms };
  GString *out = g_string_sized_new (256);

  limpet_task_close_if_draining (task);
  for (size_t i = 0; i < G_N_ELEMENTS (refusal_status); i++)
    if (refusal_status[i].reason == reason)
      refusal.status = refusal_status[i].status;
  task->response.status = refusal.status;
  g_string_printf (out, "HTTP/1.1 %d %s\r\n", refusal.status,
                   http_status_str ((enum http_status)refusal.status));
  caller_codec->ops->write_refusal (caller_codec, &task->call, &refusal, out);
  g_string_append (out, "Content-Length: 0\r\n");
  g_string_append (out, task->closes_connection ? "Connection: close\r\n\r\n" : "\r\n");
  if (task->caller != NULL)
    limpet_caller_write (task->caller, out->str, out->len);
  g_string_free (out, TRUE);
  if (reason == LIMPET_REFUSAL_FULL)
    limpet_counter_add (LIMPET_COUNTER_REFUSED_ADMISSION, 1);
  limpet_task_finish (task, limpet_refusal_string[reason]);
}

size_t
limpet_task_incomplete_bytes (const LimpetTask *task)
{
  size_t bytes = limpet_response_scan_held_bytes (&task->scan);

  if (task->response_head != NULL)
    bytes += task->response_head->allocated_len;
  if (task->events.text != NULL)
    bytes += task->events.text->allocated_len;
  if (task->upstream != NULL)
    bytes += limpet_upstream_head_bytes (task->upstream);
  return bytes;
}

void
limpet_task_count_held_bytes (LimpetTask *task)
{
  size_t bytes = sizeof *task + sizeof *task->head + task->head_text_bytes
                 + MAX (task->reserved_bytes, task->body->len);

  if (task->response_body != NULL)
    bytes += task->response_body->len;
  bytes += limpet_task_incomplete_bytes (task);
  limpet_byte_holder_set_bytes (&task->holder, bytes);
}

bool
limpet_task_reserve (LimpetTask *task, size_t body_bytes)
{
  if (body_bytes > task->reserved_bytes
      && !limpet_byte_holder_may_grow (&task->holder, body_bytes - task->reserved_bytes))
    return false;
  task->reserved_bytes = MAX (task->reserved_bytes, body_bytes);
  limpet_task_count_held_bytes (task);
  return limpet_byte_holder_may_grow (&task->holder, 0);
}

void
limpet_task_start (LimpetTask *task)
{
  LimpetRefusal refusal;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  limpet_counter_add (LIMPET_COUNTER_CALLS, 1);
  if (!limpet_call_run_filters (task, &refusal))
    {
      limpet_task_write_failure (task, refusal.reason, refusal.retry_after_ms);
      return;
    }
  limpet_dispatch_record_arrival (task->exchange->dispatch, &task->call, now_ms);
  uv_timer_start (&task->timer, on_timer,
                  (uint64_t)MAX (1, task->call.response_due_ms - now_ms), 0);
  limpet_resumption_start (task);
}

/* Returns the head of the request to the target. */
static GString *
write_request_head (const LimpetTask *task, const LimpetTarget *target)
{
  LimpetTargetCodec *codec = task->exchange->target_codec;
  LimpetCallAttempt attempt = {
    .target = target,
    .remaining_ms = task->call.response_due_ms - limpet_clock_mono_ms (),
    .last_event_id = limpet_continuation_last_event_id (task),
    .priority = limpet_dispatch_priority (task->exchange->dispatch, &task->call),
    .cache_source
    = limpet_dispatch_cache_source (task->exchange->dispatch, &task->call, target),
  };
  GString *out = g_string_sized_new (1024);

  g_string_printf (out, "%s %s HTTP/1.1\r\n", task->head->method, task->call.path);
  codec->ops->write_request_fields (codec, task->head, &task->call, &attempt, out);
  if (task->body->len > 0 || task->head->content_length == 0 || task->head->is_chunked)
    g_string_append_printf (out, "Content-Length: %u\r\n", task->body->len);
  g_string_append (out, "\r\n");
  return out;
}

static void
add_attempted_target (LimpetTask *task, LimpetTarget *target)
{
  if (task->attempted_count >= LIMPET_MAX_EXCLUDED_TARGETS)
    return;
  limpet_target_ref (target);
  task->attempted_targets[task->attempted_count++] = target;
}

/* Logs that an attempt continues a stream, begun by this request or an earlier one. */
static void
log_resumption (const LimpetTask *task, const LimpetTarget *target)
{
  const LimpetCall *call = &task->call;
  const char *last_event_id = limpet_continuation_last_event_id (task);

  if (last_event_id == NULL)
    return;
  limpet_log (LIMPET_LOG_INFO, "resume", target->vm.id,
              "id=%s resumed_id=%s last_event=%s software=%s", call->id,
              call->resumed_id != NULL ? call->resumed_id : "-", last_event_id,
              target->vm.software_version);
}

void
limpet_task_send (LimpetTask *task, LimpetTarget *target)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetMs min_idle_since_ms
      = limpet_call_is_idempotent (&task->call) ? 0 : now_ms - UNSAFE_MAX_IDLE_MS;
  GString *head = write_request_head (task, target);

  log_resumption (task, target);
  limpet_byte_holder_set_owner (&task->holder, LIMPET_BYTE_OWNER_TARGET, target->id_hash);
  limpet_byte_holder_set_owner (&task->holder, LIMPET_BYTE_OWNER_SERVICE,
                                target->group_hash);
  task->target = target;
  add_attempted_target (task, target);
  limpet_event_splitter_clear (&task->events);
  task->is_streaming = false;
  task->received_bytes = 0;
  task->sent_ms = now_ms;
  task->is_sent = false;
  task->has_first_event = false;
  task->last_event_ms = 0;
  task->response = (LimpetTargetResponse){ .status = 0 };
  task->upstream = limpet_upstream_open (task, target, min_idle_since_ms);
  limpet_upstream_send (task->upstream, task, head);
}

void
limpet_task_record_sent (LimpetTask *task)
{
  task->is_sent = true;
  task->sent_count++;
  task->sent_ms = limpet_clock_mono_ms ();
  if (task->first_sent_ms == 0)
    task->first_sent_ms = task->sent_ms;
  limpet_counter_add (LIMPET_COUNTER_ATTEMPTS, 1);
}

void
limpet_task_end_attempt (LimpetTask *task, LimpetMs max_idle_ms)
{
  LimpetUpstream *upstream = task->upstream;
  LimpetTarget *target = task->target;

  task->upstream = NULL;
  task->target = NULL;
  if (upstream != NULL)
    limpet_upstream_release (upstream, max_idle_ms);
  if (target != NULL)
    limpet_dispatch_release (task->exchange->dispatch, target);
}

/* Returns whether the call may be retried; if so, takes one retry from the budget. A
 * stream whose events have no ids cannot be continued once the caller has some of them.
 */
static bool
acquire_retry (LimpetTask *task)
{
  return (!task->head_sent || task->last_event_id[0] != '\0')
         && (int64_t)task->sent_count < task->call.route->max_targets
         && task->call.response_due_ms - limpet_clock_mono_ms () > MIN_RETRY_TIME_MS
         && task->caller != NULL
         && limpet_dispatch_try_spend_retry (task->exchange->dispatch, &task->call);
}

/* Returns the ids of the call's shared prompt parts as hexadecimal numbers, separated by
 * commas; "-" if there are none. The caller frees the text. */
static char *
format_shared_parts (const LimpetCall *call)
{
  GString *text = g_string_new (NULL);

  for (uint32_t i = 0; i + 1 < call->prompt_parts_count; i++)
    g_string_append_printf (text, "%s%" PRIx64, i > 0 ? "," : "",
                            call->prompt_parts[i].id);
  return g_string_free (text->len > 0 ? text : g_string_assign (text, "-"), FALSE);
}

/* Returns the time since at_ms; -1 if it is 0, which stands for never. */
static long
age_ms (LimpetMs at_ms)
{
  return at_ms > 0 ? (long)(limpet_clock_mono_ms () - at_ms) : -1L;
}

/* Whether the target or this router's own links are at fault shows in the time since any
 * target was heard from, and since the target reported its load to any router. */
static void
log_failed_attempt (const LimpetTask *task, LimpetStatus status, const char *cause)
{
  char *parts = format_shared_parts (&task->call);
  const char *response = task->has_first_event        ? "events"
                         : task->response.status != 0 ? "head"
                                                      : "none";

  limpet_log (LIMPET_LOG_NOTICE, "try", task->target->vm.id,
              "id=%s failed=%s cause=\"%s\" route=%s response=%s parts=%s"
              " request=%" PRIx64 " any_heard_ago_ms=%ld target_reported_ago_ms=%ld"
              " received_bytes=%" PRIu64,
              task->call.id, limpet_status_string[status], cause, task->call.route->name,
              response, parts, task->call.fingerprint, age_ms (task->exchange->heard_ms),
              age_ms (task->target->report.at_ms), task->received_bytes);
  g_free (parts);
}

void
limpet_task_submit (LimpetTask *task)
{
  LimpetDispatch *dispatch = task->exchange->dispatch;
  LimpetDispatchRequest *request = &task->dispatch_request;

  if (request->software_hash == 0 || limpet_dispatch_has_target (dispatch, request))
    limpet_dispatch_submit (dispatch, request);
  else if (task->head_sent)
    limpet_relay_abort (task);
  else
    limpet_task_write_failure (
        task, task->may_have_run ? LIMPET_REFUSAL_BROKEN : LIMPET_REFUSAL_VERSION_GONE,
        0);
}

void
limpet_task_choose_again (LimpetTask *task)
{
  limpet_log (LIMPET_LOG_INFO, "choose_again", task->target->vm.id,
              "id=%s cause=\"zone emptied\"", task->call.id);
  limpet_task_end_attempt (task, 0);
  if (task->caller == NULL)
    limpet_task_finish (task, "caller_left");
  else
    limpet_task_submit (task);
}

/* Submits the call again for another attempt, on none of the targets attempted so far. */
static void
resubmit (LimpetTask *task, const char *cause)
{
  if (refuse_if_quarantined (task, true) || refuse_if_held (task))
    return;
  limpet_log (LIMPET_LOG_INFO, "repeat",
              task->attempted_count > 0
                  ? task->attempted_targets[task->attempted_count - 1]->vm.id
                  : NULL,
              "id=%s cause=%s sends=%u last_event=%s", task->call.id, cause,
              task->sent_count, task->last_event_id);
  limpet_counter_add (LIMPET_COUNTER_RETRIES, 1);
  task->dispatch_request.excluded = task->attempted_targets;
  task->dispatch_request.excluded_count = task->attempted_count;
  limpet_task_submit (task);
}

void
limpet_task_attempt_failed (LimpetTask *task, LimpetStatus status, const char *cause)
{
  LimpetTarget *target = task->target;
  bool has_path = status != LIMPET_STATUS_NO_PATH;
  bool sent = status != LIMPET_STATUS_UNREACHABLE && has_path;

  task->upstream = NULL; /* already closed */
  limpet_relay_discard_response (task);
  if (task->events.last_id[0] != '\0')
    g_strlcpy (task->last_event_id, task->events.last_id, sizeof task->last_event_id);
  if (task->events.id_steps != LIMPET_ID_STEPS_UNKNOWN)
    task->id_steps = task->events.id_steps;
  log_failed_attempt (task, status, cause);
  if (has_path)
    limpet_dispatch_record_result (task->exchange->dispatch, target, status);
  if (!sent && has_path)
    limpet_pending_crashes_check (task->exchange, limpet_clock_mono_ms ());
  limpet_task_end_attempt (task, 0);
  task->may_have_run = task->may_have_run || sent;
  if (task->caller == NULL)
    limpet_task_finish (task, "caller_left");
  else if (!sent && has_path && ++task->connect_failures < MAX_CONNECT_FAILURES)
    resubmit (task, "unreachable");
  else if (!sent && !task->may_have_run && !task->head_sent)
    limpet_task_write_failure (task, LIMPET_REFUSAL_NO_TARGET, LIMPET_NO_TARGET_RETRY_MS);
  else if (sent && limpet_call_is_idempotent (&task->call) && acquire_retry (task))
    resubmit (task, "broken");
  else if (task->head_sent)
    limpet_relay_abort (task);
  else
    limpet_task_write_failure (task, LIMPET_REFUSAL_BROKEN, 0);
}

void
limpet_task_attempt_not_run (LimpetTask *task)
{
  if (task->caller == NULL)
    limpet_task_finish (task, "caller_left");
  else if (acquire_retry (task))
    resubmit (task, "target_refused");
  else if (task->head_sent)
    limpet_relay_abort (task);
  else if (task->may_have_run)
    limpet_task_write_failure (task, LIMPET_REFUSAL_BROKEN, 0);
  else
    limpet_task_write_failure (task, LIMPET_REFUSAL_TARGET_FULL, TARGET_FULL_RETRY_MS);
}

bool
limpet_task_retry_failure (LimpetTask *task, LimpetMs max_idle_ms)
{
  LimpetTarget *target = task->target;

  limpet_dispatch_record_error_response (task->exchange->dispatch, target);
  task->may_have_run = true;
  if (!limpet_call_is_idempotent (&task->call) || task->response.status < 500
      || !acquire_retry (task))
    return false;
  limpet_task_end_attempt (task, max_idle_ms);
  resubmit (task, "target_failure");
  return true;
}

static void
cancel_attempt (LimpetTask *task)
{
  if (task->upstream != NULL)
    limpet_upstream_close (task->upstream);
  task->upstream = NULL;
  limpet_task_end_attempt (task, 0);
}

/* Cancels the call unless it may run only once and has been sent: such a call continues,
 * because its caller will request the outcome later. The response of a stream, or of a
 * call that may run any number of times, is of no use without its caller. */
void
limpet_task_caller_disconnected (LimpetTask *task)
{
  task->caller = NULL;
  limpet_counter_add (LIMPET_COUNTER_CALLER_LEFT, 1);
  if (task->upstream != NULL && task->sent_count > 0
      && task->call.route->kind == LIMPET_ROUTE_KIND_UNSAFE)
    return;
  limpet_pending_crashes_add_silence (task);
  limpet_resumption_record (task);
  cancel_attempt (task);
  limpet_task_finish (task, "caller_left");
}

/* Ends the task when the final response is due. */
static void
on_timer (uv_timer_t *timer)
{
  LimpetTask *task = timer->data;
  bool sent = task->sent_count > 0;

  limpet_pending_crashes_add_silence (task);
  if (task->caller == NULL || task->head_sent)
    {
      cancel_attempt (task);
      limpet_relay_abort (task);
      return;
    }
  if (task->target != NULL && sent)
    limpet_dispatch_record_result (task->exchange->dispatch, task->target,
                                   LIMPET_STATUS_TIMEOUT);
  cancel_attempt (task);
  limpet_task_write_failure (task, sent ? LIMPET_REFUSAL_TIMEOUT : LIMPET_REFUSAL_FULL,
                             0);
}

void
limpet_task_abort (LimpetTask *task,
                   LimpetRefusalReason if_sent,
                   LimpetRefusalReason if_not_run)
{
  bool sent = task->sent_count > 0;

  cancel_attempt (task);
  if (task->head_sent || task->caller == NULL)
    limpet_relay_abort (task);
  else
    limpet_task_write_failure (task, sent ? if_sent : if_not_run, 0);
}
