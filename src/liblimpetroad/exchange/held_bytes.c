#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/exchange.h"

/* Returns the bytes held for the call and the connection of a caller. */
static size_t
bytes_of (const LimpetCaller *caller)
{
  return caller->holder.bytes + (caller->task != NULL ? caller->task->holder.bytes : 0);
}

static LimpetCaller *
find_largest (LimpetExchange *exchange)
{
  LimpetCaller *largest = NULL;

  for (GList *link = exchange->callers.head; link != NULL; link = link->next)
    if (largest == NULL || bytes_of (link->data) > bytes_of (largest))
      largest = link->data;
  return largest;
}

/* A call that was not sent has not run, and its caller is told so. A response that has
 * begun is cut. */
static void
end (LimpetCaller *caller)
{
  LimpetTask *task = caller->task;

  limpet_counter_add (LIMPET_COUNTER_MEMORY_CUTS, 1);
  limpet_log (LIMPET_LOG_WARNING, "memory",
              task != NULL && task->target != NULL ? task->target->vm.id : NULL,
              "id=%s ended held_bytes=%zu all_held_bytes=%zu",
              task != NULL ? task->call.id : "-", bytes_of (caller),
              limpet_byte_account_held (caller->exchange->account));
  if (task != NULL && task->is_body_complete)
    limpet_task_abort (task, LIMPET_REFUSAL_BROKEN, LIMPET_REFUSAL_NO_MEMORY);
  else
    limpet_caller_reset (caller);
}

void
limpet_held_bytes_check (LimpetExchange *exchange)
{
  const LimpetByteAccount *account = exchange->account;
  LimpetCaller *largest;

  if (limpet_byte_account_held (account) <= limpet_byte_account_budget (account))
    return;
  largest = find_largest (exchange);
  if (largest != NULL && bytes_of (largest) > LIMPET_SMALL_HOLDER_BYTES)
    end (largest);
}
