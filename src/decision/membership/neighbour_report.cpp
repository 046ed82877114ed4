#include "wrenswitch/decision/membership/neighbour_report.hpp"

#include <algorithm>
#include <cmath>
#include <span>

namespace wrenswitch {
namespace {

/// 400 Gbit/s, which no host's link carries.
constexpr double max_bytes_per_second = 5e10;

constexpr std::size_t max_name_length = 256;
constexpr std::uint64_t max_connections = 10'000'000;

bool is_rate(double value) {
    return std::isfinite(value) && value >= 0.0 && value <= max_bytes_per_second;
}

bool is_name(std::string_view name) {
    return !name.empty() && name.size() <= max_name_length;
}

bool are_valid(std::span<const account_demand> accounts) {
    return accounts.size() <= neighbour_report::max_accounts &&
           std::all_of(accounts.begin(), accounts.end(), [](const account_demand& each) {
               return is_name(each.account) && is_rate(each.bytes_per_second);
           });
}

}  // namespace

std::string_view name_of(entry_state state) {
    switch (state) {
        case entry_state::unknown:
            return "unknown";
        case entry_state::accepting:
            return "accepting";
        case entry_state::announced:
            return "announced";
        case entry_state::stepped_back:
            return "stepped_back";
        case entry_state::closed:
            return "closed";
    }
    return "unknown";
}

double neighbour_report::carried() const {
    return std::max(received_per_second, sent_per_second);
}

double neighbour_report::rate_of(std::string_view account) const {
    const auto found = std::find_if(accounts.begin(), accounts.end(),
                                    [&](const auto& each) { return each.account == account; });
    return found == accounts.end() ? 0.0 : found->bytes_per_second;
}

std::string_view find_fault(const neighbour_report& report) {
    if (report.version != neighbour_report::current_version) {
        return "version";
    }
    if (!is_name(report.host)) {
        return "host";
    }
    if (report.state < entry_state::accepting || report.state > entry_state::closed) {
        return "state";
    }
    if (!is_rate(report.bandwidth) || (report.bandwidth == 0.0 && !report.accounts.empty())) {
        return "bandwidth";
    }
    if (!is_rate(report.received_per_second) || !is_rate(report.sent_per_second)) {
        return "traffic";
    }
    if (report.connections > max_connections) {
        return "connections";
    }
    if (!are_valid(report.accounts)) {
        return "accounts";
    }
    const bool has_step_back =
        report.state == entry_state::announced || report.state == entry_state::stepped_back;
    if (!are_valid(report.step_back) || report.step_back.empty() == has_step_back) {
        return "step_back";
    }
    return {};
}

}  // namespace wrenswitch
