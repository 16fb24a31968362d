#ifndef LIMPETROAD_PRIVATE_SUSPECT_H
#define LIMPETROAD_PRIVATE_SUSPECT_H

#include "limpetroad/quarantine.h"

/* The crashes in the record of a suspect. */

bool limpet_suspect_is_request (const LimpetSuspect *suspect);
/* Returns the key of the suspect's id in log lines. */
const char *limpet_suspect_log_key (const LimpetSuspect *suspect);
/* Return the time of a crash; 0 if there is none. */
LimpetMs limpet_suspect_first_crash_ms (const LimpetSuspect *suspect);
LimpetMs limpet_suspect_last_crash_ms (const LimpetSuspect *suspect);
bool limpet_suspect_has_crash_of (const LimpetSuspect *suspect, uint32_t target_hash);
/* Replaces the oldest crash if the record is full. */
void limpet_suspect_add_crash (LimpetSuspect *suspect, const LimpetSuspectCrash *crash);
/* Removes the crashes for which is_removed returns true, but for the first kept_count of
 * them. Returns whether any was removed. */
bool limpet_suspect_remove_crashes (LimpetSuspect *suspect,
                                    uint32_t kept_count,
                                    bool (*is_removed) (const LimpetSuspectCrash *crash,
                                                        const void *data),
                                    const void *data);

#endif
