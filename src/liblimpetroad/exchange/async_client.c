#include "private/async_client.h"

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "private/http_reader.h"
#include "private/stream_write.h"

#include <netinet/in.h>
#include <arpa/inet.h>
#include <string.h>

#define MAX_RESPONSE_HEAD_BYTES 16384
#define MAX_RESPONSE_BODY_BYTES (16 * 1024 * 1024)
/* Below 1 s, the time after which TCP retransmits a lost SYN. */
#define CONNECT_TIMEOUT_MS 700

typedef struct
{
  LimpetAsyncClient *client;
  uv_tcp_t tcp;
  uv_connect_t connect;
  LimpetHttpReader reader;
  char buffer[16384];
} Connection;

struct LimpetAsyncClient
{
  uv_loop_t *loop;
  LimpetAsyncClientStats *stats; /* borrowed */
  char address[INET_ADDRSTRLEN];
  char source[INET_ADDRSTRLEN]; /* empty for that which the system selects */
  int port;
  Connection *connection; /* NULL if not connected */
  uv_timer_t timer;
  GString *request; /* to be sent once connected; NULL otherwise */
  GByteArray *body;
  LimpetByteHolder holder;         /* of the body */
  LimpetAsyncCallback on_response; /* NULL if no call is under way */
  void *user;
  LimpetMs timeout_ms; /* longest time without any byte of the response */
  LimpetMs called_ms;  /* monotonic time when the call began */
  LimpetMs sent_ms;    /* monotonic time when the request was sent */
  /* Monotonic time when the call began or the last byte of the response came. */
  LimpetMs progress_ms;
  LimpetMs wait_ms; /* from the begin of the last call to the first byte; 0 before it */
};

bool
limpet_async_client_is_busy (const LimpetAsyncClient *client)
{
  return client->on_response != NULL;
}

static void
free_connection (uv_handle_t *handle)
{
  Connection *connection = handle->data;

  limpet_http_reader_clear (&connection->reader);
  g_free (connection);
}

static void
close_connection (LimpetAsyncClient *client)
{
  Connection *connection = client->connection;

  client->connection = NULL;
  if (connection == NULL)
    return;
  connection->client = NULL;
  uv_close ((uv_handle_t *)&connection->tcp, free_connection);
}

static void
finish_call (LimpetAsyncClient *client, int status, const char *error)
{
  LimpetAsyncCallback on_response = client->on_response;
  GByteArray *body = client->body;

  uv_timer_stop (&client->timer);
  client->on_response = NULL;
  client->body = NULL;
  if (client->request != NULL)
    g_string_free (client->request, TRUE);
  client->request = NULL;
  if (on_response != NULL)
    on_response (client->user, status, body != NULL ? (const char *)body->data : "",
                 body != NULL ? body->len : 0, error);
  if (body != NULL)
    g_byte_array_free (body, TRUE);
  if (client->body == NULL) /* the callback may have begun another call */
    limpet_byte_holder_set_bytes (&client->holder, 0);
}

void
limpet_async_client_cancel (LimpetAsyncClient *client)
{
  if (client->on_response == NULL)
    return;
  client->on_response = NULL;
  close_connection (client);
  finish_call (client, 0, "cancelled");
}

LimpetMs
limpet_async_client_silent_ms (const LimpetAsyncClient *client)
{
  return limpet_clock_mono_ms () - client->progress_ms;
}

LimpetMs
limpet_async_client_wait_ms (const LimpetAsyncClient *client)
{
  return client->wait_ms;
}

/* Closes the connection. A call under way ends with status 0 and reason as its error. */
static void
reset_client (LimpetAsyncClient *client, const char *reason)
{
  close_connection (client);
  if (client->on_response == NULL)
    return;
  client->stats->failed_calls++;
  finish_call (client, 0, reason);
}

static void
on_timeout (uv_timer_t *timer)
{
  reset_client (timer->data, "no response in time");
}

static void
restart_timeout (LimpetAsyncClient *client)
{
  uv_timer_start (&client->timer, on_timeout, (uint64_t)client->timeout_ms, 0);
}

static bool
on_head (void *user, const LimpetHttpHead *head)
{
  (void)user;
  return head->has_valid_status;
}

static bool
on_body (void *user, const char *data, size_t length)
{
  Connection *connection = user;
  LimpetAsyncClient *client = connection->client;

  if (client == NULL || client->body == NULL
      || client->body->len + length > MAX_RESPONSE_BODY_BYTES
      || !limpet_byte_holder_may_grow (&client->holder, length))
    return false;
  limpet_byte_holder_set_bytes (&client->holder, client->body->len + length);
  g_byte_array_append (client->body, (const guint8 *)data, (guint)length);
  client->stats->received_bytes += length;
  return true;
}

static const LimpetHttpReaderOps reader_ops = { .on_head = on_head, .on_body = on_body };

/* Returns whether the response under way arrives below the minimum rate. */
static bool
is_too_slow (const LimpetAsyncClient *client)
{
  LimpetMs transfer_ms
      = (LimpetMs)client->body->len * 1000 / LIMPET_MIN_CONTROL_BYTES_PER_S;

  return limpet_clock_mono_ms () - client->sent_ms > client->timeout_ms + transfer_ms;
}

static void
handle_response (Connection *connection)
{
  LimpetAsyncClient *client = connection->client;
  const LimpetHttpHead *head = &connection->reader.head;
  const LimpetAsyncClientStats *stats = client->stats;
  int status = head->status;

  if (stats->on_field != NULL
      && !stats->on_field (status, limpet_http_head_field (head, stats->field_name),
                           client->called_ms))
    {
      reset_client (client, "an outdated response");
      return;
    }
  close_connection (client);
  finish_call (client, status, NULL);
}

