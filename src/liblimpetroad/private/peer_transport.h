#ifndef LIMPETROAD_PRIVATE_PEER_TRANSPORT_H
#define LIMPETROAD_PRIVATE_PEER_TRANSPORT_H

#include "limpetroad/limits.h"
#include "limpetroad/settings.h"

#include <stddef.h>

/* One-way messages between routers over ZeroMQ: a PULL socket that receives from all
 * peers, and a PUSH socket to each peer. If key files are set, all traffic is encrypted
 * (CURVE): the routers of a fleet share a key pair, and only senders whose public keys
 * are listed may connect. Not thread-safe: one thread uses a transport and its links. */
typedef struct LimpetPeerTransport LimpetPeerTransport;
typedef struct LimpetPeerLink LimpetPeerLink;

/* Loads the keys and binds the address for peers. Returns NULL and sets error on failure.
 */
LimpetPeerTransport *limpet_peer_transport_new (const LimpetSettings *settings,
                                                LimpetError *error);
/* Closes the sockets. Delete all links first. */
void limpet_peer_transport_delete (LimpetPeerTransport *transport);

/* Waits up to wait_ms for a message or for wake_fd, an eventfd, to be readable. Resets
 * wake_fd if it is readable, and authenticates a peer that is connecting. */
void
limpet_peer_transport_wait (LimpetPeerTransport *transport, int wake_fd, long wait_ms);
/* Copies the next message to buffer without waiting. Returns its length, or -1 if there
 * is none or it is larger than size. */
int
limpet_peer_transport_receive (LimpetPeerTransport *transport, void *buffer, size_t size);

/* Returns a link to a peer. It connects in the background and reconnects after a failure.
 */
LimpetPeerLink *
limpet_peer_link_new (LimpetPeerTransport *transport, const char *address, int port);
void limpet_peer_link_delete (LimpetPeerLink *link);
/* Queues a message without waiting. Returns false if the queue is full; a queued message
 * may still be lost. */
bool limpet_peer_link_send (LimpetPeerLink *link, const void *data, size_t length);

#endif
