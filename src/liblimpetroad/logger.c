#include "limpetroad/logger.h"

#include "limpetroad/clock.h"

#include <stdarg.h>
#include <stdio.h>
#include <time.h>
#include <unistd.h>

static const int SYSLOG_FACILITY_DAEMON = 3;

static char logger_program[32] = "limpetroad";
static char logger_node[64] = "-";

void
limpet_logger_init (const char *program, const char *node)
{
  snprintf (logger_program, sizeof logger_program, "%s", program);
  snprintf (logger_node, sizeof logger_node, "%s", node);
}

void
limpet_log (
    LimpetLogLevel level, const char *step, const char *peer, const char *format, ...)
{
  char message[512];
  char stamp[32];
  va_list args;
  LimpetMs now_ms = limpet_clock_wall_ms ();
  time_t now_s = now_ms / 1000;
  struct tm utc;

  gmtime_r (&now_s, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  fprintf (stderr, "<%d>1 %s.%03dZ %s %s %ld - - step=%s peer=%s %s\n",
           SYSLOG_FACILITY_DAEMON * 8 + (int)level, stamp, (int)(now_ms % 1000),
           logger_node, logger_program, (long)getpid (), step, peer != NULL ? peer : "-",
           message);
}
