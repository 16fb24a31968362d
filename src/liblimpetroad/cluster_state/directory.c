#include "limpetroad/directory.h"

#include "limpetroad/logger.h"

#include <string.h>

/* Entries that expired during an outage of the registry are written again within about
 * two seconds of its recovery (service discovery section of the users' protocol page). */
#define REREGISTRATION_MS 2300
/* Entries that the registry lost are written again within about two seconds of its
 * return. The users' rules apply to a router again three seconds after that return, of
 * which it learns within 1.2 s; until then a target that has left must be gone. */
#define LOST_ENTRY_MS 1700
/* An entry expires after three heartbeat intervals without a write, and its last write
 * may be one interval old when an outage begins. So no entry expires in an outage that is
 * shorter than this number of intervals. */
#define MIN_OUTAGE_HEARTBEATS 2
/* Entries that expire in an outage do so together. If no more than this part of all
 * entries is missing after an outage, the missing targets have left. */
#define MASS_EXPIRY_RATIO 0.25
/* A write arrives at most some seconds late, and a target writes once a heartbeat. */
#define MAX_LATE_WRITES 100
/* For this time after the removal of a target, its stale entries can still arrive. */
#define TOMBSTONE_LIFE_MS 60000
/* A cold time that ends later by less is the same one: writes take different times to
 * arrive. */
#define MIN_COLD_GAIN_MS 1000

typedef struct
{
  LimpetVm vm;
  int64_t sequence;
  int64_t late_sequence; /* of the last write taken for a late one; 0 if none */
  LimpetMs remove_at_ms; /* when a missing entry is removed; 0 if it is not missing */
  bool is_listed;        /* was put since limpet_directory_begin_list() */
  bool is_tombstone;     /* removed; kept only to recognise stale entries */
  bool is_lost;          /* missing since the registry came back from a copy */
} Entry;

struct LimpetDirectory
{
  GHashTable *entries; /* id → Entry */
  LimpetMs heartbeat_ms;
  LimpetMs outage_start_ms; /* of the current outage of the registry; 0 if none */
  LimpetMs recovered_ms;    /* end of the last outage long enough to expire entries */
  bool is_restored; /* the next list is the first one since it came back from a copy */
  bool is_changed;
};

LimpetDirectory *
limpet_directory_new (LimpetMs heartbeat_ms)
{
  LimpetDirectory *directory = g_new0 (LimpetDirectory, 1);

  directory->heartbeat_ms = heartbeat_ms;
  directory->entries = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return directory;
}

void
limpet_directory_delete (LimpetDirectory *directory)
{
  if (directory == NULL)
    return;
  g_hash_table_destroy (directory->entries);
  g_free (directory);
}

/* Returns whether sequence is that of a write that arrived late. One that is much lower
 * is not, nor is the next one after another late one while the entry is not missing: the
 * higher one was written by somebody else than the target, which goes on with its own. */
static bool
is_late_write (const Entry *entry, int64_t sequence)
{
  bool goes_on = entry->late_sequence > 0 && sequence > entry->late_sequence
                 && entry->remove_at_ms == 0;

  return sequence < entry->sequence && entry->sequence - sequence <= MAX_LATE_WRITES
         && !goes_on;
}

/* Returns whether vm is older than the known entry. Within an incarnation, a missing
 * entry is replaced only by one with a higher sequence: an entry with the same sequence
 * was written before it went missing, unless it was lost and is written again. */
static bool
is_stale (const Entry *entry, const LimpetVm *vm, int64_t sequence)
{
  if (vm->incarnation != entry->vm.incarnation)
    return vm->incarnation < entry->vm.incarnation;
  return is_late_write (entry, sequence)
         || (sequence == entry->sequence && entry->remove_at_ms > 0 && !entry->is_lost);
}

/* A target that leaves does not come back in its incarnation, however late that is told.
 */
