#include "private/chat.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"
#include "limpetroad/stall.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

#define CHAT_PATH "/v1/chat/completions"
#define MAX_STREAMS 2 /* an attempt and its hedge */
#define MAX_RETRIES 3 /* before the caller has a token */
#define MAX_RESUMES 6 /* after the caller has a token */
#define MAX_STALLS 3  /* of a chat; then it fails */
/* Delay of a hedge before the first token, as a multiple of the median time to the first
 * token. Unlike a high quantile, the median does not move when some targets slow down. */
#define HEDGE_MEDIAN_FACTOR 2.0
#define SLOW_HEDGE_MEDIAN_FACTOR 1.0 /* on a target with a reduced weight */
#define DEFAULT_FIRST_TOKEN_MS 400.0 /* the median while there are too few samples */
#define RESUME_HEDGE_GAP_FACTOR 4.0  /* in a stream, of the group's median token gap */
#define MAX_HEDGES 3 /* per chat, including those that could not be started */
#define MIN_HEDGE_DELAY_MS 30.0
#define PENDING_GAP_FACTOR 3.0 /* overdue after this many average gaps of the target */
#define MAX_RETRY_JITTER_MS 20
#define FULL_TARGET_BACKOFF_MS 100 /* after an engine refused a request as full */
#define RETRY_AFTER_MS 1000        /* used if admission gives no delay */
/* An event is in the parser's buffer and in the sink's; those may be twice as large as
 * their content. */
#define EVENT_FACTOR 4

typedef struct Chat Chat;

/* A running attempt, which occupies a slot of its engine. A chat with a hedge has two. */
typedef struct
{
  Chat *chat;
  LimpetAttempt *attempt; /* NULL if this entry is unused */
  LimpetTarget *target;
  LimpetSseParser *sse;
  LimpetByteHolder holder; /* of its events under way */
  bool counted_long;       /* its slot is counted as long work */
  bool is_hedge;
  bool got_token;
  bool from_start; /* started before the caller had a token */
  bool pending_gap_recorded;
  LimpetMs started_ms;
  LimpetMs last_activity_ms; /* time of the last socket event, or of the start */
  LimpetMs last_token_ms;    /* time of the last token, or of the start */
  LimpetMs longest_gap_ms;   /* between tokens */
  int64_t next_offset;       /* expected offset of the next token */
  uint32_t tokens_in_read;   /* tokens in the data of the current read */
  bool has_unflushed;        /* the sink has events that are not flushed */
} EngineStream;

