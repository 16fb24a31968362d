#include "private/service_call.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

/* Per call, including the first attempt. */
#define MAX_ATTEMPTS 4
#define MAX_RETRY_JITTER_MS 20

/* Acquires a slot on an instance of the service. The affinity key is random, because
 * calls of a plain service have no session affinity. Excluded instances are used only if
 * no other instance has a free slot. */
static LimpetStatus
acquire (LimpetServiceCall *self)
{
  LimpetAdmission *admission = self->call->context->chat.admission;
  LimpetPolicyRequest *policy_request = &self->admission.policy_request;
  LimpetMs retry_after_ms = 0;

  randombytes_buf (&policy_request->seed, sizeof policy_request->seed);
  policy_request->key_hash = policy_request->seed;
  self->request.target = NULL;
  if (policy_request->excluded_count > 0)
    self->request.target = limpet_admission_try_acquire (admission, &self->admission);
  if (self->request.target != NULL)
    return LIMPET_STATUS_OK;
  policy_request->excluded_count = 0;
  return limpet_admission_acquire (admission, &self->admission, &self->request.target,
                                   &retry_after_ms, &self->error);
}

/* Records the result of an attempt and excludes the target from the next ones. */
static void
record_status (LimpetServiceCall *self, LimpetTarget *target, LimpetStatus status)
{
  LimpetPolicyRequest *policy_request = &self->admission.policy_request;

  if (status == LIMPET_STATUS_REFUSED && self->response.head.leaving)
    limpet_target_mark_leaving (target, "the X-Leaving header of its response");
  else if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_INVALID
           && status != LIMPET_STATUS_OVERLOADED)
    limpet_target_record_result (target, status);
  if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_UNREACHABLE)
    self->may_have_run = true;
  if (policy_request->excluded_count < LIMPET_MAX_EXCLUDED_TARGETS)
    policy_request->excluded[policy_request->excluded_count++] = target;
}

static LimpetStatus
run_attempt (LimpetServiceCall *self)
{
  LimpetTarget *target;
  LimpetStatus status = acquire (self);

  if (status != LIMPET_STATUS_OK)
    return status;
  target = self->request.target;
  limpet_service_response_clear (&self->response);
  status = limpet_service_exchange (&self->request, &self->response, &self->error);
  if (self->response.lacks_memory)
    {
      limpet_counter_add (LIMPET_COUNTER_MEMORY_CUTS, 1);
      limpet_log (LIMPET_LOG_WARNING, "memory", target->vm.id,
                  "id=%s response ended held_bytes=%zu all_held_bytes=%zu",
                  self->call->request_id, self->response.holder.bytes,
                  limpet_byte_account_held (self->response.holder.account));
    }
  record_status (self, target, status);
  limpet_admission_release (self->call->context->chat.admission, target, self->call->team,
                            false);
  return status;
}

static bool
is_final (LimpetStatus status)
{
  return status == LIMPET_STATUS_OK || status == LIMPET_STATUS_INVALID
         || status == LIMPET_STATUS_OVERLOADED;
}

static bool
is_retry_allowed (const LimpetServiceCall *self, LimpetStatus status)
{
  if (limpet_clock_mono_ms () >= self->call->deadline_ms)
    return false;
  if (status == LIMPET_STATUS_REFUSED || status == LIMPET_STATUS_UNREACHABLE)
    return true;
  return self->is_retryable
         && limpet_retry_bucket_try_take (self->call->context->chat.retry_bucket);
}

LimpetStatus
limpet_service_call_run (LimpetServiceCall *self)
{
  LimpetStatus status = run_attempt (self);

  for (int attempts = 1;
       attempts < MAX_ATTEMPTS && !is_final (status) && is_retry_allowed (self, status);
       attempts++)
    {
      limpet_counter_add (LIMPET_COUNTER_RETRIES, 1);
      limpet_clock_sleep_ms (randombytes_uniform (MAX_RETRY_JITTER_MS));
      status = run_attempt (self);
    }
  return status;
}

void
limpet_service_call_init (LimpetServiceCall *self, LimpetRequest *call)
{
  LimpetMs remaining_ms = call->deadline_ms - limpet_clock_mono_ms ();

  *self = (LimpetServiceCall){
    .call = call,
    .is_retryable = true,
    .admission = {
      .bundle = call->bundle,
      .team = call->team,
      .deadline_ms = call->deadline_ms,
      .policy_request = {
        .group = call->service->name,
        .kind = LIMPET_VM_SERVICE,
        .fleet = &call->bundle->fleet,
      },
    },
    .request = {
      .method = call->info->request_method,
      .path = call->service_path,
      .content_type = limpet_request_header (call, "Content-Type"),
      .body = call->body_length > 0 ? call->body : NULL,
      .body_length = call->body_length,
      .request_id = call->request_id,
      .holder = &call->holder,
      .timeout_ms = CLAMP (remaining_ms, 1, call->service->timeout_ms),
    },
  };
}

void
limpet_service_call_clear (LimpetServiceCall *self)
{
  limpet_service_response_clear (&self->response);
}

void
limpet_service_call_reply (LimpetServiceCall *self, LimpetStatus status)
{
  const LimpetServiceResponse *response = &self->response;
  const char *type = response->head.content_type;

  self->call->outcome
      = status == LIMPET_STATUS_OK ? LIMPET_OUTCOME_DONE : LIMPET_OUTCOME_FAILED;
  limpet_reply_body (self->call, (int)response->head.code,
                     type[0] != '\0' ? type : "application/octet-stream", "",
                     response->body->str, response->body->len);
}
