#include "fake.h"
#include "prefix_cache.h"

#include "limpetroad/clock.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* A model engine with continuous batching: in each step it reads a number of prompt
 * tokens, by priority, and makes one token for every request whose prompt has been read.
 * The token at an offset is "TAG.OFFSET ", where TAG is the first word of the last
 * message, so a caller can tell whose answer it got and whether it is whole. */

#define COMMENT_PERIOD_MS 500
#define LOAD_SAMPLES 64
#define LOAD_SAMPLE_MS 100
#define DEFAULT_TOKENS 16

typedef struct
{
  char tag[64];
  int priority;
  int64_t prefill_left;
  int64_t made; /* offset after the last made token */
  int64_t end;  /* offset after the last token */
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
  int slow;           /* factor on the step time */
  int64_t stall_at;   /* offset at which streams fall silent, -1 for never */
  int64_t cut_at;     /* offset at which streams break off, -1 for never */
  int skip_at;        /* offset that is left out, -1 for never */
  int faulty_streams; /* streams that the three above apply to */
  int wrong_ids;
  bool leaving;
  int load[LOAD_SAMPLES];
  int64_t load_next;
  int64_t served;
  int64_t cancelled;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  int64_t refused;
  int64_t refused_leaving;
  int peak;
} state;

static int
compare_priority (const void *a, const void *b)
{
  const Request *left = *(Request *const *)a;
  const Request *right = *(Request *const *)b;

  return right->priority - left->priority;
}

static void
start_waiting (void)
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
step (void)
{
  int64_t budget = state.options.prefill_tokens;

  g_ptr_array_sort (state.requests, compare_priority);
  start_waiting ();
  for (guint i = 0; i < state.requests->len; i++)
    {
      Request *request = g_ptr_array_index (state.requests, i);

      if (!request->running)
        continue;
      if (request->prefill_left > 0)
        {
          int64_t used = MIN (budget, request->prefill_left);

          request->prefill_left -= used;
          budget -= used;
          if (request->prefill_left == 0)
            prefix_cache_insert (state.cache, request->block_hashes);
        }
      else if (request->made < request->end)
        {
          request->made++;
          pthread_cond_signal (&request->changed);
        }
    }
}

static void *
run_steps (void *user)
{
  LimpetMs sample_ms = 0;

  (void)user;
  for (;;)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();

      pthread_mutex_lock (&state.lock);
      step ();
      if (now_ms - sample_ms >= LOAD_SAMPLE_MS)
        {
          state.load[state.load_next++ % LOAD_SAMPLES] = (int)state.requests->len;
          sample_ms = now_ms;
        }
      pthread_mutex_unlock (&state.lock);
      limpet_clock_sleep_ms ((LimpetMs)state.options.step_ms * state.slow);
    }
  return NULL;
}

static char *
join_messages (json_object *root, const char **last)
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

/* The answer belongs to the prompt of the chat's next request. */
static void
cache_answer (const char *prompt, const Request *request)
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

/* What a stream does wrong; -1 where it does not. */
typedef struct
{
  int64_t stall_at;
  int64_t cut_at;
  int64_t skip_at;
} StreamFault;

static StreamFault
take_fault (void)
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

/* Waits for tokens; returns how many there are now. */
static int64_t
wait_for_tokens (Request *request, int64_t sent)
{
  LimpetMs until_ms = limpet_clock_wall_ms () + COMMENT_PERIOD_MS;
  struct timespec until
      = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };
  int64_t made;

  pthread_mutex_lock (&state.lock);
  if (request->made <= sent && sent < request->end)
    pthread_cond_timedwait (&request->changed, &state.lock, &until);
  made = request->made;
  pthread_mutex_unlock (&state.lock);
  return made;
}

static bool
write_chunk (struct mg_connection *connection, const GString *out)
{
  return mg_send_chunk (connection, out->str, (unsigned)out->len) > 0;
}

