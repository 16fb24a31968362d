#ifndef LIMPETROAD_PRIVATE_HTTP_H
#define LIMPETROAD_PRIVATE_HTTP_H

#include "limpetroad/clock.h"
#include "limpetroad/counters.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <curl/curl.h>
#include <glib.h>

/* Control exchanges with the platform and with operators' ports, over libcurl.
 *
 * One LimpetHttp belongs to one thread. A connection whose exchange timed out or broke is
 * closed and never used again.
 */
typedef struct LimpetHttp LimpetHttp;

typedef struct
{
  const char *method;
  const char *url;
  const char *body; /* NULL for none */
  size_t body_length;
  LimpetMs timeout_ms;
  const char *const *headers; /* NULL-terminated, or NULL */
} LimpetHttpRequest;

typedef struct
{
  long code;
  GString *body;               /* owned by the LimpetHttp until the next exchange */
  char etag[LIMPET_NAME_SIZE]; /* empty if the answer has none */
} LimpetHttpResponse;

/* sent and received are the counters that the bytes on the wire are added to. */
LimpetHttp *limpet_http_new (LimpetCounter sent, LimpetCounter received);
void limpet_http_delete (LimpetHttp *http);

/* UNREACHABLE: no byte of the request left. TIMEOUT, BROKEN: the peer may have acted. */
LimpetStatus limpet_http_exchange (LimpetHttp *http,
                                   const LimpetHttpRequest *request,
                                   LimpetHttpResponse *response,
                                   const char *step,
                                   LimpetError *error);

/* Maps a libcurl result to a status. sent_bytes is the size of the request that left. */
LimpetStatus limpet_http_status (CURLcode code, curl_off_t sent_bytes);

/* Keeps silent connections from lasting: sets TCP_USER_TIMEOUT and keep-alive probes. */
int limpet_http_set_socket_options (void *user, curl_socket_t fd, curlsocktype purpose);

#endif
