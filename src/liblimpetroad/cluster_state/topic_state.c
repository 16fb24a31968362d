#include "limpetroad/topic_state.h"

#include "private/big_endian.h"

#include <string.h>

/* A written state: the end of the topic and the number of records, then for each record
 * its offset, the lengths of key and value, and the key and the value. Numbers are
 * big-endian. */
#define HEADER_BYTES (8 + 4)
#define RECORD_HEADER_BYTES (8 + 1 + 4)
#define MAX_KEY_BYTES 255

typedef struct
{
  char *value;
  size_t length;
  int64_t offset;
  bool is_listed; /* was put since limpet_topic_state_begin_list() */
} Entry;

struct LimpetTopicState
{
  GHashTable *entries; /* key → Entry */
};

/* A record of a written state. */
typedef struct
{
  int64_t offset;
  const char *key; /* not terminated */
  size_t key_length;
  const char *value;
  size_t length;
} Record;

static void
free_entry (gpointer data)
{
  Entry *entry = data;

  g_free (entry->value);
  g_free (entry);
}

LimpetTopicState *
limpet_topic_state_new (void)
{
  LimpetTopicState *state = g_new0 (LimpetTopicState, 1);

  state->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_entry);
  return state;
}

void
limpet_topic_state_delete (LimpetTopicState *state)
{
  if (state == NULL)
    return;
  g_hash_table_destroy (state->entries);
  g_free (state);
}

bool
limpet_topic_state_put (LimpetTopicState *state,
                        const char *key,
                        const char *value,
                        size_t length,
                        int64_t offset)
{
  Entry *entry = g_hash_table_lookup (state->entries, key);

  if (entry != NULL && offset < entry->offset)
    {
      entry->is_listed = true;
      return false;
    }
  if (value == NULL)
    {
      g_hash_table_remove (state->entries, key);
      return true;
    }
  entry = g_new (Entry, 1);
  *entry = (Entry){ .value = g_memdup2 (value, length),
                    .length = length,
                    .offset = offset,
                    .is_listed = true };
  g_hash_table_replace (state->entries, g_strdup (key), entry);
  return true;
}

void
limpet_topic_state_begin_list (LimpetTopicState *state)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, state->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    ((Entry *)entry)->is_listed = false;
}

void
limpet_topic_state_end_list (LimpetTopicState *state, int64_t end)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, state->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    if (!((Entry *)entry)->is_listed && ((Entry *)entry)->offset < end)
      g_hash_table_iter_remove (&iter);
}

bool
limpet_topic_state_contradicts (const LimpetTopicState *state,
                                int64_t offset,
                                const char *key,
                                size_t key_length,
                                const char *value,
                                size_t length)
{
  GHashTableIter iter;
  gpointer known_key;
  gpointer value_pointer;

  g_hash_table_iter_init (&iter, state->entries);
  while (g_hash_table_iter_next (&iter, &known_key, &value_pointer))
    {
      const Entry *entry = value_pointer;

      if (entry->offset == offset)
        return strlen (known_key) != key_length
               || memcmp (known_key, key, key_length) != 0 || entry->length != length
               || memcmp (entry->value, value, length) != 0;
    }
  return false;
}

bool
limpet_topic_state_has (const LimpetTopicState *state, const char *key)
{
  return g_hash_table_contains (state->entries, key);
}

uint32_t
limpet_topic_state_count (const LimpetTopicState *state)
{
  return g_hash_table_size (state->entries);
}

static void
append_number (GString *out, uint64_t number, size_t bytes)
{
  char written[8];

  limpet_write_big_endian (written, number, bytes);
  g_string_append_len (out, written, (gssize)bytes);
}

void
limpet_topic_state_write (const LimpetTopicState *state, int64_t end, GString *out)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  append_number (out, (uint64_t)end, 8);
  append_number (out, limpet_topic_state_count (state), 4);
  g_hash_table_iter_init (&iter, state->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Entry *entry = value;
      size_t key_length = MIN (strlen (key), MAX_KEY_BYTES);

      append_number (out, (uint64_t)entry->offset, 8);
      append_number (out, key_length, 1);
      append_number (out, entry->length, 4);
      g_string_append_len (out, key, (gssize)key_length);
      g_string_append_len (out, entry->value, (gssize)entry->length);
    }
}

/* Reads the record at *position and moves *position behind it. Returns false if it does
 * not fit into length. */
static bool
next_record (const char *data, size_t length, size_t *position, Record *record)
{
  const char *head = data + *position;

  if (length - *position < RECORD_HEADER_BYTES)
    return false;
  record->offset = (int64_t)limpet_read_big_endian (head, 8);
  record->key_length = limpet_read_big_endian (head + 8, 1);
  record->length = limpet_read_big_endian (head + 9, 4);
  *position += RECORD_HEADER_BYTES;
  if (length - *position < record->key_length + record->length)
    return false;
  record->key = data + *position;
  record->value = record->key + record->key_length;
  *position += record->key_length + record->length;
  return true;
}

bool
limpet_topic_state_check (const char *data, size_t length, int64_t *end)
{
  size_t position = HEADER_BYTES;
  Record record;
  uint64_t count;

  if (length < HEADER_BYTES)
    return false;
  *end = (int64_t)limpet_read_big_endian (data, 8);
  count = limpet_read_big_endian (data + 8, 4);
  for (uint64_t i = 0; i < count; i++)
    if (!next_record (data, length, &position, &record) || record.offset < 0
        || memchr (record.key, '\0', record.key_length) != NULL)
      return false;
  return *end >= 0 && position == length;
}

void
limpet_topic_state_merge (LimpetTopicState *state, const char *data, size_t length)
{
  size_t position = HEADER_BYTES;
  Record record;
  char key[MAX_KEY_BYTES + 1];

  limpet_topic_state_begin_list (state);
  while (next_record (data, length, &position, &record))
    {
      memcpy (key, record.key, record.key_length);
      key[record.key_length] = '\0';
      limpet_topic_state_put (state, key, record.value, record.length, record.offset);
    }
  limpet_topic_state_end_list (state, (int64_t)limpet_read_big_endian (data, 8));
}

void
limpet_topic_state_for_each (const LimpetTopicState *state,
                             LimpetTopicStateHandler handler,
                             void *user)
{
  GHashTableIter iter;
  gpointer key;
  gpointer value;

  g_hash_table_iter_init (&iter, state->entries);
  while (g_hash_table_iter_next (&iter, &key, &value))
    {
      const Entry *entry = value;

      handler (user, key, entry->value, entry->length, entry->offset);
    }
}
