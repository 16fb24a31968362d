#ifndef LIMPETROAD_PRIVATE_SSE_H
#define LIMPETROAD_PRIVATE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Server-sent events of an engine's stream (WHATWG HTML, section 9.2), as far as engines
 * use them: the fields "id" and "data" and comments. */

typedef struct
{
  const char *raw; /* the event with its closing blank line */
  size_t raw_length;
  const char *data; /* NULL for a comment */
  size_t data_length;
  int64_t id; /* -1 if it has none */
} LimpetSseEvent;

/* Returns false to stop parsing. */
typedef bool (*LimpetSseHandler) (void *user, const LimpetSseEvent *event);

typedef struct LimpetSse LimpetSse;

LimpetSse *limpet_sse_new (LimpetSseHandler handler, void *user);
void limpet_sse_delete (LimpetSse *sse);

/* Returns false if the handler stopped or an event is longer than LIMPET_MAX_EVENT_BYTES.
 */
bool limpet_sse_feed (LimpetSse *sse, const char *data, size_t length);

#endif
