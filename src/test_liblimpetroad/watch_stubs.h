#ifndef TEST_LIBLIMPETROAD_WATCH_STUBS_H
#define TEST_LIBLIMPETROAD_WATCH_STUBS_H

#include "limpetroad/status_port.h"
#include "platform/watch.h"

/* Functions for PlatformWatchOps that do nothing. */
void watch_stub_ignore_snapshot (void *user);
void watch_stub_ignore_read (void *user, const LimpetGossipBatch *batch);
void watch_stub_ignore_router (void *user, uint32_t address);
LimpetMs watch_stub_no_delay (void *user);

/* Returns a port on loopback that serves states by handler, like another router, and lets
 * the watch ask there. The caller closes it. */
LimpetStatusPort *watch_stub_serve_states (uv_loop_t *loop,
                                           PlatformWatch *watch,
                                           LimpetStatusHandler handler,
                                           void *user);

#endif
