/* Preloaded into a program that uses CivetWeb: adds each request handler late, as on a
 * machine that runs other programs meanwhile. */

#include <civetweb.h>
#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>

#define DELAY_MS 100

void
mg_set_request_handler (struct mg_context *context,
                        const char *uri,
                        mg_request_handler handler,
                        void *user)
{
  static void (*next) (struct mg_context *, const char *, mg_request_handler, void *);
  struct timespec delay = { .tv_nsec = DELAY_MS * 1000000L };

  if (next == NULL)
    *(void **)&next = dlsym (RTLD_NEXT, "mg_set_request_handler");
  if (next == NULL)
    abort ();
  nanosleep (&delay, NULL);
  next (context, uri, handler, user);
}
