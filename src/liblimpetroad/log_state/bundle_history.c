#include "limpetroad/bundle_history.h"

#include "private/schema.h"

#include <glib.h>
#include <inttypes.h>
#include <sodium.h>
#include <string.h>

/* Limits a history, and how far back limpet_bundle_history_changes_since() reaches. */
#define MAX_ROLLED_BUNDLES 64
#define MAX_DRAFTS 256
/* One more is the version of a successor. */
#define MAX_OFFSET (INT64_MAX - 1)

const char *const limpet_bundle_event_string[LIMPET_BUNDLE_EVENT_COUNT] = {
  [LIMPET_BUNDLE_EVENT_NONE] = "none",
  [LIMPET_BUNDLE_EVENT_DRAFTED] = "drafted",
  [LIMPET_BUNDLE_EVENT_APPROVED] = "approved",
  [LIMPET_BUNDLE_EVENT_ROLLED] = "rolled",
  [LIMPET_BUNDLE_EVENT_CHECKPOINT] = "checkpoint",
  [LIMPET_BUNDLE_EVENT_RESTORED] = "restored",
  [LIMPET_BUNDLE_EVENT_REJECTED] = "rejected",
  [LIMPET_BUNDLE_EVENT_GAP] = "gap",
};

typedef struct
{
  char id[LIMPET_HASH_HEX_SIZE];
  int64_t parent;
  char root[LIMPET_HASH_HEX_SIZE];
  char author[LIMPET_NAME_SIZE];
  char note[LIMPET_NAME_SIZE];
  char approver[LIMPET_NAME_SIZE]; /* from the first valid approval; empty if none */
  char signature[LIMPET_SIGNATURE_HEX_SIZE];
  LimpetPart *changes;
  uint32_t changes_count;
} Draft;

struct LimpetBundleHistory
{
  LimpetApprover approvers[LIMPET_MAX_APPROVERS];
  uint32_t approvers_count;
  bool author_may_approve;
  GPtrArray *drafts; /* of Draft, oldest first */
  GPtrArray *rolled; /* of LimpetRolledBundle, oldest first */
  LimpetBundle *current;
  LimpetBundleProof proof;
  /* Records up to this offset were considered when the bundle came into force. */
  int64_t in_force_offset;
  LimpetMs roll_time_ms; /* of the bundle in force; 0 if it was not read from the log */
};

/* Parsed fields of a record. Each type of record uses some of them. */
typedef struct
{
  char id[LIMPET_HASH_HEX_SIZE];
  int64_t version;
  int64_t parent;
  int64_t base;
  char root[LIMPET_HASH_HEX_SIZE];
  char author[LIMPET_NAME_SIZE];
  char approver[LIMPET_NAME_SIZE];
  char by[LIMPET_NAME_SIZE];
  char *note;
  char *signature;
} RecordFields;

/* A field that is read by other code than limpet_schema_read(). */
#define CUSTOM_FIELD(key_)                                                               \
  {                                                                                      \
    key_, LIMPET_FIELD_CUSTOM, 0, true, 0, 0, NULL                                       \
  }
#define TEXT_FIELD(key_, type_, member_)                                                 \
  {                                                                                      \
    key_, type_, offsetof (RecordFields, member_), true, 0, 0, NULL                      \
  }
#define OFFSET_FIELD(key_, member_)                                                      \
  {                                                                                      \
    key_, LIMPET_FIELD_INT, offsetof (RecordFields, member_), true, 0, MAX_OFFSET, NULL  \
  }

static const LimpetField draft_fields[] = {
  CUSTOM_FIELD ("type"),
  OFFSET_FIELD ("parent", parent),
  TEXT_FIELD ("root", LIMPET_FIELD_HEX, root),
  TEXT_FIELD ("author", LIMPET_FIELD_NAME, author),
  TEXT_FIELD ("note", LIMPET_FIELD_STRING, note),
  CUSTOM_FIELD ("changes"),
  { .key = NULL },
};

static const LimpetField approval_fields[] = {
  CUSTOM_FIELD ("type"),
  TEXT_FIELD ("draft", LIMPET_FIELD_HEX, id),
  TEXT_FIELD ("approver", LIMPET_FIELD_NAME, approver),
  TEXT_FIELD ("signature", LIMPET_FIELD_STRING, signature),
  { .key = NULL },
};

