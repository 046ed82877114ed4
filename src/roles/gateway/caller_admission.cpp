#include "roles/gateway/caller_admission.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "wrenswitch/core/bounded_number.hpp"
#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds evaluation_period = milliseconds(250);

/// More accounts than are reported, so that those that matter to a neighbour are among them.
constexpr std::size_t considered_accounts = 16;

/// How long after a step back the connections of the account are closed. The platform checks every
/// second and needs two failed checks to send new connections elsewhere.
constexpr microseconds close_delay = seconds(2);

constexpr microseconds traffic_time_constant = seconds(1);

std::string_view event_name(step_back_change::kind what) {
    switch (what) {
        case step_back_change::kind::announced:
            return "step_back_announced";
        case step_back_change::kind::withdrawn:
            return "step_back_withdrawn";
        case step_back_change::kind::stepped_back:
            return "stepped_back";
        case step_back_change::kind::returned:
            return "callers_taken_again";
    }
    return "stepped_back";
}

}  // namespace

caller_admission::caller_admission(event_loop& loop, const link_congestion_settings& link,
                                   std::string own_host, rate_limited_log& events,
                                   metrics& counters, hooks callbacks)
    : loop_(loop),
      bandwidth_(link.bytes_per_second),
      events_(events),
      counters_(counters),
      hooks_(std::move(callbacks)),
      link_(link),
      policy_(std::move(own_host)) {}

void caller_admission::open_exchange(message_bus& bus, const token_allocator_selector& members,
                                     const std::string& failure_domain, incarnation_id process) {
    if (bandwidth_ <= 0.0) {
        return;
    }
    exchange_ = std::make_unique<neighbour_exchange>(
        bus, members, failure_domain, process, events_, counters_,
        neighbour_exchange::hooks{[this](instant) { return make_report(); },
                                  [this] { next_evaluation_ = instant{}; }});
}

void caller_admission::record_request(instant now, std::string_view account) {
    if (exchange_ && !account.empty()) {
        activity_.record(now, account);
    }
}

bool caller_admission::on_message(const message_origin& origin, const wire::Envelope& message) {
    return exchange_ && exchange_->on_message(origin, message);
}

bool caller_admission::accepts_callers() const {
    return !link_.is_shedding() && policy_.state() != entry_state::stepped_back &&
           (!exchange_ || exchange_->is_settled());
}

void caller_admission::set_server(ingress_server& server) {
    server_ = &server;
    server.on_account_closed([this](std::string_view account) {
        counters_.counter(labelled("gateway_account_closed_total",
                                   {{"account", closed_labels_.label_of(account)}})) += 1;
    });
}

/// The evaluation comes first, so that shedding begins by what is known of the neighbours now:
/// after a freeze the last decision is out of date.
void caller_admission::update(instant now) {
    const bool has_neighbours = exchange_ && server_ != nullptr;
    if (has_neighbours) {
        sample_traffic(now);
        if (is_evaluation_due(now)) {
            evaluate(now);
        }
    }
    sample_link(now);
    if (!has_neighbours) {
        return;
    }
    update_closed_accounts(now);
    exchange_->tick(now);
}

/// Sheds callers while the link is saturated: they open new connections, which the platform's load
/// balancer directs to other gateways once this one isn't ready. Traffic of other gateways and
/// relays isn't counted, since shedding callers doesn't reduce it: when all gateways read a log
/// again through relays, 25 of 31 shed their callers at once.
void caller_admission::sample_link(instant now) {
    const traffic_counts& traffic = loop_.traffic();
    const bool shed_before = link_.is_shedding();
    const bool withheld_before = link_.is_shedding_withheld();
    const bool full_before = link_.is_full();
    link_.observe(now, traffic.received, traffic.sent);
    if (link_.is_full() != full_before) {
        log_event(log_level::warning, link_.is_full() ? "link_full" : "link_has_room",
                  {{"received_share", std::to_string(link_.received_share())},
                   {"send_queue_ms", millis_text(link_.send_queue_delay())},
                   {"connections", std::to_string(server_->connections())}});
    }
    if (link_.is_shedding_withheld() && !withheld_before) {
        record_withheld(now);
    }
    if (link_.is_shedding() == shed_before) {
        return;
    }
    if (link_.is_shedding()) {
        begin_shedding(now);
    } else {
        end_shedding();
    }
    // The neighbours count this entry as out, or as accepting again, from its next report on.
    if (exchange_) {
        exchange_->request_state_report();
    }
}

/// The account whose connections shedding closes; empty if it is all. An account that alone does
/// not fit the link is the cause, so that only its connections are closed; those of the other
/// accounts stay.
std::string caller_admission::account_to_shed(instant now) const {
    const std::vector<account_demand> busiest = hooks_.top_accounts(now, 1);
    return policy_.has_large_account() && !busiest.empty() ? busiest.front().account
                                                           : std::string();
}

void caller_admission::record_withheld(instant now) {
    counters_.counter("gateway_shedding_withheld_total") += 1;
    events_.log_routine("shedding_withheld",
                        {{"received_share", std::to_string(link_.received_share())},
                         {"accepting", std::to_string(shedding_budget_.last_decision().accepting)},
                         {"members", std::to_string(shedding_budget_.last_decision().members)},
                         {"account", account_to_shed(now)}});
}

