#include "private/peer_controller.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "private/peer_row.h"
#include "private/peer_transport.h"
#include "private/worker.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <xxhash.h>

#define TICK_MS 20
#define URGENT_TICK_MS 2
#define REGULAR_PERIOD_MS 500
#define URGENT_PERIOD_MS 8
/* After a change of the target list, rows carry it for this time. */
#define CARRY_IDS_MS 3000
#define MOST_ROW_BYTES 1100
#define MOST_ROWS 64
#define SILENT_MS 2500
#define LINK_LIFE_MS 20000
#define WEIGHT_LIFE_MS 2000
/* Time for the log to show a bundle before a peer is asked for it. */
#define BEHIND_GRACE_MS 400
#define BUNDLE_RETRY_MS 500
#define BUNDLE_REPLY_SPACING_MS 200
#define MOST_QUEUED 4096
#define OVERHEAD_BYTES 110

/* What this router knows of another one. */
typedef struct
{
  LimpetVm vm;
  LimpetPeerLink *link;
  uint64_t incarnation;
  uint32_t row_sequence;
  uint8_t *row; /* packed, to be passed on */
  size_t row_length;
  LimpetMs link_ms;  /* at which the link was made */
  LimpetMs given_ms; /* at which rows were last sent to the peer */
  LimpetMs heard_ms; /* 0 if never */
  LimpetMs bundle_reply_ms;
  int64_t bundle_version;
  uint32_t fingerprint; /* of the peer's target list */
  bool draining;
  bool alive;
  LimpetPeerCounts counts;
} Peer;

/* A message from another thread. */
typedef struct
{
  char router[LIMPET_NAME_SIZE];
  uint8_t *data;
  size_t length;
} Outgoing;

struct LimpetPeerController
{
  LimpetController parent;
  const LimpetSettings *settings;
  LimpetTargets *targets;
  LimpetBundleController *bundles;
  LimpetAdmission *admission;
  LimpetPeerHandler handler;
  void *handler_user;
  LimpetPeerTransport *transport;
  LimpetWorker worker;
  int wake_fd;
  uint64_t incarnation;
  pthread_mutex_t lock; /* guards peers and outgoing */
  GPtrArray *peers;     /* of Peer */
  GQueue *outgoing;     /* of Outgoing */
  bool draining;
  _Atomic bool urgent; /* a target is near its bound: send digests out of turn */
  uint32_t row_sequence;
  uint32_t fingerprint; /* of the target list in the last row */
  LimpetMs list_changed_ms;
  uint32_t rounds;
  double byte_tokens;
  LimpetMs tokens_ms;
  LimpetMs regular_ms; /* time of the last regular digest */
  LimpetMs urgent_ms;  /* time of the last urgent one */
  LimpetMs behind_ms;  /* since when a peer has a newer bundle; 0 if none */
  LimpetMs asked_ms;
  char asked[LIMPET_NAME_SIZE]; /* peer that was asked last */
  LimpetRowBuffers buffers;
  uint8_t message[LIMPET_MAX_PEER_MESSAGE_BYTES];
};

static void
free_peer (gpointer data)
{
  Peer *peer = data;

  limpet_peer_link_delete (peer->link);
  g_free (peer->row);
  limpet_row_clear (&peer->counts);
  g_free (peer);
}

static void
free_outgoing (gpointer data)
{
  Outgoing *outgoing = data;

  g_free (outgoing->data);
  g_free (outgoing);
}

static Peer *
find_peer (const LimpetPeerController *self, const char *name)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      if (strcmp (peer->vm.id, name) == 0)
        return peer;
    }
  return NULL;
}

static bool
is_listed (const LimpetVmList *list, const Peer *peer)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->vms[i].kind == LIMPET_VM_ROUTER
        && strcmp (list->vms[i].id, peer->vm.id) == 0
        && strcmp (list->vms[i].address, peer->vm.address) == 0
        && list->vms[i].port == peer->vm.port)
      return true;
  return false;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp ((*(Peer *const *)a)->vm.id, (*(Peer *const *)b)->vm.id);
}

