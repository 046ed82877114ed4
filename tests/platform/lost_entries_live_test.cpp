#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Three gateways and a relay before targets of two versions that serve side by side. All gateways
/// are killed at once under running streams.
struct lost_entries : stream_fleet {
    static constexpr std::size_t streams = 12;

    std::uint16_t relay_port = fixed_port();
    std::string relay_file = "/tmp/wrenrelay_test_" + std::to_string(relay_port) + ".json";
    std::unique_ptr<test::child_process> relay;

    lost_entries() {
        more_settings += R"(,"relay_port":)" + std::to_string(relay_port);
        for (const char* service : {"app", "llm"}) {
            add_targets(service, "v1", 2);
            add_targets(service, "v2", 2);
        }
        for (const auto& each : targets) {
            each->event_interval = milliseconds(150);
        }
    }
    ~lost_entries() {
        relay.reset();
        std::remove(relay_file.c_str());
    }

    void start_relay() {
        relay.reset();
        std::ofstream(relay_file) << R"({"host":"side-1","bus_endpoint":"tcp://127.0.0.1:)"
                                  << relay_port << R"(","service":")" << store.address() << R"("})";
        relay = std::make_unique<test::child_process>(
            std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings", relay_file},
            relay_file + ".log");
        BOOST_REQUIRE(
            run_until([this] { return !relay->field("relay_started", "endpoint").empty(); }));
    }

    /// Starts all and some streams of each kind.
    void begin() {
        start_relay();
        start_all();
        // Targets of two versions get requests once an entry has read the rollout orders.
        run_for(milliseconds(1000));
        for (std::size_t number = 0; number < streams; ++number) {
            stream_fleet::begin("/plain/", entries[number % entries.size()]);
            stream_fleet::begin("/engine/", entries[number % entries.size()]);
        }
        BOOST_REQUIRE(run_until([this] {
            return std::all_of(calls.begin(), calls.end(), [](resumable_call& call) {
                call.read();
                return call.numbers.size() >= 2;
            });
        }));
    }

    void kill_entries() {
        for (entry& each : entries) {
            each.process->signal(SIGKILL);
        }
        finish_attempts();
        BOOST_REQUIRE(whole() == 0U);
    }

    void start_entries() {
        for (entry& each : entries) {
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
    }

    /// Resumes each broken stream at one entry after the other until it goes on or has been refused
    /// for a second.
    void resume_for_a_second() {
        const instant end = monotonic_now() + seconds(1);
        std::size_t turn = 0;
        while (whole() < calls.size() && monotonic_now() < end) {
            resume_broken(entries[turn % entries.size()]);
            turn += 1;
            run_for(milliseconds(100));
        }
    }

    void unlist(const std::string& version) {
        for (const auto& each : targets) {
            if (each->worker.version == version) {
                store.put("keyed.servers", each->worker.id(), std::nullopt);
            }
        }
    }

    std::size_t begun_at(const std::string& version) const {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(),
            [&version](const resumable_call& call) { return call.versions.contains(version); }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(lost_entries_live_test, lost_entries)

/// No stream went on after a loss of all entries while two versions served.
BOOST_AUTO_TEST_CASE(streams_of_two_versions_go_on_after_all_entries_were_lost) {
    begin();
    kill_entries();
    start_entries();
    resume_for_a_second();
    BOOST_TEST(whole() == calls.size());
    BOOST_TEST(mixed() == 0U);
}

/// The callers come back only once the entries have been up for longer than a process needs to
/// count as recovered.
BOOST_AUTO_TEST_CASE(streams_that_are_taken_up_seconds_later_go_on_like_new_ones) {
    for (const auto& each : targets) {
        each->event_interval = milliseconds(250);
    }
    begin();
    kill_entries();
    start_entries();
    run_for(milliseconds(3200));
    resume_broken(entries[2]);
    BOOST_TEST(whole() == calls.size());
    BOOST_TEST(mixed() == 0U);
}

BOOST_AUTO_TEST_CASE(streams_go_on_after_two_losses_of_all_entries) {
    begin();
    kill_entries();
    start_entries();
    for (resumable_call& call : calls) {
        send(call, entries[0]);
    }
    run_for(milliseconds(400));
    kill_entries();
    start_entries();
    resume_for_a_second();
    BOOST_TEST(whole() == calls.size());
    BOOST_TEST(mixed() == 0U);
}

BOOST_AUTO_TEST_CASE(streams_go_on_where_only_one_entry_came_back) {
    begin();
    kill_entries();
    launch(entries[1]);
    until_ready(entries[1]);
    run_for(milliseconds(300));
    resume_broken(entries[1]);
    BOOST_TEST(whole() == calls.size());
    BOOST_TEST(mixed() == 0U);
}

BOOST_AUTO_TEST_CASE(streams_that_nobody_knows_are_refused_after_the_relay_was_lost_too) {
    begin();
    relay->signal(SIGKILL);
    kill_entries();
    start_relay();
    start_entries();
    resume_for_a_second();
    BOOST_TEST(whole() + mixed() == 0U);
    for (const resumable_call& call : calls) {
        BOOST_TEST(call.status == 503U);
    }
}

BOOST_AUTO_TEST_CASE(streams_of_a_version_that_left_with_the_entries_are_refused) {
    begin();
    const std::size_t remaining = begun_at("v2");
    kill_entries();
    unlist("v1");
    start_entries();
    resume_for_a_second();
    BOOST_TEST(whole() == remaining);
    BOOST_TEST(mixed() == 0U);
}

/// The first attempt was at another version and brought no event.
BOOST_AUTO_TEST_CASE(streams_go_on_at_the_version_of_the_attempt_that_brought_events) {
    // One target of this version only, so that the second attempt is at the other version.
    store.put("keyed.servers", "i-app-v1-2", std::nullopt);
    start_relay();
    start_all();
    run_for(milliseconds(1000));
    earn_retries("/plain/", entries[0], 2 * streams);
    std::size_t cut = 0;
    for (const auto& each : targets) {
        if (each->worker.version == "v1") {
            each->worker.answer = [&cut](const ingress_exchange_pointer& exchange) {
                cut += 1;
                exchange->cut();
            };
        }
    }
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(cut > 0U);
    kill_entries();
    start_entries();
    resume_for_a_second();
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(begun_at("v2") == calls.size());
    BOOST_TEST(whole() == calls.size());
}

BOOST_AUTO_TEST_CASE(relay_that_restarts_gets_the_records_of_running_streams_again) {
    for (const auto& each : targets) {
        each->event_interval = milliseconds(330);
    }
    begin();
    relay->signal(SIGKILL);
    run_for(milliseconds(100));
    start_relay();
    run_for(seconds(5));
    kill_entries();
    start_entries();
    resume_broken(entries[0]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == calls.size());
}

BOOST_AUTO_TEST_CASE(stream_is_recorded_at_relays_once_and_its_caller_asks_nobody) {
    begin();
    finish_attempts();
    BOOST_TEST(whole() == calls.size());
    const auto sent = [this](const std::string& kind) {
        return sum_of(R"(gateway_stream_messages_total{kind=")" + kind + R"(",direction="sent"})");
    };
    BOOST_TEST(sent("relay_records") > 0.0);
    BOOST_TEST(sent("relay_records") <= static_cast<double>(calls.size()));
    BOOST_TEST(sent("relay_question") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
