#ifndef LIMPETROAD_PRIVATE_LINE_H
#define LIMPETROAD_PRIVATE_LINE_H

#include "private/exchange.h"

/* A connection to a target. It carries one request at a time, rests in the pool of its
 * target between two, and is closed when anything about an exchange is in doubt. */
struct LimpetLine
{
  LimpetExchange *exchange;
  LimpetTarget *target; /* a reference */
  LimpetTask *task;     /* NULL while idle */
  GList link;           /* in the pool */
  uv_tcp_t tcp;
  uv_timer_t timer; /* connect or idle time-out */
  uv_connect_t connect;
  LimpetHttpReader reader;
  GString *request; /* waits for the connection */
  LimpetMs idle_since_ms;
  int open_handles;
  bool is_connected;
  bool is_idle;
  bool is_paused;
  bool is_closed;
  bool keeps_alive;    /* the target said so in its last answer */
  bool skipped_answer; /* an answer to an earlier call came over it */
};

/* Idle connections of one target, the last used first. */
typedef struct
{
  GQueue idle; /* of LimpetLine */
} LimpetLinePool;

/* Closes the idle connections of a target. */
void limpet_line_pool_clear (LimpetTarget *target);

#endif
