#include "limpetroad/clock.h"

#include <time.h>

static LimpetMs
read_clock_ms (clockid_t id)
{
  struct timespec ts;

  clock_gettime (id, &ts);
  return (LimpetMs)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

LimpetMs
limpet_clock_mono_ms (void)
{
  return read_clock_ms (CLOCK_MONOTONIC);
}

LimpetMs
limpet_clock_boot_ms (void)
{
  return read_clock_ms (CLOCK_BOOTTIME);
}

LimpetMs
limpet_clock_wall_ms (void)
{
  return read_clock_ms (CLOCK_REALTIME);
}

LimpetMs
limpet_clock_wall_from_boot_ms (LimpetMs boot_ms)
{
  return limpet_clock_wall_ms () - limpet_clock_boot_ms () + boot_ms;
}

LimpetMs
limpet_clock_boot_from_wall_ms (LimpetMs wall_ms)
{
  LimpetMs age_ms = limpet_clock_wall_ms () - wall_ms;

  return limpet_clock_boot_ms () - (age_ms > 0 ? age_ms : 0);
}

void
limpet_clock_sleep_ms (LimpetMs duration_ms)
{
  struct timespec ts
      = { .tv_sec = duration_ms / 1000, .tv_nsec = duration_ms % 1000 * 1000000 };

  while (nanosleep (&ts, &ts) != 0)
    continue;
}
