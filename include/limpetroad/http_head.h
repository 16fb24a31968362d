#ifndef LIMPETROAD_HTTP_HEAD_H
#define LIMPETROAD_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup http_head HTTP head
 *  The start line and the header fields of an HTTP/1.1 message.
 *
 *  The exchange fills a head and passes it to a codec, which reads it with
 *  limpet_http_head_field(). All strings are owned by the reader of the message and are
 *  valid until it starts the next message.
 */

/** A message with more fields than this is rejected. */
#define LIMPET_HTTP_MAX_FIELDS 96
/** Lines of the heads of a response, interim ones included, at libcurl's clients. */
#define LIMPET_HTTP_MAX_HEAD_LINES (LIMPET_HTTP_MAX_FIELDS + 8)

/** One header field. */
typedef struct
{
  const char *name;
  const char *value; /**< without leading and trailing white space */
} LimpetHttpField;

/** The head of a message. */
typedef struct
{
  const char *method; /**< of a request */
  const char *target; /**< path and query of a request */
  int status;         /**< of a response */
  /** The status code of the response has three digits and is from 100 to 599. */
  bool has_valid_status;
  int minor_version; /**< 0 for HTTP/1.0, 1 for HTTP/1.1 */
  bool keep_alive;   /**< the sender keeps the connection open after the message */
  bool is_chunked;
  int64_t content_length; /**< in bytes; -1 if the message has no such field */
  LimpetHttpField fields[LIMPET_HTTP_MAX_FIELDS];
  uint32_t fields_count;
} LimpetHttpHead;

/** Returns the value of the first field called \p name (case-insensitive), or NULL. */
const char *limpet_http_head_field (const LimpetHttpHead *head, const char *name);

/** Returns whether a proxy may forward the field \p name. It must not forward fields for
 *  a single connection (RFC 9110, section 7.6.1), fields that a Connection field lists,
 *  Content-Length and Expect. */
bool limpet_http_head_is_end_to_end (const LimpetHttpHead *head, const char *name);

#endif
