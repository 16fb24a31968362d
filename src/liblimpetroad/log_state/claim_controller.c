#include "private/claim_controller.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/condition.h"
#include "private/worker.h"

#include <glib.h>
#include <string.h>

#define SHARD_COUNT 16
#define CLAIM_RESEND_MS 150
/* A claim or an outcome is sent this many times to a router, then to the next in rank. */
#define SENDS_PER_RANK 4
#define WORKER_PERIOD_MS 100
#define OUTCOME_RESEND_MS 500
/* An outcome is no longer resent after this time. */
#define OUTCOME_MAX_AGE_MS 120000
/* Further outcomes are sent once and not kept for resending. */
#define MAX_UNRECORDED 10000
/* A peer gets no reply to a claim or an outcome received longer ago than this. */
#define REQUESTER_MAX_AGE_MS 30000
#define MAINTENANCE_PERIOD_MS 1000
/* Time from the start to the first maintenance. Before digests of peers arrive, this
 * router knows no other live router and would maintain every shard. */
#define MAINTENANCE_DELAY_MS 3000

/* A request of this router whose thread waits for the decision on its claim. Allocated on
 * the stack of that thread. */
typedef struct
{
  const LimpetClaimEntry *entry;
  LimpetClaimDecision *decision;
  pthread_cond_t changed;
  bool decided;
} Waiter;

/* An outcome not yet known to be in the log. */
typedef struct
{
  LimpetOutcomeEntry entry;
  LimpetMs created_ms;
  LimpetMs sent_ms;
  uint32_t sends;
} UnrecordedOutcome;

/* A peer that sent a claim or an outcome and waits for the reply. */
typedef struct
{
  char router[LIMPET_NAME_SIZE];
  LimpetMs time_ms;
} Requester;

struct LimpetClaimController
{
  LimpetController parent;
  const LimpetSettings *settings;
  LimpetPeerController *peers;
  LimpetClaimShard *shards[SHARD_COUNT];
  LimpetWorker worker;
  pthread_mutex_t lock;   /* guards the tables below; never held in calls to a shard */
  GHashTable *waiters;    /* attempt → Waiter */
  GHashTable *unrecorded; /* attempt → UnrecordedOutcome */
  GHashTable *claim_requesters;   /* attempt → Requester, for claims of peers */
  GHashTable *outcome_requesters; /* attempt → Requester, for outcomes of peers */
};

static uint32_t
shard_of (const LimpetClaimId *key)
{
  return key->bytes[LIMPET_CLAIM_ID_BYTES - 1] % SHARD_COUNT;
}

static void
free_unrecorded (gpointer data)
{
  UnrecordedOutcome *unrecorded = data;

  g_free (unrecorded->entry.outcome.body);
  g_free (unrecorded);
}

static void
add_requester (GHashTable *table, const LimpetClaimId *attempt, const char *router)
{
  Requester *requester = g_new0 (Requester, 1);

  g_strlcpy (requester->router, router, sizeof requester->router);
  requester->time_ms = limpet_clock_mono_ms ();
  g_hash_table_replace (table, g_memdup2 (attempt, sizeof *attempt), requester);
}

static ProtobufCBinaryData
pack_id (const LimpetClaimId *id)
{
  return (ProtobufCBinaryData){ .data = (uint8_t *)id->bytes, .len = sizeof id->bytes };
}

static bool
unpack_id (const ProtobufCBinaryData *data, LimpetClaimId *id)
{
  if (data->len != sizeof id->bytes)
    return false;
  memcpy (id->bytes, data->data, sizeof id->bytes);
  return true;
}

static void
fill_decision (LimpetClaimDecision *decision,
               const LimpetClaimEntry *entry,
               LimpetClaimResult result,
               const LimpetClaim *claim)
{
  *decision = (LimpetClaimDecision){ .result = result };
  if (claim == NULL)
    return;
  decision->offset = claim->offset;
  decision->same_request = claim->request_hash == entry->request_hash;
  decision->has_outcome = claim->has_outcome;
  decision->outcome = claim->outcome;
  decision->outcome.body = g_strdup (claim->outcome.body);
}

static void
send_reply (LimpetClaimController *self,
            const char *router,
            const LimpetClaimEntry *entry,
            const LimpetClaimDecision *decision)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__ClaimReply reply = LIMPET__CLAIM_REPLY__INIT;

  reply.key = pack_id (&entry->key);
  reply.attempt = pack_id (&entry->attempt);
  reply.result = decision->result;
  reply.offset = decision->offset;
  reply.same_request = decision->same_request;
  reply.has_outcome = decision->has_outcome;
  reply.outcome = decision->outcome.kind;
  reply.code = (uint32_t)decision->outcome.code;
  reply.content_type = (char *)decision->outcome.content_type;
  reply.has_body = decision->outcome.body != NULL;
  if (reply.has_body)
    reply.body = decision->outcome.body;
  envelope.body_case = LIMPET__ENVELOPE__BODY_CLAIM_REPLY;
  envelope.claim_reply = &reply;
  limpet_peer_controller_send (self->peers, router, &envelope);
}

