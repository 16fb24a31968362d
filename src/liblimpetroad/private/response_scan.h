#ifndef LIMPETROAD_PRIVATE_RESPONSE_SCAN_H
#define LIMPETROAD_PRIVATE_RESPONSE_SCAN_H

#include "limpetroad/http_head.h"

#include <glib.h>

/* Looks for the head of a further response in a body that only the close of the
 * connection ends: nothing else tells it from the body. The time that a scan takes grows
 * with the length of the body only, whatever it contains.
 *
 * A zeroed scan is ready for use: feed → … → end → clear. */
typedef struct
{
  GString *held;       /* bytes that may begin a head; NULL before the first feed */
  size_t line_start;   /* of the line under way, in held */
  size_t searched;     /* up to here, that line has no end */
  bool is_in_head;     /* held begins with complete lines of a head */
  bool has_first_line; /* the status line is one of these */
  /* Returns whether a head is that of a further response. */
  bool (*accepts) (void *user, const LimpetHttpHead *head);
  void *user;
} LimpetResponseScan;

/* Adds bytes of the body, and appends to out those that do not begin a head. Returns
 * false once accepts() has returned true for a head. */
bool limpet_response_scan_feed (LimpetResponseScan *scan,
                                const char *data,
                                size_t length,
                                GString *out);
/* Appends the bytes held back to out: the body has ended before they made a head. */
void limpet_response_scan_end (LimpetResponseScan *scan, GString *out);
/* Returns the number of bytes held back. */
size_t limpet_response_scan_held_bytes (const LimpetResponseScan *scan);
void limpet_response_scan_clear (LimpetResponseScan *scan);

#endif
