#include "roles/gateway/signal_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "roles/gateway/target_crash_detector.hpp"

namespace wrenswitch {
namespace {

/// Longest part of a target's own text that goes into a log line.
constexpr std::size_t max_logged_bytes = 60;

/// Signals are collected for this long before they are sent, which bounds the number of messages.
constexpr microseconds broadcast_delay = milliseconds(50);

/// A limit that wasn't confirmed for this long is queried, and how often queries are sent.
constexpr microseconds max_limit_age = seconds(5);
constexpr microseconds query_period = seconds(2);

/// Bounds messages from other processes, which may be damaged.
constexpr int max_signals_per_message = 1000;
constexpr microseconds max_signal_age = std::chrono::hours(1);

std::string limit_text(const std::optional<double>& per_second) {
    return per_second ? std::to_string(*per_second) : "none";
}

std::string_view event_name(limit_change change) {
    switch (change) {
        case limit_change::none:
            return "target_limit_unchanged";
        case limit_change::added:
            return "target_limit_named";
        case limit_change::changed:
            return "target_limit_changed";
        case limit_change::removed:
            return "target_limit_ended";
    }
    return "target_limit_unchanged";
}

bool is_valid(const wire::TargetSignal& signal) {
    const double limit = signal.most_per_second();
    return signal.age_us() <= static_cast<std::uint64_t>(max_signal_age.count()) &&
           (!signal.has_most_per_second() || (std::isfinite(limit) && limit >= 0.0));
}

/// False only if both start times are known and differ.
bool may_be_same_incarnation(const gateway_target& target, std::int64_t started) {
    return started == 0 || !target.started || *target.started == started;
}

}  // namespace

signal_exchange::signal_exchange(event_loop& loop, message_bus& bus,
                                 const token_allocator_selector& members, target_pool& targets,
                                 rate_limited_log& events, metrics& counters)
    : loop_(loop),
      bus_(bus),
      members_(members),
      targets_(targets),
      events_(events),
      counters_(counters) {}

signal_exchange::~signal_exchange() {
    *alive_ = false;
}

void signal_exchange::on_response(instant now, const target_incarnation& incarnation, instant sent,
                                  std::string_view request, const target_signals& signals) {
    const gateway_target* target = targets_.find(incarnation.target);
    if (target == nullptr || incarnation_of(*target) != incarnation) {
        return;
    }
    apply_load(now, incarnation, sent, request, signals);
    apply_limit(now, incarnation, sent, request, signals);
    apply_backoff(now, incarnation, request, signals);
    if (signals.draining) {
        apply_draining(now, incarnation, request);
    }
}

void signal_exchange::apply_load(instant now, const target_incarnation& incarnation, instant sent,
                                 std::string_view request, const target_signals& signals) {
    if (signals.load) {
        if (targets_.on_load_report(now, incarnation.target, *signals.load)) {
            const gateway_target* target = targets_.find(incarnation.target);
            events_.log_routine("service_reports_slowdown",
                                {{"service", target->service},
                                 {"target", incarnation.target},
                                 {"request", std::string(request)},
                                 {"load", targets_.describe(now, incarnation.target)}});
        }
        if (signals.succeeded) {
            targets_.record_response_time(now, incarnation.target, now - sent, *signals.load);
        }
    }
    if (signals.unreadable_load.empty()) {
        if (signals.load) {
            damaged_loads_.erase(incarnation.target);
        }
        return;
    }
    counters_.counter("gateway_target_loads_unreadable_total") += 1;
    const load_damage damage = signals.load ? load_damage::slowdown : load_damage::whole;
    const auto [known, inserted] = damaged_loads_.try_emplace(incarnation.target, damage);
    if (!inserted && std::exchange(known->second, damage) == damage) {
        return;
    }
    events_.log_routine("target_load_unreadable",
                        {{"target", incarnation.target},
                         {"request", std::string(request)},
                         {"part", damage == load_damage::whole ? "whole" : "slowdown"},
                         {"said", signals.unreadable_load.substr(0, max_logged_bytes)}});
}

void signal_exchange::apply_draining(instant now, const target_incarnation& incarnation,
                                     std::string_view request) {
    if (!targets_.mark_draining(incarnation.target)) {
        return;
    }
    counters_.counter("gateway_targets_leaving_by_signal_total") += 1;
    events_.log_routine("target_says_it_leaves",
                        {{"target", incarnation.target},
                         {"known_from", "answer"},
                         {"request", std::string(request)},
                         {"load", targets_.describe(now, incarnation.target)}});
    schedule_broadcast(incarnation.target);
}

void signal_exchange::apply_backoff(instant now, const target_incarnation& incarnation,
                                    std::string_view request, const target_signals& signals) {
    if (!signals.unreadable_backoff.empty()) {
        counters_.counter("gateway_target_rests_unreadable_total") += 1;
        events_.log_routine("target_rest_unreadable",
                            {{"target", incarnation.target},
                             {"request", std::string(request)},
                             {"said", signals.unreadable_backoff.substr(0, max_logged_bytes)}});
    }
    if (!signals.backoff) {
        return;
    }
    targets_.backoffs().add(now, incarnation.target, *signals.backoff);
    counters_.counter("gateway_target_rests_total") += 1;
    events_.log_routine("target_wants_rest",
                        {{"target", incarnation.target},
                         {"rest_ms", millis_text(*signals.backoff)},
                         {"request", std::string(request)},
                         {"load", targets_.describe(now, incarnation.target)}});
}

void signal_exchange::apply_limit(instant now, const target_incarnation& incarnation, instant sent,
                                  std::string_view request, const target_signals& signals) {
    if (!signals.unreadable_limit.empty()) {
        counters_.counter("gateway_target_limits_unreadable_total") += 1;
        events_.log_routine("target_limit_unreadable",
                            {{"target", incarnation.target},
                             {"request", std::string(request)},
                             {"said", signals.unreadable_limit.substr(0, max_logged_bytes)}});
        if (!signals.max_per_second) {
            return;
        }
    }
    const std::optional<double> before = targets_.limits().limit_of(incarnation.target);
    const limit_change change =
        targets_.limits().on_response(now, incarnation.target, sent, signals.max_per_second);
    if (change == limit_change::none) {
        return;
    }
    counters_.counter("gateway_target_limit_changes_total") += 1;
    events_.log_routine(
        event_name(change),
        {{"target", incarnation.target},
         {"limit", limit_text(signals.max_per_second)},
         {"limit_before", limit_text(before)},
         {"sent_lately", std::to_string(targets_.limits().recent_sends(now, incarnation.target))},
         {"known_from", "answer"},
         {"request", std::string(request)},
         {"sent_ago_ms", millis_text(now - sent)}});
    schedule_broadcast(incarnation.target);
}

void signal_exchange::record_sent(instant now, std::string_view target) {
    if (targets_.limits().limit_of(target)) {
        targets_.limits().record_sent(now, target);
        counters_.counter("gateway_sends_to_limited_targets_total") += 1;
    }
}

void signal_exchange::schedule_broadcast(const std::string& target) {
    const bool already_scheduled = !unshared_.empty();
    unshared_.insert(target);
    if (already_scheduled) {
        return;
    }
    loop_.call_after(broadcast_delay, [this, alive = alive_] {
        if (*alive) {
            broadcast();
        }
    });
}

void signal_exchange::broadcast() {
    const std::set<std::string> unshared = std::exchange(unshared_, {});
    const std::vector<std::string> targets(unshared.begin(), unshared.end());
    wire::Envelope message;
    *message.mutable_target_signals() = signals_of(monotonic_now(), targets);
    for (const cluster_member& member : members_.largest_known(members_.members())) {
        if (member.host != members_.own_host()) {
            bus_.send(member.endpoint, message);
            counters_.counter("gateway_target_signal_messages_total") += 1;
        }
    }
}

wire::TargetSignals signal_exchange::signals_of(instant now,
                                                std::span<const std::string> targets) const {
    wire::TargetSignals result;
    for (const std::string& id : targets) {
        const gateway_target* target = targets_.find(id);
        const auto known_limit = targets_.limits().known_limit_of(id);
        const bool draining = targets_.has_announced_draining(id);
        if (target == nullptr || (!known_limit && !draining) ||
            result.signals_size() >= max_signals_per_message) {
            continue;
        }
        wire::TargetSignal& signal = *result.add_signals();
        signal.set_target(id);
        signal.set_started(target->started.value_or(0));
        signal.set_leaving(draining);
        if (!known_limit) {
            continue;
        }
        signal.set_says_limit(true);
        if (known_limit->per_second) {
            signal.set_most_per_second(*known_limit->per_second);
        }
        const microseconds age = std::max(microseconds(0), now - known_limit->as_of);
        signal.set_age_us(static_cast<std::uint64_t>(age.count()));
    }
    return result;
}

bool signal_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (!message.has_target_signals()) {
        return false;
    }
    const wire::TargetSignals& batch = message.target_signals();
    const instant now = monotonic_now();
    if (batch.signals_size() > max_signals_per_message ||
        batch.asked_size() > max_signals_per_message) {
        counters_.counter("gateway_target_signals_refused_total") += 1;
        events_.log_routine("target_signals_refused",
                            {{"signals", std::to_string(batch.signals_size())},
                             {"asked", std::to_string(batch.asked_size())}});
        return true;
    }
    apply_peer_signals(now, batch);
    if (batch.asked_size() > 0) {
        const std::vector<std::string> queried(batch.asked().begin(), batch.asked().end());
        wire::Envelope answer;
        *answer.mutable_target_signals() = signals_of(now, queried);
        bus_.answer(origin, answer);
    }
    return true;
}

