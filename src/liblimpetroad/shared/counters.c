#include "limpetroad/counters.h"

#include <glib.h>
#include <inttypes.h>
#include <stdatomic.h>

const char *const limpet_counter_string[LIMPET_COUNTER_COUNT] = {
  [LIMPET_COUNTER_CALLS] = "calls_total",
  [LIMPET_COUNTER_CHATS] = "chats_total",
  [LIMPET_COUNTER_ORDERS] = "orders_total",
  [LIMPET_COUNTER_DONE] = "outcome_done_total",
  [LIMPET_COUNTER_NOT_RUN] = "outcome_not_run_total",
  [LIMPET_COUNTER_FAILED] = "outcome_failed_total",
  [LIMPET_COUNTER_UNKNOWN] = "outcome_unknown_total",
  [LIMPET_COUNTER_UNAUTHORIZED] = "unauthorized_total",
  [LIMPET_COUNTER_REFUSED_ADMISSION] = "admission_refused_total",
  [LIMPET_COUNTER_QUEUED] = "admission_queued_total",
  [LIMPET_COUNTER_ATTEMPTS] = "attempts_total",
  [LIMPET_COUNTER_RETRIES] = "retries_total",
  [LIMPET_COUNTER_HEDGES] = "hedges_total",
  [LIMPET_COUNTER_HEDGES_WON] = "hedges_won_total",
  [LIMPET_COUNTER_RESUMES] = "stream_resumes_total",
  [LIMPET_COUNTER_BUDGET_EXHAUSTED] = "retry_budget_exhausted_total",
  [LIMPET_COUNTER_WRONG_ATTEMPT_ID] = "wrong_attempt_id_total",
  [LIMPET_COUNTER_OFFSET_MISMATCH] = "token_offset_mismatch_total",
  [LIMPET_COUNTER_STALLS] = "stream_stalls_total",
  [LIMPET_COUNTER_TARGET_REFUSALS] = "target_refusals_total",
  [LIMPET_COUNTER_CALLER_LEFT] = "caller_left_total",
  [LIMPET_COUNTER_QUARANTINED] = "quarantined_total",
  [LIMPET_COUNTER_MEMORY_REFUSALS] = "memory_refusals_total",
  [LIMPET_COUNTER_MEMORY_CUTS] = "memory_cuts_total",
  [LIMPET_COUNTER_IDLE_CALLERS_CLOSED] = "idle_callers_closed_total",
  [LIMPET_COUNTER_CALLERS_TURNED_AWAY] = "callers_turned_away_total",
  [LIMPET_COUNTER_RELAYED] = "relayed_attempts_total",
  [LIMPET_COUNTER_TUNNELS] = "tunnels_total",
  [LIMPET_COUNTER_RELAY_FAILED] = "relay_failures_total",
  [LIMPET_COUNTER_CLOSE_ENDED] = "close_ended_responses_total",
  [LIMPET_COUNTER_TOKENS] = "tokens_total",
  [LIMPET_COUNTER_OFF_FIRST_CHOICE] = "off_first_choice_total",
  [LIMPET_COUNTER_SLOW_MARKS] = "slow_marks_total",
  [LIMPET_COUNTER_BUNDLE_ROLLS] = "bundle_rolls_total",
  [LIMPET_COUNTER_BUNDLE_REJECTED] = "bundle_rejected_total",
  [LIMPET_COUNTER_BUNDLE_FROM_PEER] = "bundle_from_peer_total",
  [LIMPET_COUNTER_CHECKPOINTS] = "bundle_checkpoints_total",
  [LIMPET_COUNTER_CLAIMS] = "claims_total",
  [LIMPET_COUNTER_CLAIMS_LOST] = "claims_lost_total",
  [LIMPET_COUNTER_CLAIM_APPENDS] = "claim_appends_total",
  [LIMPET_COUNTER_CLAIM_REAPPENDS] = "claim_reappends_total",
  [LIMPET_COUNTER_CLAIM_FORWARDS] = "claim_forwards_total",
  [LIMPET_COUNTER_DIGESTS_SENT] = "digests_sent_total",
  [LIMPET_COUNTER_DIGESTS_RECEIVED] = "digests_received_total",
  [LIMPET_COUNTER_PEER_MALFORMED] = "peer_malformed_total",
  [LIMPET_COUNTER_PEER_SEND_FAILURES] = "peer_send_failures_total",
  [LIMPET_COUNTER_PEER_SENT_BYTES] = "peer_sent_bytes_total",
  [LIMPET_COUNTER_PEER_RECEIVED_BYTES] = "peer_received_bytes_total",
  [LIMPET_COUNTER_LOG_SENT_BYTES] = "log_sent_bytes_total",
  [LIMPET_COUNTER_LOG_RECEIVED_BYTES] = "log_received_bytes_total",
  [LIMPET_COUNTER_PROBE_SENT_BYTES] = "probe_sent_bytes_total",
  [LIMPET_COUNTER_PROBE_RECEIVED_BYTES] = "probe_received_bytes_total",
};

static _Atomic uint64_t counter_values[LIMPET_COUNTER_COUNT];

void
limpet_counter_add (LimpetCounter counter, uint64_t amount)
{
  atomic_fetch_add_explicit (&counter_values[counter], amount, memory_order_relaxed);
}

uint64_t
limpet_counter_value (LimpetCounter counter)
{
  return atomic_load_explicit (&counter_values[counter], memory_order_relaxed);
}

char *
limpet_counters_render (void)
{
  GString *text = g_string_new (NULL);

  for (int i = 0; i < LIMPET_COUNTER_COUNT; i++)
    g_string_append_printf (text, "# TYPE limpet_%s counter\nlimpet_%s %" PRIu64 "\n",
                            limpet_counter_string[i], limpet_counter_string[i],
                            limpet_counter_value (i));
  return g_string_free (text, FALSE);
}
