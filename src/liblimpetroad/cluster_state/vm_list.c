#include "limpetroad/vm_list.h"

#include "limpetroad/logger.h"
#include "private/http_client.h"
#include "private/schema.h"

#include <string.h>

const char *const limpet_vm_kind_string[LIMPET_VM_KIND_COUNT] = {
  [LIMPET_VM_ROUTER] = "router",
  [LIMPET_VM_ENGINE] = "engine",
  [LIMPET_VM_SERVICE] = "service",
};

bool
limpet_vm_has_same_address (const LimpetVm *a, const LimpetVm *b)
{
  return strcmp (a->address, b->address) == 0 && a->port == b->port;
}

bool
limpet_vm_is_same (const LimpetVm *a, const LimpetVm *b)
{
  return limpet_vm_has_same_address (a, b) && strcmp (a->id, b->id) == 0
         && strcmp (a->group, b->group) == 0 && strcmp (a->zone, b->zone) == 0
         && a->kind == b->kind && a->incarnation == b->incarnation && a->slots == b->slots
         && strcmp (a->software_version, b->software_version) == 0;
}

typedef struct
{
  LimpetVmListClient parent;
  char *url;
  LimpetHttpClient *http;
  char etag[LIMPET_NAME_SIZE]; /* of the last list that was accepted; empty before */
} LimpetVmListClientHttp;

static const LimpetField vm_fields[] = {
  { "id", LIMPET_FIELD_NAME, offsetof (LimpetVm, id), true, 0, 0, NULL },
  { "kind", LIMPET_FIELD_CUSTOM, 0, true, 0, 0, NULL },
  { "address", LIMPET_FIELD_NAME, offsetof (LimpetVm, address), true, 0, 0, NULL },
  { "port", LIMPET_FIELD_INT, offsetof (LimpetVm, port), true, 1, 65535, NULL },
  { "zone", LIMPET_FIELD_NAME, offsetof (LimpetVm, zone), true, 0, 0, NULL },
  { "group", LIMPET_FIELD_NAME, offsetof (LimpetVm, group), false, 0, 0, NULL },
  { "incarnation", LIMPET_FIELD_INT, offsetof (LimpetVm, incarnation), true, 0, INT64_MAX,
    NULL },
  { "software_version", LIMPET_FIELD_NAME, offsetof (LimpetVm, software_version), false,
    0, 0, NULL },
  { "slots", LIMPET_FIELD_INT, offsetof (LimpetVm, slots), false, 1, LIMPET_MAX_SLOTS,
    NULL },
  { "leaving", LIMPET_FIELD_BOOL, offsetof (LimpetVm, leaving), false, 0, 0, NULL },
  { .key = NULL },
};

static LimpetStatus
read_vm (json_object *entry, LimpetVm *vm, const char *path, LimpetError *error)
{
  LimpetStatus status = limpet_schema_read (entry, vm_fields, vm, path, error);
  const char *kind;

  if (status != LIMPET_STATUS_OK)
    return status;
  kind = json_object_get_string (json_object_object_get (entry, "kind"));
  for (int i = 0; i < LIMPET_VM_KIND_COUNT; i++)
    if (kind != NULL && strcmp (kind, limpet_vm_kind_string[i]) == 0)
      {
        vm->kind = i;
        return LIMPET_STATUS_OK;
      }
  return limpet_error_set (error, LIMPET_STATUS_INVALID, "vm_list", NULL,
                           "%s.kind: must be router, engine or service", path);
}

static LimpetStatus
read_list (json_object *root, LimpetVmList *list, LimpetError *error)
{
  json_object *array = json_object_object_get (root, "vms");

  if (!json_object_is_type (array, json_type_array)
      || json_object_array_length (array) > LIMPET_MAX_TARGETS)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "vm_list", NULL,
                             "vms: must be an array of at most %d entries",
                             LIMPET_MAX_TARGETS);
  list->vms = g_new0 (LimpetVm, json_object_array_length (array));
  for (size_t i = 0; i < json_object_array_length (array); i++)
    {
      LimpetVm *vm = &list->vms[list->count];
      char path[32];

      g_snprintf (path, sizeof path, "vms[%zu]", i);
      *vm = (LimpetVm){ .slots = 1 };
      if (read_vm (json_object_array_get_idx (array, i), vm, path, error)
          == LIMPET_STATUS_OK)
        list->count++;
      else
        limpet_log (LIMPET_LOG_WARNING, "vm_list", NULL, "entry ignored: %s",
                    error->message);
    }
  /* A complete list names at least the routers. */
  if (list->count == 0)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "vm_list", NULL,
                             "vms: names no VM that can be read, not even a router");
  return LIMPET_STATUS_OK;
}

static LimpetStatus
http_fetch (LimpetVmListClient *client, LimpetVmList *list, LimpetError *error)
{
  LimpetVmListClientHttp *self = (LimpetVmListClientHttp *)client;
  char *url = g_strdup_printf ("%s/vms", self->url);
  char *if_none_match = g_strdup_printf ("If-None-Match: %s", self->etag);
  const char *headers[] = { if_none_match, NULL };
  LimpetHttpRequest request = {
    .method = "GET",
    .url = url,
    .timeout_ms = LIMPET_CONTROL_TIMEOUT_MS,
    .headers = self->etag[0] != '\0' ? headers : NULL,
  };
  LimpetHttpResponse response;
  json_object *root = NULL;
  char *text = NULL;
  size_t length;
  LimpetStatus status;

  *list = (LimpetVmList){ .count = 0 };
  status
      = limpet_http_client_exchange (self->http, &request, &response, "vm_list", error);
  if (status != LIMPET_STATUS_OK)
    goto out;
  if (response.code == 304)
    {
      status = LIMPET_STATUS_UNCHANGED;
      goto out;
    }
  if (response.code != 200)
    {
      status = limpet_error_set (error, LIMPET_STATUS_BROKEN, "vm_list", self->url,
                                 "the VM list returned HTTP status %ld", response.code);
      goto out;
    }
  length = response.body->len;
  text = limpet_schema_limit_depth (response.body->str, &length);
  root = limpet_schema_parse_response (text, length, self->url, error);
  status = root != NULL ? read_list (root, list, error) : LIMPET_STATUS_INVALID;
  if (status == LIMPET_STATUS_OK)
    g_strlcpy (self->etag, response.etag, sizeof self->etag);

out:
  if (status != LIMPET_STATUS_OK)
    limpet_vm_list_clear (list);
  json_object_put (root);
  g_free (text);
  g_free (if_none_match);
  g_free (url);
  return status;
}

static void
http_free (LimpetVmListClient *client)
{
  LimpetVmListClientHttp *self = (LimpetVmListClientHttp *)client;

  limpet_http_client_delete (self->http);
  g_free (self->url);
  g_free (self);
}

static const LimpetVmListClientOps http_ops = {
  .fetch = http_fetch,
  .free = http_free,
};

LimpetVmListClient *
limpet_vm_list_client_http_new (const char *url)
{
  LimpetVmListClientHttp *self = g_new0 (LimpetVmListClientHttp, 1);

  self->parent.ops = &http_ops;
  self->url = g_strdup (url);
  self->http = limpet_http_client_new (LIMPET_COUNTER_PROBE_SENT_BYTES,
                                       LIMPET_COUNTER_PROBE_RECEIVED_BYTES);
  return &self->parent;
}

void
limpet_vm_list_clear (LimpetVmList *list)
{
  g_free (list->vms);
  *list = (LimpetVmList){ .count = 0 };
}
