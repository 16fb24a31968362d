#include "private/tunnel.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/paths.h"
#include "private/stream_end.h"

#include <netinet/in.h>
#include <string.h>

#define LISTEN_BACKLOG 256
/* Each tunnel takes two file descriptors. */
#define MAX_TUNNELS 1000
/* Reading from one end pauses while more bytes than this are queued for the other. */
#define MAX_BACKLOG_BYTES (256 * 1024)
/* The other router has to send its first bytes, and to close after the target has closed,
 * within this time. */
#define PEER_TIMEOUT_MS 2000

typedef struct Tunnel Tunnel;

static void resume_reading (Tunnel *tunnel);

/* One of the two connections of a tunnel. */
typedef struct
{
  Tunnel *tunnel;
  uv_tcp_t tcp;
  bool is_open;   /* the handle has been initialized */
  bool is_paused; /* reading is stopped because of the backlog of the other end */
  bool is_broken; /* a write failed; the end of what it sent is no orderly one */
  LimpetByteHolder holder; /* of what waits to be written */
} End;

struct Tunnel
{
  LimpetExchange *exchange;
  LimpetTarget *target; /* a reference; NULL before the first bytes have arrived */
  GList link;
  End router;
  End server;
  uv_timer_t timer;
  uv_connect_t connect;
  uint8_t hello[LIMPET_TUNNEL_HELLO_BYTES];
  size_t hello_length;
  int open_handles;
  bool is_connected;
  bool is_refused;
  bool is_reset; /* the target's connection was reset; the other router is to see it */
  bool is_closed;
};

void
limpet_tunnel_write_hello (uint32_t target_hash, char hello[LIMPET_TUNNEL_HELLO_BYTES])
{
  uint32_t hash = GUINT32_TO_BE (target_hash);

  memcpy (hello, LIMPET_TUNNEL_MAGIC, 4);
  memcpy (hello + 4, &hash, sizeof hash);
}

static void
on_handle_closed (uv_handle_t *handle)
{
  Tunnel *tunnel = handle->data;

  if (--tunnel->open_handles > 0)
    return;
  limpet_target_unref (tunnel->target);
  g_free (tunnel);
}

static void
on_end_closed (uv_handle_t *handle)
{
  End *end = handle->data;

  limpet_byte_holder_clear (&end->holder);
  handle->data = end->tunnel;
  on_handle_closed (handle);
}

static void
close_end (End *end)
{
  if (!end->is_open)
    return;
  end->tunnel->open_handles++;
  end->tunnel->exchange->open_connections--;
  uv_close ((uv_handle_t *)&end->tcp, on_end_closed);
}

static void
close_tunnel (Tunnel *tunnel)
{
  if (tunnel->is_closed)
    return;
  tunnel->is_closed = true;
  g_queue_unlink (&tunnel->exchange->tunnels, &tunnel->link);
  tunnel->open_handles = 1;
  close_end (&tunnel->router);
  close_end (&tunnel->server);
  uv_close ((uv_handle_t *)&tunnel->timer, on_handle_closed);
}

static size_t
backlog (const End *end)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&end->tcp);
}

/* What the target sent before its connection broke, which may be a complete response, is
 * still passed on. */
static void
handle_write_error (End *end)
{
  Tunnel *tunnel = end->tunnel;

  if (end == &tunnel->router)
    {
      close_tunnel (tunnel);
      return;
    }
  end->is_broken = true;
  limpet_byte_holder_set_bytes (&end->holder, backlog (end));
}

static void
on_write_error (uv_stream_t *stream, int status)
{
  End *end = stream->data;

  (void)status;
  if (!end->tunnel->is_closed)
    handle_write_error (end);
}

static void
on_written (uv_stream_t *stream)
{
  End *end = stream->data;

  limpet_byte_holder_set_bytes (&end->holder, backlog (end));
  resume_reading (end->tunnel);
}

static const LimpetStreamWriteOps write_ops
    = { .on_error = on_write_error, .on_written = on_written };

static void
on_shutdown (uv_shutdown_t *request, int status)
{
  (void)status;
  g_free (request);
}