static bool
send_tokens (struct mg_connection *connection,
             Request *request,
             int64_t sent,
             const StreamFault *fault)
{
  GString *out = g_string_new (NULL);
  bool whole = true;

  while (whole && sent < request->end)
    {
      int64_t made = wait_for_tokens (request, sent);

      g_string_truncate (out, 0);
      if (made <= sent)
        g_string_append (out, ": waiting\n\n");
      for (; sent < made && whole; sent++)
        {
          if (sent == fault->stall_at)
            limpet_clock_sleep_ms (30000);
          whole = sent != fault->cut_at;
          if (whole && sent != fault->skip_at)
            append_token (out, request, sent);
        }
      if (out->len > 0 && !write_chunk (connection, out))
        whole = false;
    }
  g_string_printf (out, "id: %" PRId64 "\ndata: [DONE]\n\n", request->end);
  if (whole)
    whole = write_chunk (connection, out) && mg_send_chunk (connection, "", 0) > 0;
  if (!whole)
    mg_disable_connection_keep_alive (connection);
  g_string_free (out, TRUE);
  return whole;
}

static int
refuse (struct mg_connection *connection, const char *attempt, bool leaving)
{
  char headers[160];

  g_snprintf (headers, sizeof headers, "X-Attempt-Id: %s\r\nX-Not-Started: 1\r\n%s",
              attempt, leaving ? "X-Leaving: 1\r\n" : "");
  return fake_reply (connection, 503, headers, json_object_new_object ());
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
  int64_t first = resume != NULL ? g_ascii_strtoll (resume, NULL, 10) + 1 : 0;
  int64_t prompt_tokens;

  *request = (Request){
    .priority = priority != NULL ? (int)g_ascii_strtoll (priority, NULL, 10) : 5,
    .made = first,
    .end = fake_number (root, "max_tokens", DEFAULT_TOKENS),
    .block_hashes = g_array_new (FALSE, FALSE, sizeof (uint64_t)),
  };
  g_snprintf (request->tag, sizeof request->tag, "%.*s", (int)strcspn (last, " "), last);
  pthread_cond_init (&request->changed, NULL);
  prompt_tokens = prefix_cache_hash (prompt, request->block_hashes);
  request->prefill_left = prompt_tokens + first;
}

/* Takes a request in, unless the engine is full or leaving. */
static bool
enter (Request *request, int64_t *cached, bool *leaving)
{
  bool entered;

  pthread_mutex_lock (&state.lock);
  *leaving = state.leaving;
  entered = !state.leaving
            && (int)state.requests->len < state.options.slots + state.options.queue;
  if (entered)
    {
      *cached = prefix_cache_match (state.cache, request->block_hashes);
      state.prompt_tokens += request->prefill_left;
      state.cached_tokens += *cached;
      request->prefill_left -= *cached;
      g_ptr_array_add (state.requests, request);
      state.peak = MAX (state.peak, (int)state.requests->len);
    }
  else
    {
      state.refused++;
      state.refused_leaving += state.leaving;
    }
  pthread_mutex_unlock (&state.lock);
  return entered;
}

static int
answer_chat (struct mg_connection *connection,
             Request *request,
             const char *prompt,
             const char *attempt)
{
  int64_t cached = 0;
  int64_t tokens = request->prefill_left;
  bool leaving = false;
  StreamFault fault;
  bool wrong_id;
  bool whole;

  if (!enter (request, &cached, &leaving))
    return refuse (connection, attempt, leaving);
  pthread_mutex_lock (&state.lock);
  fault = take_fault ();
  wrong_id = state.wrong_ids > 0;
  state.wrong_ids -= wrong_id;
  pthread_mutex_unlock (&state.lock);
  mg_printf (connection,
             "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
             "chunked\r\n"
             "X-Attempt-Id: %s\r\nX-Prompt-Tokens: %" PRId64
             "\r\nX-Cached-Tokens: %" PRId64 "\r\n\r\n",
             wrong_id ? "00000000000000000000000000000000" : attempt, tokens, cached);
  whole = send_tokens (connection, request, request->made, &fault);
  pthread_mutex_lock (&state.lock);
  g_ptr_array_remove (state.requests, request);
  state.served += whole;
  state.cancelled += !whole;
  if (whole)
    cache_answer (prompt, request);
  pthread_mutex_unlock (&state.lock);
  return 200;
}

