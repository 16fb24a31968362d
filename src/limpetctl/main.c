#include "ctl.h"

#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

static const CtlCommand commands[] = {
  { "keygen", "NAME FILE", 2, false,
    "Generates an Ed25519 key pair for the approver NAME and writes it to FILE (mode "
    "600).",
    ctl_keygen },
  { "peer-keygen", "FILE", 1, false,
    "Generates the routers' CURVE key pair, writes the secret key to FILE and prints "
    "the public key.",
    ctl_peer_keygen },
  { "hash", "KEY", 1, false, "Prints the key_hash of a team's bearer key.", ctl_hash },
  { "check", "FILE", 1, false,
    "Checks a bundle file; an error names the path of the field.", ctl_check },
  { "show", "", 0, true, "Prints the bundle in force according to the log.", ctl_show },
  { "diff", "FILE", 1, true,
    "Lists the parts in which FILE differs from the bundle in force.", ctl_diff },
  { "draft", "FILE", 1, true,
    "Publishes FILE as a draft based on the bundle in force; needs --author.",
    ctl_draft },
  { "approve", "DRAFT", 1, true, "Checks a draft, then signs it with --key.",
    ctl_approve },
  { "roll", "DRAFT", 1, true,
    "Puts an approved draft in force; needs --by. If two drafts with the same parent are "
    "rolled, only the first roll takes effect.",
    ctl_roll },
  { "rollback", "VERSION", 1, true,
    "Publishes the content of an older VERSION as a new draft; needs --author.",
    ctl_rollback },
  { "history", "", 0, true,
    "Lists all bundles that have been in force, with author and approver.", ctl_history },
  { "status", "", 0, false, "Prints the state and the bundle version of each --router.",
    ctl_status },
  { "dump", "", 0, false, "Prints the state dump of each --router.", ctl_dump },
  { "targets", "", 0, false, "Lists the targets of each --router with their state.",
    ctl_targets },
};

int
ctl_report_error (const LimpetError *error)
{
  fprintf (stderr, "limpetctl: %s: %s%s%s%s\n", error->step, error->message,
           error->peer[0] != '\0' ? " (" : "", error->peer,
           error->peer[0] != '\0' ? ")" : "");
  switch (error->status)
    {
    case LIMPET_STATUS_CONFLICT:
      return CTL_EXIT_CONFLICT;
    case LIMPET_STATUS_TIMEOUT:
    case LIMPET_STATUS_BROKEN:
      return CTL_EXIT_UNKNOWN;
    default:
      return CTL_EXIT_FAILED;
    }
}

void
ctl_print (const Ctl *ctl, json_object *object)
{
  if (ctl->as_json || !json_object_is_type (object, json_type_object))
    puts (json_object_to_json_string_ext (object, JSON_C_TO_STRING_PRETTY));
  else
    {
      json_object_object_foreach (object, key, value)
      {
        printf ("%-16s %s\n", key, value != NULL ? json_object_get_string (value) : "-");
      }
    }
  json_object_put (object);
}

/* Applies records up to and including until_offset, or until until_version is in force;
 * 0 for no such limit. */
static LimpetStatus
replay (Ctl *ctl, int64_t until_offset, int64_t until_version, LimpetError *error)
{
  LimpetLogBatch batch;
  LimpetStatus status;
  bool has_more = true;

  while (has_more)
    {
      status = ctl->log->ops->read (ctl->log, LIMPET_BUNDLE_STREAM, ctl->next_offset, 0,
                                    &batch, error);
      if (status != LIMPET_STATUS_OK)
        return status;
      has_more = batch.count > 0;
      for (uint32_t i = 0; i < batch.count; i++)
        {
          const LimpetLogRecord *record = &batch.records[i];

          if ((until_offset != 0 && record->offset > until_offset)
              || (until_version != 0
                  && limpet_bundle_history_current (ctl->history)->version
                         == until_version))
            {
              has_more = false;
              break;
            }
          limpet_bundle_history_apply (ctl->history, record->offset, record->time_ms,
                                       record->data, record->length, NULL);
          ctl->next_offset = record->offset + 1;
        }
      limpet_log_batch_clear (&batch);
    }
  return LIMPET_STATUS_OK;
}

