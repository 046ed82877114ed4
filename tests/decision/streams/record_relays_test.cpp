#include "wrenswitch/decision/streams/record_relays.hpp"

#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

namespace {

using namespace wrenswitch;

/// Relays of some failure domains.
struct record_relays_fixture {
    record_relays relays;

    static std::vector<record_relay> all(int domains, int per_domain) {
        std::vector<record_relay> found;
        for (int domain = 0; domain < domains; ++domain) {
            for (int number = 0; number < per_domain; ++number) {
                found.push_back({"tcp://r" + std::to_string(domain) + "-" + std::to_string(number),
                                 "z" + std::to_string(domain)});
            }
        }
        return found;
    }

    std::string domain_of(const std::string& endpoint) const {
        for (const record_relay& each : relays.selected()) {
            if (each.endpoint == endpoint) {
                return each.failure_domain;
            }
        }
        return "";
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(record_relays_test, record_relays_fixture)

BOOST_AUTO_TEST_CASE(few_relays_of_each_domain_hold_records_however_many_there_are) {
    relays.select(all(4, 200));
    std::map<std::string, std::size_t> counts;
    for (const record_relay& each : relays.selected()) {
        counts[each.failure_domain] += 1;
    }
    BOOST_TEST(counts.size() == 4U);
    for (const auto& [domain, count] : counts) {
        BOOST_TEST(count == record_relays::relays_per_domain);
    }
}

BOOST_AUTO_TEST_CASE(record_is_held_in_two_domains_and_its_holders_are_asked_first) {
    relays.select(all(3, 3));
    std::set<std::string> holders;
    for (int number = 0; number < 200; ++number) {
        const std::string request = "r" + std::to_string(number);
        const std::vector<std::string> recipients = relays.recipients(request);
        const std::vector<std::string> candidates = relays.candidates(request);
        BOOST_REQUIRE(recipients.size() == record_relays::copies);
        BOOST_TEST(domain_of(recipients[0]) != domain_of(recipients[1]));
        BOOST_TEST(candidates.size() == record_relays::candidates_per_stream);
        BOOST_TEST(std::equal(recipients.begin(), recipients.end(), candidates.begin()));
        BOOST_TEST(std::set(candidates.begin(), candidates.end()).size() == candidates.size());
        holders.insert(recipients.begin(), recipients.end());
    }
    BOOST_TEST(holders.size() == 9U);
}

BOOST_AUTO_TEST_CASE(holder_is_asked_after_two_other_relays_were_added_or_lost) {
    relays.select(all(3, 3));
    record_relays later;
    std::vector<record_relay> changed = all(3, 4);
    std::erase_if(changed, [](const record_relay& each) { return each.endpoint == "tcp://r1-1"; });
    later.select(changed);
    std::size_t found = 0;
    constexpr int requests = 300;
    for (int number = 0; number < requests; ++number) {
        const std::string request = "r" + std::to_string(number);
        const std::vector<std::string> asked = later.candidates(request);
        for (const std::string& endpoint : relays.recipients(request)) {
            if (std::find(asked.begin(), asked.end(), endpoint) != asked.end()) {
                found += 1;
                break;
            }
        }
    }
    BOOST_TEST(found >= requests * 9 / 10);
}

BOOST_AUTO_TEST_CASE(all_entries_choose_the_same_relays_in_whatever_order_they_learn_of_them) {
    std::vector<record_relay> one = all(2, 6);
    std::vector<record_relay> other(one.rbegin(), one.rend());
    other.push_back(one.front());
    record_relays second;
    BOOST_TEST(relays.select(one));
    BOOST_TEST(second.select(other));
    BOOST_TEST((relays.selected() == second.selected()));
    BOOST_TEST(!relays.select(other));
    BOOST_TEST(relays.contains(relays.selected().front().endpoint));
    BOOST_TEST(!relays.contains("tcp://nobody"));
}

BOOST_AUTO_TEST_CASE(without_relays_nobody_gets_or_is_asked_for_records) {
    BOOST_TEST(!relays.select({}));
    BOOST_TEST(relays.recipients("r1").empty());
    BOOST_TEST(relays.candidates("r1").empty());
    relays.select(all(1, 1));
    BOOST_TEST(relays.recipients("r1").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
