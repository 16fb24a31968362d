#ifndef LIMPETROAD_DIRECTORY_H
#define LIMPETROAD_DIRECTORY_H

#include "limpetroad/clock.h"
#include "limpetroad/vm_list.h"

#include <glib.h>

/** \defgroup directory Directory of targets
 *  Decides which targets exist, from entries that come and go in a registry.
 *
 *  limpet_directory_new() → _put(), _remove() and _source_lost(), _source_back() as the
 *  source tells → limpet_directory_build() when limpet_directory_is_changed() → delete.
 *
 *  Entries lapse while their registry is away, and are written again soon after it is
 *  back. So where many entries are missing shortly after the source came back, they are
 *  held until they could have returned; few missing ones have left.
 */
typedef struct LimpetDirectory LimpetDirectory;

/** \p beat_ms: time between two writes of an entry by its target. */
LimpetDirectory *limpet_directory_new (LimpetMs beat_ms);
void limpet_directory_delete (LimpetDirectory *directory);

/** Adds or replaces the entry of \p vm->id. \p sequence grows with each entry that one
 *  start of the target writes; late entries, which may come after newer ones or after the
 *  removal, are ignored. A target that said it leaves does so for this start. */
void
limpet_directory_put (LimpetDirectory *directory, const LimpetVm *vm, int64_t sequence);
/** The registry has no entry of \p id any more. */
void
limpet_directory_remove (LimpetDirectory *directory, const char *id, LimpetMs now_ms);
/** Begins a complete list: what is not put until _end_list() is removed. */
void limpet_directory_begin_list (LimpetDirectory *directory);
void limpet_directory_end_list (LimpetDirectory *directory, LimpetMs now_ms);

/** The source did not answer. */
void limpet_directory_source_lost (LimpetDirectory *directory, LimpetMs now_ms);
/** The source answers again; comes before the entries that were written meanwhile. */
void limpet_directory_source_back (LimpetDirectory *directory, LimpetMs now_ms);

/** Drops held entries whose time is over; returns whether the list changed since the last
 *  limpet_directory_build(). */
bool limpet_directory_is_changed (LimpetDirectory *directory, LimpetMs now_ms);
/** Fills \p list, which limpet_vm_list_clear() frees. */
void limpet_directory_build (LimpetDirectory *directory, LimpetVmList *list);

#endif
