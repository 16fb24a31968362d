#include "fake.h"
#include "prefix_cache.h"

#include "limpetroad/clock.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* A model engine with continuous batching. Each step processes a limited number of prompt
 * tokens (prefill), in order of priority, and generates one token for every request whose
 * prompt has been processed. The token at an offset is "TAG.OFFSET ", where TAG is the
 * first word of the last message. A client can thus check that a response belongs to its
 * request and is complete. */

/* A stream sends an SSE comment if no token is generated for this long. */
#define COMMENT_INTERVAL_MS 500
/* The samples must cover more time than lag_ms. */
#define LOAD_SAMPLES 64
#define LOAD_SAMPLE_INTERVAL_MS 100
#define DEFAULT_TOKENS 16

typedef struct
{
  char tag[64];
  int priority;
  int64_t prefill_left;
  int64_t generated; /* offset after the last generated token */
  int64_t end;       /* offset after the last token of the response */
  bool running;
  bool gone;
  pthread_cond_t changed;
  GArray *block_hashes;
} Request;

static struct
{
  pthread_mutex_t lock;
  FakeOptions options;
  PrefixCache *cache;
  GPtrArray *requests;
  int slow_factor;    /* factor of the step duration */
  int64_t stall_at;   /* offset before which streams pause for 30 s; -1 for none */
  int64_t cut_at;     /* offset before which streams are closed; -1 for none */
  int skip_at;        /* offset that streams omit; -1 for none */
  int faulty_streams; /* number of upcoming streams with these three faults */
  int wrong_ids;      /* number of upcoming responses with a wrong attempt id */
  bool leaving;
  int load_samples[LOAD_SAMPLES];
  int64_t load_samples_taken;
  int64_t served;
  int64_t cancelled;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t refused;
  int64_t refused_leaving;
  int peak_requests;
} state;

static int
compare_priority (const void *a, const void *b)
{
  const Request *left = *(Request *const *)a;
  const Request *right = *(Request *const *)b;

  return right->priority - left->priority;
}

static void
start_queued_requests (void)
{
  int running = 0;

  for (guint i = 0; i < state.requests->len; i++)
    running += ((Request *)g_ptr_array_index (state.requests, i))->running;
  for (guint i = 0; i < state.requests->len && running < state.options.slots; i++)
    {
      Request *request = g_ptr_array_index (state.requests, i);

      if (request->running)
        continue;
      request->running = true;
      running++;
    }
}

static void
run_step (void)
{
  int64_t prefill_budget = state.options.prefill_tokens;

  g_ptr_array_sort (state.requests, compare_priority);
  start_queued_requests ();
  for (guint i = 0; i < state.requests->len; i++)
    {
      Request *request = g_ptr_array_index (state.requests, i);

      if (!request->running)
        continue;
      if (request->prefill_left > 0)
        {
          int64_t used = MIN (prefill_budget, request->prefill_left);

          request->prefill_left -= used;
          prefill_budget -= used;
          if (request->prefill_left == 0)
            prefix_cache_insert (state.cache, request->block_hashes);
        }
      else if (request->generated < request->end)
        {
          request->generated++;
          pthread_cond_signal (&request->changed);
        }
    }
}

static void *
run_steps (void *user)
{
  LimpetMs last_sample_ms = 0;

  (void)user;
  for (;;)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();

      pthread_mutex_lock (&state.lock);
      run_step ();
      if (now_ms - last_sample_ms >= LOAD_SAMPLE_INTERVAL_MS)
        {
          state.load_samples[state.load_samples_taken++ % LOAD_SAMPLES]
              = (int)state.requests->len;
          last_sample_ms = now_ms;
        }
      pthread_mutex_unlock (&state.lock);
      limpet_clock_sleep_ms ((LimpetMs)state.options.step_ms * state.slow_factor);
    }
  return NULL;
}

/* Returns the contents of all messages, each followed by a space, and sets *last to the
 * content of the last one. */
