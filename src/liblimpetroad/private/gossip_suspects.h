#ifndef LIMPETROAD_PRIVATE_GOSSIP_SUSPECTS_H
#define LIMPETROAD_PRIVATE_GOSSIP_SUSPECTS_H

#include "limpetroad/quarantine.h"
#include "private/gossip.pb-c.h"

/* Translates records of the quarantine to and from messages. */

/* Most suspects in one message, which keeps it within one packet. */
#define LIMPET_GOSSIP_MAX_SUSPECTS 16

/* The encoded suspects of a message, with the arrays that they point to. */
typedef struct
{
  SuspectRecord records[LIMPET_GOSSIP_MAX_SUSPECTS];
  SuspectRecord *pointers[LIMPET_GOSSIP_MAX_SUSPECTS];
  uint32_t targets[LIMPET_GOSSIP_MAX_SUSPECTS][LIMPET_QUARANTINE_MAX_CRASHES];
  uint32_t ages_ms[LIMPET_GOSSIP_MAX_SUSPECTS][LIMPET_QUARANTINE_MAX_CRASHES];
} LimpetGossipSuspects;

/* Adds records to message, which refers to suspects afterwards. */
void limpet_gossip_suspects_encode (LimpetGossipSuspects *suspects,
                                    const LimpetSuspect *records,
                                    uint32_t count,
                                    LimpetMs now_ms,
                                    GossipMessage *message);
/* Decodes a received suspect. Returns false if it is malformed. */
bool limpet_gossip_suspects_decode (const SuspectRecord *received,
                                    LimpetMs now_ms,
                                    LimpetSuspect *record);

#endif
