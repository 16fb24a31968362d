#include "private/chat.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define MOST_LANES 2
#define MOST_RETRIES 3
#define MOST_RESUMES 6
/* Multiples of the median: unlike a high quantile it does not move when some targets slow
 * down. */
#define HEDGE_FACTOR 2.0
#define SLOW_HEDGE_FACTOR 1.0
#define HEDGE_DEFAULT_MS 400.0
#define MOVE_GAP_FACTOR 4.0
#define MOST_HEDGES 3
#define HEDGE_LEAST_MS 30.0
#define SLOW_NOTE_FACTOR 3.0
#define RETRY_JITTER_MS 20

typedef struct Chat Chat;

/* One running attempt with its slot. */
typedef struct
{
  Chat *chat;
  LimpetAttempt *attempt; /* NULL when the lane is free */
  LimpetTarget *target;
  LimpetSse *sse;
  bool counted_long;
  bool is_hedge;
  bool got_token;
  bool from_start; /* asked for the first token, not for a continuation */
  bool noted_slow;
  LimpetMs started_ms;
  LimpetMs heard_ms; /* last bytes of any kind */
  LimpetMs token_ms; /* last token */
  int64_t expected;  /* offset of the next token */
  uint32_t batch_tokens;
  bool has_unsent; /* events that the sink has not sent yet */
} Lane;

struct Chat
{
  const LimpetChatContext *context;
  const LimpetChatRequest *request;
  LimpetChatSink *sink;
  LimpetChatResult *result;
  LimpetAdmissionRequest admission;
  Lane lanes[MOST_LANES];
  Lane *winner;      /* the lane whose tokens go to the caller */
  int64_t delivered; /* tokens that the caller has */
  bool complete;
  bool caller_left;
  bool ended;
  bool may_have_run;
  uint32_t hedges;
  bool used_stale_retry;
  uint32_t retries;
  uint32_t resumes;
  bool is_long;
};

static void
end_chat (Chat *chat, LimpetOutcome outcome)
{
  chat->ended = true;
  chat->result->outcome = outcome;
}

static void
close_lane (Chat *chat, Lane *lane)
{
  if (lane->attempt == NULL)
    return;
  limpet_attempt_delete (lane->attempt);
  limpet_sse_delete (lane->sse);
  limpet_admission_release (chat->context->admission, lane->target, chat->request->team,
                            lane->counted_long);
  *lane = (Lane){ .chat = chat };
  if (chat->winner == lane)
    chat->winner = NULL;
}

static Lane *
other_lane (Chat *chat, const Lane *lane)
{
  return lane == &chat->lanes[0] ? &chat->lanes[1] : &chat->lanes[0];
}

static void
note_token_times (Chat *chat, Lane *lane, LimpetMs now_ms)
{
  if (!lane->got_token)
    {
      double first_ms = (double)(now_ms - lane->started_ms);

      limpet_target_note_first (lane->target, first_ms);
      if (!chat->is_long && lane->from_start)
        limpet_latency_add (chat->context->first_token, first_ms);
    }
  else
    limpet_target_note_gap (lane->target, (double)(now_ms - lane->token_ms)
                                              / MAX (1, lane->batch_tokens));
  lane->got_token = true;
  lane->noted_slow = false;
  lane->token_ms = now_ms;
}

/* Makes the lane the one whose tokens go to the caller; the other one is closed. */
static bool
win (Chat *chat, Lane *lane)
{
  if (chat->winner == lane)
    return true;
  chat->winner = lane;
  if (lane->is_hedge)
    limpet_count (LIMPET_COUNTER_HEDGES_WON, 1);
  if (lane->is_hedge && chat->delivered > 0)
    limpet_count (LIMPET_COUNTER_RESUMES, 1);
  close_lane (chat, other_lane (chat, lane));
  chat->winner = lane;
  if (chat->result->began)
    return true;
  chat->result->began = true;
  if (!chat->sink->ops->begin (chat->sink, limpet_attempt_answer (lane->attempt)))
    chat->caller_left = true;
  return !chat->caller_left;
}