static void
complete_waiter (LimpetClaimController *self,
                 const LimpetClaimId *attempt,
                 const LimpetClaimDecision *decision)
{
  Waiter *waiter = g_hash_table_lookup (self->waiters, attempt);

  if (waiter == NULL || waiter->decided)
    return;
  *waiter->decision = *decision;
  waiter->decision->outcome.body = g_strdup (decision->outcome.body);
  waiter->decided = true;
  pthread_cond_signal (&waiter->changed);
}

static bool
remove_requester (GHashTable *table,
                  const LimpetClaimId *attempt,
                  char router[LIMPET_NAME_SIZE])
{
  const Requester *requester = g_hash_table_lookup (table, attempt);

  if (requester == NULL)
    return false;
  g_strlcpy (router, requester->router, LIMPET_NAME_SIZE);
  g_hash_table_remove (table, attempt);
  return true;
}

static void
on_claim_decided (void *user,
                  const LimpetClaimEntry *entry,
                  LimpetClaimResult result,
                  const LimpetClaim *claim)
{
  LimpetClaimController *self = user;
  char router[LIMPET_NAME_SIZE];
  LimpetClaimDecision decision;
  bool has_requester;

  fill_decision (&decision, entry, result, claim);
  pthread_mutex_lock (&self->lock);
  complete_waiter (self, &entry->attempt, &decision);
  has_requester = remove_requester (self->claim_requesters, &entry->attempt, router);
  pthread_mutex_unlock (&self->lock);
  if (has_requester)
    send_reply (self, router, entry, &decision);
  g_free (decision.outcome.body);
}

static void
on_outcome_recorded (void *user, const LimpetClaimId *key, const LimpetClaimId *attempt)
{
  LimpetClaimController *self = user;
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__OutcomeAck ack = LIMPET__OUTCOME_ACK__INIT;
  char router[LIMPET_NAME_SIZE];
  bool has_requester;

  pthread_mutex_lock (&self->lock);
  g_hash_table_remove (self->unrecorded, attempt);
  has_requester = remove_requester (self->outcome_requesters, attempt, router);
  pthread_mutex_unlock (&self->lock);
  if (!has_requester)
    return;
  ack.key = pack_id (key);
  ack.attempt = pack_id (attempt);
  envelope.body_case = LIMPET__ENVELOPE__BODY_OUTCOME_ACK;
  envelope.outcome_ack = &ack;
  limpet_peer_controller_send (self->peers, router, &envelope);
}

static void
on_claim_request (LimpetClaimController *self, const Limpet__ClaimRequest *request)
{
  LimpetClaimEntry entry = {
    .request_hash = request->request_hash,
    .issued_ms = request->issued_ms,
  };

  if (!unpack_id (&request->key, &entry.key)
      || !unpack_id (&request->attempt, &entry.attempt))
    return;
  pthread_mutex_lock (&self->lock);
  add_requester (self->claim_requesters, &entry.attempt, request->router);
  pthread_mutex_unlock (&self->lock);
  limpet_claim_shard_submit (self->shards[shard_of (&entry.key)], &entry);
}

static void
on_claim_reply (LimpetClaimController *self, const Limpet__ClaimReply *reply)
{
  LimpetClaimId attempt;
  LimpetClaimDecision decision = {
    .result = reply->result,
    .offset = reply->offset,
    .same_request = reply->same_request,
    .has_outcome = reply->has_outcome,
    .outcome = {
      .kind = reply->outcome,
      .code = (int32_t)reply->code,
      .body = reply->has_body ? reply->body : NULL,
    },
  };

  if (!unpack_id (&reply->attempt, &attempt) || reply->result >= LIMPET_CLAIM_RESULT_COUNT
      || reply->outcome >= LIMPET_OUTCOME_COUNT)
    return;
  g_strlcpy (decision.outcome.content_type, reply->content_type,
             sizeof decision.outcome.content_type);
  pthread_mutex_lock (&self->lock);
  complete_waiter (self, &attempt, &decision);
  pthread_mutex_unlock (&self->lock);
}

