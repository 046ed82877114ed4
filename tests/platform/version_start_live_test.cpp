#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// One gateway that starts while targets of two versions serve without an order.
struct version_start : stream_fleet {
    version_start() : stream_fleet(1) {
        add_targets("app", "v1", 2);
        add_targets("app", "v2", 2);
    }
};

/// Three gateways before targets of one version, or of two, that lose all processes at once under
/// running streams.
struct lost_fleet : stream_fleet {
    static constexpr std::size_t streams = 12;

    void play(const std::vector<std::string>& versions) {
        for (const std::string& version : versions) {
            add_targets("app", version, 3);
        }
        start_all();
        run_for(milliseconds(1500));
        begin_streams("/plain/", entries[0], streams);
        for (entry& each : entries) {
            each.process->signal(SIGKILL);
        }
        finish_attempts();
        for (entry& each : entries) {
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        run_for(milliseconds(300));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(version_start_live_test, version_start)

BOOST_AUTO_TEST_CASE(entry_that_starts_beside_two_versions_refuses_no_request) {
    launch(entries[0]);
    until_ready(entries[0]);
    for (int turn = 0; turn < 10; ++turn) {
        begin("/plain/", entries[0]);
        run_for(milliseconds(20));
    }
    finish_attempts();
    BOOST_TEST(whole() == calls.size());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(lost_fleet_live_test, lost_fleet)

BOOST_AUTO_TEST_CASE(stream_of_the_only_version_is_resumed_after_all_entries_were_lost) {
    play({"v1"});
    resume_broken(entries[1]);
    BOOST_TEST(whole() == streams);
}

BOOST_AUTO_TEST_CASE(stream_of_one_of_two_versions_is_refused_after_all_entries_were_lost) {
    play({"v1", "v2"});
    resume_broken(entries[1]);
    BOOST_TEST(whole() + mixed() == 0U);
    for (const resumable_call& call : calls) {
        BOOST_TEST(call.status == 503U);
    }
}

BOOST_AUTO_TEST_CASE(version_that_left_while_all_entries_were_lost_is_not_forgotten) {
    play({"v1", "v2"});
    for (const auto& each : targets) {
        if (each->worker.version == "v1") {
            store.put("keyed.servers", each->worker.id(), std::nullopt);
        }
    }
    for (entry& each : entries) {
        each.process->signal(SIGKILL);
    }
    run_for(milliseconds(200));
    for (entry& each : entries) {
        launch(each);
    }
    for (const entry& each : entries) {
        until_ready(each);
    }
    resume_broken(entries[1]);
    BOOST_TEST(whole() + mixed() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
