#include "private/gossip_limits.h"

#include "limpetroad/limits.h"
#include "private/gossip_loads.h"

#include <glib.h>
#include <math.h>

/* The end of a limit is sent for this time. */
#define END_VALIDITY_MS 10000
/* A received limit without a change counts as newer only by at least this time. Smaller
 * differences come from the latency of messages. */
#define MIN_TIME_GAIN_MS 200

typedef struct
{
  LimpetGossipLimit limit;
  bool is_changed; /* other routers have to be told */
} Entry;

struct LimpetGossipLimits
{
  GHashTable *entries;     /* target hash → Entry */
  uint32_t next_collected; /* position of limpet_gossip_limits_collect_next() */
};

LimpetGossipLimits *
limpet_gossip_limits_new (void)
{
  LimpetGossipLimits *limits = g_new0 (LimpetGossipLimits, 1);

  limits->entries = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return limits;
}

void
limpet_gossip_limits_delete (LimpetGossipLimits *limits)
{
  g_hash_table_destroy (limits->entries);
  g_free (limits);
}

static bool
is_same (const LimpetGossipLimit *limit, const LimpetGossipLimit *other)
{
  return limit->is_set == other->is_set && (float)limit->per_s == (float)other->per_s;
}

static Entry *
find_entry (const LimpetGossipLimits *limits, uint32_t target_hash)
{
  return g_hash_table_lookup (limits->entries, GUINT_TO_POINTER (target_hash));
}

/* Returns whether other routers have to be told. */
static bool
store (LimpetGossipLimits *limits, Entry *known, const LimpetGossipLimit *limit)
{
  if (known == NULL)
    {
      known = g_new0 (Entry, 1);
      known->is_changed = true;
      g_hash_table_insert (limits->entries, GUINT_TO_POINTER (limit->target_hash), known);
    }
  known->is_changed = known->is_changed || !is_same (&known->limit, limit);
  known->limit = *limit;
  return known->is_changed;
}

bool
limpet_gossip_limits_record_own (LimpetGossipLimits *limits,
                                 const LimpetGossipLimit *limit)
{
  Entry *known = find_entry (limits, limit->target_hash);

  if (known == NULL && !limit->is_set)
    return false;
  return store (limits, known, limit);
}

bool
limpet_gossip_limits_receive (LimpetGossipLimits *limits,
                              const TargetLimit *received,
                              LimpetMs now_ms,
                              LimpetGossipLimit *limit)
{
  Entry *known = find_entry (limits, received->target);

  *limit = (LimpetGossipLimit){
    .target_hash = received->target,
    .is_of_refusals = received->refusals,
    .is_set = !received->lifted,
    .per_s = received->lifted ? 0 : (double)received->per_s,
    .at_ms = now_ms - (LimpetMs)received->age_ms - LIMPET_GOSSIP_HOP_MS,
  };
  if (!isfinite (limit->per_s) || limit->per_s < 0
      || now_ms - limit->at_ms > LIMPET_RATE_LIMIT_VALIDITY_MS
      || (known == NULL && !limit->is_set))
    return false;
  if (known != NULL
      && limit->at_ms <= known->limit.at_ms
                             + (is_same (&known->limit, limit) ? MIN_TIME_GAIN_MS : 0))
    return false;
  store (limits, known, limit);
  return true;
}

static void
add (const Entry *entry,
     LimpetGossipEncodedLimits *encoded,
     uint32_t index,
     LimpetMs now_ms)
{
  TargetLimit *limit = &encoded->limits[index];

  target_limit__init (limit);
  limit->target = entry->limit.target_hash;
  limit->lifted = !entry->limit.is_set;
  limit->refusals = entry->limit.is_of_refusals;
  limit->per_s = (float)entry->limit.per_s;
  limit->age_ms = (uint32_t)MAX (0, now_ms - entry->limit.at_ms);
  encoded->pointers[index] = limit;
}

static uint32_t
finish (LimpetGossipEncodedLimits *encoded, uint32_t count, GossipMessage *message)
{
  message->limits = encoded->pointers;
  message->n_limits = count;
  return count;
}

uint32_t
limpet_gossip_limits_collect_changed (LimpetGossipLimits *limits,
                                      LimpetGossipEncodedLimits *encoded,
                                      LimpetMs now_ms,
                                      GossipMessage *message)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, limits->entries);
  while (count < LIMPET_GOSSIP_MAX_LIMITS && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->is_changed)
        add (entry, encoded, count++, now_ms);
      entry->is_changed = false;
    }
  return finish (encoded, count, message);
}

static void
remove_old (LimpetGossipLimits *limits, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const LimpetGossipLimit *limit = &((Entry *)value)->limit;

      if (now_ms - limit->at_ms
          > (limit->is_set ? LIMPET_RATE_LIMIT_VALIDITY_MS : END_VALIDITY_MS))
        g_hash_table_iter_remove (&iter);
    }
}

/* Adds the limits of refusals, up to max_count. Returns their number. */
static uint32_t
add_refusals (const LimpetGossipLimits *limits,
              LimpetGossipEncodedLimits *encoded,
              uint32_t max_count,
              LimpetMs now_ms)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->entries);
  while (count < max_count && g_hash_table_iter_next (&iter, NULL, &value))
    if (((const Entry *)value)->limit.is_of_refusals)
      add (value, encoded, count++, now_ms);
  return count;
}

uint32_t
limpet_gossip_limits_collect_next (LimpetGossipLimits *limits,
                                   LimpetGossipEncodedLimits *encoded,
                                   uint32_t max_count,
                                   LimpetMs now_ms,
                                   GossipMessage *message)
{
  uint32_t total;
  uint32_t first;
  uint32_t count;
  uint32_t window;
  uint32_t position = 0;
  GHashTableIter iter;
  gpointer value;

  remove_old (limits, now_ms);
  count = add_refusals (limits, encoded, max_count, now_ms);
  window = max_count - count;
  total = g_hash_table_size (limits->entries);
  first = total > 0 ? limits->next_collected % total : 0;
  g_hash_table_iter_init (&iter, limits->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if ((position++ + total - first) % total < window
        && !((const Entry *)value)->limit.is_of_refusals)
      add (value, encoded, count++, now_ms);
  limits->next_collected = first + window;
  return finish (encoded, count, message);
}
