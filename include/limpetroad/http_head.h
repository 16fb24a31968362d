#ifndef LIMPETROAD_HTTP_HEAD_H
#define LIMPETROAD_HTTP_HEAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup http_head HTTP head
 *  The first line and the fields of an HTTP/1.1 message, as codecs read them.
 *
 *  The exchange fills a head and passes it to a codec, which reads it with
 *  limpet_http_head_field(). All strings belong to the reader of the message and last
 *  until its next message.
 */

#define LIMPET_HTTP_MAX_FIELDS 96

/** One header field. */
typedef struct
{
  const char *name;
  const char *value; /**< without leading and trailing white space */
} LimpetHttpField;

/** A message without its body. */
typedef struct
{
  const char *method; /**< of a request */
  const char *target; /**< path and query of a request */
  int status;         /**< of an answer */
  int minor_version;  /**< 0 or 1 of HTTP/1 */
  bool keep_alive;    /**< the sender will use the connection again */
  bool is_chunked;
  int64_t content_length; /**< -1 if the message tells none */
  LimpetHttpField fields[LIMPET_HTTP_MAX_FIELDS];
  uint32_t fields_count;
} LimpetHttpHead;

/** Returns the value of the first field called \p name, in any case, or NULL. */
const char *limpet_http_head_field (const LimpetHttpHead *head, const char *name);

/** Returns whether \p name may be passed on to the next party: not one of the fields that
 *  concern a single connection (RFC 9110, section 7.6.1), nor one named in Connection. */
bool limpet_http_head_is_end_to_end (const LimpetHttpHead *head, const char *name);

#endif
