#ifndef LIMPETROAD_STATUS_PORT_H
#define LIMPETROAD_STATUS_PORT_H

#include "limpetroad/status.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** \defgroup status_port Status port
 *  A small HTTP server that reports the readiness, the metrics or what the process
 *  knows. Methods other than GET get the status 405; a malformed request closes the
 *  connection.
 *
 *  limpet_status_port_new() → limpet_status_port_init() → (requests are served in the
 *  event loop) → limpet_status_port_close(), which also frees it.
 */
typedef struct LimpetStatusPort LimpetStatusPort;

/** Handles a GET of \p path, which includes the query: appends the response text to
 *  \p body and returns the HTTP status. */
typedef int (*LimpetStatusHandler) (void *user, const char *path, GString *body);

LimpetStatusPort *
limpet_status_port_new (uv_loop_t *loop, LimpetStatusHandler handler, void *user);
/** Sets the type of all response bodies, which is text/plain by default; borrowed. */
void limpet_status_port_set_content_type (LimpetStatusPort *port,
                                          const char *content_type);
/** Sets a filter: a connection from an IPv4 address (network byte order) for which
 *  \p accepts returns false is closed when its first request comes. */
void limpet_status_port_set_filter (LimpetStatusPort *port,
                                    bool (*accepts) (void *user, uint32_t address));
/** Listens on an IPv4 address and a TCP port. On failure sets \p error and returns
 *  LIMPET_STATUS_INTERNAL. */
LimpetStatus limpet_status_port_init (LimpetStatusPort *port,
                                      const char *address,
                                      int port_number,
                                      LimpetError *error);
/** Returns the number of connections on which a response is still being sent. */
uint32_t limpet_status_port_sending_count (const LimpetStatusPort *port);
/** Closes all connections; the event loop frees the port later. */
void limpet_status_port_close (LimpetStatusPort *port);

#endif
