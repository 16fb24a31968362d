#include "tests.h"

#include "private/event_splitter.h"
#include "private/http_reader.h"
#include "private/response_scan.h"

#include <glib.h>
#include <string.h>

#define MAX_IDLE_BYTES (8 * 1024)

/* Parts of a message, as a reader passed them to its callbacks. */
typedef struct
{
  GString *body;
  uint32_t head_count;
  int64_t content_length;
  bool has_valid_status;
  char field[64];
} Message;

static bool
record_head (void *user, const LimpetHttpHead *head)
{
  Message *message = user;
  const char *field = limpet_http_head_field (head, "x-name");

  message->head_count++;
  message->content_length = head->content_length;
  message->has_valid_status = head->has_valid_status;
  g_strlcpy (message->field, field != NULL ? field : "", sizeof message->field);
  return true;
}

static bool
record_body (void *user, const char *data, size_t length)
{
  g_string_append_len (((Message *)user)->body, data, (gssize)length);
  return true;
}

static const LimpetHttpReaderOps ops = { .on_head = record_head, .on_body = record_body };

/* Feeds text to a reader in parts of part_size bytes until the message is complete or
 * invalid. Returns the last result of the reader. The caller frees message->body. */
static LimpetHttpProgress
read_in_parts (
    const char *text, size_t length, size_t part_size, bool is_response, Message *message)
{
  LimpetHttpReader reader;
  LimpetHttpProgress progress = LIMPET_HTTP_NEED_MORE;
  size_t offset = 0;

  *message = (Message){ .body = g_string_new (NULL) };
  limpet_http_reader_init (&reader, is_response, 4096, &ops, message);
  while (offset < length && progress == LIMPET_HTTP_NEED_MORE)
    {
      size_t used = 0;

      progress = limpet_http_reader_feed (&reader, text + offset,
                                          MIN (part_size, length - offset), &used);
      offset += used;
    }
  limpet_http_reader_clear (&reader);
  return progress;
}

static void
test_a_message_may_arrive_in_parts_of_any_size (void)
{
  static const char *const messages[] = {
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Name:  v w \r\nContent-Length: 5\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: h\r\nx-name: v w\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nX-NAME: v w\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;ext=1\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    for (size_t part_size = 1; part_size <= strlen (messages[i]); part_size++)
      {
        Message message;

        CU_ASSERT_EQUAL (
            read_in_parts (messages[i], strlen (messages[i]), part_size, false, &message),
            LIMPET_HTTP_COMPLETE);
        CU_ASSERT_STRING_EQUAL (message.body->str, "hello");
        CU_ASSERT_STRING_EQUAL (message.field, "v w");
        CU_ASSERT_EQUAL (message.head_count, 1);
        g_string_free (message.body, TRUE);
      }
}

/* Requests that two recipients could interpret differently (request smuggling, RFC 9112,
 * section 11.2), or that are not valid HTTP/1.1. */
static const char *const invalid_requests[] = {
  "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
  "GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 3\r\n\r\nabc",
  "POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n"
  "0\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: identity\r\n\r\n",
  "GET / HTTP/1.1\nHost: h\r\n\r\n",
  "GET / HTTP/1.1\r\nHost: h\n\r\n",
  "GET / HTTP/1.1\r\nHost: h\r\n\n",
  "GET / HTTP/1.1\r\nA: b\rC: d\r\n\r\n",
  "GET / HTTP/2.0\r\n\r\n",
  "GET / HTTP/1.1\r\nA : b\r\n\r\n",
  "GET / HTTP/1.1\r\n: b\r\n\r\n",
  "POST / HTTP/1.1\r\nContent-Length: -1\r\n\r\n",
  "POST / HTTP/1.1\r\nContent-Length: 1x\r\n\r\n",
  "POST / HTTP/1.1\r\nContent-Length: 99999999999999999999999\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\nx",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
  "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
  "GET / HTTP/1.1\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
  "NOTHING\r\n\r\n",
  "\x16\x03\x01\x02",
};

static void
test_invalid_requests_are_rejected (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (invalid_requests); i++)
    for (size_t part_size = 1; part_size < 60; part_size += 7)
      {
        Message message;
        LimpetHttpProgress progress
            = read_in_parts (invalid_requests[i], strlen (invalid_requests[i]), part_size,
                             false, &message);

        if (progress != LIMPET_HTTP_ERROR)
          printf ("invalid_requests[%zu] is not rejected in parts of %zu bytes\n", i,
                  part_size);
        CU_ASSERT_EQUAL (progress, LIMPET_HTTP_ERROR);
        g_string_free (message.body, TRUE);
      }
}

