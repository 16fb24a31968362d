#include "private/claim_shard.h"

#include "limpetroad/counters.h"
#include "limpetroad/log_client.h"
#include "limpetroad/logger.h"
#include "private/worker.h"

#include <inttypes.h>
#include <string.h>

/* Time that a read at the end of the stream waits for a new record. */
#define READ_WAIT_MS 2500
#define IDLE_CHECK_MS 1000
#define RETRY_MS 100
#define APPEND_INTERVAL_MS 55
#define APPEND_BURST 4
/* An entry that is not read back from the log within this time is appended again. */
#define REAPPEND_MS 600
/* A pending entry is dropped this long after it was last submitted. */
#define PENDING_TIMEOUT_MS 8000
/* The reader stops reading the stream after this time without use of the shard. */
#define UNUSED_TIMEOUT_MS 120000
/* A record is regarded as expired this long before its retention time ends. */
#define RETENTION_SLACK_MS 2000
#define MAX_PENDING 20000
#define MAX_BATCH_ENTRIES 500
#define FIRST_OFFSET 1
/* The owner of a shard appends an empty record, the marker, if the stream has had no
 * record for retention / MARKER_DIVISOR. */
#define MARKER_DIVISOR 4
/* A claim is ignored if the log appended it more than retention / VALIDITY_DIVISOR after
 * the key was issued. */
#define VALIDITY_DIVISOR 2

const char *const limpet_claim_result_string[LIMPET_CLAIM_RESULT_COUNT] = {
  [LIMPET_CLAIM_WON] = "won",
  [LIMPET_CLAIM_LOST] = "lost",
  [LIMPET_CLAIM_EXPIRED] = "expired",
};

/* A claim or an outcome that has not been read back from the log. */
typedef struct
{
  bool is_outcome;
  LimpetClaimEntry claim;
  LimpetOutcomeEntry outcome;
  LimpetMs submitted_ms;
  LimpetMs appended_ms; /* 0 if not appended yet */
} PendingEntry;

/* Arguments of a call of the observer, which is made after the lock is released. */
typedef struct
{
  bool is_outcome;
  LimpetClaimEntry entry;
  LimpetClaimResult result;
  bool has_claim;
  LimpetClaim claim; /* owns its body */
} Notification;

struct LimpetClaimShard
{
  char *log_url;
  char stream[32];
  LimpetMs retention_ms;
  LimpetClaimShardObserver observer;
  LimpetWorker reader;
  LimpetWorker appender;
  pthread_mutex_t lock; /* guards the fields below */
  LimpetClaimIndex *index;
  GPtrArray *pending; /* of PendingEntry */
  int64_t next_offset;
  LimpetMs last_time_ms;  /* of the last record read */
  LimpetMs lost_until_ms; /* claims of keys issued until then may have been lost */
  LimpetMs last_used_ms;
  bool active;
  bool caught_up; /* the reader has reached the end of the stream */
  bool marker_due;
  double append_tokens;
  LimpetMs tokens_updated_ms;
};

static void
free_pending (gpointer data)
{
  PendingEntry *pending = data;

  g_free (pending->outcome.outcome.body);
  g_free (pending);
}

static void
clear_notification (gpointer data)
{
  g_free (((Notification *)data)->claim.outcome.body);
}

static GArray *
notifications_new (void)
{
  GArray *notifications = g_array_new (FALSE, TRUE, sizeof (Notification));

  g_array_set_clear_func (notifications, clear_notification);
  return notifications;
}

static void
deliver_notifications (LimpetClaimShard *shard, GArray *notifications)
{
  for (guint i = 0; i < notifications->len; i++)
    {
      const Notification *notification = &g_array_index (notifications, Notification, i);

      if (notification->is_outcome)
        shard->observer.outcome_recorded (shard->observer.user, &notification->entry.key,
                                          &notification->entry.attempt);
      else
        shard->observer.claim_decided (
            shard->observer.user, &notification->entry, notification->result,
            notification->has_claim ? &notification->claim : NULL);
    }
  g_array_free (notifications, TRUE);
}

