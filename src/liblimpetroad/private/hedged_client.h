#ifndef LIMPETROAD_PRIVATE_HEDGED_CLIENT_H
#define LIMPETROAD_PRIVATE_HEDGED_CLIENT_H

#include "private/async_client.h"

/* Reads from one address with hedged requests (see limpetroad/read_hedge.h): a GET that
 * gets no response is repeated on a second connection, and the first complete response
 * counts, unless it is a refusal (429, 5xx) and another attempt is under way. One read at
 * a time.
 *
 * limpet_hedged_client_new() → limpet_hedged_client_get() → … →
 * limpet_hedged_client_close(), which also frees it. */
typedef struct LimpetHedgedClient LimpetHedgedClient;

/* The arguments are those of limpet_async_client_new(). */
LimpetHedgedClient *limpet_hedged_client_new (uv_loop_t *loop,
                                              const char *address,
                                              int port,
                                              LimpetAsyncClientStats *stats);
/* Reads path; no other read may be under way. timeout_ms and on_response are those of
 * limpet_async_client_call() for each attempt. The read fails when the last attempt under
 * way has failed. */
void limpet_hedged_client_get (LimpetHedgedClient *client,
                               const char *path,
                               LimpetMs timeout_ms,
                               LimpetAsyncCallback on_response,
                               void *user);
bool limpet_hedged_client_is_busy (const LimpetHedgedClient *client);
/* Returns whether a read is under way whose response is late. */
bool limpet_hedged_client_is_late (const LimpetHedgedClient *client);
/* Ends a read under way without its callback, and closes its connections. */
void limpet_hedged_client_cancel (LimpetHedgedClient *client);
void limpet_hedged_client_close (LimpetHedgedClient *client);

#endif
