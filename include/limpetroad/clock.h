#ifndef LIMPETROAD_CLOCK_H
#define LIMPETROAD_CLOCK_H

#include <stdint.h>

/** \defgroup clock Clock
 *  Time in milliseconds.
 *
 *  Every duration and instant in the library has the type LimpetMs. Use the monotonic
 *  clock for deadlines, the boot clock for the age of information, and the wall clock for
 *  values that leave the process.
 */

/** Milliseconds: a duration, or an instant of one of the clocks below. */
typedef int64_t LimpetMs;

/** Returns the monotonic time (CLOCK_MONOTONIC), in ms. It advances while the process is
 *  stopped, but not while the machine is suspended. */
LimpetMs limpet_clock_mono_ms (void);

/** Returns the time since the machine booted (CLOCK_BOOTTIME), in ms. It also advances
 *  while the machine is suspended, so use it for the age of information from other
 *  processes. */
LimpetMs limpet_clock_boot_ms (void);

/** Returns the wall-clock time since the epoch, in ms. */
LimpetMs limpet_clock_wall_ms (void);

/** Converts instants of the boot clock and the wall clock. The wall clocks of machines
 *  differ, and jump, by seconds; an instant in the future becomes the current time. */
LimpetMs limpet_clock_wall_from_boot_ms (LimpetMs boot_ms);
LimpetMs limpet_clock_boot_from_wall_ms (LimpetMs wall_ms);

/** Blocks the calling thread for \p duration_ms, which must not be negative. */
void limpet_clock_sleep_ms (LimpetMs duration_ms);

#endif
