#include "wrenswitch/roles/relay.hpp"

#include <bus.pb.h>

#include <map>
#include <memory>
#include <utility>

#include "roles/relay/stream_record_service.hpp"
#include "roles/shared/process_settings.hpp"
#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/settings_reader.hpp"
#include "wrenswitch/drivers/service_channel.hpp"
#include "wrenswitch/drivers/settings_watch.hpp"

namespace wrenswitch {
namespace {

/// How long a stopping relay waits for the service. Calls that are unanswered by then are reported
/// as such, so that their callers try another way at once.
constexpr microseconds max_drain = milliseconds(1500);

/// How often a stopping relay checks whether it can exit.
constexpr microseconds drain_poll_period = milliseconds(20);

/// The upper bound of the timeout that a peer may request for a call.
constexpr microseconds max_call_timeout = seconds(30);

http_request to_http_request(const wire::RelayCall& call) {
    http_request request;
    request.method = call.method();
    request.target = call.target();
    request.body = call.body();
    request.timeout = std::min<microseconds>(milliseconds(call.timeout_ms()), max_call_timeout);
    if (!call.content_type().empty()) {
        request.headers.push_back({"Content-Type", call.content_type()});
    }
    return request;
}

/// Sends the reply, split into parts if the caller requested a part size, so that the caller can
/// observe the progress of a long reply.
void send_reply(message_bus& bus, const message_origin& origin, const wire::RelayCall& call,
                const result<http_reply>& reply) {
    const std::string_view body = reply ? std::string_view(reply.value().body) : std::string_view();
    const std::size_t max_part_bytes =
        call.most_part_bytes() == 0 ? body.size() : call.most_part_bytes();
    std::uint32_t part_index = 0;
    std::size_t sent = 0;
    do {
        wire::Envelope message;
        wire::RelayReply& wire_reply = *message.mutable_relay_reply();
        wire_reply.set_call(call.call());
        if (reply) {
            const std::string_view bytes = body.substr(sent, max_part_bytes);
            sent += bytes.size();
            wire_reply.set_status(reply.value().status);
            wire_reply.set_content_type(reply.value().content_type);
            wire_reply.set_body(bytes.data(), bytes.size());
            if (part_index == 0) {
                for (const http_header& header : reply.value().headers) {
                    wire::RelayHeader& wire_header = *wire_reply.add_headers();
                    wire_header.set_name(header.name);
                    wire_header.set_value(header.value);
                }
            }
            wire_reply.set_part(part_index++);
            wire_reply.set_more(sent < body.size());
        }
        bus.answer(origin, message);
    } while (sent < body.size());
}

/// Makes calls to the service for peers.
class call_relay {
public:
    call_relay(event_loop& loop, message_bus& bus, service_channel& service)
        : loop_(loop), bus_(bus), service_(service) {}

    void on_message(const message_origin& origin, const wire::Envelope& message) {
        if (!message.has_relay_call()) {
            return;
        }
        const wire::RelayCall& call = message.relay_call();
        if (stopping_since_) {
            send_reply(bus_, origin, call, unanswered());
            return;
        }
        const std::uint64_t number = ++last_call_;
        pending_[number] = {origin, call};
        service_.call(to_http_request(call),
                      [this, number](const result<http_reply>& reply) { on_reply(number, reply); });
    }

    /// Takes no more calls, and ends the event loop once those under way are answered.
    void begin_stop() {
        if (stopping_since_) {
            return;
        }
        stopping_since_ = monotonic_now();
        log_event(log_level::information, "relay_stopping",
                  {{"calls", std::to_string(pending_.size())}});
        timer_ = loop_.call_every(drain_poll_period, [this] { finish_if_idle(); });
        finish_if_idle();
    }

private:
    struct pending_call {
        message_origin origin;
        wire::RelayCall call;
    };

    static result<http_reply> unanswered() {
        return failed(error_code::unavailable, "The relay stops.");
    }

    void on_reply(std::uint64_t number, const result<http_reply>& reply) {
        const auto found = pending_.extract(number);
        if (!found.empty()) {
            send_reply(bus_, found.mapped().origin, found.mapped().call, reply);
        }
    }

    void finish_if_idle() {
        const bool overdue = monotonic_now() - *stopping_since_ >= max_drain;
        if (!pending_.empty() && !overdue) {
            return;
        }
        for (const auto& [number, each] : std::exchange(pending_, {})) {
            send_reply(bus_, each.origin, each.call, unanswered());
        }
        loop_.stop();
    }

    event_loop& loop_;
    message_bus& bus_;
    service_channel& service_;
    std::uint64_t last_call_ = 0;
    std::map<std::uint64_t, pending_call> pending_;
    std::optional<instant> stopping_since_;
    std::unique_ptr<timer> timer_;
};

}  // namespace

std::optional<relay_settings> read_relay_settings(std::string_view text, findings& problems) {
    settings_reader reader = settings_reader::parse(text, problems);
    relay_settings settings;
    settings.host = reader.text("host");
    settings.bus.endpoint = reader.text("bus_endpoint");
    settings.service = read_address(reader, "service", problems);
    settings.limits = read_process_limits(reader);
    settings.bus.max_message_bytes = max_message_bytes(settings.limits);
    reader.finish();
    return problems.empty() ? std::optional(std::move(settings)) : std::nullopt;
}

int run_relay(const std::string& path, const std::string& text) {
    findings problems;
    const std::optional<relay_settings> parsed = read_relay_settings(text, problems);
    if (!parsed) {
        log_event(log_level::error, "settings_refused", {{"findings", problems.to_text()}});
        return exit_bad_settings;
    }
    const relay_settings& settings = *parsed;
    event_loop loop;
    // No setting of a relay can change at run time; the watch only keeps SIGHUP from terminating
    // the process.
    const settings_watch watch(loop, path, text, [](const std::string&) {
        log_event(log_level::information, "settings_reloaded", {{"needs_restart", "yes"}});
    });
    result<std::unique_ptr<message_bus>> opened_bus = message_bus::open(loop, settings.bus);
    if (!opened_bus) {
        log_event(log_level::error, "relay_cannot_start", {{"reason", opened_bus.error().message}});
        return exit_unavailable;
    }
    message_bus& bus = *opened_bus.value();
    arrival_watch arrivals;
    const std::unique_ptr<service_channel> service =
        make_direct_channel(loop, settings.service, arrivals);
    call_relay calls(loop, bus, *service);
    stream_record_service records(loop, bus, settings.host);
    bus.on_message([&](const message_origin& origin, const wire::Envelope& message) {
        if (!records.on_message(origin, message)) {
            calls.on_message(origin, message);
        }
    });
    log_event(log_level::information, "relay_started",
              {{"host", settings.host}, {"endpoint", bus.endpoint()}});
    loop.on_stop_signal([&calls] { calls.begin_stop(); });
    loop.run();
    log_event(log_level::information, "relay_stopped", {{"host", settings.host}});
    return exit_done;
}

}  // namespace wrenswitch
