#include "private/gossip_loads.h"

#include <glib.h>
#include <stdlib.h>
#include <string.h>

/* Older loads are not forwarded. They are stored for twice this time, so that a delayed
 * copy is recognised as a duplicate. */
#define MAX_LOAD_AGE_MS 1500
/* Unit of the ages in messages. */
#define AGE_UNIT_MS 10
/* Most reports of a target whose tags are known. */
#define RECENT_TAGS 16
/* Part of the loads in a message that are the newest; the rest are the highest ones. Busy
 * targets complete requests, and so report, less often than idle ones, and a selection by
 * age alone would leave them out. */
#define NEWEST_RATIO 0.5

/* A random number of a report, to recognise duplicates. */
typedef struct
{
  uint32_t stored_ms; /* lower bits of the boot clock */
  uint8_t value;
} Tag;

typedef struct
{
  LimpetGossipLoad load;
  Tag tags[RECENT_TAGS]; /* of the last reports, the newest first */
  uint32_t tag_count;
} Entry;

struct LimpetGossipLoads
{
  GHashTable *entries; /* target hash → Entry */
};

LimpetGossipLoads *
limpet_gossip_loads_new (void)
{
  LimpetGossipLoads *loads = g_new0 (LimpetGossipLoads, 1);

  loads->entries = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return loads;
}

void
limpet_gossip_loads_delete (LimpetGossipLoads *loads)
{
  g_hash_table_destroy (loads->entries);
  g_free (loads);
}

static Entry *
find_entry (const LimpetGossipLoads *loads, uint32_t target_hash)
{
  return g_hash_table_lookup (loads->entries, GUINT_TO_POINTER (target_hash));
}

static void
store_report (LimpetGossipLoads *loads,
              const LimpetGossipLoad *load,
              uint8_t tag,
              LimpetMs now_ms)
{
  Entry *entry = find_entry (loads, load->target_hash);

  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      g_hash_table_insert (loads->entries, GUINT_TO_POINTER (load->target_hash), entry);
    }
  entry->load = *load;
  memmove (entry->tags + 1, entry->tags, (RECENT_TAGS - 1) * sizeof (Tag));
  entry->tags[0] = (Tag){ .stored_ms = (uint32_t)now_ms, .value = tag };
  entry->tag_count = MIN (entry->tag_count + 1, RECENT_TAGS);
}

/* Returns whether the report is known. A copy of it that took long looks newer than it
 * is, also newer than a later report. */
static bool
is_duplicate (const Entry *known, uint8_t tag, LimpetMs now_ms)
{
  for (uint32_t i = 0; i < known->tag_count; i++)
    {
      if ((uint32_t)now_ms - known->tags[i].stored_ms > 2 * MAX_LOAD_AGE_MS)
        return false;
      if (known->tags[i].value == tag)
        return true;
    }
  return false;
}

void
limpet_gossip_loads_record_own (LimpetGossipLoads *loads,
                                const LimpetGossipLoad *load,
                                uint8_t tag)
{
  store_report (loads, load, tag, load->at_ms);
}

bool
limpet_gossip_loads_receive (LimpetGossipLoads *loads,
                             uint32_t target_hash,
                             const uint8_t bytes[LIMPET_GOSSIP_LOAD_BYTES],
                             LimpetMs now_ms,
                             LimpetGossipLoad *load)
{
  LimpetMs age_ms = bytes[1] * AGE_UNIT_MS;
  uint8_t tag = bytes[2];
  const Entry *known = find_entry (loads, target_hash);

  *load = (LimpetGossipLoad){
    .target_hash = target_hash,
    .inflight = bytes[0],
    .at_ms = now_ms - age_ms - LIMPET_GOSSIP_HOP_MS,
  };
  if (age_ms > MAX_LOAD_AGE_MS
      || (known != NULL
          && (is_duplicate (known, tag, now_ms) || load->at_ms <= known->load.at_ms)))
    return false;
  store_report (loads, load, tag, now_ms);
  return true;
}

static int
newest_first (const void *a, const void *b)
{
  LimpetMs left_ms = (*(const Entry *const *)a)->load.at_ms;
  LimpetMs right_ms = (*(const Entry *const *)b)->load.at_ms;

  return (left_ms < right_ms) - (left_ms > right_ms);
}

static int
highest_first (const void *a, const void *b)
{
  int32_t left = (*(const Entry *const *)a)->load.inflight;
  int32_t right = (*(const Entry *const *)b)->load.inflight;

  return (left < right) - (left > right);
}

/* Removes old reports and returns the ones that may be forwarded. */
static GPtrArray *
prune_and_list_fresh (LimpetGossipLoads *loads, LimpetMs now_ms)
{
  GPtrArray *fresh = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, loads->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    {
      LimpetMs age_ms = now_ms - ((Entry *)entry)->load.at_ms;

      if (age_ms > 2 * MAX_LOAD_AGE_MS)
        g_hash_table_iter_remove (&iter);
      else if (age_ms <= MAX_LOAD_AGE_MS)
        g_ptr_array_add (fresh, entry);
    }
  return fresh;
}

uint32_t
limpet_gossip_loads_collect (LimpetGossipLoads *loads,
                             uint32_t max_count,
                             uint32_t *target_hashes,
                             uint8_t *bytes,
                             LimpetMs now_ms)
{
  GPtrArray *fresh = prune_and_list_fresh (loads, now_ms);
  uint32_t count = MIN (fresh->len, max_count);
  uint32_t newest_count = MIN (count, (uint32_t)(NEWEST_RATIO * max_count));

  g_ptr_array_sort (fresh, newest_first);
  if (fresh->len > newest_count)
    qsort (fresh->pdata + newest_count, fresh->len - newest_count, sizeof (gpointer),
           highest_first);
  for (uint32_t i = 0; i < count; i++)
    {
      const Entry *entry = g_ptr_array_index (fresh, i);
      uint8_t *out = bytes + (size_t)i * LIMPET_GOSSIP_LOAD_BYTES;

      target_hashes[i] = entry->load.target_hash;
      out[0] = (uint8_t)CLAMP (entry->load.inflight, 0, UINT8_MAX);
      out[1] = (uint8_t)(MAX (0, now_ms - entry->load.at_ms) / AGE_UNIT_MS);
      out[2] = entry->tags[0].value;
    }
  g_ptr_array_free (fresh, TRUE);
  return count;
}