static char *
join_contents (json_object *root, const char **last)
{
  json_object *messages = json_object_object_get (root, "messages");
  GString *text = g_string_new (NULL);

  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      *last = json_object_get_string (
          json_object_object_get (json_object_array_get_idx (messages, i), "content"));
      g_string_append (text, *last);
      g_string_append_c (text, ' ');
    }
  return g_string_free (text, FALSE);
}

/* Adds prompt and response to the prefix cache, because the prompt of the chat's next
 * request starts with them. */
static void
cache_response (const char *prompt, const Request *request)
{
  GString *text = g_string_new (prompt);
  GArray *hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t));

  for (int64_t i = 0; i < request->end; i++)
    g_string_append_printf (text, "%s.%" PRId64 " ", request->tag, i);
  prefix_cache_hash (text->str, hashes);
  prefix_cache_insert (state.cache, hashes);
  g_array_free (hashes, TRUE);
  g_string_free (text, TRUE);
}

/* Faults of one stream, as in state; -1 for none. */
typedef struct
{
  int64_t stall_at;
  int64_t cut_at;
  int64_t skip_at;
} StreamFault;

static StreamFault
next_stream_fault (void)
{
  StreamFault fault = { .stall_at = -1, .cut_at = -1, .skip_at = -1 };

  if (state.faulty_streams <= 0)
    return fault;
  state.faulty_streams--;
  return (StreamFault){
    .stall_at = state.stall_at,
    .cut_at = state.cut_at,
    .skip_at = state.skip_at,
  };
}

static void
append_token (GString *out, const Request *request, int64_t offset)
{
  g_string_append_printf (out,
                          "id: %" PRId64 "\ndata: {\"choices\":[{\"index\":0,\"delta\":{"
                          "\"content\":\"%s.%" PRId64 " \"}}]}\n\n",
                          offset, request->tag, offset);
}

/* Waits for a token at offset sent or later, for at most COMMENT_INTERVAL_MS. Returns the
 * offset after the last generated token. */
static int64_t
wait_for_tokens (Request *request, int64_t sent)
{
  LimpetMs until_ms = limpet_clock_wall_ms () + COMMENT_INTERVAL_MS;
  struct timespec until
      = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };
  int64_t generated;

  pthread_mutex_lock (&state.lock);
  if (request->generated <= sent && sent < request->end)
    pthread_cond_timedwait (&request->changed, &state.lock, &until);
  generated = request->generated;
  pthread_mutex_unlock (&state.lock);
  return generated;
}

static bool
write_chunk (struct mg_connection *connection, const GString *out)
{
  return mg_send_chunk (connection, out->str, (unsigned)out->len) > 0;
}

/* Sends the tokens from offset sent on, then the end marker. Returns whether the stream
 * is complete. */
static bool
send_tokens (struct mg_connection *connection,
             Request *request,
             int64_t sent,
             const StreamFault *fault)
{
  GString *out = g_string_new (NULL);
  bool complete = true;

  while (complete && sent < request->end)
    {
      int64_t generated = wait_for_tokens (request, sent);

      g_string_truncate (out, 0);
      if (generated <= sent)
        g_string_append (out, ": waiting\n\n");
      for (; sent < generated && complete; sent++)
        {
          if (sent == fault->stall_at)
            limpet_clock_sleep_ms (30000);
          complete = sent != fault->cut_at;
          if (complete && sent != fault->skip_at)
            append_token (out, request, sent);
        }
      if (out->len > 0 && !write_chunk (connection, out))
        complete = false;
    }
  g_string_printf (out, "id: %" PRId64 "\ndata: [DONE]\n\n", request->end);
  if (complete)
    complete = write_chunk (connection, out) && mg_send_chunk (connection, "", 0) > 0;
  if (!complete)
    mg_disable_connection_keep_alive (connection);
  g_string_free (out, TRUE);
  return complete;
}

