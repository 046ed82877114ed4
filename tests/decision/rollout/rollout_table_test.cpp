#include "wrenswitch/decision/rollout/rollout_table.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct rollout_table_fixture {
    static rollout_record record(std::uint64_t order, rollout_state state) {
        return {"llm", order, "v" + std::to_string(order), state, seconds(1), incarnation_id{1},
                "x"};
    }

    rollout_table table;
};

BOOST_FIXTURE_TEST_SUITE(rollout_table_test, rollout_table_fixture)

BOOST_AUTO_TEST_CASE(final_state_stays_whatever_follows_for_the_order) {
    BOOST_TEST(table.apply(record(3, rollout_state::running)));
    BOOST_TEST(table.apply(record(3, rollout_state::rolled_back)));
    BOOST_TEST(!table.apply(record(3, rollout_state::completed)));
    BOOST_TEST(!table.apply(record(3, rollout_state::running)));
    BOOST_TEST((table.find("llm")->state == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(later_order_begins_anew_and_earlier_one_changes_nothing) {
    table.apply(record(3, rollout_state::rolled_back));
    BOOST_TEST(table.apply(record(4, rollout_state::running)));
    BOOST_TEST(!table.apply(record(3, rollout_state::completed)));
    BOOST_TEST(table.find("llm")->order == 4U);
}

BOOST_AUTO_TEST_CASE(service_without_a_record_has_none) {
    BOOST_TEST((table.find("other") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
