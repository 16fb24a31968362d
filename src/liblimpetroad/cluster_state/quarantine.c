#include "limpetroad/quarantine.h"

#include "limpetroad/logger.h"
#include "private/suspect.h"

#include <glib.h>
#include <inttypes.h>
#include <math.h>
#include <xxhash.h>

/* A fingerprint is not suspect if a call with it was completed within this time before
 * the crash, or later. When many targets crash at once, popular parts and requests break
 * at several of them. */
#define SUCCESS_VALIDITY_MS 10000
/* Time from the last crash needed to the quarantine, in which other routers can report
 * successes. */
#define CONFIRMATION_MS 1000
/* A crash counts for this time as long as the suspect is not quarantined. */
#define CRASH_VALIDITY_MS (5 * 60 * 1000)
/* The quarantine lasts QUARANTINE_FACTOR times as long as the suspect has crashed
 * targets, within these limits, from its last crash on. After that, one more crash
 * quarantines it again, until PROBATION_MS have passed. */
#define QUARANTINE_FACTOR 4
#define MIN_QUARANTINE_MS (2 * 60 * 1000)
#define MAX_QUARANTINE_MS (30 * 60 * 1000)
#define PROBATION_MS (60 * 60 * 1000)
/* Limit of the random time that a router adds to a quarantine. */
#define MAX_RELEASE_DELAY_MS 30000
/* After a quarantine, no second call is admitted for this time, in which the outcome of
 * the first one becomes known. */
#define PROBE_MS 5000
/* When a request is quarantined, others that broke at the same targets may be a second
 * cause. Another request keeps up to this many crashes, so that its next one is enough;
 * a part, which affects more calls, keeps one crash of each quarantined request. */
#define KEPT_REQUEST_CRASHES (LIMPET_QUARANTINE_MIN_CRASHES - 1)
#define KEPT_PART_CRASHES 1
/* A cleared suspect is remembered for this time, so that a late message about its crashes
 * does not make it suspect again. */
#define CLEARED_VALIDITY_MS 20000
/* A crash is added to a full record only if it is later than the others by this time, and
 * routers tell each other only of successes that are later by this time. Smaller
 * differences come from the latency of messages. */
#define MIN_TIME_GAIN_MS 1000
/* Times that routers tell each other are wrong by up to about this much. */
#define MAX_TIME_ERROR_MS 100
/* A request is pending until the router that found it so says that it no longer is, or
 * has been silent for this time. */
#define PENDING_VALIDITY_MS 4000
/* Routers tell each other in this period that it still is. */
#define PENDING_PERIOD_MS 1500
/* A request that a router has not found pending for this time no longer is. */
#define PENDING_END_MS 250
/* Most requests that are pending at once. Cut links break many. */
#define MAX_PENDING_REQUESTS 3
#define MAX_SUSPECTS 512
/* Number of fingerprints whose last success is remembered. One may displace another. */
#define SUCCESS_SLOTS 8192

typedef struct
{
  LimpetSuspect record;
  LimpetMs sufficient_ms;    /* when the crashes became sufficient; 0 if they are not */
  LimpetMs changed_ms;       /* last change of the record */
  LimpetMs pending_since_ms; /* when the request became pending; 0 if it never was */
  LimpetMs own_pending_ms;   /* when this router last found it so; 0 if it does not */
  LimpetMs own_crash_ms;     /* latest crash that this router observed; 0 if none */
  LimpetMs probe_ms;         /* when a call was last admitted after the quarantine */
  LimpetMs release_delay_ms; /* random time added to the quarantine */
  bool is_changed;           /* other routers have to be told */
} Suspect;

typedef struct
{
  uint64_t id;
  LimpetMs at_ms;
} Success;

struct LimpetQuarantine
{
  const LimpetQuarantineOps *ops;
  void *user;
  GHashTable *suspects; /* address of Suspect.record.id → Suspect */
  GRand *random;
  uint32_t quarantined_parts;
  uint32_t quarantined_requests;
  uint32_t next_collected; /* position of limpet_quarantine_collect_next() */
  Success successes[SUCCESS_SLOTS];
};

