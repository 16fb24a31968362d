#ifndef LIMPETROAD_PRIVATE_TARGET_CONTROLLER_H
#define LIMPETROAD_PRIVATE_TARGET_CONTROLLER_H

#include "limpetroad/settings.h"
#include "limpetroad/targets.h"
#include "private/bundle_controller.h"
#include "private/controller.h"

/* Keeps the targets up to date: the VM list, the load reports and the slow marks. */
typedef struct LimpetTargetController LimpetTargetController;

/* Called with each VM list, from the controller's thread. */
typedef void (*LimpetVmListObserver) (void *user, const LimpetVmList *list);

LimpetTargetController *limpet_target_controller_new (const LimpetSettings *settings,
                                                      LimpetTargets *targets,
                                                      LimpetBundleController *bundles);
/* Sets the observers of the VM list and of new slow marks. */
void limpet_target_controller_observe (LimpetTargetController *controller,
                                       LimpetVmListObserver observer,
                                       void (*on_slow) (void *user),
                                       void *user);

/* Returns whether a VM list has been read. */
bool limpet_target_controller_is_ready (LimpetTargetController *controller);

#endif