static const LimpetField roll_fields[] = {
  CUSTOM_FIELD ("type"),
  TEXT_FIELD ("draft", LIMPET_FIELD_HEX, id),
  TEXT_FIELD ("by", LIMPET_FIELD_NAME, by),
  { .key = NULL },
};

/* clang-format off */
#define CHECKPOINT_FIELDS                                                                \
  CUSTOM_FIELD ("type"),                                                                 \
  OFFSET_FIELD ("version", version),                                                     \
  OFFSET_FIELD ("parent", parent),                                                       \
  TEXT_FIELD ("root", LIMPET_FIELD_HEX, root),                                           \
  TEXT_FIELD ("author", LIMPET_FIELD_NAME, author),                                      \
  TEXT_FIELD ("approver", LIMPET_FIELD_NAME, approver),                                  \
  TEXT_FIELD ("signature", LIMPET_FIELD_STRING, signature),                              \
  CUSTOM_FIELD ("changes")
/* clang-format on */

static const LimpetField checkpoint_fields[] = {
  CHECKPOINT_FIELDS,
  { .key = NULL },
};

static const LimpetField restoration_fields[] = {
  CHECKPOINT_FIELDS,
  OFFSET_FIELD ("base", base),
  { .key = NULL },
};

static void
free_draft (gpointer data)
{
  Draft *draft = data;

  limpet_parts_free (draft->changes, draft->changes_count);
  g_free (draft);
}

static void
free_rolled (gpointer data)
{
  LimpetRolledBundle *rolled = data;

  g_strfreev (rolled->changed);
  g_free (rolled);
}

LimpetBundleHistory *
limpet_bundle_history_new (const LimpetSettings *settings)
{
  LimpetBundleHistory *history = g_new0 (LimpetBundleHistory, 1);

  memcpy (history->approvers, settings->approvers, sizeof history->approvers);
  history->approvers_count = settings->approvers_count;
  history->author_may_approve = settings->author_may_approve;
  history->drafts = g_ptr_array_new_with_free_func (free_draft);
  history->rolled = g_ptr_array_new_with_free_func (free_rolled);
  history->current = limpet_bundle_new_empty ();
  return history;
}

LimpetBundleHistory *
limpet_bundle_history_new_in_force (const LimpetSettings *settings,
                                    const LimpetBundleHistory *history)
{
  LimpetBundleHistory *copy = limpet_bundle_history_new (settings);

  limpet_bundle_unref (copy->current);
  copy->current = limpet_bundle_ref (history->current);
  copy->proof = history->proof;
  return copy;
}

void
limpet_bundle_history_delete (LimpetBundleHistory *history)
{
  if (history == NULL)
    return;
  g_ptr_array_free (history->drafts, TRUE);
  g_ptr_array_free (history->rolled, TRUE);
  limpet_bundle_unref (history->current);
  g_free (history);
}

LimpetBundle *
limpet_bundle_history_current (const LimpetBundleHistory *history)
{
  return history->current;
}

const LimpetBundleProof *
limpet_bundle_history_proof (const LimpetBundleHistory *history)
{
  return &history->proof;
}

LimpetMs
limpet_bundle_history_roll_time (const LimpetBundleHistory *history)
{
  return history->roll_time_ms;
}

static bool
proves_same_bundle (const LimpetBundleProof *a, const LimpetBundleProof *b)
{
  return a->parent == b->parent && strcmp (a->root, b->root) == 0
         && strcmp (a->author, b->author) == 0;
}

bool
limpet_bundle_history_same_bundle (const LimpetBundleHistory *history,
                                   const LimpetBundleHistory *other)
{
  return proves_same_bundle (&history->proof, &other->proof);
}

uint32_t
limpet_bundle_history_length (const LimpetBundleHistory *history)
{
  return history->rolled->len;
}

const LimpetRolledBundle *
limpet_bundle_history_get (const LimpetBundleHistory *history, uint32_t index)
{
  return g_ptr_array_index (history->rolled, index);
}

