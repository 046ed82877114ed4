#include "wrenswitch/drivers/version_log.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// The version log of one entry, over a log in memory.
struct version_log_fixture : loop_runner {
    fake_keyed_log store{loop};
    recent_values versions{seconds(600)};
    std::set<std::string> recorded;
    bool writes = true;
    bool present = true;
    version_log log{loop,
                    store,
                    "versions",
                    {[this](const std::string& service, const std::string& version) {
                         recorded.insert(service + " " + version);
                     },
                     [this](std::string_view) { return writes; },
                     [this](const std::string&, const std::string&) { return present; }, [] {}}};

    void read() {
        log.start();
        run_for(milliseconds(20));
    }

    void update(bool is_list_current = true) {
        log.update(monotonic_now(), versions, is_list_current);
        run_for(milliseconds(20));
    }

    /// What another entry reads that starts now.
    std::set<std::string> read_by_another() {
        std::set<std::string> found;
        version_log other(loop, store, "versions",
                          {[&found](const std::string& service, const std::string& version) {
                               found.insert(service + " " + version);
                           },
                           [](std::string_view) { return false; },
                           [](const std::string&, const std::string&) { return true; }, [] {}});
        other.start();
        run_for(milliseconds(20));
        const bool is_covered = found.contains("llm v1") && store.store_generation == 1;
        BOOST_TEST(other.covers("llm") == is_covered);
        return found;
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(version_log_test, version_log_fixture)

BOOST_AUTO_TEST_CASE(version_that_appears_is_read_by_an_entry_that_starts) {
    read();
    BOOST_TEST(!log.covers("llm"));
    versions.note(monotonic_now(), "llm", "v1");
    update();
    update();
    BOOST_TEST(store.append_calls == 1U);
    versions.note(monotonic_now(), "llm", "v2");
    update();
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1", "llm v2"}));
}

BOOST_AUTO_TEST_CASE(version_that_has_long_gone_is_dropped_by_an_up_to_date_list) {
    read();
    versions.note(monotonic_now(), "llm", "v1");
    versions.note(monotonic_now(), "llm", "v2");
    update();
    versions = recent_values(seconds(600));
    versions.note(monotonic_now(), "llm", "v1");
    update(false);
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1", "llm v2"}));
    update();
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1"}));
}

BOOST_AUTO_TEST_CASE(log_that_does_not_answer_is_read_and_written_later) {
    store.down = true;
    versions.note(monotonic_now(), "llm", "v1");
    read();
    update();
    BOOST_TEST(store.append_calls == 0U);
    store.down = false;
    run_for(milliseconds(600));
    store.down = true;
    update();
    BOOST_TEST(store.append_calls == 1U);
    store.down = false;
    run_for(milliseconds(600));
    update();
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1"}));
}

BOOST_AUTO_TEST_CASE(version_is_contained_once_its_record_is_acknowledged) {
    read();
    versions.note(monotonic_now(), "llm", "v1");
    log.update(monotonic_now(), versions, true);
    BOOST_TEST(!log.contains("llm", "v1"));
    run_for(milliseconds(20));
    BOOST_TEST(log.contains("llm", "v1"));
    BOOST_TEST(!log.contains("llm", "v2"));
}

BOOST_AUTO_TEST_CASE(version_that_another_process_recorded_is_contained_at_once) {
    writes = false;
    read();
    store.put("versions", "llm/v1", "llm\nv1");
    run_for(milliseconds(20));
    BOOST_TEST(log.contains("llm", "v1"));
    BOOST_TEST(recorded.contains("llm v1"));
    store.put("versions", "llm/v1", std::nullopt);
    run_for(milliseconds(20));
    BOOST_TEST(!log.contains("llm", "v1"));
}

BOOST_AUTO_TEST_CASE(entry_that_is_not_a_writer_writes_only_what_the_writers_leave_out) {
    writes = false;
    read();
    versions.note(monotonic_now(), "llm", "v1");
    update();
    BOOST_TEST(store.append_calls == 0U);
    run_for(milliseconds(320));
    update();
    BOOST_TEST(store.append_calls == 1U);
    BOOST_TEST(log.contains("llm", "v1"));
}

/// Otherwise an entry that starts would record it again for as long as it remembers it.
BOOST_AUTO_TEST_CASE(version_that_has_no_targets_any_more_is_not_recorded_again) {
    present = false;
    read();
    versions.note(monotonic_now(), "llm", "v1");
    update();
    BOOST_TEST(store.append_calls == 0U);
}

/// The copy may lack a version whose streams still run.
BOOST_AUTO_TEST_CASE(log_of_a_restored_store_covers_nothing_and_is_completed) {
    read();
    versions.note(monotonic_now(), "llm", "v1");
    update();
    store.take_copy();
    versions.note(monotonic_now(), "llm", "v2");
    update();
    store.restore_copy();
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1"}));
    BOOST_REQUIRE(run_until([this] { return !log.contains("llm", "v2"); }));
    BOOST_TEST(log.contains("llm", "v1"));
    update();
    BOOST_TEST((read_by_another() == std::set<std::string>{"llm v1", "llm v2"}));
}

BOOST_AUTO_TEST_CASE(long_names_are_recorded_under_a_key_that_the_log_bears) {
    const std::string version(300, 'v');
    read();
    versions.note(monotonic_now(), "llm", version);
    update();
    BOOST_TEST(log.contains("llm", version));
    BOOST_TEST(recorded.contains("llm " + version));
}

BOOST_AUTO_TEST_CASE(damaged_record_names_no_version) {
    store.put("versions", "llm/v1", "llm");
    store.put("versions", "llm/v2", "");
    read();
    BOOST_TEST(recorded.empty());
    BOOST_TEST(!log.covers("llm"));
}

BOOST_AUTO_TEST_SUITE_END()
