#include "limpetroad/attempt.h"

#include "limpetroad/counters.h"
#include "private/http.h"
#include "private/link.h"

#include <sodium.h>
#include <stdarg.h>
#include <string.h>

#define RECEIVE_BUFFER_BYTES 4096
#define UPLOAD_BUFFER_BYTES 16384
#define ERROR_BODY_BYTES 4096

const char *const limpet_attempt_state_string[LIMPET_ATTEMPT_STATE_COUNT] = {
  [LIMPET_ATTEMPT_NEW] = "new",
  [LIMPET_ATTEMPT_SENT] = "sent",
  [LIMPET_ATTEMPT_ACCEPTED] = "accepted",
  [LIMPET_ATTEMPT_ENDED] = "ended",
};

struct LimpetAttempt
{
  LimpetTarget *target;
  LimpetLink *link;
  char id[LIMPET_ATTEMPT_ID_SIZE];
  char *url;
  const char *method;
  const char *body;
  size_t body_length;
  struct curl_slist *headers;
  LimpetAttemptData on_data;
  void *user;
  bool fresh;
  LimpetAttemptState state;
  LimpetAttemptAnswer answer;
  GString *error_body;
  curl_socket_t fd;
  int wanted;        /* CURL_POLL_* */
  LimpetMs timer_ms; /* monotonic, -1 if none */
  CURLcode result;
  bool aborted;
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
  attempt->timer_ms = -1;
  attempt->answer = (LimpetAttemptAnswer){ .prompt_tokens = -1, .cached_tokens = -1 };
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
limpet_attempt_set_data (LimpetAttempt *attempt, LimpetAttemptData on_data, void *user)
{
  attempt->on_data = on_data;
  attempt->user = user;
}

void
limpet_attempt_set_id (LimpetAttempt *attempt, const char *id)
{
  g_strlcpy (attempt->id, id, sizeof attempt->id);
}

void
limpet_attempt_set_fresh (LimpetAttempt *attempt)
{
  attempt->fresh = true;
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
      attempt->wanted = what;
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
  attempt->timer_ms = timeout_ms < 0 ? -1 : limpet_clock_mono_ms () + timeout_ms;
  return 0;
}

static bool
header_is (const char *line, size_t length, const char *name, char *value, size_t size)
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
  LimpetAttemptAnswer *answer = &attempt->answer;
  size_t length = size * count;
  char value[LIMPET_NAME_SIZE];

  if (header_is (line, length, "X-Attempt-Id", value, sizeof value))
    answer->id_matches = strcmp (value, attempt->id) == 0;
  else if (header_is (line, length, "X-Prompt-Tokens", value, sizeof value))
    answer->prompt_tokens = g_ascii_strtoll (value, NULL, 10);
  else if (header_is (line, length, "X-Cached-Tokens", value, sizeof value))
    answer->cached_tokens = g_ascii_strtoll (value, NULL, 10);
  else if (header_is (line, length, "Content-Type", value, sizeof value))
    g_strlcpy (answer->content_type, value, sizeof answer->content_type);
  else if (header_is (line, length, "X-Not-Started", value, sizeof value))
    answer->not_started = strcmp (value, "1") == 0;
  else if (header_is (line, length, "X-Leaving", value, sizeof value))
    answer->leaving = strcmp (value, "1") == 0;
  else if (length <= 2)
    curl_easy_getinfo (attempt->link->easy, CURLINFO_RESPONSE_CODE, &answer->code);
  if (length <= 2 && answer->code == 200 && answer->id_matches)
    attempt->state = LIMPET_ATTEMPT_ACCEPTED;
  return length;
}

static size_t
on_body (char *data, size_t size, size_t count, void *user)
{
  LimpetAttempt *attempt = user;
  size_t length = size * count;

  if (attempt->answer.code != 200)
    {
      if (attempt->error_body == NULL)
        attempt->error_body = g_string_new (NULL);
      if (attempt->error_body->len + length <= ERROR_BODY_BYTES)
        g_string_append_len (attempt->error_body, data, (gssize)length);
      return length;
    }
  if (!attempt->answer.id_matches)
    {
      limpet_count (LIMPET_COUNTER_WRONG_ATTEMPT_ID, 1);
      attempt->aborted = true;
      return 0;
    }
  if (attempt->on_data != NULL && !attempt->on_data (attempt->user, data, length))
    {
      attempt->aborted = true;
      return 0;
    }
  return length;
}

static void
set_options (LimpetAttempt *attempt)
{
  CURL *easy = attempt->link->easy;

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
  limpet_count (LIMPET_COUNTER_ATTEMPTS, 1);
  limpet_attempt_add_header (attempt, "X-Attempt-Id: %s", attempt->id);
  attempt->link = limpet_link_acquire (attempt->target, attempt->fresh);
  multi = attempt->link->multi;
  curl_multi_setopt (multi, CURLMOPT_SOCKETFUNCTION, on_socket);
  curl_multi_setopt (multi, CURLMOPT_SOCKETDATA, attempt);
  curl_multi_setopt (multi, CURLMOPT_TIMERFUNCTION, on_timer);
  curl_multi_setopt (multi, CURLMOPT_TIMERDATA, attempt);
  set_options (attempt);
  attempt->state = LIMPET_ATTEMPT_SENT;
  curl_multi_add_handle (multi, attempt->link->easy);
  attempt->timer_ms = limpet_clock_mono_ms ();
}

