#include "private/http_reader.h"

#include "private/text_buffer.h"

#include <string.h>
#include <strings.h>

/* Places of the status code in a status line: "HTTP/1.1 200 OK". */
#define STATUS_CODE_BEGIN 9
#define STATUS_CODE_END 12

/* Fields that concern only one connection (RFC 9110, section 7.6.1). Content-Length is
 * included because the router frames the body itself on each connection, and Expect
 * because the router sends the 100 response itself. */
static const char *const hop_by_hop_fields[]
    = { "Connection",         "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "TE",         "Proxy-Authorization",
        "Transfer-Encoding",  "Trailer",    "Upgrade",
        "Content-Length",     "Expect",     NULL };

const char *
limpet_http_head_field (const LimpetHttpHead *head, const char *name)
{
  for (uint32_t i = 0; i < head->fields_count; i++)
    if (strcasecmp (head->fields[i].name, name) == 0)
      return head->fields[i].value;
  return NULL;
}

/* Returns whether a list of names, separated by commas and white space, contains name
 * (case-insensitive). */
static bool
list_contains (const char *list, const char *name)
{
  size_t length = strlen (name);

  while (*list != '\0')
    {
      size_t item_length = strcspn (list, ", \t");

      if (item_length == length && strncasecmp (list, name, length) == 0)
        return true;
      list += item_length;
      list += strspn (list, ", \t");
    }
  return false;
}

bool
limpet_http_head_is_end_to_end (const LimpetHttpHead *head, const char *name)
{
  for (size_t i = 0; hop_by_hop_fields[i] != NULL; i++)
    if (strcasecmp (hop_by_hop_fields[i], name) == 0)
      return false;
  for (uint32_t i = 0; i < head->fields_count; i++)
    if (strcasecmp (head->fields[i].name, "Connection") == 0
        && list_contains (head->fields[i].value, name))
      return false;
  return true;
}

/* Sets the error of the message unless one is set. Returns -1, which makes the parser
 * library stop. */
static int
fail (LimpetHttpReader *reader, int status, const char *error)
{
  if (reader->error == NULL)
    {
      reader->error = error;
      reader->error_status = status;
    }
  return -1;
}

static void
end_string (LimpetHttpReader *reader)
{
  g_string_append_c (reader->text, '\0');
}

static int
on_url (http_parser *parser, const char *at, size_t length)
{
  LimpetHttpReader *reader = parser->data;

  g_string_append_len (reader->text, at, (gssize)length);
  return 0;
}

static int
on_field (http_parser *parser, const char *at, size_t length)
{
  LimpetHttpReader *reader = parser->data;

  if (reader->head_done)
    return 0; /* a trailer field, which is not forwarded */
  if (reader->in_value || reader->offsets_count == 0)
    {
      if (reader->offsets_count >= 2 * LIMPET_HTTP_MAX_FIELDS)
        return fail (reader, 431, "too many header fields");
      end_string (reader);
      reader->offsets[reader->offsets_count++] = reader->text->len;
      reader->in_value = false;
    }
  g_string_append_len (reader->text, at, (gssize)length);
  return 0;
}

static int
on_value (http_parser *parser, const char *at, size_t length)
{
  LimpetHttpReader *reader = parser->data;

  if (reader->head_done)
    return 0;
  if (!reader->in_value)
    {
      end_string (reader);
      reader->offsets[reader->offsets_count++] = reader->text->len;
      reader->in_value = true;
    }
  g_string_append_len (reader->text, at, (gssize)length);
  return 0;
}

/* Rejects white space between field name and colon. The parser library accepts it, but
 * other recipients treat it as part of the name (RFC 9112, section 5.1). */
static int
check_field_names (LimpetHttpReader *reader)
{
  for (uint32_t i = 0; i < reader->head.fields_count; i++)
    if (strpbrk (reader->head.fields[i].name, " \t") != NULL)
      return fail (reader, 400, "white space in a field name");
  return 0;
}

/* Rejects a message in which the length of the body is ambiguous. */
static int
check_body_length_fields (LimpetHttpReader *reader)
{
  uint32_t lengths = 0;
  uint32_t encodings = 0;
  const char *encoding = NULL;

  for (uint32_t i = 0; i < reader->head.fields_count; i++)
    {
      lengths += strcasecmp (reader->head.fields[i].name, "Content-Length") == 0;
      if (strcasecmp (reader->head.fields[i].name, "Transfer-Encoding") == 0)
        {
          encodings++;
          encoding = reader->head.fields[i].value;
        }
    }
  if (lengths > 1 || (lengths > 0 && encodings > 0) || encodings > 1)
    return fail (reader, 400, "conflicting or repeated body length fields");
  if (encoding != NULL && strcasecmp (encoding, "chunked") != 0)
    return fail (reader, 501,
                 "unsupported transfer encoding (only chunked is supported)");
  return 0;
}

