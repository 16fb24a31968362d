#include "limpetroad/isolation.h"

#include "limpetroad/logger.h"

#include <glib.h>

/* Failures that are further apart do not belong together. */
#define MAX_EVIDENCE_AGE_MS 3000
/* Interval of the probes of an isolated router. It doubles with each trial that fails. */
#define MIN_PROBE_INTERVAL_MS 300
#define MAX_PROBE_INTERVAL_MS 1200
/* From then on a trial may use a call that must not run twice. */
#define ANY_CALL_TRIAL_MS 5000

const char *const limpet_isolation_state_string[LIMPET_ISOLATION_STATE_COUNT] = {
  [LIMPET_ISOLATION_DIRECT] = "direct",
  [LIMPET_ISOLATION_SUSPECTED] = "suspected",
  [LIMPET_ISOLATION_ISOLATED] = "isolated",
  [LIMPET_ISOLATION_TRIAL] = "trial",
};

void
limpet_isolation_init (LimpetIsolation *isolation, const char *group)
{
  *isolation = (LimpetIsolation){ .state = LIMPET_ISOLATION_DIRECT, .group = group };
}

bool
limpet_isolation_is_isolated (const LimpetIsolation *isolation)
{
  return isolation->state == LIMPET_ISOLATION_ISOLATED
         || isolation->state == LIMPET_ISOLATION_TRIAL;
}

static void
set_state (LimpetIsolation *isolation, LimpetIsolationState state, const char *cause)
{
  if (isolation->state == state)
    return;
  limpet_log (LIMPET_LOG_NOTICE, "isolation", NULL,
              "group=%s state=%s before=%s cause=%s", isolation->group,
              limpet_isolation_state_string[state],
              limpet_isolation_state_string[isolation->state], cause);
  isolation->state = state;
}

static void
set_direct (LimpetIsolation *isolation, const char *cause)
{
  set_state (isolation, LIMPET_ISOLATION_DIRECT, cause);
  limpet_isolation_init (isolation, isolation->group);
}

static void
set_isolated (LimpetIsolation *isolation, const char *cause, LimpetMs now_ms)
{
  set_state (isolation, LIMPET_ISOLATION_ISOLATED, cause);
  isolation->pending_probes = 0;
  isolation->is_trial_running = false;
  isolation->probe_interval_ms = CLAMP (isolation->probe_interval_ms,
                                        MIN_PROBE_INTERVAL_MS, MAX_PROBE_INTERVAL_MS);
  isolation->next_probe_ms = now_ms + isolation->probe_interval_ms;
}

static bool
has_failed (const LimpetIsolation *isolation, uint32_t target_hash)
{
  for (uint32_t i = 0; i < isolation->failed_count; i++)
    if (isolation->failed_targets[i] == target_hash)
      return true;
  return false;
}

void
limpet_isolation_record_failure (LimpetIsolation *isolation,
                                 uint32_t target_hash,
                                 uint32_t targets,
                                 LimpetMs now_ms)
{
  if (isolation->state != LIMPET_ISOLATION_DIRECT)
    return;
  if (now_ms - isolation->first_failure_ms > MAX_EVIDENCE_AGE_MS)
    limpet_isolation_init (isolation, isolation->group);
  if (isolation->first_failure_ms == 0)
    isolation->first_failure_ms = now_ms;
  if (!has_failed (isolation, target_hash))
    isolation->failed_targets[isolation->failed_count++] = target_hash;
  if (isolation->failed_count < MIN (LIMPET_ISOLATION_MIN_FAILED, targets))
    return;
  isolation->since_ms = isolation->first_failure_ms;
  if (!isolation->is_refuted)
    {
      set_state (isolation, LIMPET_ISOLATION_SUSPECTED, "connections_failed");
      return;
    }
  isolation->needs_trial = true;
  set_isolated (isolation, "connections_failed", now_ms);
}

void
limpet_isolation_record_response (LimpetIsolation *isolation, bool is_new_connection)
{
  if (isolation->state == LIMPET_ISOLATION_DIRECT)
    {
      if (is_new_connection)
        limpet_isolation_init (isolation, isolation->group);
    }
  else if (isolation->is_by_silence || is_new_connection)
    set_direct (isolation, "response");
}

void
limpet_isolation_record_silence (LimpetIsolation *isolation, LimpetMs now_ms)
{
  if (limpet_isolation_is_isolated (isolation))
    return;
  isolation->since_ms = now_ms - LIMPET_ISOLATION_SILENCE_MS;
  isolation->is_by_silence = true;
  isolation->needs_trial = true;
  set_isolated (isolation, "silence", now_ms);
}

uint32_t
limpet_isolation_probes_due (LimpetIsolation *isolation, LimpetMs now_ms)
{
  if (isolation->pending_probes > 0)
    return 0;
  if (isolation->state == LIMPET_ISOLATION_SUSPECTED)
    isolation->pending_probes = LIMPET_ISOLATION_PROBES;
  else if (isolation->state == LIMPET_ISOLATION_ISOLATED
           && now_ms >= isolation->next_probe_ms)
    isolation->pending_probes = 1;
  return isolation->pending_probes;
}

void
limpet_isolation_record_probe (LimpetIsolation *isolation,
                               bool succeeded,
                               LimpetMs now_ms)
{
  if (isolation->pending_probes == 0)
    return; /* the state has changed since the probe began */
  isolation->pending_probes--;
  if (isolation->state == LIMPET_ISOLATION_SUSPECTED && succeeded)
    {
      set_state (isolation, LIMPET_ISOLATION_DIRECT, "probe");
      isolation->pending_probes = 0;
      isolation->failed_count = 0;
      isolation->is_refuted = true;
    }
  else if (isolation->state == LIMPET_ISOLATION_SUSPECTED
           && isolation->pending_probes == 0)
    set_isolated (isolation, "probes_failed", now_ms);
  else if (isolation->state == LIMPET_ISOLATION_ISOLATED && succeeded
           && !isolation->needs_trial)
    set_direct (isolation, "probe");
  else if (isolation->state == LIMPET_ISOLATION_ISOLATED && succeeded)
    {
      isolation->trial_began_ms = now_ms;
      set_state (isolation, LIMPET_ISOLATION_TRIAL, "probe");
    }
  else if (isolation->state == LIMPET_ISOLATION_ISOLATED)
    isolation->next_probe_ms = now_ms + isolation->probe_interval_ms;
}

bool
limpet_isolation_begin_trial (LimpetIsolation *isolation,
                              bool is_idempotent,
                              LimpetMs now_ms)
{
  if (isolation->state != LIMPET_ISOLATION_TRIAL || isolation->is_trial_running
      || (!is_idempotent && now_ms - isolation->trial_began_ms < ANY_CALL_TRIAL_MS))
    return false;
  isolation->is_trial_running = true;
  return true;
}

void
limpet_isolation_fail_trial (LimpetIsolation *isolation, LimpetMs now_ms)
{
  if (isolation->state != LIMPET_ISOLATION_TRIAL)
    return;
  isolation->probe_interval_ms *= 2;
  set_isolated (isolation, "trial_failed", now_ms);
}

void
limpet_isolation_cancel_trial (LimpetIsolation *isolation)
{
  isolation->is_trial_running = false;
}
