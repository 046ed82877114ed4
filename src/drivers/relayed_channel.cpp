#include <bus.pb.h>

#include <algorithm>
#include <map>
#include <memory>
#include <utility>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/service_channel.hpp"

namespace wrenswitch {
namespace {

constexpr unsigned status_too_many = 429;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_insufficient_storage = 507;

/// A call on its way, which knows enough to be made again.
struct pending_call {
    http_request request;
    service_channel::reply_hook done;
    unsigned relays_tried = 0;
    /// Counts the ways tried, so that the answer of one that was given up is dropped.
    unsigned attempt = 0;
    std::string peer;
    bool direct = false;
    instant started_at = monotonic_now();
    /// When the call was last sent to a peer.
    instant sent_at{};
    /// The last part received from the peer, or the time of the relayed call.
    arrival_watch::checkpoint last_activity;
    /// True once the current attempt has received a piece of the reply.
    bool reply_started = false;
    /// The parts of a relayed reply received so far.
    http_reply partial_reply;
    /// Null until the first part of the current attempt.
    std::unique_ptr<incoming_reply> incoming;
    std::uint32_t next_part = 0;
};

/// The part size requested from peers. Small parts make the progress of a long reply visible and
/// let other messages be sent in between.
constexpr std::uint32_t most_part_bytes = 32U * 1024U;

/// The low bits of a relay call id, which hold the attempt so that replies to abandoned attempts
/// can be dropped.
constexpr unsigned attempt_bits = 8;

std::uint64_t relay_call_id(std::uint64_t call, unsigned attempt) {
    return (call << attempt_bits) | (attempt & ((1U << attempt_bits) - 1U));
}

/// True if another way may get a better answer.
bool way_failed(const result<http_reply>& reply) {
    if (!reply) {
        return true;
    }
    const unsigned status = reply.value().status;
    return status == status_too_many ||
           (status >= first_server_error && status != status_insufficient_storage);
}

std::string failure_reason(const result<http_reply>& reply) {
    return reply ? "status " + std::to_string(reply.value().status) : reply.error().message;
}

}  // namespace

struct relayed_channel::state : std::enable_shared_from_this<relayed_channel::state> {
    event_loop& loop;
    service_channel& direct_way;
    message_bus& bus;
    peer_source peers;
    probe_source probe;
    arrival_watch& arrivals;
    metrics& counters;
    histogram_metric& call_durations;
    std::uint64_t& reply_bytes;
    relayed_channel_settings settings;
    std::uint64_t last_call = 0;
    std::map<std::uint64_t, pending_call> calls;
    std::map<std::string, instant> resting_until;
    std::string preferred_peer;
    bool direct_works = true;
    bool probing = false;

    state(event_loop& owner, service_channel& direct, message_bus& messages, peer_source relays,
          probe_source cheap_call, arrival_watch& watch, metrics& figures,
          relayed_channel_settings values)
        : loop(owner),
          direct_way(direct),
          bus(messages),
          peers(std::move(relays)),
          probe(std::move(cheap_call)),
          arrivals(watch),
          counters(figures),
          call_durations(figures.histogram("service_call_ms")),
          reply_bytes(figures.counter("service_reply_bytes_total")),
          settings(values) {}

    void start(http_request request, reply_hook done) {
        const std::uint64_t number = ++last_call;
        pending_call& call = calls[number];
        call.request = std::move(request);
        call.done = std::move(done);
        if (direct_works) {
            send_directly(number);
        } else {
            send_through_peer(number);
        }
    }

    void send_directly(std::uint64_t number) {
        pending_call& call = calls.at(number);
        call.direct = true;
        call.reply_started = false;
        const unsigned attempt = ++call.attempt;
        const auto self = weak_from_this();
        direct_way.call(
            call.request,
            [self, number, attempt](result<http_reply> reply) {
                if (const auto alive = self.lock()) {
                    alive->direct_answered(number, attempt, std::move(reply));
                }
            },
            [self, number, attempt] {
                if (const auto alive = self.lock()) {
                    alive->direct_piece_received(number, attempt);
                }
            });
    }

    void direct_piece_received(std::uint64_t number, unsigned attempt) {
        const auto found = calls.find(number);
        if (found != calls.end() && found->second.attempt == attempt) {
            found->second.reply_started = true;
        }
    }

    void direct_answered(std::uint64_t number, unsigned attempt, result<http_reply> reply) {
        const auto found = calls.find(number);
        const bool wanted = found != calls.end() && found->second.attempt == attempt;
        if (!wanted) {
            return;
        }
        if (!way_failed(reply)) {
            finish(number, std::move(reply));
            return;
        }
        if (peers().empty()) {
            finish(number, std::move(reply));
            return;
        }
        found->second.reply_started = false;
        direct_failed(failure_reason(reply));
    }

