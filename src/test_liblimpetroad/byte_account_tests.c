#include "tests.h"

#include "limpetroad/byte_account.h"

#include <pthread.h>

#define MIB (1024 * 1024)
#define BUDGET_BYTES (28 * MIB)
#define HOLDERS 500
#define STEPS 100000
#define THREADS 8

static LimpetByteHolder
make_holder (LimpetByteAccount *account,
             uint64_t caller,
             uint64_t target,
             uint64_t service)
{
  LimpetByteHolder holder = { .account = account };

  limpet_byte_holder_set_owner (&holder, LIMPET_BYTE_OWNER_CALLER, caller);
  limpet_byte_holder_set_owner (&holder, LIMPET_BYTE_OWNER_TARGET, target);
  limpet_byte_holder_set_owner (&holder, LIMPET_BYTE_OWNER_SERVICE, service);
  return holder;
}

/* Grows holders of one kind until the account says no; returns what they hold. */
static size_t
fill (LimpetByteAccount *account,
      LimpetByteHolder *holders,
      uint64_t caller,
      uint64_t target,
      uint64_t service)
{
  size_t held_before = limpet_byte_account_held (account);

  for (int i = 0; i < HOLDERS; i++)
    {
      holders[i] = make_holder (account, caller, target != 0 ? target : (uint64_t)i + 1,
                                service);
      while (limpet_byte_holder_may_grow (&holders[i], 65536) && holders[i].bytes < MIB)
        limpet_byte_holder_set_bytes (&holders[i], holders[i].bytes + 65536);
    }
  return limpet_byte_account_held (account) - held_before;
}

static void
clear (LimpetByteHolder *holders)
{
  for (int i = 0; i < HOLDERS; i++)
    limpet_byte_holder_clear (&holders[i]);
}

static void
test_a_target_a_service_and_a_caller_use_up_their_shares_only (void)
{
  static LimpetByteHolder faulty[HOLDERS];
  static LimpetByteHolder others[HOLDERS];
  LimpetByteAccount *account = limpet_byte_account_new (BUDGET_BYTES);

  CU_ASSERT_TRUE (fill (account, faulty, 0, 7, 0) <= BUDGET_BYTES * 3 / 16);
  CU_ASSERT_TRUE (fill (account, others, 0, 8, 0) >= BUDGET_BYTES * 3 / 16 - 65536);
  clear (faulty);
  clear (others);
  CU_ASSERT_TRUE (fill (account, faulty, 0, 0, 7) <= BUDGET_BYTES * 3 / 8);
  CU_ASSERT_TRUE (fill (account, others, 0, 0, 8) >= BUDGET_BYTES * 3 / 8 - 65536);
  clear (faulty);
  clear (others);
  CU_ASSERT_TRUE (fill (account, faulty, 7, 0, 0) <= BUDGET_BYTES * 3 / 8);
  clear (faulty);
  limpet_byte_account_delete (account);
}

static void
test_small_holders_are_served_beside_full_shares (void)
{
  static LimpetByteHolder large[HOLDERS];
  static LimpetByteHolder more[HOLDERS];
  LimpetByteAccount *account = limpet_byte_account_new (BUDGET_BYTES);
  LimpetByteHolder small = make_holder (account, 7, 7, 7);
  LimpetByteHolder control = { .account = account, .is_control = true };

  fill (account, large, 1, 0, 1);
  fill (account, more, 2, 0, 2);
  CU_ASSERT_TRUE (limpet_byte_account_held (account) <= BUDGET_BYTES * 3 / 4);
  CU_ASSERT_TRUE (limpet_byte_holder_may_grow (&small, LIMPET_SMALL_HOLDER_BYTES));
  CU_ASSERT_FALSE (limpet_byte_holder_may_grow (&small, MIB));
  CU_ASSERT_TRUE (limpet_byte_holder_may_grow (&control, MIB));
  CU_ASSERT_TRUE (limpet_byte_account_read_size (account) <= 4096);
  clear (large);
  clear (more);
  limpet_byte_account_delete (account);
}

