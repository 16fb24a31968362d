#ifndef LIMPETROAD_REPEAT_BUDGET_H
#define LIMPETROAD_REPEAT_BUDGET_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup repeat_budget Repeat budget
 *  Keeps the repeats of all routers together within a part of the requests in any window.
 *
 *  A zeroed budget with its settings filled in is ready: earn with each request of a
 *  caller, spend before each repeat. Every router spends from its own requests and its
 *  part of the common slack, so the fleet keeps the limit without a message.
 */

/** Repeats that all routers together may send to one service. */
typedef struct
{
  double ratio;  /**< of the requests of a window */
  int64_t slack; /**< besides */
  int64_t window_ms;
} LimpetRepeatLimits;

/** Steps into which a window is cut. */
#define LIMPET_REPEAT_STEPS 10

typedef struct
{
  double ratio; /**< repeats over requests */
  double slack; /**< repeats besides, of this router */
  LimpetMs window_ms;

  int64_t step; /**< number of the current step */
  int32_t requests[LIMPET_REPEAT_STEPS];
  int32_t repeats[LIMPET_REPEAT_STEPS];
} LimpetRepeatBudget;

void limpet_repeat_budget_earn (LimpetRepeatBudget *budget, LimpetMs now_ms);
/** Returns whether one more repeat is within the budget, and counts it. */
bool limpet_repeat_budget_spend (LimpetRepeatBudget *budget, LimpetMs now_ms);

#endif
