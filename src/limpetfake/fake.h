#ifndef LIMPETFAKE_FAKE_H
#define LIMPETFAKE_FAKE_H

#include <civetweb.h>
#include <json-c/json.h>
#include <stdbool.h>
#include <stdint.h>

/* Stand-ins for the platform's log and VM list, for model engines and for plain services.
 * Each keeps a ledger of what it did, and takes faults by POST /fake/fault. */

typedef struct
{
  const char *address;
  int port;
  int threads;
  const char *name;
  int slots;
  int queue;
  int step_ms;
  int prefill_tokens; /* of all requests in one step */
  int cache_blocks;
  int lag_ms;
  int delay_ms;
  int retention_ms;
  int appends_per_s;
  int fencing;
} FakeOptions;

/* Each sets its handlers; the program then runs until SIGTERM. */
void fake_log_start (struct mg_context *server, const FakeOptions *options);
void fake_vms_start (struct mg_context *server, const FakeOptions *options);
void fake_engine_start (struct mg_context *server, const FakeOptions *options);
void fake_service_start (struct mg_context *server, const FakeOptions *options);

/* Answers with a JSON object, which is released. extra_headers is empty or ends with
 * CRLF. */
int fake_reply (struct mg_connection *connection,
                int code,
                const char *extra_headers,
                json_object *object);
/* Reads the whole body; the caller frees it with g_free(). */
char *fake_read_body (struct mg_connection *connection);
/* Reads the body as a JSON object, or returns NULL. */
json_object *fake_read_json (struct mg_connection *connection);
/* Returns a number of an object, or the other value. */
int64_t fake_number (json_object *object, const char *key, int64_t otherwise);
/* Returns a number of the query string, or the other value. */
int64_t fake_query (struct mg_connection *connection, const char *key, int64_t otherwise);

#endif
