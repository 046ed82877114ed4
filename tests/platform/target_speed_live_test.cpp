// Plain targets that report their slowdown as a fourth figure of `Load-Report`, before a real
// wrengate.

#include <algorithm>
#include <optional>

#include "platform/gateway_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct target_speed_fixture : gateway_fleet {
    /// The silence threshold of a fast service without a slowdown.
    static constexpr microseconds usual_silence = milliseconds(200);

    std::vector<std::unique_ptr<worker_standin>> targets;
    std::optional<raw_socket> held_caller;
    ingress_exchange_pointer held;
    std::size_t last_request = 0;

    target_speed_fixture() : gateway_fleet(1) {
        more_settings = R"(,"log_served_percent":100,"log_requests_per_second":1000)";
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"any","host":"h.test","pathPrefix":"/","kind":"idempotent","timeoutMs":5000,
             "targetLatencyMs":300,"service":"app","maxAttempts":2}],
            "services":[{"name":"app","healthPath":"/health","maxConns":240}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"]}]})");
    }

    void start(std::size_t target_count, const std::string& load) {
        for (std::size_t number = 1; number <= target_count; ++number) {
            targets.push_back(
                std::make_unique<worker_standin>(loop, "app-" + std::to_string(number)));
            targets.back()->load = load;
            store.put("keyed.servers", targets.back()->id(), targets.back()->list_entry("app"));
        }
        start_all();
        BOOST_REQUIRE(run_until([this] { return ask().starts_with("HTTP/1.1 200"); }));
    }

    raw_socket send(const std::string& path) {
        raw_socket caller = raw_socket::connect(entries[0].listen);
        caller.send("POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r" +
                    std::to_string(++last_request) +
                    "\r\nCredential: key-1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n");
        return caller;
    }

    /// The whole response to one request.
    std::string ask() {
        raw_socket caller = send("/quick");
        BOOST_REQUIRE(run_until([&] { return caller.ended(); }, seconds(6)));
        return caller.received();
    }

    /// How many of the next requests, one after the other, reach each target.
    std::vector<std::size_t> distribute(std::size_t count) {
        std::vector<std::size_t> reached;
        for (const auto& target : targets) {
            reached.push_back(target->seen.size());
        }
        for (std::size_t index = 0; index < count; ++index) {
            ask();
        }
        for (std::size_t index = 0; index < targets.size(); ++index) {
            reached[index] = targets[index]->seen.size() - reached[index];
        }
        return reached;
    }

    /// Sends a request that the first target does not answer until answer_held().
    void hold_request() {
        targets[0]->answer = [this](const ingress_exchange_pointer& exchange) {
            if (exchange->head().target == "/held") {
                held = exchange;
            } else {
                exchange->answer(200, targets[0]->signed_headers(exchange), "body");
            }
        };
        held.reset();
        held_caller = send("/held");
        BOOST_REQUIRE(run_until([this] { return held != nullptr; }));
    }

    std::string answer_held() {
        held->answer(200, targets[0]->signed_headers(held), "body");
        BOOST_REQUIRE(run_until([this] { return held_caller->ended(); }));
        return held_caller->received();
    }

    std::string output() const { return entries[0].process->output(); }

    std::size_t lines(const std::string& event) const {
        const std::string text = output();
        std::size_t found = 0;
        for (std::size_t at = 0; (at = text.find("event=" + event + " ", at)) != std::string::npos;
             ++at) {
            found += 1;
        }
        return found;
    }

    double silent_targets() { return sum_of("gateway_targets_silent_total"); }
};

BOOST_FIXTURE_TEST_SUITE(target_speed_live, target_speed_fixture)

BOOST_AUTO_TEST_CASE(requests_go_to_the_targets_that_are_fast_now) {
    // Guards against equal shares for targets of different speed, learnt or reported.
    start(3, "0,0,6,100");
    targets[0]->work = milliseconds(15);
    targets[1]->work = milliseconds(15);
    targets[2]->work = milliseconds(60);
    distribute(40);
    const std::vector<std::size_t> learnt = distribute(60);
    BOOST_TEST(learnt[2] < 10U);
    targets[0]->work = milliseconds(45);
    targets[0]->load = "0,0,6,300";
    const std::vector<std::size_t> slowed = distribute(60);
    BOOST_TEST(slowed[0] < 10U);
    BOOST_TEST(slowed[1] > 40U);
    BOOST_TEST(lines("service_reports_slowdown") == 1U);
}

BOOST_AUTO_TEST_CASE(targets_that_report_three_figures_share_requests_as_before) {
    // Guards against selection by learnt speed where no target reports a slowdown.
    start(2, "0,0,6");
    targets[1]->work = milliseconds(30);
    distribute(40);
    BOOST_TEST(distribute(60)[1] > 15U);
    BOOST_TEST(lines("service_reports_slowdown") == 0U);
}

