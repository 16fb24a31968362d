#include "private/text_buffer.h"

#define MAX_SPARE_BYTES 4096

void
limpet_text_buffer_drop_front (GString **text, gsize length)
{
  GString *old = *text;
  gsize rest = old->len - length;

  if (length == 0)
    return;
  if (old->allocated_len - rest <= MAX (rest, MAX_SPARE_BYTES))
    {
      g_string_erase (old, 0, (gssize)length);
      return;
    }
  *text = g_string_new_len (old->str + length, (gssize)rest);
  g_string_free (old, TRUE);
}
