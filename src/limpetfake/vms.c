#include "fake.h"

#include "limpetroad/clock.h"

#include <glib.h>
#include <pthread.h>
#include <string.h>

/* A VM list and the time from which GET returns it. */
typedef struct
{
  LimpetMs visible_ms;
  char *text;
} ListVersion;

static struct
{
  pthread_mutex_t lock;
  GPtrArray *versions;
  int lag_ms;
  bool down;
} state;

/* Returns the newest visible list and sets *number to its version number, 0 if there is
 * none yet. */
static char *
visible_text (guint *number)
{
  const char *text = "{\"vms\":[]}";
  LimpetMs now_ms = limpet_clock_mono_ms ();

  for (guint i = 0; i < state.versions->len; i++)
    {
      const ListVersion *version = g_ptr_array_index (state.versions, i);

      if (version->visible_ms <= now_ms)
        {
          text = version->text;
          *number = i + 1;
        }
    }
  return g_strdup (text);
}

/* POST sets a list. GET returns it after lag_ms, except the first list, which GET returns
 * at once. The ETag is the version number of the list. */
static int
handle_vms (struct mg_connection *connection, void *user)
{
  ListVersion *version;
  const char *condition = mg_get_header (connection, "If-None-Match");
  char *text = NULL;
  char etag[32];
  guint number = 0;
  bool down;
  int code;

  (void)user;
  if (strcmp (mg_get_request_info (connection)->request_method, "POST") == 0)
    {
      version = g_new0 (ListVersion, 1);
      version->text = fake_read_body (connection);
      pthread_mutex_lock (&state.lock);
      version->visible_ms
          = state.versions->len > 0 ? limpet_clock_mono_ms () + state.lag_ms : 0;
      g_ptr_array_add (state.versions, version);
      pthread_mutex_unlock (&state.lock);
      return fake_respond (connection, 200, "", json_object_new_object ());
    }
  pthread_mutex_lock (&state.lock);
  down = state.down;
  text = visible_text (&number);
  pthread_mutex_unlock (&state.lock);
  g_snprintf (etag, sizeof etag, "ETag: \"%u\"\r\n", number);
  /* The value of the header starts at etag + 6. */
  if (!down && condition != NULL && g_str_has_prefix (etag + 6, condition))
    {
      mg_printf (connection, "HTTP/1.1 304 Not Modified\r\n\r\n");
      g_free (text);
      return 304;
    }
  code = fake_respond (connection, down ? 503 : 200, etag, json_tokener_parse (text));
  g_free (text);
  return code;
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  json_object *fault = fake_read_json (connection);

  (void)user;
  pthread_mutex_lock (&state.lock);
  state.down = fake_number (fault, "down", state.down) != 0;
  state.lag_ms = (int)fake_number (fault, "lag_ms", state.lag_ms);
  pthread_mutex_unlock (&state.lock);
  json_object_put (fault);
  return fake_respond (connection, 200, "", json_object_new_object ());
}

void
fake_vms_start (struct mg_context *server, const FakeOptions *options)
{
  pthread_mutex_init (&state.lock, NULL);
  state.versions = g_ptr_array_new ();
  state.lag_ms = options->lag_ms;
  mg_set_request_handler (server, "/vms$", handle_vms, NULL);
  mg_set_request_handler (server, "/fake/fault$", handle_fault, NULL);
}
