#include "private/sse.h"

#include "limpetroad/limits.h"
#include "private/text_buffer.h"

#include <glib.h>
#include <string.h>

struct LimpetSseParser
{
  LimpetSseHandler handler;
  void *user;
  GString *pending;     /* the incomplete event at the end of the received data */
  size_t comment_bytes; /* since the last event with data */
};

LimpetSseParser *
limpet_sse_parser_new (LimpetSseHandler handler, void *user)
{
  LimpetSseParser *sse = g_new0 (LimpetSseParser, 1);

  sse->handler = handler;
  sse->user = user;
  sse->pending = g_string_new (NULL);
  return sse;
}

void
limpet_sse_parser_delete (LimpetSseParser *sse)
{
  if (sse == NULL)
    return;
  g_string_free (sse->pending, TRUE);
  g_free (sse);
}

/* Returns the id, or -1 if it is not a number of 1 to 15 digits. */
static int64_t
parse_id (const char *text, size_t length)
{
  int64_t value = 0;

  if (length == 0 || length > 15)
    return -1;
  for (size_t i = 0; i < length; i++)
    {
      if (text[i] < '0' || text[i] > '9')
        return -1;
      value = value * 10 + (text[i] - '0');
    }
  return value;
}

static void
parse_line (LimpetSseEvent *event, const char *line, size_t length)
{
  const char *value = memchr (line, ':', length);
  size_t name_length;
  size_t value_length;

  if (value == NULL)
    return;
  name_length = (size_t)(value - line);
  value++;
  value_length = length - name_length - 1;
  if (value_length > 0 && value[0] == ' ')
    {
      value++;
      value_length--;
    }
  if (name_length == 2 && memcmp (line, "id", 2) == 0)
    event->id = parse_id (value, value_length);
  else if (name_length == 4 && memcmp (line, "data", 4) == 0)
    {
      event->data = value;
      event->data_length = value_length;
    }
}

static bool
handle_event (LimpetSseParser *sse, const char *raw, size_t length)
{
  LimpetSseEvent event = { .raw = raw, .raw_length = length, .id = -1 };
  const char *end = raw + length;

  while (raw < end)
    {
      const char *newline = memchr (raw, '\n', (size_t)(end - raw));

      if (newline == NULL)
        break;
      parse_line (&event, raw, (size_t)(newline - raw));
      raw = newline + 1;
    }
  sse->comment_bytes = event.data != NULL ? 0 : sse->comment_bytes + event.raw_length;
  return sse->comment_bytes <= LIMPET_MAX_COMMENT_BYTES
         && sse->handler (sse->user, &event);
}

/* Handles the complete events in data. Returns the number of bytes consumed, or -1 if the
 * handler stopped. */
static gssize
handle_events (LimpetSseParser *sse, const char *data, size_t length)
{
  size_t used = 0;

  while (used < length)
    {
      const char *end = memmem (data + used, length - used, "\n\n", 2);
      size_t event_length;

      if (end == NULL)
        break;
      event_length = (size_t)(end + 2 - (data + used));
      if (!handle_event (sse, data + used, event_length))
        return -1;
      used += event_length;
    }
  return (gssize)used;
}

bool
limpet_sse_parser_feed (LimpetSseParser *sse, const char *data, size_t length)
{
  gssize used;

  if (sse->pending->len == 0)
    {
      used = handle_events (sse, data, length);
      if (used < 0)
        return false;
      g_string_append_len (sse->pending, data + used, (gssize)length - used);
      return sse->pending->len <= LIMPET_MAX_EVENT_BYTES;
    }
  g_string_append_len (sse->pending, data, (gssize)length);
  used = handle_events (sse, sse->pending->str, sse->pending->len);
  if (used < 0)
    return false;
  limpet_text_buffer_drop_front (&sse->pending, (gsize)used);
  return sse->pending->len <= LIMPET_MAX_EVENT_BYTES;
}

size_t
limpet_sse_parser_pending (const LimpetSseParser *sse)
{
  return sse->pending->len;
}
