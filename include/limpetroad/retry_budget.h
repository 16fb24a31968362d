#ifndef LIMPETROAD_RETRY_BUDGET_H
#define LIMPETROAD_RETRY_BUDGET_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup retry_budget Retry budget per window
 *  Limits the retries of all routers to a fraction of the requests in any window, plus a
 *  slack.
 *
 *  Zero the budget and set ratio, slack and window_ms →
 *  limpet_retry_budget_record_request() with each request of a caller,
 *  limpet_retry_budget_try_spend() before each retry. Each router counts its own requests
 *  and gets its part of the common slack, so the limit holds for the fleet without
 *  messages between routers. \p now_ms is monotonic. Not thread-safe.
 */

/** Limit of the retries that all routers together may send to one service in a window:
 *  the ratio times the requests of the window, plus the slack. */
typedef struct
{
  double ratio;
  int64_t slack;
  int64_t window_ms;
} LimpetRetryLimits;

/** Number of steps in a window. A bucket holds the counts of one step. */
#define LIMPET_RETRY_BUDGET_BUCKETS 10

/** The budget of one router for one service. */
typedef struct
{
  double ratio; /**< retries per request */
  double slack; /**< this router's part of the further retries per window */
  LimpetMs window_ms;

  int64_t step; /**< number of the current step, counted from time 0 */
  int32_t requests[LIMPET_RETRY_BUDGET_BUCKETS];
  int32_t retries[LIMPET_RETRY_BUDGET_BUCKETS];
} LimpetRetryBudget;

/** Counts a request of a caller. */
void limpet_retry_budget_record_request (LimpetRetryBudget *budget, LimpetMs now_ms);
/** Returns whether the budget allows one more retry, and counts it if so. */
bool limpet_retry_budget_try_spend (LimpetRetryBudget *budget, LimpetMs now_ms);

#endif
