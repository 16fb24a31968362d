#include "private/peer_state.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <sodium.h>
#include <string.h>

/* Shortest intervals between regular and between urgent digests. */
#define REGULAR_PERIOD_MS 500
#define URGENT_PERIOD_MS 8
/* For this time after a change of the target list, router states contain the target ids.
 */
#define SEND_IDS_MS 3000
/* Limits for the router states in one digest: their total size, and their number. This
 * router's own state is always sent. */
#define MAX_ROUTER_STATE_BYTES 1100
#define MAX_ROUTER_STATES 64
/* A peer counts as alive for this time after its last new state. */
#define PEER_TIMEOUT_MS 2500
#define LINK_MAX_AGE_MS 20000
/* The lowest weight that peers report for a target expires this long after it was last
 * computed. */
#define WEIGHT_LIFE_MS 2000

/* Returns whether a live peer has another target list than this router. */
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

/* Packs this router's state; the caller frees it with g_free(). */
static uint8_t *
pack_own_state (LimpetPeerController *self, LimpetMs now_ms, size_t *length)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  Limpet__RouterState state = LIMPET__ROUTER_STATE__INIT;
  uint8_t *data;

  if (view->fingerprint != self->fingerprint)
    {
      self->fingerprint = view->fingerprint;
      self->list_changed_ms = now_ms;
    }
  state.router = (char *)self->settings->name;
  state.incarnation = self->incarnation;
  state.sequence = ++self->state_sequence;
  state.bundle_version = limpet_bundle_controller_version (self->bundles);
  state.draining = self->draining;
  limpet_router_state_pack (
      &state, view, now_ms - self->list_changed_ms < SEND_IDS_MS || lists_differ (self),
      &self->buffers);
  *length = limpet__router_state__get_packed_size (&state);
  data = g_malloc (*length + 1);
  limpet__router_state__pack (&state, data);
  limpet_target_view_release (view);
  return data;
}

static int
compare_received_descending (const void *a, const void *b)
{
  LimpetMs left = (*(LimpetPeer *const *)a)->state_received_ms;
  LimpetMs right = (*(LimpetPeer *const *)b)->state_received_ms;

  return (left < right) - (left > right);
}

/* Adds the states of peers that arrived since a digest was last sent to the receiver,
 * newest first, as far as MAX_ROUTER_STATE_BYTES and MAX_ROUTER_STATES allow. */
static void
add_router_states (LimpetPeerController *self,
                   LimpetPeer *receiver,
                   Limpet__Digest *digest)
{
  GPtrArray *order = g_ptr_array_new ();
  size_t bytes = digest->router_states[0].len;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && peer->state != NULL && peer != receiver
          && peer->state_received_ms >= receiver->states_sent_ms)
        g_ptr_array_add (order, peer);
    }
  g_ptr_array_sort (order, compare_received_descending);
  for (guint i = 0; i < order->len && digest->n_router_states < MAX_ROUTER_STATES; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (order, i);

      bytes += peer->state_length;
      if (bytes > MAX_ROUTER_STATE_BYTES)
        break;
      digest->router_states[digest->n_router_states++]
          = (ProtobufCBinaryData){ .data = peer->state, .len = peer->state_length };
    }
  g_ptr_array_free (order, TRUE);
  receiver->states_sent_ms = limpet_clock_mono_ms ();
}

/* Sends a digest and returns its size on the wire, with the overhead of lower layers. */
static size_t
send_digest (LimpetPeerController *self, LimpetPeer *peer, bool urgent, LimpetMs now_ms)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__Digest digest = LIMPET__DIGEST__INIT;
  ProtobufCBinaryData router_states[MAX_ROUTER_STATES];
  size_t length = 0;

  digest.router = (char *)self->settings->name;
  digest.urgent = urgent;
  digest.router_states = router_states;
  router_states[0].data = pack_own_state (self, now_ms, &router_states[0].len);
  digest.n_router_states = 1;
  add_router_states (self, peer, &digest);
  envelope.body_case = LIMPET__ENVELOPE__BODY_DIGEST;
  envelope.digest = &digest;
  if (limpet_peer_send (self, peer, &envelope, &length))
    limpet_counter_add (LIMPET_COUNTER_DIGESTS_SENT, 1);
  g_free (router_states[0].data);
  return length + LIMPET_PEER_OVERHEAD_BYTES;
}

