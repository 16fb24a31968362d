#include "private/event_splitter.h"

#include "private/text_buffer.h"

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

/* Copies the value of the event's id line to id; sets it to an empty string if there is
 * none. Returns false if the event consists of comments only. */
static bool
read_event (const char *event, size_t length, char id[LIMPET_NAME_SIZE])
{
  const char *end = event + length;
  bool has_field = false;

  id[0] = '\0';
  while (event < end)
    {
      const char *line_end = memchr (event, '\n', (size_t)(end - event));
      size_t line_length = (size_t)((line_end != NULL ? line_end : end) - event);

      has_field = has_field || (line_length > 1 && event[0] != ':');
      if (line_length >= 3 && memcmp (event, "id:", 3) == 0)
        {
          size_t id_length = MIN (line_length - 3, LIMPET_NAME_SIZE - 1);

          memcpy (id, event + 3, id_length);
          id[id_length] = '\0';
          g_strstrip (id);
        }
      if (line_end == NULL)
        break;
      event = line_end + 1;
    }
  return has_field;
}

static bool
parse_id (const char *id, uint64_t *number)
{
  return g_ascii_string_to_unsigned (id, 10, 0, UINT64_MAX, number, NULL);
}

static LimpetIdSteps
next_id_steps (LimpetIdSteps steps, const char *id, const char *next_id)
{
  uint64_t number;
  uint64_t next;
  bool is_one = parse_id (id, &number) && parse_id (next_id, &next) && next > number
                && next - number == 1;

  return is_one && steps != LIMPET_ID_STEPS_OTHER ? LIMPET_ID_STEPS_ONE
                                                  : LIMPET_ID_STEPS_OTHER;
}

static void
record_event (LimpetEventSplitter *splitter, const char *event, size_t length)
{
  char id[LIMPET_NAME_SIZE];

  if (!read_event (event, length, id))
    {
      splitter->comment_bytes += length;
      return;
    }
  splitter->comment_bytes = 0;
  if (!splitter->has_event)
    g_strlcpy (splitter->first_id, id, sizeof splitter->first_id);
  else
    splitter->id_steps = next_id_steps (splitter->id_steps, splitter->last_id, id);
  splitter->has_event = true;
  if (id[0] != '\0')
    g_strlcpy (splitter->last_id, id, sizeof splitter->last_id);
}

bool
limpet_event_splitter_continues (const LimpetEventSplitter *splitter,
                                 const char *last_id,
                                 LimpetIdSteps steps)
{
  uint64_t last;
  uint64_t first;

  if (!splitter->has_event)
    return true;
  if (!parse_id (last_id, &last))
    return splitter->first_id[0] != '\0' && strcmp (splitter->first_id, last_id) != 0;
  return parse_id (splitter->first_id, &first) && first > last
         && (steps != LIMPET_ID_STEPS_ONE || first - last == 1);
}

bool
limpet_event_splitter_exceeds_limit (const LimpetEventSplitter *splitter)
{
  return (splitter->text != NULL && splitter->text->len > LIMPET_MAX_EVENT_BYTES)
         || splitter->comment_bytes > LIMPET_MAX_COMMENT_BYTES;
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
      record_event (splitter, splitter->text->str + complete_length, next_length);
      complete_length += next_length;
      count++;
    }
  g_string_append_len (out, splitter->text->str, (gssize)complete_length);
  limpet_text_buffer_drop_front (&splitter->text, complete_length);
  return count;
}

void
limpet_event_splitter_clear (LimpetEventSplitter *splitter)
{
  if (splitter->text != NULL)
    g_string_free (splitter->text, TRUE);
  *splitter = (LimpetEventSplitter){ .text = NULL };
}
