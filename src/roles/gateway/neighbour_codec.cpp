#include "roles/gateway/neighbour_codec.hpp"

#include <neighbours.pb.h>

#include <span>

namespace wrenswitch {
namespace {

/// One more than is allowed, so that validation sees the excess without copying all of it.
constexpr std::size_t max_decoded_accounts = neighbour_report::max_accounts + 1;

using wire_accounts = google::protobuf::RepeatedPtrField<wire::AccountDemand>;

void encode_accounts(std::span<const account_demand> accounts, wire_accounts& message) {
    for (const account_demand& each : accounts) {
        wire::AccountDemand& added = *message.Add();
        added.set_account(each.account);
        added.set_bytes_per_second(each.bytes_per_second);
    }
}

std::vector<account_demand> decode_accounts(const wire_accounts& message) {
    std::vector<account_demand> accounts;
    for (const wire::AccountDemand& each : message) {
        if (accounts.size() == max_decoded_accounts) {
            break;
        }
        accounts.push_back({each.account(), each.bytes_per_second()});
    }
    return accounts;
}

entry_state decode_state(wire::EntryState state) {
    switch (state) {
        case wire::ENTRY_STATE_ACCEPTING:
            return entry_state::accepting;
        case wire::ENTRY_STATE_ANNOUNCED:
            return entry_state::announced;
        case wire::ENTRY_STATE_STEPPED_BACK:
            return entry_state::stepped_back;
        case wire::ENTRY_STATE_CLOSED:
            return entry_state::closed;
        default:
            return entry_state::unknown;
    }
}

wire::EntryState encode_state(entry_state state) {
    return static_cast<wire::EntryState>(state);
}

}  // namespace

wire::NeighbourReport encode_neighbour_report(const neighbour_report& report) {
    wire::NeighbourReport message;
    message.set_version(report.version);
    message.set_host(report.host);
    message.set_incarnation(raw(report.process));
    message.set_number(report.number);
    message.set_bandwidth(report.bandwidth);
    message.set_received_per_second(report.received_per_second);
    message.set_sent_per_second(report.sent_per_second);
    message.set_state(encode_state(report.state));
    encode_accounts(report.step_back, *message.mutable_step_back());
    message.set_connections(report.connections);
    encode_accounts(report.accounts, *message.mutable_accounts());
    message.set_ask(report.asks);
    return message;
}

neighbour_report decode_neighbour_report(const wire::NeighbourReport& message) {
    neighbour_report report;
    report.version = message.version();
    report.host = message.host();
    report.process = incarnation_id{message.incarnation()};
    report.number = message.number();
    report.bandwidth = message.bandwidth();
    report.received_per_second = message.received_per_second();
    report.sent_per_second = message.sent_per_second();
    report.state = decode_state(message.state());
    report.step_back = decode_accounts(message.step_back());
    report.connections = message.connections();
    report.accounts = decode_accounts(message.accounts());
    report.asks = message.ask();
    return report;
}

}  // namespace wrenswitch
