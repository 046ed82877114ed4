#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <vector>

namespace wrenswitch::experiment {

/// All observations of a quantity, for exact quantiles after a run.
class latency_summary {
public:
    void add(double value) { values_.push_back(value); }
    std::size_t count() const { return values_.size(); }

    /// The exact quantile, by the nearest rank. Zero if nothing was observed.
    double quantile(double probability) const;

    /// Count, p50, p95, p99 and the largest value.
    nlohmann::json to_json() const;

private:
    std::vector<double> values_;
};

}  // namespace wrenswitch::experiment
