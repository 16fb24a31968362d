#ifndef LIMPETROAD_BUDGET_H
#define LIMPETROAD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** \defgroup budget Retry budget
 *  Token bucket that limits retries and hedges to a percentage of the first attempts.
 *
 *  limpet_budget_new() → limpet_budget_earn() with each first attempt,
 *  limpet_budget_spend() before each retry or hedge → limpet_budget_delete(). Each router
 *  limits its own attempts, so the percentage also holds for the fleet. Thread-safe.
 */
typedef struct LimpetBudget LimpetBudget;

LimpetBudget *limpet_budget_new (void);
void limpet_budget_delete (LimpetBudget *budget);

/** Adds \p percent hundredths of an attempt. */
void limpet_budget_earn (LimpetBudget *budget, int64_t percent);

/** Takes one attempt out of the budget; returns false if less than one is left. */
bool limpet_budget_spend (LimpetBudget *budget);

#endif
