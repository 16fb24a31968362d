#include "fake.h"

#include "limpetroad/bundle_history.h"
#include "limpetroad/clock.h"

#include <glib.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>

/* The fake log: streams of records with consecutive offsets. A record expires after
 * retention_ms. */

typedef struct
{
  int64_t offset;
  LimpetMs time_ms;
  char *data;
} Record;

typedef struct
{
  GPtrArray *records;
  int64_t next_offset;
} Stream;

static struct
{
  pthread_mutex_t lock;
  pthread_cond_t appended;
  GHashTable *streams;
  FakeOptions options;
  bool down;        /* respond with 503, without appending or reading */
  int lose_answers; /* number of upcoming appends that are stored but get no response */
  char *era;        /* JSON value that reads name as the log's era; NULL for none */
  LimpetMs window_start_ms;
  int window_appends;
  int64_t appends_total;
  int64_t bytes_total;
} state;

static void
free_record (gpointer data)
{
  Record *record = data;

  g_free (record->data);
  g_free (record);
}

static Stream *
get_stream (const char *name)
{
  Stream *stream = g_hash_table_lookup (state.streams, name);

  if (stream == NULL)
    {
      stream = g_new0 (Stream, 1);
      stream->records = g_ptr_array_new_with_free_func (free_record);
      stream->next_offset = 1;
      g_hash_table_insert (state.streams, g_strdup (name), stream);
    }
  return stream;
}

static void
drop_expired (Stream *stream)
{
  LimpetMs oldest_ms = limpet_clock_wall_ms () - state.options.retention_ms;
  guint expired = 0;

  while (expired < stream->records->len
         && ((Record *)g_ptr_array_index (stream->records, expired))->time_ms < oldest_ms)
    expired++;
  if (expired > 0)
    g_ptr_array_remove_range (stream->records, 0, expired);
}

static bool
exceeds_rate_limit (void)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  if (now_ms - state.window_start_ms >= 1000)
    {
      state.window_start_ms = now_ms;
      state.window_appends = 0;
    }
  return ++state.window_appends > state.options.appends_per_s;
}

static int
append (struct mg_connection *connection, const char *name)
{
  char *body = fake_read_body (connection);
  json_object *response = json_object_new_object ();
  Record *record;
  Stream *stream;
  bool lose_response;

  if (state.options.delay_ms > 0)
    limpet_clock_sleep_ms (state.options.delay_ms);
  pthread_mutex_lock (&state.lock);
  if (state.down || exceeds_rate_limit ())
    {
      pthread_mutex_unlock (&state.lock);
      g_free (body);
      return fake_respond (connection, state.down ? 503 : 429, "", response);
    }
  stream = get_stream (name);
  record = g_new0 (Record, 1);
  record->offset = stream->next_offset++;
  record->time_ms = limpet_clock_wall_ms ();
  record->data = body;
  g_ptr_array_add (stream->records, record);
  state.appends_total++;
  state.bytes_total += (int64_t)strlen (body);
  json_object_object_add (response, "offset", json_object_new_int64 (record->offset));
  lose_response = state.lose_answers > 0;
  if (lose_response)
    state.lose_answers--;
  pthread_cond_broadcast (&state.appended);
  pthread_mutex_unlock (&state.lock);
  if (!lose_response)
    return fake_respond (connection, 200, "", response);
  json_object_put (response);
  mg_disable_connection_keep_alive (connection);
  return 200;
}

static json_object *
collect (Stream *stream, int64_t from)
{
  json_object *response = json_object_new_object ();
  json_object *array = json_object_new_array ();
  int64_t first = stream->next_offset;

  if (stream->records->len > 0)
    first = ((Record *)g_ptr_array_index (stream->records, 0))->offset;
  for (guint i = 0; i < stream->records->len && json_object_array_length (array) < 1000;
       i++)
    {
      const Record *record = g_ptr_array_index (stream->records, i);
      json_object *entry;

      if (record->offset < from)
        continue;
      entry = json_object_new_object ();
      json_object_object_add (entry, "offset", json_object_new_int64 (record->offset));
      json_object_object_add (entry, "time_ms", json_object_new_int64 (record->time_ms));
      json_object_object_add (entry, "data", json_object_new_string (record->data));
      json_object_array_add (array, entry);
    }
  json_object_object_add (response, "first", json_object_new_int64 (first));
  json_object_object_add (response, "next", json_object_new_int64 (stream->next_offset));
  json_object_object_add (response, "records", array);
  if (state.era != NULL)
    json_object_object_add (response, "era", json_tokener_parse (state.era));
  return response;
}

