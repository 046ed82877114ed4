#include "soak/contended_caller.hpp"

#include <algorithm>
#include <utility>

#include "soak/response_text.hpp"

namespace wrenswitch::testing {
namespace {

/// A response that a target completed so long before its caller gave up must have arrived.
constexpr microseconds delivery_time = seconds(1);

}  // namespace

contended_caller::connection contended_caller::take_connection(
    const std::vector<contended_entry>& entries, const load_balancer_standin& balancer) {
    while (!idle_.empty()) {
        connection kept = std::move(idle_.back());
        idle_.pop_back();
        if (!kept.socket.ended()) {
            return kept;
        }
    }
    const std::size_t entry = balancer.direct(order_);
    return {raw_socket::connect(entries[entry].port), entry, 0};
}

void contended_caller::send(request& next, instant now, const std::vector<contended_entry>& entries,
                            const load_balancer_standin& balancer) {
    next.on = take_connection(entries, balancer);
    next.on.requests += 1;
    next.on.socket.send(
        "POST " + load_.path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + next.id +
        "\r\nCredential: key-" + load_.account +
        "\r\nDeadline-Ms: 2000\r\nToken-Usage: 100,30\r\nContent-Length: " +
        std::to_string(load_.body_bytes) + "\r\n\r\n" + std::string(load_.body_bytes, 'x'));
    const contended_entry& entry = entries[next.on.entry];
    next.fault_affects =
        next.fault_affects || !entry.running || now - entry.last_fault < fault_effect;
    next.hard_faults = entry.hard_faults;
}

void contended_caller::send_due(instant now, const std::vector<contended_entry>& entries,
                                const load_balancer_standin& balancer) {
    if (now < next_ || open_.size() >= load_.max_open) {
        return;
    }
    next_ = std::max(now - load_.interval, next_) + load_.interval;
    last_served_ = last_served_ == instant{} ? now : last_served_;
    request next;
    next.id = load_.account + "-" + std::to_string(++last_id_);
    next.sent_at = now;
    send(next, now, entries, balancer);
    open_.push_back(std::move(next));
}

/// An entry that sheds callers closes connections whose requests are still on the link. Callers
/// send such a request again, as the HTTP specification allows before any of the response has
/// arrived.
bool contended_caller::may_resend(request& closed, instant now,
                                  const std::vector<contended_entry>& entries,
                                  const std::map<std::string, instant>& completed) {
    return closed.on.socket.received().empty() && closed.on.socket.ended() &&
           entries[closed.on.entry].running && !completed.contains(closed.id) &&
           now - closed.sent_at < patience;
}

void contended_caller::resend(request& closed, instant now,
                              const std::vector<contended_entry>& entries,
                              const load_balancer_standin& balancer) {
    result_.resent += 1;
    closed.fault_affects =
        closed.fault_affects || entries[closed.on.entry].last_fault >= closed.sent_at;
    send(closed, now, entries, balancer);
}

void contended_caller::collect(instant now, const std::vector<contended_entry>& entries,
                               const load_balancer_standin& balancer,
                               const std::map<std::string, instant>& completed) {
    bool has_resent = false;
    std::erase_if(open_, [&](request& each) {
        const bool whole = is_whole_response(each.on.socket.received());
        if (!whole && !each.on.socket.ended() && now - each.sent_at < patience) {
            return false;
        }
        if (may_resend(each, now, entries, completed)) {
            // More connections at once than a listen queue takes would block the test's only
            // thread.
            if (!std::exchange(has_resent, true)) {
                resend(each, now, entries, balancer);
            }
            return false;
        }
        judge(each, now, entries[each.on.entry], completed);
        if (whole && each.on.requests < max_requests_on_connection &&
            each.on.socket.received().find("Connection: close") == std::string::npos) {
            each.on.socket.forget_received();
            idle_.push_back(std::move(each.on));
        }
        return true;
    });
}

void contended_caller::judge(request& ended, instant now, const contended_entry& entry,
                             const std::map<std::string, instant>& completed) {
    const std::string& text = ended.on.socket.received();
    const bool served = text.starts_with("HTTP/1.1 200") && is_whole_response(text) &&
                        text.find("Request-Id: " + ended.id + "\r\n") != std::string::npos;
    if (served) {
        record_served(now);
    }
    const auto ready = completed.find(ended.id);
    const bool had_time = ready != completed.end() &&
                          (ended.on.socket.ended() || now - ready->second > delivery_time);
    if (!served && had_time && ended.hard_faults == entry.hard_faults) {
        undelivered_.push_back(ended.id + " got \"" + text.substr(0, text.find("\r\n")) + "\"");
    }
    if (ended.fault_affects || entry.last_fault >= ended.sent_at) {
        return;
    }
    if (served) {
        result_.served += 1;
        result_.slowest = std::max(result_.slowest, now - ended.sent_at);
    } else if (is_whole_response(text)) {
        result_.refused += 1;
    } else {
        result_.failed += 1;
        failures_[ended.id] = "entry " + std::to_string(ended.on.entry) + ", request " +
                              std::to_string(ended.on.requests) + " of its connection, " +
                              (ended.on.socket.ended() ? "closed" : "open") + " after " +
                              std::to_string((now - ended.sent_at) / milliseconds(1)) + " ms: \"" +
                              text.substr(0, text.find("\r\n")) + "\"";
    }
}

void contended_caller::record_served(instant now) {
    longest_gap_ = std::max(longest_gap_, now - last_served_);
    last_served_ = now;
}

microseconds contended_caller::longest_gap(instant now) const {
    return std::max(longest_gap_, now - last_served_);
}

void contended_caller::end() {
    open_.clear();
    idle_.clear();
}

}  // namespace wrenswitch::testing
