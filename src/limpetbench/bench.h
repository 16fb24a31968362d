#ifndef LIMPETBENCH_BENCH_H
#define LIMPETBENCH_BENCH_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Sends chats at given rates, independent of the answers, and measures what callers get.
 */

typedef struct
{
  char **routers; /* callers' ports of routers, or of one engine with --direct */
  char **engines; /* ports of stand-in engines whose load is sampled */
  char *key;
  char *model;
  double rate;      /* requests a second */
  double step_rate; /* from step_at_s to step_until_s; 0 for no step */
  double step_at_s;
  double step_until_s;
  double seconds;
  int tokens;       /* of a short chat */
  int long_percent; /* of the requests */
  int long_tokens;
  int chats;         /* chats that return */
  int turns;         /* after which a chat starts anew */
  int prompt_words;  /* of the first message */
  int deadline_ms;   /* sent along; 0 for none */
  int bound_percent; /* the bound that samples of the load are held against */
  int outlier_ms;    /* list chats whose first token came later; 0 for no list */
  int warmup_s;      /* left out of the results */
  int seed;
  gboolean direct; /* the port is an engine's */
} BenchOptions;

/* What became of one request. Times in ms. */
typedef struct
{
  double sent_s; /* after the start */
  bool is_long;
  bool returning;
  bool met_prefix;
  long code;
  char outcome[16]; /* of an answer that is not whole, else "done" */
  bool whole;       /* every token, in order, of this request */
  bool wrong;       /* a token that is not this request's, or out of order */
  double first_ms;  /* time to the first token, or to the refusal */
  double total_ms;
  double gap_ms; /* mean time between tokens */
  double retry_after_s;
} BenchResult;

/* Samples of the engines' load. */
typedef struct
{
  uint32_t samples;
  double highest_ratio;  /* of one engine's load to the mean, at a mean of 2 or more */
  double highest_excess; /* requests above bound × mean */
  uint32_t over;         /* samples with an excess above one request */
  double mean_ratio;     /* mean of the highest ratio of each sample */
  double mean_load;
} BenchLoad;

/* Runs the load; the results are in order of their end. */
GArray *bench_run (const BenchOptions *options);

/* Samples in a thread of its own from start to stop. */
void bench_sampler_start (const BenchOptions *options);
void bench_sampler_stop (BenchLoad *load);

json_object *
bench_report (const BenchOptions *options, const GArray *results, const BenchLoad *load);

/* Monotonic time in ms, with fractions. */
double bench_now_ms (void);

#endif
