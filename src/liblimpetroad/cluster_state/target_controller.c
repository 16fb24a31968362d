#include "private/target_controller.h"

#include "limpetroad/logger.h"
#include "private/http_client.h"
#include "private/schema.h"
#include "private/worker.h"

#include <glib.h>
#include <stdatomic.h>

#define VM_LIST_PERIOD_MS 1000
/* Interval at which the load report of the next target in the list is polled. */
#define LOAD_REPORT_PERIOD_MS 500
#define MAX_REPORT_BYTES (16 * 1024)

struct LimpetTargetController
{
  LimpetController parent;
  char *vm_list_url;
  LimpetTargets *targets;
  LimpetBundleController *bundles;
  LimpetVmListObserver observer;
  void (*on_slow) (void *user);
  void *observer_user;
  LimpetWorker list_worker;
  LimpetWorker report_worker;
  LimpetWorker health_worker;
  _Atomic bool is_ready;
  bool list_is_reachable;
};

static void
set_list_reachable (LimpetTargetController *self,
                    bool reachable,
                    const LimpetError *error)
{
  if (self->list_is_reachable != reachable)
    limpet_log (reachable ? LIMPET_LOG_NOTICE : LIMPET_LOG_WARNING, "vm_list", "platform",
                reachable ? "the VM list is reachable again"
                          : "cannot fetch the VM list: %s",
                error->message);
  self->list_is_reachable = reachable;
}

static void
poll_vm_list (void *user)
{
  LimpetTargetController *self = user;
  LimpetVmListClient *client = limpet_vm_list_client_http_new (self->vm_list_url);

  do
    {
      LimpetVmList list;
      LimpetError error;
      LimpetStatus status = client->ops->fetch (client, &list, &error);

      set_list_reachable (
          self, status == LIMPET_STATUS_OK || status == LIMPET_STATUS_UNCHANGED, &error);
      if (status != LIMPET_STATUS_OK)
        continue;
      limpet_targets_update (self->targets, &list);
      if (self->observer != NULL)
        self->observer (self->observer_user, &list);
      limpet_vm_list_clear (&list);
      atomic_store (&self->is_ready, true);
    }
  while (limpet_worker_wait (&self->list_worker, VM_LIST_PERIOD_MS));
  client->ops->free (client);
}

static void
apply_load_report (LimpetTarget *target, const LimpetHttpResponse *response)
{
  LimpetError error;
  json_object *root;
  json_object *value = NULL;

  if (response->code != 200)
    return;
  root = limpet_schema_parse_response (response->body->str, response->body->len, "report",
                                       &error);
  if (!json_object_is_type (root, json_type_object))
    goto out;
  if (json_object_object_get_ex (root, "inflight", &value))
    atomic_store (&target->reported_inflight, json_object_get_int (value));
  if (json_object_object_get_ex (root, "leaving", &value)
      && json_object_get_boolean (value))
    limpet_target_mark_leaving (target, "its load report");

out:
  json_object_put (root);
}

static void
poll_load_report (LimpetTargetController *self, LimpetHttpClient *http, uint32_t index)
{
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);
  LimpetHttpRequest request = { .method = "GET",
                                .max_body_bytes = MAX_REPORT_BYTES,
                                .timeout_ms = LIMPET_CONTROL_TIMEOUT_MS };
  LimpetHttpResponse response;
  LimpetTarget *target;

  if (view->count == 0)
    goto out;
  target = view->targets[index % view->count];
  if (target->vm.kind != LIMPET_VM_ENGINE)
    goto out;
  request.url = g_strdup_printf ("http://%s:%d/v1/load", target->vm.address,
                                 (int)target->vm.port);
  if (limpet_http_client_exchange (http, &request, &response, "report", NULL)
      == LIMPET_STATUS_OK)
    apply_load_report (target, &response);
  g_free ((char *)request.url);

out:
  limpet_target_view_release (view);
}

static void
poll_load_reports (void *user)
{
  LimpetTargetController *self = user;
  LimpetHttpClient *http = limpet_http_client_new (LIMPET_COUNTER_PROBE_SENT_BYTES,
                                                   LIMPET_COUNTER_PROBE_RECEIVED_BYTES);
  uint32_t index = 0;

  while (limpet_worker_wait (&self->report_worker, LOAD_REPORT_PERIOD_MS))
    poll_load_report (self, http, index++);
  limpet_http_client_delete (http);
}