static void
update_peer_sums_locked (LimpetPeerController *self)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  const LimpetPeerLoads **loads = g_new0 (const LimpetPeerLoads *, self->peers->len + 1);
  uint32_t count = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive)
        loads[count++] = &peer->loads;
    }
  limpet_router_state_sum (view, loads, count, limpet_clock_mono_ms () + WEIGHT_LIFE_MS);
  limpet_target_view_release (view);
  g_free (loads);
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
    limpet_router_state_clear (&peer->loads);
  update_router_count_locked (self);
}

/* Returns whether the state is newer than the last one of the peer. States may arrive out
 * of order, and may be of an older incarnation. */
static bool
is_newer_state (const LimpetPeer *peer, const Limpet__RouterState *state)
{
  if (state->incarnation != peer->incarnation)
    return state->incarnation > peer->incarnation;
  return state->sequence > peer->state_sequence;
}

static void
apply_router_state (LimpetPeerController *self,
                    LimpetPeer *peer,
                    const Limpet__RouterState *state,
                    const ProtobufCBinaryData *packed,
                    const LimpetTargetView *view)
{
  peer->incarnation = state->incarnation;
  peer->state_sequence = state->sequence;
  peer->state_received_ms = limpet_clock_mono_ms ();
  peer->bundle_version = state->bundle_version;
  peer->fingerprint = state->fingerprint;
  g_free (peer->state);
  peer->state = g_memdup2 (packed->data, packed->len);
  peer->state_length = packed->len;
  if (peer->draining != (bool)state->draining)
    {
      peer->draining = state->draining;
      update_router_count_locked (self);
    }
  set_alive_locked (self, peer, true);
  if (!limpet_router_state_unpack (state, view, &peer->loads))
    limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
  limpet_router_state_mark_leaving (state, view);
}

/* Applies the new states in a digest. Returns whether there was any. */
static bool
apply_router_states (LimpetPeerController *self,
                     const Limpet__Digest *digest,
                     const LimpetTargetView *view)
{
  bool has_new_states = false;

  for (size_t i = 0; i < digest->n_router_states; i++)
    {
      Limpet__RouterState *state = limpet__router_state__unpack (
          NULL, digest->router_states[i].len, digest->router_states[i].data);
      LimpetPeer *peer = state != NULL ? limpet_peer_find (self, state->router) : NULL;

      if (state == NULL)
        limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
      if (peer != NULL && is_newer_state (peer, state))
        {
          apply_router_state (self, peer, state, &digest->router_states[i], view);
          has_new_states = true;
        }
      if (state != NULL)
        limpet__router_state__free_unpacked (state, NULL);
    }
  return has_new_states;
}

void
limpet_peer_digest_handle (LimpetPeerController *self, const Limpet__Digest *digest)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  bool has_new_states;

  limpet_counter_add (LIMPET_COUNTER_DIGESTS_RECEIVED, 1);
  pthread_mutex_lock (&self->lock);
  has_new_states = apply_router_states (self, digest, view);
  if (has_new_states)
    update_peer_sums_locked (self);
  pthread_mutex_unlock (&self->lock);
  limpet_target_view_release (view);
  if (has_new_states && digest->urgent)
    atomic_store (&self->urgent, true);
  if (has_new_states)
    limpet_admission_serve_queue (self->admission);
}

/* Closes a link that is older than LINK_MAX_AGE_MS; the next message opens a new one. A
 * middlebox may have lost the state of the old connection, while a new one works. */
static void
close_old_link (LimpetPeer *peer, LimpetMs now_ms)
{
  if (peer->link == NULL || now_ms - peer->link_created_ms < LINK_MAX_AGE_MS)
    return;
  limpet_peer_link_delete (peer->link);
  peer->link = NULL;
}

void
limpet_peer_digest_check_timeouts (LimpetPeerController *self, LimpetMs now_ms)
{
  bool changed = false;

  pthread_mutex_lock (&self->lock);
  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      close_old_link (peer, now_ms);
      if (peer->alive && now_ms - peer->state_received_ms > PEER_TIMEOUT_MS)
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

/* Returns a random peer that is not alive, or NULL. Such peers get digests as well, so
 * that new and returning routers become known. */
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
 * of periods in which a state reaches all peers grows with the logarithm of their number.
 * Every second one goes to a peer that is not alive, if there is any. Urgent digests go
 * to the next peer in the ring, which forwards new states at once. */
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
      = MIN (rate * 1000, self->send_budget_bytes
                              + rate * (double)(now_ms - self->budget_refilled_ms));
  self->budget_refilled_ms = now_ms;
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
