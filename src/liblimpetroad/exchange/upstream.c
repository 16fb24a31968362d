#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/paths.h"
#include "private/stream_end.h"
#include "private/tunnel.h"
#include "private/upstream.h"

#include <inttypes.h>
#include <netinet/in.h>
#include <string.h>

/* Limit for the head of a response; larger than the limit for requests, because targets
 * may send long fields. */
#define MAX_RESPONSE_HEAD_BYTES (64 * 1024)
/* An attempt fails after this number of interim responses and responses to other calls,
 * which a target in trouble may send without end. */
#define MAX_SKIPPED_RESPONSES 16
/* Of a stream, at most so much is read until the next check of its caller, since many
 * small events take much processor time. */
#define STREAM_READ_BYTES (16 * 1024)
/* A probe of the own links succeeds if its connection is not reset for this time. */
#define PATH_PROBE_HOLD_MS 100
/* A router that relays has to connect to the target and reply within this time. */
#define RELAY_REPLY_TIMEOUT_MS (LIMPET_CONNECT_TIMEOUT_MS + 200)
/* An attempt fails after this many routers have failed to relay it. */
#define MAX_RELAY_FAILURES 4

static void on_idle_or_connect_timeout (uv_timer_t *timer);

static void
on_handle_closed (uv_handle_t *handle)
{
  LimpetUpstream *upstream = handle->data;

  if (--upstream->open_handles > 0)
    return;
  limpet_http_reader_clear (&upstream->reader);
  if (upstream->request_head != NULL)
    g_string_free (upstream->request_head, TRUE);
  limpet_target_unref (upstream->target);
  g_free (upstream);
}

static LimpetUpstreamPool *
pool_of (LimpetTarget *target)
{
  return target->pool;
}

static void
free_pool (void *data)
{
  LimpetUpstreamPool *pool = data;

  g_assert (pool->idle.length == 0);
  g_free (pool);
}

static LimpetUpstreamPool *
ensure_pool (LimpetTarget *target)
{
  if (target->pool == NULL)
    {
      target->pool = g_new0 (LimpetUpstreamPool, 1);
      target->free_pool = free_pool;
    }
  return target->pool;
}

static void
enter_pool (LimpetUpstream *upstream)
{
  upstream->is_idle = true;
  upstream->idle_since_ms = limpet_clock_mono_ms ();
  g_queue_push_head_link (&pool_of (upstream->target)->idle, &upstream->link);
  g_queue_push_tail_link (&upstream->exchange->idle_upstreams, &upstream->idle_link);
}

static void
leave_pool (LimpetUpstream *upstream)
{
  upstream->is_idle = false;
  g_queue_unlink (&pool_of (upstream->target)->idle, &upstream->link);
  g_queue_unlink (&upstream->exchange->idle_upstreams, &upstream->idle_link);
}

void
limpet_upstream_close (LimpetUpstream *upstream)
{
  if (upstream->is_closed)
    return;
  upstream->is_closed = true;
  limpet_read_turn_cancel (&upstream->turn);
  upstream->task = NULL;
  limpet_http_reader_drop_head (&upstream->reader);
  if (upstream->is_trial)
    limpet_paths_cancel_trial (upstream->exchange, upstream->target);
  if (upstream->is_idle)
    leave_pool (upstream);
  if (upstream->socket_error == 0)
    upstream->exchange->open_connections--;
  upstream->open_handles = 2;
  uv_close ((uv_handle_t *)&upstream->timer, on_handle_closed);
  uv_close ((uv_handle_t *)&upstream->tcp, on_handle_closed);
}

static void
end_probe (LimpetUpstream *upstream)
{
  pool_of (upstream->target)->is_probed = false;
  upstream->is_probe = false;
}

