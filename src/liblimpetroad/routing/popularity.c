#include "limpetroad/popularity.h"

#include <glib.h>
#include <math.h>

/* Size of the table, a power of two. A router of the users' largest site gets about 20
 * calls per second, so collisions within DECAY_MS are rare. */
#define ENTRIES 512
/* Time in which a count decays to 1/e. In the users' largest fleet, a router gets one
 * call per second of a context that fills an engine, so a count must last longer than a
 * second. */
#define DECAY_MS 2000.0

typedef struct
{
  uint64_t context;
  double count; /* calls, decayed up to at_ms */
  LimpetMs at_ms;
} Entry;

struct LimpetPopularity
{
  Entry entries[ENTRIES];
};

LimpetPopularity *
limpet_popularity_new (void)
{
  return g_new0 (LimpetPopularity, 1);
}

void
limpet_popularity_delete (LimpetPopularity *popularity)
{
  g_free (popularity);
}

/* Returns the factor by which the count of the entry has decayed since at_ms. */
static double
decay_factor (const Entry *entry, LimpetMs now_ms)
{
  return exp (-(double)(now_ms - entry->at_ms) / DECAY_MS);
}

void
limpet_popularity_record (LimpetPopularity *popularity, uint64_t context, LimpetMs now_ms)
{
  Entry *entry = &popularity->entries[context % ENTRIES];
  double count = entry->count * decay_factor (entry, now_ms);

  if (entry->context != context && count >= 1)
    return;
  *entry = (Entry){
    .context = context,
    .count = entry->context == context ? count + 1 : 1,
    .at_ms = now_ms,
  };
}

double
limpet_popularity_rate (const LimpetPopularity *popularity,
                        uint64_t context,
                        LimpetMs now_ms)
{
  const Entry *entry = &popularity->entries[context % ENTRIES];

  if (entry->context != context)
    return 0;
  return MAX (0, entry->count - 1) * decay_factor (entry, now_ms) * 1000 / DECAY_MS;
}
