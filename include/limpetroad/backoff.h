#ifndef LIMPETROAD_BACKOFF_H
#define LIMPETROAD_BACKOFF_H

#include "limpetroad/clock.h"

#include <stdbool.h>

/** \defgroup backoff Backoff
 *  Growing pauses between tries at something that does not answer. Half of each pause is
 *  drawn, so that many that failed at once do not come back at once.
 *
 *  A LimpetBackoff of zeros → limpet_backoff_next() after each failure →
 *  limpet_backoff_reset() after a success.
 */
typedef struct
{
  LimpetMs pause_ms; /**< the last pause before the draw; 0 after a success */
} LimpetBackoff;

/** Returns the pause before the next try: \p first_ms at first, doubled up to \p most_ms.
 *  \p draw is from 0 to 1. */
LimpetMs limpet_backoff_next (LimpetBackoff *backoff,
                              LimpetMs first_ms,
                              LimpetMs most_ms,
                              double draw);

void limpet_backoff_reset (LimpetBackoff *backoff);

/** Returns whether the last try failed. */
bool limpet_backoff_is_waiting (const LimpetBackoff *backoff);

#endif
