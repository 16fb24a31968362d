#ifndef LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H
#define LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H

#include "limpetroad/settings.h"
#include "private/claim_shard.h"
#include "private/controller.h"
#include "private/peer_controller.h"

/* Ensures that a request with an idempotency key runs at most once: an attempt must win
 * the claim on the key in the log before it may run. Keys are divided into shards.
 * One router, the owner, reads and writes a shard for all routers; it is chosen by
 * rendezvous hashing among the live routers. Two routers that act as owner at the same
 * time cause more appends and reads but no wrong decision, because a claim is decided by
 * the order of the records in the log alone. */
typedef struct LimpetClaimController LimpetClaimController;

/* Decision on a claim. */
typedef struct
{
  LimpetClaimResult result;
  int64_t offset;    /* of the winning claim in the log */
  bool same_request; /* the winning claim is for the same request */
  bool has_outcome;
  LimpetClaimOutcome outcome; /* valid if has_outcome */
} LimpetClaimDecision;

LimpetClaimController *limpet_claim_controller_new (const LimpetSettings *settings,
                                                    LimpetPeerController *peers);

/* Claims a key for an attempt and waits for the decision until deadline_ms (monotonic).
 * After TIMEOUT the claim is undecided, and the attempt must not run. On success the
 * caller frees decision->outcome.body. */
LimpetStatus limpet_claim_controller_claim (LimpetClaimController *controller,
                                            const LimpetClaimEntry *entry,
                                            LimpetMs deadline_ms,
                                            LimpetClaimDecision *decision,
                                            LimpetError *error);

/* Records an outcome in the log. Returns at once; a thread resends the outcome until it
 * is in the log or a time limit has passed. If too many outcomes are unrecorded, the
 * outcome is sent once and not resent. */
void limpet_claim_controller_record_outcome (LimpetClaimController *controller,
                                             const LimpetOutcomeEntry *entry);

/* Returns the number of outcomes not yet known to be in the log. */
uint32_t limpet_claim_controller_unrecorded_count (LimpetClaimController *controller);

#endif
