#ifndef LIMPETROAD_BYTE_ACCOUNT_H
#define LIMPETROAD_BYTE_ACCOUNT_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** \defgroup byte_account Byte account
 *  Counts the bytes that a router holds for others, and decides who may hold more.
 *
 *  Each call and each connection is a holder. It may always hold
 *  LIMPET_SMALL_HOLDER_BYTES while the budget lasts, of which a part is kept for such
 *  small holders. What larger ones hold also counts for their owners: a caller, a target
 *  and a service each have a share of the budget, so that a faulty target or a greedy
 *  caller uses up its own share only.
 *
 *  Threads may share an account; each holder belongs to one thread at a time. What
 *  limpet_byte_holder_may_grow() allows, another thread may have taken a moment later, so
 *  threads that share an account call limpet_byte_holder_try_hold().
 *
 *  Opens no connections. The account says who may hold more; the holders stop reading,
 *  refuse or break off.
 */
typedef struct LimpetByteAccount LimpetByteAccount;
typedef struct LimpetByteShare LimpetByteShare;

#define LIMPET_SMALL_HOLDER_BYTES (16 * 1024)

typedef enum
{
  LIMPET_BYTE_OWNER_CALLER = 0,
  LIMPET_BYTE_OWNER_TARGET,
  LIMPET_BYTE_OWNER_SERVICE,
  LIMPET_BYTE_OWNER_COUNT
} LimpetByteOwner;

/** Zeroed, it belongs to no account: it may hold anything, and nothing is counted. */
typedef struct
{
  LimpetByteAccount *account;
  size_t bytes;
  uint64_t keys[LIMPET_BYTE_OWNER_COUNT];           /**< of its owners; 0 for none */
  LimpetByteShare *shares[LIMPET_BYTE_OWNER_COUNT]; /**< NULL while it is small */
  bool is_control; /**< serves the router itself: may use the part for small holders */
} LimpetByteHolder;

LimpetByteAccount *limpet_byte_account_new (size_t budget_bytes);
/** All holders must have been cleared. \p account may be NULL. */
void limpet_byte_account_delete (LimpetByteAccount *account);
/** Must not run beside other calls for the account. */
void limpet_byte_account_set_budget (LimpetByteAccount *account, size_t budget_bytes);
size_t limpet_byte_account_budget (const LimpetByteAccount *account);
/** Returns the bytes that all holders hold. */
size_t limpet_byte_account_held (const LimpetByteAccount *account);
/** Returns the most that a single holder may ever hold. */
size_t limpet_byte_account_largest_holding (const LimpetByteAccount *account);
/** Returns how many bytes to read from a connection at once: few when the budget is
 *  nearly used up. */
size_t limpet_byte_account_read_size (const LimpetByteAccount *account);

/** Sets who owns what the holder holds; \p key 0 for nobody. */
void limpet_byte_holder_set_owner (LimpetByteHolder *holder,
                                   LimpetByteOwner owner,
                                   uint64_t key);
/** Counts what the holder holds now, whether it may or not. */
void limpet_byte_holder_set_bytes (LimpetByteHolder *holder, size_t bytes);
/** Returns whether the holder may hold \p more bytes than now. */
bool limpet_byte_holder_may_grow (const LimpetByteHolder *holder, size_t more);
/** Counts \p bytes as what the holder holds now if it may hold as much. Returns whether
 * it may. */
bool limpet_byte_holder_try_hold (LimpetByteHolder *holder, size_t bytes);
/** Must be called when the holder holds nothing any more. */
void limpet_byte_holder_clear (LimpetByteHolder *holder);

#endif
