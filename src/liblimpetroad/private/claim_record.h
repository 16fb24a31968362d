#ifndef LIMPETROAD_PRIVATE_CLAIM_RECORD_H
#define LIMPETROAD_PRIVATE_CLAIM_RECORD_H

#include "private/claim_index.h"

#include <glib.h>

/* One record of a claim stream: the claims and outcomes of many requests in a single
 * append. */

typedef struct
{
  LimpetClaimId key;
  LimpetClaimId attempt;
  uint64_t request_hash;
  LimpetMs issued_ms; /* wall-clock time stated in the idempotency key */
} LimpetClaimEntry;

typedef struct
{
  LimpetClaimId key;
  LimpetClaimId attempt;
  LimpetClaimOutcome outcome;
} LimpetOutcomeEntry;

typedef struct
{
  GArray *claims;            /* of LimpetClaimEntry */
  GArray *outcomes;          /* of LimpetOutcomeEntry */
  int64_t previous_offset;   /* of the last record that the writer had read; 0 if none */
  LimpetMs previous_time_ms; /* time at which the log appended that record */
} LimpetClaimRecord;

LimpetClaimRecord *limpet_claim_record_new (void);
void limpet_claim_record_delete (LimpetClaimRecord *record);

/* The caller frees the text with g_free(). */
char *limpet_claim_record_format (const LimpetClaimRecord *record);
/* Returns NULL if the text is not a JSON object. Skips malformed entries. */
LimpetClaimRecord *limpet_claim_record_parse (const char *text, size_t length);

#endif