static bool
is_end_marker (const LimpetSseEvent *event)
{
  return event->data_length == 6 && memcmp (event->data, "[DONE]", 6) == 0;
}

static void
note_long (Chat *chat, Lane *lane)
{
  if (chat->is_long || chat->delivered <= chat->request->bundle->fleet.long_tokens)
    return;
  chat->is_long = true;
  lane->counted_long = true;
  limpet_admission_mark_long (lane->target);
}

/* Takes an event of a lane. Tokens have to come gapless: a token that the caller has is
 * dropped, one that skips an offset ends the attempt. */
static bool
on_event (void *user, const LimpetSseEvent *event)
{
  Lane *lane = user;
  Chat *chat = lane->chat;

  if (event->data == NULL)
    return true;
  if (event->id < lane->expected && !is_end_marker (event))
    {
      limpet_count (LIMPET_COUNTER_OFFSET_MISMATCH, 1);
      return event->id >= 0;
    }
  if (event->id != lane->expected)
    {
      limpet_count (LIMPET_COUNTER_OFFSET_MISMATCH, 1);
      return false;
    }
  if (!is_end_marker (event))
    {
      lane->expected++;
      lane->batch_tokens++;
    }
  if (event->id < chat->delivered)
    return true;
  if (!win (chat, lane))
    return false;
  if (!chat->sink->ops->event (chat->sink, event))
    {
      chat->caller_left = true;
      return false;
    }
  lane->has_unsent = true;
  if (is_end_marker (event))
    {
      chat->complete = true;
      return true;
    }
  chat->delivered = lane->expected;
  note_long (chat, lane);
  return true;
}

static bool
on_data (void *user, const char *data, size_t length)
{
  Lane *lane = user;

  return limpet_sse_feed (lane->sse, data, length);
}

/* Above long work, by the team's priority; within one, teams above their share come last.
 */
static int
engine_priority (const Chat *chat)
{
  return 1 + 2 * (int)chat->request->team->priority + !chat->admission.above_share;
}

static void
start_lane (Chat *chat, Lane *lane, LimpetTarget *target, bool fresh)
{
  const LimpetChatRequest *request = chat->request;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  *lane = (Lane){
    .chat = chat,
    .target = target,
    .attempt = limpet_attempt_new (target),
    .sse = limpet_sse_new (on_event, lane),
    .counted_long = chat->is_long,
    .started_ms = now_ms,
    .heard_ms = now_ms,
    .token_ms = now_ms,
    .expected = chat->delivered,
    .from_start = chat->delivered == 0,
  };
  limpet_attempt_set_request (lane->attempt, "POST", CHAT_PATH, request->body,
                              request->body_length);
  limpet_attempt_add_header (lane->attempt, "Content-Type: application/json");
  limpet_attempt_add_header (lane->attempt, "X-Request-Id: %s", request->request_id);
  limpet_attempt_add_header (lane->attempt, "X-Priority: %d",
                             chat->is_long ? 0 : engine_priority (chat));
  if (chat->delivered > 0)
    limpet_attempt_add_header (lane->attempt, "Last-Event-ID: %" PRId64,
                               chat->delivered - 1);
  limpet_attempt_set_data (lane->attempt, on_data, lane);
  if (fresh)
    limpet_attempt_set_fresh (lane->attempt);
  limpet_attempt_start (lane->attempt);
}

static void
exclude (Chat *chat, const LimpetTarget *target)
{
  LimpetRouteRequest *route = &chat->admission.route;
  uint32_t index = route->excluded_count % LIMPET_MAX_EXCLUDED;

  route->excluded[index] = target;
  if (route->excluded_count < LIMPET_MAX_EXCLUDED)
    route->excluded_count++;
}

