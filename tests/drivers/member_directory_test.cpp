#include "wrenswitch/drivers/member_directory.hpp"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <set>

#include "support/fake_keyed_log.hpp"
#include "support/loop_runner.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

/// One process that follows the directory and stands in it.
class listed_process {
public:
    listed_process(event_loop& loop, keyed_log& log, int number, std::uint64_t process = 1,
                   bool times_store = false)
        : directory(
              loop, log, "members",
              {"h" + std::to_string(number), incarnation_id{process}, "tcp://x:1", 0.2, {}, {}},
              {[this](const cluster_member& member) { seen[member.host] = member; },
               [this](const std::string& host) { seen.erase(host); }, [](bool) {}},
              times_store) {
        directory.start();
    }

    std::map<std::string, cluster_member> seen;
    member_directory directory;
};

/// A log in memory on a loop.
struct directory_fixture : loop_runner {
    fake_keyed_log log{loop};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(member_directory_test, directory_fixture)

BOOST_AUTO_TEST_CASE(member_written_and_read_is_the_same) {
    const cluster_member member{"host", incarnation_id{7}, "tcp://10.0.0.1:2", 0.25,
                                "d1",   "north",           milliseconds(43)};
    BOOST_TEST((decode_member(encode_member(member)) == member));
}

BOOST_AUTO_TEST_CASE(damaged_member_is_not_read) {
    BOOST_TEST(!decode_member({"h", "\xff\xff", 0}).has_value());
    BOOST_TEST(!decode_member({"h", "", 0}).has_value());
    BOOST_TEST(!decode_member({"h", std::nullopt, 0}).has_value());
}

BOOST_AUTO_TEST_CASE(processes_that_start_together_all_stand_in_it) {
    std::vector<std::unique_ptr<listed_process>> processes;
    for (int number = 0; number < 20; ++number) {
        processes.push_back(std::make_unique<listed_process>(loop, log, number));
    }
    BOOST_TEST(run_until([&] {
        return std::all_of(processes.begin(), processes.end(),
                           [](const auto& process) { return process->seen.size() == 20; });
    }));
}

/// With an append that names the end of the log, each success makes the appends of all others fail,
/// so that the calls grow with the square of the processes.
BOOST_AUTO_TEST_CASE(processes_that_start_together_append_once_each) {
    std::vector<std::unique_ptr<listed_process>> processes;
    for (int number = 0; number < 40; ++number) {
        processes.push_back(std::make_unique<listed_process>(loop, log, number));
    }
    BOOST_REQUIRE(run_until([&] {
        return std::all_of(processes.begin(), processes.end(),
                           [](const auto& process) { return process->seen.size() == 40; });
    }));
    BOOST_TEST(log.append_calls == processes.size());
}

/// A process that stopped may leave an append on its way that is carried out after its successor's.
BOOST_AUTO_TEST_CASE(late_record_of_a_predecessor_is_overwritten) {
    const listed_process successor(loop, log, 1, 6);
    BOOST_REQUIRE(run_until([&] { return successor.seen.size() == 1; }));
    const cluster_member predecessor{"h1", incarnation_id{5}, "tcp://x:1", 0.2, {}, {}};
    log.put("members", "h1", encode_member(predecessor).value);
    BOOST_TEST(run_until([&] { return log.end_of("members") == 3; }));
    BOOST_TEST(run_until([&] { return successor.seen.at("h1").process == incarnation_id{6}; }));
}

BOOST_AUTO_TEST_CASE(process_that_times_the_store_tells_how_far_it_is) {
    const listed_process plain(loop, log, 1);
    const listed_process timing(loop, log, 2, 1, true);
    BOOST_REQUIRE(run_until([&] { return plain.seen.size() == 2; }));
    BOOST_TEST((plain.seen.at("h1").store_latency == microseconds(0)));
    BOOST_TEST((plain.seen.at("h2").store_latency > microseconds(0)));
}

BOOST_AUTO_TEST_CASE(process_that_leaves_is_gone_from_it) {
    listed_process first(loop, log, 1);
    listed_process second(loop, log, 2);
    BOOST_REQUIRE(run_until([&] { return first.seen.size() == 2 && second.seen.size() == 2; }));
    first.directory.leave();
    BOOST_TEST(run_until([&] { return second.seen.size() == 1 && first.seen.size() == 1; }));
}

BOOST_AUTO_TEST_CASE(successor_replaces_its_predecessors_record) {
    listed_process other(loop, log, 2);
    {
        listed_process first(loop, log, 1, 5);
        run_until([&] { return first.seen.size() == 2; });
    }
    const listed_process successor(loop, log, 1, 6);
    BOOST_TEST(run_until([&] {
        return other.seen.contains("h1") && other.seen.at("h1").process == incarnation_id{6};
    }));
}

BOOST_AUTO_TEST_CASE(record_whose_answer_was_lost_is_written_once) {
    log.lost_answers = 1.0;
    const listed_process process(loop, log, 1);
    BOOST_REQUIRE(run_until([&] { return process.seen.size() == 1; }));
    run_for(milliseconds(200));
    BOOST_TEST(log.end_of("members") == 1U);
}

BOOST_AUTO_TEST_CASE(directory_whose_log_is_away_is_joined_when_it_is_back) {
    log.down = true;
    const listed_process process(loop, log, 1);
    run_for(milliseconds(100));
    BOOST_TEST(process.seen.empty());
    log.down = false;
    BOOST_TEST(run_until([&] { return process.seen.size() == 1; }));
}

BOOST_AUTO_TEST_SUITE_END()
