#ifndef LIMPETROAD_TARGETS_H
#define LIMPETROAD_TARGETS_H

#include "limpetroad/bundle.h"
#include "limpetroad/clock.h"
#include "limpetroad/vm_list.h"

#include <pthread.h>
#include <stdatomic.h>
#include <urcu/ref.h>

/** \defgroup targets Targets
 *  Engines and plain services that this router may send requests to, with their load and
 *  health.
 *
 *  limpet_targets_new() → limpet_targets_update() with each VM list → readers take a
 *  snapshot with limpet_targets_snapshot() and release it with
 *  limpet_target_view_release() → limpet_targets_delete(). Targets and views are
 *  reference-counted: a target exists at least as long as any view or request that refers
 *  to it.
 */

/** Weight of a target that gets its full share of requests. */
#define LIMPET_WEIGHT_FULL 1000

/** Latencies measured by this router; guarded by LimpetTarget.lock. */
typedef struct
{
  double gap_ms;       /**< moving average of the time between tokens */
  double first_ms;     /**< moving average of the time to the first token */
  LimpetMs sampled_ms; /**< monotonic time of the last sample */
} LimpetTargetLatency;

/** Load that a target reported in its last response. */
typedef struct
{
  LimpetMs at_ms;   /**< monotonic; 0 before the first report */
  int32_t inflight; /**< requests in flight on the target */
} LimpetTargetReport;

/** Number of sends and ends of calls that are remembered for each target. */
#define LIMPET_OWN_EVENTS 8

/** A call of this router that was sent to a target, or that ended. */
typedef struct
{
  LimpetMs at_ms; /**< monotonic; 0 if there was none */
  int8_t change;  /**< of the calls in flight: 1 or -1 */
} LimpetOwnEvent;

/** The last calls of this router, which a report of some time ago did not count. */
typedef struct
{
  LimpetOwnEvent events[LIMPET_OWN_EVENTS]; /**< a ring */
  uint32_t next;
} LimpetOwnHistory;

/** Requests per second that a target takes from all routers together. */
typedef struct
{
  bool is_set;
  double per_s;
  LimpetMs at_ms;   /**< monotonic time of the response that named it, or that did not */
  double own_per_s; /**< this router's part; 0 if there is no limit */
  /** Requests per second that it gets although its limit is lower, so that the service is
   *  known to take requests again; 0 if other targets of the service take some. */
  double min_per_s;
  /** For an engine: its part of the contexts, relative to an engine without a limit. */
  double weight;
  double max_inflight; /**< for an engine: most requests that it may hold */
} LimpetTargetRateLimit;

/** One target. The VM fields never change; atomic fields may be accessed from any thread.
 *  Times are monotonic. */
