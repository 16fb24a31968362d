#include "private/state_message.h"

#include "limpetroad/limits.h"
#include "private/big_endian.h"

#include <string.h>
#include <zlib.h>

/* The header: four bytes that tell the format, its version and the topic in a byte each,
 * and the age in ms in four bytes. A compressed state follows: its length before
 * compression in four bytes, and the bytes. Numbers are big-endian. */
#define MAGIC "LRST"
#define MAGIC_BYTES 4
#define AGE_BYTES 4
#define AGE_OFFSET (MAGIC_BYTES + 1 + 1)
#define HEADER_BYTES (AGE_OFFSET + AGE_BYTES)
#define LENGTH_BYTES 4
/* The fastest level; higher ones make configurations a tenth smaller. */
#define COMPRESSION_LEVEL 1

GBytes *
limpet_state_message_compress (const char *state, size_t length)
{
  uLongf size = compressBound (length);
  guint8 *compressed = g_malloc (LENGTH_BYTES + size);

  limpet_write_big_endian ((char *)compressed, length, LENGTH_BYTES);
  if (compress2 (compressed + LENGTH_BYTES, &size, (const Bytef *)state, length,
                 COMPRESSION_LEVEL)
      != Z_OK)
    g_error ("no memory to compress a state"); /* as GLib does when it has none */
  size += LENGTH_BYTES;
  return g_bytes_new_take (g_realloc (compressed, size), size);
}

void
limpet_state_message_write (const LimpetStateMessage *message, GString *out)
{
  char header[HEADER_BYTES] = MAGIC;
  gsize length = 0;
  const char *compressed = g_bytes_get_data (message->compressed, &length);

  header[MAGIC_BYTES] = (char)message->version;
  header[MAGIC_BYTES + 1] = (char)message->topic;
  limpet_write_big_endian (header + AGE_OFFSET,
                           (uint64_t)CLAMP (message->age_ms, 0, UINT32_MAX), AGE_BYTES);
  g_string_append_len (out, header, sizeof header);
  g_string_append_len (out, compressed, (gssize)length);
}

GBytes *
limpet_state_message_read (const char *data,
                           size_t length,
                           LimpetStateMessage *message,
                           const char **reason)
{
  const char *compressed;
  uLongf expected_size;
  uLongf size;
  guint8 *state;

  if (length < HEADER_BYTES + LENGTH_BYTES || memcmp (data, MAGIC, MAGIC_BYTES) != 0)
    {
      *reason = "not a state";
      return NULL;
    }
  message->version = data[MAGIC_BYTES];
  if (message->version < LIMPET_STATE_MESSAGE_VERSION_WITHOUT_ERAS
      || message->version > LIMPET_STATE_MESSAGE_VERSION)
    {
      *reason = "unknown version of the format";
      return NULL;
    }
  compressed = data + HEADER_BYTES;
  expected_size = size = limpet_read_big_endian (compressed, LENGTH_BYTES);
  if (size > LIMPET_MAX_STATE_BYTES)
    {
      *reason = "the state is too large";
      return NULL;
    }
  message->topic = (uint8_t)data[MAGIC_BYTES + 1];
  message->age_ms = (LimpetMs)limpet_read_big_endian (data + AGE_OFFSET, AGE_BYTES);
  state = g_malloc (MAX (1, size));
  if (uncompress (state, &size, (const Bytef *)compressed + LENGTH_BYTES,
                  length - HEADER_BYTES - LENGTH_BYTES)
          != Z_OK
      || size != expected_size)
    {
      g_free (state);
      *reason = "the state is cut short or damaged";
      return NULL;
    }
  message->compressed = g_bytes_new (compressed, length - HEADER_BYTES);
  return g_bytes_new_take (state, size);
}
