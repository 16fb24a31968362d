#include "limpetroad/byte_account.h"

#include <pthread.h>
#include <stdatomic.h>

/* Part of the budget that is kept for small holders and the router's own calls. */
#define SMALL_HOLDERS_PART 4
/* Shares of the rest: a half for a caller, since many callers may share an address, and
 * for a service; a quarter for a target. */
static const size_t share_parts[LIMPET_BYTE_OWNER_COUNT] = {
  [LIMPET_BYTE_OWNER_CALLER] = 2,
  [LIMPET_BYTE_OWNER_TARGET] = 4,
  [LIMPET_BYTE_OWNER_SERVICE] = 2,
};
#define LARGEST_HOLDING_PART 4
#define MAX_READ_BYTES (64 * 1024)
#define MIN_READ_BYTES (4 * 1024)

struct LimpetByteShare
{
  size_t bytes;
  uint32_t holders;
  uint64_t key;
};

struct LimpetByteAccount
{
  size_t budget_bytes;
  _Atomic size_t held_bytes;
  pthread_mutex_t lock; /* of the shares and of the bytes of all holders */
  GHashTable *shares[LIMPET_BYTE_OWNER_COUNT]; /* key → LimpetByteShare */
};

LimpetByteAccount *
limpet_byte_account_new (size_t budget_bytes)
{
  LimpetByteAccount *account = g_new0 (LimpetByteAccount, 1);

  account->budget_bytes = budget_bytes;
  pthread_mutex_init (&account->lock, NULL);
  for (int i = 0; i < LIMPET_BYTE_OWNER_COUNT; i++)
    account->shares[i]
        = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return account;
}

void
limpet_byte_account_delete (LimpetByteAccount *account)
{
  if (account == NULL)
    return;
  for (int i = 0; i < LIMPET_BYTE_OWNER_COUNT; i++)
    g_hash_table_destroy (account->shares[i]);
  pthread_mutex_destroy (&account->lock);
  g_free (account);
}

void
limpet_byte_account_set_budget (LimpetByteAccount *account, size_t budget_bytes)
{
  account->budget_bytes = budget_bytes;
}

size_t
limpet_byte_account_budget (const LimpetByteAccount *account)
{
  return account->budget_bytes;
}

size_t
limpet_byte_account_held (const LimpetByteAccount *account)
{
  return account->held_bytes;
}

/* Returns the part of the budget that large holders may use up. */
static size_t
large_budget (const LimpetByteAccount *account)
{
  return account->budget_bytes - account->budget_bytes / SMALL_HOLDERS_PART;
}

size_t
limpet_byte_account_largest_holding (const LimpetByteAccount *account)
{
  return large_budget (account) / LARGEST_HOLDING_PART;
}

size_t
limpet_byte_account_read_size (const LimpetByteAccount *account)
{
  return account->held_bytes < large_budget (account) / 2 ? MAX_READ_BYTES
                                                          : MIN_READ_BYTES;
}

static LimpetByteShare *
acquire_share (LimpetByteAccount *account, LimpetByteOwner owner, uint64_t key)
{
  LimpetByteShare *share = g_hash_table_lookup (account->shares[owner], &key);

  if (share == NULL)
    {
      share = g_new0 (LimpetByteShare, 1);
      share->key = key;
      g_hash_table_insert (account->shares[owner], &share->key, share);
    }
  share->holders++;
  return share;
}

static void
release_share (LimpetByteHolder *holder, LimpetByteOwner owner)
{
  LimpetByteShare *share = holder->shares[owner];

  if (share == NULL)
    return;
  holder->shares[owner] = NULL;
  share->bytes -= holder->bytes;
  if (--share->holders == 0)
    g_hash_table_remove (holder->account->shares[owner], &share->key);
}

