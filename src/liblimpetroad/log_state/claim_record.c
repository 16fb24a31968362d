#include "private/claim_record.h"

#include "private/schema.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static void
clear_outcome_entry (gpointer data)
{
  g_free (((LimpetOutcomeEntry *)data)->outcome.body);
}

LimpetClaimRecord *
limpet_claim_record_new (void)
{
  LimpetClaimRecord *record = g_new0 (LimpetClaimRecord, 1);

  record->claims = g_array_new (FALSE, TRUE, sizeof (LimpetClaimEntry));
  record->outcomes = g_array_new (FALSE, TRUE, sizeof (LimpetOutcomeEntry));
  g_array_set_clear_func (record->outcomes, clear_outcome_entry);
  return record;
}

void
limpet_claim_record_delete (LimpetClaimRecord *record)
{
  if (record == NULL)
    return;
  g_array_free (record->claims, TRUE);
  g_array_free (record->outcomes, TRUE);
  g_free (record);
}

static json_object *
format_ids (const LimpetClaimId *key, const LimpetClaimId *attempt)
{
  json_object *entry = json_object_new_object ();
  char hex[2 * LIMPET_CLAIM_ID_BYTES + 1];

  limpet_claim_id_to_hex (key, hex);
  json_object_object_add (entry, "k", json_object_new_string (hex));
  limpet_claim_id_to_hex (attempt, hex);
  json_object_object_add (entry, "a", json_object_new_string (hex));
  return entry;
}

static json_object *
format_claim (const LimpetClaimEntry *claim)
{
  json_object *entry = format_ids (&claim->key, &claim->attempt);
  char hash[17];

  g_snprintf (hash, sizeof hash, "%016" PRIx64, claim->request_hash);
  json_object_object_add (entry, "h", json_object_new_string (hash));
  json_object_object_add (entry, "i", json_object_new_int64 (claim->issued_ms));
  return entry;
}

static json_object *
format_outcome (const LimpetOutcomeEntry *outcome)
{
  json_object *entry = format_ids (&outcome->key, &outcome->attempt);

  json_object_object_add (entry, "o", json_object_new_int (outcome->outcome.kind));
  json_object_object_add (entry, "c", json_object_new_int (outcome->outcome.code));
  json_object_object_add (entry, "t",
                          json_object_new_string (outcome->outcome.content_type));
  if (outcome->outcome.body != NULL)
    json_object_object_add (entry, "b", json_object_new_string (outcome->outcome.body));
  return entry;
}

char *
limpet_claim_record_format (const LimpetClaimRecord *record)
{
  json_object *root = json_object_new_object ();
  json_object *claims = json_object_new_array ();
  json_object *outcomes = json_object_new_array ();
  char *text;

  for (guint i = 0; i < record->claims->len; i++)
    json_object_array_add (
        claims, format_claim (&g_array_index (record->claims, LimpetClaimEntry, i)));
  for (guint i = 0; i < record->outcomes->len; i++)
    json_object_array_add (outcomes, format_outcome (&g_array_index (
                                         record->outcomes, LimpetOutcomeEntry, i)));
  json_object_object_add (root, "claims", claims);
  json_object_object_add (root, "outcomes", outcomes);
  json_object_object_add (root, "p", json_object_new_int64 (record->previous_offset));
  json_object_object_add (root, "pt", json_object_new_int64 (record->previous_time_ms));
  text = g_strdup (json_object_to_json_string_ext (root, JSON_C_TO_STRING_PLAIN));
  json_object_put (root);
  return text;
}

static bool
parse_ids (json_object *entry, LimpetClaimId *key, LimpetClaimId *attempt)
{
  return json_object_is_type (entry, json_type_object)
         && limpet_claim_id_from_hex (
             key, json_object_get_string (json_object_object_get (entry, "k")))
         && limpet_claim_id_from_hex (
             attempt, json_object_get_string (json_object_object_get (entry, "a")));
}

static void
parse_claim (LimpetClaimRecord *record, json_object *entry)
{
  LimpetClaimEntry claim = { .issued_ms = 0 };
  const char *hash;

  if (!parse_ids (entry, &claim.key, &claim.attempt))
    return;
  hash = json_object_get_string (json_object_object_get (entry, "h"));
  claim.request_hash = hash != NULL ? g_ascii_strtoull (hash, NULL, 16) : 0;
  claim.issued_ms = json_object_get_int64 (json_object_object_get (entry, "i"));
  g_array_append_val (record->claims, claim);
}

static void
parse_outcome (LimpetClaimRecord *record, json_object *entry)
{
  LimpetOutcomeEntry outcome = { .outcome = { .body = NULL } };
  const char *type;
  int kind;

  if (!parse_ids (entry, &outcome.key, &outcome.attempt))
    return;
  kind = json_object_get_int (json_object_object_get (entry, "o"));
  if (kind < 0 || kind >= LIMPET_OUTCOME_COUNT)
    return;
  outcome.outcome.kind = kind;
  outcome.outcome.code = json_object_get_int (json_object_object_get (entry, "c"));
  type = json_object_get_string (json_object_object_get (entry, "t"));
  g_strlcpy (outcome.outcome.content_type, type != NULL ? type : "",
             sizeof outcome.outcome.content_type);
  outcome.outcome.body
      = g_strdup (json_object_get_string (json_object_object_get (entry, "b")));
  g_array_append_val (record->outcomes, outcome);
}

static void
parse_array (LimpetClaimRecord *record,
             json_object *root,
             const char *key,
             void (*parse) (LimpetClaimRecord *record, json_object *entry))
{
  json_object *array = json_object_object_get (root, key);

  if (!json_object_is_type (array, json_type_array))
    return;
  for (size_t i = 0; i < json_object_array_length (array); i++)
    parse (record, json_object_array_get_idx (array, i));
}

LimpetClaimRecord *
limpet_claim_record_parse (const char *text, size_t length)
{
  LimpetError error;
  json_object *root = limpet_schema_parse (text, length, "claims", &error);
  LimpetClaimRecord *record = NULL;

  if (json_object_is_type (root, json_type_object))
    {
      record = limpet_claim_record_new ();
      parse_array (record, root, "claims", parse_claim);
      parse_array (record, root, "outcomes", parse_outcome);
      record->previous_offset
          = json_object_get_int64 (json_object_object_get (root, "p"));
      record->previous_time_ms
          = json_object_get_int64 (json_object_object_get (root, "pt"));
    }
  json_object_put (root);
  return record;
}
