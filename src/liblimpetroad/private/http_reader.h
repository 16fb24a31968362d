#ifndef LIMPETROAD_PRIVATE_HTTP_READER_H
#define LIMPETROAD_PRIVATE_HTTP_READER_H

#include "limpetroad/http_head.h"
#include "limpetroad/status.h"

#include <glib.h>
#include <http_parser.h>

/* Reads HTTP/1.1 messages from a byte stream, one at a time.
 *
 * init → feed until it returns COMPLETE or ERROR → next → feed … → clear. The head is
 * checked more strictly than by the parser library: line feeds without a carriage return,
 * control characters and conflicting lengths are errors. Otherwise two recipients could
 * interpret the same message differently, which allows request smuggling (RFC 9112,
 * section 11.2). */

typedef enum
{
  LIMPET_HTTP_NEED_MORE = 0,
  LIMPET_HTTP_COMPLETE, /* the message is complete; later bytes were not consumed */
  LIMPET_HTTP_ERROR
} LimpetHttpProgress;

/* Callbacks for the parts of a message. Each returns false to stop with an error. If it
 * has not set error and error_status of the reader, the reader sets general ones. */
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
  GString *text;   /* request target, field names and values, each ended by a NUL */
  size_t *offsets; /* offsets in text: name, value, name, value, … */
  uint32_t offsets_count;
  size_t head_bytes;        /* bytes of the head read so far */
  size_t status_line_bytes; /* of a response, up to the byte after the status code */
  size_t head_limit;        /* maximum of head_bytes, and of framing_bytes */
  size_t framing_bytes;     /* of chunks and trailers, since the last byte of the body */
  bool has_invalid_status;
  bool in_value; /* the last bytes parsed belong to a field value */
  bool started;  /* a byte of the message has arrived */
  bool head_done;
  bool body_seen; /* the bytes parsed last contained a part of the body */
  bool complete;
  bool is_response;
  bool request_is_head; /* the response is to a HEAD request and has no body */
  char last_byte;       /* last byte of the head checked, to detect a bare CR or LF */
  const char *error;    /* error message; NULL if none */
  int error_status;     /* HTTP status of the error: 400, 408, 413, 431, 501 or 505 */
} LimpetHttpReader;

/* Initializes a reader of requests or responses with a size limit for the head in bytes.
 * user is passed to the callbacks. ops must outlive the reader. */
void limpet_http_reader_init (LimpetHttpReader *reader,
                              bool is_response,
                              size_t head_limit,
                              const LimpetHttpReaderOps *ops,
                              void *user);
void limpet_http_reader_clear (LimpetHttpReader *reader);

/* Reads up to length bytes and sets *used to the number of bytes consumed. */
LimpetHttpProgress limpet_http_reader_feed (LimpetHttpReader *reader,
                                            const char *data,
                                            size_t length,
                                            size_t *used);

/* Must be called when the stream has ended without an error. Returns COMPLETE if the
 * message is complete or ends with the stream, else ERROR. */
LimpetHttpProgress limpet_http_reader_end (LimpetHttpReader *reader);

/* Prepares for the next message of the stream. Frees the memory of a large head. */
void limpet_http_reader_next (LimpetHttpReader *reader);

/* Frees the text of the head, which must not be used any more. */
void limpet_http_reader_drop_head (LimpetHttpReader *reader);

/* Returns the memory that the text of a head takes. */
size_t limpet_http_reader_held_bytes (const LimpetHttpReader *reader);

#endif
