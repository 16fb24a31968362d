#ifndef LIMPETROAD_PRIVATE_GOSSIP_CLOCKS_H
#define LIMPETROAD_PRIVATE_GOSSIP_CLOCKS_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/* Estimates the clocks of other routers, so that a time that one of them names is known
 * without regard to how long the message was under way.
 *
 * A message that names a time and says how old it is shows the difference between both
 * clocks, too large by the time that the message took. The smallest difference of the
 * last minute counts: the one from the message that took the shortest time. */
typedef struct LimpetGossipClocks LimpetGossipClocks;

LimpetGossipClocks *limpet_gossip_clocks_new (void);
void limpet_gossip_clocks_delete (LimpetGossipClocks *clocks);

/* Records that stamp_ms on the clock of router (any number that identifies a start
 * of it) is at most local_ms on the clock of this one. now_ms is the latter. */
void limpet_gossip_clocks_record (LimpetGossipClocks *clocks,
                                  uint32_t router,
                                  LimpetMs stamp_ms,
                                  LimpetMs local_ms,
                                  LimpetMs now_ms);
/* After this router stood still or its clock jumped forward: for each router, the next
 * difference that no link's delay explains replaces the known one. */
void limpet_gossip_clocks_doubt (LimpetGossipClocks *clocks);
/* Forgets all clocks. */
void limpet_gossip_clocks_clear (LimpetGossipClocks *clocks);
/* Sets local_ms to the time of this router's clock at stamp_ms of another one's,
 * which it does not exceed by more than the shortest way of a message from there. Returns
 * false if nothing is known of that clock. */
bool limpet_gossip_clocks_convert (const LimpetGossipClocks *clocks,
                                   uint32_t router,
                                   LimpetMs stamp_ms,
                                   LimpetMs *local_ms);

#endif
