#ifndef LIMPETROAD_ADMISSION_H
#define LIMPETROAD_ADMISSION_H

#include "limpetroad/bundle.h"
#include "limpetroad/policy.h"
#include "limpetroad/targets.h"

#include <json-c/json.h>

/** \defgroup admission Admission
 *  Gives requests their targets, by team share and priority, or refuses them at once.
 *
 *  limpet_admission_new() → limpet_admission_acquire() → (the exchange with the target) →
 *  limpet_admission_release() → limpet_admission_delete(). A request waits for a slot
 * only while it can still meet its deadline; requests that wait are served by priority,
 * then by the team that uses the smallest part of its share.
 */
typedef struct LimpetAdmission LimpetAdmission;

/** One request for a target. The pointers stay valid until the call returns. */
typedef struct
{
  const LimpetBundle *bundle;
  const LimpetTeam *team;
  LimpetRouteRequest route;
  LimpetMs deadline_ms; /**< monotonic time by which work has to start */
  bool above_share;     /**< set with a slot: the team uses more than its share */
} LimpetAdmissionRequest;

/** Returns an admission over \p targets, which outlives it. */
LimpetAdmission *limpet_admission_new (LimpetTargets *targets);
void limpet_admission_delete (LimpetAdmission *admission);

/** Waits for a slot. On success \p target has a reference and a counted slot, both given
 *  back by limpet_admission_release(). OVERLOADED: refused, and \p retry_after_ms says
 * when a new try is worth while. */
LimpetStatus limpet_admission_acquire (LimpetAdmission *admission,
                                       LimpetAdmissionRequest *request,
                                       LimpetTarget **target,
                                       LimpetMs *retry_after_ms,
                                       LimpetError *error);

/** Like limpet_admission_acquire() without waiting; returns NULL if there is no slot. */
LimpetTarget *limpet_admission_try (LimpetAdmission *admission,
                                    LimpetAdmissionRequest *request);

/** Gives a slot back. */
void limpet_admission_release (LimpetAdmission *admission,
                               LimpetTarget *target,
                               const LimpetTeam *team,
                               bool is_long);

/** Counts a running request as long work from now on. */
void limpet_admission_mark_long (LimpetTarget *target);

/** Tries the waiting requests again, after the view of the targets changed. */
void limpet_admission_kick (LimpetAdmission *admission);

/** Sets the number of live routers that share the load, this one included. */
void limpet_admission_set_routers (LimpetAdmission *admission, uint32_t count);

/** Sets a function that is called when a target comes near its load bound. It must not
 * call the admission. */
void limpet_admission_set_observer (LimpetAdmission *admission,
                                    void (*near_bound) (void *user),
                                    void *user);

/** Adds the state for a dump. */
void limpet_admission_dump (LimpetAdmission *admission, json_object *object);

#endif
