#include "private/request.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/schema.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>
#include <xxhash.h>

#define SERVICE_PREFIX "/v1/services/"
#define BODY_BLOCK_BYTES 16384
/* Sent while the router has no configuration bundle. */
#define RETRY_AFTER_STARTING_MS 1000
/* Sent when there is no memory for a request. */
#define RETRY_AFTER_MEMORY_MS 1000
/* A buffer that grows may be twice as large as its content. */
#define BUFFER_FACTOR 2
/* Range of the X-Deadline-Ms header. */
#define MIN_DEADLINE_MS 10
#define MAX_DEADLINE_MS 600000

/* Sends an error response and ends the filter chain. */
static LimpetFilterResult
reject (LimpetRequest *call, int code, LimpetMs retry_after_ms, const LimpetError *error)
{
  LimpetReplyError reply = {
    .code = code,
    .outcome = LIMPET_OUTCOME_NOT_RUN,
    .retry_after_ms = retry_after_ms,
    .error = error,
  };

  limpet_reply_error (call, &reply);
  return LIMPET_FILTER_STOP;
}

/* Assigns the request id and takes a reference to the current bundle, which is used for
 * the whole call. Rejects the call if there is no bundle. */
static LimpetFilterResult
identify (const LimpetFilter *filter, LimpetRequest *call)
{
  uint8_t random[(LIMPET_ATTEMPT_ID_SIZE - 1) / 2];
  LimpetError error;

  (void)filter;
  randombytes_buf (random, sizeof random);
  sodium_bin2hex (call->request_id, sizeof call->request_id, random, sizeof random);
  call->bundle = limpet_bundle_controller_get (call->context->bundles);
  if (call->bundle != NULL)
    return LIMPET_FILTER_NEXT;
  limpet_error_set (&error, LIMPET_STATUS_OVERLOADED, "identify", NULL,
                    "this router has no configuration bundle yet");
  return reject (call, 503, RETRY_AFTER_STARTING_MS, &error);
}

/* Looks up the team by the bearer key. */
static LimpetFilterResult
authenticate (const LimpetFilter *filter, LimpetRequest *call)
{
  const char *header = limpet_request_header (call, "Authorization");
  char key_hash[LIMPET_HASH_HEX_SIZE];
  LimpetError error;

  (void)filter;
  if (header != NULL && g_ascii_strncasecmp (header, "Bearer ", 7) == 0)
    {
      limpet_hash_text (header + 7, key_hash);
      call->team = limpet_bundle_team (call->bundle, key_hash);
    }
  if (call->team != NULL)
    {
      limpet_byte_holder_set_owner (&call->holder, LIMPET_BYTE_OWNER_CALLER,
                                    g_str_hash (call->team->name) + 1ULL);
      return LIMPET_FILTER_NEXT;
    }
  limpet_counter_add (LIMPET_COUNTER_UNAUTHORIZED, 1);
  limpet_error_set (&error, LIMPET_STATUS_UNAUTHORIZED, "authenticate", NULL,
                    "no team has this API key");
  return reject (call, 401, 0, &error);
}

/* Rejects a request for which there is no memory now, or never. */
static LimpetFilterResult
reject_for_memory (LimpetRequest *call, size_t bytes)
{
  const LimpetByteAccount *account = call->holder.account;
  LimpetError error;

  limpet_counter_add (LIMPET_COUNTER_MEMORY_REFUSALS, 1);
  limpet_log (LIMPET_LOG_WARNING, "memory", NULL,
              "id=%s request refused held_bytes=%zu budget_bytes=%zu request_bytes=%zu",
              call->request_id, limpet_byte_account_held (account),
              limpet_byte_account_budget (account), bytes);
  limpet_error_set (&error, LIMPET_STATUS_OVERLOADED, "memory", NULL,
                    "no memory for the request");
  if (bytes > limpet_byte_account_largest_holding (account))
    return reject (call, 413, 0, &error);
  return reject (call, 503, RETRY_AFTER_MEMORY_MS, &error);
}

