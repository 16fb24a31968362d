#include "tests.h"

#include "private/event_splitter.h"
#include "private/http_reader.h"

#include <glib.h>
#include <string.h>

/* What a reader told. */
typedef struct
{
  GString *body;
  uint32_t heads;
  int64_t content_length;
  char field[64];
} Seen;

static bool
see_head (void *user, const LimpetHttpHead *head)
{
  Seen *seen = user;
  const char *field = limpet_http_head_field (head, "x-name");

  seen->heads++;
  seen->content_length = head->content_length;
  g_strlcpy (seen->field, field != NULL ? field : "", sizeof seen->field);
  return true;
}

static bool
see_body (void *user, const char *data, size_t length)
{
  g_string_append_len (((Seen *)user)->body, data, (gssize)length);
  return true;
}

static const LimpetHttpReaderOps ops = { .on_head = see_head, .on_body = see_body };

/* Feeds text in parts of that many bytes; returns the last progress. */
static LimpetHttpProgress
read_in_parts (const char *text, size_t length, size_t part, bool is_answer, Seen *seen)
{
  LimpetHttpReader reader;
  LimpetHttpProgress progress = LIMPET_HTTP_NEED_MORE;
  size_t at = 0;

  *seen = (Seen){ .body = g_string_new (NULL) };
  limpet_http_reader_init (&reader, is_answer, 4096, &ops, seen);
  while (at < length && progress == LIMPET_HTTP_NEED_MORE)
    {
      size_t used = 0;

      progress
          = limpet_http_reader_feed (&reader, text + at, MIN (part, length - at), &used);
      at += used;
    }
  limpet_http_reader_clear (&reader);
  return progress;
}

static void
test_a_message_reads_the_same_in_any_parts (void)
{
  static const char *const messages[] = {
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nX-Name:  v w \r\nContent-Length: 5\r\n\r\nhello",
    "POST / HTTP/1.1\r\nHost: h\r\nx-name: v w\r\nTransfer-Encoding: chunked\r\n\r\n"
    "3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nX-NAME: v w\r\nTransfer-Encoding: chunked\r\n\r\n"
    "5;ext=1\r\nhello\r\n0\r\nTrailer: t\r\n\r\n",
  };

  for (size_t i = 0; i < G_N_ELEMENTS (messages); i++)
    for (size_t part = 1; part <= strlen (messages[i]); part++)
      {
        Seen seen;

        CU_ASSERT_EQUAL (
            read_in_parts (messages[i], strlen (messages[i]), part, false, &seen),
            LIMPET_HTTP_COMPLETE);
        CU_ASSERT_STRING_EQUAL (seen.body->str, "hello");
        CU_ASSERT_STRING_EQUAL (seen.field, "v w");
        CU_ASSERT_EQUAL (seen.heads, 1);
        g_string_free (seen.body, TRUE);
      }
}

/* Messages that two parties could read differently, or that are no HTTP. */
static const char *const bad_requests[] = {
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
test_ambiguous_requests_are_refused (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (bad_requests); i++)
    for (size_t part = 1; part < 60; part += 7)
      {
        Seen seen;
        LimpetHttpProgress progress = read_in_parts (
            bad_requests[i], strlen (bad_requests[i]), part, false, &seen);

        if (progress != LIMPET_HTTP_ERROR)
          printf ("not refused: row %zu, parts of %zu\n", i, part);
        CU_ASSERT_EQUAL (progress, LIMPET_HTTP_ERROR);
        g_string_free (seen.body, TRUE);
      }
}

static void
test_a_head_has_a_limit (void)
{
  GString *text = g_string_new ("GET / HTTP/1.1\r\nHost: h\r\n");
  Seen seen;

  while (text->len < 4096)
    g_string_append (text, "A: 0123456789012345678901234567890123456789\r\n");
  g_string_append (text, "\r\n");
  CU_ASSERT_EQUAL (read_in_parts (text->str, text->len, 100, false, &seen),
                   LIMPET_HTTP_ERROR);
  g_string_free (seen.body, TRUE);
  g_string_free (text, TRUE);
}

