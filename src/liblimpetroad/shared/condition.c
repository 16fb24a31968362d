#include "private/condition.h"

void
limpet_condition_init (pthread_cond_t *condition)
{
  pthread_condattr_t attributes;

  pthread_condattr_init (&attributes);
  pthread_condattr_setclock (&attributes, CLOCK_MONOTONIC);
  pthread_cond_init (condition, &attributes);
  pthread_condattr_destroy (&attributes);
}

bool
limpet_condition_wait_until (pthread_cond_t *condition,
                             pthread_mutex_t *lock,
                             LimpetMs until_ms)
{
  struct timespec until
      = { .tv_sec = until_ms / 1000, .tv_nsec = until_ms % 1000 * 1000000 };

  return pthread_cond_timedwait (condition, lock, &until) == 0;
}
