#include "limpetroad/logger.h"
#include "private/exchange.h"
#include "private/paths.h"

#include <inttypes.h>
#include <string.h>

/* Time in which it shows whether a target has crashed: the registry removes a silent
 * target earlier. */
#define VALIDITY_MS 10000
#define MAX_PENDING 256
/* A target that crashes because of a stream does so within this time after the stream's
 * first event. */
#define MAX_CRASH_DELAY_MS 500
/* Time in which the own links to all targets of a service fail or come back. */
#define MAX_LINK_CHANGE_MS 500

/* A call whose target may have crashed as it began to run the call. */
typedef struct
{
  LimpetTarget *target; /* a reference */
  LimpetFingerprints fingerprints;
  LimpetMs sent_ms;
  LimpetMs ended_ms; /* when the attempt ended */
  bool is_probed;    /* after its target vanished from the registry */
  /* When its target was found unreachable after the call was sent; 0 if it was not. */
  LimpetMs unreachable_ms;
  /* When an own connection to another target was established; 0 until
   * MAX_LINK_CHANGE_MS after the end. */
  LimpetMs other_connected_ms;
  bool is_probed_directly; /* MAX_LINK_CHANGE_MS after that */
} PendingCrash;

static void
free_pending (gpointer data)
{
  PendingCrash *pending = data;

  limpet_target_unref (pending->target);
  g_free (pending);
}

/* Streams that have run for longer are bystanders. A prompt part that is the cause
 * crashes its target before the first event. */
static LimpetFingerprints
fingerprints_of (const LimpetTask *task, LimpetMs now_ms)
{
  LimpetFingerprints fingerprints = limpet_call_fingerprints (&task->call);

  if (task->has_first_event)
    fingerprints.parts_count = 0;
  if (task->has_first_event && now_ms - task->first_event_ms >= MAX_CRASH_DELAY_MS)
    fingerprints.request = 0;
  return fingerprints;
}

static bool
add (const LimpetTask *task)
{
  GQueue *list = &task->exchange->pending_crashes;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetFingerprints fingerprints = fingerprints_of (task, now_ms);
  PendingCrash *pending;

  if (task->exchange->quarantine == NULL || task->target == NULL || !task->is_sent
      || (fingerprints.parts_count == 0 && fingerprints.request == 0))
    return false;
  if (list->length >= MAX_PENDING)
    free_pending (g_queue_pop_head (list));
  pending = g_new0 (PendingCrash, 1);
  limpet_target_ref (task->target);
  pending->target = task->target;
  pending->fingerprints = fingerprints;
  pending->sent_ms = task->sent_ms;
  pending->ended_ms = now_ms;
  g_queue_push_tail (list, pending);
  return true;
}

void
limpet_pending_crashes_add_disconnect (const LimpetTask *task)
{
  if (add (task))
    limpet_upstream_probe (task->exchange, task->target);
}

void
limpet_pending_crashes_add_silence (const LimpetTask *task)
{
  add (task);
}

/* Returns whether an own connection to another target was established after the call, and
 * a later one to its target failed. */
static bool
has_failed_since_other (const PendingCrash *pending)
{
  return pending->other_connected_ms > 0
         && limpet_upstream_failed_probe_began_ms (pending->target)
                >= pending->other_connected_ms + MAX_LINK_CHANGE_MS;
}

/* A target that cannot be reached has crashed only if others can: else this router's own
 * links may be cut. */
static bool
has_crashed (const LimpetExchange *exchange, const PendingCrash *pending)
{
  const LimpetTarget *target = pending->target;
  LimpetMs unreachable_ms = atomic_load (&target->unreachable_ms);

  return atomic_load (&target->has_restarted)
         || (unreachable_ms >= pending->sent_ms
             && exchange->responded_ms >= unreachable_ms)
         || has_failed_since_other (pending);
}

/* Probes another target, and after it was reached, the target again. To wait for a
 * response does not suffice: the request may crash the next targets before one. */
static void
compare_paths (LimpetExchange *exchange, PendingCrash *pending, LimpetMs now_ms)
{
  LimpetTarget *target = pending->target;
  LimpetMs other_ms = limpet_paths_other_connected_ms (exchange, target);

  /* A change of the paths resets the time of the target. */
  if (pending->unreachable_ms == 0
      && atomic_load (&target->unreachable_ms) >= pending->sent_ms)
    pending->unreachable_ms = now_ms;
  if (pending->unreachable_ms == 0 || pending->is_probed_directly
      || now_ms < pending->ended_ms + MAX_LINK_CHANGE_MS)
    return;
  if (pending->other_connected_ms == 0
      && other_ms >= pending->ended_ms + MAX_LINK_CHANGE_MS)
    pending->other_connected_ms = other_ms;
  if (pending->other_connected_ms == 0)
    limpet_paths_probe_other (exchange, target);
  else if (now_ms >= pending->other_connected_ms + MAX_LINK_CHANGE_MS)
    pending->is_probed_directly = limpet_upstream_probe_directly (exchange, target);
}

