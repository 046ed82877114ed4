#include "wrenswitch/decision/gateway/named_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wrenswitch {
namespace {

/// Over how long sends are counted.
constexpr microseconds send_window = seconds(4);

/// Sends that are kept for one target; more aren't told apart.
constexpr std::size_t most_kept_sends = 1000;

/// A limit below this counts as this: without any request nobody would hear that it has ended.
constexpr double least_per_second = 0.1;

/// What a window may hold beyond four times the rate: two more seconds of it and five. One of these
/// is left for requests that are held up on their way, and come together with later ones.
constexpr double spare_seconds = 2.0;
constexpr double spare_requests = 4.0;

/// More senders than any fleet has entries.
constexpr double all_entries = 1e6;

/// A wait that no request bears.
constexpr microseconds no_turn = std::chrono::hours(1);

/// A limit that changes by less than this factor leaves the turns that were taken in force: they
/// are used within a second, and one that changes with each answer would void them all.
constexpr double notable_factor = 1.25;

bool differs_much(double before, double after) {
    return after * notable_factor < before || before * notable_factor < after;
}

bool is_stricter(const std::optional<double>& per_second, const std::optional<double>& than) {
    return per_second && (!than || *per_second <= *than);
}

double spare_of(double per_second) {
    return spare_seconds * per_second + spare_requests;
}

/// What one of some senders may send: its share of the rate, and in hand what a second brings, if
/// there is so much to spare.
send_rate rate_for(double per_second, std::size_t senders) {
    const double shared_by = static_cast<double>(senders);
    const double own = per_second / shared_by;
    const double in_hand = std::floor(std::min(spare_of(per_second) / shared_by, 1.0 + own));
    constexpr double microseconds_a_second = 1e6;
    return {microseconds(std::llround(microseconds_a_second / own)),
            static_cast<unsigned>(std::clamp(in_hand, 1.0, all_entries))};
}

}  // namespace

std::size_t named_limits::most_senders(double per_second) {
    const double bounded = std::max(per_second, least_per_second);
    return static_cast<std::size_t>(std::min(spare_of(bounded), all_entries));
}

limit_news named_limits::heard(instant now, std::string_view target, instant sent,
                               std::optional<double> per_second) {
    const bool stricter = is_stricter(per_second, limit_of(target));
    return believe(now, target, stricter ? now : sent, per_second);
}

limit_news named_limits::told(instant now, std::string_view target, instant as_of,
                              std::optional<double> per_second) {
    return believe(now, target, as_of, per_second);
}

limit_news named_limits::believe(instant now, std::string_view target, instant as_of,
                                 std::optional<double> per_second) {
    const auto found = targets_.find(target);
    if (found == targets_.end() && !per_second) {
        return limit_news::none;
    }
    target_state& state = found == targets_.end() ? targets_[std::string(target)] : found->second;
    const std::optional<double> before = state.per_second;
    const bool stricter = is_stricter(per_second, before);
    const bool is_old = as_of <= (stricter ? state.relaxed_at : state.named_at);
    if (is_old) {
        return limit_news::none;
    }
    state.named_at = per_second ? std::max(state.named_at, as_of) : state.named_at;
    state.relaxed_at = stricter ? state.relaxed_at : as_of;
    if (before == per_second) {
        return limit_news::none;
    }
    state.per_second = per_second;
    if (!per_second) {
        return limit_news::ended;
    }
    const bool differs = !before || differs_much(*before, *per_second);
    state.turns_void += differs ? 1 : 0;
    state.is_sender = state.is_sender && before;
    state.shared_at.reset();
    share(now, target, state, differs);
    if (!before) {
        return limit_news::named;
    }
    return differs ? limit_news::changed : limit_news::none;
}

/// Works out anew what this entry may send, if the limit or the entries have changed. The first
/// turns of senders that hear of a limit together are spread over one spacing.
void named_limits::share(instant now, std::string_view target, target_state& state, bool differs) {
    const std::uint64_t version = sharers_.version();
    if (!state.per_second || state.shared_at == version) {
        return;
    }
    const bool limit_changed = !std::exchange(state.shared_at, version).has_value();
    const double per_second = std::max(*state.per_second, least_per_second);
    const std::size_t senders = std::min(sharers_.entries(), most_senders(per_second));
    const bool was_sender = state.is_sender;
    state.is_sender = senders > 0 && sharers_.is_among_first(target, senders);
    if (!state.is_sender) {
        return;
    }
    state.rate = rate_for(per_second, senders);
    if (was_sender) {
        if (differs) {
            state.pace.hasten(now, state.rate);
        }
        return;
    }
    const double part = limit_changed ? 1.0 - random_.unit() : 1.0;
    const double first = part * static_cast<double>(state.rate.spacing.count());
    state.pace.begin(now, microseconds(std::llround(first)), state.rate);
}

microseconds named_limits::wait(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.per_second) {
        return microseconds(0);
    }
    target_state& state = found->second;
    share(now, target, state);
    return state.is_sender ? state.pace.wait(now, state.rate) : no_turn;
}

void named_limits::take(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end() && found->second.per_second) {
        found->second.pace.take(now, found->second.rate);
    }
}

std::uint64_t named_limits::turns_void(std::string_view target) const {
    const target_state* state = find(target);
    return state == nullptr ? 0 : state->turns_void;
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

std::optional<named_limits::belief> named_limits::belief_of(std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr) {
        return std::nullopt;
    }
    return belief{state->per_second, state->per_second ? state->named_at : state->relaxed_at};
}

std::vector<std::string> named_limits::unheard(instant now, microseconds age) const {
    std::vector<std::string> found;
    for (const auto& [target, state] : targets_) {
        if (state.per_second && now - state.named_at > age) {
            found.push_back(target);
        }
    }
    return found;
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
           "ms,sent=" + std::to_string(sent_lately(now, target)) +
           (state->is_sender ? "" : ",no_turns");
}

}  // namespace wrenswitch
