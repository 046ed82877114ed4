#include "platform/stream_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// Three gateways without relays before targets of one version. Targets of further versions come,
/// get streams, and are gone when all gateways are killed and start again, so that only the version
/// log can tell of them.
struct unrecorded_version : stream_fleet {
    static constexpr std::size_t streams = 12;
    static constexpr const char* version_topic = "keyed.versions";

    unrecorded_version() {
        add_targets("app", "v1", 3);
        start_all();
        BOOST_REQUIRE(run_until([this] { return is_recorded("v1"); }));
    }

    bool is_recorded(const std::string& version) const {
        return store.newest(version_topic, "app/" + version).has_value();
    }

    void unlist(const std::string& version) {
        for (const auto& each : targets) {
            if (each->worker.version == version) {
                store.put("keyed.servers", each->worker.id(), std::nullopt);
            }
        }
    }

    void kill_all() {
        for (entry& each : entries) {
            each.process->signal(SIGKILL);
        }
        finish_attempts();
    }

    void start_again() {
        for (entry& each : entries) {
            launch(each);
        }
        for (const entry& each : entries) {
            until_ready(each);
        }
        run_for(milliseconds(300));
    }

    /// All gateways are lost, and with them all versions but the first.
    void lose_all_but_first_version() {
        const std::size_t at_first_version = begun_at("v1");
        kill_all();
        for (const auto& each : targets) {
            if (each->worker.version != "v1") {
                store.put("keyed.servers", each->worker.id(), std::nullopt);
            }
        }
        start_again();
        resume_broken(entries[1]);
        BOOST_TEST(mixed() == 0U);
        BOOST_TEST(whole() <= at_first_version);
    }

    std::size_t begun_at(const std::string& version) const {
        return static_cast<std::size_t>(std::count_if(
            calls.begin(), calls.end(),
            [&version](const resumable_call& call) { return call.versions.contains(version); }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(unrecorded_version_live_test, unrecorded_version)

/// Streams began at a version whose record the store refused, and went on at another one.
BOOST_AUTO_TEST_CASE(version_whose_record_is_refused_joins_no_streams_after_a_loss) {
    store.refused_topic = version_topic;
    add_targets("app", "v2", 3);
    run_for(milliseconds(600));
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(!is_recorded("v2"));
    BOOST_TEST(begun_at("v2") == 0U);
    lose_all_but_first_version();
    BOOST_TEST(whole() == calls.size());
}

BOOST_AUTO_TEST_CASE(version_that_comes_beside_a_dark_version_log_joins_no_streams_after_a_loss) {
    store.dark_topic = version_topic;
    add_targets("app", "v2", 3);
    run_for(milliseconds(600));
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(begun_at("v2") == 0U);
    kill_all();
    unlist("v2");
    store.dark_topic.clear();
    start_again();
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    BOOST_TEST(whole() == calls.size());
}

/// The record comes late: streams begin at the version as soon as it is there, but not before.
BOOST_AUTO_TEST_CASE(version_gets_streams_soon_after_its_late_record_and_none_before) {
    store.refused_topic = version_topic;
    add_targets("app", "v2", 3);
    run_for(milliseconds(600));
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(begun_at("v2") == 0U);
    store.refused_topic.clear();
    run_for(milliseconds(1200));
    BOOST_TEST(is_recorded("v2"));
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(begun_at("v2") > 0U);
    lose_all_but_first_version();
}

/// Two gateways write the record of a version; whichever they are, one that is left writes it too.
BOOST_AUTO_TEST_CASE(versions_whose_writers_are_frozen_are_recorded_by_the_gateway_that_is_left) {
    entries[0].process->signal(SIGSTOP);
    entries[1].process->signal(SIGSTOP);
    for (const char* version : {"v2", "v3", "v4", "v5", "v6"}) {
        add_targets("app", version, 1);
    }
    unlist("v1");
    run_for(milliseconds(700));
    for (const char* version : {"v2", "v3", "v4", "v5", "v6"}) {
        BOOST_TEST(is_recorded(version), version);
    }
    begin_streams("/plain/", entries[2], streams);
    BOOST_TEST(begun_at("v1") == 0U);
    for (const auto& each : targets) {
        if (each->worker.version == "v1") {
            list(*each, "app");
        }
    }
    lose_all_but_first_version();
}

/// The store comes back from a copy that lacks the version's record and its targets.
BOOST_AUTO_TEST_CASE(version_that_a_restored_store_lacks_joins_no_streams_after_a_loss) {
    store.take_copy();
    add_targets("app", "v2", 3);
    BOOST_REQUIRE(run_until([this] { return is_recorded("v2"); }));
    run_for(milliseconds(600));
    begin_streams("/plain/", entries[0], streams);
    BOOST_TEST(begun_at("v2") > 0U);
    kill_all();
    store.restore_copy();
    start_again();
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
    for (const resumable_call& call : calls) {
        BOOST_TEST((call.complete || call.status == 503U));
    }
}

/// A version comes and goes between two losses of all gateways.
BOOST_AUTO_TEST_CASE(version_that_came_between_two_losses_joins_no_streams) {
    kill_all();
    store.refused_topic = version_topic;
    unlist("v1");
    add_targets("app", "v2", 3);
    start_again();
    for (std::size_t number = 0; number < streams; ++number) {
        begin("/plain/", entries[number % entries.size()]);
    }
    run_for(milliseconds(150));
    kill_all();
    unlist("v2");
    for (const auto& each : targets) {
        if (each->worker.version == "v1") {
            list(*each, "app");
        }
    }
    start_again();
    resume_broken(entries[1]);
    BOOST_TEST(mixed() == 0U);
}

/// No stream waits longer for a version than its record takes.
BOOST_AUTO_TEST_CASE(streams_begin_soon_after_the_only_version_was_replaced) {
    add_targets("app", "v2", 3);
    unlist("v1");
    BOOST_REQUIRE(run_until(
        [this] {
            begin("/plain/", entries[2]);
            run_for(milliseconds(60));
            for (resumable_call& call : calls) {
                call.read();
            }
            return begun_at("v2") + begun_at("v1") > 0U;
        },
        seconds(2)));
    BOOST_TEST(calls.size() <= 12U);
}

BOOST_AUTO_TEST_SUITE_END()
