#include "bench.h"

#include <string.h>

static int
compare_doubles (const void *a, const void *b)
{
  double left = *(const double *)a;
  double right = *(const double *)b;

  return (left > right) - (left < right);
}

/* Adds quantiles and the number of the values, and frees the array. */
static void
add_quantiles (json_object *report, const char *name, GArray *values)
{
  static const struct
  {
    const char *name;
    double fraction;
  } quantiles[] = { { "p50", 0.5 }, { "p95", 0.95 }, { "p99", 0.99 } };
  json_object *object = json_object_new_object ();

  qsort (values->data, values->len, sizeof (double), compare_doubles);
  for (size_t i = 0; i < G_N_ELEMENTS (quantiles) && values->len > 0; i++)
    {
      guint index = (guint)(quantiles[i].fraction * (values->len - 1) + 0.5);

      json_object_object_add (
          object, quantiles[i].name,
          json_object_new_double (g_array_index (values, double, index)));
    }
  json_object_object_add (object, "count", json_object_new_int ((int)values->len));
  json_object_object_add (report, name, object);
  g_array_free (values, TRUE);
}

typedef bool (*ResultFilter) (const BenchResult *result);

static bool
is_short_done (const BenchResult *result)
{
  return result->is_complete && !result->is_long;
}

static bool
is_long_done (const BenchResult *result)
{
  return result->is_complete && result->is_long;
}

static bool
is_refused (const BenchResult *result)
{
  return strcmp (result->outcome, "not_run") == 0;
}

static double
get_first_ms (const BenchResult *result)
{
  return result->first_ms;
}

static double
get_total_ms (const BenchResult *result)
{
  return result->total_ms;
}

static double
get_gap_ms (const BenchResult *result)
{
  return result->gap_ms;
}

/* Returns the values of the results that filter() accepts, without the warm-up time. */
static GArray *
collect (const BenchOptions *options,
         const GArray *results,
         ResultFilter filter,
         double (*value_of) (const BenchResult *result))
{
  GArray *values = g_array_new (FALSE, FALSE, sizeof (double));

  for (guint i = 0; i < results->len; i++)
    {
      const BenchResult *result = &g_array_index (results, BenchResult, i);
      double value = value_of (result);

      if (result->sent_s >= options->warmup_s && filter (result))
        g_array_append_val (values, value);
    }
  return values;
}

static void
add_count (json_object *report, const char *name, uint32_t count)
{
  json_object_object_add (report, name, json_object_new_int64 (count));
}

static void
add_counts (json_object *report, const BenchOptions *options, const GArray *results)
{
  uint32_t sent = 0, done = 0, refused = 0, unknown = 0, failed = 0, cut = 0, wrong = 0;
  uint32_t returning = 0, cache_hits = 0, in_deadline = 0, late = 0,
           without_retry_after = 0;

  for (guint i = 0; i < results->len; i++)
    {
      const BenchResult *result = &g_array_index (results, BenchResult, i);

      if (result->sent_s < options->warmup_s)
        continue;
      sent++;
      done += result->is_complete;
      refused += is_refused (result);
      without_retry_after += is_refused (result) && result->retry_after_s <= 0;
      unknown += strcmp (result->outcome, "unknown") == 0;
      failed += strcmp (result->outcome, "failed") == 0;
      cut += strcmp (result->outcome, "cut") == 0;
      wrong += result->wrong;
      returning += result->returning && result->is_complete;
      cache_hits += result->hit_cache && result->is_complete;
      if (result->is_complete && options->deadline_ms > 0)
        {
          in_deadline += result->first_ms <= options->deadline_ms;
          late += result->first_ms > options->deadline_ms;
        }
    }
  add_count (report, "sent", sent);
  add_count (report, "done", done);
  add_count (report, "refused", refused);
  add_count (report, "refused_without_retry_after", without_retry_after);
  add_count (report, "unknown", unknown);
  add_count (report, "failed", failed);
  add_count (report, "cut", cut);
  add_count (report, "wrong", wrong);
  add_count (report, "returning", returning);
  add_count (report, "met_prefix", cache_hits);
  add_count (report, "in_deadline", in_deadline);
  add_count (report, "late", late);
}

/* Lists the short chats whose first token took at least outlier_ms, with the time of
 * sending. */
static void
add_outliers (json_object *report, const BenchOptions *options, const GArray *results)
{
  json_object *array = json_object_new_array ();

  for (guint i = 0; i < results->len; i++)
    {
      const BenchResult *result = &g_array_index (results, BenchResult, i);
      json_object *entry;

      if (result->is_long || !result->is_complete
          || result->first_ms < options->outlier_ms || result->sent_s < options->warmup_s)
        continue;
      entry = json_object_new_object ();
      json_object_object_add (entry, "sent_s", json_object_new_double (result->sent_s));
      json_object_object_add (entry, "first_ms",
                              json_object_new_double (result->first_ms));
      json_object_object_add (entry, "total_ms",
                              json_object_new_double (result->total_ms));
      json_object_array_add (array, entry);
    }
  json_object_object_add (report, "outliers", array);
}

static void
add_load (json_object *report, const BenchLoad *load)
{
  json_object *object = json_object_new_object ();

  add_count (object, "samples", load->samples);
  add_count (object, "over", load->over);
  json_object_object_add (object, "highest_ratio",
                          json_object_new_double (load->highest_ratio));
  json_object_object_add (object, "highest_excess",
                          json_object_new_double (load->highest_excess));
  json_object_object_add (object, "mean_ratio",
                          json_object_new_double (load->mean_ratio));
  json_object_object_add (object, "mean_load", json_object_new_double (load->mean_load));
  json_object_object_add (report, "load", object);
}

json_object *
bench_report (const BenchOptions *options, const GArray *results, const BenchLoad *load)
{
  json_object *report = json_object_new_object ();

  json_object_object_add (report, "seed", json_object_new_int (options->seed));
  add_counts (report, options, results);
  add_quantiles (report, "short_first_ms",
                 collect (options, results, is_short_done, get_first_ms));
  add_quantiles (report, "short_total_ms",
                 collect (options, results, is_short_done, get_total_ms));
  add_quantiles (report, "short_gap_ms",
                 collect (options, results, is_short_done, get_gap_ms));
  add_quantiles (report, "long_first_ms",
                 collect (options, results, is_long_done, get_first_ms));
  add_quantiles (report, "refused_ms",
                 collect (options, results, is_refused, get_total_ms));
  add_load (report, load);
  if (options->outlier_ms > 0)
    add_outliers (report, options, results);
  return report;
}
