#include "limpetroad/logger.h"
#include "private/exchange.h"
#include "private/line.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* An answer's head, with fields of any length that a target sends. */
#define ANSWER_HEAD_BYTES (64 * 1024)

static void on_idle_or_connect_timeout (uv_timer_t *timer);

static void
on_handle_closed (uv_handle_t *handle)
{
  LimpetLine *line = handle->data;

  if (--line->open_handles > 0)
    return;
  limpet_http_reader_clear (&line->reader);
  if (line->request != NULL)
    g_string_free (line->request, TRUE);
  limpet_target_unref (line->target);
  g_free (line);
}

static LimpetLinePool *
pool_of (LimpetTarget *target)
{
  return target->pool;
}

static void
free_pool (void *data)
{
  LimpetLinePool *pool = data;

  g_assert (pool->idle.length == 0);
  g_free (pool);
}

static LimpetLinePool *
ensure_pool (LimpetTarget *target)
{
  if (target->pool == NULL)
    {
      target->pool = g_new0 (LimpetLinePool, 1);
      target->pool_free = free_pool;
    }
  return target->pool;
}

void
limpet_line_close (LimpetLine *line)
{
  if (line->is_closed)
    return;
  line->is_closed = true;
  line->task = NULL;
  if (line->is_idle)
    g_queue_unlink (&pool_of (line->target)->idle, &line->link);
  line->is_idle = false;
  line->open_handles = 2;
  uv_close ((uv_handle_t *)&line->timer, on_handle_closed);
  uv_close ((uv_handle_t *)&line->tcp, on_handle_closed);
}

/* The connection is of no more use; tells the task, if one runs on it. */
static void
fail (LimpetLine *line, LimpetStatus status, const char *why)
{
  LimpetTask *task = line->task;

  limpet_line_close (line);
  if (task != NULL)
    limpet_task_try_failed (task, status, why);
}

static void
on_write_error (uv_stream_t *stream)
{
  LimpetLine *line = stream->data;

  if (!line->is_closed)
    fail (line, LIMPET_STATUS_BROKEN, "sending the request failed");
}

static bool
on_head (void *user, const LimpetHttpHead *head)
{
  LimpetLine *line = user;

  line->keeps_alive = head->keep_alive;
  return line->task != NULL && limpet_relay_head (line->task, head);
}

static bool
on_body (void *user, const char *data, size_t length)
{
  LimpetLine *line = user;

  return line->task != NULL && limpet_relay_body (line->task, data, length);
}

static const LimpetHttpReaderOps reader_ops = { .on_head = on_head, .on_body = on_body };

/* An answer ended. Answers of earlier calls and interim ones are skipped. */
static void
take_answer (LimpetLine *line, bool bytes_follow, bool stream_ended)
{
  LimpetTask *task = line->task;
  bool reusable = line->keeps_alive && !bytes_follow && !stream_ended
                  && uv_stream_get_write_queue_size ((uv_stream_t *)&line->tcp) == 0
                  && !line->skipped_answer;

  if (task->answer.is_foreign || task->answer.status / 100 == 1)
    {
      line->skipped_answer = line->skipped_answer || task->answer.is_foreign;
      limpet_http_reader_next (&line->reader);
      line->reader.answers_head = strcmp (task->head->method, "HEAD") == 0;
      return;
    }
  limpet_relay_complete (task, reusable);
}

static void
feed (LimpetLine *line, const char *data, size_t length)
{
  size_t at = 0;

  while (at < length && !line->is_closed)
    {
      size_t used = 0;
      LimpetHttpProgress progress;

      if (line->task == NULL)
        {
          limpet_line_close (line); /* bytes that belong to no request */
          return;
        }
      progress = limpet_http_reader_feed (&line->reader, data + at, length - at, &used);
      at += used;
      if (line->is_closed)
        return;
      if (progress == LIMPET_HTTP_ERROR)
        fail (line, LIMPET_STATUS_BROKEN, line->reader.error);
      else if (progress == LIMPET_HTTP_COMPLETE)
        take_answer (line, at < length, false);
    }
}

static void
on_end (LimpetLine *line, ssize_t code)
{
  if (line->task == NULL)
    {
      limpet_line_close (line);
      return;
    }
  if (code == UV_EOF && line->reader.head_done
      && limpet_http_reader_end (&line->reader) == LIMPET_HTTP_COMPLETE)
    {
      take_answer (line, false, true);
      if (line->is_closed)
        return;
    }
  fail (line, LIMPET_STATUS_BROKEN,
        code == UV_EOF ? "the target closed the connection" : uv_strerror ((int)code));
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  LimpetLine *line = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (line->exchange->read_buffer, sizeof line->exchange->read_buffer);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  LimpetLine *line = stream->data;

  if (count > 0)
    feed (line, buffer->base, (size_t)count);
  else if (count < 0)
    on_end (line, count);
}