/* Returns whether the claim is decided. If it is, adds the decision to notifications. */
static bool
decide_locked (LimpetClaimShard *shard,
               const LimpetClaimEntry *entry,
               GArray *notifications)
{
  const LimpetClaim *claim = limpet_claim_index_find (shard->index, &entry->key);
  Notification notification = { .entry = *entry };

  if (claim != NULL)
    {
      notification.has_claim = true;
      notification.claim = *claim;
      notification.claim.outcome.body = g_strdup (claim->outcome.body);
      notification.result = limpet_claim_id_equal (&claim->attempt, &entry->attempt)
                                ? LIMPET_CLAIM_WON
                                : LIMPET_CLAIM_LOST;
    }
  else if (entry->issued_ms <= shard->lost_until_ms)
    notification.result = LIMPET_CLAIM_EXPIRED;
  else
    return false;
  g_array_append_val (notifications, notification);
  return true;
}

static void
activate_locked (LimpetClaimShard *shard)
{
  shard->last_used_ms = limpet_clock_mono_ms ();
  if (shard->active)
    return;
  shard->active = true;
  limpet_worker_wake (&shard->reader);
}

static PendingEntry *
find_pending (LimpetClaimShard *shard, bool is_outcome, const LimpetClaimId *attempt)
{
  for (guint i = 0; i < shard->pending->len; i++)
    {
      PendingEntry *pending = g_ptr_array_index (shard->pending, i);
      const LimpetClaimId *other
          = pending->is_outcome ? &pending->outcome.attempt : &pending->claim.attempt;

      if (pending->is_outcome == is_outcome && limpet_claim_id_equal (other, attempt))
        return pending;
    }
  return NULL;
}

static void
add_pending_locked (LimpetClaimShard *shard, PendingEntry *pending)
{
  pending->submitted_ms = limpet_clock_mono_ms ();
  g_ptr_array_add (shard->pending, pending);
  limpet_worker_wake (&shard->appender);
}

void
limpet_claim_shard_submit (LimpetClaimShard *shard, const LimpetClaimEntry *entry)
{
  GArray *notifications = notifications_new ();
  PendingEntry *pending;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  if (!decide_locked (shard, entry, notifications) && shard->pending->len < MAX_PENDING)
    {
      pending = find_pending (shard, false, &entry->attempt);
      if (pending != NULL)
        pending->submitted_ms = limpet_clock_mono_ms ();
      else
        {
          pending = g_new0 (PendingEntry, 1);
          pending->claim = *entry;
          add_pending_locked (shard, pending);
        }
    }
  pthread_mutex_unlock (&shard->lock);
  deliver_notifications (shard, notifications);
}

void
limpet_claim_shard_record_outcome (LimpetClaimShard *shard,
                                   const LimpetOutcomeEntry *entry)
{
  PendingEntry *pending;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  pending = find_pending (shard, true, &entry->attempt);
  if (pending != NULL)
    pending->submitted_ms = limpet_clock_mono_ms ();
  else if (shard->pending->len < MAX_PENDING)
    {
      pending = g_new0 (PendingEntry, 1);
      pending->is_outcome = true;
      pending->outcome = *entry;
      pending->outcome.outcome.body = g_strdup (entry->outcome.body);
      add_pending_locked (shard, pending);
    }
  pthread_mutex_unlock (&shard->lock);
}

