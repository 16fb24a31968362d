#include "limpetroad/emptied_zones.h"

#include "limpetroad/logger.h"

#include <string.h>

/* An operator writes a record again within this time if the registry has lost it. */
#define LOST_RECORD_MS 60000
/* Bytes of the operator's note that are shown. */
#define MAX_NOTE_BYTES 120

typedef struct
{
  LimpetMs since_ms;
  LimpetMs take_back_ms; /* if its record was lost; 0 otherwise */
  char *note;
} Zone;

struct LimpetEmptiedZones
{
  LimpetZoneObserver observer;
  void *user;
  GHashTable *zones; /* name → Zone */
  bool is_restored;  /* the next list is the first one since the registry came back */
};

static void
free_zone (gpointer data)
{
  Zone *zone = data;

  g_free (zone->note);
  g_free (zone);
}

LimpetEmptiedZones *
limpet_emptied_zones_new (LimpetZoneObserver observer, void *user)
{
  LimpetEmptiedZones *zones = g_new0 (LimpetEmptiedZones, 1);

  zones->observer = observer;
  zones->user = user;
  zones->zones = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, free_zone);
  return zones;
}

void
limpet_emptied_zones_delete (LimpetEmptiedZones *zones)
{
  g_hash_table_destroy (zones->zones);
  g_free (zones);
}

void
limpet_emptied_zones_put (LimpetEmptiedZones *zones,
                          const char *name,
                          const char *note,
                          size_t length,
                          LimpetMs now_ms)
{
  Zone *zone = g_hash_table_lookup (zones->zones, name);

  if (zone != NULL)
    {
      zone->take_back_ms = 0;
      return;
    }
  zone = g_new0 (Zone, 1);
  zone->since_ms = now_ms;
  zone->note = g_strndup (note, MIN (length, MAX_NOTE_BYTES));
  /* The note goes into log lines and metrics. */
  g_strcanon (zone->note, G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS " {}[]:,.-_/@+", '?');
  g_hash_table_insert (zones->zones, g_strdup (name), zone);
  limpet_log (LIMPET_LOG_NOTICE, "zone", name, "emptied note=\"%s\"", zone->note);
  zones->observer (zones->user, name, true);
}

static void
take_back (LimpetEmptiedZones *zones, const char *name, const char *cause)
{
  limpet_log (LIMPET_LOG_NOTICE, "zone", name, "taken_back cause=\"%s\"", cause);
  zones->observer (zones->user, name, false);
}

void
limpet_emptied_zones_remove (LimpetEmptiedZones *zones, const char *name)
{
  if (!g_hash_table_contains (zones->zones, name))
    return;
  take_back (zones, name, "its record was removed");
  g_hash_table_remove (zones->zones, name);
}

void
limpet_emptied_zones_restored (LimpetEmptiedZones *zones)
{
  zones->is_restored = true;
}

static void
lose_record (const char *name, Zone *zone, LimpetMs now_ms)
{
  if (zone->take_back_ms > 0)
    return;
  limpet_log (LIMPET_LOG_WARNING, "zone", name,
              "record_lost; stays emptied for %d ms unless it is written again",
              LOST_RECORD_MS);
  zone->take_back_ms = now_ms + LOST_RECORD_MS;
}

void
limpet_emptied_zones_end_list (LimpetEmptiedZones *zones,
                               bool (*is_recorded) (void *user, const char *zone),
                               void *user,
                               LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer name;
  gpointer zone;

  g_hash_table_iter_init (&iter, zones->zones);
  while (g_hash_table_iter_next (&iter, &name, &zone))
    {
      if (is_recorded (user, name))
        continue;
      if (zones->is_restored)
        lose_record (name, zone, now_ms);
      if (((Zone *)zone)->take_back_ms > 0)
        continue;
      take_back (zones, name, "the list lacks its record");
      g_hash_table_iter_remove (&iter);
    }
  zones->is_restored = false;
}

void
limpet_emptied_zones_tick (LimpetEmptiedZones *zones, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer name;
  gpointer zone;

  g_hash_table_iter_init (&iter, zones->zones);
  while (g_hash_table_iter_next (&iter, &name, &zone))
    {
      LimpetMs take_back_ms = ((Zone *)zone)->take_back_ms;

      if (take_back_ms == 0 || now_ms < take_back_ms)
        continue;
      take_back (zones, name, "its lost record was not written again");
      g_hash_table_iter_remove (&iter);
    }
}

void
limpet_emptied_zones_for_each (
    const LimpetEmptiedZones *zones,
    void (*visit) (void *user, const char *zone, LimpetMs since_ms, const char *note),
    void *user)
{
  GHashTableIter iter;
  gpointer name;
  gpointer zone;

  g_hash_table_iter_init (&iter, zones->zones);
  while (g_hash_table_iter_next (&iter, &name, &zone))
    visit (user, name, ((const Zone *)zone)->since_ms, ((const Zone *)zone)->note);
}