static void
write_request (LimpetLine *line)
{
  GString *request = line->request;
  bool written;

  line->request = NULL;
  limpet_task_request_leaves (line->task);
  written = limpet_wire_write ((uv_stream_t *)&line->tcp, request->str, request->len,
                               on_write_error);
  g_string_free (request, TRUE);
  if (!written)
    fail (line, LIMPET_STATUS_BROKEN, "sending the request failed");
}

static void
on_connected (uv_connect_t *request, int status)
{
  LimpetLine *line = request->data;

  if (line->is_closed)
    return;
  if (status != 0)
    {
      fail (line, LIMPET_STATUS_UNREACHABLE, uv_strerror (status));
      return;
    }
  line->is_connected = true;
  uv_timer_stop (&line->timer);
  uv_read_start ((uv_stream_t *)&line->tcp, alloc_buffer, on_read);
  if (line->request != NULL)
    write_request (line);
}

static void
on_idle_or_connect_timeout (uv_timer_t *timer)
{
  LimpetLine *line = timer->data;

  fail (line, LIMPET_STATUS_UNREACHABLE, "no connection in time");
}

static void
set_socket_options (LimpetLine *line)
{
  unsigned int user_timeout_ms = LIMPET_TCP_USER_TIMEOUT_MS;
  uv_os_fd_t fd;

  uv_tcp_nodelay (&line->tcp, 1);
  if (uv_fileno ((uv_handle_t *)&line->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
                sizeof user_timeout_ms);
}

static LimpetLine *
connect_line (LimpetExchange *exchange, LimpetTarget *target)
{
  LimpetLine *line = g_new0 (LimpetLine, 1);
  struct sockaddr_in address;
  int code;

  line->exchange = exchange;
  line->target = target;
  line->link.data = line;
  limpet_target_ref (target);
  limpet_http_reader_init (&line->reader, true, ANSWER_HEAD_BYTES, &reader_ops, line);
  uv_tcp_init_ex (exchange->loop, &line->tcp, AF_INET);
  uv_timer_init (exchange->loop, &line->timer);
  line->tcp.data = line;
  line->timer.data = line;
  line->connect.data = line;
  set_socket_options (line);
  code = uv_ip4_addr (target->vm.address, (int)target->vm.port, &address);
  if (code == 0)
    code = uv_tcp_connect (&line->connect, &line->tcp, (struct sockaddr *)&address,
                           on_connected);
  uv_timer_start (&line->timer, on_idle_or_connect_timeout,
                  code == 0 ? LIMPET_CONNECT_TIMEOUT_MS : 0, 0);
  return line;
}

LimpetLine *
limpet_line_open (LimpetExchange *exchange, LimpetTarget *target, LimpetMs newest_idle_ms)
{
  LimpetLinePool *pool = ensure_pool (target);
  LimpetLine *line = g_queue_peek_head (&pool->idle);

  if (line == NULL || line->idle_since_ms < newest_idle_ms)
    return connect_line (exchange, target);
  g_queue_unlink (&pool->idle, &line->link);
  line->is_idle = false;
  uv_timer_stop (&line->timer);
  return line;
}

void
limpet_line_send (LimpetLine *line, LimpetTask *task, GString *request)
{
  line->task = task;
  line->request = request;
  line->skipped_answer = false;
  limpet_http_reader_next (&line->reader);
  line->reader.answers_head = strcmp (task->head->method, "HEAD") == 0;
  if (line->is_connected)
    write_request (line);
}

void
limpet_line_release (LimpetLine *line, LimpetMs keep_ms)
{
  line->task = NULL;
  if (keep_ms <= 0 || atomic_load (&line->target->leaving))
    {
      limpet_line_close (line);
      return;
    }
  line->is_idle = true;
  line->idle_since_ms = limpet_clock_mono_ms ();
  g_queue_push_head_link (&pool_of (line->target)->idle, &line->link);
  uv_timer_start (&line->timer, on_idle_or_connect_timeout, (uint64_t)keep_ms, 0);
}

void
limpet_line_pause (LimpetLine *line, bool paused)
{
  if (line->is_closed || line->is_paused == paused)
    return;
  line->is_paused = paused;
  if (paused)
    uv_read_stop ((uv_stream_t *)&line->tcp);
  else
    uv_read_start ((uv_stream_t *)&line->tcp, alloc_buffer, on_read);
}

void
limpet_line_pool_clear (LimpetTarget *target)
{
  LimpetLinePool *pool = pool_of (target);

  while (pool != NULL && pool->idle.length > 0)
    limpet_line_close (g_queue_peek_head (&pool->idle));
}
