#ifndef LIMPETROAD_PRIVATE_EXCHANGE_H
#define LIMPETROAD_PRIVATE_EXCHANGE_H

#include "limpetroad/dispatch.h"
#include "limpetroad/exchange.h"
#include "limpetroad/histogram.h"
#include "private/event_splitter.h"
#include "private/http_reader.h"
#include "private/wire_buffer.h"

/* The parts of the exchange know each other through this header:
 *
 *   caller.c   a caller's connection: reads requests, writes answers
 *   filters    (call_filters.c) from a head to a call that may run
 *   task.c     one call from its arrival to its final answer: tries, repeats, outcome
 *   relay.c    the answer of a target on its way to the caller
 *   line.c     a connection to a target, and the pool of idle ones
 */

typedef struct LimpetCaller LimpetCaller;
typedef struct LimpetTask LimpetTask;
typedef struct LimpetLine LimpetLine;

/* Times of calls, from their arrival, by kind. */
typedef struct
{
  LimpetHistogram waited; /* until the first send */
  LimpetHistogram first;  /* until the head of the answer */
  LimpetHistogram total;
} LimpetCallTimes;

struct LimpetExchange
{
  uv_loop_t *loop;
  LimpetTargets *targets;
  LimpetFrontCodec *front;
  LimpetTargetCodec *codec;
  LimpetDispatch *dispatch;
  LimpetRouteTable *table;
  void (*load_observer) (void *user, const LimpetTarget *target);
  void *load_observer_user;
  uv_tcp_t listener;
  uv_timer_t sweep; /* closes connections that are idle or late */
  GQueue callers;   /* of LimpetCaller */
  GQueue tasks;     /* of LimpetTask, until their last byte */
  LimpetCallTimes times[LIMPET_KIND_COUNT];
  bool is_listening;
  bool is_draining;        /* answers close their connections */
  bool is_refusing;        /* no request is taken any more */
  char read_buffer[65536]; /* shared: each read is handled before the next */
};

/* A caller's connection. */
struct LimpetCaller
{
  LimpetExchange *exchange;
  uv_tcp_t tcp;
  GList link;
  LimpetHttpReader reader;
  LimpetTask *task;    /* the request in hand, from its head to its answer */
  GByteArray *pending; /* bytes of later requests; NULL if none */
  LimpetMs since_ms;   /* start of the wait for a message, of its head, or of the close */
  bool is_reading;
  bool is_lingering; /* answered for the last time; waits for the caller's close */
  bool is_closed;
};

/* One call on its way. */
struct LimpetTask
{
  LimpetExchange *exchange;
  GList link;
  LimpetCaller *caller; /* NULL once the caller has left */
  LimpetCall call;
  LimpetHttpHead *head; /* the caller's, copied: fields that are passed on */
  char *head_text;
  bool is_http10;
  bool closes; /* the caller's connection ends after the answer */
  GByteArray *body;
  LimpetWaiter waiter; /* place in the dispatcher */
  uv_timer_t timer;
  LimpetLine *line; /* the try in hand */
  const LimpetTarget *tried[LIMPET_MAX_EXCLUDED];
  LimpetTarget *target; /* has a reference and a counted slot while a try runs */
  uint32_t tried_count;
  uint32_t sent_count; /* targets that it was sent to */
  uint32_t connect_fails;
  bool may_have_run;
  bool head_sent; /* the caller has the head of an answer */
  bool is_finished;
  bool is_body_complete;
  bool first_event_noted;
  LimpetMs sent_ms;
  LimpetMs sent_first_ms;
  LimpetMs answer_head_ms;
  LimpetMs event_ms; /* of the last event of the try in hand; 0 before */
  /* Of the answer in hand. */
  LimpetAnswer answer;
  GString *answer_head; /* status line and fields for the caller, without framing */
  GByteArray *answer_body;
  LimpetEventSplitter events;
  char last_event_id[LIMPET_NAME_SIZE]; /* of the last event that the caller got */
  bool relays;                          /* events go out as they come */
  bool is_chunked_out;
  bool ends_with_close; /* the target marks the end of its answer by closing only */
};

/* caller.c */
void limpet_caller_accept (LimpetExchange *exchange);
void limpet_caller_close (LimpetCaller *caller);
void limpet_caller_sweep (LimpetCaller *caller, LimpetMs now_ms);
void limpet_caller_write (LimpetCaller *caller, const char *data, size_t length);
size_t limpet_caller_backlog (const LimpetCaller *caller);
/* The answer is complete: takes the next request, or closes. */
void limpet_caller_answer_done (LimpetCaller *caller, bool close);

/* call_filters.c */
bool limpet_call_run_filters (LimpetTask *task, LimpetRefusal *refusal);

/* task.c */
LimpetTask *limpet_task_new (LimpetCaller *caller, const LimpetHttpHead *head);
void limpet_task_start (LimpetTask *task);
void limpet_task_caller_left (LimpetTask *task);
/* The request is about to leave for the target. */
void limpet_task_request_leaves (LimpetTask *task);
/* Gives the slot back, and the line to the pool for keep_ms; 0 closes it. */
void limpet_task_end_try (LimpetTask *task, LimpetMs keep_ms);
/* A target's own failure: starts another try if that is allowed. */
bool limpet_task_repeats_failure (LimpetTask *task, LimpetMs keep_ms);
void limpet_task_finish (LimpetTask *task, const char *outcome);
void limpet_task_send (LimpetTask *task, LimpetTarget *target);
void limpet_task_stop (LimpetTask *task);
/* The line of the try: connected, failed before or after the request left. */
void limpet_task_try_failed (LimpetTask *task, LimpetStatus status, const char *why);
void limpet_task_not_run (LimpetTask *task);
void limpet_task_write_failure (LimpetTask *task,
                                LimpetRefusalReason reason,
                                LimpetMs retry_ms);

/* relay.c */
bool limpet_relay_head (LimpetTask *task, const LimpetHttpHead *head);
bool limpet_relay_body (LimpetTask *task, const char *data, size_t length);
void limpet_relay_complete (LimpetTask *task, bool reusable);
void limpet_relay_break (LimpetTask *task);

/* line.c */
LimpetLine *limpet_line_open (LimpetExchange *exchange,
                              LimpetTarget *target,
                              LimpetMs newest_idle_ms);
void limpet_line_send (LimpetLine *line, LimpetTask *task, GString *request);
void limpet_line_release (LimpetLine *line, LimpetMs keep_ms);
void limpet_line_close (LimpetLine *line);
void limpet_line_pause (LimpetLine *line, bool paused);

#endif