static void
test_random_steps_leave_nothing_behind (void)
{
  static LimpetByteHolder holders[HOLDERS];
  LimpetByteAccount *account = limpet_byte_account_new (BUDGET_BYTES);
  GRand *random = g_rand_new_with_seed (55);

  for (int i = 0; i < HOLDERS; i++)
    holders[i] = make_holder (account, 0, 0, 0);
  for (int step = 0; step < STEPS; step++)
    {
      LimpetByteHolder *holder = &holders[g_rand_int_range (random, 0, HOLDERS)];
      size_t bytes = (size_t)g_rand_int_range (random, 0, 65536);
      size_t held = limpet_byte_account_held (account);

      switch (g_rand_int_range (random, 0, 4))
        {
        case 0:
          limpet_byte_holder_clear (holder);
          *holder = make_holder (account, 0, 0, 0);
          break;
        case 1:
          limpet_byte_holder_set_owner (
              holder, g_rand_int_range (random, 0, LIMPET_BYTE_OWNER_COUNT),
              (uint64_t)g_rand_int_range (random, 0, 9));
          break;
        case 2:
          limpet_byte_holder_set_bytes (holder, bytes);
          break;
        default:
          if (limpet_byte_holder_may_grow (holder, bytes))
            {
              limpet_byte_holder_set_bytes (holder, holder->bytes + bytes);
              CU_ASSERT_TRUE_FATAL (held + bytes <= BUDGET_BYTES);
            }
        }
    }
  for (int i = 0; i < HOLDERS; i++)
    limpet_byte_holder_clear (&holders[i]);
  CU_ASSERT_EQUAL (limpet_byte_account_held (account), 0);
  for (uint64_t key = 1; key < 9; key++)
    {
      LimpetByteHolder holder = make_holder (account, key, key, key);

      CU_ASSERT_TRUE (limpet_byte_holder_may_grow (
          &holder, limpet_byte_account_largest_holding (account)));
      limpet_byte_holder_clear (&holder);
    }
  g_rand_free (random);
  limpet_byte_account_delete (account);
}

/* Grows and clears holders at random. Returns whether more than the budget was held. */
static void *
hold_at_random (void *user)
{
  LimpetByteAccount *account = user;
  LimpetByteHolder holders[16];
  GRand *random = g_rand_new_with_seed (55);
  bool is_exceeded = false;

  for (int i = 0; i < 16; i++)
    holders[i] = make_holder (account, (uint64_t)i % 5 + 1, (uint64_t)i % 7 + 1, 0);
  for (int step = 0; step < STEPS; step++)
    {
      LimpetByteHolder *holder = &holders[g_rand_int_range (random, 0, 16)];

      if (!limpet_byte_holder_try_hold (holder,
                                        (size_t)g_rand_int_range (random, 0, 8 * MIB)))
        limpet_byte_holder_set_bytes (holder, 0);
      is_exceeded = is_exceeded || limpet_byte_account_held (account) > BUDGET_BYTES;
    }
  for (int i = 0; i < 16; i++)
    limpet_byte_holder_clear (&holders[i]);
  g_rand_free (random);
  return GINT_TO_POINTER (is_exceeded);
}

static void
test_threads_that_share_an_account_keep_to_its_budget (void)
{
  LimpetByteAccount *account = limpet_byte_account_new (BUDGET_BYTES);
  pthread_t threads[THREADS];

  for (int i = 0; i < THREADS; i++)
    pthread_create (&threads[i], NULL, hold_at_random, account);
  for (int i = 0; i < THREADS; i++)
    {
      void *is_exceeded = NULL;

      pthread_join (threads[i], &is_exceeded);
      CU_ASSERT_PTR_NULL (is_exceeded);
    }
  CU_ASSERT_EQUAL (limpet_byte_account_held (account), 0);
  limpet_byte_account_delete (account);
}

void
add_byte_account_tests (void)
{
  CU_pSuite suite = CU_add_suite ("byte account", NULL, NULL);

  CU_ADD_TEST (suite, test_a_target_a_service_and_a_caller_use_up_their_shares_only);
  CU_ADD_TEST (suite, test_small_holders_are_served_beside_full_shares);
  CU_ADD_TEST (suite, test_random_steps_leave_nothing_behind);
  CU_ADD_TEST (suite, test_threads_that_share_an_account_keep_to_its_budget);
}
