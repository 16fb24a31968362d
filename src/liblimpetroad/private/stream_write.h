#ifndef LIMPETROAD_PRIVATE_STREAM_WRITE_H
#define LIMPETROAD_PRIVATE_STREAM_WRITE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* What is called about queued writes; each may be NULL. None is called once the stream is
 * being closed. */
typedef struct
{
  void (*on_error) (uv_stream_t *stream, int status);
  void (*on_written) (uv_stream_t *stream);
} LimpetStreamWriteOps;

/* Initializes a handle and creates its socket. Returns 0 or a libuv error code. After a
 * failure, e.g. for want of a descriptor, the handle is initialized without a socket: it
 * has to be closed all the same, and must not be connected. */
int limpet_stream_init_socket (uv_loop_t *loop, uv_tcp_t *tcp);

/* Writes bytes to a stream. Bytes that the socket does not accept at once are copied and
 * queued. Returns false if the write fails at once; on_error is not called then. */
bool limpet_stream_write (uv_stream_t *stream,
                          const char *data,
                          size_t length,
                          const LimpetStreamWriteOps *ops);
/* The same for a head and a body. What is queued of the body is not copied: the array is
 * referenced, and must not be changed any more. */
bool limpet_stream_write_with_body (uv_stream_t *stream,
                                    const char *head,
                                    size_t length,
                                    GByteArray *body,
                                    const LimpetStreamWriteOps *ops);
/* Returns whether the peer has not acknowledged all bytes written, those included that
 * are queued. */
bool limpet_stream_has_unsent (const uv_tcp_t *tcp);

/* Has the connection end with a TCP reset when it is closed, also by the end of the
 * process, if is_set is true. */
void limpet_stream_set_reset_on_close (const uv_tcp_t *tcp, bool is_set);

/* Returns the IPv4 address of the other end (network byte order); 0 if it is not known.
 */
uint32_t limpet_stream_peer_address (const uv_tcp_t *tcp);

#endif
