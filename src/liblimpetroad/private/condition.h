#ifndef LIMPETROAD_PRIVATE_CONDITION_H
#define LIMPETROAD_PRIVATE_CONDITION_H

#include "limpetroad/clock.h"

#include <pthread.h>
#include <stdbool.h>

/* Condition variables that wait by the monotonic clock. */

void limpet_condition_init (pthread_cond_t *condition);

/* Waits for a signal until until_ms (monotonic); returns false when that time has come.
 */
bool limpet_condition_wait_until (pthread_cond_t *condition,
                                  pthread_mutex_t *lock,
                                  LimpetMs until_ms);

#endif
