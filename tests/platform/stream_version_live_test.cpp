#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr std::size_t streams = 12;

/// Two versions of both services that serve side by side without an order.
struct two_versions : stream_fleet {
    two_versions() {
        for (const char* service : {"app", "llm"}) {
            add_targets(service, "v1", 3);
            add_targets(service, "v2", 3);
        }
        start_all();
        // Targets of two versions get requests once an entry has read the rollout orders.
        run_for(milliseconds(1000));
    }

    /// Starts streams at the first entry and ends one target of each version under them.
    void break_streams_at_targets(const std::string& path, const std::string& service) {
        earn_retries(path, entries[0], 2 * streams);
        begin_streams(path, entries[0], streams);
        target("i-" + service + "-v1-1").crash();
        target("i-" + service + "-v2-1").crash();
        finish_attempts();
    }

    /// Starts streams at the first entry, which is killed under them.
    void break_streams_at_entry(const std::string& path) {
        begin_streams(path, entries[0], streams);
        entries[0].process->signal(SIGKILL);
        finish_attempts();
        BOOST_REQUIRE(whole() == 0U);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_version_live_test, two_versions)

BOOST_AUTO_TEST_CASE(stream_continued_in_one_response_joins_no_two_versions) {
    for (const char* service : {"app", "llm"}) {
        BOOST_TEST_CONTEXT(service) {
            const std::string path = std::string(service) == "app" ? "/plain/" : "/engine/";
            break_streams_at_targets(path, service);
            BOOST_TEST(mixed() == 0U);
            BOOST_TEST(whole() >= streams / 2);
            calls.clear();
        }
    }
    BOOST_TEST(sum_of(R"(gateway_streams_continued_total{versions="same"})") > 0.0);
}

BOOST_AUTO_TEST_CASE(plain_stream_resumed_at_another_entry_joins_no_two_versions) {
    break_streams_at_entry("/plain/");
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(engine_stream_resumed_at_another_entry_joins_no_two_versions) {
    break_streams_at_entry("/engine/");
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_SUITE_END()
