#ifndef LIMPETROAD_PRIVATE_EXCHANGE_H
#define LIMPETROAD_PRIVATE_EXCHANGE_H

#include "limpetroad/byte_account.h"
#include "limpetroad/dispatch.h"
#include "limpetroad/exchange.h"
#include "limpetroad/histogram.h"
#include "limpetroad/software_mix.h"
#include "private/call_durations.h"
#include "private/event_splitter.h"
#include "private/http_reader.h"
#include "private/read_turn.h"
#include "private/response_scan.h"
#include "private/stream_write.h"

/* Internal interfaces of the exchange:
 *
 *   caller.c         connection from a caller: reads requests, writes responses
 *   call_filters.c   checks a request and completes its call
 *   task.c           one call from arrival to final response: attempts, retries, outcome
 *   relay.c          forwards a target's response to the caller
 *   response_scan.c  finds a further response in a body that only the close ends
 *   resumption.c     streams that callers resume, and the versions that began streams
 *   upstream.c       connection to a target, and the pool of idle ones
 *   stream_end.c     whether the end of a connection was orderly
 *   paths.c          own links to the targets, or other routers while these are cut
 *   held_bytes.c     ends what holds most while the memory for others is used up
 *   connections.c    limits connections, and closes idle ones for new ones
 *   tunnel.c         connections to targets for routers whose own links are cut
 *   pending_crashes.c  broken calls, until it shows whether their target has crashed
 */

typedef struct LimpetCaller LimpetCaller;
typedef struct LimpetTask LimpetTask;
typedef struct LimpetUpstream LimpetUpstream;

/* Retry delay while the router stops; short, because another router can take the request
 * at once. */
#define LIMPET_STOPPING_RETRY_MS 20
/* Retry delay for the caller if no target was reachable. */
#define LIMPET_NO_TARGET_RETRY_MS 500

/* Times from the arrival of a call, in ms, for one kind of route. */
typedef struct
{
  LimpetHistogram waited; /* until the request was first sent */
  LimpetHistogram first;  /* until the head of the last response */
  LimpetHistogram total;  /* until the final response */
} LimpetCallTimes;

struct LimpetExchange
{
  uv_loop_t *loop;
  LimpetTargets *targets;
  LimpetCallerCodec *caller_codec;
  LimpetTargetCodec *target_codec;
  LimpetDispatch *dispatch;
  LimpetQuarantine *quarantine; /* borrowed; NULL if there is none */
  LimpetRouteTable *table;
  void (*load_observer) (void *user, const LimpetTarget *target);
  void *load_observer_user;
  void (*limit_observer) (void *user, const LimpetTarget *target);
  void *limit_observer_user;
  void (*brittle_observer) (void *user, const LimpetTarget *target);
  void *brittle_observer_user;
  void (*leaving_observer) (void *user, const LimpetTarget *target);
  void *leaving_observer_user;
  uv_tcp_t listener;
  uv_prepare_t before_poll;  /* resumes the connections in read_turns */
  uv_idle_t read_idle;       /* active while further connections wait for their turn */
  GQueue read_turns;         /* see read_turn.h */
  uv_timer_t periodic_timer; /* checks callers' time-outs, calls the dispatcher's tick */
  GQueue callers;            /* of LimpetCaller */
  GQueue idle_callers;       /* those without a request, longest idle first */
  GQueue idle_upstreams;     /* those in the pools of all targets, longest idle first */
  uint32_t open_connections; /* to callers, targets and, for tunnels, other routers */
  uint32_t max_connections;  /* 0 for any number */
  GQueue tasks;              /* of LimpetTask, until they finish */
  GQueue pending_crashes;    /* broken calls, see pending_crashes.c */
  LimpetStreamOrigins *stream_origins; /* borrowed; NULL if there are none */
  LimpetSoftwareMix *software_mix;     /* borrowed */
  const LimpetResumptionOps *resumption_ops;
  void *resumption_user;
  GQueue awaiting_origin;  /* of LimpetTask */
  uv_timer_t origin_timer; /* active while a task awaits the origin of its stream */
  LimpetByteAccount *account;
  /* When bytes last arrived on an own connection to a target; 0 before that. */
  LimpetMs heard_ms;
  LimpetMs responded_ms;   /* last response of any target, on whichever path */
  GHashTable *path_groups; /* name of a group of targets → its paths, see paths.c */
  const LimpetRelayOps *relay_ops; /* NULL if no other routers relay */
  void *relay_user;
  char relay_address[LIMPET_NAME_SIZE]; /* own address towards other routers */
  int relay_port;                       /* tunnel port of all routers */
  uv_tcp_t tunnel_listener;
  bool has_tunnel_port;
  GQueue tunnels; /* see tunnel.c */
  LimpetCallTimes times[LIMPET_ROUTE_KIND_COUNT];
  bool is_listening;
  bool is_draining;  /* connections are closed after their response */
  LimpetMs abort_ms; /* when the remaining calls are aborted, if is_draining is set */
  LimpetCallDurations *durations;
  bool is_refusing; /* new requests are refused */
  /* Used by the reads of all connections: each read is processed before the next one. */
  char read_buffer[65536];
};