LimpetStatus
ctl_replay (Ctl *ctl, int64_t until_offset, LimpetError *error)
{
  return replay (ctl, until_offset, 0, error);
}

LimpetStatus
ctl_replay_to_version (Ctl *ctl, int64_t version, LimpetError *error)
{
  return replay (ctl, 0, version, error);
}

static char *
describe_commands (void)
{
  GString *text = g_string_new ("Commands:\n");

  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    g_string_append_printf (text, "  %-11s %-9s %s\n", commands[i].name,
                            commands[i].arguments, commands[i].help);
  g_string_append (
      text,
      "\nExit codes: 0 done, 1 failed, 2 wrong usage, 3 another roll took effect first,\n"
      "4 no response from the log: run history to see if the change was stored.\n"
      "See docs/OPERATORS.md for the steps of each task.");
  return g_string_free (text, FALSE);
}

static const CtlCommand *
find_command (const char *name)
{
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (strcmp (commands[i].name, name) == 0)
      return &commands[i];
  return NULL;
}

static int
run_command (Ctl *ctl, const CtlCommand *command, char **arguments)
{
  LimpetError error;
  int exit_code;

  if (command->needs_settings)
    {
      if (ctl->settings_path == NULL)
        {
          fprintf (stderr, "limpetctl: %s needs --settings\n", command->name);
          return CTL_EXIT_USAGE;
        }
      if (limpet_settings_load (&ctl->settings, ctl->settings_path, &error)
          != LIMPET_STATUS_OK)
        return ctl_report_error (&error);
      ctl->log = limpet_log_client_http_new (ctl->settings.log_url);
      ctl->history = limpet_bundle_history_new (&ctl->settings);
    }
  exit_code = command->run (ctl, arguments);
  limpet_bundle_history_delete (ctl->history);
  if (ctl->log != NULL)
    ctl->log->ops->free (ctl->log);
  limpet_settings_clear (&ctl->settings);
  return exit_code;
}

int
main (int argc, char **argv)
{
  Ctl ctl = { .note = NULL };
  GOptionEntry entries[] = {
    { "settings", 's', 0, G_OPTION_ARG_FILENAME, &ctl.settings_path,
      "Settings of a router; the log and the approvers are used", "FILE" },
    { "key", 'k', 0, G_OPTION_ARG_FILENAME, &ctl.key_path, "Key file of the approver",
      "FILE" },
    { "author", 'a', 0, G_OPTION_ARG_STRING, &ctl.author, "Author of the draft", "NAME" },
    { "note", 'n', 0, G_OPTION_ARG_STRING, &ctl.note, "Reason for the change", "TEXT" },
    { "by", 'b', 0, G_OPTION_ARG_STRING, &ctl.by, "Person who rolls the draft", "NAME" },
    { "router", 'r', 0, G_OPTION_ARG_STRING_ARRAY, &ctl.routers,
      "Operators' port of a router; may be repeated", "URL" },
    { "json", 'j', 0, G_OPTION_ARG_NONE, &ctl.as_json, "Print JSON", NULL },
    { NULL, 0, 0, 0, NULL, NULL, NULL },
  };
  GOptionContext *options
      = g_option_context_new ("COMMAND [ARGUMENT…] - operate the fleet");
  char *description = describe_commands ();
  const CtlCommand *command = NULL;
  GError *option_error = NULL;
  int exit_code = CTL_EXIT_USAGE;

  g_option_context_set_description (options, description);
  g_option_context_add_main_entries (options, entries, NULL);
  if (!g_option_context_parse (options, &argc, &argv, &option_error))
    {
      fprintf (stderr, "limpetctl: %s\n", option_error->message);
      g_error_free (option_error);
      goto out;
    }
  if (argc >= 2)
    command = find_command (argv[1]);
  if (command == NULL || argc != 2 + command->arguments_count)
    {
      fprintf (stderr, "limpetctl: %s; see --help\n",
               command == NULL ? "unknown or missing command"
                               : "wrong number of arguments");
      goto out;
    }
  if (sodium_init () >= 0)
    exit_code = run_command (&ctl, command, argv + 2);

out:
  g_free (description);
  g_option_context_free (options);
  return exit_code;
}
