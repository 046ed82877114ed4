#include "roles/gateway/target_words.hpp"

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
constexpr int most_words_in_a_message = 1000;
constexpr microseconds oldest_word = std::chrono::hours(1);

std::string limit_text(const std::optional<double>& per_second) {
    return per_second ? std::to_string(*per_second) : "none";
}

std::string_view event_name(limit_news news) {
    switch (news) {
        case limit_news::none:
            return "target_limit_unchanged";
        case limit_news::named:
            return "target_limit_named";
        case limit_news::changed:
            return "target_limit_changed";
        case limit_news::ended:
            return "target_limit_ended";
    }
    return "target_limit_unchanged";
}

bool is_sound(const wire::TargetWord& word) {
    const double limit = word.most_per_second();
    return word.age_us() <= static_cast<std::uint64_t>(oldest_word.count()) &&
           (!word.has_most_per_second() || (std::isfinite(limit) && limit >= 0.0));
}

/// True unless both are known to be of different lives.
bool is_same_life(const gateway_target& target, std::int64_t started) {
    return started == 0 || !target.started || *target.started == started;
}

}  // namespace

target_words::target_words(event_loop& loop, message_bus& bus, const token_homes& members,
                           target_pool& targets, event_log& events, metrics& counters)
    : loop_(loop),
      bus_(bus),
      members_(members),
      targets_(targets),
      events_(events),
      counters_(counters) {}

target_words::~target_words() {
    *alive_ = false;
}

void target_words::heard(instant now, const target_life& life, instant sent,
                         std::string_view request, const target_word& word) {
    const gateway_target* target = targets_.find(life.target);
    if (target == nullptr || life_of(*target) != life) {
        return;
    }
    if (word.load) {
        targets_.reported(now, life.target, *word.load);
    }
    limit_heard(now, life, sent, request, word);
    rest_heard(now, life, request, word);
    if (word.leaving) {
        leaving_heard(now, life, request);
    }
}

void target_words::leaving_heard(instant now, const target_life& life, std::string_view request) {
    if (!targets_.note_leaving(life.target)) {
        return;
    }
    counters_.counter("gateway_targets_leaving_by_word_total") += 1;
    events_.routine("target_says_it_leaves", {{"target", life.target},
                                              {"known_from", "answer"},
                                              {"request", std::string(request)},
                                              {"load", targets_.describe(now, life.target)}});
    tell_soon(life.target);
}

void target_words::rest_heard(instant now, const target_life& life, std::string_view request,
                              const target_word& word) {
    if (!word.unreadable_rest.empty()) {
        counters_.counter("gateway_target_rests_unreadable_total") += 1;
        events_.routine("target_rest_unreadable",
                        {{"target", life.target},
                         {"request", std::string(request)},
                         {"said", word.unreadable_rest.substr(0, most_told_bytes)}});
    }
    if (!word.rest) {
        return;
    }
    targets_.rests().ask(now, life.target, *word.rest);
    counters_.counter("gateway_target_rests_total") += 1;
    events_.routine("target_wants_rest", {{"target", life.target},
                                          {"rest_ms", millis_text(*word.rest)},
                                          {"request", std::string(request)},
                                          {"load", targets_.describe(now, life.target)}});
}

void target_words::limit_heard(instant now, const target_life& life, instant sent,
                               std::string_view request, const target_word& word) {
    if (!word.unreadable_limit.empty()) {
        counters_.counter("gateway_target_limits_unreadable_total") += 1;
        events_.routine("target_limit_unreadable",
                        {{"target", life.target},
                         {"request", std::string(request)},
                         {"said", word.unreadable_limit.substr(0, most_told_bytes)}});
        if (!word.most_per_second) {
            return;
        }
    }
    const std::optional<double> before = targets_.limits().limit_of(life.target);
    const limit_news news = targets_.limits().heard(now, life.target, sent, word.most_per_second);
    if (news == limit_news::none) {
        return;
    }
    counters_.counter("gateway_target_limit_changes_total") += 1;
    events_.routine(
        event_name(news),
        {{"target", life.target},
         {"limit", limit_text(word.most_per_second)},
         {"limit_before", limit_text(before)},
         {"sent_lately", std::to_string(targets_.limits().sent_lately(now, life.target))},
         {"known_from", "answer"},
         {"request", std::string(request)},
         {"sent_ago_ms", millis_text(now - sent)}});
    tell_soon(life.target);
}

void target_words::sent(instant now, std::string_view target) {
    if (targets_.limits().limit_of(target)) {
        targets_.limits().note_sent(now, target);
        counters_.counter("gateway_sends_to_limited_targets_total") += 1;
    }
}

