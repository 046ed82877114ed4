#include <boost/test/unit_test.hpp>
#include <map>

#include "platform/dialect.hpp"
#include "roles/gateway/incoming_request.hpp"
#include "wrenswitch/decision/gateway/active_configuration.hpp"

namespace {

using namespace wrenswitch;

/// A request as the platform's pages show one.
struct translation_fixture {
    gateway_dialect dialect = platform::make_dialect();
    message_head head;

    translation_fixture() {
        head.method = "POST";
        head.target = "/lohu930/2f?x=1";
        head.headers = {{"Host", "ficu95.example"},
                        {"Request-Id", "9c41d07be2a35f68"},
                        {"Model", "m"},
                        {"Token-Usage", "1460,80"},
                        {"Prefix-Hash", "5c1e07a2:800,91bd3f06:410,e4402b7d:250"},
                        {"Deadline-Ms", "6000"},
                        {"Credential", "n2ctnfzs989anu6wsjnb"}};
    }

    std::string passed(std::string_view name) {
        for (const http_header& header : forwarded_request_headers(head, dialect)) {
            if (same_header_name(header.name, name)) {
                return header.value;
            }
        }
        return "";
    }
};

target_signals signals_of(std::vector<http_header> headers) {
    message_head answer;
    answer.headers = std::move(headers);
    return platform::read_signals(answer);
}

constexpr std::string_view configuration = R"({"version":7,"routes":[
 {"name":"r-1","host":"ficu95.example","pathPrefix":"/pufi791/","kind":"streaming","timeoutMs":4000,
  "targetLatencyMs":500,"priority":0,"service":"huvo11a","maxAttempts":2,"public":false,
  "resumable":true,"targetGapMs":300},
 {"name":"r-2","host":"ficu95.example","pathPrefix":"/lohu930/","kind":"non_idempotent",
  "timeoutMs":600,"split":[{"service":"huvo11a","weight":90},{"service":"wuno96b","weight":10}],
  "maxAttempts":1}],
 "services":[{"name":"huvo11a","healthPath":"/health","maxConns":360,
   "engine":{"slots":64,"kvCapacity":374509,"kvTokenBytes":131072,"linkMbps":524288.0,
    "moves":true,"stride":3}},
  {"name":"huvo12a","healthPath":"/health","maxConns":360,
   "engine":{"slots":64,"kvTokenBytes":131072,"linkMbps":524288.0,"moves":false}},
  {"name":"wuno96b","healthPath":"/health","maxConns":100}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
  "idleTimeoutMs":15000},
 "tenants":[{"name":"hule930","apiKeys":["k1","k2"],"priority":1,"prepaid":2900465}]})";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(translation_test, translation_fixture)

BOOST_AUTO_TEST_CASE(request_read_has_its_parts) {
    const auto read = parse_incoming_request(head, dialect);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().path == "/lohu930/2f");
    BOOST_TEST(read.value().prompt.prompt_tokens == 1460);
    BOOST_TEST(read.value().prompt.max_output == 80);
    BOOST_REQUIRE(read.value().prompt.parts.size() == 3U);
    BOOST_TEST(read.value().prompt.parts[1].id == 0x91bd3f06U);
    BOOST_TEST(read.value().prompt.parts[1].length == 410);
    BOOST_TEST((*read.value().deadline == seconds(6)));
}

BOOST_AUTO_TEST_CASE(request_without_identifier_or_with_a_repeated_header_is_malformed) {
    message_head repeated = head;
    repeated.headers.push_back({"deadline-ms", "1"});
    BOOST_TEST(!parse_incoming_request(repeated, dialect).has_value());
    std::erase_if(head.headers, [](const auto& header) { return header.name == "Request-Id"; });
    BOOST_TEST(!parse_incoming_request(head, dialect).has_value());
}