/* A connection from a caller. */
struct LimpetCaller
{
  LimpetExchange *exchange;
  uv_tcp_t tcp;
  GList link;
  GList idle_link; /* in idle_callers if is_idle is set */
  LimpetHttpReader reader;
  LimpetTask *task; /* current request, from its head to its response; NULL if none */
  GByteArray *pipelined; /* bytes received after the current request; NULL if none */
  LimpetReadTurn turn;
  LimpetByteHolder holder; /* of the pipelined bytes and those that wait to be written */
  LimpetMs write_due_ms;   /* when the last response has to be written */
  bool has_more_input;     /* bytes came after the last request in the same read */
  bool awaits_written;     /* further requests wait until the last response is written */
  /* Start of the wait for a request, for the rest of it or for the caller to close. */
  LimpetMs wait_start_ms;
  bool is_reading;
  bool is_idle;      /* has no request, nor bytes of one or of a response */
  bool is_lingering; /* the last response was written; waits for the caller to close */
  bool is_closed;
};

/* The handling of one call. */
struct LimpetTask
{
  LimpetExchange *exchange;
  GList link;
  LimpetCaller *caller; /* NULL once the caller has disconnected */
  LimpetCall call;
  LimpetHttpHead *head; /* copy of the request head */
  char *head_text;      /* holds the strings of head */
  size_t head_text_bytes;
  bool is_http10;
  bool closes_connection;  /* close the caller's connection after the response */
  GByteArray *body;        /* not changed any more once the request is complete */
  size_t reserved_bytes;   /* for the body */
  LimpetByteHolder holder; /* of the request and the buffered response */
  LimpetDispatchRequest dispatch_request; /* for limpet_dispatch_submit() */
  uv_timer_t timer;                       /* expires when the final response is due */
  LimpetUpstream *upstream; /* connection of the current attempt; NULL if none */
  /* Targets of the attempts so far, each with a reference. Retries exclude them. */
  const LimpetTarget *attempted_targets[LIMPET_MAX_EXCLUDED_TARGETS];
  LimpetTarget *target; /* of the current attempt, which holds a reference and a slot */
  uint32_t attempted_count;
  uint32_t sent_count; /* number of times the request was sent */
  uint32_t connect_failures;
  bool may_have_run; /* a target may have run the call */
  bool head_sent;    /* the head of a response was sent to the caller */
  bool is_finished;
  bool is_body_complete;  /* the whole request has arrived */
  bool is_sent;           /* the request of the current attempt has been written */
  bool has_first_event;   /* of the current attempt */
  LimpetMs sent_ms;       /* when the current attempt was sent; before that, its start */
  LimpetMs first_sent_ms; /* 0 before the first send */
  LimpetMs response_head_ms;
  LimpetMs first_event_ms; /* of the current attempt, if has_first_event is set */
  LimpetMs last_event_ms;  /* last event of the current attempt; 0 before the first */
  /* Response of the current attempt. */
  LimpetTargetResponse response;
  GString *response_head; /* status line and end-to-end fields for the caller */
  GByteArray *response_body;
  uint64_t received_bytes; /* in the current attempt */
  int64_t response_length; /* Content-Length; -1 if there is none */
  LimpetEventSplitter events;
  char last_event_id[LIMPET_NAME_SIZE]; /* from earlier attempts; empty if none */
  LimpetIdSteps id_steps;               /* of the events of earlier attempts */
  GList origin_link;                    /* in awaiting_origin if awaits_origin is set */
  LimpetMs await_start_ms;              /* when it began to await the origin */
  LimpetMs query_ms;                    /* last query for the origin; 0 if none */
  bool awaits_origin;
  bool is_origin_shared; /* other routers are told which version began it */
  bool is_streaming;     /* complete events are forwarded as they arrive */
  bool is_passing_on;    /* the body is forwarded as it arrives, since it is too large */
  bool is_chunked_to_caller; /* the response to the caller uses chunked framing */
  bool ends_with_close; /* only the close of the target's connection ends the response */
  LimpetResponseScan scan; /* of its body, if ends_with_close is set */
};

