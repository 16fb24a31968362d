#ifndef LIMPETROAD_EXCHANGE_H
#define LIMPETROAD_EXCHANGE_H

#include "limpetroad/byte_account.h"
#include "limpetroad/target_response.h"
#include "limpetroad/call.h"
#include "limpetroad/cold_bound.h"
#include "limpetroad/http_head.h"
#include "limpetroad/quarantine.h"
#include "limpetroad/retry_budget.h"
#include "limpetroad/route_table.h"
#include "limpetroad/software_mix.h"
#include "limpetroad/targets.h"

#include <uv.h>

/** \defgroup exchange Exchange
 *  Forwards requests from callers to targets and responses back, in one event loop.
 *
 *  limpet_exchange_new() → limpet_exchange_set_*() → limpet_exchange_init() →
 *  limpet_exchange_set_table() with each version of the configuration, and
 *  limpet_exchange_targets_changed() after each change of the targets →
 *  limpet_exchange_drain() → limpet_exchange_close_idle() → limpet_exchange_abort_all() →
 *  limpet_exchange_delete().
 *
 *  All functions must be called from the thread of the event loop. A caller codec and a
 *  target codec handle the header fields that callers and targets use beyond HTTP/1.1.
 */
typedef struct LimpetExchange LimpetExchange;

/** One attempt to run a call on a target, with the data that a codec needs to write its
 *  request. */
typedef struct
{
  const LimpetTarget *target;
  LimpetMs remaining_ms; /**< time left until the final response is due */
  /** The target resumes the stream after this event; NULL to start from the beginning. */
  const char *last_event_id;
  int64_t priority; /**< 0 to 9, 0 is the most urgent */
  /** An engine that may hold the shared prompt parts in its cache, or NULL. */
  const LimpetTarget *cache_source;
} LimpetCallAttempt;

typedef struct LimpetCallerCodec LimpetCallerCodec;

/** Translates between the header fields of callers and typed values. */
typedef struct
{
  /** Fills the fields of \p call that come from the request. On failure sets \p error and
   *  returns a status other than LIMPET_STATUS_OK; the request is then refused. */
  LimpetStatus (*read_call) (LimpetCallerCodec *codec,
                             const LimpetHttpHead *head,
                             LimpetCall *call,
                             LimpetError *error);
  /** Appends the header lines of an error response that the router creates itself, except
   *  Content-Length and Connection. */
  void (*write_refusal) (LimpetCallerCodec *codec,
                         const LimpetCall *call,
                         const LimpetRefusal *refusal,
                         GString *out);
} LimpetCallerCodecOps;

struct LimpetCallerCodec
{
  const LimpetCallerCodecOps *ops;
};

typedef struct LimpetTargetCodec LimpetTargetCodec;

/** Translates between the header fields of targets and typed values. */
typedef struct
{
  /** Appends the header lines of a request, except Content-Length, which the exchange
   *  writes. */
  void (*write_request_fields) (LimpetTargetCodec *codec,
                                const LimpetHttpHead *head,
                                const LimpetCall *call,
                                const LimpetCallAttempt *attempt,
                                GString *out);
  /** Fills \p response from the head of a response that arrived for \p call. */
  void (*read_response) (LimpetTargetCodec *codec,
                         const LimpetHttpHead *head,
                         const LimpetCall *call,
                         const LimpetTarget *target,
                         LimpetTargetResponse *response);
} LimpetTargetCodecOps;

struct LimpetTargetCodec
{
  const LimpetTargetCodecOps *ops;
};

/** Returns an exchange that uses \p loop. The loop, the targets and the codecs must
 *  outlive it. */
LimpetExchange *limpet_exchange_new (uv_loop_t *loop, LimpetTargets *targets);
void limpet_exchange_set_codecs (LimpetExchange *exchange,
                                 LimpetCallerCodec *caller_codec,
                                 LimpetTargetCodec *target_codec);
/** Sets the routing policy by name; the default is "homes". Returns false if the name is
 *  unknown. */
bool limpet_exchange_set_policy (LimpetExchange *exchange, const char *name);
/** Sets the retry limits of the whole fleet; this router uses its part of them. */
void limpet_exchange_set_retry_limits (LimpetExchange *exchange,
                                       const LimpetRetryLimits *limits);
/** Sets the load limit of the policy "homes": the highest load of an engine, as a
 *  multiple of the mean load. */