static int
read_records (struct mg_connection *connection, const char *name)
{
  int64_t from = fake_query_number (connection, "from", 0);
  LimpetMs until_ms
      = limpet_clock_wall_ms () + fake_query_number (connection, "wait_ms", 0);
  struct timespec until
      = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };
  json_object *response = NULL;
  Stream *stream;

  pthread_mutex_lock (&state.lock);
  stream = get_stream (name);
  while (!state.down && stream->next_offset <= from && limpet_clock_wall_ms () < until_ms)
    pthread_cond_timedwait (&state.appended, &state.lock, &until);
  if (!state.down)
    {
      drop_expired (stream);
      response = collect (stream, from);
    }
  pthread_mutex_unlock (&state.lock);
  if (response == NULL)
    return fake_respond (connection, 503, "", json_object_new_object ());
  return fake_respond (connection, 200, "", response);
}

static int
handle_streams (struct mg_connection *connection, void *user)
{
  const struct mg_request_info *info = mg_get_request_info (connection);
  char name[64];

  (void)user;
  if (sscanf (info->local_uri, "/streams/%63[^/]/records", name) != 1)
    return fake_respond (connection, 404, "", json_object_new_object ());
  if (strcmp (info->request_method, "POST") == 0)
    return append (connection, name);
  return read_records (connection, name);
}

static void
lose_newest_of (Stream *stream, guint count)
{
  guint lost = MIN (count, stream->records->len);

  g_ptr_array_set_size (stream->records, (gint)(stream->records->len - lost));
  stream->next_offset -= lost;
}

/* Goes on from a copy that lacks the newest bundle_records records of the stream of the
 * bundles and the newest other_records of each other stream; their offsets are given out
 * again. */
static void
lose_newest_locked (guint bundle_records, guint other_records)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, state.streams);
  while (g_hash_table_iter_next (&iter, &name, &value))
    lose_newest_of (value, strcmp (name, LIMPET_BUNDLE_STREAM) == 0 ? bundle_records
                                                                    : other_records);
}

/* Sets the era that reads name from now on, if the fault has one; null names none. */
static void
set_era_locked (json_object *fault)
{
  json_object *era = NULL;

  if (!json_object_object_get_ex (fault, "era", &era))
    return;
  g_free (state.era);
  state.era = era != NULL ? g_strdup (json_object_to_json_string (era)) : NULL;
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  json_object *fault = fake_read_json (connection);

  (void)user;
  pthread_mutex_lock (&state.lock);
  state.down = fake_number (fault, "down", state.down) != 0;
  state.lose_answers = (int)fake_number (fault, "lose_answers", state.lose_answers);
  state.options.delay_ms = (int)fake_number (fault, "delay_ms", state.options.delay_ms);
  /* Simulates a loss of records: drops all of them and increases the next offset. */
  if (fake_number (fault, "skip_offsets", 0) > 0)
    {
      GHashTableIter iter;
      gpointer stream;

      g_hash_table_iter_init (&iter, state.streams);
      while (g_hash_table_iter_next (&iter, NULL, &stream))
        {
          ((Stream *)stream)->next_offset += fake_number (fault, "skip_offsets", 0);
          g_ptr_array_set_size (((Stream *)stream)->records, 0);
        }
    }
  lose_newest_locked ((guint)fake_number (fault, "lose_newest_bundles", 0),
                      (guint)fake_number (fault, "lose_newest", 0));
  set_era_locked (fault);
  pthread_cond_broadcast (&state.appended);
  pthread_mutex_unlock (&state.lock);
  json_object_put (fault);
  return fake_respond (connection, 200, "", json_object_new_object ());
}

static int
handle_stats (struct mg_connection *connection, void *user)
{
  json_object *response = json_object_new_object ();

  (void)user;
  pthread_mutex_lock (&state.lock);
  json_object_object_add (response, "appends",
                          json_object_new_int64 (state.appends_total));
  json_object_object_add (response, "bytes", json_object_new_int64 (state.bytes_total));
  pthread_mutex_unlock (&state.lock);
  return fake_respond (connection, 200, "", response);
}

void
fake_log_start (struct mg_context *server, const FakeOptions *options)
{
  state.options = *options;
  pthread_mutex_init (&state.lock, NULL);
  pthread_cond_init (&state.appended, NULL);
  state.streams = g_hash_table_new (g_str_hash, g_str_equal);
  mg_set_request_handler (server, "/streams/", handle_streams, NULL);
  mg_set_request_handler (server, "/fake/fault$", handle_fault, NULL);
  mg_set_request_handler (server, "/fake/stats$", handle_stats, NULL);
}
