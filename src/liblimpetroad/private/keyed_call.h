#ifndef LIMPETROAD_PRIVATE_KEYED_CALL_H
#define LIMPETROAD_PRIVATE_KEYED_CALL_H

#include "private/request.h"

/* Runs a call that is not idempotent and sends the response. A call runs at most once for
 * each combination of team, service and idempotency key. A key is "TIME-TEXT": the time
 * of issue in ms since the epoch, and 8 to 64 letters, digits, '_' or '-'. A key older
 * than the fleet's order_window_ms, or than a quarter of the log's retention time, is
 * refused, because the log may no longer hold the record of an earlier run. */
void limpet_keyed_call_run (LimpetRequest *call);

/* Fills issued_ms with the time of issue; returns false for a malformed key. */
bool limpet_idempotency_key_parse (const char *key, LimpetMs *issued_ms);

#endif