    /// Moves the pending direct calls to a peer, except those whose replies are being received.
    void direct_failed(const std::string& reason) {
        if (std::exchange(direct_works, false)) {
            counters.counter("service_direct_lost_total") += 1;
            log_event(log_level::warning, "service_direct_lost", {{"reason", reason}});
        }
        // At once, since a single lost answer or connection doesn't mean that the way is lost.
        plan_probe(microseconds(0));
        for (const std::uint64_t number : calls_out(true)) {
            send_through_peer(number);
        }
    }

    /// Returns the pending direct or relayed calls that have not received any part of a reply.
    std::vector<std::uint64_t> calls_out(bool directly) const {
        std::vector<std::uint64_t> found;
        for (const auto& [number, call] : calls) {
            if (call.direct == directly && !call.reply_started) {
                found.push_back(number);
            }
        }
        return found;
    }

    std::string choose_peer(instant now) {
        const std::vector<std::string> candidates = peers();
        const auto rested = [this, now](const std::string& peer) {
            const auto found = resting_until.find(peer);
            return found == resting_until.end() || found->second <= now;
        };
        const bool preferred_stands =
            std::find(candidates.begin(), candidates.end(), preferred_peer) != candidates.end();
        if (preferred_stands && rested(preferred_peer)) {
            return preferred_peer;
        }
        const auto found = std::find_if(candidates.begin(), candidates.end(), rested);
        return found == candidates.end() ? std::string{} : *found;
    }

    void send_through_peer(std::uint64_t number) {
        pending_call& call = calls.at(number);
        call.direct = false;
        call.reply_started = false;
        call.incoming.reset();
        call.partial_reply = {};
        call.next_part = 0;
        const unsigned attempt = ++call.attempt;
        call.peer = choose_peer(monotonic_now());
        const bool spent = call.relays_tried >= settings.most_relays || call.peer.empty();
        if (spent) {
            fail_later(number, attempt);
            return;
        }
        call.relays_tried += 1;
        call.sent_at = monotonic_now();
        call.last_activity = arrivals.checkpoint_at(call.sent_at);
        counters.counter("service_relayed_calls_total") += 1;
        wire::Envelope message;
        wire::RelayCall& wanted = *message.mutable_relay_call();
        wanted.set_call(relay_call_id(number, attempt));
        wanted.set_most_part_bytes(most_part_bytes);
        wanted.set_method(call.request.method);
        wanted.set_target(call.request.target);
        wanted.set_body(call.request.body);
        wanted.set_timeout_ms(static_cast<std::uint32_t>(
            std::chrono::duration_cast<milliseconds>(call.request.timeout).count()));
        for (const http_header& header : call.request.headers) {
            if (same_type_header(header)) {
                wanted.set_content_type(header.value);
            }
        }
        bus.send(call.peer, message);
        schedule_relay_timeout_check(number, attempt, longest_silence(call));
    }

    microseconds longest_silence(const pending_call& call) const {
        return call.request.timeout + settings.relay_slack;
    }

    void schedule_relay_timeout_check(std::uint64_t number, unsigned attempt, microseconds wait) {
        const auto self = weak_from_this();
        loop.call_after(wait, [self, number, attempt] {
            if (const auto alive = self.lock()) {
                alive->check_relay_timeout(number, attempt);
            }
        });
    }

    static bool same_type_header(const http_header& header) {
        return header.name == "Content-Type";
    }

    void check_relay_timeout(std::uint64_t number, unsigned attempt) {
        const auto found = calls.find(number);
        if (found == calls.end() || found->second.attempt != attempt) {
            return;
        }
        const pending_call& call = found->second;
        const microseconds left =
            longest_silence(call) - arrivals.silence_since(call.last_activity, monotonic_now());
        if (left > microseconds(0)) {
            schedule_relay_timeout_check(number, attempt, left);
        } else {
            relay_failed(number, "timed out");
        }
    }

