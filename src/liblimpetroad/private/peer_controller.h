#ifndef LIMPETROAD_PRIVATE_PEER_CONTROLLER_H
#define LIMPETROAD_PRIVATE_PEER_CONTROLLER_H

#include "limpetroad/admission.h"
#include "limpetroad/settings.h"
#include "limpetroad/targets.h"
#include "limpetroad/vm_list.h"
#include "cluster_state/peer.pb-c.h"
#include "private/bundle_controller.h"
#include "private/controller.h"

/* Tracks which routers are alive and exchanges messages with them. Sends digests of this
 * router's state to the peers in turn, within a limit of bytes per second, and processes
 * their digests. One thread does all sending and receiving. */
typedef struct LimpetPeerController LimpetPeerController;

/* Called from the controller's thread with each message about claims; envelope is valid
 * during the call only. */
typedef void (*LimpetPeerHandler) (void *user, const Limpet__Envelope *envelope);

/* The arguments are borrowed. Sets limpet_peer_controller_request_digest() as the
 * near-bound callback of admission. */
LimpetPeerController *limpet_peer_controller_new (const LimpetSettings *settings,
                                                  LimpetTargets *targets,
                                                  LimpetBundleController *bundles,
                                                  LimpetAdmission *admission);
/* Sets the handler; call it before the controller starts. */
void limpet_peer_controller_set_handler (LimpetPeerController *controller,
                                         LimpetPeerHandler handler,
                                         void *user);

/* Updates the set of peers from the routers of a VM list. A LimpetVmListObserver. */
void limpet_peer_controller_update (void *controller, const LimpetVmList *list);

/* Requests an urgent digest, which the controller's thread sends as soon as the limits on
 * rate and bytes allow it. Thread-safe. */
void limpet_peer_controller_request_digest (void *controller);

/* Marks this router as draining in all later digests. Thread-safe. */
void limpet_peer_controller_drain (LimpetPeerController *controller);

/* Queues a copy of a message to a router. The message may be lost; it is dropped if the
 * queue is full or the router is unknown. Thread-safe. */
void limpet_peer_controller_send (LimpetPeerController *controller,
                                  const char *router,
                                  const Limpet__Envelope *envelope);

/* Ranks this router and the live, non-draining peers for a shard by rendezvous hashing,
 * and copies the name of the router at rank to name. Rank 0 is the owner of the shard.
 * Returns false if there is no router at rank. Thread-safe. */
bool limpet_peer_controller_ranked_router (LimpetPeerController *controller,
                                           uint32_t shard,
                                           uint32_t rank,
                                           char name[LIMPET_NAME_SIZE]);

#endif
