#include "fake.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int
fake_respond (struct mg_connection *connection,
              int code,
              const char *extra_headers,
              json_object *object)
{
  size_t length = 0;
  const char *text
      = json_object_to_json_string_length (object, JSON_C_TO_STRING_PLAIN, &length);

  mg_printf (
      connection,
      "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n%s\r\n",
      code, mg_get_response_code_text (connection, code), length, extra_headers);
  mg_write (connection, text, length);
  json_object_put (object);
  return code;
}

char *
fake_read_body (struct mg_connection *connection)
{
  GString *body = g_string_new (NULL);
  char block[16384];
  int length;

  while ((length = mg_read (connection, block, sizeof block)) > 0)
    g_string_append_len (body, block, length);
  return g_string_free (body, FALSE);
}

json_object *
fake_read_json (struct mg_connection *connection)
{
  char *body = fake_read_body (connection);
  json_object *object = json_tokener_parse (body);

  g_free (body);
  return object;
}

int64_t
fake_number (json_object *object, const char *key, int64_t fallback)
{
  json_object *value = NULL;

  if (!json_object_object_get_ex (object, key, &value))
    return fallback;
  return json_object_get_int64 (value);
}

int64_t
fake_query_number (struct mg_connection *connection, const char *key, int64_t fallback)
{
  const char *query = mg_get_request_info (connection)->query_string;
  char value[32];

  if (query == NULL || mg_get_var (query, strlen (query), key, value, sizeof value) <= 0)
    return fallback;
  return g_ascii_strtoll (value, NULL, 10);
}

typedef struct
{
  const char *name;
  void (*start) (struct mg_context *server, const FakeOptions *options);
} Role;

static const Role roles[] = {
  { "log", fake_log_start },
  { "vms", fake_vms_start },
  { "engine", fake_engine_start },
  { "service", fake_service_start },
};

static const Role *
find_role (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (roles); i++)
    if (strcmp (roles[i].name, name) == 0)
      return &roles[i];
  return NULL;
}

typedef struct
{
  const Role *role;
  const FakeOptions *options;
} Fake;

static void
start_role (const struct mg_context *context)
{
  const Fake *fake = mg_get_user_data (context);

  fake->role->start ((struct mg_context *)context, fake->options);
}

static int
run (const Role *role, const FakeOptions *options)
{
  const struct mg_callbacks callbacks = { .init_context = start_role };
  Fake fake = { .role = role, .options = options };
  char port[80];
  char threads[16];
  const char *server_options[] = {
    "listening_ports",
    port,
    "num_threads",
    threads,
    "enable_keep_alive",
    "yes",
    "keep_alive_timeout_ms",
    "60000",
    "request_timeout_ms",
    "60000",
    "tcp_nodelay",
    "1",
    "listen_backlog",
    "1024",
    "connection_queue",
    "1024",
    NULL,
  };
  struct mg_context *server;
  sigset_t signals;
  int number = 0;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  sigaddset (&signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  g_snprintf (port, sizeof port, "%s:%d", options->address, options->port);
  g_snprintf (threads, sizeof threads, "%d", options->threads);
  mg_init_library (0);
  server = mg_start (&callbacks, &fake, server_options);
  if (server == NULL)
    {
      fprintf (stderr, "limpetfake: cannot listen on %s\n", port);
      return EXIT_FAILURE;
    }
  sigwait (&signals, &number);
  _Exit (EXIT_SUCCESS);
}

int
main (int argc, char **argv)
{
  FakeOptions options = {
    .address = "127.0.0.1",
    .threads = 64,
    .name = "fake",
    .slots = 16,
    .queue = 4,
    .step_ms = 20,
    .prefill_tokens = 512,
    .cache_blocks = 20000,
    .lag_ms = 1000,
    .retention_ms = 3600000,
    .appends_per_s = 400,
  };
  GOptionEntry entries[] = {
    { "address", 0, 0, G_OPTION_ARG_STRING, &options.address, "Address to listen on",
      "IP" },
    { "port", 0, 0, G_OPTION_ARG_INT, &options.port, "Port to listen on", "N" },
    { "threads", 0, 0, G_OPTION_ARG_INT, &options.threads, "Concurrent requests", "N" },
    { "name", 0, 0, G_OPTION_ARG_STRING, &options.name, "VM id", "ID" },
    { "slots", 0, 0, G_OPTION_ARG_INT, &options.slots, "Engine: concurrent requests",
      "N" },
    { "queue", 0, 0, G_OPTION_ARG_INT, &options.queue, "Engine: queued requests", "N" },
    { "step-ms", 0, 0, G_OPTION_ARG_INT, &options.step_ms, "Engine: duration of a step",
      "MS" },
    { "prefill-tokens", 0, 0, G_OPTION_ARG_INT, &options.prefill_tokens,
      "Engine: prompt tokens processed in a step", "N" },
    { "cache-blocks", 0, 0, G_OPTION_ARG_INT, &options.cache_blocks,
      "Engine: size of the prefix cache in blocks of 16 tokens", "N" },
    { "lag-ms", 0, 0, G_OPTION_ARG_INT, &options.lag_ms,
      "VM list, engine: age of the reported state", "MS" },
    { "delay-ms", 0, 0, G_OPTION_ARG_INT, &options.delay_ms,
      "Log, service: delay of a response", "MS" },
    { "retention-ms", 0, 0, G_OPTION_ARG_INT, &options.retention_ms,
      "Log: time for which records are kept", "MS" },
    { "appends-per-s", 0, 0, G_OPTION_ARG_INT, &options.appends_per_s,
      "Log: maximum appends per second", "N" },
    { "fencing", 0, 0, G_OPTION_ARG_INT, &options.fencing,
      "Service: reject lower fencing numbers", "0|1" },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *context
      = g_option_context_new ("log|vms|engine|service - fake servers for tests");
  const Role *role = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  if (g_option_context_parse (context, &argc, &argv, NULL) && argc == 2)
    role = find_role (argv[1]);
  g_option_context_free (context);
  if (role == NULL)
    {
      fprintf (stderr, "limpetfake: give one of log, vms, engine, service; see --help\n");
      return 2;
    }
  return run (role, &options);
}