LimpetQuarantine *
limpet_quarantine_new (const LimpetQuarantineOps *ops, void *user, uint64_t seed)
{
  LimpetQuarantine *quarantine = g_new0 (LimpetQuarantine, 1);
  guint32 seeds[2] = { (guint32)seed, (guint32)(seed >> 32) };

  quarantine->random = g_rand_new_with_seed_array (seeds, 2);
  quarantine->ops = ops;
  quarantine->user = user;
  quarantine->suspects
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return quarantine;
}

void
limpet_quarantine_delete (LimpetQuarantine *quarantine)
{
  if (quarantine == NULL)
    return;
  g_hash_table_destroy (quarantine->suspects);
  g_rand_free (quarantine->random);
  g_free (quarantine);
}

static uint32_t *
quarantined_count (LimpetQuarantine *quarantine, const Suspect *suspect)
{
  return limpet_suspect_is_request (&suspect->record) ? &quarantine->quarantined_requests
                                                      : &quarantine->quarantined_parts;
}

/* The fingerprints as a list, from the most general to the most specific. */
static uint32_t
fingerprint_count (const LimpetFingerprints *fingerprints)
{
  return fingerprints->parts_count + (fingerprints->request != 0);
}

static uint64_t
fingerprint_id (const LimpetFingerprints *fingerprints, uint32_t index)
{
  return index < fingerprints->parts_count ? fingerprints->parts[index]
                                           : fingerprints->request;
}

static uint32_t
fingerprint_depth (const LimpetFingerprints *fingerprints, uint32_t index)
{
  return index < fingerprints->parts_count ? index : LIMPET_QUARANTINE_REQUEST_DEPTH;
}

static Success *
success_slot (LimpetQuarantine *quarantine, uint64_t id)
{
  return &quarantine->successes[XXH64 (&id, sizeof id, 0) % SUCCESS_SLOTS];
}

/* Returns the time of the last call with the fingerprint that this router completed; 0 if
 * none is known. */
static LimpetMs
own_success_ms (LimpetQuarantine *quarantine, uint64_t id)
{
  const Success *success = success_slot (quarantine, id);

  return success->id == id ? success->at_ms : 0;
}

static bool
is_cleared_by (LimpetMs success_ms, LimpetMs crash_ms)
{
  return success_ms > 0 && success_ms + SUCCESS_VALIDITY_MS >= crash_ms;
}

static LimpetMs
quarantined_until_ms (const Suspect *suspect)
{
  LimpetMs last_ms = limpet_suspect_last_crash_ms (&suspect->record);
  LimpetMs duration_ms
      = QUARANTINE_FACTOR * (last_ms - limpet_suspect_first_crash_ms (&suspect->record));

  return last_ms + CLAMP (duration_ms, MIN_QUARANTINE_MS, MAX_QUARANTINE_MS)
         + suspect->release_delay_ms;
}

/* Returns how many crashes of the suspect another one accounts for. */
static uint32_t
common_crashes (const Suspect *suspect, const Suspect *other)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < suspect->record.crash_count; i++)
    count += limpet_suspect_has_crash_of (&other->record,
                                          suspect->record.crashes[i].target_hash);
  return count;
}

/* Returns whether the suspect can take one more of the crashes that a quarantined one
 * accounts for. */
static bool
keeps_crash_of (const Suspect *suspect, const Suspect *quarantined)
{
  return limpet_suspect_is_request (&quarantined->record)
         && !limpet_suspect_is_request (&suspect->record)
         && common_crashes (suspect, quarantined) < KEPT_PART_CRASHES;
}

/* Returns whether another, quarantined suspect accounts for the crash of the target, so
 * that the suspect does not take it. */
