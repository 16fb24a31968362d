#ifndef LIMPETROAD_PRIVATE_SCHEMA_H
#define LIMPETROAD_PRIVATE_SCHEMA_H

#include "limpetroad/status.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Reads a JSON object into a struct that a table of fields describes. Used for settings,
 * bundles and key files. */

typedef enum
{
  LIMPET_FIELD_NAME,   /* char[LIMPET_NAME_SIZE], not empty */
  LIMPET_FIELD_HEX,    /* char[LIMPET_HASH_HEX_SIZE], 64 lower-case hexadecimal digits */
  LIMPET_FIELD_STRING, /* char *, allocated with GLib and owned by the struct */
  LIMPET_FIELD_INT,    /* int64_t within [min, max] */
  LIMPET_FIELD_BOOL,   /* bool */
  LIMPET_FIELD_OBJECT, /* nested struct described by fields */
  LIMPET_FIELD_CUSTOM  /* known key whose value the caller reads */
} LimpetFieldType;

typedef struct LimpetField LimpetField;
struct LimpetField
{
  const char *key;
  LimpetFieldType type;
  size_t offset; /* of the member in the struct */
  bool required;
  int64_t min; /* of LIMPET_FIELD_INT */
  int64_t max;
  const LimpetField *fields; /* of LIMPET_FIELD_OBJECT; the last entry has a NULL key */
};

/* Returns a copy of a JSON text in which each array or object that is nested too deeply
 * for limpet_schema_parse() is replaced by null. Sets length to that of the copy, which
 * the caller frees with g_free(). */
char *limpet_schema_limit_depth (const char *text, size_t *length);
/* Parses JSON, which may contain comments. The caller releases the object with
 * json_object_put(). On failure, returns NULL and sets error to a message with file and
 * line number. */
json_object *limpet_schema_parse (const char *text,
                                  size_t length,
                                  const char *file,
                                  LimpetError *error);

/* Returns an estimate of the memory that parsing the text and writing the object as text
 * again take, both counted. */
size_t limpet_schema_needed_bytes (const char *text, size_t length);

/* Parses a response to a control request. As limpet_schema_parse(), but an object that
 * would take more than LIMPET_MAX_CONTROL_OBJECT_BYTES is an error. */
json_object *limpet_schema_parse_response (const char *text,
                                           size_t length,
                                           const char *peer,
                                           LimpetError *error);

/* Reads object into the struct at base. An unknown key, a missing required key or a wrong
 * value is an error. path names the object in error messages, e.g. "path.key: is
 * missing". After an error the caller still frees the strings in the struct. */
LimpetStatus limpet_schema_read (json_object *object,
                                 const LimpetField *fields,
                                 void *base,
                                 const char *path,
                                 LimpetError *error);

/* Reads a whole file; the caller frees *text with g_free(). On failure, sets error, and
 * *text to NULL. */
LimpetStatus limpet_schema_read_file (const char *path,
                                      char **text,
                                      size_t *length,
                                      LimpetError *error);

#endif