static void
alloc_buffer (uv_handle_t *handle, size_t suggested, uv_buf_t *buffer)
{
  Connection *connection = handle->data;

  (void)suggested;
  *buffer = uv_buf_init (connection->buffer, sizeof connection->buffer);
}

static void
record_progress (LimpetAsyncClient *client)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (client->wait_ms == 0)
    client->wait_ms = now_ms - client->progress_ms;
  client->progress_ms = now_ms;
}

static void
on_read (uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
  Connection *connection = stream->data;
  LimpetHttpProgress progress;
  size_t used = 0;

  if (connection->client == NULL || count == 0)
    return;
  if (count < 0)
    {
      reset_client (connection->client, uv_strerror ((int)count));
      return;
    }
  record_progress (connection->client);
  progress
      = limpet_http_reader_feed (&connection->reader, buffer->base, (size_t)count, &used);
  if (progress == LIMPET_HTTP_ERROR)
    reset_client (connection->client, "malformed or too large a response");
  else if (progress == LIMPET_HTTP_COMPLETE)
    handle_response (connection);
  else if (is_too_slow (connection->client))
    reset_client (connection->client, "the response is too slow");
  else
    restart_timeout (connection->client);
}

static void
write_request (Connection *connection)
{
  LimpetAsyncClient *client = connection->client;
  GString *request = client->request;
  bool written;

  client->request = NULL;
  client->sent_ms = limpet_clock_mono_ms ();
  restart_timeout (client);
  written = limpet_stream_write ((uv_stream_t *)&connection->tcp, request->str,
                                 request->len, NULL);
  g_string_free (request, TRUE);
  if (!written)
    reset_client (client, "the connection failed while the request was sent");
}

static void
on_connected (uv_connect_t *request, int status)
{
  Connection *connection = request->data;

  if (connection->client == NULL)
    return;
  if (status != 0)
    {
      reset_client (connection->client, uv_strerror (status));
      return;
    }
  uv_read_start ((uv_stream_t *)&connection->tcp, alloc_buffer, on_read);
  write_request (connection);
}

/* Returns 0 or a libuv error code. */
static int
open_connection (LimpetAsyncClient *client)
{
  Connection *connection = g_new0 (Connection, 1);
  struct sockaddr_in address;
  int code;

  connection->client = client;
  client->connection = connection;
  limpet_http_reader_init (&connection->reader, true, MAX_RESPONSE_HEAD_BYTES,
                           &reader_ops, connection);
  code = limpet_stream_init_socket (client->loop, &connection->tcp);
  connection->tcp.data = connection;
  connection->connect.data = connection;
  if (code == 0)
    uv_tcp_nodelay (&connection->tcp, 1);
  if (code == 0 && client->source[0] != '\0')
    code = uv_ip4_addr (client->source, 0, &address);
  if (code == 0 && client->source[0] != '\0')
    code = uv_tcp_bind (&connection->tcp, (const struct sockaddr *)&address, 0);
  if (code == 0)
    code = uv_ip4_addr (client->address, client->port, &address);
  if (code == 0)
    code = uv_tcp_connect (&connection->connect, &connection->tcp,
                           (struct sockaddr *)&address, on_connected);
  return code;
}

LimpetAsyncClient *
limpet_async_client_new (uv_loop_t *loop,
                         const char *address,
                         int port,
                         LimpetAsyncClientStats *stats)
{
  LimpetAsyncClient *client = g_new0 (LimpetAsyncClient, 1);
  struct in_addr server = { .s_addr = 0 };

  client->loop = loop;
  client->stats = stats;
  g_strlcpy (client->address, address, sizeof client->address);
  client->port = port;
  inet_pton (AF_INET, address, &server);
  client->holder = (LimpetByteHolder){ .account = stats->account, .is_control = true };
  limpet_byte_holder_set_owner (&client->holder, LIMPET_BYTE_OWNER_TARGET,
                                server.s_addr ^ (uint64_t)port << 32);
  uv_timer_init (loop, &client->timer);
  client->timer.data = client;
  return client;
}

void
limpet_async_client_set_source (LimpetAsyncClient *client, const char *source)
{
  g_strlcpy (client->source, source, sizeof client->source);
}

void
limpet_async_client_call (LimpetAsyncClient *client,
                          const char *method,
                          const char *path,
                          const char *body,
                          size_t body_length,
                          LimpetMs timeout_ms,
                          LimpetAsyncCallback on_response,
                          void *user)
{
  g_assert (client->on_response == NULL);
  client->stats->calls++;
  client->on_response = on_response;
  client->user = user;
  client->body = g_byte_array_new ();
  client->request = g_string_new (NULL);
  g_string_printf (client->request, "%s %s HTTP/1.1\r\nHost: %s:%d\r\n", method, path,
                   client->address, client->port);
  if (body != NULL)
    g_string_append_printf (client->request, "Content-Length: %zu\r\n", body_length);
  g_string_append (client->request, "\r\n");
  if (body != NULL)
    g_string_append_len (client->request, body, (gssize)body_length);
  client->timeout_ms = timeout_ms;
  client->called_ms = client->progress_ms = limpet_clock_mono_ms ();
  client->wait_ms = 0;
  uv_timer_start (&client->timer, on_timeout,
                  (uint64_t)MIN (timeout_ms, CONNECT_TIMEOUT_MS), 0);
  if (open_connection (client) != 0)
    uv_timer_start (&client->timer, on_timeout, 0, 0);
}

static void
free_client (uv_handle_t *handle)
{
  g_free (handle->data);
}

void
limpet_async_client_close (LimpetAsyncClient *client)
{
  limpet_async_client_cancel (client);
  close_connection (client);
  limpet_byte_holder_clear (&client->holder);
  uv_close ((uv_handle_t *)&client->timer, free_client);
}
