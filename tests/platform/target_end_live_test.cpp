#include "platform/crash_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct started_crash_fleet : crash_fleet {
    started_crash_fleet() { start_all(); }

    /// What all entries have written.
    std::string output() const {
        std::string all;
        for (const entry& each : entries) {
            all += each.process->output();
        }
        return all;
    }

    static std::size_t count(const std::string& text, const std::string& part) {
        std::size_t found = 0;
        for (std::size_t at = text.find(part); at != std::string::npos;
             at = text.find(part, at + 1)) {
            found += 1;
        }
        return found;
    }

    std::size_t ends_told() const { return count(output(), "event=target_ended "); }
};

BOOST_FIXTURE_TEST_SUITE(target_end_live, started_crash_fleet)

BOOST_AUTO_TEST_CASE(targets_that_end_under_one_request_are_told_with_its_fingerprint) {
    ask_crashing(2, "/once/x");
    BOOST_TEST(run_until([this] { return ends_told() == 2U; }));
    const std::string told = output();
    const std::string name = "fingerprints=";
    const std::size_t at = told.find(name);
    BOOST_REQUIRE(at != std::string::npos);
    BOOST_TEST(count(told, told.substr(at, name.size() + 32)) == 2U);
    BOOST_TEST(count(told, "seen_by=refused") == 2U);
}

BOOST_AUTO_TEST_CASE(runs_that_break_at_a_target_which_goes_on_tell_no_end) {
    for (const auto& target : targets) {
        target->answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    }
    for (const entry& each : entries) {
        ask(each, "/once/x", "cut");
    }
    run_for(milliseconds(600));
    BOOST_TEST(ends_told() == 0U);
}

BOOST_AUTO_TEST_CASE(target_that_leaves_as_planned_and_breaks_a_run_off_tells_no_end) {
    for (const auto& target : targets) {
        store.put("keyed.servers", target->id(), target->list_entry("app", "draining"));
    }
    // Its last run goes on while the list has it as leaving.
    targets.front()->answer = [](const ingress_exchange_pointer&) {};
    store.put("keyed.servers", targets.front()->id(), targets.front()->list_entry("app"));
    run_for(milliseconds(400));
    raw_socket caller = send(entries.front(), "/once/x", "last");
    BOOST_REQUIRE(run_until([this] { return !targets.front()->seen.empty(); }));
    store.put("keyed.servers", targets.front()->id(),
              targets.front()->list_entry("app", "draining"));
    run_for(milliseconds(400));
    targets.front()->crash();
    BOOST_TEST(run_until([&] { return caller.ended(); }));
    run_for(milliseconds(600));
    BOOST_TEST(ends_told() == 0U);
}

BOOST_AUTO_TEST_CASE(target_that_ends_right_after_a_run_broke_for_another_reason_is_told) {
    worker_standin& target = *targets.front();
    for (const auto& other : targets) {
        if (other->id() != target.id()) {
            store.put("keyed.servers", other->id(), std::nullopt);
        }
    }
    run_for(milliseconds(400));
    target.answer = [](const ingress_exchange_pointer& exchange) { exchange->cut(); };
    ask(entries.front(), "/once/x", "cut");
    run_for(milliseconds(50));
    target.answer = [this, &target](const ingress_exchange_pointer&) {
        loop.call_after(milliseconds(10), [&target] { target.crash(); });
    };
    ask(entries.front(), "/once/x", "ends");
    BOOST_TEST(run_until([this] { return ends_told() == 1U; }, seconds(2)));
}

BOOST_AUTO_TEST_CASE(target_that_is_back_at_once_is_told_by_its_new_start) {
    worker_standin& target = *targets.front();
    for (const auto& other : targets) {
        if (other->id() != target.id()) {
            store.put("keyed.servers", other->id(), std::nullopt);
        }
    }
    run_for(milliseconds(400));
    target.answer = [this, &target](const ingress_exchange_pointer&) {
        loop.call_after(milliseconds(10), [&target] {
            target.crash();
            target.start_again();
        });
    };
    ask(entries.front(), "/once/x", "ends");
    list(target);
    BOOST_TEST(run_until([this] { return ends_told() == 1U; }));
    BOOST_TEST(count(output(), "seen_by=restarted") == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