static int
refuse (struct mg_connection *connection, const char *attempt_id, bool leaving)
{
  char headers[160];

  g_snprintf (headers, sizeof headers, "X-Attempt-Id: %s\r\nX-Not-Started: 1\r\n%s",
              attempt_id, leaving ? "X-Leaving: 1\r\n" : "");
  return fake_respond (connection, 503, headers, json_object_new_object ());
}

static void
init_request (Request *request,
              struct mg_connection *connection,
              json_object *root,
              const char *prompt,
              const char *last)
{
  const char *priority = mg_get_header (connection, "X-Priority");
  const char *resume = mg_get_header (connection, "Last-Event-ID");
  int64_t first_offset = resume != NULL ? g_ascii_strtoll (resume, NULL, 10) + 1 : 0;
  int64_t prompt_tokens;

  *request = (Request){
    .priority = priority != NULL ? (int)g_ascii_strtoll (priority, NULL, 10) : 5,
    .generated = first_offset,
    .end = fake_number (root, "max_tokens", DEFAULT_TOKENS),
    .block_hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };
  g_snprintf (request->tag, sizeof request->tag, "%.*s", (int)strcspn (last, " "), last);
  pthread_cond_init (&request->changed, NULL);
  prompt_tokens = prefix_cache_hash (prompt, request->block_hashes);
  /* A resumed request also processes the tokens that were generated before. */
  request->prefill_left = prompt_tokens + first_offset;
}

/* Adds a request, unless the engine is full or leaving. Sets *cached to the number of
 * prompt tokens found in the prefix cache. */
static bool
admit_request (Request *request, int64_t *cached, bool *leaving)
{
  bool admitted;

  pthread_mutex_lock (&state.lock);
  *leaving = state.leaving;
  admitted = !state.leaving
             && (int)state.requests->len < state.options.slots + state.options.queue;
  if (admitted)
    {
      *cached = prefix_cache_match (state.cache, request->block_hashes);
      state.prompt_tokens += request->prefill_left;
      state.cached_tokens += *cached;
      request->prefill_left -= *cached;
      g_ptr_array_add (state.requests, request);
      state.peak_requests = MAX (state.peak_requests, (int)state.requests->len);
    }
  else
    {
      state.refused++;
      state.refused_leaving += state.leaving;
    }
  pthread_mutex_unlock (&state.lock);
  return admitted;
}

static int
serve_chat (struct mg_connection *connection,
            Request *request,
            const char *prompt,
            const char *attempt_id)
{
  int64_t cached = 0;
  int64_t prompt_tokens = request->prefill_left;
  bool leaving = false;
  StreamFault fault;
  bool wrong_id;
  bool complete;

  if (!admit_request (request, &cached, &leaving))
    return refuse (connection, attempt_id, leaving);
  pthread_mutex_lock (&state.lock);
  fault = next_stream_fault ();
  wrong_id = state.wrong_ids > 0;
  state.wrong_ids -= wrong_id;
  pthread_mutex_unlock (&state.lock);
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
             "chunked\r\n"
             "X-Attempt-Id: %s\r\nX-Prompt-Tokens: %" PRId64
             "\r\nX-Cached-Tokens: %" PRId64 "\r\n\r\n",
             wrong_id ? "00000000000000000000000000000000" : attempt_id, prompt_tokens,
             cached);
  complete = send_tokens (connection, request, request->generated, &fault);
  pthread_mutex_lock (&state.lock);
  g_ptr_array_remove (state.requests, request);
  state.served += complete;
  state.cancelled += !complete;
  if (complete)
    cache_response (prompt, request);
  pthread_mutex_unlock (&state.lock);
  return 200;
}

