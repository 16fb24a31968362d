#include "private/link.h"

#include <glib.h>

static void
delete_links (LimpetLink *link)
{
  while (link != NULL)
    {
      LimpetLink *next = link->next;

      limpet_link_delete (link);
      link = next;
    }
}

static void
free_pool (void *pool)
{
  delete_links (pool);
}

void
limpet_link_clear_pool (LimpetTarget *target)
{
  LimpetLink *links;

  pthread_mutex_lock (&target->lock);
  links = target->pool;
  target->pool = NULL;
  pthread_mutex_unlock (&target->lock);
  delete_links (links);
}

LimpetLink *
limpet_link_acquire (LimpetTarget *target, bool fresh)
{
  LimpetMs oldest_ms = limpet_clock_mono_ms () - LIMPET_POOL_IDLE_MS;
  LimpetLink *link = NULL;

  if (!fresh)
    {
      pthread_mutex_lock (&target->lock);
      link = target->pool;
      if (link != NULL)
        target->pool = link->next;
      pthread_mutex_unlock (&target->lock);
    }
  if (link != NULL && link->idle_since_ms < oldest_ms)
    {
      limpet_link_delete (link);
      limpet_link_clear_pool (target);
      link = NULL;
    }
  if (link != NULL)
    {
      link->reused = true;
      return link;
    }
  link = g_new0 (LimpetLink, 1);
  link->multi = curl_multi_init ();
  link->easy = curl_easy_init ();
  curl_multi_setopt (link->multi, CURLMOPT_MAXCONNECTS, 1L);
  return link;
}

/* Takes the links that have rested too long out of the pool; the newest come first. */
static LimpetLink *
detach_old_links (LimpetTarget *target, LimpetMs oldest_ms)
{
  LimpetLink *head = target->pool;
  LimpetLink **place = &head;
  LimpetLink *old;

  while (*place != NULL && (*place)->idle_since_ms >= oldest_ms)
    place = &(*place)->next;
  old = *place;
  *place = NULL;
  target->pool = head;
  return old;
}

void
limpet_link_release (LimpetTarget *target, LimpetLink *link)
{
  LimpetLink *old;

  link->idle_since_ms = limpet_clock_mono_ms ();
  pthread_mutex_lock (&target->lock);
  link->next = target->pool;
  target->pool = link;
  target->pool_free = free_pool;
  old = detach_old_links (target, link->idle_since_ms - LIMPET_POOL_IDLE_MS);
  pthread_mutex_unlock (&target->lock);
  delete_links (old);
}

void
limpet_link_delete (LimpetLink *link)
{
  curl_easy_cleanup (link->easy);
  curl_multi_cleanup (link->multi);
  g_free (link);
}