typedef struct
{
  LimpetVm vm;
  uint32_t id_hash;    /**< of the VM id and its incarnation */
  uint32_t route_hash; /**< of the VM id alone, so that a restarted VM keeps its chats */
  uint32_t software_hash; /**< of the VM's software version; never 0 */
  uint32_t group_hash;    /**< of the name of its model or plain service */
  struct urcu_ref references;
  _Atomic int32_t own_inflight; /**< requests in flight from this router */
  _Atomic int32_t own_long;     /**< long requests among own_inflight */
  /** Requests in flight from the other routers, according to their digests. */
  _Atomic int32_t peers_inflight;
  _Atomic int32_t peers_long;        /**< long requests among peers_inflight */
  _Atomic int32_t reported_inflight; /**< in the last polled load report; -1 if none */
  _Atomic bool leaving; /**< takes no new requests; permanent for the incarnation */
  /** Gets no request before this time, because it refused one as full. */
  _Atomic LimpetMs full_until_ms;
  /** Gets no request before this time, because it asked for rest, or is brittle and had
   * to turn a request away. */
  _Atomic LimpetMs rest_until_ms;
  /** Gets no request before this time, because an exchange failed. */
  _Atomic LimpetMs failed_until_ms;
  /** Gets no request before this time, because of its rate limit. */
  _Atomic LimpetMs next_send_ms;
  /** Bears few requests until this time, as it has started or may have; 0 if it never
   *  did while this router knew it. */
  _Atomic LimpetMs cold_until_ms;
  /** Gets no request of this router before this time, because it is cold. */
  _Atomic LimpetMs cold_next_send_ms;
  _Atomic bool is_emptied;         /**< its zone is to get no requests at present */
  _Atomic int32_t failures;        /**< consecutive failed exchanges */
  _Atomic LimpetMs unreachable_ms; /**< last failed connect; 0 if there was none */
  _Atomic LimpetMs responded_ms;   /**< last response; 0 if there was none */
  /** The registry removed the target, which had not been announced as leaving. */
  _Atomic bool has_vanished;
  /** The target has started again without having been announced as leaving. */
  _Atomic bool has_restarted;
  /** Weight out of LIMPET_WEIGHT_FULL, from this router's latency samples. */
  _Atomic int32_t own_weight;
  _Atomic int32_t peers_weight; /**< lowest weight in the digests of other routers */
  _Atomic LimpetMs peers_weight_until_ms; /**< peers_weight expires then; monotonic */
  _Atomic LimpetMs slow_start_ms;     /**< start of the slow start; 0 if there is none */
  _Atomic double group_median_gap_ms; /**< median gap_ms of its group; 0 if unknown */
  pthread_mutex_t lock;
  LimpetTargetLatency latency;
  void *pool;                     /**< idle connections of the exchange that uses it */
  void (*free_pool) (void *pool); /**< frees the pool with the target; NULL if none */
  /** Moving average, over some seconds, of the target's time between events relative to
   *  the median of its group; 0 before the first sample. Used by the dispatcher's thread
   *  only, as are is_slow and report. */
  double gap_ratio;
  bool is_slow; /**< marked as an outlier because of its gap ratio */
  LimpetTargetReport report;
  /** Used by the dispatcher's thread only, as are the next three. */
  LimpetOwnHistory own_history;
  int32_t reported_peers;     /**< the calls of other routers in the last report */
  double group_mean_inflight; /**< for its slots, by the last reports of its group */
  double usual_deviation;     /**< of its reports from that, a moving average */
  /** When bytes last arrived on this router's own connections to it; 0 before that. Used
   *  by the exchange's thread only. */
  LimpetMs heard_ms;
  /** It falls over if it turns more than max_refusals_per_s away. Used by the
   *  dispatcher's thread only, as are the fields up to slot_share_version. */
  bool is_brittle;
  double max_refusals_per_s;
  LimpetMs joined_ms;      /**< when this router learned of its start */
  LimpetMs brittle_ms;     /**< since when it has counted as brittle */
  LimpetMs not_brittle_ms; /**< last response that did not say so; 0 for none */
  bool has_slot_share;     /**< this router may have slot_share calls in flight at it */
  int32_t slot_share;
  uint32_t slot_share_version;      /**< 0 before slot_share was set */
  LimpetTargetRateLimit rate_limit; /**< used by the dispatcher's thread only */
  /** Requests per second that it may get from this router, as it is cold; 0 if it is not
   *  or if it gets none. Used by the dispatcher's thread only. */
  double cold_own_per_s;
} LimpetTarget;

/** An immutable list of all targets, ordered by id. */
typedef struct
{
  struct urcu_ref references;
  LimpetTarget **targets;
  uint32_t count;
  uint32_t fingerprint; /**< hash of all id_hash values in order */
} LimpetTargetView;

typedef struct LimpetTargets LimpetTargets;

/** Returns an empty set of targets. */
LimpetTargets *limpet_targets_new (void);
/** Frees the set; no request may be running. */
void limpet_targets_delete (LimpetTargets *targets);

/** Replaces the view by one of the targets in a VM list. A target whose incarnation has
 *  not changed is kept with its state; a target that the list lacks is marked as leaving.
 *  That holds for the last one as well: whether a list can be believed is up to the
 *  caller. Call it from one thread only. */
void limpet_targets_update (LimpetTargets *targets, const LimpetVmList *list);