static int
handle_chat (struct mg_connection *connection, void *user)
{
  json_object *root = fake_read_json (connection);
  const char *attempt = mg_get_header (connection, "X-Attempt-Id");
  const char *last = "";
  char *prompt;
  Request request;
  int code;

  (void)user;
  if (root == NULL || attempt == NULL)
    {
      json_object_put (root);
      return fake_reply (connection, 400, "", json_object_new_object ());
    }
  prompt = join_messages (root, &last);
  init_request (&request, connection, root, prompt, last);
  code = answer_chat (connection, &request, prompt, attempt);
  pthread_cond_destroy (&request.changed);
  g_array_free (request.block_hashes, TRUE);
  g_free (prompt);
  json_object_put (root);
  return code;
}

/* The load report, as old as the lag. */
static int
handle_load (struct mg_connection *connection, void *user)
{
  json_object *answer = json_object_new_object ();
  int64_t index;

  (void)user;
  pthread_mutex_lock (&state.lock);
  index = state.load_next - 1 - state.options.lag_ms / LOAD_SAMPLE_MS;
  json_object_object_add (
      answer, "inflight",
      json_object_new_int (index < 0 ? 0 : state.load[index % LOAD_SAMPLES]));
  json_object_object_add (answer, "slots", json_object_new_int (state.options.slots));
  json_object_object_add (answer, "leaving", json_object_new_boolean (state.leaving));
  pthread_mutex_unlock (&state.lock);
  return fake_reply (connection, 200, "", answer);
}

/* The ledger: exact counts of the moment. */
static int
handle_stats (struct mg_connection *connection, void *user)
{
  json_object *answer = json_object_new_object ();

  (void)user;
  pthread_mutex_lock (&state.lock);
  json_object_object_add (answer, "inflight",
                          json_object_new_int ((int)state.requests->len));
  json_object_object_add (answer, "peak", json_object_new_int (state.peak));
  json_object_object_add (answer, "served", json_object_new_int64 (state.served));
  json_object_object_add (answer, "cancelled", json_object_new_int64 (state.cancelled));
  json_object_object_add (answer, "prompt_tokens",
                          json_object_new_int64 (state.prompt_tokens));
  json_object_object_add (answer, "cached_tokens",
                          json_object_new_int64 (state.cached_tokens));
  json_object_object_add (answer, "refused", json_object_new_int64 (state.refused));
  json_object_object_add (answer, "refused_leaving",
                          json_object_new_int64 (state.refused_leaving));
  pthread_mutex_unlock (&state.lock);
  return fake_reply (connection, 200, "", answer);
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  json_object *fault = fake_read_json (connection);

  (void)user;
  pthread_mutex_lock (&state.lock);
  state.slow = (int)fake_number (fault, "slow", state.slow);
  state.stall_at = fake_number (fault, "stall_at", -1);
  state.cut_at = fake_number (fault, "cut_at", -1);
  state.skip_at = (int)fake_number (fault, "skip_at", -1);
  state.faulty_streams = (int)fake_number (fault, "faulty_streams", 0);
  state.wrong_ids = (int)fake_number (fault, "wrong_ids", 0);
  state.leaving = fake_number (fault, "leaving", state.leaving) != 0;
  pthread_mutex_unlock (&state.lock);
  json_object_put (fault);
  return fake_reply (connection, 200, "", json_object_new_object ());
}

void
fake_engine_start (struct mg_context *server, const FakeOptions *options)
{
  pthread_t thread;

  state.options = *options;
  state.slow = 1;
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