static void
on_outcome_report (LimpetClaimController *self, const Limpet__OutcomeReport *report)
{
  LimpetOutcomeEntry entry = {
    .outcome = {
      .kind = report->outcome,
      .code = (int32_t)report->code,
      .body = report->has_body ? report->body : NULL,
    },
  };

  if (!unpack_id (&report->key, &entry.key)
      || !unpack_id (&report->attempt, &entry.attempt)
      || report->outcome >= LIMPET_OUTCOME_COUNT)
    return;
  g_strlcpy (entry.outcome.content_type, report->content_type,
             sizeof entry.outcome.content_type);
  pthread_mutex_lock (&self->lock);
  add_requester (self->outcome_requesters, &entry.attempt, report->router);
  pthread_mutex_unlock (&self->lock);
  limpet_claim_shard_record_outcome (self->shards[shard_of (&entry.key)], &entry);
}

static void
on_outcome_ack (LimpetClaimController *self, const Limpet__OutcomeAck *ack)
{
  LimpetClaimId attempt;

  if (!unpack_id (&ack->attempt, &attempt))
    return;
  pthread_mutex_lock (&self->lock);
  g_hash_table_remove (self->unrecorded, &attempt);
  pthread_mutex_unlock (&self->lock);
}

static void
on_message (void *user, const Limpet__Envelope *envelope)
{
  LimpetClaimController *self = user;

  switch (envelope->body_case)
    {
    case LIMPET__ENVELOPE__BODY_CLAIM_REQUEST:
      on_claim_request (self, envelope->claim_request);
      break;
    case LIMPET__ENVELOPE__BODY_CLAIM_REPLY:
      on_claim_reply (self, envelope->claim_reply);
      break;
    case LIMPET__ENVELOPE__BODY_OUTCOME_REPORT:
      on_outcome_report (self, envelope->outcome_report);
      break;
    case LIMPET__ENVELOPE__BODY_OUTCOME_ACK:
      on_outcome_ack (self, envelope->outcome_ack);
      break;
    default:
      break;
    }
}

/* Writes the name of the router to which a claim or an outcome is sent next, after the
 * given number of sends: at first the owner of the shard, later the next router in rank,
 * or this router if there is no further one. */
static void
choose_router (LimpetClaimController *self,
               const LimpetClaimId *key,
               uint32_t sends,
               char router[LIMPET_NAME_SIZE])
{
  uint32_t shard = shard_of (key);
  uint32_t rank = sends / SENDS_PER_RANK;

  if (!limpet_peer_controller_ranked_router (self->peers, shard, rank, router))
    g_strlcpy (router, self->settings->name, LIMPET_NAME_SIZE);
}

static void
send_claim (LimpetClaimController *self, const LimpetClaimEntry *entry, uint32_t sends)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__ClaimRequest request = LIMPET__CLAIM_REQUEST__INIT;
  char router[LIMPET_NAME_SIZE];

  choose_router (self, &entry->key, sends, router);
  if (strcmp (router, self->settings->name) == 0)
    {
      limpet_claim_shard_submit (self->shards[shard_of (&entry->key)], entry);
      return;
    }
  limpet_counter_add (LIMPET_COUNTER_CLAIM_FORWARDS, 1);
  request.router = (char *)self->settings->name;
  request.key = pack_id (&entry->key);
  request.attempt = pack_id (&entry->attempt);
  request.request_hash = entry->request_hash;
  request.issued_ms = entry->issued_ms;
  envelope.body_case = LIMPET__ENVELOPE__BODY_CLAIM_REQUEST;
  envelope.claim_request = &request;
  limpet_peer_controller_send (self->peers, router, &envelope);
}

static void
wait_for_decision (LimpetClaimController *self, Waiter *waiter, LimpetMs until_ms)
{
  while (!waiter->decided && limpet_clock_mono_ms () < until_ms)
    limpet_condition_wait_until (&waiter->changed, &self->lock, until_ms);
}

static void
init_waiter (Waiter *waiter, const LimpetClaimEntry *entry, LimpetClaimDecision *decision)
{
  *waiter = (Waiter){ .entry = entry, .decision = decision };
  limpet_condition_init (&waiter->changed);
}

