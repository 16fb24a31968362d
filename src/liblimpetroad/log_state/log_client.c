#include "limpetroad/log_client.h"

#include "limpetroad/limits.h"
#include "private/http_client.h"
#include "private/schema.h"

#include <inttypes.h>
#include <string.h>

typedef struct
{
  LimpetLogClient parent;
  char *url;
  LimpetHttpClient *http;
} LimpetLogClientHttp;

static LimpetStatus
check_http_status (const LimpetLogClientHttp *self,
                   const LimpetHttpResponse *response,
                   const char *step,
                   LimpetError *error)
{
  if (response->code == 200)
    return LIMPET_STATUS_OK;
  return limpet_error_set (
      error,
      response->code == 429 || response->code == 503 ? LIMPET_STATUS_REFUSED
                                                     : LIMPET_STATUS_BROKEN,
      step, self->url, "the log returned HTTP status %ld", response->code);
}

static LimpetStatus
parse_response (const LimpetLogClientHttp *self,
                const LimpetHttpResponse *response,
                const char *step,
                json_object **root,
                LimpetError *error)
{
  *root = limpet_schema_parse_response (response->body->str, response->body->len,
                                        self->url, error);
  if (json_object_is_type (*root, json_type_object))
    return LIMPET_STATUS_OK;
  json_object_put (*root);
  *root = NULL;
  return limpet_error_set (error, LIMPET_STATUS_BROKEN, step, self->url,
                           "the log's response is not a JSON object");
}

static LimpetStatus
http_append (LimpetLogClient *client,
             const char *stream,
             const char *data,
             size_t length,
             int64_t *offset,
             LimpetError *error)
{
  LimpetLogClientHttp *self = (LimpetLogClientHttp *)client;
  char *url = g_strdup_printf ("%s/streams/%s/records", self->url, stream);
  LimpetHttpRequest request = {
    .method = "POST",
    .url = url,
    .body = data,
    .body_length = length,
    .timeout_ms = LIMPET_CONTROL_TIMEOUT_MS,
  };
  LimpetHttpResponse response;
  json_object *root = NULL;
  LimpetStatus status
      = limpet_http_client_exchange (self->http, &request, &response, "append", error);

  if (status == LIMPET_STATUS_OK)
    status = check_http_status (self, &response, "append", error);
  if (status == LIMPET_STATUS_OK)
    status = parse_response (self, &response, "append", &root, error);
  if (status == LIMPET_STATUS_OK)
    *offset = json_object_get_int64 (json_object_object_get (root, "offset"));
  json_object_put (root);
  g_free (url);
  return status;
}

static void
read_era (json_object *root, LimpetLogBatch *batch)
{
  json_object *era = NULL;

  batch->era = LIMPET_LOG_NO_ERA;
  if (!json_object_object_get_ex (root, "era", &era))
    return;
  batch->era_is_invalid
      = !json_object_is_type (era, json_type_int) || json_object_get_int64 (era) < 0;
  if (!batch->era_is_invalid)
    batch->era = json_object_get_int64 (era);
}

static void
read_records (json_object *root, LimpetLogBatch *batch)
{
  json_object *array = json_object_object_get (root, "records");

  batch->first_offset = json_object_get_int64 (json_object_object_get (root, "first"));
  batch->next_offset = json_object_get_int64 (json_object_object_get (root, "next"));
  if (!json_object_is_type (array, json_type_array))
    return;
  batch->count = json_object_array_length (array);
  batch->records = g_new0 (LimpetLogRecord, batch->count);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      json_object *entry = json_object_array_get_idx (array, i);
      json_object *data = json_object_object_get (entry, "data");
      LimpetLogRecord *record = &batch->records[i];

      record->offset = json_object_get_int64 (json_object_object_get (entry, "offset"));
      record->time_ms = json_object_get_int64 (json_object_object_get (entry, "time_ms"));
      record->data = g_strdup (data != NULL ? json_object_get_string (data) : "");
      record->length = strlen (record->data);
    }
}

static LimpetStatus
http_read (LimpetLogClient *client,
           const char *stream,
           int64_t from,
           LimpetMs wait_ms,
           LimpetLogBatch *batch,
           LimpetError *error)
{
  LimpetLogClientHttp *self = (LimpetLogClientHttp *)client;
  char *url = g_strdup_printf ("%s/streams/%s/records?from=%" PRId64 "&wait_ms=%" PRId64,
                               self->url, stream, from, wait_ms);
  LimpetHttpRequest request = {
    .method = "GET",
    .url = url,
    .timeout_ms = LIMPET_CONTROL_TIMEOUT_MS + wait_ms,
  };
  LimpetHttpResponse response;
  json_object *root = NULL;
  LimpetStatus status;

  *batch = (LimpetLogBatch){ .count = 0 };
  status = limpet_http_client_exchange (self->http, &request, &response, "read", error);
  if (status == LIMPET_STATUS_OK)
    status = check_http_status (self, &response, "read", error);
  if (status == LIMPET_STATUS_OK)
    status = parse_response (self, &response, "read", &root, error);
  if (status == LIMPET_STATUS_OK)
    {
      read_era (root, batch);
      read_records (root, batch);
    }
  json_object_put (root);
  g_free (url);
  return status;
}

static void
http_free (LimpetLogClient *client)
{
  LimpetLogClientHttp *self = (LimpetLogClientHttp *)client;

  limpet_http_client_delete (self->http);
  g_free (self->url);
  g_free (self);
}

static const LimpetLogClientOps http_ops = {
  .append = http_append,
  .read = http_read,
  .free = http_free,
};

LimpetLogClient *
limpet_log_client_http_new (const char *url)
{
  LimpetLogClientHttp *self = g_new0 (LimpetLogClientHttp, 1);

  self->parent.ops = &http_ops;
  self->url = g_strdup (url);
  self->http = limpet_http_client_new (LIMPET_COUNTER_LOG_SENT_BYTES,
                                       LIMPET_COUNTER_LOG_RECEIVED_BYTES);
  return &self->parent;
}

void
limpet_log_batch_clear (LimpetLogBatch *batch)
{
  for (uint32_t i = 0; i < batch->count; i++)
    g_free (batch->records[i].data);
  g_free (batch->records);
  *batch = (LimpetLogBatch){ .count = 0 };
}
