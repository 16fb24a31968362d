#include "limpetroad/bundle_history.h"

#include <glib.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <sodium.h>
#include <string.h>

void
limpet_draft_id (int64_t parent,
                 const char *root,
                 const char *author,
                 char id[LIMPET_HASH_HEX_SIZE])
{
  char *text
      = g_strdup_printf ("limpetroad-draft-1\n%" PRId64 "\n%s\n%s", parent, root, author);

  limpet_hash_text (text, id);
  g_free (text);
}

LimpetStatus
limpet_draft_sign (const char *id,
                   const char *secret_key_hex,
                   char signature[LIMPET_SIGNATURE_HEX_SIZE],
                   LimpetError *error)
{
  uint8_t secret[crypto_sign_SECRETKEYBYTES];
  uint8_t bytes[crypto_sign_BYTES];
  size_t length = 0;

  if (sodium_hex2bin (secret, sizeof secret, secret_key_hex, strlen (secret_key_hex),
                      NULL, &length, NULL)
          != 0
      || length != sizeof secret)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "sign", NULL,
                             "the secret key must be %zu hexadecimal digits",
                             2 * sizeof secret);
  crypto_sign_detached (bytes, NULL, (const uint8_t *)id, strlen (id), secret);
  sodium_bin2hex (signature, LIMPET_SIGNATURE_HEX_SIZE, bytes, sizeof bytes);
  sodium_memzero (secret, sizeof secret);
  return LIMPET_STATUS_OK;
}

static json_object *
parts_to_json (const LimpetPart *parts, uint32_t count)
{
  json_object *array = json_object_new_array ();

  for (uint32_t i = 0; i < count; i++)
    {
      json_object *entry = json_object_new_object ();
      const char *text = parts[i].text;

      json_object_object_add (entry, "name", json_object_new_string (parts[i].name));
      json_object_object_add (entry, "text",
                              text != NULL ? json_object_new_string (text) : NULL);
      json_object_array_add (array, entry);
    }
  return array;
}

static char *
serialize_and_free (json_object *object)
{
  char *text = g_strdup (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));

  json_object_put (object);
  return text;
}

static json_object *
new_record (const char *type)
{
  json_object *record = json_object_new_object ();

  json_object_object_add (record, "type", json_object_new_string (type));
  return record;
}

static void
add_string (json_object *record, const char *key, const char *value)
{
  json_object_object_add (record, key, json_object_new_string (value));
}

char *
limpet_bundle_format_draft (const LimpetBundle *base,
                            const LimpetBundle *bundle,
                            const char *author,
                            const char *note,
                            char id[LIMPET_HASH_HEX_SIZE])
{
  json_object *record = new_record ("draft");
  LimpetPart *changes = NULL;
  uint32_t count = limpet_bundle_diff (base, bundle, &changes);

  limpet_draft_id (base->version, bundle->root, author, id);
  json_object_object_add (record, "parent", json_object_new_int64 (base->version));
  add_string (record, "root", bundle->root);
  add_string (record, "author", author);
  add_string (record, "note", note);
  json_object_object_add (record, "changes", parts_to_json (changes, count));
  limpet_parts_free (changes, count);
  return serialize_and_free (record);
}

char *
limpet_bundle_format_approval (const char *id,
                               const char *approver,
                               const char *signature)
{
  json_object *record = new_record ("approval");

  add_string (record, "draft", id);
  add_string (record, "approver", approver);
  add_string (record, "signature", signature);
  return serialize_and_free (record);
}

char *
limpet_bundle_format_roll (const char *id, const char *by)
{
  json_object *record = new_record ("roll");

  add_string (record, "draft", id);
  add_string (record, "by", by);
  return serialize_and_free (record);
}

static json_object *
new_full_record (const char *type, const LimpetBundleHistory *history, int64_t version)
{
  const LimpetBundle *bundle = limpet_bundle_history_current (history);
  const LimpetBundleProof *proof = limpet_bundle_history_proof (history);
  json_object *record = new_record (type);

  json_object_object_add (record, "version", json_object_new_int64 (version));
  json_object_object_add (record, "parent", json_object_new_int64 (proof->parent));
  add_string (record, "root", proof->root);
  add_string (record, "author", proof->author);
  add_string (record, "approver", proof->approver);
  add_string (record, "signature", proof->signature);
  json_object_object_add (record, "changes",
                          parts_to_json (bundle->parts, bundle->parts_count));
  return record;
}

char *
limpet_bundle_format_checkpoint (const LimpetBundleHistory *history)
{
  int64_t version = limpet_bundle_history_current (history)->version;

  return serialize_and_free (new_full_record ("checkpoint", history, version));
}

char *
limpet_bundle_format_restoration (const LimpetBundleHistory *history,
                                  int64_t version,
                                  int64_t base_version)
{
  json_object *record = new_full_record ("restoration", history, version);

  json_object_object_add (record, "base", json_object_new_int64 (base_version));
  return serialize_and_free (record);
}