static void
add_listed (LimpetPeerController *self, const LimpetVm *vm)
{
  Peer *peer;

  if (vm->kind != LIMPET_VM_ROUTER || strcmp (vm->id, self->settings->name) == 0
      || find_peer (self, vm->id) != NULL)
    return;
  peer = g_new0 (Peer, 1);
  peer->vm = *vm;
  g_ptr_array_add (self->peers, peer);
  g_ptr_array_sort (self->peers, compare_names);
  limpet_log (LIMPET_LOG_NOTICE, "peers", vm->id, "listed at %s:%d", vm->address,
              (int)vm->port);
}

/* A peer that is no longer listed is kept while it is heard: the list may lag. */
void
limpet_peer_controller_update (void *controller, const LimpetVmList *list)
{
  LimpetPeerController *self = controller;

  pthread_mutex_lock (&self->lock);
  for (guint i = self->peers->len; i > 0; i--)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i - 1);

      if (!is_listed (list, peer) && !peer->alive)
        g_ptr_array_remove_index (self->peers, i - 1);
    }
  for (uint32_t i = 0; i < list->count; i++)
    add_listed (self, &list->vms[i]);
  pthread_mutex_unlock (&self->lock);
}

static LimpetPeerLink *
ensure_link (LimpetPeerController *self, Peer *peer)
{
  if (peer->link == NULL)
    {
      peer->link
          = limpet_peer_link_new (self->transport, peer->vm.address, (int)peer->vm.port);
      peer->link_ms = limpet_clock_mono_ms ();
    }
  return peer->link;
}

static bool
send_envelope (LimpetPeerController *self,
               Peer *peer,
               const Limpet__Envelope *envelope,
               size_t *length)
{
  *length = limpet__envelope__get_packed_size (envelope);
  if (*length > sizeof self->message)
    return false;
  limpet__envelope__pack (envelope, self->message);
  return limpet_peer_link_send (ensure_link (self, peer), self->message, *length);
}

static bool
lists_differ (const LimpetPeerController *self)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && peer->fingerprint != self->fingerprint)
        return true;
    }
  return false;
}

/* Packs this router's row; the caller frees it with g_free(). */
static uint8_t *
pack_own_row (LimpetPeerController *self, LimpetMs now_ms, size_t *length)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  Limpet__Row row = LIMPET__ROW__INIT;
  uint8_t *data;

  if (view->fingerprint != self->fingerprint)
    {
      self->fingerprint = view->fingerprint;
      self->list_changed_ms = now_ms;
    }
  row.router = (char *)self->settings->name;
  row.incarnation = self->incarnation;
  row.sequence = ++self->row_sequence;
  row.bundle_version = limpet_bundle_controller_version (self->bundles);
  row.draining = self->draining;
  limpet_row_pack (&row, view,
                   now_ms - self->list_changed_ms < CARRY_IDS_MS || lists_differ (self),
                   &self->buffers);
  *length = limpet__row__get_packed_size (&row);
  data = g_malloc (*length + 1);
  limpet__row__pack (&row, data);
  limpet_target_view_release (view);
  return data;
}

static int
compare_heard (const void *a, const void *b)
{
  LimpetMs left = (*(Peer *const *)a)->heard_ms;
  LimpetMs right = (*(Peer *const *)b)->heard_ms;

  return (left < right) - (left > right);
}

/* Adds the rows that came since the receiver was last sent any, the newest first, within
 * MOST_ROW_BYTES. */
static void
add_rows (LimpetPeerController *self, Peer *receiver, Limpet__Digest *digest)
{
  GPtrArray *order = g_ptr_array_new ();
  size_t bytes = digest->rows[0].len;

  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && peer->row != NULL && peer != receiver
          && peer->heard_ms >= receiver->given_ms)
        g_ptr_array_add (order, peer);
    }
  g_ptr_array_sort (order, compare_heard);
  for (guint i = 0; i < order->len && digest->n_rows < MOST_ROWS; i++)
    {
      const Peer *peer = g_ptr_array_index (order, i);

      bytes += peer->row_length;
      if (bytes > MOST_ROW_BYTES)
        break;
      digest->rows[digest->n_rows++]
          = (ProtobufCBinaryData){ .data = peer->row, .len = peer->row_length };
    }
  g_ptr_array_free (order, TRUE);
  receiver->given_ms = limpet_clock_mono_ms ();
}

