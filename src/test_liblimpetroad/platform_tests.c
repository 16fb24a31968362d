#include "tests.h"

#include "platform/codecs.h"
#include "platform/configuration.h"
#include "platform/server_entry.h"
#include "platform/settings.h"

#include <glib.h>
#include <unistd.h>
#include <string.h>

/* Route r3 has an unknown kind and is ignored. */
static const char *const configuration
    = "{\"version\":7,\"routes\":[{\"name\":\"r1\",\"host\":\"A.example\",\"path_"
      "prefix\":"
      "\"/x/"
      "\",\"kind\":\"streaming\",\"timeout_ms\":12000,\"goal_ms\":500,\"priority\":1,"
      "\"traffic_split\":[{\"service\":\"m\",\"weight\":90},{\"service\":\"p\","
      "\"weight\":"
      "10}],\"max_attempts\":2,\"public\":false,\"sticky\":true,\"resumable\":true,"
      "\"gap_target_ms\":200},{\"name\":\"r2\",\"host\":\"a.example\",\"path_prefix\":\"/"
      "y/"
      "\",\"kind\":\"unsafe\",\"timeout_ms\":900,\"service\":\"p\",\"public\":true},"
      "{\"name\":\"r3\",\"host\":\"a.example\",\"path_prefix\":\"/z/"
      "\",\"kind\":\"new\"}],"
      "\"services\":[{\"name\":\"m\",\"health_path\":\"/"
      "h\",\"max_conns\":250,\"cold_s\":3.5,\"cold_per_s\":8.7,\"engine\":{"
      "\"slots\":32,\"kv_capacity\":8000,\"stride\":7}},{\"name\":\"p\"}],\"limits\":{"
      "\"max_header_bytes\":9000,\"max_body_bytes\":100,\"header_timeout_ms\":3000,"
      "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t\",\"api_keys\":[\"k1\","
      "\"k2\"],\"priority\":3}]}";

static void
test_a_configuration_is_parsed (void)
{
  LimpetError error;
  LimpetRouteTable *table
      = platform_configuration_parse (configuration, strlen (configuration), &error);
  const LimpetRoute *stream;

  CU_ASSERT_PTR_NOT_NULL_FATAL (table);
  stream = limpet_route_table_find_route (table, "a.example", "/x/1");
  CU_ASSERT_PTR_NOT_NULL_FATAL (stream);
  CU_ASSERT_EQUAL (table->version, 7);
  CU_ASSERT_EQUAL (table->limits.body_bytes, 100);
  CU_ASSERT_EQUAL (stream->kind, LIMPET_ROUTE_KIND_STREAM);
  CU_ASSERT_TRUE (stream->is_resumable && !stream->is_public);
  CU_ASSERT_EQUAL (stream->total_weight, 100);
  CU_ASSERT_TRUE (stream->weighted_services[0].service->is_engine);
  CU_ASSERT_FALSE (stream->weighted_services[1].service->is_engine);
  CU_ASSERT_EQUAL (stream->weighted_services[0].service->cold_ms, 3500);
  CU_ASSERT_DOUBLE_EQUAL (stream->weighted_services[0].service->cold_per_s, 8.7, 1e-9);
  CU_ASSERT_EQUAL (stream->weighted_services[1].service->cold_per_s, 0);
  CU_ASSERT_TRUE (limpet_route_table_find_route (table, "a.example", "/y/")->is_public);
  CU_ASSERT_PTR_NULL (limpet_route_table_find_route (table, "a.example", "/z/"));
  CU_ASSERT_EQUAL (limpet_route_table_find_team (table, "k2")->priority, 3);
  CU_ASSERT_TRUE (table->needs_keys);
  limpet_route_table_unref (table);
}

/* Corrupted and truncated configurations, of which some stay valid, cause no crash. */
static void
test_corrupted_configurations_are_handled_safely (void)
{
  GRand *random = g_rand_new_with_seed (21);

  for (int round = 0; round < 4000; round++)
    {
      char *text = g_strdup (configuration);
      size_t length = strlen (text);
      LimpetError error;
      LimpetRouteTable *table;

      for (int i = g_rand_int_range (random, 0, 4); i > 0; i--)
        text[g_rand_int_range (random, 0, (gint32)length)]
            = (char)g_rand_int_range (random, 32, 127);
      if (round % 3 == 0)
        length = (size_t)g_rand_int_range (random, 0, (gint32)length);
      text[length] = '\0';
      table = platform_configuration_parse (text, length, &error);
      limpet_route_table_unref (table);
      g_free (text);
    }
  g_rand_free (random);
  CU_PASS ("no crash");
}