static void
on_timeout (uv_timer_t *timer)
{
  close_tunnel (timer->data);
}

static void
reply (Tunnel *tunnel, LimpetTunnelReply code)
{
  char byte = (char)code;

  if (!limpet_stream_write ((uv_stream_t *)&tunnel->router.tcp, &byte, 1, &write_ops))
    close_tunnel (tunnel);
}

/* Passes on the orderly end of the target's connection. The other router then closes. */
static void
shut_down (Tunnel *tunnel)
{
  uv_shutdown_t *request = g_new0 (uv_shutdown_t, 1);

  uv_timer_start (&tunnel->timer, on_timeout, PEER_TIMEOUT_MS, 0);
  if (uv_shutdown (request, (uv_stream_t *)&tunnel->router.tcp, on_shutdown) != 0)
    {
      g_free (request);
      close_tunnel (tunnel);
    }
}

/* Passes on a reset once the other router has acknowledged all that came before it, which
 * may be a complete response. */
static void
reset_when_sent (Tunnel *tunnel)
{
  if (!limpet_stream_has_unsent (&tunnel->router.tcp))
    {
      close_tunnel (tunnel);
      return;
    }
  if (tunnel->is_reset)
    return;
  tunnel->is_reset = true;
  uv_read_stop ((uv_stream_t *)&tunnel->server.tcp);
  uv_timer_start (&tunnel->timer, on_timeout, PEER_TIMEOUT_MS, 0);
}

static void
refuse (Tunnel *tunnel, LimpetTunnelReply code)
{
  tunnel->is_refused = true;
  reply (tunnel, code);
  if (!tunnel->is_closed)
    shut_down (tunnel);
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  (void)suggested;
  *buffer = limpet_exchange_read_buffer (((End *)handle->data)->tunnel->exchange);
}

static void on_server_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);
static void on_router_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);

static void
pass_on (End *from, End *to, const char *data, size_t length)
{
  if (to->is_broken)
    return;
  if (!limpet_stream_write ((uv_stream_t *)&to->tcp, data, length, &write_ops))
    {
      handle_write_error (to);
      return;
    }
  limpet_byte_holder_set_bytes (&to->holder, backlog (to));
  if (backlog (to) > MAX_BACKLOG_BYTES
      || (backlog (to) > 0 && !limpet_byte_holder_may_grow (&to->holder, length)))
    {
      from->is_paused = true;
      uv_read_stop ((uv_stream_t *)&from->tcp);
    }
}

static void
on_server_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  End *server = stream->data;
  Tunnel *tunnel = server->tunnel;

  if (count > 0)
    {
      limpet_paths_record_bytes (tunnel->exchange, tunnel->target, true);
      pass_on (server, &tunnel->router, buffer->base, (size_t)count);
    }
  else if (count < 0 && !server->is_broken
           && limpet_stream_end_code (stream, count) == UV_EOF)
    shut_down (tunnel);
  else if (count < 0)
    reset_when_sent (tunnel);
}

static void
on_connected (uv_connect_t *request, int status)
{
  Tunnel *tunnel = request->data;

  if (tunnel->is_closed || tunnel->is_refused)
    return;
  uv_timer_stop (&tunnel->timer);
  if (status != 0)
    {
      limpet_paths_record_failure (tunnel->exchange, tunnel->target);
      refuse (tunnel, LIMPET_TUNNEL_UNREACHABLE);
      return;
    }
  tunnel->is_connected = true;
  reply (tunnel, LIMPET_TUNNEL_CONNECTED);
  if (!tunnel->is_closed)
    uv_read_start ((uv_stream_t *)&tunnel->server.tcp, alloc_buffer, on_server_read);
}

static void
on_connect_timeout (uv_timer_t *timer)
{
  Tunnel *tunnel = timer->data;

  limpet_paths_record_failure (tunnel->exchange, tunnel->target);
  refuse (tunnel, LIMPET_TUNNEL_UNREACHABLE);
}

