#include "ctl.h"

#include "private/schema.h"

#include <fcntl.h>
#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

#define KEY_FILE_MODE 0600
/* 40 characters of Z85 and the NUL. */
#define CURVE_KEY_TEXT_SIZE 41
#define SECRET_KEY_HEX_SIZE (2 * crypto_sign_SECRETKEYBYTES + 1)

/* Content of an approver's key file; the caller frees secret_key with g_free(). */
typedef struct
{
  char name[LIMPET_NAME_SIZE];
  char public_key[LIMPET_HASH_HEX_SIZE];
  char *secret_key;
} KeyFile;

static const LimpetField key_fields[] = {
  { "name", LIMPET_FIELD_NAME, offsetof (KeyFile, name), true, 0, 0, NULL },
  { "public_key", LIMPET_FIELD_HEX, offsetof (KeyFile, public_key), true, 0, 0, NULL },
  { "secret_key", LIMPET_FIELD_STRING, offsetof (KeyFile, secret_key), true, 0, 0, NULL },
  { .key = NULL },
};

/* Creates a file that only its owner can read. An existing file is not overwritten. */
static int
create_secret_file (const char *path, const char *text)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_EXCL, KEY_FILE_MODE);
  size_t length = strlen (text);
  bool written;

  if (fd < 0)
    {
      fprintf (stderr,
               "limpetctl: cannot create %s; existing files are not overwritten\n", path);
      return CTL_EXIT_FAILED;
    }
  written = write (fd, text, length) == (ssize_t)length;
  return close (fd) == 0 && written ? CTL_EXIT_OK : CTL_EXIT_FAILED;
}

int
ctl_keygen (Ctl *ctl, char **arguments)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];
  char public_hex[LIMPET_HASH_HEX_SIZE];
  char secret_hex[SECRET_KEY_HEX_SIZE];
  json_object *object = json_object_new_object ();
  int exit_code;

  crypto_sign_keypair (public_key, secret_key);
  sodium_bin2hex (public_hex, sizeof public_hex, public_key, sizeof public_key);
  sodium_bin2hex (secret_hex, sizeof secret_hex, secret_key, sizeof secret_key);
  json_object_object_add (object, "name", json_object_new_string (arguments[0]));
  json_object_object_add (object, "public_key", json_object_new_string (public_hex));
  json_object_object_add (object, "secret_key", json_object_new_string (secret_hex));
  exit_code = create_secret_file (arguments[1], json_object_to_json_string (object));
  json_object_object_del (object, "secret_key");
  if (exit_code == CTL_EXIT_OK)
    ctl_print (ctl, object);
  else
    json_object_put (object);
  return exit_code;
}

int
ctl_peer_keygen (Ctl *ctl, char **arguments)
{
  char public_key[CURVE_KEY_TEXT_SIZE];
  char secret_key[CURVE_KEY_TEXT_SIZE];
  int exit_code;

  (void)ctl;
  if (zmq_curve_keypair (public_key, secret_key) != 0)
    return CTL_EXIT_FAILED;
  exit_code = create_secret_file (arguments[0], secret_key);
  if (exit_code == CTL_EXIT_OK)
    puts (public_key);
  return exit_code;
}

int
ctl_hash (Ctl *ctl, char **arguments)
{
  char hash[LIMPET_HASH_HEX_SIZE];

  (void)ctl;
  limpet_hash_text (arguments[0], hash);
  puts (hash);
  return CTL_EXIT_OK;
}

int
ctl_check (Ctl *ctl, char **arguments)
{
  LimpetError error;
  LimpetBundle *bundle = limpet_bundle_new_from_file (arguments[0], &error);
  json_object *object;

  if (bundle == NULL)
    return ctl_report_error (&error);
  object = json_object_new_object ();
  json_object_object_add (object, "root", json_object_new_string (bundle->root));
  json_object_object_add (object, "parts", json_object_new_int64 (bundle->parts_count));
  json_object_object_add (object, "teams", json_object_new_int64 (bundle->teams_count));
  json_object_object_add (object, "models", json_object_new_int64 (bundle->models_count));
  json_object_object_add (object, "services",
                          json_object_new_int64 (bundle->services_count));
  ctl_print (ctl, object);
  limpet_bundle_unref (bundle);
  return CTL_EXIT_OK;
}

