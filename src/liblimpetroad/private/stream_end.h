#ifndef LIMPETROAD_PRIVATE_STREAM_END_H
#define LIMPETROAD_PRIVATE_STREAM_END_H

#include <uv.h>

/* Returns how a connection ended: UV_EOF if its peer closed it in order, else another
 * libuv error code. code: what the read callback got. libuv reports UV_EOF for a reset as
 * well, if the last bytes and the reset are there at once and the bytes did not fill the
 * read buffer. To be called in the read callback, before the stream is closed. */
int limpet_stream_end_code (const uv_stream_t *stream, ssize_t code);

#endif