static Draft *
find_draft (const LimpetBundleHistory *history, const char *prefix)
{
  for (guint i = history->drafts->len; i > 0; i--)
    {
      Draft *draft = g_ptr_array_index (history->drafts, i - 1);

      if (g_str_has_prefix (draft->id, prefix))
        return draft;
    }
  return NULL;
}

const char *
limpet_bundle_history_find_draft (const LimpetBundleHistory *history, const char *prefix)
{
  const Draft *draft = find_draft (history, prefix);

  return draft != NULL ? draft->id : NULL;
}

static const LimpetApprover *
find_approver (const LimpetBundleHistory *history, const char *name)
{
  for (uint32_t i = 0; i < history->approvers_count; i++)
    if (strcmp (history->approvers[i].name, name) == 0)
      return &history->approvers[i];
  return NULL;
}

static bool
signature_is_valid (const char *id, const char *signature, const char *public_key)
{
  uint8_t key[crypto_sign_PUBLICKEYBYTES];
  uint8_t bytes[crypto_sign_BYTES];
  size_t key_length = 0;
  size_t length = 0;

  if (sodium_hex2bin (key, sizeof key, public_key, strlen (public_key), NULL, &key_length,
                      NULL)
          != 0
      || sodium_hex2bin (bytes, sizeof bytes, signature, strlen (signature), NULL,
                         &length, NULL)
             != 0)
    return false;
  if (key_length != sizeof key || length != sizeof bytes)
    return false;
  return crypto_sign_verify_detached (bytes, (const uint8_t *)id, strlen (id), key) == 0;
}

static LimpetStatus
check_approval (const LimpetBundleHistory *history,
                const char *id,
                const char *author,
                const char *approver,
                const char *signature,
                LimpetError *error)
{
  const LimpetApprover *configured = find_approver (history, approver);

  if (configured == NULL)
    return limpet_error_set (error, LIMPET_STATUS_UNAUTHORIZED, "approve", NULL,
                             "%s is not an approver in the settings", approver);
  if (!history->author_may_approve && strcmp (author, approver) == 0)
    return limpet_error_set (error, LIMPET_STATUS_UNAUTHORIZED, "approve", NULL,
                             "%s is the author and may not approve the draft", approver);
  if (!signature_is_valid (id, signature, configured->public_key))
    return limpet_error_set (error, LIMPET_STATUS_UNAUTHORIZED, "approve", NULL,
                             "the signature of %s does not fit the draft", approver);
  return LIMPET_STATUS_OK;
}

static LimpetStatus
read_changes (json_object *record,
              LimpetPart **changes,
              uint32_t *count,
              LimpetError *error)
{
  json_object *array = json_object_object_get (record, "changes");
  LimpetPart *parts;

  if (!json_object_is_type (array, json_type_array))
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "bundle", NULL,
                             "record.changes: must be an array");
  *count = json_object_array_length (array);
  parts = g_new0 (LimpetPart, *count);
  *changes = parts;
  for (uint32_t i = 0; i < *count; i++)
    {
      json_object *entry = json_object_array_get_idx (array, i);
      json_object *name = NULL;
      json_object *text = NULL;

      if (!json_object_is_type (entry, json_type_object)
          || !json_object_object_get_ex (entry, "name", &name) || name == NULL)
        return limpet_error_set (error, LIMPET_STATUS_INVALID, "bundle", NULL,
                                 "record.changes[%u].name: is missing", i);
      text = json_object_object_get (entry, "text");
      parts[i].name = g_strdup (json_object_get_string (name));
      parts[i].text = text != NULL ? g_strdup (json_object_get_string (text)) : NULL;
    }
  return LIMPET_STATUS_OK;
}

static void
remove_stale_drafts (LimpetBundleHistory *history)
{
  for (guint i = history->drafts->len; i > 0; i--)
    {
      const Draft *draft = g_ptr_array_index (history->drafts, i - 1);

      if (draft->parent < history->current->version)
        g_ptr_array_remove_index (history->drafts, i - 1);
    }
  while (history->drafts->len > MAX_DRAFTS)
    g_ptr_array_remove_index (history->drafts, 0);
}