int
ctl_show (Ctl *ctl, char **arguments)
{
  LimpetError error;
  const LimpetBundle *bundle;
  json_object *object;
  json_object *parts = json_object_new_object ();

  (void)arguments;
  if (ctl_replay (ctl, 0, &error) != LIMPET_STATUS_OK)
    {
      json_object_put (parts);
      return ctl_report_error (&error);
    }
  bundle = limpet_bundle_history_current (ctl->history);
  object = json_object_new_object ();
  json_object_object_add (object, "version", json_object_new_int64 (bundle->version));
  json_object_object_add (object, "root", json_object_new_string (bundle->root));
  for (uint32_t i = 0; i < bundle->parts_count; i++)
    json_object_object_add (parts, bundle->parts[i].name,
                            json_tokener_parse (bundle->parts[i].text));
  json_object_object_add (object, "parts", parts);
  ctl_print (ctl, object);
  return CTL_EXIT_OK;
}

int
ctl_diff (Ctl *ctl, char **arguments)
{
  LimpetError error;
  LimpetBundle *bundle = limpet_bundle_new_from_file (arguments[0], &error);
  LimpetPart *changes = NULL;
  uint32_t count;
  json_object *object;

  if (bundle == NULL || ctl_replay (ctl, 0, &error) != LIMPET_STATUS_OK)
    {
      limpet_bundle_unref (bundle);
      return ctl_report_error (&error);
    }
  count = limpet_bundle_diff (limpet_bundle_history_current (ctl->history), bundle,
                              &changes);
  object = json_object_new_object ();
  for (uint32_t i = 0; i < count; i++)
    json_object_object_add (object, changes[i].name,
                            changes[i].text != NULL ? json_tokener_parse (changes[i].text)
                                                    : NULL);
  ctl_print (ctl, object);
  limpet_parts_free (changes, count);
  limpet_bundle_unref (bundle);
  return CTL_EXIT_OK;
}

/* Searches the log from an offset for a record whose append got no response. */
static LimpetStatus
find_appended_record (
    Ctl *ctl, const char *record, int64_t from, int64_t *offset, LimpetError *error)
{
  LimpetLogBatch batch;
  LimpetStatus status
      = ctl->log->ops->read (ctl->log, LIMPET_BUNDLE_STREAM, from, 0, &batch, error);

  if (status != LIMPET_STATUS_OK)
    return status;
  status = LIMPET_STATUS_NOT_FOUND;
  for (uint32_t i = 0; i < batch.count && status != LIMPET_STATUS_OK; i++)
    if (strcmp (batch.records[i].data, record) == 0)
      {
        *offset = batch.records[i].offset;
        status = LIMPET_STATUS_OK;
      }
  limpet_log_batch_clear (&batch);
  if (status == LIMPET_STATUS_NOT_FOUND)
    limpet_error_set (error, LIMPET_STATUS_TIMEOUT, "append", ctl->settings.log_url,
                      "no response to the append, and the record is not in the log yet");
  return status;
}

/* Appends a record. If the log does not respond, reads the log to find the offset. */
static LimpetStatus
append_record (Ctl *ctl, const char *record, int64_t *offset, LimpetError *error)
{
  int64_t from = ctl->next_offset;
  LimpetStatus status = ctl->log->ops->append (ctl->log, LIMPET_BUNDLE_STREAM, record,
                                               strlen (record), offset, error);

  if (status == LIMPET_STATUS_TIMEOUT || status == LIMPET_STATUS_BROKEN)
    return find_appended_record (ctl, record, from, offset, error);
  return status;
}

/* Applies the records up to and including offset to the history. Sets *event to the
 * effect of the record at offset, and error to the reason if it is rejected. */
static LimpetStatus
apply_record_at (Ctl *ctl, int64_t offset, LimpetBundleEvent *event, LimpetError *error)
{
  LimpetLogBatch batch;
  LimpetStatus status;

  status = ctl_replay (ctl, offset - 1, error);
  if (status != LIMPET_STATUS_OK)
    return status;
  status = ctl->log->ops->read (ctl->log, LIMPET_BUNDLE_STREAM, offset, 0, &batch, error);
  if (status != LIMPET_STATUS_OK)
    return status;
  *event = LIMPET_BUNDLE_EVENT_NONE;
  if (batch.count > 0)
    *event = limpet_bundle_history_apply (ctl->history, offset, batch.records[0].time_ms,
                                          batch.records[0].data, batch.records[0].length,
                                          error);
  limpet_log_batch_clear (&batch);
  return LIMPET_STATUS_OK;
}

