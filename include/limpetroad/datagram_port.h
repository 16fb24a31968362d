#ifndef LIMPETROAD_DATAGRAM_PORT_H
#define LIMPETROAD_DATAGRAM_PORT_H

#include "limpetroad/status.h"

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** \defgroup datagram_port Datagram port
 *  Datagrams between the routers of a fleet, all on the same port.
 *
 *  limpet_datagram_port_new() → limpet_datagram_port_init() → limpet_datagram_port_send()
 *  → limpet_datagram_port_close(), which also frees it.
 */
typedef struct LimpetDatagramPort LimpetDatagramPort;

/** A datagram came from an IPv4 address (network order). */
typedef void (*LimpetDatagramTake) (void *user,
                                    uint32_t sender,
                                    const uint8_t *data,
                                    size_t length);

LimpetDatagramPort *
limpet_datagram_port_new (uv_loop_t *loop, LimpetDatagramTake take, void *user);
LimpetStatus limpet_datagram_port_init (LimpetDatagramPort *port,
                                        const char *address,
                                        int number,
                                        LimpetError *error);
/** Sends at once or not at all: the protocol on top bears losses. */
void limpet_datagram_port_send (LimpetDatagramPort *port,
                                uint32_t address,
                                const uint8_t *data,
                                size_t length);
void limpet_datagram_port_close (LimpetDatagramPort *port);

#endif
