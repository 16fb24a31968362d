#ifndef LIMPETROAD_DIRECTORY_H
#define LIMPETROAD_DIRECTORY_H

#include "limpetroad/clock.h"
#include "limpetroad/vm_list.h"

#include <glib.h>

/** \defgroup directory Directory of targets
 *  Builds the list of targets from the entries that targets write to a registry.
 *
 *  limpet_directory_new() → limpet_directory_put(), _remove(), _registry_lost() and
 *  _registry_recovered() with each event of the registry, _begin_list() and _end_list()
 *  around the entries of a complete list → limpet_directory_build() when
 *  limpet_directory_is_changed() returns true → limpet_directory_delete(). Not
 *  thread-safe.
 *
 *  Entries expire while the registry is unreachable, and targets write them again soon
 *  after it recovers. If many entries are missing shortly after a recovery, they are
 *  therefore kept until the targets have had time to write them again. If few are
 *  missing, those targets have left and are removed at once.
 *
 *  All times are of the monotonic clock (limpet_clock_mono_ms()).
 */
typedef struct LimpetDirectory LimpetDirectory;

/** Returns an empty directory. \p heartbeat_ms is the interval at which each target
 *  writes its entry. */
LimpetDirectory *limpet_directory_new (LimpetMs heartbeat_ms);
void limpet_directory_delete (LimpetDirectory *directory);

/** Adds or replaces the entry of \p vm->id. \p sequence increases with each entry that
 *  one incarnation of the target writes. Stale entries, which can arrive after newer ones
 *  or after the removal, are ignored. An incarnation that was marked as leaving stays so.
 */
void
limpet_directory_put (LimpetDirectory *directory, const LimpetVm *vm, int64_t sequence);
/** Marks an incarnation of a target as leaving, because it has said so itself. Later
 *  entries do not undo it. */
void limpet_directory_mark_leaving (LimpetDirectory *directory,
                                    const char *id,
                                    int64_t incarnation);
/** Records that the registry has something under \p id that cannot be used: what is known
 *  of the target stays. */
void limpet_directory_keep (LimpetDirectory *directory, const char *id);
/** Records that the registry no longer has the entry of \p id. The next
 *  limpet_directory_is_changed() removes the entry; shortly after an outage, it may be
 *  kept for a while, see above. */
void
limpet_directory_remove (LimpetDirectory *directory, const char *id, LimpetMs now_ms);
/** Begins a complete list of the entries in the registry. limpet_directory_end_list()
 *  handles the entries that were not put in between like limpet_directory_remove(). */
void limpet_directory_begin_list (LimpetDirectory *directory);
void limpet_directory_end_list (LimpetDirectory *directory, LimpetMs now_ms);

/** Records that the registry did not respond. Repeated calls during one outage do not
 *  change its start. */
void limpet_directory_registry_lost (LimpetDirectory *directory, LimpetMs now_ms);
/** Records that the registry responds again. Call it before putting or removing entries
 *  that changed in the meantime. */
void limpet_directory_registry_recovered (LimpetDirectory *directory, LimpetMs now_ms);

/** Records that the registry has come back from a copy: entries that are missing from the
 *  next list are kept until the targets have had time to write them again. */
void limpet_directory_registry_restored (LimpetDirectory *directory);

/** Removes the missing entries that need not be kept any longer. Returns whether the list
 *  has changed since the last limpet_directory_build(). */
bool limpet_directory_is_changed (LimpetDirectory *directory, LimpetMs now_ms);
/** Fills \p list with the targets, unordered; the caller frees it with
 *  limpet_vm_list_clear(). */
void limpet_directory_build (LimpetDirectory *directory, LimpetVmList *list);

#endif
