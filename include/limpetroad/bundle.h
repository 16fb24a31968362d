#ifndef LIMPETROAD_BUNDLE_H
#define LIMPETROAD_BUNDLE_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup bundle Bundle
 *  The configuration of the fleet: policy, models, teams and plain services.
 *
 *  A bundle is a set of named parts ("fleet", "model/NAME", "team/NAME", "service/NAME"),
 *  each a JSON text. Order of use: limpet_bundle_new_from_file(), which also checks the
 *  bundle, or limpet_bundle_new_with_changes() and limpet_bundle_check(); then read the
 *  typed fields; then limpet_bundle_unref(). A checked bundle is immutable and may be
 *  shared between threads.
 */

/** One part, or a change to one. In a change, a NULL text removes the part. */
typedef struct
{
  char *name;
  char *text;
} LimpetPart;

/** Settings of the whole fleet. */
typedef struct
{
  char policy[LIMPET_NAME_SIZE]; /**< name of the routing policy */
  int64_t load_bound_percent;    /**< highest load of an engine, in percent of the mean */
  int64_t long_share_percent;    /**< share of an engine's slots open to long requests */
  int64_t long_tokens;           /**< a request that may produce more tokens is long */
  int64_t reserve_percent; /**< percentage of slots closed to teams above their share */
  int64_t queue_limit;     /**< most requests queued in one router */
  int64_t queue_wait_ms;   /**< longest time in the queue */
  int64_t default_deadline_ms; /**< time to first token if the request has no deadline */
  int64_t retry_percent;       /**< most retries and hedges per 100 first attempts */
  /** A target is slow if its time between tokens exceeds this percentage of the median
   *  of its group. */
  int64_t slow_ratio_percent;
  int64_t set_aside_percent; /**< most targets of a group marked slow at once */
  int64_t order_window_ms;   /**< age at which an idempotency key expires */
} LimpetFleetPart;

/** A team, identified by the hash of its bearer key. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char key_hash[LIMPET_HASH_HEX_SIZE]; /**< BLAKE2b-256 of the bearer key */
  int64_t share;                       /**< weight relative to the other teams */
  int64_t priority;                    /**< a higher value is served first */
} LimpetTeam;

/** A model served by engines. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  int64_t context_tokens; /**< most tokens of prompt and response together */
} LimpetModel;

/** A plain service. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  bool idempotent;     /**< its requests may be retried */
  bool checks_fencing; /**< it rejects requests with an outdated fencing number */
  int64_t timeout_ms;
} LimpetService;

typedef struct LimpetBundle LimpetBundle;

/** A bundle. Its typed fields are valid after limpet_bundle_check(). */
struct LimpetBundle
{
  int64_t version; /**< see limpetroad/bundle_history.h; 0 if not rolled yet */
  char root[LIMPET_HASH_HEX_SIZE]; /**< BLAKE2b-256 of all parts, in hexadecimal */
  LimpetPart *parts;               /**< ordered by name */
  uint32_t parts_count;
  LimpetFleetPart fleet;
  LimpetTeam *teams; /**< ordered by key_hash */
  uint32_t teams_count;
  uint64_t shares_total; /**< sum of the teams' shares */
  LimpetModel *models;
  uint32_t models_count;
  LimpetService *services;
  uint32_t services_count;
};

/** Returns a bundle without parts, the parent of the first rolled bundle. */
LimpetBundle *limpet_bundle_new_empty (void);

/** Reads and checks a configuration file: {"fleet": …, "models": …, "teams": …,
 *  "services": …}. Returns NULL and fills \p error on failure. */
LimpetBundle *limpet_bundle_new_from_file (const char *path, LimpetError *error);

/** Returns a new, unchecked bundle: a copy of \p base with \p changes applied. The caller
 *  releases it. */
LimpetBundle *limpet_bundle_new_with_changes (const LimpetBundle *base,
                                              const LimpetPart *changes,
                                              uint32_t changes_count);

/** Parses every part into the typed fields and checks them. Call it once per bundle; on
 *  failure \p error contains the path of the invalid field. */
LimpetStatus limpet_bundle_check (LimpetBundle *bundle, LimpetError *error);

/** Fills \p changes with the parts to change in \p base to get \p bundle, and returns
 *  their number. The caller frees the array with limpet_parts_free(). */
uint32_t limpet_bundle_diff (const LimpetBundle *base,
                             const LimpetBundle *bundle,
                             LimpetPart **changes);

/** Frees an array of parts, their names and their texts. */
void limpet_parts_free (LimpetPart *parts, uint32_t count);

/** Adds a reference and returns the bundle, or NULL if it is already being freed. */
LimpetBundle *limpet_bundle_ref (LimpetBundle *bundle);
/** Removes a reference; the last one frees the bundle. \p bundle may be NULL. */
void limpet_bundle_unref (LimpetBundle *bundle);

/** Returns the text of a part, owned by the bundle, or NULL. */
const char *limpet_bundle_part (const LimpetBundle *bundle, const char *name);
/** Returns the team whose bearer key hashes to \p key_hash, or NULL. */
const LimpetTeam *limpet_bundle_team (const LimpetBundle *bundle, const char *key_hash);
/** Returns a model by name, or NULL. */
const LimpetModel *limpet_bundle_model (const LimpetBundle *bundle, const char *name);
/** Returns a plain service by name, or NULL. */
const LimpetService *limpet_bundle_service (const LimpetBundle *bundle, const char *name);

/** Writes the BLAKE2b-256 hash of \p text in hexadecimal. */
void limpet_hash_text (const char *text, char hex[LIMPET_HASH_HEX_SIZE]);

#endif
