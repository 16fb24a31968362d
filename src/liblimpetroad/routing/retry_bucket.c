#include "limpetroad/retry_bucket.h"

#include "limpetroad/clock.h"
#include "limpetroad/counters.h"

#include <glib.h>
#include <stdatomic.h>

/* A token is one hundredth of an attempt. */
#define TOKENS_PER_ATTEMPT 100
/* Capacity and initial content: at most ten retries in a row. */
#define MAX_TOKENS (10 * TOKENS_PER_ATTEMPT)
/* At most one free attempt is added per period, so that a router with few requests can
 * still retry. */
#define FREE_ATTEMPT_PERIOD_MS 5000

struct LimpetRetryBucket
{
  _Atomic int64_t tokens;
  _Atomic LimpetMs last_free_ms; /* when the last free attempt was added */
};

LimpetRetryBucket *
limpet_retry_bucket_new (void)
{
  LimpetRetryBucket *bucket = g_new0 (LimpetRetryBucket, 1);

  atomic_store (&bucket->tokens, MAX_TOKENS);
  return bucket;
}

void
limpet_retry_bucket_delete (LimpetRetryBucket *bucket)
{
  g_free (bucket);
}

void
limpet_retry_bucket_add (LimpetRetryBucket *bucket, int64_t percent)
{
  int64_t tokens = atomic_load (&bucket->tokens);

  while (!atomic_compare_exchange_weak (&bucket->tokens, &tokens,
                                        MIN (tokens + percent, MAX_TOKENS)))
    continue;
}

bool
limpet_retry_bucket_try_take (LimpetRetryBucket *bucket)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetMs last_free_ms = atomic_load (&bucket->last_free_ms);
  int64_t tokens;

  if (now_ms - last_free_ms >= FREE_ATTEMPT_PERIOD_MS
      && atomic_compare_exchange_strong (&bucket->last_free_ms, &last_free_ms, now_ms))
    limpet_retry_bucket_add (bucket, TOKENS_PER_ATTEMPT);
  tokens = atomic_load (&bucket->tokens);
  while (tokens >= TOKENS_PER_ATTEMPT)
    if (atomic_compare_exchange_weak (&bucket->tokens, &tokens,
                                      tokens - TOKENS_PER_ATTEMPT))
      return true;
  limpet_counter_add (LIMPET_COUNTER_BUDGET_EXHAUSTED, 1);
  return false;
}
