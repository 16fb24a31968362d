#ifndef LIMPETROAD_PRIVATE_CLAIM_INDEX_H
#define LIMPETROAD_PRIVATE_CLAIM_INDEX_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* Who may run an order: the fold of the claim records of one shard, in order of offset.
 *
 * The first claim of a key wins. Only its attempt may run, once. An outcome "not run" of
 * the winning attempt is its promise never to run, so it frees the key for a later claim;
 * claims of an attempt that made this promise are void, also when they come after it. */
typedef struct LimpetClaimIndex LimpetClaimIndex;

/* A key or an attempt id, in binary. */
typedef struct
{
  uint8_t bytes[LIMPET_KEY_BYTES];
} LimpetClaimId;

/* The answer of the run, kept for repeats. */
typedef struct
{
  LimpetOutcome outcome;
  int32_t code;
  char content_type[LIMPET_NAME_SIZE];
  char *body; /* NULL if it was not kept */
} LimpetClaimOutcome;

typedef struct
{
  LimpetClaimId key;
  LimpetClaimId attempt;
  uint64_t request_hash;
  int64_t offset;
  LimpetMs time_ms; /* at which the log took it */
  bool has_outcome;
  LimpetClaimOutcome outcome;
} LimpetClaim;

LimpetClaimIndex *limpet_claim_index_new (void);
void limpet_claim_index_delete (LimpetClaimIndex *index);

/* Applies a claim; returns whether it is the winning one of its key. */
bool limpet_claim_index_add (LimpetClaimIndex *index, const LimpetClaim *claim);

/* Applies an outcome; one of an attempt that is not the winner only makes its claims
 * void. */
void limpet_claim_index_end (LimpetClaimIndex *index,
                             const LimpetClaimId *key,
                             const LimpetClaimId *attempt,
                             const LimpetClaimOutcome *outcome,
                             LimpetMs time_ms);

/* Returns the winning claim of a key, or NULL. */
const LimpetClaim *limpet_claim_index_find (const LimpetClaimIndex *index,
                                            const LimpetClaimId *key);

/* Returns whether the attempt promised never to run. */
bool limpet_claim_index_is_void (const LimpetClaimIndex *index,
                                 const LimpetClaimId *attempt);

/* Forgets what the log took before oldest_ms. */
void limpet_claim_index_expire (LimpetClaimIndex *index, LimpetMs oldest_ms);

uint32_t limpet_claim_index_size (const LimpetClaimIndex *index);

bool limpet_claim_id_equal (const LimpetClaimId *a, const LimpetClaimId *b);
/* The same for GLib's hash tables. */
guint limpet_claim_id_hash (gconstpointer id);
gboolean limpet_claim_ids_match (gconstpointer a, gconstpointer b);
bool limpet_claim_id_from_hex (LimpetClaimId *id, const char *hex);
void limpet_claim_id_to_hex (const LimpetClaimId *id, char hex[2 * LIMPET_KEY_BYTES + 1]);

#endif