/* Acquires a target, also one that was excluded when there is no other. */
static LimpetStatus
acquire (Chat *chat, LimpetTarget **target)
{
  LimpetRouteRequest *route = &chat->admission.route;
  LimpetStatus status;

  route->is_long = chat->is_long;
  route->seed = route->seed * 6364136223846793005ULL + 1442695040888963407ULL;
  *target = NULL;
  if (route->excluded_count > 0)
    *target = limpet_admission_try (chat->context->admission, &chat->admission);
  if (*target != NULL)
    return LIMPET_STATUS_OK;
  route->excluded_count = 0;
  status = limpet_admission_acquire (chat->context->admission, &chat->admission, target,
                                     &chat->result->retry_after_ms, &chat->result->error);
  return status;
}

static void
give_up (Chat *chat)
{
  if (chat->delivered > 0)
    end_chat (chat, LIMPET_OUTCOME_FAILED);
  else
    end_chat (chat, chat->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN);
  if (chat->result->retry_after_ms == 0)
    chat->result->retry_after_ms = 1000;
}

static void
start_first (Chat *chat)
{
  LimpetTarget *target = NULL;

  if (acquire (chat, &target) != LIMPET_STATUS_OK)
    {
      give_up (chat);
      return;
    }
  limpet_budget_earn (chat->context->budget, chat->request->bundle->fleet.retry_percent);
  start_lane (chat, &chat->lanes[0], target, false);
}

/* A pooled connection may have gone silent while the target is well; such a failure is
 * not charged to the budget, once for each chat. */
static bool
is_free_retry (Chat *chat, LimpetStatus status, bool stale_link)
{
  if (status == LIMPET_STATUS_REFUSED || status == LIMPET_STATUS_UNREACHABLE)
    return true;
  if (!stale_link || chat->used_stale_retry)
    return false;
  chat->used_stale_retry = true;
  return true;
}

static bool
may_retry (Chat *chat, LimpetStatus status, bool stale_link)
{
  if (chat->delivered > 0)
    return chat->resumes++ < MOST_RESUMES;
  if (limpet_clock_mono_ms () >= chat->request->deadline_ms
      || chat->retries++ >= MOST_RETRIES)
    return false;
  return is_free_retry (chat, status, stale_link)
         || limpet_budget_spend (chat->context->budget);
}

static void
start_again (Chat *chat, Lane *lane, LimpetStatus status, bool stale_link)
{
  LimpetTarget *target = NULL;

  if (!may_retry (chat, status, stale_link))
    {
      give_up (chat);
      return;
    }
  limpet_count (chat->delivered > 0 ? LIMPET_COUNTER_RESUMES : LIMPET_COUNTER_RETRIES, 1);
  if (status != LIMPET_STATUS_REFUSED)
    limpet_clock_sleep_ms (randombytes_uniform (RETRY_JITTER_MS));
  if (chat->delivered > 0)
    chat->admission.deadline_ms
        = limpet_clock_mono_ms () + chat->request->bundle->fleet.default_deadline_ms;
  if (acquire (chat, &target) != LIMPET_STATUS_OK)
    {
      give_up (chat);
      return;
    }
  start_lane (chat, lane, target, true);
}

static void
note_refusal (Lane *lane)
{
  limpet_count (LIMPET_COUNTER_TARGET_REFUSALS, 1);
  if (limpet_attempt_answer (lane->attempt)->leaving)
    limpet_target_mark_leaving (lane->target, "its own refusal");
  else
    atomic_store (&lane->target->full_until_ms, limpet_clock_mono_ms () + 100);
}

static void
take_client_error (Chat *chat, const Lane *lane)
{
  chat->result->target_code = limpet_attempt_answer (lane->attempt)->code;
  chat->result->target_body = g_strdup (limpet_attempt_error_body (lane->attempt));
  end_chat (chat, LIMPET_OUTCOME_FAILED);
}

