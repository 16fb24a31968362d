#ifndef LIMPETFAKE_PREFIX_CACHE_H
#define LIMPETFAKE_PREFIX_CACHE_H

#include <glib.h>
#include <stdint.h>

/* LRU cache of the prompt prefixes that an engine has processed, in blocks of 16 tokens.
 * Tokens are words. Not thread-safe. */
typedef struct PrefixCache PrefixCache;

PrefixCache *prefix_cache_new (uint32_t capacity_blocks);

/* Appends one hash (uint64_t) to block_hashes for each complete block of the text. The
 * hash covers the text up to the end of the block. Returns the number of words. */
int64_t prefix_cache_hash (const char *text, GArray *block_hashes);

/* Returns the number of leading tokens that are in the cache. */
int64_t prefix_cache_match (const PrefixCache *cache, const GArray *block_hashes);

/* Adds the blocks, or marks those in the cache as most recently used. */
void prefix_cache_insert (PrefixCache *cache, const GArray *block_hashes);

#endif
