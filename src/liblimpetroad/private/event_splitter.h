#ifndef LIMPETROAD_PRIVATE_EVENT_SPLITTER_H
#define LIMPETROAD_PRIVATE_EVENT_SPLITTER_H

#include "limpetroad/limits.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Cuts a stream of server-sent events into whole events, so that a stream that breaks off
 * in the middle of an event can go on at another target without a torn one.
 *
 * A zeroed splitter is ready: feed → take the whole events → … → rest → clear. */
typedef struct
{
  GString *text;                  /* bytes that are not whole events yet */
  char last_id[LIMPET_NAME_SIZE]; /* id of the last whole event */
} LimpetEventSplitter;

/* Adds bytes and appends the whole events among them to out; returns how many. */
uint32_t limpet_event_splitter_feed (LimpetEventSplitter *splitter,
                                     const char *data,
                                     size_t length,
                                     GString *out);
void limpet_event_splitter_clear (LimpetEventSplitter *splitter);

#endif
