#include "roles/gateway/link_sharing.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/caller_response.hpp"
#include "roles/gateway/incoming_request.hpp"
#include "roles/gateway/request_trace.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/bounded_number.hpp"
#include "wrenswitch/decision/gateway/admission.hpp"

namespace wrenswitch {
namespace {

constexpr std::string_view refusal_reason = "link_share";

/// The bytes that the link carries in this time are the receive buffer of a caller's connection, so
/// that ten unread bodies delay others by no more than one objective's tenth.
constexpr microseconds receive_buffer_time = milliseconds(10);
constexpr double min_receive_buffer = 4096.0;

/// The weight of a new size in the average of its route.
constexpr double size_weight = 0.05;

/// The assumed body of a route without a known length: the mean of long prompts.
constexpr double initial_body = 9200.0;

/// More routes than a configuration of the platform has; beyond, sizes are not learnt.
constexpr std::size_t max_routes = 1024;

/// The accounts whose rates are exported.
constexpr std::size_t exported_accounts = 8;

/// Start times are not scheduled more finely than this.
constexpr microseconds min_resolve_delay = milliseconds(1);

/// The size of a head, with ": " and a line's end for each header.
std::size_t head_bytes(const message_head& head) {
    constexpr std::size_t start_line_marks = 14;
    constexpr std::size_t header_marks = 4;
    std::size_t bytes = head.method.size() + head.target.size() + start_line_marks;
    for (const http_header& header : head.headers) {
        bytes += header.name.size() + header.value.size() + header_marks;
    }
    return bytes;
}

}  // namespace

link_sharing::link_sharing(parts used)
    : parts_(std::move(used)),
      scheduler_(parts_.settings.shares_link ? parts_.settings.link_bytes_per_second : 0.0),
      peaks_(parts_.settings.link_bytes_per_second) {}

link_sharing::~link_sharing() {
    *alive_ = false;
}

ingress_options link_sharing::make_ingress_options() {
    const double bandwidth = parts_.settings.link_bytes_per_second;
    if (bandwidth <= 0.0) {
        return {};
    }
    ingress_options options;
    if (parts_.settings.shares_link) {
        options.receive_buffer_bytes = static_cast<std::size_t>(
            std::max(min_receive_buffer, bandwidth * as_seconds(receive_buffer_time)));
    }
    options.on_head = [this](const message_head& head, const std::shared_ptr<waiting_head>& wait) {
        return on_head(head, wait);
    };
    return options;
}

void link_sharing::observe(instant now) {
    const traffic_counts& callers = parts_.loop.traffic();
    const traffic_counts& store = parts_.loop.store_traffic();
    const link_bytes bus = parts_.bus_bytes();
    scheduler_.observe(now, {callers.received - refused_bytes_, callers.sent},
                       {store.received + bus.received + refused_bytes_, store.sent + bus.sent});
    peaks_.observe(
        now,
        {callers.received + store.received + bus.received, callers.sent + store.sent + bus.sent},
        usage_);
}

/// Requests that no account and route can be found for proceed, since they are answered without a
/// target.
std::optional<link_sharing::head_summary> link_sharing::summarize(const message_head& head) {
    const result<incoming_request> read = parse_incoming_request(head, parts_.dialect);
    if (!read) {
        return std::nullopt;
    }
    const incoming_request& request = read.value();
    const gateway_route* route = parts_.configuration.find_route(request.host, request.path);
    if (route == nullptr) {
        return std::nullopt;
    }
    const gateway_account* account = parts_.configuration.find_account_by_key(request.key);
    const bool needs_account = !route->is_public && parts_.configuration.requires_keys();
    if (needs_account && account == nullptr) {
        return std::nullopt;
    }
    microseconds useful = route->first_response_objective > microseconds(0)
                              ? route->first_response_objective
                              : route->timeout;
    if (request.deadline) {
        useful = std::min(useful, *request.deadline);
    }
    head_summary summary;
    summary.id = request.id;
    summary.account = account == nullptr ? "" : account->name;
    summary.route = route->name;
    summary.head_bytes = head_bytes(head);
    summary.request = {summary.account, request_priority(*route, needs_account ? account : nullptr),
                       estimate_bytes(head, route->name), useful / 2};
    return summary;
}

/// Estimates the bytes that a request takes in each direction: the head, the body and the response
/// cross the link both ways.
double link_sharing::estimate_bytes(const message_head& head, const std::string& route) {
    double bytes = static_cast<double>(head_bytes(head));
    if (sizes_.size() >= max_routes && !sizes_.contains(route)) {
        return bytes + static_cast<double>(head.content_length.value_or(0));
    }
    const auto sizes = sizes_.try_emplace(route, route_sizes{initial_body, 0.0}).first;
    if (head.content_length) {
        const auto length = static_cast<double>(*head.content_length);
        sizes->second.body += size_weight * (length - sizes->second.body);
        bytes += length;
    } else if (head.count("Transfer-Encoding") > 0) {
        bytes += sizes->second.body;
    }
    return bytes + sizes->second.response;
}

head_decision link_sharing::on_head(const message_head& head,
                                    const std::shared_ptr<waiting_head>& wait) {
    std::optional<head_summary> summary = summarize(head);
    if (!summary) {
        return {};
    }
    const instant now = monotonic_now();
    observe(now);
    const auto bytes = static_cast<std::uint64_t>(summary->request.bytes);
    usage_.record(now, summary->account, bytes, bytes);
    usage_.record_request(now, summary->account);
    const link_decision decision = scheduler_.submit(now, summary->request);
    schedule_resolve(now);
    switch (decision.action) {
        case link_action::proceed:
            break;
        case link_action::wait:
            parts_.counters.counter("gateway_link_waits_total") += 1;
            wait->on_closed([this, alive = alive_, ticket = decision.ticket] {
                if (*alive) {
                    scheduler_.cancel(ticket);
                    held_.erase(ticket);
                }
            });
            held_.emplace(decision.ticket, held_request{std::move(*summary), wait, now});
            return {head_action::wait, 0, {}, {}};
        case link_action::refuse:
            return refuse(now, *summary, now, decision.time);
    }
    return {};
}

/// Counts and logs a refused request as a request of the gateway, since it never becomes one.
head_decision link_sharing::refuse(instant now, const head_summary& head, instant since,
                                   microseconds retry_after) {
    metrics& counters = parts_.counters;
    usage_.record_refused(now, head.account);
    // Their heads take capacity although no account is charged for them.
    refused_bytes_ += head.head_bytes;
    counters.counter("gateway_requests_total") += 1;
    counters.counter("gateway_link_refused_total") += 1;
    counters.counter("gateway_outcome_link_share_total") += 1;
    counters.counter(labelled("gateway_account_link_refused_total",
                              {{"account", labels_.label_of(head.account)}})) += 1;
    const gateway_settings& settings = parts_.settings;
    counters.counter(labelled(
        "gateway_refused_by_region_total",
        {{"caller", settings.regions.region_of(settings.failure_domain)}, {"target", ""}})) += 1;
    counters.histogram(labelled("gateway_request_ms", {{"outcome", "failed"}}))
        .observe(now - since);
    request_trace trace;
    trace.begin(head.id, since);
    trace_state(now, trace, "link_refused", head.account, now - since);
    trace_refusal(now, trace, head, since, retry_after);
    parts_.log.log_head_refusal(trace);
    return {head_action::refuse,
            status_unavailable,
            {{parts_.dialect.request_id, head.id}, {"Retry-After", retry_after_text(retry_after)}},
            std::string(refusal_reason) + "\n"};
}

/// Adds the end of a refused request to its trace.
void link_sharing::trace_refusal(instant now, request_trace& trace, const head_summary& head,
                                 instant since, microseconds retry_after) {
    std::vector<log_field> fields{
        {"outcome", std::string(refusal_reason)},
        {"status", std::to_string(status_unavailable)},
        {"route", head.route},
        {"configuration", std::to_string(parts_.configuration.current().version)},
        {"account", head.account},
        {"priority", std::to_string(head.request.priority)},
        {"bytes", std::to_string(static_cast<std::uint64_t>(head.request.bytes))},
        {"retry_after_ms", millis_text(retry_after)},
        {"took_ms", millis_text(now - since)}};
    if (const std::optional<link_peak> peak = peak_since(now, since)) {
        append_peak(fields, *peak);
    }
    trace.add(now, "request_ended", fields);
}

void link_sharing::resolve() {
    const instant now = monotonic_now();
    observe(now);
    for (const link_resolution& each : scheduler_.resolve(now)) {
        const auto found = held_.find(each.ticket);
        if (found == held_.end()) {
            continue;
        }
        const held_request held = std::move(found->second);
        held_.erase(found);
        parts_.counters.histogram("gateway_link_wait_ms").observe(each.waited);
        held.wait->end_wait(each.proceeds ? head_decision{}
                                          : refuse(now, held.head, held.since, each.retry_after));
    }
    schedule_resolve(now);
}

void link_sharing::schedule_resolve(instant now) {
    const std::optional<microseconds> next = scheduler_.next_start(now);
    if (!next) {
        return;
    }
    const instant due = now + std::max(min_resolve_delay, *next);
    if (resolve_due_ && *resolve_due_ <= due) {
        return;
    }
    resolve_due_ = due;
    parts_.loop.call_after(due - now, [this, due, alive = alive_] {
        if (*alive && resolve_due_ == due) {
            resolve_due_.reset();
            resolve();
        }
    });
}

void link_sharing::tick(instant now) {
    for (const std::string& label : std::exchange(top_labels_, {})) {
        parts_.counters.gauge(labelled("gateway_account_bytes_per_second", {{"account", label}})) =
            0.0;
    }
    for (const account_demand& each : usage_.top(now, exported_accounts)) {
        const std::string label = labels_.label_of(each.account);
        parts_.counters.gauge(labelled("gateway_account_bytes_per_second", {{"account", label}})) +=
            each.bytes_per_second;
        top_labels_.push_back(label);
    }
}

void link_sharing::record_response(std::string_view route, std::size_t bytes) {
    const auto found = sizes_.find(route);
    if (found != sizes_.end()) {
        double& mean = found->second.response;
        mean += size_weight * (static_cast<double>(bytes) - mean);
    }
}

void link_sharing::record_late(instant now, std::string_view account) {
    if (parts_.settings.link_bytes_per_second <= 0.0) {
        return;
    }
    usage_.record_late(now, account);
    parts_.counters.counter(
        labelled("gateway_account_late_total", {{"account", labels_.label_of(account)}})) += 1;
}

bool link_sharing::is_resend_futile() const {
    return scheduler_.is_saturated();
}

microseconds link_sharing::retry_after(instant now, std::string_view account, unsigned priority) {
    return scheduler_.free_after(now, account, priority);
}

void link_sharing::trace_state(instant now, request_trace& trace, std::string_view event,
                               std::string_view account, microseconds waited) const {
    const link_account_state state = scheduler_.state_of(account);
    const std::vector<account_demand> top = usage_.top(now, 1);
    trace.add(
        now, event,
        {{"waited_ms", millis_text(waited)},
         {"account", std::string(account)},
         {"share_bytes_per_second", whole_text(state.share)},
         {"backlog_bytes", whole_text(state.backlog_bytes)},
         {"waiting", std::to_string(state.waiting)},
         {"own_bytes_per_second", whole_text(usage_.rates(now, account).busier_direction())},
         {"busiest_account", top.empty() ? "" : top.front().account},
         {"busiest_bytes_per_second", top.empty() ? "0" : whole_text(top.front().bytes_per_second)},
         {"utilization", std::to_string(scheduler_.utilization())},
         {"waiting_all", std::to_string(scheduler_.waiting())}});
}

std::optional<link_peak> link_sharing::peak_since(instant now, instant begun) {
    observe(now);
    // The sample before the wait, since a short wait may have none.
    return peaks_.highest_since(begun - link_peak_history::sample_period);
}

void link_sharing::append_peak(std::vector<log_field>& fields, const link_peak& peak) {
    fields.push_back({"link_share", std::to_string(peak.utilization)});
    fields.push_back({"link_account", peak.account});
    fields.push_back({"link_account_share", std::to_string(peak.account_share)});
}

}  // namespace wrenswitch
