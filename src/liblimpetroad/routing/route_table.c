#include "limpetroad/route_table.h"

#include <string.h>

const char *const limpet_route_kind_string[LIMPET_ROUTE_KIND_COUNT] = {
  [LIMPET_ROUTE_KIND_SAFE] = "safe",
  [LIMPET_ROUTE_KIND_UNSAFE] = "unsafe",
  [LIMPET_ROUTE_KIND_STREAM] = "stream",
};

static void
free_route (gpointer data)
{
  LimpetRoute *route = data;

  g_free (route->host);
  g_free (route->path_prefix);
  g_free (route->weighted_services);
  g_free (route);
}

static void
free_host_routes (gpointer data)
{
  g_ptr_array_free (data, TRUE);
}

LimpetRouteTable *
limpet_route_table_new (void)
{
  LimpetRouteTable *table = g_new0 (LimpetRouteTable, 1);

  table->references = 1;
  table->routes = g_ptr_array_new_with_free_func (free_route);
  table->services = g_ptr_array_new_with_free_func (g_free);
  table->teams = g_ptr_array_new_with_free_func (g_free);
  table->by_host
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_host_routes);
  table->by_key = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  return table;
}

LimpetRouteTable *
limpet_route_table_ref (LimpetRouteTable *table)
{
  table->references++;
  return table;
}

void
limpet_route_table_unref (LimpetRouteTable *table)
{
  if (table == NULL || --table->references > 0)
    return;
  g_hash_table_destroy (table->by_host);
  g_hash_table_destroy (table->by_key);
  g_ptr_array_free (table->routes, TRUE);
  g_ptr_array_free (table->services, TRUE);
  g_ptr_array_free (table->teams, TRUE);
  g_free (table);
}

LimpetRoute *
limpet_route_table_add_route (LimpetRouteTable *table)
{
  LimpetRoute *route = g_new0 (LimpetRoute, 1);

  g_ptr_array_add (table->routes, route);
  return route;
}

LimpetRouteService *
limpet_route_table_add_service (LimpetRouteTable *table)
{
  LimpetRouteService *service = g_new0 (LimpetRouteService, 1);

  g_ptr_array_add (table->services, service);
  return service;
}

LimpetRouteTeam *
limpet_route_table_add_team (LimpetRouteTable *table)
{
  LimpetRouteTeam *team = g_new0 (LimpetRouteTeam, 1);

  g_ptr_array_add (table->teams, team);
  return team;
}

void
limpet_route_table_add_key (LimpetRouteTable *table,
                            const char *key,
                            const LimpetRouteTeam *team)
{
  g_hash_table_replace (table->by_key, g_strdup (key), (gpointer)team);
}

const LimpetRouteService *
limpet_route_table_find_service (const LimpetRouteTable *table, const char *name)
{
  for (guint i = 0; i < table->services->len; i++)
    {
      const LimpetRouteService *service = g_ptr_array_index (table->services, i);

      if (strcmp (service->name, name) == 0)
        return service;
    }
  return NULL;
}

/* Orders routes by the length of their prefix, the longest first. */
static gint
compare_prefix_lengths (gconstpointer a, gconstpointer b)
{
  const LimpetRoute *left = *(const LimpetRoute *const *)a;
  const LimpetRoute *right = *(const LimpetRoute *const *)b;
  size_t left_length = strlen (left->path_prefix);
  size_t right_length = strlen (right->path_prefix);

  return (left_length < right_length) - (left_length > right_length);
}

void
limpet_route_table_finalize (LimpetRouteTable *table)
{
  GHashTableIter iter;
  gpointer routes;

  for (guint i = 0; i < table->routes->len; i++)
    {
      LimpetRoute *route = g_ptr_array_index (table->routes, i);
      GPtrArray *host_routes = g_hash_table_lookup (table->by_host, route->host);

      for (uint32_t j = 0; j < route->weighted_services_count; j++)
        route->total_weight += route->weighted_services[j].weight;
      if (host_routes == NULL)
        {
          host_routes = g_ptr_array_new ();
          g_hash_table_insert (table->by_host, route->host, host_routes);
        }
      g_ptr_array_add (host_routes, route);
    }
  g_hash_table_iter_init (&iter, table->by_host);
  while (g_hash_table_iter_next (&iter, NULL, &routes))
    g_ptr_array_sort (routes, compare_prefix_lengths);
}

const LimpetRoute *
limpet_route_table_find_route (const LimpetRouteTable *table,
                               const char *host,
                               const char *path)
{
  char *lower_host = g_ascii_strdown (host, -1);
  const GPtrArray *routes = g_hash_table_lookup (table->by_host, lower_host);

  g_free (lower_host);
  for (guint i = 0; routes != NULL && i < routes->len; i++)
    {
      const LimpetRoute *route = g_ptr_array_index (routes, i);

      if (g_str_has_prefix (path, route->path_prefix))
        return route;
    }
  return NULL;
}

const LimpetRouteTeam *
limpet_route_table_find_team (const LimpetRouteTable *table, const char *key)
{
  return g_hash_table_lookup (table->by_key, key);
}

const LimpetRouteService *
limpet_route_pick_service (const LimpetRoute *route, uint64_t random_value)
{
  int64_t remainder;

  if (route->total_weight <= 0)
    return NULL;
  remainder = (int64_t)(random_value % (uint64_t)route->total_weight);
  for (uint32_t i = 0; i < route->weighted_services_count; i++)
    {
      remainder -= route->weighted_services[i].weight;
      if (remainder < 0)
        return route->weighted_services[i].service;
    }
  return NULL;
}
