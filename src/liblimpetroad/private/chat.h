#ifndef LIMPETROAD_PRIVATE_CHAT_H
#define LIMPETROAD_PRIVATE_CHAT_H

#include "limpetroad/admission.h"
#include "limpetroad/attempt.h"
#include "limpetroad/byte_account.h"
#include "limpetroad/retry_bucket.h"
#include "limpetroad/latency.h"
#include "private/sse.h"

/* Runs one chat request on engines, with retries and hedges. If a stream breaks, another
 * engine resumes it at the first token that the caller does not have. */

typedef struct LimpetChatSink LimpetChatSink;

/* Receives the response. Each function returns false if the caller has disconnected or
 * the sink is full. */
typedef struct
{
  /* Called once, before the first event. */
  bool (*begin) (LimpetChatSink *sink, const LimpetAttemptResponse *response);
  /* Called with each token and with the end marker. */
  bool (*event) (LimpetChatSink *sink, const LimpetSseEvent *event);
  /* Called after all events of one read. */
  bool (*flush) (LimpetChatSink *sink);
} LimpetChatSinkOps;

struct LimpetChatSink
{
  const LimpetChatSinkOps *ops;
  bool is_full; /* there is no memory for the rest of the response */
};

/* State of the router that all chats share. */
typedef struct
{
  LimpetAdmission *admission;
  LimpetByteAccount *account;
  LimpetRetryBucket *retry_bucket;
  LimpetLatency *first_token; /* time to first token of chats that are not long */
} LimpetChatContext;

typedef struct
{
  const LimpetBundle *bundle;
  const LimpetTeam *team;
  const char *model;
  const char *body; /* request body for the engine, with "stream": true */
  size_t body_length;
  const char *request_id;
  uint64_t key_hash;
  bool is_long;
  LimpetMs deadline_ms; /* monotonic time by which the first token is due */
} LimpetChatRequest;

typedef struct
{
  LimpetOutcome outcome;
  LimpetMs retry_after_ms; /* 0 for no Retry-After header */
  bool has_begun;          /* begin() of the sink was called */
  long target_code;        /* HTTP status of the engine's 4xx response, else 0 */
  char *target_body;       /* body of that response; freed by the caller */
  LimpetError error;
} LimpetChatResult;

/* Runs the chat to its end in the calling thread and fills result. */
void limpet_chat_run (const LimpetChatContext *context,
                      const LimpetChatRequest *request,
                      LimpetChatSink *sink,
                      LimpetChatResult *result);

#endif
