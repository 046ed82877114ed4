#include "roles/gateway/target_words.hpp"

#include "roles/gateway/target_ends.hpp"

namespace wrenswitch {
namespace {

/// A line doesn't hold more of what a target may have written.
constexpr std::size_t most_told_bytes = 60;

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

}  // namespace

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
         {"request", std::string(request)},
         {"sent_ago_ms", millis_text(now - sent)}});
}

void target_words::sent(instant now, std::string_view target) {
    if (targets_.limits().limit_of(target)) {
        targets_.limits().note_sent(now, target);
        counters_.counter("gateway_sends_to_limited_targets_total") += 1;
    }
}

void target_words::tick() {
    counters_.gauge("gateway_targets_limited") = static_cast<double>(targets_.limits().size());
}

}  // namespace wrenswitch