/* Returns the bytes that the digest takes on the wire. */
static size_t
send_digest (LimpetPeerController *self, Peer *peer, bool urgent, LimpetMs now_ms)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__Digest digest = LIMPET__DIGEST__INIT;
  ProtobufCBinaryData rows[MOST_ROWS];
  size_t length = 0;

  digest.router = (char *)self->settings->name;
  digest.urgent = urgent;
  digest.rows = rows;
  rows[0].data = pack_own_row (self, now_ms, &rows[0].len);
  digest.n_rows = 1;
  add_rows (self, peer, &digest);
  envelope.body_case = LIMPET__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  if (send_envelope (self, peer, &envelope, &length))
    limpet_count (LIMPET_COUNTER_DIGESTS_SENT, 1);
  g_free (rows[0].data);
  return length + OVERHEAD_BYTES;
}

static void
sum_peers_locked (LimpetPeerController *self)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  const LimpetPeerCounts **counts
      = g_new0 (const LimpetPeerCounts *, self->peers->len + 1);
  uint32_t count = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive)
        counts[count++] = &peer->counts;
    }
  limpet_row_sum (view, counts, count, limpet_clock_mono_ms () + WEIGHT_LIFE_MS);
  limpet_target_view_release (view);
  g_free (counts);
}

static void
count_routers_locked (LimpetPeerController *self)
{
  uint32_t routers = 1;

  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i);

      routers += peer->alive && !peer->draining;
    }
  limpet_admission_set_routers (self->admission, routers);
}

static void
set_alive_locked (LimpetPeerController *self, Peer *peer, bool alive)
{
  if (peer->alive == alive)
    return;
  peer->alive = alive;
  limpet_log (LIMPET_LOG_NOTICE, "peers", peer->vm.id, alive ? "heard" : "silent");
  if (!alive)
    limpet_row_clear (&peer->counts);
  count_routers_locked (self);
}

/* A row of an older incarnation, or one overtaken by a later one, says nothing. */
static bool
is_news (const Peer *peer, const Limpet__Row *row)
{
  if (row->incarnation != peer->incarnation)
    return row->incarnation > peer->incarnation;
  return row->sequence > peer->row_sequence;
}

static void
take_row (LimpetPeerController *self,
          Peer *peer,
          const Limpet__Row *row,
          const ProtobufCBinaryData *packed,
          const LimpetTargetView *view)
{
  peer->incarnation = row->incarnation;
  peer->row_sequence = row->sequence;
  peer->heard_ms = limpet_clock_mono_ms ();
  peer->bundle_version = row->bundle_version;
  peer->fingerprint = row->fingerprint;
  g_free (peer->row);
  peer->row = g_memdup2 (packed->data, packed->len);
  peer->row_length = packed->len;
  if (peer->draining != (bool)row->draining)
    {
      peer->draining = row->draining;
      count_routers_locked (self);
    }
  set_alive_locked (self, peer, true);
  if (!limpet_row_unpack (row, view, &peer->counts))
    limpet_count (LIMPET_COUNTER_PEER_MALFORMED, 1);
  limpet_row_mark_leaving (row, view);
}

/* Returns whether any row was new. */
static bool
take_rows (LimpetPeerController *self,
           const Limpet__Digest *digest,
           const LimpetTargetView *view)
{
  bool news = false;

  for (size_t i = 0; i < digest->n_rows; i++)
    {
      Limpet__Row *row
          = limpet__row__unpack (NULL, digest->rows[i].len, digest->rows[i].data);
      Peer *peer = row != NULL ? find_peer (self, row->router) : NULL;

      if (row == NULL)
        limpet_count (LIMPET_COUNTER_PEER_MALFORMED, 1);
      if (peer != NULL && is_news (peer, row))
        {
          take_row (self, peer, row, &digest->rows[i], view);
          news = true;
        }
      if (row != NULL)
        limpet__row__free_unpacked (row, NULL);
    }
  return news;
}

static void
on_digest (LimpetPeerController *self, const Limpet__Digest *digest)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  bool news;

  limpet_count (LIMPET_COUNTER_DIGESTS_RECEIVED, 1);
  pthread_mutex_lock (&self->lock);
  news = take_rows (self, digest, view);
  if (news)
    sum_peers_locked (self);
  pthread_mutex_unlock (&self->lock);
  limpet_target_view_release (view);
  if (news && digest->urgent)
    atomic_store (&self->urgent, true);
  if (news)
    limpet_admission_kick (self->admission);
}

