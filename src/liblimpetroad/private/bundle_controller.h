#ifndef LIMPETROAD_PRIVATE_BUNDLE_CONTROLLER_H
#define LIMPETROAD_PRIVATE_BUNDLE_CONTROLLER_H

#include "limpetroad/bundle_history.h"
#include "limpetroad/settings.h"
#include "private/controller.h"

/* Owns the bundle in force. Reads the log, takes newer bundles from peers, and writes the
 * bundle in force again before its records expire. */
typedef struct LimpetBundleController LimpetBundleController;

LimpetBundleController *limpet_bundle_controller_new (const LimpetSettings *settings);

/* Returns the bundle in force with a reference, or NULL before there is one. */
LimpetBundle *limpet_bundle_controller_get (LimpetBundleController *controller);
int64_t limpet_bundle_controller_version (LimpetBundleController *controller);

/* Offers a newer bundle that a peer sent. */
LimpetStatus limpet_bundle_controller_adopt (LimpetBundleController *controller,
                                             const LimpetBundleProof *proof,
                                             int64_t base_version,
                                             const LimpetPart *changes,
                                             uint32_t count,
                                             LimpetError *error);

/* Fills what a peer at base_version lacks; returns the version that the changes start
 * from. */
int64_t limpet_bundle_controller_changes (LimpetBundleController *controller,
                                          int64_t base_version,
                                          LimpetBundleProof *proof,
                                          LimpetPart **changes,
                                          uint32_t *count);

/* Adds one {"version", "time_ms"} entry per bundle that took force here. */
void limpet_bundle_controller_dump_history (LimpetBundleController *controller,
                                            json_object *array);

#endif
