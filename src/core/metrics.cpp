#include "wrenswitch/core/metrics.hpp"

// Boost 1.74's quantile header needs <sstream> before it, whatever the alphabet says.
// clang-format off
#include <sstream>
#include <algorithm>
#include <array>
#include <numeric>
#include <utility>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>
// clang-format on

namespace wrenswitch {
namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> kept_probabilities{0.5, 0.95, 0.99};
constexpr std::string_view prefix = "wrenswitch_";

using accumulator = acc::accumulator_set<
    double, acc::stats<acc::tag::count, acc::tag::sum, acc::tag::extended_p_square_quantile>>;

template <typename Map>
auto& entry_of(Map& map, std::string_view name) {
    const auto found = map.find(name);
    if (found != map.end()) {
        return found->second;
    }
    return map[std::string(name)];
}

/// A metric's name without its labels, as the TYPE line needs it.
std::string base_name(const std::string& name) {
    return name.substr(0, name.find('{'));
}

template <typename Map>
void write_values(std::ostringstream& out, const Map& map, std::string_view type) {
    std::string last_base;
    for (const auto& [name, value] : map) {
        const std::string base = base_name(name);
        if (base != last_base) {
            out << "# TYPE " << prefix << base << ' ' << type << '\n';
            last_base = base;
        }
        out << prefix << name << ' ' << value << '\n';
    }
}

/// The labels of a metric with a further one, in braces.
std::string with_label(const std::string& name, const std::string& label) {
    const std::size_t brace = name.find('{');
    if (brace == std::string::npos) {
        return "{" + label + "}";
    }
    return name.substr(brace, name.size() - brace - 1) + "," + label + "}";
}

void write_histogram(std::ostringstream& out, const std::string& name,
                     const histogram_metric& metric) {
    const std::string base = base_name(name);
    const std::string labels = name.substr(base.size());
    const std::size_t bounds = histogram_metric::bounds_ms.size();
    for (std::size_t index = 0; index <= bounds; ++index) {
        std::ostringstream bound;
        if (index < bounds) {
            bound << histogram_metric::bounds_ms[index];
        } else {
            bound << "+Inf";
        }
        out << prefix << base << "_bucket" << with_label(name, "le=\"" + bound.str() + "\"") << ' '
            << metric.count_up_to(index) << '\n';
    }
    out << prefix << base << "_sum" << labels << ' ' << metric.sum_ms() << '\n';
    out << prefix << base << "_count" << labels << ' ' << metric.count_up_to(bounds) << '\n';
}

/// A label's value as the text format wants it.
void write_quoted(std::string& out, std::string_view value) {
    out += '"';
    for (const char letter : value) {
        if (letter == '\n') {
            out += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            out += '\\';
        }
        out += letter;
    }
    out += '"';
}

}  // namespace

std::string labelled(std::string_view name, std::initializer_list<metric_label> labels) {
    std::string text(name);
    char before = '{';
    for (const metric_label& label : labels) {
        text += std::exchange(before, ',');
        text += label.name;
        text += '=';
        write_quoted(text, label.value);
    }
    return before == '{' ? text : text + '}';
}

struct quantile_metric::accumulators {
    accumulator set{acc::extended_p_square_probabilities = kept_probabilities};
};

quantile_metric::quantile_metric() : accumulators_(std::make_unique<accumulators>()) {}
quantile_metric::~quantile_metric() = default;
quantile_metric::quantile_metric(quantile_metric&&) noexcept = default;
quantile_metric& quantile_metric::operator=(quantile_metric&&) noexcept = default;

void quantile_metric::observe(double value) {
    accumulators_->set(value);
}

std::uint64_t quantile_metric::count() const {
    return acc::count(accumulators_->set);
}

double quantile_metric::quantile(double probability) const {
    if (count() == 0) {
        return 0.0;
    }
    return acc::quantile(accumulators_->set, acc::quantile_probability = probability);
}

double quantile_metric::sum() const {
    return acc::sum(accumulators_->set);
}

void histogram_metric::observe(microseconds length) {
    constexpr double microseconds_a_millisecond = 1000.0;
    const double millis = static_cast<double>(length.count()) / microseconds_a_millisecond;
    const auto bucket = std::lower_bound(bounds_ms.begin(), bounds_ms.end(), millis);
    counts_[static_cast<std::size_t>(bucket - bounds_ms.begin())] += 1;
    sum_ms_ += millis;
}

std::uint64_t histogram_metric::count_up_to(std::size_t index) const {
    const auto end = counts_.begin() + static_cast<std::ptrdiff_t>(index) + 1;
    return std::accumulate(counts_.begin(), end, std::uint64_t{0});
}

histogram_metric& metrics::histogram(std::string_view name) {
    return entry_of(histograms_, name);
}

std::uint64_t& metrics::counter(std::string_view name) {
    return entry_of(counters_, name);
}

double& metrics::gauge(std::string_view name) {
    return entry_of(gauges_, name);
}

quantile_metric& metrics::quantiles(std::string_view name) {
    return entry_of(quantiles_, name);
}

std::string metrics::to_prometheus_text() const {
    std::ostringstream out;
    write_values(out, counters_, "counter");
    write_values(out, gauges_, "gauge");
    for (const auto& [name, metric] : quantiles_) {
        out << "# TYPE " << prefix << name << " summary\n";
        for (const double probability : kept_probabilities) {
            out << prefix << name << "{quantile=\"" << probability << "\"} "
                << metric.quantile(probability) << '\n';
        }
        out << prefix << name << "_sum " << metric.sum() << '\n';
        out << prefix << name << "_count " << metric.count() << '\n';
    }
    std::string last_base;
    for (const auto& [name, metric] : histograms_) {
        if (base_name(name) != last_base) {
            last_base = base_name(name);
            out << "# TYPE " << prefix << last_base << " histogram\n";
        }
        write_histogram(out, name, metric);
    }
    return out.str();
}

}  // namespace wrenswitch
