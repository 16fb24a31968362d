#ifndef LIMPETROAD_ISOLATION_H
#define LIMPETROAD_ISOLATION_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup isolation Isolation
 *  Decides whether this router has lost its own paths to a group of targets, that is,
 *  whether failed connections are the fault of its links and not of the targets.
 *
 *  limpet_isolation_init() → the functions limpet_isolation_record_*() with what happens
 *  on this router's own connections → limpet_isolation_probes_due() regularly, and
 *  limpet_isolation_record_probe() with the result of each probe. While the router is not
 *  direct, calls go through other routers. Opens no sockets. Times are monotonic.
 *
 *  Failed connections to several targets, with no new connection that works, raise a
 *  suspicion. Probes of targets that have not failed confirm or refute it, so the crash
 *  of a few targets isolates no router. A probe only shows that a connection is accepted.
 *  Further failures after it isolate the router all the same, unless a new connection
 *  has brought a response. Silence of all connections that await a response isolates it
 *  without a probe. An isolated router probes its own paths. One success ends the
 *  isolation; if probes did not show the fault, a single call then tries the paths, and
 *  its response ends the isolation.
 */

typedef enum
{
  LIMPET_ISOLATION_DIRECT = 0, /**< the own paths are used */
  LIMPET_ISOLATION_SUSPECTED,  /**< the own paths are used, and probes are under way */
  LIMPET_ISOLATION_ISOLATED,   /**< the own paths have failed */
  LIMPET_ISOLATION_TRIAL,      /**< a probe succeeded; one call may use the own paths */
  LIMPET_ISOLATION_STATE_COUNT
} LimpetIsolationState;

/** Name of each LimpetIsolationState, for logs. */
extern const char *const limpet_isolation_state_string[LIMPET_ISOLATION_STATE_COUNT];

/** Number of targets whose connections have to fail to raise a suspicion, and of those
 *  that are then probed. */
#define LIMPET_ISOLATION_MIN_FAILED 2
#define LIMPET_ISOLATION_PROBES 3
/** All connections that await a response have to be silent for this time, and for the
 *  longer one if they are all to the same target, which may just be slow. */
#define LIMPET_ISOLATION_SILENCE_MS 1000
#define LIMPET_ISOLATION_ONE_TARGET_SILENCE_MS 2000
/** A call on trial fails without a response in this time. */
#define LIMPET_ISOLATION_TRIAL_MS 1000

typedef struct
{
  LimpetIsolationState state;
  const char *group; /**< name of the group of targets, for logs; borrowed */
  LimpetMs since_ms; /**< when the failures began that led to the state; 0 if direct */
  /* Used by the functions below only. */
  uint32_t failed_targets[LIMPET_ISOLATION_MIN_FAILED];
  uint32_t failed_count;
  LimpetMs first_failure_ms;
  uint32_t pending_probes;
  LimpetMs next_probe_ms;
  LimpetMs probe_interval_ms;
  LimpetMs trial_began_ms;
  bool is_refuted;  /* probes have succeeded since the first failure */
  bool needs_trial; /* probes do not show the fault */
  bool is_by_silence;
  bool is_trial_running;
} LimpetIsolation;

/** \p group, the name of the group of targets, must outlive the detector. */
void limpet_isolation_init (LimpetIsolation *isolation, const char *group);

/** Returns whether calls have to go through other routers. */
bool limpet_isolation_is_isolated (const LimpetIsolation *isolation);

/** Records that a connection to the target failed before it brought a response.
 *  \p targets is the number of targets that there are. */
void limpet_isolation_record_failure (LimpetIsolation *isolation,
                                      uint32_t target_hash,
                                      uint32_t targets,
                                      LimpetMs now_ms);
/** Records bytes from a target; \p is_new_connection: the first ones on its connection.
 */
void limpet_isolation_record_response (LimpetIsolation *isolation,
                                       bool is_new_connection);
/** Records that for LIMPET_ISOLATION_SILENCE_MS no target has sent a byte, although
 *  connections to several targets await a response. */
void limpet_isolation_record_silence (LimpetIsolation *isolation, LimpetMs now_ms);

/** Returns the number of targets to probe now. Targets that have not failed are to be
 *  preferred. If fewer can be probed, the others count as failed. */
uint32_t limpet_isolation_probes_due (LimpetIsolation *isolation, LimpetMs now_ms);
void limpet_isolation_record_probe (LimpetIsolation *isolation,
                                    bool succeeded,
                                    LimpetMs now_ms);

/** Returns whether a call is to use the own paths on trial. One that must not run twice
 *  is taken only if no other one comes for some time. */
bool limpet_isolation_begin_trial (LimpetIsolation *isolation,
                                   bool is_idempotent,
                                   LimpetMs now_ms);
/** Records that the call on trial got no response. */
void limpet_isolation_fail_trial (LimpetIsolation *isolation, LimpetMs now_ms);
/** Records that the call on trial ended for another reason, without a response. */
void limpet_isolation_cancel_trial (LimpetIsolation *isolation);

#endif
