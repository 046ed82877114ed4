#include "wrenswitch/decision/guard/charge_book.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

constexpr incarnation_id home{1};
constexpr incarnation_id guard{2};

/// A guard and a home that are registered, and tickets of the home.
struct book_fixture {
    control_state control;
    charge_book book{guard, control};
    std::uint64_t offset = 0;
    std::unordered_map<incarnation_id, std::uint64_t> sequences;

    book_fixture() {
        append(home, register_record{registration{member_role::entry, "e", "r", "d", "", "", ""}});
        append(guard, register_record{registration{member_role::guard, "g", "r", "d", "", "", ""}});
    }

    void append(incarnation_id writer, const control_record_kind& kind) {
        control.apply({writer, ++sequences[writer], kind}, log_offset{++offset});
    }

    static ticket ticket_of(std::uint64_t id) {
        ticket made;
        made.id = ticket_id{id};
        made.holder = home;
        made.bound = 100;
        made.issued_control_offset = log_offset{2};
        return made;
    }

    refusal_reason start(const ticket& used) { return book.start(used, log_offset{offset}); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(charge_book_test, book_fixture)

BOOST_AUTO_TEST_CASE(ticket_used_twice_is_refused) {
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::none));
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::repeated_ticket));
    BOOST_TEST(book.running() == 1U);
}

BOOST_AUTO_TEST_CASE(ticket_of_a_fenced_holder_is_refused) {
    append(guard, fence_record{home});
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_of_a_closed_holder_is_refused) {
    append(home, close_record{});
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_of_an_unknown_holder_is_refused_until_it_is_read) {
    ticket early = ticket_of(1);
    early.holder = incarnation_id{9};
    BOOST_TEST((start(early) == refusal_reason::behind));
}

BOOST_AUTO_TEST_CASE(ticket_that_needs_later_records_is_refused) {
    ticket later = ticket_of(1);
    later.least_control_offset = log_offset{offset + 1};
    BOOST_TEST((start(later) == refusal_reason::behind));
}

BOOST_AUTO_TEST_CASE(ticket_issued_before_the_guard_registered_is_refused) {
    ticket early = ticket_of(1);
    early.issued_control_offset = log_offset{1};
    BOOST_TEST((start(early) == refusal_reason::predates));
}

BOOST_AUTO_TEST_CASE(ticket_at_a_guard_that_is_fenced_itself_is_refused) {
    append(home, fence_record{guard});
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::fenced));
}

BOOST_AUTO_TEST_CASE(ticket_voided_before_its_dispatch_is_refused) {
    BOOST_TEST(book.void_ticket(ticket_id{1}, home));
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::voided));
}

BOOST_AUTO_TEST_CASE(ticket_voided_after_its_start_stays_started) {
    start(ticket_of(1));
    BOOST_TEST(!book.void_ticket(ticket_id{1}, home));
    BOOST_TEST(book.running() == 1U);
}

BOOST_AUTO_TEST_CASE(end_beyond_the_bound_charges_the_bound_and_tells_the_excess) {
    start(ticket_of(1));
    BOOST_TEST(book.end(ticket_id{1}, 130) == 30);
    BOOST_TEST(book.mark_for(home).front().amount == 100);
}

BOOST_AUTO_TEST_CASE(mark_lists_running_and_ended_charges_until_they_are_acknowledged) {
    start(ticket_of(1));
    start(ticket_of(2));
    book.end(ticket_id{1}, 40);
    const auto listed = book.mark_for(home);
    BOOST_TEST(listed.size() == 2U);
    book.acknowledge(ticket_id{1});
    book.acknowledge(ticket_id{2});
    BOOST_REQUIRE(book.mark_for(home).size() == 1U);
    BOOST_TEST(book.mark_for(home).front().running);
}

BOOST_AUTO_TEST_CASE(report_of_a_charge_is_repeated_only_after_a_while) {
    start(ticket_of(1));
    book.end(ticket_id{1}, 40);
    const instant now{};
    BOOST_TEST(book.unacknowledged(now, seconds(5), 10).size() == 1U);
    BOOST_TEST(book.unacknowledged(now + seconds(1), seconds(5), 10).empty());
    BOOST_TEST(book.unacknowledged(now + seconds(5), seconds(5), 10).size() == 1U);
}

BOOST_AUTO_TEST_CASE(cancel_of_what_did_not_run_leaves_no_charge_and_no_second_use) {
    start(ticket_of(1));
    book.cancel(ticket_id{1});
    BOOST_TEST(book.unsettled() == 0U);
    BOOST_TEST((start(ticket_of(1)) == refusal_reason::repeated_ticket));
}

BOOST_AUTO_TEST_SUITE_END()
