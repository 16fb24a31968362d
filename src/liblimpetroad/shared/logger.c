#include "limpetroad/logger.h"

#include "limpetroad/clock.h"

#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#define LINE_BYTES 1024
#define BUFFER_BYTES (128 * 1024)
/* Lines below a warning that may be written in a second, and saved up: three lines for
 * each of 300 requests a second, the most that one small VM serves. */
#define LINES_PER_S 900
#define LINES_SAVED 1800
/* Warnings and errors have a rate of their own, so that no crowd of requests hides them.
 */
#define WARNINGS_PER_S 100
#define WARNINGS_SAVED 400

static const char *const level_string[] = { [LIMPET_LOG_ERROR] = "error",
                                            [LIMPET_LOG_WARNING] = "warning",
                                            [LIMPET_LOG_NOTICE] = "notice",
                                            [LIMPET_LOG_INFO] = "info" };

/* Lines that may be written now, refilled with time. */
typedef struct
{
  int64_t per_s;
  int64_t most;
  int64_t left;
  LimpetMs refilled_ms;
} LineBudget;

static struct
{
  pthread_mutex_t lock;
  char program[32];
  char node[64];
  int descriptor;
  bool deferred;
  char buffer[BUFFER_BYTES];
  size_t used;
  LineBudget lines;
  LineBudget warnings;
  uint64_t dropped;
  uint64_t dropped_told;
} logger = {
  .lock = PTHREAD_MUTEX_INITIALIZER,
  .program = "limpetroad",
  .node = "-",
  .descriptor = STDERR_FILENO,
  .lines = { .per_s = LINES_PER_S, .most = LINES_SAVED, .left = LINES_SAVED },
  .warnings = { .per_s = WARNINGS_PER_S, .most = WARNINGS_SAVED, .left = WARNINGS_SAVED },
};

void
limpet_logger_init (const char *program, const char *node)
{
  int flags = fcntl (STDOUT_FILENO, F_GETFL);

  snprintf (logger.program, sizeof logger.program, "%s", program);
  snprintf (logger.node, sizeof logger.node, "%s", node);
  logger.descriptor = STDOUT_FILENO;
  if (flags >= 0)
    fcntl (STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void
limpet_logger_set_deferred (bool deferred)
{
  logger.deferred = deferred;
}

static void
flush_locked (void)
{
  size_t done = 0;

  while (done < logger.used)
    {
      ssize_t written
          = write (logger.descriptor, logger.buffer + done, logger.used - done);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break; /* what is left waits; what does not fit is dropped and counted */
      done += (size_t)written;
    }
  memmove (logger.buffer, logger.buffer + done, logger.used - done);
  logger.used -= done;
}

void
limpet_logger_flush (void)
{
  pthread_mutex_lock (&logger.lock);
  flush_locked ();
  pthread_mutex_unlock (&logger.lock);
}

uint64_t
limpet_logger_dropped (void)
{
  return logger.dropped;
}

static bool
spend_line (LineBudget *budget)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  int64_t refill = (now_ms - budget->refilled_ms) * budget->per_s / 1000;

  if (refill > 0)
    {
      budget->refilled_ms = now_ms;
      budget->left
          = refill + budget->left < budget->most ? refill + budget->left : budget->most;
    }
  return budget->left > 0 && budget->left-- > 0;
}

static void
append_locked (const char *line, size_t length)
{
  if (logger.used + length > sizeof logger.buffer)
    flush_locked ();
  if (logger.used + length > sizeof logger.buffer)
    {
      logger.dropped++;
      return;
    }
  memcpy (logger.buffer + logger.used, line, length);
  logger.used += length;
}

static size_t
format_head (char *line, LimpetLogLevel level, const char *step, const char *peer)
{
  LimpetMs now_ms = limpet_clock_wall_ms ();
  time_t now_s = now_ms / 1000;
  char stamp[32];
  struct tm utc;
  int length;

  gmtime_r (&now_s, &utc);
  strftime (stamp, sizeof stamp, "%Y-%m-%dT%H:%M:%S", &utc);
  length = snprintf (line, LINE_BYTES,
                     "time=%s.%03dZ level=%s node=%s program=%s step=%s peer=%s ", stamp,
                     (int)(now_ms % 1000), level_string[level], logger.node,
                     logger.program, step, peer != NULL ? peer : "-");
  if (logger.dropped > logger.dropped_told && length < LINE_BYTES)
    {
      length
          += snprintf (line + length, LINE_BYTES - (size_t)length, "dropped_lines=%lu ",
                       (unsigned long)(logger.dropped - logger.dropped_told));
      logger.dropped_told = logger.dropped;
    }
  return (size_t)length < LINE_BYTES - 1 ? (size_t)length : LINE_BYTES - 2;
}

void
limpet_log (
    LimpetLogLevel level, const char *step, const char *peer, const char *format, ...)
{
  char line[LINE_BYTES];
  size_t length;
  int rest;
  va_list args;

  pthread_mutex_lock (&logger.lock);
  if (!spend_line (level <= LIMPET_LOG_WARNING ? &logger.warnings : &logger.lines))
    {
      logger.dropped++;
      pthread_mutex_unlock (&logger.lock);
      return;
    }
  length = format_head (line, level, step, peer);
  va_start (args, format);
  rest = vsnprintf (line + length, LINE_BYTES - 1 - length, format, args);
  va_end (args);
  if (rest > 0)
    length += (size_t)rest < LINE_BYTES - 1 - length ? (size_t)rest
                                                     : LINE_BYTES - 2 - length;
  line[length++] = '\n';
  append_locked (line, length);
  if (!logger.deferred || level <= LIMPET_LOG_WARNING)
    flush_locked ();
  pthread_mutex_unlock (&logger.lock);
}
