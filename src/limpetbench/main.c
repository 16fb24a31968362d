#include "bench.h"

#include <curl/curl.h>
#include <stdio.h>
#include <time.h>

double
bench_now_ms (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1000 + (double)ts.tv_nsec / 1000000;
}

int
main (int argc, char **argv)
{
  BenchOptions options = {
    .model = "kit-7b",
    .rate = 10,
    .seconds = 10,
    .tokens = 16,
    .long_tokens = 600,
    .chats = 200,
    .turns = 6,
    .prompt_words = 64,
    .bound_percent = 125,
    .warmup_s = 1,
    .seed = 1,
  };
  GOptionEntry entries[] = {
    { "router", 'r', 0, G_OPTION_ARG_STRING_ARRAY, &options.routers,
      "Callers' port of a router; may be repeated", "PORT" },
    { "engine", 'e', 0, G_OPTION_ARG_STRING_ARRAY, &options.engines,
      "Port of an engine whose load is sampled; may be repeated", "PORT" },
    { "key", 'k', 0, G_OPTION_ARG_STRING, &options.key, "Bearer key of the team", "KEY" },
    { "model", 0, 0, G_OPTION_ARG_STRING, &options.model, "Name of the model", "NAME" },
    { "rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.rate, "Requests per second", "N" },
    { "step-rate", 0, 0, G_OPTION_ARG_DOUBLE, &options.step_rate,
      "Requests per second during the step", "N" },
    { "step-at", 0, 0, G_OPTION_ARG_DOUBLE, &options.step_at_s, "Start of the step",
      "S" },
    { "step-until", 0, 0, G_OPTION_ARG_DOUBLE, &options.step_until_s, "End of the step",
      "S" },
    { "seconds", 0, 0, G_OPTION_ARG_DOUBLE, &options.seconds, "Duration of sending",
      "S" },
    { "tokens", 0, 0, G_OPTION_ARG_INT, &options.tokens, "Tokens of a short response",
      "N" },
    { "long-percent", 0, 0, G_OPTION_ARG_INT, &options.long_percent,
      "Share of long responses", "N" },
    { "long-tokens", 0, 0, G_OPTION_ARG_INT, &options.long_tokens,
      "Tokens of a long response", "N" },
    { "chats", 0, 0, G_OPTION_ARG_INT, &options.chats, "Number of concurrent chats",
      "N" },
    { "turns", 0, 0, G_OPTION_ARG_INT, &options.turns, "Turns of each chat", "N" },
    { "prompt-words", 0, 0, G_OPTION_ARG_INT, &options.prompt_words,
      "Words of the first message", "N" },
    { "deadline-ms", 0, 0, G_OPTION_ARG_INT, &options.deadline_ms,
      "Deadline of each request", "MS" },
    { "bound", 0, 0, G_OPTION_ARG_INT, &options.bound_percent,
      "Highest allowed load of an engine, in percent of the mean load", "PERCENT" },
    { "warmup", 0, 0, G_OPTION_ARG_INT, &options.warmup_s,
      "Time at the start that the report leaves out", "S" },
    { "outliers", 0, 0, G_OPTION_ARG_INT, &options.outlier_ms,
      "List short chats whose first token took at least this long", "MS" },
    { "seed", 0, 0, G_OPTION_ARG_INT, &options.seed, "Seed", "N" },
    { "direct", 0, 0, G_OPTION_ARG_NONE, &options.direct,
      "Send to engines: --router gives the port of an engine", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("- send chats and measure the responses");
  GError *error = NULL;
  BenchLoad load = { .samples = 0 };
  GArray *results;
  json_object *report;

  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || options.routers == NULL
      || argc != 1)
    {
      fprintf (stderr, "limpetbench: %s; see --help\n",
               error != NULL ? error->message
                             : "expected --router and no positional argument");
      return 2;
    }
  g_option_context_free (context);
  curl_global_init (CURL_GLOBAL_DEFAULT);
  bench_sampler_start (&options);
  results = bench_run (&options);
  bench_sampler_stop (&load);
  report = bench_report (&options, results, &load);
  puts (json_object_to_json_string_ext (report, JSON_C_TO_STRING_PRETTY));
  json_object_put (report);
  g_array_free (results, TRUE);
  return 0;
}
