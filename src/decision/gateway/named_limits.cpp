#include "wrenswitch/decision/gateway/named_limits.hpp"

#include <algorithm>
#include <utility>

namespace wrenswitch {
namespace {

/// Over how long sends are counted.
constexpr microseconds send_window = seconds(4);

/// Sends that are kept for one target; more aren't told apart.
constexpr std::size_t most_kept_sends = 1000;

bool is_laxer(const std::optional<double>& per_second, double than) {
    return !per_second || *per_second > than;
}

}  // namespace

limit_news named_limits::heard(instant now, std::string_view target, instant sent,
                               std::optional<double> per_second) {
    const auto found = targets_.find(target);
    if (found == targets_.end() && !per_second) {
        return limit_news::none;
    }
    target_state& state = found == targets_.end() ? targets_[std::string(target)] : found->second;
    const std::optional<double> before = state.per_second;
    if (before && is_laxer(per_second, *before) && sent <= state.named_at) {
        return limit_news::none;
    }
    state.per_second = per_second;
    if (per_second) {
        state.named_at = now;
    }
    if (before == per_second) {
        return limit_news::none;
    }
    if (!before) {
        return limit_news::named;
    }
    return per_second ? limit_news::changed : limit_news::ended;
}

void named_limits::note_sent(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.per_second) {
        return;
    }
    std::deque<instant>& sends = found->second.sends;
    while (!sends.empty() &&
           (now - sends.front() > send_window || sends.size() >= most_kept_sends)) {
        sends.pop_front();
    }
    sends.push_back(now);
}

void named_limits::forget(std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        targets_.erase(found);
    }
}

const named_limits::target_state* named_limits::find(std::string_view target) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : &found->second;
}

std::optional<double> named_limits::limit_of(std::string_view target) const {
    const target_state* state = find(target);
    return state == nullptr ? std::nullopt : state->per_second;
}

std::size_t named_limits::sent_lately(instant now, std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(state->sends.begin(), state->sends.end(),
                      [now](instant sent) { return now - sent <= send_window; }));
}

std::size_t named_limits::size() const {
    return static_cast<std::size_t>(
        std::count_if(targets_.begin(), targets_.end(),
                      [](const auto& each) { return each.second.per_second.has_value(); }));
}

std::string named_limits::describe(instant now, std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr || !state->per_second) {
        return {};
    }
    return "limit=" + std::to_string(*state->per_second) + "/" +
           millis_text(now - state->named_at) +
           "ms,sent=" + std::to_string(sent_lately(now, target));
}

}  // namespace wrenswitch
