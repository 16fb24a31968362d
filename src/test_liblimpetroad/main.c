#include "tests.h"

#include <sodium.h>
#include <string.h>

static void
add_all_tests (void)
{
  add_settings_tests ();
  add_byte_account_tests ();
  add_descriptor_tests ();
  add_bundle_tests ();
  add_claim_tests ();
  add_target_tests ();
  add_policy_tests ();
  add_stream_tests ();
  add_fuzz_tests ();
  add_http_tests ();
  add_cluster_state_tests ();
  add_quarantine_tests ();
  add_software_version_tests ();
  add_dispatch_tests ();
  add_stale_load_tests ();
  add_isolation_tests ();
  add_brittle_tests ();
  add_cold_target_tests ();
  add_room_tests ();
  add_platform_tests ();
  add_read_schedule_tests ();
  add_watch_tests ();
  add_log_era_tests ();
  add_clock_tests ();
}

/* Without an argument, runs all tests but those that the arguments --limit-stress,
 * --room,
 * --record-writer, --clock-jumps and --clock-limits select. */
int
main (int argc, char **argv)
{
  unsigned failures;

  if (sodium_init () < 0 || CU_initialize_registry () != CUE_SUCCESS)
    return 2;
  if (argc > 1 && strcmp (argv[1], "--limit-stress") == 0)
    add_limit_stress_tests ();
  else if (argc > 1 && strcmp (argv[1], "--room") == 0)
    add_room_tests ();
  else if (argc > 1 && strcmp (argv[1], "--room-stress") == 0)
    add_room_stress_tests ();
  else if (argc > 1 && strcmp (argv[1], "--record-writer") == 0)
    add_record_writer_tests ();
  else if (argc > 1 && strcmp (argv[1], "--clock-jumps") == 0)
    add_clock_jump_tests ();
  else if (argc > 1 && strcmp (argv[1], "--clock-limits") == 0)
    add_clock_limit_tests ();
  else
    add_all_tests ();
  CU_basic_set_mode (CU_BRM_NORMAL);
  CU_basic_run_tests ();
  failures = CU_get_number_of_failures ();
  CU_cleanup_registry ();
  return failures > 0 ? 1 : 0;
}
