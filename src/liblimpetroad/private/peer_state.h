#ifndef LIMPETROAD_PRIVATE_PEER_STATE_H
#define LIMPETROAD_PRIVATE_PEER_STATE_H

#include "private/peer_controller.h"
#include "private/peer_row.h"
#include "private/peer_transport.h"
#include "private/worker.h"

#include <glib.h>
#include <stdatomic.h>

/* State of the peer controller, shared by the files that make it up: peer_controller.c
 * (threads, messages), peer_digest.c (rows and membership) and peer_bundle.c (bundles
 * from peers). */

/* TCP and IP headers of a message and of its acknowledgement, and the ZMTP frame header.
 */
#define LIMPET_PEER_OVERHEAD_BYTES 110

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
  int wake_fd;
  uint64_t incarnation;
  pthread_mutex_t lock; /* guards peers and outgoing */
  GPtrArray *peers;     /* of LimpetPeer */
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

/* Returns a peer by name, or NULL. Needs the lock. */
LimpetPeer *limpet_peer_find (const LimpetPeerController *self, const char *name);
/* Returns the link to a peer, made if there is none. Needs the lock. */
LimpetPeerLink *limpet_peer_ensure_link (LimpetPeerController *self, LimpetPeer *peer);
/* Sends a message; length is its size. Needs the lock. */
bool limpet_peer_send (LimpetPeerController *self,
                       LimpetPeer *peer,
                       const Limpet__Envelope *envelope,
                       size_t *length);

/* Takes the rows of a digest. */
void limpet_peer_digest_take (LimpetPeerController *self, const Limpet__Digest *digest);
/* Sends the digests that are due, as far as the byte limit allows. */
void limpet_peer_digest_send_due (LimpetPeerController *self, LimpetMs now_ms);
/* Marks peers that are no longer heard, and replaces old links. */
void limpet_peer_digest_check (LimpetPeerController *self, LimpetMs now_ms);

/* Sends a peer the parts of the bundle that it lacks. */
void limpet_peer_bundle_answer (LimpetPeerController *self,
                                const Limpet__BundleRequest *request);
/* Takes a newer bundle that a peer sent. */
void limpet_peer_bundle_take (LimpetPeerController *self,
                              const Limpet__BundleParts *message);
/* Asks a peer for a newer bundle if the log has not shown it in time. */
void limpet_peer_bundle_ask (LimpetPeerController *self, LimpetMs now_ms);

#endif
