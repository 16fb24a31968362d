#ifndef LIMPETROAD_PRIVATE_CLAIM_SHARD_H
#define LIMPETROAD_PRIVATE_CLAIM_SHARD_H

#include "private/claim_record.h"

#include <json-c/json.h>

/* One shard of the claims: reads its stream of the log, and appends claims and outcomes
 * to it in batches. A decision is made only by reading a claim back from the log. */
typedef struct LimpetClaimShard LimpetClaimShard;

typedef enum
{
  LIMPET_CLAIM_WON = 0, /* this attempt may run */
  LIMPET_CLAIM_LOST,    /* another attempt of the key won */
  LIMPET_CLAIM_EXPIRED, /* the log does not reach back far enough for this key */
  LIMPET_CLAIM_RESULT_COUNT
} LimpetClaimResult;

extern const char *const limpet_claim_result_string[LIMPET_CLAIM_RESULT_COUNT];

/* Called without locks held. claim is the winning one, or NULL if EXPIRED. */
typedef struct
{
  void (*decided) (void *user,
                   const LimpetClaimEntry *entry,
                   LimpetClaimResult result,
                   const LimpetClaim *claim);
  void (*reported) (void *user, const LimpetClaimId *key, const LimpetClaimId *attempt);
  void *user;
} LimpetClaimShardObserver;

LimpetClaimShard *limpet_claim_shard_new (const char *log_url,
                                          uint32_t number,
                                          LimpetMs retention_ms,
                                          const LimpetClaimShardObserver *observer);
void limpet_claim_shard_stop (LimpetClaimShard *shard);
void limpet_claim_shard_delete (LimpetClaimShard *shard);

/* Asks for the decision on a claim. Asking again for the same attempt is harmless. */
void limpet_claim_shard_submit (LimpetClaimShard *shard, const LimpetClaimEntry *entry);

/* Records an outcome; the body is copied. */
void limpet_claim_shard_report (LimpetClaimShard *shard, const LimpetOutcomeEntry *entry);

/* Called now and then by the owner: keeps the shard read, and a record in its stream by
 * which a later reader can tell expired records from lost ones. */
void limpet_claim_shard_keep (LimpetClaimShard *shard);

void limpet_claim_shard_dump (LimpetClaimShard *shard, json_object *array);

#endif
