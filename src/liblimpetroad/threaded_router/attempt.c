#include "limpetroad/attempt.h"

#include "limpetroad/counters.h"
#include "limpetroad/http_head.h"
#include "private/http_client.h"
#include "private/target_connection.h"

#include <sodium.h>
#include <stdarg.h>
#include <string.h>

/* Sizes of libcurl's buffers for each connection. */
#define RECEIVE_BUFFER_BYTES 4096
#define UPLOAD_BUFFER_BYTES 16384
#define MAX_ERROR_BODY_BYTES 4096

const char *const limpet_attempt_state_string[LIMPET_ATTEMPT_STATE_COUNT] = {
  [LIMPET_ATTEMPT_NEW] = "new",
  [LIMPET_ATTEMPT_SENT] = "sent",
  [LIMPET_ATTEMPT_ACCEPTED] = "accepted",
  [LIMPET_ATTEMPT_ENDED] = "ended",
};

struct LimpetAttempt
{
  LimpetTarget *target;
  LimpetTargetConnection *connection;
  char id[LIMPET_ATTEMPT_ID_SIZE];
  char *url;
  const char *method;
  const char *body;
  size_t body_length;
  struct curl_slist *headers;
  LimpetAttemptBodyHandler body_handler;
  void *user;
  bool new_connection;
  LimpetAttemptState state;
  LimpetAttemptResponse response;
  uint32_t head_lines; /* interim responses included */
  GString *error_body;
  curl_socket_t fd;
  int socket_events;     /* CURL_POLL_* */
  LimpetMs timer_due_ms; /* monotonic, -1 if none */
  CURLcode result;
  bool aborted; /* on_body() ended the transfer */
};

LimpetAttempt *
limpet_attempt_new (LimpetTarget *target)
{
  LimpetAttempt *attempt = g_new0 (LimpetAttempt, 1);
  uint8_t random[(LIMPET_ATTEMPT_ID_SIZE - 1) / 2];

  randombytes_buf (random, sizeof random);
  sodium_bin2hex (attempt->id, sizeof attempt->id, random, sizeof random);
  attempt->target = target;
  attempt->fd = CURL_SOCKET_BAD;
  attempt->timer_due_ms = -1;
  attempt->response = (LimpetAttemptResponse){ .prompt_tokens = -1, .cached_tokens = -1 };
  /* Keeps libcurl from sending "Expect: 100-continue". */
  attempt->headers = curl_slist_append (NULL, "Expect:");
  return attempt;
}

void
limpet_attempt_set_request (LimpetAttempt *attempt,
                            const char *method,
                            const char *path,
                            const char *body,
                            size_t body_length)
{
  const LimpetVm *vm = &attempt->target->vm;

  g_free (attempt->url);
  attempt->url = g_strdup_printf ("http://%s:%d%s", vm->address, (int)vm->port, path);
  attempt->method = method;
  attempt->body = body;
  attempt->body_length = body_length;
}

void
limpet_attempt_add_header (LimpetAttempt *attempt, const char *format, ...)
{
  va_list args;
  char *line;

  va_start (args, format);
  line = g_strdup_vprintf (format, args);
  va_end (args);
  attempt->headers = curl_slist_append (attempt->headers, line);
  g_free (line);
}

void
limpet_attempt_set_body_handler (LimpetAttempt *attempt,
                                 LimpetAttemptBodyHandler body_handler,
                                 void *user)
{
  attempt->body_handler = body_handler;
  attempt->user = user;
}

void
limpet_attempt_set_id (LimpetAttempt *attempt, const char *id)
{
  g_strlcpy (attempt->id, id, sizeof attempt->id);
}

void
limpet_attempt_set_new_connection (LimpetAttempt *attempt)
{
  attempt->new_connection = true;
}

