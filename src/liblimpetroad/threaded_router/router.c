#include "limpetroad/router.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/request.h"
#include "private/peer_controller.h"
#include "private/target_controller.h"

#include <curl/curl.h>
#include <dlfcn.h>
#include <glib.h>
#include <sodium.h>
#include <string.h>

#define MAX_CONTROLLERS 4
/* Options of CivetWeb. */
#define OPERATOR_THREADS "4"
#define REQUEST_TIMEOUT_MS "10000"
#define KEEP_ALIVE_TIMEOUT_MS "1000"
/* Part of the VM's memory that the router holds for others at most. */
#define BUDGET_PART 4

const char *const limpet_router_phase_string[LIMPET_ROUTER_PHASE_COUNT] = {
  [LIMPET_ROUTER_NEW] = "new",         [LIMPET_ROUTER_STARTING] = "starting",
  [LIMPET_ROUTER_READY] = "ready",     [LIMPET_ROUTER_DRAINING] = "draining",
  [LIMPET_ROUTER_STOPPED] = "stopped",
};

struct LimpetRouter
{
  const LimpetSettings *settings;
  LimpetRequestContext context;
  LimpetTargetController *target_controller;
  LimpetPeerController *peer_controller;
  LimpetController *controllers[MAX_CONTROLLERS];
  uint32_t controllers_count;
  struct mg_context *caller_server;
  struct mg_context *operator_server;
  LimpetMs started_ms;
  bool stopped;
};

LimpetRouter *
limpet_router_new (const LimpetSettings *settings)
{
  LimpetRouter *router = g_new0 (LimpetRouter, 1);

  router->settings = settings;
  return router;
}

LimpetRouterPhase
limpet_router_phase (LimpetRouter *router)
{
  if (router->stopped)
    return LIMPET_ROUTER_STOPPED;
  if (router->caller_server == NULL)
    return LIMPET_ROUTER_NEW;
  if (atomic_load (&router->context.draining))
    return LIMPET_ROUTER_DRAINING;
  if (limpet_bundle_controller_version (router->context.bundles) == 0
      || !limpet_target_controller_is_ready (router->target_controller))
    return LIMPET_ROUTER_STARTING;
  return LIMPET_ROUTER_READY;
}

uint32_t
limpet_router_inflight (LimpetRouter *router)
{
  return atomic_load (&router->context.inflight)
         + limpet_claim_controller_unrecorded_count (router->context.claims);
}

static int
reply_text (struct mg_connection *connection,
            int code,
            const char *type,
            const char *text)
{
  mg_printf (connection,
             "HTTP/1.1 %d %s\r\nContent-Type: %s\r\nContent-Length: %zu\r\n\r\n", code,
             limpet_reply_reason_phrase (code), type, strlen (text));
  mg_write (connection, text, strlen (text));
  return code;
}

/* Runs a filter chain on the request. While the router drains, the connection is closed
 * after the response. */
static int
run_chain (struct mg_connection *connection, void *user, const LimpetFilter *const *chain)
{
  LimpetRouter *router = user;

  if (atomic_load (&router->context.draining))
    mg_disable_connection_keep_alive (connection);
  limpet_request_run (&router->context, connection, chain);
  return 200;
}

static int
handle_chat (struct mg_connection *connection, void *user)
{
  if (strcmp (mg_get_request_info (connection)->request_method, "POST") != 0)
    return reply_text (connection, 405, "text/plain", "use POST\n");
  return run_chain (connection, user, limpet_chat_chain);
}

static int
handle_service (struct mg_connection *connection, void *user)
{
  return run_chain (connection, user, limpet_service_chain);
}

static int
handle_models (struct mg_connection *connection, void *user)
{
  return run_chain (connection, user, limpet_models_chain);
}

static int
handle_health (struct mg_connection *connection, void *user)
{
  (void)user;
  return reply_text (connection, 200, "text/plain", "alive\n");
}

static int
handle_ready (struct mg_connection *connection, void *user)
{
  LimpetRouterPhase state = limpet_router_phase (user);
  char text[32];

  g_snprintf (text, sizeof text, "%s\n", limpet_router_phase_string[state]);
  return reply_text (connection, state == LIMPET_ROUTER_READY ? 200 : 503, "text/plain",
                     text);
}

static int
handle_metrics (struct mg_connection *connection, void *user)
{
  char *text = limpet_counters_render ();

  (void)user;
  reply_text (connection, 200, "text/plain; version=0.0.4", text);
  g_free (text);
  return 200;
}