/* Returns what a body may take of which so much has been read: the whole of it once its
 * head has come, since bodies that each got a part could all wait for the rest. */
static size_t
needed_bytes (const LimpetRequest *call, size_t length)
{
  return BUFFER_FACTOR * (size_t)MAX (call->info->content_length, (long long)length);
}

/* Returns INVALID if the body is incomplete or too long, OVERLOADED if there is no memory
 * for it. */
static LimpetStatus
read_blocks (LimpetRequest *call, GString *body)
{
  char block[BODY_BLOCK_BYTES];

  if (!limpet_byte_holder_try_hold (&call->holder, needed_bytes (call, 0)))
    return LIMPET_STATUS_OVERLOADED;
  while (body->len <= LIMPET_MAX_BODY_BYTES)
    {
      int length = mg_read (call->connection, block, sizeof block);

      if (length == 0
          && (call->info->content_length < 0
              || body->len == (size_t)call->info->content_length))
        return LIMPET_STATUS_OK;
      if (length <= 0)
        return LIMPET_STATUS_INVALID;
      if (!limpet_byte_holder_try_hold (&call->holder,
                                        needed_bytes (call, body->len + (size_t)length)))
        return LIMPET_STATUS_OVERLOADED;
      g_string_append_len (body, block, length);
    }
  return LIMPET_STATUS_INVALID;
}

/* Reads the request body, up to LIMPET_MAX_BODY_BYTES. */
static LimpetFilterResult
read_body (const LimpetFilter *filter, LimpetRequest *call)
{
  GString *body = g_string_new (NULL);
  LimpetError error;
  LimpetStatus status = LIMPET_STATUS_INVALID;
  size_t needed;

  (void)filter;
  if (call->info->content_length <= LIMPET_MAX_BODY_BYTES)
    status = read_blocks (call, body);
  needed = needed_bytes (call, body->len + BODY_BLOCK_BYTES);
  call->body_length = body->len;
  call->body = g_string_free (body, FALSE);
  if (status == LIMPET_STATUS_OK)
    return LIMPET_FILTER_NEXT;
  if (status == LIMPET_STATUS_OVERLOADED)
    return reject_for_memory (call, needed);
  limpet_error_set (&error, LIMPET_STATUS_INVALID, "read", NULL,
                    "the request body is incomplete or longer than %d bytes",
                    LIMPET_MAX_BODY_BYTES);
  return reject (call, 413, 0, &error);
}

static LimpetStatus
parse_deadline (LimpetRequest *call, LimpetError *error)
{
  const char *header = limpet_request_header (call, "X-Deadline-Ms");
  int64_t deadline_ms = call->bundle->fleet.default_deadline_ms;
  char *end = NULL;

  if (header != NULL)
    {
      deadline_ms = g_ascii_strtoll (header, &end, 10);
      if (*end != '\0' || deadline_ms < MIN_DEADLINE_MS || deadline_ms > MAX_DEADLINE_MS)
        return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                                 "X-Deadline-Ms: must be a whole number from %d to %d",
                                 MIN_DEADLINE_MS, MAX_DEADLINE_MS);
    }
  call->deadline_ms = call->received_ms + deadline_ms;
  return LIMPET_STATUS_OK;
}

static LimpetStatus
check_messages (json_object *root, LimpetError *error)
{
  json_object *messages = json_object_object_get (root, "messages");

  if (!json_object_is_type (messages, json_type_array)
      || json_object_array_length (messages) == 0)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "messages: must be a non-empty array");
  for (size_t i = 0; i < json_object_array_length (messages); i++)
    {
      json_object *message = json_object_array_get_idx (messages, i);
      json_object *content = NULL;

      if (!json_object_is_type (message, json_type_object)
          || !json_object_object_get_ex (message, "content", &content)
          || !json_object_is_type (content, json_type_string))
        return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                                 "messages[%zu].content: must be a string", i);
    }
  return LIMPET_STATUS_OK;
}

