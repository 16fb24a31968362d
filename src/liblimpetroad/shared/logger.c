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

/* Longer lines are cut. */
#define LINE_BYTES 1024
/* Lines not yet written. */
#define BUFFER_BYTES (128 * 1024)
/* Rate limit and burst of notices and information. The rate allows three lines for each
 * of 300 requests per second, which is the highest rate of one small VM. */
#define LINES_PER_S 900
#define LINE_BURST 1800
/* Warnings and errors have a separate limit, so that they are not dropped when the
 * request rate is high. */
#define WARNINGS_PER_S 100
#define WARNING_BURST 400

static const char *const level_string[] = { [LIMPET_LOG_ERROR] = "error",
                                            [LIMPET_LOG_WARNING] = "warning",
                                            [LIMPET_LOG_NOTICE] = "notice",
                                            [LIMPET_LOG_INFO] = "info" };

/* Token bucket; each line takes one token. */
typedef struct
{
  int64_t per_s;
  int64_t burst;
  int64_t tokens;
  LimpetMs refilled_ms;
} TokenBucket;

static struct
{
  pthread_mutex_t lock;
  char program[32];
  char node[64];
  int descriptor;
  bool deferred;
  char buffer[BUFFER_BYTES];
  size_t used;
  TokenBucket line_bucket;
  TokenBucket warning_bucket;
  uint64_t dropped;
  uint64_t dropped_logged; /* part of dropped that a written line has reported */
} logger = {
  .lock = PTHREAD_MUTEX_INITIALIZER,
  .program = "limpetroad",
  .node = "-",
  .descriptor = STDERR_FILENO,
  .line_bucket = { .per_s = LINES_PER_S, .burst = LINE_BURST, .tokens = LINE_BURST },
  .warning_bucket
  = { .per_s = WARNINGS_PER_S, .burst = WARNING_BURST, .tokens = WARNING_BURST },
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
  size_t flushed = 0;

  while (flushed < logger.used)
    {
      ssize_t written
          = write (logger.descriptor, logger.buffer + flushed, logger.used - flushed);

      if (written < 0 && errno == EINTR)
        continue;
      if (written <= 0)
        break; /* the rest stays; append_locked() drops lines that do not fit */
      flushed += (size_t)written;
    }
  memmove (logger.buffer, logger.buffer + flushed, logger.used - flushed);
  logger.used -= flushed;
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
try_take_token (TokenBucket *bucket)
{
  LimpetMs now_ms = limpet_clock_mono_ms ();
  int64_t new_tokens = (now_ms - bucket->refilled_ms) * bucket->per_s / 1000;

  if (new_tokens > 0)
    {
      bucket->refilled_ms = now_ms;
      bucket->tokens = new_tokens + bucket->tokens < bucket->burst
                           ? new_tokens + bucket->tokens
                           : bucket->burst;
    }
  return bucket->tokens > 0 && bucket->tokens-- > 0;
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
format_prefix (char *line, LimpetLogLevel level, const char *step, const char *peer)
{
  LimpetMs now_ms = limpet_clock_wall_ms ();
  time_t now_s = now_ms / 1000;
  char timestamp[32];
  struct tm utc;
  int length;

  gmtime_r (&now_s, &utc);
  strftime (timestamp, sizeof timestamp, "%Y-%m-%dT%H:%M:%S", &utc);
  length = snprintf (line, LINE_BYTES,
                     "time=%s.%03dZ level=%s node=%s program=%s step=%s peer=%s ",
                     timestamp, (int)(now_ms % 1000), level_string[level], logger.node,
                     logger.program, step, peer != NULL ? peer : "-");
  if (logger.dropped > logger.dropped_logged && length < LINE_BYTES)
    {
      length
          += snprintf (line + length, LINE_BYTES - (size_t)length, "dropped_lines=%lu ",
                       (unsigned long)(logger.dropped - logger.dropped_logged));
      logger.dropped_logged = logger.dropped;
    }
  return (size_t)length < LINE_BYTES - 1 ? (size_t)length : LINE_BYTES - 2;
}

void
limpet_log (
    LimpetLogLevel level, const char *step, const char *peer, const char *format, ...)
{
  char line[LINE_BYTES];
  size_t length;
  int text_length;
  va_list args;

  pthread_mutex_lock (&logger.lock);
  if (!try_take_token (level <= LIMPET_LOG_WARNING ? &logger.warning_bucket
                                                   : &logger.line_bucket))
    {
      logger.dropped++;
      pthread_mutex_unlock (&logger.lock);
      return;
    }
  length = format_prefix (line, level, step, peer);
  va_start (args, format);
  text_length = vsnprintf (line + length, LINE_BYTES - 1 - length, format, args);
  va_end (args);
  if (text_length > 0)
    length += (size_t)text_length < LINE_BYTES - 1 - length ? (size_t)text_length
                                                            : LINE_BYTES - 2 - length;
  line[length++] = '\n';
  append_locked (line, length);
  if (!logger.deferred || level <= LIMPET_LOG_WARNING)
    flush_locked ();
  pthread_mutex_unlock (&logger.lock);
}
