#ifndef LIMPETROAD_PRIVATE_TARGET_CONTROLLER_H
#define LIMPETROAD_PRIVATE_TARGET_CONTROLLER_H

#include "limpetroad/settings.h"
#include "limpetroad/targets.h"
#include "private/bundle_controller.h"
#include "private/controller.h"

/* Keeps the targets up to date with three threads: one polls the VM list, one polls the
 * load reports of engines, and one runs the outlier detection. */
typedef struct LimpetTargetController LimpetTargetController;

/* Called with each new VM list, from the thread that polls it. */
typedef void (*LimpetVmListObserver) (void *user, const LimpetVmList *list);

LimpetTargetController *limpet_target_controller_new (const LimpetSettings *settings,
                                                      LimpetTargets *targets,
                                                      LimpetBundleController *bundles);
/* Sets the callbacks for each VM list and for each target newly marked as slow. Call it
 * before the controller starts; either callback may be NULL. on_slow is called from the
 * thread of the outlier detection. */
void limpet_target_controller_set_observers (LimpetTargetController *controller,
                                             LimpetVmListObserver observer,
                                             void (*on_slow) (void *user),
                                             void *user);

/* Returns whether a VM list has been read since the start. Thread-safe. */
bool limpet_target_controller_is_ready (LimpetTargetController *controller);

#endif
