#ifndef LIMPETROAD_PRIVATE_GOSSIP_STREAMS_H
#define LIMPETROAD_PRIVATE_GOSSIP_STREAMS_H

#include "limpetroad/stream_origins.h"
#include "private/gossip.pb-c.h"

#include <stddef.h>

/* Translates origins of streams to and from messages. */

/* Most origins, or queries, in one message, which keeps it within one packet. */
#define LIMPET_GOSSIP_MAX_STREAMS 100
/* Size of an encoded origin. */
#define LIMPET_GOSSIP_STREAM_BYTES 8

/* The encoded origins of a message, with the arrays that they point to. The message
 * refers to it. */
typedef struct
{
  StreamOrigins groups[LIMPET_GOSSIP_MAX_STREAMS]; /* one for each version */
  StreamOrigins *pointers[LIMPET_GOSSIP_MAX_STREAMS];
  uint64_t ids[LIMPET_GOSSIP_MAX_STREAMS];
} LimpetGossipStreams;

/* Adds the origins in message. Returns whether there are any. */
bool limpet_gossip_streams_receive (LimpetStreamOrigins *origins,
                                    const GossipMessage *message,
                                    LimpetMs now_ms);
/* Adds the known ones of the origins that query asks for to answer. Returns whether there
 * are any. */
bool limpet_gossip_streams_answer (const LimpetStreamOrigins *origins,
                                   const GossipMessage *query,
                                   LimpetGossipStreams *streams,
                                   GossipMessage *answer);
/* Adds the origins that are next to be told to a digest, and returns their number. */
uint32_t limpet_gossip_streams_collect (LimpetStreamOrigins *origins,
                                        LimpetGossipStreams *streams,
                                        GossipMessage *digest);

#endif
