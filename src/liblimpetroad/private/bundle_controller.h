#ifndef LIMPETROAD_PRIVATE_BUNDLE_CONTROLLER_H
#define LIMPETROAD_PRIVATE_BUNDLE_CONTROLLER_H

#include "limpetroad/bundle_history.h"
#include "limpetroad/settings.h"
#include "private/controller.h"

/* Provides the bundle in force to all threads. Reads the log, accepts newer bundles from
 * peers, and appends a checkpoint of the bundle in force before its records expire in the
 * log. */
typedef struct LimpetBundleController LimpetBundleController;

LimpetBundleController *limpet_bundle_controller_new (const LimpetSettings *settings);

/* Returns the bundle in force, or NULL if there is none yet. The caller releases it. */
LimpetBundle *limpet_bundle_controller_get (LimpetBundleController *controller);
/* Returns the version in force, 0 if there is none yet. */
int64_t limpet_bundle_controller_version (LimpetBundleController *controller);

/* Puts in force a newer bundle from a peer; see limpet_bundle_history_adopt(). */
LimpetStatus limpet_bundle_controller_adopt (LimpetBundleController *controller,
                                             const LimpetBundleProof *proof,
                                             int64_t base_version,
                                             const LimpetPart *changes,
                                             uint32_t count,
                                             LimpetError *error);

/* Fills the changes and the proof for a peer at base_version and returns the version to
 * apply them to; see limpet_bundle_history_changes_since(). */
int64_t limpet_bundle_controller_changes_since (LimpetBundleController *controller,
                                                int64_t base_version,
                                                LimpetBundleProof *proof,
                                                LimpetPart **changes,
                                                uint32_t *count);

/* Adds one {"version", "time_ms"} entry to array for each of the latest bundles that
 * this process put in force. */
void limpet_bundle_controller_dump_history (LimpetBundleController *controller,
                                            json_object *array);

#endif
