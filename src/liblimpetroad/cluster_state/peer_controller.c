#include "private/peer_state.h"

#include "limpetroad/counters.h"
#include "limpetroad/logger.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>
#include <xxhash.h>

/* Longest wait for messages before the periodic work of the thread. It is shorter while
 * an urgent digest is due. */
#define TICK_MS 20
#define URGENT_TICK_MS 2
/* Limit for the messages that other threads have queued. */
#define MAX_OUTGOING_MESSAGES 4096

/* A message queued by another thread. */
typedef struct
{
  char router[LIMPET_NAME_SIZE];
  uint8_t *data;
  size_t length;
} Outgoing;

static void
free_peer (gpointer data)
{
  LimpetPeer *peer = data;

  limpet_peer_link_delete (peer->link);
  g_free (peer->state);
  limpet_router_state_clear (&peer->loads);
  g_free (peer);
}

static void
free_outgoing (gpointer data)
{
  Outgoing *outgoing = data;

  g_free (outgoing->data);
  g_free (outgoing);
}

LimpetPeer *
limpet_peer_find (const LimpetPeerController *self, const char *name)
{
  for (guint i = 0; i < self->peers->len; i++)
    {
      LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (strcmp (peer->vm.id, name) == 0)
        return peer;
    }
  return NULL;
}

static bool
is_listed (const LimpetVmList *list, const LimpetPeer *peer)
{
  for (uint32_t i = 0; i < list->count; i++)
    if (list->vms[i].kind == LIMPET_VM_ROUTER
        && strcmp (list->vms[i].id, peer->vm.id) == 0
        && strcmp (list->vms[i].address, peer->vm.address) == 0
        && list->vms[i].port == peer->vm.port)
      return true;
  return false;
}

static int
compare_names (const void *a, const void *b)
{
  return strcmp ((*(LimpetPeer *const *)a)->vm.id, (*(LimpetPeer *const *)b)->vm.id);
}

static void
add_peer (LimpetPeerController *self, const LimpetVm *vm)
{
  LimpetPeer *peer;

  if (vm->kind != LIMPET_VM_ROUTER || strcmp (vm->id, self->settings->name) == 0
      || limpet_peer_find (self, vm->id) != NULL)
    return;
  peer = g_new0 (LimpetPeer, 1);
  peer->vm = *vm;
  g_ptr_array_add (self->peers, peer);
  g_ptr_array_sort (self->peers, compare_names);
  limpet_log (LIMPET_LOG_NOTICE, "peers", vm->id, "added from the VM list, at %s:%d",
              vm->address, (int)vm->port);
}

/* A peer that is no longer listed is kept while it is alive, because the list may lag. */
void
limpet_peer_controller_update (void *controller, const LimpetVmList *list)
{
  LimpetPeerController *self = controller;

  pthread_mutex_lock (&self->lock);
  for (guint i = self->peers->len; i > 0; i--)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i - 1);

      if (!is_listed (list, peer) && !peer->alive)
        g_ptr_array_remove_index (self->peers, i - 1);
    }
  for (uint32_t i = 0; i < list->count; i++)
    add_peer (self, &list->vms[i]);
  pthread_mutex_unlock (&self->lock);
}

LimpetPeerLink *
limpet_peer_ensure_link (LimpetPeerController *self, LimpetPeer *peer)
{
  if (peer->link == NULL)
    {
      peer->link
          = limpet_peer_link_new (self->transport, peer->vm.address, (int)peer->vm.port);
      peer->link_created_ms = limpet_clock_mono_ms ();
    }
  return peer->link;
}

bool
limpet_peer_send (LimpetPeerController *self,
                  LimpetPeer *peer,
                  const Limpet__Envelope *envelope,
                  size_t *length)
{
  *length = limpet__envelope__get_packed_size (envelope);
  if (*length > sizeof self->message)
    return false;
  limpet__envelope__pack (envelope, self->message);
  return limpet_peer_link_send (limpet_peer_ensure_link (self, peer), self->message,
                                *length);
}

