#include "private/peer_state.h"

#include "limpetroad/logger.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

/* A newer bundle is requested from a peer if it has not been read from the log for this
 * long. */
#define NEWER_BUNDLE_GRACE_MS 400
#define BUNDLE_REQUEST_INTERVAL_MS 500
/* A request that a peer sends within this time after the last one handled is ignored. */
#define MIN_BUNDLE_REPLY_INTERVAL_MS 200

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

void
limpet_peer_bundle_handle_request (LimpetPeerController *self,
                                   const Limpet__BundleRequest *request)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__BundleParts response = LIMPET__BUNDLE_PARTS__INIT;
  LimpetBundleProof proof;
  LimpetPart *changes = NULL;
  Limpet__Part **pointers = NULL;
  Limpet__Part *parts;
  uint32_t count = 0;
  size_t length = 0;
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetPeer *peer;

  pthread_mutex_lock (&self->lock);
  peer = limpet_peer_find (self, request->router);
  if (peer == NULL || now_ms - peer->bundle_reply_ms < MIN_BUNDLE_REPLY_INTERVAL_MS)
    goto out;
  peer->bundle_reply_ms = now_ms;
  response.base_version = limpet_bundle_controller_changes_since (
      self->bundles, request->version, &proof, &changes, &count);
  parts = pack_parts (changes, count, &pointers);
  response.version = proof.version;
  response.parent = proof.parent;
  response.root = proof.root;
  response.author = proof.author;
  response.approver = proof.approver;
  response.signature = proof.signature;
  response.parts = pointers;
  response.n_parts = count;
  envelope.body_case = LIMPET__ENVELOPE__BODY_BUNDLE_PARTS;
  envelope.bundle_parts = &response;
  if (proof.version > request->version
      && limpet_peer_send (self, peer, &envelope, &length))
    self->send_budget_bytes -= (double)length;
  limpet_parts_free (changes, count);
  g_free (pointers);
  g_free (parts);

out:
  pthread_mutex_unlock (&self->lock);
}

void
limpet_peer_bundle_handle_parts (LimpetPeerController *self,
                                 const Limpet__BundleParts *message)
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
    limpet_log (LIMPET_LOG_INFO, "peers", NULL,
                "rejected bundle version %" PRId64 " from a peer: %s", message->version,
                error.message);
  g_free (changes);
}

/* Returns a random peer with a newer bundle, or NULL. The peer of the last request is
 * chosen only if there is no other. Frey et al. 2010, section III.B, likewise resend a
 * request to another proposer; their "claim" mechanism is not related to claims on
 * idempotency keys. */
static LimpetPeer *
choose_bundle_source (LimpetPeerController *self, int64_t version)
{
  LimpetPeer *chosen = NULL;
  uint32_t candidates = 0;

  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (!peer->alive || peer->bundle_version <= version)
        continue;
      if (strcmp (peer->vm.id, self->bundle_request_peer) == 0)
        {
          if (chosen == NULL)
            chosen = peer;
          continue;
        }
      if (randombytes_uniform (++candidates) == 0)
        chosen = peer;
    }
  return chosen;
}

void
limpet_peer_bundle_request_newer (LimpetPeerController *self, LimpetMs now_ms)
{
  Limpet__Envelope envelope = LIMPET__ENVELOPE__INIT;
  Limpet__BundleRequest request = LIMPET__BUNDLE_REQUEST__INIT;
  size_t length = 0;
  LimpetPeer *peer;

  pthread_mutex_lock (&self->lock);
  request.version = limpet_bundle_controller_version (self->bundles);
  peer = choose_bundle_source (self, request.version);
  if (peer == NULL)
    self->outdated_since_ms = 0;
  else if (self->outdated_since_ms == 0)
    self->outdated_since_ms = now_ms;
  else if (now_ms - self->outdated_since_ms >= NEWER_BUNDLE_GRACE_MS
           && now_ms - self->bundle_request_ms >= BUNDLE_REQUEST_INTERVAL_MS)
    {
      request.router = (char *)self->settings->name;
      envelope.body_case = LIMPET__ENVELOPE__BODY_BUNDLE_REQUEST;
      envelope.bundle_request = &request;
      limpet_peer_send (self, peer, &envelope, &length);
      g_strlcpy (self->bundle_request_peer, peer->vm.id,
                 sizeof self->bundle_request_peer);
      self->bundle_request_ms = now_ms;
    }
  pthread_mutex_unlock (&self->lock);
}
