#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "platform/dialect.hpp"
#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace {

using namespace wrenswitch;
using nlohmann::json;

json good_entry() {
    return {{"service", "app"},
            {"addr", "10.128.0.9:8080"},
            {"zone", "z1"},
            {"version", "v1"},
            {"slots", 48},
            {"state", "ready"},
            {"coldLeftMs", 0},
            {"seq", 4},
            {"born", 1'790'000'000'000}};
}

result<listed_target> read(const json& entry) {
    return platform::read_target("i-1", entry.dump());
}

BOOST_AUTO_TEST_SUITE(target_entry_test)

BOOST_AUTO_TEST_CASE(entry_that_says_when_its_target_started_names_that_life) {
    BOOST_TEST((read(good_entry()).value().target.started == 1'790'000'000'000));
    json silent = good_entry();
    silent.erase("born");
    BOOST_TEST(!read(silent).value().target.started.has_value());
}

BOOST_AUTO_TEST_CASE(entry_with_a_field_that_is_missing_or_of_another_type_is_an_error) {
    for (const char* field : {"service", "addr", "zone", "slots", "state"}) {
        json entry = good_entry();
        entry.erase(field);
        BOOST_TEST(!read(entry).has_value(), field);
    }
    const std::vector<std::pair<const char*, json>> odd{{"service", 7},
                                                        {"service", ""},
                                                        {"addr", "nowhere"},
                                                        {"addr", json::array()},
                                                        {"zone", nullptr},
                                                        {"slots", "48"},
                                                        {"slots", -1},
                                                        {"slots", 0},
                                                        {"slots", 1.5},
                                                        {"slots", 1e300},
                                                        {"state", "lost"},
                                                        {"state", true},
                                                        {"version", json::object()},
                                                        {"coldLeftMs", "0"},
                                                        {"coldLeftMs", 1e12},
                                                        {"born", 1.5},
                                                        {"born", "yesterday"},
                                                        {"born", -1}};
    for (const auto& [field, value] : odd) {
        json entry = good_entry();
        entry[field] = value;
        BOOST_TEST(!read(entry).has_value(), std::string(field) + " " + value.dump());
    }
}

BOOST_AUTO_TEST_CASE(all_that_is_wrong_with_an_entry_is_told_together) {
    json entry = good_entry();
    entry["slots"] = -1;
    entry["state"] = "gone";
    entry.erase("addr");
    const std::string told = read(entry).error().message;
    for (const char* place : {"/slots", "/state", "/addr"}) {
        BOOST_TEST(told.find(place) != std::string::npos, told);
    }
}

BOOST_AUTO_TEST_CASE(field_that_nobody_knows_is_no_matter) {
    json entry = good_entry();
    entry["more"] = {{"of", {1, 2, 3}}};
    BOOST_TEST(read(entry).has_value());
}

BOOST_AUTO_TEST_CASE(bytes_that_are_no_entry_are_an_error) {
    const std::string deep = std::string(100'000, '[');
    const std::string large = "\"" + std::string(1'000'000, 'x') + "\"";
    for (const std::string& bytes :
         {std::string(), std::string("\xff\xfe\x00{", 4), std::string("[]"), std::string("null"),
          deep, large, good_entry().dump().substr(0, 40)}) {
        BOOST_TEST(!platform::read_target("i-1", bytes).has_value());
    }
}

/// Values of every kind, many of them at the edge of what a field may hold.
json any_value(random_source& random) {
    const std::vector<json> values{nullptr,
                                   true,
                                   0,
                                   -1,
                                   1,
                                   1.5,
                                   1e300,
                                   -1e300,
                                   "",
                                   "ready",
                                   "10.0.0.1:80",
                                   "x:y",
                                   json::array(),
                                   json::object(),
                                   std::numeric_limits<std::uint64_t>::max(),
                                   std::numeric_limits<std::int64_t>::min(),
                                   std::string(5000, 'a')};
    return values[random.below(values.size())];
}

BOOST_AUTO_TEST_CASE(random_entries_are_read_whole_or_not_at_all) {
    constexpr int cases = 20'000;
    random_source random(46);
    int read_well = 0;
    for (int number = 0; number < cases; ++number) {
        json entry = good_entry();
        for (std::uint64_t change = random.below(3); change > 0; --change) {
            auto field = entry.begin();
            std::advance(field, static_cast<std::ptrdiff_t>(random.below(entry.size())));
            if (random.below(3) == 0) {
                entry.erase(field);
            } else {
                *field = any_value(random);
            }
        }
        std::string bytes = entry.dump();
        if (random.below(4) == 0) {
            bytes.resize(random.below(bytes.size() + 1));
        }
        if (random.below(4) == 0 && !bytes.empty()) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        const result<listed_target> found = platform::read_target("i-1", bytes);
        if (!found) {
            BOOST_TEST(!found.error().message.empty());
            continue;
        }
        read_well += 1;
        const gateway_target& target = found.value().target;
        BOOST_TEST((!target.service.empty() && !target.failure_domain.empty()));
        BOOST_TEST(http_address::parse(target.address).has_value());
        BOOST_TEST((target.slots >= 1U && target.slots <= 1'000'000U));
        BOOST_TEST((found.value().cold_remaining >= microseconds(0)));
    }
    BOOST_TEST(read_well > cases / 10);
    BOOST_TEST(read_well < cases);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
