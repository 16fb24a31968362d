#ifndef LIMPETPROXY_PUMP_H
#define LIMPETPROXY_PUMP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* A link forwards the connections to one TCP port to a target port and injects faults. */

typedef struct
{
  int64_t refuse;       /* 1: close new connections at once */
  int64_t delay_ms;     /* delay of each forwarded block, in both directions */
  int64_t drip_bytes;   /* most bytes forwarded every 10 ms; 0 for no limit */
  int64_t drop_up;      /* 1: discard data to the target (one-way partition) */
  int64_t drop_down;    /* 1: discard data from the target (one-way partition) */
  int64_t lose_answers; /* number of new connections closed when the response arrives,
                         * without forwarding it */
  int64_t duplicate;    /* number of new connections whose first block is also sent to the
                         * target on another connection, before it is forwarded */
  int64_t cut_after;    /* close after this many bytes from the target; 0 for never */
} ProxyFault;

typedef struct
{
  char name[64];
  char target_address[64];
  int port;
  int target_port;
  pthread_mutex_t lock; /* guards the fields below */
  ProxyFault fault;
  uint64_t last_cut;    /* connections up to this number are to be closed */
  uint64_t last_silent; /* connections up to this number stay open but forward nothing */
  uint64_t connections; /* accepted so far; also the number of the newest one */
} ProxyLink;

/* Starts a thread that accepts connections on 127.0.0.1 until the process exits. Set the
 * name, the target address and the ports first. Returns false if it cannot listen. */
bool proxy_link_start (ProxyLink *link);

/* Closes the open connections. Connections opened later are not affected. */
void proxy_link_cut (ProxyLink *link);

/* Keeps the open connections open but forwards nothing more on them. Connections opened
 * later are not affected. */
void proxy_link_silence (ProxyLink *link);

#endif
