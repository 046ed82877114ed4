#include "wrenswitch/drivers/keyed_follower.hpp"

#include <boost/test/unit_test.hpp>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// A follower that keeps what it was told.
struct follower_fixture : loop_runner {
    fake_keyed_log log{loop};
    std::map<std::string, std::string> seen;
    int changes = 0;
    std::vector<bool> reachable;
    keyed_follower follower{loop,
                            log,
                            {.log = "l", .hold = milliseconds(50)},
                            {[this](const keyed_record& record) {
                                 changes += 1;
                                 if (record.value) {
                                     seen[record.key] = *record.value;
                                 } else {
                                     seen.erase(record.key);
                                 }
                             },
                             [] {}, [this](bool now) { reachable.push_back(now); }}};

    void begin() {
        follower.start();
        BOOST_REQUIRE(run_until([this] { return follower.live(); }));
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(keyed_follower_test, follower_fixture)

BOOST_AUTO_TEST_CASE(newest_records_come_first_then_each_change) {
    log.put("l", "k", "1");
    log.put("l", "k", "2");
    begin();
    BOOST_TEST(seen["k"] == "2");
    BOOST_TEST(changes == 1);
    log.put("l", "k", "3");
    BOOST_TEST(run_until([this] { return seen["k"] == "3"; }));
}

BOOST_AUTO_TEST_CASE(dropped_key_is_told) {
    log.put("l", "k", "1");
    begin();
    log.put("l", "k", std::nullopt);
    BOOST_TEST(run_until([this] { return seen.empty(); }));
}

BOOST_AUTO_TEST_CASE(forgotten_history_is_read_anew_and_only_changes_are_told) {
    log.put("l", "kept", "1");
    log.put("l", "dropped", "1");
    begin();
    log.down = true;
    BOOST_REQUIRE(run_until([this] { return !reachable.empty(); }));
    log.put("l", "dropped", std::nullopt);
    log.put("l", "new", "1");
    log.forget_before("l", 4);
    log.down = false;
    BOOST_TEST(run_until([this] { return seen.contains("new"); }));
    BOOST_TEST(!seen.contains("dropped"));
    BOOST_TEST(changes == 4);
}

BOOST_AUTO_TEST_CASE(lost_and_regained_log_is_told_once_each) {
    begin();
    log.down = true;
    BOOST_REQUIRE(run_until([this] { return !reachable.empty(); }));
    run_for(milliseconds(200));
    log.down = false;
    BOOST_TEST(run_until([this] { return reachable.size() == 2; }));
    BOOST_TEST((reachable == std::vector<bool>{false, true}));
}

BOOST_AUTO_TEST_CASE(busy_log_is_read_in_pages) {
    keyed_follower patient(loop, log,
                           {.log = "l", .hold = milliseconds(50), .pause = milliseconds(60)},
                           {[](const keyed_record&) {}, [this] { changes += 1; }, [](bool) {}});
    patient.start();
    BOOST_REQUIRE(run_until([&] { return patient.live(); }));
    changes = 0;
    for (int step = 0; step < 60; ++step) {
        log.put("l", "k", std::to_string(step));
        run_for(milliseconds(3));
    }
    BOOST_TEST(changes <= 6);
    BOOST_TEST(run_until([&] { return patient.position() == 60; }));
}

BOOST_AUTO_TEST_CASE(of_records_that_come_together_only_the_newest_is_told_where_that_is_enough) {
    log.put("l", "k", "0");
    std::vector<std::string> told;
    keyed_follower newest(loop, log, {.log = "l", .hold = milliseconds(50), .only_newest = true},
                          {[&told](const keyed_record& record) {
                               told.push_back(record.key + record.value.value_or("gone"));
                           },
                           [] {}, [](bool) {}});
    newest.start();
    BOOST_REQUIRE(run_until([&] { return newest.live(); }));
    told.clear();
    log.down = true;
    run_for(milliseconds(100));
    for (int step = 1; step <= 20; ++step) {
        log.put("l", "k", std::to_string(step));
    }
    log.put("l", "other", "1");
    log.put("l", "k", "21");
    log.down = false;
    BOOST_REQUIRE(run_until([&] { return newest.position() == 23U; }));
    BOOST_TEST((told == std::vector<std::string>{"other1", "k21"}));
}

BOOST_AUTO_TEST_CASE(follower_several_pages_behind_reads_no_superseded_records) {
    std::vector<std::string> told;
    std::vector<std::uint64_t> caught_up_at;
    keyed_follower newest(
        loop, log, {.log = "l", .hold = milliseconds(50), .only_newest = true},
        {[&told](const keyed_record& record) { told.push_back(record.value.value_or("gone")); },
         [&] { caught_up_at.push_back(newest.position()); }, [](bool) {}});
    newest.start();
    BOOST_REQUIRE(run_until([&] { return newest.live(); }));
    caught_up_at.clear();
    log.most_records_per_page = 1;
    log.down = true;
    run_for(milliseconds(100));
    for (int step = 1; step <= 20; ++step) {
        log.put("l", "k", std::to_string(step));
    }
    log.records_read = 0;
    log.down = false;
    BOOST_REQUIRE(run_until([&] { return newest.position() == 20U; }));
    BOOST_TEST((told == std::vector<std::string>{"1", "20"}));
    BOOST_TEST(log.records_read == 2U);
    BOOST_TEST((caught_up_at == std::vector<std::uint64_t>{20}));
}

BOOST_AUTO_TEST_CASE(record_written_after_restore_at_reused_offset_is_reported) {
    log.put("l", "k", "1");
    log.take_copy();
    begin();
    log.put("l", "k", "2");
    log.put("l", "k", "3");
    BOOST_REQUIRE(run_until([this] { return seen["k"] == "3"; }));
    log.restore_copy();
    log.put("l", "k", "4");
    BOOST_TEST(run_until([this] { return seen["k"] == "4"; }));
    log.put("l", "k", "5");
    BOOST_TEST(run_until([this] { return seen["k"] == "5"; }));
}

BOOST_AUTO_TEST_CASE(records_from_copy_after_restore_replace_no_newer_records) {
    log.put("l", "changed", "1");
    log.put("l", "dropped", "1");
    log.take_copy();
    begin();
    log.put("l", "changed", "2");
    log.put("l", "dropped", std::nullopt);
    log.put("l", "added", "1");
    BOOST_REQUIRE(run_until([this] { return seen.contains("added"); }));
    changes = 0;
    log.restore_copy();
    BOOST_REQUIRE(run_until([this] { return follower.generation() == 2U; }));
    // Forces a full read by dropping the history.
    log.put("l", "other", "1");
    BOOST_REQUIRE(run_until([this] { return seen.contains("other"); }));
    log.down = true;
    run_for(milliseconds(100));
    log.put("l", "other", "2");
    log.forget_before("l", 4);
    log.down = false;
    BOOST_REQUIRE(run_until([this] { return seen["other"] == "2"; }));
    BOOST_TEST(seen["changed"] == "2");
    BOOST_TEST(!seen.contains("dropped"));
    BOOST_TEST(seen["added"] == "1");
    BOOST_TEST(changes == 2);
}

BOOST_AUTO_TEST_CASE(lost_key_rewritten_after_restore_is_reported_and_kept) {
    std::vector<std::string> lost;
    std::map<std::string, std::string> reported;
    keyed_follower reader(
        loop, log, {.log = "l", .hold = milliseconds(50), .lost_key_timeout = milliseconds(150)},
        {[&reported](const keyed_record& record) {
             reported[record.key] = record.value.value_or("gone");
         },
         [] {}, [](bool) {},
         [&lost](std::span<const std::string> keys) { lost.assign(keys.begin(), keys.end()); }});
    log.take_copy();
    reader.start();
    BOOST_REQUIRE(run_until([&] { return reader.live(); }));
    log.put("l", "back", "1");
    log.put("l", "gone", "1");
    BOOST_REQUIRE(run_until([&] { return reported.contains("gone"); }));
    log.restore_copy();
    BOOST_REQUIRE(run_until([&] { return !lost.empty(); }));
    BOOST_TEST((lost == std::vector<std::string>{"back", "gone"}));
    log.put("l", "back", "2");
    BOOST_TEST(run_until([&] { return reported["back"] == "2"; }));
    BOOST_TEST(reported["gone"] == "1");
    BOOST_TEST(run_until([&] { return reported["gone"] == "gone"; }));
    run_for(milliseconds(200));
    BOOST_TEST(reported["back"] == "2");
}

BOOST_AUTO_TEST_CASE(key_that_stays_lost_is_reported_as_lost_and_not_as_changed) {
    std::vector<std::string> changed;
    std::vector<std::string> lost;
    keyed_follower reader(
        loop, log, {.log = "l", .hold = milliseconds(50), .lost_key_timeout = milliseconds(50)},
        {[&changed](const keyed_record& record) { changed.push_back(record.key); },
         [] {},
         [](bool) {},
         {},
         [&lost](const std::string& key) { lost.push_back(key); }});
    log.take_copy();
    reader.start();
    BOOST_REQUIRE(run_until([&] { return reader.live(); }));
    log.put("l", "k", "1");
    BOOST_REQUIRE(run_until([&] { return !changed.empty(); }));
    log.restore_copy();
    BOOST_TEST(run_until([&] { return !lost.empty(); }));
    BOOST_TEST((lost == std::vector<std::string>{"k"}));
    BOOST_TEST((changed == std::vector<std::string>{"k"}));
}

BOOST_AUTO_TEST_CASE(page_of_older_generation_changes_nothing) {
    log.store_generation = 5;
    log.put("l", "k", "1");
    begin();
    log.store_generation = 4;
    log.put("l", "k", "late");
    run_for(milliseconds(200));
    BOOST_TEST(seen["k"] == "1");
    log.store_generation = 5;
    BOOST_TEST(run_until([this] { return seen["k"] == "late"; }));
}

BOOST_AUTO_TEST_CASE(restore_without_lost_records_changes_nothing) {
    log.put("l", "k", "1");
    begin();
    changes = 0;
    log.take_copy();
    log.restore_copy();
    BOOST_REQUIRE(run_until([this] { return follower.generation() == 2U; }));
    BOOST_TEST(changes == 0);
    log.put("l", "k", "2");
    BOOST_TEST(run_until([this] { return seen["k"] == "2"; }));
}

BOOST_AUTO_TEST_CASE(own_append_after_unnoticed_restore_is_read_from_the_log) {
    log.put("l", "a", "1");
    log.take_copy();
    begin();
    log.put("l", "b", "1");
    BOOST_REQUIRE(run_until([this] { return follower.position() == 2U; }));
    log.restore_copy();
    log.put("l", "c", "1");
    const std::vector<keyed_record> mine{{"k", "mine", 0}};
    log.put("l", "k", "mine");
    follower.appended(2, mine);
    BOOST_TEST(run_until([this] { return seen.contains("c") && seen.contains("k"); }));
}

BOOST_AUTO_TEST_CASE(own_append_is_not_told_twice) {
    begin();
    const std::vector<keyed_record> mine{{"k", "mine", 0}};
    log.put("l", "k", "mine");
    follower.appended(0, mine);
    run_for(milliseconds(100));
    BOOST_TEST(seen["k"] == "mine");
    BOOST_TEST(changes == 1);
    BOOST_TEST(follower.position() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
