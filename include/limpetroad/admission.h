#ifndef LIMPETROAD_ADMISSION_H
#define LIMPETROAD_ADMISSION_H

#include "limpetroad/bundle.h"
#include "limpetroad/policy.h"
#include "limpetroad/targets.h"

#include <json-c/json.h>

/** \defgroup admission Admission
 *  Assigns targets to requests by team share and priority, or refuses them.
 *
 *  limpet_admission_new() → limpet_admission_acquire() → (the exchange with the target) →
 *  limpet_admission_release() → limpet_admission_delete(). A request that gets no slot at
 *  once waits only if the queue is within its limit and a slot is expected before the
 *  request's deadline. The queue is ordered by the priority of the team, the highest
 *  first; then by the team's requests in flight divided by its share, the smallest first;
 *  then by arrival. Thread-safe.
 */
typedef struct LimpetAdmission LimpetAdmission;

/** One request for a target. The caller keeps the pointers valid during the call. */
typedef struct
{
  const LimpetBundle *bundle;
  const LimpetTeam *team; /**< NULL: priority 0, no limit by share */
  LimpetPolicyRequest policy_request;
  LimpetMs deadline_ms; /**< monotonic; refused if it has no target by then */
  bool above_share;     /**< out, valid if a team's request to an engine gets a target:
                                the team exceeds its share with this request */
} LimpetAdmissionRequest;

/** \p targets must outlive the admission. */
LimpetAdmission *limpet_admission_new (LimpetTargets *targets);
/** Frees the admission; no request may be queued. */
void limpet_admission_delete (LimpetAdmission *admission);

/** Assigns a target; blocks the calling thread until a slot is free, if necessary. On
 *  success the request holds a reference to \p target and occupies one of its slots;
 *  limpet_admission_release() releases both. Returns LIMPET_STATUS_OVERLOADED if no slot
 *  is free in time; \p retry_after_ms is then the delay after which the request should be
 *  retried. */
LimpetStatus limpet_admission_acquire (LimpetAdmission *admission,
                                       LimpetAdmissionRequest *request,
                                       LimpetTarget **target,
                                       LimpetMs *retry_after_ms,
                                       LimpetError *error);

/** Like limpet_admission_acquire(), but returns NULL at once if no slot is free. */
LimpetTarget *limpet_admission_try_acquire (LimpetAdmission *admission,
                                            LimpetAdmissionRequest *request);

/** Releases the slot and the reference that a request holds on \p target. \p is_long
 *  is true if the request was counted as long, from its start or by
 *  limpet_admission_mark_long(). */
void limpet_admission_release (LimpetAdmission *admission,
                               LimpetTarget *target,
                               const LimpetTeam *team,
                               bool is_long);

/** Counts a request in flight on \p target as long from now on. Its
 *  limpet_admission_release() must pass true for is_long. */
void limpet_admission_mark_long (LimpetTarget *target);

/** Assigns targets to queued requests. Call it when the targets or their loads change. */
void limpet_admission_serve_queue (LimpetAdmission *admission);

/** Sets the number of live routers that share the load, including this one. */
void limpet_admission_set_routers (LimpetAdmission *admission, uint32_t count);

/** Sets a function that is called when a request is assigned to an engine that is close
 *  to its load bound (limpet_policy_is_near_bound()). It runs with the admission locked,
 *  so it must not call limpet_admission_*(). Set it before the first request. */
void limpet_admission_set_near_bound_callback (LimpetAdmission *admission,
                                               void (*near_bound) (void *user),
                                               void *user);

/** Adds the queue length, the number of routers, the mean time between releases and each
 *  team's requests in flight to \p object. */
void limpet_admission_dump (LimpetAdmission *admission, json_object *object);

#endif
