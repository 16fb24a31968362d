#ifndef LIMPETROAD_STATUS_H
#define LIMPETROAD_STATUS_H

/** \defgroup status Status and outcome
 *  Functions that can fail return a LimpetStatus and fill a LimpetError owned by the
 *  caller of the function. A client of the fleet gets a LimpetOutcome for its request.
 */

/** Result of an operation. */
typedef enum
{
  LIMPET_STATUS_OK = 0,       /**< success */
  LIMPET_STATUS_INVALID,      /**< the input is wrong */
  LIMPET_STATUS_UNAUTHORIZED, /**< missing or wrong key */
  LIMPET_STATUS_NOT_FOUND,    /**< no such object */
  LIMPET_STATUS_CONFLICT,     /**< another change, or another use of a key, was first */
  LIMPET_STATUS_EXPIRED,    /**< older than the retained records or the current version */
  LIMPET_STATUS_OVERLOADED, /**< a limit was reached */
  LIMPET_STATUS_REFUSED,    /**< the peer refused the request before running it */
  LIMPET_STATUS_UNREACHABLE, /**< no byte of the request was sent */
  LIMPET_STATUS_NO_PATH,     /**< no router that reaches the peer; no byte was sent */
  LIMPET_STATUS_TIMEOUT,   /**< no response in time; the peer may have run the request */
  LIMPET_STATUS_BROKEN,    /**< the connection failed during the exchange; the peer may
                              have run the request */
  LIMPET_STATUS_CANCELLED, /**< the caller disconnected */
  LIMPET_STATUS_UNCHANGED, /**< the content is the same as at the last read */
  LIMPET_STATUS_INTERNAL,  /**< a library failed */
  LIMPET_STATUS_COUNT
} LimpetStatus;

/** Name of each LimpetStatus. */
extern const char *const limpet_status_string[LIMPET_STATUS_COUNT];

/** Outcome of a request for its caller. */
typedef enum
{
  LIMPET_OUTCOME_DONE = 0, /**< the request ran, and the response is complete */
  LIMPET_OUTCOME_NOT_RUN,  /**< no attempt of the request ran, now or earlier */
  LIMPET_OUTCOME_FAILED,   /**< the request ran, and the target returned an error */
  LIMPET_OUTCOME_UNKNOWN,  /**< the request may have run */
  LIMPET_OUTCOME_COUNT
} LimpetOutcome;

/** Name of each LimpetOutcome in responses to callers. */
extern const char *const limpet_outcome_string[LIMPET_OUTCOME_COUNT];

/** A failure, with the processing step and the peer at which it occurred. */
typedef struct
{
  LimpetStatus status;
  char step[24];     /**< processing step, e.g. "claim" */
  char peer[64];     /**< other end of the exchange, or empty */
  char message[256]; /**< one line of text without a newline */
} LimpetError;

/** Fills \p error, which may be NULL, and returns \p status. */
LimpetStatus limpet_error_set (LimpetError *error,
                               LimpetStatus status,
                               const char *step,
                               const char *peer,
                               const char *format,
                               ...) __attribute__ ((format (printf, 5, 6)));

#endif
