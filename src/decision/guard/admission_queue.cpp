#include "wrenswitch/decision/guard/admission_queue.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace wrenswitch {
namespace {

/// At this number of accounts all virtual finish times are cleared, so that every account starts at
/// the current virtual time.
constexpr std::size_t max_accounts = 4096;

/// The weight of the latest interval in the average.
constexpr double interval_sample_weight = 0.05;

}  // namespace

refusal_reason admission_queue::push(queued_request request,
                                     std::optional<queued_request>& evicted) {
    evicted.reset();
    if (expected_wait(request.priority) > settings_.max_wait) {
        return refusal_reason::queue_full;
    }
    if (waiting_.size() < settings_.max_queued) {
        waiting_.push_back(std::move(request));
        return refusal_reason::none;
    }
    const auto least_urgent =
        std::max_element(waiting_.begin(), waiting_.end(),
                         [](const queued_request& left, const queued_request& right) {
                             if (left.priority != right.priority) {
                                 return left.priority < right.priority;
                             }
                             return left.arrived_at < right.arrived_at;
                         });
    if (least_urgent == waiting_.end() || least_urgent->priority <= request.priority) {
        return refusal_reason::queue_full;
    }
    evicted = std::exchange(*least_urgent, std::move(request));
    return refusal_reason::none;
}

std::optional<queued_request> admission_queue::pop(instant now) {
    if (waiting_.empty()) {
        return std::nullopt;
    }
    const auto start_tag_of = [this](const queued_request& request) {
        const auto found = virtual_finish_.find(request.client_account);
        return found == virtual_finish_.end() ? virtual_time_
                                              : std::max(found->second, virtual_time_);
    };
    const auto next =
        std::min_element(waiting_.begin(), waiting_.end(),
                         [&](const queued_request& left, const queued_request& right) {
                             const std::uint32_t left_priority = aged_priority(left, now);
                             const std::uint32_t right_priority = aged_priority(right, now);
                             if (left_priority != right_priority) {
                                 return left_priority < right_priority;
                             }
                             const double left_start = start_tag_of(left);
                             const double right_start = start_tag_of(right);
                             if (left_start != right_start) {
                                 return left_start < right_start;
                             }
                             return left.arrived_at < right.arrived_at;
                         });
    queued_request chosen = std::move(*next);
    waiting_.erase(next);
    update_pop_interval(now);
    // An account that was idle starts at the current virtual time rather than at its last finish
    // time, so that it gains no credit by idling.
    virtual_time_ = start_tag_of(chosen);
    if (virtual_finish_.size() >= max_accounts) {
        virtual_finish_.clear();
    }
    virtual_finish_[chosen.client_account] =
        virtual_time_ + static_cast<double>(chosen.token_bound);
    return chosen;
}

microseconds admission_queue::expected_wait(std::uint32_t priority) const {
    const auto ahead =
        std::count_if(waiting_.begin(), waiting_.end(),
                      [priority](const queued_request& item) { return item.priority <= priority; });
    return microseconds(static_cast<std::int64_t>(static_cast<double>(ahead) * pop_interval_us_));
}

/// Only intervals during which other requests waited reflect the speed of the target.
void admission_queue::update_pop_interval(instant now) {
    if (queued_at_last_pop_) {
        const auto interval = static_cast<double>((now - last_pop_).count());
        pop_interval_us_ =
            pop_interval_us_ == 0.0
                ? interval
                : pop_interval_us_ + interval_sample_weight * (interval - pop_interval_us_);
    }
    last_pop_ = now;
    queued_at_last_pop_ = !waiting_.empty();
}

bool admission_queue::remove(attempt_id attempt) {
    const auto erased = std::erase_if(
        waiting_, [attempt](const queued_request& item) { return item.attempt == attempt; });
    return erased > 0;
}

std::vector<queued_request> admission_queue::remove_unmeetable(instant now,
                                                               microseconds min_duration) {
    std::vector<queued_request> unmeetable;
    const auto is_unmeetable = [&](const queued_request& item) {
        return now + min_duration > item.deadline;
    };
    std::copy_if(waiting_.begin(), waiting_.end(), std::back_inserter(unmeetable), is_unmeetable);
    std::erase_if(waiting_, is_unmeetable);
    return unmeetable;
}

std::vector<queued_request> admission_queue::remove_all() {
    return std::exchange(waiting_, {});
}

std::uint32_t admission_queue::aged_priority(const queued_request& request, instant now) const {
    const auto steps = static_cast<std::uint32_t>(
        std::max<std::int64_t>((now - request.arrived_at) / settings_.aging_interval, 0));
    return request.priority > steps ? request.priority - steps : 0;
}

}  // namespace wrenswitch
