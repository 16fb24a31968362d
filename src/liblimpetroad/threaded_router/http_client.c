#include "private/http_client.h"

#include "limpetroad/http_head.h"
#include "limpetroad/limits.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>
#include <sys/socket.h>

#define MAX_IDLE_BUFFER_BYTES (64 * 1024)

struct LimpetHttpClient
{
  CURLM *multi; /* holds easy during an exchange, and its connections */
  CURL *easy;
  curl_off_t transferred_bytes; /* of both bodies, in the exchange under way */
  uint32_t head_lines;          /* likewise */
  bool is_too_long;             /* likewise: the head or the body */
  size_t max_body_bytes;
  GString *body;
  char etag[LIMPET_NAME_SIZE];
  LimpetCounter sent;
  LimpetCounter received;
};

int
limpet_http_set_socket_options (void *user, curl_socket_t fd, curlsocktype purpose)
{
  int user_timeout_ms = LIMPET_TCP_USER_TIMEOUT_MS;
  int on = 1;

  (void)user;
  (void)purpose;
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return CURL_SOCKOPT_OK;
}

LimpetStatus
limpet_http_status (CURLcode code, curl_off_t sent_bytes)
{
  switch (code)
    {
    case CURLE_OK:
      return LIMPET_STATUS_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
      return LIMPET_STATUS_UNREACHABLE;
    case CURLE_OPERATION_TIMEDOUT:
      return sent_bytes == 0 ? LIMPET_STATUS_UNREACHABLE : LIMPET_STATUS_TIMEOUT;
    case CURLE_OUT_OF_MEMORY:
    case CURLE_FAILED_INIT:
    case CURLE_URL_MALFORMAT:
      return LIMPET_STATUS_INTERNAL;
    default:
      return LIMPET_STATUS_BROKEN;
    }
}

/* Returns 0, which makes libcurl abort the transfer, if the body becomes too long. */
static size_t
append_body (char *data, size_t size, size_t count, void *user)
{
  LimpetHttpClient *http = user;

  http->is_too_long = http->body->len + size * count > http->max_body_bytes;
  if (http->is_too_long)
    return 0;
  g_string_append_len (http->body, data, (gssize)(size * count));
  return size * count;
}

static size_t
read_etag (char *line, size_t size, size_t count, void *user)
{
  LimpetHttpClient *http = user;
  size_t length = size * count;

  http->is_too_long = ++http->head_lines > LIMPET_HTTP_MAX_HEAD_LINES;
  if (http->is_too_long)
    return 0;
  if (length > 5 && g_ascii_strncasecmp (line, "ETag:", 5) == 0)
    {
      size_t used = MIN (length - 5, sizeof http->etag - 1);

      memcpy (http->etag, line + 5, used);
      http->etag[used] = '\0';
      g_strstrip (http->etag);
    }
  return length;
}

/* A CURLOPT_XFERINFOFUNCTION. */
static int
record_progress (void *user,
                 curl_off_t download_total,
                 curl_off_t downloaded,
                 curl_off_t upload_total,
                 curl_off_t uploaded)
{
  LimpetHttpClient *http = user;

  (void)download_total;
  (void)upload_total;
  http->transferred_bytes = downloaded + uploaded;
  return 0;
}

LimpetHttpClient *
limpet_http_client_new (LimpetCounter sent, LimpetCounter received)
{
  LimpetHttpClient *http = g_new0 (LimpetHttpClient, 1);

  http->multi = curl_multi_init ();
  http->easy = curl_easy_init ();
  http->body = g_string_new (NULL);
  http->sent = sent;
  http->received = received;
  return http;
}

void
limpet_http_client_delete (LimpetHttpClient *http)
{
  if (http == NULL)
    return;
  curl_easy_cleanup (http->easy);
  curl_multi_cleanup (http->multi);
  g_string_free (http->body, TRUE);
  g_free (http);
}

/* Sets the options of the exchange. Returns the request headers, which the caller frees
 * after it. The empty "Expect:" header keeps libcurl from sending "Expect: 100-continue";
 * the empty proxy makes it ignore the proxies that environment variables name. */
