#ifndef LIMPETCTL_CTL_H
#define LIMPETCTL_CTL_H

#include "limpetroad/bundle_history.h"
#include "limpetroad/log_client.h"
#include "limpetroad/settings.h"

#include <glib.h>
#include <json-c/json.h>
#include <stdbool.h>

/* Exit codes, as the help states them. */
enum
{
  CTL_EXIT_OK = 0,
  CTL_EXIT_FAILED = 1,
  CTL_EXIT_USAGE = 2,
  CTL_EXIT_CONFLICT = 3, /* another roll won */
  CTL_EXIT_UNKNOWN = 4   /* the log did not tell what became of it */
};

/* Options of all commands and what they share. */
typedef struct
{
  char *settings_path;
  char *key_path;
  char *author;
  char *note;
  char *by;
  gboolean as_json;
  char **routers; /* operators' ports, "http://ADDRESS:PORT" */
  LimpetSettings settings;
  LimpetLogClient *log;
  LimpetBundleHistory *history;
  int64_t next_offset;
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
int ctl_fail (const LimpetError *error);
/* Prints an object, as JSON or as lines for people, and releases it. */
void ctl_print (const Ctl *ctl, json_object *object);
/* Reads the bundle stream to its end, or up to until_offset if that is not 0. */
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