BOOST_AUTO_TEST_CASE(guessed_length_is_read_and_a_bad_one_is_no_guess) {
    head.headers.push_back({"Length-Hint", "55"});
    BOOST_TEST(parse_incoming_request(head, dialect).value().prompt.output_hint == 55);
    for (const char* guess : {"x", "-5", "5x"}) {
        head.headers.back().value = guess;
        BOOST_TEST(parse_incoming_request(head, dialect).value().prompt.output_hint == 0);
    }
}

BOOST_AUTO_TEST_CASE(usage_that_is_no_pair_of_numbers_is_malformed) {
    for (const char* usage : {"1460", "a,b", "-1,5", "5,-1", "1460,80,3x"}) {
        BOOST_TEST_CONTEXT(usage) {
            head.headers[3].value = usage;
            BOOST_TEST(!parse_incoming_request(head, dialect).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(key_and_forged_headers_are_not_passed_on) {
    head.headers.push_back({"tenant", "forged"});
    head.headers.push_back({"Expect-Instance", "forged"});
    head.headers.push_back({"Request-Priority", "0"});
    head.headers.push_back({"Kv-Fetch", "10.0.0.1:1"});
    BOOST_TEST(passed("Credential").empty());
    BOOST_TEST(passed("Tenant").empty());
    BOOST_TEST(passed("Expect-Instance").empty());
    BOOST_TEST(passed("Request-Priority").empty());
    BOOST_TEST(passed("Kv-Fetch").empty());
    BOOST_TEST(passed("Prefix-Hash") == "5c1e07a2:800,91bd3f06:410,e4402b7d:250");
}

BOOST_AUTO_TEST_CASE(named_by_connection_the_essential_headers_are_still_passed) {
    head.headers.push_back({"Connection", "Request-Id, Model, X-Mine"});
    head.headers.push_back({"X-Mine", "1"});
    BOOST_TEST(passed("Request-Id") == "9c41d07be2a35f68");
    BOOST_TEST(passed("Model") == "m");
    BOOST_TEST(passed("X-Mine").empty());
}

BOOST_AUTO_TEST_CASE(load_is_three_numbers) {
    const auto load = signals_of({{"Load-Report", "3,1,8"}}).load;
    BOOST_REQUIRE(load.has_value());
    BOOST_TEST(load->running == 3U);
    BOOST_TEST(load->queued == 1U);
    BOOST_TEST(load->limit == 8U);
    BOOST_TEST(!signals_of({}).load.has_value());
    BOOST_TEST(!signals_of({{"Load-Report", ""}}).load.has_value());
    BOOST_TEST(!signals_of({{"Load-Report", "3,1"}}).load.has_value());
}

// Guards against a report with a slowdown that is dropped whole, or one whose damage goes
// unnoticed.
BOOST_AUTO_TEST_CASE(fourth_field_of_a_load_is_the_slowdown_and_further_ones_are_ignored) {
    for (const char* value : {"3,1,8,250", " 3 , 1 , 8 , 250 ", "3,1,8,250,7,x", "3,1,8,250,"}) {
        const target_signals signals = signals_of({{"Load-Report", value}});
        BOOST_REQUIRE(signals.load.has_value());
        BOOST_TEST(signals.load->limit == 8U);
        BOOST_TEST(signals.load->slowdown.value_or(0.0) == 2.5);
        BOOST_TEST(signals.unreadable_load == "");
    }
    const target_signals without = signals_of({{"Load-Report", "3,1,8"}});
    BOOST_TEST(!without.load.value().slowdown.has_value());
    BOOST_TEST(without.unreadable_load == "");
    BOOST_TEST(signals_of({}).unreadable_load == "");
}

BOOST_AUTO_TEST_CASE(only_successful_responses_of_requests_that_ran_count_as_succeeded) {
    message_head answer;
    for (const unsigned status : {200U, 204U, 299U}) {
        answer.status = status;
        BOOST_TEST(platform::read_signals(answer).succeeded);
    }
    for (const unsigned status : {199U, 300U, 404U, 503U}) {
        answer.status = status;
        BOOST_TEST(!platform::read_signals(answer).succeeded);
    }
    answer.status = 200;
    answer.headers = {{"Not-Executed", "1"}};
    BOOST_TEST(!platform::read_signals(answer).succeeded);
}

BOOST_AUTO_TEST_CASE(malformed_slowdown_leaves_the_rest_of_the_load_valid) {
    for (const char* value :
         {"3,1,8,", "3,1,8,x", "3,1,8,-100", "3,1,8,0", "3,1,8,nan", "3,1,8,inf", "3,1,8,99999999",
          "3,1,8,1e400", "3,1,8,100%", "3,1,8,,100"}) {
        const target_signals signals = signals_of({{"Load-Report", value}});
        BOOST_REQUIRE_MESSAGE(signals.load.has_value(), value);
        BOOST_TEST(signals.load->running == 3U);
        BOOST_TEST(signals.load->queued == 1U);
        BOOST_TEST(signals.load->limit == 8U);
        BOOST_TEST(!signals.load->slowdown.has_value());
        BOOST_TEST(signals.unreadable_load == value);
    }
}

BOOST_AUTO_TEST_CASE(malformed_load_is_reported_as_unreadable) {
    for (const char* value : {"3", "3,1", "3,1,", "x,1,8", "3,-1,8", "3,1,8.5", "3,,8", ",,,",
                              "nan,1,8", "3,1,99999999999", "3,1000001,8", "3 1 8", "-3,1,8,100"}) {
        const target_signals signals = signals_of({{"Load-Report", value}});
        BOOST_TEST(!signals.load.has_value(), value);
        BOOST_TEST(signals.unreadable_load == value);
    }
    BOOST_TEST(!signals_of({{"Load-Report", ""}}).load.has_value());
    BOOST_TEST(signals_of({{"Load-Report", ""}}).unreadable_load != "");
}

BOOST_AUTO_TEST_CASE(limit_is_a_decimal_number_of_at_least_zero) {
    BOOST_TEST(!signals_of({}).max_per_second.has_value());
    const std::map<std::string, double> good{
        {"1.7", 1.7}, {" 3 ", 3.0}, {"0", 0.0}, {"0.01", 0.01}, {"1e9", 1e9}};
    for (const auto& [text, value] : good) {
        const target_signals read = signals_of({{"Server-Limit", text}});
        BOOST_REQUIRE(read.max_per_second.has_value());
        BOOST_TEST(*read.max_per_second == value);
        BOOST_TEST(read.unreadable_limit.empty());
    }
}

BOOST_AUTO_TEST_CASE(limit_that_is_no_such_number_says_nothing_and_is_told) {
    for (const char* text : {"nan", "inf", "-1", "many", "1.5/s", "1,5", "0x10", "1e999"}) {
        const target_signals read = signals_of({{"Server-Limit", text}});
        BOOST_TEST(!read.max_per_second.has_value());
        BOOST_TEST(read.unreadable_limit == text);
    }
}

BOOST_AUTO_TEST_CASE(limit_that_is_named_twice_is_the_lower_one) {
    BOOST_TEST(*signals_of({{"Server-Limit", "4"}, {"server-limit", "2.5"}}).max_per_second == 2.5);
    const target_signals half = signals_of({{"Server-Limit", "4"}, {"Server-Limit", "?"}});
    BOOST_TEST(*half.max_per_second == 4.0);
    BOOST_TEST(half.unreadable_limit == "?");
}

target_signals refusal_with(const char* after, unsigned status = 503, bool not_run = true) {
    message_head answer;
    answer.status = status;
    answer.headers = {{"Retry-After", after}};
    if (not_run) {
        answer.headers.push_back({"Not-Executed", "1"});
    }
    return platform::read_signals(answer);
}

BOOST_AUTO_TEST_CASE(rest_is_seconds_with_fractions_beside_a_refusal_that_did_not_run) {
    BOOST_TEST((refusal_with("3").backoff == seconds(3)));
    BOOST_TEST((refusal_with("0.25").backoff == milliseconds(250)));
    BOOST_TEST((refusal_with("0").backoff == seconds(0)));
    BOOST_TEST((refusal_with("86400").backoff == seconds(3600)));
    BOOST_TEST(!refusal_with("3", 503, false).backoff.has_value());
    BOOST_TEST(!refusal_with("3", 429).backoff.has_value());
    BOOST_TEST(!refusal_with("3", 200).backoff.has_value());
}

BOOST_AUTO_TEST_CASE(rest_that_is_no_number_is_none_and_is_told) {
    for (const char* text : {"Wed, 21 Oct 2026 07:28:00 GMT", "soon", "-1", "nan"}) {
        BOOST_TEST(!refusal_with(text).backoff.has_value());
        BOOST_TEST(refusal_with(text).unreadable_backoff == text);
    }
}

BOOST_AUTO_TEST_CASE(target_leaves_that_says_so) {
    BOOST_TEST(signals_of({{"Server-Leaving", "1"}}).draining);
    BOOST_TEST(!signals_of({{"Server-Leaving", "0"}}).draining);
    BOOST_TEST(!signals_of({}).draining);
}

BOOST_AUTO_TEST_CASE(configuration_read_has_routes_services_and_accounts) {
    const auto read = platform::read_configuration(configuration);
    BOOST_REQUIRE(read.has_value());
    const gateway_configuration& config = read.value();
    BOOST_TEST(config.version == 7U);
    BOOST_TEST((config.routes[0].kind == request_kind::resumable_stream));
    BOOST_TEST((config.routes[0].timeout == seconds(4)));
    BOOST_TEST(config.routes[0].max_attempts == 2U);
    BOOST_TEST((config.routes[1].kind == request_kind::single_run));
    BOOST_TEST(config.routes[1].splits.size() == 2U);
    BOOST_TEST(config.services[0].engine->tokens_per_event == 3);
    BOOST_TEST(config.services[0].engine->memory_tokens == 374'509);
    BOOST_TEST(config.services[0].engine->copy_ms_per_token == 0.002);
    BOOST_TEST(config.services[1].engine->copy_ms_per_token == 0.0);
    BOOST_TEST(!config.services[2].engine.has_value());
    BOOST_TEST((config.routes[0].first_response_objective == milliseconds(500)));
    BOOST_TEST((config.routes[0].max_event_gap == milliseconds(300)));
    BOOST_TEST((config.routes[1].max_event_gap == microseconds(0)));
    BOOST_TEST(*config.accounts[0].prepaid_tokens == 2'900'465);
    BOOST_TEST((config.limits.idle_timeout == seconds(15)));
}

BOOST_AUTO_TEST_CASE(damaged_configuration_is_an_error_not_a_guess) {
    BOOST_TEST(!platform::read_configuration("{").has_value());
    BOOST_TEST(!platform::read_configuration("{}").has_value());
    BOOST_TEST(
        !platform::read_configuration(R"({"version":"x","routes":[],"services":[]})").has_value());
}

BOOST_AUTO_TEST_CASE(worker_entry_read_is_a_target) {
    const auto read = platform::read_target(
        "i-1", R"({"service":"huvo11a","addr":"10.128.0.9:8080","zone":"z","slots":64,
                   "state":"draining","seq":4})");
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().target.draining);
    BOOST_TEST(read.value().target.slots == 64U);
    BOOST_TEST((read.value().cold_remaining == microseconds(0)));
    BOOST_TEST(!platform::read_target("i-1", "[]").has_value());
}

BOOST_AUTO_TEST_CASE(cold_worker_is_cold_for_what_its_entry_says) {
    const auto cold = platform::read_target(
        "i-1", R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","slots":6,"state":"ready",
                   "coldLeftMs":1250})");
    BOOST_TEST((cold.value().cold_remaining == milliseconds(1250)));
    const auto odd = platform::read_target(
        "i-1", R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","slots":6,"state":"ready",
                   "coldLeftMs":-7})");
    BOOST_TEST((odd.value().cold_remaining == microseconds(0)));
}

BOOST_AUTO_TEST_CASE(service_says_how_long_it_is_cold_and_what_it_bears) {
    const auto read = platform::read_configuration(
        R"({"version":1,"routes":[],"services":[{"name":"a","coldStartS":3.5,"coldPerS":9.6},
            {"name":"b"}]})");
    BOOST_TEST((read.value().services[0].warmup == target_warmup{milliseconds(3500), 9.6}));
    BOOST_TEST((read.value().services[1].warmup == target_warmup{}));
}

