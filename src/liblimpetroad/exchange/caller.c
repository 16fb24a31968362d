#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/exchange.h"

#include <string.h>

/* Reading from a caller stops when more bytes than this have arrived after the current
 * request. It resumes after the response. */
#define MAX_PIPELINED_BYTES (64 * 1024)
/* Reading from a target pauses while more bytes than this are queued for the caller. */
#define MAX_BACKLOG_BYTES (256 * 1024)
/* Retry delay for a request for which there is no memory. */
#define NO_MEMORY_RETRY_MS 1000
/* The router closes the connection if the caller has not closed it this long after it has
 * acknowledged the last response. */
#define LINGERING_CLOSE_MS 1000
/* It waits for up to this time while the caller reads the response or still sends. */
#define MAX_LINGERING_MS 5000
/* Time-outs used until the first configuration arrives. */
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static void process_input (LimpetCaller *caller, const char *data, size_t length);

static void
on_closed (uv_handle_t *handle)
{
  LimpetCaller *caller = handle->data;

  limpet_http_reader_clear (&caller->reader);
  limpet_byte_holder_clear (&caller->holder);
  if (caller->pipelined != NULL)
    g_byte_array_free (caller->pipelined, TRUE);
  g_free (caller);
}

static size_t
backlog (const LimpetCaller *caller)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&caller->tcp);
}

/* Adds the connection to the idle ones, or removes it. */
static void
update_idle (LimpetCaller *caller)
{
  GQueue *queue = &caller->exchange->idle_callers;
  bool is_idle = !caller->is_closed && !caller->is_lingering && caller->task == NULL
                 && !caller->reader.started && caller->pipelined == NULL
                 && backlog (caller) == 0;

  if (is_idle && !caller->is_idle)
    g_queue_push_tail_link (queue, &caller->idle_link);
  else if (!is_idle && caller->is_idle)
    g_queue_unlink (queue, &caller->idle_link);
  caller->is_idle = is_idle;
}

/* Closes the connection, with a TCP reset if by_reset is set. */
static void
close_connection (LimpetCaller *caller, bool by_reset)
{
  LimpetTask *task = caller->task;

  if (caller->is_closed)
    return;
  caller->is_closed = true;
  caller->exchange->open_connections--;
  update_idle (caller);
  limpet_read_turn_cancel (&caller->turn);
  caller->task = NULL;
  g_queue_unlink (&caller->exchange->callers, &caller->link);
  if (by_reset)
    limpet_stream_set_reset_on_close (&caller->tcp, true);
  uv_close ((uv_handle_t *)&caller->tcp, on_closed);
  if (task != NULL)
    limpet_task_caller_disconnected (task);
}

void
limpet_caller_close (LimpetCaller *caller)
{
  close_connection (caller, false);
}

void
limpet_caller_reset (LimpetCaller *caller)
{
  close_connection (caller, true);
}

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  LimpetCaller *caller = request->handle->data;

  if (status == 0)
    caller->wait_start_ms = limpet_clock_mono_ms ();
  g_free (request);
}

/* A small head does not count, as the connection does not: thousands of callers that send
 * theirs slowly would have the requests of others refused. */
static size_t
head_bytes (const LimpetCaller *caller)
{
  size_t bytes = limpet_http_reader_held_bytes (&caller->reader);

  return bytes > LIMPET_SMALL_HOLDER_BYTES ? bytes : 0;
}

static void
count_held_bytes (LimpetCaller *caller)
{
  size_t pipelined = caller->pipelined != NULL ? caller->pipelined->len : 0;

  limpet_byte_holder_set_bytes (&caller->holder,
                                head_bytes (caller) + pipelined + backlog (caller));
}

/* Shuts down the sending side only; the connection is closed later. A close while
 * received bytes are unread resets the connection, which may destroy the response before
 * the caller has read it (RFC 9112, section 9.6). */
static void
start_lingering_close (LimpetCaller *caller)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);

  caller->is_lingering = true;
  update_idle (caller);
  caller->wait_start_ms = limpet_clock_mono_ms ();
  limpet_http_reader_next (&caller->reader); /* no further request is read */
  count_held_bytes (caller);
  if (uv_shutdown (request, (uv_stream_t *)&caller->tcp, on_shutdown) != 0)
    {
      g_free (request);
      limpet_caller_close (caller);
    }
}

static void continue_reading (LimpetCaller *caller);

static void
on_write_error (uv_stream_t *stream, int status)
{
  (void)status;
  limpet_caller_close (stream->data);
}

