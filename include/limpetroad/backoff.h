#ifndef LIMPETROAD_BACKOFF_H
#define LIMPETROAD_BACKOFF_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup backoff Backoff
 *  Exponential backoff with jitter for retries. Up to half of each pause is random, so
 *  that clients that failed at the same time do not retry at the same time.
 *
 *  Zero a LimpetBackoff to initialize it. Call limpet_backoff_next() after each failure
 *  and limpet_backoff_reset() after a success.
 */
typedef struct
{
  LimpetMs pause_ms; /**< last pause without jitter; 0 after a success */
} LimpetBackoff;

/** Returns the pause before the next attempt, in ms. Without jitter it is \p first_ms
 *  after the first failure and doubles with each further failure, up to \p max_ms.
 *  \p jitter is a random number from 0 to 1; the result is between half of the pause
 *  and all of it. */
LimpetMs limpet_backoff_next (LimpetBackoff *backoff,
                              LimpetMs first_ms,
                              LimpetMs max_ms,
                              double jitter);

/** The same for a client that is one of \p clients, of which it is enough if one
 * succeeds: all together try about once in 100 ms, and from the first failure on. */
LimpetMs
limpet_backoff_next_of_many (LimpetBackoff *backoff, uint32_t clients, double jitter);

/** Returns a random delay of up to \p max_ms before one of \p clients begins what is
 * enough to be done by one of them: few draw a short delay, so that their result reaches
 * the others before these begin as well (RFC 5401, section 3.2.2). \p uniform is a random
 * number from 0 to 1. */
LimpetMs limpet_backoff_first_of_many (double max_ms, uint32_t clients, double uniform);

void limpet_backoff_reset (LimpetBackoff *backoff);

/** Returns true from the first failure until limpet_backoff_reset(). */
bool limpet_backoff_is_active (const LimpetBackoff *backoff);

#endif