static void
fail_probe (LimpetUpstream *upstream, const char *cause)
{
  LimpetExchange *exchange = upstream->exchange;

  end_probe (upstream);
  if (upstream->relay_address == 0)
    pool_of (upstream->target)->failed_probe_began_ms
        = pool_of (upstream->target)->probe_began_ms;
  limpet_log (LIMPET_LOG_NOTICE, "probe", upstream->target->vm.id,
              "failed=unreachable cause=\"%s\"", cause);
  limpet_dispatch_record_result (exchange->dispatch, upstream->target,
                                 LIMPET_STATUS_UNREACHABLE);
  limpet_pending_crashes_check (exchange, limpet_clock_mono_ms ());
}

/* Records what the failure says of the own links. */
static void
record_path_failure (LimpetUpstream *upstream)
{
  LimpetExchange *exchange = upstream->exchange;

  if (upstream->relay_address != 0 || upstream->was_heard_since_send
      || (upstream->socket_error != 0 && !upstream->is_path_probe))
    return;
  if (upstream->is_path_probe)
    limpet_paths_record_probe (exchange, upstream->target, false);
  else if (upstream->is_trial)
    limpet_paths_fail_trial (exchange, upstream->target);
  else if (upstream->task != NULL || upstream->is_probe)
    limpet_paths_record_failure (exchange, upstream->target);
}

/* Closes the connection and reports the failure to its task, if it has one. */
static void
fail (LimpetUpstream *upstream, LimpetStatus status, const char *cause)
{
  LimpetTask *task = upstream->task;

  record_path_failure (upstream);
  if (upstream->is_probe && status == LIMPET_STATUS_NO_PATH)
    end_probe (upstream);
  else if (upstream->is_probe)
    fail_probe (upstream, cause);
  limpet_upstream_close (upstream);
  if (task != NULL)
    limpet_task_attempt_failed (task, status, cause);
}

static void
fail_if (LimpetUpstream *upstream, const char *cause)
{
  if (cause != NULL)
    fail (upstream, LIMPET_STATUS_BROKEN, cause);
}

/* The attempt fails at the end of what was received, which may be a complete response. */
static void
on_write_error (uv_stream_t *stream, int status)
{
  ((LimpetUpstream *)stream->data)->write_error = status;
}

static const LimpetStreamWriteOps write_ops = { .on_error = on_write_error };

/* Makes the reader stop if there is a cause for which the attempt fails. */
static bool
reject_if (LimpetUpstream *upstream, const char *cause)
{
  if (cause != NULL)
    upstream->reader.error = cause;
  return cause == NULL;
}

static bool
on_head (void *user, const LimpetHttpHead *head)
{
  LimpetUpstream *upstream = user;

  upstream->keep_alive = head->keep_alive;
  return upstream->task != NULL
         && reject_if (upstream, limpet_relay_head (upstream->task, head));
}

static bool
on_body (void *user, const char *data, size_t length)
{
  LimpetUpstream *upstream = user;

  return upstream->task != NULL
         && reject_if (upstream, limpet_relay_body (upstream->task, data, length));
}

static const LimpetHttpReaderOps reader_ops = { .on_head = on_head, .on_body = on_body };

/* Handles the end of a response. Interim responses (1xx) and responses to other calls are
 * skipped. The connection is reused only if the target keeps it open, no bytes follow
 * the response, the request was written completely, and no response to another call
 * arrived. */
static void
handle_response (LimpetUpstream *upstream, bool bytes_follow, bool stream_ended)
{
  LimpetTask *task = upstream->task;
  bool reusable = upstream->keep_alive && !bytes_follow && !stream_ended
                  && uv_stream_get_write_queue_size ((uv_stream_t *)&upstream->tcp) == 0
                  && !upstream->skipped_response && upstream->write_error == 0;

  if (task->response.is_for_other_call || task->response.status / 100 == 1)
    {
      upstream->skipped_response
          = upstream->skipped_response || task->response.is_for_other_call;
      if (++upstream->skipped_count > MAX_SKIPPED_RESPONSES)
        {
          fail (upstream, LIMPET_STATUS_BROKEN,
                "too many responses before the final one");
          return;
        }
      limpet_http_reader_next (&upstream->reader);
      upstream->reader.request_is_head = strcmp (task->head->method, "HEAD") == 0;
      return;
    }
  if (upstream->call_count > 1 && !task->response.names_call)
    {
      /* It may be a copy of the response to an earlier call. */
      fail (upstream, LIMPET_STATUS_BROKEN, "the response does not name its call");
      return;
    }
  limpet_relay_complete (task, reusable);
}

