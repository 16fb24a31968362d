#ifndef LIMPETROAD_PRIVATE_ROUTER_STATE_H
#define LIMPETROAD_PRIVATE_ROUTER_STATE_H

#include "limpetroad/targets.h"
#include "cluster_state/peer.pb-c.h"

/* Requests in flight and weight of one target, as one peer reported them. */
typedef struct
{
  uint32_t id_hash;
  uint8_t inflight;
  uint8_t long_inflight;
  int32_t weight;
} LimpetPeerLoad;

/* The target loads from the last state of one peer. Empty if zeroed; the memory is freed
 * with limpet_router_state_clear(). */
typedef struct
{
  uint32_t fingerprint; /* of the target list; 0 if the state contained the target ids */
  LimpetPeerLoad *loads;
  uint32_t count;
} LimpetPeerLoads;

/* Memory for the arrays of a router state that limpet_router_state_pack() fills. */
typedef struct
{
  uint8_t counts[LIMPET_MAX_TARGETS];
  uint8_t long_counts[LIMPET_MAX_TARGETS];
  uint32_t ids[LIMPET_MAX_TARGETS];
  uint32_t leaving[LIMPET_MAX_TARGETS];
  uint32_t slow_ids[LIMPET_MAX_TARGETS];
  uint8_t slow_weights[LIMPET_MAX_TARGETS];
} LimpetRouterStateBuffers;

/* Sets the fields of state that describe the targets. Its arrays point into buffers,
 * which have to outlive it. If with_ids is set, it contains the ids of the targets. */
void limpet_router_state_pack (Limpet__RouterState *state,
                               const LimpetTargetView *view,
                               bool with_ids,
                               LimpetRouterStateBuffers *buffers);

/* Replaces *loads by those of a received state. A state without target ids uses the
 * target list of view; it is ignored, and *loads stay, if its fingerprint differs from
 * that of view. Returns false for a malformed state, whose arrays have inconsistent
 * lengths. */
bool limpet_router_state_unpack (const Limpet__RouterState *state,
                                 const LimpetTargetView *view,
                                 LimpetPeerLoads *loads);
void limpet_router_state_clear (LimpetPeerLoads *loads);

/* Marks the targets of view that are leaving according to state. */
void limpet_router_state_mark_leaving (const Limpet__RouterState *state,
                                       const LimpetTargetView *view);

/* Sets the peers' requests in flight on each target to the sums over loads[0..count),
 * and the peers' weight of the target to the lowest one, valid until weight_until_ms. */
void limpet_router_state_sum (const LimpetTargetView *view,
                              const LimpetPeerLoads *const *loads,
                              uint32_t count,
                              LimpetMs weight_until_ms);

#endif
