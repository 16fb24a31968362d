#ifndef LIMPETROAD_PRIVATE_SERVICE_EXCHANGE_H
#define LIMPETROAD_PRIVATE_SERVICE_EXCHANGE_H

#include "limpetroad/attempt.h"
#include "limpetroad/byte_account.h"

#include <glib.h>

/* A request to one instance of a plain service. */
typedef struct
{
  LimpetTarget *target;
  const char *method;
  const char *path;
  const char *content_type; /* NULL for none */
  const char *body;
  size_t body_length;
  const char *request_id;
  const char *attempt_id;         /* NULL for a random id */
  const char *idempotency_key;    /* NULL for none */
  int64_t fencing;                /* value of X-Fencing-Number; 0 for none */
  const LimpetByteHolder *holder; /* of the request; its account and its caller are those
                                     of the response, too */
  bool new_connection;            /* do not use a pooled connection */
  LimpetMs timeout_ms;
} LimpetServiceRequest;

typedef struct
{
  LimpetAttemptResponse head;
  GString *body;
  LimpetByteHolder holder; /* of the body */
  bool lacks_memory;       /* for the rest of the body */
} LimpetServiceResponse;

/* Sends the request and waits for the end of the response in the calling thread. Returns
 * the result of limpet_attempt_status(), or OVERLOADED if there is no memory for the
 * response of a request that has run. OK and INVALID fill response; release it with
 * limpet_service_response_clear() in any case. */
LimpetStatus limpet_service_exchange (const LimpetServiceRequest *request,
                                      LimpetServiceResponse *response,
                                      LimpetError *error);
void limpet_service_response_clear (LimpetServiceResponse *response);

#endif
