#ifndef LIMPETROAD_PRIVATE_ASYNC_CLIENT_H
#define LIMPETROAD_PRIVATE_ASYNC_CLIENT_H

#include "limpetroad/byte_account.h"
#include "limpetroad/clock.h"

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* An HTTP/1.1 client of one address, for control calls in an event loop. It makes one
 * call at a time, each on a connection of its own: responses do not name their call, so
 * that a repeated one would be taken for that to the next call on its connection.
 *
 * limpet_async_client_new() → limpet_async_client_call() → … →
 * limpet_async_client_close(), which also frees it. The callback of a call runs exactly
 * once, unless the call is cancelled or the client is closed first. If a call times out,
 * the server may still have executed it. */
typedef struct LimpetAsyncClient LimpetAsyncClient;

/* Counts the calls of several clients. */
typedef struct
{
  /* Receives the status of each complete response and the value of its header field
   * called field_name, or NULL if it has none, before the callback of the call. called_ms
   * is the monotonic time when the call began. Returns false if the response must not be
   * used: the call then fails. NULL if nobody wants to know. */
  bool (*on_field) (int status, const char *value, LimpetMs called_ms);
  const char *field_name;
  /* In which the bodies of responses are counted, borrowed; NULL for none. */
  LimpetByteAccount *account;
  uint64_t calls;
  uint64_t failed_calls;   /* without a complete response; cancelled ones do not count */
  uint64_t hedged_calls;   /* that repeat another one, see hedged_client.h */
  uint64_t received_bytes; /* of bodies, those of failed calls included */
} LimpetAsyncClientStats;

/* Receives the response to a call. status is the HTTP status, or 0 if there was no
 * complete response; error then states the reason and is NULL otherwise. body is what has
 * arrived of the body, valid until the callback returns. */
typedef void (*LimpetAsyncCallback) (
    void *user, int status, const char *body, size_t length, const char *error);

/* address is an IPv4 address and is copied; stats is borrowed. */
LimpetAsyncClient *limpet_async_client_new (uv_loop_t *loop,
                                            const char *address,
                                            int port,
                                            LimpetAsyncClientStats *stats);

/* Makes connections from the IPv4 address source, which is copied. */
void limpet_async_client_set_source (LimpetAsyncClient *client, const char *source);

/* Sends a request; no other call may be under way. method, path and body are copied; body
 * may be NULL. timeout_ms limits the time to connect, the time until the response begins
 * and each pause in it; a response that arrives too slowly fails as well. on_response may
 * run before the function returns. */
void limpet_async_client_call (LimpetAsyncClient *client,
                               const char *method,
                               const char *path,
                               const char *body,
                               size_t body_length,
                               LimpetMs timeout_ms,
                               LimpetAsyncCallback on_response,
                               void *user);
/* Ends a call under way without its callback, and closes its connection. */
void limpet_async_client_cancel (LimpetAsyncClient *client);
bool limpet_async_client_is_busy (const LimpetAsyncClient *client);
/* Returns the time since the call under way began or the last byte of its response came.
 */
LimpetMs limpet_async_client_silent_ms (const LimpetAsyncClient *client);
/* Returns the time from the begin of the last call until its response began; 0 if it has
 * not. */
LimpetMs limpet_async_client_wait_ms (const LimpetAsyncClient *client);
void limpet_async_client_close (LimpetAsyncClient *client);

#endif
