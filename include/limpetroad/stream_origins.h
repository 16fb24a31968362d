#ifndef LIMPETROAD_STREAM_ORIGINS_H
#define LIMPETROAD_STREAM_ORIGINS_H

#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup stream_origins Stream origins
 *  Remembers which software version began a stream, so that a caller can resume it at
 *  another router. What two versions write does not fit together.
 *
 *  limpet_stream_origins_new() → limpet_stream_origins_add() for own streams and for what
 *  other routers say, limpet_stream_origins_find() when a caller resumes a stream,
 *  limpet_stream_origins_collect() for each digest, limpet_stream_origins_expire() about
 *  every second → limpet_stream_origins_delete(). Opens no sockets, starts no threads, is
 *  not thread-safe.
 *
 *  Origins of own streams are told to some random routers, so that they are known when
 *  this router has failed. Nobody knows which routers those are: a router that lacks an
 *  origin asks all (limpet_gossip_query_streams()).
 */
typedef struct LimpetStreamOrigins LimpetStreamOrigins;

/** An origin is kept for this time. A caller that resumes a stream later is refused while
 *  several versions serve. */
#define LIMPET_STREAM_VALIDITY_MS 60000

typedef struct
{
  uint64_t id;            /**< limpet_stream_id() */
  uint32_t software_hash; /**< LimpetTarget.software_hash */
} LimpetStreamOrigin;

/** Returns the id of the stream whose first event \p request_id brought. */
uint64_t limpet_stream_id (const char *request_id);

LimpetStreamOrigins *limpet_stream_origins_new (void);
void limpet_stream_origins_delete (LimpetStreamOrigins *origins);

/** Adds the origin of a stream of this router. It is told to other routers if \p
 * is_shared is set, or later by limpet_stream_origins_share(). */
void limpet_stream_origins_add_own (LimpetStreamOrigins *origins,
                                    const LimpetStreamOrigin *origin,
                                    bool is_shared,
                                    LimpetMs now_ms);
/** Adds what another router says. */
void limpet_stream_origins_receive (LimpetStreamOrigins *origins,
                                    const LimpetStreamOrigin *origin,
                                    LimpetMs now_ms);
/** Returns the software version that began the stream; 0 if it is unknown. */
uint32_t limpet_stream_origins_find (const LimpetStreamOrigins *origins, uint64_t id);

/** Has all origins of this router told to others. */
void limpet_stream_origins_share (LimpetStreamOrigins *origins);
/** Fills \p list with origins for a digest and returns their number. Each is collected
 * for two digests. */
uint32_t limpet_stream_origins_collect (LimpetStreamOrigins *origins,
                                        LimpetStreamOrigin *list,
                                        uint32_t max_count);
/** Forgets old origins. */
void limpet_stream_origins_expire (LimpetStreamOrigins *origins, LimpetMs now_ms);
/** Returns the number of known origins. */
uint32_t limpet_stream_origins_count (const LimpetStreamOrigins *origins);

#endif