/* exchange.c */
/* Returns the buffer for the next read of any connection. */
uv_buf_t limpet_exchange_read_buffer (LimpetExchange *exchange);
/* Gives the target no new calls for the rest of its incarnation. */
void limpet_exchange_mark_leaving (LimpetExchange *exchange,
                                   LimpetTarget *target,
                                   const char *source);

/* caller.c */
/* Accepts the connection that waits, and closes it at once if there are too many. */
void limpet_caller_accept (LimpetExchange *exchange);
void limpet_caller_close (LimpetCaller *caller);
/* Closes the connection with a TCP reset, so that a response that ends with the
 * connection does not look complete. */
void limpet_caller_reset (LimpetCaller *caller);
/* Closes the connection or refuses the request if a time-out has expired. Also resumes
 * reading from the target once nothing is queued for the caller. */
void limpet_caller_check_timeouts (LimpetCaller *caller, LimpetMs now_ms);
/* Writes to the caller. If this fails, closes the connection, which may also finish the
 * task. */
void limpet_caller_write (LimpetCaller *caller, const char *data, size_t length);
/* Returns whether so many bytes are queued for the caller that no more are to be read for
 * it. */
bool limpet_caller_is_behind (const LimpetCaller *caller);
/* Must be called after the whole response was passed to limpet_caller_write(). Processes
 * the next request or, if close is set, closes the connection after what is queued has
 * been written, or at due_ms. */
void limpet_caller_response_done (LimpetCaller *caller, bool close, LimpetMs due_ms);
/* Closes the connection if it has no request, after what is queued has been written. */
void limpet_caller_end (LimpetCaller *caller);

/* call_filters.c */
/* Runs the filters in order. Returns false and sets refusal if one refuses the call. */
bool limpet_call_run_filters (LimpetTask *task, LimpetRefusal *refusal);

/* task.c */
/* Creates the task for a request head, which is copied. The caller's connection appends
 * the body before it calls limpet_task_start(). */
LimpetTask *limpet_task_new (LimpetCaller *caller, const LimpetHttpHead *head);
/* Has the connection closed after the response whose head is written next, if the router
 * is stopping and no further request of the caller waits. */
void limpet_task_close_if_draining (LimpetTask *task);
/* Returns whether the call, if it is sent now, ends before the router stops, as far as
 * can be told from earlier calls of its route. */
bool limpet_task_can_end (const LimpetTask *task);
/* Reserves memory for a body. Returns false if there is none. */
bool limpet_task_reserve (LimpetTask *task, size_t body_bytes);
/* Returns the bytes of heads, and of events and a head in the body that are incomplete.
 */
size_t limpet_task_incomplete_bytes (const LimpetTask *task);
/* Counts what the task holds now. */
void limpet_task_count_held_bytes (LimpetTask *task);
/* Runs the filters on the complete request and submits the call to the dispatcher. */
void limpet_task_start (LimpetTask *task);
/* Called when the connection of the caller is closed before the task has finished. */
void limpet_task_caller_disconnected (LimpetTask *task);
/* Returns whether the quarantine admits the call. If not, sets remaining_ms to the time
 * until such calls are tried again, and logs the suspect. */
bool limpet_task_is_admitted (const LimpetTask *task, LimpetMs *remaining_ms);
/* Called just before the request is written to the target. */
void limpet_task_record_sent (LimpetTask *task);
/* Ends the current attempt, if there is one: releases its slot, and returns its
 * connection to the pool for max_idle_ms. The connection is closed if max_idle_ms is not
 * positive. */
