#ifndef LIMPETROAD_PRIVATE_CONDITION_H
#define LIMPETROAD_PRIVATE_CONDITION_H

#include "limpetroad/clock.h"

#include <pthread.h>
#include <stdbool.h>

/* Condition variables whose timeouts use the monotonic clock, so that setting the wall
 * clock does not change a timeout. */

void limpet_condition_init (pthread_cond_t *condition);

/* Waits for a signal until until_ms of the monotonic clock; the caller holds lock.
 * Returns false on timeout, and may return true without a signal. */
bool limpet_condition_wait_until (pthread_cond_t *condition,
                                  pthread_mutex_t *lock,
                                  LimpetMs until_ms);

#endif
