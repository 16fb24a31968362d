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

/* State that all calls of a router share. */
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

/* A caller's request while the filters process it. The event-driven router has a type of
 * the same name in limpetroad/call.h. */
typedef struct
{
  LimpetRequestContext *context;
  struct mg_connection *connection;
  const struct mg_request_info *info;
  char request_id[LIMPET_ATTEMPT_ID_SIZE];
  char attempt_id[LIMPET_ATTEMPT_ID_SIZE]; /* set for a call with an idempotency key */
  LimpetMs received_ms;
  LimpetBundle *bundle; /* used for the whole call; a reference */
  const LimpetTeam *team;
  char *body;
  size_t body_length;
  json_object *json; /* parsed body of a chat */
  const char *model;
  const LimpetService *service;
  const char *service_path; /* the part of the path that the service gets */
  uint64_t key_hash;        /* for session affinity: of the team and the chat */
  bool is_long;             /* may produce more than the fleet's long_tokens */
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

/* Filters in the order in which they run, ended by NULL. The last one sends the response.
 */
extern const LimpetFilter *const limpet_chat_chain[];
extern const LimpetFilter *const limpet_service_chain[];
extern const LimpetFilter *const limpet_models_chain[];

/* The last filters of the chat chain and of the service chain. */
extern const LimpetFilter limpet_filter_send_chat;
extern const LimpetFilter limpet_filter_send_service;

/* Runs the filters of a chain on the request that connection has received. */
void limpet_request_run (LimpetRequestContext *context,
                         struct mg_connection *connection,
                         const LimpetFilter *const *chain);

/* An error response that the router itself makes. */
typedef struct
{
  int code;
  LimpetOutcome outcome;
  LimpetMs retry_after_ms; /* 0 for no Retry-After header */
  const LimpetError *error;
} LimpetReplyError;

void limpet_reply_error (LimpetRequest *call, const LimpetReplyError *reply);

/* Returns the body of an error response; release it with json_object_put(). */
json_object *limpet_reply_error_object (const LimpetRequest *call,
                                        LimpetOutcome outcome,
                                        const LimpetError *error);

/* Sends a complete response; extra_headers is empty or ends with CRLF. */
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
