#ifndef LIMPETROAD_HISTOGRAM_H
#define LIMPETROAD_HISTOGRAM_H

#include "limpetroad/clock.h"

#include <glib.h>
#include <stdint.h>

/** \defgroup histogram Histogram
 *  Counts durations in buckets with fixed bounds, for the text format of Prometheus.
 *
 *  Zero a histogram to initialize it, record durations with limpet_histogram_record(),
 *  and render it with limpet_histogram_render(). Use it from one thread only.
 */

#define LIMPET_HISTOGRAM_BUCKETS 12

typedef struct
{
  uint64_t
      counts[LIMPET_HISTOGRAM_BUCKETS + 1]; /**< the last bucket has no upper bound */
  uint64_t total;
  int64_t sum_ms;
} LimpetHistogram;

/** Records one duration. */
void limpet_histogram_record (LimpetHistogram *histogram, LimpetMs duration_ms);

/** Appends the lines of the metric \p name to \p out. \p labels is a list like
 *  a="b",c="d", which is inserted without escaping. */
void limpet_histogram_render (const LimpetHistogram *histogram,
                              const char *name,
                              const char *labels,
                              GString *out);

#endif
