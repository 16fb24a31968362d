#include "private/bundle_controller.h"

#include "limpetroad/counters.h"
#include "limpetroad/log_client.h"
#include "limpetroad/log_era.h"
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
/* Of a log that names no era, the newest known record is read again with new ones, and
 * when there are none if it is no longer than this. */
#define MAX_IDLE_CHECK_BYTES 512
/* A router appends a restoration after a random time of up to this long, so that most
 * routers read that of another one before. */
#define MAX_RESTORATION_DELAY_MS 500
/* A router whose bundle came from a peer waits this much longer, until routers that read
 * it from the log have noticed the loss: they know which roll is newer. */
#define PEER_BUNDLE_DELAY_MS (2 * READ_WAIT_MS)
/* A restoration that was appended without effect is appended again after this time, which
 * doubles each time. */
#define MIN_RESTORATION_INTERVAL_MS 1000
#define MAX_RESTORATION_INTERVAL_MS 60000

/* A version that this process put in force, kept for the dump. */
typedef struct
{
  int64_t version;
  LimpetMs wall_ms;
} Activation;

struct LimpetBundleController
{
  LimpetController parent;
  const LimpetSettings *settings; /* of the caller */
  char *log_url;
  LimpetWorker reader;
  LimpetWorker writer;
  pthread_mutex_t lock;         /* guards the fields below */
  LimpetBundleHistory *history; /* of the records in the log */
  /* After the log lost records, the history before; after a bundle from a peer, a history
   * with it. Its bundle is in force until that of the log supersedes it. Otherwise NULL.
   */
  LimpetBundleHistory *kept;
  LimpetMs kept_until_ms;      /* time of the newest record read before the loss */
  LimpetMs restoration_due_ms; /* monotonic; 0 for never */
  LimpetMs restoration_interval_ms;
  bool restoration_failed; /* the last append of one; of the writer's thread */
  LimpetLogEra era;
  bool era_is_invalid;
  int64_t next_offset;
  LimpetMs newest_record_ms; /* time of the record before next_offset; 0 if none */
  size_t newest_record_bytes;
  bool check_newest_record; /* the next read shows whether the log still has it */
  /* Wall-clock time of the newest record that put a bundle in force or had no effect,
   * such as another router's checkpoint of the bundle in force. */
  LimpetMs last_record_ms;
  LimpetMs retention_ms;
  bool log_is_up;
  Activation activations[MAX_ACTIVATIONS];
  uint32_t activations_count;
  LimpetBundle *published; /* protected by RCU, replaced under lock */
};

/* Returns the history whose bundle is in force. */
static LimpetBundleHistory *
history_in_force (const LimpetBundleController *self)
{
  return self->kept != NULL ? self->kept : self->history;
}