static void
on_written (uv_stream_t *stream)
{
  LimpetCaller *caller = stream->data;

  count_held_bytes (caller);
  if (backlog (caller) > 0 || caller->is_lingering)
    return;
  if (caller->task != NULL && caller->task->upstream != NULL)
    limpet_upstream_pause (caller->task->upstream, false);
  else if (caller->awaits_written)
    continue_reading (caller);
  update_idle (caller);
}

static const LimpetStreamWriteOps write_ops
    = { .on_error = on_write_error, .on_written = on_written };

void
limpet_caller_write (LimpetCaller *caller, const char *data, size_t length)
{
  if (caller->is_closed)
    return;
  if (limpet_stream_write ((uv_stream_t *)&caller->tcp, data, length, &write_ops))
    count_held_bytes (caller);
  else
    limpet_caller_close (caller);
}

bool
limpet_caller_is_behind (const LimpetCaller *caller)
{
  size_t queued = backlog (caller);

  return queued > MAX_BACKLOG_BYTES
         || (queued > 0
             && !limpet_byte_holder_may_grow (
                 &caller->holder,
                 limpet_byte_account_read_size (caller->exchange->account)));
}

static const LimpetCallerLimits *
caller_limits (const LimpetCaller *caller)
{
  static const LimpetCallerLimits defaults = {
    .head_bytes = LIMPET_MAX_HEADER_BYTES,
    .body_bytes = LIMPET_MAX_BODY_BYTES,
    .head_timeout_ms = DEFAULT_HEAD_TIMEOUT_MS,
    .idle_timeout_ms = DEFAULT_IDLE_TIMEOUT_MS,
  };

  return caller->exchange->table != NULL ? &caller->exchange->table->limits : &defaults;
}

static bool
refuse_size (LimpetCaller *caller)
{
  caller->reader.error = "message body exceeds the size limit";
  caller->reader.error_status = 413;
  return false;
}

static bool
refuse_for_memory (LimpetCaller *caller)
{
  const LimpetByteAccount *account = caller->exchange->account;

  caller->reader.error = "no memory for the request";
  caller->reader.error_status = 503;
  limpet_counter_add (LIMPET_COUNTER_MEMORY_REFUSALS, 1);
  limpet_log (LIMPET_LOG_WARNING, "memory", NULL,
              "request refused held_bytes=%zu budget_bytes=%zu request_bytes=%zu",
              limpet_byte_account_held (account), limpet_byte_account_budget (account),
              caller->holder.bytes
                  + (caller->task != NULL ? caller->task->holder.bytes : 0));
  return false;
}

/* Memory for the whole request is reserved when its head has come: requests that each got
 * a part of it could all wait for the rest. */
static bool
on_head (void *user, const LimpetHttpHead *head)
{
  LimpetCaller *caller = user;
  const char *expect = limpet_http_head_field (head, "Expect");

  if (head->content_length > caller_limits (caller)->body_bytes
      || (head->content_length > 0
          && (size_t)head->content_length
                 > limpet_byte_account_largest_holding (caller->exchange->account)))
    return refuse_size (caller);
  count_held_bytes (caller);
  if (!limpet_byte_holder_may_grow (&caller->holder, caller->reader.text->len))
    return refuse_for_memory (caller);
  caller->task = limpet_task_new (caller, head);
  if (!limpet_task_reserve (caller->task, (size_t)MAX (0, head->content_length)))
    return refuse_for_memory (caller);
  if (expect != NULL && g_ascii_strcasecmp (expect, "100-continue") == 0)
    limpet_caller_write (caller, "HTTP/1.1 100 Continue\r\n\r\n", 25);
  return !caller->is_closed;
}

static bool
on_body (void *user, const char *data, size_t length)
{
  LimpetCaller *caller = user;
  LimpetTask *task = caller->task;

  if (task == NULL
      || (int64_t)(task->body->len + length) > caller_limits (caller)->body_bytes)
    return refuse_size (caller);
  if (!limpet_task_reserve (task, task->body->len + length))
    return refuse_for_memory (caller);
  g_byte_array_append (task->body, (const guint8 *)data, (guint)length);
  return true;
}

static const LimpetHttpReaderOps reader_ops = { .on_head = on_head, .on_body = on_body };

static LimpetRefusalReason
reason_of_status (int status)
{
  if (status == 413)
    return LIMPET_REFUSAL_BODY_SIZE;
  if (status == 503)
    return LIMPET_REFUSAL_NO_MEMORY;
  return status == 431 ? LIMPET_REFUSAL_HEAD_SIZE : LIMPET_REFUSAL_BAD_REQUEST;
}

