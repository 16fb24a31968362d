#include "limpetroad/log_era.h"

#include <glib.h>

#define OFFSET_BITS 40
#define MIN_ADVANCE_INTERVAL_MS 5000

int64_t
limpet_log_position (uint32_t era, int64_t offset)
{
  return (int64_t)era << OFFSET_BITS | offset;
}

uint32_t
limpet_log_position_era (int64_t position)
{
  return position < 0 ? 0 : (uint32_t)(position >> OFFSET_BITS);
}

int64_t
limpet_log_position_offset (int64_t position)
{
  return position < 0 ? position : position & LIMPET_LOG_MAX_OFFSET;
}

static void
set_number (LimpetLogEra *era, int64_t number, LimpetMs now_ms)
{
  if (number <= era->number || number > LIMPET_LOG_MAX_ERA)
    return;
  era->number = (uint32_t)number;
  era->since_ms = now_ms;
}

/* Returns the number of the era from which a response stems that names this one, as far
 * as it is known. */
static int64_t
number_of (const LimpetLogEra *era, int64_t named)
{
  if (era->has_responded && named == era->named)
    return era->named_number;
  return named == LIMPET_LOG_NO_ERA ? named : named % LIMPET_LOG_ERA_MODULUS;
}

/* Returns whether what a response names tells that it stems from the newest known era. */
static bool
names_newest (const LimpetLogEra *era, int64_t named)
{
  return named != LIMPET_LOG_NO_ERA && named % LIMPET_LOG_ERA_MODULUS >= era->number;
}

LimpetLogEraNews
limpet_log_era_record (LimpetLogEra *era,
                       int64_t named,
                       LimpetMs called_ms,
                       LimpetMs now_ms)
{
  int64_t number = number_of (era, named);
  uint32_t old_number = era->number;
  bool is_first = !era->has_responded;

  if (!is_first && named == LIMPET_LOG_NO_ERA && era->named != LIMPET_LOG_NO_ERA)
    return LIMPET_LOG_ERA_SAME; /* it does not say that another one has begun */
  if (called_ms <= era->since_ms && era->number > 0 && !names_newest (era, named))
    return LIMPET_LOG_ERA_OUTDATED;
  if (number > era->number)
    set_number (era, number, now_ms);
  else if (!is_first && named != era->named && era->named_number == era->number)
    {
      /* No other router has told of a new one yet. A log that names now this one, now
       * that one, does not make the routers read all the time. */
      if (era->advanced_ms > 0 && now_ms - era->advanced_ms < MIN_ADVANCE_INTERVAL_MS)
        return LIMPET_LOG_ERA_SAME;
      limpet_log_era_advance (era, now_ms);
    }
  era->named = named;
  era->named_number = era->number;
  era->has_responded = true;
  return !is_first && era->number > old_number ? LIMPET_LOG_ERA_NEW : LIMPET_LOG_ERA_SAME;
}

void
limpet_log_era_advance (LimpetLogEra *era, LimpetMs now_ms)
{
  set_number (era, (int64_t)era->number + 1, now_ms);
  era->advanced_ms = now_ms;
}

bool
limpet_log_era_is_credible (uint32_t known, uint32_t told)
{
  return told <= MAX (LIMPET_LOG_MAX_CREDIBLE_ERA, known + LIMPET_LOG_MAX_ERA_STEP)
         && told <= LIMPET_LOG_MAX_ERA;
}

void
limpet_log_era_hear (LimpetLogEra *era, uint32_t number, LimpetMs now_ms)
{
  if (limpet_log_era_is_credible (era->number, number))
    set_number (era, number, now_ms);
}
