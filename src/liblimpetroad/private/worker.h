#ifndef LIMPETROAD_PRIVATE_WORKER_H
#define LIMPETROAD_PRIVATE_WORKER_H

#include "limpetroad/clock.h"

#include <pthread.h>
#include <stdbool.h>

/* A thread that runs a function until limpet_worker_stop(). The function returns when
 * limpet_worker_wait() returns false. */
typedef struct
{
  pthread_t thread;
  pthread_mutex_t lock;
  pthread_cond_t changed; /* signalled when stopping or woken is set */
  bool stopping;
  bool woken;
  bool started;
  void (*run) (void *user);
  void *user;
} LimpetWorker;

void limpet_worker_start (LimpetWorker *worker, void (*run) (void *user), void *user);

/* Waits for duration_ms, or less if limpet_worker_wake() or limpet_worker_stop() is
 * called. Returns false if the worker must stop. */
bool limpet_worker_wait (LimpetWorker *worker, LimpetMs duration_ms);
bool limpet_worker_is_stopping (LimpetWorker *worker);

/* Ends the current limpet_worker_wait(), or the next one if none is active. */
void limpet_worker_wake (LimpetWorker *worker);

/* Stops and joins the thread; does nothing if it was not started. */
void limpet_worker_stop (LimpetWorker *worker);

#endif
