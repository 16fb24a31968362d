#include "private/gossip_clocks.h"

#include <glib.h>

/* Differences count for one to two of these periods: clocks drift apart, by some
 * milliseconds a minute. */
#define PERIOD_MS 30000

typedef struct
{
  LimpetMs offset_ms;      /* smallest difference of the period under way */
  LimpetMs last_offset_ms; /* the same of the period before */
  LimpetMs began_ms;       /* of the period under way */
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
limpet_gossip_clocks_clear (LimpetGossipClocks *clocks)
{
  g_hash_table_remove_all (clocks->clocks);
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

  if (clock == NULL || now_ms - clock->began_ms >= 2 * PERIOD_MS)
    {
      add_clock (clocks, router, offset_ms, now_ms);
      return;
    }
  if (now_ms - clock->began_ms >= PERIOD_MS)
    *clock = (Clock){ .offset_ms = offset_ms,
                      .last_offset_ms = clock->offset_ms,
                      .began_ms = clock->began_ms + PERIOD_MS };
  clock->offset_ms = MIN (clock->offset_ms, offset_ms);
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
  *local_ms = stamp_ms + MIN (clock->offset_ms, clock->last_offset_ms);
  return true;
}
