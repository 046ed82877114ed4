#include "roles/gateway/target_list.hpp"

#include <boost/test/unit_test.hpp>
#include <set>

namespace {

using namespace wrenswitch;

const instant now{seconds(50)};

/// A list of two targets of one service. Entries have the form "START ADDRESS"; others can't be
/// read.
struct target_list_fixture {
    random_source random{1};
    metrics counters;
    target_pool pool{{}, random};
    std::vector<std::string> replaced;
    std::vector<std::string> unlisted;
    std::vector<std::string> restarted;
    target_list list{pool,
                     counters,
                     {[](std::string_view id, std::string_view value) { return read(id, value); },
                      [this](const std::string& id) { replaced.push_back(id); },
                      [this](const std::string& id) { unlisted.push_back(id); },
                      [this](const std::string& id) { restarted.push_back(id); }}};
    std::uint64_t offset = 0;

    target_list_fixture() {
        put("a", "100 10.0.0.1:80");
        put("b", "100 10.0.0.2:80");
    }

    static result<listed_target> read(std::string_view id, std::string_view value) {
        const std::size_t separator = value.find(' ');
        if (separator == std::string_view::npos) {
            return failed(error_code::bad_input, "/start: nothing");
        }
        listed_target listed;
        listed.target.id = id;
        listed.target.service = "app";
        listed.target.address = value.substr(separator + 1);
        listed.target.slots = 6;
        listed.target.started = std::stoll(std::string(value.substr(0, separator)));
        return listed;
    }

    void put(const std::string& id, std::optional<std::string> value) {
        list.apply(now, {id, std::move(value), ++offset});
    }

    std::set<std::string> picked() {
        std::set<std::string> ids;
        for (int attempt = 0; attempt < 50; ++attempt) {
            if (const gateway_target* target = pool.pick(now, "app", {}).target) {
                ids.insert(target->id);
            }
        }
        return ids;
    }

    std::uint64_t count(const char* name) { return counters.counter(name); }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_list_test, target_list_fixture)

BOOST_AUTO_TEST_CASE(unreadable_entry_excludes_its_target_and_keeps_the_others) {
    put("a", "nonsense");
    BOOST_TEST((picked() == std::set<std::string>{"b"}));
    put("b", "nonsense");
    BOOST_TEST(picked().empty());
    put("a", "100 10.0.0.1:80");
    BOOST_TEST((picked() == std::set<std::string>{"a"}));
    BOOST_TEST(count("gateway_targets_unreadable_total") == 2U);
}

BOOST_AUTO_TEST_CASE(removed_target_with_unreadable_entry_is_not_used_as_a_last_resort) {
    put("a", "nonsense");
    put("a", std::nullopt);
    put("b", std::nullopt);
    BOOST_TEST((picked() == std::set<std::string>{"b"}));
}

BOOST_AUTO_TEST_CASE(restarted_target_loses_its_previous_state) {
    pool.on_unresponsive(now, "a");
    pool.on_load_report(now, "a", {5, 4});
    put("a", "200 10.0.0.1:80");
    BOOST_TEST((replaced == std::vector<std::string>{"a"}));
    BOOST_TEST(count("gateway_targets_restarted_total") == 1U);
    BOOST_TEST(pool.describe(now, "a").find("reported") == std::string::npos);
    BOOST_TEST(picked().contains("a"));
}

BOOST_AUTO_TEST_CASE(active_requests_at_a_restarted_target_stay_counted) {
    pool.on_sent("a");
    put("a", "200 10.0.0.1:80");
    BOOST_TEST(pool.describe(now, "a").find("own=1") != std::string::npos);
    pool.on_finished("a");
    BOOST_TEST(pool.describe(now, "a").find("own=0") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(late_entry_of_an_older_start_changes_nothing) {
    put("a", "200 10.0.0.3:80");
    put("a", "100 10.0.0.1:80");
    BOOST_TEST(pool.find("a")->address == "10.0.0.3:80");
    BOOST_TEST(count("gateway_target_entries_late_total") == 1U);
    BOOST_TEST(replaced.size() == 1U);
}

BOOST_AUTO_TEST_CASE(entry_of_the_same_start_is_the_same_incarnation) {
    put("a", "100 10.0.0.1:80");
    BOOST_TEST(replaced.empty());
    BOOST_TEST(count("gateway_targets_restarted_total") == 0U);
}

BOOST_AUTO_TEST_CASE(changed_address_replaces_the_connections) {
    put("a", "100 10.0.0.7:80");
    BOOST_TEST((replaced == std::vector<std::string>{"a"}));
    BOOST_TEST(pool.find("a")->address == "10.0.0.7:80");
}

BOOST_AUTO_TEST_SUITE_END()
