#include "private/peer_state.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <sodium.h>
#include <string.h>

#define REGULAR_PERIOD_MS 500
#define URGENT_PERIOD_MS 8
/* After a change of the target list, rows carry it for this time. */
#define CARRY_IDS_MS 3000
#define MOST_ROW_BYTES 1100
#define MOST_ROWS 64
#define SILENT_MS 2500
#define LINK_LIFE_MS 20000
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
  LimpetMs left = (*(LimpetPeer *const *)a)->heard_ms;
  LimpetMs right = (*(LimpetPeer *const *)b)->heard_ms;

  return (left < right) - (left > right);
}

/* Adds the rows that came since the receiver was last sent any, the newest first, within
 * MOST_ROW_BYTES. */
static void
add_rows (LimpetPeerController *self, LimpetPeer *receiver, Limpet__Digest *digest)
{
  GPtrArray *order = g_ptr_array_new ();
  size_t bytes = digest->rows[0].len;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && peer->row != NULL && peer != receiver
          && peer->heard_ms >= receiver->given_ms)
        g_ptr_array_add (order, peer);
    }
  g_ptr_array_sort (order, compare_heard);
  for (guint i = 0; i < order->len && digest->n_rows < MOST_ROWS; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (order, i);

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
send_digest (LimpetPeerController *self, LimpetPeer *peer, bool urgent, LimpetMs now_ms)
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
  if (limpet_peer_send (self, peer, &envelope, &length))
    limpet_count (LIMPET_COUNTER_DIGESTS_SENT, 1);
  g_free (rows[0].data);
  return length + LIMPET_PEER_OVERHEAD_BYTES;
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
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

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
  count_routers_locked (self);
}

/* A row of an older incarnation, or one overtaken by a later one, says nothing. */
static bool
is_news (const LimpetPeer *peer, const Limpet__Row *row)
{
  if (row->incarnation != peer->incarnation)
    return row->incarnation > peer->incarnation;
  return row->sequence > peer->row_sequence;
}

static void
take_row (LimpetPeerController *self,
          LimpetPeer *peer,
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
      LimpetPeer *peer = row != NULL ? limpet_peer_find (self, row->router) : NULL;

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

void
limpet_peer_digest_take (LimpetPeerController *self, const Limpet__Digest *digest)
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

/* Links are replaced now and then: something between the two ends may have lost track of
 * one, while a new connection works. */
static void
check_link (LimpetPeer *peer, LimpetMs now_ms)
{
  if (peer->link == NULL || now_ms - peer->link_ms < LINK_LIFE_MS)
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
    chosen = g_ptr_array_index (self->peers, self->rounds % self->peers->len);
  g_ptr_array_free (ring, TRUE);
  return chosen;
}

/* Peers that are not heard get a digest now and then, so that new and returning ones
 * join. */
static LimpetPeer *
pick_silent_peer (LimpetPeerController *self)
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

/* Regular digests go to the peers at distances 1, 2, 4, … in the ring, so that a row
 * reaches all in a number of periods that grows with the logarithm of their number.
 * Urgent ones go to the next peer, which passes new rows on at once. */
static LimpetPeer *
pick_receiver (LimpetPeerController *self, bool urgent)
{
  uint32_t distances = 1;
  LimpetPeer *silent = NULL;

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
void
limpet_peer_digest_send_due (LimpetPeerController *self, LimpetMs now_ms)
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