BOOST_AUTO_TEST_CASE(record_that_empties_a_domain_names_it_by_its_key) {
    BOOST_TEST(platform::emptied_domain("evacuate/zg-lucko").value() == "zg-lucko");
    BOOST_TEST(!platform::emptied_domain("evacuate/").has_value());
    BOOST_TEST(!platform::emptied_domain("config").has_value());
    BOOST_TEST(platform::read_emptied("{}").has_value());
    BOOST_TEST(!platform::read_emptied("{").has_value());
    BOOST_TEST(!platform::read_emptied("7").has_value());
}

BOOST_AUTO_TEST_CASE(regions_of_routes_and_accounts_are_read) {
    const auto read = platform::read_configuration(
        R"({"version":1,"services":[],"routes":[
             {"name":"a","host":"h","pathPrefix":"/a","service":"s","allowedRegions":["n","s"]},
             {"name":"b","host":"h","pathPrefix":"/b","service":"s","allowedRegions":[]},
             {"name":"c","host":"h","pathPrefix":"/c","service":"s","allowedRegions":null},
             {"name":"d","host":"h","pathPrefix":"/d","service":"s"}],
            "tenants":[{"name":"t","allowedRegions":["n"]},{"name":"u"}]})");
    BOOST_REQUIRE(read.has_value());
    const gateway_configuration& config = read.value();
    BOOST_TEST((config.routes[0].regions == allowed_regions{{"n", "s"}}));
    BOOST_REQUIRE(config.routes[1].regions.has_value());
    BOOST_TEST(config.routes[1].regions->empty());
    BOOST_TEST(!config.routes[2].regions.has_value());
    BOOST_TEST(!config.routes[3].regions.has_value());
    BOOST_TEST((config.accounts[0].regions == allowed_regions{{"n"}}));
    BOOST_TEST(!config.accounts[1].regions.has_value());
    BOOST_TEST(unreadable_region_limits(config).empty());
}

