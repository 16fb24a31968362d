#ifndef LIMPETROAD_STATUS_H
#define LIMPETROAD_STATUS_H

/** \defgroup status Status and outcome
 *  Typed results.
 *
 *  Functions that can fail return a LimpetStatus and fill a LimpetError owned by the
 *  caller. What a caller of the fleet is told about its request is a LimpetOutcome.
 */

/** Why an operation did not succeed. */
typedef enum
{
  LIMPET_STATUS_OK = 0,       /**< it succeeded */
  LIMPET_STATUS_INVALID,      /**< the input is wrong */
  LIMPET_STATUS_UNAUTHORIZED, /**< no key, or a wrong one */
  LIMPET_STATUS_NOT_FOUND,    /**< no such object */
  LIMPET_STATUS_CONFLICT,     /**< another writer won */
  LIMPET_STATUS_EXPIRED,      /**< older than the window in which it is known */
  LIMPET_STATUS_OVERLOADED,   /**< a limit was reached */
  LIMPET_STATUS_REFUSED,      /**< the peer refused before starting */
  LIMPET_STATUS_UNREACHABLE,  /**< no byte of the request left */
  LIMPET_STATUS_TIMEOUT,      /**< no answer in time; the peer may have acted */
  LIMPET_STATUS_BROKEN,       /**< the exchange broke off; the peer may have acted */
  LIMPET_STATUS_CANCELLED,    /**< the caller left, or another attempt won */
  LIMPET_STATUS_UNCHANGED,    /**< the same as the last time */
  LIMPET_STATUS_INTERNAL,     /**< a library failed */
  LIMPET_STATUS_COUNT
} LimpetStatus;

/** Name of each LimpetStatus. */
extern const char *const limpet_status_string[LIMPET_STATUS_COUNT];

/** What became of a request, seen by its caller. */
typedef enum
{
  LIMPET_OUTCOME_DONE = 0, /**< ran, and this is the whole answer */
  LIMPET_OUTCOME_NOT_RUN,  /**< no run of the request, this or an earlier one, took place
                            */
  LIMPET_OUTCOME_FAILED,   /**< ran, and the target reported a failure */
  LIMPET_OUTCOME_UNKNOWN,  /**< may have run */
  LIMPET_OUTCOME_COUNT
} LimpetOutcome;

/** Name of each LimpetOutcome, as callers read it. */
extern const char *const limpet_outcome_string[LIMPET_OUTCOME_COUNT];

/** A failure, with the step and the peer at which it arose. */
typedef struct
{
  LimpetStatus status;
  char step[24];     /**< processing step, e.g. "claim" */
  char peer[64];     /**< other end of the exchange, empty when local */
  char message[256]; /**< one line for people */
} LimpetError;

/** Fills \p error, which may be NULL, and returns \p status. */
LimpetStatus limpet_error_set (LimpetError *error,
                               LimpetStatus status,
                               const char *step,
                               const char *peer,
                               const char *format,
                               ...) __attribute__ ((format (printf, 5, 6)));

#endif