struct Chat
{
  const LimpetChatContext *context;
  const LimpetChatRequest *request;
  LimpetChatSink *sink;
  LimpetChatResult *result;
  LimpetAdmissionRequest admission;
  EngineStream streams[MAX_STREAMS];
  EngineStream *winner;     /* its tokens go to the caller; NULL if there is none */
  uint32_t stalls;          /* of its streams */
  int64_t delivered_tokens; /* tokens passed to the sink; the offset of the next one */
  bool complete;            /* the end marker was passed to the sink */
  bool caller_disconnected;
  bool ended;        /* the outcome in result is final */
  bool may_have_run; /* an engine may have started the request */
  uint32_t hedges;
  bool used_stale_retry; /* see is_free_retry() */
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
close_stream (Chat *chat, EngineStream *stream)
{
  if (stream->attempt == NULL)
    return;
  limpet_attempt_delete (stream->attempt);
  limpet_sse_parser_delete (stream->sse);
  limpet_byte_holder_clear (&stream->holder);
  limpet_admission_release (chat->context->admission, stream->target, chat->request->team,
                            stream->counted_long);
  *stream = (EngineStream){ .chat = chat };
  if (chat->winner == stream)
    chat->winner = NULL;
}

static EngineStream *
other_stream (Chat *chat, const EngineStream *stream)
{
  return stream == &chat->streams[0] ? &chat->streams[1] : &chat->streams[0];
}

/* Records the time to the first token, or the time per token of this read. */
static void
record_token_times (Chat *chat, EngineStream *stream, LimpetMs now_ms)
{
  if (!stream->got_token)
    {
      double first_ms = (double)(now_ms - stream->started_ms);

      limpet_target_record_first_token_ms (stream->target, first_ms);
      if (!chat->is_long && stream->from_start)
        limpet_latency_add (chat->context->first_token, first_ms);
    }
  else
    {
      LimpetMs gap_ms = now_ms - stream->last_token_ms;

      limpet_target_record_token_gap_ms (
          stream->target, (double)gap_ms / MAX (1, stream->tokens_in_read));
      stream->longest_gap_ms = MAX (stream->longest_gap_ms, gap_ms);
    }
  stream->got_token = true;
  stream->pending_gap_recorded = false;
  stream->last_token_ms = now_ms;
}

/* Makes stream the winner, closes the other. Returns false if the caller disconnected. */
static bool
select_winner (Chat *chat, EngineStream *stream)
{
  if (chat->winner == stream)
    return true;
  chat->winner = stream;
  if (stream->is_hedge)
    limpet_counter_add (LIMPET_COUNTER_HEDGES_WON, 1);
  if (stream->is_hedge && chat->delivered_tokens > 0)
    limpet_counter_add (LIMPET_COUNTER_RESUMES, 1);
  close_stream (chat, other_stream (chat, stream));
  chat->winner = stream;
  if (chat->result->has_begun)
    return true;
  chat->result->has_begun = true;
  if (!chat->sink->ops->begin (chat->sink, limpet_attempt_response (stream->attempt)))
    chat->caller_disconnected = true;
  return !chat->caller_disconnected;
}

static bool
is_end_marker (const LimpetSseEvent *event)
{
  return event->data_length == 6 && memcmp (event->data, "[DONE]", 6) == 0;
}

/* Counts the chat as long work once the caller has more than long_tokens tokens. */
static void
mark_long_if_exceeded (Chat *chat, EngineStream *stream)
{
  if (chat->is_long || chat->delivered_tokens <= chat->request->bundle->fleet.long_tokens)
    return;
  chat->is_long = true;
  stream->counted_long = true;
  limpet_admission_mark_long (stream->target);
}

/* Drops tokens below the expected offset or that the caller has from the other stream. A
 * token with a later offset or none, or an end marker with another, ends the attempt. */
static bool
on_event (void *user, const LimpetSseEvent *event)
{
  EngineStream *stream = user;
  Chat *chat = stream->chat;

  if (event->data == NULL)
    return true;
  if (event->id < stream->next_offset && !is_end_marker (event))
    {
      limpet_counter_add (LIMPET_COUNTER_OFFSET_MISMATCH, 1);
      return event->id >= 0;
    }
  if (event->id != stream->next_offset)
    {
      limpet_counter_add (LIMPET_COUNTER_OFFSET_MISMATCH, 1);
      return false;
    }
  if (!is_end_marker (event))
    {
      stream->next_offset++;
      stream->tokens_in_read++;
    }
  if (event->id < chat->delivered_tokens)
    return true;
  if (!select_winner (chat, stream))
    return false;
  if (!chat->sink->ops->event (chat->sink, event))
    {
      chat->caller_disconnected = true;
      return false;
    }
  stream->has_unflushed = true;
  if (is_end_marker (event))
    {
      chat->complete = true;
      return true;
    }
  chat->delivered_tokens = stream->next_offset;
  chat->admission.policy_request.software_hash = stream->target->software_hash;
  mark_long_if_exceeded (chat, stream);
  return true;
}

static bool
on_data (void *user, const char *data, size_t length)
{
  EngineStream *stream = user;
  size_t pending = limpet_sse_parser_pending (stream->sse);

  return limpet_byte_holder_try_hold (&stream->holder, EVENT_FACTOR * (pending + length))
         && limpet_sse_parser_feed (stream->sse, data, length);
}

/* Returns the X-Priority value of a chat that is not long (a long one has 0): higher for
 * a higher team priority, and at the same priority lower for a team above its share. */
static int
engine_priority (const Chat *chat)
{
  return 1 + 2 * (int)chat->request->team->priority + !chat->admission.above_share;
}

static void
start_stream (Chat *chat, EngineStream *stream, LimpetTarget *target, bool new_connection)
{
  const LimpetChatRequest *request = chat->request;
  LimpetMs now_ms = limpet_clock_mono_ms ();

  *stream = (EngineStream){
    .chat = chat,
    .target = target,
    .attempt = limpet_attempt_new (target),
    .sse = limpet_sse_parser_new (on_event, stream),
    .holder = { .account = chat->context->account },
    .counted_long = chat->is_long,
    .started_ms = now_ms,
    .last_activity_ms = now_ms,
    .last_token_ms = now_ms,
    .next_offset = chat->delivered_tokens,
    .from_start = chat->delivered_tokens == 0,
  };
  limpet_byte_holder_set_owner (&stream->holder, LIMPET_BYTE_OWNER_TARGET,
                                target->id_hash);
  limpet_attempt_set_request (stream->attempt, "POST", CHAT_PATH, request->body,
                              request->body_length);
  limpet_attempt_add_header (stream->attempt, "Content-Type: application/json");
  limpet_attempt_add_header (stream->attempt, "X-Request-Id: %s", request->request_id);
  limpet_attempt_add_header (stream->attempt, "X-Priority: %d",
                             chat->is_long ? 0 : engine_priority (chat));
  if (chat->delivered_tokens > 0)
    limpet_attempt_add_header (stream->attempt, "Last-Event-ID: %" PRId64,
                               chat->delivered_tokens - 1);
  limpet_attempt_set_body_handler (stream->attempt, on_data, stream);
  if (new_connection)
    limpet_attempt_set_new_connection (stream->attempt);
  limpet_attempt_start (stream->attempt);
}

static void
exclude_target (Chat *chat, const LimpetTarget *target)
{
  LimpetPolicyRequest *policy_request = &chat->admission.policy_request;
  uint32_t index = policy_request->excluded_count % LIMPET_MAX_EXCLUDED_TARGETS;

  policy_request->excluded[index] = target;
  if (policy_request->excluded_count < LIMPET_MAX_EXCLUDED_TARGETS)
    policy_request->excluded_count++;
}

/* Acquires a slot on a target. Excluded targets are used only if no other target has a
 * free slot. The seed advances each time by the 64-bit generator of Knuth's MMIX. */
static LimpetStatus
acquire (Chat *chat, LimpetTarget **target)
{
  LimpetPolicyRequest *policy_request = &chat->admission.policy_request;
  LimpetStatus status;

  policy_request->is_long = chat->is_long;
  policy_request->seed
      = policy_request->seed * 6364136223846793005ULL + 1442695040888963407ULL;
  *target = NULL;
  if (policy_request->excluded_count > 0)
    *target = limpet_admission_try_acquire (chat->context->admission, &chat->admission);
  if (*target != NULL)
    return LIMPET_STATUS_OK;
  policy_request->excluded_count = 0;
  status = limpet_admission_acquire (chat->context->admission, &chat->admission, target,
                                     &chat->result->retry_after_ms, &chat->result->error);
  return status;
}

static void
fail_chat (Chat *chat)
{
  if (chat->delivered_tokens > 0)
    end_chat (chat, LIMPET_OUTCOME_FAILED);
  else
    end_chat (chat, chat->may_have_run ? LIMPET_OUTCOME_UNKNOWN : LIMPET_OUTCOME_NOT_RUN);
  if (chat->result->retry_after_ms == 0)
    chat->result->retry_after_ms = RETRY_AFTER_MS;
}

static void
start_first_attempt (Chat *chat)
{
  LimpetTarget *target = NULL;

  if (acquire (chat, &target) != LIMPET_STATUS_OK)
    {
      fail_chat (chat);
      return;
    }
  limpet_retry_bucket_add (chat->context->retry_bucket,
                           chat->request->bundle->fleet.retry_percent);
  start_stream (chat, &chat->streams[0], target, false);
}

/* A retry takes nothing from the retry bucket if the target did not start the request, or
 * once per chat after a stale pooled connection (perhaps dead, with a healthy target). */
static bool
is_free_retry (Chat *chat, LimpetStatus status, bool is_stale)
{
  if (status == LIMPET_STATUS_REFUSED || status == LIMPET_STATUS_UNREACHABLE)
    return true;
  if (!is_stale || chat->used_stale_retry)
    return false;
  chat->used_stale_retry = true;
  return true;
}

/* Once the caller has a token, only MAX_RESUMES limits the attempts. */
static bool
may_retry (Chat *chat, LimpetStatus status, bool is_stale)
{
  if (chat->stalls > MAX_STALLS)
    return false;
  if (chat->delivered_tokens > 0)
    return chat->resumes++ < MAX_RESUMES;
  if (limpet_clock_mono_ms () >= chat->request->deadline_ms
      || chat->retries++ >= MAX_RETRIES)
    return false;
  return is_free_retry (chat, status, is_stale)
         || limpet_retry_bucket_try_take (chat->context->retry_bucket);
}

static void
retry_or_resume (Chat *chat, EngineStream *stream, LimpetStatus status, bool is_stale)
{
  LimpetTarget *target = NULL;

  if (!may_retry (chat, status, is_stale))
    {
      fail_chat (chat);
      return;
    }
  limpet_counter_add (
      chat->delivered_tokens > 0 ? LIMPET_COUNTER_RESUMES : LIMPET_COUNTER_RETRIES, 1);
  if (status != LIMPET_STATUS_REFUSED)
    limpet_clock_sleep_ms (randombytes_uniform (MAX_RETRY_JITTER_MS));
  /* The request's deadline is for the first token, which the caller already has. */
  if (chat->delivered_tokens > 0)
    chat->admission.deadline_ms
        = limpet_clock_mono_ms () + chat->request->bundle->fleet.default_deadline_ms;
  if (acquire (chat, &target) != LIMPET_STATUS_OK)
    {
      fail_chat (chat);
      return;
    }
  start_stream (chat, stream, target, true);
}

static void
record_refusal (EngineStream *stream)
{
  limpet_counter_add (LIMPET_COUNTER_TARGET_REFUSALS, 1);
  if (limpet_attempt_response (stream->attempt)->leaving)
    limpet_target_mark_leaving (stream->target, "the X-Leaving header of its response");
  else
    atomic_store (&stream->target->full_until_ms,
                  limpet_clock_mono_ms () + FULL_TARGET_BACKOFF_MS);
}

static void
set_client_error (Chat *chat, const EngineStream *stream)
{
  chat->result->target_code = limpet_attempt_response (stream->attempt)->code;
  chat->result->target_body = g_strdup (limpet_attempt_error_body (stream->attempt));
  end_chat (chat, LIMPET_OUTCOME_FAILED);
}

/* Handles the end of an attempt before the response was complete. */
static void
on_stream_failed (Chat *chat, EngineStream *stream, LimpetStatus status)
{
  bool other_runs = other_stream (chat, stream)->attempt != NULL;
  bool is_stale = limpet_attempt_is_stale (stream->attempt);

  if (status == LIMPET_STATUS_OK)
    status = limpet_error_set (&chat->result->error, LIMPET_STATUS_BROKEN, "stream",
                               stream->target->vm.id,
                               "the stream ended before its end marker");
  if (status == LIMPET_STATUS_REFUSED)
    record_refusal (stream);
  else if (status != LIMPET_STATUS_INVALID)
    limpet_target_record_result (stream->target, status);
  if (status != LIMPET_STATUS_REFUSED && status != LIMPET_STATUS_UNREACHABLE)
    chat->may_have_run = true;
  if (status == LIMPET_STATUS_INVALID && chat->delivered_tokens == 0)
    {
      set_client_error (chat, stream);
      return;
    }
  exclude_target (chat, stream->target);
  close_stream (chat, stream);
  if (!other_runs)
    retry_or_resume (chat, stream, status, is_stale);
}

/* Returns the time until the attempt ends if its target sends nothing more. */
static LimpetMs
stall_remaining_ms (const EngineStream *stream, LimpetMs now_ms)
{
  LimpetMs silent_ms = now_ms - stream->last_activity_ms;
  LimpetStallProgress progress = {
    .silent_ms = silent_ms,
    .tokenless_ms = now_ms - stream->last_token_ms,
    .longest_gap_ms = stream->longest_gap_ms,
    .usual_gap_ms = limpet_target_token_gap_ms (stream->target),
    .stalls = stream->chat->stalls,
    .is_waiting = !stream->got_token,
    .has_deadline = stream->chat->delivered_tokens == 0,
  };

  if (limpet_attempt_state (stream->attempt) == LIMPET_ATTEMPT_SENT)
    return MAX (0, LIMPET_HEADER_TIMEOUT_MS - silent_ms);
  return limpet_stall_remaining_ms (&progress);
}

/* Records an overdue token's wait as a sample before it ends, to detect a slow target. */
static void
record_pending_gap (EngineStream *stream, LimpetMs now_ms)
{
  double gap_ms = limpet_target_token_gap_ms (stream->target);

  if (!stream->got_token || stream->pending_gap_recorded || gap_ms <= 0
      || (double)(now_ms - stream->last_token_ms) < PENDING_GAP_FACTOR * gap_ms)
    return;
  limpet_target_record_pending_gap_ms (stream->target,
                                       (double)(now_ms - stream->last_token_ms));
  stream->pending_gap_recorded = true;
}

static LimpetMs
timer_remaining_ms (const EngineStream *stream, LimpetMs now_ms)
{
  LimpetMs remaining_ms = stall_remaining_ms (stream, now_ms);
  double gap_ms = limpet_target_token_gap_ms (stream->target);

  if (stream->got_token && !stream->pending_gap_recorded && gap_ms > 0)
    remaining_ms
        = MIN (remaining_ms, stream->last_token_ms
                                 + (LimpetMs)(PENDING_GAP_FACTOR * gap_ms) + 1 - now_ms);
  return MAX (0, remaining_ms);
}

/* Records an overdue token, and ends the attempt if its target has been idle too long. */
static void
check_stream_timers (Chat *chat, EngineStream *stream, LimpetMs now_ms)
{
  if (stream->attempt == NULL)
    return;
  record_pending_gap (stream, now_ms);
  if (stall_remaining_ms (stream, now_ms) > 0)
    return;
  chat->stalls++;
  limpet_counter_add (LIMPET_COUNTER_STALLS, 1);
  limpet_error_set (&chat->result->error, LIMPET_STATUS_TIMEOUT, "stream",
                    stream->target->vm.id, "no token for %d ms, no data for %d ms",
                    (int)(now_ms - stream->last_token_ms),
                    (int)(now_ms - stream->last_activity_ms));
  on_stream_failed (chat, stream, LIMPET_STATUS_TIMEOUT);
}

/* Returns the time without a token until a hedge starts, by the factors at the top. */
static LimpetMs
hedge_delay_ms (const Chat *chat, const EngineStream *stream)
{
  bool is_slow = limpet_target_weight (stream->target, limpet_clock_mono_ms ())
                 < LIMPET_WEIGHT_FULL;
  double delay_ms;

  if (chat->delivered_tokens == 0)
    delay_ms = (is_slow ? SLOW_HEDGE_MEDIAN_FACTOR : HEDGE_MEDIAN_FACTOR)
               * limpet_latency_quantile (chat->context->first_token, 0.5,
                                          DEFAULT_FIRST_TOKEN_MS);
  else
    delay_ms
        = RESUME_HEDGE_GAP_FACTOR * atomic_load (&stream->target->group_median_gap_ms);
  return (LimpetMs)MAX (MIN_HEDGE_DELAY_MS, delay_ms);
}

/* Returns the only running stream if a hedge may be started, else NULL. Before the first
 * token, a long chat gets no hedge and any other chat at most one. */
static EngineStream *
hedgeable_stream (Chat *chat)
{
  EngineStream *stream
      = chat->streams[0].attempt != NULL ? &chat->streams[0] : &chat->streams[1];

  if (stream->attempt == NULL || other_stream (chat, stream)->attempt != NULL
      || chat->request->bundle->fleet.retry_percent == 0 || chat->hedges >= MAX_HEDGES)
    return NULL;
  if (chat->delivered_tokens == 0)
    return chat->is_long || chat->hedges > 0 ? NULL : stream;
  return atomic_load (&stream->target->group_median_gap_ms) > 0 ? stream : NULL;
}

/* Starts a hedge at the first token that the caller does not have, while the first stream
 * continues. When the hedge delivers such a token, the first stream is closed. When the
 * first stream delivers the first token of the chat, the hedge is closed. */
static void
start_hedge (Chat *chat, EngineStream *stream)
{
  EngineStream *second = other_stream (chat, stream);
  LimpetTarget *target;

  chat->hedges++;
  if (!limpet_retry_bucket_try_take (chat->context->retry_bucket))
    return;
  exclude_target (chat, stream->target);
  chat->admission.policy_request.is_long = chat->is_long;
  target = limpet_admission_try_acquire (chat->context->admission, &chat->admission);
  if (target == NULL)
    return;
  limpet_counter_add (LIMPET_COUNTER_HEDGES, 1);
  start_stream (chat, second, target, false);
  second->is_hedge = true;
}

static LimpetMs
hedge_due_ms (const Chat *chat, const EngineStream *stream)
{
  return stream->last_token_ms + hedge_delay_ms (chat, stream);
}

static void
check_deadline (Chat *chat, LimpetMs now_ms)
{
  if (chat->delivered_tokens > 0 || chat->winner != NULL
      || now_ms < chat->request->deadline_ms)
    return;
  chat->may_have_run = true;
  limpet_error_set (&chat->result->error, LIMPET_STATUS_TIMEOUT, "deadline",
                    chat->streams[0].target != NULL ? chat->streams[0].target->vm.id : "",
                    "no token before the deadline");
  fail_chat (chat);
}

static void
check_timers (Chat *chat)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  EngineStream *stream;

