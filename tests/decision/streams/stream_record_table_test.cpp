#include "wrenswitch/decision/streams/stream_record_table.hpp"

#include <boost/test/unit_test.hpp>

namespace {

using namespace wrenswitch;
using outcome = stream_record_table::outcome;

constexpr std::uint64_t account = 1;
constexpr std::uint64_t other_account = 2;

/// A table with room for four records.
struct stream_record_table_fixture {
    instant now{seconds(100)};
    stream_record_table table{4};

    stream_record make(const std::string& request, microseconds life = seconds(10),
                       std::uint64_t of = account) const {
        return {request, "llm", "v1", of, 1, now + life};
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(stream_record_table_test, stream_record_table_fixture)

BOOST_AUTO_TEST_CASE(record_is_found_until_it_expires) {
    BOOST_TEST((table.record(now, make("r1")) == outcome::recorded));
    BOOST_REQUIRE(table.find(now, "r1", account) != nullptr);
    BOOST_TEST(table.find(now, "r1", account)->version == "v1");
    BOOST_TEST(table.find(now + seconds(10), "r1", account) == nullptr);
    BOOST_TEST(table.remove_expired(now + seconds(10)) == 1U);
    BOOST_TEST(table.size() == 0U);
    BOOST_TEST(table.bytes() == 0U);
}

BOOST_AUTO_TEST_CASE(record_of_a_later_attempt_replaces_the_earlier_one) {
    stream_record later = make("r1");
    later.version = "v2";
    later.attempt = 2;
    table.record(now, make("r1"));
    BOOST_TEST((table.record(now, later) == outcome::recorded));
    BOOST_TEST((table.record(now, make("r1")) == outcome::outdated));
    BOOST_TEST(table.find(now, "r1", account)->version == "v2");
    BOOST_TEST(table.size() == 1U);
}

BOOST_AUTO_TEST_CASE(record_of_another_account_is_not_found) {
    table.record(now, make("r1"));
    BOOST_TEST(table.find(now, "r1", other_account) == nullptr);
    stream_record same_name = make("r1", seconds(10), other_account);
    same_name.version = "v2";
    table.record(now, same_name);
    BOOST_TEST(table.find(now, "r1", account)->version == "v1");
    BOOST_TEST(table.find(now, "r1", other_account)->version == "v2");
}

BOOST_AUTO_TEST_CASE(full_table_evicts_a_record_of_the_account_with_the_most) {
    table.record(now, make("other", seconds(1), other_account));
    for (int number = 1; number <= 20; ++number) {
        table.record(now, make("r" + std::to_string(number), seconds(10 + number)));
    }
    BOOST_TEST(table.size() == 4U);
    BOOST_TEST(table.evictions() == 17U);
    BOOST_TEST(table.find(now, "other", other_account) != nullptr);
    BOOST_TEST(table.find(now, "r20", account) != nullptr);
    BOOST_TEST(table.find(now, "r1", account) == nullptr);
}

BOOST_AUTO_TEST_CASE(damaged_and_expired_records_are_not_kept) {
    BOOST_TEST((table.record(now, make("")) == outcome::invalid));
    const std::string long_name(stream_record::max_request_bytes + 1, 'a');
    BOOST_TEST((table.record(now, make(long_name)) == outcome::invalid));
    stream_record unnamed = make("r1");
    unnamed.service.clear();
    BOOST_TEST((table.record(now, unnamed) == outcome::invalid));
    BOOST_TEST((table.record(now, make("r1", seconds(0))) == outcome::expired));
    BOOST_TEST(table.size() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
