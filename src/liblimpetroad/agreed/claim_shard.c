#include "private/claim_shard.h"

#include "limpetroad/counters.h"
#include "limpetroad/log_client.h"
#include "limpetroad/logger.h"
#include "private/worker.h"

#include <inttypes.h>
#include <string.h>

#define READ_WAIT_MS 2500
#define IDLE_CHECK_MS 1000
#define RETRY_MS 100
#define APPEND_SPACING_MS 55
#define APPEND_BURST 4
#define REAPPEND_MS 600
#define GIVE_UP_MS 8000
#define UNUSED_LIFE_MS 120000
#define RETENTION_SLACK_MS 2000
#define MOST_PENDING 20000
#define BATCH_ENTRIES 500
#define FIRST_OFFSET 1
/* An owner writes an empty record after this part of the retention without one. */
#define MARKER_PART 4
/* A claim counts if the log took it within this part of the retention after the key's
 * issue. */
#define VALIDITY_PART 2

const char *const limpet_claim_result_string[LIMPET_CLAIM_RESULT_COUNT] = {
  [LIMPET_CLAIM_WON] = "won",
  [LIMPET_CLAIM_LOST] = "lost",
  [LIMPET_CLAIM_EXPIRED] = "expired",
};

/* A claim or an outcome on its way into the log. */
typedef struct
{
  bool is_outcome;
  LimpetClaimEntry claim;
  LimpetOutcomeEntry outcome;
  LimpetMs submitted_ms;
  LimpetMs appended_ms; /* 0 if not appended yet */
} Pending;

/* What the observer is told after the lock is released. */
typedef struct
{
  bool is_outcome;
  LimpetClaimEntry entry;
  LimpetClaimResult result;
  bool has_claim;
  LimpetClaim claim; /* with a copied body */
} Notice;

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
  GPtrArray *pending; /* of Pending */
  int64_t next_offset;
  LimpetMs last_time_ms;     /* of the last record read */
  LimpetMs unsafe_before_ms; /* keys issued before may have claims that were lost */
  LimpetMs used_ms;
  bool active;
  bool has_read; /* the reader has come to the end of the stream once */
  bool marker_due;
  double append_tokens;
  LimpetMs tokens_ms;
};

static void
free_pending (gpointer data)
{
  Pending *pending = data;

  g_free (pending->outcome.outcome.body);
  g_free (pending);
}

static void
clear_notice (gpointer data)
{
  g_free (((Notice *)data)->claim.outcome.body);
}

static GArray *
notices_new (void)
{
  GArray *notices = g_array_new (FALSE, TRUE, sizeof (Notice));

  g_array_set_clear_func (notices, clear_notice);
  return notices;
}

static void
send_notices (LimpetClaimShard *shard, GArray *notices)
{
  for (guint i = 0; i < notices->len; i++)
    {
      const Notice *notice = &g_array_index (notices, Notice, i);

      if (notice->is_outcome)
        shard->observer.reported (shard->observer.user, &notice->entry.key,
                                  &notice->entry.attempt);
      else
        shard->observer.decided (shard->observer.user, &notice->entry, notice->result,
                                 notice->has_claim ? &notice->claim : NULL);
    }
  g_array_free (notices, TRUE);
}

/* Returns whether the claims known here decide about the entry. */
static bool
decide_locked (LimpetClaimShard *shard, const LimpetClaimEntry *entry, GArray *notices)
{
  const LimpetClaim *claim = limpet_claim_index_find (shard->index, &entry->key);
  Notice notice = { .entry = *entry };

  if (claim != NULL)
    {
      notice.has_claim = true;
      notice.claim = *claim;
      notice.claim.outcome.body = g_strdup (claim->outcome.body);
      notice.result = limpet_claim_id_equal (&claim->attempt, &entry->attempt)
                          ? LIMPET_CLAIM_WON
                          : LIMPET_CLAIM_LOST;
    }
  else if (entry->issued_ms <= shard->unsafe_before_ms)
    notice.result = LIMPET_CLAIM_EXPIRED;
  else
    return false;
  g_array_append_val (notices, notice);
  return true;
}

