#include "wrenswitch/drivers/suspect_log.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

constexpr const char* name = "suspects";

crash_evidence end_of(std::uint64_t request, const std::string& target = "t/1",
                      std::int64_t start = 5) {
    return {{request, 1}, {target, start}, 1'700'000'000'123};
}

/// One process that follows the log.
struct log_process {
    log_process(event_loop& loop, keyed_log& of_log, const std::string& host)
        : log(loop, of_log, name, host, counters,
              {[this](const crash_evidence& end) { held.insert(end); },
               [this](const crash_evidence& end) { held.erase(end); },
               [this](std::span<const crash_evidence> ends) { not_written += ends.size(); },
               [](bool) {}}) {
        log.start();
    }

    void add(const crash_evidence& end) { log.add(std::span(&end, 1)); }
    void drop(const crash_evidence& end) { log.drop(std::span(&end, 1)); }

    metrics counters;
    std::set<crash_evidence> held;
    std::size_t not_written = 0;
    suspect_log log;
};

struct suspect_log_fixture : loop_runner {
    fake_keyed_log keyed{loop};
    log_process first{loop, keyed, "h1"};
    log_process second{loop, keyed, "h2"};
};

BOOST_FIXTURE_TEST_SUITE(suspect_log_test, suspect_log_fixture)

BOOST_AUTO_TEST_CASE(end_written_as_a_record_and_read_is_the_same) {
    const keyed_record record = encode_suspect_end(end_of(7), "h");
    BOOST_TEST((decode_suspect_end(record) == end_of(7)));
    BOOST_TEST(decode_suspect_end(record)->crashed == end_of(7).crashed);
    BOOST_TEST((decode_suspect_end({record.key, std::nullopt, 0}) == end_of(7)));
}

BOOST_AUTO_TEST_CASE(key_that_is_not_of_an_end_is_not_read) {
    const std::string hex = digest{1, 2}.to_hex();
    for (const std::string& key :
         {std::string(), hex, hex + "/5", hex + "/5/", hex + "/x/t", "x" + hex + "/5/t",
          std::string("/5/t"), hex.substr(1) + "g/5/t"}) {
        BOOST_TEST(!decode_suspect_end({key, "", 0}).has_value());
    }
}

BOOST_AUTO_TEST_CASE(ends_that_several_add_at_once_are_known_to_all) {
    for (std::uint64_t number = 0; number < 600; ++number) {
        first.add(end_of(number));
        second.add(end_of(number + 300));
    }
    BOOST_TEST(
        run_until([this] { return first.held.size() == 900U && second.held.size() == 900U; }));
    log_process later(loop, keyed, "h3");
    BOOST_TEST(run_until([&] { return later.held.size() == 900U; }));
}

BOOST_AUTO_TEST_CASE(end_that_is_dropped_is_known_to_none) {
    first.add(end_of(1));
    BOOST_TEST(run_until([this] { return second.held.size() == 1U; }));
    second.drop(end_of(1));
    BOOST_TEST(run_until([this] { return first.held.empty() && second.held.empty(); }));
    log_process later(loop, keyed, "h3");
    BOOST_TEST(run_until([&] { return later.log.live(); }));
    BOOST_TEST(later.held.empty());
}

BOOST_AUTO_TEST_CASE(end_that_a_dark_log_did_not_take_is_told_and_written_when_it_is_back) {
    run_for(milliseconds(20));
    keyed.down = true;
    first.add(end_of(1));
    BOOST_TEST(run_until([this] { return first.not_written >= 1U; }));
    keyed.down = false;
    BOOST_TEST(run_until([this] { return second.held.size() == 1U; }, seconds(2)));
}

BOOST_AUTO_TEST_CASE(end_whose_answer_is_lost_is_written_all_the_same) {
    keyed.lost_answers = 0.5;
    keyed.late_appends = 0.3;
    for (std::uint64_t number = 0; number < 5; ++number) {
        first.add(end_of(number));
        run_for(milliseconds(10));
    }
    BOOST_TEST(run_until([this] { return second.held.size() == 5U; }, seconds(6)));
}

BOOST_AUTO_TEST_CASE(end_that_another_has_written_is_not_written_again) {
    second.add(end_of(1));
    BOOST_TEST(run_until([this] { return first.held.size() == 1U; }));
    const std::size_t before = keyed.appends_done;
    first.add(end_of(1));
    run_for(milliseconds(50));
    BOOST_TEST(keyed.appends_done == before);
}

BOOST_AUTO_TEST_CASE(what_waits_for_the_log_is_bounded) {
    run_for(milliseconds(20));
    keyed.down = true;
    for (std::uint64_t number = 0; number < 5'000; ++number) {
        first.add(end_of(number));
    }
    BOOST_TEST(first.counters.counter("suspect_ends_left_out_total") == 5'000U - 4'096U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