static Limpet__Part *
pack_parts (const LimpetPart *changes, uint32_t count, Limpet__Part ***pointers)
{
  Limpet__Part *parts = g_new0 (Limpet__Part, count + 1);

  *pointers = g_new0 (Limpet__Part *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    {
      limpet__part__init (&parts[i]);
      parts[i].name = changes[i].name;
      parts[i].removed = changes[i].text == NULL;
      if (changes[i].text != NULL)
        parts[i].text = changes[i].text;
      (*pointers)[i] = &parts[i];
    }
  return parts;
}

static void
on_bundle_request (LimpetPeerController *self, const Limpet__BundleRequest *request)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__BundleParts answer = LIMPET__BUNDLE_PARTS__INIT;
  LimpetBundleProof proof;
  LimpetPart *changes = NULL;
  Limpet__Part **pointers = NULL;
  Limpet__Part *parts;
  uint32_t count = 0;
  size_t length = 0;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  Peer *peer;

  pthread_mutex_lock (&self->lock);
  peer = find_peer (self, request->router);
  if (peer == NULL || now_ms - peer->bundle_reply_ms < BUNDLE_REPLY_SPACING_MS)
    goto out;
  peer->bundle_reply_ms = now_ms;
  answer.base_version = limpet_bundle_controller_changes (self->bundles, request->version,
                                                          &proof, &changes, &count);
  parts = pack_parts (changes, count, &pointers);
  answer.version = proof.version;
  answer.parent = proof.parent;
  answer.root = proof.root;
  answer.author = proof.author;
  answer.approver = proof.approver;
  answer.signature = proof.signature;
  answer.parts = pointers;
  answer.n_parts = count;
  envelope.body_case = LIMPET__ENVELOPE__BODY_BUNDLE_PARTS;
  envelope.bundle_parts = &answer;
  if (proof.version > request->version && send_envelope (self, peer, &envelope, &length))
    self->byte_tokens -= (double)length;
  limpet_parts_free (changes, count);
  g_free (pointers);
  g_free (parts);

out:
  pthread_mutex_unlock (&self->lock);
}

static void
on_bundle_parts (LimpetPeerController *self, const Limpet__BundleParts *message)
{
  LimpetPart *changes = g_new0 (LimpetPart, message->n_parts + 1);
  LimpetBundleProof proof = { .version = message->version, .parent = message->parent };
  LimpetError error;

  g_strlcpy (proof.root, message->root, sizeof proof.root);
  g_strlcpy (proof.author, message->author, sizeof proof.author);
  g_strlcpy (proof.approver, message->approver, sizeof proof.approver);
  g_strlcpy (proof.signature, message->signature, sizeof proof.signature);
  for (size_t i = 0; i < message->n_parts; i++)
    {
      changes[i].name = message->parts[i]->name;
      changes[i].text = message->parts[i]->removed ? NULL : message->parts[i]->text;
    }
  if (limpet_bundle_controller_adopt (self->bundles, &proof, message->base_version,
                                      changes, (uint32_t)message->n_parts, &error)
      != LIMPET_STATUS_OK)
    limpet_log (LIMPET_LOG_INFO, "peers", NULL, "bundle %" PRId64 " not taken: %s",
                message->version, error.message);
  g_free (changes);
}

static void
dispatch (LimpetPeerController *self, const Limpet__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case LIMPET__ENVELOPE__BODY_DIGEST:
      on_digest (self, envelope->digest);
      break;
    case LIMPET__ENVELOPE__BODY_BUNDLE_REQUEST:
      on_bundle_request (self, envelope->bundle_request);
      break;
    case LIMPET__ENVELOPE__BODY_BUNDLE_PARTS:
      on_bundle_parts (self, envelope->bundle_parts);
      break;
    case LIMPET__ENVELOPE__BODY__NOT_SET:
      limpet_count (LIMPET_COUNTER_PEER_MALFORMED, 1);
      break;
    default:
      if (self->handler != NULL)
        self->handler (self->handler_user, envelope);
      break;
    }
}

