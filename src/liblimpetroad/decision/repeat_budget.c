#include "limpetroad/repeat_budget.h"

/* Moves to the current step and clears the counts of steps that have left the window. */
static void
advance (LimpetRepeatBudget *budget, LimpetMs now_ms)
{
  int64_t step = now_ms * LIMPET_REPEAT_STEPS / budget->window_ms;

  if (step - budget->step > LIMPET_REPEAT_STEPS)
    budget->step = step - LIMPET_REPEAT_STEPS;
  while (budget->step < step)
    {
      budget->step++;
      budget->requests[budget->step % LIMPET_REPEAT_STEPS] = 0;
      budget->repeats[budget->step % LIMPET_REPEAT_STEPS] = 0;
    }
}

void
limpet_repeat_budget_earn (LimpetRepeatBudget *budget, LimpetMs now_ms)
{
  advance (budget, now_ms);
  budget->requests[budget->step % LIMPET_REPEAT_STEPS]++;
}

bool
limpet_repeat_budget_spend (LimpetRepeatBudget *budget, LimpetMs now_ms)
{
  double requests = 0;
  double repeats = 0;

  advance (budget, now_ms);
  for (int i = 0; i < LIMPET_REPEAT_STEPS; i++)
    {
      requests += budget->requests[i];
      repeats += budget->repeats[i];
    }
  if (repeats + 1 > budget->ratio * requests + budget->slack)
    return false;
  budget->repeats[budget->step % LIMPET_REPEAT_STEPS]++;
  return true;
}
