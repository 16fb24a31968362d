#include "private/call_durations.h"

#include <glib.h>

/* The longest call is kept for the period in which it ended and the next one. */
#define PERIOD_MS 30000

typedef struct
{
  int64_t period;       /* number of the period of current_ms */
  LimpetMs current_ms;  /* longest in it */
  LimpetMs previous_ms; /* longest in the one before; -1 if there was none */
} Route;

struct LimpetCallDurations
{
  GHashTable *routes; /* name → Route */
};

LimpetCallDurations *
limpet_call_durations_new (void)
{
  LimpetCallDurations *durations = g_new0 (LimpetCallDurations, 1);

  durations->routes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return durations;
}

void
limpet_call_durations_delete (LimpetCallDurations *durations)
{
  g_hash_table_destroy (durations->routes);
  g_free (durations);
}

static gboolean
is_outdated (gpointer name, gpointer route, gpointer period)
{
  (void)name;
  return ((const Route *)route)->period + 1 < *(const int64_t *)period;
}

void
limpet_call_durations_record (LimpetCallDurations *durations,
                              const char *route,
                              LimpetMs duration_ms,
                              LimpetMs now_ms)
{
  int64_t period = now_ms / PERIOD_MS;
  Route *known = g_hash_table_lookup (durations->routes, route);

  if (known == NULL)
    {
      g_hash_table_foreach_remove (durations->routes, is_outdated, &period);
      known = g_new0 (Route, 1);
      *known = (Route){ .period = period, .previous_ms = -1 };
      g_hash_table_insert (durations->routes, g_strdup (route), known);
    }
  if (known->period != period)
    *known = (Route){
      .period = period,
      .previous_ms = known->period + 1 == period ? known->current_ms : -1,
    };
  known->current_ms = MAX (known->current_ms, duration_ms);
}

LimpetMs
limpet_call_durations_longest (const LimpetCallDurations *durations,
                               const char *route,
                               LimpetMs now_ms)
{
  const Route *known = g_hash_table_lookup (durations->routes, route);
  int64_t period = now_ms / PERIOD_MS;

  if (known == NULL || known->period + 1 < period)
    return -1;
  return known->period == period ? MAX (known->current_ms, known->previous_ms)
                                 : known->current_ms;
}
