#include "limpetroad/status.h"

#include <stdarg.h>
#include <stdio.h>

const char *const limpet_status_string[LIMPET_STATUS_COUNT] = {
  [LIMPET_STATUS_OK] = "ok",
  [LIMPET_STATUS_INVALID] = "invalid",
  [LIMPET_STATUS_UNAUTHORIZED] = "unauthorized",
  [LIMPET_STATUS_NOT_FOUND] = "not_found",
  [LIMPET_STATUS_CONFLICT] = "conflict",
  [LIMPET_STATUS_EXPIRED] = "expired",
  [LIMPET_STATUS_OVERLOADED] = "overloaded",
  [LIMPET_STATUS_REFUSED] = "refused",
  [LIMPET_STATUS_UNREACHABLE] = "unreachable",
  [LIMPET_STATUS_NO_PATH] = "no_path",
  [LIMPET_STATUS_TIMEOUT] = "timeout",
  [LIMPET_STATUS_BROKEN] = "broken",
  [LIMPET_STATUS_CANCELLED] = "cancelled",
  [LIMPET_STATUS_UNCHANGED] = "unchanged",
  [LIMPET_STATUS_INTERNAL] = "internal",
};

const char *const limpet_outcome_string[LIMPET_OUTCOME_COUNT] = {
  [LIMPET_OUTCOME_DONE] = "done",
  [LIMPET_OUTCOME_NOT_RUN] = "not_run",
  [LIMPET_OUTCOME_FAILED] = "failed",
  [LIMPET_OUTCOME_UNKNOWN] = "unknown",
};

LimpetStatus
limpet_error_set (LimpetError *error,
                  LimpetStatus status,
                  const char *step,
                  const char *peer,
                  const char *format,
                  ...)
{
  va_list args;

  if (error == NULL)
    return status;

  error->status = status;
  snprintf (error->step, sizeof error->step, "%s", step);
  snprintf (error->peer, sizeof error->peer, "%s", peer != NULL ? peer : "");
  va_start (args, format);
  vsnprintf (error->message, sizeof error->message, format, args);
  va_end (args);
  return status;
}
