#include "limpetroad/logger.h"
#include "private/exchange.h"

/* Interval of the queries to other routers for the origin of a stream; one or two
 * datagrams may be lost. */
#define QUERY_INTERVAL_MS 30
/* The origin counts as unknown after this time. */
#define MAX_QUERY_MS 150
/* Longest wait of a new router for the marks of services with several versions. */
#define MAX_MARKS_WAIT_MS 500
/* Retry delay for the caller if the marks did not arrive in time. */
#define MARKS_UNKNOWN_RETRY_MS 500

static bool
is_view_current (const LimpetTask *task)
{
  LimpetExchange *exchange = task->exchange;

  return exchange->resumption_ops->is_view_current (exchange->resumption_user);
}

/* Returns whether several versions serve, or may serve without this router's knowledge.
 */
static bool
is_mixed (const LimpetTask *task)
{
  return limpet_software_mix_is_mixed (task->exchange->software_mix,
                                       task->call.service->name, limpet_clock_boot_ms ())
         || !is_view_current (task);
}

static uint64_t
stream_id (const LimpetCall *call)
{
  return limpet_stream_id (call->resumed_id != NULL ? call->resumed_id : call->id);
}

/* Binds the task to the version that began its stream, and submits it. Returns false if
 * the version is unknown. */
static bool
try_submit (LimpetTask *task)
{
  uint32_t software_hash = limpet_stream_origins_find (task->exchange->stream_origins,
                                                       stream_id (&task->call));

  if (software_hash == 0)
    return false;
  limpet_resumption_cancel (task);
  task->dispatch_request.software_hash = software_hash;
  limpet_task_submit (task);
  return true;
}

static void
refuse (LimpetTask *task, bool are_marks_known)
{
  limpet_log (
      LIMPET_LOG_NOTICE, "resume", NULL,
      "id=%s resumed_id=%s refused=unknown_version marks_known=%d view_current=%d",
      task->call.id, task->call.resumed_id != NULL ? task->call.resumed_id : "-",
      are_marks_known, is_view_current (task));
  limpet_resumption_cancel (task);
  limpet_task_write_failure (task, LIMPET_REFUSAL_UNKNOWN_VERSION,
                             are_marks_known ? 0 : MARKS_UNKNOWN_RETRY_MS);
}

/* Submits the task if the version that began its stream is known or does not matter, or
 * refuses it if it will not become known. Returns false if it has to wait. */
static bool
try_decide (LimpetTask *task, LimpetMs waited_ms)
{
  bool are_marks_known = limpet_software_mix_need_marks (task->exchange->software_mix);

  if (try_submit (task))
    return true;
  if (!is_mixed (task))
    {
      limpet_resumption_cancel (task);
      limpet_task_submit (task);
      return true;
    }
  if ((are_marks_known && waited_ms >= MAX_QUERY_MS) || waited_ms >= MAX_MARKS_WAIT_MS
      || (are_marks_known && task->call.resumed_id == NULL && is_view_current (task)))
    {
      refuse (task, are_marks_known);
      return true;
    }
  return false;
}

static void
send_queries (LimpetExchange *exchange, LimpetMs now_ms)
{
  GArray *ids = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (GList *link = exchange->awaiting_origin.head; link != NULL; link = link->next)
    {
      LimpetTask *task = link->data;
      uint64_t id = stream_id (&task->call);

      if (task->call.resumed_id == NULL || now_ms - task->query_ms < QUERY_INTERVAL_MS)
        continue;
      task->query_ms = now_ms;
      g_array_append_val (ids, id);
    }
  if (ids->len > 0)
    exchange->resumption_ops->query (exchange->resumption_user,
                                     (uint64_t *)(void *)ids->data, ids->len);
  g_array_free (ids, TRUE);
}

void
limpet_resumption_check (LimpetExchange *exchange, LimpetMs now_ms)
{
  GList *next;

  for (GList *link = exchange->awaiting_origin.head; link != NULL; link = next)
    {
      LimpetTask *task = link->data;

      next = link->next;
      try_decide (task, now_ms - task->await_start_ms);
    }
  if (exchange->awaiting_origin.length > 0)
    send_queries (exchange, now_ms);
  else
    uv_timer_stop (&exchange->origin_timer);
}

static void
on_origin_timer (uv_timer_t *timer)
{
  limpet_resumption_check (timer->data, limpet_clock_mono_ms ());
}

void
limpet_resumption_start (LimpetTask *task)
{
  LimpetExchange *exchange = task->exchange;

  if (exchange->stream_origins == NULL || task->call.last_event_id == NULL
      || task->call.route->kind != LIMPET_ROUTE_KIND_STREAM)
    {
      limpet_task_submit (task);
      return;
    }
  if (try_decide (task, 0))
    return;
  if (!is_view_current (task))
    exchange->resumption_ops->refresh_view (exchange->resumption_user);
  task->await_start_ms = limpet_clock_mono_ms ();
  task->query_ms = 0;
  task->origin_link.data = task;
  task->awaits_origin = true;
  g_queue_push_tail_link (&exchange->awaiting_origin, &task->origin_link);
  /* Resumptions often come together; a delay of 1 ms lets them share a datagram. */
  if (!uv_is_active ((uv_handle_t *)&exchange->origin_timer))
    uv_timer_start (&exchange->origin_timer, on_origin_timer, 1, QUERY_INTERVAL_MS / 3);
}

void
limpet_resumption_cancel (LimpetTask *task)
{
  if (!task->awaits_origin)
    return;
  task->awaits_origin = false;
  g_queue_unlink (&task->exchange->awaiting_origin, &task->origin_link);
}

void
limpet_resumption_record (LimpetTask *task)
{
  LimpetStreamOrigins *origins = task->exchange->stream_origins;
  LimpetStreamOrigin origin = { .software_hash = task->dispatch_request.software_hash };

  if (origins == NULL || origin.software_hash == 0 || !task->call.route->is_resumable)
    return;
  origin.id = stream_id (&task->call);
  limpet_stream_origins_add_own (origins, &origin, is_mixed (task),
                                 limpet_clock_boot_ms ());
}

void
limpet_resumption_tick (LimpetExchange *exchange)
{
  if (exchange->stream_origins == NULL)
    return;
  for (GList *link = exchange->tasks.head; link != NULL; link = link->next)
    {
      LimpetTask *task = link->data;

      if (task->dispatch_request.software_hash == 0 || task->is_origin_shared
          || !is_mixed (task))
        continue;
      task->is_origin_shared = true;
      limpet_resumption_record (task);
    }
}

void
limpet_resumption_init (LimpetExchange *exchange)
{
  uv_timer_init (exchange->loop, &exchange->origin_timer);
  exchange->origin_timer.data = exchange;
}
