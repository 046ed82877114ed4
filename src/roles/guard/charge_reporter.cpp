#include "roles/guard/charge_reporter.hpp"

#include <bus.pb.h>

#include <map>
#include <utility>

#include "wrenswitch/drivers/ledger_codec.hpp"

namespace wrenswitch {
namespace {

/// How long an acknowledgement may take before the charge is reported again.
constexpr microseconds resend_after = seconds(5);
constexpr std::size_t max_charges_per_report = 500;

}  // namespace

charge_reporter::charge_reporter(message_bus& bus, const control_state& control,
                                 charge_tracker& charges, random_source& random,
                                 const incarnation_id& incarnation, std::string failure_domain)
    : bus_(bus),
      control_(control),
      charges_(charges),
      random_(random),
      incarnation_(incarnation),
      failure_domain_(std::move(failure_domain)) {}

void charge_reporter::record_holder(const ticket& accepted) {
    holder_endpoints_[accepted.id] = accepted.holder_endpoint;
}

void charge_reporter::send_due_reports(instant now) {
    std::map<std::string, wire::Envelope> by_endpoint;
    for (const charge& item :
         charges_.take_due_reports(now, resend_after, max_charges_per_report)) {
        wire::ChargeReport& report = *by_endpoint[report_endpoint(item)].mutable_charge_report();
        encode_charge(item, incarnation_id{}, *report.add_charges());
    }
    for (auto& [endpoint, message] : by_endpoint) {
        if (endpoint.empty()) {
            continue;
        }
        message.set_sender(raw(incarnation_));
        bus_.send(endpoint, message);
    }
}

void charge_reporter::send_fence_acks() {
    if (incarnation_ == incarnation_id{}) {
        return;
    }
    for (const auto& [fenced, fence] : control_.fences()) {
        const std::string endpoint =
            fence.pending_acks.count(incarnation_) == 0 ? "" : random_entry_endpoint();
        if (endpoint.empty()) {
            continue;
        }
        wire::Envelope message;
        message.set_sender(raw(incarnation_));
        wire::MarkReport& report = *message.mutable_mark_report();
        report.set_marker(raw(incarnation_));
        report.set_fenced(raw(fenced));
        for (const charge& item : charges_.charges_of_holder(fenced)) {
            encode_charge(item, incarnation_id{}, *report.add_charges());
        }
        bus_.send(endpoint, message);
    }
}

std::string charge_reporter::report_endpoint(const charge& unreported) const {
    const auto known = holder_endpoints_.find(unreported.ticket);
    if (control_.is_active(unreported.holder) && known != holder_endpoints_.end()) {
        return known->second;
    }
    // The holder is inactive; any entry can write the charge to the ledger.
    return random_entry_endpoint();
}

std::string charge_reporter::random_entry_endpoint() const {
    std::vector<const member*> local;
    std::vector<const member*> all;
    for (const auto& [id, other] : control_.members()) {
        const bool is_active_entry = other.active() && other.info.role == member_role::entry;
        if (!is_active_entry) {
            continue;
        }
        all.push_back(&other);
        if (other.info.failure_domain == failure_domain_) {
            local.push_back(&other);
        }
    }
    const std::vector<const member*>& candidates = local.empty() ? all : local;
    if (candidates.empty()) {
        return {};
    }
    // Chosen at random on each call, so that an unresponsive entry is not retried forever.
    return candidates[random_.below(candidates.size())]->info.endpoint;
}

}  // namespace wrenswitch
