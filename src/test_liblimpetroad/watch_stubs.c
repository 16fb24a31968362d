#include "watch_stubs.h"

/* First port that is tried. */
#define FIRST_PORT 20000

void
watch_stub_ignore_snapshot (void *user)
{
  (void)user;
}

void
watch_stub_ignore_read (void *user, const LimpetGossipBatch *batch)
{
  (void)user;
  (void)batch;
}

void
watch_stub_ignore_router (void *user, uint32_t address)
{
  (void)user;
  (void)address;
}

LimpetMs
watch_stub_no_delay (void *user)
{
  (void)user;
  return 0;
}

LimpetStatusPort *
watch_stub_serve_states (uv_loop_t *loop,
                         PlatformWatch *watch,
                         LimpetStatusHandler handler,
                         void *user)
{
  LimpetStatusPort *state_port = limpet_status_port_new (loop, handler, user);
  int port = FIRST_PORT;

  while (limpet_status_port_init (state_port, "127.0.0.1", port, NULL)
         != LIMPET_STATUS_OK)
    {
      limpet_status_port_close (state_port);
      state_port = limpet_status_port_new (loop, handler, user);
      port++;
    }
  platform_watch_ask_routers (watch, loop, "127.0.0.1", port);
  return state_port;
}
