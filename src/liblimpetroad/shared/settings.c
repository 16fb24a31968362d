#include "limpetroad/settings.h"

#include "private/schema.h"

#include <glib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define MIN_MEMORY_MB 16
#define MAX_MEMORY_MB 1000000

#define FIELD(type_, struct_, member_, ...)                                              \
  {                                                                                      \
    .key = #member_, .type = type_, .offset = offsetof (struct_, member_), __VA_ARGS__   \
  }

static const LimpetField listener_fields[] = {
  FIELD (LIMPET_FIELD_NAME, LimpetListener, address, .required = true),
  FIELD (
      LIMPET_FIELD_INT, LimpetListener, port, .required = true, .min = 1, .max = 65535),
  FIELD (LIMPET_FIELD_BOOL, LimpetListener, plaintext),
  FIELD (LIMPET_FIELD_STRING, LimpetListener, tls_certificate_file),
  { .key = NULL },
};

static const LimpetField approver_fields[] = {
  FIELD (LIMPET_FIELD_NAME, LimpetApprover, name, .required = true),
  FIELD (LIMPET_FIELD_HEX, LimpetApprover, public_key, .required = true),
  { .key = NULL },
};

static const LimpetField settings_fields[] = {
  FIELD (LIMPET_FIELD_NAME, LimpetSettings, name, .required = true),
  FIELD (LIMPET_FIELD_NAME, LimpetSettings, zone, .required = true),
  FIELD (LIMPET_FIELD_OBJECT,
         LimpetSettings,
         callers,
         .required = true,
         .fields = listener_fields),
  FIELD (LIMPET_FIELD_OBJECT,
         LimpetSettings,
         operators,
         .required = true,
         .fields = listener_fields),
  FIELD (LIMPET_FIELD_OBJECT,
         LimpetSettings,
         peers,
         .required = true,
         .fields = listener_fields),
  FIELD (LIMPET_FIELD_STRING, LimpetSettings, peer_key_file),
  FIELD (LIMPET_FIELD_STRING, LimpetSettings, peer_public_keys_file),
  FIELD (LIMPET_FIELD_STRING, LimpetSettings, log_url, .required = true),
  FIELD (
      LIMPET_FIELD_INT, LimpetSettings, log_retention_ms, .min = 4000, .max = 2592000000),
  FIELD (LIMPET_FIELD_STRING, LimpetSettings, vm_list_url, .required = true),
  FIELD (LIMPET_FIELD_BOOL, LimpetSettings, author_may_approve),
  FIELD (LIMPET_FIELD_INT, LimpetSettings, workers, .min = 8, .max = 8192),
  FIELD (LIMPET_FIELD_INT,
         LimpetSettings,
         memory_mb,
         .min = MIN_MEMORY_MB,
         .max = MAX_MEMORY_MB),
  FIELD (
      LIMPET_FIELD_INT, LimpetSettings, control_bytes_per_s, .min = 256, .max = 1000000),
  FIELD (LIMPET_FIELD_INT, LimpetSettings, drain_limit_ms, .min = 0, .max = 86400000),
  { .key = "approvers", .type = LIMPET_FIELD_CUSTOM, .required = true },
  { .key = NULL },
};

static LimpetStatus
read_approvers (LimpetSettings *settings,
                json_object *root,
                const char *path,
                LimpetError *error)
{
  json_object *array = json_object_object_get (root, "approvers");
  LimpetStatus status = LIMPET_STATUS_OK;

  if (!json_object_is_type (array, json_type_array)
      || json_object_array_length (array) > LIMPET_MAX_APPROVERS)
    return limpet_error_set (
        error, LIMPET_STATUS_INVALID, "check", NULL,
        "%s: settings.approvers: must be an array of at most %d entries", path,
        LIMPET_MAX_APPROVERS);
  settings->approvers_count = json_object_array_length (array);
  for (uint32_t i = 0; i < settings->approvers_count && status == LIMPET_STATUS_OK; i++)
    {
      char *entry_path = g_strdup_printf ("%s: settings.approvers[%u]", path, i);

      status = limpet_schema_read (json_object_array_get_idx (array, i), approver_fields,
                                   &settings->approvers[i], entry_path, error);
      g_free (entry_path);
    }
  return status;
}

