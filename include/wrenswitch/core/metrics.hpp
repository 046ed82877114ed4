#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace wrenswitch {

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

/// The counters, gauges and quantiles of one process, served in Prometheus' text format.
class metrics {
public:
    /// The counter with this name, made on first use. The reference stays valid.
    std::uint64_t& counter(std::string_view name);

    /// The gauge with this name, made on first use. The reference stays valid.
    double& gauge(std::string_view name);

    /// The quantile metric with this name, made on first use. The reference stays valid.
    quantile_metric& quantiles(std::string_view name);

    /// All of them, as Prometheus reads them. Each name gets the prefix "wrenswitch_".
    std::string to_prometheus_text() const;

private:
    std::map<std::string, std::uint64_t, std::less<>> counters_;
    std::map<std::string, double, std::less<>> gauges_;
    std::map<std::string, quantile_metric, std::less<>> quantiles_;
};

}  // namespace wrenswitch