static int
append_and_print (Ctl *ctl, const char *record, const char *draft)
{
  LimpetError error;
  LimpetBundleEvent event = LIMPET_BUNDLE_EVENT_NONE;
  int64_t offset = 0;
  json_object *object;

  if (append_record (ctl, record, &offset, &error) != LIMPET_STATUS_OK
      || apply_record_at (ctl, offset, &event, &error) != LIMPET_STATUS_OK)
    return ctl_report_error (&error);
  if (event == LIMPET_BUNDLE_EVENT_REJECTED || event == LIMPET_BUNDLE_EVENT_GAP)
    return ctl_report_error (&error);
  object = json_object_new_object ();
  json_object_object_add (object, "draft", json_object_new_string (draft));
  json_object_object_add (object, "event",
                          json_object_new_string (limpet_bundle_event_string[event]));
  json_object_object_add (object, "offset", json_object_new_int64 (offset));
  if (event == LIMPET_BUNDLE_EVENT_ROLLED)
    json_object_object_add (
        object, "version",
        json_object_new_int64 (limpet_bundle_history_current (ctl->history)->version));
  ctl_print (ctl, object);
  return CTL_EXIT_OK;
}

static int
publish_draft (Ctl *ctl, const LimpetBundle *bundle)
{
  const LimpetBundle *base = limpet_bundle_history_current (ctl->history);
  char id[LIMPET_HASH_HEX_SIZE];
  char *record;
  int exit_code;

  if (strcmp (base->root, bundle->root) == 0)
    {
      fprintf (stderr, "limpetctl: draft: nothing differs from version %" PRId64 "\n",
               base->version);
      return CTL_EXIT_FAILED;
    }
  record = limpet_bundle_format_draft (base, bundle, ctl->author,
                                       ctl->note != NULL ? ctl->note : "", id);
  exit_code = append_and_print (ctl, record, id);
  g_free (record);
  return exit_code;
}

static bool
require_option (const char *value, const char *option)
{
  if (value == NULL)
    fprintf (stderr, "limpetctl: this command needs %s\n", option);
  return value != NULL;
}

int
ctl_draft (Ctl *ctl, char **arguments)
{
  LimpetError error;
  LimpetBundle *bundle;
  int exit_code;

  if (!require_option (ctl->author, "--author"))
    return CTL_EXIT_USAGE;
  bundle = limpet_bundle_new_from_file (arguments[0], &error);
  if (bundle == NULL)
    return ctl_report_error (&error);
  if (ctl_replay (ctl, 0, &error) == LIMPET_STATUS_OK)
    exit_code = publish_draft (ctl, bundle);
  else
    exit_code = ctl_report_error (&error);
  limpet_bundle_unref (bundle);
  return exit_code;
}

static LimpetStatus
read_key_file (const char *path, KeyFile *key, LimpetError *error)
{
  char *text = NULL;
  size_t length = 0;
  json_object *root;
  LimpetStatus status = limpet_schema_read_file (path, &text, &length, error);

  if (status != LIMPET_STATUS_OK)
    return status;
  root = limpet_schema_parse (text, length, path, error);
  status = root != NULL ? limpet_schema_read (root, key_fields, key, path, error)
                        : LIMPET_STATUS_INVALID;
  json_object_put (root);
  sodium_memzero (text, length);
  g_free (text);
  return status;
}

/* Finds an open draft by a prefix of its id and checks that its bundle is valid. Returns
 * the id, which the history owns, or NULL. */
static const char *
find_valid_draft (Ctl *ctl, const char *prefix, LimpetError *error)
{
  const char *id;
  LimpetBundle *preview;

  if (ctl_replay (ctl, 0, error) != LIMPET_STATUS_OK)
    return NULL;
  id = limpet_bundle_history_find_draft (ctl->history, prefix);
  if (id == NULL)
    {
      limpet_error_set (error, LIMPET_STATUS_CONFLICT, "draft", NULL,
                        "no open draft has an id that starts with %.16s; version %" PRId64
                        " is in force",
                        prefix, limpet_bundle_history_current (ctl->history)->version);
      return NULL;
    }
  preview = limpet_bundle_history_preview (ctl->history, id, error);
  if (preview == NULL)
    return NULL;
  limpet_bundle_unref (preview);
  return id;
}