  for (int i = 0; i < MAX_STREAMS && !chat->ended; i++)
    check_stream_timers (chat, &chat->streams[i], now_ms);
  if (chat->ended)
    return;
  check_deadline (chat, now_ms);
  stream = chat->ended ? NULL : hedgeable_stream (chat);
  if (stream != NULL && now_ms >= hedge_due_ms (chat, stream))
    start_hedge (chat, stream);
}

static LimpetMs
poll_timeout_ms (Chat *chat, struct pollfd *fds, LimpetMs now_ms)
{
  LimpetMs timeout_ms = LIMPET_STALL_TIMEOUT_MS;
  const EngineStream *hedgeable = hedgeable_stream (chat);

  for (int i = 0; i < MAX_STREAMS; i++)
    {
      EngineStream *stream = &chat->streams[i];

      fds[i] = (struct pollfd){ .fd = -1 };
      if (stream->attempt == NULL)
        continue;
      timeout_ms
          = MIN (timeout_ms, limpet_attempt_prepare (stream->attempt, &fds[i], now_ms));
      timeout_ms = MIN (timeout_ms, timer_remaining_ms (stream, now_ms));
    }
  if (chat->delivered_tokens == 0)
    timeout_ms = MIN (timeout_ms, MAX (0, chat->request->deadline_ms - now_ms));
  if (hedgeable != NULL)
    timeout_ms = MIN (timeout_ms, MAX (0, hedge_due_ms (chat, hedgeable) - now_ms));
  return timeout_ms;
}