LimpetMs
limpet_attempt_prepare (LimpetAttempt *attempt, struct pollfd *poll_fd, LimpetMs now_ms)
{
  poll_fd->fd = attempt->fd == CURL_SOCKET_BAD ? -1 : attempt->fd;
  poll_fd->events = 0;
  poll_fd->revents = 0;
  if ((attempt->wanted & CURL_POLL_IN) != 0)
    poll_fd->events |= POLLIN;
  if ((attempt->wanted & CURL_POLL_OUT) != 0)
    poll_fd->events |= POLLOUT;
  if (attempt->timer_ms < 0)
    return INT32_MAX;
  return MAX (0, attempt->timer_ms - now_ms);
}

static int
select_mask (short revents)
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
take_result (LimpetAttempt *attempt)
{
  CURLMsg *message;
  int left = 0;

  while ((message = curl_multi_info_read (attempt->link->multi, &left)) != NULL)
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
    curl_multi_socket_action (attempt->link->multi, attempt->fd, select_mask (revents),
                              &running);
  if (attempt->timer_ms >= 0 && now_ms >= attempt->timer_ms)
    {
      attempt->timer_ms = -1;
      curl_multi_socket_action (attempt->link->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    }
  take_result (attempt);
  return attempt->state;
}

LimpetAttemptState
limpet_attempt_state (const LimpetAttempt *attempt)
{
  return attempt->state;
}

const LimpetAttemptAnswer *
limpet_attempt_answer (const LimpetAttempt *attempt)
{
  return &attempt->answer;
}

const char *
limpet_attempt_error_body (const LimpetAttempt *attempt)
{
  return attempt->error_body != NULL ? attempt->error_body->str : "";
}

static LimpetStatus
transfer_status (const LimpetAttempt *attempt, LimpetError *error)
{
  const char *peer = attempt->target->vm.id;
  long request_size = 0;
  LimpetStatus status;

  if (attempt->state != LIMPET_ATTEMPT_ENDED)
    return limpet_error_set (error, LIMPET_STATUS_TIMEOUT, "attempt", peer,
                             "no progress");
  if (attempt->aborted)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer,
                             "an answer that is not this attempt's");
  curl_easy_getinfo (attempt->link->easy, CURLINFO_REQUEST_SIZE, &request_size);
  status = limpet_http_status (attempt->result, request_size);
  if (status != LIMPET_STATUS_OK)
    limpet_error_set (error, status, "attempt", peer, "%s",
                      curl_easy_strerror (attempt->result));
  return status;
}

LimpetStatus
limpet_attempt_status (const LimpetAttempt *attempt, LimpetError *error)
{
  const LimpetAttemptAnswer *answer = &attempt->answer;
  const char *peer = attempt->target->vm.id;
  LimpetStatus status = transfer_status (attempt, error);

  if (status != LIMPET_STATUS_OK)
    return status;
  if (!answer->id_matches)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer,
                             "the answer does not carry the attempt's id");
  if (answer->not_started)
    return limpet_error_set (error, LIMPET_STATUS_REFUSED, "attempt", peer,
                             "refused before starting, code %ld", answer->code);
  if (answer->code >= 400 && answer->code < 500)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "attempt", peer,
                             "answered %ld", answer->code);
  if (answer->code != 200)
    return limpet_error_set (error, LIMPET_STATUS_BROKEN, "attempt", peer, "answered %ld",
                             answer->code);
  return LIMPET_STATUS_OK;
}

bool
limpet_attempt_is_stale (const LimpetAttempt *attempt)
{
  return attempt->link != NULL && attempt->link->reused && attempt->answer.code == 0;
}

void
limpet_attempt_delete (LimpetAttempt *attempt)
{
  if (attempt == NULL)
    return;
  if (attempt->link != NULL)
    {
      bool clean = attempt->state == LIMPET_ATTEMPT_ENDED && attempt->result == CURLE_OK
                   && attempt->answer.id_matches && !attempt->fresh;

      curl_multi_remove_handle (attempt->link->multi, attempt->link->easy);
      curl_multi_setopt (attempt->link->multi, CURLMOPT_SOCKETFUNCTION, NULL);
      curl_multi_setopt (attempt->link->multi, CURLMOPT_TIMERFUNCTION, NULL);
      if (clean)
        limpet_link_release (attempt->target, attempt->link);
      else
        {
          if (limpet_attempt_is_stale (attempt))
            limpet_link_clear_pool (attempt->target);
          limpet_link_delete (attempt->link);
        }
    }
  if (attempt->error_body != NULL)
    g_string_free (attempt->error_body, TRUE);
  curl_slist_free_all (attempt->headers);
  g_free (attempt->url);
  g_free (attempt);
}
