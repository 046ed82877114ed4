#include "roles/gateway/neighbour_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <utility>

#include "roles/gateway/neighbour_codec.hpp"
#include "wrenswitch/decision/membership/step_back_policy.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds early_report_period = milliseconds(250);
constexpr double more_demand = 1.5;

/// How long a process that starts waits for reports. Neighbours answer within a round trip.
constexpr microseconds max_answer_wait = milliseconds(300);

/// How long it waits for the list of members. The list is read from the store along with all else
/// that a gateway needs before it is ready, so this bounds only the case that its own record cannot
/// be written.
constexpr microseconds max_listing_wait = seconds(2);

/// The longest part of a reported name that is logged or kept.
constexpr std::size_t max_logged_bytes = 60;

}  // namespace

neighbour_exchange::neighbour_exchange(message_bus& bus, const token_allocator_selector& members,
                                       std::string failure_domain, incarnation_id process,
                                       rate_limited_log& events, metrics& counters, hooks callbacks)
    : bus_(bus),
      members_(members),
      failure_domain_(std::move(failure_domain)),
      process_(process),
      events_(events),
      counters_(counters),
      hooks_(std::move(callbacks)) {}

std::vector<std::string> neighbour_exchange::hosts() const {
    std::vector<std::string> names;
    for (const cluster_member& member : members_.members_in(failure_domain_)) {
        names.push_back(member.host);
    }
    return names;
}

bool neighbour_exchange::shows_more_demand(const neighbour_report& before,
                                           const neighbour_report& after) {
    return std::any_of(after.accounts.begin(), after.accounts.end(), [&](const auto& each) {
        return each.bytes_per_second > more_demand * before.rate_of(each.account);
    });
}

neighbour_report neighbour_exchange::make_report(instant now) {
    neighbour_report report = hooks_.make_report(now);
    report.host = members_.own_host();
    report.process = process_;
    report.number = ++number_;
    return report;
}

void neighbour_exchange::broadcast(instant now) {
    last_sent_ = make_report(now);
    wire::Envelope message;
    *message.mutable_neighbour_report() = encode_neighbour_report(last_sent_);
    const std::vector<cluster_member> members = members_.members_in(failure_domain_);
    for (const cluster_member& member : members) {
        if (member.host != members_.own_host()) {
            bus_.send(member.endpoint, message);
            counters_.counter(
                labelled("gateway_neighbour_reports_total", {{"direction", "sent"}})) += 1;
        }
    }
    next_report_ = now + step_back_policy::report_period(members.size());
}

void neighbour_exchange::tick(instant now) {
    if (!settled_) {
        ask_neighbours(now);
    }
    if (take_early(now, state_report_requested_, last_state_report_) ||
        take_early(now, demand_report_requested_, last_demand_report_) || now >= next_report_) {
        broadcast(now);
        table_.drop_expired(now);
    }
}

bool neighbour_exchange::take_early(instant now, bool& requested, instant& last) {
    if (!requested || now - last < early_report_period) {
        return false;
    }
    requested = false;
    last = now;
    return true;
}

void neighbour_exchange::check_demand(instant now) {
    if (shows_more_demand(last_sent_, hooks_.make_report(now))) {
        demand_report_requested_ = true;
    }
}

/// Asks each neighbour once for its report, as soon as the neighbour is listed.
void neighbour_exchange::ask_neighbours(instant now) {
    started_ = started_.value_or(now);
    bool lists_own = false;
    bool all_answered = true;
    for (const cluster_member& member : members_.members_in(failure_domain_)) {
        if (member.host == members_.own_host()) {
            lists_own = true;
            continue;
        }
        all_answered = all_answered && table_.find(member.host) != nullptr;
        if (asked_.insert(member.host).second) {
            first_asked_ = first_asked_.value_or(now);
            neighbour_report report = make_report(now);
            report.asks = true;
            wire::Envelope message;
            *message.mutable_neighbour_report() = encode_neighbour_report(report);
            bus_.send(member.endpoint, message);
            counters_.counter(
                labelled("gateway_neighbour_reports_total", {{"direction", "sent"}})) += 1;
        }
    }
    // The own record is written after those of the neighbours have been read.
    settled_ = (lists_own && all_answered) ||
               (first_asked_ && now - *first_asked_ >= max_answer_wait) ||
               now - *started_ >= max_listing_wait;
    if (settled_) {
        asked_.clear();
    }
}

void neighbour_exchange::refuse(std::string_view host, std::string_view reason) {
    counters_.counter("gateway_neighbour_reports_refused_total") += 1;
    const std::string_view shown = host.substr(0, max_logged_bytes);
    if (table_.note_fault(shown, reason)) {
        events_.log_routine("neighbour_report_refused",
                            {{"host", std::string(shown)}, {"reason", std::string(reason)}});
    }
}

bool neighbour_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (!message.has_neighbour_report()) {
        return false;
    }
    const instant now = monotonic_now();
    counters_.counter(labelled("gateway_neighbour_reports_total", {{"direction", "received"}})) +=
        1;
    neighbour_report report = decode_neighbour_report(message.neighbour_report());
    const std::string host = report.host;
    if (host == members_.own_host()) {
        refuse(host, "own_host");
        return true;
    }
    const bool asks = report.asks;
    const received_report* known = table_.find(host);
    const bool is_early = known == nullptr || known->report.state != report.state ||
                          shows_more_demand(known->report, report);
    const std::string_view fault = find_fault(report);
    switch (table_.record(now, std::move(report))) {
        case neighbour_table::outcome::refused:
            refuse(host, fault);
            return true;
        case neighbour_table::outcome::full:
            refuse(host, "too_many_hosts");
            return true;
        case neighbour_table::outcome::outdated:
            return true;
        case neighbour_table::outcome::recorded:
            break;
    }
    if (asks) {
        wire::Envelope answer;
        *answer.mutable_neighbour_report() = encode_neighbour_report(make_report(now));
        bus_.answer(origin, answer);
        counters_.counter(labelled("gateway_neighbour_reports_total", {{"direction", "sent"}})) +=
            1;
    }
    if (is_early) {
        hooks_.on_early_report();
    }
    return true;
}

}  // namespace wrenswitch
