#include "limpetroad/histogram.h"

/* Upper bounds of the buckets, from the duration of a network hop within an availability
 * zone to the longest deadlines of callers. */
static const LimpetMs bucket_bounds_ms[LIMPET_HISTOGRAM_BUCKETS]
    = { 5, 10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400, 12800 };

void
limpet_histogram_record (LimpetHistogram *histogram, LimpetMs duration_ms)
{
  int bucket = 0;

  while (bucket < LIMPET_HISTOGRAM_BUCKETS && duration_ms > bucket_bounds_ms[bucket])
    bucket++;
  histogram->counts[bucket]++;
  histogram->total++;
  histogram->sum_ms += duration_ms;
}

void
limpet_histogram_render (const LimpetHistogram *histogram,
                         const char *name,
                         const char *labels,
                         GString *out)
{
  uint64_t cumulative = 0;

  for (int i = 0; i < LIMPET_HISTOGRAM_BUCKETS; i++)
    {
      cumulative += histogram->counts[i];
      g_string_append_printf (out, "%s_bucket{%s,le=\"%ld\"} %lu\n", name, labels,
                              (long)bucket_bounds_ms[i], (unsigned long)cumulative);
    }
  g_string_append_printf (out, "%s_bucket{%s,le=\"+Inf\"} %lu\n", name, labels,
                          (unsigned long)histogram->total);
  g_string_append_printf (out, "%s_sum{%s} %ld\n%s_count{%s} %lu\n", name, labels,
                          (long)histogram->sum_ms, name, labels,
                          (unsigned long)histogram->total);
}