/* Returns whether the entry can be dropped. */
static bool
check (LimpetExchange *exchange, PendingCrash *pending, LimpetMs now_ms)
{
  LimpetMs ended_ago_ms = now_ms - pending->ended_ms;

  if (atomic_load (&pending->target->has_vanished) && !pending->is_probed)
    {
      /* A target that leaves in order still accepts connections for some seconds. */
      pending->is_probed = true;
      limpet_upstream_probe (exchange, pending->target);
    }
  if (has_crashed (exchange, pending))
    {
      limpet_quarantine_record_crash (exchange->quarantine, &pending->fingerprints,
                                      pending->target->id_hash,
                                      limpet_clock_boot_ms () - ended_ago_ms);
      return true;
    }
  compare_paths (exchange, pending, now_ms);
  return atomic_load (&pending->target->responded_ms) > pending->ended_ms
         || ended_ago_ms > VALIDITY_MS;
}

/* Returns whether it shows soon whether the target, which cannot be reached, has
 * crashed. */
static bool
is_open (const PendingCrash *pending)
{
  return pending->unreachable_ms > 0
         && limpet_upstream_connected_ms (pending->target) <= pending->unreachable_ms
         && (!pending->is_probed_directly || limpet_upstream_is_probed (pending->target));
}

/* Fills targets with different ones at which the request broke and that may have crashed,
 * and returns their number. */
static uint32_t
collect_targets (const GQueue *list,
                 uint64_t request,
                 uint32_t targets[LIMPET_QUARANTINE_MIN_CRASHES])
{
  uint32_t count = 0;

  for (GList *link = list->head; link != NULL && count < LIMPET_QUARANTINE_MIN_CRASHES;
       link = link->next)
    {
      const PendingCrash *pending = link->data;
      uint32_t i = 0;

      if (pending->fingerprints.request != request || !is_open (pending))
        continue;
      while (i < count && targets[i] != pending->target->id_hash)
        i++;
      if (i == count)
        targets[count++] = pending->target->id_hash;
    }
  return count;
}

void
limpet_pending_crashes_tell (LimpetExchange *exchange)
{
  for (GList *link = exchange->pending_crashes.head; link != NULL; link = link->next)
    {
      const PendingCrash *pending = link->data;
      uint32_t targets[LIMPET_QUARANTINE_MIN_CRASHES];
      uint32_t count;

      if (pending->fingerprints.request == 0 || !is_open (pending))
        continue;
      count = collect_targets (&exchange->pending_crashes, pending->fingerprints.request,
                               targets);
      limpet_quarantine_record_pending (exchange->quarantine, &pending->fingerprints,
                                        targets, count, limpet_clock_boot_ms ());
    }
}

/* Returns whether the request broke at a target to which it was sent after that time. */
static bool
has_broken_since (const GQueue *list, uint64_t request, LimpetMs since_ms)
{
  for (GList *link = list->head; link != NULL; link = link->next)
    {
      const PendingCrash *pending = link->data;

      if (pending->fingerprints.request == request && pending->sent_ms > since_ms)
        return true;
    }
  return false;
}

bool
limpet_pending_crashes_hold (const LimpetTask *task)
{
  const LimpetExchange *exchange = task->exchange;
  LimpetFingerprints fingerprints = limpet_call_fingerprints (&task->call);
  LimpetMs now_ms = limpet_clock_boot_ms ();
  LimpetMs since_ms;
  LimpetMs own_since_ms;

  if (exchange->quarantine == NULL)
    return false;
  since_ms
      = limpet_quarantine_pending_since (exchange->quarantine, &fingerprints, now_ms);
  if (since_ms == 0)
    return false;
  /* A target that joined later responds to others also if the request crashes it. */
  own_since_ms = limpet_clock_mono_ms () - (now_ms - since_ms);
  if (exchange->responded_ms > own_since_ms
      && !has_broken_since (&exchange->pending_crashes, fingerprints.request,
                            own_since_ms)
      && !limpet_quarantine_has_crash_since (exchange->quarantine, &fingerprints,
                                             since_ms))
    return false;
  limpet_log (LIMPET_LOG_INFO, "quarantine", NULL, "id=%s request=%" PRIx64 " state=held",
              task->call.id, fingerprints.request);
  return true;
}

void
limpet_pending_crashes_check (LimpetExchange *exchange, LimpetMs now_ms)
{
  GList *next;

  for (GList *link = exchange->pending_crashes.head; link != NULL; link = next)
    {
      next = link->next;
      if (!check (exchange, link->data, now_ms))
        continue;
      free_pending (link->data);
      g_queue_delete_link (&exchange->pending_crashes, link);
    }
}

void
limpet_pending_crashes_probe_group (LimpetExchange *exchange, const char *group)
{
  for (GList *link = exchange->pending_crashes.head; link != NULL; link = link->next)
    {
      const PendingCrash *pending = link->data;

      if (strcmp (pending->target->vm.group, group) == 0)
        limpet_upstream_probe (exchange, pending->target);
    }
}

void
limpet_pending_crashes_clear (LimpetExchange *exchange)
{
  g_queue_clear_full (&exchange->pending_crashes, free_pending);
}
