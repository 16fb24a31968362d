#include "fake.h"

#include "limpetroad/clock.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

/* A plain service that executes every request, even a retry with the same idempotency
 * key. The ledger has one entry for each execution, with idempotency key, attempt id and
 * body, so that a test can count how often a request was executed. */
static struct
{
  pthread_mutex_t lock;
  GString *ledger; /* JSON objects, separated by commas */
  int64_t runs;
  FakeOptions options;
  int drop_answers;  /* number of upcoming requests executed but not responded to */
  int drop_requests; /* number of upcoming requests neither executed nor responded to */
  int refuse;        /* number of upcoming requests refused before execution */
  int wrong_ids;     /* number of upcoming responses with a wrong attempt id */
  int64_t highest_fencing;
} state;

/* Returns whether a fault applies to this request, and if so decrements its count. */
static bool
consume_fault (int *count)
{
  if (*count <= 0)
    return false;
  (*count)--;
  return true;
}

static const char *
header_or_empty (struct mg_connection *connection, const char *name)
{
  const char *value = mg_get_header (connection, name);

  return value != NULL ? value : "";
}

static void
add_to_ledger (struct mg_connection *connection, const char *body)
{
  json_object *entry = json_object_new_object ();

  json_object_object_add (
      entry, "key",
      json_object_new_string (header_or_empty (connection, "Idempotency-Key")));
  json_object_object_add (
      entry, "attempt",
      json_object_new_string (header_or_empty (connection, "X-Attempt-Id")));
  json_object_object_add (entry, "body", json_object_new_string (body));
  if (state.ledger->len > 0)
    g_string_append_c (state.ledger, ',');
  g_string_append (state.ledger,
                   json_object_to_json_string_ext (entry, JSON_C_TO_STRING_PLAIN));
  json_object_put (entry);
  state.runs++;
}

static int
close_without_response (struct mg_connection *connection)
{
  mg_disable_connection_keep_alive (connection);
  return 200;
}

static int
handle_request (struct mg_connection *connection, void *user)
{
  char *body = fake_read_body (connection);
  json_object *response = json_object_new_object ();
  char headers[128];
  bool drop_response;
  bool wrong_id;
  bool fenced;
  int64_t fencing_number
      = g_ascii_strtoll (header_or_empty (connection, "X-Fencing-Number"), NULL, 10);

  (void)user;
  pthread_mutex_lock (&state.lock);
  fenced = state.options.fencing != 0 && fencing_number > 0
           && fencing_number < state.highest_fencing;
  g_snprintf (headers, sizeof headers, "X-Attempt-Id: %.64s\r\n",
              header_or_empty (connection, "X-Attempt-Id"));
  if (consume_fault (&state.drop_requests))
    {
      pthread_mutex_unlock (&state.lock);
      json_object_put (response);
      g_free (body);
      return close_without_response (connection);
    }
  if (fenced || consume_fault (&state.refuse))
    {
      pthread_mutex_unlock (&state.lock);
      g_strlcat (headers, "X-Not-Started: 1\r\n", sizeof headers);
      g_free (body);
      return fake_respond (connection, fenced ? 409 : 503, headers, response);
    }
  state.highest_fencing = MAX (state.highest_fencing, fencing_number);
  add_to_ledger (connection, body);
  json_object_object_add (response, "run", json_object_new_int64 (state.runs));
  json_object_object_add (response, "echo", json_object_new_string (body));
  drop_response = consume_fault (&state.drop_answers);
  wrong_id = consume_fault (&state.wrong_ids);
  pthread_mutex_unlock (&state.lock);
  g_free (body);
  if (state.options.delay_ms > 0)
    limpet_clock_sleep_ms (state.options.delay_ms);
  if (wrong_id)
    g_strlcpy (headers, "X-Attempt-Id: 00000000000000000000000000000000\r\n",
               sizeof headers);
  if (!drop_response)
    return fake_respond (connection, 200, headers, response);
  json_object_put (response);
  return close_without_response (connection);
}

static int
handle_ledger (struct mg_connection *connection, void *user)
{
  char *text;
  int code;

  (void)user;
  pthread_mutex_lock (&state.lock);
  text = g_strdup_printf ("{\"runs\":[%s]}", state.ledger->str);
  pthread_mutex_unlock (&state.lock);
  code = fake_respond (connection, 200, "", json_tokener_parse (text));
  g_free (text);
  return code;
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  json_object *fault = fake_read_json (connection);

  (void)user;
  pthread_mutex_lock (&state.lock);
  state.drop_answers = (int)fake_number (fault, "drop_answers", state.drop_answers);
  state.drop_requests = (int)fake_number (fault, "drop_requests", state.drop_requests);
  state.refuse = (int)fake_number (fault, "refuse", state.refuse);
  state.wrong_ids = (int)fake_number (fault, "wrong_ids", state.wrong_ids);
  state.options.delay_ms = (int)fake_number (fault, "delay_ms", state.options.delay_ms);
  pthread_mutex_unlock (&state.lock);
  json_object_put (fault);
  return fake_respond (connection, 200, "", json_object_new_object ());
}

void
fake_service_start (struct mg_context *server, const FakeOptions *options)
{
  state.options = *options;
  pthread_mutex_init (&state.lock, NULL);
  state.ledger = g_string_new (NULL);
  mg_set_request_handler (server, "/", handle_request, NULL);
  mg_set_request_handler (server, "/fake/ledger", handle_ledger, NULL);
  mg_set_request_handler (server, "/fake/fault", handle_fault, NULL);
}