int
ctl_approve (Ctl *ctl, char **arguments)
{
  KeyFile key = { .secret_key = NULL };
  char signature[LIMPET_SIGNATURE_HEX_SIZE];
  char id[LIMPET_HASH_HEX_SIZE];
  LimpetError error;
  const char *found_id;
  char *record;
  int exit_code;

  if (!require_option (ctl->key_path, "--key"))
    return CTL_EXIT_USAGE;
  found_id = find_valid_draft (ctl, arguments[0], &error);
  if (found_id == NULL)
    return ctl_report_error (&error);
  g_strlcpy (id, found_id, sizeof id);
  if (read_key_file (ctl->key_path, &key, &error) != LIMPET_STATUS_OK
      || limpet_draft_sign (id, key.secret_key, signature, &error) != LIMPET_STATUS_OK)
    {
      g_free (key.secret_key);
      return ctl_report_error (&error);
    }
  record = limpet_bundle_format_approval (id, key.name, signature);
  exit_code = append_and_print (ctl, record, id);
  sodium_memzero (key.secret_key, strlen (key.secret_key));
  g_free (key.secret_key);
  g_free (record);
  return exit_code;
}

int
ctl_roll (Ctl *ctl, char **arguments)
{
  char id[LIMPET_HASH_HEX_SIZE];
  LimpetError error;
  const char *found_id;
  char *record;
  int exit_code;

  if (!require_option (ctl->by, "--by"))
    return CTL_EXIT_USAGE;
  found_id = find_valid_draft (ctl, arguments[0], &error);
  if (found_id == NULL)
    return ctl_report_error (&error);
  g_strlcpy (id, found_id, sizeof id);
  record = limpet_bundle_format_roll (id, ctl->by);
  exit_code = append_and_print (ctl, record, id);
  g_free (record);
  return exit_code;
}

int
ctl_rollback (Ctl *ctl, char **arguments)
{
  int64_t version = g_ascii_strtoll (arguments[0], NULL, 10);
  LimpetBundle *old_bundle;
  LimpetError error;
  int exit_code;

  if (!require_option (ctl->author, "--author"))
    return CTL_EXIT_USAGE;
  if (ctl_replay_to_version (ctl, version, &error) != LIMPET_STATUS_OK)
    return ctl_report_error (&error);
  old_bundle = limpet_bundle_history_current (ctl->history);
  if (version <= 0 || old_bundle->version != version)
    {
      fprintf (stderr,
               "limpetctl: rollback: version %s was not in force or is not in the log\n",
               arguments[0]);
      return CTL_EXIT_FAILED;
    }
  old_bundle = limpet_bundle_ref (old_bundle);
  if (ctl_replay (ctl, 0, &error) == LIMPET_STATUS_OK)
    exit_code = publish_draft (ctl, old_bundle);
  else
    exit_code = ctl_report_error (&error);
  limpet_bundle_unref (old_bundle);
  return exit_code;
}

static json_object *
make_history_entry (const LimpetRolledBundle *rolled)
{
  json_object *entry = json_object_new_object ();
  json_object *changed = json_object_new_array ();

  json_object_object_add (entry, "version",
                          json_object_new_int64 (rolled->proof.version));
  json_object_object_add (entry, "parent", json_object_new_int64 (rolled->proof.parent));
  json_object_object_add (entry, "author", json_object_new_string (rolled->proof.author));
  json_object_object_add (entry, "approver",
                          json_object_new_string (rolled->proof.approver));
  json_object_object_add (entry, "rolled_by", json_object_new_string (rolled->rolled_by));
  json_object_object_add (entry, "note", json_object_new_string (rolled->note));
  json_object_object_add (entry, "time_ms", json_object_new_int64 (rolled->time_ms));
  for (char **name = rolled->changed; *name != NULL; name++)
    json_object_array_add (changed, json_object_new_string (*name));
  json_object_object_add (entry, "changed", changed);
  return entry;
}

int
ctl_history (Ctl *ctl, char **arguments)
{
  LimpetError error;
  json_object *array;

  (void)arguments;
  if (ctl_replay (ctl, 0, &error) != LIMPET_STATUS_OK)
    return ctl_report_error (&error);
  array = json_object_new_array ();
  for (uint32_t i = 0; i < limpet_bundle_history_length (ctl->history); i++)
    json_object_array_add (
        array, make_history_entry (limpet_bundle_history_get (ctl->history, i)));
  ctl_print (ctl, array);
  return CTL_EXIT_OK;
}
