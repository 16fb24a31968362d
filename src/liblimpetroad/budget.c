#include "limpetroad/budget.h"

#include "limpetroad/counters.h"

#include <glib.h>
#include <stdatomic.h>

/* In hundredths of an attempt. */
#define ATTEMPT_COST 100
#define MOST_SAVED (10 * ATTEMPT_COST)
#define AT_START (3 * ATTEMPT_COST)

struct LimpetBudget
{
  _Atomic int64_t saved;
};

LimpetBudget *
limpet_budget_new (void)
{
  LimpetBudget *budget = g_new0 (LimpetBudget, 1);

  atomic_store (&budget->saved, AT_START);
  return budget;
}

void
limpet_budget_delete (LimpetBudget *budget)
{
  g_free (budget);
}

void
limpet_budget_earn (LimpetBudget *budget, int64_t percent)
{
  int64_t saved = atomic_load (&budget->saved);

  while (!atomic_compare_exchange_weak (&budget->saved, &saved,
                                        MIN (saved + percent, MOST_SAVED)))
    continue;
}

bool
limpet_budget_spend (LimpetBudget *budget)
{
  int64_t saved = atomic_load (&budget->saved);

  while (saved >= ATTEMPT_COST)
    if (atomic_compare_exchange_weak (&budget->saved, &saved, saved - ATTEMPT_COST))
      return true;
  limpet_count (LIMPET_COUNTER_BUDGET_EXHAUSTED, 1);
  return false;
}