static void
add_rolled (LimpetBundleHistory *history,
            const char *by,
            const char *note,
            LimpetMs time_ms,
            const LimpetPart *changes,
            uint32_t count)
{
  LimpetRolledBundle *rolled = g_new0 (LimpetRolledBundle, 1);

  rolled->proof = history->proof;
  rolled->time_ms = time_ms;
  g_strlcpy (rolled->rolled_by, by, sizeof rolled->rolled_by);
  g_strlcpy (rolled->note, note, sizeof rolled->note);
  rolled->changed = g_new0 (char *, count + 1);
  for (uint32_t i = 0; i < count; i++)
    rolled->changed[i] = g_strdup (changes[i].name);
  g_ptr_array_add (history->rolled, rolled);
  if (history->rolled->len > MAX_ROLLED_BUNDLES)
    g_ptr_array_remove_index (history->rolled, 0);
}

static void
put_in_force (LimpetBundleHistory *history,
              LimpetBundle *bundle,
              const LimpetBundleProof *proof)
{
  g_assert (proof->version > history->current->version);
  bundle->version = proof->version;
  limpet_bundle_unref (history->current);
  history->current = bundle;
  history->proof = *proof;
}

/* Applies changes to base and checks the resulting bundle, whose root must equal root. */
static LimpetBundle *
build_bundle (const LimpetBundle *base,
              const LimpetPart *changes,
              uint32_t count,
              const char *root,
              LimpetError *error)
{
  LimpetBundle *bundle = limpet_bundle_new_with_changes (base, changes, count);

  if (strcmp (bundle->root, root) != 0)
    {
      limpet_error_set (error, LIMPET_STATUS_INVALID, "bundle", NULL,
                        "the hash of the parts differs from root %.16s", root);
      goto fail;
    }
  if (limpet_bundle_check (bundle, error) != LIMPET_STATUS_OK)
    goto fail;
  return bundle;

fail:
  limpet_bundle_unref (bundle);
  return NULL;
}

static LimpetBundleEvent
apply_draft (LimpetBundleHistory *history,
             json_object *record,
             const RecordFields *fields,
             LimpetError *error)
{
  Draft *draft = g_new0 (Draft, 1);

  draft->parent = fields->parent;
  memcpy (draft->root, fields->root, sizeof draft->root);
  memcpy (draft->author, fields->author, sizeof draft->author);
  g_strlcpy (draft->note, fields->note, sizeof draft->note);
  limpet_draft_id (draft->parent, draft->root, draft->author, draft->id);
  if (read_changes (record, &draft->changes, &draft->changes_count, error)
      != LIMPET_STATUS_OK)
    {
      free_draft (draft);
      return LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (find_draft (history, draft->id) != NULL)
    {
      free_draft (draft);
      return LIMPET_BUNDLE_EVENT_NONE;
    }
  g_ptr_array_add (history->drafts, draft);
  remove_stale_drafts (history);
  return LIMPET_BUNDLE_EVENT_DRAFTED;
}

static LimpetBundleEvent
apply_approval (LimpetBundleHistory *history,
                const RecordFields *fields,
                LimpetError *error)
{
  Draft *draft = find_draft (history, fields->id);

  if (draft == NULL)
    {
      limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "approve", NULL,
                        "draft %.16s not found", fields->id);
      return LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (check_approval (history, draft->id, draft->author, fields->approver,
                      fields->signature, error)
      != LIMPET_STATUS_OK)
    return LIMPET_BUNDLE_EVENT_REJECTED;
  if (draft->approver[0] != '\0')
    return LIMPET_BUNDLE_EVENT_NONE;
  g_strlcpy (draft->approver, fields->approver, sizeof draft->approver);
  g_strlcpy (draft->signature, fields->signature, sizeof draft->signature);
  return LIMPET_BUNDLE_EVENT_APPROVED;
}

/* Fills error for a roll, or its preview, whose draft is missing or has another parent
 * than the bundle in force. */
static LimpetBundleEvent
reject_roll (const LimpetBundleHistory *history, const char *id, LimpetError *error)
{
  const LimpetRolledBundle *last = NULL;

  if (history->rolled->len > 0)
    last = g_ptr_array_index (history->rolled, history->rolled->len - 1);
  limpet_error_set (
      error, LIMPET_STATUS_CONFLICT, "roll", NULL,
      "draft %.16s is not based on version %" PRId64 ", which was rolled by %s", id,
      history->current->version, last != NULL ? last->rolled_by : "nobody");
  return LIMPET_BUNDLE_EVENT_REJECTED;
}

static LimpetBundleEvent
apply_roll (LimpetBundleHistory *history,
            int64_t offset,
            LimpetMs time_ms,
            const RecordFields *fields,
            LimpetError *error)
{
  const Draft *draft = find_draft (history, fields->id);
  LimpetBundle *bundle;
  LimpetBundleProof proof;

  if (draft == NULL || draft->parent < history->current->version)
    return offset <= history->in_force_offset ? LIMPET_BUNDLE_EVENT_NONE
                                              : reject_roll (history, fields->id, error);
  if (draft->parent > history->current->version)
    {
      limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "roll", NULL,
                        "version %" PRId64 ", parent of draft %.16s, is missing",
                        draft->parent, draft->id);
      return LIMPET_BUNDLE_EVENT_GAP;
    }
  if (draft->approver[0] == '\0')
    {
      limpet_error_set (error, LIMPET_STATUS_UNAUTHORIZED, "roll", NULL,
                        "draft %.16s has no valid approval", draft->id);
      return LIMPET_BUNDLE_EVENT_REJECTED;
    }
  bundle = build_bundle (history->current, draft->changes, draft->changes_count,
                         draft->root, error);
  if (bundle == NULL)
    return LIMPET_BUNDLE_EVENT_REJECTED;
  proof = (LimpetBundleProof){
    .version = MAX (offset, draft->parent + 1),
    .parent = draft->parent,
  };
  g_strlcpy (proof.root, draft->root, sizeof proof.root);
  g_strlcpy (proof.author, draft->author, sizeof proof.author);
  g_strlcpy (proof.approver, draft->approver, sizeof proof.approver);
  g_strlcpy (proof.signature, draft->signature, sizeof proof.signature);
  put_in_force (history, bundle, &proof);
  history->in_force_offset = offset;
  history->roll_time_ms = time_ms;
  add_rolled (history, fields->by, draft->note, time_ms, draft->changes,
              draft->changes_count);
  remove_stale_drafts (history);
  return LIMPET_BUNDLE_EVENT_ROLLED;
}

