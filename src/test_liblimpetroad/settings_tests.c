#include "tests.h"

#include "limpetroad/settings.h"

#include <glib.h>
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

#define HEAD                                                                             \
  "{ // comment\n \"name\": \"r1\", \"zone\": \"a\", \"log_url\": "                      \
  "\"http://127.0.0.1:1\", "                                                             \
  "\"vm_list_url\": \"http://127.0.0.1:2\", "
#define PORTS                                                                            \
  "\"callers\": {\"address\": \"127.0.0.1\", \"port\": 1}, "                             \
  "\"operators\": {\"address\": \"127.0.0.1\", \"port\": 2}, "                           \
  "\"peers\": {\"address\": \"127.0.0.1\", \"port\": 3}, "
#define APPROVERS "\"approvers\": []"

/* A settings text and what its error has to name; NULL for a good one. */
typedef struct
{
  const char *text;
  const char *message;
} SettingsCase;

static const SettingsCase cases[] = {
  { HEAD PORTS APPROVERS "}", NULL },
  { HEAD PORTS APPROVERS ", \"workers\": 16}", NULL },
  { HEAD PORTS "}", "settings.approvers: is missing" },
  { HEAD PORTS APPROVERS ", \"worker\": 16}", "did you mean \"workers\"" },
  { HEAD PORTS APPROVERS ", \"workers\": 2}",
    "settings.workers: 2 is outside 8 to 8192" },
  { HEAD PORTS APPROVERS ", \"workers\": 1.5}",
    "settings.workers: must be a whole number" },
  { HEAD PORTS APPROVERS ", \"author_may_approve\": 1}", "must be true or false" },
  { HEAD PORTS "\"approvers\": [{\"name\": \"x\"}]}",
    "approvers[0].public_key: is missing" },
  { HEAD PORTS "\"approvers\": [{\"name\": \"\", \"public_key\": \"\"}]}",
    "approvers[0].name" },
  { HEAD PORTS APPROVERS, "ends in the middle" },
  { HEAD "\n\n \"callers\": }", ":4: " },
  { "[]", "settings: must be an object" },
  { HEAD "\"callers\": {\"address\": \"10.0.0.1\", \"port\": 1}, "
         "\"operators\": {\"address\": \"127.0.0.1\", \"port\": 2}, "
         "\"peers\": {\"address\": \"127.0.0.1\", \"port\": 3}, " APPROVERS "}",
    "settings.callers: 10.0.0.1 is not loopback" },
  { HEAD PORTS APPROVERS ", \"peer_key_file\": \"/nonexistent\"}",
    "settings.peer_key_file" },
};

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
test_cases (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      LimpetSettings settings;
      LimpetError error = { .message = "" };
      LimpetStatus status = load_text (cases[i].text, &settings, &error);

      CU_ASSERT_EQUAL (status == LIMPET_STATUS_OK, cases[i].message == NULL);
      if (cases[i].message != NULL && strstr (error.message, cases[i].message) == NULL)
        {
          g_printerr ("case %zu: %s\n", i, error.message);
          CU_FAIL ("the message does not name the field");
        }
      if (status == LIMPET_STATUS_OK)
        limpet_settings_clear (&settings);
    }
}

void
add_settings_tests (void)
{
  CU_pSuite suite = CU_add_suite ("settings", NULL, NULL);

  CU_add_test (suite, "good and bad files", test_cases);
}
