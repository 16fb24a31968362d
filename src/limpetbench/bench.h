#ifndef LIMPETBENCH_BENCH_H
#define LIMPETBENCH_BENCH_H

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Open-loop load generator: sends chats at a rate that does not depend on the responses,
 * and measures the responses. */

typedef struct
{
  char **routers; /* callers' ports on 127.0.0.1; with direct, ports of engines */
  char **engines; /* ports of fake engines whose load is sampled, or NULL */
  char *key;
  char *model;
  double rate;      /* mean requests per second, with exponential intervals */
  double step_rate; /* rate from step_at_s to step_until_s; 0 for no step */
  double step_at_s;
  double step_until_s;
  double seconds;   /* duration of sending */
  int tokens;       /* tokens of a short response */
  int long_percent; /* share of long responses */
  int long_tokens;
  int chats;         /* number of concurrent chats */
  int turns;         /* turns after which a chat is replaced by a new one */
  int prompt_words;  /* words of the first message */
  int deadline_ms;   /* of each request, sent as X-Deadline-Ms; 0 for none */
  int bound_percent; /* highest allowed load of an engine, in percent of the mean */
  int outlier_ms; /* list short chats whose first token took at least this; 0: no list */
  int warmup_s;   /* time at the start that the report leaves out */
  int seed;
  gboolean direct; /* send to engines, without a router */
} BenchOptions;

/* Result of one request. */
typedef struct
{
  double sent_s; /* time from the start of the run to the request */
  bool is_long;
  bool returning;   /* not the first turn of its chat */
  bool hit_cache;   /* the prefix cache contained the chat's history, except for at most
                       the last complete block and the tokens after it */
  long code;        /* HTTP status; 0 if there was no response */
  char outcome[16]; /* "done" if complete, else X-Outcome or "cut" */
  bool is_complete; /* all tokens of this request arrived, in order */
  bool wrong;       /* a token of another request or out of order arrived */
  double first_ms;  /* time to the first token, or to the end if there is none */
  double total_ms;  /* time to the end of the response */
  double gap_ms;    /* mean time between tokens */
  double retry_after_s; /* 0 if the response has no Retry-After */
} BenchResult;

/* Statistics over samples of the engines' load, which is the number of requests in
 * flight. Samples with a mean load below 2 are ignored. */
typedef struct
{
  uint32_t samples;
  double highest_ratio;  /* of one engine's load to the mean of the engines */
  double highest_excess; /* of one engine's load above bound_percent of the mean */
  uint32_t over;         /* samples with an excess above one request */
  double mean_ratio;     /* mean of the highest ratio of each sample */
  double mean_load;
} BenchLoad;

/* Sends the requests and waits for the responses. Returns an array of BenchResult in
 * order of completion, which the caller frees with g_array_free(). */
GArray *bench_run (const BenchOptions *options);

/* Starts and stops a thread that samples the load of the engines. bench_sampler_stop()
 * fills load. */
void bench_sampler_start (const BenchOptions *options);
void bench_sampler_stop (BenchLoad *load);

/* Returns the report, which the caller releases. */
json_object *
bench_report (const BenchOptions *options, const GArray *results, const BenchLoad *load);

/* Returns the monotonic time in ms, with fractions. */
double bench_now_ms (void);

#endif
