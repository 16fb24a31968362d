#include "limpetroad/latency.h"

#include <glib.h>
#include <math.h>
#include <pthread.h>

#define BUCKETS 128
#define BUCKET_FACTOR 1.1
#define LEAST_MS 0.5
#define LEAST_SAMPLES 20
#define HALVE_AT_SAMPLES 2000

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
halve (LimpetLatency *latency)
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
  double position = log (MAX (duration_ms, LEAST_MS) / LEAST_MS) / log (BUCKET_FACTOR);
  int bucket = (int)MIN (position, BUCKETS - 1);

  pthread_mutex_lock (&latency->lock);
  latency->counts[bucket]++;
  latency->total++;
  if (latency->total >= HALVE_AT_SAMPLES)
    halve (latency);
  pthread_mutex_unlock (&latency->lock);
}

double
limpet_latency_quantile (LimpetLatency *latency, double q, double otherwise_ms)
{
  double result_ms = otherwise_ms;
  uint32_t seen = 0;

  pthread_mutex_lock (&latency->lock);
  for (int i = 0; i < BUCKETS && latency->total >= LEAST_SAMPLES; i++)
    {
      seen += latency->counts[i];
      if (seen >= q * latency->total)
        {
          result_ms = LEAST_MS * pow (BUCKET_FACTOR, i + 1);
          break;
        }
    }
  pthread_mutex_unlock (&latency->lock);
  return result_ms;
}