/* What waits to be written at either end belongs to the other router and the target. */
static void
set_owners (Tunnel *tunnel)
{
  LimpetByteHolder *holders[] = { &tunnel->router.holder, &tunnel->server.holder };
  uint32_t router_address = limpet_stream_peer_address (&tunnel->router.tcp);

  for (size_t i = 0; i < G_N_ELEMENTS (holders); i++)
    {
      holders[i]->account = tunnel->exchange->account;
      limpet_byte_holder_set_owner (holders[i], LIMPET_BYTE_OWNER_CALLER, router_address);
      limpet_byte_holder_set_owner (holders[i], LIMPET_BYTE_OWNER_TARGET,
                                    tunnel->target->id_hash);
    }
}

static void
connect_to_target (Tunnel *tunnel)
{
  struct sockaddr_in address;
  End *server = &tunnel->server;
  int code;

  code = limpet_stream_init_socket (tunnel->exchange->loop, &server->tcp);
  server->tunnel = tunnel;
  server->tcp.data = server;
  server->is_open = true;
  tunnel->exchange->open_connections++;
  set_owners (tunnel);
  tunnel->connect.data = tunnel;
  if (code != 0)
    {
      limpet_log (LIMPET_LOG_WARNING, "tunnel", tunnel->target->vm.id, "connect: %s",
                  uv_strerror (code));
      refuse (tunnel, LIMPET_TUNNEL_REFUSED); /* says nothing of the path to the target */
      return;
    }
  limpet_paths_set_target_options (&server->tcp);
  code = limpet_paths_bind (tunnel->exchange, &server->tcp);
  if (code == 0)
    code = uv_ip4_addr (tunnel->target->vm.address, (int)tunnel->target->vm.port,
                        &address);
  if (code == 0)
    code = uv_tcp_connect (&tunnel->connect, &server->tcp, (struct sockaddr *)&address,
                           on_connected);
  if (code == 0)
    uv_timer_start (&tunnel->timer, on_connect_timeout, LIMPET_CONNECT_TIMEOUT_MS, 0);
  else
    refuse (tunnel, LIMPET_TUNNEL_UNREACHABLE);
}

/* Finds the target that the first bytes name, and connects to it. */
static void
open_tunnel (Tunnel *tunnel)
{
  LimpetExchange *exchange = tunnel->exchange;
  LimpetTarget *target;
  uint32_t hash;

  memcpy (&hash, tunnel->hello + 4, sizeof hash);
  if (memcmp (tunnel->hello, LIMPET_TUNNEL_MAGIC, 4) != 0)
    {
      close_tunnel (tunnel);
      return;
    }
  target = limpet_targets_find (exchange->targets, GUINT32_FROM_BE (hash));
  tunnel->target = target;
  if (target == NULL || atomic_load (&target->leaving)
      || limpet_target_is_resting (target, limpet_clock_mono_ms ())
      || exchange->is_draining || limpet_paths_are_isolated (exchange, target)
      || exchange->tunnels.length > MAX_TUNNELS
      || !limpet_connections_admit_tunnel (exchange))
    {
      refuse (tunnel, LIMPET_TUNNEL_REFUSED);
      return;
    }
  limpet_counter_add (LIMPET_COUNTER_TUNNELS, 1);
  connect_to_target (tunnel);
}

