#include "wrenswitch/decision/guard/charge_tracker.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr incarnation_id home{1};
constexpr incarnation_id guard{2};

/// A registered guard, and a registered holder that issues tickets.
struct charge_tracker_fixture {
    control_state control;
    charge_tracker tracker{guard, control};
    std::uint64_t offset = 0;
    std::unordered_map<incarnation_id, std::uint64_t> sequences;

    charge_tracker_fixture() {
        append(home, register_record{registration{member_role::entry, "e", "r", "d", "", "", ""}});
        append(guard, register_record{registration{member_role::guard, "g", "r", "d", "", "", ""}});
    }

    void append(incarnation_id writer, const control_record_kind& kind) {
        control.apply({writer, ++sequences[writer], kind}, log_offset{++offset});
    }

    static ticket ticket_of(std::uint64_t id) {
        ticket result;
        result.id = ticket_id{id};
        result.holder = home;
        result.bound = 100;
        result.issued_control_offset = log_offset{2};
        return result;
    }

    refusal_reason begin(const ticket& offered) {
        return tracker.begin_charge(offered, log_offset{offset});
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(charge_tracker_test, charge_tracker_fixture)

BOOST_AUTO_TEST_CASE(ticket_used_twice_is_refused) {
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::none));
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::repeated_ticket));
    BOOST_TEST(tracker.running_count() == 1U);
}

BOOST_AUTO_TEST_CASE(ticket_of_a_fenced_holder_is_refused) {
    append(guard, fence_record{home});
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_of_a_closed_holder_is_refused) {
    append(home, close_record{});
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_of_an_unknown_holder_is_refused_as_behind) {
    ticket early = ticket_of(1);
    early.holder = incarnation_id{9};
    BOOST_TEST((begin(early) == refusal_reason::behind));
}

BOOST_AUTO_TEST_CASE(ticket_that_needs_later_records_is_refused) {
    ticket later = ticket_of(1);
    later.least_control_offset = log_offset{offset + 1};
    BOOST_TEST((begin(later) == refusal_reason::behind));
}

BOOST_AUTO_TEST_CASE(ticket_issued_before_the_guard_registered_is_refused) {
    ticket early = ticket_of(1);
    early.issued_control_offset = log_offset{1};
    BOOST_TEST((begin(early) == refusal_reason::predates));
}

BOOST_AUTO_TEST_CASE(ticket_at_a_fenced_guard_is_refused) {
    append(home, fence_record{guard});
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_voided_before_its_dispatch_is_refused) {
    BOOST_TEST(tracker.void_ticket(ticket_id{1}, home));
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::voided));
}

BOOST_AUTO_TEST_CASE(ticket_voided_after_its_charge_began_keeps_running) {
    begin(ticket_of(1));
    BOOST_TEST(!tracker.void_ticket(ticket_id{1}, home));
    BOOST_TEST(tracker.running_count() == 1U);
}

BOOST_AUTO_TEST_CASE(finish_charge_beyond_the_bound_charges_the_bound_and_returns_the_excess) {
    begin(ticket_of(1));
    BOOST_TEST(tracker.finish_charge(ticket_id{1}, 130) == 30);
    BOOST_TEST(tracker.charges_of_holder(home).front().amount == 100);
}

BOOST_AUTO_TEST_CASE(
    charges_of_holder_lists_running_and_finished_charges_until_they_are_acknowledged) {
    begin(ticket_of(1));
    begin(ticket_of(2));
    tracker.finish_charge(ticket_id{1}, 40);
    const auto charges = tracker.charges_of_holder(home);
    BOOST_TEST(charges.size() == 2U);
    tracker.acknowledge_charge(ticket_id{1});
    tracker.acknowledge_charge(ticket_id{2});
    BOOST_REQUIRE(tracker.charges_of_holder(home).size() == 1U);
    BOOST_TEST(tracker.charges_of_holder(home).front().running);
}

BOOST_AUTO_TEST_CASE(report_of_a_charge_is_repeated_only_after_the_resend_interval) {
    begin(ticket_of(1));
    tracker.finish_charge(ticket_id{1}, 40);
    const instant now{};
    BOOST_TEST(tracker.take_due_reports(now, seconds(5), 10).size() == 1U);
    BOOST_TEST(tracker.take_due_reports(now + seconds(1), seconds(5), 10).empty());
    BOOST_TEST(tracker.take_due_reports(now + seconds(5), seconds(5), 10).size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_charge_removes_the_charge_and_keeps_the_ticket_used) {
    begin(ticket_of(1));
    tracker.cancel_charge(ticket_id{1});
    BOOST_TEST(tracker.unsettled_count() == 0U);
    BOOST_TEST((begin(ticket_of(1)) == refusal_reason::repeated_ticket));
}

BOOST_AUTO_TEST_SUITE_END()
