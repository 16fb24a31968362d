#include "private/request.h"

#include "limpetroad/counters.h"
#include "private/schema.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* Forwards the events to the caller. The events of one read from the engine, up to
 * MAX_CHUNK_BYTES and one event, form one chunk, which is sent with one write. */
typedef struct
{
  LimpetChatSink parent;
  LimpetRequest *call;
  GString *chunk; /* the chunk's size line and the events of one read */
} StreamSink;

/* Collects the response for a caller that did not request a stream. */
typedef struct
{
  LimpetChatSink parent;
  LimpetByteHolder holder;
  GString *content;
  LimpetAttemptResponse response;
  int64_t tokens;
} BufferedSink;

/* libcurl may pass on several hundred KiB in one read from an engine. */
#define MAX_CHUNK_BYTES (8 * 1024)
/* A response is in the buffer that collects it, in the object made of it and in the text
 * made of that; buffers may be twice as large as their content. */
#define RESPONSE_FACTOR 5
#define CHUNK_SIZE_LINE_BYTES 10 /* eight hexadecimal digits and CRLF */

static bool
stream_begin (LimpetChatSink *sink, const LimpetAttemptResponse *response)
{
  StreamSink *self = (StreamSink *)sink;
  LimpetRequest *call = self->call;

  return mg_printf (call->connection,
                    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
                    "Cache-Control: no-cache\r\nTransfer-Encoding: chunked\r\n"
                    "X-Request-Id: %s\r\nX-Prompt-Tokens: %" PRId64 "\r\n"
                    "X-Cached-Tokens: %" PRId64 "\r\n%s\r\n",
                    call->request_id, response->prompt_tokens, response->cached_tokens,
                    atomic_load (&call->context->draining) ? "Connection: close\r\n" : "")
         > 0;
}

static bool
stream_flush (LimpetChatSink *sink)
{
  StreamSink *self = (StreamSink *)sink;
  size_t length = self->chunk->len;
  char head[CHUNK_SIZE_LINE_BYTES + 1];
  bool written;

  if (length == 0)
    return true;
  g_snprintf (head, sizeof head, "%08x\r\n", (unsigned)(length - CHUNK_SIZE_LINE_BYTES));
  memcpy (self->chunk->str, head, CHUNK_SIZE_LINE_BYTES);
  g_string_append_len (self->chunk, "\r\n", 2);
  written = mg_write (self->call->connection, self->chunk->str, self->chunk->len)
            == (int)self->chunk->len;
  if (self->chunk->allocated_len > LIMPET_SMALL_HOLDER_BYTES)
    {
      g_string_free (self->chunk, TRUE);
      self->chunk = g_string_new (NULL);
    }
  g_string_truncate (self->chunk, 0);
  return written;
}

static bool
stream_event (LimpetChatSink *sink, const LimpetSseEvent *event)
{
  StreamSink *self = (StreamSink *)sink;

  /* Reserves space for the size line, which stream_flush() writes. */
  if (self->chunk->len == 0)
    g_string_append_len (self->chunk, "00000000\r\n", CHUNK_SIZE_LINE_BYTES);
  g_string_append_len (self->chunk, event->raw, (gssize)event->raw_length);
  return self->chunk->len < MAX_CHUNK_BYTES || stream_flush (sink);
}

static const LimpetChatSinkOps stream_ops = {
  .begin = stream_begin,
  .event = stream_event,
  .flush = stream_flush,
};

static bool
buffered_begin (LimpetChatSink *sink, const LimpetAttemptResponse *response)
{
  ((BufferedSink *)sink)->response = *response;
  return true;
}

/* Appends the text of a token. The end marker is not JSON and has no effect. */
static bool
buffered_event (LimpetChatSink *sink, const LimpetSseEvent *event)
{
  BufferedSink *self = (BufferedSink *)sink;
  size_t kept = RESPONSE_FACTOR * (self->content->len + event->data_length);
  json_tokener *tokener;
  json_object *root;
  json_object *choices = NULL;
  json_object *delta = NULL;
  json_object *content = NULL;

  sink->is_full = !limpet_byte_holder_try_hold (
      &self->holder, kept + limpet_schema_needed_bytes (event->data, event->data_length));
  if (sink->is_full)
    return false;
  tokener = json_tokener_new_ex (LIMPET_MAX_JSON_DEPTH);
  root = json_tokener_parse_ex (tokener, event->data, (int)event->data_length);
  if (json_object_is_type (root, json_type_object)
      && json_object_object_get_ex (root, "choices", &choices)
      && json_object_is_type (choices, json_type_array)
      && json_object_object_get_ex (json_object_array_get_idx (choices, 0), "delta",
                                    &delta)
      && json_object_object_get_ex (delta, "content", &content))
    {
      g_string_append (self->content, json_object_get_string (content));
      self->tokens++;
    }
  json_object_put (root);
  json_tokener_free (tokener);
  limpet_byte_holder_set_bytes (&self->holder, kept);
  return true;
}

static bool
buffered_flush (LimpetChatSink *sink)
{
  (void)sink;
  return true;
}

static const LimpetChatSinkOps buffered_ops = {
  .begin = buffered_begin,
  .event = buffered_event,
  .flush = buffered_flush,
};

/* Sends the engine's 4xx response to the caller. */
static void
reply_target_error (LimpetRequest *call, const LimpetChatResult *result)
{
  const char *body = result->target_body != NULL ? result->target_body : "";

  call->outcome = result->outcome;
  limpet_reply_body (call, (int)result->target_code, "application/json", "", body,
                     strlen (body));
}

