#include "limpetroad/logger.h"
#include "private/paths.h"
#include "private/tunnel.h"
#include "private/upstream.h"

#include <netinet/in.h>
#include <string.h>

#define LISTEN_BACKLOG 1024
/* Period of limpet_dispatch_tick() and of the checks of callers' time-outs. */
#define PERIODIC_TIMER_MS 100
/* Budget for what is held for others until limpet_exchange_set_held_bytes(). */
#define DEFAULT_HELD_BYTES (32 * 1024 * 1024)

static void
on_connection (uv_stream_t *listener, int status)
{
  LimpetExchange *exchange = listener->data;

  if (status < 0)
    {
      limpet_log (LIMPET_LOG_WARNING, "accept", NULL, "%s", uv_strerror (status));
      return;
    }
  limpet_caller_accept (exchange);
}

static void
do_nothing (uv_idle_t *handle)
{
  (void)handle;
}

static void
on_before_poll (uv_prepare_t *handle)
{
  LimpetExchange *exchange = handle->data;

  if (limpet_read_turns_resume (&exchange->read_turns))
    uv_idle_start (&exchange->read_idle, do_nothing);
  else
    uv_idle_stop (&exchange->read_idle);
}

static void
on_periodic_timer (uv_timer_t *timer)
{
  LimpetExchange *exchange = timer->data;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  GList *next;

  for (GList *link = exchange->callers.head; link != NULL; link = next)
    {
      next = link->next;
      limpet_caller_check_timeouts (link->data, now_ms);
    }
  limpet_paths_check (exchange, now_ms);
  limpet_tunnels_check (exchange);
  limpet_held_bytes_check (exchange);
  limpet_pending_crashes_check (exchange, now_ms);
  limpet_pending_crashes_tell (exchange);
  limpet_resumption_tick (exchange);
  limpet_dispatch_tick (exchange->dispatch, now_ms);
}

LimpetExchange *
limpet_exchange_new (uv_loop_t *loop, LimpetTargets *targets)
{
  LimpetExchange *exchange = g_new0 (LimpetExchange, 1);

  exchange->loop = loop;
  exchange->targets = targets;
  exchange->dispatch = limpet_dispatch_new (targets);
  exchange->durations = limpet_call_durations_new ();
  exchange->account = limpet_byte_account_new (DEFAULT_HELD_BYTES);
  g_queue_init (&exchange->callers);
  g_queue_init (&exchange->idle_callers);
  g_queue_init (&exchange->idle_upstreams);
  g_queue_init (&exchange->tasks);
  g_queue_init (&exchange->pending_crashes);
  g_queue_init (&exchange->awaiting_origin);
  g_queue_init (&exchange->tunnels);
  g_queue_init (&exchange->read_turns);
  limpet_paths_init (exchange);
  return exchange;
}

void
limpet_exchange_set_codecs (LimpetExchange *exchange,
                            LimpetCallerCodec *caller_codec,
                            LimpetTargetCodec *target_codec)
{
  exchange->caller_codec = caller_codec;
  exchange->target_codec = target_codec;
}

void
limpet_exchange_set_held_bytes (LimpetExchange *exchange, size_t bytes)
{
  limpet_byte_account_set_budget (exchange->account, bytes);
}

LimpetByteAccount *
limpet_exchange_byte_account (LimpetExchange *exchange)
{
  return exchange->account;
}

uv_buf_t
limpet_exchange_read_buffer (LimpetExchange *exchange)
{
  size_t size = limpet_byte_account_read_size (exchange->account);

  return uv_buf_init (exchange->read_buffer,
                      (unsigned int)MIN (size, sizeof exchange->read_buffer));
}

bool
limpet_exchange_set_policy (LimpetExchange *exchange, const char *name)
{
  return limpet_dispatch_set_policy (exchange->dispatch, name);
}

void
limpet_exchange_set_retry_limits (LimpetExchange *exchange,
                                  const LimpetRetryLimits *limits)
{
  limpet_dispatch_set_retry_limits (exchange->dispatch, limits);
}

void
limpet_exchange_set_load_limit (LimpetExchange *exchange, double mean_factor)
{
  limpet_dispatch_set_load_limit (exchange->dispatch, mean_factor);
}

