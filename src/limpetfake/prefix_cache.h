#ifndef LIMPETFAKE_PREFIX_CACHE_H
#define LIMPETFAKE_PREFIX_CACHE_H

#include <glib.h>
#include <stdint.h>

/* Which blocks of 16 tokens of which prompts an engine has kept, least recently used
 * first out. Tokens are words. Not locked. */
typedef struct PrefixCache PrefixCache;

PrefixCache *prefix_cache_new (uint32_t capacity_blocks);

/* Fills the chained hashes of the whole blocks of a text; returns the words. */
int64_t prefix_cache_hash (const char *text, GArray *block_hashes);

/* Returns the tokens at the start that are kept. */
int64_t prefix_cache_match (const PrefixCache *cache, const GArray *block_hashes);

void prefix_cache_insert (PrefixCache *cache, const GArray *block_hashes);

#endif
