#include "roles/gateway/rollout_gates.hpp"

#include <boost/test/unit_test.hpp>

#include "roles/gateway/gateway_rollouts.hpp"
#include "roles/gateway/request_rollout.hpp"

namespace {

using namespace wrenswitch;

constexpr instant now{seconds(100)};

struct rollouts_fixture {
    metrics counters;
    rollout_gates rollouts{0.1, counters};

    static rollout_order order(std::uint64_t number, const std::string& version = "v2",
                               const std::string& service = "app") {
        return {service, version, seconds(8), number};
    }

    static rollout_record record(std::uint64_t number, rollout_state state,
                                 const std::string& version = "v2") {
        return {"app", number, version, state, {}, {}, "why"};
    }

    rollout_phase phase() { return rollouts.gate_of("app")->directive().phase; }

    void apply_directive(std::uint64_t number, rollout_phase phase,
                         const std::string& version = "v2") {
        rollout_directive directive;
        directive.service = "app";
        directive.order = number;
        directive.version = version;
        directive.phase = phase;
        directive.canary_fraction = 1.0;
        directive.remaining = seconds(5);
        rollouts.on_directive(now, directive);
    }
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(rollout_gates_test, rollouts_fixture)

BOOST_AUTO_TEST_CASE(service_without_an_order_has_no_gate) {
    BOOST_TEST((rollouts.gate_of("app") == nullptr));
    BOOST_TEST(rollouts.reports(now).empty());
    apply_directive(1, rollout_phase::canary);
    rollouts.on_withdrawal(now, "app");
    rollouts.on_record(now, record(1, rollout_state::completed));
    BOOST_TEST((rollouts.gate_of("app") == nullptr));
}

BOOST_AUTO_TEST_CASE(newer_order_starts_a_new_rollout) {
    BOOST_TEST(rollouts.on_order(now, order(5)));
    apply_directive(5, rollout_phase::rolled_back);
    BOOST_TEST(!rollouts.on_order(now, order(5)));
    BOOST_TEST(!rollouts.on_order(now, order(4, "v1")));
    BOOST_TEST((phase() == rollout_phase::rolled_back));
    BOOST_TEST(rollouts.on_order(now, order(9)));
    BOOST_TEST((phase() == rollout_phase::waiting));
    apply_directive(5, rollout_phase::completed);
    BOOST_TEST((phase() == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(order_after_uncompleted_one_excludes_its_version) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::canary);
    rollouts.on_order(now, order(6, "v3"));
    BOOST_TEST(!rollouts.gate_of("app")->constraint_for(now, {})->admits("v2"));
    BOOST_TEST(rollouts.gate_of("app")->constraint_for(now, {})->admits("v1"));
    // An order for the excluded version itself is evaluated from scratch.
    rollouts.on_order(now, order(7, "v2"));
    BOOST_TEST(rollouts.gate_of("app")->excluded().contains("v3"));
    BOOST_TEST(!rollouts.gate_of("app")->excluded().contains("v2"));
}

BOOST_AUTO_TEST_CASE(started_process_learns_excluded_versions_from_log) {
    rollouts.on_record(now, record(5, rollout_state::rolled_back));
    BOOST_TEST(rollouts.excluded_by(order(6, "v3")).contains("v2"));
    BOOST_TEST(rollouts.excluded_by(order(5)).empty());
    rollouts.on_record(now, record(7, rollout_state::completed, "v3"));
    BOOST_TEST(rollouts.excluded_by(order(8, "v4")).empty());
}

BOOST_AUTO_TEST_CASE(orders_of_several_services_are_independent) {
    rollouts.on_order(now, order(5));
    rollouts.on_order(now, order(6, "v7", "llm"));
    BOOST_TEST(rollouts.orders().size() == 2U);
    apply_directive(5, rollout_phase::canary);
    BOOST_TEST((rollouts.gate_of("llm")->directive().phase == rollout_phase::waiting));
    BOOST_TEST(rollouts.reports(now).size() == 2U);
    apply_directive(5, rollout_phase::completed);
    BOOST_TEST(rollouts.reports(now).size() == 1U);
}

BOOST_AUTO_TEST_CASE(final_record_ends_rollout_and_running_one_is_ignored) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::canary);
    rollouts.on_record(now, record(5, rollout_state::running));
    BOOST_TEST((phase() == rollout_phase::canary));
    rollouts.on_record(now, record(4, rollout_state::completed));
    rollouts.on_record(now, record(5, rollout_state::completed, "v3"));
    BOOST_TEST((phase() == rollout_phase::canary));
    rollouts.on_record(now, record(5, rollout_state::rolled_back));
    BOOST_TEST((phase() == rollout_phase::rolled_back));
}

BOOST_AUTO_TEST_CASE(record_before_its_order_is_applied_with_it) {
    rollouts.on_record(now, record(5, rollout_state::completed));
    rollouts.on_order(now, order(5));
    BOOST_TEST((phase() == rollout_phase::completed));
}

BOOST_AUTO_TEST_CASE(withdrawn_order_is_rolled_back_at_once) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::moving);
    rollouts.on_withdrawal(now, "app");
    BOOST_TEST((phase() == rollout_phase::rolled_back));
    rollouts.on_order(now, order(8));
    BOOST_TEST((phase() == rollout_phase::waiting));
}

