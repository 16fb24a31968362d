#ifndef LIMPETPROXY_PUMP_H
#define LIMPETPROXY_PUMP_H

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

/* One listening port and the address behind it, with the faults in force. */

typedef struct
{
  int64_t refuse;       /* 1: close new connections at once */
  int64_t delay_ms;     /* before each forwarded block, both ways */
  int64_t drip_bytes;   /* forward at most so many bytes each 10 ms; 0 for no limit */
  int64_t drop_up;      /* 1: swallow what goes to the target (one-way partition) */
  int64_t drop_down;    /* 1: swallow what comes from the target */
  int64_t lose_answers; /* connections whose answer is swallowed, then cut */
  int64_t duplicate;    /* requests sent a second time on a connection of their own */
  int64_t cut_after;    /* cut after so many bytes from the target; 0 for never */
} ProxyFault;

typedef struct
{
  char name[64];
  char address[64];
  int port;
  int target_port;
  pthread_mutex_t lock; /* guards the fields below */
  ProxyFault fault;
  uint64_t cut_generation;    /* connections opened before it are cut */
  uint64_t silent_generation; /* connections opened before it are silent for good */
  uint64_t connections;
} ProxyLink;

/* Accepts connections for ever, in threads of its own. Returns false if it cannot listen.
 */
bool proxy_link_start (ProxyLink *link);

/* Cuts, or silences for good, the connections that are open now. */
void proxy_link_cut (ProxyLink *link);
void proxy_link_silence (ProxyLink *link);

#endif
