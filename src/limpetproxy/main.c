#include "pump.h"

#include <civetweb.h>
#include <glib.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

/* A TCP proxy that injects faults, for tests. Links are given as NAME:PORT:TARGET_PORT.
 * POST /fault on the control port sets faults: {"link": NAME, FIELD: number, …}, where
 * FIELD is a field of ProxyFault. A "cut" other than 0 closes the open connections; a
 * "silence" other than 0 keeps them open but forwards nothing more on them. Each fault is
 * logged. */

#define MAX_LINKS 64

static ProxyLink links[MAX_LINKS];
static int links_count;

static ProxyLink *
find_link (const char *name)
{
  for (int i = 0; i < links_count; i++)
    if (name != NULL && strcmp (links[i].name, name) == 0)
      return &links[i];
  return NULL;
}

static void
read_number (json_object *object, const char *key, int64_t *value)
{
  json_object *field = NULL;

  if (json_object_object_get_ex (object, key, &field))
    *value = json_object_get_int64 (field);
}

static void
apply_fault (ProxyLink *link, json_object *object)
{
  int64_t cut = 0;
  int64_t silence = 0;

  pthread_mutex_lock (&link->lock);
  read_number (object, "refuse", &link->fault.refuse);
  read_number (object, "delay_ms", &link->fault.delay_ms);
  read_number (object, "drip_bytes", &link->fault.drip_bytes);
  read_number (object, "drop_up", &link->fault.drop_up);
  read_number (object, "drop_down", &link->fault.drop_down);
  read_number (object, "lose_answers", &link->fault.lose_answers);
  read_number (object, "duplicate", &link->fault.duplicate);
  read_number (object, "cut_after", &link->fault.cut_after);
  pthread_mutex_unlock (&link->lock);
  read_number (object, "cut", &cut);
  read_number (object, "silence", &silence);
  if (cut != 0)
    proxy_link_cut (link);
  if (silence != 0)
    proxy_link_silence (link);
}

static int
handle_fault (struct mg_connection *connection, void *user)
{
  char body[2048] = "";
  int length = 0;
  int received;
  json_object *object;
  ProxyLink *link;

  (void)user;
  while (length < (int)sizeof body - 1
         && (received
             = mg_read (connection, body + length, sizeof body - 1 - (size_t)length))
                > 0)
    length += received;
  object = json_tokener_parse (body);
  link = find_link (json_object_get_string (json_object_object_get (object, "link")));
  if (link != NULL)
    apply_fault (link, object);
  fprintf (stderr, "fault %s\n", body);
  json_object_put (object);
  mg_printf (connection, "HTTP/1.1 %d x\r\nContent-Length: 0\r\n\r\n",
             link != NULL ? 200 : 404);
  return 200;
}

static void
add_handlers (const struct mg_context *context)
{
  mg_set_request_handler ((struct mg_context *)context, "/fault$", handle_fault, NULL);
}

static bool
add_link (const char *text)
{
  char **fields = g_strsplit (text, ":", 3);
  ProxyLink *link = &links[links_count];
  bool is_valid = g_strv_length (fields) == 3 && links_count < MAX_LINKS;

  if (is_valid)
    {
      g_strlcpy (link->name, fields[0], sizeof link->name);
      g_strlcpy (link->target_address, "127.0.0.1", sizeof link->target_address);
      link->port = (int)g_ascii_strtoll (fields[1], NULL, 10);
      link->target_port = (int)g_ascii_strtoll (fields[2], NULL, 10);
      is_valid = proxy_link_start (link);
      links_count++;
    }
  g_strfreev (fields);
  return is_valid;
}

int
main (int argc, char **argv)
{
  char port[80];
  const char *options[] = { "listening_ports", port, "num_threads", "4", NULL };
  const struct mg_callbacks callbacks = { .init_context = add_handlers };
  struct mg_context *server;
  sigset_t signals;
  int number = 0;

  if (argc < 3)
    {
      fprintf (stderr, "usage: limpetproxy CONTROL_PORT NAME:PORT:TARGET_PORT…\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  sigemptyset (&signals);
  sigaddset (&signals, SIGTERM);
  pthread_sigmask (SIG_BLOCK, &signals, NULL);
  for (int i = 2; i < argc; i++)
    if (!add_link (argv[i]))
      {
        fprintf (stderr,
                 "limpetproxy: %s: expected NAME:PORT:TARGET_PORT with a free port\n",
                 argv[i]);
        return EXIT_FAILURE;
      }
  g_snprintf (port, sizeof port, "127.0.0.1:%s", argv[1]);
  mg_init_library (0);
  server = mg_start (&callbacks, NULL, options);
  if (server == NULL)
    return EXIT_FAILURE;
  sigwait (&signals, &number);
  _Exit (EXIT_SUCCESS);
}
