#include "wrenswitch/core/timeline.hpp"

#include <array>
#include <nlohmann/json.hpp>

namespace wrenswitch {
namespace {

constexpr std::array<std::string_view, 17> kind_names{
    "request_received", "reservation_granted", "reservation_refused", "dispatch_sent",
    "attempt_accepted", "attempt_refused",     "attempt_started",     "attempt_ended",
    "attempt_voided",   "request_answered",    "charge_settled",      "tokens_drawn",
    "tokens_returned",  "fence_applied",       "grant_reclaimed",     "configuration_applied",
    "drain_started",
};

std::int64_t microseconds_since_epoch(std::chrono::system_clock::time_point time) {
    return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
}

}  // namespace

std::string_view name_of(timeline_kind kind) {
    return kind_names.at(static_cast<std::size_t>(kind));
}

void timeline::add(timeline_kind kind, std::string_view request, attempt_id attempt,
                   ticket_id ticket, std::string detail) {
    if (events_.size() >= capacity_) {
        events_.pop_front();
    }
    events_.push_back({std::chrono::system_clock::now(), next_sequence_++, kind,
                       std::string(request), attempt, ticket, std::move(detail)});
}

std::string timeline::to_json(std::string_view process_name, std::string_view request) const {
    nlohmann::json list = nlohmann::json::array();
    for (const timeline_event& event : events_) {
        if (!request.empty() && event.request != request) {
            continue;
        }
        list.push_back({{"process", process_name},
                        {"time_us", microseconds_since_epoch(event.wall_time)},
                        {"sequence", event.sequence},
                        {"kind", name_of(event.kind)},
                        {"request", event.request},
                        {"attempt", raw(event.attempt)},
                        {"ticket", raw(event.ticket)},
                        {"detail", event.detail}});
    }
    return list.dump();
}

}  // namespace wrenswitch
