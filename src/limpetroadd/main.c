#include "limpetroad/clock.h"
#include "limpetroad/logger.h"
#include "limpetroad/router.h"

#include <glib.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#define EXIT_USAGE 2
#define DRAIN_CHECK_MS 50
/* After not ready has been told, the balancer may still send for a while. */
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

static void
drain (LimpetRouter *router, const sigset_t *signals, LimpetMs limit_ms)
{
  LimpetMs start_ms = limpet_clock_mono_ms ();
  LimpetMs idle_ms = start_ms;

  limpet_router_drain (router);
  for (;;)
    {
      LimpetMs now_ms = limpet_clock_mono_ms ();

      if (limpet_router_inflight (router) > 0)
        idle_ms = now_ms;
      if (now_ms - start_ms >= DRAIN_GRACE_MS && now_ms - idle_ms >= DRAIN_CHECK_MS)
        return;
      if (limit_ms > 0 && now_ms - start_ms >= limit_ms)
        {
          limpet_log (LIMPET_LOG_WARNING, "drain", NULL,
                      "the time limit cuts %u requests", limpet_router_inflight (router));
          _Exit (EXIT_FAILURE);
        }
      if (signal_is_pending (signals))
        {
          limpet_log (LIMPET_LOG_WARNING, "drain", NULL,
                      "a second signal cuts %u requests",
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
  int code = EXIT_SUCCESS;

  limpet_logger_init ("limpetroadd", settings->name);
  if (limpet_router_init (router, &error) != LIMPET_STATUS_OK)
    {
      limpet_log (LIMPET_LOG_ERROR, error.step, NULL, "%s", error.message);
      code = EXIT_FAILURE;
    }
  else
    {
      sigwait (&signals, &signal_number);
      drain (router, &signals, settings->drain_limit_ms);
    }
  limpet_router_finish (router);
  limpet_router_delete (router);
  return code;
}

int
main (int argc, char **argv)
{
  gboolean check_only = FALSE;
  GOptionEntry entries[] = {
    { "check-settings", 'c', 0, G_OPTION_ARG_NONE, &check_only,
      "Check the settings and exit: 0 if good, 2 if not", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options
      = g_option_context_new ("SETTINGS - run one router of the fleet");
  GError *option_error = NULL;
  LimpetSettings settings;
  LimpetError error;
  int code = EXIT_USAGE;

  g_option_context_set_description (
      options,
      "SETTINGS is a JSON file, comments allowed; see docs/OPERATORS.md.\n"
      "SIGTERM drains: every request in flight is finished first. A second SIGTERM\n"
      "stops at once. Exit codes: 0 stopped as planned, 1 failed, 2 wrong usage.");
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
  code = check_only ? EXIT_SUCCESS : run (&settings);
  if (check_only)
    printf ("%s: good\n", argv[1]);
  limpet_settings_clear (&settings);

out:
  g_option_context_free (options);
  return code;
}
