#ifndef LIMPETROAD_RETRY_BUCKET_H
#define LIMPETROAD_RETRY_BUCKET_H

#include <stdbool.h>
#include <stdint.h>

/** \defgroup retry_bucket Retry bucket
 *  Token bucket that limits retries and hedges to a percentage of the first attempts.
 *  It starts full, and gets a free attempt every few seconds for routers with few
 *  requests.
 *
 *  limpet_retry_bucket_new() → limpet_retry_bucket_add() with each first attempt,
 *  limpet_retry_bucket_try_take() before each retry or hedge →
 *  limpet_retry_bucket_delete(). Each router limits its own attempts, so the percentage
 *  also holds for the fleet. Thread-safe.
 */
typedef struct LimpetRetryBucket LimpetRetryBucket;

LimpetRetryBucket *limpet_retry_bucket_new (void);
void limpet_retry_bucket_delete (LimpetRetryBucket *bucket);

/** Adds \p percent hundredths of an attempt. */
void limpet_retry_bucket_add (LimpetRetryBucket *bucket, int64_t percent);

/** Takes one attempt out of the bucket; returns false if less than one is left. */
bool limpet_retry_bucket_try_take (LimpetRetryBucket *bucket);

#endif