static bool
is_explained (LimpetQuarantine *quarantine, const Suspect *suspect, uint32_t target_hash)
{
  GHashTableIter iter;
  gpointer value;

  if (quarantine->quarantined_parts + quarantine->quarantined_requests == 0)
    return false;
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *other = value;

      if (other != suspect && other->record.is_quarantined
          && limpet_suspect_has_crash_of (&other->record, target_hash)
          && !keeps_crash_of (suspect, other))
        return true;
    }
  return false;
}

static void
record_change (Suspect *suspect, LimpetMs now_ms)
{
  suspect->is_changed = true;
  suspect->changed_ms = now_ms;
  if (suspect->record.crash_count < LIMPET_QUARANTINE_MIN_CRASHES)
    suspect->sufficient_ms = 0;
  else if (suspect->sufficient_ms == 0)
    suspect->sufficient_ms = now_ms;
}

/* Adds a crash and returns true if it is new, no success clears it, and it has no other
 * known cause unless takes_explained is set. The time of a known one stays as
 * it is: the times of other routers differ by the latency of messages, and taking the
 * later one would delay its expiry with each message. */
static bool
add_crash (LimpetQuarantine *quarantine,
           Suspect *suspect,
           const LimpetSuspectCrash *crash,
           bool takes_explained,
           LimpetMs now_ms)
{
  LimpetSuspect *record = &suspect->record;

  if (is_cleared_by (record->success_ms, crash->at_ms)
      || limpet_suspect_has_crash_of (record, crash->target_hash)
      || (!takes_explained && is_explained (quarantine, suspect, crash->target_hash)))
    return false;
  if (record->crash_count == LIMPET_QUARANTINE_MAX_CRASHES
      && crash->at_ms < limpet_suspect_last_crash_ms (record) + MIN_TIME_GAIN_MS)
    return false;
  limpet_suspect_add_crash (record, crash);
  record_change (suspect, now_ms);
  return true;
}

static bool
is_before_success (const LimpetSuspectCrash *crash, const void *success_ms)
{
  return is_cleared_by (*(const LimpetMs *)success_ms, crash->at_ms);
}

static bool
is_crash_of_suspect (const LimpetSuspectCrash *crash, const void *suspect)
{
  return limpet_suspect_has_crash_of (suspect, crash->target_hash);
}

static bool
is_expired (const LimpetSuspectCrash *crash, const void *now_ms)
{
  return *(const LimpetMs *)now_ms - crash->at_ms > CRASH_VALIDITY_MS;
}

/* Few routers draw a short delay, so that the first one to try has time to tell the
 * others. */
static LimpetMs
draw_release_delay_ms (LimpetQuarantine *quarantine)
{
  return (LimpetMs)(MAX_RELEASE_DELAY_MS
                    * pow (g_rand_double (quarantine->random), 0.25));
}

static void
lift (LimpetQuarantine *quarantine, Suspect *suspect, const char *reason)
{
  suspect->record.is_quarantined = false;
  (*quarantined_count (quarantine, suspect))--;
  limpet_log (LIMPET_LOG_NOTICE, "quarantine", NULL,
              "%s=%" PRIx64 " state=lifted reason=%s",
              limpet_suspect_log_key (&suspect->record), suspect->record.id, reason);
}

/* Records a success and removes the crashes that it clears. */
static void
add_success (LimpetQuarantine *quarantine,
             Suspect *suspect,
             LimpetMs success_ms,
             LimpetMs now_ms)
{
  if (success_ms <= suspect->record.success_ms)
    return;
  if (!limpet_suspect_remove_crashes (&suspect->record, 0, is_before_success,
                                      &success_ms))
    return;
  suspect->record.success_ms = success_ms;
  record_change (suspect, now_ms);
  if (suspect->record.is_quarantined && suspect->record.crash_count == 0)
    lift (quarantine, suspect, "success");
}

static Suspect *
find_suspect (const LimpetQuarantine *quarantine, uint64_t id)
{
  return g_hash_table_lookup (quarantine->suspects, &id);
}