BOOST_AUTO_TEST_CASE(malformed_reports_are_counted_and_logged_once_per_change) {
    // Guards against reports that are dropped without a trace, and against a line for each.
    struct report {
        const char* load;
        bool malformed;
        bool logged;
    };
    const std::vector<report> reports{
        {"1,0,6,100", false, false}, {"1,x,6", true, true},       {"1,0", true, false},
        {"1,0,6,abc", true, true},   {"1,0,6,-250", true, false}, {"1,-1,6,100", true, true},
        {"1,0,6,100", false, false}, {"9999999,0,6", true, true}, {"1,0,6", false, false},
        {"1,0,6,nan", true, true},   {"1,0,6,100", false, false}};
    start(1, "1,0,6");
    double counted = 0.0;
    std::size_t logged = 0;
    for (const report& each : reports) {
        targets[0]->load = each.load;
        BOOST_TEST(ask().starts_with("HTTP/1.1 200"));
        BOOST_TEST(ask().starts_with("HTTP/1.1 200"));
        counted += each.malformed ? 2.0 : 0.0;
        logged += each.logged ? 1 : 0;
        BOOST_TEST_CONTEXT(each.load) {
            BOOST_TEST(sum_of("gateway_target_loads_unreadable_total") == counted);
            BOOST_TEST(lines("target_load_unreadable") == logged);
        }
    }
}

BOOST_AUTO_TEST_CASE(slowdown_outside_its_range_is_refused_counted_and_logged) {
    // Guards against a target that attracts or loses all requests by an impossible slowdown.
    start(1, "1,0,6,9");
    targets[0]->load = "1,0,6,10001";
    ask();
    BOOST_TEST(sum_of("gateway_target_loads_unreadable_total") >= 2.0);
    BOOST_TEST(lines("target_load_unreadable") == 1U);
    BOOST_TEST(entries[0].process->field("target_load_unreadable", "part") == "slowdown");
    BOOST_TEST(lines("service_reports_slowdown") == 0U);
    const double counted = sum_of("gateway_target_loads_unreadable_total");
    targets[0]->load = "1,0,6,10000";
    ask();
    targets[0]->load = "1,0,6,10";
    ask();
    BOOST_TEST(sum_of("gateway_target_loads_unreadable_total") == counted);
    BOOST_TEST(lines("service_reports_slowdown") == 1U);
    BOOST_TEST(
        entries[0].process->field("service_reports_slowdown", "load").find("slowdown_pct=10000,") !=
        std::string::npos);
}

BOOST_AUTO_TEST_CASE(failing_target_is_ejected_and_a_slow_one_keeps_the_requests) {
    // The failing target would be the cheaper one by its report and its failure rate.
    start(2, "0,0,6,100");
    distribute(20);
    targets[0]->load = "0,0,6,500";
    targets[0]->work = milliseconds(20);
    targets[1]->answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    const std::vector<std::size_t> reached = distribute(40);
    BOOST_TEST(reached[0] >= 35U);
    BOOST_TEST(reached[1] >= 1U);
    BOOST_TEST(reached[1] < 10U);
    BOOST_TEST(silent_targets() == 0.0);
}

BOOST_AUTO_TEST_CASE(target_that_reports_a_slowdown_while_a_request_waits_is_not_ejected) {
    // Guards against a silence timer whose length was fixed when the request was sent.
    start(1, "1,0,6,100");
    distribute(20);
    hold_request();
    const instant held_at = monotonic_now();
    targets[0]->load = "1,0,6,500";
    while (monotonic_now() - held_at < 2.5 * usual_silence) {
        ask();
    }
    BOOST_TEST(silent_targets() == 0.0);
    BOOST_TEST(answer_held().starts_with("HTTP/1.1 200"));
    BOOST_TEST(lines("target_silent") == 0U);
}

BOOST_AUTO_TEST_CASE(target_that_hangs_is_found_within_five_times_the_usual_threshold) {
    // Guards against a target that excuses any silence by a huge slowdown.
    start(1, "1,0,6,100");
    distribute(20);
    targets[0]->load = "1,0,6,10000";
    hold_request();
    BOOST_REQUIRE(run_until([this] {
        ask();
        return silent_targets() > 0.0;
    }));
    answer_held();
    const double after_ms = std::stod(entries[0].process->field("target_silent", "after_ms"));
    BOOST_TEST(after_ms >= 4.9 * as_milliseconds(usual_silence));
    BOOST_TEST(after_ms <= 10.0 * as_milliseconds(usual_silence));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
