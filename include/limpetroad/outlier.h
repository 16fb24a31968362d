#ifndef LIMPETROAD_OUTLIER_H
#define LIMPETROAD_OUTLIER_H

#include "limpetroad/targets.h"

/** \defgroup outlier Slow engines
 *  Outlier detection: finds engines that stay slower than their group for several
 *  seconds.
 *
 *  limpet_target_record_token_gap_ms() with each event → limpet_outlier_tick() each
 *  LIMPET_OUTLIER_PERIOD_MS → limpet_outlier_is_slow(). An engine is not marked as
 *  slow because of a short slowdown that a noisy neighbour causes: the slowdown costs
 *  less than moving the engine's contexts to engines that have not cached them.
 */

/** Period of limpet_outlier_tick(). */
#define LIMPET_OUTLIER_PERIOD_MS 100

/** Compares the time between events of the engines of each group, and logs each engine
 *  that becomes slow or recovers. \p now_ms is monotonic. Call it from the dispatcher's
 *  thread. */
void limpet_outlier_tick (LimpetTargetView *view, LimpetMs now_ms);

/** Returns whether the engine is slow, so that new calls should go to other engines. */
bool limpet_outlier_is_slow (const LimpetTarget *target);

#endif