static int
on_headers_complete (http_parser *parser)
{
  LimpetHttpReader *reader = parser->data;
  LimpetHttpHead *head = &reader->head;

  end_string (reader);
  head->target = reader->text->str;
  head->fields_count = reader->offsets_count / 2;
  for (uint32_t i = 0; i < head->fields_count; i++)
    {
      head->fields[i].name = reader->text->str + reader->offsets[2 * i];
      head->fields[i].value = g_strchomp (reader->text->str + reader->offsets[2 * i + 1]);
    }
  head->method = http_method_str ((enum http_method)parser->method);
  head->status = (int)parser->status_code;
  head->has_valid_status = reader->is_response && !reader->has_invalid_status;
  head->minor_version = parser->http_minor;
  head->keep_alive = http_should_keep_alive (parser) != 0;
  head->is_chunked = (parser->flags & F_CHUNKED) != 0;
  head->content_length
      = parser->content_length == UINT64_MAX ? -1 : (int64_t)parser->content_length;
  reader->head_done = true;
  if (parser->http_major != 1 || parser->http_minor > 1)
    return fail (reader, 505,
                 "unsupported HTTP version (only 1.0 and 1.1 are supported)");
  if (check_field_names (reader) != 0 || check_body_length_fields (reader) != 0)
    return -1;
  if (!reader->ops->on_head (reader->user, head))
    return fail (reader, 400, "message head rejected");
  return reader->request_is_head ? 1 : 0; /* 1: the message has no body */
}

static int
on_body (http_parser *parser, const char *at, size_t length)
{
  LimpetHttpReader *reader = parser->data;

  reader->body_seen = true;
  return reader->ops->on_body (reader->user, at, length)
             ? 0
             : fail (reader, 413, "message body rejected");
}

static int
on_complete (http_parser *parser)
{
  LimpetHttpReader *reader = parser->data;

  reader->complete = true;
  http_parser_pause (parser, 1);
  return 0;
}

void
limpet_http_reader_drop_head (LimpetHttpReader *reader)
{
  limpet_text_buffer_drop_front (&reader->text, reader->text->len);
}

void
limpet_http_reader_next (LimpetHttpReader *reader)
{
  http_parser_init (&reader->parser, reader->is_response ? HTTP_RESPONSE : HTTP_REQUEST);
  reader->parser.data = reader;
  reader->head = (LimpetHttpHead){ .content_length = -1 };
  limpet_http_reader_drop_head (reader);
  reader->offsets_count = 0;
  reader->head_bytes = 0;
  reader->status_line_bytes = 0;
  reader->has_invalid_status = false;
  reader->framing_bytes = 0;
  reader->in_value = false;
  reader->started = false;
  reader->head_done = false;
  reader->complete = false;
  reader->last_byte = '\0';
  reader->error = NULL;
  reader->error_status = 0;
}

void
limpet_http_reader_init (LimpetHttpReader *reader,
                         bool is_response,
                         size_t head_limit,
                         const LimpetHttpReaderOps *ops,
                         void *user)
{
  *reader = (LimpetHttpReader){
    .ops = ops,
    .user = user,
    .head_limit = head_limit,
    .is_response = is_response,
    .text = g_string_new (NULL),
    .offsets = g_new (size_t, 2 * LIMPET_HTTP_MAX_FIELDS),
  };
  http_parser_settings_init (&reader->callbacks);
  reader->callbacks.on_url = on_url;
  reader->callbacks.on_header_field = on_field;
  reader->callbacks.on_header_value = on_value;
  reader->callbacks.on_headers_complete = on_headers_complete;
  reader->callbacks.on_body = on_body;
  reader->callbacks.on_message_complete = on_complete;
  limpet_http_reader_next (reader);
}

size_t
limpet_http_reader_held_bytes (const LimpetHttpReader *reader)
{
  return reader->text->allocated_len;
}

void
limpet_http_reader_clear (LimpetHttpReader *reader)
{
  if (reader->text != NULL)
    g_string_free (reader->text, TRUE);
  g_free (reader->offsets);
  reader->text = NULL;
  reader->offsets = NULL;
}

/* Returns false if a part of the head contains a bare line feed, a bare carriage return
 * or a NUL. The parser library accepts a bare line feed as the end of a line. */
