#include "private/peer_state.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <sodium.h>
#include <string.h>

#define REGULAR_PERIOD_MS 500
#define URGENT_PERIOD_MS 8
/* For this time after a change of the target list, rows contain the target ids. */
#define SEND_IDS_MS 3000
#define MAX_ROW_BYTES 1100
#define MAX_ROWS 64
#define PEER_TIMEOUT_MS 2500
#define LINK_MAX_AGE_MS 20000
#define WEIGHT_LIFE_MS 2000

static bool
lists_differ (const LimpetPeerController *self)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

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
                   now_ms - self->list_changed_ms < SEND_IDS_MS || lists_differ (self),
                   &self->buffers);
  *length = limpet__row__get_packed_size (&row);
  data = g_malloc (*length + 1);
  limpet__row__pack (&row, data);
  limpet_target_view_release (view);
  return data;
}

static int
compare_received_descending (const void *a, const void *b)
{
  LimpetMs left = (*(LimpetPeer *const *)a)->row_received_ms;
  LimpetMs right = (*(LimpetPeer *const *)b)->row_received_ms;

  return (left < right) - (left > right);
}

/* Adds the rows that arrived since rows were last sent to the receiver, newest first, up
 * to MAX_ROW_BYTES in total. */
static void
add_rows (LimpetPeerController *self, LimpetPeer *receiver, Limpet__Digest *digest)
{
  GPtrArray *order = g_ptr_array_new ();
  size_t bytes = digest->rows[0].len;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && peer->row != NULL && peer != receiver
          && peer->row_received_ms >= receiver->rows_sent_ms)
        g_ptr_array_add (order, peer);
    }
  g_ptr_array_sort (order, compare_received_descending);
  for (guint i = 0; i < order->len && digest->n_rows < MAX_ROWS; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (order, i);

      bytes += peer->row_length;
      if (bytes > MAX_ROW_BYTES)
        break;
      digest->rows[digest->n_rows++]
          = (ProtobufCBinaryData){ .data = peer->row, .len = peer->row_length };
    }
  g_ptr_array_free (order, TRUE);
  receiver->rows_sent_ms = limpet_clock_mono_ms ();
}

/* Sends a digest and returns its size on the wire, with the overhead of lower layers. */
static size_t
send_digest (LimpetPeerController *self, LimpetPeer *peer, bool urgent, LimpetMs now_ms)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__Digest digest = LIMPET__DIGEST__INIT;
  ProtobufCBinaryData rows[MAX_ROWS];
  size_t length = 0;

  digest.router = (char *)self->settings->name;
  digest.urgent = urgent;
  digest.rows = rows;
  rows[0].data = pack_own_row (self, now_ms, &rows[0].len);
  digest.n_rows = 1;
  add_rows (self, peer, &digest);
  envelope.body_case = LIMPET__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  if (limpet_peer_send (self, peer, &envelope, &length))
    limpet_counter_add (LIMPET_COUNTER_DIGESTS_SENT, 1);
  g_free (rows[0].data);
  return length + LIMPET_PEER_OVERHEAD_BYTES;
}

static void
update_peer_sums_locked (LimpetPeerController *self)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  const LimpetPeerCounts **counts
      = g_new0 (const LimpetPeerCounts *, self->peers->len + 1);
  uint32_t count = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive)
        counts[count++] = &peer->counts;
    }
  limpet_row_sum (view, counts, count, limpet_clock_mono_ms () + WEIGHT_LIFE_MS);
  limpet_target_view_release (view);
  g_free (counts);
}

static void
update_router_count_locked (LimpetPeerController *self)
{
  uint32_t routers = 1;

  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      routers += peer->alive && !peer->draining;
    }
  limpet_admission_set_routers (self->admission, routers);
}

static void
set_alive_locked (LimpetPeerController *self, LimpetPeer *peer, bool alive)
{
  if (peer->alive == alive)
    return;
  peer->alive = alive;
  limpet_log (LIMPET_LOG_NOTICE, "peers", peer->vm.id, alive ? "heard" : "silent");
  if (!alive)
    limpet_row_clear (&peer->counts);
  update_router_count_locked (self);
}

/* Returns whether the row is newer than the last one of the peer. Rows may arrive out of
 * order, and may be of an older incarnation. */
static bool
is_newer_row (const LimpetPeer *peer, const Limpet__Row *row)
{
  if (row->incarnation != peer->incarnation)
    return row->incarnation > peer->incarnation;
  return row->sequence > peer->row_sequence;
}

static void
apply_row (LimpetPeerController *self,
           LimpetPeer *peer,
           const Limpet__Row *row,
           const ProtobufCBinaryData *packed,
           const LimpetTargetView *view)
{
  peer->incarnation = row->incarnation;
  peer->row_sequence = row->sequence;
  peer->row_received_ms = limpet_clock_mono_ms ();
  peer->bundle_version = row->bundle_version;
  peer->fingerprint = row->fingerprint;
  g_free (peer->row);
  peer->row = g_memdup2 (packed->data, packed->len);
  peer->row_length = packed->len;
  if (peer->draining != (bool)row->draining)
    {
      peer->draining = row->draining;
      update_router_count_locked (self);
    }
  set_alive_locked (self, peer, true);
  if (!limpet_row_unpack (row, view, &peer->counts))
    limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
  limpet_row_mark_leaving (row, view);
}