static void
receive_all (LimpetPeerController *self)
{
  int length;

  while ((length = limpet_peer_transport_receive (self->transport, self->message,
                                                  sizeof self->message))
         >= 0)
    {
      Limpet__Envelope *envelope
          = limpet__envelope__unpack (NULL, (size_t)length, self->message);

      if (envelope == NULL)
        {
          limpet_count (LIMPET_COUNTER_PEER_MALFORMED, 1);
          continue;
        }
      dispatch (self, envelope);
      limpet__envelope__free_unpacked (envelope, NULL);
    }
}

static void
send_outgoing (LimpetPeerController *self)
{
  Outgoing *outgoing;

  pthread_mutex_lock (&self->lock);
  while ((outgoing = g_queue_pop_head (self->outgoing)) != NULL)
    {
      Peer *peer = find_peer (self, outgoing->router);

      if (peer != NULL)
        {
          limpet_peer_link_send (ensure_link (self, peer), outgoing->data,
                                 outgoing->length);
          self->byte_tokens -= (double)(outgoing->length + OVERHEAD_BYTES);
        }
      free_outgoing (outgoing);
    }
  pthread_mutex_unlock (&self->lock);
}

/* Links are replaced now and then: something between the two ends may have lost track of
 * one, while a new connection works. */
static void
check_link (Peer *peer, LimpetMs now_ms)
{
  if (peer->link == NULL || now_ms - peer->link_ms < LINK_LIFE_MS)
    return;
  limpet_peer_link_delete (peer->link);
  peer->link = NULL;
}

static void
check_peers (LimpetPeerController *self, LimpetMs now_ms)
{
  bool changed = false;

  pthread_mutex_lock (&self->lock);
  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      check_link (peer, now_ms);
      if (peer->alive && now_ms - peer->heard_ms > SILENT_MS)
        {
          set_alive_locked (self, peer, false);
          changed = true;
        }
    }
  if (changed)
    sum_peers_locked (self);
  pthread_mutex_unlock (&self->lock);
}

/* Returns the peer at a distance in the ring of names, or the next one that is alive; any
 * one if none is. */
static Peer *
peer_at_distance (LimpetPeerController *self, uint32_t distance)
{
  GPtrArray *ring = g_ptr_array_new ();
  Peer *chosen;
  guint self_index = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive)
        g_ptr_array_add (ring, peer);
    }
  for (guint i = 0; i < ring->len; i++)
    self_index
        += strcmp (((Peer *)g_ptr_array_index (ring, i))->vm.id, self->settings->name)
           < 0;
  if (ring->len > 0)
    chosen = g_ptr_array_index (ring, (self_index + distance - 1) % ring->len);
  else
    chosen = g_ptr_array_index (self->peers, self->rounds % self->peers->len);
  g_ptr_array_free (ring, TRUE);
  return chosen;
}

/* Peers that are not heard get a digest now and then, so that new and returning ones
 * join. */
static Peer *
pick_silent_peer (LimpetPeerController *self)
{
  uint32_t seen = 0;
  Peer *chosen = NULL;

  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->alive && randombytes_uniform (++seen) == 0)
        chosen = peer;
    }
  return chosen;
}

/* Regular digests go to the peers at distances 1, 2, 4, … in the ring, so that a row
 * reaches all in a number of periods that grows with the logarithm of their number.
 * Urgent ones go to the next peer, which passes new rows on at once. */
static Peer *
pick_receiver (LimpetPeerController *self, bool urgent)
{
  uint32_t distances = 1;
  Peer *silent = NULL;

  while ((1U << distances) < self->peers->len + 1)
    distances++;
  if (urgent)
    return peer_at_distance (self, 1);
  self->rounds++;
  if (self->rounds % 2 == 0)
    silent = pick_silent_peer (self);
  return silent != NULL ? silent
                        : peer_at_distance (self, 1U << (self->rounds % distances));
}

static void
send_one_digest (LimpetPeerController *self, bool urgent, LimpetMs now_ms)
{
  pthread_mutex_lock (&self->lock);
  if (self->peers->len > 0)
    self->byte_tokens
        -= (double)send_digest (self, pick_receiver (self, urgent), urgent, now_ms);
  pthread_mutex_unlock (&self->lock);
}

