#include "wrenswitch/decision/suspects/suspect_table.hpp"

#include <boost/test/unit_test.hpp>
#include <string>

namespace {

using namespace wrenswitch;

const instant now{seconds(50'000)};
const digest request{1, 1};

target_life life(int number) {
    return {"t" + std::to_string(number), 1};
}

struct suspect_table_fixture {
    suspect_table table;

    void end_under(const digest& each, int from, int count, instant at = now) {
        for (int number = from; number < from + count; ++number) {
            table.add(at, {each, life(number)});
        }
    }
};

BOOST_FIXTURE_TEST_SUITE(suspect_table_test, suspect_table_fixture)

BOOST_AUTO_TEST_CASE(request_without_an_end_is_not_suspected) {
    BOOST_TEST((table.held_of(now, request) == suspicion::none));
}

BOOST_AUTO_TEST_CASE(request_with_two_ends_is_suspected_and_with_three_quarantined) {
    end_under(request, 0, 2);
    BOOST_TEST((table.held_of(now, request) == suspicion::suspected));
    end_under(request, 2, 1);
    BOOST_TEST((table.held_of(now, request) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(end_of_one_life_that_is_told_again_counts_once) {
    for (int telling = 0; telling < 5; ++telling) {
        table.add(now, {request, life(1)});
    }
    BOOST_TEST(table.ends_of(request) == 1U);
    // The same target under another start is another life.
    table.add(now, {request, {"t1", 2}});
    BOOST_TEST(table.ends_of(request) == 2U);
}

BOOST_AUTO_TEST_CASE(request_that_ended_well_is_cleared_and_proven) {
    end_under(request, 0, 3);
    BOOST_TEST(table.ended_well(now, request).size() == 3U);
    BOOST_TEST((table.held_of(now, request) == suspicion::none));
    BOOST_TEST(table.is_proven(now + seconds(30), request));
    BOOST_TEST(!table.is_proven(now + seconds(31), request));
}

BOOST_AUTO_TEST_CASE(quarantine_ends_and_doubles_with_the_next_end) {
    end_under(request, 0, 3);
    const instant over = now + seconds(600);
    BOOST_TEST((table.held_of(over - seconds(1), request) == suspicion::quarantined));
    BOOST_TEST((table.held_of(over, request) == suspicion::suspected));
    end_under(request, 3, 1, over);
    BOOST_TEST((table.held_of(over + seconds(1199), request) == suspicion::quarantined));
    BOOST_TEST((table.held_of(over + seconds(1200), request) == suspicion::suspected));
}

BOOST_AUTO_TEST_CASE(evidence_is_dropped_hours_after_its_last) {
    end_under(request, 0, 1);
    BOOST_TEST(table.drop_old(now + seconds(7200)).empty());
    BOOST_TEST(table.drop_old(now + seconds(7201)).size() == 1U);
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_CASE(caller_with_ever_new_contents_pushes_out_no_quarantine) {
    end_under(request, 0, 3);
    for (std::uint64_t number = 0; number < 10'000; ++number) {
        end_under({2, number}, 0, 2, now + seconds(1));
        if (number % 100 == 0) {
            table.drop_old(now + seconds(1));
        }
    }
    table.drop_old(now + seconds(1));
    BOOST_TEST(table.size() == 4096U);
    BOOST_TEST((table.held_of(now, request) == suspicion::quarantined));
}

BOOST_AUTO_TEST_CASE(memory_of_requests_that_ended_well_is_bounded) {
    for (std::uint64_t number = 0; number < 10'000; ++number) {
        table.ended_well(now, {3, number});
    }
    BOOST_TEST(!table.is_proven(now, {3, 0}));
    BOOST_TEST(table.is_proven(now, {3, 9'999}));
}

BOOST_AUTO_TEST_CASE(evidence_that_is_taken_back_counts_no_more) {
    end_under(request, 0, 3);
    BOOST_TEST(table.remove({request, life(0)}));
    BOOST_TEST(!table.remove({request, life(0)}));
    BOOST_TEST((table.held_of(now, request) == suspicion::suspected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
