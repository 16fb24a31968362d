#ifndef LIMPETROAD_COUNTERS_H
#define LIMPETROAD_COUNTERS_H

#include <stdint.h>

/** \defgroup counters Counters
 *  Process-wide counters of events and bytes.
 *
 *  Add to a counter from any thread with limpet_count(); read one with
 *  limpet_counter_value(); render them all as a text exposition with
 *  limpet_counters_render().
 */

/** The counters of a router. */
typedef enum
{
  LIMPET_COUNTER_CHATS = 0,
  LIMPET_COUNTER_ORDERS,
  LIMPET_COUNTER_DONE,
  LIMPET_COUNTER_NOT_RUN,
  LIMPET_COUNTER_FAILED,
  LIMPET_COUNTER_UNKNOWN,
  LIMPET_COUNTER_UNAUTHORIZED,
  LIMPET_COUNTER_REFUSED_ADMISSION,
  LIMPET_COUNTER_QUEUED,
  LIMPET_COUNTER_ATTEMPTS,
  LIMPET_COUNTER_RETRIES,
  LIMPET_COUNTER_HEDGES,
  LIMPET_COUNTER_HEDGES_WON,
  LIMPET_COUNTER_RESUMES,
  LIMPET_COUNTER_BUDGET_EXHAUSTED,
  LIMPET_COUNTER_WRONG_ATTEMPT_ID,
  LIMPET_COUNTER_OFFSET_MISMATCH,
  LIMPET_COUNTER_STALLS,
  LIMPET_COUNTER_TARGET_REFUSALS,
  LIMPET_COUNTER_CALLER_LEFT,
  LIMPET_COUNTER_TOKENS,
  LIMPET_COUNTER_OFF_FIRST_CHOICE,
  LIMPET_COUNTER_SLOW_MARKS,
  LIMPET_COUNTER_BUNDLE_ROLLS,
  LIMPET_COUNTER_BUNDLE_REJECTED,
  LIMPET_COUNTER_BUNDLE_FROM_PEER,
  LIMPET_COUNTER_CHECKPOINTS,
  LIMPET_COUNTER_CLAIMS,
  LIMPET_COUNTER_CLAIMS_LOST,
  LIMPET_COUNTER_CLAIM_APPENDS,
  LIMPET_COUNTER_CLAIM_REAPPENDS,
  LIMPET_COUNTER_CLAIM_FORWARDS,
  LIMPET_COUNTER_DIGESTS_SENT,
  LIMPET_COUNTER_DIGESTS_RECEIVED,
  LIMPET_COUNTER_PEER_MALFORMED,
  LIMPET_COUNTER_PEER_SENT_BYTES,
  LIMPET_COUNTER_PEER_RECEIVED_BYTES,
  LIMPET_COUNTER_LOG_SENT_BYTES,
  LIMPET_COUNTER_LOG_RECEIVED_BYTES,
  LIMPET_COUNTER_PROBE_SENT_BYTES,
  LIMPET_COUNTER_PROBE_RECEIVED_BYTES,
  LIMPET_COUNTER_COUNT
} LimpetCounter;

/** Exposition name of each LimpetCounter. */
extern const char *const limpet_counter_string[LIMPET_COUNTER_COUNT];

/** Adds \p amount to \p counter. Safe from any thread. */
void limpet_count (LimpetCounter counter, uint64_t amount);

/** Returns the value of \p counter. */
uint64_t limpet_counter_value (LimpetCounter counter);

/** Returns all counters as text exposition; the caller frees it with g_free(). */
char *limpet_counters_render (void);

#endif
