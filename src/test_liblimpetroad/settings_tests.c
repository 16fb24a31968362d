#include "tests.h"

#include "limpetroad/settings.h"
#include "private/schema.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <malloc.h>
#include <string.h>
#include <unistd.h>

/* Parts of the text of a valid settings file. */
#define FIRST_FIELDS                                                                     \
  "{ // comment\n \"name\": \"r1\", \"zone\": \"a\", \"log_url\": "                      \
  "\"http://127.0.0.1:1\", "                                                             \
  "\"vm_list_url\": \"http://127.0.0.1:2\", "
#define ADDRESSES                                                                        \
  "\"callers\": {\"address\": \"127.0.0.1\", \"port\": 1}, "                             \
  "\"operators\": {\"address\": \"127.0.0.1\", \"port\": 2}, "                           \
  "\"peers\": {\"address\": \"127.0.0.1\", \"port\": 3}, "
#define APPROVERS "\"approvers\": []"

typedef struct
{
  const char *text;    /* of the settings file */
  const char *message; /* part of the expected error message; NULL if the file is valid */
} SettingsCase;

static const SettingsCase settings_cases[] = {
  { FIRST_FIELDS ADDRESSES APPROVERS "}", NULL },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"workers\": 16}", NULL },
  { FIRST_FIELDS ADDRESSES "}", "settings.approvers: is missing" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"worker\": 16}", "did you mean \"workers\"" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"workers\": 2}",
    "settings.workers: 2 is outside 8 to 8192" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"memory_mb\": 112}", NULL },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"memory_mb\": 15}",
    "settings.memory_mb: 15 is outside 16 to 1000000" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"workers\": 1.5}",
    "settings.workers: must be a whole number" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"author_may_approve\": 1}",
    "must be true or false" },
  { FIRST_FIELDS ADDRESSES "\"approvers\": [{\"name\": \"x\"}]}",
    "approvers[0].public_key: is missing" },
  { FIRST_FIELDS ADDRESSES "\"approvers\": [{\"name\": \"\", \"public_key\": \"\"}]}",
    "approvers[0].name" },
  { FIRST_FIELDS ADDRESSES APPROVERS, "ends in the middle" },
  { FIRST_FIELDS "\n\n \"callers\": }", ":4: " },
  { "[]", "settings: must be an object" },
  { FIRST_FIELDS "\"callers\": {\"address\": \"10.0.0.1\", \"port\": 1}, "
                 "\"operators\": {\"address\": \"127.0.0.1\", \"port\": 2}, "
                 "\"peers\": {\"address\": \"127.0.0.1\", \"port\": 3}, " APPROVERS "}",
    "settings.callers: 10.0.0.1 is not loopback" },
  { FIRST_FIELDS ADDRESSES APPROVERS ", \"peer_key_file\": \"/nonexistent\"}",
    "settings.peer_key_file" },
};

/* Writes text to a temporary file and loads it. */
static LimpetStatus
load_text (const char *text, LimpetSettings *settings, LimpetError *error)
{
  char *path = NULL;
  int fd = g_file_open_tmp ("limpet-XXXXXX", &path, NULL);
  LimpetStatus status;

  close (fd);
  g_file_set_contents (path, text, -1, NULL);
  status = limpet_settings_load (settings, path, error);
  g_unlink (path);
  g_free (path);
  return status;
}

static void
test_valid_and_invalid_files (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (settings_cases); i++)
    {
      LimpetSettings settings;
      LimpetError error = { .message = "" };
      LimpetStatus status = load_text (settings_cases[i].text, &settings, &error);

      CU_ASSERT_EQUAL (status == LIMPET_STATUS_OK, settings_cases[i].message == NULL);
      if (settings_cases[i].message != NULL
          && strstr (error.message, settings_cases[i].message) == NULL)
        {
          g_printerr ("case %zu: %s\n", i, error.message);
          CU_FAIL ("the error message lacks the expected text");
        }
      if (status == LIMPET_STATUS_OK)
        limpet_settings_clear (&settings);
    }
}

static void
test_values_that_are_nested_too_deeply_become_null (void)
{
  static const struct
  {
    const char *text;
    const char *expected;
  } rows[] = {
    { "[1,{\"a\":[\"]\"]}]", "[1,{\"a\":[\"]\"]}]" },
    { "[\"[[[\\\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"]",
      "[\"[[[\\\"[[[[[[[[[[[[[[[[[[[[[[[[[[[[\"]" },
    { "[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]",
      "[[[[[[[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]]]]]]" },
    { "[[[[[[[[[[[[[[[[[[[[[[[[1,{\"]\":2}],3]]]]]]]]]]]]]]]]]]]]]]]",
      "[[[[[[[[[[[[[[[[[[[[[[[null,3]]]]]]]]]]]]]]]]]]]]]]]" },
    { "", "" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      size_t length = strlen (rows[i].text);
      char *text = limpet_schema_limit_depth (rows[i].text, &length);
      json_object *object = limpet_schema_parse (text, length, "test", NULL);

      CU_ASSERT_STRING_EQUAL (text, rows[i].expected);
      CU_ASSERT_EQUAL (length, strlen (rows[i].expected));
      CU_ASSERT_EQUAL (object != NULL, length > 0);
      if (object != NULL)
        json_object_put (object);
      g_free (text);
    }
}

/* Returns the memory in use. */
static size_t
used_bytes (void)
{
  struct mallinfo2 info = mallinfo2 ();

  return info.uordblks + info.hblkhd;
}

static void
test_an_object_needs_no_more_memory_than_estimated (void)
{
  static const struct
  {
    const char *start;
    const char *repeated;
    const char *end;
  } rows[] = {
    { "[{}", ",{}", "]" },
    { "[[]", ",[]", "]" },
    { "[1", ",1", "]" },
    { "[\"\"", ",\"\"", "]" },
    { "[{\"a\":1}", ",{\"a\":{\"b\":[1]}}", "]" },
    { "[\"", "a text ", "\"]" },
    { "[\"", "\\\"", "\"]" },
    { "[/*\"*/{}", ",{}", "]" },
    { "[//\"\n{}", ",{}", "]" },
    { "['\"'", ",{}", "]" },
  };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      GString *text = g_string_new (rows[i].start);
      size_t used;
      json_object *object;

      while (text->len < 200000)
        g_string_append (text, rows[i].repeated);
      g_string_append (text, rows[i].end);
      used = used_bytes ();
      object = limpet_schema_parse (text->str, text->len, "test", NULL);
      CU_ASSERT_PTR_NOT_NULL (object);
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN);
      used = used_bytes () - used;
      if (used > limpet_schema_needed_bytes (text->str, text->len))
        {
          g_printerr ("row %zu: %zu of %zu\n", i, used,
                      limpet_schema_needed_bytes (text->str, text->len));
          CU_FAIL ("an object needs more memory than estimated");
        }
      json_object_put (object);
      g_string_free (text, TRUE);
    }
}

void
add_settings_tests (void)
{
  CU_pSuite suite = CU_add_suite ("settings", NULL, NULL);

  CU_add_test (suite, "valid and invalid files", test_valid_and_invalid_files);
  CU_ADD_TEST (suite, test_an_object_needs_no_more_memory_than_estimated);
  CU_ADD_TEST (suite, test_values_that_are_nested_too_deeply_become_null);
}
