#include "limpetroad/software_mix.h"

#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* A mixed service is marked again after this time, well before the mark is too old. */
#define MARK_PERIOD_MS 15000
/* Average number of routers that mark a service each time. */
#define MARKING_ROUTERS 3
/* A version is stored by a few routers at each of so many moments, MARK_PERIOD_MS apart,
 * so that it is stored although each router only draws whether to do so. */
#define VERSION_DRAWS 3

typedef struct
{
  uint32_t software_hash;  /* of the last target in the last view; 0 before the first */
  bool has_several;        /* the view, or the one before it, has another one */
  LimpetMs mixed_ms;       /* when several versions were last known; 0 if never */
  LimpetMs mark_ms;        /* when this router last drew whether to mark the service */
  uint32_t stored_hash;    /* version in durable storage; 0 if none is known */
  int64_t stored_position; /* of the newest record of a version that was received */
  uint32_t draws_left;     /* of VERSION_DRAWS for the version that serves */
  uint32_t drawn_hash;     /* version that draws_left refers to */
  bool is_compared; /* the stored version has been compared with the one that serves */
} Service;

struct LimpetSoftwareMix
{
  const LimpetSoftwareMixOps *ops;
  void *user;
  GRand *random;
  GHashTable *services; /* name → Service */
  bool are_marks_known;
};

LimpetSoftwareMix *
limpet_software_mix_new (const LimpetSoftwareMixOps *ops, void *user, uint64_t seed)
{
  LimpetSoftwareMix *mix = g_new0 (LimpetSoftwareMix, 1);
  guint32 seeds[2] = { (guint32)seed, (guint32)(seed >> 32) };

  mix->ops = ops;
  mix->user = user;
  mix->random = g_rand_new_with_seed_array (seeds, 2);
  mix->services = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  return mix;
}

void
limpet_software_mix_delete (LimpetSoftwareMix *mix)
{
  if (mix == NULL)
    return;
  g_rand_free (mix->random);
  g_hash_table_destroy (mix->services);
  g_free (mix);
}

static Service *
ensure_service (LimpetSoftwareMix *mix, const char *name)
{
  Service *service = g_hash_table_lookup (mix->services, name);

  if (service == NULL)
    {
      service = g_new0 (Service, 1);
      g_hash_table_insert (mix->services, g_strdup (name), service);
    }
  return service;
}

static void
add_target (LimpetSoftwareMix *mix, const LimpetTarget *target)
{
  Service *service = ensure_service (mix, target->vm.group);

  service->has_several = service->has_several
                         || (service->software_hash != 0
                             && service->software_hash != target->software_hash);
  service->software_hash = target->software_hash;
}

static bool
is_recent (const Service *service, LimpetMs now_ms)
{
  return service->mixed_ms > 0 && now_ms - service->mixed_ms <= LIMPET_STREAM_VALIDITY_MS;
}

static void
record_mixed (LimpetSoftwareMix *mix,
              const char *name,
              Service *service,
              uint32_t routers,
              LimpetMs now_ms)
{
  bool is_new = !is_recent (service, now_ms);

  service->mixed_ms = now_ms;
  if (is_new)
    {
      limpet_log (LIMPET_LOG_NOTICE, "software", NULL,
                  "service=%s several versions serve; streams keep to theirs", name);
      if (mix->ops->on_mixed != NULL)
        mix->ops->on_mixed (mix->user, name);
    }
  if (!is_new && now_ms - service->mark_ms < MARK_PERIOD_MS)
    return;
  service->mark_ms = now_ms;
  if (g_rand_double (mix->random) * routers < MARKING_ROUTERS
      && mix->ops->on_mark != NULL)
    mix->ops->on_mark (mix->user, name);
}

/* The version that serves may have replaced the stored one while no router was there to
 * see it. */
static void
compare_with_stored (LimpetSoftwareMix *mix,
                     const char *name,
                     Service *service,
                     uint32_t routers,
                     LimpetMs now_ms)
{
  if (service->is_compared || !mix->are_marks_known || service->software_hash == 0)
    return;
  service->is_compared = true;
  if (service->stored_hash != 0 && service->stored_hash != service->software_hash)
    record_mixed (mix, name, service, routers, now_ms);
}

/* Stores the version that serves once no stream of another one can still run. */
static void
store_version (LimpetSoftwareMix *mix,
               const char *name,
               Service *service,
               uint32_t routers,
               LimpetMs now_ms)
{
  if (service->has_several || is_recent (service, now_ms) || !service->is_compared
      || service->stored_hash == service->software_hash)
    return;
  if (service->drawn_hash != service->software_hash)
    {
      service->drawn_hash = service->software_hash;
      service->draws_left = VERSION_DRAWS;
      service->mark_ms = 0;
    }
  if (service->draws_left == 0
      || (service->mark_ms > 0 && now_ms - service->mark_ms < MARK_PERIOD_MS))
    return;
  service->draws_left--;
  service->mark_ms = now_ms;
  if (g_rand_double (mix->random) * routers >= MARKING_ROUTERS)
    return;
  service->stored_hash = service->software_hash;
  if (mix->ops->on_version != NULL)
    mix->ops->on_version (mix->user, name, service->software_hash);
}

void
limpet_software_mix_update (LimpetSoftwareMix *mix,
                            const LimpetTargetView *view,
                            uint32_t routers,
                            LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer name;
  gpointer value;

  g_hash_table_iter_init (&iter, mix->services);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    ((Service *)value)->has_several = false;
  for (uint32_t i = 0; i < view->count; i++)
    add_target (mix, view->targets[i]);
  g_hash_table_iter_init (&iter, mix->services);
  while (g_hash_table_iter_next (&iter, &name, &value))
    {
      if (((Service *)value)->has_several)
        record_mixed (mix, name, value, routers, now_ms);
      compare_with_stored (mix, name, value, routers, now_ms);
      store_version (mix, name, value, routers, now_ms);
    }
}

void
limpet_software_mix_receive (LimpetSoftwareMix *mix, const char *service, LimpetMs at_ms)
{
  Service *known = ensure_service (mix, service);

  known->mixed_ms = MAX (known->mixed_ms, at_ms);
}

void
limpet_software_mix_receive_version (LimpetSoftwareMix *mix,
                                     const char *service,
                                     uint32_t software_hash,
                                     int64_t position)
{
  Service *known = ensure_service (mix, service);

  if (known->stored_hash != 0 && position <= known->stored_position)
    return; /* from a list that was read late, or from before an own record */
  known->stored_hash = software_hash;
  known->stored_position = position;
}

void
limpet_software_mix_set_marks_known (LimpetSoftwareMix *mix,
                                     uint32_t routers,
                                     LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer name;
  gpointer service;

  mix->are_marks_known = true;
  g_hash_table_iter_init (&iter, mix->services);
  while (g_hash_table_iter_next (&iter, &name, &service))
    compare_with_stored (mix, name, service, routers, now_ms);
}

bool
limpet_software_mix_need_marks (LimpetSoftwareMix *mix)
{
  if (!mix->are_marks_known && mix->ops->on_marks_needed != NULL)
    mix->ops->on_marks_needed (mix->user);
  return mix->are_marks_known;
}

bool
limpet_software_mix_is_mixed (const LimpetSoftwareMix *mix,
                              const char *service,
                              LimpetMs now_ms)
{
  const Service *known = g_hash_table_lookup (mix->services, service);

  return !mix->are_marks_known || (known != NULL && is_recent (known, now_ms));
}
