#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/upstream.h"

/* Sockets of the process that the exchange leaves to the other parts of the router: the
 * status ports, calls of the platform and of other routers, listeners. */
#define CONTROL_SOCKETS 256
/* Callers get at most this part of the connections, so that some are left for targets. */
#define CALLERS_PART(connections) ((connections) / 4 * 3)
/* While this part is left, no connection is relayed for another router. */
#define UNRELAYED_PART(connections) ((connections) / 8)
/* The request of a connection younger than this may be on its way. */
#define MIN_IDLE_MS 200

void
limpet_exchange_set_max_sockets (LimpetExchange *exchange, uint32_t count)
{
  exchange->max_connections
      = count > 2 * CONTROL_SOCKETS ? count - CONTROL_SOCKETS : count / 2;
}

/* Returns the caller whose connection has been idle for longest, or NULL. */
static LimpetCaller *
longest_idle_caller (const LimpetExchange *exchange, LimpetMs now_ms)
{
  LimpetCaller *caller = g_queue_peek_head ((GQueue *)&exchange->idle_callers);

  return caller != NULL && now_ms - caller->wait_start_ms >= MIN_IDLE_MS ? caller : NULL;
}

static void
close_idle_caller (LimpetCaller *caller)
{
  limpet_counter_add (LIMPET_COUNTER_IDLE_CALLERS_CLOSED, 1);
  limpet_caller_close (caller);
}

/* Closes the connection that has been idle for longest, to a caller or to a target.
 * Returns false if none is idle. */
static bool
close_longest_idle (LimpetExchange *exchange)
{
  LimpetCaller *caller = longest_idle_caller (exchange, limpet_clock_mono_ms ());
  LimpetUpstream *upstream = g_queue_peek_head (&exchange->idle_upstreams);

  if (upstream != NULL
      && (caller == NULL || upstream->idle_since_ms < caller->wait_start_ms))
    limpet_upstream_close (upstream);
  else if (caller != NULL)
    close_idle_caller (caller);
  else
    return false;
  return true;
}

static bool
make_room (LimpetExchange *exchange)
{
  return exchange->max_connections == 0
         || exchange->open_connections < exchange->max_connections
         || close_longest_idle (exchange);
}

bool
limpet_connections_admit_caller (LimpetExchange *exchange)
{
  LimpetCaller *idle = longest_idle_caller (exchange, limpet_clock_mono_ms ());
  bool is_part_full
      = exchange->max_connections > 0
        && exchange->callers.length >= CALLERS_PART (exchange->max_connections);

  if (is_part_full && idle != NULL)
    close_idle_caller (idle);
  if ((!is_part_full || idle != NULL) && make_room (exchange))
    return true;
  limpet_counter_add (LIMPET_COUNTER_CALLERS_TURNED_AWAY, 1);
  limpet_log (LIMPET_LOG_WARNING, "accept", NULL,
              "turned away, none is idle callers=%u connections=%u max_connections=%u",
              exchange->callers.length, exchange->open_connections,
              exchange->max_connections);
  return false;
}

bool
limpet_connections_admit_upstream (LimpetExchange *exchange)
{
  return make_room (exchange);
}

bool
limpet_connections_admit_tunnel (const LimpetExchange *exchange)
{
  return exchange->max_connections == 0
         || exchange->open_connections + UNRELAYED_PART (exchange->max_connections)
                < exchange->max_connections;
}

void
limpet_connections_render_metrics (const LimpetExchange *exchange, GString *out)
{
  g_string_append_printf (out, "limpetroad_connections %u\n", exchange->open_connections);
  g_string_append_printf (out, "limpetroad_connections_max %u\n",
                          exchange->max_connections);
  g_string_append_printf (out, "limpetroad_idle_callers %u\n",
                          exchange->idle_callers.length);
}
