#ifndef LIMPETROAD_LOG_ERA_H
#define LIMPETROAD_LOG_ERA_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup log_era Eras of a log
 *  A log that was restored from a copy lacks the records appended after the copy was
 * made, and gives out their offsets again. Each restoration begins a new era, which the
 * log names in its responses. Offsets of different eras must not be compared.
 *
 *  A position is an offset and its era in one number: a position of a later era is the
 *  higher one, whatever the offsets.
 *
 *  All routers have to number the eras alike. The number is what the log names, modulo
 *  LIMPET_LOG_ERA_MODULUS: a log may name a time. If the log names what gives no later
 *  number, its history may have been replaced as well: the routers then count one
 * further, the first one that sees it for all others, at most once in some seconds. A
 * response that names none says nothing.
 */

/** What a log names beyond this starts at 0 again. */
#define LIMPET_LOG_ERA_MODULUS (INT64_C (1) << 22)
/** Highest number of an era, and highest offset in a position. */
#define LIMPET_LOG_MAX_ERA ((INT64_C (1) << 23) - 1)
#define LIMPET_LOG_MAX_OFFSET ((INT64_C (1) << 40) - 1)
/** Highest number that is believed of others whatever the known one is: beyond what logs
 * name, with room for more to be counted. */
#define LIMPET_LOG_MAX_CREDIBLE_ERA (LIMPET_LOG_ERA_MODULUS + LIMPET_LOG_ERA_MODULUS / 2)
/** A number beyond that is believed if it is at most this much above the known one. */
#define LIMPET_LOG_MAX_ERA_STEP 64
/** A log names no era. */
#define LIMPET_LOG_NO_ERA (-1)

/** Returns the position of an offset, both within the limits above. */
int64_t limpet_log_position (uint32_t era, int64_t offset);
uint32_t limpet_log_position_era (int64_t position);
int64_t limpet_log_position_offset (int64_t position);

/** The newest known era of a log. Zero-initialise; there is nothing to free. */
typedef struct
{
  uint32_t number;       /**< 0 before any is known */
  LimpetMs since_ms;     /**< when this router learned of it */
  int64_t named;         /**< what the log named last, or LIMPET_LOG_NO_ERA */
  uint32_t named_number; /**< the number when it did */
  LimpetMs advanced_ms;  /**< when this router counted one further itself; 0 for never */
  bool has_responded;    /**< the log has named an era, or none, before */
} LimpetLogEra;

/** What a response of the log says of its era. */
typedef enum
{
  LIMPET_LOG_ERA_SAME = 0,
  LIMPET_LOG_ERA_NEW,     /**< a new era has begun */
  LIMPET_LOG_ERA_OUTDATED /**< the response stems from an earlier era */
} LimpetLogEraNews;

/** Records that the response to a call begun at \p called_ms names the era \p named,
 * which is not negative, or LIMPET_LOG_NO_ERA. Times are of the monotonic clock. */
LimpetLogEraNews limpet_log_era_record (LimpetLogEra *era,
                                        int64_t named,
                                        LimpetMs called_ms,
                                        LimpetMs now_ms);
/** Records that the log lost records although it named no new era. */
void limpet_log_era_advance (LimpetLogEra *era, LimpetMs now_ms);
/** Returns whether a number that another router tells is believed, when \p known is the
 * newest known one. Otherwise a wrong one could use up the numbers, and no later era
 * could be told from it. */
bool limpet_log_era_is_credible (uint32_t known, uint32_t told);
/** Records the number of an era that another router knows, if it is believed. */
void limpet_log_era_hear (LimpetLogEra *era, uint32_t number, LimpetMs now_ms);

#endif
