#include "tests.h"

#include "limpetroad/bundle_history.h"

#include <glib.h>
#include <sodium.h>
#include <string.h>

/* A bundle history with one approver. */
typedef struct
{
  LimpetSettings settings;
  LimpetBundleHistory *history;
  char secret_key_hex[2 * crypto_sign_SECRETKEYBYTES + 1]; /* of the approver */
} Fixture;

static void
set_up (Fixture *fixture)
{
  uint8_t public_key[crypto_sign_PUBLICKEYBYTES];
  uint8_t secret_key[crypto_sign_SECRETKEYBYTES];

  *fixture = (Fixture){ .settings = { .approvers_count = 1 } };
  crypto_sign_keypair (public_key, secret_key);
  sodium_bin2hex (fixture->secret_key_hex, sizeof fixture->secret_key_hex, secret_key,
                  sizeof secret_key);
  g_strlcpy (fixture->settings.approvers[0].name, "amina", LIMPET_NAME_SIZE);
  sodium_bin2hex (fixture->settings.approvers[0].public_key, LIMPET_HASH_HEX_SIZE,
                  public_key, sizeof public_key);
  fixture->history = limpet_bundle_history_new (&fixture->settings);
}

/* Returns a bundle that sets the share of team "a". */
static LimpetBundle *
make_bundle (const LimpetBundle *base, int share)
{
  char hash[LIMPET_HASH_HEX_SIZE];
  char *team;
  LimpetBundle *bundle;

  limpet_hash_text ("key", hash);
  team = g_strdup_printf ("{\"key_hash\":\"%s\",\"share\":%d}", hash, share);
  LimpetPart changes[] = {
    { .name = (char *)"fleet", .text = (char *)"{}" },
    { .name = (char *)"team/a", .text = team },
  };

  bundle = limpet_bundle_new_with_changes (base, changes, G_N_ELEMENTS (changes));
  g_free (team);
  return bundle;
}

/* Applies a record and frees its text. */
static LimpetBundleEvent
apply (Fixture *fixture, int64_t offset, char *record)
{
  LimpetBundleEvent event = limpet_bundle_history_apply (fixture->history, offset, 1,
                                                         record, strlen (record), NULL);

  g_free (record);
  return event;
}

/* Applies a draft at offset and its approval at offset + 1, and fills id with the id of
 * the draft. */
static void
draft_and_approve (Fixture *fixture,
                   int64_t offset,
                   int share,
                   char id[LIMPET_HASH_HEX_SIZE])
{
  LimpetBundle *base = limpet_bundle_history_current (fixture->history);
  LimpetBundle *bundle = make_bundle (base, share);
  char signature[LIMPET_SIGNATURE_HEX_SIZE];

  CU_ASSERT_EQUAL (apply (fixture, offset,
                          limpet_bundle_format_draft (base, bundle, "baraka", "", id)),
                   LIMPET_BUNDLE_EVENT_DRAFTED);
  limpet_draft_sign (id, fixture->secret_key_hex, signature, NULL);
  CU_ASSERT_EQUAL (
      apply (fixture, offset + 1, limpet_bundle_format_approval (id, "amina", signature)),
      LIMPET_BUNDLE_EVENT_APPROVED);
  limpet_bundle_unref (bundle);
}

static int64_t
current_version (const Fixture *fixture)
{
  return limpet_bundle_history_current (fixture->history)->version;
}

static void
test_only_the_first_roll_on_a_parent_takes_effect (void)
{
  Fixture fixture;
  char first[LIMPET_HASH_HEX_SIZE];
  char second[LIMPET_HASH_HEX_SIZE];

  set_up (&fixture);
  draft_and_approve (&fixture, 1, 10, first);
  draft_and_approve (&fixture, 3, 20, second);
  CU_ASSERT_EQUAL (apply (&fixture, 5, limpet_bundle_format_roll (second, "b")),
                   LIMPET_BUNDLE_EVENT_ROLLED);
  CU_ASSERT_EQUAL (apply (&fixture, 6, limpet_bundle_format_roll (first, "a")),
                   LIMPET_BUNDLE_EVENT_REJECTED);
  CU_ASSERT_EQUAL (apply (&fixture, 5, limpet_bundle_format_roll (second, "b")),
                   LIMPET_BUNDLE_EVENT_NONE);
  CU_ASSERT_EQUAL (current_version (&fixture), 5);
  limpet_bundle_history_delete (fixture.history);
}

