#include <boost/test/unit_test.hpp>
#include <functional>
#include <optional>
#include <set>

#include "platform/gateway_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Runs real gateways of one failure domain: the first, or those that a test names, with a link of
/// 4 Mbit/s by its settings, the others with 200 Mbit/s. The caller of the large account goes to
/// the first ready one of a fixed order, as the platform's load balancer does, and keeps its
/// connection while that is open.
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

    /// Bodies with which a caller takes 1.26 of the narrow link.
    static constexpr std::size_t flood_body_bytes = 18'000;
    /// Another caller, of the account "small", and the bodies that it sends.
    std::optional<raw_socket> flood;
    std::size_t flood_bytes = body_bytes;
    std::set<std::size_t> narrow;

    explicit step_back_fixture(std::size_t count, std::set<std::size_t> narrow_entries = {0})
        : gateway_fleet(count), narrow(std::move(narrow_entries)) {
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
            launch_with_link(number);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        BOOST_REQUIRE(run_until([&] {
            return sum_of("gateway_neighbours") == static_cast<double>(count * (count - 1));
        }));
    }

    void launch_with_link(std::size_t number) {
        more_settings =
            R"(,"link_mbps":)" + std::to_string(narrow.contains(number) ? narrow_mbps : wide_mbps);
        launch(entries[number]);
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
        if (flood && !flood->ended()) {
            flood->forget_received();
            flood->send(request("key-2", flood_bytes));
        }
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

/// The first and the last entry are narrow.
struct five_entries_two_narrow : step_back_fixture {
    five_entries_two_narrow() : step_back_fixture(5, {0, 4}) {}

    double neighbours_of(std::size_t number) {
        const std::string text = raw_ask(
            entries[number].admin, "GET /metrics HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        const std::string name = "\nwrenswitch_gateway_neighbours ";
        const std::size_t at = text.find(name);
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size(), 20));
    }

    /// The first entry steps back and the fourth is killed, so that shedding of the last, whose
    /// link the account "small" saturates, would leave two of five.
    void saturate_the_last_beside_a_step_back() {
        begin_load();
        BOOST_REQUIRE_MESSAGE(drive_until([&] { return !ready[0]; }, seconds(6)),
                              entries[0].process->output());
        entries[3].process->signal(SIGKILL);
        BOOST_REQUIRE(drive_until([&] { return neighbours_of(4) == 3.0; }, seconds(5)));
        flood = raw_socket::connect(entries[4].listen);
        // The account has to stand out before the link is full: its demand is an average over 1 s.
        drive(seconds(2));
        BOOST_REQUIRE_MESSAGE(ready[4], entries[4].process->output());
        flood_bytes = flood_body_bytes;
        BOOST_REQUIRE_MESSAGE(
            drive_until([&] { return has_logged(4, "shedding_withheld"); }, seconds(3)),
            entries[4].process->output());
    }
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

// One entry has stepped back and one is dead. Timed shedding of a third would leave two of five.
BOOST_FIXTURE_TEST_CASE(saturated_link_beside_a_step_back_keeps_its_callers,
                        five_entries_two_narrow) {
    saturate_the_last_beside_a_step_back();
    drive(seconds(3));
    BOOST_TEST(ready[4], entries[4].process->output());
    BOOST_TEST(!flood->ended());
    BOOST_TEST(!ready[0]);
    const test::child_process& withholding = *entries[4].process;
    BOOST_TEST(withholding.field("shedding_withheld", "accepting") == "2");
    BOOST_TEST(withholding.field("shedding_withheld", "members") == "5");
    BOOST_TEST(withholding.field("shedding_withheld", "account") == "small");
    BOOST_TEST(sum_of("gateway_shedding_withheld_total") >= 1.0);
    BOOST_TEST(sum_of(R"(gateway_account_closed_total{account="small"})") == 0.0);
}

// The link must be protected as soon as the dead entry accepts callers again.
BOOST_FIXTURE_TEST_CASE(withheld_callers_are_sent_away_when_a_dead_entry_is_back,
                        five_entries_two_narrow) {
    saturate_the_last_beside_a_step_back();
    launch_with_link(3);
    ready[3] = false;
    BOOST_REQUIRE_MESSAGE(drive_until([&] { return ready[3]; }, seconds(8)),
                          "The entry that was started anew: " + entries[3].process->describe());
    BOOST_TEST(drive_until([&] { return flood->ended(); }, seconds(8)),
               entries[4].process->output());
    BOOST_TEST(sum_of(R"(gateway_account_closed_total{account="small"})") == 1.0);
    BOOST_TEST(!has_logged(0, "callers_taken_again"), entries[0].process->output());
}

BOOST_AUTO_TEST_SUITE_END()
