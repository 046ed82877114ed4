#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The longest time for which a target that has gone may still get requests.
constexpr microseconds drain_time = seconds(2);

/// A target that leaves the list without announcing it and goes on serving for long, beside targets
/// of another version.
struct leaving_target : stream_fleet {
    static constexpr std::size_t streams = 6;

    std::string gone_id;
    instant gone_at{};

    /// Starts the fleet with such targets in each service.
    void start_with(int old_targets, int new_targets) {
        for (const char* service : {"app", "llm"}) {
            add_targets(service, "v1", old_targets);
            add_targets(service, "v2", new_targets);
        }
        for (const auto& each : targets) {
            each->event_interval = milliseconds(300);
        }
        start_all();
        // Targets of two versions get requests once an entry has read the rollout orders.
        run_for(milliseconds(1000));
    }

    /// Drops the entry of a target, which goes on serving.
    void drop(const std::string& id) {
        gone_id = id;
        store.put("keyed.servers", id, std::nullopt);
        gone_at = monotonic_now();
    }

    void until_after_drain_time() {
        run_until([this] { return monotonic_now() > gone_at + drain_time; });
    }

    /// The requests that reached the target that has gone later than it may get any.
    std::size_t late_requests() {
        std::size_t late = 0;
        for (const worker_standin::arrival& each : target(gone_id).worker.arrivals) {
            late += each.at > gone_at + drain_time ? 1 : 0;
        }
        return late;
    }

    /// Breaks off all streams and resumes them at an entry.
    void resume_all(const entry& at) {
        for (resumable_call& call : calls) {
            call.read();
            send(call, at);
        }
    }

    /// Waits until each current attempt has been answered.
    void until_answered() {
        BOOST_REQUIRE(run_until([this] {
            return std::all_of(calls.begin(), calls.end(), [](resumable_call& call) {
                call.read();
                return call.status != 0U;
            });
        }));
    }

    /// The current attempts with a status.
    std::size_t answered_with(unsigned status) const {
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [status](const resumable_call& call) { return call.status == status; }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(gone_target_live_test, leaving_target)

/// Streams went for 20 s to a target of their version that had left the list.
BOOST_AUTO_TEST_CASE(resumed_stream_does_not_go_to_target_that_has_gone) {
    start_with(1, 0);
    for (const char* path : {"/plain/", "/engine/"}) {
        begin_streams(path, entries[0], streams);
    }
    add_targets("app", "v2", 1);
    add_targets("llm", "v2", 1);
    for (const char* service : {"llm", "app"}) {
        drop(std::string("i-") + service + "-v1-1");
    }
    until_after_drain_time();
    resume_all(entries[1]);
    until_answered();
    BOOST_TEST(late_requests() == 0U);
    gone_id = "i-llm-v1-1";
    BOOST_TEST(late_requests() == 0U);
    BOOST_TEST(answered_with(503U) == calls.size());
    BOOST_TEST(mixed() == 0U);
}

/// An entry itself continued a broken stream at a target of its version that had left the list.
BOOST_AUTO_TEST_CASE(continued_stream_does_not_go_to_target_that_has_gone) {
    start_with(2, 1);
    earn_retries("/plain/", entries[0], 2 * streams);
    drop("i-app-v1-1");
    run_for(milliseconds(500));
    begin_streams("/plain/", entries[0], 2 * streams);
    until_after_drain_time();
    // The target under the streams leaves as well and ends.
    store.put("keyed.servers", "i-app-v1-2", std::nullopt);
    run_for(milliseconds(500));
    target("i-app-v1-2").crash();
    finish_attempts();
    BOOST_TEST(late_requests() == 0U);
    BOOST_TEST(mixed() == 0U);
}

/// New requests went there too if the service had no other target.
BOOST_AUTO_TEST_CASE(new_request_does_not_go_to_the_last_target_that_has_gone) {
    start_with(1, 0);
    for (const char* service : {"app", "llm"}) {
        drop(std::string("i-") + service + "-v1-1");
        until_after_drain_time();
        begin(std::string(service) == "app" ? "/plain/" : "/engine/", entries[0]);
        begin(std::string(service) == "app" ? "/plain/" : "/engine/", entries[1]);
        until_answered();
        BOOST_TEST(late_requests() == 0U);
        BOOST_TEST(answered_with(503U) == calls.size());
        calls.clear();
    }
}

/// An entry that has read that a target is gone is bound by that while the store is away.
BOOST_AUTO_TEST_CASE(target_that_has_gone_gets_nothing_while_the_store_is_away) {
    start_with(1, 0);
    drop("i-app-v1-1");
    run_for(milliseconds(600));
    store.busy = true;
    until_after_drain_time();
    for (const entry& each : entries) {
        begin("/plain/", each);
    }
    until_answered();
    BOOST_TEST(late_requests() == 0U);
    BOOST_TEST(answered_with(503U) == calls.size());
}

/// The list loses targets that can't renew their entries while the store is away; they are back
/// soon after its return.
BOOST_AUTO_TEST_CASE(target_that_lapsed_while_the_store_was_away_serves_until_it_is_listed_again) {
    start_with(1, 0);
    store.busy = true;
    run_for(milliseconds(1500));
    drop("i-app-v1-1");
    store.busy = false;
    run_for(milliseconds(800));
    begin("/plain/", entries[0]);
    run_for(milliseconds(400));
    list(target("i-app-v1-1"), "app");
    until_after_drain_time();
    run_for(milliseconds(500));
    begin("/plain/", entries[0]);
    until_answered();
    BOOST_TEST(answered_with(200U) == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
