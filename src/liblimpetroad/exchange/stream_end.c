#include "private/stream_end.h"

#include <errno.h>
#include <sys/socket.h>

int
limpet_stream_end_code (const uv_stream_t *stream, ssize_t code)
{
  ssize_t count;
  uv_os_fd_t fd;
  char byte;

  if (code != UV_EOF)
    return (int)code;
  if (uv_fileno ((const uv_handle_t *)stream, &fd) != 0)
    return UV_EBADF;
  do
    count = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  while (count < 0 && errno == EINTR);
  if (count < 0)
    return uv_translate_sys_error (errno);
  return count == 0 ? UV_EOF : UV_ECONNABORTED; /* bytes cannot follow an end */
}
