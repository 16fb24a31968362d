#include "limpetroad/logger.h"
#include "private/exchange.h"

#include <string.h>

#define EVENT_STREAM_TYPE "text/event-stream"

const char *
limpet_continuation_last_event_id (const LimpetTask *task)
{
  return task->last_event_id[0] != '\0' ? task->last_event_id : task->call.last_event_id;
}

static void
log_rejected (const LimpetTask *task, const char *cause)
{
  limpet_log (LIMPET_LOG_NOTICE, "resume", task->target->vm.id,
              "id=%s last_event=%s rejected=\"%s\" first_event=%s", task->call.id,
              limpet_continuation_last_event_id (task), cause, task->events.first_id);
}

/* A response without a type is judged by its events. */
static bool
is_event_stream_type (const LimpetHttpHead *head)
{
  const char *type = limpet_http_head_field (head, "Content-Type");
  size_t length = strlen (EVENT_STREAM_TYPE);

  if (type == NULL || g_ascii_strncasecmp (type, EVENT_STREAM_TYPE, length) != 0)
    return type == NULL;
  return type[length] == '\0' || strchr ("; \t", type[length]) != NULL;
}

bool
limpet_continuation_accepts_head (const LimpetTask *task, const LimpetHttpHead *head)
{
  if (!task->head_sent || head->status / 100 != 2
      || (task->is_streaming && is_event_stream_type (head)))
    return true;
  log_rejected (task, "the response is no event stream");
  return false;
}

bool
limpet_continuation_accepts_events (const LimpetTask *task)
{
  const char *last_event_id = limpet_continuation_last_event_id (task);

  if (last_event_id == NULL || !task->call.route->is_resumable
      || limpet_event_splitter_continues (&task->events, last_event_id, task->id_steps))
    return true;
  log_rejected (task, "the first event does not follow the last one");
  return false;
}

bool
limpet_continuation_accepts_end (const LimpetTask *task)
{
  if (!task->head_sent || task->last_event_id[0] == '\0' || task->events.has_event)
    return true;
  log_rejected (task, "the response has no event");
  return false;
}
