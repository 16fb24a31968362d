#ifndef LIMPETROAD_PRIVATE_CALL_H
#define LIMPETROAD_PRIVATE_CALL_H

#include "limpetroad/bundle.h"
#include "limpetroad/router.h"
#include "private/bundle_controller.h"
#include "private/chat.h"
#include "private/claim_controller.h"

#include <civetweb.h>
#include <json-c/json.h>
#include <stdatomic.h>

/* What the filters of a router share. */
typedef struct
{
  const LimpetSettings *settings;
  LimpetTargets *targets;
  LimpetBundleController *bundles;
  LimpetClaimController *claims;
  LimpetChatContext chat;
  _Atomic bool draining;
  _Atomic uint32_t inflight;
} LimpetCallContext;

/* One caller's request on its way through the filters. */
typedef struct
{
  LimpetCallContext *context;
  struct mg_connection *connection;
  const struct mg_request_info *info;
  char request_id[LIMPET_ATTEMPT_ID_SIZE];
  char attempt_id[LIMPET_ATTEMPT_ID_SIZE]; /* of an order, else empty */
  LimpetMs received_ms;
  LimpetBundle *bundle;
  const LimpetTeam *team;
  char *body;
  size_t body_length;
  json_object *json;
  const char *model;
  const LimpetService *service;
  const char *service_path; /* path at the plain service */
  uint64_t key_hash;
  bool is_long;
  bool wants_stream;
  LimpetMs deadline_ms;
  LimpetOutcome outcome;
} LimpetCall;

typedef enum
{
  LIMPET_FILTER_NEXT,
  LIMPET_FILTER_STOP /* the caller has been answered */
} LimpetFilterResult;

typedef struct LimpetFilter LimpetFilter;

typedef struct
{
  const char *name;
  LimpetFilterResult (*process) (const LimpetFilter *filter, LimpetCall *call);
} LimpetFilterOps;

struct LimpetFilter
{
  const LimpetFilterOps *ops;
};

/* The chains end with the filter that answers. */
extern const LimpetFilter *const limpet_chat_chain[];
extern const LimpetFilter *const limpet_service_chain[];
extern const LimpetFilter *const limpet_models_chain[];

/* The last filters. */
extern const LimpetFilter limpet_filter_send_chat;
extern const LimpetFilter limpet_filter_send_service;

/* Runs a chain on a fresh call and frees the call. */
void limpet_call_run (LimpetCallContext *context,
                      struct mg_connection *connection,
                      const LimpetFilter *const *chain);

/* An answer that is not the target's own. */
typedef struct
{
  int code;
  LimpetOutcome outcome;
  LimpetMs retry_after_ms; /* 0 for no header */
  const LimpetError *error;
} LimpetReplyError;

void limpet_reply_error (LimpetCall *call, const LimpetReplyError *reply);

/* The body of an error, released by the caller with json_object_put(). */
json_object *limpet_reply_error_object (const LimpetCall *call,
                                        LimpetOutcome outcome,
                                        const LimpetError *error);

/* A whole answer; extra_headers is empty or ends with CRLF. */
void limpet_reply_body (LimpetCall *call,
                        int code,
                        const char *content_type,
                        const char *extra_headers,
                        const char *body,
                        size_t length);

/* Returns the status line's text of an HTTP code. */
const char *limpet_reply_reason (int code);

/* Returns a header of the request, or NULL if it is missing or empty. */
const char *limpet_call_header (const LimpetCall *call, const char *name);

#endif
