#ifndef LIMPETROAD_PRIVATE_CLAIM_SHARD_H
#define LIMPETROAD_PRIVATE_CLAIM_SHARD_H

#include "private/claim_record.h"

#include <json-c/json.h>

/* One shard of the claims. Reads its stream of the log, and appends claims and outcomes
 * to it in batches. A claim is decided only when it is read back from the log, because
 * the response to an append does not show which claim of the key comes first. */
typedef struct LimpetClaimShard LimpetClaimShard;

typedef enum
{
  LIMPET_CLAIM_WON = 0, /* this attempt may run */
  LIMPET_CLAIM_LOST,    /* another attempt of the key won */
  LIMPET_CLAIM_EXPIRED, /* an earlier claim of the key may have been lost from the log */
  LIMPET_CLAIM_RESULT_COUNT
} LimpetClaimResult;

extern const char *const limpet_claim_result_string[LIMPET_CLAIM_RESULT_COUNT];

/* Callbacks, called without the lock of the shard. claim is the winning claim, or NULL if
 * result is EXPIRED; it is valid only during the call. */
typedef struct
{
  void (*claim_decided) (void *user,
                         const LimpetClaimEntry *entry,
                         LimpetClaimResult result,
                         const LimpetClaim *claim);
  void (*outcome_recorded) (void *user,
                            const LimpetClaimId *key,
                            const LimpetClaimId *attempt);
  void *user;
} LimpetClaimShardObserver;

/* Starts the threads that read and append. The observer is copied. Call
 * limpet_claim_shard_stop() before limpet_claim_shard_delete(). */
LimpetClaimShard *limpet_claim_shard_new (const char *log_url,
                                          uint32_t number,
                                          LimpetMs retention_ms,
                                          const LimpetClaimShardObserver *observer);
void limpet_claim_shard_stop (LimpetClaimShard *shard);
void limpet_claim_shard_delete (LimpetClaimShard *shard);

/* Submits a claim. claim_decided is called with the decision, possibly before this
 * function returns. An undecided claim is dropped after some time unless it is submitted
 * again. */
void limpet_claim_shard_submit (LimpetClaimShard *shard, const LimpetClaimEntry *entry);

/* Appends an outcome; outcome_recorded is called when it is read back. The body is
 * copied. An outcome that is not read back is dropped after some time unless it is
 * submitted again. */
void limpet_claim_shard_record_outcome (LimpetClaimShard *shard,
                                        const LimpetOutcomeEntry *entry);

/* Must be called regularly by the router that owns the shard. Keeps the shard reading its
 * stream, and appends an empty record if the stream has had no record for a quarter of
 * the retention time. The empty record shows a later reader whether older records expired
 * or were lost. */
void limpet_claim_shard_maintain (LimpetClaimShard *shard);

/* Adds the state of the shard to array if the shard is active. */
void limpet_claim_shard_dump (LimpetClaimShard *shard, json_object *array);

#endif
