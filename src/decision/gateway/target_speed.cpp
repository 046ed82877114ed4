#include "wrenswitch/decision/gateway/target_speed.hpp"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace wrenswitch {
namespace {

/// The number of responses that the average service time covers: 40 responses with exponential
/// times give it within 16 %, while targets differ by a factor of two.
constexpr double max_samples = 40.0;

/// The weight of the assumed service time, in responses: fewer say little.
constexpr double assumed_weight = 4.0;

/// How long it takes without a response until a learnt service time has lost half of its weight, so
/// that a target that is avoided because of it is tried again within minutes.
constexpr microseconds sample_half_life = seconds(30);

/// A sample counts as at most this many times the average, so that one response that was delayed
/// elsewhere has little effect.
constexpr double max_sample_factor = 4.0;

/// The samples that are needed before their average limits further ones.
constexpr double min_limiting_samples = 5.0;

/// Half-life of what a report says beyond the average: a target's queue changes within a few
/// service times, which are tens of milliseconds.
constexpr microseconds count_half_life = milliseconds(100);

/// The weight of one report in the average number of requests.
constexpr double report_weight = 0.1;

/// Half-life of the average number of requests without reports, so that a target that is avoided
/// because it was full is tried again.
constexpr microseconds average_half_life = seconds(5);

double decay(microseconds age, microseconds half_life) {
    return std::exp2(-as_seconds(age) / as_seconds(half_life));
}

/// The expected positive part of a normally distributed number.
double expected_positive_part(double mean, double deviation) {
    if (deviation <= 0.0) {
        return std::max(0.0, mean);
    }
    const double ratio = mean / deviation;
    const double density =
        std::exp(-0.5 * ratio * ratio) * std::numbers::inv_sqrtpi / std::numbers::sqrt2;
    const double probability = 0.5 * std::erfc(-ratio / std::numbers::sqrt2);
    return std::max(0.0, mean * probability + deviation * density);
}

}  // namespace

void target_speed::record_load(instant now, const load_report& load) {
    const double requests = static_cast<double>(load.running) + static_cast<double>(load.queued);
    const double before = reported_at_ == instant{} ? requests : decayed_average(now);
    average_requests_ = before + report_weight * (requests - before);
    reported_requests_ = requests;
    reported_at_ = now;
    sent_since_report_ = 0;
    if (load.slowdown) {
        slowdown_.record(now, *load.slowdown);
    }
}

void target_speed::record_response(instant now, microseconds time, const load_report& load) {
    const bool has_queued = load.queued > 0 || load.running >= std::max(1U, load.limit);
    if (has_queued || time <= microseconds(0) || (!load.slowdown && slowdown_.is_known())) {
        return;
    }
    double sample_ms = as_milliseconds(time) / load.slowdown.value_or(1.0);
    const double weight = sample_weight(now);
    if (weight >= min_limiting_samples) {
        sample_ms = std::min(sample_ms, max_sample_factor * average_ms_);
    }
    samples_ = std::min(weight + 1.0, max_samples);
    average_ms_ += (sample_ms - average_ms_) / samples_;
    sampled_at_ = now;
}

double target_speed::sample_weight(instant now) const {
    return samples_ * decay(now - sampled_at_, sample_half_life);
}

double target_speed::service_ms(instant now, double assumed_ms) const {
    const double weight = sample_weight(now);
    return (weight * average_ms_ + assumed_weight * assumed_ms) / (weight + assumed_weight);
}

double target_speed::decayed_average(instant now) const {
    return average_requests_ * decay(now - reported_at_, average_half_life);
}

/// Other gateways send to the target as well, so the number of requests there moves from the
/// reported one to the average, and varies about it as independent arrivals do.
double target_speed::expected_excess(instant now, unsigned in_flight, unsigned slots) const {
    const double own = in_flight;
    const double recent =
        reported_at_ == instant{} ? 0.0 : decay(now - reported_at_, count_half_life);
    const double average = reported_at_ == instant{} ? 0.0 : decayed_average(now);
    const double sent = std::min(sent_since_report_, in_flight);
    const double requests = std::max(own, average + recent * (reported_requests_ - average) + sent);
    const double deviation = std::sqrt(requests * (1.0 - recent * recent));
    return expected_positive_part(requests + 1.0 - static_cast<double>(slots), deviation);
}

/// Each request in excess counts as a whole service time, although the target serves several at
/// once: a queued request delays those behind it as well. Counting only its own wait (a sixth of a
/// service time with six slots) raised the mean response time by a tenth to a third in the load
/// test, because queues grew at the fast targets while the slow one was idle.
double target_speed::expected_ms(instant now, double assumed_ms, unsigned in_flight,
                                 unsigned slots) const {
    return service_ms(now, assumed_ms) * slowdown(now) *
           (1.0 + expected_excess(now, in_flight, slots));
}

}  // namespace wrenswitch
