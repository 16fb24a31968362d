#ifndef LIMPETROAD_PRIVATE_HTTP_READER_H
#define LIMPETROAD_PRIVATE_HTTP_READER_H

#include "limpetroad/http_head.h"
#include "limpetroad/status.h"

#include <glib.h>
#include <http_parser.h>

/* Reads HTTP/1.1 messages from a stream of bytes, one at a time.
 *
 * init → feed until it tells COMPLETE or ERROR → next → feed … → clear. The head is
 * checked more strictly than the parser library does: line feeds without a carriage
 * return, control characters, and conflicting lengths are errors, so that no two parties
 * can read one message differently (RFC 9112, section 11.2). */

typedef enum
{
  LIMPET_HTTP_NEED_MORE = 0,
  LIMPET_HTTP_COMPLETE, /* the message ended; bytes after it were not consumed */
  LIMPET_HTTP_ERROR
} LimpetHttpProgress;

/* Receives parts of a message. Each returns false to stop reading with an error. */
typedef struct
{
  bool (*on_head) (void *user, const LimpetHttpHead *head);
  bool (*on_body) (void *user, const char *data, size_t length);
} LimpetHttpReaderOps;

typedef struct
{
  const LimpetHttpReaderOps *ops;
  void *user;
  http_parser parser;
  http_parser_settings callbacks;
  LimpetHttpHead head;
  GString *text;   /* names and values of the head, each ended by a NUL */
  size_t *offsets; /* pairs of offsets of names and values in text */
  uint32_t offsets_count;
  size_t head_bytes; /* bytes of the head so far */
  size_t head_limit;
  bool in_value;
  bool started; /* a byte of the message came */
  bool head_done;
  bool complete;
  bool is_answer;
  bool answers_head; /* the request was HEAD: the answer has no body */
  char last_byte;    /* of the head, to find line feeds without carriage return */
  const char *error; /* why it stopped with an error */
  int error_status;  /* status for the sender: 400, 431, 501 or 505 */
} LimpetHttpReader;

void limpet_http_reader_init (LimpetHttpReader *reader,
                              bool is_answer,
                              size_t head_limit,
                              const LimpetHttpReaderOps *ops,
                              void *user);
void limpet_http_reader_clear (LimpetHttpReader *reader);

/* Reads length bytes; *used tells how many belong to this message. */
LimpetHttpProgress limpet_http_reader_feed (LimpetHttpReader *reader,
                                            const char *data,
                                            size_t length,
                                            size_t *used);

/* Tells that the stream ended in order; COMPLETE if that ends the message. */
LimpetHttpProgress limpet_http_reader_end (LimpetHttpReader *reader);

/* Makes ready for the next message of the stream. */
void limpet_http_reader_next (LimpetHttpReader *reader);

#endif
