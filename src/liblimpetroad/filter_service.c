#include "private/call.h"
#include "private/service_exchange.h"

#include "limpetroad/counters.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

#define MOST_TRIES 4
#define RETRY_JITTER_MS 20

/* Where a call is on its way through the instances of its plain service. */
typedef struct
{
  LimpetCall *call;
  LimpetAdmissionRequest admission;
  LimpetServiceRequest request;
  LimpetServiceAnswer answer;
  LimpetError error;
  bool may_have_run;
} ServiceCall;

static LimpetStatus
acquire (ServiceCall *self)
{
  LimpetMs retry_after_ms = 0;

  randombytes_buf (&self->admission.route.seed, sizeof self->admission.route.seed);
  self->admission.route.key_hash = self->admission.route.seed;
  return limpet_admission_acquire (self->call->context->chat.admission, &self->admission,
                                   &self->request.target, &retry_after_ms, &self->error);
}

static LimpetStatus
try_once (ServiceCall *self)
{
  LimpetTarget *target;
  LimpetStatus status = acquire (self);
  LimpetRouteRequest *route = &self->admission.route;

  if (status != LIMPET_STATUS_OK)
    return status;
  target = self->request.target;
  limpet_service_answer_clear (&self->answer);
  status = limpet_service_exchange (&self->request, &self->answer, &self->error);
  if (status == LIMPET_STATUS_REFUSED && self->answer.answer.leaving)
    limpet_target_mark_leaving (target, "its own refusal");
  else if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_INVALID)
    limpet_target_note_result (target, status);
  if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_UNREACHABLE)
    self->may_have_run = true;
  if (route->excluded_count < LIMPET_MAX_EXCLUDED)
    route->excluded[route->excluded_count++] = target;
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

/* A repeat is free where the target provably did not start, comes out of the budget for
 * an idempotent service, and is not made otherwise. */
static bool
may_repeat (const ServiceCall *self, LimpetStatus status)
{
  if (limpet_clock_mono_ms () >= self->call->deadline_ms)
    return false;
  if (status == LIMPET_STATUS_REFUSED || status == LIMPET_STATUS_UNREACHABLE)
    return true;
  return self->call->service->idempotent
         && limpet_budget_spend (self->call->context->chat.budget);
}

static LimpetStatus
try_until_final (ServiceCall *self)
{
  LimpetStatus status = try_once (self);

  for (int tries = 1;
       tries < MOST_TRIES && !is_final (status) && may_repeat (self, status); tries++)
    {
      limpet_count (LIMPET_COUNTER_RETRIES, 1);
      limpet_clock_sleep_ms (randombytes_uniform (RETRY_JITTER_MS));
      status = try_once (self);
    }
  return status;
}

static void
reply_answer (LimpetCall *call, const LimpetServiceAnswer *answer)
{
  const char *type = answer->answer.content_type;

  limpet_reply_body (call, (int)answer->answer.code,
                     type[0] != '\0' ? type : "application/octet-stream", "",
                     answer->body->str, answer->body->len);
}

static void
reply_failure (ServiceCall *self)
{
  LimpetReplyError reply = {
    .code = self->may_have_run ? 504 : 503,
    .outcome = self->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN,
    .retry_after_ms = 1000,
    .error = &self->error,
  };

  limpet_reply_error (self->call, &reply);
}

static void
init_service_call (ServiceCall *self, LimpetCall *call)
{
  LimpetMs left_ms = call->deadline_ms - limpet_clock_mono_ms ();

  *self = (ServiceCall){
    .call = call,
    .admission = {
      .bundle = call->bundle,
      .team = call->team,
      .deadline_ms = call->deadline_ms,
      .route = {
        .group = call->service->name,
        .kind = LIMPET_VM_SERVICE,
        .fleet = &call->bundle->fleet,
      },
    },
    .request = {
      .method = call->info->request_method,
      .path = call->service_path,
      .content_type = limpet_call_header (call, "Content-Type"),
      .body = call->body_length > 0 ? call->body : NULL,
      .body_length = call->body_length,
      .request_id = call->request_id,
      .timeout_ms = CLAMP (left_ms, 1, call->service->timeout_ms),
    },
  };
}

/* Sends a call to a plain service whose calls may be repeated. */
static void
send_repeatable (LimpetCall *call)
{
  ServiceCall self;
  LimpetStatus status;

  init_service_call (&self, call);
  status = try_until_final (&self);
  if (status == LIMPET_STATUS_OK || status == LIMPET_STATUS_INVALID)
    {
      call->outcome
          = status == LIMPET_STATUS_OK ? LIMPET_OUTCOME_DONE : LIMPET_OUTCOME_FAILED;
      reply_answer (call, &self.answer);
    }
  else
    reply_failure (&self);
  limpet_service_answer_clear (&self.answer);
}

static LimpetFilterResult
send_service (const LimpetFilter *filter, LimpetCall *call)
{
  LimpetError error;
  LimpetReplyError reply
      = { .code = 501, .outcome = LIMPET_OUTCOME_NOT_RUN, .error = &error };

  (void)filter;
  if (call->service->idempotent)
    {
      send_repeatable (call);
      return LIMPET_FILTER_STOP;
    }
  limpet_error_set (&error, LIMPET_STATUS_INVALID, "claim", NULL,
                    "orders are not served yet");
  limpet_reply_error (call, &reply);
  return LIMPET_FILTER_STOP;
}

static const LimpetFilterOps ops = { .name = "send_service", .process = send_service };

const LimpetFilter limpet_filter_send_service = { .ops = &ops };
