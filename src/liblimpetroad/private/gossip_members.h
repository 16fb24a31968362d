#ifndef LIMPETROAD_PRIVATE_GOSSIP_MEMBERS_H
#define LIMPETROAD_PRIVATE_GOSSIP_MEMBERS_H

#include "limpetroad/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/* The other routers that a router knows, by their IPv4 addresses (network byte order).
 * Times are of the boot clock. */
typedef struct LimpetGossipMembers LimpetGossipMembers;

LimpetGossipMembers *limpet_gossip_members_new (uint32_t own_address);
void limpet_gossip_members_delete (LimpetGossipMembers *members);

/* Adds a router known from a registry or another router. Returns false for the own
 * address and for 0. */
bool limpet_gossip_members_add (LimpetGossipMembers *members,
                                uint32_t address,
                                LimpetMs now_ms);
/* Records a message from a router, which is added if it is new. */
void limpet_gossip_members_record_message (LimpetGossipMembers *members,
                                           uint32_t address,
                                           bool is_leaving,
                                           LimpetMs now_ms);
/* Removes routers that stopped sending messages. */
void limpet_gossip_members_expire (LimpetGossipMembers *members, LimpetMs now_ms);

/* Records whether a router relays connections, as it says. */
void limpet_gossip_members_set_relays (LimpetGossipMembers *members,
                                       uint32_t address,
                                       bool relays);
/* Records that a router failed to relay a connection. */
void limpet_gossip_members_record_relay_failure (LimpetGossipMembers *members,
                                                 uint32_t address,
                                                 LimpetMs now_ms);
/* Returns a random router among those that relay, of one that has not failed to lately if
 * there is any; 0 if none relays. */
uint32_t limpet_gossip_members_pick_relay (const LimpetGossipMembers *members,
                                           GRand *random,
                                           LimpetMs now_ms);
/* Records the availability zone of a router, as a hash of its name. */
void limpet_gossip_members_set_zone (LimpetGossipMembers *members,
                                     uint32_t address,
                                     uint32_t zone);
/* Returns the address of a random member that has sent a message, usually of one in the
 * availability zone if there is any; 0 if there is none. */
uint32_t limpet_gossip_members_pick_confirmed (const LimpetGossipMembers *members,
                                               uint32_t zone,
                                               GRand *random);
/* Returns whether a router at the address has sent a message. */
bool limpet_gossip_members_is_confirmed (LimpetGossipMembers *members, uint32_t address);

uint32_t limpet_gossip_members_count (const LimpetGossipMembers *members);
/* Returns the number of members that have sent a message. */
uint32_t limpet_gossip_members_responding_count (const LimpetGossipMembers *members);
/* Returns the address of a member; index is below the count. */
uint32_t limpet_gossip_members_address (const LimpetGossipMembers *members,
                                        uint32_t index);
/* Fills addresses with members that sent a message lately, from the member at index first
 * on, and returns their number. */
uint32_t limpet_gossip_members_collect (const LimpetGossipMembers *members,
                                        uint32_t first,
                                        uint32_t *addresses,
                                        uint32_t max_count,
                                        LimpetMs now_ms);

#endif