static json_object *
dump_state (LimpetRouter *router)
{
  json_object *root = json_object_new_object ();
  json_object *admission = json_object_new_object ();
  LimpetRouterPhase state = limpet_router_phase (router);

  json_object_object_add (root, "name", json_object_new_string (router->settings->name));
  json_object_object_add (root, "zone", json_object_new_string (router->settings->zone));
  json_object_object_add (root, "state",
                          json_object_new_string (limpet_router_phase_string[state]));
  json_object_object_add (root, "inflight",
                          json_object_new_int64 (limpet_router_inflight (router)));
  json_object_object_add (
      root, "uptime_ms",
      json_object_new_int64 (limpet_clock_mono_ms () - router->started_ms));
  limpet_admission_dump (router->context.chat.admission, admission);
  json_object_object_add (root, "admission", admission);
  for (uint32_t i = 0; i < router->controllers_count; i++)
    {
      json_object *part = json_object_new_object ();

      router->controllers[i]->ops->dump (router->controllers[i], part);
      json_object_object_add (root, router->controllers[i]->ops->name, part);
    }
  return root;
}

static int
handle_dump (struct mg_connection *connection, void *user)
{
  json_object *root = dump_state (user);

  reply_text (connection, 200, "application/json",
              json_object_to_json_string_ext (root, JSON_C_TO_STRING_PRETTY));
  json_object_put (root);
  return 200;
}

static int
on_log_message (const struct mg_connection *connection, const char *message)
{
  (void)connection;
  limpet_log (LIMPET_LOG_WARNING, "http", NULL, "%s", message);
  return 1;
}

/* Returns whether CivetWeb can do TLS handshakes with the installed OpenSSL.
 * CivetWeb 1.15 looks up SSL_get_peer_certificate at run time. OpenSSL 3 does not export
 * this symbol, and CivetWeb then calls a null pointer in the first TLS handshake. */
static bool
tls_is_usable (void)
{
  void *library = dlopen ("libssl.so.3", RTLD_LAZY);
  bool usable = library == NULL || dlsym (library, "SSL_get_peer_certificate") != NULL;

  if (library != NULL)
    dlclose (library);
  return usable;
}

/* Both run before CivetWeb handles requests: a path without a handler gets 404. */
static void
add_operator_handlers (const struct mg_context *context)
{
  struct mg_context *server = (struct mg_context *)context;
  LimpetRouter *router = mg_get_user_data (context);

  mg_set_request_handler (server, "/metrics$", handle_metrics, router);
  mg_set_request_handler (server, "/dump$", handle_dump, router);
  mg_set_request_handler (server, "/healthz$", handle_health, router);
  mg_set_request_handler (server, "/readyz$", handle_ready, router);
}

static void
add_caller_handlers (const struct mg_context *context)
{
  struct mg_context *server = (struct mg_context *)context;
  LimpetRouter *router = mg_get_user_data (context);

  mg_set_request_handler (server, "/v1/chat/completions$", handle_chat, router);
  mg_set_request_handler (server, "/v1/services/", handle_service, router);
  mg_set_request_handler (server, "/v1/models$", handle_models, router);
  mg_set_request_handler (server, "/healthz$", handle_health, router);
  mg_set_request_handler (server, "/readyz$", handle_ready, router);
}

static struct mg_context *
open_port (LimpetRouter *router,
           const LimpetListener *listener,
           const char *threads,
           const char *step,
           void (*add_handlers) (const struct mg_context *context),
           LimpetError *error)
{
  const struct mg_callbacks callbacks
      = { .log_message = on_log_message, .init_context = add_handlers };
  bool tls = listener->tls_certificate_file != NULL;
  char port[LIMPET_NAME_SIZE + 16];
  const char *options[] = {
    "listening_ports",
    port,
    "num_threads",
    threads,
    "request_timeout_ms",
    REQUEST_TIMEOUT_MS,
    "enable_keep_alive",
    "yes",
    "keep_alive_timeout_ms",
    KEEP_ALIVE_TIMEOUT_MS,
    "tcp_nodelay",
    "1",
    "listen_backlog",
    "1024",
    "connection_queue",
    "1024",
    tls ? "ssl_certificate" : NULL,
    listener->tls_certificate_file,
    NULL,
  };
  struct mg_context *server;

  if (tls && !tls_is_usable ())
    {
      limpet_error_set (
          error, LIMPET_STATUS_INTERNAL, step, NULL,
          "settings.%s.tls_certificate_file: CivetWeb is not compatible with the "
          "installed OpenSSL",
          step);
      return NULL;
    }
  g_snprintf (port, sizeof port, "%s:%d%s", listener->address, (int)listener->port,
              tls ? "s" : "");
  server = mg_start (&callbacks, router, options);
  if (server == NULL)
    limpet_error_set (error, LIMPET_STATUS_INTERNAL, step, NULL, "cannot listen on %s",
                      port);
  return server;
}