void signal_exchange::apply_peer_signals(instant now, const wire::TargetSignals& batch) {
    for (const wire::TargetSignal& signal : batch.signals()) {
        const gateway_target* target = targets_.find(signal.target());
        if (target == nullptr || !is_valid(signal) ||
            !may_be_same_incarnation(*target, signal.started())) {
            counters_.counter("gateway_target_signals_unused_total") += 1;
            continue;
        }
        if (signal.leaving() && targets_.mark_draining(signal.target())) {
            counters_.counter("gateway_targets_leaving_by_signal_total") += 1;
            events_.log_routine("target_says_it_leaves",
                                {{"target", signal.target()}, {"known_from", "other entry"}});
        }
        if (signal.says_limit()) {
            apply_peer_limit(now, signal);
        }
    }
}

void signal_exchange::apply_peer_limit(instant now, const wire::TargetSignal& signal) {
    const std::optional<double> limit =
        signal.has_most_per_second() ? std::optional(signal.most_per_second()) : std::nullopt;
    const microseconds age(static_cast<std::int64_t>(signal.age_us()));
    const std::optional<double> before = targets_.limits().limit_of(signal.target());
    const limit_change change =
        targets_.limits().on_peer_report(now, signal.target(), now - age, limit);
    if (change == limit_change::none) {
        return;
    }
    counters_.counter("gateway_target_limit_changes_total") += 1;
    events_.log_routine(event_name(change), {{"target", signal.target()},
                                             {"limit", limit_text(limit)},
                                             {"limit_before", limit_text(before)},
                                             {"known_from", "other entry"},
                                             {"age_ms", millis_text(age)}});
}

