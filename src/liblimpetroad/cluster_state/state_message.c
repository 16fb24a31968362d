#include "private/state_message.h"

#include "limpetroad/limits.h"
#include "private/big_endian.h"

#include <string.h>
#include <zlib.h>

/* The header: four bytes that tell the format, its version and the topic in a byte each,
 * the age in ms in four bytes and the length of the state in four. Numbers are
 * big-endian.
 */
#define MAGIC "LRST"
#define MAGIC_BYTES 4
#define HEADER_BYTES (MAGIC_BYTES + 1 + 1 + 4 + 4)
/* The fastest level; higher ones make configurations a tenth smaller. */
#define COMPRESSION_LEVEL 1

GBytes *
limpet_state_message_compress (const char *state, size_t length)
{
  uLongf size = compressBound (length);
  guint8 *compressed = g_malloc (4 + size);

  limpet_write_big_endian ((char *)compressed, length, 4);
  if (compress2 (compressed + 4, &size, (const Bytef *)state, length, COMPRESSION_LEVEL)
      != Z_OK)
    g_error ("no memory to compress a state"); /* as GLib does when it has none */
  return g_bytes_new_take (g_realloc (compressed, 4 + size), 4 + size);
}

void
limpet_state_message_write (const LimpetStateMessage *message, GString *out)
{
  char header[HEADER_BYTES - 4] = MAGIC;
  gsize length = 0;
  const char *compressed = g_bytes_get_data (message->compressed, &length);

  header[MAGIC_BYTES] = LIMPET_STATE_MESSAGE_VERSION;
  header[MAGIC_BYTES + 1] = (char)message->topic;
  limpet_write_big_endian (header + MAGIC_BYTES + 2,
                           (uint64_t)CLAMP (message->age_ms, 0, UINT32_MAX), 4);
  g_string_append_len (out, header, sizeof header);
  g_string_append_len (out, compressed, (gssize)length);
}

GBytes *
limpet_state_message_read (const char *data,
                           size_t length,
                           LimpetStateMessage *message,
                           const char **reason)
{
  uLongf size;
  guint8 *state;

  if (length < HEADER_BYTES || memcmp (data, MAGIC, MAGIC_BYTES) != 0)
    {
      *reason = "not a state";
      return NULL;
    }
  if (data[MAGIC_BYTES] != LIMPET_STATE_MESSAGE_VERSION)
    {
      *reason = "unknown version of the format";
      return NULL;
    }
  size = limpet_read_big_endian (data + HEADER_BYTES - 4, 4);
  if (size > LIMPET_MAX_STATE_BYTES)
    {
      *reason = "the state is too large";
      return NULL;
    }
  message->topic = (uint8_t)data[MAGIC_BYTES + 1];
  message->age_ms = (LimpetMs)limpet_read_big_endian (data + MAGIC_BYTES + 2, 4);
  state = g_malloc (MAX (1, size));
  if (uncompress (state, &size, (const Bytef *)data + HEADER_BYTES, length - HEADER_BYTES)
          != Z_OK
      || size != limpet_read_big_endian (data + HEADER_BYTES - 4, 4))
    {
      g_free (state);
      *reason = "the state is cut short or damaged";
      return NULL;
    }
  message->compressed
      = g_bytes_new (data + HEADER_BYTES - 4, length - (HEADER_BYTES - 4));
  return g_bytes_new_take (state, size);
}
