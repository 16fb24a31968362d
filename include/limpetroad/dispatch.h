#ifndef LIMPETROAD_DISPATCH_H
#define LIMPETROAD_DISPATCH_H

#include "limpetroad/target_response.h"
#include "limpetroad/call.h"
#include "limpetroad/cold_bound.h"
#include "limpetroad/policy.h"
#include "limpetroad/retry_budget.h"

/** \defgroup dispatch Dispatcher
 *  Assigns a target to each attempt of a call, at once or after a wait, or refuses it.
 *
 *  limpet_dispatch_new() → limpet_dispatch_set_*() → limpet_dispatch_submit() for each
 *  attempt → limpet_dispatch_release() when an attempt that got a target ends →
 *  limpet_dispatch_delete(). The limpet_dispatch_record_*() functions record requests,
 *  and the loads, latencies and results that exchanges with targets show. The dispatcher
 *  uses no sockets and belongs to one thread. All times are monotonic; functions without
 *  an argument for the current time read the clock.
 */
typedef struct LimpetDispatch LimpetDispatch;

/** A request for a target, for an attempt of a call. Its owner zeroes it before the first
 *  use, and keeps it and what it points to valid until one of its functions is called or
 *  limpet_dispatch_cancel() returns. */
typedef struct
{
  const LimpetCall *call;
  /** Called with the assigned \p target. The attempt holds a reference to it and occupies
   *  one of its slots until limpet_dispatch_release(). */
  void (*on_target) (void *user, LimpetTarget *target);
  /** Called if no slot is free in time. \p retry_after_ms is the delay after which the
   *  caller should retry. */
  void (*on_refused) (void *user, LimpetMs retry_after_ms);
  void *user;
  /** LimpetTarget.software_hash of the targets that may get the call; 0 for any. */
  uint32_t software_hash;
  const LimpetTarget *const *excluded; /**< targets of earlier attempts */
  uint32_t excluded_count; /**< only the first LIMPET_MAX_EXCLUDED_TARGETS are excluded */

  /* Used by the dispatcher only. */
  GList link;
  uint64_t order;
  LimpetMs wait_until_ms;
  bool is_waiting;
} LimpetDispatchRequest;

/** \p targets must outlive the dispatcher. */
LimpetDispatch *limpet_dispatch_new (LimpetTargets *targets);
/** Frees the dispatcher, which may be NULL; no request may be queued. */
void limpet_dispatch_delete (LimpetDispatch *dispatch);

/** Selects a policy by its name; returns false if the name is unknown. */
bool limpet_dispatch_set_policy (LimpetDispatch *dispatch, const char *name);
/** Sets the retry limits of the whole fleet; each router uses its part of them. */
void limpet_dispatch_set_retry_limits (LimpetDispatch *dispatch,
                                       const LimpetRetryLimits *limits);
/** Sets the load limit of the policy "homes": the highest load of an engine, as a
 *  multiple of the mean load. */
void limpet_dispatch_set_load_limit (LimpetDispatch *dispatch, double mean_factor);
/** Sets the number of live routers, including this one. */
void limpet_dispatch_set_router_count (LimpetDispatch *dispatch, uint32_t count);
/** Sets the addresses of the live routers, this one first, and their number. */
void limpet_dispatch_set_routers (LimpetDispatch *dispatch,
                                  const uint32_t *addresses,
                                  uint32_t count);
/** Sets how many requests a cold target may get from all routers together. */
void limpet_dispatch_set_cold_bound (LimpetDispatch *dispatch,
                                     const LimpetColdBound *bound);
/** Sets whether this router hears from the others, or there are none. A router that does
 *  not sends nothing to cold targets. The default is true. */
void limpet_dispatch_set_fleet_known (LimpetDispatch *dispatch, bool is_known);
/** Sets the configuration in force, of which the services are read. */
void limpet_dispatch_set_table (LimpetDispatch *dispatch, const LimpetRouteTable *table);
/** Lets the targets of a zone that may get requests again count as cold. */
void limpet_dispatch_zone_taken_back (LimpetDispatch *dispatch, const char *zone);
/** Records that the target said at \p now_ms that it is cold for \p left_ms. */
void limpet_dispatch_record_cold (LimpetDispatch *dispatch,
                                  LimpetTarget *target,
                                  LimpetMs left_ms,
                                  LimpetMs now_ms);
/** Requests a target. Calls exactly one of the functions of \p request, before it returns
 *  or later, unless the request is cancelled first. */
