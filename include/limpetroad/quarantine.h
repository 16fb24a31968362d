#ifndef LIMPETROAD_QUARANTINE_H
#define LIMPETROAD_QUARANTINE_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup quarantine Quarantine of prompt parts
 *  Finds prompt parts that crash targets, and keeps requests with them away from targets.
 *
 *  limpet_quarantine_new() → limpet_quarantine_find() before each attempt,
 *  limpet_quarantine_record_crash() and limpet_quarantine_record_success() after it,
 *  limpet_quarantine_receive() with the records of other routers,
 *  limpet_quarantine_tick() every 100 ms, limpet_quarantine_collect_*() for what other
 * routers should know → limpet_quarantine_delete(). Opens no sockets, starts no threads,
 * is not thread-safe.
 *
 *  A target that crashes breaks all its requests, so one crash does not show which of
 *  them is the cause. A part is suspect while requests with it break off before their
 *  first event and none is completed. A suspect is quarantined after crashes of
 *  LIMPET_QUARANTINE_MIN_CRASHES targets. Each router sees a small part of the requests,
 *  so routers exchange the crashes and, for suspects of other routers, the successes that
 *  clear them.
 *
 *  \p now_ms is always the boot clock (limpet_clock_boot_ms()).
 */
typedef struct LimpetQuarantine LimpetQuarantine;

/** Number of crashed targets after which a part is quarantined. */
#define LIMPET_QUARANTINE_MIN_CRASHES 3
/** Most crashed targets that a record holds. */
#define LIMPET_QUARANTINE_MAX_CRASHES 4

/** A target that crashed with a request in flight. */
typedef struct
{
  uint32_t target_hash; /**< LimpetTarget.id_hash */
  LimpetMs at_ms;       /**< boot clock of this machine */
} LimpetPartCrash;

/** What routers know of one suspect part. */
typedef struct
{
  uint64_t part;
  uint32_t depth;      /**< index of the part in the prompts in which it was found */
  LimpetMs success_ms; /**< last completed request with the part; 0 if none is known */
  LimpetPartCrash crashes[LIMPET_QUARANTINE_MAX_CRASHES];
  uint32_t crash_count;
  bool is_quarantined;
} LimpetSuspectPart;

/** Callbacks, called from within the functions below; each may be NULL. */
typedef struct
{
  /** A part has been quarantined. Of all routers, only those are called that observed the
   *  last of its crashes. */
  void (*on_quarantined) (void *user, const LimpetSuspectPart *suspect);
  /** A request of this router has cleared a quarantined part. */
  void (*on_cleared) (void *user, uint64_t part);
} LimpetQuarantineOps;

/** Returns a quarantine without parts. \p ops is borrowed. */
LimpetQuarantine *limpet_quarantine_new (const LimpetQuarantineOps *ops, void *user);
void limpet_quarantine_delete (LimpetQuarantine *quarantine);

/** Returns whether one of \p parts is quarantined; if so, sets \p part to it and
 *  \p remaining_ms to the time until requests with it are tried again. */
bool limpet_quarantine_find (const LimpetQuarantine *quarantine,
                             const uint64_t *parts,
                             uint32_t count,
                             LimpetMs now_ms,
                             uint64_t *part,
                             LimpetMs *remaining_ms);

/** Records that a target closed the connection of a request with the shared parts \p
 * parts (in prompt order) before the first event of the response. */
void limpet_quarantine_record_crash (LimpetQuarantine *quarantine,
                                     const uint64_t *parts,
                                     uint32_t count,
                                     uint32_t target_hash,
                                     LimpetMs now_ms);
/** Records that a request with these shared parts was completed. */
void limpet_quarantine_record_success (LimpetQuarantine *quarantine,
                                       const uint64_t *parts,
                                       uint32_t count,
                                       LimpetMs now_ms);

/** Merges a record from another router or from durable storage. */
void limpet_quarantine_receive (LimpetQuarantine *quarantine,
                                const LimpetSuspectPart *received,
                                LimpetMs now_ms);

/** Quarantines the suspects for which there is enough evidence, and forgets old ones. */
void limpet_quarantine_tick (LimpetQuarantine *quarantine, LimpetMs now_ms);

/** Fills \p records with the suspects that have changed since they were last collected,
 *  and returns their number. The rest follows at the next call. */
uint32_t limpet_quarantine_collect_changed (LimpetQuarantine *quarantine,
                                            LimpetSuspectPart *records,
                                            uint32_t max_count);
/** Fills \p records with suspects that have crashes, the quarantined ones first, and
 *  returns their number. */
uint32_t limpet_quarantine_collect_first (const LimpetQuarantine *quarantine,
                                          LimpetSuspectPart *records,
                                          uint32_t max_count);
/** The same, in turn over the calls. */
uint32_t limpet_quarantine_collect_next (LimpetQuarantine *quarantine,
                                         LimpetSuspectPart *records,
                                         uint32_t max_count);
/** Returns the number of quarantined parts. */
uint32_t limpet_quarantine_count (const LimpetQuarantine *quarantine);

#endif
