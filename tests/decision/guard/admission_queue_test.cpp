#include "wrenswitch/decision/guard/admission_queue.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;

struct queue_fixture {
    admission_queue queue{{3, seconds(4), seconds(2)}};
    instant now{};
    std::uint64_t next = 1;
    std::optional<queued_request> evicted;

    refusal_reason push(const char* account, std::uint32_t priority, tokens token_bound = 10) {
        return queue.push(
            {attempt_id{next++}, account, priority, token_bound, now, now + seconds(30)}, evicted);
    }

    std::uint64_t pop() { return raw(queue.pop(now)->attempt); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission_queue_test, queue_fixture)

BOOST_AUTO_TEST_CASE(pop_returns_the_most_urgent_first) {
    push("a", 3);
    push("a", 1);
    BOOST_TEST(pop() == 2U);
    BOOST_TEST(pop() == 1U);
}

BOOST_AUTO_TEST_CASE(pop_returns_a_long_waiting_request_before_a_more_urgent_one) {
    push("a", 2);
    now += seconds(5);
    push("b", 1);
    BOOST_TEST(pop() == 1U);
}

BOOST_AUTO_TEST_CASE(pop_shares_the_target_between_accounts_by_tokens) {
    push("large", 1, 1000);
    push("large", 1, 1000);
    push("small", 1, 10);
    BOOST_TEST(pop() == 1U);
    BOOST_TEST(pop() == 3U);
    BOOST_TEST(pop() == 2U);
}

BOOST_AUTO_TEST_CASE(push_into_a_full_queue_is_refused_unless_it_is_more_urgent) {
    push("a", 1);
    push("a", 2);
    push("a", 2);
    BOOST_TEST((push("a", 2) == refusal_reason::queue_full));
    BOOST_TEST((push("a", 0) == refusal_reason::none));
    BOOST_REQUIRE(evicted.has_value());
    BOOST_TEST(evicted->priority == 2U);
    BOOST_TEST(queue.size() == 3U);
}

BOOST_AUTO_TEST_CASE(push_behind_a_long_wait_is_refused_immediately_unless_it_is_more_urgent) {
    push("a", 1);
    push("a", 1);
    push("a", 1);
    pop();
    now += seconds(3);
    pop();
    push("a", 1);
    BOOST_TEST((queue.expected_wait(1) == seconds(6)));
    BOOST_TEST((push("a", 1) == refusal_reason::queue_full));
    BOOST_TEST((push("a", 0) == refusal_reason::none));
}

BOOST_AUTO_TEST_CASE(remove_unmeetable_removes_requests_that_cannot_meet_their_deadline) {
    push("a", 1);
    now += seconds(29);
    BOOST_TEST(queue.remove_unmeetable(now, seconds(2)).size() == 1U);
    BOOST_TEST(queue.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
