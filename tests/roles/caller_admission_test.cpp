#include "roles/gateway/caller_admission.hpp"

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <utility>

#include "roles/gateway/neighbour_codec.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Records whose connections are closed.
class recording_server final : public ingress_server {
public:
    std::uint16_t port() const override { return 0; }
    void begin_drain() override {}
    void shed(bool sheds) override { sheds_all = sheds; }
    void close_account(std::string_view account, bool closes) override {
        if (closes) {
            closed.emplace(account);
        } else {
            closed.erase(std::string(account));
        }
    }
    void on_account_closed(std::function<void(std::string_view)> action) override {
        report_closed = std::move(action);
    }
    void stop_listening() override {}
    std::size_t connections() const override { return 0; }

    bool sheds_all = false;
    std::set<std::string> closed;
    std::function<void(std::string_view)> report_closed;
};

/// A gateway of 10 Mbit/s whose four neighbours are made up: reports arrive by `report`.
struct caller_admission_fixture : loop_runner {
    static constexpr double bandwidth = 1.25e6;

    metrics counters;
    rate_limited_log events{0, counters};
    std::unique_ptr<message_bus> bus =
        message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value();
    token_allocator_selector members{"h0", {}};
    recording_server server;
    std::vector<account_demand> accounts;
    caller_admission admission{
        loop,     {.bytes_per_second = bandwidth},
        "h0",     events,
        counters, {[this](instant, std::size_t) { return accounts; }, [] { return true; }}};
    std::uint64_t number = 0;

    caller_admission_fixture() {
        for (int each = 0; each <= 4; ++each) {
            members.apply(
                {"h" + std::to_string(each), {}, "tcp://127.0.0.1:1", 1.0, "z1", {}, {}, {}});
        }
        admission.open_exchange(*bus, members, "z1", incarnation_id{1});
        admission.set_server(server);
    }

    /// Reports of the first neighbours arrive, and the link carries a share of its bandwidth.
    void step(int neighbours, double link_share) {
        number += 1;
        for (int each = 1; each <= neighbours; ++each) {
            neighbour_report report;
            report.host = "h" + std::to_string(each);
            report.number = number;
            report.bandwidth = 20 * bandwidth;
            report.state = entry_state::accepting;
            wire::Envelope message;
            *message.mutable_neighbour_report() = encode_neighbour_report(report);
            admission.on_message({}, message);
        }
        loop.traffic().received += static_cast<std::uint64_t>(link_share * bandwidth * 0.02);
        admission.update(monotonic_now());
        run_for(milliseconds(20));
    }

    /// Starts without load, then loads the link until callers are refused.
    bool refuses_within(microseconds length, int neighbours, double link_share) {
        const std::vector<account_demand> loaded = std::exchange(accounts, {});
        const instant begin = monotonic_now();
        while (!admission.accepts_callers()) {
            BOOST_REQUIRE((monotonic_now() - begin < seconds(2)));
            step(neighbours, 0.0);
        }
        accounts = loaded;
        const instant loaded_at = monotonic_now();
        while (admission.accepts_callers() && monotonic_now() - loaded_at < length) {
            step(neighbours, link_share);
        }
        return !admission.accepts_callers();
    }

    std::uint64_t closed_of(const std::string& account) {
        return counters.counter(labelled("gateway_account_closed_total", {{"account", account}}));
    }

    bool has_stepped_back() { return counters.gauge("gateway_stepped_back") > 0.0; }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(caller_admission_test, caller_admission_fixture)

BOOST_AUTO_TEST_CASE(large_account_is_stepped_back_from_while_neighbours_report) {
    accounts = {{"large", 0.8 * bandwidth}};
    BOOST_TEST(refuses_within(seconds(3), 4, 0.8));
    BOOST_TEST(has_stepped_back());
}

// During a rolling update nobody can step back, and the older protection must stay.
BOOST_AUTO_TEST_CASE(saturated_link_sheds_callers_while_half_of_the_members_do_not_report) {
    accounts = {{"large", 1.5 * bandwidth}};
    BOOST_TEST(refuses_within(seconds(3), 2, 2.0));
    BOOST_TEST(!has_stepped_back());
}

// Closing all connections made the other accounts pay for the one that does not fit the link.
BOOST_AUTO_TEST_CASE(shedding_because_of_a_large_account_closes_only_its_connections) {
    accounts = {{"large", 1.5 * bandwidth}, {"small", 0.1 * bandwidth}};
    BOOST_TEST(refuses_within(seconds(3), 2, 2.0));
    BOOST_TEST(!server.sheds_all);
    BOOST_TEST(server.closed == std::set<std::string>{"large"});
}

BOOST_AUTO_TEST_CASE(saturated_link_without_a_large_account_sheds_callers_in_the_end) {
    accounts = {{"a", 0.4 * bandwidth}, {"b", 0.4 * bandwidth}, {"c", 0.4 * bandwidth}};
    BOOST_TEST(refuses_within(seconds(5), 4, 2.0));
    BOOST_TEST(!has_stepped_back());
    BOOST_TEST(server.sheds_all);
}

// Nobody could see who pays for a step back or a shedding. The number of series must stay bounded.
BOOST_AUTO_TEST_CASE(closed_connections_are_counted_for_64_accounts_and_then_for_others) {
    server.report_closed("large");
    server.report_closed("large");
    for (std::size_t each = 1; each < account_labels::max_labels; ++each) {
        server.report_closed("account-" + std::to_string(each));
    }
    server.report_closed("late");
    server.report_closed("later");
    server.report_closed("large");
    BOOST_TEST(closed_of("large") == 3U);
    BOOST_TEST(closed_of("account-63") == 1U);
    BOOST_TEST(closed_of("late") == 0U);
    BOOST_TEST(closed_of("other") == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
