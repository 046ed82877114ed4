#include "wrenswitch/decision/membership/neighbour_table.hpp"

#include <utility>

namespace wrenswitch {
namespace {

/// Far more than a failure domain has; bounds what invented host names can take.
constexpr std::size_t max_hosts = 1024;

/// Reports are used for a second, or three periods, which is below this in domains of `max_hosts`.
constexpr microseconds expiry_time = seconds(120);

}  // namespace

neighbour_table::outcome neighbour_table::record(instant now, neighbour_report report) {
    if (!find_fault(report).empty()) {
        return outcome::refused;
    }
    const auto known = reports_.find(report.host);
    if (known == reports_.end() && reports_.size() >= max_hosts) {
        return outcome::full;
    }
    if (known != reports_.end() && known->second.report.process == report.process &&
        report.number <= known->second.report.number) {
        return outcome::outdated;
    }
    faults_.erase(report.host);
    std::string host = report.host;
    reports_.insert_or_assign(std::move(host), received_report{std::move(report), now});
    return outcome::recorded;
}

bool neighbour_table::note_fault(std::string_view host, std::string_view reason) {
    const auto known = faults_.find(host);
    if (known != faults_.end()) {
        return std::exchange(known->second, std::string(reason)) != reason;
    }
    if (faults_.size() < max_hosts) {
        faults_.emplace(host, reason);
        return true;
    }
    return false;
}

const received_report* neighbour_table::find(std::string_view host) const {
    const auto found = reports_.find(host);
    return found == reports_.end() ? nullptr : &found->second;
}

void neighbour_table::drop_expired(instant now) {
    std::erase_if(reports_,
                  [now](const auto& each) { return now - each.second.received > expiry_time; });
}

}  // namespace wrenswitch
