#include "roles/gateway/service_retry_budgets.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How often the retries of a service are logged, if there were any: a few lines per window of the
/// retry budget.
constexpr microseconds log_period = seconds(2);

}  // namespace

service_retry_budgets::service_state& service_retry_budgets::state_of(const std::string& service) {
    const auto known = services_.find(service);
    if (known != services_.end()) {
        return known->second;
    }
    const metric_label label{"service", service};
    const auto counter = [this, &label](std::string_view name) -> std::uint64_t& {
        return counters_.counter(labelled(name, {label}));
    };
    const auto gauge = [this, &label](std::string_view name) -> double& {
        return counters_.gauge(labelled(name, {label}));
    };
    return services_
        .emplace(service,
                 service_state{
                     retry_budget(share_, window_), counter("gateway_first_tries_total"),
                     counter("gateway_retries_total"), counter("gateway_retries_denied_total"),
                     counter("gateway_retries_unasked_total"), gauge("gateway_retries_allowed"),
                     gauge("gateway_first_tries_in_window"), gauge("gateway_retries_in_window")})
        .first->second;
}

void service_retry_budgets::record_first_try(instant now, const std::string& service) {
    service_state& state = state_of(service);
    state.first_tries += 1;
    state.budget.record_first_try(now);
}

bool service_retry_budgets::try_acquire_retry(instant now, const std::string& service) {
    service_state& state = state_of(service);
    const bool allowed = state.budget.try_acquire_retry(now);
    (allowed ? state.taken : state.denied) += 1;
    return allowed;
}

void service_retry_budgets::record_unbudgeted_retry(const std::string& service) {
    state_of(service).unbudgeted += 1;
}

double service_retry_budgets::available_retries(instant now, const std::string& service) {
    return state_of(service).budget.available_retries(now);
}

void service_retry_budgets::tick(instant now) {
    const bool due = now - last_logged_ >= log_period;
    for (auto& [service, state] : services_) {
        state.allowed = state.budget.available_retries(now);
        state.first_tries_in_window = state.budget.first_tries_in_window(now);
        state.taken_in_window = state.budget.retries_in_window(now);
        if (due) {
            log_counts(state, service);
        }
    }
    if (due) {
        last_logged_ = now;
    }
}

void service_retry_budgets::log_counts(service_state& state, const std::string& service) {
    const std::uint64_t counted = state.taken + state.denied + state.unbudgeted;
    if (std::exchange(state.logged_total, counted) == counted) {
        return;
    }
    log_event(log_level::information, "retries_counted",
              {{"service", service},
               {"first_tries", std::to_string(state.first_tries)},
               {"taken", std::to_string(state.taken)},
               {"denied", std::to_string(state.denied)},
               {"unasked", std::to_string(state.unbudgeted)},
               {"allowed", std::to_string(state.allowed)},
               {"first_tries_in_window", std::to_string(state.first_tries_in_window)},
               {"taken_in_window", std::to_string(state.taken_in_window)}});
}

}  // namespace wrenswitch
