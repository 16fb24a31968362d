#include "private/worker.h"

#include "private/condition.h"

static void *
run_worker (void *user)
{
  LimpetWorker *worker = user;

  worker->run (worker->user);
  return NULL;
}

void
limpet_worker_start (LimpetWorker *worker, void (*run) (void *user), void *user)
{
  pthread_mutex_init (&worker->lock, NULL);
  limpet_condition_init (&worker->changed);
  worker->stopping = false;
  worker->woken = false;
  worker->run = run;
  worker->user = user;
  worker->started = pthread_create (&worker->thread, NULL, run_worker, worker) == 0;
}

bool
limpet_worker_wait (LimpetWorker *worker, LimpetMs duration_ms)
{
  LimpetMs until_ms = limpet_clock_mono_ms () + duration_ms;
  bool running;

  pthread_mutex_lock (&worker->lock);
  while (!worker->stopping && !worker->woken && limpet_clock_mono_ms () < until_ms)
    limpet_condition_wait_until (&worker->changed, &worker->lock, until_ms);
  worker->woken = false;
  running = !worker->stopping;
  pthread_mutex_unlock (&worker->lock);
  return running;
}

bool
limpet_worker_is_stopping (LimpetWorker *worker)
{
  bool stopping;

  pthread_mutex_lock (&worker->lock);
  stopping = worker->stopping;
  pthread_mutex_unlock (&worker->lock);
  return stopping;
}

void
limpet_worker_wake (LimpetWorker *worker)
{
  pthread_mutex_lock (&worker->lock);
  worker->woken = true;
  pthread_cond_signal (&worker->changed);
  pthread_mutex_unlock (&worker->lock);
}

void
limpet_worker_stop (LimpetWorker *worker)
{
  if (!worker->started)
    return;
  pthread_mutex_lock (&worker->lock);
  worker->stopping = true;
  pthread_cond_signal (&worker->changed);
  pthread_mutex_unlock (&worker->lock);
  pthread_join (worker->thread, NULL);
  pthread_cond_destroy (&worker->changed);
  pthread_mutex_destroy (&worker->lock);
  worker->started = false;
}