static bool
is_loopback (const char *address)
{
  return g_str_has_prefix (address, "127.") || strcmp (address, "::1") == 0;
}

/* Checks that the file exists and that group and others have no access to it. */
static LimpetStatus
check_secret_file (const char *path, const char *field, LimpetError *error)
{
  struct stat info;

  if (stat (path, &info) != 0 || !S_ISREG (info.st_mode))
    return limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "check", NULL,
                             "settings.%s: no regular file at %s", field, path);
  if ((info.st_mode & 077) != 0)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "settings.%s: %s is open to others (mode %03o); use 600",
                             field, path, info.st_mode & 0777);
  return LIMPET_STATUS_OK;
}

/* Rejects plaintext on an address other than loopback, unless the settings allow it. */
static LimpetStatus
check_listener (const LimpetListener *listener,
                const char *field,
                bool is_encrypted,
                LimpetError *error)
{
  if (listener->tls_certificate_file != NULL)
    return check_secret_file (listener->tls_certificate_file, field, error);
  if (!is_encrypted && !listener->plaintext && !is_loopback (listener->address))
    return limpet_error_set (
        error, LIMPET_STATUS_INVALID, "check", NULL,
        "settings.%s: %s is not loopback; set key files or \"plaintext\"", field,
        listener->address);
  return LIMPET_STATUS_OK;
}

static LimpetStatus
check_security (const LimpetSettings *settings, LimpetError *error)
{
  LimpetStatus status = check_listener (&settings->callers, "callers", false, error);

  if (status == LIMPET_STATUS_OK)
    status = check_listener (&settings->operators, "operators", false, error);
  if (status == LIMPET_STATUS_OK)
    status = check_listener (&settings->peers, "peers", settings->peer_key_file != NULL,
                             error);
  if (status == LIMPET_STATUS_OK && settings->peer_key_file != NULL)
    status = check_secret_file (settings->peer_key_file, "peer_key_file", error);
  if (status == LIMPET_STATUS_OK
      && (settings->peer_key_file == NULL) != (settings->peer_public_keys_file == NULL))
    status = limpet_error_set (
        error, LIMPET_STATUS_INVALID, "check", NULL,
        "settings: peer_key_file and peer_public_keys_file must be set together");
  return status;
}

static int64_t
machine_memory_mb (void)
{
  int64_t bytes = (int64_t)sysconf (_SC_PHYS_PAGES) * sysconf (_SC_PAGESIZE);

  return CLAMP (bytes / 1024 / 1024, MIN_MEMORY_MB, MAX_MEMORY_MB);
}

LimpetStatus
limpet_settings_load (LimpetSettings *settings, const char *path, LimpetError *error)
{
  char *text = NULL;
  size_t length = 0;
  json_object *root = NULL;
  char *root_path = g_strdup_printf ("%s: settings", path);
  LimpetStatus status;

  *settings = (LimpetSettings){
    .workers = 1024,
    .memory_mb = machine_memory_mb (),
    .log_retention_ms = 3600000,
    .control_bytes_per_s = 3300,
  };
  status = limpet_schema_read_file (path, &text, &length, error);
  if (status != LIMPET_STATUS_OK)
    goto out;
  root = limpet_schema_parse (text, length, path, error);
  if (root == NULL)
    {
      status = LIMPET_STATUS_INVALID;
      goto out;
    }
  status = limpet_schema_read (root, settings_fields, settings, root_path, error);
  if (status == LIMPET_STATUS_OK)
    status = read_approvers (settings, root, path, error);
  if (status == LIMPET_STATUS_OK)
    status = check_security (settings, error);

out:
  if (status != LIMPET_STATUS_OK)
    limpet_settings_clear (settings);
  json_object_put (root);
  g_free (root_path);
  g_free (text);
  return status;
}

void
limpet_settings_clear (LimpetSettings *settings)
{
  g_free (settings->callers.tls_certificate_file);
  g_free (settings->operators.tls_certificate_file);
  g_free (settings->peers.tls_certificate_file);
  g_free (settings->peer_key_file);
  g_free (settings->peer_public_keys_file);
  g_free (settings->log_url);
  g_free (settings->vm_list_url);
  *settings = (LimpetSettings){ .workers = 0 };
}