/// A gateway that sends nothing to a limited target never learns from it that the limit has ended.
void signal_exchange::query_senders(instant now) {
    std::map<std::string, wire::Envelope> queries;
    for (const std::string& target : targets_.limits().stale_targets(now, max_limit_age)) {
        const double limit = targets_.limits().limit_of(target).value_or(0.0);
        std::vector<cluster_member> senders =
            members_.ranked_members(target, advertised_limits::max_senders(limit));
        std::erase_if(senders, [this](const cluster_member& each) {
            return each.host == members_.own_host();
        });
        if (!senders.empty()) {
            const cluster_member& queried = senders[random_.below(senders.size())];
            queries[queried.endpoint].mutable_target_signals()->add_asked(target);
        }
    }
    for (const auto& [endpoint, message] : queries) {
        bus_.send(endpoint, message);
        counters_.counter("gateway_target_signal_messages_total") += 1;
    }
}

void signal_exchange::tick(instant now) {
    counters_.gauge("gateway_targets_limited") =
        static_cast<double>(targets_.limits().active_count());
    counters_.gauge("gateway_targets_resting") =
        static_cast<double>(targets_.backoffs().active_count(now));
    if (now >= next_query_) {
        next_query_ = now + query_period;
        std::erase_if(damaged_loads_,
                      [this](const auto& known) { return targets_.find(known.first) == nullptr; });
        query_senders(now);
    }
}

}  // namespace wrenswitch