/* The sender of an answer without a length ends it by closing, in order. */
static void
test_an_answer_without_a_length_ends_with_its_connection (void)
{
  static const char *const text = "HTTP/1.1 200 OK\r\n\r\npart";
  LimpetHttpReader reader;
  Seen seen = { .body = g_string_new (NULL) };
  size_t used = 0;

  limpet_http_reader_init (&reader, true, 4096, &ops, &seen);
  CU_ASSERT_EQUAL (limpet_http_reader_feed (&reader, text, strlen (text), &used),
                   LIMPET_HTTP_NEED_MORE);
  CU_ASSERT_EQUAL (limpet_http_reader_end (&reader), LIMPET_HTTP_COMPLETE);
  limpet_http_reader_clear (&reader);
  limpet_http_reader_init (&reader, true, 4096, &ops, &seen);
  limpet_http_reader_feed (&reader, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", 40,
                           &used);
  CU_ASSERT_EQUAL (limpet_http_reader_end (&reader), LIMPET_HTTP_ERROR);
  limpet_http_reader_clear (&reader);
  g_string_free (seen.body, TRUE);
}

static void
test_bytes_after_a_message_stay (void)
{
  static const char *const text
      = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nabHTTP/1.1 200 OK\r\n";
  LimpetHttpReader reader;
  Seen seen = { .body = g_string_new (NULL) };
  size_t used = 0;

  limpet_http_reader_init (&reader, true, 4096, &ops, &seen);
  CU_ASSERT_EQUAL (limpet_http_reader_feed (&reader, text, strlen (text), &used),
                   LIMPET_HTTP_COMPLETE);
  CU_ASSERT_EQUAL (strlen (text) - used, strlen ("HTTP/1.1 200 OK\r\n"));
  CU_ASSERT_STRING_EQUAL (seen.body->str, "ab");
  limpet_http_reader_clear (&reader);
  g_string_free (seen.body, TRUE);
}

/* Random changes of good messages: no crash, and no endless loop (seed 7). */
static void
test_changed_messages_do_no_harm (void)
{
  static const char *const base
      = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nA: b\r\n\r\nhelloGET / HTTP/"
        "1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
  GRand *random = g_rand_new_with_seed (7);

  for (int round = 0; round < 20000; round++)
    {
      char *text = g_strdup (base);
      size_t length = strlen (text);
      Seen seen;

      for (int i = g_rand_int_range (random, 1, 5); i > 0; i--)
        text[g_rand_int_range (random, 0, (gint32)length)]
            = (char)g_rand_int_range (random, 0, 256);
      read_in_parts (text, length, (size_t)g_rand_int_range (random, 1, 40),
                     round % 2 == 0, &seen);
      g_string_free (seen.body, TRUE);
      g_free (text);
    }
  g_rand_free (random);
  CU_PASS ("no crash");
}

static void
test_hop_by_hop_fields_stay_behind (void)
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
test_only_whole_events_pass (void)
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

void
add_http_tests (void)
{
  CU_pSuite suite = CU_add_suite ("http", NULL, NULL);

  CU_ADD_TEST (suite, test_a_message_reads_the_same_in_any_parts);
  CU_ADD_TEST (suite, test_ambiguous_requests_are_refused);
  CU_ADD_TEST (suite, test_a_head_has_a_limit);
  CU_ADD_TEST (suite, test_an_answer_without_a_length_ends_with_its_connection);
  CU_ADD_TEST (suite, test_bytes_after_a_message_stay);
  CU_ADD_TEST (suite, test_changed_messages_do_no_harm);
  CU_ADD_TEST (suite, test_hop_by_hop_fields_stay_behind);
  CU_ADD_TEST (suite, test_only_whole_events_pass);
}
