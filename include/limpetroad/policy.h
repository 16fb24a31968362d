#ifndef LIMPETROAD_POLICY_H
#define LIMPETROAD_POLICY_H

#include "limpetroad/bundle.h"
#include "limpetroad/targets.h"

/** \defgroup policy Routing policy
 *  Chooses the target of a request.
 *
 *  limpet_policy_by_name() → limpet_policy_choose(). Policies have no state of their own,
 *  so they are shared by all threads. \p now_ms is always monotonic.
 */

/** Most targets that a request can exclude. */
#define LIMPET_MAX_EXCLUDED_TARGETS 6

/** The properties of a request from which a policy chooses its target. */
typedef struct
{
  const char *group; /**< name of the model or plain service */
  LimpetVmKind kind;
  uint64_t key_hash; /**< affinity key: hash of team and chat, or the context */
  uint64_t seed;     /**< differs between requests of one chat */
  bool is_long;
  int64_t usable_slots_percent; /**< percentage of an engine's slots that may be filled */
  double own_slot_share;        /**< fraction of those slots that this router may fill */
  uint64_t slot_rounding_salt; /**< differs between routers; decides how own_slot_share is
                                  rounded */
  double load_limit; /**< "homes": highest load of an engine, as a multiple of the mean */
  double key_rate_per_s; /**< estimated calls of the key per second in the whole
                            fleet; 0 if rare */
  /** "homes": the tokens that another target would have to read again, relative to the
   *  mean of the service's calls; 0 if unknown. */
  double reread_ratio;
  /** "homes": if no home has room, the least loaded of a sample is chosen, one in so many
   *  targets; 0 or 1 for all. */
  uint32_t sample_interval;
  bool ignore_backoff;    /**< callers leave it false; set in a copy by
                             limpet_policy_choose() */
  uint32_t software_hash; /**< only targets with this one are considered; 0 for any */
  const LimpetFleetPart *fleet;
  const LimpetTarget
      *excluded[LIMPET_MAX_EXCLUDED_TARGETS]; /**< targets of earlier attempts */
  uint32_t excluded_count;
} LimpetPolicyRequest;

typedef struct LimpetPolicy LimpetPolicy;

typedef struct
{
  const char *name;
  /** Returns a target that may get the request, or NULL if none may. */
  LimpetTarget *(*choose) (const LimpetPolicy *policy,
                           const LimpetPolicyRequest *request,
                           const LimpetTargetView *view,
                           LimpetMs now_ms);
} LimpetPolicyOps;

struct LimpetPolicy
{
  const LimpetPolicyOps *ops;
};

/** Returns the policy "homes", "bounded", "rendezvous", "least_loaded" or "random"; NULL
 *  for any other name. */
const LimpetPolicy *limpet_policy_by_name (const char *name);

/** Returns the target that the policy chooses, or NULL if none may get the request. The
 *  target stays valid as long as \p view; no reference is added. Targets that failed or
 *  were full shortly before are in backoff. They are considered only if every target of
 *  the group that is not leaving is in backoff. */
LimpetTarget *limpet_policy_choose (const LimpetPolicy *policy,
                                    const LimpetPolicyRequest *request,
                                    const LimpetTargetView *view,
                                    LimpetMs now_ms);

/** Returns whether the load of \p target is close to the load bound of the policy
 *  "bounded", so that the other routers need a new load report soon. */
bool limpet_policy_is_near_bound (const LimpetPolicyRequest *request,
                                  const LimpetTargetView *view,
                                  const LimpetTarget *target,
                                  LimpetMs now_ms);

/** Returns the rendezvous score of a target for a key, weighted by the target's slots
 *  (highest random weight; Thaler and Ravishankar 1998, weights by the logarithm method).
 */
double limpet_policy_rendezvous_score (const LimpetTarget *target, uint64_t key_hash);

#endif
