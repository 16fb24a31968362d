#include "private/bundle_controller.h"

#include "limpetroad/counters.h"
#include "limpetroad/log_client.h"
#include "limpetroad/logger.h"
#include "private/worker.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <urcu-bp.h>

/* Time that a read at the end of the stream waits for a new record. */
#define READ_WAIT_MS 2500
#define RETRY_MS 200
/* Divisors of the log's retention time. A checkpoint is due when the newest record of the
 * bundle in force is older than retention / CHECKPOINT_AGE_DIVISOR. Between two checks,
 * each router waits for a random time between once and twice
 * retention / CHECKPOINT_CHECK_DIVISOR. */
#define CHECKPOINT_AGE_DIVISOR 4
#define CHECKPOINT_CHECK_DIVISOR 40
#define MAX_ACTIVATIONS 64

/* A version that this process put in force, kept for the dump. */
typedef struct
{
  int64_t version;
  LimpetMs wall_ms;
} Activation;

struct LimpetBundleController
{
  LimpetController parent;
  char *log_url;
  LimpetWorker reader;
  LimpetWorker writer;
  pthread_mutex_t lock; /* guards the fields below */
  LimpetBundleHistory *history;
  int64_t next_offset;
  /* Wall-clock time of the newest record that put a bundle in force or had no effect,
   * such as another router's checkpoint of the bundle in force. */
  LimpetMs last_record_ms;
  LimpetMs retention_ms;
  bool log_is_up;
  Activation activations[MAX_ACTIVATIONS];
  uint32_t activations_count;
  LimpetBundle *published; /* protected by RCU, replaced under lock */
};

static void
publish_locked (LimpetBundleController *self)
{
  LimpetBundle *current = limpet_bundle_history_current (self->history);
  LimpetBundle *old = self->published;

  if (current == old || current->version == 0)
    return;
  rcu_assign_pointer (self->published, limpet_bundle_ref (current));
  self->activations[self->activations_count++ % MAX_ACTIVATIONS]
      = (Activation){ .version = current->version, .wall_ms = limpet_clock_wall_ms () };
  limpet_counter_add (LIMPET_COUNTER_BUNDLE_ROLLS, 1);
  limpet_log (LIMPET_LOG_NOTICE, "bundle", NULL,
              "version %" PRId64 " is in force, root %.16s", current->version,
              current->root);
  /* Waits for readers that have loaded the old pointer but not yet taken a reference. */
  urcu_bp_synchronize_rcu ();
  limpet_bundle_unref (old);
}

LimpetBundle *
limpet_bundle_controller_get (LimpetBundleController *self)
{
  LimpetBundle *bundle;

  urcu_bp_read_lock ();
  bundle = rcu_dereference (self->published);
  if (bundle != NULL)
    bundle = limpet_bundle_ref (bundle);
  urcu_bp_read_unlock ();
  return bundle;
}

int64_t
limpet_bundle_controller_version (LimpetBundleController *self)
{
  LimpetBundle *bundle = limpet_bundle_controller_get (self);
  int64_t version = bundle != NULL ? bundle->version : 0;

  limpet_bundle_unref (bundle);
  return version;
}

LimpetStatus
limpet_bundle_controller_adopt (LimpetBundleController *self,
                                const LimpetBundleProof *proof,
                                int64_t base_version,
                                const LimpetPart *changes,
                                uint32_t count,
                                LimpetError *error)
{
  LimpetStatus status;

  pthread_mutex_lock (&self->lock);
  status = limpet_bundle_history_adopt (self->history, proof, base_version, changes,
                                        count, error);
  if (status == LIMPET_STATUS_OK)
    {
      limpet_counter_add (LIMPET_COUNTER_BUNDLE_FROM_PEER, 1);
      publish_locked (self);
    }
  pthread_mutex_unlock (&self->lock);
  return status;
}

int64_t
limpet_bundle_controller_changes_since (LimpetBundleController *self,
                                        int64_t base_version,
                                        LimpetBundleProof *proof,
                                        LimpetPart **changes,
                                        uint32_t *count)
{
  int64_t base;

  pthread_mutex_lock (&self->lock);
  *proof = *limpet_bundle_history_proof (self->history);
  base
      = limpet_bundle_history_changes_since (self->history, base_version, changes, count);
  pthread_mutex_unlock (&self->lock);
  return base;
}

static void
log_rejection (LimpetBundleEvent event, int64_t offset, const LimpetError *error)
{
  if (event == LIMPET_BUNDLE_EVENT_REJECTED || event == LIMPET_BUNDLE_EVENT_GAP)
    {
      limpet_counter_add (LIMPET_COUNTER_BUNDLE_REJECTED, 1);
      limpet_log (LIMPET_LOG_WARNING, "bundle", "log", "record %" PRId64 " %s: %s",
                  offset, limpet_bundle_event_string[event], error->message);
    }
}

static void
apply_batch (LimpetBundleController *self, const LimpetLogBatch *batch)
{
  pthread_mutex_lock (&self->lock);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const LimpetLogRecord *record = &batch->records[i];
      LimpetError error;
      LimpetBundleEvent event;

      event = limpet_bundle_history_apply (self->history, record->offset, record->time_ms,
                                           record->data, record->length, &error);
      log_rejection (event, record->offset, &error);
      if (event == LIMPET_BUNDLE_EVENT_ROLLED || event == LIMPET_BUNDLE_EVENT_CHECKPOINT
          || event == LIMPET_BUNDLE_EVENT_NONE)
        self->last_record_ms = record->time_ms;
      self->next_offset = MAX (self->next_offset, record->offset + 1);
    }
  /* At the start a batch may contain many old bundles; only the newest is published. */
  publish_locked (self);
  /* Skips records that expired before they were read. */
  if (batch->count == 0)
    self->next_offset = MAX (self->next_offset, batch->first_offset);
  pthread_mutex_unlock (&self->lock);
}

