#include "limpetroad/stream_origins.h"

#include <glib.h>
#include <string.h>
#include <xxhash.h>

/* Further origins displace the oldest ones. */
#define MAX_ORIGINS 32768
/* Number of digests, each to two routers, that carry an origin. */
#define DIGESTS_PER_ORIGIN 2

typedef struct
{
  LimpetStreamOrigin origin;
  LimpetMs at_ms;
  bool is_own;
  uint32_t digests_left; /* digests that are still to carry it */
} Entry;

struct LimpetStreamOrigins
{
  GHashTable *entries; /* address of Entry.origin.id → Entry */
  GQueue by_age;       /* of Entry, the oldest first */
  GQueue unshared; /* of ids with digests_left; those of forgotten entries may remain */
};

uint64_t
limpet_stream_id (const char *request_id)
{
  return XXH64 (request_id, strlen (request_id), 0);
}

LimpetStreamOrigins *
limpet_stream_origins_new (void)
{
  LimpetStreamOrigins *origins = g_new0 (LimpetStreamOrigins, 1);

  origins->entries = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  g_queue_init (&origins->by_age);
  g_queue_init (&origins->unshared);
  return origins;
}

void
limpet_stream_origins_delete (LimpetStreamOrigins *origins)
{
  if (origins == NULL)
    return;
  g_queue_clear (&origins->by_age);
  g_queue_clear_full (&origins->unshared, g_free);
  g_hash_table_destroy (origins->entries);
  g_free (origins);
}

static void
remove_oldest (LimpetStreamOrigins *origins)
{
  Entry *entry = g_queue_pop_head (&origins->by_age);

  g_hash_table_remove (origins->entries, &entry->origin.id);
}

/* Returns the entry of the stream, which is added if it is new. The version that began a
 * stream never changes. */
static Entry *
ensure_entry (LimpetStreamOrigins *origins,
              const LimpetStreamOrigin *origin,
              LimpetMs now_ms)
{
  Entry *entry = g_hash_table_lookup (origins->entries, &origin->id);

  if (entry != NULL)
    return entry;
  if (g_hash_table_size (origins->entries) >= MAX_ORIGINS)
    remove_oldest (origins);
  entry = g_new0 (Entry, 1);
  entry->origin = *origin;
  entry->at_ms = now_ms;
  g_hash_table_insert (origins->entries, &entry->origin.id, entry);
  g_queue_push_tail (&origins->by_age, entry);
  return entry;
}

static void
share (LimpetStreamOrigins *origins, Entry *entry)
{
  if (entry->digests_left == 0)
    g_queue_push_tail (&origins->unshared,
                       g_memdup2 (&entry->origin.id, sizeof entry->origin.id));
  entry->digests_left = DIGESTS_PER_ORIGIN;
}

void
limpet_stream_origins_add_own (LimpetStreamOrigins *origins,
                               const LimpetStreamOrigin *origin,
                               bool is_shared,
                               LimpetMs now_ms)
{
  Entry *entry = ensure_entry (origins, origin, now_ms);

  if (is_shared && !entry->is_own)
    share (origins, entry);
  entry->is_own = true;
}

void
limpet_stream_origins_receive (LimpetStreamOrigins *origins,
                               const LimpetStreamOrigin *origin,
                               LimpetMs now_ms)
{
  ensure_entry (origins, origin, now_ms);
}

uint32_t
limpet_stream_origins_find (const LimpetStreamOrigins *origins, uint64_t id)
{
  const Entry *entry = g_hash_table_lookup (origins->entries, &id);

  return entry != NULL ? entry->origin.software_hash : 0;
}

void
limpet_stream_origins_share (LimpetStreamOrigins *origins)
{
  for (GList *link = origins->by_age.head; link != NULL; link = link->next)
    if (((Entry *)link->data)->is_own)
      share (origins, link->data);
}

uint32_t
limpet_stream_origins_collect (LimpetStreamOrigins *origins,
                               LimpetStreamOrigin *list,
                               uint32_t max_count)
{
  uint32_t count = 0;

  for (guint left = origins->unshared.length; left > 0 && count < max_count; left--)
    {
      uint64_t *id = g_queue_pop_head (&origins->unshared);
      Entry *entry = g_hash_table_lookup (origins->entries, id);

      if (entry == NULL || entry->digests_left == 0)
        {
          g_free (id);
          continue;
        }
      list[count++] = entry->origin;
      if (--entry->digests_left > 0)
        g_queue_push_tail (&origins->unshared, id);
      else
        g_free (id);
    }
  return count;
}

void
limpet_stream_origins_expire (LimpetStreamOrigins *origins, LimpetMs now_ms)
{
  const Entry *oldest;

  while ((oldest = g_queue_peek_head (&origins->by_age)) != NULL
         && now_ms - oldest->at_ms > LIMPET_STREAM_VALIDITY_MS)
    remove_oldest (origins);
}

uint32_t
limpet_stream_origins_count (const LimpetStreamOrigins *origins)
{
  return g_hash_table_size (origins->entries);
}
