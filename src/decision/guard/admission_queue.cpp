#include "wrenswitch/decision/guard/admission_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenswitch {
namespace {

/// Accounts beyond this number are forgotten and start again at the floor.
constexpr std::size_t most_accounts = 4096;

/// How much the latest interval counts in the average.
constexpr double interval_weight = 0.05;

}  // namespace

refusal_reason admission_queue::push(queued_request request,
                                     std::optional<queued_request>& displaced) {
    displaced.reset();
    if (expected_wait(request.priority) > settings_.most_wait) {
        return refusal_reason::queue_full;
    }
    if (waiting_.size() < settings_.most_queued) {
        waiting_.push_back(std::move(request));
        return refusal_reason::none;
    }
    const auto least_urgent =
        std::max_element(waiting_.begin(), waiting_.end(),
                         [](const queued_request& left, const queued_request& right) {
                             if (left.priority != right.priority) {
                                 return left.priority < right.priority;
                             }
                             return left.arrived < right.arrived;
                         });
    if (least_urgent == waiting_.end() || least_urgent->priority <= request.priority) {
        return refusal_reason::queue_full;
    }
    displaced = std::exchange(*least_urgent, std::move(request));
    return refusal_reason::none;
}

std::optional<queued_request> admission_queue::pop(instant now) {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto served_of = [this](const queued_request& request) {
        const auto found = served_.find(request.client_account);
        return found == served_.end() ? served_floor_ : std::max(found->second, served_floor_);
    };
    const auto next =
        std::min_element(waiting_.begin(), waiting_.end(),
                         [&](const queued_request& left, const queued_request& right) {
                             const std::uint32_t left_class = class_of(left, now);
                             const std::uint32_t right_class = class_of(right, now);
                             if (left_class != right_class) {
                                 return left_class < right_class;
                             }
                             const double left_served = served_of(left);
                             const double right_served = served_of(right);
                             if (left_served != right_served) {
                                 return left_served < right_served;
                             }
                             return left.arrived < right.arrived;
                         });
    queued_request chosen = std::move(*next);
    waiting_.erase(next);
    note_pop(now);
    // An account that was idle starts at the level of the one served now, not at its old one, so
    // that idleness saves up no credit.
    served_floor_ = served_of(chosen);
    if (served_.size() >= most_accounts) {
        served_.clear();
    }
    served_[chosen.client_account] = served_floor_ + static_cast<double>(chosen.bound);
    return chosen;
}

microseconds admission_queue::expected_wait(std::uint32_t priority) const {
    const auto ahead =
        std::count_if(waiting_.begin(), waiting_.end(),
                      [priority](const queued_request& item) { return item.priority <= priority; });
    return microseconds(static_cast<std::int64_t>(static_cast<double>(ahead) * pop_interval_us_));
}

/// Only intervals in which somebody waited tell the pace of the target.
void admission_queue::note_pop(instant now) {
    if (waited_at_last_pop_) {
        const auto interval = static_cast<double>((now - last_pop_).count());
        pop_interval_us_ = pop_interval_us_ == 0.0
                               ? interval
                               : pop_interval_us_ + interval_weight * (interval - pop_interval_us_);
    }
    last_pop_ = now;
    waited_at_last_pop_ = !waiting_.empty();
}

bool admission_queue::remove(attempt_id attempt) {
    const auto erased = std::erase_if(
        waiting_, [attempt](const queued_request& item) { return item.attempt == attempt; });
    return erased > 0;
}

std::vector<queued_request> admission_queue::take_hopeless(instant now,
                                                           microseconds least_duration) {
    std::vector<queued_request> hopeless;
    const auto late = [&](const queued_request& item) {
        return now + least_duration > item.deadline;
    };
    std::copy_if(waiting_.begin(), waiting_.end(), std::back_inserter(hopeless), late);
    std::erase_if(waiting_, late);
    return hopeless;
}

std::vector<queued_request> admission_queue::take_all() {
    return std::exchange(waiting_, {});
}

std::uint32_t admission_queue::class_of(const queued_request& request, instant now) const {
    const auto steps = static_cast<std::uint32_t>(
        std::max<std::int64_t>((now - request.arrived) / settings_.ageing_step, 0));
    return request.priority > steps ? request.priority - steps : 0;
}

}  // namespace wrenswitch
