#include "bench.h"

#include <curl/curl.h>
#include <math.h>
#include <stdio.h>
#include <string.h>

/* A chat with a longer history is replaced by a new one. */
#define MAX_HISTORY_WORDS 4000
/* Block size of the engines' prefix cache. */
#define BLOCK_TOKENS 16
#define MAX_WAIT_AFTER_END_S 60

/* A chat of several turns, with its history. */
typedef struct
{
  uint32_t number;
  uint32_t generation; /* incremented when a new chat replaces this one */
  uint32_t turn;
  bool busy;
  GString *history; /* texts of user and assistant, separated by spaces */
  int64_t history_words;
} Chat;

/* One request in flight. */
typedef struct
{
  CURL *easy;
  struct curl_slist *headers;
  char *body;
  Chat *chat;
  char tag[48];
  int wanted_tokens;
  int64_t next_token;
  bool saw_end_event;
  int64_t prompt_tokens;
  int64_t cached_tokens;
  double start_ms;
  double last_token_ms;
  GString *line; /* incomplete line of the stream */
  GString *response;
  BenchResult result;
} Request;

typedef struct
{
  const BenchOptions *options;
  CURLM *multi;
  GRand *random;
  Chat *chats;
  GPtrArray *idle_handles; /* CURL handles for reuse */
  GArray *results;
  uint32_t sent;
  uint32_t running;
  double start_ms;
} Generator;

static const char *
system_text (const BenchOptions *options)
{
  static char *text;

  if (text == NULL)
    {
      GString *words = g_string_new (NULL);

      for (int i = 0; i < options->prompt_words; i++)
        g_string_append_printf (words, "%sword%d", i > 0 ? " " : "", i);
      text = g_string_free (words, FALSE);
    }
  return text;
}

static void
restart_chat (Chat *chat)
{
  chat->generation++;
  chat->turn = 0;
  chat->history_words = 0;
  g_string_truncate (chat->history, 0);
}

/* Returns a random chat without a request in flight, or NULL if 50 draws find only busy
 * chats. */
static Chat *
pick_chat (Generator *generator)
{
  int count = generator->options->chats;

  for (int draw = 0; draw < 50; draw++)
    {
      Chat *chat = &generator->chats[g_rand_int_range (generator->random, 0, count)];

      if (chat->busy)
        continue;
      if ((int)chat->turn >= generator->options->turns
          || chat->history_words > MAX_HISTORY_WORDS)
        restart_chat (chat);
      return chat;
    }
  return NULL;
}

/* Returns the JSON body. The first message differs between chats, so that the prefix of a
 * chat is cached only by engines that have served this chat. */
static char *
make_body (const Generator *generator, const Request *request)
{
  const Chat *chat = request->chat;

  return g_strdup_printf (
      "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"messages\":[{\"role\":"
      "\"system\","
      "\"content\":\"chat%u.%u.%d %s\"},%s%s%s{\"role\":\"user\",\"content\":\"%s and "
      "then\"}]}",
      generator->options->model, request->wanted_tokens, chat->number, chat->generation,
      generator->options->seed, system_text (generator->options),
      chat->history->len > 0 ? "{\"role\":\"assistant\",\"content\":\"" : "",
      chat->history->str, chat->history->len > 0 ? "\"}," : "", request->tag);
}

static void
record_token (Request *request, const char *content)
{
  char expected[80];
  double now_ms = bench_now_ms ();

  g_snprintf (expected, sizeof expected, "%s.%ld ", request->tag,
              (long)request->next_token);
  if (strncmp (content, expected, strlen (expected)) != 0)
    request->result.wrong = true;
  if (request->next_token == 0)
    request->result.first_ms = now_ms - request->start_ms;
  g_string_append (request->response, expected);
  request->next_token++;
  request->last_token_ms = now_ms;
}

static void
handle_line (Request *request, const char *line)
{
  static const char marker[] = "\"content\":\"";
  const char *content = strstr (line, marker);

  if (strcmp (line, "data: [DONE]") == 0)
    request->saw_end_event = true;
  else if (g_str_has_prefix (line, "data: ") && content != NULL)
    record_token (request, content + sizeof marker - 1);
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  Request *request = user;
  char *newline;

  g_string_append_len (request->line, data, (gssize)(size * count));
  while ((newline = strchr (request->line->str, '\n')) != NULL)
    {
      *newline = '\0';
      handle_line (request, request->line->str);
      g_string_erase (request->line, 0, newline + 1 - request->line->str);
    }
  return size * count;
}