/* Makes room for another suspect by removing the one that changed longest ago. Returns
 * false if all suspects are quarantined. */
static bool
remove_oldest_suspect (LimpetQuarantine *quarantine)
{
  GHashTableIter iter;
  gpointer value;
  const Suspect *oldest = NULL;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *suspect = value;

      if (!suspect->record.is_quarantined
          && (oldest == NULL || suspect->changed_ms < oldest->changed_ms))
        oldest = suspect;
    }
  if (oldest == NULL)
    return false;
  limpet_log (LIMPET_LOG_WARNING, "quarantine", NULL,
              "%s=%" PRIx64 " state=forgotten reason=too_many_suspects",
              limpet_suspect_log_key (&oldest->record), oldest->record.id);
  g_hash_table_remove (quarantine->suspects, &oldest->record.id);
  return true;
}

/* Returns the suspect, which is added if it is new; NULL if there is no room. */
static Suspect *
ensure_suspect (LimpetQuarantine *quarantine,
                uint64_t id,
                uint32_t depth,
                LimpetMs now_ms)
{
  Suspect *suspect = find_suspect (quarantine, id);

  if (suspect != NULL)
    return suspect;
  if (g_hash_table_size (quarantine->suspects) >= MAX_SUSPECTS
      && !remove_oldest_suspect (quarantine))
    return NULL;
  suspect = g_new0 (Suspect, 1);
  suspect->record.id = id;
  suspect->record.depth = depth;
  suspect->changed_ms = now_ms;
  g_hash_table_insert (quarantine->suspects, &suspect->record.id, suspect);
  return suspect;
}

static bool
is_pending (const Suspect *suspect, LimpetMs now_ms)
{
  return suspect->record.is_pending
         && suspect->record.pending_ms + PENDING_VALIDITY_MS > now_ms;
}

/* Returns whether fewer requests than the most are pending. */
static bool
has_room_for_pending (const LimpetQuarantine *quarantine, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    count += is_pending (value, now_ms);
  return count < MAX_PENDING_REQUESTS;
}

/* Returns whether a request that is not suspect may become pending. Calls that were
 * completed recently break beside others when the links are cut. */
static bool
may_become_pending (LimpetQuarantine *quarantine,
                    uint64_t id,
                    LimpetMs pending_ms,
                    LimpetMs now_ms)
{
  return pending_ms + PENDING_VALIDITY_MS > now_ms
         && !is_cleared_by (own_success_ms (quarantine, id), pending_ms)
         && has_room_for_pending (quarantine, now_ms);
}

static void
end_pending (Suspect *suspect, LimpetMs ended_ms, LimpetMs now_ms)
{
  suspect->record.is_pending = false;
  suspect->record.pending_ms = ended_ms;
  suspect->own_pending_ms = 0;
  record_change (suspect, now_ms);
}

static void
add_pending (LimpetQuarantine *quarantine,
             Suspect *suspect,
             LimpetMs pending_ms,
             LimpetMs now_ms)
{
  LimpetSuspect *record = &suspect->record;
  bool was_pending = is_pending (suspect, now_ms);

  if (pending_ms < record->pending_ms + (was_pending ? PENDING_PERIOD_MS : 1)
      || pending_ms + PENDING_VALIDITY_MS <= now_ms
      || is_cleared_by (record->success_ms, pending_ms)
      || is_cleared_by (own_success_ms (quarantine, record->id), pending_ms)
      || (!was_pending && !has_room_for_pending (quarantine, now_ms)))
    return;
  if (!was_pending)
    suspect->pending_since_ms = pending_ms;
  record->is_pending = true;
  record->pending_ms = pending_ms;
  record_change (suspect, now_ms);
}

