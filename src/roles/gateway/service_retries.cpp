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
    return accounts_
        .emplace(
            service,
            service_account{retry_budget(share_, most_(service).value_or(0.0)),
                            counter("gateway_first_tries_total"), counter("gateway_retries_total"),
                            counter("gateway_retries_denied_total"),
                            counter("gateway_retries_unasked_total"),
                            counters_.gauge(labelled("gateway_retries_held", {label})),
                            counters_.gauge(labelled("gateway_retries_most", {label}))})
        .first->second;
}

void service_retries::first_try(const std::string& service) {
    service_account& account = account_of(service);
    account.first_tries += 1;
    account.budget.first_try();
}

bool service_retries::take(const std::string& service) {
    service_account& account = account_of(service);
    const bool allowed = account.budget.take_retry();
    (allowed ? account.taken : account.denied) += 1;
    return allowed;
}

void service_retries::followed_unsent(const std::string& service) {
    account_of(service).unasked += 1;
}

double service_retries::held(const std::string& service) {
    return account_of(service).budget.saved();
}

void service_retries::tick(instant now) {
    const bool due = now - told_at_ >= told_every;
    for (auto& [service, account] : accounts_) {
        if (const std::optional<double> most = most_(service)) {
            account.budget.set_most(*most);
        }
        account.held = account.budget.saved();
        account.most = account.budget.most();
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
               {"held", std::to_string(account.held)},
               {"most", std::to_string(account.most)}});
}

}  // namespace wrenswitch