static void
handle_message (LimpetPeerController *self, const Limpet__Envelope *envelope)
{
  switch (envelope->body_case)
    {
    case LIMPET__ENVELOPE__BODY_DIGEST:
      limpet_peer_digest_handle (self, envelope->digest);
      break;
    case LIMPET__ENVELOPE__BODY_BUNDLE_REQUEST:
      limpet_peer_bundle_handle_request (self, envelope->bundle_request);
      break;
    case LIMPET__ENVELOPE__BODY_BUNDLE_PARTS:
      limpet_peer_bundle_handle_parts (self, envelope->bundle_parts);
      break;
    case LIMPET__ENVELOPE__BODY__NOT_SET:
      limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
      break;
    default:
      if (self->handler != NULL)
        self->handler (self->handler_user, envelope);
      break;
    }
}

static void
receive_all (LimpetPeerController *self)
{
  int length;

  while ((length = limpet_peer_transport_receive (self->transport, self->message,
                                                  sizeof self->message))
         >= 0)
    {
      Limpet__Envelope *envelope
          = limpet__envelope__unpack (NULL, (size_t)length, self->message);

      if (envelope == NULL)
        {
          limpet_counter_add (LIMPET_COUNTER_PEER_MALFORMED, 1);
          continue;
        }
      handle_message (self, envelope);
      limpet__envelope__free_unpacked (envelope, NULL);
    }
}

static void
send_outgoing (LimpetPeerController *self)
{
  Outgoing *outgoing;

  pthread_mutex_lock (&self->lock);
  while ((outgoing = g_queue_pop_head (self->outgoing)) != NULL)
    {
      LimpetPeer *peer = limpet_peer_find (self, outgoing->router);

      if (peer != NULL)
        {
          limpet_peer_link_send (limpet_peer_ensure_link (self, peer), outgoing->data,
                                 outgoing->length);
          self->send_budget_bytes
              -= (double)(outgoing->length + LIMPET_PEER_OVERHEAD_BYTES);
        }
      free_outgoing (outgoing);
    }
  pthread_mutex_unlock (&self->lock);
}

static void
run (void *user)
{
  LimpetPeerController *self = user;

  while (!limpet_worker_is_stopping (&self->worker))
    {
      LimpetMs now_ms;

      limpet_peer_transport_wait (self->transport, self->wake_fd,
                                  atomic_load (&self->urgent) ? URGENT_TICK_MS : TICK_MS);
      receive_all (self);
      send_outgoing (self);
      now_ms = limpet_clock_mono_ms ();
      limpet_peer_digest_check_timeouts (self, now_ms);
      limpet_peer_digest_send_due (self, now_ms);
      limpet_peer_bundle_request_newer (self, now_ms);
    }
}

static void
wake (LimpetPeerController *self)
{
  uint64_t one = 1;

  if (write (self->wake_fd, &one, sizeof one) < 0)
    return;
}

void
limpet_peer_controller_send (LimpetPeerController *self,
                             const char *router,
                             const Limpet__Envelope *envelope)
{
  Outgoing *outgoing = g_new0 (Outgoing, 1);

  g_strlcpy (outgoing->router, router, sizeof outgoing->router);
  outgoing->length = limpet__envelope__get_packed_size (envelope);
  outgoing->data = g_malloc (outgoing->length + 1);
  limpet__envelope__pack (envelope, outgoing->data);
  pthread_mutex_lock (&self->lock);
  if (self->outgoing->length < MAX_OUTGOING_MESSAGES)
    g_queue_push_tail (self->outgoing, outgoing);
  else
    free_outgoing (outgoing);
  pthread_mutex_unlock (&self->lock);
  wake (self);
}

void
limpet_peer_controller_drain (LimpetPeerController *self)
{
  pthread_mutex_lock (&self->lock);
  self->draining = true;
  pthread_mutex_unlock (&self->lock);
}

void
limpet_peer_controller_set_handler (LimpetPeerController *self,
                                    LimpetPeerHandler handler,
                                    void *user)
{
  self->handler = handler;
  self->handler_user = user;
}

/* A router with its rendezvous hashing score for one shard; the highest score owns it. */
typedef struct
{
  const char *name;
  uint64_t score;
} Candidate;

static int
compare_candidates (const void *a, const void *b)
{
  uint64_t left = ((const Candidate *)a)->score;
  uint64_t right = ((const Candidate *)b)->score;

  return (left < right) - (left > right);
}

