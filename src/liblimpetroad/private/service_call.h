#ifndef LIMPETROAD_PRIVATE_SERVICE_CALL_H
#define LIMPETROAD_PRIVATE_SERVICE_CALL_H

#include "private/call.h"
#include "private/service_exchange.h"

/* A call on its way through the instances of its plain service. */
typedef struct
{
  LimpetCall *call;
  LimpetAdmissionRequest admission;
  LimpetServiceRequest request;
  LimpetServiceAnswer answer;
  LimpetError error;
  bool may_be_repeated;
  bool may_have_run;
} LimpetServiceCall;

void limpet_service_call_init (LimpetServiceCall *self, LimpetCall *call);
void limpet_service_call_clear (LimpetServiceCall *self);

/* Tries instances until one answers. A repeat is free where the target provably did not
 * start, comes out of the budget for a call that may be repeated, and is not made
 * otherwise. OK and INVALID fill the answer. */
LimpetStatus limpet_service_call_run (LimpetServiceCall *self);

/* Passes the target's answer on. */
void limpet_service_call_reply (LimpetServiceCall *self, LimpetStatus status);

#endif
