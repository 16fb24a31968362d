#ifndef LIMPETROAD_PRIVATE_LINK_H
#define LIMPETROAD_PRIVATE_LINK_H

#include "limpetroad/targets.h"

#include <curl/curl.h>

/* A connection to a target: a libcurl handle with its own connection cache of one.
 *
 * A link is owned by one attempt or rests in its target's pool. A link whose exchange did
 * not end cleanly is deleted, so a connection that timed out, broke, was cancelled or
 * answered for another attempt is never used again.
 */
typedef struct LimpetLink LimpetLink;
struct LimpetLink
{
  CURLM *multi;
  CURL *easy;
  LimpetMs idle_since_ms;
  bool reused;
  LimpetLink *next;
};

/* Takes a pooled link, or makes one. fresh asks for a new connection. */
LimpetLink *limpet_link_acquire (LimpetTarget *target, bool fresh);
/* Puts the link back after an exchange that ended cleanly. */
void limpet_link_release (LimpetTarget *target, LimpetLink *link);
void limpet_link_delete (LimpetLink *link);
/* Deletes the pooled links of a target. */
void limpet_link_clear_pool (LimpetTarget *target);
#endif
