#include "limpetroad/call.h"

const char *const limpet_refusal_string[LIMPET_REFUSAL_COUNT] = {
  [LIMPET_REFUSAL_BAD_REQUEST] = "bad_request",
  [LIMPET_REFUSAL_UNKNOWN_KEY] = "unknown_key",
  [LIMPET_REFUSAL_NO_ROUTE] = "no_route",
  [LIMPET_REFUSAL_TOO_SLOW] = "too_slow",
  [LIMPET_REFUSAL_BODY_SIZE] = "body_size",
  [LIMPET_REFUSAL_HEAD_SIZE] = "head_size",
  [LIMPET_REFUSAL_NO_MEMORY] = "no_memory",
  [LIMPET_REFUSAL_NOT_READY] = "not_ready",
  [LIMPET_REFUSAL_NO_TARGET] = "no_target",
  [LIMPET_REFUSAL_FULL] = "full",
  [LIMPET_REFUSAL_TARGET_FULL] = "target_full",
  [LIMPET_REFUSAL_QUARANTINED] = "quarantined",
  [LIMPET_REFUSAL_UNKNOWN_VERSION] = "unknown_version",
  [LIMPET_REFUSAL_VERSION_GONE] = "version_gone",
  [LIMPET_REFUSAL_BROKEN] = "broken",
  [LIMPET_REFUSAL_TIMEOUT] = "timeout",
  [LIMPET_REFUSAL_STOPPING] = "stopping",
};

bool
limpet_call_is_idempotent (const LimpetCall *call)
{
  return call->route->kind == LIMPET_ROUTE_KIND_SAFE
         || (call->route->kind == LIMPET_ROUTE_KIND_STREAM && call->route->is_resumable);
}

LimpetFingerprints
limpet_call_fingerprints (const LimpetCall *call)
{
  LimpetFingerprints fingerprints = { .request = call->fingerprint };
  uint32_t *count = &fingerprints.parts_count;

  for (; *count + 1 < call->prompt_parts_count; (*count)++)
    fingerprints.parts[*count] = call->prompt_parts[*count].id;
  return fingerprints;
}

int64_t
limpet_call_shared_tokens (const LimpetCall *call)
{
  int64_t tokens = 0;

  for (uint32_t i = 0; i + 1 < call->prompt_parts_count; i++)
    tokens += call->prompt_parts[i].tokens;
  return tokens;
}

int64_t
limpet_call_urgency (const LimpetCall *call)
{
  int64_t route = CLAMP (call->route->priority, 0, 9);
  int64_t first = route;

  if (call->team != NULL && call->team->priority >= 0)
    first = MIN (call->team->priority, 9);
  return 10 * first + route;
}

void
limpet_call_clear (LimpetCall *call)
{
  g_free (call->host);
  g_free (call->path);
  g_free (call->api_key);
  g_free (call->last_event_id);
  g_free (call->resumed_id);
  limpet_route_table_unref (call->table);
  *call = (LimpetCall){ .table = NULL };
}
