#ifndef LIMPETROAD_PRIVATE_PEER_TRANSPORT_H
#define LIMPETROAD_PRIVATE_PEER_TRANSPORT_H

#include "limpetroad/limits.h"
#include "limpetroad/settings.h"

#include <stddef.h>

/* One-way messages between routers over ZeroMQ: a PULL socket that all peers send to, and
 * a PUSH socket towards each peer. With key files all traffic is encrypted (CURVE): the
 * routers of a fleet share a key pair, and only senders whose public keys are listed may
 * connect. Belongs to one thread. */
typedef struct LimpetPeerTransport LimpetPeerTransport;
typedef struct LimpetPeerLink LimpetPeerLink;

LimpetPeerTransport *limpet_peer_transport_new (const LimpetSettings *settings,
                                                LimpetError *error);
void limpet_peer_transport_delete (LimpetPeerTransport *transport);

/* Waits up to wait_ms for a message or for wake_fd to be readable. */
void
limpet_peer_transport_wait (LimpetPeerTransport *transport, int wake_fd, long wait_ms);
/* Returns the length of a message copied to buffer, or -1 if there is none. */
int
limpet_peer_transport_receive (LimpetPeerTransport *transport, void *buffer, size_t size);

/* Makes a connection to a peer. */
LimpetPeerLink *
limpet_peer_link_new (LimpetPeerTransport *transport, const char *address, int port);
void limpet_peer_link_delete (LimpetPeerLink *link);
/* Returns whether the message was taken; it may still be lost. */
bool limpet_peer_link_send (LimpetPeerLink *link, const void *data, size_t length);

#endif