void limpet_exchange_set_load_limit (LimpetExchange *exchange, double mean_factor);
/** Sets how many bytes the router may hold for others: requests, responses, and what
 *  waits to be written. */
void limpet_exchange_set_held_bytes (LimpetExchange *exchange, size_t bytes);
/** Returns the account of these bytes, in which the router's own calls are to be counted,
 *  too. It lives as long as the exchange. */
LimpetByteAccount *limpet_exchange_byte_account (LimpetExchange *exchange);
/** Sets how many sockets the process may have open; 0, the default, for any number. The
 *  exchange leaves some of them to the other parts of the router. While its own part is
 *  used up, it closes the connections that have been idle for longest, and turns callers
 *  away if none is idle. */
void limpet_exchange_set_max_sockets (LimpetExchange *exchange, uint32_t count);
/** Sets the addresses of the routers that share the load, this one first. */
void limpet_exchange_set_routers (LimpetExchange *exchange,
                                  const uint32_t *addresses,
                                  uint32_t count);

/** Sets whether this router hears from the others, or there are none; see
 *  limpet_dispatch_set_fleet_known(). */
void limpet_exchange_set_fleet_known (LimpetExchange *exchange, bool is_known);
/** Sets how many requests a cold target may get from all routers together. */
void limpet_exchange_set_cold_bound (LimpetExchange *exchange,
                                     const LimpetColdBound *bound);
/** Sets whether the targets of a zone are to get no requests, also those that wait to be
 *  sent. What runs there goes on. */
void limpet_exchange_set_zone_emptied (LimpetExchange *exchange,
                                       const char *zone,
                                       bool is_emptied);

/** Sets the quarantine, which is borrowed: the exchange records crashes
 *  and successes there, and refuses calls with a quarantined part. */
void limpet_exchange_set_quarantine (LimpetExchange *exchange,
                                     LimpetQuarantine *quarantine);

/** What resumptions of streams need from outside the exchange. */
typedef struct
{
  /** Asks the other routers for the origins of streams. */
  void (*query) (void *user, uint64_t *ids, uint32_t count);
  /** Returns whether the targets are known as they are now. Otherwise several software
   *  versions may serve without this router's knowledge. */
  bool (*is_view_current) (void *user);
  /** Brings the targets up to date. */
  void (*refresh_view) (void *user);
} LimpetResumptionOps;

/** Sets what is known of streams and of the services with several software versions; all
 *  are borrowed. */
void limpet_exchange_set_stream_origins (LimpetExchange *exchange,
                                         LimpetStreamOrigins *origins,
                                         LimpetSoftwareMix *mix,
                                         const LimpetResumptionOps *ops,
                                         void *user);
/** Continues the calls that wait for an origin, after origins have been added. */
void limpet_exchange_stream_origins_received (LimpetExchange *exchange);

/** Other routers that relay connections to the targets while this router's own links are
 *  cut. Addresses are IPv4 in network byte order. */
typedef struct
{
  /** Returns the address of a router that relays; 0 if there is none. */
  uint32_t (*pick) (void *user);
  /** Records that the router at \p address failed to relay. */
  void (*record_failure) (void *user, uint32_t address);
  /** Tells the router at \p address, which relayed a call, for how long the target wants
   *  no further ones from it. */
  void (*send_rest) (void *user,
                     uint32_t address,
                     const LimpetTarget *target,
                     LimpetMs rest_ms);
  /** Returns whether a router at \p address may use this one as relay. */
  bool (*is_router) (void *user, uint32_t address);
} LimpetRelayOps;

/** Lets routers relay for each other. \p address is the own address towards other
 *  routers and \p port the TCP port on which every router accepts tunnels. Without it the
 *  exchange uses its own links only. */
void limpet_exchange_set_relays (LimpetExchange *exchange,
                                 const LimpetRelayOps *ops,
                                 void *user,
                                 const char *address,
                                 int port);
/** Returns whether this router relays connections for others at present. */
bool limpet_exchange_relays (LimpetExchange *exchange);
/** Returns the number of connections relayed for other routers. */
uint32_t limpet_exchange_tunnels (const LimpetExchange *exchange);

/** Sets a function to call for each response in which a target reports its load. */
void limpet_exchange_set_load_observer (LimpetExchange *exchange,
                                        void (*observer) (void *user,
                                                          const LimpetTarget *target),
                                        void *user);