static void
process_stream (Chat *chat, EngineStream *stream, short revents)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  LimpetAttemptState state;

  stream->tokens_in_read = 0;
  if (revents != 0)
    stream->last_activity_ms = now_ms;
  state = limpet_attempt_process (stream->attempt, revents, now_ms);
  if (stream->tokens_in_read > 0)
    {
      limpet_counter_add (LIMPET_COUNTER_TOKENS, stream->tokens_in_read);
      record_token_times (chat, stream, now_ms);
    }
  if (stream->has_unflushed && !chat->caller_disconnected
      && !chat->sink->ops->flush (chat->sink))
    chat->caller_disconnected = true;
  stream->has_unflushed = false;
  if (chat->complete || chat->caller_disconnected)
    return;
  if (state == LIMPET_ATTEMPT_ENDED)
    on_stream_failed (chat, stream,
                      limpet_attempt_status (stream->attempt, &chat->result->error));
}

static void
poll_once (Chat *chat)
{
  struct pollfd fds[MAX_STREAMS];
  LimpetMs timeout_ms = poll_timeout_ms (chat, fds, limpet_clock_mono_ms ());
  LimpetAttempt *polled[MAX_STREAMS];

  for (int i = 0; i < MAX_STREAMS; i++)
    polled[i] = chat->streams[i].attempt;
  poll (fds, MAX_STREAMS, (int)timeout_ms);
  for (int i = 0; i < MAX_STREAMS; i++)
    if (chat->streams[i].attempt != NULL && chat->streams[i].attempt == polled[i]
        && !chat->complete && !chat->caller_disconnected && !chat->ended)
      process_stream (chat, &chat->streams[i], fds[i].revents);
}

