#ifndef LIMPETROAD_PRIVATE_EVENT_SPLITTER_H
#define LIMPETROAD_PRIVATE_EVENT_SPLITTER_H

#include "limpetroad/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* How the numeric ids of successive events differ. */
typedef enum
{
  LIMPET_ID_STEPS_UNKNOWN, /* fewer than two events */
  LIMPET_ID_STEPS_ONE,     /* each is the one before plus one */
  LIMPET_ID_STEPS_OTHER,
} LimpetIdSteps;

/* Splits a stream of server-sent events into complete events. Only complete events are
 * forwarded, so that a stream that breaks inside an event can resume at another target
 * without a truncated event.
 *
 * A zeroed splitter is ready for use: feed → … → clear. */
typedef struct
{
  GString *text;        /* bytes of the incomplete event */
  size_t comment_bytes; /* of the comments since the last event */
  /* Id of the last complete event that had one; empty if none. */
  char last_id[LIMPET_NAME_SIZE];
  /* Id of the first complete event; empty if it has none, or before it. */
  char first_id[LIMPET_NAME_SIZE];
  bool has_event; /* a complete event arrived; comments do not count */
  LimpetIdSteps id_steps;
} LimpetEventSplitter;

/* Adds bytes, appends the events that are now complete to out and returns the number of
 * these events. */
uint32_t limpet_event_splitter_feed (LimpetEventSplitter *splitter,
                                     const char *data,
                                     size_t length,
                                     GString *out);
/* Returns whether the stream continues one whose last event had last_id, and whose ids
 * differed by steps. A stream without a complete event so far may do so. */
bool limpet_event_splitter_continues (const LimpetEventSplitter *splitter,
                                      const char *last_id,
                                      LimpetIdSteps steps);
/* Returns whether the incomplete event is longer than LIMPET_MAX_EVENT_BYTES, or more
 * than LIMPET_MAX_COMMENT_BYTES have come without an event. */
bool limpet_event_splitter_exceeds_limit (const LimpetEventSplitter *splitter);
void limpet_event_splitter_clear (LimpetEventSplitter *splitter);

#endif
