#include "limpetroad/backoff.h"

#include <glib.h>

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
