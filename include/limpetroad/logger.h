#ifndef LIMPETROAD_LOGGER_H
#define LIMPETROAD_LOGGER_H

/** \defgroup logger Logger
 *  syslog-style lines on standard error, one per change of state.
 *
 *  Call limpet_logger_init() once, then limpet_log() from any thread.
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

/** Writes one line. \p step names the processing step, \p peer the other end or NULL. */
void limpet_log (LimpetLogLevel level,
                 const char *step,
                 const char *peer,
                 const char *format,
                 ...) __attribute__ ((format (printf, 4, 5)));

#endif