/* Counts the bytes of the holder for its owner, if it is large and has one. */
static void
ensure_share (LimpetByteHolder *holder, LimpetByteOwner owner)
{
  if (holder->bytes <= LIMPET_SMALL_HOLDER_BYTES || holder->keys[owner] == 0
      || holder->shares[owner] != NULL)
    return;
  holder->shares[owner] = acquire_share (holder->account, owner, holder->keys[owner]);
  holder->shares[owner]->bytes += holder->bytes;
}

void
limpet_byte_holder_set_owner (LimpetByteHolder *holder,
                              LimpetByteOwner owner,
                              uint64_t key)
{
  if (holder->account == NULL || holder->keys[owner] == key)
    return;
  pthread_mutex_lock (&holder->account->lock);
  release_share (holder, owner);
  holder->keys[owner] = key;
  ensure_share (holder, owner);
  pthread_mutex_unlock (&holder->account->lock);
}

static void
set_bytes (LimpetByteHolder *holder, size_t bytes)
{
  holder->account->held_bytes += bytes - holder->bytes;
  for (int i = 0; i < LIMPET_BYTE_OWNER_COUNT; i++)
    {
      if (bytes <= LIMPET_SMALL_HOLDER_BYTES)
        release_share (holder, i);
      else if (holder->shares[i] != NULL)
        holder->shares[i]->bytes += bytes - holder->bytes;
    }
  holder->bytes = bytes;
  for (int i = 0; i < LIMPET_BYTE_OWNER_COUNT; i++)
    ensure_share (holder, i);
}

void
limpet_byte_holder_set_bytes (LimpetByteHolder *holder, size_t bytes)
{
  if (holder->account == NULL || holder->bytes == bytes)
    return;
  pthread_mutex_lock (&holder->account->lock);
  set_bytes (holder, bytes);
  pthread_mutex_unlock (&holder->account->lock);
}

/* Returns whether the owner's share has room for more bytes of the holder. */
static bool
share_has_room (const LimpetByteHolder *holder, LimpetByteOwner owner, size_t more)
{
  const LimpetByteAccount *account = holder->account;
  const LimpetByteShare *share = holder->shares[owner];
  size_t held_bytes;

  if (holder->keys[owner] == 0)
    return true;
  if (share == NULL)
    share = g_hash_table_lookup (account->shares[owner], &holder->keys[owner]);
  held_bytes = share != NULL ? share->bytes : 0;
  if (holder->shares[owner] == NULL)
    held_bytes += holder->bytes;
  return held_bytes + more <= large_budget (account) / share_parts[owner];
}

static bool
may_grow (const LimpetByteHolder *holder, size_t more)
{
  const LimpetByteAccount *account = holder->account;
  bool is_small = holder->bytes + more <= LIMPET_SMALL_HOLDER_BYTES;

  if (account->held_bytes + more
      > (is_small || holder->is_control ? account->budget_bytes : large_budget (account)))
    return false;
  for (int i = 0; !is_small && i < LIMPET_BYTE_OWNER_COUNT; i++)
    if (!share_has_room (holder, i, more))
      return false;
  return is_small
         || holder->bytes + more <= limpet_byte_account_largest_holding (account);
}

bool
limpet_byte_holder_may_grow (const LimpetByteHolder *holder, size_t more)
{
  bool is_allowed;

  if (holder->account == NULL)
    return true;
  pthread_mutex_lock (&holder->account->lock);
  is_allowed = may_grow (holder, more);
  pthread_mutex_unlock (&holder->account->lock);
  return is_allowed;
}

bool
limpet_byte_holder_try_hold (LimpetByteHolder *holder, size_t bytes)
{
  bool is_allowed;

  if (holder->account == NULL)
    return true;
  pthread_mutex_lock (&holder->account->lock);
  is_allowed = bytes <= holder->bytes || may_grow (holder, bytes - holder->bytes);
  if (is_allowed)
    set_bytes (holder, bytes);
  pthread_mutex_unlock (&holder->account->lock);
  return is_allowed;
}

void
limpet_byte_holder_clear (LimpetByteHolder *holder)
{
  limpet_byte_holder_set_bytes (holder, 0);
  *holder = (LimpetByteHolder){ .bytes = 0 };
}
