#ifndef LIMPETROAD_PRIVATE_PEER_ROW_H
#define LIMPETROAD_PRIVATE_PEER_ROW_H

#include "limpetroad/targets.h"
#include "cluster_state/peer.pb-c.h"

/* Requests in flight and weight of one target, as one peer reported them. */
typedef struct
{
  uint32_t id_hash;
  uint8_t inflight;
  uint8_t long_inflight;
  int32_t weight;
} LimpetPeerCount;

/* The target counts from the last row of one peer. Empty if zeroed; free the memory with
 * limpet_row_clear(). */
typedef struct
{
  uint32_t fingerprint; /* of the target list; 0 if the row contained the target ids */
  LimpetPeerCount *counts;
  uint32_t count;
} LimpetPeerCounts;

/* Memory for the arrays of a row that limpet_row_pack() fills. */
typedef struct
{
  uint8_t counts[LIMPET_MAX_TARGETS];
  uint8_t long_counts[LIMPET_MAX_TARGETS];
  uint32_t ids[LIMPET_MAX_TARGETS];
  uint32_t leaving[LIMPET_MAX_TARGETS];
  uint32_t slow_ids[LIMPET_MAX_TARGETS];
  uint8_t slow_weights[LIMPET_MAX_TARGETS];
} LimpetRowBuffers;

/* Packs the state of the targets into a row. Its arrays point into buffers, which have to
 * outlive the row. If with_ids is set, the row contains the ids of the targets. */
void limpet_row_pack (Limpet__Row *row,
                      const LimpetTargetView *view,
                      bool with_ids,
                      LimpetRowBuffers *buffers);

/* Replaces *counts by those of a row. A row without target ids uses the target list of
 * view; it is ignored, and *counts stay, if its fingerprint differs from that of view.
 * Returns false for a malformed row, whose arrays have inconsistent lengths. */
bool limpet_row_unpack (const Limpet__Row *row,
                        const LimpetTargetView *view,
                        LimpetPeerCounts *counts);
void limpet_row_clear (LimpetPeerCounts *counts);

/* Marks the targets that the row lists as leaving. */
void limpet_row_mark_leaving (const Limpet__Row *row, const LimpetTargetView *view);

/* Sets the peers' requests in flight on each target to the sums over counts[0..count),
 * and the peers' weight of the target to the lowest one, valid until weight_until_ms. */
void limpet_row_sum (const LimpetTargetView *view,
                     const LimpetPeerCounts *const *counts,
                     uint32_t count,
                     LimpetMs weight_until_ms);

#endif
