#ifndef LIMPETFAKE_FAKE_H
#define LIMPETFAKE_FAKE_H

#include <civetweb.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Fake servers for tests: the platform's log and VM list, a model engine and a plain
 * service. POST /fake/fault sets faults. GET /fake/stats (log, engine) returns counts of
 * what the server has done. GET /fake/ledger (service) lists every execution. */

typedef struct
{
  const char *address;
  int port;
  int threads;
  const char *name;
  int slots; /* concurrent requests of an engine */
  int queue; /* queued requests of an engine */
  int step_ms;
  int prefill_tokens; /* prompt tokens processed in one step, of all requests together */
  int cache_blocks;   /* size of the prefix cache in blocks of 16 tokens */
  int lag_ms;         /* age of the state in a VM list or a load report */
  int delay_ms;       /* delay of a response */
  int retention_ms;   /* time for which the log keeps records */
  int appends_per_s;  /* rate limit of the log */
  int fencing; /* 1: a service rejects fencing numbers below the highest one seen */
} FakeOptions;

/* Each function registers the handlers of one kind of server. */
void fake_log_start (struct mg_context *server, const FakeOptions *options);
void fake_vms_start (struct mg_context *server, const FakeOptions *options);
void fake_engine_start (struct mg_context *server, const FakeOptions *options);
void fake_service_start (struct mg_context *server, const FakeOptions *options);

/* Sends a JSON object as response and releases it. extra_headers is empty or ends with
 * CRLF. Returns code. */
int fake_respond (struct mg_connection *connection,
                  int code,
                  const char *extra_headers,
                  json_object *object);

/* Reads the whole body; the caller frees it with g_free(). */
char *fake_read_body (struct mg_connection *connection);

/* Reads the body as a JSON object, which the caller releases. Returns NULL if it is not
 * valid. */
json_object *fake_read_json (struct mg_connection *connection);

/* Returns the number under key, or fallback if there is none. */
int64_t fake_number (json_object *object, const char *key, int64_t fallback);

/* Returns the number under key in the query string, or fallback if there is none. */
int64_t
fake_query_number (struct mg_connection *connection, const char *key, int64_t fallback);

#endif