static void
activate_locked (LimpetClaimShard *shard)
{
  shard->used_ms = limpet_clock_mono_ms ();
  if (shard->active)
    return;
  shard->active = true;
  limpet_worker_wake (&shard->reader);
}

static Pending *
find_pending (LimpetClaimShard *shard, bool is_outcome, const LimpetClaimId *attempt)
{
  for (guint i = 0; i < shard->pending->len; i++)
    {
      Pending *pending = g_ptr_array_index (shard->pending, i);
      const LimpetClaimId *other
          = pending->is_outcome ? &pending->outcome.attempt : &pending->claim.attempt;

      if (pending->is_outcome == is_outcome && limpet_claim_id_equal (other, attempt))
        return pending;
    }
  return NULL;
}

static void
add_pending_locked (LimpetClaimShard *shard, Pending *pending)
{
  pending->submitted_ms = limpet_clock_mono_ms ();
  g_ptr_array_add (shard->pending, pending);
  limpet_worker_wake (&shard->appender);
}

void
limpet_claim_shard_submit (LimpetClaimShard *shard, const LimpetClaimEntry *entry)
{
  GArray *notices = notices_new ();
  Pending *pending;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  if (!decide_locked (shard, entry, notices) && shard->pending->len < MOST_PENDING)
    {
      pending = find_pending (shard, false, &entry->attempt);
      if (pending != NULL)
        pending->submitted_ms = limpet_clock_mono_ms ();
      else
        {
          pending = g_new0 (Pending, 1);
          pending->claim = *entry;
          add_pending_locked (shard, pending);
        }
    }
  pthread_mutex_unlock (&shard->lock);
  send_notices (shard, notices);
}

void
limpet_claim_shard_report (LimpetClaimShard *shard, const LimpetOutcomeEntry *entry)
{
  Pending *pending;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  pending = find_pending (shard, true, &entry->attempt);
  if (pending != NULL)
    pending->submitted_ms = limpet_clock_mono_ms ();
  else if (shard->pending->len < MOST_PENDING)
    {
      pending = g_new0 (Pending, 1);
      pending->is_outcome = true;
      pending->outcome = *entry;
      pending->outcome.outcome.body = g_strdup (entry->outcome.body);
      add_pending_locked (shard, pending);
    }
  pthread_mutex_unlock (&shard->lock);
}

void
limpet_claim_shard_keep (LimpetClaimShard *shard)
{
  LimpetMs due_ms;

  pthread_mutex_lock (&shard->lock);
  activate_locked (shard);
  due_ms = shard->last_time_ms + shard->retention_ms / MARKER_PART;
  if (shard->has_read && limpet_clock_wall_ms () >= due_ms)
    {
      shard->marker_due = true;
      limpet_worker_wake (&shard->appender);
    }
  pthread_mutex_unlock (&shard->lock);
}

/* A hole in the offsets means that records were lost. The first record that a reader
 * finds is taken to follow a hole unless it shows that its predecessor was due to expire.
 */
static bool
follows_gap (const LimpetClaimShard *shard,
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

      if (entry->issued_ms > shard->unsafe_before_ms
          && record->time_ms - entry->issued_ms <= shard->retention_ms / VALIDITY_PART)
        limpet_claim_index_add (shard->index, &claim);
    }
}

static void
apply_outcomes (LimpetClaimShard *shard,
                const LimpetLogRecord *record,
                const LimpetClaimRecord *content,
                GArray *notices)
{
  for (guint i = 0; i < content->outcomes->len; i++)
    {
      const LimpetOutcomeEntry *entry
          = &g_array_index (content->outcomes, LimpetOutcomeEntry, i);
      Pending *pending = find_pending (shard, true, &entry->attempt);
      Notice notice = {
        .is_outcome = true,
        .entry = { .key = entry->key, .attempt = entry->attempt },
      };

      limpet_claim_index_end (shard->index, &entry->key, &entry->attempt, &entry->outcome,
                              record->time_ms);
      if (pending == NULL)
        continue;
      g_array_append_val (notices, notice);
      g_ptr_array_remove (shard->pending, pending);
    }
}

