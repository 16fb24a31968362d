#include "pump.h"

#include "limpetroad/clock.h"

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define BLOCK_BYTES 16384
/* Longest wait for data before a connection reads the faults again. */
#define POLL_MS 20
#define DRIP_INTERVAL_MS 10

/* One connection through the proxy; each has its own thread. */
typedef struct
{
  ProxyLink *link;
  int client_fd;
  int target_fd;
  uint64_t number; /* of the connection on its link, from 1 */
  bool loses_response;
  bool sends_duplicate;
  bool is_broken; /* the client sees a reset instead of an orderly end */
  int64_t forwarded_bytes;
} ProxyConnection;

static struct sockaddr_in
make_address (const char *address, int port)
{
  struct sockaddr_in result
      = { .sin_family = AF_INET, .sin_port = htons ((uint16_t)port) };

  inet_pton (AF_INET, address, &result.sin_addr);
  return result;
}

static int
connect_target (const ProxyLink *link)
{
  struct sockaddr_in address = make_address (link->target_address, link->target_port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int enabled = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  if (connect (fd, (struct sockaddr *)&address, sizeof address) == 0)
    return fd;
  close (fd);
  return -1;
}

static bool
write_all (int fd, const char *data, size_t length)
{
  while (length > 0)
    {
      ssize_t written = send (fd, data, length, MSG_NOSIGNAL);

      if (written <= 0)
        return false;
      data += written;
      length -= (size_t)written;
    }
  return true;
}

/* Sends the data to the target on a separate connection and discards the response. */
static void
send_duplicate (const ProxyLink *link, const char *data, size_t length)
{
  int fd = connect_target (link);
  char response[BLOCK_BYTES];

  if (fd < 0)
    return;
  if (write_all (fd, data, length))
    while (recv (fd, response, sizeof response, 0) == (ssize_t)sizeof response)
      continue;
  close (fd);
}

static bool
write_with_delays (int fd, const char *data, size_t length, const ProxyFault *fault)
{
  if (fault->delay_ms > 0)
    limpet_clock_sleep_ms (fault->delay_ms);
  while (fault->drip_bytes > 0 && length > (size_t)fault->drip_bytes)
    {
      if (!write_all (fd, data, (size_t)fault->drip_bytes))
        return false;
      data += fault->drip_bytes;
      length -= (size_t)fault->drip_bytes;
      limpet_clock_sleep_ms (DRIP_INTERVAL_MS);
    }
  return write_all (fd, data, length);
}

static bool
forward_to_target (ProxyConnection *connection, const ProxyFault *fault)
{
  char block[BLOCK_BYTES];
  ssize_t length = recv (connection->client_fd, block, sizeof block, 0);

  if (length <= 0)
    return false;
  if (fault->drop_up != 0)
    return true;
  if (connection->sends_duplicate)
    {
      connection->sends_duplicate = false;
      send_duplicate (connection->link, block, (size_t)length);
    }
  return write_with_delays (connection->target_fd, block, (size_t)length, fault);
}

static bool
forward_to_client (ProxyConnection *connection, const ProxyFault *fault)
{
  char block[BLOCK_BYTES];
  ssize_t length = recv (connection->target_fd, block, sizeof block, 0);

  connection->is_broken = length < 0;
  if (length <= 0 || connection->loses_response)
    return false;
  if (fault->drop_down != 0)
    return true;
  if (fault->cut_after > 0 && connection->forwarded_bytes + length > fault->cut_after)
    {
      write_all (connection->client_fd, block,
                 (size_t)(fault->cut_after - connection->forwarded_bytes));
      connection->is_broken = true;
      return false;
    }
  connection->forwarded_bytes += length;
  return write_with_delays (connection->client_fd, block, (size_t)length, fault);
}

/* Reads the faults of the link, and whether this connection has to be closed or has to
 * stay silent. */
static void
read_faults (const ProxyConnection *connection,
             ProxyFault *fault,
             bool *cut,
             bool *silent)
{
  ProxyLink *link = connection->link;

  pthread_mutex_lock (&link->lock);
  *fault = link->fault;
  *cut = connection->number <= link->last_cut;
  *silent = connection->number <= link->last_silent;
  pthread_mutex_unlock (&link->lock);
}

/* Waits for data for at most POLL_MS and forwards it. Returns false if the connection has
 * to be closed. */
static bool
forward_once (ProxyConnection *connection)
{
  struct pollfd fds[2] = {
    { .fd = connection->client_fd, .events = POLLIN },
    { .fd = connection->target_fd, .events = POLLIN },
  };
  ProxyFault fault;
  bool cut;
  bool silent;

  poll (fds, 2, POLL_MS);
  read_faults (connection, &fault, &cut, &silent);
  if (cut)
    {
      connection->is_broken = true;
      return false;
    }
  if (silent)
    {
      limpet_clock_sleep_ms (POLL_MS);
      return true;
    }
  if (fds[0].revents != 0 && !forward_to_target (connection, &fault))
    return false;
  return fds[1].revents == 0 || forward_to_client (connection, &fault);
}

static void
reset_on_close (int fd)
{
  struct linger linger = { .l_onoff = 1, .l_linger = 0 };

  setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
}

static void *
run_connection (void *user)
{
  ProxyConnection *connection = user;

  connection->target_fd = connect_target (connection->link);
  while (connection->target_fd >= 0 && forward_once (connection))
    continue;
  if (connection->is_broken)
    reset_on_close (connection->client_fd);
  close (connection->client_fd);
  if (connection->target_fd >= 0)
    close (connection->target_fd);
  g_free (connection);
  return NULL;
}

static void
start_connection (ProxyLink *link, int client_fd)
{
  ProxyConnection *connection = g_new0 (ProxyConnection, 1);
  pthread_t thread;
  bool refuse;
  int enabled = 1;

  setsockopt (client_fd, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
  connection->link = link;
  connection->client_fd = client_fd;
  pthread_mutex_lock (&link->lock);
  refuse = link->fault.refuse != 0;
  connection->number = ++link->connections;
  if (link->fault.lose_answers > 0)
    {
      link->fault.lose_answers--;
      connection->loses_response = true;
    }
  if (link->fault.duplicate > 0)
    {
      link->fault.duplicate--;
      connection->sends_duplicate = true;
    }
  pthread_mutex_unlock (&link->lock);
  if (!refuse && pthread_create (&thread, NULL, run_connection, connection) == 0)
    {
      pthread_detach (thread);
      return;
    }
  close (client_fd);
  g_free (connection);
}

/* Arguments of a listening thread. */
typedef struct
{
  ProxyLink *link;
  int fd;
} LinkListener;

static void *
run_listener (void *user)
{
  LinkListener *listener = user;

  for (;;)
    {
      int client_fd = accept (listener->fd, NULL, NULL);

      if (client_fd >= 0)
        start_connection (listener->link, client_fd);
    }
  return NULL;
}

bool
proxy_link_start (ProxyLink *link)
{
  struct sockaddr_in address = make_address ("127.0.0.1", link->port);
  LinkListener *listener = g_new0 (LinkListener, 1);
  pthread_t thread;
  int enabled = 1;

  pthread_mutex_init (&link->lock, NULL);
  listener->link = link;
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
  if (bind (listener->fd, (struct sockaddr *)&address, sizeof address) != 0
      || listen (listener->fd, 512) != 0
      || pthread_create (&thread, NULL, run_listener, listener) != 0)
    {
      close (listener->fd);
      g_free (listener);
      return false;
    }
  pthread_detach (thread);
  return true;
}

void
proxy_link_cut (ProxyLink *link)
{
  pthread_mutex_lock (&link->lock);
  link->last_cut = link->connections;
  pthread_mutex_unlock (&link->lock);
}

void
proxy_link_silence (ProxyLink *link)
{
  pthread_mutex_lock (&link->lock);
  link->last_silent = link->connections;
  pthread_mutex_unlock (&link->lock);
}