void
limpet_quarantine_record_pending (LimpetQuarantine *quarantine,
                                  const LimpetFingerprints *fingerprints,
                                  const uint32_t *targets,
                                  uint32_t count,
                                  LimpetMs now_ms)
{
  Suspect *suspect = find_suspect (quarantine, fingerprints->request);
  uint32_t crashes = suspect != NULL ? suspect->record.crash_count : 0;

  for (uint32_t i = 0; i < count; i++)
    crashes
        += suspect == NULL || !limpet_suspect_has_crash_of (&suspect->record, targets[i]);
  if (crashes < LIMPET_QUARANTINE_MIN_CRASHES
      || (suspect == NULL
          && !may_become_pending (quarantine, fingerprints->request, now_ms, now_ms)))
    return;
  suspect = ensure_suspect (quarantine, fingerprints->request,
                            LIMPET_QUARANTINE_REQUEST_DEPTH, now_ms);
  if (suspect == NULL)
    return;
  add_pending (quarantine, suspect, now_ms, now_ms);
  if (is_pending (suspect, now_ms))
    suspect->own_pending_ms = now_ms;
}

LimpetMs
limpet_quarantine_pending_since (const LimpetQuarantine *quarantine,
                                 const LimpetFingerprints *fingerprints,
                                 LimpetMs now_ms)
{
  const Suspect *suspect = fingerprints->request != 0
                               ? find_suspect (quarantine, fingerprints->request)
                               : NULL;

  return suspect != NULL && is_pending (suspect, now_ms) ? suspect->pending_since_ms : 0;
}

bool
limpet_quarantine_has_crash_since (const LimpetQuarantine *quarantine,
                                   const LimpetFingerprints *fingerprints,
                                   LimpetMs since_ms)
{
  const Suspect *suspect = find_suspect (quarantine, fingerprints->request);

  return suspect != NULL
         && limpet_suspect_last_crash_ms (&suspect->record)
                > since_ms + MAX_TIME_ERROR_MS;
}

/* Returns the time until calls with the suspect are admitted again; 0 or less if they
 * are. */
static LimpetMs
remaining_ms_of (const Suspect *suspect, LimpetMs now_ms)
{
  if (suspect->record.is_quarantined)
    return quarantined_until_ms (suspect) - now_ms;
  if (limpet_suspect_is_request (&suspect->record) && suspect->sufficient_ms > 0)
    return MAX (1, suspect->sufficient_ms + CONFIRMATION_MS - now_ms);
  return 0;
}

const LimpetSuspect *
limpet_quarantine_find (const LimpetQuarantine *quarantine,
                        const LimpetFingerprints *fingerprints,
                        LimpetMs now_ms,
                        LimpetMs *remaining_ms)
{
  if (g_hash_table_size (quarantine->suspects) == 0)
    return NULL;
  for (uint32_t i = 0; i < fingerprint_count (fingerprints); i++)
    {
      const Suspect *suspect
          = find_suspect (quarantine, fingerprint_id (fingerprints, i));

      if (suspect == NULL)
        continue;
      *remaining_ms = remaining_ms_of (suspect, now_ms);
      if (*remaining_ms > 0)
        return &suspect->record;
    }
  return NULL;
}

const LimpetSuspect *
limpet_quarantine_admit (LimpetQuarantine *quarantine,
                         const LimpetFingerprints *fingerprints,
                         LimpetMs now_ms,
                         LimpetMs *remaining_ms)
{
  const LimpetSuspect *found
      = limpet_quarantine_find (quarantine, fingerprints, now_ms, remaining_ms);

  if (found != NULL
      || quarantine->quarantined_parts + quarantine->quarantined_requests == 0)
    return found;
  for (uint32_t i = 0; i < fingerprint_count (fingerprints); i++)
    {
      Suspect *suspect = find_suspect (quarantine, fingerprint_id (fingerprints, i));

      if (suspect == NULL || !suspect->record.is_quarantined)
        continue;
      *remaining_ms = suspect->probe_ms + PROBE_MS - now_ms;
      if (suspect->probe_ms > 0 && *remaining_ms > 0)
        return &suspect->record;
      suspect->probe_ms = now_ms;
      limpet_log (LIMPET_LOG_NOTICE, "quarantine", NULL, "%s=%" PRIx64 " state=probed",
                  limpet_suspect_log_key (&suspect->record), suspect->record.id);
    }
  return NULL;
}

