#ifndef LIMPETROAD_EMPTIED_ZONES_H
#define LIMPETROAD_EMPTIED_ZONES_H

#include "limpetroad/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>

/** \defgroup emptied_zones Emptied zones
 *  The availability zones whose targets are to get no requests, as operators have
 *  recorded it (docs/design/emptied-zones.md).
 *
 *  limpet_emptied_zones_new() → limpet_emptied_zones_put() and _remove() with each
 *  record, limpet_emptied_zones_end_list() after each complete list of records,
 *  limpet_emptied_zones_tick() every 100 ms → limpet_emptied_zones_delete(). Belongs to
 *  one thread. Times are monotonic.
 */
typedef struct LimpetEmptiedZones LimpetEmptiedZones;

/** Called when a zone is emptied or taken back. */
typedef void (*LimpetZoneObserver) (void *user, const char *zone, bool is_emptied);

LimpetEmptiedZones *limpet_emptied_zones_new (LimpetZoneObserver observer, void *user);
void limpet_emptied_zones_delete (LimpetEmptiedZones *zones);

/** Records that \p zone is to be emptied. \p note is what the operator wrote, of \p
 * length bytes; it is only shown. */
void limpet_emptied_zones_put (LimpetEmptiedZones *zones,
                               const char *zone,
                               const char *note,
                               size_t length,
                               LimpetMs now_ms);
/** Records that \p zone is taken back. */
void limpet_emptied_zones_remove (LimpetEmptiedZones *zones, const char *zone);
/** The next complete list of records is the first one since the registry came back from a
 *  copy: zones that it lacks stay emptied for a minute. */
void limpet_emptied_zones_restored (LimpetEmptiedZones *zones);
/** Takes the zones back for which \p is_recorded returns false, after a complete list. */
void limpet_emptied_zones_end_list (LimpetEmptiedZones *zones,
                                    bool (*is_recorded) (void *user, const char *zone),
                                    void *user,
                                    LimpetMs now_ms);
/** Takes the zones back whose record was lost a minute ago. */
void limpet_emptied_zones_tick (LimpetEmptiedZones *zones, LimpetMs now_ms);
/** Calls \p visit for each emptied zone, with the time at which this router learned of it
 *  and what the operator wrote. */
void limpet_emptied_zones_for_each (
    const LimpetEmptiedZones *zones,
    void (*visit) (void *user, const char *zone, LimpetMs since_ms, const char *note),
    void *user);

#endif