/* Returns the key for session affinity. A chat is identified by its team and the
 * X-Chat-Id header, or else the prompt_cache_key field, or else its first two messages,
 * which stay the same in all requests of the chat. */
static uint64_t
hash_chat (const LimpetRequest *call)
{
  XXH64_state_t *state = XXH64_createState ();
  const char *chat_id = limpet_request_header (call, "X-Chat-Id");
  json_object *messages = json_object_object_get (call->json, "messages");
  json_object *key = json_object_object_get (call->json, "prompt_cache_key");
  uint64_t hash;

  XXH64_reset (state, 0);
  XXH64_update (state, call->team->name, strlen (call->team->name) + 1);
  if (chat_id == NULL && json_object_is_type (key, json_type_string))
    chat_id = json_object_get_string (key);
  if (chat_id != NULL)
    XXH64_update (state, chat_id, strlen (chat_id));
  for (size_t i = 0; chat_id == NULL && i < MIN (2, json_object_array_length (messages));
       i++)
    {
      const char *text = json_object_get_string (
          json_object_object_get (json_object_array_get_idx (messages, i), "content"));

      XXH64_update (state, text, strlen (text) + 1);
    }
  hash = XXH64_digest (state);
  XXH64_freeState (state);
  return hash;
}

static LimpetStatus
parse_max_tokens (LimpetRequest *call, LimpetError *error)
{
  json_object *value = NULL;
  int64_t max_tokens = 0;

  if (!json_object_object_get_ex (call->json, "max_tokens", &value))
    return LIMPET_STATUS_OK;
  max_tokens = json_object_get_int64 (value);
  if (!json_object_is_type (value, json_type_int) || max_tokens < 1)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "max_tokens: must be a whole number above 0");
  call->is_long = max_tokens > call->bundle->fleet.long_tokens;
  return LIMPET_STATUS_OK;
}

static LimpetStatus
parse_fields (LimpetRequest *call, LimpetError *error)
{
  json_object *model = json_object_object_get (call->json, "model");
  json_object *stream = json_object_object_get (call->json, "stream");
  LimpetStatus status;

  if (!json_object_is_type (model, json_type_string))
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "model: must be a string");
  call->model = json_object_get_string (model);
  if (limpet_bundle_model (call->bundle, call->model) == NULL)
    return limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "check", NULL,
                             "model: there is no model \"%.60s\"", call->model);
  if (stream != NULL && !json_object_is_type (stream, json_type_boolean))
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "stream: must be true or false");
  call->wants_stream = json_object_get_boolean (stream);
  status = check_messages (call->json, error);
  if (status == LIMPET_STATUS_OK)
    status = parse_max_tokens (call, error);
  if (status == LIMPET_STATUS_OK)
    status = parse_deadline (call, error);
  return status;
}

/* Parses and checks the body of a chat request. Sets the deadline, the session affinity
 * key and whether the chat is long. */
static LimpetFilterResult
parse_chat (const LimpetFilter *filter, LimpetRequest *call)
{
  LimpetError error;
  LimpetStatus status;
  size_t needed = limpet_schema_needed_bytes (call->body, call->body_length);

  (void)filter;
  limpet_counter_add (LIMPET_COUNTER_CHATS, 1);
  if (!limpet_byte_holder_try_hold (&call->holder, call->holder.bytes + needed))
    return reject_for_memory (call, call->holder.bytes + needed);
  call->json = limpet_schema_parse (call->body, call->body_length, "body", &error);
  if (call->json == NULL)
    return reject (call, 400, 0, &error);
  g_free (call->body);
  call->body = NULL;
  call->body_length = 0;
  limpet_byte_holder_set_bytes (&call->holder, needed);
  if (!json_object_is_type (call->json, json_type_object))
    {
      limpet_error_set (&error, LIMPET_STATUS_INVALID, "check", NULL,
                        "body: must be an object");
      return reject (call, 400, 0, &error);
    }
  status = parse_fields (call, &error);
  if (status != LIMPET_STATUS_OK)
    return reject (call, status == LIMPET_STATUS_NOT_FOUND ? 404 : 400, 0, &error);
  call->key_hash = hash_chat (call);
  return LIMPET_FILTER_NEXT;
}