static void
add_candidate (GArray *candidates, const char *name, uint32_t shard)
{
  Candidate candidate = { .name = name, .score = XXH64 (name, strlen (name), shard) };

  g_array_append_val (candidates, candidate);
}

bool
limpet_peer_controller_ranked_router (LimpetPeerController *self,
                                      uint32_t shard,
                                      uint32_t rank,
                                      char name[LIMPET_NAME_SIZE])
{
  GArray *candidates = g_array_new (FALSE, FALSE, sizeof (Candidate));
  bool found;

  pthread_mutex_lock (&self->lock);
  add_candidate (candidates, self->settings->name, shard);
  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);

      if (peer->alive && !peer->draining)
        add_candidate (candidates, peer->vm.id, shard);
    }
  g_array_sort (candidates, compare_candidates);
  found = rank < candidates->len;
  if (found)
    g_strlcpy (name, g_array_index (candidates, Candidate, rank).name, LIMPET_NAME_SIZE);
  pthread_mutex_unlock (&self->lock);
  g_array_free (candidates, TRUE);
  return found;
}

void
limpet_peer_controller_request_digest (void *controller)
{
  LimpetPeerController *self = controller;

  if (!atomic_exchange (&self->urgent, true))
    wake (self);
}

static void
start (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;
  LimpetError error;

  self->transport = limpet_peer_transport_new (self->settings, &error);
  if (self->transport == NULL)
    {
      limpet_log (LIMPET_LOG_ERROR, error.step, NULL, "%s", error.message);
      _exit (1);
    }
  limpet_worker_start (&self->worker, run, self);
}

static void
stop (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;

  limpet_worker_stop (&self->worker);
}

static void
dump (LimpetController *controller, json_object *object)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;
  json_object *array = json_object_new_array ();
  LimpetMs now_ms = limpet_clock_mono_ms ();

  pthread_mutex_lock (&self->lock);
  for (guint i = 0; i < self->peers->len; i++)
    {
      const LimpetPeer *peer = g_ptr_array_index (self->peers, i);
      json_object *entry = json_object_new_object ();

      json_object_object_add (entry, "name", json_object_new_string (peer->vm.id));
      json_object_object_add (entry, "alive", json_object_new_boolean (peer->alive));
      json_object_object_add (entry, "draining",
                              json_object_new_boolean (peer->draining));
      json_object_object_add (entry, "version",
                              json_object_new_int64 (peer->bundle_version));
      json_object_object_add (
          entry, "heard_ago_ms",
          json_object_new_int64 (
              peer->state_received_ms > 0 ? now_ms - peer->state_received_ms : -1));
      json_object_array_add (array, entry);
    }
  pthread_mutex_unlock (&self->lock);
  json_object_object_add (object, "list", array);
}

static void
free_controller (LimpetController *controller)
{
  LimpetPeerController *self = (LimpetPeerController *)controller;

  g_ptr_array_free (self->peers, TRUE);
  g_queue_free_full (self->outgoing, free_outgoing);
  limpet_peer_transport_delete (self->transport);
  close (self->wake_fd);
  pthread_mutex_destroy (&self->lock);
  g_free (self);
}

static const LimpetControllerOps ops = {
  .name = "peers",
  .start = start,
  .stop = stop,
  .dump = dump,
  .free = free_controller,
};

LimpetPeerController *
limpet_peer_controller_new (const LimpetSettings *settings,
                            LimpetTargets *targets,
                            LimpetBundleController *bundles,
                            LimpetAdmission *admission)
{
  LimpetPeerController *self = g_new0 (LimpetPeerController, 1);

  self->parent.ops = &ops;
  self->settings = settings;
  self->targets = targets;
  self->bundles = bundles;
  self->admission = admission;
  self->incarnation = (uint64_t)limpet_clock_wall_ms ();
  self->budget_refilled_ms = limpet_clock_mono_ms ();
  self->wake_fd = eventfd (0, EFD_NONBLOCK | EFD_CLOEXEC);
  self->peers = g_ptr_array_new_with_free_func (free_peer);
  self->outgoing = g_queue_new ();
  pthread_mutex_init (&self->lock, NULL);
  limpet_admission_set_near_bound_callback (admission,
                                            limpet_peer_controller_request_digest, self);
  return self;
}
