#ifndef LIMPETROAD_QUARANTINE_H
#define LIMPETROAD_QUARANTINE_H

#include "limpetroad/call.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup quarantine Quarantine
 *  Finds prompt parts and requests that crash targets, and keeps calls with them away
 *  from targets.
 *
 *  limpet_quarantine_new() → limpet_quarantine_admit() for each call,
 *  limpet_quarantine_find() before each attempt, limpet_quarantine_record_crash() and
 *  limpet_quarantine_record_success() after it, limpet_quarantine_receive() with the
 *  records of other routers, limpet_quarantine_tick() every 100 ms,
 *  limpet_quarantine_collect_*() for what other routers should know →
 *  limpet_quarantine_delete(). Opens no sockets, starts no threads, is not thread-safe.
 *
 *  A target that crashes breaks all its calls, so one crash does not show which of them
 *  is the cause. A fingerprint is suspect while targets crash as they begin to run calls
 *  with it and none is completed. A suspect is quarantined after
 *  LIMPET_QUARANTINE_MIN_CRASHES crashes of targets. Each router sees a small part of the
 *  calls, so routers exchange the crashes and, for suspects of other routers, the
 *  successes that clear them.
 *
 *  A quarantine ends after a time that grows with the time for which the suspect has
 *  crashed targets. One call is then let through: if it succeeds, the suspect is cleared;
 *  if its target crashes, the quarantine continues. Each router waits for a random time
 *  more, so that usually one of them tries.
 *
 *  \p now_ms is always the boot clock (limpet_clock_boot_ms()).
 */
typedef struct LimpetQuarantine LimpetQuarantine;

/** Number of crashes after which a suspect is quarantined. */
#define LIMPET_QUARANTINE_MIN_CRASHES 3
/** Most crashes that a record holds. */
#define LIMPET_QUARANTINE_MAX_CRASHES 4
/** LimpetSuspect.depth of a whole request. */
#define LIMPET_QUARANTINE_REQUEST_DEPTH 255

/** A target that crashed with a call in flight. */
typedef struct
{
  uint32_t target_hash; /**< LimpetTarget.id_hash */
  LimpetMs at_ms;       /**< boot clock of this machine */
} LimpetSuspectCrash;

/** What routers know of one suspect. */
typedef struct
{
  uint64_t id; /**< of the prompt part, or LimpetCall.fingerprint */
  /** Index of the part in the prompts in which it was found, or
   *  LIMPET_QUARANTINE_REQUEST_DEPTH. */
  uint32_t depth;
  LimpetMs success_ms; /**< last completed call with it; 0 if none is known */
  LimpetSuspectCrash crashes[LIMPET_QUARANTINE_MAX_CRASHES];
  uint32_t crash_count;
  bool is_quarantined;
  /** Targets that such calls were sent to, as many as quarantine it, cannot be reached,
   *  and it is unknown whether any other can. */
  bool is_pending;
  LimpetMs pending_ms; /**< when a router last said whether it is; 0 if none did */
} LimpetSuspect;

/** Callbacks, called from within the functions below; each may be NULL. */
typedef struct
{
  /** A suspect has been quarantined, or has crashed another target since. Of all routers,
   *  only those are called that observed the last of its crashes. */
  void (*on_quarantined) (void *user, const LimpetSuspect *suspect);
  /** A call of this router has cleared a quarantined suspect. */
  void (*on_cleared) (void *user, const LimpetSuspect *suspect);
} LimpetQuarantineOps;

/** Returns a quarantine without suspects. \p ops is borrowed; \p seed is for the random
 *  delays. */
LimpetQuarantine *
limpet_quarantine_new (const LimpetQuarantineOps *ops, void *user, uint64_t seed);
void limpet_quarantine_delete (LimpetQuarantine *quarantine);

/** Returns the quarantined suspect because of which a new call must not be sent, and sets
 *  \p remaining_ms to the time until such calls are tried again; NULL if the call may be
 *  sent. A request with enough crashes counts as quarantined even before other routers
 *  have had time to object. When a quarantine has ended, only one call is admitted until
 *  its outcome is known. */
const LimpetSuspect *limpet_quarantine_admit (LimpetQuarantine *quarantine,
                                              const LimpetFingerprints *fingerprints,
                                              LimpetMs now_ms,
                                              LimpetMs *remaining_ms);
/** The same for the first attempt of a call that has been admitted; its retries are
 *  admitted anew. */
const LimpetSuspect *limpet_quarantine_find (const LimpetQuarantine *quarantine,
                                             const LimpetFingerprints *fingerprints,
                                             LimpetMs now_ms,
                                             LimpetMs *remaining_ms);

/** Records that a target crashed as it began to run a call. */
void limpet_quarantine_record_crash (LimpetQuarantine *quarantine,
                                     const LimpetFingerprints *fingerprints,
                                     uint32_t target_hash,
                                     LimpetMs now_ms);
/** Records that a call was completed. */
void limpet_quarantine_record_success (LimpetQuarantine *quarantine,
                                       const LimpetFingerprints *fingerprints,
                                       LimpetMs now_ms);

/** Records that targets became unreachable as they began to run such calls, but that it
 *  is unknown whether they crashed. Does nothing if they are too few for a quarantine,
 *  together with those that are known to have crashed. To be repeated at least every
 *  100 ms for as long as it is so. */
void limpet_quarantine_record_pending (LimpetQuarantine *quarantine,
                                       const LimpetFingerprints *fingerprints,
                                       const uint32_t *targets,
                                       uint32_t count,
                                       LimpetMs now_ms);
/** Returns since when any router has recorded that; 0 if none does, or if such a call was
 *  completed. */
LimpetMs limpet_quarantine_pending_since (const LimpetQuarantine *quarantine,
                                          const LimpetFingerprints *fingerprints,
                                          LimpetMs now_ms);

/** Returns whether it is known that a target crashed under such a call after the request
 *  became pending at \p since_ms. */
bool limpet_quarantine_has_crash_since (const LimpetQuarantine *quarantine,
                                        const LimpetFingerprints *fingerprints,
                                        LimpetMs since_ms);

/** Merges a record from another router or from durable storage. */
void limpet_quarantine_receive (LimpetQuarantine *quarantine,
                                const LimpetSuspect *received,
                                LimpetMs now_ms);

/** Quarantines the suspects for which there is enough evidence, and forgets old ones. */
void limpet_quarantine_tick (LimpetQuarantine *quarantine, LimpetMs now_ms);

/** Fills \p records with the suspects that have changed since they were last collected,
 *  and returns their number. The rest follows at the next call. */
uint32_t limpet_quarantine_collect_changed (LimpetQuarantine *quarantine,
                                            LimpetSuspect *records,
                                            uint32_t max_count);
/** Fills \p records with suspects that have crashes or were pending lately, the
 *  quarantined ones first, and returns their number. */
uint32_t limpet_quarantine_collect_first (const LimpetQuarantine *quarantine,
                                          LimpetSuspect *records,
                                          uint32_t max_count);
/** The same, in turn over the calls. */
uint32_t limpet_quarantine_collect_next (LimpetQuarantine *quarantine,
                                         LimpetSuspect *records,
                                         uint32_t max_count);
/** Returns the number of quarantined requests if \p are_requests is set, else of
 *  quarantined prompt parts. */
uint32_t limpet_quarantine_count (const LimpetQuarantine *quarantine, bool are_requests);

#endif