/** Records a load report that another router received: the target with \p id_hash had
 *  \p inflight requests at the monotonic time \p at_ms. Unknown targets are ignored. */
void limpet_exchange_record_peer_load (LimpetExchange *exchange,
                                       uint32_t id_hash,
                                       int32_t inflight,
                                       LimpetMs at_ms);

/** Sets a function to call for each response of a target with a rate limit, or whose
 * limit has just ended. */
void limpet_exchange_set_limit_observer (LimpetExchange *exchange,
                                         void (*observer) (void *user,
                                                           const LimpetTarget *target),
                                         void *user);
/** Records a rate limit that another router received at the monotonic time \p at_ms, or
 *  NULL if the target with \p id_hash named none. Unknown targets are ignored. */
void limpet_exchange_record_peer_limit (LimpetExchange *exchange,
                                        uint32_t id_hash,
                                        const double *per_s,
                                        LimpetMs at_ms);

/** Sets a function to call for each response of a brittle target. */
void limpet_exchange_set_brittle_observer (LimpetExchange *exchange,
                                           void (*observer) (void *user,
                                                             const LimpetTarget *target),
                                           void *user);
/** Records that a target of a service, given by LimpetTarget.group_hash, said to another
 *  router at the monotonic time \p at_ms that it falls over beyond \p
 *  max_refusals_per_s. */
void limpet_exchange_record_peer_brittle (LimpetExchange *exchange,
                                          uint32_t group_hash,
                                          double max_refusals_per_s,
                                          LimpetMs at_ms);

/** Records that the target with \p id_hash wants no calls from this router for \p
 * rest_ms, which it said in a response to a call relayed for another router. */
void limpet_exchange_record_relayed_rest (LimpetExchange *exchange,
                                          uint32_t id_hash,
                                          LimpetMs rest_ms);

/** Sets a function to call when a target says for the first time that it is leaving, to
 *  this router or to another one (limpet_exchange_record_peer_leaving()). */
void limpet_exchange_set_leaving_observer (LimpetExchange *exchange,
                                           void (*observer) (void *user,
                                                             const LimpetTarget *target),
                                           void *user);
/** Records that the target with \p id_hash has said to another router that it is leaving.
 *  Unknown targets are ignored. */
void limpet_exchange_record_peer_leaving (LimpetExchange *exchange, uint32_t id_hash);

/** Listens for callers on an IPv4 address and a TCP port. On failure sets \p error and
 *  returns LIMPET_STATUS_INTERNAL. */
LimpetStatus limpet_exchange_init (LimpetExchange *exchange,
                                   const char *address,
                                   int port,
                                   LimpetError *error);

/** Applies a version of the configuration to new requests and takes a reference to it. A
 *  version that is not newer than the current one is ignored. */
void limpet_exchange_set_table (LimpetExchange *exchange, LimpetRouteTable *table);
/** Returns the version of the configuration in force; 0 if there is none yet. */
int64_t limpet_exchange_table_version (const LimpetExchange *exchange);

/** Must be called after the view of the targets has changed. Closes the idle connections
 *  to leaving targets and serves the queue of waiting calls. */
void limpet_exchange_targets_changed (LimpetExchange *exchange);

/** Begins a planned stop: from now on each caller's connection is closed after its last
 *  request, and calls that would not end by \p abort_ms (monotonic) are refused before
 *  they are sent. limpet_exchange_abort_all() is to be called then. */
void limpet_exchange_drain (LimpetExchange *exchange, LimpetMs abort_ms);
/** Closes the listening port and the callers' connections that have no request. Requests
 *  that still arrive are refused at once, because they could not complete before the
 *  router stops. */
void limpet_exchange_close_idle (LimpetExchange *exchange);
/** Aborts every remaining request. Callers get an error response, or a closed connection
 *  if their response has already begun. */
void limpet_exchange_abort_all (LimpetExchange *exchange);
/** Returns the number of open connections from callers. */
uint32_t limpet_exchange_caller_connections (const LimpetExchange *exchange);

/** Appends the metrics of requests and targets in the Prometheus text format. */
void limpet_exchange_render_metrics (LimpetExchange *exchange, GString *out);

/** Frees the exchange, which may be NULL. No request may be running, and the event loop
 *  must not run afterwards, because the timer of the exchange is not closed. */
void limpet_exchange_delete (LimpetExchange *exchange);

#endif
