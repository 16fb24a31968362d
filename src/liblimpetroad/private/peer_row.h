#ifndef LIMPETROAD_PRIVATE_PEER_ROW_H
#define LIMPETROAD_PRIVATE_PEER_ROW_H

#include "limpetroad/targets.h"
#include "knowledge/peer.pb-c.h"

/* What a peer said of one target. */
typedef struct
{
  uint32_t id_hash;
  uint8_t inflight;
  uint8_t long_inflight;
  int32_t weight;
} LimpetPeerCount;

/* The last digest of one peer, unpacked. Zeroed is empty; release with
 * limpet_row_clear(). */
typedef struct
{
  uint32_t fingerprint; /* 0 if the counts carry ids */
  LimpetPeerCount *counts;
  uint32_t count;
} LimpetPeerCounts;

/* Packs the state of the targets into a digest whose arrays are borrowed from buffers.
 * With with_ids the list of targets goes along. */
typedef struct
{
  uint8_t counts[LIMPET_MAX_TARGETS];
  uint8_t long_counts[LIMPET_MAX_TARGETS];
  uint32_t ids[LIMPET_MAX_TARGETS];
  uint32_t leaving[LIMPET_MAX_TARGETS];
  uint32_t slow_ids[LIMPET_MAX_TARGETS];
  uint8_t slow_weights[LIMPET_MAX_TARGETS];
} LimpetRowBuffers;

/* Packs the state of the targets into a row whose arrays are borrowed from buffers. With
 * with_ids the list of targets goes along. */
void limpet_row_pack (Limpet__Row *row,
                      const LimpetTargetView *view,
                      bool with_ids,
                      LimpetRowBuffers *buffers);

/* Takes the counts out of a digest. Without ids they are those of view, and are dropped
 * if its fingerprint differs. Returns false for a digest whose arrays do not fit
 * together. */
bool limpet_row_unpack (const Limpet__Row *row,
                        const LimpetTargetView *view,
                        LimpetPeerCounts *counts);
void limpet_row_clear (LimpetPeerCounts *counts);

/* Marks the targets that the row names as leaving. */
void limpet_row_mark_leaving (const Limpet__Row *row, const LimpetTargetView *view);

/* Sets what the peers have in flight on each target, and their lowest weight, to the sums
 * over counts[0..count). */
void limpet_row_sum (const LimpetTargetView *view,
                     const LimpetPeerCounts *const *counts,
                     uint32_t count,
                     LimpetMs weight_until_ms);

#endif