/* Refuses a malformed message. The connection is closed afterwards, because the start of
 * the next message is unknown. */
static void
refuse_message (LimpetCaller *caller)
{
  static const LimpetHttpHead empty_head = { .method = "GET", .target = "" };

  if (caller->task == NULL)
    caller->task = limpet_task_new (caller, &empty_head);
  caller->task->closes_connection = true;
  limpet_task_write_failure (caller->task, reason_of_status (caller->reader.error_status),
                             caller->reader.error_status == 503 ? NO_MEMORY_RETRY_MS : 0);
}

/* Counts the head that arrives, and refuses the request if there is no memory for it. */
static void
count_head (LimpetCaller *caller)
{
  count_held_bytes (caller);
  if (limpet_byte_holder_may_grow (&caller->holder, 0))
    return;
  refuse_for_memory (caller);
  refuse_message (caller);
}

static void
stop_reading (LimpetCaller *caller)
{
  if (caller->is_reading)
    uv_read_stop ((uv_stream_t *)&caller->tcp);
  caller->is_reading = false;
}

static void
queue_pipelined (LimpetCaller *caller, const char *data, size_t length)
{
  if (caller->pipelined == NULL)
    caller->pipelined = g_byte_array_new ();
  g_byte_array_append (caller->pipelined, (const guint8 *)data, (guint)length);
  count_held_bytes (caller);
  if (caller->pipelined->len > MAX_PIPELINED_BYTES
      || !limpet_byte_holder_may_grow (&caller->holder, length))
    stop_reading (caller);
}

/* Starts the task of a complete request and prepares the reader for the next request,
 * which is processed after the response. */
static void
start_task (LimpetCaller *caller)
{
  LimpetTask *task = caller->task;

  limpet_http_reader_next (&caller->reader);
  count_held_bytes (caller);
  task->is_body_complete = true;
  limpet_task_start (task);
}

/* Reads requests from the bytes received. Bytes that follow a complete request are queued
 * until its response is done. */
static void
process_input (LimpetCaller *caller, const char *data, size_t length)
{
  size_t offset = 0;

  while (offset < length && !caller->is_closed && !caller->is_lingering)
    {
      size_t used = 0;
      LimpetHttpProgress progress;

      if (caller->awaits_written
          || (caller->task != NULL && caller->task->is_body_complete))
        {
          queue_pipelined (caller, data + offset, length - offset);
          return;
        }
      if (!caller->reader.started)
        caller->wait_start_ms = limpet_clock_mono_ms ();
      caller->reader.head_limit = (size_t)caller_limits (caller)->head_bytes;
      progress = limpet_http_reader_feed (&caller->reader, data + offset, length - offset,
                                          &used);
      offset += used;
      if (caller->is_closed)
        return;
      if (progress == LIMPET_HTTP_ERROR)
        refuse_message (caller);
      else if (progress == LIMPET_HTTP_COMPLETE)
        {
          caller->has_more_input = offset < length;
          start_task (caller);
        }
      else if (!caller->reader.head_done)
        count_head (caller);
    }
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  LimpetCaller *caller = handle->data;

  (void)suggested;
  *buffer = limpet_exchange_read_buffer (caller->exchange);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  LimpetCaller *caller = stream->data;

  if (count > 0 && caller->is_lingering)
    caller->wait_start_ms
        = MIN (limpet_clock_mono_ms (), caller->write_due_ms - LINGERING_CLOSE_MS);
  else if (count > 0)
    process_input (caller, buffer->base, (size_t)count);
  else if (count < 0)
    limpet_caller_close (caller);
  if (caller->is_closed)
    return;
  update_idle (caller);
  if (count > 0)
    limpet_read_turn_end_if_full (&caller->turn, (size_t)count, buffer->len);
}

static void
start_reading (LimpetCaller *caller)
{
  if (caller->is_reading)
    return;
  caller->is_reading = true;
  if (!caller->turn.is_waiting)
    uv_read_start ((uv_stream_t *)&caller->tcp, alloc_buffer, on_read);
}

static void
end_turn (void *owner)
{
  uv_read_stop ((uv_stream_t *)&((LimpetCaller *)owner)->tcp);
}

static void
begin_turn (void *owner)
{
  LimpetCaller *caller = owner;

  if (caller->is_reading)
    uv_read_start ((uv_stream_t *)&caller->tcp, alloc_buffer, on_read);
}

