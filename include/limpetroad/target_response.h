#ifndef LIMPETROAD_TARGET_RESPONSE_H
#define LIMPETROAD_TARGET_RESPONSE_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup target_response Target response
 *  The head of a target's response in a form that does not depend on the target's
 *  protocol. A target codec fills it; the exchange reads it.
 */
typedef struct
{
  int status;
  bool is_for_other_call; /**< the response belongs to another call and is skipped */
  bool names_call;     /**< the response has the id of its call, or the call has none */
  bool is_from_target; /**< the head proves that the target created the response */
  bool not_executed;   /**< the head proves that the target did not run the call */
  bool is_misdirected; /**< the address now belongs to another target */
  bool is_leaving;     /**< the target takes no new requests from now on */
  bool is_encoded;     /**< the body has a content encoding, e.g. gzip */
  bool has_load;       /**< running, waiting and slots are set */
  int32_t running;     /**< requests that the target is running */
  int32_t waiting;     /**< requests in the target's queue */
  int32_t slots;       /**< requests that the target can run at once */
  bool has_rate_limit; /**< rate_limit_per_s is set */
  /** Requests per second that the target takes from all routers together. */
  double rate_limit_per_s;
  bool is_brittle; /**< max_refusals_per_s is set */
  /** The target falls over if it has to turn more calls away in a second. */
  double max_refusals_per_s;
  /** Time for which the target, which turned the call away, wants no further ones from
   *  this router; 0 if it named none. */
  LimpetMs rest_ms;
  /** Time for which the target goes on to bear few requests; 0 if it named none. */
  LimpetMs cold_ms;
  /** Time after which the target closes an idle connection; 0 if unknown. */
  LimpetMs keep_alive_ms;
} LimpetTargetResponse;

#endif
