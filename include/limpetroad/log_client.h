#ifndef LIMPETROAD_LOG_CLIENT_H
#define LIMPETROAD_LOG_CLIENT_H

#include "limpetroad/clock.h"
#include "limpetroad/log_era.h"
#include "limpetroad/status.h"

#include <stddef.h>
#include <stdint.h>

/** \defgroup log_client Log client
 *  Interface to the platform's append-only log.
 *
 *  Order of use: limpet_log_client_http_new(); ops->append(), ops->read(); ops->free().
 *  A client is not thread-safe. For a log with another protocol, implement another
 *  LimpetLogClientOps.
 */

typedef struct LimpetLogClient LimpetLogClient;

/** One record of a stream. */
typedef struct
{
  int64_t offset;
  LimpetMs time_ms; /**< wall-clock time at which the log appended it */
  char *data;       /**< NUL-terminated, owned by the batch */
  size_t length;
} LimpetLogRecord;

/** Result of one read. Release it with limpet_log_batch_clear(). */
typedef struct
{
  LimpetLogRecord *records;
  uint32_t count;
  int64_t first_offset; /**< oldest retained offset; next_offset if there is none */
  int64_t next_offset;  /**< offset of the next record to be appended */
  int64_t era;          /**< era that the log names, or LIMPET_LOG_NO_ERA */
  bool era_is_invalid;  /**< the log names what is no era; era is LIMPET_LOG_NO_ERA */
} LimpetLogBatch;

/** Operations of a log client. */
typedef struct
{
  /** Appends a record and sets \p offset. After UNREACHABLE or REFUSED the record was not
   *  appended. After any other error, such as TIMEOUT or BROKEN, it may have been
   *  appended; only a read can show whether it was. */
  LimpetStatus (*append) (LimpetLogClient *client,
                          const char *stream,
                          const char *data,
                          size_t length,
                          int64_t *offset,
                          LimpetError *error);
  /** Reads records from offset \p from on; waits up to \p wait_ms for the first one.
   *  Fills \p batch, which is empty after an error. */
  LimpetStatus (*read) (LimpetLogClient *client,
                        const char *stream,
                        int64_t from,
                        LimpetMs wait_ms,
                        LimpetLogBatch *batch,
                        LimpetError *error);
  void (*free) (LimpetLogClient *client);
} LimpetLogClientOps;

struct LimpetLogClient
{
  const LimpetLogClientOps *ops;
};

/** Returns a client of the log at the base URL \p url, which is copied. It uses the HTTP
 *  protocol of docs/PROTOCOLS.md. */
LimpetLogClient *limpet_log_client_http_new (const char *url);

/** Frees the records of a batch and empties it. */
void limpet_log_batch_clear (LimpetLogBatch *batch);

#endif