/* Applies a draft, its approval and its roll at offset, offset + 1 and offset + 2. The
 * new bundle has version offset + 2. */
static void
roll (Fixture *fixture, int64_t offset, int share)
{
  char id[LIMPET_HASH_HEX_SIZE];

  draft_and_approve (fixture, offset, share, id);
  CU_ASSERT_EQUAL (apply (fixture, offset + 2, limpet_bundle_format_roll (id, "b")),
                   LIMPET_BUNDLE_EVENT_ROLLED);
}

/* A log that lost its newest records gives out their offsets again. */
static void
test_rolls_below_the_version_in_force_raise_it (void)
{
  Fixture fixture;

  set_up (&fixture);
  roll (&fixture, 1, 10);
  CU_ASSERT_EQUAL (
      apply (&fixture, 4, limpet_bundle_format_restoration (fixture.history, 20, 3)),
      LIMPET_BUNDLE_EVENT_RESTORED);
  CU_ASSERT_EQUAL (current_version (&fixture), 20);
  roll (&fixture, 5, 20);
  CU_ASSERT_EQUAL (current_version (&fixture), 21);
  CU_ASSERT_EQUAL (limpet_bundle_history_proof (fixture.history)->parent, 20);
  roll (&fixture, 28, 30);
  CU_ASSERT_EQUAL (current_version (&fixture), 30);
  limpet_bundle_history_delete (fixture.history);
}

/* Guards against a restoration that supersedes a roll appended just before it. */
static void
test_a_restoration_has_no_effect_on_another_version_than_its_base (void)
{
  Fixture fixture;
  LimpetBundleHistory *copy;
  char *lost;
  char id[LIMPET_HASH_HEX_SIZE];

  set_up (&fixture);
  roll (&fixture, 1, 10);
  copy = limpet_bundle_history_new (&fixture.settings);
  lost = limpet_bundle_format_checkpoint (fixture.history);
  CU_ASSERT_EQUAL (limpet_bundle_history_apply (copy, 1, 1, lost, strlen (lost), NULL),
                   LIMPET_BUNDLE_EVENT_CHECKPOINT);
  g_free (lost);
  roll (&fixture, 4, 20);
  roll (&fixture, 7, 30);
  lost = limpet_bundle_format_restoration (fixture.history, 9, 3);
  limpet_bundle_history_delete (fixture.history);
  fixture.history = copy;
  draft_and_approve (&fixture, 2, 40, id);
  CU_ASSERT_EQUAL (apply (&fixture, 4, limpet_bundle_format_roll (id, "b")),
                   LIMPET_BUNDLE_EVENT_ROLLED);
  CU_ASSERT_EQUAL (apply (&fixture, 5, g_strdup (lost)), LIMPET_BUNDLE_EVENT_NONE);
  CU_ASSERT_EQUAL (current_version (&fixture), 4);
  g_free (lost);
  limpet_bundle_history_delete (fixture.history);
}

/* The second update has only the part that differs from the version of the outdated
 * history. */
static void
test_changes_update_an_outdated_history (void)
{
  Fixture fixture;
  LimpetBundleHistory *outdated;
  LimpetPart *changes = NULL;
  uint32_t count = 0;
  int64_t base;

  set_up (&fixture);
  roll (&fixture, 1, 10);
  outdated = limpet_bundle_history_new (&fixture.settings);
  base = limpet_bundle_history_changes_since (fixture.history, 0, &changes, &count);
  CU_ASSERT_EQUAL (base, 0);
  CU_ASSERT_EQUAL (limpet_bundle_history_adopt (
                       outdated, limpet_bundle_history_proof (fixture.history), base,
                       changes, count, NULL),
                   LIMPET_STATUS_OK);
  limpet_parts_free (changes, count);
  roll (&fixture, 4, 20);
  roll (&fixture, 7, 30);
  base = limpet_bundle_history_changes_since (fixture.history, 3, &changes, &count);
  CU_ASSERT_EQUAL (base, 3);
  CU_ASSERT_EQUAL (count, 1);
  CU_ASSERT_EQUAL (limpet_bundle_history_adopt (
                       outdated, limpet_bundle_history_proof (fixture.history), base,
                       changes, count, NULL),
                   LIMPET_STATUS_OK);
  CU_ASSERT_EQUAL (limpet_bundle_history_current (outdated)->version, 9);
  CU_ASSERT_STRING_EQUAL (limpet_bundle_history_current (outdated)->root,
                          limpet_bundle_history_current (fixture.history)->root);
  limpet_parts_free (changes, count);
  limpet_bundle_history_delete (outdated);
  limpet_bundle_history_delete (fixture.history);
}