/* The parent is signed, but the version is not. Each successor of the bundle in force has
 * this bundle or a later one as its parent. An older parent is rejected, because the
 * proof of an approved but superseded bundle can be sent again with a higher version. */
static LimpetStatus
check_proof (const LimpetBundleHistory *history,
             const LimpetBundleProof *proof,
             LimpetError *error)
{
  char id[LIMPET_HASH_HEX_SIZE];

  if (proof->version <= history->current->version || proof->parent >= proof->version
      || proof->parent < history->current->version)
    return limpet_error_set (error, LIMPET_STATUS_EXPIRED, "adopt", NULL,
                             "version %" PRId64 " is not a successor of version %" PRId64,
                             proof->version, history->current->version);
  limpet_draft_id (proof->parent, proof->root, proof->author, id);
  return check_approval (history, id, proof->author, proof->approver, proof->signature,
                         error);
}

LimpetStatus
limpet_bundle_history_adopt (LimpetBundleHistory *history,
                             const LimpetBundleProof *proof,
                             int64_t base_version,
                             const LimpetPart *changes,
                             uint32_t changes_count,
                             LimpetError *error)
{
  LimpetStatus status = check_proof (history, proof, error);
  LimpetBundle *empty = NULL;
  const LimpetBundle *base = history->current;
  LimpetBundle *bundle;

  if (status != LIMPET_STATUS_OK)
    return status;
  if (base_version != 0 && base_version != base->version)
    return limpet_error_set (error, LIMPET_STATUS_CONFLICT, "adopt", NULL,
                             "the changes are based on version %" PRId64 ", not %" PRId64,
                             base_version, base->version);
  if (base_version == 0)
    base = empty = limpet_bundle_new_empty ();
  bundle = build_bundle (base, changes, changes_count, proof->root, error);
  limpet_bundle_unref (empty);
  if (bundle == NULL)
    return LIMPET_STATUS_INVALID;
  put_in_force (history, bundle, proof);
  history->in_force_offset = MAX (history->in_force_offset, proof->version);
  history->roll_time_ms = 0;
  g_ptr_array_set_size (history->rolled, 0);
  add_rolled (history, "another holder", "", 0, changes, changes_count);
  remove_stale_drafts (history);
  return LIMPET_STATUS_OK;
}