void
limpet_exchange_set_routers (LimpetExchange *exchange,
                             const uint32_t *addresses,
                             uint32_t count)
{
  limpet_dispatch_set_routers (exchange->dispatch, addresses, count);
}

void
limpet_exchange_set_fleet_known (LimpetExchange *exchange, bool is_known)
{
  limpet_dispatch_set_fleet_known (exchange->dispatch, is_known);
}

void
limpet_exchange_set_cold_bound (LimpetExchange *exchange, const LimpetColdBound *bound)
{
  limpet_dispatch_set_cold_bound (exchange->dispatch, bound);
}

void
limpet_exchange_set_zone_emptied (LimpetExchange *exchange,
                                  const char *zone,
                                  bool is_emptied)
{
  limpet_targets_set_zone_emptied (exchange->targets, zone, is_emptied);
  if (!is_emptied)
    limpet_dispatch_zone_taken_back (exchange->dispatch, zone);
  limpet_dispatch_targets_changed (exchange->dispatch);
}

void
limpet_exchange_set_brittle_observer (LimpetExchange *exchange,
                                      void (*observer) (void *user,
                                                        const LimpetTarget *target),
                                      void *user)
{
  exchange->brittle_observer = observer;
  exchange->brittle_observer_user = user;
}

void
limpet_exchange_record_peer_brittle (LimpetExchange *exchange,
                                     uint32_t group_hash,
                                     double max_refusals_per_s,
                                     LimpetMs at_ms)
{
  limpet_dispatch_record_peer_brittle (exchange->dispatch, group_hash, max_refusals_per_s,
                                       at_ms);
}

void
limpet_exchange_set_limit_observer (LimpetExchange *exchange,
                                    void (*observer) (void *user,
                                                      const LimpetTarget *target),
                                    void *user)
{
  exchange->limit_observer = observer;
  exchange->limit_observer_user = user;
}

void
limpet_exchange_record_peer_limit (LimpetExchange *exchange,
                                   uint32_t id_hash,
                                   const double *per_s,
                                   LimpetMs at_ms)
{
  LimpetTarget *target = limpet_targets_find (exchange->targets, id_hash);

  if (target != NULL)
    limpet_dispatch_record_rate_limit (exchange->dispatch, target, per_s, at_ms);
  limpet_target_unref (target);
}

void
limpet_exchange_set_quarantine (LimpetExchange *exchange, LimpetQuarantine *quarantine)
{
  exchange->quarantine = quarantine;
}

void
limpet_exchange_set_stream_origins (LimpetExchange *exchange,
                                    LimpetStreamOrigins *origins,
                                    LimpetSoftwareMix *mix,
                                    const LimpetResumptionOps *ops,
                                    void *user)
{
  exchange->stream_origins = origins;
  exchange->software_mix = mix;
  exchange->resumption_ops = ops;
  exchange->resumption_user = user;
}

void
limpet_exchange_stream_origins_received (LimpetExchange *exchange)
{
  if (exchange->awaiting_origin.length > 0)
    limpet_resumption_check (exchange, limpet_clock_mono_ms ());
}

void
limpet_exchange_set_relays (LimpetExchange *exchange,
                            const LimpetRelayOps *ops,
                            void *user,
                            const char *address,
                            int port)
{
  exchange->relay_ops = ops;
  exchange->relay_user = user;
  exchange->relay_port = port;
  g_strlcpy (exchange->relay_address, address, sizeof exchange->relay_address);
}

bool
limpet_exchange_relays (LimpetExchange *exchange)
{
  return limpet_paths_relay_for_others (exchange);
}

uint32_t
limpet_exchange_tunnels (const LimpetExchange *exchange)
{
  return exchange->tunnels.length;
}

void
limpet_exchange_set_load_observer (LimpetExchange *exchange,
                                   void (*observer) (void *user,
                                                     const LimpetTarget *target),
                                   void *user)
{
  exchange->load_observer = observer;
  exchange->load_observer_user = user;
}