/* Looks up the plain service by the path /v1/services/NAME/…, and sets the deadline. */
static LimpetFilterResult
parse_service (const LimpetFilter *filter, LimpetRequest *call)
{
  const char *rest = call->info->local_uri + strlen (SERVICE_PREFIX);
  const char *slash = strchr (rest, '/');
  char *name = slash != NULL ? g_strndup (rest, (gsize)(slash - rest)) : g_strdup (rest);
  LimpetError error;

  (void)filter;
  limpet_counter_add (LIMPET_COUNTER_ORDERS, 1);
  call->service = limpet_bundle_service (call->bundle, name);
  call->service_path = slash != NULL ? slash : "/";
  g_free (name);
  if (call->service == NULL)
    {
      limpet_error_set (&error, LIMPET_STATUS_NOT_FOUND, "check", NULL,
                        "there is no such service");
      return reject (call, 404, 0, &error);
    }
  if (strpbrk (call->service_path, " \r\n") != NULL)
    {
      limpet_error_set (&error, LIMPET_STATUS_INVALID, "check", NULL,
                        "path: must not contain spaces or line breaks");
      return reject (call, 400, 0, &error);
    }
  if (parse_deadline (call, &error) != LIMPET_STATUS_OK)
    return reject (call, 400, 0, &error);
  return LIMPET_FILTER_NEXT;
}

/* Sends the list of the bundle's models. */
static LimpetFilterResult
list_models (const LimpetFilter *filter, LimpetRequest *call)
{
  json_object *root = json_object_new_object ();
  json_object *array = json_object_new_array ();
  const char *text;

  (void)filter;
  for (uint32_t i = 0; i < call->bundle->models_count; i++)
    {
      json_object *entry = json_object_new_object ();

      json_object_object_add (entry, "id",
                              json_object_new_string (call->bundle->models[i].name));
      json_object_object_add (entry, "object", json_object_new_string ("model"));
      json_object_array_add (array, entry);
    }
  json_object_object_add (root, "object", json_object_new_string ("list"));
  json_object_object_add (root, "data", array);
  text = json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN);
  call->outcome = LIMPET_OUTCOME_DONE;
  limpet_reply_body (call, 200, "application/json", "", text, strlen (text));
  json_object_put (root);
  return LIMPET_FILTER_STOP;
}

static const LimpetFilterOps identify_ops = { .name = "identify", .process = identify };
static const LimpetFilterOps authenticate_ops
    = { .name = "authenticate", .process = authenticate };
static const LimpetFilterOps read_body_ops
    = { .name = "read_body", .process = read_body };
static const LimpetFilterOps parse_chat_ops
    = { .name = "parse_chat", .process = parse_chat };
static const LimpetFilterOps parse_service_ops
    = { .name = "parse_service", .process = parse_service };
static const LimpetFilterOps list_models_ops
    = { .name = "list_models", .process = list_models };

static const LimpetFilter identify_filter = { .ops = &identify_ops };
static const LimpetFilter authenticate_filter = { .ops = &authenticate_ops };
static const LimpetFilter read_body_filter = { .ops = &read_body_ops };
static const LimpetFilter parse_chat_filter = { .ops = &parse_chat_ops };
static const LimpetFilter parse_service_filter = { .ops = &parse_service_ops };
static const LimpetFilter list_models_filter = { .ops = &list_models_ops };

const LimpetFilter *const limpet_chat_chain[] = {
  &identify_filter,   &authenticate_filter,     &read_body_filter,
  &parse_chat_filter, &limpet_filter_send_chat, NULL,
};

const LimpetFilter *const limpet_service_chain[] = {
  &identify_filter,      &authenticate_filter,        &read_body_filter,
  &parse_service_filter, &limpet_filter_send_service, NULL,
};

const LimpetFilter *const limpet_models_chain[] = {
  &identify_filter,
  &authenticate_filter,
  &list_models_filter,
  NULL,
};