static LimpetUpstream *connect_upstream (LimpetExchange *exchange, LimpetTarget *target);
static void write_request (LimpetUpstream *upstream);
static void use_connection (LimpetUpstream *upstream);

/* Replaces a connection, over which nothing has been sent to the target, by one through
 * another router. */
static void
fail_relay (LimpetUpstream *upstream, const char *cause)
{
  LimpetExchange *exchange = upstream->exchange;
  LimpetTask *task = upstream->task;
  LimpetUpstream *successor;

  limpet_counter_add (LIMPET_COUNTER_RELAY_FAILED, 1);
  limpet_log (LIMPET_LOG_NOTICE, "relay", upstream->target->vm.id,
              "router=%u.%u.%u.%u failed cause=\"%s\"", upstream->relay_address & 255,
              upstream->relay_address >> 8 & 255, upstream->relay_address >> 16 & 255,
              upstream->relay_address >> 24, cause);
  exchange->relay_ops->record_failure (exchange->relay_user, upstream->relay_address);
  if (task == NULL || upstream->relay_failures + 1 >= MAX_RELAY_FAILURES)
    {
      fail (upstream, LIMPET_STATUS_NO_PATH, cause);
      return;
    }
  successor = connect_upstream (exchange, upstream->target);
  successor->relay_failures = upstream->relay_failures + 1;
  task->upstream = successor;
  limpet_upstream_send (successor, task, g_steal_pointer (&upstream->request_head));
  limpet_upstream_close (upstream);
}

/* Handles the reply of the router that relays. */
static void
process_reply (LimpetUpstream *upstream, LimpetTunnelReply reply)
{
  upstream->awaits_reply = false;
  if (reply == LIMPET_TUNNEL_CONNECTED)
    use_connection (upstream);
  else if (reply == LIMPET_TUNNEL_UNREACHABLE)
    fail (upstream, LIMPET_STATUS_UNREACHABLE, "another router does not reach it either");
  else
    fail_relay (upstream, "refused");
}

static void
process_input (LimpetUpstream *upstream, const char *data, size_t length)
{
  size_t offset = 0;

  if (upstream->awaits_reply)
    {
      process_reply (upstream, (LimpetTunnelReply)data[0]);
      offset = 1; /* the target sends nothing before the request */
    }

  while (offset < length && !upstream->is_closed)
    {
      size_t used = 0;
      LimpetHttpProgress progress;

      if (upstream->task == NULL)
        {
          limpet_upstream_close (upstream); /* the bytes belong to no request */
          return;
        }
      progress = limpet_http_reader_feed (&upstream->reader, data + offset,
                                          length - offset, &used);
      offset += used;
      if (upstream->is_closed)
        return;
      if (progress == LIMPET_HTTP_ERROR)
        fail (upstream, LIMPET_STATUS_BROKEN, upstream->reader.error);
      else if (progress == LIMPET_HTTP_COMPLETE)
        handle_response (upstream, offset < length, false);
      else if (!upstream->reader.head_done)
        fail_if (upstream, limpet_relay_count_incomplete (upstream->task));
    }
}

/* Logs the end of a response that only the close of the connection ends: the caller
 * cannot tell whether it is complete. */