static void
test_an_oversized_head_is_rejected (void)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\nHost: h\r\n");
  Message message;

  while (text->len < 4096)
    g_string_append (text, "A: 0123456789012345678901234567890123456789\r\n");
  g_string_append (text, "\r\n");
  CU_ASSERT_EQUAL (read_in_parts (text->str, text->len, 100, false, &message),
                   LIMPET_HTTP_ERROR);
  g_string_free (message.body, TRUE);
  g_string_free (text, TRUE);
}

/* A response without a length ends when its sender closes the connection. A response with
 * a length is invalid if the connection is closed before its end. */
static void
test_a_response_without_a_length_ends_with_its_connection (void)
{
  static const char *const text = "HTTP/1.1 200 OK\r\n\r\npart";
  LimpetHttpReader reader;
  Message message = { .body = g_string_new (NULL) };
  size_t used = 0;

  limpet_http_reader_init (&reader, true, 4096, &ops, &message);
  CU_ASSERT_EQUAL (limpet_http_reader_feed (&reader, text, strlen (text), &used),
                   LIMPET_HTTP_NEED_MORE);
  CU_ASSERT_EQUAL (limpet_http_reader_end (&reader), LIMPET_HTTP_COMPLETE);
  limpet_http_reader_clear (&reader);
  limpet_http_reader_init (&reader, true, 4096, &ops, &message);
  limpet_http_reader_feed (&reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", 40,
                           &used);
  CU_ASSERT_EQUAL (limpet_http_reader_end (&reader), LIMPET_HTTP_ERROR);
  limpet_http_reader_clear (&reader);
  g_string_free (message.body, TRUE);
}

/* Guards against a response with status 000 that callers got as it was. */
static void
test_status_codes_that_do_not_exist_are_recognised (void)
{
  static const struct
  {
    const char *begin;
    bool is_valid;
  } rows[] = {
    { "HTTP/1.1 200 OK\r\n", true },  { "HTTP/1.0 100 \r\n", true },
    { "HTTP/1.1 599\r\n", true },     { "\r\nHTTP/1.1 404 x\r\n", true },
    { "HTTP/1.1 000 x\r\n", false },  { "HTTP/1.1 001 x\r\n", false },
    { "HTTP/1.1 099 x\r\n", false },  { "HTTP/1.1 600 x\r\n", false },
    { "HTTP/1.1 999 x\r\n", false },  { "HTTP/1.1 20 x\r\n", false },
    { "HTTP/1.1 2\r\n", false },      { "HTTP/1.1 0200 x\r\n", false },
    { "HTTP/1.1  200 x\r\n", false }, { "\r\nHTTP/1.1 000 x\r\n", false },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *text = g_strconcat (rows[i].begin, "Content-Length: 0\r\n\r\n", NULL);

      for (size_t part_size = 1; part_size <= strlen (text); part_size++)
        {
          Message message;
          LimpetHttpProgress progress
              = read_in_parts (text, strlen (text), part_size, true, &message);

          CU_ASSERT_EQUAL (progress == LIMPET_HTTP_COMPLETE && message.has_valid_status,
                           rows[i].is_valid);
          g_string_free (message.body, TRUE);
        }
      g_free (text);
    }
}

static void
test_bytes_after_a_message_are_not_consumed (void)
{
  static const char *const text
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n";
  LimpetHttpReader reader;
  Message message = { .body = g_string_new (NULL) };
  size_t used = 0;

  limpet_http_reader_init (&reader, true, 4096, &ops, &message);
  CU_ASSERT_EQUAL (limpet_http_reader_feed (&reader, text, strlen (text), &used),
                   LIMPET_HTTP_COMPLETE);
  CU_ASSERT_EQUAL (strlen (text) - used, strlen ("HTTP/1.1 200 OK\r\n"));
  CU_ASSERT_STRING_EQUAL (message.body->str, "ab");
  limpet_http_reader_clear (&reader);
  g_string_free (message.body, TRUE);
}

