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
  pthread_cond_t changed;
  bool stopping;
  bool woken;
  bool started;
  void (*run) (void *user);
  void *user;
} LimpetWorker;

void limpet_worker_start (LimpetWorker *worker, void (*run) (void *user), void *user);

/* Waits for duration_ms, until limpet_worker_wake() or until limpet_worker_stop().
 * Returns false if the worker has to stop. */
bool limpet_worker_wait (LimpetWorker *worker, LimpetMs duration_ms);
bool limpet_worker_is_stopping (LimpetWorker *worker);

/* Ends the present limpet_worker_wait(), or else the next one. */
void limpet_worker_wake (LimpetWorker *worker);

/* Stops and joins the thread; does nothing if it was not started. */
void limpet_worker_stop (LimpetWorker *worker);

#endif