static size_t
on_header (char *data, size_t size, size_t count, void *user)
{
  Request *request = user;
  char line[256];
  size_t length = MIN (size * count, sizeof line - 1);

  memcpy (line, data, length);
  line[length] = '\0';
  if (g_ascii_strncasecmp (line, "X-Prompt-Tokens:", 16) == 0)
    request->prompt_tokens = g_ascii_strtoll (line + 16, NULL, 10);
  else if (g_ascii_strncasecmp (line, "X-Cached-Tokens:", 16) == 0)
    request->cached_tokens = g_ascii_strtoll (line + 16, NULL, 10);
  else if (g_ascii_strncasecmp (line, "Retry-After:", 12) == 0)
    request->result.retry_after_s = g_ascii_strtod (line + 12, NULL);
  else if (g_ascii_strncasecmp (line, "X-Outcome:", 10) == 0)
    g_strlcpy (request->result.outcome, g_strstrip (line + 10),
               sizeof request->result.outcome);
  return size * count;
}

static CURL *
get_handle (Generator *generator)
{
  if (generator->idle_handles->len > 0)
    return g_ptr_array_remove_index_fast (generator->idle_handles,
                                          generator->idle_handles->len - 1);
  return curl_easy_init ();
}

static void
set_options (Generator *generator, Request *request)
{
  const BenchOptions *options = generator->options;
  char *url = g_strdup_printf (
      "http://127.0.0.1:%s/v1/chat/completions",
      options->routers[generator->sent % g_strv_length (options->routers)]);
  char header[160];

  curl_easy_reset (request->easy);
  curl_easy_setopt (request->easy, CURLOPT_URL, url);
  curl_easy_setopt (request->easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (request->easy, CURLOPT_PROXY, "");
  curl_easy_setopt (request->easy, CURLOPT_POSTFIELDS, request->body);
  curl_easy_setopt (request->easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (request->easy, CURLOPT_WRITEDATA, request);
  curl_easy_setopt (request->easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (request->easy, CURLOPT_HEADERDATA, request);
  curl_easy_setopt (request->easy, CURLOPT_PRIVATE, request);
  request->headers = curl_slist_append (NULL, "Content-Type: application/json");
  request->headers = curl_slist_append (request->headers, "Expect:");
  g_snprintf (header, sizeof header, "X-Chat-Id: c%d-%u-%u", options->seed,
              request->chat->number, request->chat->generation);
  request->headers = curl_slist_append (request->headers, header);
  g_snprintf (header, sizeof header, "X-Attempt-Id: %032x", generator->sent);
  if (options->direct)
    request->headers = curl_slist_append (request->headers, header);
  g_snprintf (header, sizeof header, "Authorization: Bearer %s", options->key);
  if (options->key != NULL)
    request->headers = curl_slist_append (request->headers, header);
  g_snprintf (header, sizeof header, "X-Deadline-Ms: %d", options->deadline_ms);
  if (options->deadline_ms > 0)
    request->headers = curl_slist_append (request->headers, header);
  curl_easy_setopt (request->easy, CURLOPT_HTTPHEADER, request->headers);
  g_free (url);
}

/* Sends the next request, or skips it if pick_chat() finds no idle chat. */
static void
send_request (Generator *generator)
{
  const BenchOptions *options = generator->options;
  Chat *chat = pick_chat (generator);
  Request *request;

  generator->sent++;
  if (chat == NULL)
    return;
  chat->busy = true;
  request = g_new0 (Request, 1);
  request->chat = chat;
  request->result.is_long
      = g_rand_int_range (generator->random, 0, 100) < options->long_percent;
  request->result.returning = chat->turn > 0;
  request->wanted_tokens
      = request->result.is_long ? options->long_tokens : options->tokens;
  request->line = g_string_new (NULL);
  request->response = g_string_new (NULL);
  g_snprintf (request->tag, sizeof request->tag, "q%d-%u", options->seed,
              generator->sent);
  request->body = make_body (generator, request);
  request->easy = get_handle (generator);
  set_options (generator, request);
  request->start_ms = bench_now_ms ();
  request->result.sent_s = (request->start_ms - generator->start_ms) / 1000;
  curl_multi_add_handle (generator->multi, request->easy);
  generator->running++;
}

static void
extend_history (Request *request)
{
  Chat *chat = request->chat;

  if (chat->history->len > 0)
    g_string_append_c (chat->history, ' ');
  g_string_append_printf (chat->history, "%s and then %s", request->tag,
                          request->response->str);
  g_string_truncate (chat->history, chat->history->len - 1);
  chat->history_words = request->prompt_tokens + request->next_token;
  chat->turn++;
}

static void
finish_request (Generator *generator, Request *request, CURLcode code)
{
  BenchResult *result = &request->result;
  double now_ms = bench_now_ms ();
  int64_t expected = request->chat->history_words / BLOCK_TOKENS * BLOCK_TOKENS;

  curl_easy_getinfo (request->easy, CURLINFO_RESPONSE_CODE, &result->code);
  result->total_ms = now_ms - request->start_ms;
  result->is_complete = code == CURLE_OK && result->code == 200 && request->saw_end_event
                        && !result->wrong
                        && request->next_token == request->wanted_tokens;
  if (result->is_complete)
    g_strlcpy (result->outcome, "done", sizeof result->outcome);
  else if (result->code == 200 || code != CURLE_OK || result->outcome[0] == '\0')
    g_strlcpy (result->outcome, "cut", sizeof result->outcome);
  if (request->next_token == 0)
    result->first_ms = result->total_ms;
  if (request->next_token > 1)
    result->gap_ms = (request->last_token_ms - request->start_ms - result->first_ms)
                     / (double)(request->next_token - 1);
  result->hit_cache
      = result->returning && request->cached_tokens >= expected - BLOCK_TOKENS;
  if (result->is_complete)
    extend_history (request);
  g_array_append_val (generator->results, *result);
  request->chat->busy = false;
  curl_multi_remove_handle (generator->multi, request->easy);
  g_ptr_array_add (generator->idle_handles, request->easy);
  curl_slist_free_all (request->headers);
  g_string_free (request->line, TRUE);
  g_string_free (request->response, TRUE);
  g_free (request->body);
  g_free (request);
  generator->running--;
}

static void
finish_completed (Generator *generator)
{
  CURLMsg *message;
  int remaining = 0;

  while ((message = curl_multi_info_read (generator->multi, &remaining)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        Request *request = NULL;
        CURLcode code = message->data.result;

        curl_easy_getinfo (message->easy_handle, CURLINFO_PRIVATE, &request);
        finish_request (generator, request, code);
      }
}

static double
rate_at (const BenchOptions *options, double second)
{
  if (options->step_rate > 0 && second >= options->step_at_s
      && second < options->step_until_s)
    return options->step_rate;
  return options->rate;
}

GArray *
bench_run (const BenchOptions *options)
{
  Generator generator = { .options = options };
  double next_ms;
  double end_ms;

  generator.multi = curl_multi_init ();
  curl_multi_setopt (generator.multi, CURLMOPT_MAXCONNECTS, 4000L);
  generator.random = g_rand_new_with_seed ((guint32)options->seed);
  generator.chats = g_new0 (Chat, options->chats);
  generator.idle_handles = g_ptr_array_new ();
  generator.results = g_array_new (FALSE, TRUE, sizeof (BenchResult));
  for (int i = 0; i < options->chats; i++)
    {
      generator.chats[i].number = (uint32_t)i;
      generator.chats[i].history = g_string_new (NULL);
    }
  generator.start_ms = bench_now_ms ();
  next_ms = generator.start_ms;
  end_ms = generator.start_ms + options->seconds * 1000;
  while (bench_now_ms () < end_ms || generator.running > 0)
    {
      double now_ms = bench_now_ms ();
      int running = 0;

      while (next_ms <= now_ms && next_ms < end_ms)
        {
          double rate = rate_at (options, (next_ms - generator.start_ms) / 1000);

          send_request (&generator);
          next_ms -= log (1 - g_rand_double (generator.random)) / rate * 1000;
        }
      curl_multi_perform (generator.multi, &running);
      finish_completed (&generator);
      if (now_ms > end_ms + MAX_WAIT_AFTER_END_S * 1000)
        break;
      curl_multi_poll (
          generator.multi, NULL, 0,
          next_ms < end_ms ? (int)CLAMP (next_ms - bench_now_ms (), 0, 20) : 20, NULL);
    }
  return generator.results;
}
