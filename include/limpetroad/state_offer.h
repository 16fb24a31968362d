#ifndef LIMPETROAD_STATE_OFFER_H
#define LIMPETROAD_STATE_OFFER_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup state_offer State offers
 *  Decides whether a router that has no state of a topic yet takes the one that another
 *  router offers. A recent one is taken. An older one may come from a router that is cut
 *  off: it is taken only if the log does not respond to this router either, or if a
 * second router offers nothing newer.
 *
 *  Zero-initialise; there is nothing to free.
 */
typedef struct
{
  uint32_t address; /**< router that made an old offer; 0 if none has */
  int64_t end;      /**< end of the topic in that offer */
} LimpetStateOffers;

typedef struct
{
  uint32_t address;    /**< of the router that offers the state */
  int64_t end;         /**< offset after the last record that it covers */
  LimpetMs age_ms;     /**< since the router knew it to be the newest */
  LimpetMs max_age_ms; /**< age up to which a state counts as recent */
  bool is_log_failing; /**< the own read of the log has failed or is late */
} LimpetStateOffer;

/** Returns whether the state is taken. Records an offer that is not. */
bool limpet_state_offers_accept (LimpetStateOffers *offers,
                                 const LimpetStateOffer *offer);

#endif
