#ifndef LIMPETROAD_PRIVATE_SERVICE_EXCHANGE_H
#define LIMPETROAD_PRIVATE_SERVICE_EXCHANGE_H

#include "limpetroad/attempt.h"

#include <glib.h>

/* One call of a plain service on one target, run to its end in the calling thread. */
typedef struct
{
  LimpetTarget *target;
  const char *method;
  const char *path;
  const char *content_type; /* NULL for none */
  const char *body;
  size_t body_length;
  const char *request_id;
  const char *attempt_id;      /* NULL for a random one */
  const char *idempotency_key; /* NULL for none */
  int64_t fencing;             /* 0 for none */
  bool fresh;
  LimpetMs timeout_ms;
} LimpetServiceRequest;

typedef struct
{
  LimpetAttemptAnswer answer;
  GString *body;
} LimpetServiceAnswer;

/* OK and INVALID fill the answer; limpet_service_answer_clear() releases it in any case.
 */
LimpetStatus limpet_service_exchange (const LimpetServiceRequest *request,
                                      LimpetServiceAnswer *answer,
                                      LimpetError *error);
void limpet_service_answer_clear (LimpetServiceAnswer *answer);

#endif