void
limpet_quarantine_record_crash (LimpetQuarantine *quarantine,
                                const LimpetFingerprints *fingerprints,
                                uint32_t target_hash,
                                LimpetMs now_ms)
{
  LimpetSuspectCrash crash = { .target_hash = target_hash, .at_ms = now_ms };
  const Suspect *request = fingerprints->request != 0
                               ? find_suspect (quarantine, fingerprints->request)
                               : NULL;
  bool is_request_quarantined = request != NULL && request->record.is_quarantined;

  for (uint32_t i = 0; i < fingerprint_count (fingerprints); i++)
    {
      uint64_t id = fingerprint_id (fingerprints, i);
      Suspect *suspect;

      if (is_cleared_by (own_success_ms (quarantine, id), now_ms))
        continue;
      suspect
          = ensure_suspect (quarantine, id, fingerprint_depth (fingerprints, i), now_ms);
      if (suspect == NULL)
        continue;
      if (is_request_quarantined && !suspect->record.is_quarantined
          && !keeps_crash_of (suspect, request))
        continue;
      if (!add_crash (quarantine, suspect, &crash, suspect->record.is_quarantined,
                      now_ms))
        continue;
      suspect->own_crash_ms = MAX (suspect->own_crash_ms, now_ms);
      if (suspect->record.is_quarantined && quarantine->ops->on_quarantined != NULL)
        quarantine->ops->on_quarantined (quarantine->user, &suspect->record);
    }
}

void
limpet_quarantine_record_success (LimpetQuarantine *quarantine,
                                  const LimpetFingerprints *fingerprints,
                                  LimpetMs now_ms)
{
  for (uint32_t i = 0; i < fingerprint_count (fingerprints); i++)
    {
      uint64_t id = fingerprint_id (fingerprints, i);
      Suspect *suspect = find_suspect (quarantine, id);
      bool was_quarantined = suspect != NULL && suspect->record.is_quarantined;

      *success_slot (quarantine, id) = (Success){ .id = id, .at_ms = now_ms };
      if (suspect != NULL)
        {
          if (is_pending (suspect, now_ms))
            end_pending (suspect, now_ms, now_ms);
          add_success (quarantine, suspect, now_ms, now_ms);
        }
      if (was_quarantined && !suspect->record.is_quarantined
          && quarantine->ops->on_cleared != NULL)
        quarantine->ops->on_cleared (quarantine->user, &suspect->record);
    }
}

static void
log_state (const Suspect *suspect, const char *state, const char *source)
{
  limpet_log (LIMPET_LOG_NOTICE, "quarantine", NULL,
              "%s=%" PRIx64 " state=%s source=%s crashes=%u depth=%u",
              limpet_suspect_log_key (&suspect->record), suspect->record.id, state,
              source, suspect->record.crash_count, suspect->record.depth);
}

/* Returns how many crashes another suspect keeps that the quarantined one accounts for.
 */
static uint32_t
kept_crashes (const Suspect *quarantined, const Suspect *other)
{
  uint32_t unexplained;

  if (!limpet_suspect_is_request (&quarantined->record))
    return 0;
  if (!limpet_suspect_is_request (&other->record))
    return KEPT_PART_CRASHES;
  unexplained = other->record.crash_count - common_crashes (other, quarantined);
  return KEPT_REQUEST_CRASHES - MIN (KEPT_REQUEST_CRASHES, unexplained);
}

/* Returns whether this router observed the last crash, as far as the times that routers
 * tell each other allow to say; several may have. */