static int
on_socket (CURL *easy, curl_socket_t fd, int what, void *user, void *socket_user)
{
  LimpetAttempt *attempt = user;

  (void)easy;
  (void)socket_user;
  if (what != CURL_POLL_REMOVE)
    {
      attempt->fd = fd;
      attempt->socket_events = what;
    }
  else if (attempt->fd == fd)
    attempt->fd = CURL_SOCKET_BAD;
  return 0;
}

static int
on_timer (CURLM *multi, long timeout_ms, void *user)
{
  LimpetAttempt *attempt = user;

  (void)multi;
  attempt->timer_due_ms = timeout_ms < 0 ? -1 : limpet_clock_mono_ms () + timeout_ms;
  return 0;
}

/* If the line is the named header, copies its value without surrounding spaces, truncated
 * to size. */
static bool
match_header (const char *line, size_t length, const char *name, char *value, size_t size)
{
  size_t name_length = strlen (name);
  size_t used;

  if (length <= name_length || line[name_length] != ':'
      || g_ascii_strncasecmp (line, name, name_length) != 0)
    return false;
  line += name_length + 1;
  length -= name_length + 1;
  used = MIN (length, size - 1);
  memcpy (value, line, used);
  value[used] = '\0';
  g_strstrip (value);
  return true;
}

static size_t
on_header (char *line, size_t size, size_t count, void *user)
{
  LimpetAttempt *attempt = user;
  LimpetAttemptResponse *response = &attempt->response;
  size_t length = size * count;
  char value[LIMPET_NAME_SIZE];

  if (++attempt->head_lines > LIMPET_HTTP_MAX_HEAD_LINES)
    {
      attempt->aborted = true;
      return 0;
    }
  if (match_header (line, length, "X-Attempt-Id", value, sizeof value))
    response->id_matches = strcmp (value, attempt->id) == 0;
  else if (match_header (line, length, "X-Prompt-Tokens", value, sizeof value))
    response->prompt_tokens = g_ascii_strtoll (value, NULL, 10);
  else if (match_header (line, length, "X-Cached-Tokens", value, sizeof value))
    response->cached_tokens = g_ascii_strtoll (value, NULL, 10);
  else if (match_header (line, length, "Content-Type", value, sizeof value))
    g_strlcpy (response->content_type, value, sizeof response->content_type);
  else if (match_header (line, length, "X-Not-Started", value, sizeof value))
    response->not_started = strcmp (value, "1") == 0;
  else if (match_header (line, length, "Content-Length", value, sizeof value)
           || match_header (line, length, "Transfer-Encoding", value, sizeof value))
    response->is_framed = true;
  else if (match_header (line, length, "X-Leaving", value, sizeof value))
    response->leaving = strcmp (value, "1") == 0;
  else if (length <= 2) /* the empty line after the last header */
    curl_easy_getinfo (attempt->connection->easy, CURLINFO_RESPONSE_CODE,
                       &response->code);
  if (length <= 2 && response->code == 200 && response->id_matches)
    attempt->state = LIMPET_ATTEMPT_ACCEPTED;
  return length;
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  LimpetAttempt *attempt = user;
  size_t length = size * count;

  if (attempt->response.code != 200)
    {
      if (attempt->error_body == NULL)
        attempt->error_body = g_string_new (NULL);
      if (attempt->error_body->len + length <= MAX_ERROR_BODY_BYTES)
        g_string_append_len (attempt->error_body, data, (gssize)length);
      return length;
    }
  if (!attempt->response.id_matches)
    {
      limpet_counter_add (LIMPET_COUNTER_WRONG_ATTEMPT_ID, 1);
      attempt->aborted = true;
      return 0;
    }
  if (attempt->body_handler != NULL
      && !attempt->body_handler (attempt->user, data, length))
    {
      attempt->aborted = true;
      return 0;
    }
  return length;
}

/* Sets the options of the exchange. The empty proxy makes libcurl ignore the proxies that
 * environment variables name. */
