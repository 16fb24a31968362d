#include "private/schema.h"

#include "limpetroad/limits.h"

#include <glib.h>
#include <inttypes.h>
#include <string.h>

/* json-c counts a value in the innermost array or object as one more level. */
#define MAX_CONTAINER_DEPTH (LIMPET_MAX_JSON_DEPTH - 1)

/* What json-c allocates for an empty object or array, and for each value in one. */
#define CONTAINER_BYTES 1024
#define VALUE_BYTES 160
/* Texts are in the parsed object, and in buffers of the parser and the writer, which may
 * be twice as large as their content. */
#define TEXT_FACTOR 4

/* Returns the Levenshtein distance. Only the first LIMPET_NAME_SIZE characters count. */
static size_t
edit_distance (const char *a, const char *b)
{
  size_t row[LIMPET_NAME_SIZE + 1];
  size_t a_length = strnlen (a, LIMPET_NAME_SIZE);
  size_t b_length = strnlen (b, LIMPET_NAME_SIZE);

  for (size_t j = 0; j <= b_length; j++)
    row[j] = j;
  for (size_t i = 1; i <= a_length; i++)
    {
      size_t diagonal = row[0];

      row[0] = i;
      for (size_t j = 1; j <= b_length; j++)
        {
          size_t above = row[j];
          size_t best = diagonal + (a[i - 1] != b[j - 1]);

          best = MIN (best, above + 1);
          best = MIN (best, row[j - 1] + 1);
          row[j] = best;
          diagonal = above;
        }
    }
  return row[b_length];
}

static const LimpetField *
find_field (const LimpetField *fields, const char *key)
{
  for (; fields->key != NULL; fields++)
    if (strcmp (fields->key, key) == 0)
      return fields;
  return NULL;
}

static const char *
nearest_key (const LimpetField *fields, const char *key)
{
  const char *nearest = fields->key;

  if (nearest == NULL)
    return "";
  for (; fields->key != NULL; fields++)
    if (edit_distance (fields->key, key) < edit_distance (nearest, key))
      nearest = fields->key;
  return nearest;
}

static LimpetStatus
invalid_field (LimpetError *error, const char *path, const char *key, const char *reason)
{
  return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL, "%s.%s: %s", path,
                           key, reason);
}

static bool
is_hash_hex (const char *text)
{
  return strlen (text) == LIMPET_HASH_HEX_SIZE - 1
         && strspn (text, "0123456789abcdef") == LIMPET_HASH_HEX_SIZE - 1;
}

static LimpetStatus
read_text (json_object *value,
           const LimpetField *field,
           void *destination,
           const char *path,
           LimpetError *error)
{
  const char *text;

  if (!json_object_is_type (value, json_type_string))
    return invalid_field (error, path, field->key, "must be a string");
  text = json_object_get_string (value);
  if (strlen (text) != (size_t)json_object_get_string_len (value))
    return invalid_field (error, path, field->key, "must not contain a NUL character");
  if (field->type == LIMPET_FIELD_STRING)
    {
      *(char **)destination = g_strdup (text);
      return LIMPET_STATUS_OK;
    }
  if (field->type == LIMPET_FIELD_HEX)
    {
      if (!is_hash_hex (text))
        return invalid_field (error, path, field->key,
                              "must be 64 lower-case hexadecimal digits");
      memcpy (destination, text, LIMPET_HASH_HEX_SIZE);
      return LIMPET_STATUS_OK;
    }
  if (text[0] == '\0' || strlen (text) >= LIMPET_NAME_SIZE)
    return invalid_field (error, path, field->key, "must have 1 to 63 characters");
  g_strlcpy (destination, text, LIMPET_NAME_SIZE);
  return LIMPET_STATUS_OK;
}

static LimpetStatus
read_int (json_object *value,
          const LimpetField *field,
          void *destination,
          const char *path,
          LimpetError *error)
{
  int64_t number;

  if (!json_object_is_type (value, json_type_int))
    return invalid_field (error, path, field->key, "must be a whole number");
  number = json_object_get_int64 (value);
  if (number < field->min || number > field->max)
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "%s.%s: %" PRId64 " is outside %" PRId64 " to %" PRId64,
                             path, field->key, number, field->min, field->max);
  *(int64_t *)destination = number;
  return LIMPET_STATUS_OK;
}

static LimpetStatus
read_field (json_object *value,
            const LimpetField *field,
            void *base,
            const char *path,
            LimpetError *error)
{
  void *destination = (char *)base + field->offset;
  LimpetStatus status = LIMPET_STATUS_OK;
  char *nested_path;

  switch (field->type)
    {
    case LIMPET_FIELD_NAME:
    case LIMPET_FIELD_HEX:
    case LIMPET_FIELD_STRING:
      return read_text (value, field, destination, path, error);
    case LIMPET_FIELD_INT:
      return read_int (value, field, destination, path, error);
    case LIMPET_FIELD_BOOL:
      if (!json_object_is_type (value, json_type_boolean))
        return invalid_field (error, path, field->key, "must be true or false");
      *(bool *)destination = json_object_get_boolean (value);
      return LIMPET_STATUS_OK;
    case LIMPET_FIELD_OBJECT:
      nested_path = g_strdup_printf ("%s.%s", path, field->key);
      status = limpet_schema_read (value, field->fields, destination, nested_path, error);
      g_free (nested_path);
      return status;
    case LIMPET_FIELD_CUSTOM:
      return LIMPET_STATUS_OK;
    }
  g_assert_not_reached ();
}

