#ifndef LIMPETROAD_PRIVATE_PEER_STATE_H
#define LIMPETROAD_PRIVATE_PEER_STATE_H

#include "private/peer_controller.h"
#include "private/router_state.h"
#include "private/peer_transport.h"
#include "private/worker.h"

#include <glib.h>
#include <stdatomic.h>

/* State of the peer controller, shared by the files that make it up: peer_controller.c
 * (threads, messages), peer_digest.c (router states and liveness) and peer_bundle.c
 * (bundles from peers). */

/* TCP and IP headers of a message and of its acknowledgement, and the ZMTP frame header.
 * Counted against the byte limit in addition to the message. */
#define LIMPET_PEER_OVERHEAD_BYTES 110

/* State of another router. Times are monotonic. */
typedef struct
{
  LimpetVm vm;
  LimpetPeerLink *link;
  uint64_t incarnation;
  uint32_t state_sequence;
  uint8_t *state; /* last Limpet__RouterState, packed, to be forwarded */
  size_t state_length;
  LimpetMs link_created_ms;
  LimpetMs states_sent_ms;    /* when a digest was last sent to the peer */
  LimpetMs state_received_ms; /* when its last new state arrived; 0 if none has */
  LimpetMs bundle_reply_ms;   /* when a bundle request of the peer was last handled */
  int64_t bundle_version;
  uint32_t fingerprint; /* hash of the peer's target list */
  bool draining;
  bool alive; /* a new state arrived within the timeout */
  LimpetPeerLoads loads;
} LimpetPeer;

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
  int wake_fd; /* eventfd that ends the wait of the worker */
  uint64_t incarnation;
  pthread_mutex_t lock; /* guards peers and outgoing */
  GPtrArray *peers;     /* of LimpetPeer */
  GQueue *outgoing;     /* of Outgoing */
  bool draining;
  /* An urgent digest is due: a target is near its limit or has become slow, or an urgent
   * digest of a peer contained new states. */
  _Atomic bool urgent;
  uint32_t state_sequence;
  uint32_t fingerprint; /* of the target list in this router's last state */
  LimpetMs list_changed_ms;
  uint32_t regular_rounds;  /* regular digests sent */
  double send_budget_bytes; /* token bucket of the byte limit; negative when overdrawn */
  LimpetMs budget_refilled_ms; /* when send_budget_bytes was last refilled */
  LimpetMs regular_sent_ms;    /* time of the last regular digest */
  LimpetMs urgent_sent_ms;     /* time of the last urgent digest */
  LimpetMs outdated_since_ms; /* since when some peer has had a newer bundle; 0 if none */
  /* Time and receiver of the last bundle request. */
  LimpetMs bundle_request_ms;
  char bundle_request_peer[LIMPET_NAME_SIZE];
  LimpetRouterStateBuffers buffers;
  uint8_t message[LIMPET_MAX_PEER_MESSAGE_BYTES];
};

/* Returns the peer with that name, or NULL. The caller holds the lock. */
LimpetPeer *limpet_peer_find (const LimpetPeerController *self, const char *name);
/* Returns the link to a peer; creates it if there is none. The caller holds the lock. */
LimpetPeerLink *limpet_peer_ensure_link (LimpetPeerController *self, LimpetPeer *peer);
/* Sends a message to a peer and sets *length to its packed size. Returns false if it is
 * too long or the queue of the link is full. The caller holds the lock. */
bool limpet_peer_send (LimpetPeerController *self,
                       LimpetPeer *peer,
                       const Limpet__Envelope *envelope,
                       size_t *length);

/* Processes the router states in a received digest. */
void limpet_peer_digest_handle (LimpetPeerController *self, const Limpet__Digest *digest);
/* Sends the digests that are due, as far as the byte limit allows. */
void limpet_peer_digest_send_due (LimpetPeerController *self, LimpetMs now_ms);
/* Marks peers whose states stopped arriving as not alive, and closes old links. */
void limpet_peer_digest_check_timeouts (LimpetPeerController *self, LimpetMs now_ms);

/* Replies to a bundle request with the parts of the bundle that the peer lacks. */
void limpet_peer_bundle_handle_request (LimpetPeerController *self,
                                        const Limpet__BundleRequest *request);
/* Processes a bundle that a peer sent, and adopts it if it is valid and newer. */
void limpet_peer_bundle_handle_parts (LimpetPeerController *self,
                                      const Limpet__BundleParts *message);
/* Requests a newer bundle from a peer if it has not arrived through the log in time. */
void limpet_peer_bundle_request_newer (LimpetPeerController *self, LimpetMs now_ms);

#endif
