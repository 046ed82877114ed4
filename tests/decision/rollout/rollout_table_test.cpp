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

BOOST_AUTO_TEST_CASE(final_state_ignores_later_records_of_same_order) {
    BOOST_TEST(table.apply(record(3, rollout_state::running)));
    BOOST_TEST(table.apply(record(3, rollout_state::rolled_back)));
    BOOST_TEST(!table.apply(record(3, rollout_state::completed)));
    BOOST_TEST(!table.apply(record(3, rollout_state::running)));
    BOOST_TEST((table.find("llm")->state == rollout_state::rolled_back));
}

BOOST_AUTO_TEST_CASE(later_order_replaces_earlier_one_and_not_vice_versa) {
    table.apply(record(3, rollout_state::rolled_back));
    BOOST_TEST(table.apply(record(4, rollout_state::running)));
    BOOST_TEST(!table.apply(record(3, rollout_state::completed)));
    BOOST_TEST(table.find("llm")->order == 4U);
}

BOOST_AUTO_TEST_CASE(unknown_service_has_no_record) {
    BOOST_TEST((table.find("other") == nullptr));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
