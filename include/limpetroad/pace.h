#ifndef LIMPETROAD_PACE_H
#define LIMPETROAD_PACE_H

#include "limpetroad/targets.h"

/** \defgroup pace Pace of engines
 *  Finds engines that are slow for seconds, by comparison with the others of their group.
 *
 *  limpet_target_note_gap() with each event → limpet_pace_tick() each
 *  LIMPET_PACE_PERIOD_MS → limpet_pace_is_slow(). Short bursts of unseen neighbours do
 *  not make an engine slow: contexts that leave their home cost more than they.
 */

#define LIMPET_PACE_PERIOD_MS 100

/** Compares the engines of each group; logs each that becomes slow or recovers. */
void limpet_pace_tick (LimpetTargetView *view, LimpetMs now_ms);

/** Returns whether new work should go to other engines. */
bool limpet_pace_is_slow (const LimpetTarget *target);

#endif
