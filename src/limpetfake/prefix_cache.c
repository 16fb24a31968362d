#include "prefix_cache.h"

#include <string.h>
#include <xxhash.h>

#define BLOCK_TOKENS 16

struct PrefixCache
{
  uint32_t capacity_blocks;
  GQueue *lru;       /* block hashes, least recently used first */
  GHashTable *links; /* block hash → its link in lru */
};

PrefixCache *
prefix_cache_new (uint32_t capacity_blocks)
{
  PrefixCache *cache = g_new0 (PrefixCache, 1);

  cache->capacity_blocks = capacity_blocks;
  cache->lru = g_queue_new ();
  cache->links = g_hash_table_new (g_direct_hash, g_direct_equal);
  return cache;
}

int64_t
prefix_cache_hash (const char *text, GArray *block_hashes)
{
  uint64_t prefix_hash = 0;
  int64_t words = 0;

  while (*text != '\0')
    {
      size_t length = strcspn (text, " ");

      if (length > 0)
        {
          prefix_hash = XXH64 (text, length, prefix_hash);
          words++;
          if (words % BLOCK_TOKENS == 0)
            g_array_append_val (block_hashes, prefix_hash);
        }
      text += length;
      text += strspn (text, " ");
    }
  return words;
}

int64_t
prefix_cache_match (const PrefixCache *cache, const GArray *block_hashes)
{
  guint matched = 0;

  while (matched < block_hashes->len
         && g_hash_table_contains (cache->links, GSIZE_TO_POINTER (g_array_index (
                                                     block_hashes, uint64_t, matched))))
    matched++;
  return (int64_t)matched * BLOCK_TOKENS;
}

static void
insert_block (PrefixCache *cache, gpointer hash)
{
  GList *link = g_hash_table_lookup (cache->links, hash);

  if (link != NULL)
    {
      g_queue_unlink (cache->lru, link);
      g_queue_push_tail_link (cache->lru, link);
      return;
    }
  g_queue_push_tail (cache->lru, hash);
  g_hash_table_insert (cache->links, hash, cache->lru->tail);
  if (cache->lru->length > cache->capacity_blocks)
    g_hash_table_remove (cache->links, g_queue_pop_head (cache->lru));
}

void
prefix_cache_insert (PrefixCache *cache, const GArray *block_hashes)
{
  for (guint i = 0; i < block_hashes->len; i++)
    insert_block (cache, GSIZE_TO_POINTER (g_array_index (block_hashes, uint64_t, i)));
}
