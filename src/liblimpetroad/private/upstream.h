#ifndef LIMPETROAD_PRIVATE_UPSTREAM_H
#define LIMPETROAD_PRIVATE_UPSTREAM_H

#include "private/exchange.h"

/* An upstream connection, i.e. one to a target. It carries one request at a time and
 * stays in the target's pool between requests. It is closed instead of pooled if the
 * previous response did not end cleanly. */
struct LimpetUpstream
{
  LimpetExchange *exchange;
  LimpetTarget *target; /* owns a reference */
  LimpetTask *task;     /* NULL while idle */
  GList link;           /* in the pool of idle connections */
  uv_tcp_t tcp;
  uv_timer_t timer; /* connect time-out or idle time-out */
  uv_connect_t connect;
  LimpetHttpReader reader;
  GString *request; /* to be sent once connected; NULL if none */
  LimpetMs idle_since_ms;
  int open_handles; /* handles whose close callback is still due */
  bool is_connected;
  bool is_idle;
  bool is_paused;
  bool is_closed;
  bool keep_alive;       /* the last response allows reuse */
  bool skipped_response; /* a response to an earlier call arrived on it */
};

/* Idle connections of one target, most recently used first. */
typedef struct
{
  GQueue idle; /* of LimpetUpstream */
} LimpetUpstreamPool;

/* Closes the idle connections of a target. */
void limpet_upstream_pool_clear (LimpetTarget *target);

#endif
