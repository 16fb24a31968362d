#include "tests.h"

#include "private/async_client.h"
#include "private/stream_write.h"

#include <fcntl.h>
#include <netinet/in.h>
#include <sys/resource.h>
#include <unistd.h>

#define CALL_TIMEOUT_MS 1000

/* Lets no further descriptor be opened. Returns the limit to be restored. */
static struct rlimit
use_up_descriptors (void)
{
  struct rlimit old;
  struct rlimit none_left;
  int next = open ("/dev/null", O_RDONLY | O_CLOEXEC);

  close (next);
  getrlimit (RLIMIT_NOFILE, &old);
  none_left = old;
  none_left.rlim_cur = (rlim_t)next; /* the lowest descriptor that is free */
  setrlimit (RLIMIT_NOFILE, &none_left);
  return old;
}

static void
look_for_timer (uv_handle_t *handle, void *found)
{
  if (handle->type == UV_TIMER && handle->data == found)
    *(bool *)found = true;
}

/* Adds a timer, runs the loop until the handles that are being closed are closed, and
 * returns whether the loop still has the timer. */
static bool
keeps_a_new_handle (uv_loop_t *loop)
{
  uv_timer_t timer;
  bool is_found = false;

  uv_timer_init (loop, &timer);
  timer.data = &is_found;
  uv_run (loop, UV_RUN_NOWAIT);
  uv_run (loop, UV_RUN_NOWAIT);
  uv_walk (loop, look_for_timer, &is_found);
  uv_close ((uv_handle_t *)&timer, NULL);
  uv_run (loop, UV_RUN_NOWAIT);
  return is_found;
}

/* Guards against a router that ended by itself once its descriptors were used up. */
static void
test_a_handle_without_a_socket_can_be_closed (void)
{
  uv_loop_t loop;
  uv_tcp_t tcp;
  struct rlimit limit;
  int code;

  uv_loop_init (&loop);
  limit = use_up_descriptors ();
  code = limpet_stream_init_socket (&loop, &tcp);
  setrlimit (RLIMIT_NOFILE, &limit);
  CU_ASSERT_EQUAL (code, UV_EMFILE);
  uv_close ((uv_handle_t *)&tcp, NULL);
  CU_ASSERT_TRUE (keeps_a_new_handle (&loop));
  CU_ASSERT_EQUAL (uv_loop_close (&loop), 0);
}

static void
record_status (void *user, int status, const char *body, size_t length, const char *error)
{
  (void)body;
  (void)length;
  (void)error;
  *(int *)user = status;
}

/* Guards against a call of the store that corrupted the event loop. */
static void
test_a_call_without_a_descriptor_fails_alone (void)
{
  LimpetAsyncClientStats stats = { .calls = 0 };
  LimpetAsyncClient *client;
  uv_loop_t loop;
  struct rlimit limit;
  int status = -1;

  uv_loop_init (&loop);
  client = limpet_async_client_new (&loop, "127.0.0.1", 9, &stats);
  limit = use_up_descriptors ();
  limpet_async_client_call (client, "GET", "/", NULL, 0, CALL_TIMEOUT_MS, record_status,
                            &status);
  setrlimit (RLIMIT_NOFILE, &limit);
  CU_ASSERT_TRUE (keeps_a_new_handle (&loop));
  CU_ASSERT_EQUAL (status, 0);
  CU_ASSERT_EQUAL (stats.failed_calls, 1);
  limpet_async_client_close (client);
  uv_run (&loop, UV_RUN_DEFAULT);
  CU_ASSERT_EQUAL (uv_loop_close (&loop), 0);
}

void
add_descriptor_tests (void)
{
  CU_pSuite suite = CU_add_suite ("descriptors", NULL, NULL);

  CU_ADD_TEST (suite, test_a_handle_without_a_socket_can_be_closed);
  CU_ADD_TEST (suite, test_a_call_without_a_descriptor_fails_alone);
}