void
limpet_exchange_record_peer_load (LimpetExchange *exchange,
                                  uint32_t id_hash,
                                  int32_t inflight,
                                  LimpetMs at_ms)
{
  LimpetTarget *target = limpet_targets_find (exchange->targets, id_hash);

  if (target != NULL)
    limpet_dispatch_record_load (exchange->dispatch, target, inflight, at_ms);
  limpet_target_unref (target);
}

void
limpet_exchange_set_leaving_observer (LimpetExchange *exchange,
                                      void (*observer) (void *user,
                                                        const LimpetTarget *target),
                                      void *user)
{
  exchange->leaving_observer = observer;
  exchange->leaving_observer_user = user;
}

void
limpet_exchange_mark_leaving (LimpetExchange *exchange,
                              LimpetTarget *target,
                              const char *source)
{
  if (atomic_load (&target->leaving))
    return;
  limpet_target_mark_leaving (target, source);
  limpet_upstream_pool_clear (target);
  if (exchange->leaving_observer != NULL)
    exchange->leaving_observer (exchange->leaving_observer_user, target);
}

void
limpet_exchange_record_peer_leaving (LimpetExchange *exchange, uint32_t id_hash)
{
  LimpetTarget *target = limpet_targets_find (exchange->targets, id_hash);

  if (target != NULL)
    limpet_exchange_mark_leaving (exchange, target, "another router");
  limpet_target_unref (target);
}

void
limpet_exchange_record_relayed_rest (LimpetExchange *exchange,
                                     uint32_t id_hash,
                                     LimpetMs rest_ms)
{
  LimpetTarget *target = limpet_targets_find (exchange->targets, id_hash);

  if (target != NULL)
    limpet_dispatch_record_rest (exchange->dispatch, target, rest_ms);
  limpet_target_unref (target);
}

LimpetStatus
limpet_exchange_init (LimpetExchange *exchange,
                      const char *address,
                      int port,
                      LimpetError *error)
{
  struct sockaddr_in bind_address;
  int code = uv_ip4_addr (address, port, &bind_address);

  uv_tcp_init (exchange->loop, &exchange->listener);
  exchange->listener.data = exchange;
  exchange->is_listening = true;
  if (code == 0)
    code = uv_tcp_bind (&exchange->listener, (const struct sockaddr *)&bind_address, 0);
  if (code == 0)
    code = uv_listen ((uv_stream_t *)&exchange->listener, LISTEN_BACKLOG, on_connection);
  if (code != 0)
    return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "listen", NULL, "%s:%d: %s",
                             address, port, uv_strerror (code));
  if (exchange->relay_ops != NULL
      && limpet_tunnels_init (exchange, error) != LIMPET_STATUS_OK)
    return LIMPET_STATUS_INTERNAL;
  limpet_resumption_init (exchange);
  uv_idle_init (exchange->loop, &exchange->read_idle);
  uv_prepare_init (exchange->loop, &exchange->before_poll);
  exchange->before_poll.data = exchange;
  uv_prepare_start (&exchange->before_poll, on_before_poll);
  uv_timer_init (exchange->loop, &exchange->periodic_timer);
  exchange->periodic_timer.data = exchange;
  uv_timer_start (&exchange->periodic_timer, on_periodic_timer, PERIODIC_TIMER_MS,
                  PERIODIC_TIMER_MS);
  return LIMPET_STATUS_OK;
}

void
limpet_exchange_set_table (LimpetExchange *exchange, LimpetRouteTable *table)
{
  LimpetRouteTable *old = exchange->table;

  if (old != NULL && table->version <= old->version)
    return;
  exchange->table = limpet_route_table_ref (table);
  limpet_dispatch_set_table (exchange->dispatch, table);
  limpet_route_table_unref (old);
}

int64_t
limpet_exchange_table_version (const LimpetExchange *exchange)
{
  return exchange->table != NULL ? exchange->table->version : 0;
}

void
limpet_exchange_targets_changed (LimpetExchange *exchange)
{
  LimpetTargetView *view = limpet_targets_snapshot (exchange->targets);

  for (uint32_t i = 0; i < view->count; i++)
    if (atomic_load (&view->targets[i]->leaving))
      limpet_upstream_pool_clear (view->targets[i]);
  limpet_target_view_release (view);
  limpet_pending_crashes_check (exchange, limpet_clock_mono_ms ());
  limpet_dispatch_targets_changed (exchange->dispatch);
}