static void
publish_locked (LimpetBundleController *self)
{
  LimpetBundle *current = limpet_bundle_history_current (history_in_force (self));
  LimpetBundle *old = self->published;

  if (current->version <= (old != NULL ? old->version : 0))
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
  LimpetBundleHistory *adopted;
  LimpetStatus status;

  pthread_mutex_lock (&self->lock);
  adopted = self->kept != NULL
                ? self->kept
                : limpet_bundle_history_new_in_force (self->settings, self->history);
  status
      = limpet_bundle_history_adopt (adopted, proof, base_version, changes, count, error);
  if (status != LIMPET_STATUS_OK && adopted != self->kept)
    limpet_bundle_history_delete (adopted);
  if (status == LIMPET_STATUS_OK)
    {
      self->kept = adopted;
      self->restoration_due_ms = 0;
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
  *proof = *limpet_bundle_history_proof (history_in_force (self));
  base = limpet_bundle_history_changes_since (history_in_force (self), base_version,
                                              changes, count);
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

/* Begins to read the log again from its first record. */
static void
restart_locked (LimpetBundleController *self, const char *reason)
{
  limpet_log (LIMPET_LOG_WARNING, "bundle", "log",
              "records_lost cause=\"%s\" offset=%" PRId64 " version=%" PRId64, reason,
              self->next_offset,
              limpet_bundle_history_current (history_in_force (self))->version);
  if (self->kept != NULL)
    limpet_bundle_history_delete (self->history);
  else
    {
      self->kept = self->history;
      self->kept_until_ms = self->newest_record_ms;
    }
  self->history = limpet_bundle_history_new (self->settings);
  self->next_offset = 0;
  self->newest_record_ms = 0;
  self->restoration_due_ms = 0;
}

/* Returns why the batch shows that the log lost records, or NULL if it does not. */
static const char *
find_loss_locked (const LimpetBundleController *self,
                  const LimpetLogBatch *batch,
                  LimpetLogEraNews news)
{
  if (news == LIMPET_LOG_ERA_NEW)
    return "new era";
  if (batch->next_offset < self->next_offset)
    return "end before the own offset";
  if (self->check_newest_record && batch->count > 0
      && batch->records[0].offset == self->next_offset - 1
      && batch->records[0].time_ms != self->newest_record_ms)
    return "another record at a known offset";
  return NULL;
}

static void
log_era_locked (LimpetBundleController *self, const LimpetLogBatch *batch)
{
  if (self->era_is_invalid != batch->era_is_invalid)
    limpet_log (LIMPET_LOG_WARNING, "bundle", "log",
                batch->era_is_invalid ? "the log names an invalid era, which is ignored"
                                      : "the log names no invalid era any more");
  self->era_is_invalid = batch->era_is_invalid;
  if (self->era.has_responded && batch->era != LIMPET_LOG_NO_ERA
      && batch->era < self->era.named)
    limpet_log (LIMPET_LOG_WARNING, "bundle", "log",
                "the era of the log fell from %" PRId64 " to %" PRId64
                " and counts as a new one",
                self->era.named, batch->era);
}

/* Returns whether only the newest known record can show that the batch is of the history
 * that was read before. */
static bool
needs_check_locked (const LimpetBundleController *self, const LimpetLogBatch *batch)
{
  return batch->era == LIMPET_LOG_NO_ERA && self->newest_record_ms != 0
         && !self->check_newest_record
         && (batch->count > 0 || self->newest_record_bytes <= MAX_IDLE_CHECK_BYTES);
}

/* Returns whether the batch continues what was read. If it does not, another read is due:
 * of all records if the log lost some, or from the newest known record on. */
static bool
check_batch (LimpetBundleController *self,
             const LimpetLogBatch *batch,
             LimpetMs called_ms)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetLogEraNews news;
  const char *loss;
  bool needs_check;

  pthread_mutex_lock (&self->lock);
  log_era_locked (self, batch);
  news = limpet_log_era_record (&self->era, batch->era, called_ms, now_ms);
  loss = find_loss_locked (self, batch, news);
  if (loss != NULL)
    {
      if (news != LIMPET_LOG_ERA_NEW)
        limpet_log_era_advance (&self->era, now_ms);
      restart_locked (self, loss);
    }
  needs_check = loss == NULL && needs_check_locked (self, batch);
  self->check_newest_record = needs_check;
  pthread_mutex_unlock (&self->lock);
  return loss == NULL && !needs_check;
}

/* Returns whether the bundle in force of the log was rolled after that of the kept
 * history. A bundle that a peer sent has no time: its parent was in force before it. */
static bool
log_has_newer_roll_locked (const LimpetBundleController *self)
{
  const LimpetBundleProof *kept = limpet_bundle_history_proof (self->kept);
  const LimpetBundleProof *logged = limpet_bundle_history_proof (self->history);

  if (limpet_bundle_history_roll_time (self->kept) == 0)
    return logged->version > kept->parent;
  return limpet_bundle_history_roll_time (self->history) > self->kept_until_ms;
}

/* Called when all of the log has been read. Either its bundle supersedes that of the kept
 * history, or a restoration is due. */
static void
compare_with_kept_locked (LimpetBundleController *self)
{
  int64_t version = limpet_bundle_history_current (self->history)->version;
  int64_t kept_version = limpet_bundle_history_current (self->kept)->version;

  if (version > kept_version
      || (version == kept_version
          && limpet_bundle_history_same_bundle (self->history, self->kept)))
    {
      limpet_bundle_history_delete (self->kept);
      self->kept = NULL;
      self->restoration_due_ms = 0;
      return;
    }
  if (self->restoration_due_ms != 0)
    return;
  self->restoration_interval_ms = MIN_RESTORATION_INTERVAL_MS;
  self->restoration_due_ms
      = limpet_clock_mono_ms () + randombytes_uniform (MAX_RESTORATION_DELAY_MS);
  if (limpet_bundle_history_roll_time (self->kept) == 0)
    self->restoration_due_ms += PEER_BUNDLE_DELAY_MS;
  limpet_worker_wake (&self->writer);
}

static void
apply_batch (LimpetBundleController *self, const LimpetLogBatch *batch)
{
  pthread_mutex_lock (&self->lock);
  /* Skips records that expired before they were read. */
  if (batch->count == 0)
    self->next_offset = MAX (self->next_offset, batch->first_offset);
  for (uint32_t i = 0; i < batch->count; i++)
    {
      const LimpetLogRecord *record = &batch->records[i];
      LimpetError error;
      LimpetBundleEvent event;

      if (record->offset < self->next_offset)
        continue;
      event = limpet_bundle_history_apply (self->history, record->offset, record->time_ms,
                                           record->data, record->length, &error);
      log_rejection (event, record->offset, &error);
      if (event == LIMPET_BUNDLE_EVENT_ROLLED || event == LIMPET_BUNDLE_EVENT_CHECKPOINT
          || event == LIMPET_BUNDLE_EVENT_RESTORED || event == LIMPET_BUNDLE_EVENT_NONE)
        self->last_record_ms = record->time_ms;
      self->next_offset = record->offset + 1;
      self->newest_record_ms = record->time_ms;
      self->newest_record_bytes = record->length;
    }
  if (self->kept != NULL && self->next_offset >= batch->next_offset)
    compare_with_kept_locked (self);
  /* At the start a batch may contain many old bundles; only the newest is published. */
  publish_locked (self);
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
  if (!up)
    self->check_newest_record = self->newest_record_ms != 0;
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
      LimpetMs called_ms = limpet_clock_mono_ms ();
      int64_t from = self->next_offset - (self->check_newest_record ? 1 : 0);

      status = client->ops->read (client, LIMPET_BUNDLE_STREAM, from, wait_ms, &batch,
                                  &error);
      set_log_state (self, status == LIMPET_STATUS_OK, &error);
      if (status == LIMPET_STATUS_OK)
        {
          bool continues = check_batch (self, &batch, called_ms);

          if (continues)
            apply_batch (self, &batch);
          limpet_log_batch_clear (&batch);
          running = !limpet_worker_is_stopping (&self->reader);
          wait_ms = continues ? READ_WAIT_MS : 0;
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
  if (self->kept == NULL && limpet_bundle_history_current (self->history)->version > 0
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

/* Returns the record that gives the bundle rolled last, be it that of the log or the kept
 * one, a version above that of all others. Returns NULL if it is not due. */
static char *
make_restoration_locked (LimpetBundleController *self)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  int64_t base_version;
  int64_t version;

  if (self->kept == NULL || self->restoration_due_ms == 0
      || now_ms < self->restoration_due_ms)
    return NULL;
  base_version = limpet_bundle_history_current (self->history)->version;
  version = limpet_bundle_history_current (self->kept)->version;
  if (base_version > 0 && log_has_newer_roll_locked (self))
    return limpet_bundle_format_restoration (self->history, version + 1, base_version);
  /* The log may have another bundle under the version of the kept one. */
  return limpet_bundle_format_restoration (self->kept, MAX (version, base_version + 1),
                                           base_version);
}

static void
schedule_restoration (LimpetBundleController *self, bool was_appended)
{
  LimpetMs wait_ms = MIN_RESTORATION_INTERVAL_MS;

  pthread_mutex_lock (&self->lock);
  if (was_appended)
    {
      wait_ms = self->restoration_interval_ms;
      self->restoration_interval_ms = MIN (2 * wait_ms, MAX_RESTORATION_INTERVAL_MS);
    }
  if (self->restoration_due_ms != 0)
    self->restoration_due_ms = limpet_clock_mono_ms () + wait_ms
                               + randombytes_uniform (MAX_RESTORATION_DELAY_MS);
  pthread_mutex_unlock (&self->lock);
}

static void
write_restoration (LimpetBundleController *self, LimpetLogClient *client)
{
  char *record;
  int64_t offset = 0;
  LimpetStatus status;
  LimpetError error;

  pthread_mutex_lock (&self->lock);
  record = make_restoration_locked (self);
  pthread_mutex_unlock (&self->lock);
  if (record == NULL)
    return;
  status = client->ops->append (client, LIMPET_BUNDLE_STREAM, record, strlen (record),
                                &offset, &error);
  schedule_restoration (self, status == LIMPET_STATUS_OK);
  if (status == LIMPET_STATUS_OK)
    limpet_log (LIMPET_LOG_NOTICE, "bundle", "log",
                "restoration appended at offset %" PRId64, offset);
  else if (!self->restoration_failed)
    limpet_log (LIMPET_LOG_WARNING, "bundle", "log", "restoration not appended: %s",
                error.message);
  self->restoration_failed = status != LIMPET_STATUS_OK;
  g_free (record);
}

/* Returns the time until the next check for a record to append. */
static LimpetMs
writer_wait_ms (LimpetBundleController *self)
{
  uint32_t check_ms = (uint32_t)(self->retention_ms / CHECKPOINT_CHECK_DIVISOR);
  LimpetMs wait_ms = check_ms + randombytes_uniform (check_ms);

  pthread_mutex_lock (&self->lock);
  if (self->restoration_due_ms != 0)
    wait_ms = CLAMP (self->restoration_due_ms - limpet_clock_mono_ms (), 0, wait_ms);
  pthread_mutex_unlock (&self->lock);
  return wait_ms;
}

static void
write_records (void *user)
{
  LimpetBundleController *self = user;
  LimpetLogClient *client = limpet_log_client_http_new (self->log_url);

  while (limpet_worker_wait (&self->writer, writer_wait_ms (self)))
    {
      write_restoration (self, client);
      write_checkpoint (self, client);
    }
  client->ops->free (client);
}

static void
start (LimpetController *controller)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;

  limpet_worker_start (&self->reader, read_log, self);
  limpet_worker_start (&self->writer, write_records, self);
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
  json_object_object_add (object, "log_era", json_object_new_int64 (self->era.number));
  json_object_object_add (object, "log_lacks_bundle",
                          json_object_new_boolean (self->kept != NULL));
  pthread_mutex_unlock (&self->lock);
  limpet_bundle_unref (bundle);
}

static void
free_controller (LimpetController *controller)
{
  LimpetBundleController *self = (LimpetBundleController *)controller;

  limpet_bundle_unref (self->published);
  limpet_bundle_history_delete (self->kept);
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
  self->settings = settings;
  self->retention_ms = settings->log_retention_ms;
  self->history = limpet_bundle_history_new (settings);
  self->log_is_up = true;
  pthread_mutex_init (&self->lock, NULL);
  return self;
}
