#ifndef LIMPETROAD_LATENCY_H
#define LIMPETROAD_LATENCY_H

#include <stdint.h>

/** \defgroup latency Latency
 *  A histogram of recent durations that forgets old ones.
 *
 *  limpet_latency_new() → add from any thread → quantile → delete. Buckets grow by a
 *  constant factor, so a quantile is exact to about 10 %.
 */
typedef struct LimpetLatency LimpetLatency;

LimpetLatency *limpet_latency_new (void);
void limpet_latency_delete (LimpetLatency *latency);

/** Adds one duration, in ms. */
void limpet_latency_add (LimpetLatency *latency, double duration_ms);

/** Returns the quantile \p q in [0, 1], in ms, or \p otherwise_ms while samples are few.
 */
double limpet_latency_quantile (LimpetLatency *latency, double q, double otherwise_ms);

#endif
