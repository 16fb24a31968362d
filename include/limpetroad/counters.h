#ifndef LIMPETROAD_COUNTERS_H
#define LIMPETROAD_COUNTERS_H

#include <stdint.h>

/** \defgroup counters Counters
 *  Process-wide counters of events and bytes.
 *
 *  Add to a counter from any thread with limpet_counter_add(); read one with
 *  limpet_counter_value(); render them all in the text format of Prometheus with
 *  limpet_counters_render().
 */

/** The counters of a router. */
typedef enum
{
  LIMPET_COUNTER_CALLS = 0, /**< requests to a LimpetExchange */
  LIMPET_COUNTER_CHATS,     /**< chat requests to a LimpetRouter */
  LIMPET_COUNTER_ORDERS,    /**< requests for plain services to a LimpetRouter */
  LIMPET_COUNTER_DONE,      /**< this and the next three: requests by LimpetOutcome */
  LIMPET_COUNTER_NOT_RUN,
  LIMPET_COUNTER_FAILED,
  LIMPET_COUNTER_UNKNOWN,
  LIMPET_COUNTER_UNAUTHORIZED,
  LIMPET_COUNTER_REFUSED_ADMISSION,
  LIMPET_COUNTER_QUEUED,   /**< requests queued until a target is free */
  LIMPET_COUNTER_ATTEMPTS, /**< requests sent to targets, retries and hedges included */
  LIMPET_COUNTER_RETRIES,
  LIMPET_COUNTER_HEDGES,
  LIMPET_COUNTER_HEDGES_WON,       /**< hedges whose response went to the caller */
  LIMPET_COUNTER_RESUMES,          /**< streams continued on another target */
  LIMPET_COUNTER_BUDGET_EXHAUSTED, /**< retries denied by the retry budget */
  LIMPET_COUNTER_WRONG_ATTEMPT_ID,
  LIMPET_COUNTER_OFFSET_MISMATCH, /**< token events with an unexpected offset */
  LIMPET_COUNTER_STALLS,          /**< attempts ended because no byte arrived in time */
  LIMPET_COUNTER_TARGET_REFUSALS, /**< requests that a target refused to run */
  LIMPET_COUNTER_CALLER_LEFT,
  LIMPET_COUNTER_QUARANTINED,     /**< attempts refused because of the quarantine */
  LIMPET_COUNTER_MEMORY_REFUSALS, /**< requests refused for want of memory */
  LIMPET_COUNTER_MEMORY_CUTS,     /**< calls and connections ended for want of memory */
  LIMPET_COUNTER_IDLE_CALLERS_CLOSED, /**< idle connections closed for new ones */
  LIMPET_COUNTER_CALLERS_TURNED_AWAY, /**< connections closed at once: too many */
  LIMPET_COUNTER_RELAYED,             /**< attempts sent through another router */
  LIMPET_COUNTER_TUNNELS,      /**< connections to targets relayed for other routers */
  LIMPET_COUNTER_RELAY_FAILED, /**< other routers that failed to relay an attempt */
  LIMPET_COUNTER_CLOSE_ENDED,  /**< responses that only the end of the target's
                                  connection ended, in order or not */
  LIMPET_COUNTER_TOKENS,       /**< token events received from targets */
  LIMPET_COUNTER_OFF_FIRST_CHOICE, /**< exposed but never incremented */
  LIMPET_COUNTER_SLOW_MARKS,       /**< times that a target was marked as slow */
  LIMPET_COUNTER_BUNDLE_ROLLS,
  LIMPET_COUNTER_BUNDLE_REJECTED, /**< bundle records rejected, or parent missing */
  LIMPET_COUNTER_BUNDLE_FROM_PEER,
  LIMPET_COUNTER_CHECKPOINTS,
  LIMPET_COUNTER_CLAIMS,
  LIMPET_COUNTER_CLAIMS_LOST, /**< claims that were decided but not granted */
  LIMPET_COUNTER_CLAIM_APPENDS,
  LIMPET_COUNTER_CLAIM_REAPPENDS, /**< claims appended again because they did not appear
                                     in the log */
  LIMPET_COUNTER_CLAIM_FORWARDS,  /**< claims forwarded to another router */
  LIMPET_COUNTER_DIGESTS_SENT,
  LIMPET_COUNTER_DIGESTS_RECEIVED,
  LIMPET_COUNTER_PEER_MALFORMED,
  LIMPET_COUNTER_PEER_SEND_FAILURES,
  LIMPET_COUNTER_PEER_SENT_BYTES,
  LIMPET_COUNTER_PEER_RECEIVED_BYTES,
  LIMPET_COUNTER_LOG_SENT_BYTES,
  LIMPET_COUNTER_LOG_RECEIVED_BYTES,
  LIMPET_COUNTER_PROBE_SENT_BYTES,
  LIMPET_COUNTER_PROBE_RECEIVED_BYTES,
  LIMPET_COUNTER_COUNT
} LimpetCounter;

/** Metric name of each LimpetCounter, without the prefix "limpet_". */
extern const char *const limpet_counter_string[LIMPET_COUNTER_COUNT];

/** Adds \p amount to \p counter. Safe from any thread. */
void limpet_counter_add (LimpetCounter counter, uint64_t amount);

/** Returns the value of \p counter. */
uint64_t limpet_counter_value (LimpetCounter counter);

/** Returns all counters in the text format of Prometheus; the caller frees the text with
 *  g_free(). */
char *limpet_counters_render (void);

#endif
