#include "limpetroad/read_hedge.h"

#include <glib.h>

/* A read is hedged after USUAL_WAIT_FACTOR times the usual wait, within these limits. */
#define MIN_HEDGE_DELAY_MS 250
#define MAX_HEDGE_DELAY_MS 900
#define USUAL_WAIT_FACTOR 2
/* Part of the usual wait that remains when a response begins sooner. */
#define USUAL_WAIT_DECAY 0.75
#define MAX_ATTEMPTS 3
/* A response that is still arriving after this time is late. */
#define SLOW_RESPONSE_MS 500

static bool
is_silent (const LimpetReadHedge *hedge, const LimpetReadProgress *progress)
{
  LimpetMs delay_ms = CLAMP (USUAL_WAIT_FACTOR * hedge->usual_wait_ms, MIN_HEDGE_DELAY_MS,
                             MAX_HEDGE_DELAY_MS);

  return progress->silent_ms >= delay_ms;
}

bool
limpet_read_hedge_needs_attempt (const LimpetReadHedge *hedge,
                                 const LimpetReadProgress *progress)
{
  return progress->attempts < MAX_ATTEMPTS && is_silent (hedge, progress);
}

bool
limpet_read_hedge_is_late (const LimpetReadHedge *hedge,
                           const LimpetReadProgress *progress)
{
  return is_silent (hedge, progress) || progress->attempts > 1
         || progress->elapsed_ms >= SLOW_RESPONSE_MS;
}

void
limpet_read_hedge_record_wait (LimpetReadHedge *hedge, LimpetMs wait_ms)
{
  hedge->usual_wait_ms
      = MAX (wait_ms, (LimpetMs)(USUAL_WAIT_DECAY * (double)hedge->usual_wait_ms));
}
