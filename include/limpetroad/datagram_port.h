#ifndef LIMPETROAD_DATAGRAM_PORT_H
#define LIMPETROAD_DATAGRAM_PORT_H

#include "limpetroad/clock.h"
#include "limpetroad/status.h"

#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/** \defgroup datagram_port Datagram port
 *  Exchanges UDP datagrams with the other routers of a fleet. All routers use the same
 *  port number.
 *
 *  limpet_datagram_port_new() → limpet_datagram_port_init() → limpet_datagram_port_send()
 *  → limpet_datagram_port_close(), which also frees it.
 */
typedef struct LimpetDatagramPort LimpetDatagramPort;

/** Called for each datagram received; one that is too long is dropped and counted
 *  instead. \p sender is an IPv4 address in network byte order; \p data is valid only
 *  during the call. The datagram came after \p earliest_ms (boot clock), when none
 *  waited: a process that stood still meanwhile does not know when. */
typedef void (*LimpetDatagramHandler) (void *user,
                                       uint32_t sender,
                                       const uint8_t *data,
                                       size_t length,
                                       LimpetMs earliest_ms);

LimpetDatagramPort *
limpet_datagram_port_new (uv_loop_t *loop, LimpetDatagramHandler handler, void *user);
/** Binds to an IPv4 address and the UDP port that all routers use, and starts receiving.
 *  On failure sets \p error and returns LIMPET_STATUS_INTERNAL. */
LimpetStatus limpet_datagram_port_init (LimpetDatagramPort *port,
                                        const char *address,
                                        int port_number,
                                        LimpetError *error);
/** Sends one datagram to an IPv4 address (network byte order) without queueing it. A
 *  datagram that cannot be sent at once is dropped and counted; the protocol that uses
 *  the port tolerates losses. */
void limpet_datagram_port_send (LimpetDatagramPort *port,
                                uint32_t address,
                                const uint8_t *data,
                                size_t length);
/** Closes the port; the event loop frees it later. */
void limpet_datagram_port_close (LimpetDatagramPort *port);

#endif
