#include "wrenswitch/decision/control/control_state.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr incarnation_id entry_one{1};
constexpr incarnation_id entry_two{2};
constexpr incarnation_id guard_one{11};
constexpr incarnation_id guard_two{12};

/// A control stream with two entries and two guards registered.
struct control_fixture {
    control_state control;
    std::uint64_t offset = 0;
    std::unordered_map<incarnation_id, std::uint64_t> sequences;

    control_fixture() {
        register_member(entry_one, member_role::entry);
        register_member(entry_two, member_role::entry);
        register_member(guard_one, member_role::guard);
        register_member(guard_two, member_role::guard);
    }

    void register_member(incarnation_id id, member_role role) {
        append(id, register_record{registration{role, "h", "r", "d", "", "", ""}});
    }

    control_effect append(incarnation_id writer, const control_record_kind& kind) {
        return control.apply({writer, ++sequences[writer], kind}, log_offset{++offset});
    }

    void ack(incarnation_id fenced, incarnation_id sender, std::vector<charge> charges = {}) {
        append(entry_two, fence_acks_record{{{fenced, sender, std::move(charges)}}});
    }

    bool complete(incarnation_id fenced) const { return control.fences().at(fenced).complete(); }

    static change_set put_account(std::uint64_t operation, std::uint64_t base) {
        const client_account account{"a", std::string(64, '0'), 0, "b"};
        return {operation_id{operation}, base, true, {put_client_account{account}}};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(control_state_test, control_fixture)

BOOST_AUTO_TEST_CASE(fence_of_an_entry_is_complete_only_after_every_guard_acknowledged) {
    append(entry_two, fence_record{entry_one});
    ack(entry_one, guard_one);
    BOOST_TEST(!complete(entry_one));
    ack(entry_one, guard_two);
    BOOST_TEST(complete(entry_one));
}

BOOST_AUTO_TEST_CASE(fence_does_not_wait_for_a_guard_that_registered_later) {
    append(entry_two, fence_record{entry_one});
    register_member(incarnation_id{13}, member_role::guard);
    ack(entry_one, guard_one);
    ack(entry_one, guard_two);
    BOOST_TEST(complete(entry_one));
}

BOOST_AUTO_TEST_CASE(fence_counts_a_closed_guard_as_acknowledged) {
    append(guard_one, close_record{});
    append(entry_two, fence_record{entry_one});
    append(guard_two, close_record{});
    BOOST_TEST(complete(entry_one));
}

BOOST_AUTO_TEST_CASE(fence_waits_for_a_fenced_guard_whose_fence_the_entry_had_not_acknowledged) {
    append(entry_two, fence_record{guard_one});
    append(entry_two, fence_record{entry_one});
    ack(entry_one, guard_two);
    BOOST_TEST(!complete(entry_one));
}

BOOST_AUTO_TEST_CASE(
    fence_does_not_wait_for_a_fenced_guard_whose_fence_the_entry_had_acknowledged) {
    append(entry_two, fence_record{guard_one});
    append(entry_one, fence_acks_record{{{guard_one, entry_one, {}}}});
    append(entry_two, fence_record{entry_one});
    ack(entry_one, guard_two);
    BOOST_TEST(complete(entry_one));
}

BOOST_AUTO_TEST_CASE(fence_does_not_wait_for_a_guard_that_was_fenced_before_the_entry_registered) {
    append(entry_two, fence_record{guard_one});
    const incarnation_id later{3};
    register_member(later, member_role::entry);
    append(entry_two, fence_record{later});
    ack(later, guard_two);
    BOOST_TEST(complete(later));
}

BOOST_AUTO_TEST_CASE(ack_repeated_adds_its_charges_once) {
    append(entry_two, fence_record{entry_one});
    const charge listed{budget_id{1}, entry_one, digest{0, 1}, ticket_id{1}, 5, false};
    ack(entry_one, guard_one, {listed});
    ack(entry_one, guard_one, {listed});
    BOOST_TEST(control.fences().at(entry_one).charges.size() == 1U);
}

BOOST_AUTO_TEST_CASE(members_beyond_the_limit_are_evicted_except_active_ones_and_fenced_guards) {
    append(entry_two, fence_record{guard_one});
    for (std::uint64_t number = 100; number < 10'100; ++number) {
        const incarnation_id id{number};
        register_member(id, member_role::entry);
        append(id, close_record{});
    }
    BOOST_TEST(control.members().size() < 4000U);
    BOOST_TEST((control.find(incarnation_id{100}) == nullptr));
    BOOST_TEST(control.is_active(entry_one));
    BOOST_TEST(control.is_fenced(guard_one));
    BOOST_TEST(!control.is_active(incarnation_id{100}));
}

BOOST_AUTO_TEST_CASE(fence_when_complete_drops_its_acknowledgements) {
    append(entry_two, fence_record{entry_one});
    ack(entry_one, guard_one);
    ack(entry_one, guard_two);
    BOOST_TEST(control.fences().at(entry_one).acked_by.empty());
    BOOST_TEST(!control.wants_ack(entry_one, guard_one));
}

BOOST_AUTO_TEST_CASE(fence_repeated_keeps_its_first_offset) {
    append(entry_two, fence_record{entry_one});
    const log_offset first = control.find(entry_one)->fenced_at;
    append(entry_two, fence_record{entry_one});
    BOOST_TEST((control.find(entry_one)->fenced_at == first));
}

BOOST_AUTO_TEST_CASE(change_based_on_an_older_version_is_refused_and_keeps_the_version) {
    BOOST_TEST((append(entry_one, put_account(1, 0)).outcome == change_outcome::accepted));
    BOOST_TEST((append(entry_two, put_account(2, 0)).outcome == change_outcome::refused_conflict));
    BOOST_TEST(control.config().version() == 1U);
}

BOOST_AUTO_TEST_CASE(change_repeated_by_another_writer_takes_effect_once_with_the_same_answer) {
    append(entry_one, put_account(1, 0));
    BOOST_TEST((append(entry_two, put_account(1, 0)).outcome == change_outcome::accepted));
    BOOST_TEST(control.config().version() == 1U);
}

BOOST_AUTO_TEST_CASE(change_set_with_one_invalid_change_is_not_applied) {
    change_set set = put_account(1, 0);
    set.changes.push_back(remove_service{"unknown"});
    BOOST_TEST((append(entry_one, set).outcome == change_outcome::refused_unknown_name));
    BOOST_TEST(control.config().client_accounts().empty());
    BOOST_TEST(control.config().version() == 0U);
}

BOOST_AUTO_TEST_CASE(account_with_a_key_of_another_account_is_refused) {
    append(entry_one, put_account(1, 0));
    change_set second = put_account(2, 1);
    std::get<put_client_account>(second.changes.front()).account.name = "other";
    BOOST_TEST((append(entry_one, second).outcome == change_outcome::refused_bad_value));
}

BOOST_AUTO_TEST_CASE(record_repeated_is_applied_once) {
    const control_record record{entry_one, ++sequences[entry_one], put_account(1, 0)};
    BOOST_TEST(control.apply(record, log_offset{++offset}).applied);
    BOOST_TEST(!control.apply(record, log_offset{++offset}).applied);
}

BOOST_AUTO_TEST_SUITE_END()
