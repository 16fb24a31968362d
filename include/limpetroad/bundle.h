#ifndef LIMPETROAD_BUNDLE_H
#define LIMPETROAD_BUNDLE_H

#include "limpetroad/clock.h"
#include "limpetroad/limits.h"
#include "limpetroad/status.h"

#include <stdbool.h>
#include <stdint.h>

/** \defgroup bundle Bundle
 *  What operators declare: the fleet's policy, models, teams and plain services.
 *
 *  A bundle is a set of named parts ("fleet", "model/NAME", "team/NAME", "service/NAME"),
 *  each a JSON text. limpet_bundle_new_from_file(), or limpet_bundle_new_changed() from
 * an older bundle → limpet_bundle_check() → read → limpet_bundle_unref(). A checked
 * bundle is immutable and may be shared between threads.
 */

/** One part. A change with a NULL text removes the part. */
typedef struct
{
  char *name;
  char *text;
} LimpetPart;

/** Settings of the whole fleet. */
typedef struct
{
  char policy[LIMPET_NAME_SIZE]; /**< name of the routing policy */
  int64_t load_bound_percent;    /**< load of an engine over the mean load */
  int64_t long_share_percent;    /**< part of an engine's slots open to long work */
  int64_t long_tokens;           /**< a request that may produce more is long work */
  int64_t reserve_percent;       /**< slots kept for teams within their share */
  int64_t queue_limit;           /**< requests waiting in one router */
  int64_t queue_wait_ms;         /**< longest wait for a slot */
  int64_t default_deadline_ms;   /**< time to the first token, unless the caller says */
  int64_t retry_percent;         /**< retries and hedges over first attempts */
  int64_t slow_ratio_percent;    /**< a target slower than its peers by this is slow */
  int64_t set_aside_percent;     /**< targets that may be set aside at once */
  int64_t order_window_ms;       /**< age at which an idempotency key expires */
} LimpetFleetPart;

/** A team, known by the hash of its bearer key. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char key_hash[LIMPET_HASH_HEX_SIZE]; /**< BLAKE2b-256 of the bearer key */
  int64_t share;                       /**< weight against the other teams */
  int64_t priority;                    /**< higher goes first */
} LimpetTeam;

/** A model served by engines. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  int64_t context_tokens; /**< longest prompt and answer together */
} LimpetModel;

/** A plain service. */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  bool idempotent;     /**< its calls may be repeated */
  bool checks_fencing; /**< it refuses an old fencing number */
  int64_t timeout_ms;
} LimpetService;

typedef struct LimpetBundle LimpetBundle;

/** A bundle. Read the typed fields after limpet_bundle_check(). */
struct LimpetBundle
{
  int64_t version; /**< offset of its roll in the log; 0 before that */
  char root[LIMPET_HASH_HEX_SIZE];
  LimpetPart *parts; /**< ordered by name */
  uint32_t parts_count;
  LimpetFleetPart fleet;
  LimpetTeam *teams; /**< ordered by key_hash */
  uint32_t teams_count;
  uint64_t shares_total;
  LimpetModel *models;
  uint32_t models_count;
  LimpetService *services;
  uint32_t services_count;
};

/** Returns the empty bundle, parent of the first one. */
LimpetBundle *limpet_bundle_new_empty (void);

/** Reads the operators' form: {"fleet": …, "models": …, "teams": …, "services": …}. */
LimpetBundle *limpet_bundle_new_from_file (const char *path, LimpetError *error);

/** Returns \p base with \p changes applied, not yet checked. */
LimpetBundle *limpet_bundle_new_changed (const LimpetBundle *base,
                                         const LimpetPart *changes,
                                         uint32_t changes_count);

/** Parses and checks every part, naming the path of a wrong field. */
LimpetStatus limpet_bundle_check (LimpetBundle *bundle, LimpetError *error);

/** Fills \p changes (an array to free with limpet_parts_free()) that lead from \p base to
 *  \p bundle; returns their number. */
uint32_t limpet_bundle_diff (const LimpetBundle *base,
                             const LimpetBundle *bundle,
                             LimpetPart **changes);

/** Frees an array of parts. */
void limpet_parts_free (LimpetPart *parts, uint32_t count);

/** Takes a reference unless the bundle is being freed. Returns NULL in that case. */
LimpetBundle *limpet_bundle_ref (LimpetBundle *bundle);
/** Drops a reference; frees the bundle with the last one. */
void limpet_bundle_unref (LimpetBundle *bundle);

/** Returns the text of a part, or NULL. */
const char *limpet_bundle_part (const LimpetBundle *bundle, const char *name);
/** Returns the team whose bearer key hashes to \p key_hash, or NULL. */
const LimpetTeam *limpet_bundle_team (const LimpetBundle *bundle, const char *key_hash);
/** Returns a model by name, or NULL. */
const LimpetModel *limpet_bundle_model (const LimpetBundle *bundle, const char *name);
/** Returns a plain service by name, or NULL. */
const LimpetService *limpet_bundle_service (const LimpetBundle *bundle, const char *name);

/** Writes the BLAKE2b-256 of \p text in hexadecimal. */
void limpet_hash_text (const char *text, char hex[LIMPET_HASH_HEX_SIZE]);

#endif
