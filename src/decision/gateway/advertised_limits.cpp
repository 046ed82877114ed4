#include "wrenswitch/decision/gateway/advertised_limits.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wrenswitch {
namespace {

/// The window in which sends are counted.
constexpr microseconds send_window = seconds(4);

/// The number of sends that are recorded for one target; larger counts are truncated.
constexpr std::size_t max_kept_sends = 1000;

/// Lower limits are raised to this value: without any requests no gateway would learn that the
/// limit has ended.
constexpr double min_per_second = 0.1;

/// What a window may hold beyond four times the rate: the requests of two more seconds, and five.
/// One of the five is reserved for requests that are delayed in the network and arrive together
/// with later ones.
constexpr double spare_seconds = 2.0;
constexpr double spare_requests = 4.0;

/// Upper bound of the number of senders, larger than any number of gateways.
constexpr double max_gateways = 1e6;

/// A delay longer than any request waits.
constexpr microseconds no_permit = std::chrono::hours(1);

/// If a limit changes by less than this factor, reserved permits stay valid: they are used within a
/// second, and a limit that changes with each response would void them all.
constexpr double notable_factor = 1.25;

bool differs_notably(double before, double after) {
    return after * notable_factor < before || before * notable_factor < after;
}

bool is_stricter(const std::optional<double>& per_second, const std::optional<double>& than) {
    return per_second && (!than || *per_second <= *than);
}

double spare_capacity(double per_second) {
    return spare_seconds * per_second + spare_requests;
}

/// The rate of one of several senders: its share of the limit, with a burst of what the share
/// yields in a second if the spare capacity allows it.
send_rate rate_for(double per_second, std::size_t senders) {
    const double sender_count = static_cast<double>(senders);
    const double own_rate = per_second / sender_count;
    const double burst =
        std::floor(std::min(spare_capacity(per_second) / sender_count, 1.0 + own_rate));
    constexpr double microseconds_a_second = 1e6;
    return {microseconds(std::llround(microseconds_a_second / own_rate)),
            static_cast<unsigned>(std::clamp(burst, 1.0, max_gateways))};
}

}  // namespace

std::size_t advertised_limits::max_senders(double per_second) {
    const double bounded = std::max(per_second, min_per_second);
    return static_cast<std::size_t>(std::min(spare_capacity(bounded), max_gateways));
}

limit_change advertised_limits::on_response(instant now, std::string_view target, instant sent,
                                            std::optional<double> per_second) {
    const bool stricter = is_stricter(per_second, limit_of(target));
    return update(now, target, stricter ? now : sent, per_second);
}

limit_change advertised_limits::on_peer_report(instant now, std::string_view target, instant as_of,
                                               std::optional<double> per_second) {
    return update(now, target, as_of, per_second);
}

limit_change advertised_limits::update(instant now, std::string_view target, instant as_of,
                                       std::optional<double> per_second) {
    const auto found = targets_.find(target);
    if (found == targets_.end() && !per_second) {
        return limit_change::none;
    }
    target_state& state = found == targets_.end() ? targets_[std::string(target)] : found->second;
    const std::optional<double> before = state.per_second;
    const bool stricter = is_stricter(per_second, before);
    const bool is_old = as_of <= (stricter ? state.relaxed_at : state.advertised_at);
    if (is_old) {
        return limit_change::none;
    }
    state.advertised_at = per_second ? std::max(state.advertised_at, as_of) : state.advertised_at;
    state.relaxed_at = stricter ? state.relaxed_at : as_of;
    if (before == per_second) {
        return limit_change::none;
    }
    state.per_second = per_second;
    if (!per_second) {
        return limit_change::removed;
    }
    const bool differs = !before || differs_notably(*before, *per_second);
    state.limit_epoch += differs ? 1 : 0;
    state.is_sender = state.is_sender && before;
    state.peers_version.reset();
    refresh_share(now, target, state, differs);
    if (!before) {
        return limit_change::added;
    }
    return differs ? limit_change::changed : limit_change::none;
}