void target_words::tell_soon(const std::string& target) {
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

void target_words::tell_others() {
    const std::set<std::string> untold = std::exchange(untold_, {});
    const std::vector<std::string> targets(untold.begin(), untold.end());
    wire::Envelope message;
    *message.mutable_target_words() = words_of(monotonic_now(), targets);
    for (const ledger_member& member : members_.largest_of_all(members_.members())) {
        if (member.host != members_.own_host()) {
            bus_.send(member.endpoint, message);
            counters_.counter("gateway_target_word_messages_total") += 1;
        }
    }
}

wire::TargetWords target_words::words_of(instant now, std::span<const std::string> targets) const {
    wire::TargetWords words;
    for (const std::string& id : targets) {
        const gateway_target* target = targets_.find(id);
        const auto belief = targets_.limits().belief_of(id);
        const bool leaving = targets_.says_it_leaves(id);
        if (target == nullptr || (!belief && !leaving) ||
            words.words_size() >= most_words_in_a_message) {
            continue;
        }
        wire::TargetWord& word = *words.add_words();
        word.set_target(id);
        word.set_started(target->started.value_or(0));
        word.set_leaving(leaving);
        if (!belief) {
            continue;
        }
        word.set_says_limit(true);
        if (belief->per_second) {
            word.set_most_per_second(*belief->per_second);
        }
        const microseconds age = std::max(microseconds(0), now - belief->as_of);
        word.set_age_us(static_cast<std::uint64_t>(age.count()));
    }
    return words;
}

bool target_words::on_message(const message_origin& origin, const wire::Envelope& message) {
    if (!message.has_target_words()) {
        return false;
    }
    const wire::TargetWords& news = message.target_words();
    const instant now = monotonic_now();
    if (news.words_size() > most_words_in_a_message ||
        news.asked_size() > most_words_in_a_message) {
        counters_.counter("gateway_target_words_refused_total") += 1;
        events_.routine("target_words_refused", {{"words", std::to_string(news.words_size())},
                                                 {"asked", std::to_string(news.asked_size())}});
        return true;
    }
    words_told(now, news);
    if (news.asked_size() > 0) {
        const std::vector<std::string> asked(news.asked().begin(), news.asked().end());
        wire::Envelope answer;
        *answer.mutable_target_words() = words_of(now, asked);
        bus_.answer(origin, answer);
    }
    return true;
}

void target_words::words_told(instant now, const wire::TargetWords& news) {
    for (const wire::TargetWord& word : news.words()) {
        const gateway_target* target = targets_.find(word.target());
        if (target == nullptr || !is_sound(word) || !is_same_life(*target, word.started())) {
            counters_.counter("gateway_target_words_unused_total") += 1;
            continue;
        }
        if (word.leaving() && targets_.note_leaving(word.target())) {
            counters_.counter("gateway_targets_leaving_by_word_total") += 1;
            events_.routine("target_says_it_leaves",
                            {{"target", word.target()}, {"known_from", "other entry"}});
        }
        if (word.says_limit()) {
            limit_told(now, word);
        }
    }
}

void target_words::limit_told(instant now, const wire::TargetWord& word) {
    const std::optional<double> limit =
        word.has_most_per_second() ? std::optional(word.most_per_second()) : std::nullopt;
    const microseconds age(static_cast<std::int64_t>(word.age_us()));
    const std::optional<double> before = targets_.limits().limit_of(word.target());
    const limit_news change = targets_.limits().told(now, word.target(), now - age, limit);
    if (change == limit_news::none) {
        return;
    }
    counters_.counter("gateway_target_limit_changes_total") += 1;
    events_.routine(event_name(change), {{"target", word.target()},
                                         {"limit", limit_text(limit)},
                                         {"limit_before", limit_text(before)},
                                         {"known_from", "other entry"},
                                         {"age_ms", millis_text(age)}});
}

/// An entry that sends nothing to a limited target never hears itself that the limit has ended.
void target_words::ask_senders(instant now) {
    std::map<std::string, wire::Envelope> asks;
    for (const std::string& target : targets_.limits().unheard(now, longest_unheard)) {
        const double limit = targets_.limits().limit_of(target).value_or(0.0);
        std::vector<ledger_member> senders =
            members_.first_for(target, named_limits::most_senders(limit));
        std::erase_if(senders, [this](const ledger_member& each) {
            return each.host == members_.own_host();
        });
        if (!senders.empty()) {
            const ledger_member& asked = senders[random_.below(senders.size())];
            asks[asked.endpoint].mutable_target_words()->add_asked(target);
        }
    }
    for (const auto& [endpoint, message] : asks) {
        bus_.send(endpoint, message);
        counters_.counter("gateway_target_word_messages_total") += 1;
    }
}

void target_words::tick(instant now) {
    counters_.gauge("gateway_targets_limited") = static_cast<double>(targets_.limits().size());
    counters_.gauge("gateway_targets_resting") = static_cast<double>(targets_.rests().size(now));
    if (now >= next_ask_) {
        next_ask_ = now + ask_period;
        ask_senders(now);
    }
}

}  // namespace wrenswitch
