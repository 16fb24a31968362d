#include "private/stream_write.h"

#include <linux/sockios.h>
#include <netinet/in.h>
#include <string.h>
#include <sys/ioctl.h>

typedef struct
{
  uv_write_t request;
  const LimpetStreamWriteOps *ops;
  GByteArray *body; /* a reference; NULL if none of it is queued */
  char head[];
} QueuedWrite;

static const LimpetStreamWriteOps no_ops = { .on_error = NULL };

static void
free_write (QueuedWrite *write)
{
  if (write->body != NULL)
    g_byte_array_unref (write->body);
  g_free (write);
}

static void
on_written (uv_write_t *request, int status)
{
  QueuedWrite *write = (QueuedWrite *)request;
  const LimpetStreamWriteOps *ops = write->ops;
  uv_stream_t *stream = request->handle;

  free_write (write);
  if (status < 0 && status != UV_ECANCELED && ops->on_error != NULL)
    ops->on_error (stream, status);
  else if (status == 0 && ops->on_written != NULL
           && !uv_is_closing ((uv_handle_t *)stream))
    ops->on_written (stream);
}

/* Queues what remains after the first bytes, written ones, of head and body. */
static bool
queue_rest (uv_stream_t *stream,
            const uv_buf_t parts[2],
            GByteArray *body,
            size_t written,
            const LimpetStreamWriteOps *ops)
{
  size_t head_done = MIN (written, parts[0].len);
  size_t head_left = parts[0].len - head_done;
  size_t body_done = written - head_done;
  QueuedWrite *write = g_malloc (sizeof *write + head_left);
  uv_buf_t rest[2];
  unsigned int count = 0;

  write->ops = ops != NULL ? ops : &no_ops;
  write->body = NULL;
  memcpy (write->head, parts[0].base + head_done, head_left);
  if (head_left > 0)
    rest[count++] = uv_buf_init (write->head, (unsigned int)head_left);
  if (body_done < parts[1].len)
    {
      write->body = g_byte_array_ref (body);
      rest[count++] = uv_buf_init (parts[1].base + body_done,
                                   (unsigned int)(parts[1].len - body_done));
    }
  if (uv_write (&write->request, stream, rest, count, on_written) == 0)
    return true;
  free_write (write);
  return false;
}

int
limpet_stream_init_socket (uv_loop_t *loop, uv_tcp_t *tcp)
{
  int code = uv_tcp_init_ex (loop, tcp, AF_INET);

  /* A failure has taken the handle out of the loop, and to close it corrupts the loop. */
  if (code != 0)
    uv_tcp_init (loop, tcp);
  return code;
}

bool
limpet_stream_write_with_body (uv_stream_t *stream,
                               const char *head,
                               size_t length,
                               GByteArray *body,
                               const LimpetStreamWriteOps *ops)
{
  const uv_buf_t parts[2] = { uv_buf_init ((char *)head, (unsigned int)length),
                              uv_buf_init (body != NULL ? (char *)body->data : NULL,
                                           body != NULL ? (unsigned int)body->len : 0) };
  int written = uv_try_write (stream, parts, parts[1].len > 0 ? 2 : 1);

  if (written < 0 && written != UV_EAGAIN)
    return false;
  written = MAX (written, 0);
  return (size_t)written == parts[0].len + parts[1].len
         || queue_rest (stream, parts, body, (size_t)written, ops);
}

bool
limpet_stream_write (uv_stream_t *stream,
                     const char *data,
                     size_t length,
                     const LimpetStreamWriteOps *ops)
{
  return limpet_stream_write_with_body (stream, data, length, NULL, ops);
}

bool
limpet_stream_has_unsent (const uv_tcp_t *tcp)
{
  int unacknowledged = 0;
  uv_os_fd_t fd;

  if (uv_stream_get_write_queue_size ((const uv_stream_t *)tcp) > 0)
    return true;
  return uv_fileno ((const uv_handle_t *)tcp, &fd) == 0
         && ioctl (fd, SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0;
}

void
limpet_stream_set_reset_on_close (const uv_tcp_t *tcp, bool is_set)
{
  struct linger linger = { .l_onoff = is_set, .l_linger = 0 };
  uv_os_fd_t fd;

  if (uv_fileno ((const uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, sizeof linger);
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
