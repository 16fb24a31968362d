#ifndef LIMPETROAD_READ_HEDGE_H
#define LIMPETROAD_READ_HEDGE_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup read_hedge Hedged reads
 *  Decides when a read that gets no response is late: it is then attempted again on
 *  another connection, although it has not failed yet, or its result is asked of another
 *  source. How late the result is then does not depend on a single response.
 *
 *  Zero-initialise; there is nothing to free. Opens no connections.
 */
typedef struct
{
  LimpetMs usual_wait_ms; /**< until responses began lately */
} LimpetReadHedge;

/** A read under way. */
typedef struct
{
  uint32_t attempts;   /**< made so far */
  LimpetMs elapsed_ms; /**< since the first attempt began */
  LimpetMs silent_ms;  /**< since an attempt began or got a byte of its response */
} LimpetReadProgress;

/** Returns whether a further attempt is to be made. */
bool limpet_read_hedge_needs_attempt (const LimpetReadHedge *hedge,
                                      const LimpetReadProgress *progress);
/** Returns whether the response is late: it has not begun, pauses or arrives slowly. */
bool limpet_read_hedge_is_late (const LimpetReadHedge *hedge,
                                const LimpetReadProgress *progress);
/** Records that a response began \p wait_ms after its request. */
void limpet_read_hedge_record_wait (LimpetReadHedge *hedge, LimpetMs wait_ms);

#endif
