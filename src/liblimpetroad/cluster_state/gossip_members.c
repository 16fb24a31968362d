#include "private/gossip_members.h"

#include <glib.h>

/* A member is removed after MEMBER_TIMEOUT_MS without a message. One that has never sent
 * a message, and is known only from other routers or a registry, is removed after
 * UNCONFIRMED_TIMEOUT_MS. */
#define MEMBER_TIMEOUT_MS 20000
#define UNCONFIRMED_TIMEOUT_MS 8000
/* Only members that sent a message within this time are told to other routers. */
#define MAX_SHARED_MEMBER_AGE_MS 4000
/* A router that failed to relay a connection is not asked again for this time. */
#define RELAY_BACKOFF_MS 1000
/* Share of the picks that are made among all members instead of those in a zone, in which
 * perhaps none has what is asked for. */
#define ANY_ZONE_RATIO 0.25

typedef struct
{
  uint32_t address;
  /* Time of its last message. For a member without one, the time when it was added,
   * back-dated so that it is removed after UNCONFIRMED_TIMEOUT_MS. */
  LimpetMs last_seen_ms;
  bool is_confirmed; /* has sent a message */
  bool relays;       /* relays connections to targets */
  uint32_t zone;     /* hash of its availability zone; 0 if it is not known */
  LimpetMs relay_failed_until_ms;
} Member;

struct LimpetGossipMembers
{
  uint32_t own_address;
  GArray *members; /* of Member */
};

LimpetGossipMembers *
limpet_gossip_members_new (uint32_t own_address)
{
  LimpetGossipMembers *members = g_new0 (LimpetGossipMembers, 1);

  members->own_address = own_address;
  members->members = g_array_new (FALSE, FALSE, sizeof (Member));
  return members;
}

void
limpet_gossip_members_delete (LimpetGossipMembers *members)
{
  g_array_free (members->members, TRUE);
  g_free (members);
}

static Member *
find_member (LimpetGossipMembers *members, uint32_t address)
{
  for (guint i = 0; i < members->members->len; i++)
    {
      Member *member = &g_array_index (members->members, Member, i);

      if (member->address == address)
        return member;
    }
  return NULL;
}

/* Returns the member at address, which is added if it is new. Returns NULL for the own
 * address and for 0. */
static Member *
ensure_member (LimpetGossipMembers *members, uint32_t address, LimpetMs last_seen_ms)
{
  Member *member = find_member (members, address);

  if (member == NULL && address != members->own_address && address != 0)
    {
      Member added = { .address = address, .last_seen_ms = last_seen_ms };

      g_array_append_val (members->members, added);
      member = find_member (members, address);
    }
  return member;
}

bool
limpet_gossip_members_add (LimpetGossipMembers *members,
                           uint32_t address,
                           LimpetMs now_ms)
{
  return ensure_member (members, address,
                        now_ms - MEMBER_TIMEOUT_MS + UNCONFIRMED_TIMEOUT_MS)
         != NULL;
}

void
limpet_gossip_members_record_message (LimpetGossipMembers *members,
                                      uint32_t address,
                                      bool is_leaving,
                                      LimpetMs now_ms)
{
  Member *member = ensure_member (members, address, now_ms);

  if (member == NULL)
    return;
  member->last_seen_ms = is_leaving ? now_ms - MEMBER_TIMEOUT_MS : now_ms;
  member->is_confirmed = true;
}

void
limpet_gossip_members_set_relays (LimpetGossipMembers *members,
                                  uint32_t address,
                                  bool relays)
{
  Member *member = find_member (members, address);

  if (member != NULL)
    member->relays = relays;
}

void
limpet_gossip_members_record_relay_failure (LimpetGossipMembers *members,
                                            uint32_t address,
                                            LimpetMs now_ms)
{
  Member *member = find_member (members, address);

  if (member != NULL)
    member->relay_failed_until_ms = now_ms + RELAY_BACKOFF_MS;
}

/* A random draw of one of the members that are offered one after the other. */
typedef struct
{
  uint32_t address; /* of the drawn one; 0 if none was offered */
  gint32 offered;
} Draw;

static void
offer (Draw *draw, const Member *member, GRand *random)
{
  if (g_rand_int_range (random, 0, ++draw->offered) == 0)
    draw->address = member->address;
}

uint32_t
limpet_gossip_members_pick_relay (const LimpetGossipMembers *members,
                                  GRand *random,
                                  LimpetMs now_ms)
{
  Draw sound = { 0 };
  Draw failed = { 0 };

  for (guint i = 0; i < members->members->len; i++)
    {
      const Member *member = &g_array_index (members->members, Member, i);
      bool has_failed = now_ms < member->relay_failed_until_ms;

      if (member->relays)
        offer (has_failed ? &failed : &sound, member, random);
    }
  return sound.address != 0 ? sound.address : failed.address;
}

void
limpet_gossip_members_set_zone (LimpetGossipMembers *members,
                                uint32_t address,
                                uint32_t zone)
{
  Member *member = find_member (members, address);

  if (member != NULL)
    member->zone = zone;
}

uint32_t
limpet_gossip_members_pick_confirmed (const LimpetGossipMembers *members,
                                      uint32_t zone,
                                      GRand *random)
{
  bool is_any_zone_picked = g_rand_double (random) < ANY_ZONE_RATIO;
  Draw any = { 0 };
  Draw near = { 0 };

  for (guint i = 0; i < members->members->len; i++)
    {
      const Member *member = &g_array_index (members->members, Member, i);

      if (!member->is_confirmed)
        continue;
      offer (&any, member, random);
      if (member->zone == zone)
        offer (&near, member, random);
    }
  return near.address != 0 && !is_any_zone_picked ? near.address : any.address;
}

bool
limpet_gossip_members_is_confirmed (LimpetGossipMembers *members, uint32_t address)
{
  const Member *member = find_member (members, address);

  return member != NULL && member->is_confirmed;
}

void
limpet_gossip_members_expire (LimpetGossipMembers *members, LimpetMs now_ms)
{
  for (guint i = 0; i < members->members->len;)
    if (now_ms - g_array_index (members->members, Member, i).last_seen_ms
        > MEMBER_TIMEOUT_MS)
      g_array_remove_index_fast (members->members, i);
    else
      i++;
}

uint32_t
limpet_gossip_members_count (const LimpetGossipMembers *members)
{
  return members->members->len;
}

uint32_t
limpet_gossip_members_responding_count (const LimpetGossipMembers *members)
{
  uint32_t count = 0;

  for (guint i = 0; i < members->members->len; i++)
    count += g_array_index (members->members, Member, i).is_confirmed;
  return count;
}

uint32_t
limpet_gossip_members_address (const LimpetGossipMembers *members, uint32_t index)
{
  return g_array_index (members->members, Member, index).address;
}

uint32_t
limpet_gossip_members_collect (const LimpetGossipMembers *members,
                               uint32_t first,
                               uint32_t *addresses,
                               uint32_t max_count,
                               LimpetMs now_ms)
{
  uint32_t count = 0;

  for (guint i = 0; i < members->members->len && count < max_count; i++)
    {
      const Member *member = &g_array_index (members->members, Member,
                                             (first + i) % members->members->len);

      if (member->is_confirmed
          && now_ms - member->last_seen_ms < MAX_SHARED_MEMBER_AGE_MS)
        addresses[count++] = member->address;
    }
  return count;
}
