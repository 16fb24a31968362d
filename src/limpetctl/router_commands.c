#include "ctl.h"

#include "private/http_client.h"
#include "private/schema.h"

#include <stdio.h>

#define DUMP_TIMEOUT_MS 3000

static json_object *
fetch_dump (LimpetHttpClient *http, const char *router, LimpetError *error)
{
  char *url = g_strdup_printf ("%s/dump", router);
  LimpetHttpRequest request
      = { .method = "GET", .url = url, .timeout_ms = DUMP_TIMEOUT_MS };
  LimpetHttpResponse response;
  json_object *root = NULL;

  if (limpet_http_client_exchange (http, &request, &response, "dump", error)
      == LIMPET_STATUS_OK)
    root = limpet_schema_parse_response (response.body->str, response.body->len, router,
                                         error);
  g_free (url);
  return root;
}

static void
copy_field (json_object *destination, json_object *source, const char *key)
{
  json_object *value = NULL;

  if (json_object_object_get_ex (source, key, &value))
    json_object_object_add (destination, key, json_object_get (value));
}

static json_object *
make_status (json_object *dump)
{
  json_object *status = json_object_new_object ();
  json_object *bundle = json_object_object_get (dump, "bundle");

  copy_field (status, dump, "name");
  copy_field (status, dump, "zone");
  copy_field (status, dump, "state");
  copy_field (status, dump, "inflight");
  copy_field (status, bundle, "version");
  copy_field (status, bundle, "root");
  copy_field (status, bundle, "log_is_up");
  return status;
}

static json_object *
make_targets (json_object *dump)
{
  json_object *targets = json_object_object_get (dump, "targets");

  return json_object_get (json_object_object_get (targets, "list"));
}

static json_object *
make_dump (json_object *dump)
{
  return json_object_get (dump);
}

/* Fetches the state dump of each --router and prints the part that make() returns. */
static int
print_from_dumps (Ctl *ctl, json_object *(*make) (json_object *dump))
{
  LimpetHttpClient *http = limpet_http_client_new (LIMPET_COUNTER_PROBE_SENT_BYTES,
                                                   LIMPET_COUNTER_PROBE_RECEIVED_BYTES);
  int exit_code = CTL_EXIT_OK;

  if (ctl->routers == NULL)
    {
      fprintf (stderr, "limpetctl: this command needs --router\n");
      exit_code = CTL_EXIT_USAGE;
    }
  for (char **router = ctl->routers; router != NULL && *router != NULL; router++)
    {
      LimpetError error;
      json_object *dump = fetch_dump (http, *router, &error);

      if (dump == NULL)
        exit_code = ctl_report_error (&error);
      else
        ctl_print (ctl, make (dump));
      json_object_put (dump);
    }
  limpet_http_client_delete (http);
  return exit_code;
}

int
ctl_status (Ctl *ctl, char **arguments)
{
  (void)arguments;
  return print_from_dumps (ctl, make_status);
}

int
ctl_dump (Ctl *ctl, char **arguments)
{
  (void)arguments;
  return print_from_dumps (ctl, make_dump);
}

int
ctl_targets (Ctl *ctl, char **arguments)
{
  (void)arguments;
  return print_from_dumps (ctl, make_targets);
}