static void
put_stale (LimpetDirectory *directory, Entry *entry, const LimpetVm *vm, int64_t sequence)
{
  if (vm->incarnation == entry->vm.incarnation)
    entry->late_sequence = sequence;
  if (vm->leaving && !entry->is_tombstone && limpet_vm_has_same_address (&entry->vm, vm))
    limpet_directory_mark_leaving (directory, vm->id, vm->incarnation);
}

/* Returns whether the target has become cold since the last write. The same write may be
 * read again later, and while a target is cold each write says so. */
static bool
becomes_cold (const Entry *entry, const LimpetVm *vm, int64_t sequence)
{
  return sequence != entry->sequence
         && vm->cold_until_ms > entry->vm.cold_until_ms + MIN_COLD_GAIN_MS;
}

void
limpet_directory_put (LimpetDirectory *directory, const LimpetVm *vm, int64_t sequence)
{
  Entry *entry = g_hash_table_lookup (directory->entries, vm->id);
  bool stays_leaving;
  bool keeps_cold;
  LimpetMs cold_until_ms;

  if (entry != NULL && is_stale (entry, vm, sequence))
    {
      entry->is_listed = entry->remove_at_ms == 0;
      put_stale (directory, entry, vm, sequence);
      return;
    }
  if (entry == NULL)
    {
      entry = g_new0 (Entry, 1);
      entry->is_tombstone = true; /* so that it counts as a change below */
      g_hash_table_insert (directory->entries, g_strdup (vm->id), entry);
    }
  stays_leaving = entry->vm.leaving && entry->vm.incarnation == vm->incarnation
                  && limpet_vm_has_same_address (&entry->vm, vm);
  if (entry->is_tombstone || !limpet_vm_is_same (&entry->vm, vm)
      || entry->vm.leaving != vm->leaving || becomes_cold (entry, vm, sequence))
    directory->is_changed = true;
  if (entry->remove_at_ms > 0)
    limpet_log (LIMPET_LOG_NOTICE, "directory", vm->id,
                "missing entry was written again");
  cold_until_ms = entry->vm.cold_until_ms;
  keeps_cold = !entry->is_tombstone && entry->vm.incarnation == vm->incarnation
               && !becomes_cold (entry, vm, sequence);
  *entry = (Entry){ .vm = *vm, .sequence = sequence, .is_listed = true };
  if (keeps_cold)
    entry->vm.cold_until_ms = cold_until_ms;
  entry->vm.leaving = vm->leaving || stays_leaving;
}

void
limpet_directory_mark_leaving (LimpetDirectory *directory,
                               const char *id,
                               int64_t incarnation)
{
  Entry *entry = g_hash_table_lookup (directory->entries, id);

  if (entry == NULL || entry->vm.incarnation != incarnation || entry->vm.leaving)
    return;
  entry->vm.leaving = true;
  directory->is_changed = true;
}

void
limpet_directory_keep (LimpetDirectory *directory, const char *id)
{
  Entry *entry = g_hash_table_lookup (directory->entries, id);

  if (entry != NULL && entry->remove_at_ms == 0)
    entry->is_listed = true;
}

static void
set_missing (LimpetDirectory *directory,
             Entry *entry,
             LimpetMs remove_at_ms,
             LimpetMs now_ms)
{
  directory->is_changed = true;
  entry->remove_at_ms = remove_at_ms;
  limpet_log (LIMPET_LOG_NOTICE, "directory", entry->vm.id,
              "entry missing from the registry; kept for up to %ld ms",
              (long)(remove_at_ms - now_ms));
}

static void
remove_entry (LimpetDirectory *directory, Entry *entry, LimpetMs now_ms)
{
  LimpetMs keep_until_ms = directory->recovered_ms + REREGISTRATION_MS;
  bool is_kept = directory->recovered_ms > 0 && now_ms < keep_until_ms
                 && !entry->vm.leaving && !entry->is_lost;

  if (entry->remove_at_ms > 0 && !entry->is_lost)
    return;
  entry->is_lost = false;
  set_missing (directory, entry, is_kept ? keep_until_ms : now_ms, now_ms);
}