static struct curl_slist *
set_options (LimpetHttpClient *http, const LimpetHttpRequest *request)
{
  struct curl_slist *headers = curl_slist_append (NULL, "Expect:");
  CURL *easy = http->easy;

  headers = curl_slist_append (headers, "Content-Type: application/json");
  for (const char *const *header = request->headers; header != NULL && *header != NULL;
       header++)
    headers = curl_slist_append (headers, *header);
  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, request->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, request->method);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http,https");
  curl_easy_setopt (easy, CURLOPT_NOPROGRESS, 0L);
  curl_easy_setopt (easy, CURLOPT_XFERINFOFUNCTION, record_progress);
  curl_easy_setopt (easy, CURLOPT_XFERINFODATA, http);
  /* Responses do not name their request: a repeated one would be taken for the next. */
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)LIMPET_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, limpet_http_set_socket_options);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, http);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, read_etag);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, http);
  if (request->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, request->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)request->body_length);
    }
  return headers;
}

static void
count_bytes (LimpetHttpClient *http, long request_size)
{
  curl_off_t uploaded = 0;
  curl_off_t downloaded = 0;
  long header_size = 0;

  curl_easy_getinfo (http->easy, CURLINFO_SIZE_UPLOAD_T, &uploaded);
  curl_easy_getinfo (http->easy, CURLINFO_SIZE_DOWNLOAD_T, &downloaded);
  curl_easy_getinfo (http->easy, CURLINFO_HEADER_SIZE, &header_size);
  limpet_counter_add (http->sent, (uint64_t)(uploaded + request_size));
  limpet_counter_add (http->received, (uint64_t)(downloaded + header_size));
}

/* Performs the transfer. Fails with CURLE_OPERATION_TIMEDOUT if nothing is transferred
 * for timeout_ms, or if the transfer is slower than LIMPET_MIN_CONTROL_BYTES_PER_S. */
static CURLcode
perform (LimpetHttpClient *http, LimpetMs timeout_ms)
{
  LimpetMs start_ms = limpet_clock_mono_ms ();
  LimpetMs progress_ms = start_ms;
  LimpetMs wait_ms = timeout_ms;
  CURLMcode state;
  CURLMsg *result;
  CURLcode code = CURLE_OPERATION_TIMEDOUT;
  int running = 1;
  int queued = 0;

  http->transferred_bytes = 0;
  curl_multi_add_handle (http->multi, http->easy);
  state = curl_multi_perform (http->multi, &running);
  while (state == CURLM_OK && running > 0 && wait_ms > 0)
    {
      curl_off_t known_bytes = http->transferred_bytes;
      LimpetMs slowest_ms;

      curl_multi_poll (http->multi, NULL, 0, (int)wait_ms, NULL);
      state = curl_multi_perform (http->multi, &running);
      if (http->transferred_bytes != known_bytes)
        progress_ms = limpet_clock_mono_ms ();
      slowest_ms = http->transferred_bytes * 1000 / LIMPET_MIN_CONTROL_BYTES_PER_S;
      wait_ms = timeout_ms + MIN (progress_ms, start_ms + slowest_ms)
                - limpet_clock_mono_ms ();
    }
  result = curl_multi_info_read (http->multi, &queued);
  if (state != CURLM_OK)
    code = CURLE_FAILED_INIT;
  else if (result != NULL)
    code = result->data.result;
  curl_multi_remove_handle (http->multi, http->easy);
  return code;
}

LimpetStatus
limpet_http_client_exchange (LimpetHttpClient *http,
                             const LimpetHttpRequest *request,
                             LimpetHttpResponse *response,
                             const char *step,
                             LimpetError *error)
{
  struct curl_slist *headers = set_options (http, request);
  LimpetStatus status;
  CURLcode code;
  long request_size = 0;

  if (http->body->allocated_len > MAX_IDLE_BUFFER_BYTES)
    {
      g_string_free (http->body, TRUE);
      http->body = g_string_new (NULL);
    }
  g_string_truncate (http->body, 0);
  http->max_body_bytes = request->max_body_bytes != 0 ? request->max_body_bytes
                                                      : LIMPET_MAX_CONTROL_BODY_BYTES;
  http->head_lines = 0;
  http->is_too_long = false;
  http->etag[0] = '\0';
  code = perform (http, request->timeout_ms);
  curl_easy_getinfo (http->easy, CURLINFO_REQUEST_SIZE, &request_size);
  count_bytes (http, request_size);
  status = limpet_http_status (code, request_size);
  response->code = 0;
  response->body = http->body;
  g_strlcpy (response->etag, http->etag, sizeof response->etag);
  if (status == LIMPET_STATUS_OK)
    curl_easy_getinfo (http->easy, CURLINFO_RESPONSE_CODE, &response->code);
  else
    limpet_error_set (error, status, step, request->url, "%s",
                      http->is_too_long ? "the response is too long"
                                        : curl_easy_strerror (code));
  curl_slist_free_all (headers);
  return status;
}