static void
log_end (const LimpetUpstream *upstream, int code)
{
  const LimpetTask *task = upstream->task;

  if (!upstream->reader.head_done || !task->ends_with_close
      || task->response.is_for_other_call)
    return;
  limpet_counter_add (LIMPET_COUNTER_CLOSE_ENDED, 1);
  limpet_log (LIMPET_LOG_INFO, "end", upstream->target->vm.id,
              "id=%s status=%d received_bytes=%" PRIu64 " call=%u skipped=%u relayed=%d "
              "ended_by=\"%s\"",
              task->call.id, task->response.status, task->received_bytes,
              upstream->call_count, upstream->skipped_count, upstream->relay_address != 0,
              code == UV_EOF ? "close" : uv_strerror (code));
}

/* Handles the end of the connection. An orderly close (UV_EOF) completes a response whose
 * head does not state the length of the body. */
static void
on_stream_end (LimpetUpstream *upstream, int code)
{
  if (upstream->awaits_reply)
    {
      fail_relay (upstream, uv_strerror (code));
      return;
    }
  if (upstream->task == NULL)
    {
      if (upstream->is_path_probe)
        limpet_paths_record_probe (upstream->exchange, upstream->target, false);
      limpet_upstream_close (upstream);
      return;
    }
  log_end (upstream, code);
  if (code == UV_EOF && upstream->reader.head_done
      && limpet_http_reader_end (&upstream->reader) == LIMPET_HTTP_COMPLETE)
    {
      handle_response (upstream, false, true);
      if (upstream->is_closed)
        return;
    }
  if (code == UV_EOF || code == UV_ECONNRESET)
    limpet_pending_crashes_add_disconnect (upstream->task);
  else
    limpet_pending_crashes_add_silence (upstream->task);
  fail (upstream, LIMPET_STATUS_BROKEN,
        code == UV_EOF ? "the target closed the connection" : uv_strerror (code));
}

static bool
is_streaming (const LimpetUpstream *upstream)
{
  return upstream->task != NULL && upstream->task->is_streaming;
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  LimpetUpstream *upstream = handle->data;

  (void)suggested;
  *buffer = limpet_exchange_read_buffer (upstream->exchange);
  if (is_streaming (upstream))
    buffer->len = MIN (buffer->len, STREAM_READ_BYTES);
}

static void
record_bytes (LimpetUpstream *upstream)
{
  bool is_first = !upstream->was_heard;

  if (upstream->relay_address != 0)
    return;
  upstream->was_heard = true;
  upstream->was_heard_since_send = true;
  upstream->is_trial = false;
  limpet_paths_record_bytes (upstream->exchange, upstream->target, is_first);
}

/* Returns how the connection ended. A failed write takes the error from the socket; EPIPE
 * says that an orderly end came before it. */
static int
end_code (const LimpetUpstream *upstream, int code)
{
  if (code == UV_EOF && upstream->write_error != 0 && upstream->write_error != UV_EPIPE)
    return upstream->write_error;
  return limpet_stream_end_code ((const uv_stream_t *)&upstream->tcp, code);
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  LimpetUpstream *upstream = stream->data;

  if (count > 0)
    {
      record_bytes (upstream);
      process_input (upstream, buffer->base, (size_t)count);
      if (upstream->is_closed)
        return;
      if ((size_t)count == STREAM_READ_BYTES && is_streaming (upstream))
        limpet_upstream_pause (upstream, true);
      else
        limpet_read_turn_end_if_full (&upstream->turn, (size_t)count, buffer->len);
    }
  else if (count < 0)
    on_stream_end (upstream, end_code (upstream, (int)count));
}

static void
stop_reading (void *owner)
{
  uv_read_stop ((uv_stream_t *)&((LimpetUpstream *)owner)->tcp);
}

static void
resume_reading (void *owner)
{
  LimpetUpstream *upstream = owner;

  if (!upstream->is_paused)
    uv_read_start ((uv_stream_t *)&upstream->tcp, alloc_buffer, on_read);
}

