#ifndef LIMPETROAD_PRIVATE_STATE_MESSAGE_H
#define LIMPETROAD_PRIVATE_STATE_MESSAGE_H

#include "limpetroad/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* What one router sends another that lacks records of a topic: the state of the topic
 * (see limpetroad/topic_state.h), compressed, with the time since the sender knew it to
 * be the newest. The header has the version of this format, and receivers refuse later
 * versions. In version 1 the offsets have no era (see limpetroad/log_era.h): it is that
 * of a log without eras.
 */
#define LIMPET_STATE_MESSAGE_VERSION 2
#define LIMPET_STATE_MESSAGE_VERSION_WITHOUT_ERAS 1

typedef struct
{
  int version;
  uint32_t topic;
  LimpetMs age_ms;    /* since the newest known read of the topic */
  GBytes *compressed; /* see limpet_state_message_compress() */
} LimpetStateMessage;

/* Compresses a written state. The result can be sent on without being compressed again.
 */
GBytes *limpet_state_message_compress (const char *state, size_t length);
/* Appends the message to out. */
void limpet_state_message_write (const LimpetStateMessage *message, GString *out);
/* Reads a message and returns the written state in it, or NULL with a reason if it is
 * malformed or too large. On success the caller frees the state and
 * message->compressed. */
GBytes *limpet_state_message_read (const char *data,
                                   size_t length,
                                   LimpetStateMessage *message,
                                   const char **reason);

#endif