/* An attempt ended before the answer was complete. */
static void
on_lane_failed (Chat *chat, Lane *lane, LimpetStatus status)
{
  bool other_runs = other_lane (chat, lane)->attempt != NULL;
  bool stale_link = limpet_attempt_is_stale (lane->attempt);

  if (status == LIMPET_STATUS_OK)
    status = limpet_error_set (&chat->result->error, LIMPET_STATUS_BROKEN, "stream",
                               lane->target->vm.id,
                               "the stream ended before its end marker");
  if (status == LIMPET_STATUS_REFUSED)
    note_refusal (lane);
  else if (status != LIMPET_STATUS_INVALID)
    limpet_target_note_result (lane->target, status);
  if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_UNREACHABLE)
    chat->may_have_run = true;
  if (status == LIMPET_STATUS_INVALID && chat->delivered == 0)
    {
      take_client_error (chat, lane);
      return;
    }
  exclude (chat, lane->target);
  close_lane (chat, lane);
  if (!other_runs)
    start_again (chat, lane, status, stale_link);
}

static LimpetMs
lane_silence_limit_ms (const Lane *lane)
{
  return limpet_attempt_state (lane->attempt) == LIMPET_ATTEMPT_SENT
             ? LIMPET_HEADER_TIMEOUT_MS
             : LIMPET_STALL_TIMEOUT_MS;
}

/* A token that is overdue counts as a sample, so that a slow target is seen before it
 * ends the wait. */
static void
note_overdue (Lane *lane, LimpetMs now_ms)
{
  double gap_ms = limpet_target_gap_ms (lane->target);

  if (!lane->got_token || lane->noted_slow || gap_ms <= 0
      || (double)(now_ms - lane->token_ms) < SLOW_NOTE_FACTOR * gap_ms)
    return;
  limpet_target_note_overdue (lane->target, (double)(now_ms - lane->token_ms));
  lane->noted_slow = true;
}

static LimpetMs
next_timer_ms (const Lane *lane, LimpetMs now_ms)
{
  LimpetMs silence_ms = lane->heard_ms + lane_silence_limit_ms (lane) - now_ms;
  double gap_ms = limpet_target_gap_ms (lane->target);

  if (lane->got_token && !lane->noted_slow && gap_ms > 0)
    silence_ms = MIN (silence_ms, lane->token_ms + (LimpetMs)(SLOW_NOTE_FACTOR * gap_ms)
                                      + 1 - now_ms);
  return MAX (0, silence_ms);
}

static void
check_silence (Chat *chat, Lane *lane, LimpetMs now_ms)
{
  if (lane->attempt == NULL)
    return;
  note_overdue (lane, now_ms);
  if (now_ms - lane->heard_ms < lane_silence_limit_ms (lane))
    return;
  limpet_count (LIMPET_COUNTER_STALLS, 1);
  limpet_error_set (&chat->result->error, LIMPET_STATUS_TIMEOUT, "stream",
                    lane->target->vm.id, "no bytes for %d ms",
                    (int)(now_ms - lane->heard_ms));
  on_lane_failed (chat, lane, LIMPET_STATUS_TIMEOUT);
}

/* Time without a token after which a second engine is asked: before the first token a
 * multiple of its usual time, in a stream a multiple of the time between tokens of the
 * engine's peers. A target known to be slow is not waited for as long. */
static LimpetMs
hedge_delay_ms (const Chat *chat, const Lane *lane)
{
  bool is_slow
      = limpet_target_weight (lane->target, limpet_clock_mono_ms ()) < LIMPET_WEIGHT_FULL;
  double delay_ms;

  if (chat->delivered == 0)
    delay_ms
        = (is_slow ? SLOW_HEDGE_FACTOR : HEDGE_FACTOR)
          * limpet_latency_quantile (chat->context->first_token, 0.5, HEDGE_DEFAULT_MS);
  else
    delay_ms = MOVE_GAP_FACTOR * atomic_load (&lane->target->peers_gap_ms);
  return (LimpetMs)MAX (HEDGE_LEAST_MS, delay_ms);
}