static const char *const entry_fields[][2] = {
  { "service", "\"s\"" },  { "address", "\"10.0.0.1:80\"" }, { "zone", "\"z\"" },
  { "version", "\"v1\"" }, { "state", "\"ready\"" },         { "slots", "8" },
  { "seq", "1" },          { "cold_left_ms", "0" },
};

/* Entries with one field that differs, and the expected result of the parser. */
static const struct
{
  const char *field;
  const char *value; /* JSON; NULL if the field is missing */
  LimpetStatus status;
} server_entries[] = {
  { "more", "1", LIMPET_STATUS_OK },
  { "state", "\"draining\"", LIMPET_STATUS_OK },
  { "state", "\"odd\"", LIMPET_STATUS_INVALID },
  { "state", "1", LIMPET_STATUS_INVALID },
  { "address", "\"10.0.0.1\"", LIMPET_STATUS_INVALID },
  { "address", "\"host:80\"", LIMPET_STATUS_INVALID },
  { "address", "\"10.0.0.1:70000\"", LIMPET_STATUS_INVALID },
  { "address", "\"10.0.0.1:8x\"", LIMPET_STATUS_INVALID },
  { "address", "4", LIMPET_STATUS_INVALID },
  { "service", "4", LIMPET_STATUS_INVALID },
  { "zone", "4", LIMPET_STATUS_INVALID },
  { "version", "[]", LIMPET_STATUS_INVALID },
  { "seq", "9007199254740991", LIMPET_STATUS_OK },
  { "seq", "1e999", LIMPET_STATUS_INVALID },
  { "seq", "-1", LIMPET_STATUS_INVALID },
  { "seq", "9007199254740992", LIMPET_STATUS_INVALID },
  { "seq", "1.5", LIMPET_STATUS_INVALID },
  { "seq", "null", LIMPET_STATUS_INVALID },
  { "seq", "\"1\"", LIMPET_STATUS_INVALID },
  { "slots", "65535", LIMPET_STATUS_OK },
  { "slots", "65536", LIMPET_STATUS_INVALID },
  { "slots", "0", LIMPET_STATUS_INVALID },
  { "cold_left_ms", "\"0\"", LIMPET_STATUS_INVALID },
  { "born", "1.7e12", LIMPET_STATUS_OK },
  { "born", "\"1\"", LIMPET_STATUS_INVALID },
  { "born", "1e15", LIMPET_STATUS_INVALID },
  { "service", NULL, LIMPET_STATUS_INVALID },
  { "address", NULL, LIMPET_STATUS_INVALID },
  { "zone", NULL, LIMPET_STATUS_INVALID },
  { "version", NULL, LIMPET_STATUS_INVALID },
  { "state", NULL, LIMPET_STATUS_INVALID },
  { "slots", NULL, LIMPET_STATUS_INVALID },
  { "seq", NULL, LIMPET_STATUS_INVALID },
  { "cold_left_ms", NULL, LIMPET_STATUS_INVALID },
};

static GString *
write_entry (const char *field, const char *value)
{
  GString *text = g_string_new ("{\"end\":0");

  for (size_t i = 0; i < G_N_ELEMENTS (entry_fields); i++)
    if (strcmp (entry_fields[i][0], field) != 0)
      g_string_append_printf (text, ",\"%s\":%s", entry_fields[i][0], entry_fields[i][1]);
  if (value != NULL)
    g_string_append_printf (text, ",\"%s\":%s", field, value);
  return g_string_append_c (text, '}');
}

static LimpetStatus
parse_entry (const char *text)
{
  LimpetVm vm;
  int64_t sequence;
  LimpetError error;

  return platform_server_entry_parse ("i-1", text, strlen (text), &vm, &sequence, &error);
}

static void
test_a_server_entry_says_until_when_its_server_is_cold (void)
{
  static const char *const left[] = { "0", "2500" };

  for (size_t i = 0; i < G_N_ELEMENTS (left); i++)
    {
      GString *text = write_entry ("cold_left_ms", left[i]);
      LimpetMs now_ms = limpet_clock_mono_ms ();
      LimpetVm vm;
      int64_t sequence;
      LimpetError error;

      CU_ASSERT_EQUAL (platform_server_entry_parse ("i-1", text->str, text->len, &vm,
                                                    &sequence, &error),
                       LIMPET_STATUS_OK);
      CU_ASSERT_TRUE (i == 0 ? vm.cold_until_ms == 0
                             : vm.cold_until_ms >= now_ms + 2500
                                   && vm.cold_until_ms <= now_ms + 3500);
      g_string_free (text, TRUE);
    }
}

