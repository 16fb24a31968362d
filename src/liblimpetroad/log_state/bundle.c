#include "limpetroad/bundle.h"

#include "limpetroad/policy.h"
#include "private/schema.h"

#include <glib.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <urcu/ref.h>

typedef struct
{
  LimpetBundle bundle;
  struct urcu_ref references;
} LimpetBundleShared;

#define INT_FIELD(struct_, member_, min_, max_)                                          \
  {                                                                                      \
#member_, LIMPET_FIELD_INT, offsetof(struct_, member_), false, min_, max_, NULL      \
  }

static const LimpetField fleet_fields[] = {
  { "policy", LIMPET_FIELD_NAME, offsetof (LimpetFleetPart, policy), false, 0, 0, NULL },
  INT_FIELD (LimpetFleetPart, load_bound_percent, 101, 1000),
  INT_FIELD (LimpetFleetPart, long_share_percent, 1, 100),
  INT_FIELD (LimpetFleetPart, long_tokens, 1, 1000000),
  INT_FIELD (LimpetFleetPart, reserve_percent, 0, 90),
  INT_FIELD (LimpetFleetPart, queue_limit, 0, 4096),
  INT_FIELD (LimpetFleetPart, queue_wait_ms, 0, 60000),
  INT_FIELD (LimpetFleetPart, default_deadline_ms, 10, 600000),
  INT_FIELD (LimpetFleetPart, retry_percent, 0, 100),
  INT_FIELD (LimpetFleetPart, slow_ratio_percent, 110, 10000),
  INT_FIELD (LimpetFleetPart, set_aside_percent, 0, 90),
  INT_FIELD (LimpetFleetPart, order_window_ms, 1000, 86400000),
  { .key = NULL },
};

static const LimpetField team_fields[] = {
  { "key_hash", LIMPET_FIELD_HEX, offsetof (LimpetTeam, key_hash), true, 0, 0, NULL },
  INT_FIELD (LimpetTeam, share, 1, 1000000),
  INT_FIELD (LimpetTeam, priority, 0, 9),
  { .key = NULL },
};

static const LimpetField model_fields[] = {
  INT_FIELD (LimpetModel, context_tokens, 16, 10000000),
  { .key = NULL },
};

static const LimpetField service_fields[] = {
  { "idempotent", LIMPET_FIELD_BOOL, offsetof (LimpetService, idempotent), true, 0, 0,
    NULL },
  { "checks_fencing", LIMPET_FIELD_BOOL, offsetof (LimpetService, checks_fencing), false,
    0, 0, NULL },
  INT_FIELD (LimpetService, timeout_ms, 10, 600000),
  { .key = NULL },
};

/* A section of the configuration file, and the prefix of the names of its parts. */
typedef struct
{
  const char *section;
  const char *prefix;
} PartSection;

static const PartSection part_sections[] = {
  { "models", "model/" },
  { "teams", "team/" },
  { "services", "service/" },
};

static LimpetBundle *
bundle_new (void)
{
  LimpetBundleShared *shared = g_new0 (LimpetBundleShared, 1);

  urcu_ref_init (&shared->references);
  return &shared->bundle;
}

static int
compare_parts (const void *a, const void *b)
{
  return strcmp (((const LimpetPart *)a)->name, ((const LimpetPart *)b)->name);
}

static void
sort_parts (LimpetBundle *bundle)
{
  if (bundle->parts_count > 0)
    qsort (bundle->parts, bundle->parts_count, sizeof *bundle->parts, compare_parts);
}

static void
add_part (GArray *parts, char *name, char *text)
{
  LimpetPart part = { .name = name, .text = text };

  g_array_append_val (parts, part);
}

static void
set_parts (LimpetBundle *bundle, GArray *parts)
{
  bundle->parts_count = parts->len;
  bundle->parts = (LimpetPart *)g_array_free (parts, FALSE);
  sort_parts (bundle);
}

static void
bytes_to_hex (const uint8_t *bytes, char hex[LIMPET_HASH_HEX_SIZE])
{
  sodium_bin2hex (hex, LIMPET_HASH_HEX_SIZE, bytes, LIMPET_HASH_BYTES);
}

void
limpet_hash_text (const char *text, char hex[LIMPET_HASH_HEX_SIZE])
{
  uint8_t hash[LIMPET_HASH_BYTES];

  crypto_generichash (hash, sizeof hash, (const uint8_t *)text, strlen (text), NULL, 0);
  bytes_to_hex (hash, hex);
}

