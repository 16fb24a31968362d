#ifndef LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H
#define LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H

#include "limpetroad/settings.h"
#include "private/claim_shard.h"
#include "private/controller.h"
#include "private/peer_controller.h"

/* Lets requests claim their orders. Each shard has one router that reads and writes it,
 * chosen by rendezvous hashing among the live ones; correctness does not rest on that
 * choice, only the number of appends and of bytes read does. */
typedef struct LimpetClaimController LimpetClaimController;

/* What became of a claim. */
typedef struct
{
  LimpetClaimResult result;
  int64_t offset;    /* of the winning claim */
  bool same_request; /* the winner's request was the same */
  bool has_outcome;
  LimpetClaimOutcome outcome; /* the body is freed by the caller */
} LimpetClaimAnswer;

LimpetClaimController *limpet_claim_controller_new (const LimpetSettings *settings,
                                                    LimpetPeerController *peers);

/* Claims an order; waits for the decision until deadline_ms (monotonic). TIMEOUT: not
 * decided, and the attempt must not run. */
LimpetStatus limpet_claim_controller_claim (LimpetClaimController *controller,
                                            const LimpetClaimEntry *entry,
                                            LimpetMs deadline_ms,
                                            LimpetClaimAnswer *answer,
                                            LimpetError *error);

/* Records an outcome; returns at once and goes on until the log has it. */
void limpet_claim_controller_report (LimpetClaimController *controller,
                                     const LimpetOutcomeEntry *entry);

/* Returns the outcomes that the log does not have yet. */
uint32_t limpet_claim_controller_unreported (LimpetClaimController *controller);

#endif