void caller_admission::begin_shedding(instant now) {
    shed_account_ = account_to_shed(now);
    if (shed_account_.empty()) {
        server_->shed(true);
    } else {
        server_->close_account(shed_account_, true);
    }
    log_shedding("callers_sent_away", shed_account_);
}

void caller_admission::end_shedding() {
    server_->shed(false);
    const std::string account = std::exchange(shed_account_, {});
    const bool stays_closed = std::find(closed_accounts_.begin(), closed_accounts_.end(),
                                        account) != closed_accounts_.end();
    if (!account.empty() && !stays_closed) {
        server_->close_account(account, false);
    }
    log_shedding("callers_taken_again", account);
}

void caller_admission::log_shedding(std::string_view event, const std::string& account) const {
    log_event(log_level::warning, event,
              {{"received_share", std::to_string(link_.received_share())},
               {"send_queue_ms", millis_text(link_.send_queue_delay())},
               {"account", account}});
}

void caller_admission::sample_traffic(instant now) {
    const traffic_counts& traffic = loop_.traffic();
    const double elapsed = as_seconds(now - last_sample_);
    if (last_sample_ != instant{} && elapsed > 0.0) {
        const double weight = 1.0 - std::exp(-elapsed / as_seconds(traffic_time_constant));
        const auto update = [&](double& rate, std::uint64_t before, std::uint64_t after) {
            rate += weight * (static_cast<double>(after - before) / elapsed - rate);
        };
        update(received_per_second_, last_traffic_.received, traffic.received);
        update(sent_per_second_, last_traffic_.sent, traffic.sent);
    }
    last_sample_ = now;
    last_traffic_ = traffic;
}

bool caller_admission::is_evaluation_due(instant now) const {
    const auto is_due = [now](std::optional<instant> time) { return time && now >= *time; };
    return now >= next_evaluation_ || is_due(policy_.due()) || is_due(shedding_budget_.due());
}

void caller_admission::evaluate(instant now) {
    next_evaluation_ = now + evaluation_period;
    local_load load;
    load.bandwidth = bandwidth_;
    load.is_open = hooks_.is_open() && !link_.is_shedding() && exchange_->is_settled();
    for (account_demand& each : hooks_.top_accounts(now, considered_accounts)) {
        if (!each.account.empty()) {
            const account_presence presence = activity_.presence_of(now, each.account);
            load.accounts.push_back({std::move(each), presence});
        }
    }
    const std::vector<std::string> members = exchange_->hosts();
    const std::optional<step_back_change> change =
        policy_.evaluate(now, load, exchange_->table(), members);
    shedding_budget_.evaluate(now,
                              policy_.conditions_for_shedding(now, exchange_->table(), members),
                              link_.is_shedding_withheld());
    link_.allow_shedding(shedding_budget_.allows_shedding());
    counters_.gauge("gateway_neighbours") = static_cast<double>(policy_.fresh_neighbours());
    if (change) {
        apply(*change);
        exchange_->request_state_report();
    }
    exchange_->check_demand(now);
}

void caller_admission::apply(const step_back_change& change) {
    if (change.what == step_back_change::kind::stepped_back) {
        counters_.counter("gateway_step_backs_total") += 1;
    }
    if (change.what == step_back_change::kind::returned) {
        for (const std::string& account : std::exchange(closed_accounts_, {})) {
            server_->close_account(account, false);
        }
    }
    counters_.gauge("gateway_stepped_back") =
        policy_.state() == entry_state::stepped_back ? 1.0 : 0.0;
    events_.log_routine(event_name(change.what),
                        {{"account", change.account.account},
                         {"demand", whole_text(change.account.bytes_per_second)},
                         {"bandwidth", whole_text(change.bandwidth)},
                         {"neighbours", std::to_string(change.fresh_neighbours)},
                         {"accepting", std::to_string(change.accepting_neighbours)},
                         {"members", std::to_string(change.members)},
                         {"oldest_ms", millis_text(change.oldest_age)},
                         {"reason", change.what == step_back_change::kind::returned
                                        ? std::string(name_of(change.reason))
                                        : std::string()}});
}

void caller_admission::update_closed_accounts(instant now) {
    if (policy_.state() != entry_state::stepped_back || !closed_accounts_.empty() ||
        now - policy_.stepped_back_at() < close_delay) {
        return;
    }
    for (const account_demand& each : policy_.accounts()) {
        closed_accounts_.push_back(each.account);
        server_->close_account(each.account, true);
    }
}

entry_state caller_admission::reported_state() const {
    if (policy_.state() == entry_state::stepped_back) {
        return entry_state::stepped_back;
    }
    return hooks_.is_open() && accepts_callers() ? policy_.state() : entry_state::closed;
}

neighbour_report caller_admission::make_report() const {
    neighbour_report report;
    report.bandwidth = bandwidth_;
    report.received_per_second = received_per_second_;
    report.sent_per_second = sent_per_second_;
    report.state = reported_state();
    if (report.state == entry_state::announced || report.state == entry_state::stepped_back) {
        report.step_back = policy_.accounts();
    }
    report.connections = server_ == nullptr ? 0 : server_->connections();
    report.accounts = policy_.accounts_to_report();
    return report;
}

void caller_admission::export_gauges() const {
    counters_.gauge("gateway_link_received_share") = link_.received_share();
    counters_.gauge("gateway_link_send_queue_seconds") = as_seconds(link_.send_queue_delay());
}

}  // namespace wrenswitch
