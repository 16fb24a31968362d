#ifndef LIMPETROAD_LOGGER_H
#define LIMPETROAD_LOGGER_H

#include <stdbool.h>
#include <stdint.h>

/** \defgroup logger Logger
 *  Structured lines of key=value pairs: one for each decision on a request and for each
 *  change of state.
 *
 *  A daemon calls limpet_logger_init() once, then limpet_log() from any thread. Its lines
 *  go to standard output. Logging never blocks: lines above the rate limit and lines that
 *  do not fit into the buffer are dropped and counted. The next line written has their
 *  number under the key dropped_lines. Without limpet_logger_init(), as in
 *  command-line tools, lines go to standard error.
 */

/** Severity, numbered as in RFC 5424. */
typedef enum
{
  LIMPET_LOG_ERROR = 3,
  LIMPET_LOG_WARNING = 4,
  LIMPET_LOG_NOTICE = 5,
  LIMPET_LOG_INFO = 6
} LimpetLogLevel;

/** Sets the program name and the node name, which are copied, and makes standard output
 *  non-blocking. Call it before other threads log. */
void limpet_logger_init (const char *program, const char *node);

/** If \p deferred, notices and information stay in the buffer until
 *  limpet_logger_flush() is called, a warning or an error is logged, or the buffer is
 *  full. An event loop thus writes many lines with one system call. */
void limpet_logger_set_deferred (bool deferred);

/** Writes as much of the buffer as the output accepts without blocking. */
void limpet_logger_flush (void);

/** Returns the number of lines dropped since the start of the process. */
uint64_t limpet_logger_dropped (void);

/** Writes one line, cut at 1 KiB. \p step names the processing step. \p peer names the
 *  other end of the exchange, or is NULL. \p format produces key=value pairs or a
 *  sentence. */
void limpet_log (LimpetLogLevel level,
                 const char *step,
                 const char *peer,
                 const char *format,
                 ...) __attribute__ ((format (printf, 4, 5)));

#endif