void limpet_dispatch_submit (LimpetDispatch *dispatch, LimpetDispatchRequest *request);
/** Returns whether there is a target, now or after a wait, that \p request may get. */
bool limpet_dispatch_has_target (LimpetDispatch *dispatch,
                                 const LimpetDispatchRequest *request);
/** Removes \p request from the queue without calling its functions. Does nothing if it is
 *  not queued. */
void limpet_dispatch_cancel (LimpetDispatch *dispatch, LimpetDispatchRequest *request);
/** Releases the slot and the reference that an attempt holds on \p target, and serves the
 *  queue. */
void limpet_dispatch_release (LimpetDispatch *dispatch, LimpetTarget *target);

/** Takes one retry from this router's part of the service's retry budget. Returns false
 *  if the part is used up; the call must then not be retried. */
bool limpet_dispatch_try_spend_retry (LimpetDispatch *dispatch, const LimpetCall *call);
/** Returns the priority to send to an engine with the call: 0 (most urgent) to 9. */
int64_t limpet_dispatch_priority (const LimpetDispatch *dispatch, const LimpetCall *call);

/** Returns the engine, other than \p target, that most likely has the shared parts of the
 *  call's prompt in its cache, so that \p target can fetch them from it. Returns NULL
 *  if there is none or the prompt has no shared parts. The result is valid until the view
 *  of the targets changes. */
const LimpetTarget *limpet_dispatch_cache_source (LimpetDispatch *dispatch,
                                                  const LimpetCall *call,
                                                  const LimpetTarget *target);

/** Records the arrival of a caller's request. */
void limpet_dispatch_record_arrival (LimpetDispatch *dispatch,
                                     const LimpetCall *call,
                                     LimpetMs now_ms);
/** Records the load that a target reported at \p at_ms, in a response to this router or
 *  to another one: the requests that it runs or queues. Reports older than the last one
 *  are ignored. */
void limpet_dispatch_record_load (LimpetDispatch *dispatch,
                                  LimpetTarget *target,
                                  int32_t inflight,
                                  LimpetMs at_ms);
/** Records the rate limit that a response of the target named at \p at_ms, or NULL if it
 *  named none. Reports older than the last one are ignored. */
void limpet_dispatch_record_rate_limit (LimpetDispatch *dispatch,
                                        LimpetTarget *target,
                                        const double *per_s,
                                        LimpetMs at_ms);
/** Records that the first event of a stream arrived \p first_ms after its request was
 *  sent. */
void limpet_dispatch_record_first_event (LimpetDispatch *dispatch,
                                         LimpetTarget *target,
                                         LimpetMs first_ms);
/** Records how an exchange ended. A failure puts the target into backoff. */
void limpet_dispatch_record_result (LimpetDispatch *dispatch,
                                    LimpetTarget *target,
                                    LimpetStatus status);
/** Records an error response of the target. Several consecutive ones put it into backoff.
 */
void limpet_dispatch_record_error_response (LimpetDispatch *dispatch,
                                            LimpetTarget *target);
/** Records that the target refused a call for lack of capacity, without running it. The
 *  target gets no new calls for a short time, and for longer if it is brittle. */
void limpet_dispatch_record_target_full (LimpetDispatch *dispatch, LimpetTarget *target);
/** Records whether the target falls over if it has to turn more than \p
 * max_refusals_per_s calls away in a second, as its last response said; NULL if it did
 * not. */
void limpet_dispatch_record_brittle (LimpetDispatch *dispatch,
                                     LimpetTarget *target,
                                     const double *max_refusals_per_s);
/** Records that a target of a service, given by LimpetTarget.group_hash, said so to
 * another router at \p at_ms (monotonic). */
void limpet_dispatch_record_peer_brittle (LimpetDispatch *dispatch,
                                          uint32_t group_hash,
                                          double max_refusals_per_s,
                                          LimpetMs at_ms);
/** Records that the target gets no calls from this router for \p rest_ms. */
void limpet_dispatch_record_rest (LimpetDispatch *dispatch,
                                  LimpetTarget *target,
                                  LimpetMs rest_ms);
/** Serves the queue after the view of the targets changed. */
void limpet_dispatch_targets_changed (LimpetDispatch *dispatch);
/** Appends the load of each service and the refusals in the Prometheus text format. */
void limpet_dispatch_render_metrics (const LimpetDispatch *dispatch, GString *out);
/** Ages the loads of old reports, detects slow engines, serves the queue and refuses
 *  calls that have waited too long. Call it about every 100 ms
 *  (LIMPET_OUTLIER_PERIOD_MS). */
void limpet_dispatch_tick (LimpetDispatch *dispatch, LimpetMs now_ms);

#endif
