#include "bench.h"

#include <curl/curl.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#define SAMPLE_PERIOD_MS 100
#define MIN_MEAN_LOAD 2.0

static struct
{
  const BenchOptions *options;
  pthread_t thread;
  bool started;
  _Atomic bool stopping;
  BenchLoad load;
  double start_ms;
} sampler;

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  g_string_append_len (user, data, (gssize)(size * count));
  return size * count;
}

/* Returns the number of requests in flight at an engine, or 0 if it does not respond. */
static int
read_load (CURL *easy, const char *port, GString *body)
{
  char url[64];
  json_object *root;
  int inflight;

  g_snprintf (url, sizeof url, "http://127.0.0.1:%s/fake/stats", port);
  g_string_truncate (body, 0);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  if (curl_easy_perform (easy) != CURLE_OK)
    return 0;
  root = json_tokener_parse (body->str);
  inflight = json_object_get_int (json_object_object_get (root, "inflight"));
  json_object_put (root);
  return inflight;
}

static void
add_sample (const int *loads, uint32_t count)
{
  BenchLoad *load = &sampler.load;
  double sum = 0;
  double highest = 0;
  double mean;
  double excess;

  for (uint32_t i = 0; i < count; i++)
    {
      sum += loads[i];
      highest = MAX (highest, loads[i]);
    }
  mean = sum / count;
  if (mean < MIN_MEAN_LOAD)
    return;
  excess = highest - sampler.options->bound_percent / 100.0 * mean;
  load->samples++;
  load->highest_ratio = MAX (load->highest_ratio, highest / mean);
  load->highest_excess = MAX (load->highest_excess, excess);
  load->over += excess > 1;
  load->mean_ratio += (highest / mean - load->mean_ratio) / load->samples;
  load->mean_load += (mean - load->mean_load) / load->samples;
}

static void *
run (void *user)
{
  char **engines = sampler.options->engines;
  uint32_t count = g_strv_length (engines);
  int *loads = g_new0 (int, count);
  CURL *easy = curl_easy_init ();
  GString *body = g_string_new (NULL);

  (void)user;
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, body);
  curl_easy_setopt (easy, CURLOPT_MAXCONNECTS, 100L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  while (!atomic_load (&sampler.stopping))
    {
      double now_ms = bench_now_ms ();

      for (uint32_t i = 0; i < count; i++)
        loads[i] = read_load (easy, engines[i], body);
      if (now_ms - sampler.start_ms > sampler.options->warmup_s * 1000
          && now_ms - sampler.start_ms < sampler.options->seconds * 1000)
        add_sample (loads, count);
      g_usleep (SAMPLE_PERIOD_MS * 1000);
    }
  curl_easy_cleanup (easy);
  g_string_free (body, TRUE);
  g_free (loads);
  return NULL;
}

void
bench_sampler_start (const BenchOptions *options)
{
  sampler.options = options;
  sampler.start_ms = bench_now_ms ();
  if (options->engines == NULL)
    return;
  sampler.started = pthread_create (&sampler.thread, NULL, run, NULL) == 0;
}

void
bench_sampler_stop (BenchLoad *load)
{
  atomic_store (&sampler.stopping, true);
  if (sampler.started)
    pthread_join (sampler.thread, NULL);
  *load = sampler.load;
}