static void
write_request (LimpetUpstream *upstream)
{
  GString *head = upstream->request_head;
  bool written;

  upstream->request_head = NULL;
  upstream->was_heard_since_send = false;
  limpet_task_record_sent (upstream->task);
  written = limpet_stream_write_with_body ((uv_stream_t *)&upstream->tcp, head->str,
                                           head->len, upstream->task->body, &write_ops);
  g_string_free (head, TRUE);
  if (!written)
    fail (upstream, LIMPET_STATUS_BROKEN, "sending the request failed");
}

/* Asks the router that relays to connect to the target. */
static void
write_hello (LimpetUpstream *upstream)
{
  char hello[LIMPET_TUNNEL_HELLO_BYTES];

  upstream->awaits_reply = true;
  uv_timer_start (&upstream->timer, on_idle_or_connect_timeout, RELAY_REPLY_TIMEOUT_MS,
                  0);
  limpet_tunnel_write_hello (upstream->target->id_hash, hello);
  if (!limpet_stream_write ((uv_stream_t *)&upstream->tcp, hello, sizeof hello,
                            &write_ops))
    fail_relay (upstream, "sending failed");
}

/* Uses a connection to the target that has just been established. */
static void
use_connection (LimpetUpstream *upstream)
{
  upstream->is_connected = true;
  pool_of (upstream->target)->connected_ms = limpet_clock_mono_ms ();
  uv_timer_stop (&upstream->timer);
  if (upstream->is_path_probe)
    uv_timer_start (&upstream->timer, on_idle_or_connect_timeout, PATH_PROBE_HOLD_MS, 0);
  else if (upstream->is_probe)
    {
      end_probe (upstream);
      limpet_upstream_release (upstream, LIMPET_POOL_IDLE_MS);
    }
  else if (upstream->request_head != NULL && atomic_load (&upstream->target->is_emptied))
    limpet_task_choose_again (upstream->task);
  else if (upstream->request_head != NULL)
    write_request (upstream);
}

static void
on_connected (uv_connect_t *request, int status)
{
  LimpetUpstream *upstream = request->data;

  if (upstream->is_closed)
    return;
  if (status != 0 && upstream->relay_address != 0)
    {
      fail_relay (upstream, uv_strerror (status));
      return;
    }
  if (status != 0)
    {
      fail (upstream, LIMPET_STATUS_UNREACHABLE, uv_strerror (status));
      return;
    }
  uv_read_start ((uv_stream_t *)&upstream->tcp, alloc_buffer, on_read);
  if (upstream->relay_address != 0)
    {
      write_hello (upstream);
      return;
    }
  limpet_paths_record_connected (upstream->exchange, upstream->target);
  limpet_pending_crashes_check (upstream->exchange, limpet_clock_mono_ms ());
  use_connection (upstream);
}

/* Closes the connection. An idle connection has no task, so only a failed connect is
 * reported. */
static void
on_idle_or_connect_timeout (uv_timer_t *timer)
{
  LimpetUpstream *upstream = timer->data;

  if (upstream->is_path_probe && upstream->is_connected)
    {
      upstream->is_path_probe = false;
      limpet_paths_record_probe (upstream->exchange, upstream->target, true);
      limpet_upstream_release (upstream, LIMPET_POOL_IDLE_MS);
    }
  else if (upstream->socket_error != 0)
    fail (upstream, LIMPET_STATUS_NO_PATH, uv_strerror (upstream->socket_error));
  else if (upstream->relay_address != 0 && !upstream->is_connected)
    fail_relay (upstream, "no reply in time");
  else
    fail (upstream, LIMPET_STATUS_UNREACHABLE, "connecting timed out");
}