/* Applies the new rows of a digest. Returns whether there was any. */
static bool
apply_rows (LimpetPeerController *self,
            const Limpet__Digest *digest,
            const LimpetTargetView *view)
{
  bool has_new_rows = false;

  for (size_t i = 0; i < digest->n_rows; i++)
    {
      Limpet__Row *row
          = limpet__row__unpack (NULL, digest->rows[i].len, digest->rows[i].data);
      LimpetPeer *peer = row != NULL ? limpet_peer_find (self, row->router) : NULL;

      if (row == NULL)
        limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
      if (peer != NULL && is_newer_row (peer, row))
        {
          apply_row (self, peer, row, &digest->rows[i], view);
          has_new_rows = true;
        }
      if (row != NULL)
        limpet__row__free_unpacked (row, NULL);
    }
  return has_new_rows;
}

void
limpet_peer_digest_handle (LimpetPeerController *self, const Limpet__Digest *digest)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  bool has_new_rows;

  limpet_counter_add (LIMPET_COUNTER_DIGESTS_RECEIVED, 1);
  pthread_mutex_lock (&self->lock);
  has_new_rows = apply_rows (self, digest, view);
  if (has_new_rows)
    update_peer_sums_locked (self);
  pthread_mutex_unlock (&self->lock);
  limpet_target_view_release (view);
  if (has_new_rows && digest->urgent)
    atomic_store (&self->urgent, true);
  if (has_new_rows)
    limpet_admission_serve_queue (self->admission);
}

/* Closes a link of a certain age; the next message opens a new one. A middlebox may have
 * lost the state of the old connection, while a new one works. */
static void
close_old_link (LimpetPeer *peer, LimpetMs now_ms)
{
  if (peer->link == NULL || now_ms - peer->link_created_ms < LINK_MAX_AGE_MS)
    return;
  limpet_peer_link_delete (peer->link);
  peer->link = NULL;
}

void
limpet_peer_digest_check (LimpetPeerController *self, LimpetMs now_ms)
{
  bool changed = false;

  pthread_mutex_lock (&self->lock);
  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      close_old_link (peer, now_ms);
      if (peer->alive && now_ms - peer->row_received_ms > PEER_TIMEOUT_MS)
        {
          set_alive_locked (self, peer, false);
          changed = true;
        }
    }
  if (changed)
    update_peer_sums_locked (self);
  pthread_mutex_unlock (&self->lock);
}

/* Returns the live peer at a distance from this router in the ring of live peers, ordered
 * by name. If no peer is alive, returns each peer in turn. */
static LimpetPeer *
peer_at_distance (LimpetPeerController *self, uint32_t distance)
{
  GPtrArray *ring = g_ptr_array_new ();
  LimpetPeer *chosen;
  guint self_index = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive)
        g_ptr_array_add (ring, peer);
    }
  for (guint i = 0; i < ring->len; i++)
    self_index += strcmp (((LimpetPeer *)g_ptr_array_index (ring, i))->vm.id,
                          self->settings->name)
                  < 0;
  if (ring->len > 0)
    chosen = g_ptr_array_index (ring, (self_index + distance - 1) % ring->len);
  else
    chosen = g_ptr_array_index (self->peers, self->regular_rounds % self->peers->len);
  g_ptr_array_free (ring, TRUE);
  return chosen;
}

/* Returns a random peer that is not alive, or NULL. Such peers get a digest from time to
 * time, so that new and returning routers become known. */
static LimpetPeer *
pick_unreachable_peer (LimpetPeerController *self)
{
  uint32_t seen = 0;
  LimpetPeer *chosen = NULL;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->alive && randombytes_uniform (++seen) == 0)
        chosen = peer;
    }
  return chosen;
}

/* Regular digests go to the peers at distances 1, 2, 4, … in the ring, so that the number
 * of periods in which a row reaches all peers grows with the logarithm of their number.
 * Every second one goes to a peer that is not alive, if there is any. Urgent digests go
 * to the next peer in the ring, which forwards new rows at once. */
static LimpetPeer *
pick_receiver (LimpetPeerController *self, bool urgent)
{
  uint32_t distances = 1;
  LimpetPeer *unreachable = NULL;

  while ((1U << distances) < self->peers->len + 1)
    distances++;
  if (urgent)
    return peer_at_distance (self, 1);
  self->regular_rounds++;
  if (self->regular_rounds % 2 == 0)
    unreachable = pick_unreachable_peer (self);
  return unreachable != NULL
             ? unreachable
             : peer_at_distance (self, 1U << (self->regular_rounds % distances));
}

static void
send_one_digest (LimpetPeerController *self, bool urgent, LimpetMs now_ms)
{
  pthread_mutex_lock (&self->lock);
  if (self->peers->len > 0)
    self->send_budget_bytes
        -= (double)send_digest (self, pick_receiver (self, urgent), urgent, now_ms);
  pthread_mutex_unlock (&self->lock);
}

void
limpet_peer_digest_send_due (LimpetPeerController *self, LimpetMs now_ms)
{
  double rate = (double)self->settings->control_bytes_per_s / 1000;

  self->send_budget_bytes
      = MIN (rate * 1000,
             self->send_budget_bytes + rate * (double)(now_ms - self->tokens_updated_ms));
  self->tokens_updated_ms = now_ms;
  if (self->send_budget_bytes > 0 && now_ms - self->regular_sent_ms >= REGULAR_PERIOD_MS)
    {
      self->regular_sent_ms = now_ms;
      send_one_digest (self, false, now_ms);
    }
  if (self->send_budget_bytes > 0 && now_ms - self->urgent_sent_ms >= URGENT_PERIOD_MS
      && atomic_exchange (&self->urgent, false))
    {
      self->urgent_sent_ms = now_ms;
      send_one_digest (self, true, now_ms);
    }
}