    /// Appends a part to the reply, and drops parts of abandoned attempts.
    void relay_part_received(std::uint64_t call_id, const wire::RelayReply& part) {
        const std::uint64_t number = call_id >> attempt_bits;
        const auto found = calls.find(number);
        const bool wanted = found != calls.end() && !found->second.direct &&
                            relay_call_id(number, found->second.attempt) == call_id;
        if (!wanted) {
            return;
        }
        if (part.status() == 0) {
            relay_answered(number, failed(error_code::unavailable, "The peer got no answer."));
            return;
        }
        const instant now = monotonic_now();
        pending_call& call = found->second;
        if (part.part() != call.next_part) {
            relay_failed(number, "a part of the reply is missing");
            return;
        }
        if (call.incoming) {
            call.incoming->record_piece(now);
        } else {
            call.incoming = std::make_unique<incoming_reply>(arrivals, now);
        }
        call.last_activity = arrivals.checkpoint_at(now);
        call.reply_started = true;
        call.next_part += 1;
        call.partial_reply.status = part.status();
        call.partial_reply.content_type = part.content_type();
        for (const wire::RelayHeader& header : part.headers()) {
            call.partial_reply.headers.push_back({header.name(), header.value()});
        }
        call.partial_reply.body += part.body();
        if (!part.more()) {
            http_reply reply = std::move(call.partial_reply);
            relay_answered(number, std::move(reply));
        }
    }

    void relay_failed(std::uint64_t number, const std::string& reason) {
        const pending_call& call = calls.at(number);
        const std::string peer = call.peer;
        log_event(log_level::warning, "service_relay_failed",
                  {{"call", call.request.target},
                   {"peer", peer},
                   {"age_ms", millis_text(monotonic_now() - call.sent_at)},
                   {"reason", reason}});
        resting_until[peer] = monotonic_now() + settings.peer_rest;
        if (preferred_peer == peer) {
            preferred_peer.clear();
        }
        counters.counter("service_relay_failures_total") += 1;
        send_through_peer(number);
    }

    void relay_answered(std::uint64_t number, result<http_reply> reply) {
        const auto found = calls.find(number);
        if (found == calls.end() || found->second.direct) {
            return;
        }
        if (way_failed(reply)) {
            relay_failed(number, failure_reason(reply));
            return;
        }
        preferred_peer = found->second.peer;
        finish(number, std::move(reply));
    }

    void fail_later(std::uint64_t number, unsigned attempt) {
        const auto self = weak_from_this();
        loop.call_after(microseconds(0), [self, number, attempt] {
            const auto alive = self.lock();
            if (!alive) {
                return;
            }
            const auto found = alive->calls.find(number);
            if (found != alive->calls.end() && found->second.attempt == attempt) {
                alive->finish(number, failed(error_code::unavailable,
                                             "Neither the service nor a peer answers."));
            }
        });
    }

    void finish(std::uint64_t number, result<http_reply> reply) {
        const auto found = calls.find(number);
        const reply_hook done = std::move(found->second.done);
        call_durations.observe(monotonic_now() - found->second.started_at);
        reply_bytes += reply ? reply.value().body.size() : 0;
        calls.erase(found);
        done(std::move(reply));
    }

    void plan_probe(microseconds delay) {
        if (std::exchange(probing, true)) {
            return;
        }
        const auto self = weak_from_this();
        loop.call_after(delay, [self] {
            if (const auto alive = self.lock()) {
                alive->send_probe();
            }
        });
    }

    void send_probe() {
        const auto self = weak_from_this();
        http_request request = probe();
        request.timeout = settings.probe_timeout;
        direct_way.call(std::move(request), [self](const result<http_reply>& reply) {
            const auto alive = self.lock();
            if (!alive) {
                return;
            }
            alive->probing = false;
            if (way_failed(reply)) {
                alive->plan_probe(alive->settings.probe_period);
                return;
            }
            alive->direct_regained();
        });
    }

    /// Calls that peers haven't answered yet are made again: a peer may be dead.
    void direct_regained() {
        direct_works = true;
        log_event(log_level::information, "service_direct_regained", {});
        for (const std::uint64_t number : calls_out(false)) {
            send_directly(number);
        }
    }
};

relayed_channel::relayed_channel(event_loop& loop, service_channel& direct, message_bus& bus,
                                 peer_source peers, probe_source probe, arrival_watch& arrivals,
                                 metrics& counters, relayed_channel_settings settings)
    : state_(std::make_shared<state>(loop, direct, bus, std::move(peers), std::move(probe),
                                     arrivals, counters, settings)) {}

relayed_channel::~relayed_channel() = default;

void relayed_channel::call(http_request request, reply_hook done, piece_hook) {
    state_->start(std::move(request), std::move(done));
}

void relayed_channel::on_reply(const wire::Envelope& message) {
    const wire::RelayReply& answer = message.relay_reply();
    state_->relay_part_received(answer.call(), answer);
}

bool relayed_channel::direct() const {
    return state_->direct_works;
}

}  // namespace wrenswitch
