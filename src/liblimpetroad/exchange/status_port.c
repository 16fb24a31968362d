#include "limpetroad/status_port.h"

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "private/http_reader.h"
#include "private/stream_write.h"

#include <netinet/in.h>
#include <string.h>

#define LISTEN_BACKLOG 64
/* Also the size limit for the head of a request. */
#define READ_BUFFER_BYTES 4096
#define MAX_IDLE_MS 30000
#define MAX_CONNECTIONS 64

struct LimpetStatusPort
{
  uv_loop_t *loop;
  LimpetStatusHandler handler;
  void *user;
  const char *content_type;
  bool (*accepts) (void *user, uint32_t address); /* NULL for all addresses */
  uv_tcp_t listener;
  GQueue connections; /* of Connection */
};

typedef struct
{
  LimpetStatusPort *port;
  uv_tcp_t tcp;
  GList link;
  LimpetHttpReader reader;
  LimpetMs last_read_ms;
  bool is_closed;
  char buffer[READ_BUFFER_BYTES];
} Connection;

static void
on_closed (uv_handle_t *handle)
{
  Connection *connection = handle->data;

  limpet_http_reader_clear (&connection->reader);
  g_free (connection);
}

static void
close_connection (Connection *connection)
{
  if (connection->is_closed)
    return;
  connection->is_closed = true;
  g_queue_unlink (&connection->port->connections, &connection->link);
  uv_close ((uv_handle_t *)&connection->tcp, on_closed);
}

static bool
ignore_head (void *user, const LimpetHttpHead *head)
{
  (void)user;
  (void)head;
  return true;
}

static bool
ignore_body (void *user, const char *data, size_t length)
{
  (void)user;
  (void)data;
  (void)length;
  return true;
}

static const LimpetHttpReaderOps reader_ops
    = { .on_head = ignore_head, .on_body = ignore_body };

static void
write_response (Connection *connection)
{
  LimpetStatusPort *port = connection->port;
  GString *body = g_string_new (NULL);
  GString *out = g_string_new (NULL);
  int status = strcmp (connection->reader.head.method, "GET") == 0
                   ? port->handler (port->user, connection->reader.head.target, body)
                   : 405;

  g_string_printf (
      out, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", status,
      http_status_str ((enum http_status)status), port->content_type, body->len);
  g_string_append_len (out, body->str, (gssize)body->len);
  if (!limpet_stream_write ((uv_stream_t *)&connection->tcp, out->str, out->len, NULL))
    close_connection (connection);
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  Connection *connection = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (connection->buffer, sizeof connection->buffer);
}

/* Returns whether the filter accepts the peer. It is asked when a request has come, not
 * when the connection is made: the datagram by which a router becomes known may be read
 * just after that. */
static bool
is_accepted (Connection *connection)
{
  const LimpetStatusPort *port = connection->port;

  return port->accepts == NULL
         || port->accepts (port->user, limpet_stream_peer_address (&connection->tcp));
}

/* Returns whether the peer asks on although it has not read the last response: responses
 * would pile up. */
static bool
has_unread_response (const Connection *connection)
{
  return uv_stream_get_write_queue_size ((const uv_stream_t *)&connection->tcp) > 0;
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  Connection *connection = stream->data;
  size_t offset = 0;

  if (count < 0)
    close_connection (connection);
  connection->last_read_ms = limpet_clock_mono_ms ();
  while (count > 0 && offset < (size_t)count && !connection->is_closed)
    {
      size_t used = 0;
      LimpetHttpProgress progress = limpet_http_reader_feed (
          &connection->reader, buffer->base + offset, (size_t)count - offset, &used);

      offset += used;
      if (progress == LIMPET_HTTP_ERROR || !is_accepted (connection)
          || has_unread_response (connection))
        close_connection (connection);
      else if (progress == LIMPET_HTTP_COMPLETE)
        {
          write_response (connection);
          limpet_http_reader_next (&connection->reader);
        }
    }
}

/* Closes idle connections, and the oldest ones while there are too many. It runs only
 * when a new connection arrives. */
static void
close_excess_connections (LimpetStatusPort *port)
{
  LimpetMs oldest_ms = limpet_clock_mono_ms () - MAX_IDLE_MS;
  GList *next;

  for (GList *link = port->connections.head; link != NULL; link = next)
    {
      Connection *connection = link->data;

      next = link->next;
      if (connection->last_read_ms < oldest_ms
          || port->connections.length > MAX_CONNECTIONS)
        close_connection (connection);
    }
}

static void
on_connection (uv_stream_t *listener, int status)
{
  LimpetStatusPort *port = listener->data;
  Connection *connection;

  if (status < 0)
    return; /* e.g. the client has already disconnected; it can connect again */
  close_excess_connections (port);
  connection = g_new0 (Connection, 1);
  connection->port = port;
  connection->link.data = connection;
  connection->last_read_ms = limpet_clock_mono_ms ();
  limpet_http_reader_init (&connection->reader, false, READ_BUFFER_BYTES, &reader_ops,
                           connection);
  uv_tcp_init (port->loop, &connection->tcp);
  connection->tcp.data = connection;
  g_queue_push_tail_link (&port->connections, &connection->link);
  if (uv_accept (listener, (uv_stream_t *)&connection->tcp) != 0
      || uv_read_start ((uv_stream_t *)&connection->tcp, alloc_buffer, on_read) != 0)
    close_connection (connection);
}

LimpetStatusPort *
limpet_status_port_new (uv_loop_t *loop, LimpetStatusHandler handler, void *user)
{
  LimpetStatusPort *port = g_new0 (LimpetStatusPort, 1);

  port->loop = loop;
  port->handler = handler;
  port->user = user;
  port->content_type = "text/plain";
  g_queue_init (&port->connections);
  return port;
}

void
limpet_status_port_set_content_type (LimpetStatusPort *port, const char *content_type)
{
  port->content_type = content_type;
}

void
limpet_status_port_set_filter (LimpetStatusPort *port,
                               bool (*accepts) (void *user, uint32_t address))
{
  port->accepts = accepts;
}

LimpetStatus
limpet_status_port_init (LimpetStatusPort *port,
                         const char *address,
                         int port_number,
                         LimpetError *error)
{
  struct sockaddr_in bind_address;
  int code = uv_ip4_addr (address, port_number, &bind_address);

  uv_tcp_init (port->loop, &port->listener);
  port->listener.data = port;
  if (code == 0)
    code = uv_tcp_bind (&port->listener, (const struct sockaddr *)&bind_address, 0);
  if (code == 0)
    code = uv_listen ((uv_stream_t *)&port->listener, LISTEN_BACKLOG, on_connection);
  if (code != 0)
    return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "listen", NULL, "%s:%d: %s",
                             address, port_number, uv_strerror (code));
  return LIMPET_STATUS_OK;
}

uint32_t
limpet_status_port_sending_count (const LimpetStatusPort *port)
{
  uint32_t count = 0;

  for (const GList *link = port->connections.head; link != NULL; link = link->next)
    count += uv_stream_get_write_queue_size (
                 (const uv_stream_t *)&((const Connection *)link->data)->tcp)
             > 0;
  return count;
}

static void
free_port (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
limpet_status_port_close (LimpetStatusPort *port)
{
  while (port->connections.length > 0)
    close_connection (g_queue_peek_head (&port->connections));
  uv_close ((uv_handle_t *)&port->listener, free_port);
}
