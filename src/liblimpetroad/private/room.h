#ifndef LIMPETROAD_PRIVATE_ROOM_H
#define LIMPETROAD_PRIVATE_ROOM_H

#include "limpetroad/call.h"
#include "limpetroad/targets.h"

/* Decides for each new call whether there is room for it at the targets of its service
 * (docs/design/too-little-room.md). Load that it answers: for seconds callers ask for
 * more than the targets can do, or one team asks for many times its usual. Without it
 * all calls wait alike, and most are late.
 *
 * limpet_room_new() → limpet_room_set_table() → limpet_room_decide() for each new call,
 * limpet_room_record_release() when an attempt ends, limpet_room_tick() every 100 ms →
 * limpet_room_delete(). Uses no clock and no sockets; belongs to one thread. Times are
 * monotonic. */
typedef struct LimpetRoom LimpetRoom;

/* Which limit a call met. */
typedef enum
{
  LIMPET_ROOM_FREE = 0, /* none: there is room */
  LIMPET_ROOM_URGENCY,  /* the load up to which calls of its urgency are admitted */
  LIMPET_ROOM_TEAM,     /* the same, lowered as its team asks for more than its usual */
  LIMPET_ROOM_QUEUE, /* the calls that wait at this router; counted by the dispatcher */
  LIMPET_ROOM_BOUND_COUNT
} LimpetRoomBound;

/* Name of each LimpetRoomBound, for logs and metrics. */
extern const char *const limpet_room_bound_string[LIMPET_ROOM_BOUND_COUNT];

typedef struct
{
  LimpetRoomBound bound;   /* LIMPET_ROOM_FREE if the call is admitted */
  LimpetMs retry_after_ms; /* for a refused call: when there should be room for it */
  double load_per_slot;    /* believed load of the service */
  double limit_per_slot;   /* load from which on the call is refused */
} LimpetRoomDecision;

LimpetRoom *limpet_room_new (void);
void limpet_room_delete (LimpetRoom *room);

/* Sets the configuration in force: which urgencies the calls of each service have. */
void limpet_room_set_table (LimpetRoom *room, const LimpetRouteTable *table);

/* Returns how many urgencies of calls of its service are more urgent than the call. */
int64_t limpet_room_rank (const LimpetRoom *room, const LimpetCall *call);

/* Records a new call: what its team and the callers of its route ask for. */
void limpet_room_record_call (LimpetRoom *room, const LimpetCall *call, LimpetMs now_ms);
/* Decides on a call before its first attempt. Records nothing. */
LimpetRoomDecision limpet_room_decide (const LimpetRoom *room,
                                       const LimpetCall *call,
                                       const LimpetTargetView *view,
                                       LimpetMs now_ms);
/* Counts that a call was refused. */
void limpet_room_record_refusal (LimpetRoom *room,
                                 const LimpetCall *call,
                                 LimpetRoomBound bound,
                                 LimpetMs retry_after_ms);
/* Records that an attempt at a target of the service has ended. */
void limpet_room_record_release (LimpetRoom *room, const char *service, LimpetMs now_ms);
/* Returns the mean time between two releases of the service by this router. */
double limpet_room_release_gap_ms (const LimpetRoom *room, const char *service);

/* Updates the averages of the loads, and notes when a service begins or ceases to have
 * too little room. */
void limpet_room_tick (LimpetRoom *room, const LimpetTargetView *view, LimpetMs now_ms);

/* Appends the load of each service, and the refusals by route and team, in the Prometheus
 * text format. */
void limpet_room_render_metrics (const LimpetRoom *room, GString *out);

#endif
