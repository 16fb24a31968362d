#ifndef LIMPETROAD_PRIVATE_CLAIM_INDEX_H
#define LIMPETROAD_PRIVATE_CLAIM_INDEX_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Tracks which attempt may run the request of each key. The claims and outcomes of one
 * shard are applied in order of offset.
 *
 * The first claim of a key wins. Only its attempt may run, once. The outcome NOT_RUN
 * abandons an attempt, which must never run afterwards. If it was the winner, the key is
 * free for a later claim. Claims of an abandoned attempt are ignored, because a delayed
 * or duplicated append may put a claim after the outcome. */
typedef struct LimpetClaimIndex LimpetClaimIndex;

/* The hash of an idempotency key, or an attempt id. */
typedef struct
{
  uint8_t bytes[LIMPET_CLAIM_ID_BYTES];
} LimpetClaimId;

/* Result of an attempt, kept to respond to later requests with the same key. */
typedef struct
{
  LimpetOutcome kind;
  int32_t code;
  char content_type[LIMPET_NAME_SIZE];
  char *body; /* NULL if not kept */
} LimpetClaimOutcome;

typedef struct
{
  LimpetClaimId key;
  LimpetClaimId attempt;
  uint64_t request_hash;
  int64_t offset;
  LimpetMs time_ms; /* wall-clock time of the append */
  bool has_outcome;
  LimpetClaimOutcome outcome;
} LimpetClaim;

LimpetClaimIndex *limpet_claim_index_new (void);
void limpet_claim_index_delete (LimpetClaimIndex *index);

/* Applies a claim and returns whether its attempt is the winner. */
bool limpet_claim_index_apply_claim (LimpetClaimIndex *index, const LimpetClaim *claim);

/* Applies an outcome. If the attempt is not the winner, NOT_RUN still abandons it, and
 * other outcomes have no effect. A second outcome of the winner has no effect. */
void limpet_claim_index_apply_outcome (LimpetClaimIndex *index,
                                       const LimpetClaimId *key,
                                       const LimpetClaimId *attempt,
                                       const LimpetClaimOutcome *outcome,
                                       LimpetMs time_ms);

/* Returns the winning claim of a key, or NULL. */
const LimpetClaim *limpet_claim_index_find (const LimpetClaimIndex *index,
                                            const LimpetClaimId *key);

/* Returns whether the attempt is abandoned. */
bool limpet_claim_index_is_abandoned (const LimpetClaimIndex *index,
                                      const LimpetClaimId *attempt);

/* Removes the claims and abandoned attempts that were appended before oldest_ms. */
void limpet_claim_index_expire (LimpetClaimIndex *index, LimpetMs oldest_ms);

/* Returns the number of claimed keys. */
uint32_t limpet_claim_index_size (const LimpetClaimIndex *index);

bool limpet_claim_id_equal (const LimpetClaimId *a, const LimpetClaimId *b);
/* Hash and equality functions for GLib hash tables. */
guint limpet_claim_id_hash (gconstpointer id);
gboolean limpet_claim_ids_match (gconstpointer a, gconstpointer b);
/* Returns false if hex is NULL or is not 2 * LIMPET_CLAIM_ID_BYTES hexadecimal digits. */
bool limpet_claim_id_from_hex (LimpetClaimId *id, const char *hex);
void limpet_claim_id_to_hex (const LimpetClaimId *id,
                             char hex[2 * LIMPET_CLAIM_ID_BYTES + 1]);

#endif
