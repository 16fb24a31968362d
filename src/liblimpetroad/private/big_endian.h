#ifndef LIMPETROAD_PRIVATE_BIG_ENDIAN_H
#define LIMPETROAD_PRIVATE_BIG_ENDIAN_H

#include <stddef.h>
#include <stdint.h>

/* Returns the big-endian number in the first count bytes, at most 8. */
static inline uint64_t
limpet_read_big_endian (const char *bytes, size_t count)
{
  uint64_t number = 0;

  for (size_t i = 0; i < count; i++)
    number = number << 8 | (uint8_t)bytes[i];
  return number;
}

/* Writes number as a big-endian number of count bytes, at most 8. */
static inline void
limpet_write_big_endian (char *bytes, uint64_t number, size_t count)
{
  for (size_t i = 0; i < count; i++)
    bytes[i] = (char)(number >> 8 * (count - 1 - i));
}

#endif