void limpet_task_end_attempt (LimpetTask *task, LimpetMs max_idle_ms);
/* Records an error response of the target. If the call may be retried, ends the attempt,
 * retries the call and returns true. */
bool limpet_task_retry_failure (LimpetTask *task, LimpetMs max_idle_ms);
/* Logs and counts the outcome and frees the task. The caller's connection then processes
 * its next request or closes. */
void limpet_task_finish (LimpetTask *task, const char *outcome);
/* Submits the call to the dispatcher. A stream that has begun is refused at once if no
 * target of its software version is left. */
void limpet_task_submit (LimpetTask *task);
/* Ends an attempt whose request has not been sent, and submits the call again. */
void limpet_task_choose_again (LimpetTask *task);
/* Starts an attempt on target; the task takes over the target's reference and slot. */
void limpet_task_send (LimpetTask *task, LimpetTarget *target);
/* Cancels the attempt and finishes the task. Unless the response has begun, its caller
 * gets a failure with if_sent or, if the call was never sent, if_not_run as the reason.
 */
void limpet_task_abort (LimpetTask *task,
                        LimpetRefusalReason if_sent,
                        LimpetRefusalReason if_not_run);
/* Handles a failed attempt whose connection is already closed: retries or fails the call.
 * LIMPET_STATUS_UNREACHABLE and LIMPET_STATUS_NO_PATH mean that the request was not sent,
 * the latter for no fault of the target; after any other status the target may have run
 * the call. */
void
limpet_task_attempt_failed (LimpetTask *task, LimpetStatus status, const char *cause);
/* Retries or fails the call after the target has proved that it did not run the call. The
 * attempt must have ended. */
void limpet_task_attempt_not_run (LimpetTask *task);
/* Sends an error response of the router and finishes the task. */
void limpet_task_write_failure (LimpetTask *task,
                                LimpetRefusalReason reason,
                                LimpetMs retry_ms);

/* continuation.c */
/* Returns the id of the last event that the caller has, or NULL if the stream has to
 * begin with its first event. */
const char *limpet_continuation_last_event_id (const LimpetTask *task);
/* Return whether the head, the events received so far, and the complete response of the
 * current attempt may continue the stream that the caller has begun to receive. They
 * return true if there is none, and log why they return false. */
bool limpet_continuation_accepts_head (const LimpetTask *task,
                                       const LimpetHttpHead *head);
bool limpet_continuation_accepts_events (const LimpetTask *task);
bool limpet_continuation_accepts_end (const LimpetTask *task);

/* relay.c */
/* Process the head and a part of the body of a target's response. If they return a text,
 * the attempt fails for this cause. */
const char *limpet_relay_head (LimpetTask *task, const LimpetHttpHead *head);
const char *limpet_relay_body (LimpetTask *task, const char *data, size_t length);
/* Counts what the task holds. Returns why the attempt fails if there is no memory for the
 * part of a head or event that has come: the rest may not come for long. */
const char *limpet_relay_count_incomplete (LimpetTask *task);
/* Frees the buffered part of a response. */
void limpet_relay_discard_body (LimpetTask *task);
/* Frees all that is held of the response of an attempt that has failed. */
void limpet_relay_discard_response (LimpetTask *task);
/* Processes the end of a target's response: forwards the response, or retries or fails
 * the call. reusable: the connection to the target may carry another request. */
void limpet_relay_complete (LimpetTask *task, bool reusable);
/* Closes the caller's connection without completing a response, and finishes the task. */
void limpet_relay_abort (LimpetTask *task);

/* resumption.c */
void limpet_resumption_init (LimpetExchange *exchange);
/* Submits a new call. If it resumes a stream while several software versions serve, it is
 * bound to the version that began the stream, which other routers may have to be asked
 * for; if nobody knows the version, the call is refused. */
void limpet_resumption_start (LimpetTask *task);
/* Stops awaiting the origin; does nothing if the task does not. */
void limpet_resumption_cancel (LimpetTask *task);
/* Continues the tasks whose origin has become known, and refuses those that have waited
 * for too long. */
void limpet_resumption_check (LimpetExchange *exchange, LimpetMs now_ms);
/* Remembers which version began the task's stream, if it may be resumed. */
void limpet_resumption_record (LimpetTask *task);
/* Records the streams that have begun, in services with several versions. */
void limpet_resumption_tick (LimpetExchange *exchange);