static void
set_options (LimpetAttempt *attempt)
{
  CURL *easy = attempt->connection->easy;

  curl_easy_reset (easy);
  curl_easy_setopt (easy, CURLOPT_URL, attempt->url);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, attempt->method);
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS, (long)LIMPET_CONNECT_TIMEOUT_MS);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, limpet_http_set_socket_options);
  curl_easy_setopt (easy, CURLOPT_BUFFERSIZE, (long)RECEIVE_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_UPLOAD_BUFFERSIZE, (long)UPLOAD_BUFFER_BYTES);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, attempt->headers);
  curl_easy_setopt (easy, CURLOPT_HEADERFUNCTION, on_header);
  curl_easy_setopt (easy, CURLOPT_HEADERDATA, attempt);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, attempt);
  if (attempt->body != NULL)
    {
      curl_easy_setopt (easy, CURLOPT_POSTFIELDS, attempt->body);
      curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE_LARGE,
                        (curl_off_t)attempt->body_length);
    }
}

void
limpet_attempt_start (LimpetAttempt *attempt)
{
  CURLM *multi;

  g_assert (attempt->state == LIMPET_ATTEMPT_NEW && attempt->url != NULL);
  limpet_counter_add (LIMPET_COUNTER_ATTEMPTS, 1);
  limpet_attempt_add_header (attempt, "X-Attempt-Id: %s", attempt->id);
  attempt->connection
      = limpet_target_connection_acquire (attempt->target, attempt->new_connection);
  multi = attempt->connection->multi;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, attempt);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, attempt);
  set_options (attempt);
  attempt->state = LIMPET_ATTEMPT_SENT;
  curl_multi_add_handle (multi, attempt->connection->easy);
  attempt->timer_due_ms = limpet_clock_mono_ms ();
}

LimpetMs
limpet_attempt_prepare (LimpetAttempt *attempt, struct pollfd *poll_fd, LimpetMs now_ms)
{
  poll_fd->fd = attempt->fd == CURL_SOCKET_BAD ? -1 : attempt->fd;
  poll_fd->events = 0;
  poll_fd->revents = 0;
  if ((attempt->socket_events & CURL_POLL_IN) != 0)
    poll_fd->events |= POLLIN;
  if ((attempt->socket_events & CURL_POLL_OUT) != 0)
    poll_fd->events |= POLLOUT;
  if (attempt->timer_due_ms < 0)
    return INT32_MAX;
  return MAX (0, attempt->timer_due_ms - now_ms);
}

/* Converts the events of poll() to those of curl_multi_socket_action(). */
static int
curl_event_mask (short revents)
{
  int mask = 0;

  if ((revents & (POLLIN | POLLHUP)) != 0)
    mask |= CURL_CSELECT_IN;
  if ((revents & POLLOUT) != 0)
    mask |= CURL_CSELECT_OUT;
  if ((revents & POLLERR) != 0)
    mask |= CURL_CSELECT_ERR;
  return mask;
}

static void
read_result (LimpetAttempt *attempt)
{
  CURLMsg *message;
  int left = 0;

  while ((message = curl_multi_info_read (attempt->connection->multi, &left)) != NULL)
    if (message->msg == CURLMSG_DONE)
      {
        attempt->result = message->data.result;
        attempt->state = LIMPET_ATTEMPT_ENDED;
      }
}

LimpetAttemptState
limpet_attempt_process (LimpetAttempt *attempt, short revents, LimpetMs now_ms)
{
  int running = 0;

  if (attempt->state == LIMPET_ATTEMPT_ENDED || attempt->state == LIMPET_ATTEMPT_NEW)
    return attempt->state;
  if (revents != 0 && attempt->fd != CURL_SOCKET_BAD)
    curl_multi_socket_action (attempt->connection->multi, attempt->fd,
                              curl_event_mask (revents), &running);
  if (attempt->timer_due_ms >= 0 && now_ms >= attempt->timer_due_ms)
    {
      attempt->timer_due_ms = -1;
      curl_multi_socket_action (attempt->connection->multi, CURL_SOCKET_TIMEOUT, 0,
                                &running);
    }
  read_result (attempt);
  return attempt->state;
}

