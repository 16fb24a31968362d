#ifndef LIMPETROAD_PRIVATE_CALL_DURATIONS_H
#define LIMPETROAD_PRIVATE_CALL_DURATIONS_H

#include "limpetroad/clock.h"

/* The longest recent calls of each route, to tell whether a call will end before this
 * router stops. Not thread-safe. */
typedef struct LimpetCallDurations LimpetCallDurations;

LimpetCallDurations *limpet_call_durations_new (void);
void limpet_call_durations_delete (LimpetCallDurations *durations);

/* Records how long a call took from its first send to its end. */
void limpet_call_durations_record (LimpetCallDurations *durations,
                                   const char *route,
                                   LimpetMs duration_ms,
                                   LimpetMs now_ms);
/* Returns the longest duration of the last half a minute at least; -1 if none is known.
 */
LimpetMs limpet_call_durations_longest (const LimpetCallDurations *durations,
                                        const char *route,
                                        LimpetMs now_ms);

#endif
