#ifndef LIMPETROAD_PRIVATE_CHAT_H
#define LIMPETROAD_PRIVATE_CHAT_H

#include "limpetroad/admission.h"
#include "limpetroad/attempt.h"
#include "limpetroad/budget.h"
#include "limpetroad/latency.h"
#include "private/sse.h"

/* Answers one chat: attempts, hedges and resumes until the caller has the whole answer.
 */

typedef struct LimpetChatSink LimpetChatSink;

/* Where the answer goes. Each function returns false when the caller has left. */
typedef struct
{
  /* Before the first token. */
  bool (*begin) (LimpetChatSink *sink, const LimpetAttemptAnswer *answer);
  /* One token, or the end marker. */
  bool (*event) (LimpetChatSink *sink, const LimpetSseEvent *event);
  /* After the events that came together. */
  bool (*flush) (LimpetChatSink *sink);
} LimpetChatSinkOps;

struct LimpetChatSink
{
  const LimpetChatSinkOps *ops;
};

/* What a chat needs from the router. */
typedef struct
{
  LimpetAdmission *admission;
  LimpetBudget *budget;
  LimpetLatency *first_token; /* times to the first token of short chats */
} LimpetChatContext;

typedef struct
{
  const LimpetBundle *bundle;
  const LimpetTeam *team;
  const char *model;
  const char *body; /* request for the engine, with "stream": true */
  size_t body_length;
  const char *request_id;
  uint64_t key_hash;
  bool is_long;
  LimpetMs deadline_ms; /* monotonic time by which the first token has to come */
} LimpetChatRequest;

typedef struct
{
  LimpetOutcome outcome;
  LimpetMs retry_after_ms; /* 0 if a new try is not advised */
  bool began;              /* the sink got its first event */
  long target_code;        /* of a client error that the engine answered, else 0 */
  char *target_body;       /* of that answer; freed by the caller */
  LimpetError error;
} LimpetChatResult;

/* Runs the chat to its end in the calling thread. */
void limpet_chat_run (const LimpetChatContext *context,
                      const LimpetChatRequest *request,
                      LimpetChatSink *sink,
                      LimpetChatResult *result);

#endif
