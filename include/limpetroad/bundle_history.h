#ifndef LIMPETROAD_BUNDLE_HISTORY_H
#define LIMPETROAD_BUNDLE_HISTORY_H

#include "limpetroad/bundle.h"
#include "limpetroad/settings.h"

#include <stddef.h>

/** \defgroup bundle_history Bundle history
 *  Replays the records of the log to determine which bundle is in force.
 *
 *  Order of use: limpet_bundle_history_new(); apply each record in order of offset; read
 *  the current bundle; limpet_bundle_history_delete().
 *
 *  A draft record proposes a bundle as changes to its parent bundle, an approval record
 *  signs a draft, and a roll record puts an approved draft in force. A checkpoint record
 *  repeats the bundle in force in full. Replay is deterministic, so every reader of the
 *  same records gets the same result: a roll is effective if its draft is approved and
 *  the parent of the draft is the bundle in force. Of several such rolls with the same
 *  parent, the one with the lowest offset is therefore effective.
 *
 *  The version only increases. It is the offset of the roll, or one more than the parent
 *  if the offset is not higher: a log that lost its newest records gives out their
 *  offsets again. A restoration record names the version that it replaces, and has an
 *  effect only while this is in force. It puts in force a bundle that the log lost, or
 *  gives the bundle in force a version that is higher than all lost ones.
 *
 *  A history is not thread-safe.
 */

/** Stream of the log that holds the records. */
#define LIMPET_BUNDLE_STREAM "bundles"
/** Size of an Ed25519 signature in hexadecimal, with the terminating NUL. */
#define LIMPET_SIGNATURE_HEX_SIZE 129

/** Effect of one record. */
typedef enum
{
  LIMPET_BUNDLE_EVENT_NONE = 0,   /**< no effect: a duplicate or an older version */
  LIMPET_BUNDLE_EVENT_DRAFTED,    /**< a draft was added */
  LIMPET_BUNDLE_EVENT_APPROVED,   /**< a valid approval was added */
  LIMPET_BUNDLE_EVENT_ROLLED,     /**< a new bundle is in force */
  LIMPET_BUNDLE_EVENT_CHECKPOINT, /**< the bundle of a checkpoint is in force */
  LIMPET_BUNDLE_EVENT_RESTORED,   /**< the bundle of a restoration is in force */
  LIMPET_BUNDLE_EVENT_REJECTED,   /**< no effect; the error contains the reason */
  LIMPET_BUNDLE_EVENT_GAP, /**< no effect: parent missing; request it from a peer */
  LIMPET_BUNDLE_EVENT_COUNT
} LimpetBundleEvent;

/** Name of each LimpetBundleEvent. */
extern const char *const limpet_bundle_event_string[LIMPET_BUNDLE_EVENT_COUNT];

/** Proof that a bundle was approved. The signature covers the draft id, which is the hash
 *  of parent, root and author. */
typedef struct
{
  int64_t version;
  int64_t parent;
  char root[LIMPET_HASH_HEX_SIZE];
  char author[LIMPET_NAME_SIZE];
  char approver[LIMPET_NAME_SIZE];
  char signature[LIMPET_SIGNATURE_HEX_SIZE];
} LimpetBundleProof;

/** A bundle that is or was in force. */
typedef struct
{
  LimpetBundleProof proof;
  /** Who rolled the bundle; "another holder" if the bundle is from a peer or a
   *  checkpoint, neither of which contains the name. */
  char rolled_by[LIMPET_NAME_SIZE];
  char note[LIMPET_NAME_SIZE];
  LimpetMs time_ms; /**< wall-clock time of the roll; 0 if from a peer or a checkpoint */
  char **changed;   /**< names of the changed parts, NULL-terminated */
} LimpetRolledBundle;

typedef struct LimpetBundleHistory LimpetBundleHistory;

/** Returns an empty history. The approval rules in \p settings are copied. */
LimpetBundleHistory *limpet_bundle_history_new (const LimpetSettings *settings);
/** Returns a history that has the bundle in force of \p history, without its roll. */
LimpetBundleHistory *
limpet_bundle_history_new_in_force (const LimpetSettings *settings,
                                    const LimpetBundleHistory *history);
/** Frees the history and releases its bundle. \p history may be NULL. */
void limpet_bundle_history_delete (LimpetBundleHistory *history);

/** Applies the record at \p offset, which the log appended at \p time_ms (wall clock).
 *  Fills \p error for REJECTED and GAP. */
