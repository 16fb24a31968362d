#ifndef LIMPETROAD_PRIVATE_UPSTREAM_H
#define LIMPETROAD_PRIVATE_UPSTREAM_H

#include "private/exchange.h"

/* An upstream connection: a connection to a target. It carries one request at a time and
 * stays in the target's pool between requests. It is closed instead of pooled if it
 * cannot be reused safely, e.g. if bytes follow the response. */
struct LimpetUpstream
{
  LimpetExchange *exchange;
  LimpetTarget *target; /* owns a reference */
  LimpetTask *task;     /* NULL while idle */
  GList link;           /* in the pool of idle connections */
  GList idle_link;      /* in the idle connections to all targets */
  uv_tcp_t tcp;
  uv_timer_t timer; /* connect time-out or idle time-out */
  uv_connect_t connect;
  LimpetHttpReader reader;
  LimpetReadTurn turn;
  GString *request_head; /* of a request to be sent once connected; NULL if none */
  /* Router through which the connection goes (network byte order); 0 for the own links.
   */
  uint32_t relay_address;
  uint32_t relay_failures; /* routers that failed to relay it so far */
  LimpetMs idle_since_ms;
  uint32_t call_count;    /* calls sent on the connection */
  uint32_t skipped_count; /* interim responses and responses to other calls */
  int socket_error;       /* libuv error code; the connection has a socket if it is 0 */
  int write_error;        /* libuv error code of a failed write; 0 if none failed */
  int open_handles;       /* handles whose close callback has not run yet */
  bool is_connected;
  bool is_idle;
  bool is_probe;      /* connects to find out whether the target has crashed */
  bool is_path_probe; /* connects to find out whether the own links work */
  bool is_trial;      /* carries a call on trial, see isolation.h */
  bool awaits_reply;  /* the router that relays has not replied yet */
  bool was_heard;     /* bytes of the target have arrived */
  bool was_heard_since_send;
  bool is_paused; /* reading is stopped */
  bool is_closed;
  bool keep_alive;       /* the last response allows reuse */
  bool skipped_response; /* a response to another call arrived; prevents reuse */
};

/* Idle connections of one target, most recently used first. */
typedef struct
{
  GQueue idle;    /* of LimpetUpstream */
  bool is_probed; /* a probe has not ended */
  LimpetMs probe_began_ms;
  LimpetMs failed_probe_began_ms; /* of the last one on the own links; 0 if none failed */
  LimpetMs connected_ms; /* when a connection was last established, over other routers as
                          * well; 0 if none was */
} LimpetUpstreamPool;

/* Closes the idle connections of a target. */
void limpet_upstream_pool_clear (LimpetTarget *target);

#endif