static LimpetStatus
open_ports (LimpetRouter *router, LimpetError *error)
{
  char workers[16];

  g_snprintf (workers, sizeof workers, "%d", (int)router->settings->workers);
  router->operator_server
      = open_port (router, &router->settings->operators, OPERATOR_THREADS, "operators",
                   add_operator_handlers, error);
  if (router->operator_server == NULL)
    return LIMPET_STATUS_INTERNAL;
  router->caller_server = open_port (router, &router->settings->callers, workers,
                                     "callers", add_caller_handlers, error);
  return router->caller_server != NULL ? LIMPET_STATUS_OK : LIMPET_STATUS_INTERNAL;
}

static void
add_controller (LimpetRouter *router, LimpetController *controller)
{
  g_assert (router->controllers_count < MAX_CONTROLLERS);
  router->controllers[router->controllers_count++] = controller;
}

/* Fills the context of the requests and creates the controllers. */
static void
create_controllers (LimpetRouter *router)
{
  LimpetRequestContext *context = &router->context;

  context->settings = router->settings;
  context->targets = limpet_targets_new ();
  context->bundles = limpet_bundle_controller_new (router->settings);
  context->chat = (LimpetChatContext){
    .admission = limpet_admission_new (context->targets),
    .account = limpet_byte_account_new ((size_t)router->settings->memory_mb * 1024 * 1024
                                        / BUDGET_PART),
    .retry_bucket = limpet_retry_bucket_new (),
    .first_token = limpet_latency_new (),
  };
  router->target_controller = limpet_target_controller_new (
      router->settings, context->targets, context->bundles);
  router->peer_controller = limpet_peer_controller_new (
      router->settings, context->targets, context->bundles, context->chat.admission);
  context->claims
      = limpet_claim_controller_new (router->settings, router->peer_controller);
  limpet_target_controller_set_observers (
      router->target_controller, limpet_peer_controller_update,
      limpet_peer_controller_request_digest, router->peer_controller);
  add_controller (router, (LimpetController *)context->bundles);
  add_controller (router, (LimpetController *)context->claims);
  add_controller (router, (LimpetController *)router->peer_controller);
  add_controller (router, (LimpetController *)router->target_controller);
}

LimpetStatus
limpet_router_init (LimpetRouter *router, LimpetError *error)
{
  LimpetStatus status;

  if (sodium_init () < 0 || curl_global_init (CURL_GLOBAL_DEFAULT) != CURLE_OK)
    return limpet_error_set (error, LIMPET_STATUS_INTERNAL, "init", NULL,
                             "libsodium or libcurl failed to initialize");
  mg_init_library (router->settings->callers.tls_certificate_file != NULL
                           || router->settings->operators.tls_certificate_file != NULL
                       ? MG_FEATURES_TLS
                       : 0);
  router->started_ms = limpet_clock_mono_ms ();
  create_controllers (router);
  for (uint32_t i = 0; i < router->controllers_count; i++)
    router->controllers[i]->ops->start (router->controllers[i]);
  status = open_ports (router, error);
  if (status == LIMPET_STATUS_OK)
    limpet_log (LIMPET_LOG_NOTICE, "router", NULL, "listening on %s:%d, zone %s",
                router->settings->callers.address, (int)router->settings->callers.port,
                router->settings->zone);
  return status;
}

void
limpet_router_drain (LimpetRouter *router)
{
  limpet_peer_controller_drain (router->peer_controller);
  if (!atomic_exchange (&router->context.draining, true))
    limpet_log (LIMPET_LOG_NOTICE, "router", NULL,
                "draining, %u requests in flight or outcomes not yet in the log",
                limpet_router_inflight (router));
}

void
limpet_router_finish (LimpetRouter *router)
{
  if (router->caller_server != NULL)
    mg_stop (router->caller_server);
  if (router->operator_server != NULL)
    mg_stop (router->operator_server);
  for (uint32_t i = router->controllers_count; i > 0; i--)
    router->controllers[i - 1]->ops->stop (router->controllers[i - 1]);
  router->stopped = true;
  limpet_log (LIMPET_LOG_NOTICE, "router", NULL, "stopped");
}

void
limpet_router_delete (LimpetRouter *router)
{
  if (router == NULL)
    return;
  for (uint32_t i = router->controllers_count; i > 0; i--)
    router->controllers[i - 1]->ops->free (router->controllers[i - 1]);
  limpet_admission_delete (router->context.chat.admission);
  limpet_byte_account_delete (router->context.chat.account);
  limpet_retry_bucket_delete (router->context.chat.retry_bucket);
  limpet_latency_delete (router->context.chat.first_token);
  limpet_targets_delete (router->context.targets);
  mg_exit_library ();
  curl_global_cleanup ();
  g_free (router);
}
