#include <algorithm>
#include <boost/test/unit_test.hpp>

#include "platform/link_sharing_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Begins a connection that may never be accepted.
int connect_without_waiting(std::uint16_t port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    return descriptor;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(link_sharing_live_test, link_sharing_fleet)

/// Load: two accounts with 0.16 of the link each and one with five times the link, for 6 s. Guards
/// against others' requests that wait behind those of the flooding account.
BOOST_AUTO_TEST_CASE(flooding_account_is_refused_and_the_others_are_served_in_time) {
    constexpr microseconds length = seconds(6);
    more_settings = R"(,"link_mbps":2,"share_link":true)";
    start_all();
    offer(length, {{"a", 10.0}, {"b", 10.0}});
    const double before = arrival_quantile_ms(0.99);
    offer(length, {{"a", 10.0}, {"b", 10.0}, {"flood", 312.0}});
    const double with_flood = arrival_quantile_ms(0.99);
    const double turn_ms = as_milliseconds(longest_turn);
    BOOST_TEST_MESSAGE("p99 " << before << " ms, with flood " << with_flood << " ms, longest turn "
                              << turn_ms << " ms");
    BOOST_TEST(with_flood <= 1.5 * before + turn_ms);
    for (const char* account : {"a", "b"}) {
        BOOST_TEST(outcomes[account].refused + outcomes[account].other == 0U);
    }
    const outcome& flood = outcomes["flood"];
    BOOST_TEST(flood.other == 0U);
    BOOST_TEST(flood.refused > flood.served_ms.size());
    // At least its equal share of the capacity, and what the others leave.
    const double flood_rate =
        static_cast<double>(flood.served_ms.size() * body_bytes) / as_seconds(length);
    BOOST_TEST_MESSAGE("flood served " << flood_rate << " bytes/s, refused " << flood.refused);
    BOOST_TEST(flood_rate > 0.4 * link_bytes_per_second);
    // Half of the objective, and half a second of promises to others that were refused.
    const std::size_t at = flood.last_refusal.find("Retry-After: ");
    BOOST_REQUIRE(at != std::string::npos);
    const double retry_after = std::stod(flood.last_refusal.substr(at + 13, 5));
    BOOST_TEST(retry_after > 0.2);
    BOOST_TEST(retry_after < 1.2);
    BOOST_TEST(flood.last_refusal.find("link_share") != std::string::npos);
    BOOST_TEST(sum_of("gateway_link_refused_total") == static_cast<double>(flood.refused));
    BOOST_TEST(sum_of("gateway_link_waits_total") > 0.0);
    BOOST_TEST(sum_of("gateway_requests_total") > static_cast<double>(flood.refused));
    const std::string log = entries[0].process->output();
    BOOST_TEST(log.find("outcome=link_share") != std::string::npos);
    BOOST_TEST(log.find("event=link_refused") != std::string::npos);
    BOOST_TEST(log.find(" link_account=flood ") != std::string::npos);
    BOOST_TEST(log.find("event=callers_sent_away") == std::string::npos);
}

/// Guards against a request that is retried through the link that kept its first attempt from being
/// sent. The targets' listen queues are full, so that connections to them time out.
BOOST_AUTO_TEST_CASE(unsent_request_is_not_resent_over_a_saturated_link) {
    raw_socket full = raw_socket::listen();
    std::vector<raw_socket> fillers;
    for (int number = 0; number < 40; ++number) {
        fillers.emplace_back(connect_without_waiting(full.port()));
    }
    worker_standin dead(loop, "i-dead");
    for (const char* id : {"i-dead", "i-gone"}) {
        std::string listed = dead.list_entry("dead");
        listed.replace(listed.find(dead.address()), dead.address().size(),
                       "127.0.0.1:" + std::to_string(full.port()));
        store.put("keyed.servers", id, listed);
    }
    more_settings = R"(,"link_mbps":2,"share_link":true)";
    start_all();
    offer(milliseconds(1500), {{"flood", 312.0}});
    begin("a", "/dead/x");
    begin("a", "/dead/x");
    const std::vector<call> held = std::exchange(calls, {});
    offer(seconds(2), {{"flood", 312.0}});
    BOOST_TEST(sum_of("gateway_link_resends_refused_total") > 0.0);
    // The flood's refusals must not suppress the lines of another account's request.
    BOOST_TEST((entries[0].process->output().find("event=resend_refused") != std::string::npos));
}

/// Without a known bandwidth nothing is held or refused, whatever the load.
BOOST_AUTO_TEST_CASE(unknown_bandwidth_changes_nothing) {
    proxy.request_link = nullptr;
    start_all();
    offer(seconds(2), {{"a", 10.0}, {"flood", 300.0}});
    BOOST_TEST(outcomes["flood"].refused + outcomes["a"].refused == 0U);
    BOOST_TEST(sum_of("gateway_link_waits_total") == 0.0);
    BOOST_TEST(sum_of("gateway_link_refused_total") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
