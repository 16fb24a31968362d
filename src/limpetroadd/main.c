#include "limpetroad/clock.h"
#include "limpetroad/logger.h"
#include "limpetroad/router.h"

#include <glib.h>
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define LARGE_BLOCK_BYTES (128 * 1024)
/* Period of the checks during a drain. The drain ends when no request has been in flight
 * for this long. */
#define DRAIN_CHECK_MS 50
/* A load balancer may still send requests for this long after the router has reported
 * that it is not ready. */
#define DRAIN_GRACE_MS 2500

static sigset_t
block_signals (void)
{
  sigset_t set;

  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&set);
  sigaddset (&set, SIGTERM);
  sigaddset (&set, SIGINT);
  pthread_sigmask (SIG_BLOCK, &set, NULL);
  return set;
}

static bool
signal_is_pending (const sigset_t *set)
{
  struct timespec now = { .tv_sec = 0 };

  return sigtimedwait (set, NULL, &now) > 0;
}

/* Waits for DRAIN_GRACE_MS, and until no request is in flight and every outcome is in the
 * log. At the time limit or on a second signal, exits the process at once. */
static void
drain (LimpetRouter *router, const sigset_t *signals, LimpetMs time_limit_ms)
{
  LimpetMs start_ms = limpet_clock_mono_ms ();
  LimpetMs last_active_ms = start_ms;

  limpet_router_drain (router);
  for (;;)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();

      if (limpet_router_inflight (router) > 0)
        last_active_ms = now_ms;
      if (now_ms - start_ms >= DRAIN_GRACE_MS
          && now_ms - last_active_ms >= DRAIN_CHECK_MS)
        return;
      if (time_limit_ms > 0 && now_ms - start_ms >= time_limit_ms)
        {
          limpet_log (LIMPET_LOG_WARNING, "drain", NULL,
                      "drain time limit reached; aborting %u requests",
                      limpet_router_inflight (router));
          _Exit (EXIT_FAILURE);
        }
      if (signal_is_pending (signals))
        {
          limpet_log (LIMPET_LOG_WARNING, "drain", NULL,
                      "second signal received; aborting %u requests",
                      limpet_router_inflight (router));
          _Exit (EXIT_FAILURE);
        }
      limpet_clock_sleep_ms (DRAIN_CHECK_MS);
    }
}

static int
run (const LimpetSettings *settings)
{
  sigset_t signals = block_signals ();
  LimpetRouter *router = limpet_router_new (settings);
  LimpetError error;
  int signal_number = 0;
  int exit_code = EXIT_SUCCESS;

  limpet_logger_init ("limpetroadd", settings->name);
  if (limpet_router_init (router, &error) != LIMPET_STATUS_OK)
    {
      limpet_log (LIMPET_LOG_ERROR, error.step, NULL, "%s", error.message);
      exit_code = EXIT_FAILURE;
    }
  else
    {
      sigwait (&signals, &signal_number);
      drain (router, &signals, settings->drain_limit_ms);
    }
  limpet_router_finish (router);
  limpet_router_delete (router);
  return exit_code;
}

int
main (int argc, char **argv)
{
  gboolean only_check_settings = FALSE;
  GOptionEntry entries[] = {
    { "check-settings", 'c', 0, G_OPTION_ARG_NONE, &only_check_settings,
      "Check the settings and exit: 0 if valid, 2 if not", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options
      = g_option_context_new ("SETTINGS - run one router of the fleet");
  GError *option_error = NULL;
  LimpetSettings settings;
  LimpetError error;
  int exit_code = EXIT_USAGE;

  g_option_context_set_description (
      options,
      "SETTINGS is a JSON file that may contain comments; see docs/OPERATORS.md.\n"
      "On SIGTERM the router finishes all requests in flight, then exits. A second\n"
      "SIGTERM stops it at once. Exit codes: 0 drained, 1 failed, 2 wrong usage\n"
      "or invalid settings.");
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &option_error))
    {
      fprintf (stderr, "limpetroadd: %s\n", option_error->message);
      g_error_free (option_error);
      goto out;
    }
  if (argc != 2)
    {
      fprintf (stderr, "limpetroadd: give one settings file; see --help\n");
      goto out;
    }
  if (limpet_settings_load (&settings, argv[1], &error) != LIMPET_STATUS_OK)
    {
      fprintf (stderr, "limpetroadd: %s\n", error.message);
      goto out;
    }
  /* Large blocks go back to the system at once; the default threshold rises with the
   * blocks that are freed. */
  mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
  exit_code = only_check_settings ? EXIT_SUCCESS : run (&settings);
  if (only_check_settings)
    printf ("%s: valid\n", argv[1]);
  limpet_settings_clear (&settings);

out:
  g_option_context_free (options);
  return exit_code;
}
