#include "limpetroad/retry_budget.h"

/* Moves to the current step and clears the counts of steps that have left the window. */
static void
advance (LimpetRetryBudget *budget, LimpetMs now_ms)
{
  int64_t step = now_ms * LIMPET_RETRY_BUDGET_BUCKETS / budget->window_ms;

  if (step - budget->step > LIMPET_RETRY_BUDGET_BUCKETS)
    budget->step = step - LIMPET_RETRY_BUDGET_BUCKETS;
  while (budget->step < step)
    {
      budget->step++;
      budget->requests[budget->step % LIMPET_RETRY_BUDGET_BUCKETS] = 0;
      budget->retries[budget->step % LIMPET_RETRY_BUDGET_BUCKETS] = 0;
    }
}

void
limpet_retry_budget_record_request (LimpetRetryBudget *budget, LimpetMs now_ms)
{
  advance (budget, now_ms);
  budget->requests[budget->step % LIMPET_RETRY_BUDGET_BUCKETS]++;
}

bool
limpet_retry_budget_try_spend (LimpetRetryBudget *budget, LimpetMs now_ms)
{
  double requests = 0;
  double retries = 0;

  advance (budget, now_ms);
  for (int i = 0; i < LIMPET_RETRY_BUDGET_BUCKETS; i++)
    {
      requests += budget->requests[i];
      retries += budget->retries[i];
    }
  if (retries + 1 > budget->ratio * requests + budget->slack)
    return false;
  budget->retries[budget->step % LIMPET_RETRY_BUDGET_BUCKETS]++;
  return true;
}