static void
reply_failure (LimpetRequest *call, const LimpetChatResult *result)
{
  LimpetReplyError reply = {
    .code = result->outcome == LIMPET_OUTCOME_NOT_RUN ? 503 : 504,
    .outcome = result->outcome,
    .retry_after_ms = result->retry_after_ms,
    .error = &result->error,
  };

  if (result->target_code != 0)
    reply_target_error (call, result);
  else
    limpet_reply_error (call, &reply);
}

/* Ends a stream. If the response is incomplete, sends an error event and omits the chunk
 * of length 0 that ends a body, so that clients can detect the incomplete response. */
static void
end_stream (LimpetRequest *call, StreamSink *sink, const LimpetChatResult *result)
{
  json_object *root;
  char *event;

  if (result->outcome == LIMPET_OUTCOME_DONE)
    {
      mg_write (call->connection, "0\r\n\r\n", 5);
      return;
    }
  root = limpet_reply_error_object (call, result->outcome, &result->error);
  event = g_strdup_printf ("event: error\ndata: %s\n\n",
                           json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  stream_event (&sink->parent,
                &(LimpetSseEvent){ .raw = event, .raw_length = strlen (event) });
  stream_flush (&sink->parent);
  mg_disable_connection_keep_alive (call->connection);
  g_free (event);
}

/* Sends the collected response as one chat.completion object. */
static void
reply_completion (LimpetRequest *call, const BufferedSink *sink)
{
  json_object *root = json_object_new_object ();
  json_object *choices = json_object_new_array ();
  json_object *choice = json_object_new_object ();
  json_object *message = json_object_new_object ();
  json_object *usage = json_object_new_object ();
  char headers[128];
  const char *text;

  json_object_object_add (message, "role", json_object_new_string ("assistant"));
  json_object_object_add (message, "content",
                          json_object_new_string (sink->content->str));
  json_object_object_add (choice, "index", json_object_new_int (0));
  json_object_object_add (choice, "message", message);
  json_object_object_add (choice, "finish_reason", json_object_new_string ("stop"));
  json_object_array_add (choices, choice);
  json_object_object_add (usage, "prompt_tokens",
                          json_object_new_int64 (sink->response.prompt_tokens));
  json_object_object_add (usage, "completion_tokens",
                          json_object_new_int64 (sink->tokens));
  json_object_object_add (root, "id", json_object_new_string (call->request_id));
  json_object_object_add (root, "object", json_object_new_string ("chat.completion"));
  json_object_object_add (root, "model", json_object_new_string (call->model));
  json_object_object_add (root, "choices", choices);
  json_object_object_add (root, "usage", usage);
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  g_snprintf (headers, sizeof headers,
              "X-Prompt-Tokens: %" PRId64 "\r\nX-Cached-Tokens: %" PRId64 "\r\n",
              sink->response.prompt_tokens, sink->response.cached_tokens);
  limpet_reply_body (call, 200, "application/json", headers, text, strlen (text));
  json_object_put (root);
}

static void
run_stream (LimpetRequest *call, const LimpetChatRequest *request)
{
  StreamSink sink = { .parent = { .ops = &stream_ops }, .call = call };
  LimpetChatResult result;

  sink.chunk = g_string_new (NULL);
  limpet_chat_run (&call->context->chat, request, &sink.parent, &result);
  call->outcome = result.outcome;
  if (result.has_begun)
    end_stream (call, &sink, &result);
  else
    reply_failure (call, &result);
  g_string_free (sink.chunk, TRUE);
  g_free (result.target_body);
}

static void
run_buffered (LimpetRequest *call, const LimpetChatRequest *request)
{
  BufferedSink sink = {
    .parent = { .ops = &buffered_ops },
    .holder = { .account = call->context->chat.account },
  };
  LimpetChatResult result;

  sink.content = g_string_new (NULL);
  limpet_byte_holder_set_owner (&sink.holder, LIMPET_BYTE_OWNER_CALLER,
                                call->holder.keys[LIMPET_BYTE_OWNER_CALLER]);
  limpet_chat_run (&call->context->chat, request, &sink.parent, &result);
  call->outcome = result.outcome;
  if (result.outcome == LIMPET_OUTCOME_DONE)
    reply_completion (call, &sink);
  else
    reply_failure (call, &result);
  limpet_byte_holder_clear (&sink.holder);
  g_string_free (sink.content, TRUE);
  g_free (result.target_body);
}

/* Runs the chat on engines and sends the response to the caller. */
static LimpetFilterResult
send_chat (const LimpetFilter *filter, LimpetRequest *call)
{
  LimpetChatRequest request = {
    .bundle = call->bundle,
    .team = call->team,
    .model = call->model,
    .request_id = call->request_id,
    .key_hash = call->key_hash,
    .is_long = call->is_long,
    .deadline_ms = call->deadline_ms,
  };

  (void)filter;
  json_object_object_add (call->json, "stream", json_object_new_boolean (true));
  request.body = json_object_to_json_string_length (call->json, JSON_C_TO_STRING_PLAIN,
                                                    &request.body_length);
  request.model = json_object_get_string (json_object_object_get (call->json, "model"));
  if (call->wants_stream)
    run_stream (call, &request);
  else
    run_buffered (call, &request);
  return LIMPET_FILTER_STOP;
}

static const LimpetFilterOps ops = { .name = "send_chat", .process = send_chat };

const LimpetFilter limpet_filter_send_chat = { .ops = &ops };
