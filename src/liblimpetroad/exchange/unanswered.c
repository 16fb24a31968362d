#include "private/exchange.h"

/* Time in which it shows whether the target of an unanswered call has crashed: the
 * registry removes a silent target earlier. */
#define VALIDITY_MS 10000
#define MAX_UNANSWERED 256

/* A call to which its target has not responded. */
typedef struct
{
  LimpetTarget *target; /* a reference */
  LimpetFingerprints fingerprints;
  LimpetMs sent_ms;
  LimpetMs ended_ms; /* when the router or the caller gave up */
} Unanswered;

static void
free_unanswered (gpointer data)
{
  Unanswered *unanswered = data;

  limpet_target_unref (unanswered->target);
  g_free (unanswered);
}

void
limpet_unanswered_add (const LimpetTask *task)
{
  LimpetExchange *exchange = task->exchange;
  Unanswered *unanswered;

  if (exchange->quarantine == NULL || task->target == NULL || !task->is_sent
      || task->has_first_event)
    return;
  if (exchange->unanswered.length >= MAX_UNANSWERED)
    free_unanswered (g_queue_pop_head (&exchange->unanswered));
  unanswered = g_new0 (Unanswered, 1);
  limpet_target_ref (task->target);
  unanswered->target = task->target;
  unanswered->fingerprints = limpet_call_fingerprints (&task->call);
  unanswered->sent_ms = task->sent_ms;
  unanswered->ended_ms = limpet_clock_mono_ms ();
  g_queue_push_tail (&exchange->unanswered, unanswered);
}

static bool
has_crashed (const Unanswered *unanswered)
{
  const LimpetTarget *target = unanswered->target;

  return atomic_load (&target->has_vanished)
         || atomic_load (&target->unreachable_ms) > unanswered->sent_ms;
}

/* Returns whether the entry can be dropped. */
static bool
check (LimpetExchange *exchange, const Unanswered *unanswered, LimpetMs now_ms)
{
  if (has_crashed (unanswered))
    {
      limpet_quarantine_record_crash (exchange->quarantine, &unanswered->fingerprints,
                                      unanswered->target->id_hash,
                                      limpet_clock_boot_ms ());
      return true;
    }
  return atomic_load (&unanswered->target->responded_ms) > unanswered->ended_ms
         || now_ms - unanswered->ended_ms > VALIDITY_MS;
}

void
limpet_unanswered_check (LimpetExchange *exchange, LimpetMs now_ms)
{
  GList *next;

  for (GList *link = exchange->unanswered.head; link != NULL; link = next)
    {
      next = link->next;
      if (!check (exchange, link->data, now_ms))
        continue;
      free_unanswered (link->data);
      g_queue_delete_link (&exchange->unanswered, link);
    }
}

void
limpet_unanswered_clear (LimpetExchange *exchange)
{
  g_queue_clear_full (&exchange->unanswered, free_unanswered);
}
