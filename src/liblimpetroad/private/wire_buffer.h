#ifndef LIMPETROAD_PRIVATE_WIRE_BUFFER_H
#define LIMPETROAD_PRIVATE_WIRE_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

/* Writes bytes to a stream: at once if the socket takes them, queued otherwise. The bytes
 * are copied where needed. on_error, which may be NULL, is called if a queued write
 * fails. Returns false if the stream is broken. */
bool limpet_wire_write (uv_stream_t *stream,
                        const char *data,
                        size_t length,
                        void (*on_error) (uv_stream_t *stream));

#endif