BOOST_AUTO_TEST_CASE(request_is_counted_for_the_order_it_began_under) {
    rollouts.on_order(now, order(5));
    gateway_route route;
    route.name = "once";
    request_rollout rollout(rollouts);
    rollout.set_request("app", route, 3);
    BOOST_TEST((rollout.choose_versions(now, 1)->rule == version_rule::other_than));
    gateway_target target;
    target.id = "o1";
    target.version = "v1";
    BOOST_TEST(rollout.begin_attempt(now, target));
    rollouts.on_order(now, order(9));
    rollout.record_target_reached();
    rollout.end_attempt(rollout_gate::outcome::succeeded);
    BOOST_TEST(rollouts.gate_of("app")->report(now).reached == 0U);
    BOOST_TEST(rollouts.gate_of("app")->evidence().counts.empty());
}

BOOST_AUTO_TEST_CASE(request_begun_before_order_delays_move_and_adds_no_budget) {
    gateway_route route;
    request_rollout rollout(rollouts);
    rollout.set_request("app", route, 3);
    gateway_target target;
    target.version = "v1";
    BOOST_TEST((rollout.choose_versions(now, 1)->rule == version_rule::any));
    BOOST_TEST(rollout.begin_attempt(now, target));
    rollouts.on_order(now, order(5));
    rollout.adopt_order(&target);
    rollout.adopt_order(&target);
    apply_directive(5, rollout_phase::moving);
    const instant late = now + seconds(5);
    BOOST_TEST(!rollouts.gate_of("app")->report(late).moved);
    rollout.record_target_reached();
    rollout.end_attempt(rollout_gate::outcome::succeeded);
    BOOST_TEST(rollouts.gate_of("app")->report(late).moved);
    BOOST_TEST(rollouts.gate_of("app")->report(late).reached == 0U);
}

BOOST_AUTO_TEST_CASE(version_found_bad_here_is_reported_once) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::canary);
    rollout_gate& gate = *rollouts.gate_of("app");
    const rollout_request request{"once", 1, false, false, false, false};
    for (int round = 0; round < 400; ++round) {
        // Without responses of the old version there is no baseline to find the new one bad.
        BOOST_TEST(gate.begin_attempt(now, request, "v1", "o1"));
        gate.note_reached();
        gate.end_attempt(request, "v1", "o1", rollout_gate::outcome::succeeded, std::nullopt,
                         std::nullopt);
    }
    for (int round = 0; round < 25; ++round) {
        BOOST_TEST(gate.begin_attempt(now, request, "v2", "n1"));
        gate.end_attempt(request, "v2", "n1", rollout_gate::outcome::failed, std::nullopt,
                         std::nullopt);
        rollouts.update_metrics(now);
    }
    rollouts.update_metrics(now);
    BOOST_TEST(counters.counter("rollout_versions_found_bad_total") == 1U);
    BOOST_TEST(rollouts.reports(now).front().report.found_bad);
}

