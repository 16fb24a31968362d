#ifndef LIMPETROAD_PRIVATE_STREAM_WRITE_H
#define LIMPETROAD_PRIVATE_STREAM_WRITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

/* Writes bytes to a stream. Bytes that the socket does not accept at once are copied and
 * queued. on_error, which may be NULL, is called if a queued write fails, unless it was
 * cancelled by closing the stream. Returns false if the write fails at once; on_error is
 * not called then. */
bool limpet_stream_write (uv_stream_t *stream,
                          const char *data,
                          size_t length,
                          void (*on_error) (uv_stream_t *stream));

/* Returns the IPv4 address of the other end (network byte order); 0 if it is not known.
 */
uint32_t limpet_stream_peer_address (const uv_tcp_t *tcp);

#endif
