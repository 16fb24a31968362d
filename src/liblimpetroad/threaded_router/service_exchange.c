#include "private/service_exchange.h"

#include "limpetroad/limits.h"

#include <inttypes.h>

/* A buffer that grows may be twice as large as its content. */
#define BUFFER_FACTOR 2

static bool
on_data (void *user, const char *data, size_t length)
{
  LimpetServiceResponse *response = user;

  if (response->body->len + length > LIMPET_MAX_BODY_BYTES)
    return false;
  response->lacks_memory = !limpet_byte_holder_try_hold (
      &response->holder, BUFFER_FACTOR * (response->body->len + length));
  if (response->lacks_memory)
    return false;
  g_string_append_len (response->body, data, (gssize)length);
  return true;
}

static void
add_headers (LimpetAttempt *attempt, const LimpetServiceRequest *request)
{
  limpet_attempt_add_header (attempt, "X-Request-Id: %s", request->request_id);
  if (request->content_type != NULL)
    limpet_attempt_add_header (attempt, "Content-Type: %s", request->content_type);
  if (request->idempotency_key != NULL)
    limpet_attempt_add_header (attempt, "Idempotency-Key: %s", request->idempotency_key);
  if (request->fencing > 0)
    limpet_attempt_add_header (attempt, "X-Fencing-Number: %" PRId64, request->fencing);
}

/* Runs the attempt until it has ended or the time is until_ms. */
static void
run_to_end (LimpetAttempt *attempt, LimpetMs until_ms)
{
  LimpetMs now_ms;

  while (limpet_attempt_state (attempt) != LIMPET_ATTEMPT_ENDED
         && (now_ms = limpet_clock_mono_ms ()) < until_ms)
    {
      struct pollfd fd;
      LimpetMs wait_ms = limpet_attempt_prepare (attempt, &fd, now_ms);

      poll (&fd, 1, (int)MIN (wait_ms, until_ms - now_ms));
      limpet_attempt_process (attempt, fd.revents, limpet_clock_mono_ms ());
    }
}

LimpetStatus
limpet_service_exchange (const LimpetServiceRequest *request,
                         LimpetServiceResponse *response,
                         LimpetError *error)
{
  LimpetAttempt *attempt = limpet_attempt_new (request->target);
  LimpetStatus status;

  *response = (LimpetServiceResponse){
    .body = g_string_new (NULL),
    .holder = { .account = request->holder->account },
  };
  limpet_byte_holder_set_owner (&response->holder, LIMPET_BYTE_OWNER_CALLER,
                                request->holder->keys[LIMPET_BYTE_OWNER_CALLER]);
  limpet_byte_holder_set_owner (&response->holder, LIMPET_BYTE_OWNER_TARGET,
                                request->target->id_hash);
  limpet_attempt_set_request (attempt, request->method, request->path, request->body,
                              request->body_length);
  limpet_attempt_set_body_handler (attempt, on_data, response);
  if (request->attempt_id != NULL)
    limpet_attempt_set_id (attempt, request->attempt_id);
  if (request->new_connection)
    limpet_attempt_set_new_connection (attempt);
  add_headers (attempt, request);
  limpet_attempt_start (attempt);
  run_to_end (attempt, limpet_clock_mono_ms () + request->timeout_ms);
  response->head = *limpet_attempt_response (attempt);
  status = limpet_attempt_status (attempt, error);
  if (response->lacks_memory)
    status = limpet_error_set (error, LIMPET_STATUS_OVERLOADED, "memory",
                               request->target->vm.id, "no memory for the response");
  if (status == LIMPET_STATUS_INVALID)
    g_string_assign (response->body, limpet_attempt_error_body (attempt));
  limpet_attempt_delete (attempt);
  return status;
}

void
limpet_service_response_clear (LimpetServiceResponse *response)
{
  if (response->body != NULL)
    g_string_free (response->body, TRUE);
  response->body = NULL;
  limpet_byte_holder_clear (&response->holder);
}
