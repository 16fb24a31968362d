#ifndef LIMPETROAD_PRIVATE_SSE_H
#define LIMPETROAD_PRIVATE_SSE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Parser for the server-sent events of engines (WHATWG HTML, section 9.2). Supports the
 * subset that engines use: the fields "id" and "data", and comments. Lines end with LF;
 * of several "data" lines in an event only the last is kept. */

typedef struct
{
  const char *raw; /* the event including the blank line that ends it */
  size_t raw_length;
  const char *data; /* NULL if the event has no data, e.g. a comment */
  size_t data_length;
  int64_t id; /* -1 if missing or not a number */
} LimpetSseEvent;

/* Called with each event, whose pointers are valid only during the call. Returns false to
 * stop parsing. */
typedef bool (*LimpetSseHandler) (void *user, const LimpetSseEvent *event);

typedef struct LimpetSseParser LimpetSseParser;

LimpetSseParser *limpet_sse_parser_new (LimpetSseHandler handler, void *user);
void limpet_sse_parser_delete (LimpetSseParser *sse);

/* Parses a piece of the stream and calls the handler for each complete event. Returns
 * false if the handler did, if an incomplete event is longer than LIMPET_MAX_EVENT_BYTES,
 * or if more than LIMPET_MAX_COMMENT_BYTES have come without data. */
bool limpet_sse_parser_feed (LimpetSseParser *sse, const char *data, size_t length);

/* Returns the size of the incomplete event at the end of the received data. */
size_t limpet_sse_parser_pending (const LimpetSseParser *sse);

#endif