/// Recomputes this gateway's share if the limit or the set of gateways has changed. The first
/// permits of senders that learn of a limit at the same time are spread over one interval.
void advertised_limits::refresh_share(instant now, std::string_view target, target_state& state,
                                      bool differs) {
    const std::uint64_t version = peers_.version();
    if (!state.per_second || state.peers_version == version) {
        return;
    }
    const bool limit_changed = !std::exchange(state.peers_version, version).has_value();
    const double per_second = std::max(*state.per_second, min_per_second);
    const std::size_t senders = std::min(peers_.gateway_count(), max_senders(per_second));
    const bool was_sender = state.is_sender;
    state.is_sender = senders > 0 && peers_.is_among_first(target, senders);
    if (!state.is_sender) {
        return;
    }
    state.rate = rate_for(per_second, senders);
    if (was_sender) {
        if (differs) {
            state.pacer.cap_delay(now, state.rate);
        }
        return;
    }
    const double fraction = limit_changed ? 1.0 - random_.unit() : 1.0;
    const double first_delay = fraction * static_cast<double>(state.rate.interval.count());
    state.pacer.start(now, microseconds(std::llround(first_delay)), state.rate);
}

microseconds advertised_limits::delay(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.per_second) {
        return microseconds(0);
    }
    target_state& state = found->second;
    refresh_share(now, target, state);
    return state.is_sender ? state.pacer.delay(now, state.rate) : no_permit;
}

void advertised_limits::reserve(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end() && found->second.per_second) {
        found->second.pacer.reserve(now, found->second.rate);
    }
}

std::uint64_t advertised_limits::limit_epoch(std::string_view target) const {
    const target_state* state = find(target);
    return state == nullptr ? 0 : state->limit_epoch;
}

void advertised_limits::record_sent(instant now, std::string_view target) {
    const auto found = targets_.find(target);
    if (found == targets_.end() || !found->second.per_second) {
        return;
    }
    std::deque<instant>& sends = found->second.sends;
    while (!sends.empty() &&
           (now - sends.front() > send_window || sends.size() >= max_kept_sends)) {
        sends.pop_front();
    }
    sends.push_back(now);
}

void advertised_limits::forget(std::string_view target) {
    const auto found = targets_.find(target);
    if (found != targets_.end()) {
        targets_.erase(found);
    }
}

const advertised_limits::target_state* advertised_limits::find(std::string_view target) const {
    const auto found = targets_.find(target);
    return found == targets_.end() ? nullptr : &found->second;
}

std::optional<double> advertised_limits::limit_of(std::string_view target) const {
    const target_state* state = find(target);
    return state == nullptr ? std::nullopt : state->per_second;
}

std::optional<advertised_limits::known_limit> advertised_limits::known_limit_of(
    std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr) {
        return std::nullopt;
    }
    return known_limit{state->per_second,
                       state->per_second ? state->advertised_at : state->relaxed_at};
}

std::vector<std::string> advertised_limits::stale_targets(instant now, microseconds age) const {
    std::vector<std::string> found;
    for (const auto& [target, state] : targets_) {
        if (state.per_second && now - state.advertised_at > age) {
            found.push_back(target);
        }
    }
    return found;
}

std::size_t advertised_limits::recent_sends(instant now, std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr) {
        return 0;
    }
    return static_cast<std::size_t>(
        std::count_if(state->sends.begin(), state->sends.end(),
                      [now](instant sent) { return now - sent <= send_window; }));
}

std::size_t advertised_limits::active_count() const {
    return static_cast<std::size_t>(
        std::count_if(targets_.begin(), targets_.end(),
                      [](const auto& each) { return each.second.per_second.has_value(); }));
}

std::string advertised_limits::describe(instant now, std::string_view target) const {
    const target_state* state = find(target);
    if (state == nullptr || !state->per_second) {
        return {};
    }
    return "limit=" + std::to_string(*state->per_second) + "/" +
           millis_text(now - state->advertised_at) +
           "ms,sent=" + std::to_string(recent_sends(now, target)) +
           (state->is_sender ? "" : ",no_turns");
}

}  // namespace wrenswitch
