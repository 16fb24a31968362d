#ifndef LIMPETROAD_HISTOGRAM_H
#define LIMPETROAD_HISTOGRAM_H

#include "limpetroad/clock.h"

#include <glib.h>
#include <stdint.h>

/** \defgroup histogram Histogram
 *  Counts durations in fixed ranges, for the text exposition of Prometheus.
 *
 *  A zeroed histogram is ready: observe → render. It belongs to one thread.
 */

#define LIMPET_HISTOGRAM_BUCKETS 12

typedef struct
{
  uint64_t counts[LIMPET_HISTOGRAM_BUCKETS + 1]; /**< the last one has no upper end */
  uint64_t total;
  int64_t sum_ms;
} LimpetHistogram;

void limpet_histogram_observe (LimpetHistogram *histogram, LimpetMs duration_ms);

/** Appends the lines of \p name; \p labels are inserted as they are. */
void limpet_histogram_render (const LimpetHistogram *histogram,
                              const char *name,
                              const char *labels,
                              GString *out);

#endif
