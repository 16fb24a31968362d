#ifndef LIMPETCTL_CTL_H
#define LIMPETCTL_CTL_H

#include "limpetroad/bundle_history.h"
#include "limpetroad/log_client.h"
#include "limpetroad/settings.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

/* Exit codes, which the help text also lists. */
enum
{
  CTL_EXIT_OK = 0,
  CTL_EXIT_FAILED = 1,
  CTL_EXIT_USAGE = 2,
  CTL_EXIT_CONFLICT = 3, /* another roll took effect first, or no such open draft */
  CTL_EXIT_UNKNOWN = 4   /* no response from the log; the change may have been stored */
};

/* Command-line options, and state that the commands share. */
typedef struct
{
  char *settings_path;
  char *key_path;
  char *author;
  char *note;
  char *by;
  gboolean as_json;
  char **routers; /* URLs of operators' ports, "http://ADDRESS:PORT", or NULL */
  LimpetSettings settings;
  LimpetLogClient *log;         /* NULL unless the command needs settings */
  LimpetBundleHistory *history; /* NULL unless the command needs settings */
  int64_t next_offset;          /* first record of the bundle stream not yet applied */
} Ctl;

typedef struct
{
  const char *name;
  const char *arguments;
  int arguments_count;
  bool needs_settings;
  const char *help;
  int (*run) (Ctl *ctl, char **arguments);
} CtlCommand;

/* Prints the error and returns the exit code for its status. */
int ctl_report_error (const LimpetError *error);

/* Prints a JSON value and releases it. Without --json, an object is printed as lines of
 * key and value, an array as JSON. */
void ctl_print (const Ctl *ctl, json_object *object);

/* Applies the records of the bundle stream to the history: those up to and including
 * until_offset, or all if it is 0. */
LimpetStatus ctl_replay (Ctl *ctl, int64_t until_offset, LimpetError *error);
/* Likewise, until a version is in force, or all if it never is. */
LimpetStatus ctl_replay_to_version (Ctl *ctl, int64_t version, LimpetError *error);

int ctl_keygen (Ctl *ctl, char **arguments);
int ctl_peer_keygen (Ctl *ctl, char **arguments);
int ctl_check (Ctl *ctl, char **arguments);
int ctl_show (Ctl *ctl, char **arguments);
int ctl_diff (Ctl *ctl, char **arguments);
int ctl_draft (Ctl *ctl, char **arguments);
int ctl_approve (Ctl *ctl, char **arguments);
int ctl_roll (Ctl *ctl, char **arguments);
int ctl_rollback (Ctl *ctl, char **arguments);
int ctl_history (Ctl *ctl, char **arguments);
int ctl_status (Ctl *ctl, char **arguments);
int ctl_dump (Ctl *ctl, char **arguments);
int ctl_targets (Ctl *ctl, char **arguments);
int ctl_hash (Ctl *ctl, char **arguments);

#endif
