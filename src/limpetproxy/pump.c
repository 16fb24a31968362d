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
#define CHECK_MS 20
#define DRIP_MS 10

/* One connection through the proxy. */
typedef struct
{
  ProxyLink *link;
  int caller;
  int target;
  uint64_t number;
  bool loses_answer;
  bool duplicates;
  int64_t from_target;
} Pump;

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
  struct sockaddr_in address = make_address (link->address, link->target_port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int on = 1;

  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
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

/* Sends the same bytes on a connection of their own; the answer is thrown away. */
static void
send_duplicate (const ProxyLink *link, const char *data, size_t length)
{
  int fd = connect_target (link);
  char answer[BLOCK_BYTES];

  if (fd < 0)
    return;
  if (write_all (fd, data, length))
    while (recv (fd, answer, sizeof answer, 0) == (ssize_t)sizeof answer)
      continue;
  close (fd);
}

static bool
write_slowly (int fd, const char *data, size_t length, const ProxyFault *fault)
{
  if (fault->delay_ms > 0)
    limpet_clock_sleep_ms (fault->delay_ms);
  while (fault->drip_bytes > 0 && length > (size_t)fault->drip_bytes)
    {
      if (!write_all (fd, data, (size_t)fault->drip_bytes))
        return false;
      data += fault->drip_bytes;
      length -= (size_t)fault->drip_bytes;
      limpet_clock_sleep_ms (DRIP_MS);
    }
  return write_all (fd, data, length);
}

static bool
forward_up (Pump *pump, const ProxyFault *fault)
{
  char block[BLOCK_BYTES];
  ssize_t length = recv (pump->caller, block, sizeof block, 0);

  if (length <= 0)
    return false;
  if (fault->drop_up != 0)
    return true;
  if (pump->duplicates)
    {
      pump->duplicates = false;
      send_duplicate (pump->link, block, (size_t)length);
    }
  return write_slowly (pump->target, block, (size_t)length, fault);
}

static bool
forward_down (Pump *pump, const ProxyFault *fault)
{
  char block[BLOCK_BYTES];
  ssize_t length = recv (pump->target, block, sizeof block, 0);

  if (length <= 0 || pump->loses_answer)
    return false;
  if (fault->drop_down != 0)
    return true;
  if (fault->cut_after > 0 && pump->from_target + length > fault->cut_after)
    {
      write_all (pump->caller, block, (size_t)(fault->cut_after - pump->from_target));
      return false;
    }
  pump->from_target += length;
  return write_slowly (pump->caller, block, (size_t)length, fault);
}

static void
read_state (const Pump *pump, ProxyFault *fault, bool *cut, bool *silent)
{
  ProxyLink *link = pump->link;

  pthread_mutex_lock (&link->lock);
  *fault = link->fault;
  *cut = pump->number <= link->cut_generation;
  *silent = pump->number <= link->silent_generation;
  pthread_mutex_unlock (&link->lock);
}

static bool
pump_once (Pump *pump)
{
  struct pollfd fds[2] = {
    { .fd = pump->caller, .events = POLLIN },
    { .fd = pump->target, .events = POLLIN },
  };
  ProxyFault fault;
  bool cut;
  bool silent;

  poll (fds, 2, CHECK_MS);
  read_state (pump, &fault, &cut, &silent);
  if (cut)
    return false;
  if (silent)
    {
      limpet_clock_sleep_ms (CHECK_MS);
      return true;
    }
  if (fds[0].revents != 0 && !forward_up (pump, &fault))
    return false;
  return fds[1].revents == 0 || forward_down (pump, &fault);
}

static void *
run_pump (void *user)
{
  Pump *pump = user;

  pump->target = connect_target (pump->link);
  while (pump->target >= 0 && pump_once (pump))
    continue;
  close (pump->caller);
  if (pump->target >= 0)
    close (pump->target);
  g_free (pump);
  return NULL;
}

static void
start_pump (ProxyLink *link, int caller)
{
  Pump *pump = g_new0 (Pump, 1);
  pthread_t thread;
  bool refuse;
  int on = 1;

  setsockopt (caller, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  pump->link = link;
  pump->caller = caller;
  pthread_mutex_lock (&link->lock);
  refuse = link->fault.refuse != 0;
  pump->number = ++link->connections;
  if (link->fault.lose_answers > 0)
    {
      link->fault.lose_answers--;
      pump->loses_answer = true;
    }
  if (link->fault.duplicate > 0)
    {
      link->fault.duplicate--;
      pump->duplicates = true;
    }
  pthread_mutex_unlock (&link->lock);
  if (!refuse && pthread_create (&thread, NULL, run_pump, pump) == 0)
    {
      pthread_detach (thread);
      return;
    }
  close (caller);
  g_free (pump);
}

/* What a listening thread needs. */
typedef struct
{
  ProxyLink *link;
  int fd;
} Listener;

static void *
run_listener (void *user)
{
  Listener *listener = user;

  for (;;)
    {
      int caller = accept (listener->fd, NULL, NULL);

      if (caller >= 0)
        start_pump (listener->link, caller);
    }
  return NULL;
}

bool
proxy_link_start (ProxyLink *link)
{
  struct sockaddr_in address = make_address ("127.0.0.1", link->port);
  Listener *listener = g_new0 (Listener, 1);
  pthread_t thread;
  int on = 1;

  pthread_mutex_init (&link->lock, NULL);
  listener->link = link;
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (listener->fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
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
  link->cut_generation = link->connections;
  pthread_mutex_unlock (&link->lock);
}

void
proxy_link_silence (ProxyLink *link)
{
  pthread_mutex_lock (&link->lock);
  link->silent_generation = link->connections;
  pthread_mutex_unlock (&link->lock);
}
