#ifndef LIMPETROAD_LIMITS_H
#define LIMPETROAD_LIMITS_H

/** \defgroup limits Limits
 *  Named constants shared by the modules. Sizes are in bytes, durations in ms. Sizes of
 *  strings include the terminating NUL.
 */

/* Names, for example of VMs, teams and parts of a bundle, and other short texts. */
#define LIMPET_NAME_SIZE 64
/* BLAKE2b-256 hashes. */
#define LIMPET_HASH_BYTES 32
#define LIMPET_HASH_HEX_SIZE (2 * LIMPET_HASH_BYTES + 1)
/* In a claim: the hash of an idempotency key, or an attempt id. */
#define LIMPET_CLAIM_ID_BYTES 16
/* Attempt ids and request ids: 16 random bytes in hexadecimal. */
#define LIMPET_ATTEMPT_ID_SIZE 33

/* Body of a caller's request (if not configured) or of a plain service's response. */
#define LIMPET_MAX_BODY_BYTES (1024 * 1024)
/* Head of a caller's request (if not configured). */
#define LIMPET_MAX_HEADER_BYTES (16 * 1024)
#define LIMPET_MAX_JSON_DEPTH 24
/* One server-sent event. */
#define LIMPET_MAX_EVENT_BYTES (64 * 1024)
/* Comments between two events of a stream. */
#define LIMPET_MAX_COMMENT_BYTES (64 * 1024)
/* Response to a control request: to the log, the VM list or an operators' port. */
#define LIMPET_MAX_CONTROL_BODY_BYTES (8 * 1024 * 1024)
#define LIMPET_MAX_CONTROL_OBJECT_BYTES (8 * LIMPET_MAX_CONTROL_BODY_BYTES)
/* Entries of the VM list, or targets in a router state. */
#define LIMPET_MAX_TARGETS 4096
#define LIMPET_MAX_ROUTERS 1024
#define LIMPET_MAX_SLOTS 65535 /* of a target */
/* State of a topic that routers pass on, before compression. */
#define LIMPET_MAX_STATE_BYTES (16 * 1024 * 1024)
#define LIMPET_MAX_PEER_MESSAGE_BYTES (2 * 1024 * 1024)

#define LIMPET_CONNECT_TIMEOUT_MS 400
/* Control requests: to the log, the VM list and the load reports of engines. Also the
 * default timeout of a plain service. */
#define LIMPET_CONTROL_TIMEOUT_MS 1500
/* A response to a control request may take its timeout, and longer as far as it arrives
 * at least at this rate. */
#define LIMPET_MIN_CONTROL_BYTES_PER_S 10000
/* Time limit from sending a request to the response headers. */
#define LIMPET_HEADER_TIMEOUT_MS 1000
/* Larger deadlines of callers are reduced to one day. */
#define LIMPET_MAX_DEADLINE_MS (24 * 3600 * 1000)
/* A stream fails if no byte arrives for this long after the headers. */
#define LIMPET_STALL_TIMEOUT_MS 2000
/* An idle upstream connection is closed after this time. */
#define LIMPET_POOL_IDLE_MS 5000
/* A rate limit of a target that no response has confirmed for this time is forgotten. */
#define LIMPET_RATE_LIMIT_VALIDITY_MS 30000
/* A target that asks for a longer rest gets requests again after this time. */
#define LIMPET_MAX_REST_MS (3600 * 1000)
/** Longest cold time that is believed of a target; a longer one is reduced to it. */
#define LIMPET_MAX_COLD_MS (3600 * 1000)
/* A connection whose sent data is not acknowledged for this long is closed. */
#define LIMPET_TCP_USER_TIMEOUT_MS 1500

#endif
