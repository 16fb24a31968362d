#ifndef LIMPETROAD_PRIVATE_REQUEST_H
#define LIMPETROAD_PRIVATE_REQUEST_H

#include "limpetroad/bundle.h"
#include "limpetroad/router.h"
#include "private/bundle_controller.h"
#include "private/chat.h"
#include "private/claim_controller.h"

#include <civetweb.h>
#include <json-c/json.h>
#include <stdatomic.h>

/* State that all requests of a router share. */
typedef struct
{
  const LimpetSettings *settings;
  LimpetTargets *targets;
  LimpetBundleController *bundles;
  LimpetClaimController *claims;
  LimpetChatContext chat;
  _Atomic bool draining;
  _Atomic uint32_t inflight;
} LimpetRequestContext;

/* A caller's request while the filters process it, named call in the functions below to
 * distinguish it from the requests to targets. The event-driven router uses LimpetCall
 * instead, see limpetroad/call.h. */
typedef struct
{
  LimpetRequestContext *context;
  struct mg_connection *connection;
  const struct mg_request_info *info;
  char request_id[LIMPET_ATTEMPT_ID_SIZE];
  char attempt_id[LIMPET_ATTEMPT_ID_SIZE]; /* empty without an idempotency key */
  LimpetMs received_ms;
  LimpetBundle *bundle; /* a reference; the same bundle for the whole call */
  const LimpetTeam *team;
  LimpetByteHolder holder; /* of what the request needs */
  char *body;
  size_t body_length;
  json_object *json; /* parsed body of a chat */
  const char *model;
  const LimpetService *service;
  const char *service_path; /* the path without /v1/services/NAME */
  uint64_t key_hash;        /* hash of team and chat, for session affinity */
  bool is_long;             /* may produce more tokens than fleet.long_tokens */
  bool wants_stream;
  LimpetMs deadline_ms; /* monotonic */
  LimpetOutcome outcome;
} LimpetRequest;

typedef enum
{
  LIMPET_FILTER_NEXT,
  LIMPET_FILTER_STOP /* the response has been sent */
} LimpetFilterResult;

typedef struct LimpetFilter LimpetFilter;

typedef struct
{
  const char *name;
  LimpetFilterResult (*process) (const LimpetFilter *filter, LimpetRequest *call);
} LimpetFilterOps;

struct LimpetFilter
{
  const LimpetFilterOps *ops;
};

/* Filters in the order in which they run, NULL-terminated. The last one sends the
 * response unless an earlier one has sent an error response. */
extern const LimpetFilter *const limpet_chat_chain[];
extern const LimpetFilter *const limpet_service_chain[];
extern const LimpetFilter *const limpet_models_chain[];

/* The last filters of the chat chain and of the service chain. */
extern const LimpetFilter limpet_filter_send_chat;
extern const LimpetFilter limpet_filter_send_service;

/* Runs the filters of a chain on the request that connection has received, until one of
 * them returns LIMPET_FILTER_STOP. Then counts the outcome. */
void limpet_request_run (LimpetRequestContext *context,
                         struct mg_connection *connection,
                         const LimpetFilter *const *chain);

/* An error response that the router creates itself. */
typedef struct
{
  int code;
  LimpetOutcome outcome;
  LimpetMs retry_after_ms; /* 0 for no Retry-After header */
  const LimpetError *error;
} LimpetReplyError;

/* Sets the outcome of the call and sends the error response. */
void limpet_reply_error (LimpetRequest *call, const LimpetReplyError *reply);

/* Returns the body of an error response; release it with json_object_put(). */
json_object *limpet_reply_error_object (const LimpetRequest *call,
                                        LimpetOutcome outcome,
                                        const LimpetError *error);

/* Sends a complete response with the outcome of the call, which must be set before.
 * extra_headers is empty or ends with CRLF. */
void limpet_reply_body (LimpetRequest *call,
                        int code,
                        const char *content_type,
                        const char *extra_headers,
                        const char *body,
                        size_t length);

const char *limpet_reply_reason_phrase (int code);

/* Returns the value of a request header, or NULL if it is missing or empty. */
const char *limpet_request_header (const LimpetRequest *call, const char *name);

#endif
