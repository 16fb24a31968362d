#include "limpetroad/backoff.h"

#include <glib.h>
#include <math.h>

/* Interval at which many clients together try. */
#define COMMON_INTERVAL_MS 100
/* Few clients try more often in all: each has this as its longest pause, and begins with
 * a part of it. */
#define MIN_LONGEST_PAUSE_MS 800
#define MAX_SHORT_PAUSE_MS 1000
#define FEW_CLIENTS_DIVISOR 8

LimpetMs
limpet_backoff_next (LimpetBackoff *backoff,
                     LimpetMs first_ms,
                     LimpetMs max_ms,
                     double jitter)
{
  backoff->pause_ms
      = CLAMP (2 * backoff->pause_ms, MIN (first_ms, max_ms), MAX (first_ms, max_ms));
  return (LimpetMs)((double)backoff->pause_ms * (1 + jitter) / 2);
}

LimpetMs
limpet_backoff_next_of_many (LimpetBackoff *backoff, uint32_t clients, double jitter)
{
  LimpetMs max_ms = MAX (MIN_LONGEST_PAUSE_MS, (LimpetMs)clients * COMMON_INTERVAL_MS);
  LimpetMs first_ms = max_ms > MAX_SHORT_PAUSE_MS ? max_ms : max_ms / FEW_CLIENTS_DIVISOR;

  return limpet_backoff_next (backoff, first_ms, max_ms, jitter);
}

/* The number of clients grows exponentially with the delay that they draw. */
LimpetMs
limpet_backoff_first_of_many (double max_ms, uint32_t clients, double uniform)
{
  double steepness = log (clients) + 1;

  return (LimpetMs)(max_ms * log (uniform * (exp (steepness) - 1) + 1) / steepness);
}

void
limpet_backoff_reset (LimpetBackoff *backoff)
{
  backoff->pause_ms = 0;
}

bool
limpet_backoff_is_active (const LimpetBackoff *backoff)
{
  return backoff->pause_ms > 0;
}
