#ifndef LIMPETROAD_ATTEMPT_H
#define LIMPETROAD_ATTEMPT_H

#include "limpetroad/targets.h"

#include <poll.h>
#include <stddef.h>

/** \defgroup attempt Attempt
 *  One HTTP exchange with one target.
 *
 *  limpet_attempt_new() → limpet_attempt_set_* → limpet_attempt_start() → in a poll loop
 *  limpet_attempt_prepare() and limpet_attempt_process() until the attempt has ended →
 *  limpet_attempt_status() → limpet_attempt_delete(). Every attempt has its own id, which
 *  the target must echo. If a response carries another id or none, the attempt fails, the
 *  body handler does not get the body, and the connection is closed.
 */
typedef struct LimpetAttempt LimpetAttempt;

/** Progress of an attempt. */
typedef enum
{
  LIMPET_ATTEMPT_NEW = 0,
  LIMPET_ATTEMPT_SENT,     /**< started; no response yet */
  LIMPET_ATTEMPT_ACCEPTED, /**< received a head with status 200 and the attempt id */
  LIMPET_ATTEMPT_ENDED,
  LIMPET_ATTEMPT_STATE_COUNT
} LimpetAttemptState;

/** Name of each LimpetAttemptState. */
extern const char *const limpet_attempt_state_string[LIMPET_ATTEMPT_STATE_COUNT];

/** Receives the body of an accepted response in pieces. Returns false to abort the
 *  attempt. */
typedef bool (*LimpetAttemptBodyHandler) (void *user, const char *data, size_t length);

/** The fields of a response head that the router evaluates. */
typedef struct
{
  long code;             /**< HTTP status; 0 until the head is complete */
  int64_t prompt_tokens; /**< -1 if the header is missing */
  int64_t cached_tokens; /**< -1 if the header is missing */
  char content_type[LIMPET_NAME_SIZE];
  bool not_started; /**< the target refused the request before starting it */
  bool leaving;     /**< the target is shutting down and takes no new requests */
  bool id_matches;  /**< the response carries the attempt id */
  bool is_framed;   /**< the head tells where the body ends */
} LimpetAttemptResponse;

/** Returns an attempt to send a request to \p target, which must outlive it. */
LimpetAttempt *limpet_attempt_new (LimpetTarget *target);

/** Sets the request. \p method and \p body must outlive the attempt; \p path is copied.
 *  \p body is NULL for none. */
void limpet_attempt_set_request (LimpetAttempt *attempt,
                                 const char *method,
                                 const char *path,
                                 const char *body,
                                 size_t body_length);
/** Adds a request header line, without a line break; it is copied. */
void limpet_attempt_add_header (LimpetAttempt *attempt, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Sets the function that receives the body of an accepted response; \p user is its first
 *  argument. */
void limpet_attempt_set_body_handler (LimpetAttempt *attempt,
                                      LimpetAttemptBodyHandler handler,
                                      void *user);
/** Replaces the random attempt id. */
void limpet_attempt_set_id (LimpetAttempt *attempt, const char *id);
/** Makes the attempt use a new connection, which is closed afterwards, instead of a
 *  pooled one. */
void limpet_attempt_set_new_connection (LimpetAttempt *attempt);

/** Starts the exchange. Call it once, after the limpet_attempt_set_* functions. */
void limpet_attempt_start (LimpetAttempt *attempt);

/** Fills \p poll_fd; its fd is -1 while there is no socket. Returns the time in ms after
 *  which limpet_attempt_process() has to be called even without an event. */
LimpetMs
limpet_attempt_prepare (LimpetAttempt *attempt, struct pollfd *poll_fd, LimpetMs now_ms);
/** Handles the events that poll() returned in \p revents, and an expired timer. Calls the
 *  body handler if data has arrived. Returns the new state. */
LimpetAttemptState
limpet_attempt_process (LimpetAttempt *attempt, short revents, LimpetMs now_ms);

LimpetAttemptState limpet_attempt_state (const LimpetAttempt *attempt);
/** Returns the response head as far as it has been received; owned by the attempt. */
const LimpetAttemptResponse *limpet_attempt_response (const LimpetAttempt *attempt);
/** Returns at most 4 KB of the body of a response whose status is not 200, or an empty
 *  string; owned by the attempt. */
const char *limpet_attempt_error_body (const LimpetAttempt *attempt);

/** Returns the result of a started attempt and fills \p error unless it is OK. REFUSED
 *  and UNREACHABLE: the target did not start the request. INVALID: the response has a 4xx
 *  status. TIMEOUT: the attempt has not ended yet. INTERNAL: libcurl ran out of memory or
 *  rejected the URL. BROKEN: any other failure. After TIMEOUT and BROKEN the request may
 *  have run. */
LimpetStatus limpet_attempt_status (const LimpetAttempt *attempt, LimpetError *error);

/** Returns whether the attempt used a pooled connection and received no response head. If
 *  so, the connection may have been dead before the request was sent. */
bool limpet_attempt_is_stale (const LimpetAttempt *attempt);

/** Frees the attempt, which may be NULL. Its connection goes back to the pool only if the
 *  exchange ended without an error, the response carries the attempt id, and
 *  limpet_attempt_set_new_connection() was not called. If limpet_attempt_is_stale()
 *  returns true, the pooled connections of the target are closed too. */
void limpet_attempt_delete (LimpetAttempt *attempt);

#endif
