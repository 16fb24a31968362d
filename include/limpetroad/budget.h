#ifndef LIMPETROAD_BUDGET_H
#define LIMPETROAD_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** \defgroup budget Retry budget
 *  Limits retries and hedges to a part of the first attempts.
 *
 *  limpet_budget_new() → earn with each first attempt, spend with each extra one →
 * delete. Every router limits its own part, so the limit holds for the fleet.
 */
typedef struct LimpetBudget LimpetBudget;

LimpetBudget *limpet_budget_new (void);
void limpet_budget_delete (LimpetBudget *budget);

/** Adds \p percent of one attempt. */
void limpet_budget_earn (LimpetBudget *budget, int64_t percent);

/** Takes one attempt out of the budget; returns false when it is exhausted. */
bool limpet_budget_spend (LimpetBudget *budget);

#endif