void
limpet_claim_shard_maintain (LimpetClaimShard *shard)
{
  LimpetMs due_ms;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  due_ms = shard->last_time_ms + shard->retention_ms / MARKER_DIVISOR;
  if (shard->caught_up && limpet_clock_wall_ms () >= due_ms)
    {
      shard->marker_due = true;
      limpet_worker_wake (&shard->appender);
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Returns whether records before this one were lost. After an earlier read, a gap in the
 * offsets shows the loss. If this is the first record read, its predecessor counts as
 * lost unless this record states that the predecessor is old enough to have expired. */
static bool
follows_lost_records (const LimpetClaimShard *shard,
                      const LimpetLogRecord *record,
                      const LimpetClaimRecord *content)
{
  LimpetMs oldest_ms = limpet_clock_wall_ms () - shard->retention_ms + RETENTION_SLACK_MS;

  if (shard->next_offset > 0)
    return record->offset > shard->next_offset;
  if (record->offset == FIRST_OFFSET)
    return false;
  return content == NULL || content->previous_offset != record->offset - 1
         || content->previous_time_ms == 0 || content->previous_time_ms > oldest_ms;
}

static void
apply_claims (LimpetClaimShard *shard,
              const LimpetLogRecord *record,
              const LimpetClaimRecord *content)
{
  for (guint i = 0; i < content->claims->len; i++)
    {
      const LimpetClaimEntry *entry
          = &g_array_index (content->claims, LimpetClaimEntry, i);
      LimpetClaim claim = {
        .key = entry->key,
        .attempt = entry->attempt,
        .request_hash = entry->request_hash,
        .offset = record->offset,
        .time_ms = record->time_ms,
      };

      if (entry->issued_ms > shard->lost_until_ms
          && record->time_ms - entry->issued_ms <= shard->retention_ms / VALIDITY_DIVISOR)
        limpet_claim_index_apply_claim (shard->index, &claim);
    }
}

static void
apply_outcomes (LimpetClaimShard *shard,
                const LimpetLogRecord *record,
                const LimpetClaimRecord *content,
                GArray *notifications)
{
  for (guint i = 0; i < content->outcomes->len; i++)
    {
      const LimpetOutcomeEntry *entry
          = &g_array_index (content->outcomes, LimpetOutcomeEntry, i);
      PendingEntry *pending = find_pending (shard, true, &entry->attempt);
      Notification notification = {
        .is_outcome = true,
        .entry = { .key = entry->key, .attempt = entry->attempt },
      };

      limpet_claim_index_apply_outcome (shard->index, &entry->key, &entry->attempt,
                                        &entry->outcome, record->time_ms);
      if (pending == NULL)
        continue;
      g_array_append_val (notifications, notification);
      g_ptr_array_remove (shard->pending, pending);
    }
}

static void
decide_pending_locked (LimpetClaimShard *shard, GArray *notifications)
{
  for (guint i = shard->pending->len; i > 0; i--)
    {
      const PendingEntry *pending = g_ptr_array_index (shard->pending, i - 1);

      if (!pending->is_outcome && decide_locked (shard, &pending->claim, notifications))
        g_ptr_array_remove_index (shard->pending, i - 1);
    }
}

/* Marks keys issued until time_ms as expired, because claims on them may be missing. */
static void
handle_lost_records (LimpetClaimShard *shard, int64_t offset, LimpetMs time_ms)
{
  shard->lost_until_ms = MAX (shard->lost_until_ms, time_ms);
  limpet_log (
      LIMPET_LOG_WARNING, "claims", "log",
      "records before offset %" PRId64
      " of %s are missing; idempotency keys issued before the loss are treated as "
      "expired",
      offset, shard->stream);
}

/* Moves the read position to the oldest retained record if the stream ends before the
 * position, or if the batch is empty and that record lies after the position. The bounds
 * of the stream do not show whether the skipped records expired or were lost, so they are
 * regarded as lost. This is rare because owners keep a recent record in each stream. */
static void
correct_read_position (LimpetClaimShard *shard, const LimpetLogBatch *batch)
{
  bool ends_before_position = batch->next_offset < shard->next_offset;

  if (!ends_before_position
      && (batch->count > 0 || batch->first_offset <= shard->next_offset))
    return;
  if (ends_before_position || batch->first_offset > FIRST_OFFSET)
    handle_lost_records (shard, batch->first_offset, limpet_clock_wall_ms ());
  shard->next_offset = batch->first_offset;
}

static void
apply_record (LimpetClaimShard *shard,
              const LimpetLogRecord *record,
              GArray *notifications)
{
  LimpetClaimRecord *content = limpet_claim_record_parse (record->data, record->length);

  if (record->offset < shard->next_offset)
    goto out;
  if (follows_lost_records (shard, record, content))
    handle_lost_records (shard, record->offset, record->time_ms);
  if (content != NULL)
    {
      apply_claims (shard, record, content);
      apply_outcomes (shard, record, content, notifications);
    }
  shard->next_offset = record->offset + 1;
  shard->last_time_ms = record->time_ms;
  shard->marker_due = false;

out:
  limpet_claim_record_delete (content);
}

static void
apply_batch (LimpetClaimShard *shard, const LimpetLogBatch *batch)
{
  GArray *notifications = notifications_new ();

  pthread_mutex_lock (&shard->lock);
  correct_read_position (shard, batch);
  for (uint32_t i = 0; i < batch->count; i++)
    apply_record (shard, &batch->records[i], notifications);
  if (!shard->caught_up && shard->next_offset >= batch->next_offset)
    {
      shard->caught_up = true;
      limpet_worker_wake (&shard->appender);
    }
  decide_pending_locked (shard, notifications);
  limpet_claim_index_expire (shard->index, limpet_clock_wall_ms () - shard->retention_ms);
  pthread_mutex_unlock (&shard->lock);
  deliver_notifications (shard, notifications);
}

static void
deactivate_if_unused (LimpetClaimShard *shard)
{
  pthread_mutex_lock (&shard->lock);
  if (shard->active && shard->pending->len == 0
      && limpet_clock_mono_ms () - shard->last_used_ms > UNUSED_TIMEOUT_MS)
    {
      shard->active = false;
      shard->caught_up = false;
      shard->next_offset = 0;
      limpet_claim_index_delete (shard->index);
      shard->index = limpet_claim_index_new ();
    }
  pthread_mutex_unlock (&shard->lock);
}

/* Returns whether the shard is active, and sets the offset and wait of the next read. */
static bool
get_read_position (LimpetClaimShard *shard, int64_t *from, LimpetMs *wait_ms)
{
  bool active;

  pthread_mutex_lock (&shard->lock);
  active = shard->active;
  *from = shard->next_offset;
  *wait_ms = shard->caught_up ? READ_WAIT_MS : 0;
  pthread_mutex_unlock (&shard->lock);
  return active;
}

static void
read_stream (void *user)
{
  LimpetClaimShard *shard = user;
  LimpetLogClient *client = limpet_log_client_http_new (shard->log_url);
  bool running = true;

  while (running)
    {
      LimpetLogBatch batch;
      int64_t from = 0;
      LimpetMs wait_ms = 0;

      if (!get_read_position (shard, &from, &wait_ms))
        {
          running = limpet_worker_wait (&shard->reader, IDLE_CHECK_MS);
          continue;
        }
      if (client->ops->read (client, shard->stream, MAX (from, FIRST_OFFSET), wait_ms,
                             &batch, NULL)
          == LIMPET_STATUS_OK)
        {
          apply_batch (shard, &batch);
          limpet_log_batch_clear (&batch);
          running = !limpet_worker_is_stopping (&shard->reader);
        }
      else
        running = limpet_worker_wait (&shard->reader, RETRY_MS);
      deactivate_if_unused (shard);
    }
  client->ops->free (client);
}

static void
drop_timed_out (LimpetClaimShard *shard, LimpetMs now_ms)
{
  for (guint i = shard->pending->len; i > 0; i--)
    {
      const PendingEntry *pending = g_ptr_array_index (shard->pending, i - 1);

      if (now_ms - pending->submitted_ms > PENDING_TIMEOUT_MS)
        g_ptr_array_remove_index (shard->pending, i - 1);
    }
}

static void
add_to_record (LimpetClaimRecord *record, const PendingEntry *pending)
{
  LimpetOutcomeEntry outcome = pending->outcome;

  if (!pending->is_outcome)
    {
      g_array_append_val (record->claims, pending->claim);
      return;
    }
  outcome.outcome.body = g_strdup (outcome.outcome.body);
  g_array_append_val (record->outcomes, outcome);
}

/* Returns a record of the pending claims and outcomes to append now. If there are none,
 * returns the empty marker if it is due, or else NULL. */
static LimpetClaimRecord *
collect_due (LimpetClaimShard *shard)
{
  LimpetClaimRecord *record = limpet_claim_record_new ();
  LimpetMs now_ms = limpet_clock_mono_ms ();
  uint32_t count = 0;

  pthread_mutex_lock (&shard->lock);
  drop_timed_out (shard, now_ms);
  record->previous_offset = MAX (shard->next_offset, 1) - 1;
  record->previous_time_ms = shard->last_time_ms;
  for (guint i = 0; i < shard->pending->len && count < MAX_BATCH_ENTRIES; i++)
    {
      PendingEntry *pending = g_ptr_array_index (shard->pending, i);

      if (pending->appended_ms != 0 && now_ms - pending->appended_ms < REAPPEND_MS)
        continue;
      if (pending->appended_ms != 0)
        limpet_counter_add (LIMPET_COUNTER_CLAIM_REAPPENDS, 1);
      pending->appended_ms = now_ms;
      add_to_record (record, pending);
      count++;
    }
  if (shard->marker_due && count == 0)
    count = 1;
  shard->marker_due = false;
  pthread_mutex_unlock (&shard->lock);
  if (count > 0)
    return record;
  limpet_claim_record_delete (record);
  return NULL;
}

/* Clears the append times of the entries of a record that the log did not append, so that
 * the next append includes them. */
static void
mark_not_appended (LimpetClaimShard *shard, const LimpetClaimRecord *record)
{
  pthread_mutex_lock (&shard->lock);
  for (guint i = 0; i < record->claims->len; i++)
    {
      PendingEntry *pending = find_pending (
          shard, false, &g_array_index (record->claims, LimpetClaimEntry, i).attempt);

      if (pending != NULL)
        pending->appended_ms = 0;
    }
  for (guint i = 0; i < record->outcomes->len; i++)
    {
      PendingEntry *pending = find_pending (
          shard, true, &g_array_index (record->outcomes, LimpetOutcomeEntry, i).attempt);

      if (pending != NULL)
        pending->appended_ms = 0;
    }
  pthread_mutex_unlock (&shard->lock);
}

static bool
append_record (LimpetClaimShard *shard,
               LimpetLogClient *client,
               const LimpetClaimRecord *record)
{
  char *text = limpet_claim_record_format (record);
  int64_t offset = 0;
  LimpetStatus status
      = client->ops->append (client, shard->stream, text, strlen (text), &offset, NULL);

  g_free (text);
  limpet_counter_add (LIMPET_COUNTER_CLAIM_APPENDS, 1);
  if (status == LIMPET_STATUS_UNREACHABLE || status == LIMPET_STATUS_REFUSED)
    mark_not_appended (shard, record);
  return status == LIMPET_STATUS_OK;
}

/* Limits the shard to its part of the log's append rate with a token bucket. Takes a
 * token and returns 0, or returns the time in ms until a token is available. */
static LimpetMs
take_append_token (LimpetClaimShard *shard)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  shard->append_tokens
      = MIN (APPEND_BURST,
             shard->append_tokens
                 + (double)(now_ms - shard->tokens_updated_ms) / APPEND_INTERVAL_MS);
  shard->tokens_updated_ms = now_ms;
  if (shard->append_tokens < 1)
    return (LimpetMs)((1 - shard->append_tokens) * APPEND_INTERVAL_MS) + 1;
  shard->append_tokens -= 1;
  return 0;
}

/* Returns whether there is anything to append. Appends wait until the reader has reached
 * the end of the stream, because each record states the offset and time of its
 * predecessor. */
static bool
has_appends_due (LimpetClaimShard *shard)
{
  bool is_due;

  pthread_mutex_lock (&shard->lock);
  is_due = shard->caught_up && (shard->pending->len > 0 || shard->marker_due);
  pthread_mutex_unlock (&shard->lock);
  return is_due;
}

static void
append_pending (void *user)
{
  LimpetClaimShard *shard = user;
  LimpetLogClient *client = limpet_log_client_http_new (shard->log_url);
  bool running = true;

  while (running)
    {
      LimpetClaimRecord *record;
      LimpetMs wait_ms;

      if (!has_appends_due (shard))
        {
          running = limpet_worker_wait (&shard->appender, IDLE_CHECK_MS);
          continue;
        }
      wait_ms = take_append_token (shard);
      if (wait_ms > 0)
        {
          limpet_clock_sleep_ms (wait_ms);
          continue;
        }
      record = collect_due (shard);
      if (record == NULL)
        {
          shard->append_tokens += 1;
          running = limpet_worker_wait (&shard->appender, RETRY_MS);
          continue;
        }
      if (!append_record (shard, client, record))
        running = limpet_worker_wait (&shard->appender, RETRY_MS);
      else
        running = !limpet_worker_is_stopping (&shard->appender);
      limpet_claim_record_delete (record);
    }
  client->ops->free (client);
}

LimpetClaimShard *
limpet_claim_shard_new (const char *log_url,
                        uint32_t number,
                        LimpetMs retention_ms,
                        const LimpetClaimShardObserver *observer)
{
  LimpetClaimShard *shard = g_new0 (LimpetClaimShard, 1);

  shard->log_url = g_strdup (log_url);
  g_snprintf (shard->stream, sizeof shard->stream, "claims-%02u", number);
  shard->retention_ms = retention_ms;
  shard->observer = *observer;
  shard->index = limpet_claim_index_new ();
  shard->pending = g_ptr_array_new_with_free_func (free_pending);
  shard->append_tokens = APPEND_BURST;
  shard->tokens_updated_ms = limpet_clock_mono_ms ();
  pthread_mutex_init (&shard->lock, NULL);
  limpet_worker_start (&shard->reader, read_stream, shard);
  limpet_worker_start (&shard->appender, append_pending, shard);
  return shard;
}

void
limpet_claim_shard_stop (LimpetClaimShard *shard)
{
  limpet_worker_stop (&shard->appender);
  limpet_worker_stop (&shard->reader);
}

void
limpet_claim_shard_delete (LimpetClaimShard *shard)
{
  limpet_claim_index_delete (shard->index);
  g_ptr_array_free (shard->pending, TRUE);
  pthread_mutex_destroy (&shard->lock);
  g_free (shard->log_url);
  g_free (shard);
}

void
limpet_claim_shard_dump (LimpetClaimShard *shard, json_object *array)
{
  json_object *entry = json_object_new_object ();

  pthread_mutex_lock (&shard->lock);
  json_object_object_add (entry, "stream", json_object_new_string (shard->stream));
  json_object_object_add (entry, "next_offset",
                          json_object_new_int64 (shard->next_offset));
  json_object_object_add (entry, "claims",
                          json_object_new_int64 (limpet_claim_index_size (shard->index)));
  json_object_object_add (entry, "pending",
                          json_object_new_int ((int)shard->pending->len));
  if (shard->active)
    json_object_array_add (array, json_object_get (entry));
  pthread_mutex_unlock (&shard->lock);
  json_object_put (entry);
}
