#include "private/gossip_suspects.h"

#include "private/gossip_loads.h"

#include <glib.h>

static uint32_t
age_of (LimpetMs at_ms, LimpetMs now_ms)
{
  return (uint32_t)CLAMP (now_ms - at_ms, 0, UINT32_MAX - 1);
}

static LimpetMs
time_of (uint32_t age_ms, LimpetMs now_ms)
{
  return now_ms - (LimpetMs)age_ms - LIMPET_GOSSIP_HOP_MS;
}

void
limpet_gossip_suspects_encode (LimpetGossipSuspects *suspects,
                               const LimpetSuspect *records,
                               uint32_t count,
                               LimpetMs now_ms,
                               GossipMessage *message)
{
  for (uint32_t i = 0; i < count; i++)
    {
      const LimpetSuspect *record = &records[i];
      SuspectRecord *encoded = &suspects->records[i];

      suspect_record__init (encoded);
      encoded->id = record->id;
      encoded->depth = record->depth;
      encoded->quarantined = record->is_quarantined;
      encoded->success_age_plus_1_ms
          = record->success_ms > 0 ? age_of (record->success_ms, now_ms) + 1 : 0;
      encoded->pending = record->is_pending;
      encoded->pending_age_plus_1_ms
          = record->pending_ms > 0 ? age_of (record->pending_ms, now_ms) + 1 : 0;
      for (uint32_t j = 0; j < record->crash_count; j++)
        {
          suspects->targets[i][j] = record->crashes[j].target_hash;
          suspects->ages_ms[i][j] = age_of (record->crashes[j].at_ms, now_ms);
        }
      encoded->n_crashed_targets = encoded->n_crash_ages_ms = record->crash_count;
      encoded->crashed_targets = suspects->targets[i];
      encoded->crash_ages_ms = suspects->ages_ms[i];
      suspects->pointers[i] = encoded;
    }
  message->suspects = suspects->pointers;
  message->n_suspects = count;
}

bool
limpet_gossip_suspects_decode (const SuspectRecord *received,
                               LimpetMs now_ms,
                               LimpetSuspect *record)
{
  if (received->n_crashed_targets > LIMPET_QUARANTINE_MAX_CRASHES
      || received->n_crash_ages_ms != received->n_crashed_targets)
    return false;
  *record = (LimpetSuspect){
    .id = received->id,
    .depth = received->depth,
    .is_quarantined = received->quarantined,
    .is_pending = received->pending,
    .crash_count = (uint32_t)received->n_crashed_targets,
  };
  if (received->success_age_plus_1_ms > 0)
    record->success_ms = time_of (received->success_age_plus_1_ms - 1, now_ms);
  if (received->pending_age_plus_1_ms > 0)
    record->pending_ms = time_of (received->pending_age_plus_1_ms - 1, now_ms);
  for (uint32_t i = 0; i < record->crash_count; i++)
    record->crashes[i] = (LimpetSuspectCrash){
      .target_hash = received->crashed_targets[i],
      .at_ms = time_of (received->crash_ages_ms[i], now_ms),
    };
  return true;
}