/* Guards against the replay of an old bundle with a raised version. The signature covers
 * the parent version, but not the version itself. The proof is therefore rejected because
 * its parent is older than the bundle in force. If the parent is changed too, the
 * signature is invalid. */
static void
test_an_old_bundle_with_a_raised_version_is_rejected (void)
{
  Fixture fixture;
  LimpetBundleProof old_proof;
  LimpetPart *changes = NULL;
  uint32_t count = 0;

  set_up (&fixture);
  roll (&fixture, 1, 10);
  old_proof = *limpet_bundle_history_proof (fixture.history);
  limpet_bundle_history_changes_since (fixture.history, 0, &changes, &count);
  roll (&fixture, 4, 20);
  CU_ASSERT_EQUAL (
      limpet_bundle_history_adopt (fixture.history, &old_proof, 0, changes, count, NULL),
      LIMPET_STATUS_EXPIRED);
  old_proof.version = 1000;
  CU_ASSERT_EQUAL (
      limpet_bundle_history_adopt (fixture.history, &old_proof, 0, changes, count, NULL),
      LIMPET_STATUS_EXPIRED);
  old_proof.parent = 7;
  CU_ASSERT_EQUAL (
      limpet_bundle_history_adopt (fixture.history, &old_proof, 0, changes, count, NULL),
      LIMPET_STATUS_UNAUTHORIZED);
  CU_ASSERT_EQUAL (current_version (&fixture), 6);
  limpet_parts_free (changes, count);
  limpet_bundle_history_delete (fixture.history);
}

/* A history without the draft and approval records rejects their roll. A checkpoint has
 * the whole bundle, and needs no earlier record. */
static void
test_a_checkpoint_replaces_missing_records (void)
{
  Fixture fixture;
  LimpetBundleHistory *empty_history;
  char *checkpoint;
  char id[LIMPET_HASH_HEX_SIZE];
  char *roll_record;

  set_up (&fixture);
  roll (&fixture, 1, 10);
  checkpoint = limpet_bundle_format_checkpoint (fixture.history);
  draft_and_approve (&fixture, 4, 20, id);
  empty_history = limpet_bundle_history_new (&fixture.settings);
  roll_record = g_strdup_printf ("{\"type\":\"roll\",\"draft\":\"%s\",\"by\":\"b\"}", id);
  CU_ASSERT_EQUAL (limpet_bundle_history_apply (empty_history, 6, 1, roll_record,
                                                strlen (roll_record), NULL),
                   LIMPET_BUNDLE_EVENT_REJECTED);
  CU_ASSERT_EQUAL (limpet_bundle_history_apply (empty_history, 7, 1, checkpoint,
                                                strlen (checkpoint), NULL),
                   LIMPET_BUNDLE_EVENT_CHECKPOINT);
  CU_ASSERT_EQUAL (limpet_bundle_history_current (empty_history)->version, 3);
  g_free (roll_record);
  g_free (checkpoint);
  limpet_bundle_history_delete (empty_history);
  limpet_bundle_history_delete (fixture.history);
}

void
add_bundle_tests (void)
{
  CU_pSuite suite = CU_add_suite ("bundle history", NULL, NULL);

  CU_add_test (suite, "only the first roll on a parent takes effect",
               test_only_the_first_roll_on_a_parent_takes_effect);
  CU_add_test (suite, "changes update an outdated history",
               test_changes_update_an_outdated_history);
  CU_add_test (suite, "rolls below the version in force raise it",
               test_rolls_below_the_version_in_force_raise_it);
  CU_add_test (suite, "a restoration has no effect on another version than its base",
               test_a_restoration_has_no_effect_on_another_version_than_its_base);
  CU_add_test (suite, "an old bundle with a raised version is rejected",
               test_an_old_bundle_with_a_raised_version_is_rejected);
  CU_add_test (suite, "a checkpoint replaces missing records",
               test_a_checkpoint_replaces_missing_records);
}
