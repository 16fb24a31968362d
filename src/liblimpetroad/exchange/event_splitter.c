#include "private/event_splitter.h"

#include <string.h>

/* Returns the length of the first complete event in text, including its blank line; 0 if
 * none is complete. */
static size_t
event_length (const char *text, size_t length)
{
  for (size_t i = 0; i < length; i++)
    {
      if (text[i] != '\n')
        continue;
      if (i + 1 < length && text[i + 1] == '\n')
        return i + 2;
      if (i + 2 < length && text[i + 1] == '\r' && text[i + 2] == '\n')
        return i + 3;
    }
  return 0;
}

/* Sets last_id to the value of the event's id line, if it has one. */
static void
update_last_id (LimpetEventSplitter *splitter, const char *event, size_t length)
{
  const char *end = event + length;

  while (event < end)
    {
      const char *line_end = memchr (event, '\n', (size_t)(end - event));
      size_t line_length = (size_t)((line_end != NULL ? line_end : end) - event);

      if (line_length >= 3 && memcmp (event, "id:", 3) == 0)
        {
          char value[LIMPET_NAME_SIZE];

          g_strlcpy (value, event + 3, MIN (line_length - 3 + 1, sizeof value));
          g_strlcpy (splitter->last_id, g_strstrip (value), sizeof splitter->last_id);
        }
      if (line_end == NULL)
        return;
      event = line_end + 1;
    }
}

bool
limpet_event_splitter_exceeds_limit (const LimpetEventSplitter *splitter)
{
  return splitter->text != NULL && splitter->text->len > LIMPET_MAX_EVENT_BYTES;
}

uint32_t
limpet_event_splitter_feed (LimpetEventSplitter *splitter,
                            const char *data,
                            size_t length,
                            GString *out)
{
  uint32_t count = 0;
  size_t complete_length = 0;
  size_t next_length;

  if (splitter->text == NULL)
    splitter->text = g_string_new (NULL);
  g_string_append_len (splitter->text, data, (gssize)length);
  while ((next_length = event_length (splitter->text->str + complete_length,
                                      splitter->text->len - complete_length))
         > 0)
    {
      update_last_id (splitter, splitter->text->str + complete_length, next_length);
      complete_length += next_length;
      count++;
    }
  g_string_append_len (out, splitter->text->str, (gssize)complete_length);
  g_string_erase (splitter->text, 0, (gssize)complete_length);
  return count;
}

void
limpet_event_splitter_clear (LimpetEventSplitter *splitter)
{
  if (splitter->text != NULL)
    g_string_free (splitter->text, TRUE);
  *splitter = (LimpetEventSplitter){ .text = NULL };
}