/* A router sends nothing between its first bytes and the reply. */
static void
on_router_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  End *router = stream->data;
  Tunnel *tunnel = router->tunnel;
  size_t missing = LIMPET_TUNNEL_HELLO_BYTES - tunnel->hello_length;

  if (count == 0)
    return;
  if (count < 0)
    close_tunnel (tunnel);
  else if (tunnel->is_connected)
    pass_on (router, &tunnel->server, buffer->base, (size_t)count);
  else if ((size_t)count > missing)
    close_tunnel (tunnel);
  else
    {
      memcpy (tunnel->hello + tunnel->hello_length, buffer->base, (size_t)count);
      tunnel->hello_length += (size_t)count;
      if (tunnel->hello_length == LIMPET_TUNNEL_HELLO_BYTES)
        open_tunnel (tunnel);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  LimpetExchange *exchange = listener->data;
  Tunnel *tunnel;
  uint32_t address;

  if (status < 0)
    {
      limpet_log (LIMPET_LOG_WARNING, "tunnel", NULL, "accept: %s", uv_strerror (status));
      return;
    }
  tunnel = g_new0 (Tunnel, 1);
  tunnel->exchange = exchange;
  tunnel->link.data = tunnel;
  tunnel->router.tunnel = tunnel;
  tunnel->router.is_open = true;
  uv_tcp_init (exchange->loop, &tunnel->router.tcp);
  uv_timer_init (exchange->loop, &tunnel->timer);
  tunnel->router.tcp.data = &tunnel->router;
  tunnel->timer.data = tunnel;
  g_queue_push_tail_link (&exchange->tunnels, &tunnel->link);
  exchange->open_connections++;
  if (uv_accept (listener, (uv_stream_t *)&tunnel->router.tcp) != 0)
    {
      close_tunnel (tunnel);
      return;
    }
  /* A reset shows the other router that a response without a length is not complete, also
   * if this process is killed. */
  limpet_stream_set_reset_on_close (&tunnel->router.tcp, true);
  address = limpet_stream_peer_address (&tunnel->router.tcp);
  if (!exchange->relay_ops->is_router (exchange->relay_user, address))
    {
      limpet_log (LIMPET_LOG_WARNING, "tunnel", NULL,
                  "refused: %u.%u.%u.%u is no known router", address & 255,
                  address >> 8 & 255, address >> 16 & 255, address >> 24);
      close_tunnel (tunnel);
      return;
    }
  limpet_paths_set_router_options (&tunnel->router.tcp);
  uv_timer_start (&tunnel->timer, on_timeout, PEER_TIMEOUT_MS, 0);
  uv_read_start ((uv_stream_t *)&tunnel->router.tcp, alloc_buffer, on_router_read);
}

LimpetStatus
limpet_tunnels_init (LimpetExchange *exchange, LimpetError *error)
{
  struct sockaddr_in address;
  int code = uv_ip4_addr (exchange->relay_address, exchange->relay_port, &address);

  uv_tcp_init (exchange->loop, &exchange->tunnel_listener);
  exchange->tunnel_listener.data = exchange;
  if (code == 0)
    code = uv_tcp_bind (&exchange->tunnel_listener, (const struct sockaddr *)&address, 0);
  if (code == 0)
    code = uv_listen ((uv_stream_t *)&exchange->tunnel_listener, LISTEN_BACKLOG,
                      on_connection);
  if (code != 0)
    return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "tunnel", NULL, "%s:%d: %s",
                             exchange->relay_address, exchange->relay_port,
                             uv_strerror (code));
  exchange->has_tunnel_port = true;
  return LIMPET_STATUS_OK;
}

static void
resume (End *end, const End *other, uv_read_cb on_read)
{
  if (!end->is_paused || backlog (other) > 0)
    return;
  end->is_paused = false;
  uv_read_start ((uv_stream_t *)&end->tcp, alloc_buffer, on_read);
}

static void
resume_reading (Tunnel *tunnel)
{
  if (tunnel->is_closed)
    return;
  resume (&tunnel->router, &tunnel->server, on_router_read);
  if (!tunnel->is_reset)
    resume (&tunnel->server, &tunnel->router, on_server_read);
}

void
limpet_tunnels_check (LimpetExchange *exchange)
{
  GList *next;

  for (GList *link = exchange->tunnels.head; link != NULL; link = next)
    {
      Tunnel *tunnel = link->data;

      next = link->next;
      if (tunnel->is_reset)
        reset_when_sent (tunnel);
      else
        resume_reading (tunnel);
    }
}

void
limpet_tunnels_stop (LimpetExchange *exchange)
{
  if (exchange->has_tunnel_port)
    uv_close ((uv_handle_t *)&exchange->tunnel_listener, NULL);
  exchange->has_tunnel_port = false;
}

void
limpet_tunnels_close_all (LimpetExchange *exchange)
{
  while (exchange->tunnels.length > 0)
    close_tunnel (g_queue_peek_head (&exchange->tunnels));
}
