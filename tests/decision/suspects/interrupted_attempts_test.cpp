#include "wrenswitch/decision/suspects/interrupted_attempts.hpp"

#include <boost/test/unit_test.hpp>

#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace {

using namespace wrenswitch;

const instant now{seconds(50)};
const target_incarnation incarnation{"t", 1};
const digest first{1, 1};
const digest second{2, 2};
const digest third{3, 3};

/// The fingerprints of an attempt whose prompt has no parts.
std::span<const digest> only(const digest& fingerprint) {
    return {&fingerprint, 1};
}

struct interrupted_attempts_fixture {
    interrupted_attempts attempts;
};

BOOST_FIXTURE_TEST_SUITE(interrupted_attempts_test, interrupted_attempts_fixture)

BOOST_AUTO_TEST_CASE(interrupted_requests_of_ended_incarnation_are_returned_once_each) {
    attempts.record_interrupted(now, incarnation, only(first));
    attempts.record_interrupted(now, incarnation, only(first));
    attempts.record_interrupted(now, incarnation, only(second));
    attempts.record_interrupted(now, {"t", 2}, only(third));
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{first, second}));
    BOOST_TEST(attempts.take_in_flight(incarnation).empty());
    BOOST_TEST(attempts.has_interrupted({"t", 2}));
}

BOOST_AUTO_TEST_CASE(request_cancelled_just_before_the_end_is_returned) {
    attempts.record_cancelled(now - milliseconds(900), incarnation, only(first));
    attempts.record_cancelled(now - milliseconds(1100), incarnation, only(second));
    attempts.record_interrupted(now, incarnation, only(third));
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{first, {3, 3}}));
}

BOOST_AUTO_TEST_CASE(request_interrupted_long_before_the_end_is_not_returned) {
    attempts.record_interrupted(now - milliseconds(1100), incarnation, only(first));
    attempts.record_interrupted(now, incarnation, only(second));
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{second}));
}

BOOST_AUTO_TEST_CASE(incarnation_with_only_cancelled_attempts_returns_none) {
    attempts.record_cancelled(now, incarnation, only(first));
    BOOST_TEST(!attempts.has_interrupted(incarnation));
    BOOST_TEST(attempts.take_in_flight(incarnation).empty());
}

BOOST_AUTO_TEST_CASE(discarded_incarnation_returns_none) {
    attempts.record_interrupted(now, incarnation, only(first));
    attempts.discard(incarnation);
    BOOST_TEST(attempts.take_in_flight(incarnation).empty());
}

BOOST_AUTO_TEST_CASE(unexplained_interruption_expires) {
    attempts.record_interrupted(now, incarnation, only(first));
    attempts.discard_expired(now + seconds(8));
    BOOST_TEST(attempts.has_interrupted(incarnation));
    attempts.discard_expired(now + seconds(9));
    BOOST_TEST(!attempts.has_interrupted(incarnation));
}

BOOST_AUTO_TEST_CASE(prompt_parts_of_attempts_are_returned_once_each) {
    const digest part = fingerprint_of_part(7);
    attempts.record_interrupted(now, incarnation, std::vector<digest>{first, part});
    attempts.record_interrupted(now, incarnation, std::vector<digest>{second, part});
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{first, second, part}));
}

BOOST_AUTO_TEST_CASE(
    response_that_ended_with_its_connection_is_confirmed_by_a_target_that_is_alive) {
    attempts.record_unconfirmed(now, incarnation, {{first}, now - seconds(1)});
    attempts.record_interrupted(now, incarnation, only(second));
    BOOST_TEST(attempts.has_interrupted(incarnation));
    const std::vector<unconfirmed_response> confirmed = attempts.take_unconfirmed(incarnation);
    BOOST_REQUIRE(confirmed.size() == 1U);
    BOOST_TEST((confirmed.front().fingerprints == std::vector<digest>{first}));
    BOOST_TEST((confirmed.front().began == now - seconds(1)));
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{second}));
}

BOOST_AUTO_TEST_CASE(response_that_ended_with_its_connection_and_its_target_was_in_flight) {
    attempts.record_unconfirmed(now, incarnation, {{first}, now});
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{first}));
    BOOST_TEST(attempts.discard(incarnation).empty());
}

BOOST_AUTO_TEST_CASE(response_that_ended_shortly_before_its_target_was_not_in_flight) {
    attempts.record_unconfirmed(now - milliseconds(121), incarnation, {{first}, now});
    attempts.record_unconfirmed(now - milliseconds(120), incarnation, {{third}, now});
    attempts.record_interrupted(now, incarnation, only(second));
    BOOST_TEST((attempts.take_in_flight(incarnation) == std::vector<digest>{second, third}));
}

BOOST_AUTO_TEST_CASE(attempts_per_incarnation_are_bounded) {
    for (std::uint64_t number = 0; number < 1000; ++number) {
        const digest each{number, 0};
        attempts.record_interrupted(now, incarnation, only(each));
    }
    BOOST_TEST(attempts.take_in_flight(incarnation).size() == 256U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(request_fingerprint_test)

BOOST_AUTO_TEST_CASE(identical_content_has_identical_fingerprint) {
    const request_content content{"POST", "h", "/a/b", "account", "body"};
    BOOST_TEST((fingerprint_of(content) == fingerprint_of(content)));
}

BOOST_AUTO_TEST_CASE(prompt_part_is_told_from_content_and_keeps_its_name) {
    const digest part = fingerprint_of_part(0x5c1e07a2);
    BOOST_TEST(is_prompt_part(part));
    BOOST_TEST(!is_prompt_part(fingerprint_of({"POST", "h", "/a", "account", "body"})));
    BOOST_TEST(part_names(std::vector<digest>{part, fingerprint_of_part(1)}) == "5c1e07a2,1");
}

BOOST_AUTO_TEST_CASE(shared_parts_of_a_prompt_are_all_but_the_last_once_each) {
    const std::vector<prompt_part> prompt{{1, 10}, {2, 10}, {1, 10}, {9, 10}};
    BOOST_TEST((shared_part_fingerprints(prompt) ==
                std::vector<digest>{fingerprint_of_part(1), fingerprint_of_part(2)}));
    BOOST_TEST(shared_part_fingerprints({}).empty());
}

BOOST_AUTO_TEST_CASE(shared_parts_of_a_prompt_that_names_thousands_are_bounded) {
    std::vector<prompt_part> prompt;
    for (std::uint64_t id = 0; id < 8000; ++id) {
        prompt.push_back({id, 1});
    }
    BOOST_TEST(shared_part_fingerprints(prompt).size() == 32U);
}

BOOST_AUTO_TEST_CASE(change_of_any_part_changes_fingerprint) {
    const request_content content{"POST", "h", "/a/b", "account", "body"};
    const digest original = fingerprint_of(content);
    for (std::string_view request_content::*part :
         {&request_content::method, &request_content::host, &request_content::target,
          &request_content::account, &request_content::body}) {
        request_content other = content;
        other.*part = "other";
        BOOST_TEST((fingerprint_of(other) != original));
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