static void
set_log_state (LimpetBundleController *self, bool up, const LimpetError *error)
{
  pthread_mutex_lock (&self->lock);
  if (self->log_is_up != up)
    limpet_log (up ? LIMPET_LOG_NOTICE : LIMPET_LOG_WARNING, "bundle", "log",
                up ? "log is reachable" : "log request failed: %s", error->message);
  self->log_is_up = up;
  pthread_mutex_unlock (&self->lock);
}

static void
read_log (void *user)
{
  LimpetBundleController *self = user;
  LimpetLogClient *client = limpet_log_client_http_new (self->log_url);
  bool running = true;
  LimpetMs wait_ms = 0;

  while (running)
    {
      LimpetLogBatch batch;
      LimpetError error;
      LimpetStatus status;

      status = client->ops->read (client, LIMPET_BUNDLE_STREAM, self->next_offset,
                                  wait_ms, &batch, &error);
      set_log_state (self, status == LIMPET_STATUS_OK, &error);
      if (status == LIMPET_STATUS_OK)
        {
          apply_batch (self, &batch);
          limpet_log_batch_clear (&batch);
          running = !limpet_worker_is_stopping (&self->reader);
          wait_ms = READ_WAIT_MS;
        }
      else
        {
          wait_ms = 0;
          running = limpet_worker_wait (&self->reader, RETRY_MS);
        }
    }
  client->ops->free (client);
}

static void
write_checkpoint (LimpetBundleController *self, LimpetLogClient *client)
{
  char *record = NULL;
  int64_t offset = 0;
  LimpetError error;
  LimpetMs due_ms;

  pthread_mutex_lock (&self->lock);
  due_ms = self->last_record_ms + self->retention_ms / CHECKPOINT_AGE_DIVISOR;
  if (limpet_bundle_history_current (self->history)->version > 0
      && limpet_clock_wall_ms () >= due_ms)
    record = limpet_bundle_format_checkpoint (self->history);
  pthread_mutex_unlock (&self->lock);
  if (record == NULL)
    return;
  if (client->ops->append (client, LIMPET_BUNDLE_STREAM, record, strlen (record), &offset,
                           &error)
      == LIMPET_STATUS_OK)
    {
      limpet_counter_add (LIMPET_COUNTER_CHECKPOINTS, 1);
      limpet_log (LIMPET_LOG_NOTICE, "bundle", "log",
                  "checkpoint appended at offset %" PRId64, offset);
    }
  g_free (record);
}

static void
write_checkpoints (void *user)
{
  LimpetBundleController *self = user;
  LimpetLogClient *client = limpet_log_client_http_new (self->log_url);

  uint32_t check_ms = (uint32_t)(self->retention_ms / CHECKPOINT_CHECK_DIVISOR);

  while (limpet_worker_wait (&self->writer, check_ms + randombytes_uniform (check_ms)))
    write_checkpoint (self, client);
  client->ops->free (client);
}

static void
start (LimpetController *controller)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;

  limpet_worker_start (&self->reader, read_log, self);
  limpet_worker_start (&self->writer, write_checkpoints, self);
}

static void
stop (LimpetController *controller)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;

  limpet_worker_stop (&self->writer);
  limpet_worker_stop (&self->reader);
}

void
limpet_bundle_controller_dump_history (LimpetBundleController *self, json_object *array)
{
  pthread_mutex_lock (&self->lock);
  for (uint32_t i = 0; i < MIN (self->activations_count, MAX_ACTIVATIONS); i++)
    {
      json_object *entry = json_object_new_object ();

      json_object_object_add (entry, "version",
                              json_object_new_int64 (self->activations[i].version));
      json_object_object_add (entry, "time_ms",
                              json_object_new_int64 (self->activations[i].wall_ms));
      json_object_array_add (array, entry);
    }
  pthread_mutex_unlock (&self->lock);
}

static void
dump (LimpetController *controller, json_object *object)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;
  json_object *history = json_object_new_array ();
  LimpetBundle *bundle = limpet_bundle_controller_get (self);

  limpet_bundle_controller_dump_history (self, history);
  json_object_object_add (object, "version",
                          json_object_new_int64 (bundle != NULL ? bundle->version : 0));
  json_object_object_add (object, "root",
                          json_object_new_string (bundle != NULL ? bundle->root : ""));
  json_object_object_add (object, "taken", history);
  pthread_mutex_lock (&self->lock);
  json_object_object_add (object, "log_is_up", json_object_new_boolean (self->log_is_up));
  json_object_object_add (object, "next_offset",
                          json_object_new_int64 (self->next_offset));
  pthread_mutex_unlock (&self->lock);
  limpet_bundle_unref (bundle);
}

static void
free_controller (LimpetController *controller)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;

  limpet_bundle_unref (self->published);
  limpet_bundle_history_delete (self->history);
  pthread_mutex_destroy (&self->lock);
  g_free (self->log_url);
  g_free (self);
}

static const LimpetControllerOps ops = {
  .name = "bundle",
  .start = start,
  .stop = stop,
  .dump = dump,
  .free = free_controller,
};

LimpetBundleController *
limpet_bundle_controller_new (const LimpetSettings *settings)
{
  LimpetBundleController *self = g_new0 (LimpetBundleController, 1);

  self->parent.ops = &ops;
  self->log_url = g_strdup (settings->log_url);
  self->retention_ms = settings->log_retention_ms;
  self->history = limpet_bundle_history_new (settings);
  self->log_is_up = true;
  pthread_mutex_init (&self->lock, NULL);
  return self;
}
