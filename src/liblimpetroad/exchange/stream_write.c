#include "private/stream_write.h"

#include <glib.h>
#include <netinet/in.h>
#include <string.h>

typedef struct
{
  uv_write_t request;
  void (*on_error) (uv_stream_t *stream);
  char data[];
} QueuedWrite;

static void
on_written (uv_write_t *request, int status)
{
  QueuedWrite *write = (QueuedWrite *)request;
  uv_stream_t *stream = request->handle;

  if (status < 0 && status != UV_ECANCELED && write->on_error != NULL)
    write->on_error (stream);
  g_free (write);
}

bool
limpet_stream_write (uv_stream_t *stream,
                     const char *data,
                     size_t length,
                     void (*on_error) (uv_stream_t *stream))
{
  uv_buf_t buffer = uv_buf_init ((char *)data, (unsigned int)length);
  int written = uv_try_write (stream, &buffer, 1);
  QueuedWrite *write;

  if (written < 0 && written != UV_EAGAIN)
    return false;
  written = MAX (written, 0);
  if ((size_t)written == length)
    return true;
  write = g_malloc (sizeof *write + length - (size_t)written);
  write->on_error = on_error;
  memcpy (write->data, data + written, length - (size_t)written);
  buffer = uv_buf_init (write->data, (unsigned int)(length - (size_t)written));
  if (uv_write (&write->request, stream, &buffer, 1, on_written) != 0)
    {
      g_free (write);
      return false;
    }
  return true;
}

uint32_t
limpet_stream_peer_address (const uv_tcp_t *tcp)
{
  struct sockaddr_in address = { .sin_family = AF_UNSPEC };
  int length = sizeof address;

  if (uv_tcp_getpeername (tcp, (struct sockaddr *)&address, &length) != 0)
    return 0;
  return address.sin_addr.s_addr;
}
