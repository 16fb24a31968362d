#ifndef LIMPETROAD_SOFTWARE_MIX_H
#define LIMPETROAD_SOFTWARE_MIX_H

#include "limpetroad/stream_origins.h"
#include "limpetroad/targets.h"

/** \defgroup software_mix Software mix
 *  Tells in which services several software versions serve, or did so recently. Only
 *  there a stream must be resumed at the version that began it.
 *
 *  limpet_software_mix_new() → limpet_software_mix_update() about every second,
 *  limpet_software_mix_receive() with the marks in durable storage and
 *  limpet_software_mix_set_marks_known() after them → limpet_software_mix_delete(). Opens
 *  no sockets, starts no threads, is not thread-safe.
 *
 *  A router that starts cannot see versions that have just left. Routers therefore mark
 *  the services in which they see several versions in durable storage. Until a router has
 *  read the marks, each service counts as mixed. They also store which version serves, at
 *  each change: if a router that starts finds another one, the change happened while no
 *  router was there to see it, and the service counts as mixed.
 *
 *  \p now_ms is always the boot clock (limpet_clock_boot_ms()).
 */
typedef struct LimpetSoftwareMix LimpetSoftwareMix;

/** Callbacks; each may be NULL. */
typedef struct
{
  /** The service has to be marked in durable storage. Of all routers, a few are called
   *  each time. */
  void (*on_mark) (void *user, const char *service);
  /** The marks are needed now, before limpet_software_mix_set_marks_known(). */
  void (*on_marks_needed) (void *user);
  /** The version that serves has to be stored in durable storage. */
  void (*on_version) (void *user, const char *service, uint32_t software_hash);
  /** Several versions were seen in the service for the first time. */
  void (*on_mixed) (void *user, const char *service);
} LimpetSoftwareMixOps;

/** \p ops is borrowed; \p seed is for the choice of the routers that mark. */
LimpetSoftwareMix *
limpet_software_mix_new (const LimpetSoftwareMixOps *ops, void *user, uint64_t seed);
void limpet_software_mix_delete (LimpetSoftwareMix *mix);

/** Looks for services with several versions in \p view; \p routers is the number of
 *  routers of the fleet. */
void limpet_software_mix_update (LimpetSoftwareMix *mix,
                                 const LimpetTargetView *view,
                                 uint32_t routers,
                                 LimpetMs now_ms);
/** Records that \p service had several versions at \p at_ms. */
void
limpet_software_mix_receive (LimpetSoftwareMix *mix, const char *service, LimpetMs at_ms);
/** Records the version of \p service in durable storage, where it stands at \p position
 * (see limpetroad/log_era.h), unless a later record of it is known. */
void limpet_software_mix_receive_version (LimpetSoftwareMix *mix,
                                          const char *service,
                                          uint32_t software_hash,
                                          int64_t position);
/** Records that all marks and versions have been received. */
void limpet_software_mix_set_marks_known (LimpetSoftwareMix *mix,
                                          uint32_t routers,
                                          LimpetMs now_ms);
/** Returns whether all marks have been received; if not, requests them. */
bool limpet_software_mix_need_marks (LimpetSoftwareMix *mix);

/** Returns whether streams that still run may have begun at another version than the one
 *  that serves in \p service, or one of those that serve. */
bool limpet_software_mix_is_mixed (const LimpetSoftwareMix *mix,
                                   const char *service,
                                   LimpetMs now_ms);

#endif