static void
test_malformed_server_entries_are_rejected (void)
{
  static const char *const no_entries[] = { "[]", "\x80\xff", "", "{}", "4" };

  for (size_t i = 0; i < G_N_ELEMENTS (server_entries); i++)
    {
      GString *text = write_entry (server_entries[i].field, server_entries[i].value);

      CU_ASSERT_EQUAL (parse_entry (text->str), server_entries[i].status);
      g_string_free (text, TRUE);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (no_entries); i++)
    CU_ASSERT_EQUAL (parse_entry (no_entries[i]), LIMPET_STATUS_INVALID);
}

static const struct
{
  const char *text;
  const char *error; /* part of the expected message; NULL if the file is valid */
} settings_files[] = {
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"more\":[]"
    "}",
    NULL },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"bounds\":{"
    "\"drain_ms\":1e300}}",
    "drain_ms" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"bounds\":{"
    "\"retry_slack\":-1}}",
    "retry_slack" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},"
    "\"port_range\":[7340,73400]}",
    "port_range" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},"
    "\"port_range\":[7340,7340]}",
    "port_range" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"seeds\":["
    "\"10.0.0.1:1\",\"10.0.0.2:1\"]}",
    NULL },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"seeds\":["
    "\"10.0.0.1:1\",\"10.0.0.256:1\"]}",
    "seeds" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"},\"platform\":{\"address\":\"10.0.0.2:3\"},\"seeds\":["
    "7]}",
    "seeds" },
  { "{\"zone\":\"z\"}", "node" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0."
    "1\""
    "}}",
    "front" },
  { "{\"node\":\"n\",\"zone\":\"z\",\"ip\":\"10.0.0.1\",\"listen\":{\"front\":\"10.0.0.1:"
    "1\",\"ready\":\"10.0.0.1:2\"}}",
    "address" },
  { "{\"node\":", "1" }, /* the line of the syntax error */
};

static void
test_settings_errors_name_the_field_and_the_file (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (settings_files); i++)
    {
      PlatformSettings settings;
      LimpetError error;
      char *path = NULL;
      int file = g_file_open_tmp ("settings-XXXXXX", &path, NULL);
      LimpetStatus status;

      CU_ASSERT_TRUE_FATAL (file >= 0);
      g_file_set_contents (path, settings_files[i].text, -1, NULL);
      status = platform_settings_load (&settings, path, &error);
      CU_ASSERT_EQUAL (status == LIMPET_STATUS_OK, settings_files[i].error == NULL);
      if (settings_files[i].error != NULL)
        {
          CU_ASSERT_PTR_NOT_NULL (strstr (error.message, settings_files[i].error));
          CU_ASSERT_PTR_NOT_NULL (strstr (error.message, path));
        }
      close (file);
      unlink (path);
      g_free (path);
    }
}

static void
test_request_headers_are_decoded (void)
{
  LimpetHttpHead head = {
    .method = "POST",
    .target = "/x/1?q",
    .fields = { { "Host", "a.example:80" },
                { "Request-Id", "abc" },
                { "Authorization", "Token k1" },
                { "Deadline-Ms", "1500" },
                { "Prompt-Prefix", "ff:512,0123456789abcdef0123:100,b:30" },
                { "Token-Usage", "642,80" },
                { "Length-Hint", "33" } },
    .fields_count = 7,
  };
  LimpetCallerCodec *codec = platform_caller_codec ();
  LimpetCall call = { .route = NULL };
  LimpetError error;

  CU_ASSERT_EQUAL (codec->ops->read_call (codec, &head, &call, &error), LIMPET_STATUS_OK);
  CU_ASSERT_STRING_EQUAL (call.host, "a.example");
  CU_ASSERT_STRING_EQUAL (call.api_key, "k1");
  CU_ASSERT_EQUAL (call.caller_timeout_ms, 1500);
  CU_ASSERT_EQUAL (call.prompt_parts_count, 3);
  CU_ASSERT_EQUAL (call.prompt_parts[0].id, 255);
  CU_ASSERT_EQUAL (limpet_call_shared_tokens (&call), 612);
  CU_ASSERT_EQUAL (call.max_output_tokens, 80);
  CU_ASSERT_EQUAL (call.expected_output_tokens, 33);
  limpet_call_clear (&call);
}

