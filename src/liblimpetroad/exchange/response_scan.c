#include "private/response_scan.h"

#include "private/http_reader.h"
#include "private/text_buffer.h"

#include <string.h>

#define MAX_LINE_BYTES (8 * 1024)
#define MAX_HEAD_BYTES (64 * 1024)
/* HTTP/1.1 200 */
#define MIN_STATUS_LINE_BYTES 12

static const char mark[] = "HTTP/1.";
#define MARK_BYTES (sizeof mark - 1)

typedef enum
{
  STEP_WAIT = 0, /* more bytes are needed */
  STEP_LINE,     /* a line of the head is complete */
  STEP_FOUND,
  STEP_RESTART /* no head begins where it seemed to; scan on from another byte */
} Step;

/* Returns where the text may begin a head; length if nowhere. */
static size_t
find_mark (const char *text, size_t length)
{
  const char *at = memmem (text, length, mark, MARK_BYTES);

  if (at != NULL)
    return (size_t)(at - text);
  for (size_t tail = MIN (MARK_BYTES - 1, length); tail > 0; tail--)
    if (memcmp (text + length - tail, mark, tail) == 0)
      return length - tail;
  return length;
}

/* Returns whether text, which begins with the mark, begins with a version and a status.
 */
static bool
is_status_line (const char *text)
{
  const char *version = text + MARK_BYTES;

  return g_ascii_isdigit (version[0]) && version[1] == ' ' && g_ascii_isdigit (version[2])
         && g_ascii_isdigit (version[3]) && g_ascii_isdigit (version[4]);
}

static bool
is_field_line (const char *line, size_t length)
{
  const char *colon = memchr (line, ':', length);

  if (colon == NULL || colon == line)
    return false;
  for (const char *at = line; at < colon; at++)
    if (!g_ascii_isalnum (*at) && strchr ("!#$%&'*+-.^_`|~", *at) == NULL)
      return false;
  return true;
}

typedef struct
{
  const LimpetResponseScan *scan;
  bool is_accepted;
} HeadCheck;

static bool
on_head (void *user, const LimpetHttpHead *head)
{
  HeadCheck *check = user;

  check->is_accepted = check->scan->accepts (check->scan->user, head);
  return true;
}

static bool
on_body (void *user, const char *data, size_t length)
{
  (void)user;
  (void)data;
  (void)length;
  return true;
}

static bool
accepts_head (const LimpetResponseScan *scan, const char *text, size_t length)
{
  static const LimpetHttpReaderOps ops = { .on_head = on_head, .on_body = on_body };
  HeadCheck check = { .scan = scan };
  LimpetHttpReader reader;
  size_t used;

  limpet_http_reader_init (&reader, true, MAX_HEAD_BYTES, &ops, &check);
  limpet_http_reader_feed (&reader, text, length, &used);
  limpet_http_reader_clear (&reader);
  return check.is_accepted;
}

/* Reads one line of the head that begins at start in held. Sets *next to where to scan on
 * if no head begins there. */
static Step
read_line (LimpetResponseScan *scan, size_t start, size_t *next)
{
  const char *text = scan->held->str;
  size_t length = scan->held->len;
  const char *end;
  size_t line_length;

  *next = scan->has_first_line ? scan->line_start : start + 1;
  if (!scan->has_first_line)
    {
      if (length - start < MIN_STATUS_LINE_BYTES)
        return STEP_WAIT;
      if (!is_status_line (text + start))
        return STEP_RESTART;
    }
  end = memchr (text + scan->searched, '\n', length - scan->searched);
  if (end == NULL)
    {
      scan->searched = length;
      return length - scan->line_start > MAX_LINE_BYTES ? STEP_RESTART : STEP_WAIT;
    }
  line_length = (size_t)(end - text) - scan->line_start;
  scan->searched = scan->line_start + line_length + 1;
  if (line_length == 0 || end[-1] != '\r' || scan->searched - start > MAX_HEAD_BYTES)
    {
      *next = scan->searched; /* nor does one begin in the rest of this line */
      return STEP_RESTART;
    }
  if (scan->has_first_line && line_length == 1)
    {
      *next = scan->searched;
      return accepts_head (scan, text + start, scan->searched - start) ? STEP_FOUND
                                                                       : STEP_RESTART;
    }
  if (scan->has_first_line && !is_field_line (text + scan->line_start, line_length - 1))
    {
      scan->searched = scan->line_start;
      return STEP_RESTART;
    }
  scan->has_first_line = true;
  scan->line_start = scan->searched;
  return STEP_LINE;
}

/* Looks for the next place where a head may begin, from start on. Returns it; if there is
 * none, the length of what is held. */
static size_t
find_start (LimpetResponseScan *scan, size_t start)
{
  size_t length = scan->held->len;

  start += find_mark (scan->held->str + start, length - start);
  scan->is_in_head = length - start >= MARK_BYTES;
  scan->has_first_line = false;
  scan->line_start = start;
  scan->searched = MAX (scan->searched, start);
  return start;
}

static void
pass (LimpetResponseScan *scan, size_t length, GString *out)
{
  g_string_append_len (out, scan->held->str, (gssize)length);
  limpet_text_buffer_drop_front (&scan->held, length);
  scan->line_start -= length;
  scan->searched -= length;
}

bool
limpet_response_scan_feed (LimpetResponseScan *scan,
                           const char *data,
                           size_t length,
                           GString *out)
{
  size_t start = 0;
  Step step = STEP_LINE;

  if (scan->held == NULL)
    scan->held = g_string_new (NULL);
  g_string_append_len (scan->held, data, (gssize)length);
  if (!scan->is_in_head)
    start = find_start (scan, 0);
  while (scan->is_in_head && step != STEP_WAIT && step != STEP_FOUND)
    {
      size_t next;

      step = read_line (scan, start, &next);
      if (step == STEP_RESTART)
        start = find_start (scan, next);
    }
  pass (scan, start, out);
  return step != STEP_FOUND;
}

void
limpet_response_scan_end (LimpetResponseScan *scan, GString *out)
{
  if (scan->held != NULL)
    g_string_append_len (out, scan->held->str, (gssize)scan->held->len);
  limpet_response_scan_clear (scan);
}

size_t
limpet_response_scan_held_bytes (const LimpetResponseScan *scan)
{
  return scan->held != NULL ? scan->held->len : 0;
}

void
limpet_response_scan_clear (LimpetResponseScan *scan)
{
  if (scan->held != NULL)
    g_string_free (scan->held, TRUE);
  scan->held = NULL;
  scan->line_start = 0;
  scan->searched = 0;
  scan->is_in_head = false;
  scan->has_first_line = false;
}