LimpetBundleEvent limpet_bundle_history_apply (LimpetBundleHistory *history,
                                               int64_t offset,
                                               LimpetMs time_ms,
                                               const char *data,
                                               size_t length,
                                               LimpetError *error);

/** Puts in force a newer bundle from a peer or a checkpoint, built by applying
 *  \p changes to \p base_version: the version in force, or 0 if \p changes contains all
 *  parts. Returns EXPIRED if \p proof does not describe a successor of the bundle in
 *  force (its version is not newer, or its parent is older), UNAUTHORIZED if the
 *  approval is invalid, CONFLICT if \p base_version is another version, and INVALID if
 *  the parts are invalid. */
LimpetStatus limpet_bundle_history_adopt (LimpetBundleHistory *history,
                                          const LimpetBundleProof *proof,
                                          int64_t base_version,
                                          const LimpetPart *changes,
                                          uint32_t changes_count,
                                          LimpetError *error);

/** Returns the bundle in force, owned by the history; version 0 if there is none. */
LimpetBundle *limpet_bundle_history_current (const LimpetBundleHistory *history);
/** Returns the proof of the bundle in force, owned by the history. */
const LimpetBundleProof *limpet_bundle_history_proof (const LimpetBundleHistory *history);

/** Fills \p changes with the parts that changed between \p base_version and the version
 *  in force, and returns \p base_version. If the history does not reach back to it, fills
 *  \p changes with all parts and returns 0. The caller frees the array with
 *  limpet_parts_free(). */
int64_t limpet_bundle_history_changes_since (const LimpetBundleHistory *history,
                                             int64_t base_version,
                                             LimpetPart **changes,
                                             uint32_t *count);

/** Returns the wall-clock time at which the log appended the roll of the bundle in force;
 *  0 if it was not read from the log. */
LimpetMs limpet_bundle_history_roll_time (const LimpetBundleHistory *history);
/** Returns whether both histories have the same bundle in force, under any version. */
bool limpet_bundle_history_same_bundle (const LimpetBundleHistory *history,
                                        const LimpetBundleHistory *other);

/** Returns the number of rolled bundles in the history. */
uint32_t limpet_bundle_history_length (const LimpetBundleHistory *history);
/** Returns the rolled bundle at \p index, owned by the history; 0 is the oldest. */
const LimpetRolledBundle *limpet_bundle_history_get (const LimpetBundleHistory *history,
                                                     uint32_t index);

/** Writes the id of a draft: the hash of parent, root and author. */
void limpet_draft_id (int64_t parent,
                      const char *root,
                      const char *author,
                      char id[LIMPET_HASH_HEX_SIZE]);
/** Signs a draft id with an Ed25519 secret key in hexadecimal. Returns INVALID if the key
 *  is malformed. */
LimpetStatus limpet_draft_sign (const char *id,
                                const char *secret_key_hex,
                                char signature[LIMPET_SIGNATURE_HEX_SIZE],
                                LimpetError *error);
/** Returns the id of the newest draft whose id starts with \p prefix, or NULL. The id is
 *  owned by the history. */
const char *limpet_bundle_history_find_draft (const LimpetBundleHistory *history,
                                              const char *prefix);
/** Returns the bundle that rolling a draft would put in force; the caller releases it.
 *  Returns NULL and fills \p error if the draft is missing, outdated or invalid. */
LimpetBundle *limpet_bundle_history_preview (const LimpetBundleHistory *history,
                                             const char *id,
                                             LimpetError *error);

/** Each of these functions returns the text of a log record, to be freed with g_free().
 *  limpet_bundle_format_draft() also writes the id of the draft. */
char *limpet_bundle_format_draft (const LimpetBundle *base,
                                  const LimpetBundle *bundle,
                                  const char *author,
                                  const char *note,
                                  char id[LIMPET_HASH_HEX_SIZE]);
char *limpet_bundle_format_approval (const char *id,
                                     const char *approver,
                                     const char *signature);
char *limpet_bundle_format_roll (const char *id, const char *by);
char *limpet_bundle_format_checkpoint (const LimpetBundleHistory *history);
/** The record puts the bundle in force of \p history in force as \p version, in place of
 *  \p base_version. */
char *limpet_bundle_format_restoration (const LimpetBundleHistory *history,
                                        int64_t version,
                                        int64_t base_version);

#endif