/* Sends the digests that are due, as far as the byte limit allows. */
static void
send_digests (LimpetPeerController *self, LimpetMs now_ms)
{
  double rate = (double)self->settings->control_bytes_per_s / 1000;

  self->byte_tokens
      = MIN (rate * 1000, self->byte_tokens + rate * (double)(now_ms - self->tokens_ms));
  self->tokens_ms = now_ms;
  if (self->byte_tokens > 0 && now_ms - self->regular_ms >= REGULAR_PERIOD_MS)
    {
      self->regular_ms = now_ms;
      send_one_digest (self, false, now_ms);
    }
  if (self->byte_tokens > 0 && now_ms - self->urgent_ms >= URGENT_PERIOD_MS
      && atomic_exchange (&self->urgent, false))
    {
      self->urgent_ms = now_ms;
      send_one_digest (self, true, now_ms);
    }
}

/* Picks a peer with a newer bundle, another one than was asked last if there is one, as
 * the claim mechanism of Frey et al. 2010, section III.B, asks another proposer again. */
static Peer *
pick_bundle_holder (LimpetPeerController *self, int64_t version)
{
  Peer *chosen = NULL;
  uint32_t seen = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      Peer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->alive || peer->bundle_version <= version)
        continue;
      if (strcmp (peer->vm.id, self->asked) == 0)
        {
          if (chosen == NULL)
            chosen = peer;
          continue;
        }
      if (randombytes_uniform (++seen) == 0)
        chosen = peer;
    }
  return chosen;
}

static void
ask_for_bundle (LimpetPeerController *self, LimpetMs now_ms)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__BundleRequest request = LIMPET__BUNDLE_REQUEST__INIT;
  size_t length = 0;
  Peer *peer;

  pthread_mutex_lock (&self->lock);
  request.version = limpet_bundle_controller_version (self->bundles);
  peer = pick_bundle_holder (self, request.version);
  if (peer == NULL)
    self->behind_ms = 0;
  else if (self->behind_ms == 0)
    self->behind_ms = now_ms;
  else if (now_ms - self->behind_ms >= BEHIND_GRACE_MS
           && now_ms - self->asked_ms >= BUNDLE_RETRY_MS)
    {
      request.router = (char *)self->settings->name;
      envelope.body_case = LIMPET__ENVELOPE__BODY_BUNDLE_REQUEST;
      envelope.bundle_request = &request;
      send_envelope (self, peer, &envelope, &length);
      g_strlcpy (self->asked, peer->vm.id, sizeof self->asked);
      self->asked_ms = now_ms;
    }
  pthread_mutex_unlock (&self->lock);
}

static void
run (void *user)
{
  LimpetPeerController *self = user;

  while (!limpet_worker_is_stopping (&self->worker))
    {
      LimpetMs now_ms;

      limpet_peer_transport_wait (self->transport, self->wake_fd,
                                  atomic_load (&self->urgent) ? URGENT_TICK_MS : TICK_MS);
      receive_all (self);
      send_outgoing (self);
      now_ms = limpet_clock_mono_ms ();
      check_peers (self, now_ms);
      send_digests (self, now_ms);
      ask_for_bundle (self, now_ms);
    }
}

static void
wake (LimpetPeerController *self)
{
  uint64_t one = 1;

  if (write (self->wake_fd, &one, sizeof one) < 0)
    return;
}

void
limpet_peer_controller_send (LimpetPeerController *self,
                             const char *router,
                             const Limpet__Envelope *envelope)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  g_strlcpy (outgoing->router, router, sizeof outgoing->router);
  outgoing->length = limpet__envelope__get_packed_size (envelope);
  outgoing->data = g_malloc (outgoing->length + 1);
  limpet__envelope__pack (envelope, outgoing->data);
  pthread_mutex_lock (&self->lock);
  if (self->outgoing->length < MOST_QUEUED)
    g_queue_push_tail (self->outgoing, outgoing);
  else
    free_outgoing (outgoing);
  pthread_mutex_unlock (&self->lock);
  wake (self);
}

void
limpet_peer_controller_drain (LimpetPeerController *self)
{
  pthread_mutex_lock (&self->lock);
  self->draining = true;
  pthread_mutex_unlock (&self->lock);
}

void
limpet_peer_controller_set_handler (LimpetPeerController *self,
                                    LimpetPeerHandler handler,
                                    void *user)
{
  self->handler = handler;
  self->handler_user = user;
}