/* Hashes the names and texts of all parts, ordered by name, each followed by a NUL. */
static void
compute_root (LimpetBundle *bundle)
{
  crypto_generichash_state state;
  uint8_t hash[LIMPET_HASH_BYTES];

  crypto_generichash_init (&state, NULL, 0, sizeof hash);
  for (uint32_t i = 0; i < bundle->parts_count; i++)
    {
      const LimpetPart *part = &bundle->parts[i];

      crypto_generichash_update (&state, (const uint8_t *)part->name,
                                 strlen (part->name) + 1);
      crypto_generichash_update (&state, (const uint8_t *)part->text,
                                 strlen (part->text) + 1);
    }
  crypto_generichash_final (&state, hash, sizeof hash);
  bytes_to_hex (hash, bundle->root);
}

LimpetBundle *
limpet_bundle_new_empty (void)
{
  LimpetBundle *bundle = bundle_new ();

  compute_root (bundle);
  return bundle;
}

static LimpetStatus
add_section (GArray *parts,
             json_object *section,
             const PartSection *part_section,
             LimpetError *error)
{
  if (!json_object_is_type (section, json_type_object))
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "bundle.%s: must be an object", part_section->section);
  json_object_object_foreach (section, key, value)
  {
    if (key[0] == '\0' || strlen (key) >= LIMPET_NAME_SIZE || strchr (key, '/') != NULL)
      return limpet_error_set (
          error, LIMPET_STATUS_INVALID, "check", NULL,
          "bundle.%s: the name \"%.70s\" must have 1 to 63 characters and no slash",
          part_section->section, key);
    add_part (parts, g_strconcat (part_section->prefix, key, NULL),
              g_strdup (json_object_to_json_string_ext (value, JSON_C_TO_STRING_PLAIN)));
  }
  return LIMPET_STATUS_OK;
}

static LimpetStatus
split_sections (json_object *root, GArray *parts, LimpetError *error)
{
  static const LimpetField file_fields[] = {
    { "fleet", LIMPET_FIELD_CUSTOM, 0, true, 0, 0, NULL },
    { "models", LIMPET_FIELD_CUSTOM, 0, true, 0, 0, NULL },
    { "teams", LIMPET_FIELD_CUSTOM, 0, true, 0, 0, NULL },
    { "services", LIMPET_FIELD_CUSTOM, 0, false, 0, 0, NULL },
    { .key = NULL },
  };
  json_object *section;
  LimpetStatus status = limpet_schema_read (root, file_fields, NULL, "bundle", error);

  if (status != LIMPET_STATUS_OK)
    return status;
  section = json_object_object_get (root, "fleet");
  add_part (parts, g_strdup ("fleet"),
            g_strdup (json_object_to_json_string_ext (section, JSON_C_TO_STRING_PLAIN)));
  for (size_t i = 0; i < G_N_ELEMENTS (part_sections) && status == LIMPET_STATUS_OK; i++)
    if (json_object_object_get_ex (root, part_sections[i].section, &section))
      status = add_section (parts, section, &part_sections[i], error);
  return status;
}

LimpetBundle *
limpet_bundle_new_from_file (const char *path, LimpetError *error)
{
  LimpetBundle *bundle = NULL;
  char *text = NULL;
  size_t length = 0;
  json_object *root = NULL;
  GArray *parts;
  LimpetStatus status = limpet_schema_read_file (path, &text, &length, error);

  if (status != LIMPET_STATUS_OK)
    return NULL;
  root = limpet_schema_parse (text, length, path, error);
  if (root == NULL)
    goto out;
  parts = g_array_new (FALSE, TRUE, sizeof (LimpetPart));
  status = split_sections (root, parts, error);
  bundle = bundle_new ();
  set_parts (bundle, parts);
  compute_root (bundle);
  if (status == LIMPET_STATUS_OK)
    status = limpet_bundle_check (bundle, error);
  if (status != LIMPET_STATUS_OK)
    {
      limpet_bundle_unref (bundle);
      bundle = NULL;
    }

out:
  json_object_put (root);
  g_free (text);
  return bundle;
}

