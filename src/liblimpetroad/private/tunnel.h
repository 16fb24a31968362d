#ifndef LIMPETROAD_PRIVATE_TUNNEL_H
#define LIMPETROAD_PRIVATE_TUNNEL_H

#include "private/exchange.h"

/* A tunnel carries the connection of another router to a target, for a router whose own
 * links to the targets are cut. The other router decides everything about the request;
 * this one passes bytes on and knows nothing of them.
 *
 * The other router connects to the tunnel port and sends LIMPET_TUNNEL_MAGIC and the hash
 * of the target (LimpetTarget.id_hash, big-endian). This router connects to the target
 * and sends one byte, a LimpetTunnelReply. The request follows only after
 * LIMPET_TUNNEL_CONNECTED, so nothing else can have run. Only routers known from gossip
 * may open tunnels, and only to targets that this router knows. */

#define LIMPET_TUNNEL_MAGIC "LRT1"
#define LIMPET_TUNNEL_HELLO_BYTES 8

typedef enum
{
  LIMPET_TUNNEL_CONNECTED = 1,
  LIMPET_TUNNEL_UNREACHABLE, /* this router cannot connect to the target either */
  LIMPET_TUNNEL_REFUSED      /* this router does not relay, or not to this target */
} LimpetTunnelReply;

/* Writes the first bytes of a tunnel to the target. */
void limpet_tunnel_write_hello (uint32_t target_hash,
                                char hello[LIMPET_TUNNEL_HELLO_BYTES]);

/* Opens the tunnel port. */
LimpetStatus limpet_tunnels_init (LimpetExchange *exchange, LimpetError *error);
/* Resumes reading where a peer has taken what was queued for it. */
void limpet_tunnels_check (LimpetExchange *exchange);
/* Refuses new tunnels. */
void limpet_tunnels_stop (LimpetExchange *exchange);
void limpet_tunnels_close_all (LimpetExchange *exchange);

#endif
