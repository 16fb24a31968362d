#include "private/router_state.h"

#include <glib.h>
#include <string.h>

/* Weights are divided by this, so that they fit into a byte. */
#define WEIGHT_UNIT 4
#define NIBBLE_MAX 15
#define BYTE_MAX 255

static int32_t
clamp_count (int32_t value)
{
  return CLAMP (value, 0, BYTE_MAX);
}

/* Writes the count at index with 4 or 8 bits. Returns the length of out up to there, in
 * bytes. */
static size_t
put_count (uint8_t *out, uint32_t bits, uint32_t index, int32_t value)
{
  if (bits == 8)
    {
      out[index] = (uint8_t)value;
      return index + 1;
    }
  if (index % 2 == 0)
    out[index / 2] = (uint8_t)value;
  else
    out[index / 2] |= (uint8_t)(value << 4);
  return index / 2 + 1;
}

static uint8_t
get_count (const ProtobufCBinaryData *data, uint32_t bits, uint32_t index)
{
  if (data->len == 0)
    return 0;
  if (bits == 8)
    return data->data[index];
  return (data->data[index / 2] >> (index % 2 * 4)) & NIBBLE_MAX;
}

static void
pack_leaving_and_slow (Limpet__RouterState *state,
                       const LimpetTargetView *view,
                       LimpetRouterStateBuffers *buffers)
{
  state->leaving = buffers->leaving;
  state->slow_ids = buffers->slow_ids;
  state->slow_weights.data = buffers->slow_weights;
  for (uint32_t i = 0; i < view->count; i++)
    {
      const LimpetTarget *target = view->targets[i];
      int32_t weight = atomic_load (&target->own_weight);

      if (atomic_load (&target->leaving))
        buffers->leaving[state->n_leaving++] = target->id_hash;
      if (weight >= LIMPET_WEIGHT_FULL)
        continue;
      buffers->slow_ids[state->n_slow_ids++] = target->id_hash;
      buffers->slow_weights[state->slow_weights.len++] = (uint8_t)(weight / WEIGHT_UNIT);
    }
}

void
limpet_router_state_pack (Limpet__RouterState *state,
                          const LimpetTargetView *view,
                          bool with_ids,
                          LimpetRouterStateBuffers *buffers)
{
  bool any_long = false;
  size_t length = 0;

  state->count_bits = 4;
  for (uint32_t i = 0; i < view->count; i++)
    if (atomic_load (&view->targets[i]->own_inflight) > NIBBLE_MAX)
      state->count_bits = 8;
  for (uint32_t i = 0; i < view->count; i++)
    {
      int32_t own = clamp_count (atomic_load (&view->targets[i]->own_inflight));
      int32_t own_long
          = MIN (own, clamp_count (atomic_load (&view->targets[i]->own_long)));

      if (state->count_bits == 4)
        {
          own = MIN (own, NIBBLE_MAX);
          own_long = MIN (own_long, NIBBLE_MAX);
        }
      length = put_count (buffers->counts, state->count_bits, i, own);
      put_count (buffers->long_counts, state->count_bits, i, own_long);
      any_long = any_long || own_long > 0;
      buffers->ids[i] = view->targets[i]->id_hash;
    }
  state->fingerprint = view->fingerprint;
  state->counts = (ProtobufCBinaryData){ .data = buffers->counts, .len = length };
  if (any_long)
    state->long_counts
        = (ProtobufCBinaryData){ .data = buffers->long_counts, .len = length };
  if (with_ids)
    {
      state->ids = buffers->ids;
      state->n_ids = view->count;
    }
  pack_leaving_and_slow (state, view, buffers);
}

static void
set_weight (LimpetPeerLoads *loads, uint32_t id_hash, int32_t weight)
{
  for (uint32_t i = 0; i < loads->count; i++)
    if (loads->loads[i].id_hash == id_hash)
      loads->loads[i].weight = weight;
}

/* Returns whether the arrays fit a list of count targets. */
static bool
are_lengths_consistent (const Limpet__RouterState *state, uint32_t count)
{
  size_t length = state->count_bits == 8 ? count : (count + 1) / 2;

  return (state->count_bits == 4 || state->count_bits == 8) && state->counts.len == length
         && (state->long_counts.len == 0 || state->long_counts.len == length)
         && state->slow_weights.len == state->n_slow_ids;
}

bool
limpet_router_state_unpack (const Limpet__RouterState *state,
                            const LimpetTargetView *view,
                            LimpetPeerLoads *loads)
{
  bool uses_view_ids = state->n_ids == 0;
  uint32_t count = (uint32_t)state->n_ids;

  if (uses_view_ids && state->fingerprint != view->fingerprint)
    return true;
  if (uses_view_ids)
    count = view->count;
  if (count > LIMPET_MAX_TARGETS || !are_lengths_consistent (state, count))
    return false;
  limpet_router_state_clear (loads);
  loads->fingerprint = uses_view_ids ? state->fingerprint : 0;
  loads->count = count;
  loads->loads = g_new0 (LimpetPeerLoad, count + 1);
  for (uint32_t i = 0; i < count; i++)
    loads->loads[i] = (LimpetPeerLoad){
      .id_hash = uses_view_ids ? view->targets[i]->id_hash : state->ids[i],
      .inflight = get_count (&state->counts, state->count_bits, i),
      .long_inflight = get_count (&state->long_counts, state->count_bits, i),
      .weight = LIMPET_WEIGHT_FULL,
    };
  for (size_t i = 0; i < state->n_slow_ids; i++)
    set_weight (loads, state->slow_ids[i], state->slow_weights.data[i] * WEIGHT_UNIT);
  return true;
}

void
limpet_router_state_clear (LimpetPeerLoads *loads)
{
  g_free (loads->loads);
  *loads = (LimpetPeerLoads){ .count = 0 };
}

void
limpet_router_state_mark_leaving (const Limpet__RouterState *state,
                                  const LimpetTargetView *view)
{
  for (size_t i = 0; i < state->n_leaving; i++)
    {
      LimpetTarget *target = limpet_target_view_find (view, state->leaving[i]);

      if (target != NULL)
        limpet_target_mark_leaving (target, state->router);
    }
}

static const LimpetPeerLoad *
find_load (const LimpetPeerLoads *loads, const LimpetTargetView *view, uint32_t index)
{
  uint32_t id_hash = view->targets[index]->id_hash;

  if (loads->fingerprint == view->fingerprint && index < loads->count)
    return &loads->loads[index];
  for (uint32_t i = 0; i < loads->count; i++)
    if (loads->loads[i].id_hash == id_hash)
      return &loads->loads[i];
  return NULL;
}

void
limpet_router_state_sum (const LimpetTargetView *view,
                         const LimpetPeerLoads *const *loads,
                         uint32_t count,
                         LimpetMs weight_until_ms)
{
  for (uint32_t i = 0; i < view->count; i++)
    {
      LimpetTarget *target = view->targets[i];
      int32_t inflight = 0;
      int32_t long_inflight = 0;
      int32_t weight = LIMPET_WEIGHT_FULL;

      for (uint32_t p = 0; p < count; p++)
        {
          const LimpetPeerLoad *entry = find_load (loads[p], view, i);

          if (entry == NULL)
            continue;
          inflight += entry->inflight;
          long_inflight += entry->long_inflight;
          weight = MIN (weight, entry->weight);
        }
      atomic_store (&target->peers_inflight, inflight);
      atomic_store (&target->peers_long, long_inflight);
      atomic_store (&target->peers_weight, weight);
      atomic_store (&target->peers_weight_until_ms, weight_until_ms);
    }
}