/* Waits for the end of the body after the end marker, at most LIMPET_CONNECT_TIMEOUT_MS,
 * so that the connection can go back to the pool. */
static void
finish_transfer (Chat *chat)
{
  EngineStream *stream = chat->winner;
  LimpetMs until_ms = limpet_clock_mono_ms () + LIMPET_CONNECT_TIMEOUT_MS;
  LimpetMs now_ms;

  while (stream != NULL && limpet_attempt_state (stream->attempt) != LIMPET_ATTEMPT_ENDED
         && (now_ms = limpet_clock_mono_ms ()) < until_ms)
    {
      struct pollfd fd;
      LimpetMs wait_ms = limpet_attempt_prepare (stream->attempt, &fd, now_ms);

      poll (&fd, 1, (int)MIN (wait_ms, until_ms - now_ms));
      limpet_attempt_process (stream->attempt, fd.revents, limpet_clock_mono_ms ());
    }
  if (stream != NULL)
    limpet_target_record_result (stream->target, LIMPET_STATUS_OK);
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
      .policy_request = {
        .group = request->model,
        .kind = LIMPET_VM_ENGINE,
        .key_hash = request->key_hash,
        .is_long = request->is_long,
        .fleet = &request->bundle->fleet,
      },
    },
  };

  *result = (LimpetChatResult){ .outcome = LIMPET_OUTCOME_UNKNOWN };
  randombytes_buf (&chat.admission.policy_request.seed,
                   sizeof chat.admission.policy_request.seed);
  for (int i = 0; i < MAX_STREAMS; i++)
    chat.streams[i].chat = &chat;
  start_first_attempt (&chat);
  while (!chat.ended && !chat.complete && !chat.caller_disconnected)
    {
      poll_once (&chat);
      if (!chat.ended && !chat.complete && !chat.caller_disconnected)
        check_timers (&chat);
    }
  if (chat.complete && !chat.caller_disconnected)
    {
      finish_transfer (&chat);
      end_chat (&chat, LIMPET_OUTCOME_DONE);
    }
  if (sink->is_full)
    {
      limpet_counter_add (LIMPET_COUNTER_MEMORY_CUTS, 1);
      limpet_error_set (&result->error, LIMPET_STATUS_OVERLOADED, "memory",
                        chat.streams[0].target != NULL ? chat.streams[0].target->vm.id
                                                       : NULL,
                        "no memory for the response");
      limpet_log (LIMPET_LOG_WARNING, "memory", result->error.peer,
                  "id=%s ended tokens=%" PRId64, request->request_id,
                  chat.delivered_tokens);
      end_chat (&chat, LIMPET_OUTCOME_UNKNOWN);
    }
  else if (chat.caller_disconnected)
    {
      limpet_counter_add (LIMPET_COUNTER_CALLER_LEFT, 1);
      limpet_error_set (&result->error, LIMPET_STATUS_CANCELLED, "reply", NULL,
                        "the caller closed the connection");
      end_chat (&chat, LIMPET_OUTCOME_UNKNOWN);
    }
  for (int i = 0; i < MAX_STREAMS; i++)
    close_stream (&chat, &chat.streams[i]);
}
