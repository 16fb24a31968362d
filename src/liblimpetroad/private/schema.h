#ifndef LIMPETROAD_PRIVATE_SCHEMA_H
#define LIMPETROAD_PRIVATE_SCHEMA_H

#include "limpetroad/status.h"

#include <json-c/json.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Table-driven reading of a JSON object into a struct. Used for settings and bundles. */

typedef enum
{
  LIMPET_FIELD_NAME,   /* char[LIMPET_NAME_SIZE], not empty */
  LIMPET_FIELD_HEX,    /* char[LIMPET_HASH_HEX_SIZE], 64 hexadecimal digits */
  LIMPET_FIELD_STRING, /* char *, owned by the struct */
  LIMPET_FIELD_INT,    /* int64_t within [min, max] */
  LIMPET_FIELD_BOOL,   /* bool */
  LIMPET_FIELD_OBJECT, /* nested struct described by fields */
  LIMPET_FIELD_OTHER   /* known key, read by the caller */
} LimpetFieldType;

typedef struct LimpetField LimpetField;
struct LimpetField
{
  const char *key;
  LimpetFieldType type;
  size_t offset;
  bool required;
  int64_t min;
  int64_t max;
  const LimpetField *fields; /* of a nested object, ended by a NULL key */
};

/* Parses text with comments. Returns NULL and sets error with the line on failure. */
json_object *limpet_schema_parse (const char *text,
                                  size_t length,
                                  const char *file,
                                  LimpetError *error);

/* Reads object into base by the NULL-terminated table; path names the object in errors.
 */
LimpetStatus limpet_schema_read (json_object *object,
                                 const LimpetField *fields,
                                 void *base,
                                 const char *path,
                                 LimpetError *error);

/* Reads a whole file; the caller frees *text with g_free(). */
LimpetStatus limpet_schema_read_file (const char *path,
                                      char **text,
                                      size_t *length,
                                      LimpetError *error);

#endif
