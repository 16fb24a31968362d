#ifndef LIMPETCTL_CTL_H
#define LIMPETCTL_CTL_H

#include "limpetroad/bundle_history.h"
#include "limpetroad/log_client.h"
#include "limpetroad/settings.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

/* Exit codes; the help text lists them too. */
enum
{
  CTL_EXIT_OK = 0,
  CTL_EXIT_FAILED = 1,
  CTL_EXIT_USAGE = 2,
  CTL_EXIT_CONFLICT = 3, /* another draft with the same parent took effect first */
  CTL_EXIT_UNKNOWN = 4   /* no response from the log; the change may have been stored */
};

/* Command line options, and state that the commands share. */
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
  LimpetLogClient *log; /* this and history are NULL unless needs_settings */
  LimpetBundleHistory *history;
  int64_t next_offset; /* of the bundle stream, the first record not yet applied */
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

/* Prints an object as JSON, or as lines of key and value without --json, and releases it.
 */
void ctl_print (const Ctl *ctl, json_object *object);

/* Applies the records of the bundle stream to the history: all, or those up to
 * until_offset (included) if it is not 0. */
LimpetStatus ctl_replay (Ctl *ctl, int64_t until_offset, LimpetError *error);

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
