#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// What one of several figures with the same name is about.
struct metric_label {
    std::string_view name;
    std::string_view value;
};

/// The name of a figure that has labels, as `requests{outcome="served"}`. Values may hold anything.
std::string labelled(std::string_view name, std::initializer_list<metric_label> labels);

/// Estimates quantiles of a quantity as it is observed, in constant memory.
class quantile_metric {
public:
    quantile_metric();
    ~quantile_metric();
    quantile_metric(quantile_metric&&) noexcept;
    quantile_metric& operator=(quantile_metric&&) noexcept;

    /// Adds one observation.
    void observe(double value);

    /// The number of observations.
    std::uint64_t count() const;

    /// The estimated quantile: 0.5, 0.95 and 0.99 are kept. Zero before the first observation.
    double quantile(double probability) const;

    /// The sum of all observations.
    double sum() const;

private:
    struct accumulators;
    std::unique_ptr<accumulators> accumulators_;
};

/// Counts lengths of time in buckets that are the same everywhere, so that the histograms of many
/// processes can be added.
class histogram_metric {
public:
    /// The upper bounds of all buckets but the last, in milliseconds.
    static constexpr std::array<double, 14> bounds_ms{1,   2,   5,    10,   20,   50,    100,
                                                      200, 500, 1000, 2000, 5000, 10000, 30000};

    /// Adds one observation.
    void observe(microseconds length);

    /// The number of observations up to a bound, or of all for the index behind the last.
    std::uint64_t count_up_to(std::size_t index) const;

    double sum_ms() const { return sum_ms_; }

private:
    std::array<std::uint64_t, bounds_ms.size() + 1> counts_{};
    double sum_ms_ = 0.0;
};

/// The counters, gauges, histograms and quantiles of one process, served in Prometheus' text
/// format.
class metrics {
public:
    /// The counter with this name, made on first use. The reference stays valid.
    std::uint64_t& counter(std::string_view name);

    /// The gauge with this name, made on first use. The reference stays valid.
    double& gauge(std::string_view name);

    /// The quantile metric with this name, made on first use. The reference stays valid.
    quantile_metric& quantiles(std::string_view name);

    /// The histogram with this name, made on first use. The reference stays valid.
    histogram_metric& histogram(std::string_view name);

    /// All of them, as Prometheus reads them. Each name gets the prefix "wrenswitch_".
    std::string to_prometheus_text() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, quantile_metric, std::less<>> quantiles_;
    std::map<std::string, histogram_metric, std::less<>> histograms_;
};

}  // namespace wrenswitch
