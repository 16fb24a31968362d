#ifndef LIMPETROAD_STATUS_PORT_H
#define LIMPETROAD_STATUS_PORT_H

#include "limpetroad/status.h"

#include <glib.h>
#include <uv.h>

/** \defgroup status_port Status port
 *  A small HTTP port for questions about the process: readiness, metrics, state.
 *
 *  limpet_status_port_new() → limpet_status_port_init() → (answers in the loop) →
 *  limpet_status_port_close(), which also frees it.
 */
typedef struct LimpetStatusPort LimpetStatusPort;

/** Answers a GET of \p path: appends the text to \p body and returns the status. */
typedef int (*LimpetStatusAnswer) (void *user, const char *path, GString *body);

LimpetStatusPort *
limpet_status_port_new (uv_loop_t *loop, LimpetStatusAnswer answer, void *user);
LimpetStatus limpet_status_port_init (LimpetStatusPort *port,
                                      const char *address,
                                      int number,
                                      LimpetError *error);
void limpet_status_port_close (LimpetStatusPort *port);

#endif