static bool
observed_last_crash (const Suspect *suspect)
{
  return suspect->own_crash_ms > 0
         && suspect->own_crash_ms + MAX_TIME_ERROR_MS
                >= limpet_suspect_last_crash_ms (&suspect->record);
}

/* Quarantines a suspect. The crashes that it accounts for no longer count for others that
 * broke at the same targets. */
static void
quarantine_suspect (LimpetQuarantine *quarantine,
                    Suspect *suspect,
                    const char *source,
                    LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer value;

  suspect->record.is_quarantined = true;
  suspect->release_delay_ms = draw_release_delay_ms (quarantine);
  (*quarantined_count (quarantine, suspect))++;
  log_state (suspect, "quarantined", source);
  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *other = value;

      if (!other->record.is_quarantined
          && limpet_suspect_remove_crashes (&other->record, kept_crashes (suspect, other),
                                            is_crash_of_suspect, &suspect->record))
        {
          record_change (other, now_ms);
          other->is_changed = false; /* other routers conclude the same */
        }
    }
  record_change (suspect, now_ms);
  if (observed_last_crash (suspect) && quarantine->ops->on_quarantined != NULL)
    quarantine->ops->on_quarantined (quarantine->user, &suspect->record);
}

/* Returns whether a record has a crash that a success clears of which the sender of the
 * record does not know. */
static bool
lacks_success (const LimpetSuspect *received, LimpetMs success_ms)
{
  if (received->success_ms + MIN_TIME_GAIN_MS >= success_ms)
    return false;
  for (uint32_t i = 0; i < received->crash_count; i++)
    if (is_cleared_by (success_ms, received->crashes[i].at_ms))
      return true;
  return false;
}

void
limpet_quarantine_receive (LimpetQuarantine *quarantine,
                           const LimpetSuspect *received,
                           LimpetMs now_ms)
{
  Suspect *suspect = find_suspect (quarantine, received->id);
  bool is_quarantined_request
      = received->is_quarantined && received->depth == LIMPET_QUARANTINE_REQUEST_DEPTH;

  if (suspect == NULL && received->crash_count == 0
      && !(
          received->is_pending
          && may_become_pending (quarantine, received->id, received->pending_ms, now_ms)))
    return;
  suspect = ensure_suspect (quarantine, received->id, received->depth, now_ms);
  if (suspect == NULL)
    return;
  add_success (quarantine, suspect, received->success_ms, now_ms);
  for (uint32_t i = 0; i < received->crash_count; i++)
    add_crash (quarantine, suspect, &received->crashes[i], is_quarantined_request,
               now_ms);
  add_success (quarantine, suspect, own_success_ms (quarantine, received->id), now_ms);
  if (received->is_pending)
    add_pending (quarantine, suspect, received->pending_ms, now_ms);
  else if (is_pending (suspect, now_ms)
           && received->pending_ms > suspect->record.pending_ms)
    end_pending (suspect, received->pending_ms, now_ms);
  if (lacks_success (received, suspect->record.success_ms))
    suspect->is_changed = true;
  if (received->is_quarantined && !suspect->record.is_quarantined
      && suspect->record.crash_count >= LIMPET_QUARANTINE_MIN_CRASHES)
    quarantine_suspect (quarantine, suspect, "received", now_ms);
}

/* Returns whether a suspect is to be quarantined before another. The deeper one is in
 * fewer calls, so its quarantine affects fewer. */
static bool
precedes (const Suspect *suspect, const Suspect *other)
{
  if (suspect->record.depth != other->record.depth)
    return suspect->record.depth > other->record.depth;
  return suspect->record.crash_count > other->record.crash_count;
}

static Suspect *
find_next (LimpetQuarantine *quarantine, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer value;
  Suspect *next = NULL;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *suspect = value;

      if (!suspect->record.is_quarantined && suspect->sufficient_ms > 0
          && now_ms - suspect->sufficient_ms >= CONFIRMATION_MS
          && (next == NULL || precedes (suspect, next)))
        next = suspect;
    }
  return next;
}

