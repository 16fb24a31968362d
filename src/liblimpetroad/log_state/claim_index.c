#include "private/claim_index.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

struct LimpetClaimIndex
{
  GHashTable *claims;    /* LimpetClaimId → LimpetClaim */
  GHashTable *abandoned; /* LimpetClaimId of an attempt → time of its NOT_RUN */
};

guint
limpet_claim_id_hash (gconstpointer data)
{
  guint hash;

  memcpy (&hash, data, sizeof hash);
  return hash;
}

gboolean
limpet_claim_ids_match (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (LimpetClaimId)) == 0;
}

static void
free_claim (gpointer data)
{
  LimpetClaim *claim = data;

  g_free (claim->outcome.body);
  g_free (claim);
}

LimpetClaimIndex *
limpet_claim_index_new (void)
{
  LimpetClaimIndex *index = g_new0 (LimpetClaimIndex, 1);

  index->claims = g_hash_table_new_full (limpet_claim_id_hash, limpet_claim_ids_match,
                                         NULL, free_claim);
  index->abandoned = g_hash_table_new_full (limpet_claim_id_hash, limpet_claim_ids_match,
                                            g_free, g_free);
  return index;
}

void
limpet_claim_index_delete (LimpetClaimIndex *index)
{
  if (index == NULL)
    return;
  g_hash_table_destroy (index->claims);
  g_hash_table_destroy (index->abandoned);
  g_free (index);
}

const LimpetClaim *
limpet_claim_index_find (const LimpetClaimIndex *index, const LimpetClaimId *key)
{
  return g_hash_table_lookup (index->claims, key);
}

bool
limpet_claim_index_is_abandoned (const LimpetClaimIndex *index,
                                 const LimpetClaimId *attempt)
{
  return g_hash_table_contains (index->abandoned, attempt);
}

bool
limpet_claim_index_apply_claim (LimpetClaimIndex *index, const LimpetClaim *claim)
{
  const LimpetClaim *winner = limpet_claim_index_find (index, &claim->key);
  LimpetClaim *copy;

  if (limpet_claim_index_is_abandoned (index, &claim->attempt))
    return false;
  if (winner != NULL)
    return limpet_claim_id_equal (&winner->attempt, &claim->attempt);
  copy = g_new (LimpetClaim, 1);
  *copy = *claim;
  copy->has_outcome = false;
  copy->outcome = (LimpetClaimOutcome){ .body = NULL };
  g_hash_table_insert (index->claims, &copy->key, copy);
  return true;
}

static void
mark_abandoned (LimpetClaimIndex *index, const LimpetClaimId *attempt, LimpetMs time_ms)
{
  g_hash_table_replace (index->abandoned, g_memdup2 (attempt, sizeof *attempt),
                        g_memdup2 (&time_ms, sizeof time_ms));
}

void
limpet_claim_index_apply_outcome (LimpetClaimIndex *index,
                                  const LimpetClaimId *key,
                                  const LimpetClaimId *attempt,
                                  const LimpetClaimOutcome *outcome,
                                  LimpetMs time_ms)
{
  LimpetClaim *claim = g_hash_table_lookup (index->claims, key);
  bool is_winner = claim != NULL && limpet_claim_id_equal (&claim->attempt, attempt);

  if (is_winner && claim->has_outcome)
    return;
  if (outcome->kind == LIMPET_OUTCOME_NOT_RUN)
    {
      mark_abandoned (index, attempt, time_ms);
      if (is_winner)
        g_hash_table_remove (index->claims, key);
      return;
    }
  if (!is_winner)
    return;
  claim->has_outcome = true;
  claim->outcome = *outcome;
  claim->outcome.body = g_strdup (outcome->body);
}

static gboolean
claim_is_old (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return ((const LimpetClaim *)value)->time_ms < *(const LimpetMs *)user;
}

static gboolean
abandonment_is_old (gpointer key, gpointer value, gpointer user)
{
  (void)key;
  return *(const LimpetMs *)value < *(const LimpetMs *)user;
}

void
limpet_claim_index_expire (LimpetClaimIndex *index, LimpetMs oldest_ms)
{
  g_hash_table_foreach_remove (index->claims, claim_is_old, &oldest_ms);
  g_hash_table_foreach_remove (index->abandoned, abandonment_is_old, &oldest_ms);
}

uint32_t
limpet_claim_index_size (const LimpetClaimIndex *index)
{
  return g_hash_table_size (index->claims);
}

bool
limpet_claim_id_equal (const LimpetClaimId *a, const LimpetClaimId *b)
{
  return limpet_claim_ids_match (a, b);
}

bool
limpet_claim_id_from_hex (LimpetClaimId *id, const char *hex)
{
  size_t length = 0;

  return hex != NULL
         && sodium_hex2bin (id->bytes, sizeof id->bytes, hex, strlen (hex), NULL, &length,
                            NULL)
                == 0
         && length == sizeof id->bytes;
}

void
limpet_claim_id_to_hex (const LimpetClaimId *id, char hex[2 * LIMPET_CLAIM_ID_BYTES + 1])
{
  sodium_bin2hex (hex, 2 * LIMPET_CLAIM_ID_BYTES + 1, id->bytes, sizeof id->bytes);
}
