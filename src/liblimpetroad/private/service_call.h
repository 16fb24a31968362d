#ifndef LIMPETROAD_PRIVATE_SERVICE_CALL_H
#define LIMPETROAD_PRIVATE_SERVICE_CALL_H

#include "private/request.h"
#include "private/service_exchange.h"

/* A call of a plain service and the state of its attempts on instances of the service. */
typedef struct
{
  LimpetRequest *call;
  LimpetAdmissionRequest admission;
  LimpetServiceRequest request;
  LimpetServiceResponse response;
  LimpetError error;
  bool is_retryable; /* may be sent again even if it may have run */
  bool may_have_run; /* an earlier attempt may have run */
} LimpetServiceCall;

void limpet_service_call_init (LimpetServiceCall *self, LimpetRequest *call);
void limpet_service_call_clear (LimpetServiceCall *self);

/* Sends the call to instances of the service until one returns a status of 200 or 4xx, no
 * slot is free in time, the deadline has passed or the number of attempts is used up. If
 * the target did not start the call, a retry takes nothing from the retry bucket.
 * Otherwise the call is retried only if it is retryable and the bucket allows it. OK and
 * INVALID fill response. */
LimpetStatus limpet_service_call_run (LimpetServiceCall *self);

/* Sends the target's response to the caller; status is OK or INVALID. */
void limpet_service_call_reply (LimpetServiceCall *self, LimpetStatus status);

#endif
