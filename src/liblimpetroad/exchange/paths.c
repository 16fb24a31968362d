#include "private/paths.h"

#include "limpetroad/isolation.h"
#include "private/upstream.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string.h>

/* Interval of the keepalive probes between routers: one that has lost its power does not
 * close the connections that it relays. */
#define KEEPALIVE_INTERVAL_S 1

/* The own paths to the targets of one group (service): links may be cut to the targets of
 * some services only. */
typedef struct
{
  LimpetExchange *exchange;
  char *name;
  LimpetIsolation isolation;
  LimpetMs heard_ms; /* when bytes of any of its targets last arrived; 0 before that */
  LimpetMs connected_ms; /* when an own connection was last established; 0 if none was */
  uint32_t connected_hash; /* of the target to which it was */
  bool was_isolated;       /* the isolation that has been acted on */
} PathGroup;

static void
free_group (gpointer data)
{
  PathGroup *group = data;

  g_free (group->name);
  g_free (group);
}

void
limpet_paths_init (LimpetExchange *exchange)
{
  exchange->path_groups
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, free_group);
}

void
limpet_paths_clear (LimpetExchange *exchange)
{
  g_hash_table_destroy (exchange->path_groups);
}

static PathGroup *
group_of (LimpetExchange *exchange, const LimpetTarget *target)
{
  PathGroup *group = g_hash_table_lookup (exchange->path_groups, target->vm.group);

  if (group == NULL)
    {
      group = g_new0 (PathGroup, 1);
      group->exchange = exchange;
      group->name = g_strdup (target->vm.group);
      limpet_isolation_init (&group->isolation, group->name);
      g_hash_table_insert (exchange->path_groups, group->name, group);
    }
  return group;
}

static bool
is_member (const PathGroup *group, const LimpetTarget *target)
{
  return strcmp (target->vm.group, group->name) == 0 && !atomic_load (&target->leaving);
}

static uint32_t
count_targets (const PathGroup *group, const LimpetTargetView *view)
{
  uint32_t count = 0;

  for (uint32_t i = 0; i < view->count; i++)
    count += is_member (group, view->targets[i]);
  return count;
}

/* Forgets what the cut links made this router believe of the targets. */
static void
forgive_targets (PathGroup *group)
{
  LimpetExchange *exchange = group->exchange;
  LimpetTargetView *view = limpet_targets_snapshot (exchange->targets);

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];

      if (!is_member (group, target))
        continue;
      atomic_store (&target->failures, 0);
      atomic_store (&target->failed_until_ms, 0);
      atomic_store (&target->unreachable_ms, 0);
      if (!limpet_paths_may_use_pool (exchange, target))
        limpet_upstream_pool_clear (target);
    }
  limpet_target_view_release (view);
  limpet_pending_crashes_probe_group (exchange, group->name);
  limpet_dispatch_targets_changed (exchange->dispatch);
}

/* Acts on a change between isolated and not. */
static void
apply_state (PathGroup *group)
{
  bool is_isolated = limpet_isolation_is_isolated (&group->isolation);

  if (group->was_isolated == is_isolated)
    return;
  group->was_isolated = is_isolated;
  forgive_targets (group);
}

void
limpet_paths_record_connected (LimpetExchange *exchange, const LimpetTarget *target)
{
  PathGroup *group = group_of (exchange, target);

  group->connected_ms = limpet_clock_mono_ms ();
  group->connected_hash = target->id_hash;
}

LimpetMs
limpet_paths_other_connected_ms (LimpetExchange *exchange, const LimpetTarget *target)
{
  const PathGroup *group = group_of (exchange, target);

  return group->connected_hash != target->id_hash ? group->connected_ms : 0;
}

void
limpet_paths_probe_other (LimpetExchange *exchange, const LimpetTarget *target)
{
  const PathGroup *group = group_of (exchange, target);
  LimpetTargetView *view = limpet_targets_snapshot (exchange->targets);
  LimpetTarget *newest = NULL;

  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *other = view->targets[i];

      if (other != target && is_member (group, other)
          && atomic_load (&other->failures) == 0
          && (newest == NULL || other->joined_ms > newest->joined_ms))
        newest = other;
    }
  if (newest != NULL)
    limpet_upstream_probe_directly (exchange, newest);
  limpet_target_view_release (view);
}

