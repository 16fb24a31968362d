#ifndef LIMPETROAD_TARGETS_H
#define LIMPETROAD_TARGETS_H

#include "limpetroad/bundle.h"
#include "limpetroad/clock.h"
#include "limpetroad/vm_list.h"

#include <pthread.h>
#include <stdatomic.h>
#include <urcu/ref.h>

/** \defgroup targets Targets
 *  Engines and plain services that this router may send to, and what it knows of them.
 *
 *  limpet_targets_new() → limpet_targets_update() with each VM list → readers take a
 *  snapshot with limpet_targets_snapshot() and release it → limpet_targets_delete(). A
 *  target outlives the snapshots that hold it, so a request keeps its target while it
 * runs.
 */

#define LIMPET_WEIGHT_FULL 1000

/** Times seen by this router, guarded by LimpetTarget.lock. */
typedef struct
{
  double gap_ms;       /**< moving average of the time between tokens */
  double first_ms;     /**< moving average of the time to the first token */
  LimpetMs sampled_ms; /**< monotonic time of the last sample */
} LimpetTargetTimes;

/** What a target said of its load in its last answer. */
typedef struct
{
  LimpetMs at_ms; /**< monotonic; 0 before the first report */
  int32_t inflight;
} LimpetTargetReport;

/** One target. The VM fields do not change; the counts are atomic. */
typedef struct
{
  LimpetVm vm;
  uint32_t id_hash;    /**< of the VM id and its incarnation */
  uint32_t route_hash; /**< of the VM id: a restarted VM keeps its chats */
  struct urcu_ref references;
  _Atomic int32_t own_inflight;   /**< requests of this router */
  _Atomic int32_t own_long;       /**< long ones among them */
  _Atomic int32_t peers_inflight; /**< requests of the other routers, by their digests */
  _Atomic int32_t peers_long;
  _Atomic int32_t reported_inflight; /**< by the target's last load report; -1 if none */
  _Atomic bool leaving;              /**< takes no new work; lasts for the incarnation */
  _Atomic LimpetMs full_until_ms;    /**< refused as full; not asked before then */
  _Atomic LimpetMs failed_until_ms;  /**< unreachable or silent; not asked before then */
  _Atomic int32_t failures;          /**< exchanges failed in a row */
  _Atomic int32_t own_weight;        /**< out of LIMPET_WEIGHT_FULL, by own samples */
  _Atomic int32_t peers_weight;      /**< lowest weight in the peers' digests */
  _Atomic LimpetMs peers_weight_until_ms;
  _Atomic LimpetMs joined_ms; /**< start of the return in steps; 0 for a full start */
  _Atomic double
      peers_gap_ms; /**< median time between tokens of its group; 0 if unknown */
  pthread_mutex_t lock;
  LimpetTargetTimes times;
  void *pool;                     /**< idle connections of the exchange that uses it */
  void (*pool_free) (void *pool); /**< frees the pool with the target; NULL if none */
  double pace;  /**< times its peers' time between events, over seconds; 0 before */
  bool is_slow; /**< by its pace; both are the dispatcher's */
  LimpetTargetReport report; /**< owned by the thread of the dispatcher */
} LimpetTarget;

/** A view of all targets, ordered by id. */
typedef struct
{
  struct urcu_ref references;
  LimpetTarget **targets;
  uint32_t count;
  uint32_t fingerprint; /**< hash of the ids in order */
} LimpetTargetView;

typedef struct LimpetTargets LimpetTargets;

/** Returns an empty registry. */
LimpetTargets *limpet_targets_new (void);
/** Frees the registry; no request may be running. */
void limpet_targets_delete (LimpetTargets *targets);

/** Takes over a VM list. An empty list keeps the old view. Called from one thread. */
void limpet_targets_update (LimpetTargets *targets, const LimpetVmList *list);

/** Returns the newest view with a reference that limpet_target_view_release() drops. */
LimpetTargetView *limpet_targets_snapshot (LimpetTargets *targets);
void limpet_target_view_release (LimpetTargetView *view);

/** Takes and drops references to one target. */
void limpet_target_ref (LimpetTarget *target);
void limpet_target_unref (LimpetTarget *target);

/** Returns the target whose id hashes to \p id_hash, or NULL. */
LimpetTarget *limpet_target_view_find (const LimpetTargetView *view, uint32_t id_hash);

/** Returns the requests in flight on \p target, by all routers known. */
int32_t limpet_target_inflight (const LimpetTarget *target);
int32_t limpet_target_long_inflight (const LimpetTarget *target);

/** Returns the share of its turns that the target gets, out of LIMPET_WEIGHT_FULL: own
 * and peers' slow marks, and the return in steps after leaving. */
int32_t limpet_target_weight (const LimpetTarget *target, LimpetMs now_ms);

/** Returns whether the target may get new work at \p now_ms. */
bool limpet_target_is_open (const LimpetTarget *target, LimpetMs now_ms);

/** Marks the target as leaving; it stays so for this incarnation. */
void limpet_target_mark_leaving (LimpetTarget *target, const char *source);

/** Records samples of the time to the first token and between tokens, in ms. */
void limpet_target_note_first (LimpetTarget *target, double first_ms);
void limpet_target_note_gap (LimpetTarget *target, double gap_ms);
/** Records that a token has been waited for so long, in ms; the average is at least that.
 */
void limpet_target_note_overdue (LimpetTarget *target, double waited_ms);
/** Returns the moving average of the time between tokens, in ms; 0 without samples. */
double limpet_target_gap_ms (LimpetTarget *target);
/** Records how an exchange ended. After failures the target rests for growing times. */
void limpet_target_note_result (LimpetTarget *target, LimpetStatus status);

/** Compares the targets of each group with their peers and moves their weights by a step.
 *  Returns whether a target became slow. Call it every LIMPET_HEALTH_PERIOD_MS. */
bool limpet_health_tick (LimpetTargetView *view,
                         const LimpetFleetPart *fleet,
                         LimpetMs now_ms);

#define LIMPET_HEALTH_PERIOD_MS 50

#endif