/* Valid messages with random changes cause neither a crash nor an endless loop. */
static void
test_corrupted_messages_are_handled_safely (void)
{
  static const char *const valid_messages
      = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nA: b\r\n\r\nhelloGET / HTTP/"
        "1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  GRand *random = g_rand_new_with_seed (7);

  for (int round = 0; round < 20000; round++)
    {
      char *text = g_strdup (valid_messages);
      size_t length = strlen (text);
      Message message;

      for (int i = g_rand_int_range (random, 1, 5); i > 0; i--)
        text[g_rand_int_range (random, 0, (gint32)length)]
            = (char)g_rand_int_range (random, 0, 256);
      read_in_parts (text, length, (size_t)g_rand_int_range (random, 1, 40),
                     round % 2 == 0, &message);
      g_string_free (message.body, TRUE);
      g_free (text);
    }
  g_rand_free (random);
  CU_PASS ("no crash");
}

/* The Connection field names further hop-by-hop fields. */
static void
test_hop_by_hop_fields_are_not_forwarded (void)
{
  LimpetHttpHead head = {
    .fields = { { "Connection", "close, X-Hop" }, { "X-Hop", "1" }, { "X-Stay", "2" } },
    .fields_count = 3,
  };

  CU_ASSERT_FALSE (limpet_http_head_is_end_to_end (&head, "connection"));
  CU_ASSERT_FALSE (limpet_http_head_is_end_to_end (&head, "x-hop"));
  CU_ASSERT_FALSE (limpet_http_head_is_end_to_end (&head, "Transfer-Encoding"));
  CU_ASSERT_TRUE (limpet_http_head_is_end_to_end (&head, "X-Stay"));
}

static void
test_only_complete_events_are_forwarded (void)
{
  static const char *const text = "id: 1\ndata: a\n\nid:2\r\ndata: b\r\n\r\nid: 3\ndata";
  LimpetEventSplitter splitter = { .text = NULL };
  GString *out = g_string_new (NULL);
  uint32_t count = 0;

  for (size_t i = 0; i < strlen (text); i++)
    count += limpet_event_splitter_feed (&splitter, text + i, 1, out);
  CU_ASSERT_EQUAL (count, 2);
  CU_ASSERT_STRING_EQUAL (splitter.last_id, "2");
  CU_ASSERT_EQUAL (out->len, strlen (text) - strlen ("id: 3\ndata"));
  CU_ASSERT_STRING_EQUAL (splitter.text->str, "id: 3\ndata");
  limpet_event_splitter_clear (&splitter);
  g_string_free (out, TRUE);
}