/* Returns the lane that a second one may be started beside, or NULL. */
static Lane *
hedgeable_lane (Chat *chat)
{
  Lane *lane = chat->lanes[0].attempt != NULL ? &chat->lanes[0] : &chat->lanes[1];

  if (lane->attempt == NULL || other_lane (chat, lane)->attempt != NULL
      || chat->request->bundle->fleet.retry_percent == 0 || chat->hedges >= MOST_HEDGES)
    return NULL;
  if (chat->delivered == 0)
    return chat->is_long || chat->hedges > 0 ? NULL : lane;
  return atomic_load (&lane->target->peers_gap_ms) > 0 ? lane : NULL;
}

/* Starts a second lane: a hedge before the first token, else the stream's continuation on
 * another engine from the offset that the caller has. The lane that is first goes on. */
static void
start_hedge (Chat *chat, Lane *lane)
{
  Lane *second = other_lane (chat, lane);
  LimpetTarget *target;

  chat->hedges++;
  if (!limpet_budget_spend (chat->context->budget))
    return;
  exclude (chat, lane->target);
  chat->admission.route.is_long = chat->is_long;
  target = limpet_admission_try (chat->context->admission, &chat->admission);
  if (target == NULL)
    return;
  limpet_count (LIMPET_COUNTER_HEDGES, 1);
  start_lane (chat, second, target, false);
  second->is_hedge = true;
}

static LimpetMs
hedge_due_ms (const Chat *chat, const Lane *lane)
{
  return lane->token_ms + hedge_delay_ms (chat, lane);
}

static void
check_deadline (Chat *chat, LimpetMs now_ms)
{
  if (chat->delivered > 0 || chat->winner != NULL || now_ms < chat->request->deadline_ms)
    return;
  chat->may_have_run = true;
  limpet_error_set (&chat->result->error, LIMPET_STATUS_TIMEOUT, "deadline",
                    chat->lanes[0].target != NULL ? chat->lanes[0].target->vm.id : "",
                    "no token before the deadline");
  give_up (chat);
}

static void
check_timers (Chat *chat)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  Lane *lane;

  for (int i = 0; i < MOST_LANES && !chat->ended; i++)
    check_silence (chat, &chat->lanes[i], now_ms);
  if (chat->ended)
    return;
  check_deadline (chat, now_ms);
  lane = chat->ended ? NULL : hedgeable_lane (chat);
  if (lane != NULL && now_ms >= hedge_due_ms (chat, lane))
    start_hedge (chat, lane);
}

static LimpetMs
poll_timeout_ms (Chat *chat, struct pollfd *fds, LimpetMs now_ms)
{
  LimpetMs timeout_ms = LIMPET_STALL_TIMEOUT_MS;
  const Lane *hedgeable = hedgeable_lane (chat);

  for (int i = 0; i < MOST_LANES; i++)
    {
      Lane *lane = &chat->lanes[i];

      fds[i] = (struct pollfd){ .fd = -1 };
      if (lane->attempt == NULL)
        continue;
      timeout_ms
          = MIN (timeout_ms, limpet_attempt_prepare (lane->attempt, &fds[i], now_ms));
      timeout_ms = MIN (timeout_ms, next_timer_ms (lane, now_ms));
    }
  if (chat->delivered == 0)
    timeout_ms = MIN (timeout_ms, MAX (0, chat->request->deadline_ms - now_ms));
  if (hedgeable != NULL)
    timeout_ms = MIN (timeout_ms, MAX (0, hedge_due_ms (chat, hedgeable) - now_ms));
  return timeout_ms;
}

static void
process_lane (Chat *chat, Lane *lane, short revents)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetAttemptState state;

  lane->batch_tokens = 0;
  if (revents != 0)
    lane->heard_ms = now_ms;
  state = limpet_attempt_process (lane->attempt, revents, now_ms);
  if (lane->batch_tokens > 0)
    {
      limpet_count (LIMPET_COUNTER_TOKENS, lane->batch_tokens);
      note_token_times (chat, lane, now_ms);
    }
  if (lane->has_unsent && !chat->caller_left && !chat->sink->ops->flush (chat->sink))
    chat->caller_left = true;
  lane->has_unsent = false;
  if (chat->complete || chat->caller_left)
    return;
  if (state == LIMPET_ATTEMPT_ENDED)
    on_lane_failed (chat, lane,
                    limpet_attempt_status (lane->attempt, &chat->result->error));
}

