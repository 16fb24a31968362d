#include "private/suspect.h"

#include <glib.h>

bool
limpet_suspect_is_request (const LimpetSuspect *suspect)
{
  return suspect->depth == LIMPET_QUARANTINE_REQUEST_DEPTH;
}

const char *
limpet_suspect_log_key (const LimpetSuspect *suspect)
{
  return limpet_suspect_is_request (suspect) ? "request" : "part";
}

static uint32_t
oldest_crash (const LimpetSuspect *suspect)
{
  uint32_t oldest = 0;

  for (uint32_t i = 1; i < suspect->crash_count; i++)
    if (suspect->crashes[i].at_ms < suspect->crashes[oldest].at_ms)
      oldest = i;
  return oldest;
}

LimpetMs
limpet_suspect_first_crash_ms (const LimpetSuspect *suspect)
{
  return suspect->crash_count > 0 ? suspect->crashes[oldest_crash (suspect)].at_ms : 0;
}

LimpetMs
limpet_suspect_last_crash_ms (const LimpetSuspect *suspect)
{
  LimpetMs last_ms = 0;

  for (uint32_t i = 0; i < suspect->crash_count; i++)
    last_ms = MAX (last_ms, suspect->crashes[i].at_ms);
  return last_ms;
}

bool
limpet_suspect_has_crash_of (const LimpetSuspect *suspect, uint32_t target_hash)
{
  for (uint32_t i = 0; i < suspect->crash_count; i++)
    if (suspect->crashes[i].target_hash == target_hash)
      return true;
  return false;
}

static void
remove_crash (LimpetSuspect *suspect, uint32_t index)
{
  suspect->crashes[index] = suspect->crashes[--suspect->crash_count];
}

void
limpet_suspect_add_crash (LimpetSuspect *suspect, const LimpetSuspectCrash *crash)
{
  if (suspect->crash_count == LIMPET_QUARANTINE_MAX_CRASHES)
    remove_crash (suspect, oldest_crash (suspect));
  suspect->crashes[suspect->crash_count++] = *crash;
}

bool
limpet_suspect_remove_crashes (LimpetSuspect *suspect,
                               uint32_t kept_count,
                               bool (*is_removed) (const LimpetSuspectCrash *crash,
                                                   const void *data),
                               const void *data)
{
  uint32_t old_count = suspect->crash_count;

  for (uint32_t i = 0; i < suspect->crash_count;)
    if (!is_removed (&suspect->crashes[i], data))
      i++;
    else if (kept_count > 0)
      {
        kept_count--;
        i++;
      }
    else
      remove_crash (suspect, i);
  return suspect->crash_count < old_count;
}
