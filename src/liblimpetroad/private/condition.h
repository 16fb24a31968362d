#ifndef LIMPETROAD_PRIVATE_CONDITION_H
#define LIMPETROAD_PRIVATE_CONDITION_H

#include "limpetroad/clock.h"

#include <pthread.h>
#include <stdbool.h>

/* Condition variables whose timeouts use the monotonic clock, so that a step of the wall
 * clock changes no timeout. */

void limpet_condition_init (pthread_cond_t *condition);

/* Waits for a signal, at the latest until until_ms of the monotonic clock. Returns false
 * on timeout. */
bool limpet_condition_wait_until (pthread_cond_t *condition,
                                  pthread_mutex_t *lock,
                                  LimpetMs until_ms);

#endif
