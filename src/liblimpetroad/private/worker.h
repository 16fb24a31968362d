#ifndef LIMPETROAD_PRIVATE_WORKER_H
#define LIMPETROAD_PRIVATE_WORKER_H

#include "limpetroad/clock.h"

#include <pthread.h>
#include <stdbool.h>

/* A thread that runs until it is told to stop. */
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

/* Waits for duration_ms, for limpet_worker_wake() or for the stop; false means stop. */
bool limpet_worker_wait (LimpetWorker *worker, LimpetMs duration_ms);
bool limpet_worker_is_stopping (LimpetWorker *worker);
void limpet_worker_wake (LimpetWorker *worker);

/* Stops and joins the thread. */
void limpet_worker_stop (LimpetWorker *worker);

#endif