static const LimpetPart *
find_change (const LimpetPart *changes, uint32_t count, const char *name)
{
  for (uint32_t i = 0; i < count; i++)
    if (strcmp (changes[i].name, name) == 0)
      return &changes[i];
  return NULL;
}

static const LimpetPart *
find_part (const LimpetBundle *bundle, const char *name)
{
  LimpetPart key = { .name = (char *)name };

  if (bundle->parts_count == 0)
    return NULL;
  return bsearch (&key, bundle->parts, bundle->parts_count, sizeof key, compare_parts);
}

LimpetBundle *
limpet_bundle_new_with_changes (const LimpetBundle *base,
                                const LimpetPart *changes,
                                uint32_t changes_count)
{
  LimpetBundle *bundle = bundle_new ();
  GArray *parts = g_array_new (FALSE, TRUE, sizeof (LimpetPart));

  for (uint32_t i = 0; i < base->parts_count; i++)
    if (find_change (changes, changes_count, base->parts[i].name) == NULL)
      add_part (parts, g_strdup (base->parts[i].name), g_strdup (base->parts[i].text));
  for (uint32_t i = 0; i < changes_count; i++)
    if (changes[i].text != NULL)
      add_part (parts, g_strdup (changes[i].name), g_strdup (changes[i].text));
  set_parts (bundle, parts);
  compute_root (bundle);
  return bundle;
}

uint32_t
limpet_bundle_diff (const LimpetBundle *base,
                    const LimpetBundle *bundle,
                    LimpetPart **changes)
{
  GArray *found = g_array_new (FALSE, TRUE, sizeof (LimpetPart));
  uint32_t count;

  for (uint32_t i = 0; i < bundle->parts_count; i++)
    {
      const LimpetPart *part = &bundle->parts[i];
      const LimpetPart *old = find_part (base, part->name);

      if (old == NULL || strcmp (old->text, part->text) != 0)
        add_part (found, g_strdup (part->name), g_strdup (part->text));
    }
  for (uint32_t i = 0; i < base->parts_count; i++)
    if (find_part (bundle, base->parts[i].name) == NULL)
      add_part (found, g_strdup (base->parts[i].name), NULL);
  count = found->len;
  *changes = (LimpetPart *)g_array_free (found, FALSE);
  return count;
}

void
limpet_parts_free (LimpetPart *parts, uint32_t count)
{
  for (uint32_t i = 0; i < count; i++)
    {
      g_free (parts[i].name);
      g_free (parts[i].text);
    }
  g_free (parts);
}

static const LimpetFleetPart fleet_defaults = {
  .policy = "bounded",
  .load_bound_percent = 125,
  .long_share_percent = 25,
  .long_tokens = 512,
  .reserve_percent = 10,
  .queue_limit = 64,
  .queue_wait_ms = 400,
  .default_deadline_ms = 2000,
  .retry_percent = 5,
  .slow_ratio_percent = 250,
  .set_aside_percent = 30,
  .order_window_ms = 600000,
};

static LimpetStatus
parse_part (const LimpetPart *part,
            const LimpetField *fields,
            void *base,
            LimpetError *error)
{
  json_object *object
      = limpet_schema_parse (part->text, strlen (part->text), part->name, error);
  LimpetStatus status;

  if (object == NULL)
    return LIMPET_STATUS_INVALID;
  status = limpet_schema_read (object, fields, base, part->name, error);
  json_object_put (object);
  return status;
}

static LimpetStatus
check_part (LimpetBundle *bundle, const LimpetPart *part, LimpetError *error)
{
  const char *slash = strchr (part->name, '/');
  const char *name = slash != NULL ? slash + 1 : "";

  if (strcmp (part->name, "fleet") == 0)
    return parse_part (part, fleet_fields, &bundle->fleet, error);
  if (g_str_has_prefix (part->name, "team/"))
    {
      LimpetTeam *team = &bundle->teams[bundle->teams_count++];

      *team = (LimpetTeam){ .share = 1, .priority = 5 };
      g_strlcpy (team->name, name, sizeof team->name);
      return parse_part (part, team_fields, team, error);
    }
  if (g_str_has_prefix (part->name, "model/"))
    {
      LimpetModel *model = &bundle->models[bundle->models_count++];

      model->context_tokens = 131072;
      g_strlcpy (model->name, name, sizeof model->name);
      return parse_part (part, model_fields, model, error);
    }
  if (g_str_has_prefix (part->name, "service/"))
    {
      LimpetService *service = &bundle->services[bundle->services_count++];

      service->timeout_ms = LIMPET_CONTROL_TIMEOUT_MS;
      g_strlcpy (service->name, name, sizeof service->name);
      return parse_part (part, service_fields, service, error);
    }
  return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                           "%s: unknown kind of part", part->name);
}