static LimpetBundleProof
read_proof (const RecordFields *fields)
{
  LimpetBundleProof proof = { .version = fields->version, .parent = fields->parent };

  g_strlcpy (proof.root, fields->root, sizeof proof.root);
  g_strlcpy (proof.author, fields->author, sizeof proof.author);
  g_strlcpy (proof.approver, fields->approver, sizeof proof.approver);
  g_strlcpy (proof.signature, fields->signature, sizeof proof.signature);
  return proof;
}

static LimpetBundleEvent
apply_checkpoint (LimpetBundleHistory *history,
                  json_object *record,
                  const RecordFields *fields,
                  LimpetError *error)
{
  LimpetBundleProof proof = read_proof (fields);
  LimpetPart *changes = NULL;
  uint32_t count = 0;
  LimpetBundleEvent event = LIMPET_BUNDLE_EVENT_REJECTED;

  if (fields->version <= history->current->version)
    return LIMPET_BUNDLE_EVENT_NONE;
  if (read_changes (record, &changes, &count, error) == LIMPET_STATUS_OK
      && limpet_bundle_history_adopt (history, &proof, 0, changes, count, error)
             == LIMPET_STATUS_OK)
    event = LIMPET_BUNDLE_EVENT_CHECKPOINT;
  limpet_parts_free (changes, count);
  return event;
}

/* Gives the bundle in force a higher version. */
static LimpetBundleEvent
raise_version (LimpetBundleHistory *history, int64_t version, LimpetError *error)
{
  LimpetBundleProof proof = history->proof;
  LimpetBundle *bundle = build_bundle (history->current, NULL, 0, proof.root, error);
  GPtrArray *rolled = history->rolled;

  if (bundle == NULL)
    return LIMPET_BUNDLE_EVENT_REJECTED;
  proof.version = version;
  put_in_force (history, bundle, &proof);
  if (rolled->len > 0)
    ((LimpetRolledBundle *)g_ptr_array_index (rolled, rolled->len - 1))->proof = proof;
  remove_stale_drafts (history);
  return LIMPET_BUNDLE_EVENT_RESTORED;
}

static LimpetBundleEvent
apply_restoration (LimpetBundleHistory *history,
                   int64_t offset,
                   json_object *record,
                   const RecordFields *fields,
                   LimpetError *error)
{
  LimpetBundleProof proof = read_proof (fields);
  LimpetBundleEvent event;

  if (fields->base != history->current->version || fields->version <= fields->base)
    return LIMPET_BUNDLE_EVENT_NONE;
  if (fields->base > 0 && proves_same_bundle (&proof, &history->proof))
    event = raise_version (history, fields->version, error);
  else
    event = apply_checkpoint (history, record, fields, error);
  if (event == LIMPET_BUNDLE_EVENT_CHECKPOINT)
    event = LIMPET_BUNDLE_EVENT_RESTORED;
  if (event == LIMPET_BUNDLE_EVENT_RESTORED)
    history->in_force_offset = offset;
  return event;
}