static void
test_a_stream_continues_only_with_the_event_after_the_last_one (void)
{
  static const struct
  {
    const char *text;
    const char *last_id;
    LimpetIdSteps steps;
    bool expected;
  } rows[] = {
    { "", "6", LIMPET_ID_STEPS_ONE, true },
    { ": wait\n\n", "6", LIMPET_ID_STEPS_ONE, true },
    { "id: 7\ndata: a\n\n", "6", LIMPET_ID_STEPS_ONE, true },
    { "id: 8\ndata: a\n\n", "6", LIMPET_ID_STEPS_ONE, false },
    { "id: 8\ndata: a\n\n", "6", LIMPET_ID_STEPS_OTHER, true },
    { "id: 8\ndata: a\n\n", "6", LIMPET_ID_STEPS_UNKNOWN, true },
    { "id: 6\ndata: a\n\n", "6", LIMPET_ID_STEPS_OTHER, false },
    { "id: 5\ndata: a\n\nid: 7\ndata: b\n\n", "6", LIMPET_ID_STEPS_OTHER, false },
    { "id: 0\ndata: a\n\n", "18446744073709551615", LIMPET_ID_STEPS_ONE, false },
    { "id: 99999999999999999999\ndata: a\n\n", "6", LIMPET_ID_STEPS_OTHER, false },
    { "id: -7\ndata: a\n\n", "6", LIMPET_ID_STEPS_OTHER, false },
    { "data: a\n\n", "6", LIMPET_ID_STEPS_OTHER, false },
    { "data: a\n\n", "x", LIMPET_ID_STEPS_OTHER, false },
    { "id: x\ndata: a\n\n", "x", LIMPET_ID_STEPS_OTHER, false },
    { "id: y\ndata: a\n\n", "x", LIMPET_ID_STEPS_OTHER, true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      LimpetEventSplitter splitter = { .text = NULL };
      GString *out = g_string_new (NULL);

      limpet_event_splitter_feed (&splitter, rows[i].text, strlen (rows[i].text), out);
      CU_ASSERT_EQUAL (
          limpet_event_splitter_continues (&splitter, rows[i].last_id, rows[i].steps),
          rows[i].expected);
      limpet_event_splitter_clear (&splitter);
      g_string_free (out, TRUE);
    }
}

static void
test_steps_between_ids_are_recognised (void)
{
  LimpetEventSplitter splitter = { .text = NULL };
  GString *out = g_string_new (NULL);

  limpet_event_splitter_feed (&splitter, "id: 1\n\n", 7, out);
  CU_ASSERT_EQUAL (splitter.id_steps, LIMPET_ID_STEPS_UNKNOWN);
  limpet_event_splitter_feed (&splitter, ": wait\n\nid: 2\n\n", 15, out);
  CU_ASSERT_EQUAL (splitter.id_steps, LIMPET_ID_STEPS_ONE);
  limpet_event_splitter_feed (&splitter, "id: 4\n\nid: 5\n\n", 14, out);
  CU_ASSERT_EQUAL (splitter.id_steps, LIMPET_ID_STEPS_OTHER);
  limpet_event_splitter_clear (&splitter);
  g_string_free (out, TRUE);
}

static bool
has_name (void *user, const LimpetHttpHead *head)
{
  (void)user;
  return limpet_http_head_field (head, "x-name") != NULL;
}

/* Scans a body in parts of part_size bytes, and compares what is passed on with expected.
 * Returns whether the body contains a further response. */
static bool
scan_in_parts (const char *body, size_t part_size, const char *expected)
{
  LimpetResponseScan scan = { .accepts = has_name };
  GString *out = g_string_new (NULL);
  bool is_found = false;

  for (size_t offset = 0; offset < strlen (body) && !is_found; offset += part_size)
    is_found = !limpet_response_scan_feed (&scan, body + offset,
                                           MIN (part_size, strlen (body) - offset), out);
  if (!is_found)
    limpet_response_scan_end (&scan, out);
  CU_ASSERT_STRING_EQUAL (out->str, expected);
  limpet_response_scan_clear (&scan);
  g_string_free (out, TRUE);
  return is_found;
}

static void
test_a_further_response_in_a_body_is_found_in_parts_of_any_size (void)
{
  static const struct
  {
    const char *before;
    const char *rest;
    bool is_found;
  } rows[] = {
    { "", "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\nbody", true },
    { "body", "HTTP/1.0 503 \r\nA: b\r\nX-Name: a\r\n\r\n", true },
    { "HTTP/1.1 200 OK\r\nA: b\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\n", true },
    { "HHTTP/HTTP/1.HTTP/1.1 20HTTP/1.1 200 OK\r\n",
      "HTTP/1.1 200 OK\r\nX-Name: a\r\n\r\n", true },
    { "body", "HTTP/1.1 000 \r\nX-Name: a\r\n\r\n", true },
    { "HTTP/1.1 200 OK\nX-Name: a\n\n", "", false },
    { "HTTP/1.1 200 OK\r\nX-Name: a\r\n", "", false },
    { "HTTP/1.1 200 OK is text; so is HTTP/1", "", false },
    { "POST / HTTP/1.1\r\nX-Name: a\r\n\r\n", "", false },
    { "HTTP/1.1 200 HTTP/1.1 200 \n", "HTTP/1.1 200 a\r\nX-Name: a\r\n\r\n", true },
    { "HTTP/1.1 200 a\r\nA: b\r\n C\r\n", "HTTP/1.1 200 a\r\nX-Name: a\r\n\r\n", true },
    { "HTTP/1.1 200 a\r\nb", "HTTP/1.1 200 a\r\nX-Name: a\r\n\r\n", true },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      char *body = g_strconcat (rows[i].before, rows[i].rest, NULL);

      for (size_t part_size = 1; part_size <= strlen (body); part_size++)
        CU_ASSERT_EQUAL (scan_in_parts (body, part_size, rows[i].before),
                         rows[i].is_found);
      g_free (body);
    }
}

static void
test_a_head_in_a_body_is_not_awaited_without_end (void)
{
  LimpetResponseScan scan = { .accepts = has_name };
  GString *out = g_string_new (NULL);
  size_t fed = 0;

  limpet_response_scan_feed (&scan, "HTTP/1.1 200 OK\r\n", 17, out);
  for (; fed < 200000; fed += 10)
    CU_ASSERT_TRUE (limpet_response_scan_feed (&scan, "A: 12345\r\n", 10, out));
  CU_ASSERT_TRUE (limpet_response_scan_held_bytes (&scan) < 66000);
  limpet_response_scan_feed (&scan, "HTTP/1.1 200 OK", 15, out);
  for (fed = 0; fed < 20000; fed += 9)
    CU_ASSERT_TRUE (limpet_response_scan_feed (&scan, "no end of", 9, out));
  CU_ASSERT_TRUE (limpet_response_scan_held_bytes (&scan) < 9000);
  limpet_response_scan_clear (&scan);
  g_string_free (out, TRUE);
}

static void
test_events_that_were_passed_on_keep_no_memory (void)
{
  LimpetEventSplitter splitter = { .text = NULL };
  GString *events = g_string_new (NULL);
  GString *out = g_string_new (NULL);

  while (events->len < 65536)
    g_string_append (events, "id: 1\ndata: x\n\n");
  g_string_append (events, "id: 2");
  limpet_event_splitter_feed (&splitter, events->str, events->len, out);
  CU_ASSERT_STRING_EQUAL (splitter.text->str, "id: 2");
  CU_ASSERT_TRUE (splitter.text->allocated_len < MAX_IDLE_BYTES);
  limpet_event_splitter_clear (&splitter);
  g_string_free (out, TRUE);
  g_string_free (events, TRUE);
}

static void
test_a_connection_keeps_no_memory_for_a_head_that_was_used (void)
{
  GString *request = g_string_new ("GET / HTTP/1.1\r\n");
  Message message = { .body = NULL };
  LimpetHttpReader reader;
  size_t used;

  g_string_append (request, "Name: ");
  while (request->len < 60000)
    g_string_append_c (request, 'x');
  g_string_append (request, "\r\n\r\n");
  limpet_http_reader_init (&reader, false, 65536, &ops, &message);
  limpet_http_reader_feed (&reader, request->str, request->len, &used);
  limpet_http_reader_next (&reader);
  CU_ASSERT_TRUE (reader.text->allocated_len < MAX_IDLE_BYTES);
  limpet_http_reader_clear (&reader);
  CU_ASSERT_EQUAL (message.head_count, 1);
  g_string_free (request, TRUE);
}

static void
test_a_scanned_body_that_was_passed_on_keeps_no_memory (void)
{
  static const char *const tails[] = { "", "HTTP", "HTTP/1.1 200 OK\r\nA: b\r\n" };
  LimpetResponseScan scan = { .accepts = has_name };
  GString *body = g_string_new (NULL);
  GString *out = g_string_new (NULL);

  for (size_t i = 0; i < G_N_ELEMENTS (tails); i++)
    {
      size_t length = strlen (tails[i]);

      g_string_set_size (body, 65536 - length);
      memset (body->str, 'x', body->len);
      g_string_append (body, tails[i]);
      CU_ASSERT_TRUE (limpet_response_scan_feed (&scan, body->str, body->len, out));
      CU_ASSERT_EQUAL (limpet_response_scan_held_bytes (&scan), length);
      CU_ASSERT_TRUE (scan.held->allocated_len < MAX_IDLE_BYTES);
    }
  limpet_response_scan_clear (&scan);
  g_string_free (out, TRUE);
  g_string_free (body, TRUE);
}

void
add_http_tests (void)
{
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);

  CU_ADD_TEST (suite, test_a_message_may_arrive_in_parts_of_any_size);
  CU_ADD_TEST (suite, test_invalid_requests_are_rejected);
  CU_ADD_TEST (suite, test_an_oversized_head_is_rejected);
  CU_ADD_TEST (suite, test_a_response_without_a_length_ends_with_its_connection);
  CU_ADD_TEST (suite, test_a_further_response_in_a_body_is_found_in_parts_of_any_size);
  CU_ADD_TEST (suite, test_a_head_in_a_body_is_not_awaited_without_end);
  CU_ADD_TEST (suite, test_a_scanned_body_that_was_passed_on_keeps_no_memory);
  CU_ADD_TEST (suite, test_events_that_were_passed_on_keep_no_memory);
  CU_ADD_TEST (suite, test_a_connection_keeps_no_memory_for_a_head_that_was_used);
  CU_ADD_TEST (suite, test_status_codes_that_do_not_exist_are_recognised);
  CU_ADD_TEST (suite, test_bytes_after_a_message_are_not_consumed);
  CU_ADD_TEST (suite, test_corrupted_messages_are_handled_safely);
  CU_ADD_TEST (suite, test_hop_by_hop_fields_are_not_forwarded);
  CU_ADD_TEST (suite, test_only_complete_events_are_forwarded);
  CU_ADD_TEST (suite, test_a_stream_continues_only_with_the_event_after_the_last_one);
  CU_ADD_TEST (suite, test_steps_between_ids_are_recognised);
}
