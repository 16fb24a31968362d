#include "limpetroad/latency.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>

#define BUCKETS 128
#define BUCKET_FACTOR 1.1
/* Lower bound of the first bucket, which also counts shorter durations. */
#define MIN_DURATION_MS 0.5
/* With fewer samples no quantile is computed. */
#define MIN_SAMPLES 20
/* At this number of samples all counts are halved, so that old samples lose weight. */
#define HALVING_SAMPLES 2000

struct LimpetLatency
{
  pthread_mutex_t lock;
  uint32_t counts[BUCKETS];
  uint32_t total;
};

LimpetLatency *
limpet_latency_new (void)
{
  LimpetLatency *latency = g_new0 (LimpetLatency, 1);

  pthread_mutex_init (&latency->lock, NULL);
  return latency;
}

void
limpet_latency_delete (LimpetLatency *latency)
{
  if (latency == NULL)
    return;
  pthread_mutex_destroy (&latency->lock);
  g_free (latency);
}

static void
halve_counts (LimpetLatency *latency)
{
  latency->total = 0;
  for (int i = 0; i < BUCKETS; i++)
    {
      latency->counts[i] /= 2;
      latency->total += latency->counts[i];
    }
}

void
limpet_latency_add (LimpetLatency *latency, double duration_ms)
{
  double position
      = log (MAX (duration_ms, MIN_DURATION_MS) / MIN_DURATION_MS) / log (BUCKET_FACTOR);
  int bucket = (int)MIN (position, BUCKETS - 1);

  pthread_mutex_lock (&latency->lock);
  latency->counts[bucket]++;
  latency->total++;
  if (latency->total >= HALVING_SAMPLES)
    halve_counts (latency);
  pthread_mutex_unlock (&latency->lock);
}

double
limpet_latency_quantile (LimpetLatency *latency, double q, double default_ms)
{
  double result_ms = default_ms;
  uint32_t seen = 0;

  pthread_mutex_lock (&latency->lock);
  for (int i = 0; i < BUCKETS && latency->total >= MIN_SAMPLES; i++)
    {
      seen += latency->counts[i];
      if (seen >= q * latency->total)
        {
          result_ms = MIN_DURATION_MS * pow (BUCKET_FACTOR, i + 1);
          break;
        }
    }
  pthread_mutex_unlock (&latency->lock);
  return result_ms;
}