BOOST_AUTO_TEST_CASE(version_without_targets_falls_back_to_others_once) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::completed);
    request_rollout rollout(rollouts);
    rollout.set_request("app", {}, 3);
    BOOST_TEST((rollout.choose_versions(now, 1)->rule == version_rule::only));
    BOOST_TEST((rollout.choose_fallback_versions(false)->rule == version_rule::other_than));
    BOOST_TEST(!rollout.choose_fallback_versions(false).has_value());
}

BOOST_AUTO_TEST_CASE(unreadable_order_changes_nothing) {
    gateway_dialect dialect;
    gateway_rollouts without_orders(dialect, 0.1, counters, {});
    BOOST_TEST(!without_orders.on_configuration_record(now, {"order/app", "v2", 5}));
    dialect.rollout_service = [](std::string_view key) -> std::optional<std::string> {
        return key.starts_with("order/") ? std::optional(std::string(key.substr(6))) : std::nullopt;
    };
    dialect.read_order = [](std::string_view service, std::string_view value,
                            std::uint64_t number) -> result<rollout_order> {
        if (value.empty()) {
            return failed(error_code::bad_input, "no version");
        }
        return rollout_order{std::string(service), std::string(value), {}, number};
    };
    std::vector<std::string> ordered_services;
    gateway_rollouts orders(
        dialect, 0.1, counters,
        {[](const rollout_order&, const version_set&) { return false; },
         [&ordered_services](const std::string& service) { ordered_services.push_back(service); },
         [](const rollout_order&) { return rollout_target_counts{}; }, [](bool) {}});
    BOOST_TEST(!orders.on_configuration_record(now, {"config", "v2", 4}));
    BOOST_TEST(orders.on_configuration_record(now, {"order/app", "v2", 5}));
    BOOST_TEST(orders.on_configuration_record(now, {"order/app", "", 6}));
    BOOST_TEST(orders.gates().gate_of("app")->order().number == 5U);
    BOOST_TEST(counters.counter("rollout_orders_unreadable_total") == 1U);
    BOOST_TEST(orders.on_configuration_record(now, {"order/app", std::nullopt, 7}));
    BOOST_TEST((orders.gates().gate_of("app")->directive().phase == rollout_phase::rolled_back));
    BOOST_TEST(ordered_services.size() == 1U);
}

BOOST_AUTO_TEST_CASE(suspected_request_is_not_sent_to_unproven_version) {
    rollouts.on_order(now, order(5));
    apply_directive(5, rollout_phase::canary);
    gateway_route route;
    route.name = "r";
    route.kind = request_kind::repeatable;
    route.max_attempts = 2;
    std::size_t tried = 0;
    std::size_t tried_suspected = 0;
    for (std::uint64_t session = 0; session < 500; ++session) {
        for (const bool suspected : {false, true}) {
            request_rollout rollout(rollouts);
            rollout.set_request("app", route, session);
            const auto constraint = rollout.choose_versions(now, 1, suspected);
            BOOST_REQUIRE(constraint.has_value());
            const bool at_new = constraint->rule == version_rule::only;
            (suspected ? tried_suspected : tried) += at_new ? 1 : 0;
            gateway_target target;
            target.id = at_new ? "new" : "old";
            target.version = at_new ? "v2" : "v1";
            BOOST_REQUIRE(rollout.begin_attempt(now, target));
            rollout.record_target_reached();
            rollout.end_attempt(rollout_gate::outcome::succeeded);
        }
    }
    BOOST_TEST(tried > 0U);
    BOOST_TEST(tried_suspected == 0U);
}

BOOST_AUTO_TEST_SUITE_END()
