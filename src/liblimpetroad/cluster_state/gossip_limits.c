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
/* Limits and their ends are kept for this time, also when they are no longer sent, so
 * that a delayed copy is recognised. */
#define KEPT_MS (2 * LIMPET_RATE_LIMIT_VALIDITY_MS)

/* The newest report of a router that has come, also if it was older than the known limit:
 * a copy of it that takes long looks newer than it is. */
typedef struct
{
  uint32_t reporter; /* a start of that router */
  uint32_t report;
  LimpetMs heard_ms;
} Report;

typedef struct
{
  LimpetGossipLimit limit;
  uint32_t reporter; /* of limit; 0 if it came from an older build */
  uint32_t report;
  GArray *reports; /* Report, the one that came last at the end */
  bool is_changed; /* other routers have to be told */
} Entry;

struct LimpetGossipLimits
{
  GHashTable *entries;     /* target hash → Entry */
  uint32_t reporter;       /* this start of the router */
  uint32_t last_report;    /* number of this router's last one */
  uint32_t next_collected; /* position of limpet_gossip_limits_collect_next() */
};

static void
free_entry (gpointer data)
{
  Entry *entry = data;

  g_array_free (entry->reports, TRUE);
  g_free (entry);
}

LimpetGossipLimits *
limpet_gossip_limits_new (uint32_t reporter)
{
  LimpetGossipLimits *limits = g_new0 (LimpetGossipLimits, 1);

  limits->entries
      = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, free_entry);
  limits->reporter = reporter;
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

/* Returns whether the limit, or its end, is still sent. */
static bool
is_current (const Entry *entry, LimpetMs now_ms)
{
  return now_ms - entry->limit.at_ms
         <= (entry->limit.is_set ? LIMPET_RATE_LIMIT_VALIDITY_MS : END_VALIDITY_MS);
}

/* Returns whether the report is newer than those that have come from its router, and
 * remembers it. */
static bool
record_report (Entry *entry, uint32_t reporter, uint32_t report, LimpetMs now_ms)
{
  GArray *reports = entry->reports;
  Report heard = { .reporter = reporter, .report = report, .heard_ms = now_ms };

  for (guint i = 0; i < reports->len; i++)
    {
      const Report *known = &g_array_index (reports, Report, i);

      if (known->reporter != reporter)
        continue;
      if ((int32_t)(report - known->report) <= 0)
        return false;
      g_array_remove_index (reports, i);
      break;
    }
  g_array_append_val (reports, heard);
  while (reports->len > LIMPET_MAX_ROUTERS
         || now_ms - g_array_index (reports, Report, 0).heard_ms > KEPT_MS)
    g_array_remove_index (reports, 0);
  return true;
}

static Entry *
add_entry (LimpetGossipLimits *limits, uint32_t target_hash)
{
  Entry *entry = g_new0 (Entry, 1);

  entry->limit.target_hash = target_hash;
  entry->reports = g_array_new (FALSE, FALSE, sizeof (Report));
  entry->is_changed = true;
  g_hash_table_insert (limits->entries, GUINT_TO_POINTER (target_hash), entry);
  return entry;
}

static void
store (Entry *entry,
       const LimpetGossipLimit *limit,
       uint32_t reporter,
       uint32_t report,
       LimpetMs now_ms)
{
  entry->is_changed = entry->is_changed || !is_same (&entry->limit, limit)
                      || !is_current (entry, now_ms);
  entry->limit = *limit;
  entry->reporter = reporter;
  entry->report = report;
}

bool
limpet_gossip_limits_record_own (LimpetGossipLimits *limits,
                                 const LimpetGossipLimit *limit)
{
  Entry *known = find_entry (limits, limit->target_hash);

  if (!limit->is_set && (known == NULL || !is_current (known, limit->at_ms)))
    return false;
  if (known == NULL)
    known = add_entry (limits, limit->target_hash);
  limits->last_report++;
  record_report (known, limits->reporter, limits->last_report, limit->at_ms);
  store (known, limit, limits->reporter, limits->last_report, limit->at_ms);
  return known->is_changed;
}

/* Returns whether a received limit has a later time than the known one. */
static bool
is_later (const LimpetGossipLimit *limit, const LimpetGossipLimit *known)
{
  return limit->at_ms > known->at_ms + (is_same (known, limit) ? MIN_TIME_GAIN_MS : 0);
}

bool
limpet_gossip_limits_receive (LimpetGossipLimits *limits,
                              const TargetLimit *received,
                              LimpetMs now_ms,
                              LimpetGossipLimit *limit)
{
  Entry *known = find_entry (limits, received->target);
  bool is_new = known == NULL;

  *limit = (LimpetGossipLimit){
    .target_hash = received->target,
    .is_of_refusals = received->refusals,
    .is_set = !received->lifted,
    .per_s = received->lifted ? 0 : (double)received->per_s,
    .at_ms = now_ms - (LimpetMs)received->age_ms - LIMPET_GOSSIP_HOP_MS,
  };
  if (!isfinite (limit->per_s) || limit->per_s < 0
      || now_ms - limit->at_ms > LIMPET_RATE_LIMIT_VALIDITY_MS
      || (!limit->is_set && (known == NULL || !is_current (known, now_ms))))
    return false;
  if (known == NULL)
    known = add_entry (limits, received->target);
  if ((received->reporter != 0
       && !record_report (known, received->reporter, received->report, now_ms))
      || (!is_new && !is_later (limit, &known->limit)))
    return false;
  store (known, limit, received->reporter, received->report, now_ms);
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
  limit->reporter = entry->reporter;
  limit->report = entry->report;
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

      if (entry->is_changed && is_current (entry, now_ms))
        add (entry, encoded, count++, now_ms);
      entry->is_changed = false;
    }
  return finish (encoded, count, message);
}

/* Returns the number of entries that are still sent. */
static uint32_t
remove_old (LimpetGossipLimits *limits, LimpetMs now_ms)
{
  uint32_t count = 0;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, limits->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Entry *entry = value;

      count += is_current (entry, now_ms);
      if (now_ms - entry->limit.at_ms > KEPT_MS)
        g_hash_table_iter_remove (&iter);
    }
  return count;
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
    if (((const Entry *)value)->limit.is_of_refusals && is_current (value, now_ms))
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

  total = remove_old (limits, now_ms);
  count = add_refusals (limits, encoded, max_count, now_ms);
  window = max_count - count;
  first = total > 0 ? limits->next_collected % total : 0;
  g_hash_table_iter_init (&iter, limits->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (is_current (value, now_ms) && (position++ + total - first) % total < window
        && !((const Entry *)value)->limit.is_of_refusals)
      add (value, encoded, count++, now_ms);
  limits->next_collected = first + window;
  return finish (encoded, count, message);
}