void
limpet_exchange_drain (LimpetExchange *exchange, LimpetMs abort_ms)
{
  exchange->is_draining = true;
  exchange->abort_ms = abort_ms;
}

void
limpet_exchange_close_idle (LimpetExchange *exchange)
{
  GList *next;

  if (exchange->is_listening)
    uv_close ((uv_handle_t *)&exchange->listener, NULL);
  exchange->is_listening = false;
  exchange->is_refusing = true;
  limpet_tunnels_stop (exchange);
  for (GList *link = exchange->callers.head; link != NULL; link = next)
    {
      next = link->next;
      limpet_caller_end (link->data);
    }
}

void
limpet_exchange_abort_all (LimpetExchange *exchange)
{
  while (exchange->tasks.length > 0)
    limpet_task_abort (g_queue_peek_head (&exchange->tasks), LIMPET_REFUSAL_STOPPING,
                       LIMPET_REFUSAL_NOT_READY);
  limpet_tunnels_close_all (exchange);
}

uint32_t
limpet_exchange_caller_connections (const LimpetExchange *exchange)
{
  return exchange->callers.length;
}

void
limpet_exchange_render_metrics (LimpetExchange *exchange, GString *out)
{
  LimpetTargetView *view = limpet_targets_snapshot (exchange->targets);

  g_string_append_printf (out, "limpetroad_tasks %u\n", exchange->tasks.length);
  g_string_append_printf (out, "limpetroad_held_bytes %zu\n",
                          limpet_byte_account_held (exchange->account));
  g_string_append_printf (out, "limpetroad_held_bytes_budget %zu\n",
                          limpet_byte_account_budget (exchange->account));
  limpet_connections_render_metrics (exchange, out);
  limpet_paths_render_metrics (exchange, out);
  limpet_dispatch_render_metrics (exchange->dispatch, out);
  g_string_append_printf (out, "limpetroad_tunnels %u\n", exchange->tunnels.length);
  for (int i = 0; i < LIMPET_ROUTE_KIND_COUNT; i++)
    {
      char labels[32];

      g_snprintf (labels, sizeof labels, "kind=\"%s\"", limpet_route_kind_string[i]);
      limpet_histogram_render (&exchange->times[i].waited, "limpetroad_call_waited_ms",
                               labels, out);
      limpet_histogram_render (&exchange->times[i].first, "limpetroad_call_first_ms",
                               labels, out);
      limpet_histogram_render (&exchange->times[i].total, "limpetroad_call_total_ms",
                               labels, out);
    }
  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];
      bool open = limpet_target_is_open (target, limpet_clock_mono_ms ());

      g_string_append_printf (
          out, "limpetroad_target_inflight{target=\"%s\",group=\"%s\"} %d\n",
          target->vm.id, target->vm.group, limpet_target_inflight (target));
      g_string_append_printf (out,
                              "limpetroad_target_open{target=\"%s\",group=\"%s\"} %d\n",
                              target->vm.id, target->vm.group, open);
      if (limpet_target_is_cold (target, limpet_clock_mono_ms ()))
        g_string_append_printf (
            out,
            "limpetroad_target_cold_left_ms{target=\"%s\",group=\"%s\"} %ld\n"
            "limpetroad_target_cold_own_per_s{target=\"%s\",group=\"%s\"} %.3f\n",
            target->vm.id, target->vm.group,
            (long)(atomic_load (&target->cold_until_ms) - limpet_clock_mono_ms ()),
            target->vm.id, target->vm.group, target->cold_own_per_s);
    }
  limpet_target_view_release (view);
}

void
limpet_exchange_delete (LimpetExchange *exchange)
{
  if (exchange == NULL)
    return;
  limpet_pending_crashes_clear (exchange);
  limpet_paths_clear (exchange);
  limpet_dispatch_delete (exchange->dispatch);
  limpet_call_durations_delete (exchange->durations);
  limpet_route_table_unref (exchange->table);
  g_free (exchange);
}
