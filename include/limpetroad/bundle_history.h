#ifndef LIMPETROAD_BUNDLE_HISTORY_H
#define LIMPETROAD_BUNDLE_HISTORY_H

#include "limpetroad/bundle.h"
#include "limpetroad/settings.h"

#include <stddef.h>

/** \defgroup bundle_history Bundle history
 *  Decides from the records of the log which bundle is in force.
 *
 *  limpet_bundle_history_new() → apply each record in order of offset → read the current
 *  bundle → delete. Every reader of the same records reaches the same decisions: a roll
 *  takes force if its draft is approved and names the bundle in force as its parent, so
 * of several rolls of one parent the first by offset wins. The version only grows.
 *
 *  A history belongs to one thread.
 */

/** Stream of the log that holds the records. */
#define LIMPET_BUNDLE_STREAM "bundles"
#define LIMPET_SIGNATURE_HEX_SIZE 129

/** What one record did. */
typedef enum
{
  LIMPET_BUNDLE_EVENT_NONE
  = 0, /**< nothing: known already, or older than the one in force */
  LIMPET_BUNDLE_EVENT_DRAFTED,    /**< a draft was added */
  LIMPET_BUNDLE_EVENT_APPROVED,   /**< a valid approval was added */
  LIMPET_BUNDLE_EVENT_ROLLED,     /**< a new bundle is in force */
  LIMPET_BUNDLE_EVENT_CHECKPOINT, /**< a bundle was taken over from a checkpoint */
  LIMPET_BUNDLE_EVENT_REJECTED,   /**< the record has no effect; the error says why */
  LIMPET_BUNDLE_EVENT_GAP,        /**< a parent is missing here; ask another holder */
  LIMPET_BUNDLE_EVENT_COUNT
} LimpetBundleEvent;

/** Name of each LimpetBundleEvent. */
extern const char *const limpet_bundle_event_string[LIMPET_BUNDLE_EVENT_COUNT];

/** What shows that a bundle was approved. The signature covers parent, root and author.
 */
typedef struct
{
  int64_t version;
  int64_t parent;
  char root[LIMPET_HASH_HEX_SIZE];
  char author[LIMPET_NAME_SIZE];
  char approver[LIMPET_NAME_SIZE];
  char signature[LIMPET_SIGNATURE_HEX_SIZE];
} LimpetBundleProof;

/** A bundle that took force. */
typedef struct
{
  LimpetBundleProof proof;
  char rolled_by[LIMPET_NAME_SIZE];
  char note[LIMPET_NAME_SIZE];
  LimpetMs time_ms;
  char **changed; /**< names of the changed parts, NULL-terminated */
} LimpetRolledBundle;

typedef struct LimpetBundleHistory LimpetBundleHistory;

/** Returns an empty history. The approvers of \p settings are copied. */
LimpetBundleHistory *limpet_bundle_history_new (const LimpetSettings *settings);
/** Frees the history and its references. */
void limpet_bundle_history_delete (LimpetBundleHistory *history);

/** Applies the record at \p offset. \p error is filled for REJECTED and GAP. */
LimpetBundleEvent limpet_bundle_history_apply (LimpetBundleHistory *history,
                                               int64_t offset,
                                               LimpetMs time_ms,
                                               const char *data,
                                               size_t length,
                                               LimpetError *error);

/** Takes over a newer bundle from another holder: \p changes lead from \p base_version,
 * which is 0 for all parts, to the bundle that \p proof shows. */
LimpetStatus limpet_bundle_history_adopt (LimpetBundleHistory *history,
                                          const LimpetBundleProof *proof,
                                          int64_t base_version,
                                          const LimpetPart *changes,
                                          uint32_t changes_count,
                                          LimpetError *error);

/** Returns the bundle in force, owned by the history; version 0 if none. */
LimpetBundle *limpet_bundle_history_current (const LimpetBundleHistory *history);
/** Returns the proof of the bundle in force. */
const LimpetBundleProof *limpet_bundle_history_proof (const LimpetBundleHistory *history);

/** Fills \p changes with the parts that differ from \p base_version. Returns the version
 * that they start from: \p base_version, or 0 when it is no longer remembered. */
int64_t limpet_bundle_history_changes_since (const LimpetBundleHistory *history,
                                             int64_t base_version,
                                             LimpetPart **changes,
                                             uint32_t *count);

/** Returns the number of remembered bundles that took force. */
uint32_t limpet_bundle_history_length (const LimpetBundleHistory *history);
/** Returns one of them, the oldest first. */
const LimpetRolledBundle *limpet_bundle_history_get (const LimpetBundleHistory *history,
                                                     uint32_t index);

/** Writes the id of a draft: the hash of parent, root and author. */
void limpet_draft_id (int64_t parent,
                      const char *root,
                      const char *author,
                      char id[LIMPET_HASH_HEX_SIZE]);
/** Signs a draft id with an Ed25519 secret key given in hexadecimal. */
LimpetStatus limpet_draft_sign (const char *id,
                                const char *secret_key_hex,
                                char signature[LIMPET_SIGNATURE_HEX_SIZE],
                                LimpetError *error);
/** Returns the id of the newest draft that \p prefix fits, or NULL. */
const char *limpet_bundle_history_find_draft (const LimpetBundleHistory *history,
                                              const char *prefix);
/** Returns the bundle that a draft leads to, to be released by the caller, or NULL. */
LimpetBundle *limpet_bundle_history_preview (const LimpetBundleHistory *history,
                                             const char *id,
                                             LimpetError *error);

/** Record texts for the log; the caller frees them with g_free(). */
char *limpet_record_draft (const LimpetBundle *base,
                           const LimpetBundle *bundle,
                           const char *author,
                           const char *note,
                           char id[LIMPET_HASH_HEX_SIZE]);
char *
limpet_record_approval (const char *id, const char *approver, const char *signature);
char *limpet_record_roll (const char *id, const char *by);
char *limpet_record_checkpoint (const LimpetBundleHistory *history);

#endif
