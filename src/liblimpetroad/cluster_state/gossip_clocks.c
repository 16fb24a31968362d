#include "private/gossip_clocks.h"

#include <glib.h>

/* Differences count for one to two of these periods: clocks drift apart, by some
 * milliseconds a minute. */
#define PERIOD_MS 30000
/* A difference that exceeds the known one by more is not due to a slow link. */
#define MAX_LINK_DELAY_MS 2000

typedef struct
{
  LimpetMs offset_ms;      /* smallest difference of the period under way */
  LimpetMs last_offset_ms; /* the same of the period before */
  LimpetMs began_ms;       /* of the period under way */
  bool is_doubted;         /* no difference has come since limpet_gossip_clocks_doubt() */
} Clock;

struct LimpetGossipClocks
{
  GHashTable *clocks; /* router → Clock */
};

LimpetGossipClocks *
limpet_gossip_clocks_new (void)
{
  LimpetGossipClocks *clocks = g_new0 (LimpetGossipClocks, 1);

  clocks->clocks = g_hash_table_new_full (g_direct_hash, g_direct_equal, NULL, g_free);
  return clocks;
}

void
limpet_gossip_clocks_delete (LimpetGossipClocks *clocks)
{
  g_hash_table_destroy (clocks->clocks);
  g_free (clocks);
}

void
limpet_gossip_clocks_doubt (LimpetGossipClocks *clocks)
{
  GHashTableIter iter;
  gpointer clock;

  g_hash_table_iter_init (&iter, clocks->clocks);
  while (g_hash_table_iter_next (&iter, NULL, &clock))
    ((Clock *)clock)->is_doubted = true;
}

void
limpet_gossip_clocks_clear (LimpetGossipClocks *clocks)
{
  g_hash_table_remove_all (clocks->clocks);
}

static LimpetMs
least_offset_ms (const Clock *clock)
{
  return MIN (clock->offset_ms, clock->last_offset_ms);
}

/* Returns whether this router's clock has jumped forward since the known difference. */
static bool
is_refuted (const Clock *clock, LimpetMs offset_ms)
{
  return clock->is_doubted && offset_ms - least_offset_ms (clock) > MAX_LINK_DELAY_MS;
}

static gboolean
is_outdated (gpointer key, gpointer value, gpointer now_ms)
{
  (void)key;
  return *(const LimpetMs *)now_ms - ((const Clock *)value)->began_ms >= 2 * PERIOD_MS;
}

static void
add_clock (LimpetGossipClocks *clocks,
           uint32_t router,
           LimpetMs offset_ms,
           LimpetMs now_ms)
{
  Clock clock
      = { .offset_ms = offset_ms, .last_offset_ms = offset_ms, .began_ms = now_ms };

  g_hash_table_foreach_remove (clocks->clocks, is_outdated, &now_ms);
  g_hash_table_insert (clocks->clocks, GUINT_TO_POINTER (router),
                       g_memdup2 (&clock, sizeof clock));
}

void
limpet_gossip_clocks_record (LimpetGossipClocks *clocks,
                             uint32_t router,
                             LimpetMs stamp_ms,
                             LimpetMs local_ms,
                             LimpetMs now_ms)
{
  Clock *clock = g_hash_table_lookup (clocks->clocks, GUINT_TO_POINTER (router));
  LimpetMs offset_ms = local_ms - stamp_ms;

  if (clock == NULL || now_ms - clock->began_ms >= 2 * PERIOD_MS
      || is_refuted (clock, offset_ms))
    {
      add_clock (clocks, router, offset_ms, now_ms);
      return;
    }
  if (now_ms - clock->began_ms >= PERIOD_MS)
    *clock = (Clock){ .offset_ms = offset_ms,
                      .last_offset_ms = clock->offset_ms,
                      .began_ms = clock->began_ms + PERIOD_MS };
  clock->offset_ms = MIN (clock->offset_ms, offset_ms);
  clock->is_doubted = false;
}

bool
limpet_gossip_clocks_convert (const LimpetGossipClocks *clocks,
                              uint32_t router,
                              LimpetMs stamp_ms,
                              LimpetMs *local_ms)
{
  const Clock *clock = g_hash_table_lookup (clocks->clocks, GUINT_TO_POINTER (router));

  if (clock == NULL)
    return false;
  *local_ms = stamp_ms + least_offset_ms (clock);
  return true;
}
