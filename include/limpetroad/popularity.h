#ifndef LIMPETROAD_POPULARITY_H
#define LIMPETROAD_POPULARITY_H

#include "limpetroad/clock.h"

#include <stdint.h>

/** \defgroup popularity Popularity
 *  Estimates the rate of calls of each context at this router.
 *
 *  limpet_popularity_new() → limpet_popularity_record() with each call →
 *  limpet_popularity_rate() → limpet_popularity_delete(). The table has a fixed size. If
 *  two contexts map to the same entry, the first one keeps it until its count has
 *  decayed below 1; until then the rate of the other is 0. \p now_ms is monotonic. Not
 *  thread-safe.
 */
typedef struct LimpetPopularity LimpetPopularity;

LimpetPopularity *limpet_popularity_new (void);
void limpet_popularity_delete (LimpetPopularity *popularity);

/** Counts a call of the context. */
void limpet_popularity_record (LimpetPopularity *popularity,
                               uint64_t context,
                               LimpetMs now_ms);

/** Returns the recent calls per second of the context. The newest call is not counted, so
 *  that the rate is 0 after a single call. */
double limpet_popularity_rate (const LimpetPopularity *popularity,
                               uint64_t context,
                               LimpetMs now_ms);

#endif
