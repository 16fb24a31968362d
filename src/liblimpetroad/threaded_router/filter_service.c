#include "private/keyed_call.h"
#include "private/service_call.h"

#include <string.h>

#define RETRY_AFTER_MS 1000

/* Returns whether the method requests no change of state (RFC 9110, section 9.2.1). */
static bool
is_safe_method (const char *method)
{
  return strcmp (method, "GET") == 0 || strcmp (method, "HEAD") == 0;
}

static void
reply_failure (LimpetServiceCall *self)
{
  LimpetReplyError reply = {
    .code = self->may_have_run ? 504 : 503,
    .outcome = self->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN,
    .retry_after_ms = RETRY_AFTER_MS,
    .error = &self->error,
  };

  limpet_reply_error (self->call, &reply);
}

/* Runs a call that may be sent again even if it may have run. */
static void
send_retryable (LimpetRequest *call)
{
  LimpetServiceCall self;
  LimpetStatus status;

  limpet_service_call_init (&self, call);
  status = limpet_service_call_run (&self);
  if (status == LIMPET_STATUS_OK || status == LIMPET_STATUS_INVALID)
    limpet_service_call_reply (&self, status);
  else
    reply_failure (&self);
  limpet_service_call_clear (&self);
}

/* Runs the call on the service and sends the response to the caller. */
static LimpetFilterResult
send_service (const LimpetFilter *filter, LimpetRequest *call)
{
  (void)filter;
  if (call->service->idempotent || is_safe_method (call->info->request_method))
    send_retryable (call);
  else
    limpet_keyed_call_run (call);
  return LIMPET_FILTER_STOP;
}

static const LimpetFilterOps ops = { .name = "send_service", .process = send_service };

const LimpetFilter limpet_filter_send_service = { .ops = &ops };
