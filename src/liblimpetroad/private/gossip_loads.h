#ifndef LIMPETROAD_PRIVATE_GOSSIP_LOADS_H
#define LIMPETROAD_PRIVATE_GOSSIP_LOADS_H

#include "limpetroad/gossip.h"

/* Holds the newest load report of each target and selects the ones to send to other
 * routers. */
typedef struct LimpetGossipLoads LimpetGossipLoads;

/* Added to the age of received data for each hop: network latency between zones and
 * scheduling delay. */
#define LIMPET_GOSSIP_HOP_MS 5
/* Bytes of each load in a message, without the hash of its target: requests in flight (at
 * most 255), age in units of 10 ms, and a random tag that identifies the report. */
#define LIMPET_GOSSIP_LOAD_BYTES 3

LimpetGossipLoads *limpet_gossip_loads_new (void);
void limpet_gossip_loads_delete (LimpetGossipLoads *loads);

/* Stores a report that this router received from the target. The random tag
 * distinguishes it from earlier reports. */
void limpet_gossip_loads_record_own (LimpetGossipLoads *loads,
                                     const LimpetGossipLoad *load,
                                     uint8_t tag);

/* Decodes one load of a message into *load. Stores it and returns true if it is newer
 * than the stored report of the target. */
bool limpet_gossip_loads_receive (LimpetGossipLoads *loads,
                                  uint32_t target_hash,
                                  const uint8_t bytes[LIMPET_GOSSIP_LOAD_BYTES],
                                  LimpetMs now_ms,
                                  LimpetGossipLoad *load);

/* Selects up to max_count loads for a message: fills one hash and
 * LIMPET_GOSSIP_LOAD_BYTES bytes for each and returns their number. Drops old reports. */
uint32_t limpet_gossip_loads_collect (LimpetGossipLoads *loads,
                                      uint32_t max_count,
                                      uint32_t *target_hashes,
                                      uint8_t *bytes,
                                      LimpetMs now_ms);

#endif
