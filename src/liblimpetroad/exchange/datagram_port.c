#include "limpetroad/datagram_port.h"

#include "limpetroad/counters.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <stdbool.h>

/* Longer datagrams are dropped and counted as malformed. */
#define MAX_DATAGRAM_BYTES 8192

struct LimpetDatagramPort
{
  uv_udp_t udp;
  LimpetDatagramHandler handler;
  void *user;
  uint16_t port_number; /* network byte order */
  uv_prepare_t before_poll;
  uv_check_t after_poll;
  LimpetMs asked_ms;   /* boot clock before the socket was last asked for datagrams */
  LimpetMs drained_ms; /* the same when it last had none */
  bool has_received;   /* since before_poll */
  int open_handles;
  char buffer[MAX_DATAGRAM_BYTES];
};

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  LimpetDatagramPort *port = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (port->buffer, sizeof port->buffer);
}

static void
on_datagram (uv_udp_t *udp,
             ssize_t count,
             const uv_buf_t *buffer,
             const struct sockaddr *address,
             unsigned int flags)
{
  LimpetDatagramPort *port = udp->data;
  const struct sockaddr_in *sender = (const struct sockaddr_in *)address;

  port->has_received = true;
  if (count == 0 && address == NULL)
    port->drained_ms = port->asked_ms;
  if (count <= 0 || address == NULL)
    return;
  if ((flags & UV_UDP_PARTIAL) != 0) /* truncated: longer than the buffer */
    limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
  else
    port->handler (port->user, sender->sin_addr.s_addr, (const uint8_t *)buffer->base,
                   (size_t)count, port->drained_ms);
  port->asked_ms = limpet_clock_boot_ms ();
}

static void
on_before_poll (uv_prepare_t *handle)
{
  LimpetDatagramPort *port = handle->data;

  port->asked_ms = limpet_clock_boot_ms ();
  port->has_received = false;
}

static void
on_after_poll (uv_check_t *handle)
{
  LimpetDatagramPort *port = handle->data;

  if (!port->has_received)
    port->drained_ms = port->asked_ms;
}

LimpetDatagramPort *
limpet_datagram_port_new (uv_loop_t *loop, LimpetDatagramHandler handler, void *user)
{
  LimpetDatagramPort *port = g_new0 (LimpetDatagramPort, 1);

  port->handler = handler;
  port->user = user;
  port->open_handles = 3;
  uv_udp_init (loop, &port->udp); /* its socket is created when it is bound */
  uv_prepare_init (loop, &port->before_poll);
  uv_check_init (loop, &port->after_poll);
  port->udp.data = port;
  port->before_poll.data = port;
  port->after_poll.data = port;
  return port;
}

LimpetStatus
limpet_datagram_port_init (LimpetDatagramPort *port,
                           const char *address,
                           int port_number,
                           LimpetError *error)
{
  struct sockaddr_in bind_address;
  int code = uv_ip4_addr (address, port_number, &bind_address);

  port->port_number = htons ((uint16_t)port_number);
  port->drained_ms = limpet_clock_boot_ms ();
  port->asked_ms = port->drained_ms;
  uv_prepare_start (&port->before_poll, on_before_poll);
  uv_check_start (&port->after_poll, on_after_poll);
  if (code == 0)
    code = uv_udp_bind (&port->udp, (const struct sockaddr *)&bind_address, 0);
  if (code == 0)
    code = uv_udp_recv_start (&port->udp, alloc_buffer, on_datagram);
  if (code != 0)
    return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "peers", NULL, "%s:%d: %s",
                             address, port_number, uv_strerror (code));
  return LIMPET_STATUS_OK;
}

void
limpet_datagram_port_send (LimpetDatagramPort *port,
                           uint32_t address,
                           const uint8_t *data,
                           size_t length)
{
  struct sockaddr_in destination = { .sin_family = AF_INET,
                                     .sin_port = port->port_number,
                                     .sin_addr.s_addr = address };
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned int)length);

  if (uv_udp_try_send (&port->udp, &buffer, 1, (const struct sockaddr *)&destination) < 0)
    limpet_counter_add (LIMPET_COUNTER_PEER_SEND_FAILURES, 1);
}

static void
free_port (uv_handle_t *handle)
{
  LimpetDatagramPort *port = handle->data;

  if (--port->open_handles == 0)
    g_free (port);
}

void
limpet_datagram_port_close (LimpetDatagramPort *port)
{
  uv_close ((uv_handle_t *)&port->udp, free_port);
  uv_close ((uv_handle_t *)&port->before_poll, free_port);
  uv_close ((uv_handle_t *)&port->after_poll, free_port);
}
