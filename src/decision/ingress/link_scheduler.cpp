#include "wrenswitch/decision/ingress/link_scheduler.hpp"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <tuple>
#include <utility>

namespace wrenswitch {
namespace {

/// The share of the bandwidth that accounts and other traffic use together. At a higher share the
/// queue of bodies of 9,200 bytes delays messages between hosts beyond 20 ms, their timeout.
constexpr double usable_share = 0.85;

/// The share that accounts keep whatever else uses the link, and below which nothing is held.
constexpr double min_share = 0.5;

/// Above this share the link counts as saturated; packet headers are not counted in it.
constexpr double saturated_share = 0.82;

/// How far an account may be ahead of its share, in time of the whole link. An account below its
/// share then sends several bodies at once without a wait. An account that has requests waiting is
/// above its share, and a shorter time keeps the link's own queue short.
constexpr microseconds burst_time = milliseconds(100);
constexpr microseconds queued_burst_time = milliseconds(10);

/// The time constant of the measured use. Within this time a burst passes unchecked at half of the
/// bandwidth: 62 KB on a link of 10 Mbit/s, which delay others by 50 ms once.
constexpr double use_time_constant = 0.1;

/// How often waiting requests are started because the link has room, each time as many as fill it
/// to half. All at once they would be a burst of up to the bytes of half an objective.
constexpr microseconds room_sample_period = milliseconds(5);

/// The time constant of the bytes reserved for other traffic, which comes in pages of logs and
/// batches of messages several times a second.
constexpr double reserve_time_constant = 1.0;

/// After a longer pause between samples the elapsed time says nothing about the present load.
constexpr microseconds max_sample_interval = seconds(1);

/// Bounds of the time that a refused caller is told. Promises to several refused requests are
/// spread over at most half a second, because not all callers come back.
constexpr microseconds min_retry_after = milliseconds(10);
constexpr microseconds max_promised_time = milliseconds(500);

/// Bounds memory and the time to plan a queue.
constexpr std::size_t max_waiting_per_account = 512;
constexpr std::size_t max_accounts = 256;

}  // namespace

void link_rate::observe(instant now, link_bytes total) {
    // Bytes that are assigned to another kind of traffic later make a total smaller.
    total.received = std::max(total.received, total_.received);
    total.sent = std::max(total.sent, total_.sent);
    const microseconds elapsed = now - measured_at_;
    const bool is_first = measured_at_ == instant{};
    if (!is_first && elapsed <= microseconds(0)) {
        return;
    }
    if (!is_first && elapsed < max_sample_interval) {
        const double decay = std::exp(-as_seconds(elapsed) / time_constant_);
        const double gain = (1.0 - decay) / as_seconds(elapsed);
        received_ =
            received_ * decay + gain * static_cast<double>(total.received - total_.received);
        sent_ = sent_ * decay + gain * static_cast<double>(total.sent - total_.sent);
    } else {
        received_ = 0.0;
        sent_ = 0.0;
    }
    measured_at_ = now;
    total_ = total;
}

link_scheduler::link_scheduler(double bytes_per_second)
    : bandwidth_(bytes_per_second),
      callers_(use_time_constant),
      others_(use_time_constant),
      reserved_(reserve_time_constant) {}

void link_scheduler::observe(instant now, link_bytes callers, link_bytes others) {
    callers_.observe(now, callers);
    others_.observe(now, others);
    reserved_.observe(now, others);
    if (now - room_measured_at_ >= room_sample_period) {
        room_measured_at_ = now;
        room_bytes_ = (min_share - utilization()) * bandwidth_ * use_time_constant;
    }
}

double link_scheduler::capacity() const {
    return std::max(min_share * bandwidth_,
                    usable_share * bandwidth_ - std::max(reserved_.received(), reserved_.sent()));
}

double link_scheduler::utilization() const {
    if (bandwidth_ <= 0.0) {
        return 0.0;
    }
    return std::max(callers_.received() + others_.received(), callers_.sent() + others_.sent()) /
           bandwidth_;
}

bool link_scheduler::has_room() const {
    return utilization() < min_share;
}

bool link_scheduler::is_saturated() const {
    return utilization() >= saturated_share;
}

std::size_t link_scheduler::active_accounts() const {
    const auto count = std::count_if(accounts_.begin(), accounts_.end(), [this](const auto& each) {
        return !each.second.waiting.empty() || each.second.finish.back() > virtual_time_;
    });
    return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

double link_scheduler::account_rate() const {
    return capacity() / static_cast<double>(active_accounts());
}

double link_scheduler::burst_bytes() const {
    return bandwidth_ * as_seconds(burst_time);
}

double link_scheduler::queued_burst_bytes() const {
    return bandwidth_ * as_seconds(queued_burst_time);
}

/// Advances the virtual time in steps, each up to the moment at which an account has used up what
/// it was allotted and leaves its share to the others.
void link_scheduler::advance(instant now) {
    double left = std::max(0.0, as_seconds(now - advanced_));
    advanced_ = std::max(advanced_, now);
    link_backlog_ = std::max(0.0, link_backlog_ - capacity() * left);
    while (left > 0.0) {
        double next_finish = 0.0;
        for (const auto& [name, queue] : accounts_) {
            const double finish = queue.finish.back();
            if (queue.waiting.empty() && finish > virtual_time_ &&
                (next_finish == 0.0 || finish < next_finish)) {
                next_finish = finish;
            }
        }
        const double rate = account_rate();
        const double reached = virtual_time_ + rate * left;
        if (next_finish == 0.0 || reached <= next_finish) {
            virtual_time_ = reached;
            break;
        }
        left -= (next_finish - virtual_time_) / rate;
        virtual_time_ = next_finish;
    }
    std::erase_if(accounts_, [this](const auto& each) {
        const account_queue& queue = each.second;
        return queue.waiting.empty() && queue.finish.back() <= virtual_time_ &&
               queue.promised <= virtual_time_;
    });
}

/// Charges a request to the tags of its priority and of all less urgent ones. A tag that lies
/// behind `floor` counts as there, so that unused shares don't pile up.
void link_scheduler::charge(tags& finish, std::size_t priority, double bytes, double floor) {
    for (std::size_t level = priority; level < finish.size(); ++level) {
        finish[level] = std::max(finish[level], floor) + bytes;
    }
}

microseconds link_scheduler::time_until(double virtual_time) const {
    return from_seconds(std::max(0.0, virtual_time - virtual_time_) / account_rate());
}

/// The time after which a refused request finds its share free. Each promise is added to the
/// earlier ones, so that the callers don't all come back for the same share.
microseconds link_scheduler::promise(account_queue& queue, const tags& planned,
                                     const waiting_request& request) const {
    const double free_at = planned[request.priority] - queued_burst_bytes();
    const double latest = free_at + account_rate() * as_seconds(max_promised_time);
    const double told = std::min(latest, std::max(free_at, queue.promised));
    queue.promised = std::max(told, virtual_time_) + request.bytes;
    return std::max(min_retry_after, time_until(told));
}

link_decision link_scheduler::submit(instant now, const link_request& request) {
    if (bandwidth_ <= 0.0) {
        return {};
    }
    advance(now);
    const std::size_t priority = std::min<std::size_t>(request.priority, priority_count - 1);
    auto found = accounts_.find(request.account);
    if (found == accounts_.end()) {
        if (accounts_.size() >= max_accounts) {
            return {};
        }
        found = accounts_.emplace(request.account, account_queue{}).first;
    }
    account_queue& queue = found->second;
    if (has_room() && queue.waiting.empty()) {
        // What was started while there was room isn't held against the account.
        charge(queue.finish, priority, request.bytes, virtual_time_);
        const double most = virtual_time_ + burst_bytes();
        for (double& tag : queue.finish) {
            tag = std::min(tag, most);
        }
        return {};
    }
    const waiting_request added{++last_ticket_, priority, request.bytes, now,
                                now + request.longest_wait};
    const auto order = [](const waiting_request& each) {
        return std::tuple(each.priority, each.bytes, each.ticket);
    };
    queue.waiting.insert(
        std::upper_bound(queue.waiting.begin(), queue.waiting.end(), added,
                         [&order](const waiting_request& left, const waiting_request& right) {
                             return order(left) < order(right);
                         }),
        added);
    start_due(now, queue, added.ticket);
    refuse_overdue(now, queue);
    const auto own =
        std::find_if(resolved_.begin(), resolved_.end(),
                     [&added](const link_resolution& each) { return each.ticket == added.ticket; });
    if (own == resolved_.end()) {
        const microseconds wait = time_until(queue.finish[priority] - queued_burst_bytes());
        return {link_action::wait, added.ticket, wait};
    }
    const link_resolution resolution = *own;
    resolved_.erase(own);
    return resolution.proceeds
               ? link_decision{link_action::proceed, added.ticket, microseconds(0)}
               : link_decision{link_action::refuse, added.ticket, resolution.retry_after};
}

/// Starts waiting requests in their order as long as the tag of their priority allows it. If it
/// doesn't for one, it doesn't for those behind, whose tags are not lower.
///
/// A new request that no other of its priority waits beside is within its account's share and may
/// use the whole burst. Others also wait until the link has sent what was started before, since the
/// accounts that are below their shares go first, but not once their account lags behind its share.
void link_scheduler::start_due(instant now, account_queue& queue, std::uint64_t new_ticket) {
    const double lag_limit = virtual_time_ - burst_bytes();
    auto next = queue.waiting.begin();
    for (; next != queue.waiting.end(); ++next) {
        const auto behind = std::next(next);
        const bool is_alone = next->ticket == new_ticket &&
                              (behind == queue.waiting.end() || behind->priority > next->priority);
        const double tag = queue.finish[next->priority];
        const double burst = link_backlog_ <= burst_bytes() ? burst_bytes() : 0.0;
        const bool is_due =
            is_alone ? tag <= virtual_time_ + burst
                     : tag <= lag_limit || (tag <= virtual_time_ + queued_burst_bytes() &&
                                            link_backlog_ <= queued_burst_bytes());
        if (!is_due && room_bytes_ <= 0.0) {
            break;
        }
        room_bytes_ -= next->bytes;
        link_backlog_ += next->bytes;
        charge(queue.finish, next->priority, next->bytes, is_alone ? virtual_time_ : lag_limit);
        resolved_.push_back({next->ticket, true, now - next->arrived, {}});
    }
    queue.waiting.erase(queue.waiting.begin(), next);
}

/// Refuses the waiting requests that can't start in time at their place in the order.
void link_scheduler::refuse_overdue(instant now, account_queue& queue) {
    tags planned = queue.finish;
    std::vector<waiting_request> kept;
    std::vector<waiting_request> refused;
    kept.reserve(queue.waiting.size());
    for (const waiting_request& each : queue.waiting) {
        const instant start = now + time_until(planned[each.priority] - queued_burst_bytes());
        if (start > each.deadline || kept.size() >= max_waiting_per_account) {
            refused.push_back(each);
            continue;
        }
        charge(planned, each.priority, each.bytes, virtual_time_);
        kept.push_back(each);
    }
    for (const waiting_request& each : refused) {
        const microseconds retry_after = promise(queue, planned, each);
        resolved_.push_back({each.ticket, false, now - each.arrived, retry_after});
    }
    queue.waiting = std::move(kept);
}

std::vector<link_resolution> link_scheduler::resolve(instant now) {
    advance(now);
    for (auto& [name, queue] : accounts_) {
        start_due(now, queue, 0);
        refuse_overdue(now, queue);
    }
    return std::exchange(resolved_, {});
}

void link_scheduler::cancel(std::uint64_t ticket) {
    for (auto& [name, queue] : accounts_) {
        std::erase_if(queue.waiting,
                      [ticket](const waiting_request& each) { return each.ticket == ticket; });
    }
    std::erase_if(resolved_,
                  [ticket](const link_resolution& each) { return each.ticket == ticket; });
}

std::optional<microseconds> link_scheduler::next_start(instant now) const {
    if (!resolved_.empty()) {
        return microseconds(0);
    }
    std::optional<microseconds> next;
    const microseconds since = now - advanced_;
    for (const auto& [name, queue] : accounts_) {
        if (queue.waiting.empty()) {
            continue;
        }
        const double tag = queue.finish[queue.waiting.front().priority];
        const microseconds share_wait = time_until(tag - queued_burst_bytes());
        const microseconds link_wait =
            from_seconds((link_backlog_ - queued_burst_bytes()) / capacity());
        const microseconds wait =
            std::max(microseconds(0), std::max(share_wait, link_wait) - since);
        next = next ? std::min(*next, wait) : wait;
    }
    return next;
}

microseconds link_scheduler::free_after(instant now, std::string_view account, unsigned priority) {
    advance(now);
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return min_retry_after;
    }
    tags planned = found->second.finish;
    for (const waiting_request& each : found->second.waiting) {
        charge(planned, each.priority, each.bytes, virtual_time_);
    }
    const std::size_t level = std::min<std::size_t>(priority, priority_count - 1);
    return std::max(min_retry_after, time_until(planned[level] - queued_burst_bytes()));
}

link_account_state link_scheduler::state_of(std::string_view account) const {
    link_account_state state;
    state.share = account_rate();
    const auto found = accounts_.find(account);
    if (found == accounts_.end()) {
        return state;
    }
    const account_queue& queue = found->second;
    state.backlog_bytes = std::max(0.0, queue.finish.back() - virtual_time_);
    for (const waiting_request& each : queue.waiting) {
        state.backlog_bytes += each.bytes;
    }
    state.waiting = queue.waiting.size();
    return state;
}

std::size_t link_scheduler::waiting() const {
    std::size_t count = 0;
    for (const auto& [name, queue] : accounts_) {
        count += queue.waiting.size();
    }
    return count;
}

}  // namespace wrenswitch