void
limpet_paths_record_bytes (LimpetExchange *exchange,
                           LimpetTarget *target,
                           bool is_new_connection)
{
  PathGroup *group = group_of (exchange, target);

  exchange->heard_ms = limpet_clock_mono_ms ();
  group->heard_ms = exchange->heard_ms;
  target->heard_ms = exchange->heard_ms;
  limpet_isolation_record_response (&group->isolation, is_new_connection);
  apply_state (group);
}

void
limpet_paths_record_failure (LimpetExchange *exchange, const LimpetTarget *target)
{
  PathGroup *group;
  LimpetTargetView *view;

  if (exchange->relay_ops == NULL)
    return;
  group = group_of (exchange, target);
  view = limpet_targets_snapshot (exchange->targets);
  limpet_isolation_record_failure (&group->isolation, target->id_hash,
                                   count_targets (group, view), limpet_clock_mono_ms ());
  limpet_target_view_release (view);
}

static void
record_probe (PathGroup *group, bool succeeded)
{
  limpet_isolation_record_probe (&group->isolation, succeeded, limpet_clock_mono_ms ());
  apply_state (group);
}

void
limpet_paths_record_probe (LimpetExchange *exchange,
                           const LimpetTarget *target,
                           bool succeeded)
{
  record_probe (group_of (exchange, target), succeeded);
}

void
limpet_paths_fail_trial (LimpetExchange *exchange, const LimpetTarget *target)
{
  limpet_isolation_fail_trial (&group_of (exchange, target)->isolation,
                               limpet_clock_mono_ms ());
}

void
limpet_paths_cancel_trial (LimpetExchange *exchange, const LimpetTarget *target)
{
  limpet_isolation_cancel_trial (&group_of (exchange, target)->isolation);
}

bool
limpet_paths_are_isolated (LimpetExchange *exchange, const LimpetTarget *target)
{
  return limpet_isolation_is_isolated (&group_of (exchange, target)->isolation);
}

uint32_t
limpet_paths_choose_relay (LimpetExchange *exchange, const LimpetTarget *target)
{
  if (exchange->relay_ops == NULL || !limpet_paths_are_isolated (exchange, target))
    return 0;
  return exchange->relay_ops->pick (exchange->relay_user);
}

bool
limpet_paths_begin_trial (const LimpetTask *task, const LimpetTarget *target)
{
  return limpet_isolation_begin_trial (&group_of (task->exchange, target)->isolation,
                                       limpet_call_is_idempotent (&task->call),
                                       limpet_clock_mono_ms ());
}

bool
limpet_paths_may_use_pool (LimpetExchange *exchange, const LimpetTarget *target)
{
  const LimpetIsolation *isolation = &group_of (exchange, target)->isolation;

  return !limpet_isolation_is_isolated (isolation)
         || target->heard_ms > isolation->since_ms;
}

bool
limpet_paths_relay_for_others (LimpetExchange *exchange)
{
  GHashTableIter iter;
  gpointer value;
  bool has_path = g_hash_table_size (exchange->path_groups) == 0;

  g_hash_table_iter_init (&iter, exchange->path_groups);
  while (!has_path && g_hash_table_iter_next (&iter, NULL, &value))
    has_path = !limpet_isolation_is_isolated (&((PathGroup *)value)->isolation);
  return has_path && exchange->has_tunnel_port && !exchange->is_draining;
}

/* Returns whether all connections that await a response are silent, for longer if they
 * are to one target only. */
static bool
are_all_silent (const PathGroup *group, LimpetMs now_ms)
{
  LimpetMs oldest_ms = now_ms - LIMPET_ISOLATION_SILENCE_MS;
  LimpetMs one_oldest_ms = now_ms - LIMPET_ISOLATION_ONE_TARGET_SILENCE_MS;
  const LimpetTarget *silent = NULL;

  if (group->heard_ms > oldest_ms)
    return false;
  for (GList *link = group->exchange->tasks.head; link != NULL; link = link->next)
    {
      const LimpetTask *task = link->data;

      if (task->upstream == NULL || task->upstream->relay_address != 0 || !task->is_sent
          || task->sent_ms > oldest_ms || !is_member (group, task->target))
        continue;
      if ((silent != NULL && silent != task->target)
          || MAX (task->sent_ms, group->heard_ms) <= one_oldest_ms)
        return true;
      silent = task->target;
    }
  return false;
}

