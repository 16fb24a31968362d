#ifndef LIMPETROAD_PRIVATE_ORDER_H
#define LIMPETROAD_PRIVATE_ORDER_H

#include "private/call.h"

/* Runs a call that may not be repeated, at most once for its idempotency key, and answers
 * the caller. A key is "TIME-TEXT": the time of issue in ms since the epoch, and 8 to 64
 * letters, digits, '_' or '-'. A key older than the order window is refused: whether it
 * has run is no longer known. */
void limpet_order_run (LimpetCall *call);

/* Reads the time of issue; returns false for a malformed key. */
bool limpet_order_parse_key (const char *key, LimpetMs *issued_ms);

#endif
