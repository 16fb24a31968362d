#include "limpetroad/state_offer.h"

bool
limpet_state_offers_accept (LimpetStateOffers *offers, const LimpetStateOffer *offer)
{
  bool is_confirmed = offers->address != 0 && offers->address != offer->address
                      && offer->end >= offers->end;

  if (offer->age_ms <= offer->max_age_ms || offer->is_log_failing || is_confirmed)
    return true;
  if (offers->address == 0 || offer->end >= offers->end)
    *offers = (LimpetStateOffers){ .address = offer->address, .end = offer->end };
  return false;
}