static bool
line_ends_are_valid (LimpetHttpReader *reader, const char *data, size_t length)
{
  char last = reader->last_byte;

  for (size_t i = 0; i < length; i++)
    {
      if ((data[i] == '\n' && last != '\r') || data[i] == '\0')
        return false;
      if (last == '\r' && data[i] != '\n')
        return false;
      last = data[i];
    }
  reader->last_byte = last;
  return true;
}

/* Checks the bytes of a status code that a part of a head contains: three digits, from
 * 100 to 599 (RFC 9110, section 15). The parser library accepts others, and leading
 * zeros. */
static void
check_status_code (LimpetHttpReader *reader, const char *data, size_t length)
{
  for (size_t i = 0; i < length && reader->status_line_bytes <= STATUS_CODE_END; i++)
    {
      char byte = data[i];
      size_t place = reader->status_line_bytes;

      if (place == 0 && (byte == '\r' || byte == '\n'))
        continue; /* an empty line before the message */
      reader->status_line_bytes++;
      if ((place == STATUS_CODE_BEGIN - 1 && byte != ' ')
          || (place == STATUS_CODE_BEGIN && (byte < '1' || byte > '5'))
          || (place > STATUS_CODE_BEGIN && place < STATUS_CODE_END
              && !g_ascii_isdigit (byte))
          || (place == STATUS_CODE_END && byte != ' ' && byte != '\r'))
        reader->has_invalid_status = true;
    }
}

/* Returns how many bytes of data to parse next as part of the head: up to the blank line
 * that ends the head if data contains it, else length. Returns at most 1 if the last byte
 * parsed was a CR or LF, because the blank line may then have begun before data, and if
 * length is below 4. */
static size_t
head_bytes_in (const LimpetHttpReader *reader, const char *data, size_t length)
{
  const char *end;

  if (reader->last_byte == '\n' || reader->last_byte == '\r' || length < 4)
    return MIN (length, 1);
  end = memmem (data, length, "\r\n\r\n", 4);
  return end != NULL ? (size_t)(end - data) + 4 : length;
}

static LimpetHttpProgress
current_progress (LimpetHttpReader *reader)
{
  if (reader->complete && reader->error == NULL)
    return LIMPET_HTTP_COMPLETE;
  if (HTTP_PARSER_ERRNO (&reader->parser) == HPE_OK && reader->error == NULL)
    return LIMPET_HTTP_NEED_MORE;
  fail (reader, 400, http_errno_description (HTTP_PARSER_ERRNO (&reader->parser)));
  return LIMPET_HTTP_ERROR;
}

LimpetHttpProgress
limpet_http_reader_feed (LimpetHttpReader *reader,
                         const char *data,
                         size_t length,
                         size_t *used)
{
  *used = 0;
  while (*used < length && !reader->complete && reader->error == NULL)
    {
      const char *at = data + *used;
      size_t part_length = length - *used;
      size_t parsed;

      reader->started = true;
      if (!reader->head_done)
        {
          part_length = head_bytes_in (reader, at, part_length);
          reader->head_bytes += part_length;
          if (reader->head_bytes > reader->head_limit)
            fail (reader, 431, "message head exceeds the size limit");
          else if (!line_ends_are_valid (reader, at, part_length))
            fail (reader, 400,
                  "head contains a NUL or a line that does not end with CR LF");
          if (reader->error != NULL)
            return LIMPET_HTTP_ERROR;
          if (reader->is_response)
            check_status_code (reader, at, part_length);
        }
      reader->body_seen = !reader->head_done;
      parsed = http_parser_execute (&reader->parser, &reader->callbacks, at, part_length);
      *used += parsed;
      reader->framing_bytes = reader->body_seen ? 0 : reader->framing_bytes + parsed;
      if (reader->framing_bytes > reader->head_limit)
        fail (reader, 400, "chunk extensions or trailers exceed the size limit");
      if (reader->parser.upgrade)
        fail (reader, 400, "protocol upgrades are not supported");
      if (HTTP_PARSER_ERRNO (&reader->parser) != HPE_OK)
        break;
    }
  return current_progress (reader);
}

LimpetHttpProgress
limpet_http_reader_end (LimpetHttpReader *reader)
{
  if (reader->complete)
    return LIMPET_HTTP_COMPLETE;
  if (reader->error == NULL)
    http_parser_execute (&reader->parser, &reader->callbacks, NULL, 0);
  if (reader->complete && reader->error == NULL)
    return LIMPET_HTTP_COMPLETE;
  fail (reader, 400, "connection closed before the message was complete");
  return LIMPET_HTTP_ERROR;
}