/* A name with its score for one shard. */
typedef struct
{
  const char *name;
  uint64_t score;
} Candidate;

static int
compare_candidates (const void *a, const void *b)
{
  uint64_t left = ((const Candidate *)a)->score;
  uint64_t right = ((const Candidate *)b)->score;

  return (left < right) - (left > right);
}

static void
add_candidate (GArray *candidates, const char *name, uint32_t shard)
{
  Candidate candidate = { .name = name, .score = XXH64 (name, strlen (name), shard) };

  g_array_append_val (candidates, candidate);
}

bool
limpet_peer_controller_owner (LimpetPeerController *self,
                              uint32_t shard,
                              uint32_t rank,
                              char name[LIMPET_NAME_SIZE])
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  bool found;

  pthread_mutex_lock (&self->lock);
  add_candidate (candidates, self->settings->name, shard);
  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && !peer->draining)
        add_candidate (candidates, peer->vm.id, shard);
    }
  g_array_sort (candidates, compare_candidates);
  found = rank < candidates->len;
  if (found)
    g_strlcpy (name, g_array_index (candidates, Candidate, rank).name, LIMPET_NAME_SIZE);
  pthread_mutex_unlock (&self->lock);
  g_array_free (candidates, TRUE);
  return found;
}

void
limpet_peer_controller_hurry (void *controller)
{
  LimpetPeerController *self = controller;

  if (!atomic_exchange (&self->urgent, true))
    wake (self);
}

static void
start (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;
  LimpetError error;

  self->transport = limpet_peer_transport_new (self->settings, &error);
  if (self->transport == NULL)
    {
      limpet_log (LIMPET_LOG_ERROR, error.step, NULL, "%s", error.message);
      _exit (1);
    }
  limpet_worker_start (&self->worker, run, self);
}

static void
stop (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;

  limpet_worker_stop (&self->worker);
}

static void
dump (LimpetController *controller, json_object *object)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;
  json_object *array = json_object_new_array ();
  LimpetMs now_ms = limpet_clock_mono_ms ();

  pthread_mutex_lock (&self->lock);
  for (guint i = 0; i < self->peers->len; i++)
    {
      const Peer *peer = g_ptr_array_index (self->peers, i);
      json_object *entry = json_object_new_object ();

      json_object_object_add (entry, "name", json_object_new_string (peer->vm.id));
      json_object_object_add (entry, "alive", json_object_new_boolean (peer->alive));
      json_object_object_add (entry, "draining",
                              json_object_new_boolean (peer->draining));
      json_object_object_add (entry, "version",
                              json_object_new_int64 (peer->bundle_version));
      json_object_object_add (
          entry, "heard_ago_ms",
          json_object_new_int64 (peer->heard_ms > 0 ? now_ms - peer->heard_ms : -1));
      json_object_array_add (array, entry);
    }
  pthread_mutex_unlock (&self->lock);
  json_object_object_add (object, "list", array);
}

static void
free_controller (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;

  g_ptr_array_free (self->peers, TRUE);
  g_queue_free_full (self->outgoing, free_outgoing);
  limpet_peer_transport_delete (self->transport);
  close (self->wake_fd);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

static const LimpetControllerOps ops = {
  .name = "peers",
  .start = start,
  .stop = stop,
  .dump = dump,
  .free = free_controller,
};

LimpetPeerController *
limpet_peer_controller_new (const LimpetSettings *settings,
                            LimpetTargets *targets,
                            LimpetBundleController *bundles,
                            LimpetAdmission *admission)
{
  LimpetPeerController *self = g_new0 (LimpetPeerController, 1);

  self->parent.ops = &ops;
  self->settings = settings;
  self->targets = targets;
  self->bundles = bundles;
  self->admission = admission;
  self->incarnation = (uint64_t)limpet_clock_wall_ms ();
  self->tokens_ms = limpet_clock_mono_ms ();
  self->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  self->peers = g_ptr_array_new_with_free_func (free_peer);
  self->outgoing = g_queue_new ();
  pthread_mutex_init (&self->lock, NULL);
  limpet_admission_set_observer (admission, limpet_peer_controller_hurry, self);
  return self;
}
