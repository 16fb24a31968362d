#include "limpetroad/counters.h"
#include "private/exchange.h"

#include <string.h>

/* Reading from a caller stops when more bytes than this have arrived after the current
 * request. It resumes after the response. */
#define MAX_PIPELINED_BYTES (64 * 1024)
/* The router closes the connection if the caller has not closed it this long after the
 * last response. */
#define LINGERING_CLOSE_MS 1000
/* Time-outs used until the first configuration arrives. */
#define DEFAULT_HEAD_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static void process_input (LimpetCaller *caller, const char *data, size_t length);

static void
on_closed (uv_handle_t *handle)
{
  LimpetCaller *caller = handle->data;

  limpet_http_reader_clear (&caller->reader);
  if (caller->pipelined != NULL)
    g_byte_array_free (caller->pipelined, TRUE);
  g_free (caller);
}

/* Closes the connection, with a TCP reset if by_reset is set. */
static void
close_connection (LimpetCaller *caller, bool by_reset)
{
  LimpetTask *task = caller->task;

  if (caller->is_closed)
    return;
  caller->is_closed = true;
  caller->task = NULL;
  g_queue_unlink (&caller->exchange->callers, &caller->link);
  /* A reset is not possible after a shutdown. */
  if (!by_reset || uv_tcp_close_reset (&caller->tcp, on_closed) != 0)
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
  (void)status;
  g_free (request);
}

/* Shuts down the sending side only; the connection is closed later. A close while
 * received bytes are unread resets the connection, which may destroy the response before
 * the caller has read it (RFC 9112, section 9.6). */
static void
start_lingering_close (LimpetCaller *caller)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);

  caller->is_lingering = true;
  caller->wait_start_ms = limpet_clock_mono_ms ();
  if (uv_shutdown (request, (uv_stream_t *)&caller->tcp, on_shutdown) != 0)
    {
      g_free (request);
      limpet_caller_close (caller);
    }
}

static void
on_write_error (uv_stream_t *stream)
{
  limpet_caller_close (stream->data);
}

void
limpet_caller_write (LimpetCaller *caller, const char *data, size_t length)
{
  if (caller->is_closed)
    return;
  if (!limpet_stream_write ((uv_stream_t *)&caller->tcp, data, length, on_write_error))
    limpet_caller_close (caller);
}

size_t
limpet_caller_backlog (const LimpetCaller *caller)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&caller->tcp);
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
on_head (void *user, const LimpetHttpHead *head)
{
  LimpetCaller *caller = user;
  const char *expect = limpet_http_head_field (head, "Expect");

  if (head->content_length > caller_limits (caller)->body_bytes)
    {
      caller->reader.error = "message body exceeds the size limit";
      caller->reader.error_status = 413;
      return false;
    }
  caller->task = limpet_task_new (caller, head);
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
    {
      caller->reader.error = "message body exceeds the size limit";
      caller->reader.error_status = 413;
      return false;
    }
  g_byte_array_append (task->body, (const guint8 *)data, (guint)length);
  return true;
}

static const LimpetHttpReaderOps reader_ops = { .on_head = on_head, .on_body = on_body };

static LimpetRefusalReason
reason_of_status (int status)
{
  if (status == 413)
    return LIMPET_REFUSAL_BODY_SIZE;
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
                             0);
}

static void
queue_pipelined (LimpetCaller *caller, const char *data, size_t length)
{
  if (caller->pipelined == NULL)
    caller->pipelined = g_byte_array_new ();
  g_byte_array_append (caller->pipelined, (const guint8 *)data, (guint)length);
  if (caller->pipelined->len > MAX_PIPELINED_BYTES && caller->is_reading)
    {
      uv_read_stop ((uv_stream_t *)&caller->tcp);
      caller->is_reading = false;
    }
}

/* Starts the task of a complete request and prepares the reader for the next request,
 * which is processed after the response. */
static void
start_task (LimpetCaller *caller)
{
  LimpetTask *task = caller->task;

  limpet_http_reader_next (&caller->reader);
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

      if (caller->task != NULL && caller->task->is_body_complete)
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
    }
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  LimpetCaller *caller = handle->data;

  (void)suggested;
  *buffer
      = uv_buf_init (caller->exchange->read_buffer, sizeof caller->exchange->read_buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  LimpetCaller *caller = stream->data;

  if (count > 0)
    process_input (caller, buffer->base, (size_t)count);
  else if (count < 0)
    limpet_caller_close (caller);
}

static void
start_reading (LimpetCaller *caller)
{
  if (caller->is_reading)
    return;
  caller->is_reading = true;
  uv_read_start ((uv_stream_t *)&caller->tcp, alloc_buffer, on_read);
}

void
limpet_caller_response_done (LimpetCaller *caller, bool close)
{
  GByteArray *pipelined = caller->pipelined;

  caller->task = NULL;
  caller->wait_start_ms = limpet_clock_mono_ms ();
  start_reading (caller);
  if (close)
    {
      start_lingering_close (caller);
      return;
    }
  if (pipelined == NULL)
    return;
  caller->pipelined = NULL;
  process_input (caller, (const char *)pipelined->data, pipelined->len);
  g_byte_array_free (pipelined, TRUE);
}

void
limpet_caller_accept (LimpetExchange *exchange)
{
  LimpetCaller *caller = g_new0 (LimpetCaller, 1);

  caller->exchange = exchange;
  caller->link.data = caller;
  caller->wait_start_ms = limpet_clock_mono_ms ();
  limpet_http_reader_init (&caller->reader, false, LIMPET_MAX_HEADER_BYTES, &reader_ops,
                           caller);
  uv_tcp_init (exchange->loop, &caller->tcp);
  caller->tcp.data = caller;
  g_queue_push_tail_link (&exchange->callers, &caller->link);
  if (uv_accept ((uv_stream_t *)&exchange->listener, (uv_stream_t *)&caller->tcp) != 0)
    {
      limpet_caller_close (caller);
      return;
    }
  uv_tcp_nodelay (&caller->tcp, 1);
  start_reading (caller);
}

void
limpet_caller_check_timeouts (LimpetCaller *caller, LimpetMs now_ms)
{
  const LimpetCallerLimits *limits = caller_limits (caller);
  LimpetMs waited_ms = now_ms - caller->wait_start_ms;

  if (caller->is_lingering)
    {
      if (waited_ms > LINGERING_CLOSE_MS)
        limpet_caller_close (caller);
      return;
    }
  if (caller->task != NULL && caller->task->is_body_complete)
    {
      if (caller->task->upstream != NULL && limpet_caller_backlog (caller) == 0)
        limpet_upstream_pause (caller->task->upstream, false);
      return;
    }
  if (!caller->reader.started)
    {
      if (waited_ms > limits->idle_timeout_ms)
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