/* Sets address to that of the router that relays, or of the target. */
static int
get_peer_address (const LimpetUpstream *upstream, struct sockaddr_in *address)
{
  const LimpetVm *vm = &upstream->target->vm;

  if (upstream->relay_address == 0)
    return uv_ip4_addr (vm->address, (int)vm->port, address);
  limpet_counter_add (LIMPET_COUNTER_RELAYED, 1);
  *address = (struct sockaddr_in){
    .sin_family = AF_INET,
    .sin_port = htons ((uint16_t)upstream->exchange->relay_port),
    .sin_addr = { .s_addr = upstream->relay_address },
  };
  return 0;
}

/* Returns 0 or a libuv error code. */
static int
start_connect (LimpetUpstream *upstream)
{
  struct sockaddr_in address;
  int code;

  if (upstream->relay_address != 0)
    limpet_paths_set_router_options (&upstream->tcp);
  else
    limpet_paths_set_target_options (&upstream->tcp);
  code = limpet_paths_bind (upstream->exchange, &upstream->tcp);
  if (code == 0)
    code = get_peer_address (upstream, &address);
  return code != 0 ? code
                   : uv_tcp_connect (&upstream->connect, &upstream->tcp,
                                     (struct sockaddr *)&address, on_connected);
}

/* A connection beyond the limit gets no socket, as if none could be created. */
static void
init_socket (LimpetUpstream *upstream)
{
  LimpetExchange *exchange = upstream->exchange;

  if (limpet_connections_admit_upstream (exchange))
    upstream->socket_error = limpet_stream_init_socket (exchange->loop, &upstream->tcp);
  else
    {
      upstream->socket_error = UV_EMFILE;
      uv_tcp_init (exchange->loop, &upstream->tcp);
    }
  if (upstream->socket_error == 0)
    exchange->open_connections++;
}

/* Starts to connect to address; relay_address: of the router that relays, or 0. If that
 * fails at once, the timer expires in the next iteration of the event loop and reports
 * the failure. */
static LimpetUpstream *
connect_to (LimpetExchange *exchange, LimpetTarget *target, uint32_t relay_address)
{
  LimpetUpstream *upstream = g_new0 (LimpetUpstream, 1);
  int code;

  upstream->exchange = exchange;
  upstream->target = target;
  upstream->link.data = upstream;
  upstream->idle_link.data = upstream;
  limpet_read_turn_init (&upstream->turn, &exchange->read_turns, stop_reading,
                         resume_reading, upstream);
  limpet_target_ref (target);
  limpet_http_reader_init (&upstream->reader, true, MAX_RESPONSE_HEAD_BYTES, &reader_ops,
                           upstream);
  init_socket (upstream);
  uv_timer_init (exchange->loop, &upstream->timer);
  upstream->tcp.data = upstream;
  upstream->timer.data = upstream;
  upstream->connect.data = upstream;
  upstream->relay_address = relay_address;
  code = upstream->socket_error != 0 ? upstream->socket_error : start_connect (upstream);
  uv_timer_start (&upstream->timer, on_idle_or_connect_timeout,
                  code == 0 ? LIMPET_CONNECT_TIMEOUT_MS : 0, 0);
  return upstream;
}

/* Starts to connect, through another router while the own links are cut. */
static LimpetUpstream *
connect_upstream (LimpetExchange *exchange, LimpetTarget *target)
{
  return connect_to (exchange, target, limpet_paths_choose_relay (exchange, target));
}

LimpetUpstream *
limpet_upstream_open (const LimpetTask *task,
                      LimpetTarget *target,
                      LimpetMs min_idle_since_ms)
{
  LimpetExchange *exchange = task->exchange;
  LimpetUpstreamPool *pool = ensure_pool (target);
  LimpetUpstream *upstream;

  if (limpet_paths_begin_trial (task, target))
    {
      upstream = connect_to (exchange, target, 0);
      upstream->is_trial = true;
      return upstream;
    }
  if (!limpet_paths_may_use_pool (exchange, target))
    limpet_upstream_pool_clear (target);
  upstream = g_queue_peek_head (&pool->idle);

  /* The first connection was used last: if it has been idle for too long, so have all. */
  if (upstream == NULL || upstream->idle_since_ms < min_idle_since_ms)
    return connect_upstream (exchange, target);
  leave_pool (upstream);
  uv_timer_stop (&upstream->timer);
  return upstream;
}

