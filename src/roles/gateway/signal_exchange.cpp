#include "roles/gateway/signal_exchange.hpp"

#include <bus.pb.h>

#include <algorithm>
#include <cmath>
#include <map>
#include <utility>
#include <vector>

#include "roles/gateway/target_ends.hpp"

namespace wrenswitch {
namespace {

/// A line doesn't hold more of what a target may have written.
constexpr std::size_t most_told_bytes = 60;

/// Words that are to be told wait so long for company, which bounds how many messages there are.
constexpr microseconds tell_wait = milliseconds(50);

/// A limit of which nothing was heard for so long is asked about, and how often that is done.
constexpr microseconds longest_unheard = seconds(5);
constexpr microseconds ask_period = seconds(2);

/// Messages come from other processes of the fleet, and may be damaged all the same.
constexpr int most_signals_in_a_message = 1000;
constexpr microseconds oldest_signal = std::chrono::hours(1);

std::string limit_text(const std::optional<double>& per_second) {
    return per_second ? std::to_string(*per_second) : "none";
}

std::string_view event_name(limit_change news) {
    switch (news) {
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

bool is_sound(const wire::TargetSignal& signal) {
    const double limit = signal.most_per_second();
    return signal.age_us() <= static_cast<std::uint64_t>(oldest_signal.count()) &&
           (!signal.has_most_per_second() || (std::isfinite(limit) && limit >= 0.0));
}

/// True unless both are known to be of different lives.
bool is_same_life(const gateway_target& target, std::int64_t started) {
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

void signal_exchange::heard(instant now, const target_incarnation& life, instant sent,
                            std::string_view request, const target_signals& signals) {
    const gateway_target* target = targets_.find(life.target);
    if (target == nullptr || life_of(*target) != life) {
        return;
    }
    if (signals.load) {
        targets_.on_load_report(now, life.target, *signals.load);
    }
    limit_heard(now, life, sent, request, signals);
    rest_heard(now, life, request, signals);
    if (signals.draining) {
        leaving_heard(now, life, request);
    }
}

void signal_exchange::leaving_heard(instant now, const target_incarnation& life,
                                    std::string_view request) {
    if (!targets_.mark_draining(life.target)) {
        return;
    }
    counters_.counter("gateway_targets_leaving_by_signal_total") += 1;
    events_.log_routine("target_says_it_leaves", {{"target", life.target},
                                                  {"known_from", "answer"},
                                                  {"request", std::string(request)},
                                                  {"load", targets_.describe(now, life.target)}});
    tell_soon(life.target);
}

void signal_exchange::rest_heard(instant now, const target_incarnation& life,
                                 std::string_view request, const target_signals& signals) {
    if (!signals.unreadable_backoff.empty()) {
        counters_.counter("gateway_target_rests_unreadable_total") += 1;
        events_.log_routine("target_rest_unreadable",
                            {{"target", life.target},
                             {"request", std::string(request)},
                             {"said", signals.unreadable_backoff.substr(0, most_told_bytes)}});
    }
    if (!signals.backoff) {
        return;
    }
    targets_.backoffs().add(now, life.target, *signals.backoff);
    counters_.counter("gateway_target_rests_total") += 1;
    events_.log_routine("target_wants_rest", {{"target", life.target},
                                              {"rest_ms", millis_text(*signals.backoff)},
                                              {"request", std::string(request)},
                                              {"load", targets_.describe(now, life.target)}});
}

void signal_exchange::limit_heard(instant now, const target_incarnation& life, instant sent,
                                  std::string_view request, const target_signals& signals) {
    if (!signals.unreadable_limit.empty()) {
        counters_.counter("gateway_target_limits_unreadable_total") += 1;
        events_.log_routine("target_limit_unreadable",
                            {{"target", life.target},
                             {"request", std::string(request)},
                             {"said", signals.unreadable_limit.substr(0, most_told_bytes)}});
        if (!signals.max_per_second) {
            return;
        }
    }
    const std::optional<double> before = targets_.limits().limit_of(life.target);
    const limit_change news =
        targets_.limits().on_response(now, life.target, sent, signals.max_per_second);
    if (news == limit_change::none) {
        return;
    }
    counters_.counter("gateway_target_limit_changes_total") += 1;
    events_.log_routine(
        event_name(news),
        {{"target", life.target},
         {"limit", limit_text(signals.max_per_second)},
         {"limit_before", limit_text(before)},
         {"sent_lately", std::to_string(targets_.limits().recent_sends(now, life.target))},
         {"known_from", "answer"},
         {"request", std::string(request)},
         {"sent_ago_ms", millis_text(now - sent)}});
    tell_soon(life.target);
}

void signal_exchange::sent(instant now, std::string_view target) {
    if (targets_.limits().limit_of(target)) {
        targets_.limits().record_sent(now, target);
        counters_.counter("gateway_sends_to_limited_targets_total") += 1;
    }
}

void signal_exchange::tell_soon(const std::string& target) {
    const bool planned = !untold_.empty();
    untold_.insert(target);
    if (planned) {
        return;
    }
    loop_.call_after(tell_wait, [this, alive = alive_] {
        if (*alive) {
            tell_others();
        }
    });
}

void signal_exchange::tell_others() {
    const std::set<std::string> untold = std::exchange(untold_, {});
    const std::vector<std::string> targets(untold.begin(), untold.end());
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
    wire::TargetSignals told;
    for (const std::string& id : targets) {
        const gateway_target* target = targets_.find(id);
        const auto belief = targets_.limits().known_limit_of(id);
        const bool leaving = targets_.has_announced_draining(id);
        if (target == nullptr || (!belief && !leaving) ||
            told.signals_size() >= most_signals_in_a_message) {
            continue;
        }
        wire::TargetSignal& signal = *told.add_signals();
        signal.set_target(id);
        signal.set_started(target->started.value_or(0));
        signal.set_leaving(leaving);
        if (!belief) {
            continue;
        }
        signal.set_says_limit(true);
        if (belief->per_second) {
            signal.set_most_per_second(*belief->per_second);
        }
        const microseconds age = std::max(microseconds(0), now - belief->as_of);
        signal.set_age_us(static_cast<std::uint64_t>(age.count()));
    }
    return told;
}

bool signal_exchange::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (!message.has_target_signals()) {
        return false;
    }
    const wire::TargetSignals& news = message.target_signals();
    const instant now = monotonic_now();
    if (news.signals_size() > most_signals_in_a_message ||
        news.asked_size() > most_signals_in_a_message) {
        counters_.counter("gateway_target_signals_refused_total") += 1;
        events_.log_routine("target_signals_refused",
                            {{"signals", std::to_string(news.signals_size())},
                             {"asked", std::to_string(news.asked_size())}});
        return true;
    }
    signals_told(now, news);
    if (news.asked_size() > 0) {
        const std::vector<std::string> asked(news.asked().begin(), news.asked().end());
        wire::Envelope answer;
        *answer.mutable_target_signals() = signals_of(now, asked);
        bus_.answer(origin, answer);
    }
    return true;
}

void signal_exchange::signals_told(instant now, const wire::TargetSignals& news) {
    for (const wire::TargetSignal& signal : news.signals()) {
        const gateway_target* target = targets_.find(signal.target());
        if (target == nullptr || !is_sound(signal) || !is_same_life(*target, signal.started())) {
            counters_.counter("gateway_target_signals_unused_total") += 1;
            continue;
        }
        if (signal.leaving() && targets_.mark_draining(signal.target())) {
            counters_.counter("gateway_targets_leaving_by_signal_total") += 1;
            events_.log_routine("target_says_it_leaves",
                                {{"target", signal.target()}, {"known_from", "other entry"}});
        }
        if (signal.says_limit()) {
            limit_told(now, signal);
        }
    }
}

void signal_exchange::limit_told(instant now, const wire::TargetSignal& signal) {
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

/// An entry that sends nothing to a limited target never hears itself that the limit has ended.
void signal_exchange::ask_senders(instant now) {
    std::map<std::string, wire::Envelope> asks;
    for (const std::string& target : targets_.limits().stale_targets(now, longest_unheard)) {
        const double limit = targets_.limits().limit_of(target).value_or(0.0);
        std::vector<cluster_member> senders =
            members_.ranked_members(target, advertised_limits::max_senders(limit));
        std::erase_if(senders, [this](const cluster_member& each) {
            return each.host == members_.own_host();
        });
        if (!senders.empty()) {
            const cluster_member& asked = senders[random_.below(senders.size())];
            asks[asked.endpoint].mutable_target_signals()->add_asked(target);
        }
    }
    for (const auto& [endpoint, message] : asks) {
        bus_.send(endpoint, message);
        counters_.counter("gateway_target_signal_messages_total") += 1;
    }
}

void signal_exchange::tick(instant now) {
    counters_.gauge("gateway_targets_limited") =
        static_cast<double>(targets_.limits().active_count());
    counters_.gauge("gateway_targets_resting") =
        static_cast<double>(targets_.backoffs().active_count(now));
    if (now >= next_ask_) {
        next_ask_ = now + ask_period;
        ask_senders(now);
    }
}

}  // namespace wrenswitch