static LimpetBundleEvent
apply_record (LimpetBundleHistory *history,
              int64_t offset,
              LimpetMs time_ms,
              json_object *record,
              RecordFields *fields,
              LimpetError *error)
{
  const char *type = json_object_get_string (json_object_object_get (record, "type"));
  LimpetStatus status = LIMPET_STATUS_OK;

  if (g_strcmp0 (type, "draft") == 0)
    {
      status = limpet_schema_read (record, draft_fields, fields, "record", error);
      return status == LIMPET_STATUS_OK ? apply_draft (history, record, fields, error)
                                        : LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (g_strcmp0 (type, "approval") == 0)
    {
      status = limpet_schema_read (record, approval_fields, fields, "record", error);
      return status == LIMPET_STATUS_OK ? apply_approval (history, fields, error)
                                        : LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (g_strcmp0 (type, "roll") == 0)
    {
      status = limpet_schema_read (record, roll_fields, fields, "record", error);
      return status == LIMPET_STATUS_OK
                 ? apply_roll (history, offset, time_ms, fields, error)
                 : LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (g_strcmp0 (type, "checkpoint") == 0)
    {
      status = limpet_schema_read (record, checkpoint_fields, fields, "record", error);
      return status == LIMPET_STATUS_OK
                 ? apply_checkpoint (history, record, fields, error)
                 : LIMPET_BUNDLE_EVENT_REJECTED;
    }
  if (g_strcmp0 (type, "restoration") == 0)
    {
      status = limpet_schema_read (record, restoration_fields, fields, "record", error);
      return status == LIMPET_STATUS_OK
                 ? apply_restoration (history, offset, record, fields, error)
                 : LIMPET_BUNDLE_EVENT_REJECTED;
    }
  limpet_error_set (error, LIMPET_STATUS_INVALID, "bundle", NULL,
                    "record.type: unknown value");
  return LIMPET_BUNDLE_EVENT_REJECTED;
}

LimpetBundleEvent
limpet_bundle_history_apply (LimpetBundleHistory *history,
                             int64_t offset,
                             LimpetMs time_ms,
                             const char *data,
                             size_t length,
                             LimpetError *error)
{
  RecordFields fields = { .note = NULL };
  json_object *record = limpet_schema_parse (data, length, "record", error);
  LimpetBundleEvent event = LIMPET_BUNDLE_EVENT_REJECTED;

  if (!json_object_is_type (record, json_type_object))
    limpet_error_set (error, LIMPET_STATUS_INVALID, "bundle", NULL,
                      "record: must be an object");
  else
    event = apply_record (history, offset, time_ms, record, &fields, error);
  g_free (fields.note);
  g_free (fields.signature);
  json_object_put (record);
  return event;
}

/* Adds the names of the parts that changed after base_version. Returns false if the
 * history does not contain the roll that followed base_version. */
static bool
collect_changed_names (const LimpetBundleHistory *history,
                       int64_t base_version,
                       GHashTable *names)
{
  bool base_found = false;

  for (guint i = 0; i < history->rolled->len; i++)
    {
      const LimpetRolledBundle *rolled = g_ptr_array_index (history->rolled, i);

      base_found = base_found || rolled->proof.parent == base_version;
      if (!base_found)
        continue;
      for (char **name = rolled->changed; *name != NULL; name++)
        g_hash_table_add (names, *name);
    }
  return base_found;
}

int64_t
limpet_bundle_history_changes_since (const LimpetBundleHistory *history,
                                     int64_t base_version,
                                     LimpetPart **changes,
                                     uint32_t *count)
{
  GHashTable *names = g_hash_table_new (g_str_hash, g_str_equal);
  bool base_found
      = base_version != 0 && collect_changed_names (history, base_version, names);
  GHashTableIter iter;
  gpointer name;
  uint32_t used = 0;

  *count = base_found ? g_hash_table_size (names) : history->current->parts_count;
  *changes = g_new0 (LimpetPart, *count);
  g_hash_table_iter_init (&iter, names);
  while (base_found && g_hash_table_iter_next (&iter, &name, NULL))
    (*changes)[used++] = (LimpetPart){
      .name = g_strdup (name),
      .text = g_strdup (limpet_bundle_part (history->current, name)),
    };
  for (uint32_t i = 0; !base_found && i < *count; i++)
    (*changes)[i] = (LimpetPart){
      .name = g_strdup (history->current->parts[i].name),
      .text = g_strdup (history->current->parts[i].text),
    };
  g_hash_table_destroy (names);
  return base_found ? base_version : 0;
}

LimpetBundle *
limpet_bundle_history_preview (const LimpetBundleHistory *history,
                               const char *id,
                               LimpetError *error)
{
  const Draft *draft = find_draft (history, id);

  if (draft == NULL)
    {
      limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "preview", NULL,
                        "draft %.16s not found", id);
      return NULL;
    }
  if (draft->parent != history->current->version)
    {
      reject_roll (history, id, error);
      return NULL;
    }
  return build_bundle (history->current, draft->changes, draft->changes_count,
                       draft->root, error);
}