static LimpetStatus
check_required (json_object *object,
                const LimpetField *fields,
                const char *path,
                LimpetError *error)
{
  for (; fields->key != NULL; fields++)
    if (fields->required && !json_object_object_get_ex (object, fields->key, NULL))
      return invalid_field (error, path, fields->key, "is missing");
  return LIMPET_STATUS_OK;
}

LimpetStatus
limpet_schema_read (json_object *object,
                    const LimpetField *fields,
                    void *base,
                    const char *path,
                    LimpetError *error)
{
  LimpetStatus status;

  if (!json_object_is_type (object, json_type_object))
    return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                             "%s: must be an object", path);
  json_object_object_foreach (object, key, value)
  {
    const LimpetField *field = find_field (fields, key);

    if (field == NULL)
      return limpet_error_set (error, LIMPET_STATUS_INVALID, "check", NULL,
                               "%s.%.60s: unknown key; did you mean \"%s\"?", path, key,
                               nearest_key (fields, key));
    status = read_field (value, field, base, path, error);
    if (status != LIMPET_STATUS_OK)
      return status;
  }
  return check_required (object, fields, path, error);
}

static int
line_number (const char *text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

char *
limpet_schema_limit_depth (const char *text, size_t *length)
{
  GString *out = g_string_sized_new (*length);
  int depth = 0;
  bool in_string = false;

  for (size_t i = 0; i < *length; i++)
    {
      char c = text[i];
      bool opens = !in_string && (c == '[' || c == '{');
      bool closes = !in_string && (c == ']' || c == '}');
      bool was_too_deep = depth > MAX_CONTAINER_DEPTH;

      depth += opens - closes;
      if (c == '"')
        in_string = !in_string;
      if (opens && depth == MAX_CONTAINER_DEPTH + 1)
        g_string_append (out, "null");
      else if (!was_too_deep)
        g_string_append_c (out, c);
      if (in_string && c == '\\' && i + 1 < *length)
        {
          i++;
          if (!was_too_deep)
            g_string_append_c (out, text[i]);
        }
    }
  *length = out->len;
  return g_string_free (out, FALSE);
}

json_object *
limpet_schema_parse (const char *text,
                     size_t length,
                     const char *file,
                     LimpetError *error)
{
  json_tokener *tokener = json_tokener_new_ex (LIMPET_MAX_JSON_DEPTH);
  json_object *object = json_tokener_parse_ex (tokener, text, (int)length);
  enum json_tokener_error parse_error = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);

  if (parse_error == json_tokener_continue || object == NULL)
    limpet_error_set (error, LIMPET_STATUS_INVALID, "parse", NULL, "%s:%d: %s", file,
                      line_number (text, end),
                      parse_error == json_tokener_continue
                          ? "ends in the middle of a value"
                          : json_tokener_error_desc (parse_error));
  json_tokener_free (tokener);
  return object;
}

/* Returns the index of the last character of the string or comment that starts at index,
 * or index if none does. */
static size_t
skip_text (const char *text, size_t length, size_t index)
{
  const char *start = text + index;
  const char *end = NULL;

  if (*start == '"' || *start == '\'')
    {
      while (++index < length && text[index] != *start)
        index += text[index] == '\\';
      return index;
    }
  if (*start != '/' || index + 1 >= length)
    return index;
  if (start[1] == '/')
    end = memchr (start, '\n', length - index);
  else if (start[1] == '*')
    {
      end = memmem (start + 2, length - index - 2, "*/", 2);
      end = end != NULL ? end + 1 : NULL;
    }
  else
    return index;
  return end != NULL ? (size_t)(end - text) : length;
}

size_t
limpet_schema_needed_bytes (const char *text, size_t length)
{
  size_t bytes = TEXT_FACTOR * length;

  for (size_t i = 0; i < length; i++)
    {
      i = skip_text (text, length, i);
      if (i >= length)
        break;
      if (text[i] == '{' || text[i] == '[')
        bytes += CONTAINER_BYTES;
      else if (text[i] == ',' || text[i] == ':')
        bytes += VALUE_BYTES;
    }
  return bytes;
}

json_object *
limpet_schema_parse_response (const char *text,
                              size_t length,
                              const char *peer,
                              LimpetError *error)
{
  if (limpet_schema_needed_bytes (text, length) <= LIMPET_MAX_CONTROL_OBJECT_BYTES)
    return limpet_schema_parse (text, length, peer, error);
  limpet_error_set (error, LIMPET_STATUS_INVALID, "parse", peer,
                    "the response has too many values");
  return NULL;
}

LimpetStatus
limpet_schema_read_file (const char *path,
                         char **text,
                         size_t *length,
                         LimpetError *error)
{
  GError *glib_error = NULL;
  gsize size = 0;

  if (!g_file_get_contents (path, text, &size, &glib_error))
    {
      limpet_error_set (error, LIMPET_STATUS_NOT_FOUND, "read", NULL, "%s",
                        glib_error->message);
      g_error_free (glib_error);
      return LIMPET_STATUS_NOT_FOUND;
    }
  *length = size;
  return LIMPET_STATUS_OK;
}