/* pending_crashes.c */
/* Records that the target closed the connection before the response was complete. The
 * quarantine is told once a new connection to the target shows that it has crashed. */
void limpet_pending_crashes_add_disconnect (const LimpetTask *task);
/* Records that the attempt ends without a complete response of the target. The quarantine
 * is told if the target proves to be unreachable or vanishes from the registry. Does
 * nothing if the request has not been sent. */
void limpet_pending_crashes_add_silence (const LimpetTask *task);
/* Tells the quarantine of the requests that may have crashed as many targets as
 * quarantine them. To be called every 100 ms. */
void limpet_pending_crashes_tell (LimpetExchange *exchange);
/* Returns whether the call must not be sent yet: such calls may have crashed several
 * targets, and this router has reached none since. */
bool limpet_pending_crashes_hold (const LimpetTask *task);
/* Tells the quarantine of the targets that have crashed, and drops the calls whose target
 * has responded to another call since. */
void limpet_pending_crashes_check (LimpetExchange *exchange, LimpetMs now_ms);
/* Probes the targets of a group again, because the path to them has changed. */
void limpet_pending_crashes_probe_group (LimpetExchange *exchange, const char *group);
void limpet_pending_crashes_clear (LimpetExchange *exchange);

/* connections.c */
/* Return whether a connection may be accepted from a caller, opened to a target, or
 * accepted and opened for another router. The first two close idle connections if there
 * are too many. */
bool limpet_connections_admit_caller (LimpetExchange *exchange);
bool limpet_connections_admit_upstream (LimpetExchange *exchange);
bool limpet_connections_admit_tunnel (const LimpetExchange *exchange);
void limpet_connections_render_metrics (const LimpetExchange *exchange, GString *out);

/* held_bytes.c */
/* While more is held than the budget, ends the call or connection that holds most. */
void limpet_held_bytes_check (LimpetExchange *exchange);

/* upstream.c */
/* Returns a connection for the task: a pooled one that has been idle since
 * min_idle_since_ms or later, else a new one. A failed connect is reported later by
 * limpet_task_attempt_failed(). */
LimpetUpstream *limpet_upstream_open (const LimpetTask *task,
                                      LimpetTarget *target,
                                      LimpetMs min_idle_since_ms);
/* Sends the task's request once connected; takes ownership of head. */
void limpet_upstream_send (LimpetUpstream *upstream, LimpetTask *task, GString *head);
/* Returns the connection to the pool for max_idle_ms. Closes it if max_idle_ms is not
 * positive or the target is leaving. */
void limpet_upstream_release (LimpetUpstream *upstream, LimpetMs max_idle_ms);
/* Connects to the target, to find out whether it has crashed. A connection that is
 * established goes to the pool. */
void limpet_upstream_probe (LimpetExchange *exchange, LimpetTarget *target);
/* The same on the own links. Returns false, and does nothing, if a probe of the target
 * has not ended. */
bool limpet_upstream_probe_directly (LimpetExchange *exchange, LimpetTarget *target);
/* Returns when the last probe of the target on the own links that failed began; 0 if none
 * failed. */
LimpetMs limpet_upstream_failed_probe_began_ms (const LimpetTarget *target);
/* Returns when a connection to the target was last established, over other routers as
 * well; 0 if none was. */
LimpetMs limpet_upstream_connected_ms (const LimpetTarget *target);
/* Returns whether a probe of the target is under way. */
bool limpet_upstream_is_probed (const LimpetTarget *target);
/* Connects on the own links, to find out whether they work. The result goes to
 * limpet_paths_record_probe(). */
void limpet_upstream_probe_path (LimpetExchange *exchange, LimpetTarget *target);
/* Fails the attempt on trial, to which the target has not responded. */
void limpet_upstream_fail_trial (LimpetUpstream *upstream);
/* Closes the connection without reporting a failure to its task. */
void limpet_upstream_close (LimpetUpstream *upstream);
/* Returns the bytes of a response head that is not complete yet. */
size_t limpet_upstream_head_bytes (const LimpetUpstream *upstream);
/* Stops reading from the target if paused is set, else resumes it. */
void limpet_upstream_pause (LimpetUpstream *upstream, bool paused);

#endif