LimpetAttemptState
limpet_attempt_state (const LimpetAttempt *attempt)
{
  return attempt->state;
}

const LimpetAttemptResponse *
limpet_attempt_response (const LimpetAttempt *attempt)
{
  return &attempt->response;
}

const char *
limpet_attempt_error_body (const LimpetAttempt *attempt)
{
  return attempt->error_body != NULL ? attempt->error_body->str : "";
}

/* Returns the result of the transfer, whatever the HTTP status of the response. */
static LimpetStatus
transfer_status (const LimpetAttempt *attempt, LimpetError *error)
{
  const char *peer = attempt->target->vm.id;
  long request_size = 0;
  LimpetStatus status;

  if (attempt->state != LIMPET_ATTEMPT_ENDED)
    return limpet_error_set (error, LIMPET_STATUS_TIMEOUT, "attempt", peer,
                             "the exchange did not end in time");
  if (attempt->aborted)
    return limpet_error_set (
        error, LIMPET_STATUS_BROKEN, "attempt", peer,
        "the response does not carry the attempt id, or it was rejected");
  curl_easy_getinfo (attempt->connection->easy, CURLINFO_REQUEST_SIZE, &request_size);
  status = limpet_http_status (attempt->result, request_size);
  if (status != LIMPET_STATUS_OK)
    limpet_error_set (error, status, "attempt", peer, "%s",
                      curl_easy_strerror (attempt->result));
  return status;
}

LimpetStatus
limpet_attempt_status (const LimpetAttempt *attempt, LimpetError *error)
{
  const LimpetAttemptResponse *response = &attempt->response;
  const char *peer = attempt->target->vm.id;
  LimpetStatus status = transfer_status (attempt, error);

  if (status != LIMPET_STATUS_OK)
    return status;
  if (!response->id_matches)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer,
                             "the response does not carry the attempt id");
  if (response->not_started)
    return limpet_error_set (error, LIMPET_STATUS_REFUSED, "attempt", peer,
                             "the target did not start the request, HTTP status %ld",
                             response->code);
  if (response->code >= 400 && response->code < 500)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "attempt", peer,
                             "HTTP status %ld", response->code);
  if (response->code != 200)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer,
                             "HTTP status %ld", response->code);
  /* A target that crashes closes its connection in order, too. */
  if (!response->is_framed)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer,
                             "the response does not tell where its body ends");
  return LIMPET_STATUS_OK;
}

bool
limpet_attempt_is_stale (const LimpetAttempt *attempt)
{
  return attempt->connection != NULL && attempt->connection->reused
         && attempt->response.code == 0;
}

void
limpet_attempt_delete (LimpetAttempt *attempt)
{
  if (attempt == NULL)
    return;
  if (attempt->connection != NULL)
    {
      bool clean = attempt->state == LIMPET_ATTEMPT_ENDED && attempt->result == CURLE_OK
                   && attempt->response.id_matches && !attempt->new_connection;

      curl_multi_remove_handle (attempt->connection->multi, attempt->connection->easy);
      curl_multi_setopt (attempt->connection->multi, CURLMOPT_SOCKETFUNCTION, NULL);
      curl_multi_setopt (attempt->connection->multi, CURLMOPT_TIMERFUNCTION, NULL);
      if (clean)
        limpet_target_connection_release (attempt->target, attempt->connection);
      else
        {
          if (limpet_attempt_is_stale (attempt))
            limpet_target_connection_clear_pool (attempt->target);
          limpet_target_connection_delete (attempt->connection);
        }
    }
  if (attempt->error_body != NULL)
    g_string_free (attempt->error_body, TRUE);
  curl_slist_free_all (attempt->headers);
  g_free (attempt->url);
  g_free (attempt);
}
