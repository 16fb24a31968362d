#include "private/exchange.h"

#include <string.h>
#include <xxhash.h>

/* Retry delay if the router has no configuration yet or the route has no service. */
#define NOT_READY_RETRY_MS 500

/* One step of checking a request and completing its call. Returns false and sets refusal
 * if the request is refused. */
typedef bool (*CallFilter) (LimpetTask *task, LimpetRefusal *refusal);

static bool
refuse (LimpetRefusal *refusal, LimpetRefusalReason reason, LimpetMs retry_after_ms)
{
  *refusal = (LimpetRefusal){ .reason = reason, .retry_after_ms = retry_after_ms };
  return false;
}

static bool
check_stopping (LimpetTask *task, LimpetRefusal *refusal)
{
  if (task->exchange->is_refusing)
    return refuse (refusal, LIMPET_REFUSAL_NOT_READY, LIMPET_STOPPING_RETRY_MS);
  return true;
}

/* Takes a reference to the current version of the configuration, so that later versions
 * do not affect the call. */
static bool
acquire_table (LimpetTask *task, LimpetRefusal *refusal)
{
  if (task->exchange->table == NULL)
    return refuse (refusal, LIMPET_REFUSAL_NOT_READY, NOT_READY_RETRY_MS);
  task->call.table = limpet_route_table_ref (task->exchange->table);
  return true;
}

static bool
read_call (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCallerCodec *caller_codec = task->exchange->caller_codec;
  LimpetError error;

  if (caller_codec->ops->read_call (caller_codec, task->head, &task->call, &error)
      != LIMPET_STATUS_OK)
    return refuse (refusal, LIMPET_REFUSAL_BAD_REQUEST, 0);
  return true;
}

static bool
find_route (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCall *call = &task->call;

  call->route = limpet_route_table_find_route (call->table, call->host, call->path);
  if (call->route == NULL)
    return refuse (refusal, LIMPET_REFUSAL_NO_ROUTE, 0);
  return true;
}

static bool
authenticate (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCall *call = &task->call;

  if (call->api_key != NULL)
    call->team = limpet_route_table_find_team (call->table, call->api_key);
  if (call->team == NULL && call->table->needs_keys && !call->route->is_public)
    return refuse (refusal, LIMPET_REFUSAL_UNKNOWN_KEY, 0);
  return true;
}

/* The final response is due at the caller's deadline or the time-out of the route,
 * whichever comes first. */
static bool
set_times (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCall *call = &task->call;
  LimpetMs timeout_ms = call->route->timeout_ms;

  (void)refusal;
  call->deadline_ms = call->arrived_ms
                      + (call->caller_timeout_ms > 0
                             ? MIN (call->caller_timeout_ms, LIMPET_MAX_DEADLINE_MS)
                             : timeout_ms);
  call->response_due_ms = MIN (call->deadline_ms, call->arrived_ms + timeout_ms);
  return true;
}

/* Picks the service and sets the context. Calls with the same shared prompt prefix get
 * the same context. The last part belongs to this call alone, so the context is the id of
 * the part before it. If there is only one part, its id is the context, so that calls
 * with the same prompt get the same context. */
static bool
set_context (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCall *call = &task->call;

  (void)refusal;
  call->seed = XXH64 (call->id, strlen (call->id), 0);
  call->service = limpet_route_pick_service (call->route, call->seed);
  if (call->prompt_parts_count >= 2)
    call->context = call->prompt_parts[call->prompt_parts_count - 2].id;
  else if (call->prompt_parts_count == 1)
    call->context = call->prompt_parts[0].id;
  if (call->service == NULL)
    return refuse (refusal, LIMPET_REFUSAL_NO_TARGET, NOT_READY_RETRY_MS);
  return true;
}

static bool
check_remaining_time (LimpetTask *task, LimpetRefusal *refusal)
{
  if (!limpet_task_can_end (task))
    return refuse (refusal, LIMPET_REFUSAL_NOT_READY, LIMPET_STOPPING_RETRY_MS);
  return true;
}

static void
update_hash (XXH64_state_t *state, const void *data, size_t length)
{
  uint64_t size = length;

  XXH64_update (state, &size, sizeof size);
  XXH64_update (state, data, length);
}

/* Hashes the team instead of its key, because a team may use several keys. */
static bool
set_fingerprint (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetCall *call = &task->call;
  const char *team = call->team != NULL ? call->team->name : "";
  XXH64_state_t *state = XXH64_createState ();

  (void)refusal;
  XXH64_reset (state, 0);
  update_hash (state, task->head->method, strlen (task->head->method));
  update_hash (state, call->host, strlen (call->host));
  update_hash (state, call->path, strlen (call->path));
  update_hash (state, team, strlen (team));
  for (uint32_t i = 0; i < call->prompt_parts_count; i++)
    update_hash (state, &call->prompt_parts[i].id, sizeof call->prompt_parts[i].id);
  update_hash (state, task->body->data, task->body->len);
  call->fingerprint = XXH64_digest (state);
  XXH64_freeState (state);
  return true;
}

static bool
check_quarantine (LimpetTask *task, LimpetRefusal *refusal)
{
  LimpetMs remaining_ms;

  if (!limpet_task_is_admitted (task, &remaining_ms))
    return refuse (refusal, LIMPET_REFUSAL_QUARANTINED, remaining_ms);
  return true;
}

static bool
check_pending_crashes (LimpetTask *task, LimpetRefusal *refusal)
{
  if (limpet_pending_crashes_hold (task))
    return refuse (refusal, LIMPET_REFUSAL_NO_TARGET, LIMPET_NO_TARGET_RETRY_MS);
  return true;
}

static const CallFilter filters[]
    = { check_stopping,       acquire_table,        read_call,
        find_route,           authenticate,         set_times,
        check_remaining_time, set_context,          set_fingerprint,
        check_quarantine,     check_pending_crashes };

bool
limpet_call_run_filters (LimpetTask *task, LimpetRefusal *refusal)
{
  for (size_t i = 0; i < G_N_ELEMENTS (filters); i++)
    if (!filters[i](task, refusal))
      return false;
  return true;
}
