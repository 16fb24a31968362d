#ifndef LIMPETROAD_PRIVATE_HTTP_CLIENT_H
#define LIMPETROAD_PRIVATE_HTTP_CLIENT_H

#include "limpetroad/clock.h"
#include "limpetroad/counters.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <curl/curl.h>
#include <glib.h>

/* HTTP client for control requests to the platform and to operators' ports, over libcurl.
 *
 * A LimpetHttpClient is used by one thread only. A connection is closed and not reused
 * after a timeout or a transfer error.
 */
typedef struct LimpetHttpClient LimpetHttpClient;

typedef struct
{
  const char *method;
  const char *url;
  const char *body; /* NULL for none */
  size_t body_length;
  size_t max_body_bytes;      /* of the response; 0 for LIMPET_MAX_CONTROL_BODY_BYTES */
  LimpetMs timeout_ms;        /* longest time in which nothing is transferred */
  const char *const *headers; /* NULL-terminated, or NULL */
} LimpetHttpRequest;

typedef struct
{
  long code;
  GString *body; /* owned by the LimpetHttpClient; valid until the next exchange */
  char etag[LIMPET_NAME_SIZE]; /* empty if the response has none */
} LimpetHttpResponse;

/* The sizes of requests and responses, headers included, are added to the counters sent
 * and received. */
LimpetHttpClient *limpet_http_client_new (LimpetCounter sent, LimpetCounter received);
void limpet_http_client_delete (LimpetHttpClient *http);

/* Sends a request and waits for the response. step names the operation in error. OK: a
 * complete response, whatever its HTTP status. UNREACHABLE: no byte of the request was
 * sent. TIMEOUT, BROKEN: the peer may have processed the request. TIMEOUT also if the
 * transfer is slower than LIMPET_MIN_CONTROL_BYTES_PER_S. BROKEN also if the body
 * is longer than max_body_bytes, or the head than LIMPET_HTTP_MAX_HEAD_LINES. INTERNAL:
 * libcurl ran out of memory or rejected the URL. */
LimpetStatus limpet_http_client_exchange (LimpetHttpClient *http,
                                          const LimpetHttpRequest *request,
                                          LimpetHttpResponse *response,
                                          const char *step,
                                          LimpetError *error);

/* Maps a libcurl result to a status. sent_bytes is the number of request bytes sent. */
LimpetStatus limpet_http_status (CURLcode code, curl_off_t sent_bytes);

/* A CURLOPT_SOCKOPTFUNCTION. Sets TCP_NODELAY, and TCP_USER_TIMEOUT, which closes a
 * connection whose data is not acknowledged in time. */
int limpet_http_set_socket_options (void *user, curl_socket_t fd, curlsocktype purpose);

#endif
