#include "experiment/latency_summary.hpp"

#include <algorithm>
#include <cmath>

namespace wrenswitch::experiment {

double latency_summary::quantile(double probability) const {
    if (values_.empty()) {
        return 0.0;
    }
    std::vector<double> sorted = values_;
    const auto rank =
        static_cast<std::size_t>(std::ceil(probability * static_cast<double>(sorted.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, sorted.size()) - 1;
    const auto place = sorted.begin() + static_cast<std::ptrdiff_t>(index);
    std::nth_element(sorted.begin(), place, sorted.end());
    return *place;
}

nlohmann::json latency_summary::to_json() const {
    return {{"count", count()},
            {"p50", quantile(0.5)},
            {"p95", quantile(0.95)},
            {"p99", quantile(0.99)},
            {"max", quantile(1.0)}};
}

}  // namespace wrenswitch::experiment