static int
handle_chat (struct mg_connection *connection, void *user)
{
  json_object *root = fake_read_json (connection);
  const char *attempt_id = mg_get_header (connection, "X-Attempt-Id");
  const char *last = "";
  char *prompt;
  Request request;
  int code;

  (void)user;
  if (root == NULL || attempt_id == NULL)
    {
      json_object_put (root);
      return fake_respond (connection, 400, "", json_object_new_object ());
    }
  prompt = join_contents (root, &last);
  init_request (&request, connection, root, prompt, last);
  code = serve_chat (connection, &request, prompt, attempt_id);
  pthread_cond_destroy (&request.changed);
  g_array_free (request.block_hashes, TRUE);
  g_free (prompt);
  json_object_put (root);
  return code;
}

/* Responds with the number of requests in flight lag_ms ago, because the load report of
 * an engine is delayed. The slots and whether the engine is leaving are current. */
static int
handle_load (struct mg_connection *connection, void *user)
{
  json_object *response = json_object_new_object ();
  int64_t index;

  (void)user;
  pthread_mutex_lock (&state.lock);
  index = state.load_samples_taken - 1 - state.options.lag_ms / LOAD_SAMPLE_INTERVAL_MS;
  json_object_object_add (
      response, "inflight",
      json_object_new_int (index < 0 ? 0 : state.load_samples[index % LOAD_SAMPLES]));
  json_object_object_add (response, "slots", json_object_new_int (state.options.slots));
  json_object_object_add (response, "leaving", json_object_new_boolean (state.leaving));
  pthread_mutex_unlock (&state.lock);
  return fake_respond (connection, 200, "", response);
}

/* Responds with exact, current counts for tests. */
static int
handle_stats (struct mg_connection *connection, void *user)
{
  json_object *response = json_object_new_object ();

  (void)user;
  pthread_mutex_lock (&state.lock);
  json_object_object_add (response, "inflight",
                          json_object_new_int ((int)state.requests->len));
  json_object_object_add (response, "peak", json_object_new_int (state.peak_requests));
  json_object_object_add (response, "served", json_object_new_int64 (state.served));
  json_object_object_add (response, "cancelled", json_object_new_int64 (state.cancelled));
  json_object_object_add (response, "prompt_tokens",
                          json_object_new_int64 (state.prompt_tokens));
  json_object_object_add (response, "cached_tokens",
                          json_object_new_int64 (state.cached_tokens));
  json_object_object_add (response, "refused", json_object_new_int64 (state.refused));
  json_object_object_add (response, "refused_leaving",
                          json_object_new_int64 (state.refused_leaving));
  pthread_mutex_unlock (&state.lock);
  return fake_respond (connection, 200, "", response);
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  json_object *fault = fake_read_json (connection);

  (void)user;
  pthread_mutex_lock (&state.lock);
  state.slow_factor = (int)fake_number (fault, "slow", state.slow_factor);
  state.stall_at = fake_number (fault, "stall_at", -1);
  state.cut_at = fake_number (fault, "cut_at", -1);
  state.skip_at = (int)fake_number (fault, "skip_at", -1);
  state.faulty_streams = (int)fake_number (fault, "faulty_streams", 0);
  state.wrong_ids = (int)fake_number (fault, "wrong_ids", 0);
  state.leaving = fake_number (fault, "leaving", state.leaving) != 0;
  pthread_mutex_unlock (&state.lock);
  json_object_put (fault);
  return fake_respond (connection, 200, "", json_object_new_object ());
}

void
fake_engine_start (struct mg_context *server, const FakeOptions *options)
{
  pthread_t thread;

  state.options = *options;
  state.slow_factor = 1;
  state.stall_at = state.cut_at = state.skip_at = -1;
  pthread_mutex_init (&state.lock, NULL);
  state.requests = g_ptr_array_new ();
  state.cache = prefix_cache_new ((uint32_t)options->cache_blocks);
  pthread_create (&thread, NULL, run_steps, NULL);
  mg_set_request_handler (server, "/v1/chat/completions$", handle_chat, NULL);
  mg_set_request_handler (server, "/v1/load$", handle_load, NULL);
  mg_set_request_handler (server, "/fake/stats$", handle_stats, NULL);
  mg_set_request_handler (server, "/fake/fault$", handle_fault, NULL);
}