static void
run_outlier_detection (void *user)
{
  LimpetTargetController *self = user;

  while (limpet_worker_wait (&self->health_worker, LIMPET_HEALTH_PERIOD_MS))
    {
      LimpetBundle *bundle = limpet_bundle_controller_get (self->bundles);
      LimpetTargetView *view;

      if (bundle == NULL)
        continue;
      view = limpet_targets_snapshot (self->targets);
      if (limpet_health_tick (view, &bundle->fleet, limpet_clock_mono_ms ())
          && self->on_slow != NULL)
        self->on_slow (self->observer_user);
      limpet_target_view_release (view);
      limpet_bundle_unref (bundle);
    }
}

static void
start (LimpetController *controller)
{
  LimpetTargetController *self = (LimpetTargetController *)controller;

  limpet_worker_start (&self->list_worker, poll_vm_list, self);
  limpet_worker_start (&self->report_worker, poll_load_reports, self);
  limpet_worker_start (&self->health_worker, run_outlier_detection, self);
}

static void
stop (LimpetController *controller)
{
  LimpetTargetController *self = (LimpetTargetController *)controller;

  limpet_worker_stop (&self->list_worker);
  limpet_worker_stop (&self->report_worker);
  limpet_worker_stop (&self->health_worker);
}

static json_object *
dump_target (LimpetTarget *target, LimpetMs now_ms)
{
  json_object *entry = json_object_new_object ();
  LimpetTargetLatency latency;

  pthread_mutex_lock (&target->lock);
  latency = target->latency;
  pthread_mutex_unlock (&target->lock);
  json_object_object_add (entry, "id", json_object_new_string (target->vm.id));
  json_object_object_add (
      entry, "kind", json_object_new_string (limpet_vm_kind_string[target->vm.kind]));
  json_object_object_add (entry, "zone", json_object_new_string (target->vm.zone));
  json_object_object_add (entry, "group", json_object_new_string (target->vm.group));
  json_object_object_add (entry, "slots", json_object_new_int64 (target->vm.slots));
  json_object_object_add (entry, "own",
                          json_object_new_int (atomic_load (&target->own_inflight)));
  json_object_object_add (entry, "peers",
                          json_object_new_int (atomic_load (&target->peers_inflight)));
  json_object_object_add (entry, "long",
                          json_object_new_int (limpet_target_long_inflight (target)));
  json_object_object_add (entry, "weight",
                          json_object_new_int (limpet_target_weight (target, now_ms)));
  json_object_object_add (entry, "leaving",
                          json_object_new_boolean (atomic_load (&target->leaving)));
  json_object_object_add (
      entry, "open", json_object_new_boolean (limpet_target_is_open (target, now_ms)));
  json_object_object_add (entry, "gap_ms", json_object_new_double (latency.gap_ms));
  json_object_object_add (entry, "first_ms", json_object_new_double (latency.first_ms));
  return entry;
}

static void
dump (LimpetController *controller, json_object *object)
{
  LimpetTargetController *self = (LimpetTargetController *)controller;
  json_object *array = json_object_new_array ();
  LimpetTargetView *view = limpet_targets_snapshot (self->targets);

  for (uint32_t i = 0; i < view->count; i++)
    json_object_array_add (array,
                           dump_target (view->targets[i], limpet_clock_mono_ms ()));
  json_object_object_add (object, "list", array);
  limpet_target_view_release (view);
}

static void
free_controller (LimpetController *controller)
{
  LimpetTargetController *self = (LimpetTargetController *)controller;

  g_free (self->vm_list_url);
  g_free (self);
}

static const LimpetControllerOps ops = {
  .name = "targets",
  .start = start,
  .stop = stop,
  .dump = dump,
  .free = free_controller,
};

LimpetTargetController *
limpet_target_controller_new (const LimpetSettings *settings,
                              LimpetTargets *targets,
                              LimpetBundleController *bundles)
{
  LimpetTargetController *self = g_new0 (LimpetTargetController, 1);

  self->parent.ops = &ops;
  self->vm_list_url = g_strdup (settings->vm_list_url);
  self->targets = targets;
  self->bundles = bundles;
  self->list_is_reachable = true;
  return self;
}

void
limpet_target_controller_set_observers (LimpetTargetController *self,
                                        LimpetVmListObserver observer,
                                        void (*on_slow) (void *user),
                                        void *user)
{
  self->observer = observer;
  self->on_slow = on_slow;
  self->observer_user = user;
}

bool
limpet_target_controller_is_ready (LimpetTargetController *self)
{
  return atomic_load (&self->is_ready);
}