/* Keeps an entry that the copy lacks until the target has had time to write it again,
 * unless the target is leaving. */
static void
lose_entry (LimpetDirectory *directory, Entry *entry, LimpetMs now_ms)
{
  if (entry->remove_at_ms > 0)
    return;
  entry->is_lost = !entry->vm.leaving;
  set_missing (directory, entry, entry->is_lost ? now_ms + LOST_ENTRY_MS : now_ms,
               now_ms);
}

void
limpet_directory_remove (LimpetDirectory *directory, const char *id, LimpetMs now_ms)
{
  Entry *entry = g_hash_table_lookup (directory->entries, id);

  if (entry != NULL)
    remove_entry (directory, entry, now_ms);
}

void
limpet_directory_begin_list (LimpetDirectory *directory)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    ((Entry *)entry)->is_listed = false;
}

void
limpet_directory_end_list (LimpetDirectory *directory, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    if (!((Entry *)entry)->is_listed && directory->is_restored)
      lose_entry (directory, entry, now_ms);
    else if (!((Entry *)entry)->is_listed && !((Entry *)entry)->is_lost)
      remove_entry (directory, entry, now_ms);
  directory->is_restored = false;
}

void
limpet_directory_registry_restored (LimpetDirectory *directory)
{
  directory->is_restored = true;
}

void
limpet_directory_registry_lost (LimpetDirectory *directory, LimpetMs now_ms)
{
  if (directory->outage_start_ms == 0)
    directory->outage_start_ms = now_ms;
}

void
limpet_directory_registry_recovered (LimpetDirectory *directory, LimpetMs now_ms)
{
  LimpetMs outage_ms
      = directory->outage_start_ms > 0 ? now_ms - directory->outage_start_ms : 0;

  directory->outage_start_ms = 0;
  if (outage_ms >= MIN_OUTAGE_HEARTBEATS * directory->heartbeat_ms)
    directory->recovered_ms = now_ms;
}

/* Returns whether more than MASS_EXPIRY_RATIO of the entries are missing, which shows
 * that they expired in an outage. */
static bool
is_mass_expiry (const LimpetDirectory *directory)
{
  uint32_t missing = 0;
  uint32_t all = 0;
  GHashTableIter iter;
  gpointer entry;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    {
      missing += ((Entry *)entry)->remove_at_ms > 0 && !((Entry *)entry)->is_tombstone;
      all += !((Entry *)entry)->is_tombstone;
    }
  return missing > MASS_EXPIRY_RATIO * all;
}

bool
limpet_directory_is_changed (LimpetDirectory *directory, LimpetMs now_ms)
{
  bool mass_expiry = is_mass_expiry (directory);
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      Entry *entry = value;

      if (entry->is_tombstone && now_ms - entry->remove_at_ms > TOMBSTONE_LIFE_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (entry->is_tombstone || entry->remove_at_ms == 0
          || ((mass_expiry || entry->is_lost) && now_ms < entry->remove_at_ms))
        continue;
      limpet_log (LIMPET_LOG_NOTICE, "directory", entry->vm.id, "dropped");
      entry->is_tombstone = true;
      directory->is_changed = true;
    }
  return directory->is_changed;
}

void
limpet_directory_build (LimpetDirectory *directory, LimpetVmList *list)
{
  GHashTableIter iter;
  gpointer entry;

  list->count = 0;
  list->vms = g_new0 (LimpetVm, g_hash_table_size (directory->entries) + 1);
  g_hash_table_iter_init (&iter, directory->entries);
  while (g_hash_table_iter_next (&iter, NULL, &entry))
    if (!((Entry *)entry)->is_tombstone)
      list->vms[list->count++] = ((Entry *)entry)->vm;
  directory->is_changed = false;
}
