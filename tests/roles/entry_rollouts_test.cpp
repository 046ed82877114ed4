#include "roles/gateway/entry_rollouts.hpp"

#include <boost/test/unit_test.hpp>

#include "roles/gateway/gateway_rollouts.hpp"
#include "roles/gateway/request_rollout.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(100)};

struct rollouts_fixture {
    metrics counters;
    entry_rollouts rollouts{0.1, counters};

    static rollout_order order(std::uint64_t number, const std::string& version = "v2",
                               const std::string& service = "app") {
        return {service, version, seconds(8), number};
    }

    static rollout_record record(std::uint64_t number, rollout_state state,
                                 const std::string& version = "v2") {
        return {"app", number, version, state, {}, {}, "why"};
    }

    rollout_phase phase() { return rollouts.gate_of("app")->directive().phase; }

    void tell(std::uint64_t number, rollout_phase phase, const std::string& version = "v2") {
        rollout_directive stand;
        stand.service = "app";
        stand.order = number;
        stand.version = version;
        stand.phase = phase;
        stand.canary_fraction = 1.0;
        stand.remaining = seconds(5);
        rollouts.told(now, stand);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(entry_rollouts_test, rollouts_fixture)

BOOST_AUTO_TEST_CASE(service_without_an_order_has_no_gate) {
    BOOST_TEST((rollouts.gate_of("app") == nullptr));
    BOOST_TEST(rollouts.reports(now).empty());
    tell(1, rollout_phase::canary);
    rollouts.withdrawn(now, "app");
    rollouts.recorded(now, record(1, rollout_state::completed));
    BOOST_TEST((rollouts.gate_of("app") == nullptr));
}

BOOST_AUTO_TEST_CASE(newest_order_counts_and_begins_anew) {
    BOOST_TEST(rollouts.ordered(now, order(5)));
    tell(5, rollout_phase::rolled_back);
    BOOST_TEST(!rollouts.ordered(now, order(5)));
    BOOST_TEST(!rollouts.ordered(now, order(4, "v1")));
    BOOST_TEST((phase() == rollout_phase::rolled_back));
    BOOST_TEST(rollouts.ordered(now, order(9)));
    BOOST_TEST((phase() == rollout_phase::waiting));
    tell(5, rollout_phase::completed);
    BOOST_TEST((phase() == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(order_after_one_that_was_not_completed_leaves_that_versions_targets_out) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::canary);
    rollouts.ordered(now, order(6, "v3"));
    BOOST_TEST(!rollouts.gate_of("app")->constraint_for(now, {})->admits("v2"));
    BOOST_TEST(rollouts.gate_of("app")->constraint_for(now, {})->admits("v1"));
    // The same version again is judged anew.
    rollouts.ordered(now, order(7, "v2"));
    BOOST_TEST(rollouts.gate_of("app")->excluded().contains("v3"));
    BOOST_TEST(!rollouts.gate_of("app")->excluded().contains("v2"));
}

BOOST_AUTO_TEST_CASE(process_that_starts_learns_from_the_log_what_was_not_completed) {
    rollouts.recorded(now, record(5, rollout_state::rolled_back));
    BOOST_TEST(rollouts.excluded_by(order(6, "v3")).contains("v2"));
    BOOST_TEST(rollouts.excluded_by(order(5)).empty());
    rollouts.recorded(now, record(7, rollout_state::completed, "v3"));
    BOOST_TEST(rollouts.excluded_by(order(8, "v4")).empty());
}

BOOST_AUTO_TEST_CASE(orders_of_several_services_stand_side_by_side) {
    rollouts.ordered(now, order(5));
    rollouts.ordered(now, order(6, "v7", "llm"));
    BOOST_TEST(rollouts.orders().size() == 2U);
    tell(5, rollout_phase::canary);
    BOOST_TEST((rollouts.gate_of("llm")->directive().phase == rollout_phase::waiting));
    BOOST_TEST(rollouts.reports(now).size() == 2U);
    tell(5, rollout_phase::completed);
    BOOST_TEST(rollouts.reports(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(final_record_ends_a_roll_out_and_a_running_one_says_nothing) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::canary);
    rollouts.recorded(now, record(5, rollout_state::running));
    BOOST_TEST((phase() == rollout_phase::canary));
    rollouts.recorded(now, record(4, rollout_state::completed));
    rollouts.recorded(now, record(5, rollout_state::completed, "v3"));
    BOOST_TEST((phase() == rollout_phase::canary));
    rollouts.recorded(now, record(5, rollout_state::rolled_back));
    BOOST_TEST((phase() == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(record_that_came_before_its_order_is_taken_with_it) {
    rollouts.recorded(now, record(5, rollout_state::completed));
    rollouts.ordered(now, order(5));
    BOOST_TEST((phase() == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(withdrawn_order_is_rolled_back_here_at_once) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::moving);
    rollouts.withdrawn(now, "app");
    BOOST_TEST((phase() == rollout_phase::rolled_back));
    rollouts.ordered(now, order(8));
    BOOST_TEST((phase() == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(request_is_counted_by_the_order_that_it_began_under) {
    rollouts.ordered(now, order(5));
    gateway_route route;
    route.name = "once";
    request_rollout run(rollouts);
    run.set_request("app", route, 3);
    BOOST_TEST((run.choose_versions(now, 1)->rule == version_rule::other_than));
    gateway_target target;
    target.id = "o1";
    target.version = "v1";
    BOOST_TEST(run.begin_attempt(now, target));
    rollouts.ordered(now, order(9));
    run.record_target_reached();
    run.end_attempt(rollout_gate::outcome::succeeded);
    BOOST_TEST(rollouts.gate_of("app")->report(now).reached == 0U);
    BOOST_TEST(rollouts.gate_of("app")->evidence().counts.empty());
}

BOOST_AUTO_TEST_CASE(request_from_before_the_order_holds_up_the_move_and_gives_no_budget) {
    gateway_route route;
    request_rollout run(rollouts);
    run.set_request("app", route, 3);
    gateway_target target;
    target.version = "v1";
    BOOST_TEST((run.choose_versions(now, 1)->rule == version_rule::any));
    BOOST_TEST(run.begin_attempt(now, target));
    rollouts.ordered(now, order(5));
    run.adopt_order(&target);
    run.adopt_order(&target);
    tell(5, rollout_phase::moving);
    const instant late = now + seconds(5);
    BOOST_TEST(!rollouts.gate_of("app")->report(late).moved);
    run.record_target_reached();
    run.end_attempt(rollout_gate::outcome::succeeded);
    BOOST_TEST(rollouts.gate_of("app")->report(late).moved);
    BOOST_TEST(rollouts.gate_of("app")->report(late).reached == 0U);
}

BOOST_AUTO_TEST_CASE(version_that_is_found_bad_here_is_told_once) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::canary);
    rollout_gate& gate = *rollouts.gate_of("app");
    const rollout_request request{"once", 1, false, false, false, false};
    for (int turn = 0; turn < 400; ++turn) {
        // Nothing is bad or usual without what the old version answers.
        BOOST_TEST(gate.begin_attempt(now, request, "v1", "o1"));
        gate.note_reached();
        gate.end_attempt(request, "v1", "o1", rollout_gate::outcome::succeeded, std::nullopt,
                         std::nullopt);
    }
    for (int turn = 0; turn < 25; ++turn) {
        BOOST_TEST(gate.begin_attempt(now, request, "v2", "n1"));
        gate.end_attempt(request, "v2", "n1", rollout_gate::outcome::failed, std::nullopt,
                         std::nullopt);
        rollouts.observe(now);
    }
    rollouts.observe(now);
    BOOST_TEST(counters.counter("rollout_versions_found_bad_total") == 1U);
    BOOST_TEST(rollouts.reports(now).front().report.found_bad);
}

BOOST_AUTO_TEST_CASE(version_without_targets_is_looked_for_elsewhere_once) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::completed);
    request_rollout run(rollouts);
    run.set_request("app", {}, 3);
    BOOST_TEST((run.choose_versions(now, 1)->rule == version_rule::only));
    BOOST_TEST((run.choose_fallback_versions(false)->rule == version_rule::other_than));
    BOOST_TEST(!run.choose_fallback_versions(false).has_value());
}

BOOST_AUTO_TEST_CASE(unreadable_order_changes_nothing) {
    gateway_dialect dialect;
    gateway_rollouts part(dialect, 0.1, counters, {});
    BOOST_TEST(!part.configuration_changed(now, {"order/app", "v2", 5}));
    dialect.ordered_service = [](std::string_view key) -> std::optional<std::string> {
        return key.starts_with("order/") ? std::optional(std::string(key.substr(6))) : std::nullopt;
    };
    dialect.read_order = [](std::string_view service, std::string_view value,
                            std::uint64_t number) -> result<rollout_order> {
        if (value.empty()) {
            return failed(error_code::bad_input, "no version");
        }
        return rollout_order{std::string(service), std::string(value), {}, number};
    };
    std::vector<std::string> told;
    gateway_rollouts orders(
        dialect, 0.1, counters,
        {[](const rollout_order&, const version_set&) { return false; },
         [&told](const std::string& service) { told.push_back(service); },
         [](const rollout_order&) { return rollout_target_numbers{}; }, [](bool) {}});
    BOOST_TEST(!orders.configuration_changed(now, {"config", "v2", 4}));
    BOOST_TEST(orders.configuration_changed(now, {"order/app", "v2", 5}));
    BOOST_TEST(orders.configuration_changed(now, {"order/app", "", 6}));
    BOOST_TEST(orders.entry().gate_of("app")->order().number == 5U);
    BOOST_TEST(counters.counter("rollout_orders_unreadable_total") == 1U);
    BOOST_TEST(orders.configuration_changed(now, {"order/app", std::nullopt, 7}));
    BOOST_TEST((orders.entry().gate_of("app")->directive().phase == rollout_phase::rolled_back));
    BOOST_TEST(told.size() == 1U);
}

BOOST_AUTO_TEST_CASE(request_that_may_have_ended_targets_is_not_tried_at_an_unproved_version) {
    rollouts.ordered(now, order(5));
    tell(5, rollout_phase::canary);
    gateway_route route;
    route.name = "r";
    route.kind = request_kind::repeatable;
    route.max_attempts = 2;
    std::size_t tried = 0;
    std::size_t tried_suspected = 0;
    for (std::uint64_t session = 0; session < 500; ++session) {
        for (const bool suspected : {false, true}) {
            request_rollout part(rollouts);
            part.set_request("app", route, session);
            const auto limit = part.choose_versions(now, 1, suspected);
            BOOST_REQUIRE(limit.has_value());
            const bool at_new = limit->rule == version_rule::only;
            (suspected ? tried_suspected : tried) += at_new ? 1 : 0;
            gateway_target target;
            target.id = at_new ? "new" : "old";
            target.version = at_new ? "v2" : "v1";
            BOOST_REQUIRE(part.begin_attempt(now, target));
            part.record_target_reached();
            part.end_attempt(rollout_gate::outcome::succeeded);
        }
    }
    BOOST_TEST(tried > 0U);
    BOOST_TEST(tried_suspected == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