static void
test_numbers_in_request_headers_are_limited (void)
{
  LimpetHttpHead head = {
    .method = "POST",
    .target = "/x/1",
    .fields = { { "Host", "a.example" },
                { "Deadline-Ms", "99999999999999999999" },
                { "Prompt-Prefix", "1:9223372036854775807,2:9223372036854775807,3:-5" },
                { "Token-Usage", "9223372036854775807,-9223372036854775808" } },
    .fields_count = 4,
  };
  LimpetCallerCodec *codec = platform_caller_codec ();
  LimpetCall call = { .route = NULL };
  LimpetError error;

  CU_ASSERT_EQUAL (codec->ops->read_call (codec, &head, &call, &error), LIMPET_STATUS_OK);
  CU_ASSERT_EQUAL (call.caller_timeout_ms, INT64_MAX);
  CU_ASSERT_EQUAL (call.prompt_parts[0].tokens, 1 << 30);
  CU_ASSERT_EQUAL (call.prompt_parts[2].tokens, 0);
  CU_ASSERT_EQUAL (limpet_call_shared_tokens (&call), INT64_C (2) << 30);
  CU_ASSERT_EQUAL (call.prompt_tokens, 1 << 30);
  CU_ASSERT_EQUAL (call.max_output_tokens, 0);
  limpet_call_clear (&call);
}

static void
test_a_load_with_numbers_out_of_range_is_no_load (void)
{
  static const struct
  {
    const char *text;
    bool has_load;
  } rows[] = {
    { "3,0,8", true },
    { "3,1,8,100", true },
    { "1000000,0,8", true },
    { "1000001,0,8", false },
    { "99999999999999999999,0,8", false },
    { "-1,0,8", false },
    { "3,0", false },
    { "3,,8", false },
    { "3,0,8x", false },
    { "", false },
  };
  LimpetTargetCodec *codec = platform_target_codec ();
  LimpetTarget target = { .vm = { .id = "i-1" } };

  for (size_t i = 0; i < G_N_ELEMENTS (rows); i++)
    {
      LimpetHttpHead head = {
        .status = 200,
        .fields = { { "Server-Load", (char *)rows[i].text },
                    { "Keep-Alive", "timeout=99999999999999999999" } },
        .fields_count = 2,
      };
      LimpetCall call = { .route = NULL };
      LimpetTargetResponse response = { .status = 200 };

      codec->ops->read_response (codec, &head, &call, &target, &response);
      CU_ASSERT_EQUAL (response.has_load, rows[i].has_load);
      CU_ASSERT_EQUAL (response.keep_alive_ms, 3600 * 1000);
    }
}

/* The router does not forward the client's API key and control headers to a target, and
 * writes its own control headers instead. */
static void
test_router_headers_replace_those_of_the_client (void)
{
  static const char *const client_values[]
      = { "secret", "mine", "i-old", "9999", "hold-1", "pin", "backup", "from", NULL };
  LimpetHttpHead head = {
    .fields = { { "Authorization", "Token secret" },
                { "Tenant", "mine" },
                { "Expect-Instance", "i-old" },
                { "Deadline-Ms", "9999" },
                { "Hold", "hold-1" },
                { "Pin-Ms", "pin" },
                { "Kv-Backup", "backup" },
                { "Kv-From", "from" },
                { "Model", "m" } },
    .fields_count = 9,
  };
  LimpetRouteService service = { .is_engine = true };
  LimpetRouteTeam team = { .name = "team-1" };
  LimpetCall call = { .service = &service, .team = &team };
  LimpetTarget target = { .vm = { .id = "i-new" } };
  LimpetCallAttempt attempt = { .target = &target, .remaining_ms = 700, .priority = 2 };
  LimpetTargetCodec *codec = platform_target_codec ();
  GString *out = g_string_new (NULL);

  codec->ops->write_request_fields (codec, &head, &call, &attempt, out);
  for (size_t i = 0; client_values[i] != NULL; i++)
    CU_ASSERT_PTR_NULL (strstr (out->str, client_values[i]));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "Tenant: team-1\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "Expect-Instance: i-new\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "Deadline-Ms: 700\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "Request-Priority: 2\r\n"));
  CU_ASSERT_PTR_NOT_NULL (strstr (out->str, "Model: m\r\n"));
  g_string_free (out, TRUE);
}

void
add_platform_tests (void)
{
  CU_pSuite suite = CU_add_suite ("platform", NULL, NULL);

  CU_ADD_TEST (suite, test_a_configuration_is_parsed);
  CU_ADD_TEST (suite, test_corrupted_configurations_are_handled_safely);
  CU_ADD_TEST (suite, test_a_server_entry_says_until_when_its_server_is_cold);
  CU_ADD_TEST (suite, test_malformed_server_entries_are_rejected);
  CU_ADD_TEST (suite, test_settings_errors_name_the_field_and_the_file);
  CU_ADD_TEST (suite, test_request_headers_are_decoded);
  CU_ADD_TEST (suite, test_numbers_in_request_headers_are_limited);
  CU_ADD_TEST (suite, test_a_load_with_numbers_out_of_range_is_no_load);
  CU_ADD_TEST (suite, test_router_headers_replace_those_of_the_client);
}
