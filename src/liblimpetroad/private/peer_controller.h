#ifndef LIMPETROAD_PRIVATE_PEER_CONTROLLER_H
#define LIMPETROAD_PRIVATE_PEER_CONTROLLER_H

#include "limpetroad/admission.h"
#include "limpetroad/settings.h"
#include "limpetroad/targets.h"
#include "limpetroad/vm_list.h"
#include "knowledge/peer.pb-c.h"
#include "private/bundle_controller.h"
#include "private/controller.h"

/* Membership of the routers and the messages between them. Sends each peer in turn a
 * digest of this router's state, within a fixed number of bytes a second, and takes
 * theirs. */
typedef struct LimpetPeerController LimpetPeerController;

/* Called from the controller's thread with each message about claims. */
typedef void (*LimpetPeerHandler) (void *user, const Limpet__Envelope *envelope);

LimpetPeerController *limpet_peer_controller_new (const LimpetSettings *settings,
                                                  LimpetTargets *targets,
                                                  LimpetBundleController *bundles,
                                                  LimpetAdmission *admission);
void limpet_peer_controller_set_handler (LimpetPeerController *controller,
                                         LimpetPeerHandler handler,
                                         void *user);

/* Takes over the routers of a VM list; fits LimpetVmListObserver. */
void limpet_peer_controller_update (void *controller, const LimpetVmList *list);

/* Sends this router's state to the peers at once. */
void limpet_peer_controller_hurry (void *controller);

/* Tells the peers that this router is stopping. */
void limpet_peer_controller_drain (LimpetPeerController *controller);

/* Sends a message, which may be lost; from any thread. */
void limpet_peer_controller_send (LimpetPeerController *controller,
                                  const char *router,
                                  const Limpet__Envelope *envelope);

/* Writes the name of the live router that comes at place rank for the shard; rank 0 is
 * its owner. This router counts as live. Returns false if there are fewer. */
bool limpet_peer_controller_owner (LimpetPeerController *controller,
                                   uint32_t shard,
                                   uint32_t rank,
                                   char name[LIMPET_NAME_SIZE]);

#endif