LimpetStatus
limpet_claim_controller_claim (LimpetClaimController *self,
                               const LimpetClaimEntry *entry,
                               LimpetMs deadline_ms,
                               LimpetClaimDecision *decision,
                               LimpetError *error)
{
  Waiter waiter;
  uint32_t sends = 0;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  limpet_counter_add (LIMPET_COUNTER_CLAIMS, 1);
  init_waiter (&waiter, entry, decision);
  pthread_mutex_lock (&self->lock);
  g_hash_table_insert (self->waiters, (gpointer)&entry->attempt, &waiter);
  while (!waiter.decided && now_ms < deadline_ms)
    {
      pthread_mutex_unlock (&self->lock);
      send_claim (self, entry, sends++);
      pthread_mutex_lock (&self->lock);
      wait_for_decision (self, &waiter, MIN (deadline_ms, now_ms + CLAIM_RESEND_MS));
      now_ms = limpet_clock_mono_ms ();
    }
  g_hash_table_remove (self->waiters, &entry->attempt);
  pthread_mutex_unlock (&self->lock);
  pthread_cond_destroy (&waiter.changed);
  if (!waiter.decided)
    return limpet_error_set (error, LIMPET_STATUS_TIMEOUT, "claim", "log",
                             "the claim was not decided before the deadline");
  if (decision->result != LIMPET_CLAIM_WON)
    limpet_counter_add (LIMPET_COUNTER_CLAIMS_LOST, 1);
  return LIMPET_STATUS_OK;
}

static void
send_outcome (LimpetClaimController *self,
              const LimpetOutcomeEntry *entry,
              uint32_t sends)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__OutcomeReport report = LIMPET__OUTCOME_REPORT__INIT;
  char router[LIMPET_NAME_SIZE];

  choose_router (self, &entry->key, sends, router);
  if (strcmp (router, self->settings->name) == 0)
    {
      limpet_claim_shard_record_outcome (self->shards[shard_of (&entry->key)], entry);
      return;
    }
  report.router = (char *)self->settings->name;
  report.key = pack_id (&entry->key);
  report.attempt = pack_id (&entry->attempt);
  report.outcome = entry->outcome.kind;
  report.code = (uint32_t)entry->outcome.code;
  report.content_type = (char *)entry->outcome.content_type;
  report.has_body = entry->outcome.body != NULL;
  if (report.has_body)
    report.body = entry->outcome.body;
  envelope.body_case = LIMPET__ENVELOPE__BODY_OUTCOME_REPORT;
  envelope.outcome_report = &report;
  limpet_peer_controller_send (self->peers, router, &envelope);
}

static LimpetOutcomeEntry *
copy_entry (const LimpetOutcomeEntry *entry)
{
  LimpetOutcomeEntry *copy = g_memdup2 (entry, sizeof *entry);

  copy->outcome.body = g_strdup (entry->outcome.body);
  return copy;
}

void
limpet_claim_controller_record_outcome (LimpetClaimController *self,
                                        const LimpetOutcomeEntry *entry)
{
  UnrecordedOutcome *unrecorded = g_new0 (UnrecordedOutcome, 1);

  unrecorded->entry = *entry;
  unrecorded->entry.outcome.body = g_strdup (entry->outcome.body);
  unrecorded->created_ms = unrecorded->sent_ms = limpet_clock_mono_ms ();
  unrecorded->sends = 1;
  pthread_mutex_lock (&self->lock);
  if (g_hash_table_size (self->unrecorded) < MAX_UNRECORDED)
    g_hash_table_replace (self->unrecorded, &unrecorded->entry.attempt, unrecorded);
  else
    free_unrecorded (unrecorded);
  pthread_mutex_unlock (&self->lock);
  send_outcome (self, entry, 0);
}

/* Returns copies of the outcomes to resend, and fills sends with the number of earlier
 * sends of each. Drops outcomes that are too old. */
static GPtrArray *
collect_due (LimpetClaimController *self, LimpetMs now_ms, GArray *sends)
{
  GPtrArray *due = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, self->unrecorded);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      UnrecordedOutcome *unrecorded = value;

      if (now_ms - unrecorded->created_ms > OUTCOME_MAX_AGE_MS)
        {
          g_hash_table_iter_remove (&iter);
          continue;
        }
      if (now_ms - unrecorded->sent_ms < OUTCOME_RESEND_MS)
        continue;
      unrecorded->sent_ms = now_ms;
      g_ptr_array_add (due, copy_entry (&unrecorded->entry));
      g_array_append_val (sends, unrecorded->sends);
      unrecorded->sends++;
    }
  return due;
}

static gboolean
requester_is_old (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return ((const Requester *)value)->time_ms < *(const LimpetMs *)user;
}

static void
maintain_owned_shards (LimpetClaimController *self)
{
  char owner[LIMPET_NAME_SIZE];

  for (uint32_t i = 0; i < SHARD_COUNT; i++)
    if (limpet_peer_controller_ranked_router (self->peers, i, 0, owner)
        && strcmp (owner, self->settings->name) == 0)
      limpet_claim_shard_maintain (self->shards[i]);
}

