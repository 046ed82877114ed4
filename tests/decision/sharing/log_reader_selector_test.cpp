#include "wrenswitch/decision/sharing/log_reader_selector.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

/// The members of one failure domain.
struct failure_domain_fixture {
    std::vector<cluster_member> members;

    void add(std::size_t count, double capacity) {
        for (std::size_t at = 0; at < count; ++at) {
            cluster_member member;
            member.host = "h" + std::to_string(members.size());
            member.capacity = capacity;
            member.shares_reads = true;
            members.push_back(member);
        }
    }

    log_reader_selector selector_of(std::size_t number) const {
        log_reader_selector selector(members.at(number).host, {});
        selector.set_members(members);
        return selector;
    }

    std::set<std::string> readers() const {
        std::set<std::string> found;
        for (std::size_t number = 0; number < members.size(); ++number) {
            if (selector_of(number).is_reader()) {
                found.insert(members[number].host);
            }
        }
        return found;
    }
};

constexpr instant start = instant{} + seconds(100);

}  // namespace

BOOST_FIXTURE_TEST_SUITE(log_reader_selector_test, failure_domain_fixture)

BOOST_AUTO_TEST_CASE(small_failure_domain_has_no_readers) {
    add(11, 0.1);
    BOOST_TEST(readers().empty());
    BOOST_TEST(!selector_of(3).reader(start).has_value());
}

BOOST_AUTO_TEST_CASE(readers_are_those_with_the_most_capacity) {
    add(55, 0.09);
    add(5, 1.0);
    const std::set<std::string> found = readers();
    BOOST_TEST(found.size() == 3U);
    for (const std::string& host : found) {
        BOOST_TEST(std::stoi(host.substr(1)) >= 55);
    }
}

BOOST_AUTO_TEST_CASE(entries_are_spread_over_the_readers_at_any_size) {
    for (const std::size_t size : {60U, 300U, 1000U}) {
        members.clear();
        add(size, 0.1);
        std::map<std::string, std::size_t> asked;
        for (std::size_t number = 0; number < size; ++number) {
            if (const auto reader = selector_of(number).reader(start)) {
                asked[reader->host] += 1;
            }
        }
        BOOST_TEST(asked.size() == readers().size());
        for (const auto& [host, count] : asked) {
            BOOST_TEST(count <= 40U);
        }
    }
}

BOOST_AUTO_TEST_CASE(reader_that_failed_is_skipped_until_its_backoff_ends) {
    add(20, 0.1);
    std::size_t number = 0;
    while (selector_of(number).is_reader()) {
        number += 1;
    }
    log_reader_selector selector = selector_of(number);
    const std::string first = selector.reader(start).value().host;
    BOOST_TEST(selector.record_failure(start, first));
    const std::string second = selector.reader(start).value().host;
    BOOST_TEST(first != second);
    BOOST_TEST(selector.record_failure(start, second));
    BOOST_TEST(!selector.reader(start + seconds(1)).has_value());
    BOOST_TEST(selector.reader(start + seconds(3)).value().host == first);
    BOOST_TEST(selector.record_answer(first));
    BOOST_TEST(!selector.record_answer(first));
}

BOOST_AUTO_TEST_CASE(entry_of_an_earlier_release_is_no_reader) {
    add(20, 0.1);
    add(1, 1.0);
    members.back().shares_reads = false;
    BOOST_TEST(!readers().contains(members.back().host));
}

BOOST_AUTO_TEST_SUITE_END()
