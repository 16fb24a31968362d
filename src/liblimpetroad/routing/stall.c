#include "limpetroad/stall.h"

#include "limpetroad/limits.h"

#include <glib.h>

/* The limits are at least these multiples of earlier gaps, as far as MAX_KNOWN_MS. */
#define LONGEST_GAP_FACTOR 3
#define USUAL_GAP_FACTOR 4
#define MAX_KNOWN_MS 8000
/* The limit for a silent stream doubles with each of the first stalls of a chat. */
#define MAX_DOUBLINGS 2
/* Longest time without a token while bytes arrive. */
#define TRICKLE_TIMEOUT_MS 5000
/* The same before the first token of a stream that another one began. */
#define WAIT_TIMEOUT_MS 10000

LimpetMs
limpet_stall_remaining_ms (const LimpetStallProgress *progress)
{
  LimpetMs known_ms
      = MIN (MAX_KNOWN_MS, MAX (LONGEST_GAP_FACTOR * progress->longest_gap_ms,
                                (LimpetMs)(USUAL_GAP_FACTOR * progress->usual_gap_ms)));
  LimpetMs silent_limit_ms
      = MAX (LIMPET_STALL_TIMEOUT_MS << MIN (progress->stalls, MAX_DOUBLINGS), known_ms);
  LimpetMs trickle_limit_ms = progress->is_waiting
                                  ? WAIT_TIMEOUT_MS
                                  : MAX (TRICKLE_TIMEOUT_MS, silent_limit_ms);
  LimpetMs until_silent_ms = MAX (LIMPET_STALL_TIMEOUT_MS - progress->silent_ms,
                                  silent_limit_ms - progress->tokenless_ms);
  LimpetMs until_trickling_ms = trickle_limit_ms - progress->tokenless_ms;

  if (progress->is_waiting && progress->has_deadline)
    return MAX (0, until_silent_ms);
  return MAX (0, MIN (until_silent_ms, until_trickling_ms));
}
