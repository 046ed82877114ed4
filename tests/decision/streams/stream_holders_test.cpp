#include "wrenswitch/decision/streams/stream_holders.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

/// A fleet as one of its entries sees it.
struct stream_holders_fixture {
    std::vector<cluster_member> fleet;

    void add(const std::string& host, const std::string& domain, const std::string& region = "") {
        fleet.push_back({host, {}, "tcp://" + host, 1.0, domain, region, {}, true});
    }

    /// Three failure domains with so many entries each.
    void add_domains(int entries) {
        for (const char* domain : {"z1", "z2", "z3"}) {
            for (int number = 1; number <= entries; ++number) {
                add(std::string(domain) + "-" + std::to_string(number), domain);
            }
        }
    }

    token_allocator_selector members_at(const std::string& host) const {
        token_allocator_selector members(host, {});
        for (const cluster_member& each : fleet) {
            members.apply(each);
        }
        return members;
    }

    const cluster_member& member(const std::string& host) const {
        return *std::find_if(fleet.begin(), fleet.end(),
                             [&host](const cluster_member& each) { return each.host == host; });
    }

    std::vector<cluster_member> recipients(const std::string& at,
                                           const std::string& request) const {
        const token_allocator_selector members = members_at(at);
        return stream_holders(members, member(at).failure_domain, member(at).region)
            .recipients(request);
    }

    std::vector<cluster_member> candidates(const std::string& at,
                                           const std::string& request) const {
        const token_allocator_selector members = members_at(at);
        return stream_holders(members, member(at).failure_domain, member(at).region)
            .candidates(request);
    }

    static bool contains(const std::vector<cluster_member>& members, const std::string& host) {
        return std::any_of(members.begin(), members.end(),
                           [&host](const cluster_member& each) { return each.host == host; });
    }

    /// True if the entry that resumes the stream holds the record or asks all that do.
    bool finds(const std::string& begun_at, const std::string& resumed_at,
               const std::string& request) const {
        const auto asked = candidates(resumed_at, request);
        const auto held = recipients(begun_at, request);
        return std::all_of(held.begin(), held.end(), [&](const cluster_member& each) {
            return each.host == resumed_at || contains(asked, each.host);
        });
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_holders_test, stream_holders_fixture)

BOOST_AUTO_TEST_CASE(record_goes_to_two_others_one_of_them_in_the_own_domain) {
    add_domains(3);
    for (int number = 0; number < 50; ++number) {
        const auto held = recipients("z1-1", "r" + std::to_string(number));
        BOOST_REQUIRE(held.size() == 2U);
        BOOST_TEST(!contains(held, "z1-1"));
        const bool first_is_near = held[0].failure_domain == "z1";
        const bool second_is_near = held[1].failure_domain == "z1";
        BOOST_TEST(first_is_near != second_is_near);
    }
}

BOOST_AUTO_TEST_CASE(entry_that_resumes_asks_both_holders_from_every_domain) {
    add_domains(3);
    for (int number = 0; number < 50; ++number) {
        const std::string request = "r" + std::to_string(number);
        for (const char* resumed_at : {"z1-2", "z2-1", "z3-3"}) {
            const auto asked = candidates(resumed_at, request);
            const auto held = recipients("z1-1", request);
            const bool asks_one = std::any_of(held.begin(), held.end(), [&](const auto& each) {
                return each.host == resumed_at || contains(asked, each.host);
            });
            BOOST_TEST(asks_one);
            BOOST_TEST(asked.size() <= 5U);
        }
        BOOST_TEST(finds("z1-1", "z1-2", request));
    }
}

BOOST_AUTO_TEST_CASE(entry_of_a_large_fleet_sends_records_to_few_others) {
    add_domains(113);
    const token_allocator_selector members = members_at("z1-1");
    const stream_holders holders(members, "z1", "");
    BOOST_TEST(holders.keepers().size() <= 3 * stream_holders::keepers_per_domain);
    std::set<std::string> used;
    for (int number = 0; number < 500; ++number) {
        for (const cluster_member& each : holders.recipients("r" + std::to_string(number))) {
            used.insert(each.host);
        }
    }
    BOOST_TEST(used.size() <= holders.keepers().size());
    BOOST_TEST(used.size() >= 8U);
}

BOOST_AUTO_TEST_CASE(domain_with_one_entry_has_its_records_in_two_others) {
    add_domains(1);
    const auto held = recipients("z1-1", "r1");
    BOOST_TEST(held.size() == 2U);
    BOOST_TEST(finds("z1-1", "z2-1", "r1"));
    BOOST_TEST(finds("z1-1", "z3-1", "r1"));
}

BOOST_AUTO_TEST_CASE(fleet_of_one_domain_has_two_copies_there) {
    for (const char* host : {"a", "b", "c", "d"}) {
        add(host, "z1");
    }
    for (int number = 0; number < 50; ++number) {
        const std::string request = "r" + std::to_string(number);
        BOOST_TEST(recipients("a", request).size() == 2U);
        for (const char* resumed_at : {"b", "c", "d"}) {
            BOOST_TEST(finds("a", resumed_at, request));
        }
    }
}

BOOST_AUTO_TEST_CASE(records_stay_in_their_region_and_are_asked_for_from_others) {
    for (const char* region : {"north", "south"}) {
        for (int number = 1; number <= 3; ++number) {
            add(std::string(region) + "-" + std::to_string(number),
                std::string(region) + "-z" + std::to_string(number), region);
        }
    }
    const auto held = recipients("north-1", "r1");
    BOOST_REQUIRE(held.size() == 2U);
    BOOST_TEST(held[0].region == "north");
    BOOST_TEST(held[1].region == "north");
    BOOST_TEST(finds("north-1", "south-2", "r1"));
}

BOOST_AUTO_TEST_CASE(only_entry_asks_and_tells_nobody) {
    add("a", "z1");
    BOOST_TEST(recipients("a", "r1").empty());
    BOOST_TEST(candidates("a", "r1").empty());
}

BOOST_AUTO_TEST_SUITE_END()
