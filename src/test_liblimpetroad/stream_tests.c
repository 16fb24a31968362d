#include "tests.h"

#include "limpetroad/retry_bucket.h"
#include "limpetroad/latency.h"
#include "limpetroad/limits.h"
#include "private/sse.h"

#include <glib.h>
#include <string.h>

static const char stream[]
    = "id: 0\ndata: a\n\n: waiting\n\nid: 1\ndata: bb\n\nid: 2\ndata: [DONE]\n\n";

/* Appends the id and data of an event to the string user. */
static bool
collect (void *user, const LimpetSseEvent *event)
{
  if (event->data != NULL)
    g_string_append_printf (user, "%d=%.*s;", (int)event->id, (int)event->data_length,
                            event->data);
  return true;
}

static void
test_events_are_parsed_at_every_split (void)
{
  for (size_t split = 0; split < strlen (stream); split++)
    {
      GString *events = g_string_new (NULL);
      LimpetSseParser *sse = limpet_sse_parser_new (collect, events);

      CU_ASSERT_TRUE (limpet_sse_parser_feed (sse, stream, split));
      CU_ASSERT_TRUE (
          limpet_sse_parser_feed (sse, stream + split, strlen (stream) - split));
      CU_ASSERT_STRING_EQUAL (events->str, "0=a;1=bb;2=[DONE];");
      limpet_sse_parser_delete (sse);
      g_string_free (events, TRUE);
    }
}

static void
test_an_oversized_event_is_rejected (void)
{
  GString *events = g_string_new (NULL);
  LimpetSseParser *sse = limpet_sse_parser_new (collect, events);
  char *text = g_strnfill (LIMPET_MAX_EVENT_BYTES + 1, 'x');

  CU_ASSERT_FALSE (limpet_sse_parser_feed (sse, text, LIMPET_MAX_EVENT_BYTES + 1));
  limpet_sse_parser_delete (sse);
  g_string_free (events, TRUE);
  g_free (text);
}

/* Each of 1,000 attempts allows 0.05 retries. */
static void
test_retries_are_limited_to_a_percentage_of_the_attempts (void)
{
  LimpetRetryBucket *bucket = limpet_retry_bucket_new ();
  int retries = 0;

  /* Takes the attempts that a new bucket holds. */
  while (limpet_retry_bucket_try_take (bucket))
    CU_ASSERT_FATAL (++retries < 100);
  retries = 0;
  for (int i = 0; i < 1000; i++)
    {
      limpet_retry_bucket_add (bucket, 5);
      retries += limpet_retry_bucket_try_take (bucket);
    }
  CU_ASSERT_EQUAL (retries, 50);
  limpet_retry_bucket_delete (bucket);
}

/* Without samples the given default is returned. Quantiles are approximate, because
 * durations are counted in buckets. */
static void
test_latency_quantiles_are_estimated (void)
{
  LimpetLatency *latency = limpet_latency_new ();
  double p95;

  CU_ASSERT_DOUBLE_EQUAL (limpet_latency_quantile (latency, 0.5, 7), 7, 0.001);
  for (int i = 1; i <= 1000; i++)
    limpet_latency_add (latency, i);
  p95 = limpet_latency_quantile (latency, 0.95, 0);
  CU_ASSERT (p95 > 950 * 0.9 && p95 < 950 * 1.15);
  limpet_latency_delete (latency);
}

void
add_stream_tests (void)
{
  CU_pSuite suite = CU_add_suite ("streams", NULL, NULL);

  CU_add_test (suite, "events are parsed at every split",
               test_events_are_parsed_at_every_split);
  CU_add_test (suite, "an oversized event is rejected",
               test_an_oversized_event_is_rejected);
  CU_add_test (suite, "retries are limited to a percentage of the attempts",
               test_retries_are_limited_to_a_percentage_of_the_attempts);
  CU_add_test (suite, "latency quantiles are estimated",
               test_latency_quantiles_are_estimated);
}
