#include "roles/guard/charge_reporter.hpp"

#include <bus.pb.h>

#include <map>
#include <utility>

#include "wrenswitch/drivers/ledger_codec.hpp"

namespace wrenswitch {
namespace {

/// How long a guard waits for the acknowledgement of a charge before it reports it again.
constexpr microseconds resend_after = seconds(5);
constexpr std::size_t charges_a_report = 500;

}  // namespace

charge_reporter::charge_reporter(message_bus& bus, const control_state& control,
                                 charge_tracker& book, random_source& random,
                                 const incarnation_id& own, std::string failure_domain)
    : bus_(bus),
      control_(control),
      book_(book),
      random_(random),
      own_(own),
      failure_domain_(std::move(failure_domain)) {}

void charge_reporter::expect(const ticket& used) {
    holder_endpoints_[used.id] = used.holder_endpoint;
}

void charge_reporter::report(instant now) {
    std::map<std::string, wire::Envelope> by_home;
    for (const charge& item : book_.take_due_reports(now, resend_after, charges_a_report)) {
        wire::ChargeReport& report = *by_home[home_of(item)].mutable_charge_report();
        encode_charge(item, incarnation_id{}, *report.add_charges());
    }
    for (auto& [endpoint, message] : by_home) {
        if (endpoint.empty()) {
            continue;
        }
        message.set_sender(raw(own_));
        bus_.send(endpoint, message);
    }
}

void charge_reporter::send_marks() {
    if (own_ == incarnation_id{}) {
        return;
    }
    for (const auto& [fenced, fence] : control_.fences()) {
        const std::string endpoint = fence.pending_acks.count(own_) == 0 ? "" : any_entry();
        if (endpoint.empty()) {
            continue;
        }
        wire::Envelope message;
        message.set_sender(raw(own_));
        wire::MarkReport& report = *message.mutable_mark_report();
        report.set_marker(raw(own_));
        report.set_fenced(raw(fenced));
        for (const charge& item : book_.charges_of_holder(fenced)) {
            encode_charge(item, incarnation_id{}, *report.add_charges());
        }
        bus_.send(endpoint, message);
    }
}

std::string charge_reporter::home_of(const charge& owed) const {
    const auto known = holder_endpoints_.find(owed.ticket);
    if (control_.is_active(owed.holder) && known != holder_endpoints_.end()) {
        return known->second;
    }
    // The holder is gone; any entry can put the charge into the ledger.
    return any_entry();
}

std::string charge_reporter::any_entry() const {
    std::vector<const member*> near;
    std::vector<const member*> all;
    for (const auto& [id, other] : control_.members()) {
        const bool usable = other.active() && other.info.role == member_role::entry;
        if (!usable) {
            continue;
        }
        all.push_back(&other);
        if (other.info.failure_domain == failure_domain_) {
            near.push_back(&other);
        }
    }
    const std::vector<const member*>& choice = near.empty() ? all : near;
    if (choice.empty()) {
        return {};
    }
    // Another one at each call, so that one that does not answer is not asked forever.
    return choice[random_.below(choice.size())]->info.endpoint;
}

}  // namespace wrenswitch
