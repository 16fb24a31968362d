#ifndef LIMPETROAD_PRIVATE_GOSSIP_LIMITS_H
#define LIMPETROAD_PRIVATE_GOSSIP_LIMITS_H

#include "limpetroad/gossip.h"
#include "private/gossip.pb-c.h"

/* Holds the newest rate limit of each target that has one, and selects the ones to send
 * to other routers. */
typedef struct LimpetGossipLimits LimpetGossipLimits;

/* Most limits in one message, which keeps it within one packet. */
#define LIMPET_GOSSIP_MAX_LIMITS 37

/* The encoded limits of a message. */
typedef struct
{
  TargetLimit limits[LIMPET_GOSSIP_MAX_LIMITS];
  TargetLimit *pointers[LIMPET_GOSSIP_MAX_LIMITS];
} LimpetGossipEncodedLimits;

/* The reporter identifies this start of the router in messages; not 0. */
LimpetGossipLimits *limpet_gossip_limits_new (uint32_t reporter);
void limpet_gossip_limits_delete (LimpetGossipLimits *limits);

/* Stores a limit, or its end, from a response to this router. Returns whether other
 * routers have to be told. */
bool limpet_gossip_limits_record_own (LimpetGossipLimits *limits,
                                      const LimpetGossipLimit *limit);
/* Decodes a received limit. Stores it and returns true if it is newer than the known one
 * and neither a copy of a report that has come before nor older than one from the same
 * router. */
bool limpet_gossip_limits_receive (LimpetGossipLimits *limits,
                                   const TargetLimit *received,
                                   LimpetMs now_ms,
                                   LimpetGossipLimit *limit);

/* Adds limits that have changed since they were last collected to message, which refers
 * to encoded afterwards. Returns their number. The rest follows at the next call. */
uint32_t limpet_gossip_limits_collect_changed (LimpetGossipLimits *limits,
                                               LimpetGossipEncodedLimits *encoded,
                                               LimpetMs now_ms,
                                               GossipMessage *message);
/* Adds up to max_count limits: those of refusals, which are few, each time, the others in
 * turn over the calls. Returns their number. Drops old limits. */
uint32_t limpet_gossip_limits_collect_next (LimpetGossipLimits *limits,
                                            LimpetGossipEncodedLimits *encoded,
                                            uint32_t max_count,
                                            LimpetMs now_ms,
                                            GossipMessage *message);

#endif