BOOST_AUTO_TEST_CASE(limit_that_can_not_be_read_is_marked_and_allows_nothing_in_force) {
    for (const char* odd : {R"("n")", "7", R"(["n",3])", R"({"n":true})", "false", "[[]]"}) {
        BOOST_TEST_CONTEXT(odd) {
            const auto read = platform::read_configuration(
                R"({"version":1,"services":[],"routes":[
                     {"name":"a","host":"h","pathPrefix":"/a","service":"s","allowedRegions":)" +
                std::string(odd) + R"(},
                     {"name":"b","host":"h","pathPrefix":"/b","service":"s"}],
                    "tenants":[{"name":"t","allowedRegions":)" +
                odd + "}]}");
            BOOST_REQUIRE(read.has_value());
            BOOST_TEST(read.value().routes[0].regions_unreadable);
            BOOST_TEST(!read.value().routes[1].regions_unreadable);
            BOOST_TEST(read.value().accounts[0].regions_unreadable);
            active_configuration view;
            BOOST_TEST(view.apply(read.value()));
            const gateway_configuration& config = view.current();
            BOOST_REQUIRE(config.routes[0].regions.has_value());
            BOOST_TEST(config.routes[0].regions->empty());
            BOOST_TEST(!config.routes[1].regions.has_value());
            BOOST_REQUIRE(config.accounts[0].regions.has_value());
            BOOST_TEST(config.accounts[0].regions->empty());
            const std::vector<std::string> places = unreadable_region_limits(config);
            BOOST_REQUIRE(places.size() == 2U);
            BOOST_TEST(places[0] == "routes/a/regions");
            BOOST_TEST(places[1] == "accounts/t/regions");
        }
    }
}