static int
compare_teams (const void *a, const void *b)
{
  return strcmp (((const LimpetTeam *)a)->key_hash, ((const LimpetTeam *)b)->key_hash);
}

static LimpetStatus
check_consistency (LimpetBundle *bundle, LimpetError *error)
{
  if (limpet_bundle_part (bundle, "fleet") == NULL)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "bundle.fleet: is missing");
  if (limpet_policy_by_name (bundle->fleet.policy) == NULL)
    return limpet_error_set (
        error, LIMPET_STATUS_INVALID, "check", NULL,
        "fleet.policy: must be bounded, rendezvous, least_loaded or random");
  qsort (bundle->teams, bundle->teams_count, sizeof *bundle->teams, compare_teams);
  bundle->shares_total = 0;
  for (uint32_t i = 0; i < bundle->teams_count; i++)
    {
      bundle->shares_total += (uint64_t)bundle->teams[i].share;
      if (i > 0 && compare_teams (&bundle->teams[i - 1], &bundle->teams[i]) == 0)
        return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                                 "team/%s.key_hash: is also the key of team/%s",
                                 bundle->teams[i].name, bundle->teams[i - 1].name);
    }
  return LIMPET_STATUS_OK;
}

LimpetStatus
limpet_bundle_check (LimpetBundle *bundle, LimpetError *error)
{
  LimpetStatus status = LIMPET_STATUS_OK;

  g_assert (bundle->teams == NULL);
  bundle->fleet = fleet_defaults;
  bundle->teams = g_new0 (LimpetTeam, bundle->parts_count + 1);
  bundle->models = g_new0 (LimpetModel, bundle->parts_count + 1);
  bundle->services = g_new0 (LimpetService, bundle->parts_count + 1);
  for (uint32_t i = 0; i < bundle->parts_count && status == LIMPET_STATUS_OK; i++)
    status = check_part (bundle, &bundle->parts[i], error);
  if (status == LIMPET_STATUS_OK)
    status = check_consistency (bundle, error);
  return status;
}

LimpetBundle *
limpet_bundle_ref (LimpetBundle *bundle)
{
  LimpetBundleShared *shared = (LimpetBundleShared *)bundle;

  return urcu_ref_get_unless_zero (&shared->references) ? bundle : NULL;
}

static void
free_bundle (struct urcu_ref *reference)
{
  LimpetBundleShared *shared
      = caa_container_of (reference, LimpetBundleShared, references);
  LimpetBundle *bundle = &shared->bundle;

  limpet_parts_free (bundle->parts, bundle->parts_count);
  g_free (bundle->teams);
  g_free (bundle->models);
  g_free (bundle->services);
  g_free (shared);
}

void
limpet_bundle_unref (LimpetBundle *bundle)
{
  if (bundle != NULL)
    urcu_ref_put (&((LimpetBundleShared *)bundle)->references, free_bundle);
}

const char *
limpet_bundle_part (const LimpetBundle *bundle, const char *name)
{
  const LimpetPart *part = find_part (bundle, name);

  return part != NULL ? part->text : NULL;
}

const LimpetTeam *
limpet_bundle_team (const LimpetBundle *bundle, const char *key_hash)
{
  LimpetTeam key = { .share = 0 };

  g_strlcpy (key.key_hash, key_hash, sizeof key.key_hash);
  return bsearch (&key, bundle->teams, bundle->teams_count, sizeof key, compare_teams);
}

const LimpetModel *
limpet_bundle_model (const LimpetBundle *bundle, const char *name)
{
  for (uint32_t i = 0; i < bundle->models_count; i++)
    if (strcmp (bundle->models[i].name, name) == 0)
      return &bundle->models[i];
  return NULL;
}

const LimpetService *
limpet_bundle_service (const LimpetBundle *bundle, const char *name)
{
  for (uint32_t i = 0; i < bundle->services_count; i++)
    if (strcmp (bundle->services[i].name, name) == 0)
      return &bundle->services[i];
  return NULL;
}
