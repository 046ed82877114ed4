#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>

#include "platform/gateway_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Runs real gateways of one failure domain: the first with a link of 4 Mbit/s by its settings, the
/// others with 200 Mbit/s. The caller of the large account goes to the first ready one of a fixed
/// order, as the platform's load balancer does, and keeps its connection while that is open.
struct step_back_fixture : gateway_fleet {
    static constexpr int narrow_mbps = 4;
    static constexpr int wide_mbps = 200;
    /// 322 kB/s, 0.64 of the narrow link.
    static constexpr std::size_t body_bytes = 9200;
    static constexpr microseconds request_interval = microseconds(28'571);
    static constexpr microseconds check_interval = milliseconds(500);

    worker_standin worker{loop, "i-worker"};
    std::optional<raw_socket> caller;
    /// The entry that the large account's caller uses.
    std::size_t caller_at = 0;
    bool caller_sends = false;
    std::vector<bool> ready;
    instant next_request{};
    instant next_check{};

    explicit step_back_fixture(std::size_t count) : gateway_fleet(count) {
        store.put("keyed.op", "config", R"({"version":1,"routes":[
            {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent",
             "timeoutMs":1000,"service":"app","maxAttempts":1}],
            "services":[{"name":"app","healthPath":"/health","maxConns":60}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":20000,"headerTimeoutMs":1000,
              "idleTimeoutMs":60000},
            "tenants":[{"name":"large","apiKeys":["key-1"],"prepaid":100000},
              {"name":"small","apiKeys":["key-2"],"prepaid":100000}]})");
        store.put("keyed.servers", worker.id(), worker.list_entry("app"));
        ready.resize(count, true);
        for (std::size_t number = 0; number < count; ++number) {
            more_settings =
                R"(,"link_mbps":)" + std::to_string(number == 0 ? narrow_mbps : wide_mbps);
            launch(entries[number]);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        BOOST_REQUIRE(run_until([&] {
            return sum_of("gateway_neighbours") == static_cast<double>(count * (count - 1));
        }));
    }

    static std::string request(const std::string& key, std::size_t bytes) {
        return "POST /once/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: r1\r\nCredential: " + key +
               "\r\nDeadline-Ms: 900\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n" +
               std::string(bytes, 'x');
    }

    void step_caller() {
        const instant now = monotonic_now();
        if (now >= next_check) {
            next_check = now + check_interval;
            for (std::size_t each = 0; each < entries.size(); ++each) {
                ready[each] = is_ready(entries[each]);
            }
        }
        if (!caller_sends || now < next_request) {
            return;
        }
        next_request = std::max(now - request_interval, next_request) + request_interval;
        if (!caller || caller->ended()) {
            const auto first = std::find(ready.begin(), ready.end(), true);
            caller_at = static_cast<std::size_t>(first - ready.begin()) % entries.size();
            caller = raw_socket::connect(entries[caller_at].listen);
        }
        caller->forget_received();
        caller->send(request("key-1", body_bytes));
    }

    bool drive_until(const std::function<bool()>& condition, microseconds longest) {
        const instant end = monotonic_now() + longest;
        while (!condition()) {
            if (monotonic_now() > end) {
                return false;
            }
            step_caller();
            run_for(milliseconds(5));
        }
        return true;
    }

    void drive(microseconds length) {
        drive_until([] { return false; }, length);
    }

    bool has_logged(std::size_t number, const std::string& event) const {
        return entries[number].process->output().find("event=" + event + " ") != std::string::npos;
    }

    void begin_load() {
        caller_sends = true;
        next_request = monotonic_now();
    }
};

struct three_entries : step_back_fixture {
    three_entries() : step_back_fixture(3) {}
};

struct five_entries : step_back_fixture {
    five_entries() : step_back_fixture(5) {}
};

}  // namespace

BOOST_AUTO_TEST_SUITE(step_back_live_test)

BOOST_FIXTURE_TEST_CASE(account_above_half_of_a_link_moves_and_the_entry_returns_after_it,
                        three_entries) {
    raw_socket other = raw_socket::connect(entries[0].listen);
    other.send(request("key-2", 10));
    BOOST_REQUIRE(run_until([&] { return !other.received().empty(); }));
    begin_load();
    BOOST_REQUIRE_MESSAGE(drive_until([&] { return !ready[0]; }, seconds(6)),
                          entries[0].process->output());
    BOOST_TEST(has_logged(0, "step_back_announced"));
    BOOST_TEST(has_logged(0, "stepped_back"));
    BOOST_TEST(drive_until([&] { return caller_at != 0; }, seconds(4)),
               entries[0].process->output());
    // The entry stays back longer than any timer, since the account's demand goes on elsewhere.
    drive(seconds(13));
    BOOST_TEST(!ready[0], entries[0].process->output());
    BOOST_TEST(!has_logged(0, "callers_sent_away"));
    BOOST_TEST(!other.ended());
    caller_sends = false;
    caller.reset();
    BOOST_TEST(drive_until([&] { return ready[0]; }, seconds(8)), entries[0].process->output());
    BOOST_TEST(entries[0].process->field("callers_taken_again", "reason") == "fits");
    BOOST_TEST(sum_of("gateway_step_backs_total") == 1.0);
    BOOST_TEST(sum_of("gateway_stepped_back") == 0.0);
}

BOOST_FIXTURE_TEST_CASE(neighbour_that_is_killed_meanwhile_does_not_return_the_entry,
                        five_entries) {
    begin_load();
    BOOST_REQUIRE_MESSAGE(drive_until([&] { return !ready[0]; }, seconds(6)),
                          entries[0].process->output());
    entries[4].process->signal(SIGKILL);
    drive(seconds(5));
    BOOST_TEST(!ready[0], entries[0].process->output());
    caller_sends = false;
    caller.reset();
    BOOST_TEST(drive_until([&] { return ready[0]; }, seconds(12)), entries[0].process->output());
}

// Two of three members out would leave less than the platform's load balancer respects.
BOOST_FIXTURE_TEST_CASE(neighbour_whose_death_leaves_too_few_returns_the_entry, three_entries) {
    begin_load();
    BOOST_REQUIRE_MESSAGE(drive_until([&] { return !ready[0]; }, seconds(6)),
                          entries[0].process->output());
    entries[2].process->signal(SIGKILL);
    BOOST_TEST(drive_until([&] { return ready[0]; }, seconds(5)), entries[0].process->output());
    BOOST_TEST(entries[0].process->field("callers_taken_again", "reason") == "too_few_accept");
}

BOOST_AUTO_TEST_SUITE_END()