static void
check_trials (LimpetExchange *exchange, LimpetMs now_ms)
{
  for (GList *link = exchange->tasks.head; link != NULL; link = link->next)
    {
      LimpetUpstream *upstream = ((LimpetTask *)link->data)->upstream;

      if (upstream == NULL || !upstream->is_trial)
        continue;
      /* Other calls may have shown that the own links are sound. */
      if (!limpet_paths_are_isolated (exchange, upstream->target))
        upstream->is_trial = false;
      if (!upstream->is_trial
          || now_ms - upstream->task->sent_ms < LIMPET_ISOLATION_TRIAL_MS)
        continue;
      limpet_upstream_fail_trial (upstream);
      return; /* the list may have changed; the next one follows in 100 ms */
    }
}

/* Starts probes of random targets, first of those that have not failed. */
static void
start_probes (PathGroup *group, uint32_t count)
{
  LimpetExchange *exchange = group->exchange;
  LimpetTargetView *view = limpet_targets_snapshot (exchange->targets);
  uint32_t first
      = view->count > 0 ? (uint32_t)g_random_int_range (0, (gint32)view->count) : 0;
  uint32_t started = 0;

  for (int pass = 0; pass < 2; pass++)
    for (uint32_t i = 0; i < view->count && started < count; i++)
      {
        LimpetTarget *target = view->targets[(first + i) % view->count];
        bool has_failed = atomic_load (&target->failures) > 0;

        if (!is_member (group, target) || has_failed != (pass == 1))
          continue;
        limpet_upstream_probe_path (exchange, target);
        started++;
      }
  limpet_target_view_release (view);
  for (; started < count; started++)
    record_probe (group, false);
}

static void
check_group (PathGroup *group, LimpetMs now_ms)
{
  uint32_t probes;

  if (are_all_silent (group, now_ms))
    limpet_isolation_record_silence (&group->isolation, now_ms);
  apply_state (group);
  probes = limpet_isolation_probes_due (&group->isolation, now_ms);
  if (probes > 0)
    start_probes (group, probes);
}

void
limpet_paths_check (LimpetExchange *exchange, LimpetMs now_ms)
{
  GHashTableIter iter;
  gpointer group;

  if (exchange->relay_ops == NULL)
    return;
  check_trials (exchange, now_ms);
  g_hash_table_iter_init (&iter, exchange->path_groups);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    check_group (group, now_ms);
}

void
limpet_paths_render_metrics (LimpetExchange *exchange, GString *out)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, exchange->path_groups);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const PathGroup *group = value;

      g_string_append_printf (out, "limpetroad_isolated{group=\"%s\"} %d\n", group->name,
                              limpet_isolation_is_isolated (&group->isolation));
    }
}

int
limpet_paths_bind (LimpetExchange *exchange, uv_tcp_t *tcp)
{
  struct sockaddr_in address;
  int enabled = 1;
  uv_os_fd_t fd;
  int code;

  if (exchange->relay_ops == NULL)
    return 0;
  /* The port is chosen when connecting, so that connections to different targets may
   * share it. */
  if (uv_fileno ((uv_handle_t *)tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof enabled);
  code = uv_ip4_addr (exchange->relay_address, 0, &address);
  return code != 0 ? code : uv_tcp_bind (tcp, (struct sockaddr *)&address, 0);
}

/* Lets the connection fail if sent bytes, or probes of an idle connection, are not
 * acknowledged within LIMPET_TCP_USER_TIMEOUT_MS. */
static void
set_timeouts (uv_tcp_t *tcp, bool has_keepalive)
{
  unsigned int user_timeout_ms = LIMPET_TCP_USER_TIMEOUT_MS;
  int interval_s = KEEPALIVE_INTERVAL_S;
  uv_os_fd_t fd;

  uv_tcp_nodelay (tcp, 1);
  if (uv_fileno ((uv_handle_t *)tcp, &fd) != 0)
    return;
  if (has_keepalive)
    {
      uv_tcp_keepalive (tcp, 1, KEEPALIVE_INTERVAL_S);
      setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval_s, sizeof interval_s);
    }
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &user_timeout_ms,
              sizeof user_timeout_ms);
}

void
limpet_paths_set_target_options (uv_tcp_t *tcp)
{
  set_timeouts (tcp, false);
}

void
limpet_paths_set_router_options (uv_tcp_t *tcp)
{
  set_timeouts (tcp, true);
}
