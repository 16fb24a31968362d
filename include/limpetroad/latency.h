#ifndef LIMPETROAD_LATENCY_H
#define LIMPETROAD_LATENCY_H

#include <stdint.h>

/** \defgroup latency Latency
 *  A histogram of recent durations, in which older samples lose weight.
 *
 *  limpet_latency_new() → limpet_latency_add() → limpet_latency_quantile() →
 *  limpet_latency_delete(). The bucket width grows by a constant factor, so quantiles are
 *  accurate to about 10 %. Thread-safe.
 */
typedef struct LimpetLatency LimpetLatency;

LimpetLatency *limpet_latency_new (void);
void limpet_latency_delete (LimpetLatency *latency);

void limpet_latency_add (LimpetLatency *latency, double duration_ms);

/** Returns the quantile \p q in [0, 1], in ms, or \p default_ms if there are too few
 *  samples. */
double limpet_latency_quantile (LimpetLatency *latency, double q, double default_ms);

#endif