static void
poll_once (Chat *chat)
{
  struct pollfd fds[MOST_LANES];
  LimpetMs timeout_ms = poll_timeout_ms (chat, fds, limpet_clock_mono_ms ());
  LimpetAttempt *polled[MOST_LANES];

  for (int i = 0; i < MOST_LANES; i++)
    polled[i] = chat->lanes[i].attempt;
  poll (fds, MOST_LANES, (int)timeout_ms);
  for (int i = 0; i < MOST_LANES; i++)
    if (chat->lanes[i].attempt != NULL && chat->lanes[i].attempt == polled[i]
        && !chat->complete && !chat->caller_left && !chat->ended)
      process_lane (chat, &chat->lanes[i], fds[i].revents);
}

/* After the end marker only the end of the body is outstanding; waiting for it briefly
 * keeps the connection for later. */
static void
finish_transfer (Chat *chat)
{
  Lane *lane = chat->winner;
  LimpetMs until_ms = limpet_clock_mono_ms () + LIMPET_CONNECT_TIMEOUT_MS;
  LimpetMs now_ms;

  while (lane != NULL && limpet_attempt_state (lane->attempt) != LIMPET_ATTEMPT_ENDED
         && (now_ms = limpet_clock_mono_ms ()) < until_ms)
    {
      struct pollfd fd;
      LimpetMs wait_ms = limpet_attempt_prepare (lane->attempt, &fd, now_ms);

      poll (&fd, 1, (int)MIN (wait_ms, until_ms - now_ms));
      limpet_attempt_process (lane->attempt, fd.revents, limpet_clock_mono_ms ());
    }
  if (lane != NULL)
    limpet_target_note_result (lane->target, LIMPET_STATUS_OK);
}

void
limpet_chat_run (const LimpetChatContext *context,
                 const LimpetChatRequest *request,
                 LimpetChatSink *sink,
                 LimpetChatResult *result)
{
  Chat chat = {
    .context = context,
    .request = request,
    .sink = sink,
    .result = result,
    .is_long = request->is_long,
    .admission = {
      .bundle = request->bundle,
      .team = request->team,
      .deadline_ms = request->deadline_ms,
      .route = {
        .group = request->model,
        .kind = LIMPET_VM_ENGINE,
        .key_hash = request->key_hash,
        .is_long = request->is_long,
        .fleet = &request->bundle->fleet,
      },
    },
  };

  *result = (LimpetChatResult){ .outcome = LIMPET_OUTCOME_UNKNOWN };
  randombytes_buf (&chat.admission.route.seed, sizeof chat.admission.route.seed);
  for (int i = 0; i < MOST_LANES; i++)
    chat.lanes[i].chat = &chat;
  start_first (&chat);
  while (!chat.ended && !chat.complete && !chat.caller_left)
    {
      poll_once (&chat);
      if (!chat.ended && !chat.complete && !chat.caller_left)
        check_timers (&chat);
    }
  if (chat.complete && !chat.caller_left)
    {
      finish_transfer (&chat);
      end_chat (&chat, LIMPET_OUTCOME_DONE);
    }
  if (chat.caller_left)
    {
      limpet_count (LIMPET_COUNTER_CALLER_LEFT, 1);
      limpet_error_set (&result->error, LIMPET_STATUS_CANCELLED, "reply", NULL,
                        "the caller left");
      end_chat (&chat, LIMPET_OUTCOME_UNKNOWN);
    }
  for (int i = 0; i < MOST_LANES; i++)
    close_lane (&chat, &chat.lanes[i]);
}