BOOST_AUTO_TEST_CASE(record_that_orders_a_rollout_names_its_service_by_its_key) {
    BOOST_TEST(platform::ordered_service("rollout/huvo11a").value() == "huvo11a");
    BOOST_TEST(!platform::ordered_service("rollout/").has_value());
    BOOST_TEST(!platform::ordered_service("config").has_value());
    BOOST_TEST(!platform::ordered_service("evacuate/rollout/x").has_value());
}

BOOST_AUTO_TEST_CASE(order_read_has_version_time_and_number) {
    const auto order = platform::read_order(
        "huvo11a", R"({"service":"huvo11a","targetVersion":"v2","durationS":12.5})", 41);
    BOOST_REQUIRE(order.has_value());
    BOOST_TEST((order.value() == rollout_order{"huvo11a", "v2", milliseconds(12'500), 41}));
}

BOOST_AUTO_TEST_CASE(version_written_as_a_number_is_the_same_as_its_text) {
    const auto order = platform::read_order("s", R"({"targetVersion":2,"durationS":8})", 1);
    const auto listed = platform::read_target(
        "i-1", R"({"service":"s","addr":"10.128.0.9:8080","zone":"z","slots":6,"state":"ready",
                   "version":2})");
    BOOST_TEST(order.value().version == "2");
    BOOST_TEST(listed.value().target.version == order.value().version);
}

BOOST_AUTO_TEST_CASE(order_without_a_duration_has_none) {
    for (const char* text :
         {R"({"targetVersion":"v2"})", R"({"targetVersion":"v2","durationS":0})"}) {
        BOOST_TEST((platform::read_order("s", text, 1).value().duration == microseconds(0)));
    }
}

/// Its targets would get everything if it weren't an order.
BOOST_AUTO_TEST_CASE(order_whose_time_is_no_number_is_one_without_a_time) {
    for (const char* text : {R"({"targetVersion":"v2","durationS":"soon"})",
                             R"({"targetVersion":"v2","durationS":null})"}) {
        const result<rollout_order> read = platform::read_order("s", text, 1);
        BOOST_REQUIRE(read.has_value());
        BOOST_TEST(read.value().version == "v2");
        BOOST_TEST((read.value().duration == microseconds(0)));
    }
}

BOOST_AUTO_TEST_CASE(order_that_cannot_be_read_is_an_error_not_a_guess) {
    for (const char* text :
         {"", "{", "[]", "7", "null", "{}", R"({"targetVersion":""})", R"({"targetVersion":null})",
          R"({"targetVersion":["v2"]})", R"({"targetVersion":"v2","durationS":-1})",
          R"({"targetVersion":"v2","durationS":1e300})",
          R"({"service":"other","targetVersion":"v2"})", R"({"service":7,"targetVersion":"v2"})"}) {
        BOOST_TEST_CONTEXT(text) {
            BOOST_TEST(!platform::read_order("s", text, 1).has_value());
        }
    }
}

BOOST_AUTO_TEST_CASE(status_written_names_state_and_version_under_the_services_key) {
    const auto written = [](rollout_state state) {
        return platform::write_status(
            {"huvo11a", 41, "v2", state, seconds(3), incarnation_id{5}, "why"});
    };
    BOOST_TEST(written(rollout_state::running).key == "rollout/huvo11a");
    BOOST_TEST(*written(rollout_state::running).value ==
               R"({"state":"running","targetVersion":"v2"})");
    BOOST_TEST(*written(rollout_state::completed).value ==
               R"({"state":"completed","targetVersion":"v2"})");
    BOOST_TEST(*written(rollout_state::rolled_back).value ==
               R"({"state":"rolled_back","targetVersion":"v2"})");
}

BOOST_AUTO_TEST_SUITE_END()