/* Removes outdated crashes; returns whether the suspect can be forgotten. */
static bool
expire (LimpetQuarantine *quarantine, Suspect *suspect, LimpetMs now_ms)
{
  if (suspect->record.is_quarantined)
    {
      if (now_ms - limpet_suspect_last_crash_ms (&suspect->record) <= PROBATION_MS)
        return false;
      lift (quarantine, suspect, "expired");
      return true;
    }
  if (limpet_suspect_remove_crashes (&suspect->record, 0, is_expired, &now_ms)
      && suspect->record.crash_count < LIMPET_QUARANTINE_MIN_CRASHES)
    suspect->sufficient_ms = 0;
  return suspect->record.crash_count == 0
         && now_ms - suspect->changed_ms > CLEARED_VALIDITY_MS;
}

void
limpet_quarantine_tick (LimpetQuarantine *quarantine, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer value;
  Suspect *suspect;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      suspect = value;
      if (suspect->own_pending_ms > 0
          && now_ms - suspect->own_pending_ms > PENDING_END_MS)
        end_pending (suspect, now_ms, now_ms);
      if (expire (quarantine, suspect, now_ms))
        g_hash_table_iter_remove (&iter);
    }
  while ((suspect = find_next (quarantine, now_ms)) != NULL)
    quarantine_suspect (quarantine, suspect, "own_evidence", now_ms);
}

uint32_t
limpet_quarantine_collect_changed (LimpetQuarantine *quarantine,
                                   LimpetSuspect *records,
                                   uint32_t max_count)
{
  GHashTableIter iter;
  gpointer value;
  uint32_t count = 0;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (count < max_count && g_hash_table_iter_next (&iter, NULL, &value))
    {
      Suspect *suspect = value;

      if (!suspect->is_changed)
        continue;
      suspect->is_changed = false;
      records[count++] = suspect->record;
    }
  return count;
}

/* Appends the suspects with crashes, or lately pending, that are quarantined, or that are
 * not. */
static void
list_suspects (const LimpetQuarantine *quarantine, bool is_quarantined, GPtrArray *list)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, quarantine->suspects);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const Suspect *suspect = value;

      if ((suspect->record.crash_count > 0 || suspect->record.pending_ms > 0)
          && suspect->record.is_quarantined == is_quarantined)
        g_ptr_array_add (list, value);
    }
}

/* Fills records with suspects that have crashes, starting at a position of their list
 * with the quarantined ones first. */
static uint32_t
collect_from (const LimpetQuarantine *quarantine,
              uint32_t first,
              LimpetSuspect *records,
              uint32_t max_count)
{
  GPtrArray *list;
  uint32_t count;

  if (g_hash_table_size (quarantine->suspects) == 0)
    return 0;
  list = g_ptr_array_new ();
  list_suspects (quarantine, true, list);
  list_suspects (quarantine, false, list);
  count = MIN (list->len, max_count);
  for (uint32_t i = 0; i < count; i++)
    records[i] = ((Suspect *)g_ptr_array_index (list, (first + i) % list->len))->record;
  g_ptr_array_free (list, TRUE);
  return count;
}

uint32_t
limpet_quarantine_collect_first (const LimpetQuarantine *quarantine,
                                 LimpetSuspect *records,
                                 uint32_t max_count)
{
  return collect_from (quarantine, 0, records, max_count);
}

uint32_t
limpet_quarantine_collect_next (LimpetQuarantine *quarantine,
                                LimpetSuspect *records,
                                uint32_t max_count)
{
  uint32_t count
      = collect_from (quarantine, quarantine->next_collected, records, max_count);

  quarantine->next_collected += count;
  return count;
}

uint32_t
limpet_quarantine_count (const LimpetQuarantine *quarantine, bool are_requests)
{
  return are_requests ? quarantine->quarantined_requests : quarantine->quarantined_parts;
}
