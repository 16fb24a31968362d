#ifndef LIMPETROAD_PRIVATE_STATE_FETCH_H
#define LIMPETROAD_PRIVATE_STATE_FETCH_H

#include "limpetroad/byte_account.h"
#include "limpetroad/clock.h"

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/* Fetches the state of a topic (see limpetroad/topic_state.h) from other routers, for a
 * router that knows that it lacks records and does not get them from the log.
 *
 * limpet_state_fetch_new() → limpet_state_fetch_poll() while records are missing →
 * limpet_state_fetch_close(), which also frees it. */
typedef struct LimpetStateFetch LimpetStateFetch;

typedef struct
{
  /* Returns the address of some other router (IPv4, network byte order); 0 if none is
   * known. */
  uint32_t (*pick_router) (void *user);
  /* Makes this router known to the one at address, which serves only routers that it
   * knows. */
  void (*greet) (void *user, uint32_t address);
  /* Delivers a response of the router at address, a dotted IPv4 address, which was asked
   * at asked_ms (boot clock). Returns whether it was of use; otherwise another router is
   * asked. */
  bool (*on_state) (void *user,
                    const char *address,
                    const char *data,
                    size_t length,
                    LimpetMs asked_ms);
} LimpetStateFetchOps;

/* port is that at which all routers serve their states, and own_address the dotted IPv4
 * address of this one, by which they recognise it. ops is borrowed. */
LimpetStateFetch *limpet_state_fetch_new (uv_loop_t *loop,
                                          const char *own_address,
                                          int port,
                                          const LimpetStateFetchOps *ops,
                                          void *user);
/* Counts the states received in an account, which is borrowed. */
void limpet_state_fetch_set_account (LimpetStateFetch *fetch, LimpetByteAccount *account);
/* Asks the router at address first, and at once; it has told of records that this one
 * lacks. */
void limpet_state_fetch_prefer (LimpetStateFetch *fetch, uint32_t address);
/* Records are missing anew: the delay after earlier failures no longer applies. */
void limpet_state_fetch_reset (LimpetStateFetch *fetch);
/* Asks a router for topic if it has records at offset from or later, unless one is being
 * asked or has failed just now. */
void limpet_state_fetch_poll (LimpetStateFetch *fetch, uint32_t topic, int64_t from);
/* Appends the numbers of requests and of bytes received, with the name of the topic. */
void limpet_state_fetch_render_metrics (const LimpetStateFetch *fetch,
                                        const char *topic,
                                        GString *out);
void limpet_state_fetch_close (LimpetStateFetch *fetch);

typedef struct
{
  uint32_t topic;
  int64_t from; /* the router has the records before this offset; -1 for none */
  int format;   /* version of the format of the response; 0 for the uncompressed one of
                 * earlier builds */
} LimpetStateRequest;

/* Parses the path of a request for a state. Returns false if it is another path. */
bool limpet_state_fetch_parse_path (const char *path, LimpetStateRequest *request);

#endif