/* Processes the requests that have come meanwhile, and reads further ones. */
static void
continue_reading (LimpetCaller *caller)
{
  GByteArray *pipelined = caller->pipelined;

  caller->awaits_written = false;
  start_reading (caller);
  if (pipelined == NULL)
    return;
  caller->pipelined = NULL;
  count_held_bytes (caller);
  process_input (caller, (const char *)pipelined->data, pipelined->len);
  g_byte_array_free (pipelined, TRUE);
}

void
limpet_caller_response_done (LimpetCaller *caller, bool close, LimpetMs due_ms)
{
  caller->task = NULL;
  caller->wait_start_ms = limpet_clock_mono_ms ();
  caller->write_due_ms = MAX (due_ms, caller->wait_start_ms + MAX_LINGERING_MS);
  if (close)
    {
      start_reading (caller);
      start_lingering_close (caller);
    }
  else if (limpet_caller_is_behind (caller))
    {
      caller->awaits_written = true;
      stop_reading (caller);
    }
  else
    continue_reading (caller);
  update_idle (caller);
}

void
limpet_caller_accept (LimpetExchange *exchange)
{
  bool is_admitted = limpet_connections_admit_caller (exchange);
  LimpetCaller *caller = g_new0 (LimpetCaller, 1);

  caller->exchange = exchange;
  caller->link.data = caller;
  caller->idle_link.data = caller;
  limpet_read_turn_init (&caller->turn, &exchange->read_turns, end_turn, begin_turn,
                         caller);
  caller->wait_start_ms = limpet_clock_mono_ms ();
  limpet_http_reader_init (&caller->reader, false, LIMPET_MAX_HEADER_BYTES, &reader_ops,
                           caller);
  uv_tcp_init (exchange->loop, &caller->tcp);
  caller->tcp.data = caller;
  g_queue_push_tail_link (&exchange->callers, &caller->link);
  exchange->open_connections++;
  if (uv_accept ((uv_stream_t *)&exchange->listener, (uv_stream_t *)&caller->tcp) != 0
      || !is_admitted)
    {
      limpet_caller_close (caller);
      return;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  caller->holder.account = exchange->account;
  limpet_byte_holder_set_owner (&caller->holder, LIMPET_BYTE_OWNER_CALLER,
                                limpet_stream_peer_address (&caller->tcp));
  start_reading (caller);
  update_idle (caller);
}

/* Closes the connection once the caller has acknowledged the last response and had time
 * to close it, or cuts the response when its time is over. */
static void
check_lingering (LimpetCaller *caller, LimpetMs now_ms)
{
  if (limpet_stream_has_unsent (&caller->tcp))
    {
      caller->wait_start_ms = now_ms;
      if (now_ms > caller->write_due_ms)
        limpet_caller_reset (caller);
      return;
    }
  limpet_stream_set_reset_on_close (&caller->tcp, false);
  if (now_ms - caller->wait_start_ms > LINGERING_CLOSE_MS)
    limpet_caller_close (caller);
}

void
limpet_caller_end (LimpetCaller *caller)
{
  if (caller->task != NULL || caller->reader.started || caller->is_lingering)
    return;
  if (backlog (caller) > 0)
    start_lingering_close (caller);
  else
    limpet_caller_close (caller);
}

void
limpet_caller_check_timeouts (LimpetCaller *caller, LimpetMs now_ms)
{
  const LimpetCallerLimits *limits = caller_limits (caller);
  LimpetMs waited_ms = now_ms - caller->wait_start_ms;

  if (caller->is_lingering)
    {
      check_lingering (caller, now_ms);
      return;
    }
  if (caller->task != NULL && caller->task->is_body_complete)
    {
      if (caller->task->upstream != NULL && backlog (caller) == 0)
        limpet_upstream_pause (caller->task->upstream, false);
      return;
    }
  if (!caller->reader.started)
    {
      if (backlog (caller) > 0 && now_ms > caller->write_due_ms)
        limpet_caller_reset (caller);
      else if (backlog (caller) == 0 && waited_ms > limits->idle_timeout_ms)
        limpet_caller_close (caller);
      return;
    }
  if (!caller->reader.head_done && waited_ms > limits->head_timeout_ms)
    {
      caller->reader.error_status = 408;
      if (caller->task == NULL)
        caller->task = limpet_task_new (
            caller, &(LimpetHttpHead){ .method = "GET", .target = "" });
      caller->task->closes_connection = true;
      limpet_task_write_failure (caller->task, LIMPET_REFUSAL_TOO_SLOW, 0);
    }
  else if (caller->reader.head_done && waited_ms > limits->idle_timeout_ms)
    limpet_caller_close (caller);
}
