#include "roles/gateway/service_retries.hpp"

#include <utility>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

/// How often a service whose targets get retries is told of: a few lines a window over which
/// retries are bounded.
constexpr microseconds told_every = seconds(2);

}  // namespace

service_retries::service_account& service_retries::account_of(const std::string& service) {
    const auto known = accounts_.find(service);
    if (known != accounts_.end()) {
        return known->second;
    }
    const metric_label label{"service", service};
    const auto counter = [this, &label](std::string_view name) -> std::uint64_t& {
        return counters_.counter(labelled(name, {label}));
    };
    const auto gauge = [this, &label](std::string_view name) -> double& {
        return counters_.gauge(labelled(name, {label}));
    };
    return accounts_
        .emplace(service,
                 service_account{
                     retry_budget(share_, window_), counter("gateway_first_tries_total"),
                     counter("gateway_retries_total"), counter("gateway_retries_denied_total"),
                     counter("gateway_retries_unasked_total"), gauge("gateway_retries_allowed"),
                     gauge("gateway_first_tries_in_window"), gauge("gateway_retries_in_window")})
        .first->second;
}

void service_retries::first_try(instant now, const std::string& service) {
    service_account& account = account_of(service);
    account.first_tries += 1;
    account.budget.record_first_try(now);
}

bool service_retries::take(instant now, const std::string& service) {
    service_account& account = account_of(service);
    const bool allowed = account.budget.try_acquire_retry(now);
    (allowed ? account.taken : account.denied) += 1;
    return allowed;
}

void service_retries::followed_unsent(const std::string& service) {
    account_of(service).unasked += 1;
}

double service_retries::allowed(instant now, const std::string& service) {
    return account_of(service).budget.available_retries(now);
}

void service_retries::tick(instant now) {
    const bool due = now - told_at_ >= told_every;
    for (auto& [service, account] : accounts_) {
        account.allowed = account.budget.available_retries(now);
        account.first_tries_in_window = account.budget.first_tries_in_window(now);
        account.taken_in_window = account.budget.retries_in_window(now);
        if (due) {
            tell(account, service);
        }
    }
    if (due) {
        told_at_ = now;
    }
}

void service_retries::tell(service_account& account, const std::string& service) {
    const std::uint64_t counted = account.taken + account.denied + account.unasked;
    if (std::exchange(account.told, counted) == counted) {
        return;
    }
    log_event(log_level::information, "retries_counted",
              {{"service", service},
               {"first_tries", std::to_string(account.first_tries)},
               {"taken", std::to_string(account.taken)},
               {"denied", std::to_string(account.denied)},
               {"unasked", std::to_string(account.unasked)},
               {"allowed", std::to_string(account.allowed)},
               {"first_tries_in_window", std::to_string(account.first_tries_in_window)},
               {"taken_in_window", std::to_string(account.taken_in_window)}});
}

}  // namespace wrenswitch