static bool
start_probe (LimpetExchange *exchange, LimpetTarget *target, uint32_t relay_address)
{
  LimpetUpstreamPool *pool = ensure_pool (target);

  if (pool->is_probed)
    return false;
  pool->is_probed = true;
  pool->probe_began_ms = limpet_clock_mono_ms ();
  connect_to (exchange, target, relay_address)->is_probe = true;
  return true;
}

void
limpet_upstream_probe (LimpetExchange *exchange, LimpetTarget *target)
{
  start_probe (exchange, target, limpet_paths_choose_relay (exchange, target));
}

bool
limpet_upstream_probe_directly (LimpetExchange *exchange, LimpetTarget *target)
{
  return start_probe (exchange, target, 0);
}

LimpetMs
limpet_upstream_failed_probe_began_ms (const LimpetTarget *target)
{
  const LimpetUpstreamPool *pool = target->pool;

  return pool != NULL ? pool->failed_probe_began_ms : 0;
}

LimpetMs
limpet_upstream_connected_ms (const LimpetTarget *target)
{
  const LimpetUpstreamPool *pool = target->pool;

  return pool != NULL ? pool->connected_ms : 0;
}

bool
limpet_upstream_is_probed (const LimpetTarget *target)
{
  const LimpetUpstreamPool *pool = target->pool;

  return pool != NULL && pool->is_probed;
}

void
limpet_upstream_probe_path (LimpetExchange *exchange, LimpetTarget *target)
{
  ensure_pool (target);
  connect_to (exchange, target, 0)->is_path_probe = true;
}

void
limpet_upstream_fail_trial (LimpetUpstream *upstream)
{
  fail (upstream, LIMPET_STATUS_BROKEN, "no response on trial of the own links");
}

void
limpet_upstream_send (LimpetUpstream *upstream, LimpetTask *task, GString *head)
{
  upstream->task = task;
  upstream->request_head = head;
  upstream->call_count++;
  upstream->skipped_response = false;
  upstream->skipped_count = 0;
  upstream->reader.request_is_head = strcmp (task->head->method, "HEAD") == 0;
  if (upstream->is_connected)
    write_request (upstream);
}

void
limpet_upstream_release (LimpetUpstream *upstream, LimpetMs max_idle_ms)
{
  upstream->task = NULL;
  if (max_idle_ms <= 0 || upstream->relay_address != 0
      || atomic_load (&upstream->target->leaving))
    {
      limpet_upstream_close (upstream);
      return;
    }
  limpet_http_reader_next (&upstream->reader);
  enter_pool (upstream);
  uv_timer_start (&upstream->timer, on_idle_or_connect_timeout, (uint64_t)max_idle_ms, 0);
}

size_t
limpet_upstream_head_bytes (const LimpetUpstream *upstream)
{
  return limpet_http_reader_held_bytes (&upstream->reader);
}

void
limpet_upstream_pause (LimpetUpstream *upstream, bool paused)
{
  if (upstream->is_closed || upstream->is_paused == paused)
    return;
  upstream->is_paused = paused;
  if (paused)
    uv_read_stop ((uv_stream_t *)&upstream->tcp);
  else if (!upstream->turn.is_waiting)
    uv_read_start ((uv_stream_t *)&upstream->tcp, alloc_buffer, on_read);
}

void
limpet_upstream_pool_clear (LimpetTarget *target)
{
  LimpetUpstreamPool *pool = pool_of (target);

  while (pool != NULL && pool->idle.length > 0)
    limpet_upstream_close (g_queue_peek_head (&pool->idle));
}
