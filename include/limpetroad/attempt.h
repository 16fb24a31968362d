#ifndef LIMPETROAD_ATTEMPT_H
#define LIMPETROAD_ATTEMPT_H

#include "limpetroad/targets.h"

#include <poll.h>
#include <stddef.h>

/** \defgroup attempt Attempt
 *  One exchange with one target.
 *
 *  limpet_attempt_new() → limpet_attempt_set_* → limpet_attempt_start() → in a poll loop
 *  limpet_attempt_prepare() and limpet_attempt_process() until it has ended →
 *  limpet_attempt_status() → limpet_attempt_delete(). Every attempt has its own id, which
 *  the target must echo; data under another id is dropped and the connection closed.
 */
typedef struct LimpetAttempt LimpetAttempt;

/** How far an attempt has come. */
typedef enum
{
  LIMPET_ATTEMPT_NEW = 0,
  LIMPET_ATTEMPT_SENT,     /**< started; no answer yet */
  LIMPET_ATTEMPT_ACCEPTED, /**< the target answered with a good status */
  LIMPET_ATTEMPT_ENDED,
  LIMPET_ATTEMPT_STATE_COUNT
} LimpetAttemptState;

/** Name of each LimpetAttemptState. */
extern const char *const limpet_attempt_state_string[LIMPET_ATTEMPT_STATE_COUNT];

/** Receives the body of an accepted answer. Returns false to abort the attempt. */
typedef bool (*LimpetAttemptData) (void *user, const char *data, size_t length);

/** Headers of an answer that the router looks at. */
typedef struct
{
  long code;
  int64_t prompt_tokens; /**< -1 if not told */
  int64_t cached_tokens; /**< -1 if not told */
  char content_type[LIMPET_NAME_SIZE];
  bool not_started; /**< the target refused before starting */
  bool leaving;     /**< the target refused because it is leaving */
  bool id_matches;
} LimpetAttemptAnswer;

/** Returns an attempt towards \p target, which must outlive it. */
LimpetAttempt *limpet_attempt_new (LimpetTarget *target);

/** Sets the request; the strings must outlive the attempt. */
void limpet_attempt_set_request (LimpetAttempt *attempt,
                                 const char *method,
                                 const char *path,
                                 const char *body,
                                 size_t body_length);
/** Adds a header line, which is copied. */
void limpet_attempt_add_header (LimpetAttempt *attempt, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/** Sets the receiver of the body. */
void
limpet_attempt_set_data (LimpetAttempt *attempt, LimpetAttemptData on_data, void *user);
/** Sets the id to send, instead of a random one. */
void limpet_attempt_set_id (LimpetAttempt *attempt, const char *id);
/** Asks for a new connection instead of a pooled one, to be closed after the exchange. */
void limpet_attempt_set_fresh (LimpetAttempt *attempt);

/** Starts the exchange. */
void limpet_attempt_start (LimpetAttempt *attempt);

/** Fills \p poll_fd; returns the time until it has to be processed at the latest, in ms.
 */
LimpetMs
limpet_attempt_prepare (LimpetAttempt *attempt, struct pollfd *poll_fd, LimpetMs now_ms);
/** Takes what came; returns the state. */
LimpetAttemptState
limpet_attempt_process (LimpetAttempt *attempt, short revents, LimpetMs now_ms);

LimpetAttemptState limpet_attempt_state (const LimpetAttempt *attempt);
const LimpetAttemptAnswer *limpet_attempt_answer (const LimpetAttempt *attempt);
/** Returns the body of an answer that was not accepted, cut to a few KB. */
const char *limpet_attempt_error_body (const LimpetAttempt *attempt);

/** Returns how it ended: OK, or why not. REFUSED and UNREACHABLE mean that the target did
 *  not start; INVALID that it answered with a client error. */
LimpetStatus limpet_attempt_status (const LimpetAttempt *attempt, LimpetError *error);

/** Returns whether a pooled connection was used and nothing came over it. */
bool limpet_attempt_is_stale (const LimpetAttempt *attempt);

/** Frees the attempt. The connection is kept for later only after a clean end. */
void limpet_attempt_delete (LimpetAttempt *attempt);

#endif
