#ifndef LIMPETROAD_LOG_CLIENT_H
#define LIMPETROAD_LOG_CLIENT_H

#include "limpetroad/clock.h"
#include "limpetroad/status.h"

#include <stddef.h>
#include <stdint.h>

/** \defgroup log_client Log client
 *  The platform's append-only log.
 *
 *  limpet_log_client_http_new() → append/read → delete. A client belongs to one thread. A
 *  platform with another protocol provides another LimpetLogClientOps.
 */

typedef struct LimpetLogClient LimpetLogClient;

/** One record of a stream. */
typedef struct
{
  int64_t offset;
  LimpetMs time_ms; /**< wall-clock time at which the log took it */
  char *data;       /**< NUL-terminated, owned by the batch */
  size_t length;
} LimpetLogRecord;

/** Records read at once. Release it with limpet_log_batch_clear(). */
typedef struct
{
  LimpetLogRecord *records;
  uint32_t count;
  int64_t first; /**< oldest retained offset of the stream */
  int64_t next;  /**< offset that the next append gets */
} LimpetLogBatch;

/** Behaviour of a log client. */
typedef struct
{
  /** Appends a record. UNREACHABLE, REFUSED: it was not appended. TIMEOUT, BROKEN: it may
   *  have been; read to find out. */
  LimpetStatus (*append) (LimpetLogClient *client,
                          const char *stream,
                          const char *data,
                          size_t length,
                          int64_t *offset,
                          LimpetError *error);
  /** Reads records from \p from on; waits up to \p wait_ms for the first one. */
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

/** Returns a client that speaks the HTTP protocol of docs/PROTOCOLS.md. */
LimpetLogClient *limpet_log_client_http_new (const char *url);

/** Frees what a read returned. */
void limpet_log_batch_clear (LimpetLogBatch *batch);

#endif