static void
run_periodic_tasks (void *user)
{
  LimpetClaimController *self = user;
  LimpetMs maintenance_ms = limpet_clock_mono_ms () + MAINTENANCE_DELAY_MS;

  while (limpet_worker_wait (&self->worker, WORKER_PERIOD_MS))
    {
      GArray *sends = g_array_new (FALSE, FALSE, sizeof (uint32_t));
      LimpetMs now_ms = limpet_clock_mono_ms ();
      LimpetMs oldest_ms = now_ms - REQUESTER_MAX_AGE_MS;
      GPtrArray *due;

      if (now_ms >= maintenance_ms)
        {
          maintain_owned_shards (self);
          maintenance_ms = now_ms + MAINTENANCE_PERIOD_MS;
        }
      pthread_mutex_lock (&self->lock);
      due = collect_due (self, now_ms, sends);
      g_hash_table_foreach_remove (self->claim_requesters, requester_is_old, &oldest_ms);
      g_hash_table_foreach_remove (self->outcome_requesters, requester_is_old,
                                   &oldest_ms);
      pthread_mutex_unlock (&self->lock);
      for (guint i = 0; i < due->len; i++)
        {
          LimpetOutcomeEntry *entry = g_ptr_array_index (due, i);

          send_outcome (self, entry, g_array_index (sends, uint32_t, i));
          g_free (entry->outcome.body);
          g_free (entry);
        }
      g_ptr_array_free (due, TRUE);
      g_array_free (sends, TRUE);
    }
}

uint32_t
limpet_claim_controller_unrecorded_count (LimpetClaimController *self)
{
  uint32_t count;

  pthread_mutex_lock (&self->lock);
  count = g_hash_table_size (self->unrecorded);
  pthread_mutex_unlock (&self->lock);
  return count;
}

static void
start (LimpetController *controller)
{
  LimpetClaimController *self = (LimpetClaimController *)controller;
  LimpetClaimShardObserver observer = {
    .claim_decided = on_claim_decided,
    .outcome_recorded = on_outcome_recorded,
    .user = self,
  };

  for (uint32_t i = 0; i < SHARD_COUNT; i++)
    self->shards[i] = limpet_claim_shard_new (
        self->settings->log_url, i, self->settings->log_retention_ms, &observer);
  limpet_peer_controller_set_handler (self->peers, on_message, self);
  limpet_worker_start (&self->worker, run_periodic_tasks, self);
}

static void
stop (LimpetController *controller)
{
  LimpetClaimController *self = (LimpetClaimController *)controller;

  limpet_worker_stop (&self->worker);
  for (uint32_t i = 0; i < SHARD_COUNT; i++)
    limpet_claim_shard_stop (self->shards[i]);
}

static void
dump (LimpetController *controller, json_object *object)
{
  LimpetClaimController *self = (LimpetClaimController *)controller;
  json_object *shards = json_object_new_array ();

  for (uint32_t i = 0; i < SHARD_COUNT; i++)
    limpet_claim_shard_dump (self->shards[i], shards);
  json_object_object_add (object, "shards", shards);
  json_object_object_add (
      object, "unreported",
      json_object_new_int64 (limpet_claim_controller_unrecorded_count (self)));
}

static void
free_controller (LimpetController *controller)
{
  LimpetClaimController *self = (LimpetClaimController *)controller;

  for (uint32_t i = 0; i < SHARD_COUNT; i++)
    limpet_claim_shard_delete (self->shards[i]);
  g_hash_table_destroy (self->waiters);
  g_hash_table_destroy (self->unrecorded);
  g_hash_table_destroy (self->claim_requesters);
  g_hash_table_destroy (self->outcome_requesters);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

static const LimpetControllerOps ops = {
  .name = "claims",
  .start = start,
  .stop = stop,
  .dump = dump,
  .free = free_controller,
};

LimpetClaimController *
limpet_claim_controller_new (const LimpetSettings *settings, LimpetPeerController *peers)
{
  LimpetClaimController *self = g_new0 (LimpetClaimController, 1);

  self->parent.ops = &ops;
  self->settings = settings;
  self->peers = peers;
  pthread_mutex_init (&self->lock, NULL);
  self->waiters = g_hash_table_new (limpet_claim_id_hash, limpet_claim_ids_match);
  self->unrecorded = g_hash_table_new_full (limpet_claim_id_hash, limpet_claim_ids_match,
                                            NULL, free_unrecorded);
  self->claim_requesters = g_hash_table_new_full (limpet_claim_id_hash,
                                                  limpet_claim_ids_match, g_free, g_free);
  self->outcome_requesters = g_hash_table_new_full (
      limpet_claim_id_hash, limpet_claim_ids_match, g_free, g_free);
  return self;
}
