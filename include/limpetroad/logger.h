#ifndef LIMPETROAD_LOGGER_H
#define LIMPETROAD_LOGGER_H

#include <stdbool.h>
#include <stdint.h>

/** \defgroup logger Logger
 *  Structured lines of key=value pairs: one for each decision on a request and for each
 *  change of what the process believes.
 *
 *  A daemon calls limpet_logger_init() once, then limpet_log() from any thread; its lines
 *  go to standard output. Before that, and in command-line tools, they go to standard
 *  error. Logging never blocks: lines beyond the rate or the buffer are dropped and
 *  counted, and the next line tells how many.
 */

/** Severity, numbered as in RFC 5424. */
typedef enum
{
  LIMPET_LOG_ERROR = 3,
  LIMPET_LOG_WARNING = 4,
  LIMPET_LOG_NOTICE = 5,
  LIMPET_LOG_INFO = 6
} LimpetLogLevel;

/** Sets the program name and the node name, which are copied. */
void limpet_logger_init (const char *program, const char *node);

/** Lets lines below a warning wait for limpet_logger_flush(), so that an event loop
 *  writes many at once. */
void limpet_logger_set_deferred (bool deferred);

/** Writes what waits, as far as the output takes it. */
void limpet_logger_flush (void);

/** Returns the lines dropped since the start. */
uint64_t limpet_logger_dropped (void);

/** Writes one line. \p step names the processing step, \p peer the other end or NULL;
 *  the rest is key=value pairs or a sentence. */
void limpet_log (LimpetLogLevel level,
                 const char *step,
                 const char *peer,
                 const char *format,
                 ...) __attribute__ ((format (printf, 4, 5)));

#endif
