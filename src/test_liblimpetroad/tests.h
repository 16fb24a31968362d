#ifndef TEST_LIBLIMPETROAD_TESTS_H
#define TEST_LIBLIMPETROAD_TESTS_H

#include <CUnit/Basic.h>

/* Each function adds one suite to the CUnit registry. */
void add_settings_tests (void);
void add_byte_account_tests (void);
void add_descriptor_tests (void);
void add_bundle_tests (void);
void add_claim_tests (void);
void add_target_tests (void);
void add_policy_tests (void);
void add_stream_tests (void);
void add_fuzz_tests (void);
void add_http_tests (void);
void add_cluster_state_tests (void);
void add_quarantine_tests (void);
void add_software_version_tests (void);
void add_dispatch_tests (void);
void add_stale_load_tests (void);
void add_isolation_tests (void);
void add_brittle_tests (void);
void add_cold_target_tests (void);
void add_room_tests (void);
/* Run alone, by test/test_room.py. */
void add_room_stress_tests (void);
/* Run alone, by test/test_rate_limits.py. */
void add_limit_stress_tests (void);
void add_record_writer_tests (void);
void add_platform_tests (void);
void add_watch_tests (void);
void add_read_schedule_tests (void);
void add_log_era_tests (void);
void add_clock_tests (void);
/* Run alone, by test/test_versions_in_force.py. */
void add_clock_jump_tests (void);
void add_clock_limit_tests (void);

#endif
