#include "limpetroad/software_mix.h"

#include "limpetroad/logger.h"

#include <glib.h>
#include <string.h>

/* A mixed service is marked again after this time, well before the mark is too old. */
#define MARK_PERIOD_MS 15000
/* Average number of routers that mark a service each time. */
#define MARKING_ROUTERS 3

typedef struct
{
  uint32_t software_hash; /* of the last target in the last view; 0 before the first */
  bool has_several;       /* the view, or the one before it, has another one */
  LimpetMs mixed_ms;      /* when several versions were last known; 0 if never */
  LimpetMs mark_ms;       /* when this router last drew whether to mark the service */
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
    if (((Service *)value)->has_several)
      record_mixed (mix, name, value, routers, now_ms);
}

void
limpet_software_mix_receive (LimpetSoftwareMix *mix, const char *service, LimpetMs at_ms)
{
  Service *known = ensure_service (mix, service);

  known->mixed_ms = MAX (known->mixed_ms, at_ms);
}

void
limpet_software_mix_set_marks_known (LimpetSoftwareMix *mix)
{
  mix->are_marks_known = true;
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
