#include "limpetroad/budget.h"

#include "limpetroad/clock.h"
#include "limpetroad/counters.h"

#include <glib.h>
#include <stdatomic.h>

/* In hundredths of an attempt. */
#define ATTEMPT_COST 100
#define MOST_SAVED (10 * ATTEMPT_COST)
/* A quiet router may still repeat now and then. */
#define LEAST_PERIOD_MS 5000

struct LimpetBudget
{
  _Atomic int64_t saved;
  _Atomic LimpetMs least_ms; /* when the last free attempt was added */
};

LimpetBudget *
limpet_budget_new (void)
{
  LimpetBudget *budget = g_new0 (LimpetBudget, 1);

  atomic_store (&budget->saved, MOST_SAVED);
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
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetMs least_ms = atomic_load (&budget->least_ms);
  int64_t saved;

  if (now_ms - least_ms >= LEAST_PERIOD_MS
      && atomic_compare_exchange_strong (&budget->least_ms, &least_ms, now_ms))
    limpet_budget_earn (budget, ATTEMPT_COST);
  saved = atomic_load (&budget->saved);
  while (saved >= ATTEMPT_COST)
    if (atomic_compare_exchange_weak (&budget->saved, &saved, saved - ATTEMPT_COST))
      return true;
  limpet_count (LIMPET_COUNTER_BUDGET_EXHAUSTED, 1);
  return false;
}
