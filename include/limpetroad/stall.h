#ifndef LIMPETROAD_STALL_H
#define LIMPETROAD_STALL_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup stall Stalled streams
 *  Decides when a stream of tokens has stalled and is to be continued at another target.
 *  Only tokens count as progress: a target in trouble may still send a byte now and then.
 *  A stream that is slow but sound is told apart by its own earlier gaps and by those of
 *  its target, and the limit grows with each stall of the chat, so that a chat whose
 * targets are all slow is served in the end.
 */
typedef struct
{
  LimpetMs silent_ms;      /**< since the last byte */
  LimpetMs tokenless_ms;   /**< since the last token, or since the attempt began */
  LimpetMs longest_gap_ms; /**< between tokens of this stream so far */
  double usual_gap_ms;     /**< between tokens of the target; 0 if it is not known */
  uint32_t stalls;         /**< of the chat so far */
  /** No token has come yet. The target sends comments while the request waits. */
  bool is_waiting;
  /** The caller has no token either, so that the deadline ends the wait. */
  bool has_deadline;
} LimpetStallProgress;

/** Returns the time until the stream counts as stalled if nothing more arrives; 0 if it
 *  does now. */
LimpetMs limpet_stall_remaining_ms (const LimpetStallProgress *progress);

#endif