static void
decide_pending_locked (LimpetClaimShard *shard, GArray *notices)
{
  for (guint i = shard->pending->len; i > 0; i--)
    {
      const Pending *pending = g_ptr_array_index (shard->pending, i - 1);

      if (!pending->is_outcome && decide_locked (shard, &pending->claim, notices))
        g_ptr_array_remove_index (shard->pending, i - 1);
    }
}

static void
note_gap (LimpetClaimShard *shard, int64_t offset, LimpetMs time_ms)
{
  shard->unsafe_before_ms = MAX (shard->unsafe_before_ms, time_ms);
  limpet_log (LIMPET_LOG_WARNING, "claims", "log",
              "records before %" PRId64 " of %s are lost; keys issued until now expire",
              offset, shard->stream);
}

/* An empty answer still tells where the stream goes on. Records before that place may
 * have expired or be lost; owners keep a record in each stream, so this is rare. */
static void
apply_position (LimpetClaimShard *shard, const LimpetLogBatch *batch)
{
  bool went_back = batch->next < shard->next_offset;

  if (!went_back && (batch->count > 0 || batch->first <= shard->next_offset))
    return;
  if (went_back || batch->first > FIRST_OFFSET)
    note_gap (shard, batch->first, limpet_clock_wall_ms ());
  shard->next_offset = batch->first;
}