/** Sets whether the targets of a zone, also those that join later, are to get no
 * requests. Call it from the thread that updates the list. */
void
limpet_targets_set_zone_emptied (LimpetTargets *targets, const char *zone, bool emptied);
/** Returns the newest view; release it with limpet_target_view_release(). Thread-safe. */
LimpetTargetView *limpet_targets_snapshot (LimpetTargets *targets);
void limpet_target_view_release (LimpetTargetView *view);

/** Adds or drops a reference to one target. */
void limpet_target_ref (LimpetTarget *target);
void limpet_target_unref (LimpetTarget *target);

/** Returns the target with this LimpetTarget.id_hash, or NULL. The view holds the
 *  reference. */
LimpetTarget *limpet_target_view_find (const LimpetTargetView *view, uint32_t id_hash);

/** Returns the target of the newest view with this LimpetTarget.id_hash, with a reference
 *  for the caller, or NULL. */
LimpetTarget *limpet_targets_find (LimpetTargets *targets, uint32_t id_hash);

/** Returns the requests in flight on \p target from this and the other known routers. */
int32_t limpet_target_inflight (const LimpetTarget *target);
int32_t limpet_target_long_inflight (const LimpetTarget *target);

/** Returns the weight of the target, out of LIMPET_WEIGHT_FULL, at \p now_ms (monotonic
 *  clock). It is the lowest of three weights: from this router's latency samples, from
 *  the digests of other routers, and from the slow start. */
int32_t limpet_target_weight (const LimpetTarget *target, LimpetMs now_ms);

/** Returns whether the target may get new requests at \p now_ms (monotonic clock). */
bool limpet_target_is_open (const LimpetTarget *target, LimpetMs now_ms);

/** Returns whether the target has asked for rest beyond \p now_ms (monotonic clock). */
bool limpet_target_is_resting (const LimpetTarget *target, LimpetMs now_ms);

/** Returns whether the target may get requests at some time in its incarnation and its
 *  zone at present. */
bool limpet_target_is_usable (const LimpetTarget *target);

/** Returns whether the target is cold at \p now_ms (monotonic clock). */
bool limpet_target_is_cold (const LimpetTarget *target, LimpetMs now_ms);
/** Lets the target count as cold until \p until_ms (monotonic clock) at least. */
void limpet_target_extend_cold (LimpetTarget *target, LimpetMs until_ms);

/** Returns whether the target must not get a request at \p now_ms (monotonic clock)
 *  because of its rate limit or because it is cold. */
bool limpet_target_is_paced (const LimpetTarget *target, LimpetMs now_ms);

/** Marks the target as leaving for the rest of its incarnation. \p source is logged as
 *  the origin of the report. */
void limpet_target_mark_leaving (LimpetTarget *target, const char *source);

/** Records a sample of the time to the first token, in ms. */
void limpet_target_record_first_token_ms (LimpetTarget *target, double first_ms);
/** Records a sample of the time between tokens, in ms. */
void limpet_target_record_token_gap_ms (LimpetTarget *target, double gap_ms);
/** Records that the next token has not arrived after \p waited_ms, and raises the average
 *  time between tokens to at least that. */
void limpet_target_record_pending_gap_ms (LimpetTarget *target, double waited_ms);
/** Returns the moving average of the time between tokens, in ms; 0 without samples. */
double limpet_target_token_gap_ms (LimpetTarget *target);
/** Records the result of an exchange. After a failure the target gets no requests for
 *  200 ms, doubled with each consecutive failure up to 5 s. */
void limpet_target_record_result (LimpetTarget *target, LimpetStatus status);

/** Detects outliers: compares the time between tokens of each engine with the median of
 *  its group and adjusts its weight by one step. Returns whether any target became slow.
 *  Call it every LIMPET_HEALTH_PERIOD_MS; \p now_ms is monotonic. */
bool limpet_health_tick (LimpetTargetView *view,
                         const LimpetFleetPart *fleet,
                         LimpetMs now_ms);

#define LIMPET_HEALTH_PERIOD_MS 50

#endif
