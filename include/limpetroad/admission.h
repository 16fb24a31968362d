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
 *  limpet_admission_release() → limpet_admission_delete(). A request is queued only if it
 *  is expected to get a slot before its deadline. The queue is ordered by team priority,
 *  then by the part of its share that the team uses, the smallest first. Thread-safe.
 */
typedef struct LimpetAdmission LimpetAdmission;

/** One request for a target. The caller keeps the pointers valid during the call. */
typedef struct
{
  const LimpetBundle *bundle;
  const LimpetTeam *team;
  LimpetRouteRequest route;
  LimpetMs deadline_ms; /**< monotonic time by which the target must start on it */
  bool above_share;     /**< out, with a target: the team uses more than its share */
} LimpetAdmissionRequest;

/** \p targets must outlive the admission. */
LimpetAdmission *limpet_admission_new (LimpetTargets *targets);
/** Frees the admission; no request may be queued. */
void limpet_admission_delete (LimpetAdmission *admission);

/** Assigns a target, waiting for a free slot if necessary. On success \p target holds a
 *  reference and occupies a slot; limpet_admission_release() releases both. Returns
 *  LIMPET_STATUS_OVERLOADED if no slot is free in time; \p retry_after_ms is then the
 *  delay after which the caller should retry. */
LimpetStatus limpet_admission_acquire (LimpetAdmission *admission,
                                       LimpetAdmissionRequest *request,
                                       LimpetTarget **target,
                                       LimpetMs *retry_after_ms,
                                       LimpetError *error);

/** Like limpet_admission_acquire(), but returns NULL at once if no slot is free. */
LimpetTarget *limpet_admission_try_acquire (LimpetAdmission *admission,
                                            LimpetAdmissionRequest *request);

/** Releases the slot and the reference that a request holds on \p target. */
void limpet_admission_release (LimpetAdmission *admission,
                               LimpetTarget *target,
                               const LimpetTeam *team,
                               bool is_long);

/** Counts a running request as long work from now on; its release must pass is_long. */
void limpet_admission_mark_long (LimpetTarget *target);

/** Assigns targets to queued requests. Call it when the targets or their loads change. */
void limpet_admission_serve_queue (LimpetAdmission *admission);

/** Sets the number of live routers that share the load, including this one. */
void limpet_admission_set_routers (LimpetAdmission *admission, uint32_t count);

/** Sets a function that is called when an engine comes close to its load bound. It runs
 *  with the admission locked, so it must not call the admission. Set it before
 *  the first request. */
void limpet_admission_set_near_bound_callback (LimpetAdmission *admission,
                                               void (*near_bound) (void *user),
                                               void *user);

/** Adds the queue length, the loads of the teams and the release rate to \p object. */
void limpet_admission_dump (LimpetAdmission *admission, json_object *object);

#endif