static void
apply_record (LimpetClaimShard *shard, const LimpetLogRecord *record, GArray *notices)
{
  LimpetClaimRecord *content = limpet_claim_record_parse (record->data, record->length);

  if (record->offset < shard->next_offset)
    goto out;
  if (follows_gap (shard, record, content))
    note_gap (shard, record->offset, record->time_ms);
  if (content != NULL)
    {
      apply_claims (shard, record, content);
      apply_outcomes (shard, record, content, notices);
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
  GArray *notices = notices_new ();

  pthread_mutex_lock (&shard->lock);
  apply_position (shard, batch);
  for (uint32_t i = 0; i < batch->count; i++)
    apply_record (shard, &batch->records[i], notices);
  if (!shard->has_read && shard->next_offset >= batch->next)
    {
      shard->has_read = true;
      limpet_worker_wake (&shard->appender);
    }
  decide_pending_locked (shard, notices);
  limpet_claim_index_expire (shard->index, limpet_clock_wall_ms () - shard->retention_ms);
  pthread_mutex_unlock (&shard->lock);
  send_notices (shard, notices);
}

static void
deactivate_if_unused (LimpetClaimShard *shard)
{
  pthread_mutex_lock (&shard->lock);
  if (shard->active && shard->pending->len == 0
      && limpet_clock_mono_ms () - shard->used_ms > UNUSED_LIFE_MS)
    {
      shard->active = false;
      shard->has_read = false;
      shard->next_offset = 0;
      limpet_claim_index_delete (shard->index);
      shard->index = limpet_claim_index_new ();
    }
  pthread_mutex_unlock (&shard->lock);
}

static bool
is_active (LimpetClaimShard *shard, int64_t *from, LimpetMs *wait_ms)
{
  bool active;

  pthread_mutex_lock (&shard->lock);
  active = shard->active;
  *from = shard->next_offset;
  *wait_ms = shard->has_read ? READ_WAIT_MS : 0;
  pthread_mutex_unlock (&shard->lock);
  return active;
}

static void
read_stream (void *user)
{
  LimpetClaimShard *shard = user;
  LimpetLogClient *client = limpet_log_client_http_new (shard->log_url);
  bool goes_on = true;

  while (goes_on)
    {
      LimpetLogBatch batch;
      int64_t from = 0;
      LimpetMs wait_ms = 0;

      if (!is_active (shard, &from, &wait_ms))
        {
          goes_on = limpet_worker_wait (&shard->reader, IDLE_CHECK_MS);
          continue;
        }
      if (client->ops->read (client, shard->stream, MAX (from, FIRST_OFFSET), wait_ms,
                             &batch, NULL)
          == LIMPET_STATUS_OK)
        {
          apply_batch (shard, &batch);
          limpet_log_batch_clear (&batch);
          goes_on = !limpet_worker_is_stopping (&shard->reader);
        }
      else
        goes_on = limpet_worker_wait (&shard->reader, RETRY_MS);
      deactivate_if_unused (shard);
    }
  client->ops->free (client);
}

static void
drop_given_up (LimpetClaimShard *shard, LimpetMs now_ms)
{
  for (guint i = shard->pending->len; i > 0; i--)
    {
      const Pending *pending = g_ptr_array_index (shard->pending, i - 1);

      if (now_ms - pending->submitted_ms > GIVE_UP_MS)
        g_ptr_array_remove_index (shard->pending, i - 1);
    }
}

static void
add_to_record (LimpetClaimRecord *record, const Pending *pending)
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

/* Collects what is due for an append; returns NULL if nothing is. */
static LimpetClaimRecord *
collect_due (LimpetClaimShard *shard)
{
  LimpetClaimRecord *record = limpet_claim_record_new ();
  LimpetMs now_ms = limpet_clock_mono_ms ();
  uint32_t count = 0;

  pthread_mutex_lock (&shard->lock);
  drop_given_up (shard, now_ms);
  record->previous_offset = MAX (shard->next_offset, 1) - 1;
  record->previous_time_ms = shard->last_time_ms;
  for (guint i = 0; i < shard->pending->len && count < BATCH_ENTRIES; i++)
    {
      Pending *pending = g_ptr_array_index (shard->pending, i);

      if (pending->appended_ms != 0 && now_ms - pending->appended_ms < REAPPEND_MS)
        continue;
      if (pending->appended_ms != 0)
        limpet_count (LIMPET_COUNTER_CLAIM_REAPPENDS, 1);
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

/* What the log surely did not take is due again at once. */
static void
mark_not_appended (LimpetClaimShard *shard, const LimpetClaimRecord *record)
{
  pthread_mutex_lock (&shard->lock);
  for (guint i = 0; i < record->claims->len; i++)
    {
      Pending *pending = find_pending (
          shard, false, &g_array_index (record->claims, LimpetClaimEntry, i).attempt);

      if (pending != NULL)
        pending->appended_ms = 0;
    }
  for (guint i = 0; i < record->outcomes->len; i++)
    {
      Pending *pending = find_pending (
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
  limpet_count (LIMPET_COUNTER_CLAIM_APPENDS, 1);
  if (status == LIMPET_STATUS_UNREACHABLE || status == LIMPET_STATUS_REFUSED)
    mark_not_appended (shard, record);
  return status == LIMPET_STATUS_OK;
}

/* Keeps the shard's part of the log's append rate; returns the time to wait, 0 if none.
 */
static LimpetMs
take_append_token (LimpetClaimShard *shard)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();

  shard->append_tokens
      = MIN (APPEND_BURST, shard->append_tokens
                               + (double)(now_ms - shard->tokens_ms) / APPEND_SPACING_MS);
  shard->tokens_ms = now_ms;
  if (shard->append_tokens < 1)
    return (LimpetMs)((1 - shard->append_tokens) * APPEND_SPACING_MS) + 1;
  shard->append_tokens -= 1;
  return 0;
}

/* Nothing is appended before the end of the stream has been read, so that each record can
 * name its predecessor. */
static bool
may_append (LimpetClaimShard *shard)
{
  bool has;

  pthread_mutex_lock (&shard->lock);
  has = shard->has_read && (shard->pending->len > 0 || shard->marker_due);
  pthread_mutex_unlock (&shard->lock);
  return has;
}

static void
append_pending (void *user)
{
  LimpetClaimShard *shard = user;
  LimpetLogClient *client = limpet_log_client_http_new (shard->log_url);
  bool goes_on = true;

  while (goes_on)
    {
      LimpetClaimRecord *record;
      LimpetMs wait_ms;

      if (!may_append (shard))
        {
          goes_on = limpet_worker_wait (&shard->appender, IDLE_CHECK_MS);
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
          goes_on = limpet_worker_wait (&shard->appender, RETRY_MS);
          continue;
        }
      if (!append_record (shard, client, record))
        goes_on = limpet_worker_wait (&shard->appender, RETRY_MS);
      else
        goes_on = !limpet_worker_is_stopping (&shard->appender);
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
  shard->tokens_ms = limpet_clock_mono_ms ();
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
