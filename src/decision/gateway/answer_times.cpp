#include "wrenswitch/decision/gateway/answer_times.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch {
namespace {

/// The weight of one answer in the usual time of a service's answers.
constexpr double answer_weight = 0.02;

/// An answer that takes this many times the usual is slow. Of answers that take 30 ms in the mean
/// and 220 ms at the most, one in some hundreds does.
constexpr double slow_answer = 6.0;

/// No silence below this says anything.
constexpr microseconds least_silence = milliseconds(200);

}  // namespace

void answer_times::observe(const std::string& service, microseconds time) {
    const double took = as_milliseconds(time);
    const auto [known, first] = usual_ms_.try_emplace(service, took);
    if (!first) {
        known->second += answer_weight * (took - known->second);
    }
}

microseconds answer_times::longest_usual(std::string_view service) const {
    const auto known = usual_ms_.find(service);
    const double usual = known == usual_ms_.end() ? 0.0 : known->second;
    constexpr double microseconds_a_millisecond = 1e3;
    const microseconds longest(std::llround(slow_answer * usual * microseconds_a_millisecond));
    return std::max(least_silence, longest);
}

}  // namespace wrenswitch
