#ifndef LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H
#define LIMPETROAD_PRIVATE_CLAIM_CONTROLLER_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/settings.h"
#include "private/controller.h"

#include <stdbool.h>

/* Decides by claims in the log which attempt of an order may run, and keeps the outcomes.
 */
typedef struct LimpetClaimController LimpetClaimController;

LimpetClaimController *limpet_claim_controller_new (const LimpetSettings *settings);

#endif
