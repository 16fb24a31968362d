#ifndef LIMPETROAD_PRIVATE_GOSSIP_STREAMS_H
#define LIMPETROAD_PRIVATE_GOSSIP_STREAMS_H

#include "limpetroad/stream_origins.h"
#include "private/gossip.pb-c.h"

#include <stddef.h>

/* Translates origins of streams to and from messages. */

/* Most origins, or queries, in one message, which keeps it within one packet. */
#define LIMPET_GOSSIP_MAX_STREAMS 100

/* The encoded origins of a message, with the arrays that they point to. */
typedef struct
{
  StreamOrigins groups[LIMPET_GOSSIP_MAX_STREAMS]; /* one for each version */
  StreamOrigins *pointers[LIMPET_GOSSIP_MAX_STREAMS];
  uint64_t ids[LIMPET_GOSSIP_MAX_STREAMS];
} LimpetGossipStreams;

/* Adds count origins to message, which refers to streams afterwards. Sorts the list. */
void limpet_gossip_streams_encode (LimpetGossipStreams *streams,
                                   LimpetStreamOrigin *list,
                                   uint32_t count,
                                   GossipMessage *message);
/* Adds the origins in message. Returns whether there are any. */
bool limpet_gossip_streams_receive (LimpetStreamOrigins *origins,
                                    const GossipMessage *message,
                                    LimpetMs now_ms);
/* Fills list with the known ones of the origins that message asks for, and returns their
 * number. */
uint32_t limpet_gossip_streams_find (const LimpetStreamOrigins *origins,
                                     const GossipMessage *message,
                                     LimpetStreamOrigin *list);

#endif
