#include "wrenswitch/drivers/message_bus.hpp"

#include <bus.pb.h>

#include <deque>
#include <map>
#include <set>
#include <utility>
#include <zmq.hpp>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {
namespace {

/// How long a message waits for its connection.
constexpr microseconds longest_wait = seconds(1);

/// How often messages that wait are tried again.
constexpr microseconds retry_period = milliseconds(5);

/// How long the process stays at its end until its last messages have left.
constexpr int linger_ms = 100;

constexpr int high_water_mark = 10'000;
constexpr int reconnect_first_ms = 50;
constexpr int reconnect_longest_ms = 1000;
constexpr int heartbeat_period_ms = 2000;
constexpr int heartbeat_timeout_ms = 6000;

/// Prefix of all names that ZeroMQ gives to authentication's socket.
constexpr const char* zap_endpoint = "inproc://zeromq.zap.01";

/// One message that could not be handed to ZeroMQ yet.
struct waiting_message {
    wire::Envelope message;
    instant until{};
};

/// An outbound connection and the loop's watch on it.
struct outbound_link {
    zmq::socket_t socket;
    std::unique_ptr<timer> watch;
    std::deque<waiting_message> waiting;
};

class zmq_bus final : public message_bus {
public:
    zmq_bus(event_loop& loop, message_bus_settings settings)
        : loop_(loop),
          settings_(std::move(settings)),
          context_(1),
          inbound_(context_, zmq::socket_type::router) {}

    ~zmq_bus() override { *alive_ = false; }
    zmq_bus(const zmq_bus&) = delete;
    zmq_bus& operator=(const zmq_bus&) = delete;

    result<void> bind() {
        try {
            set_up_authentication();
            set_common_options(inbound_);
            inbound_.set(zmq::sockopt::router_mandatory, true);
            if (encrypted()) {
                inbound_.set(zmq::sockopt::curve_server, true);
                inbound_.set(zmq::sockopt::curve_secretkey, settings_.curve_secret_key);
            }
            inbound_.bind(settings_.endpoint);
            endpoint_ = inbound_.get(zmq::sockopt::last_endpoint);
        } catch (const zmq::error_t& problem) {
            return failed(error_code::unavailable, "Endpoint " + settings_.endpoint +
                                                       " cannot be bound: " + problem.what() + ".");
        }
        inbound_watch_ =
            loop_.call_when_readable(inbound_.get(zmq::sockopt::fd), [this] { drain_inbound(); });
        return outcome::success();
    }

    const std::string& endpoint() const override { return endpoint_; }
    void on_message(message_hook hook) override { on_message_ = std::move(hook); }
    void on_undelivered(undelivered_hook hook) override { on_undelivered_ = std::move(hook); }

    void send(const std::string& endpoint, const wire::Envelope& message) override {
        outbound_link& link = link_to(endpoint);
        const bool handed_over = link.waiting.empty() && try_send(link, message);
        if (!handed_over) {
            link.waiting.push_back({message, monotonic_now() + longest_wait});
            ++waiting_count_;
            plan_flush();
        }
        // Sending takes the edge that ZeroMQ's descriptor would signal for messages come in.
        touched_.insert(endpoint);
        drain_later();
    }

    void answer(const message_origin& origin, const wire::Envelope& message) override {
        if (!origin.endpoint.empty()) {
            send(origin.endpoint, message);
            return;
        }
        const std::string bytes = message.SerializeAsString();
        zmq::message_t name(origin.connection.data(), origin.connection.size());
        try {
            const auto sent =
                inbound_.send(name, zmq::send_flags::sndmore | zmq::send_flags::dontwait);
            if (sent) {
                inbound_.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
                bytes_sent_ += bytes.size();
            }
        } catch (const zmq::error_t&) {
            // The peer's connection is gone; so is whoever waits for this.
        }
        inbound_touched_ = true;
        drain_later();
    }

    void keep_only(const std::function<bool(const std::string&)>& wanted) override {
        std::erase_if(links_, [&wanted](const auto& item) { return !wanted(item.first); });
        waiting_count_ = 0;
        for (const auto& [endpoint, link] : links_) {
            waiting_count_ += link->waiting.size();
        }
    }

    std::uint64_t bytes_sent() const override { return bytes_sent_; }
    std::uint64_t bytes_received() const override { return bytes_received_; }

private:
    bool encrypted() const { return !settings_.curve_secret_key.empty(); }

    void set_common_options(zmq::socket_t& socket) const {
        socket.set(zmq::sockopt::maxmsgsize,
                   static_cast<std::int64_t>(settings_.max_message_bytes));
        socket.set(zmq::sockopt::linger, linger_ms);
        socket.set(zmq::sockopt::sndhwm, high_water_mark);
        socket.set(zmq::sockopt::rcvhwm, high_water_mark);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeat_period_ms);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeat_timeout_ms);
    }

    /// Only peers that prove to hold the fleet's key pair are let in. ZeroMQ asks over ZAP.
    void set_up_authentication() {
        if (!encrypted()) {
            return;
        }
        authenticator_ = zmq::socket_t(context_, zmq::socket_type::rep);
        authenticator_.set(zmq::sockopt::linger, 0);
        authenticator_.bind(zap_endpoint);
        authenticator_watch_ = loop_.call_when_readable(authenticator_.get(zmq::sockopt::fd),
                                                        [this] { drain_authentication(); });
    }

    void drain_authentication() {
        while ((authenticator_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            // version, request id, domain, address, identity, mechanism, key
            std::deque<std::string> frames;
            bool more = true;
            while (more) {
                zmq::message_t frame;
                if (!authenticator_.recv(frame, zmq::recv_flags::dontwait)) {
                    return;
                }
                more = frame.more();
                frames.push_back(frame.to_string());
            }
            constexpr std::size_t request_frames = 7;
            constexpr std::size_t key_frame = 6;
            constexpr std::size_t key_bytes = 32;
            bool known = false;
            if (frames.size() == request_frames && frames[key_frame].size() == key_bytes) {
                std::string text(settings_.curve_public_key.size() + 1, '\0');
                zmq_z85_encode(text.data(),
                               reinterpret_cast<const std::uint8_t*>(frames[key_frame].data()),
                               key_bytes);
                text.pop_back();
                known = text == settings_.curve_public_key;
            }
            const std::string request = frames.size() > 1 ? frames[1] : "";
            send_authentication(request, known);
        }
    }

    void send_authentication(const std::string& request, bool known) {
        const std::string version = "1.0";
        const std::string status = known ? "200" : "400";
        const std::string reason = known ? "" : "not the fleet's key";
        const std::string nothing;
        const auto more = zmq::send_flags::sndmore;
        authenticator_.send(zmq::buffer(version), more);
        authenticator_.send(zmq::buffer(request), more);
        authenticator_.send(zmq::buffer(status), more);
        authenticator_.send(zmq::buffer(reason), more);
        authenticator_.send(zmq::buffer(nothing), more);
        authenticator_.send(zmq::buffer(nothing), zmq::send_flags::none);
    }

    outbound_link& link_to(const std::string& endpoint) {
        const auto known = links_.find(endpoint);
        if (known != links_.end()) {
            return *known->second;
        }
        auto link = std::make_unique<outbound_link>();
        link->socket = zmq::socket_t(context_, zmq::socket_type::dealer);
        set_common_options(link->socket);
        link->socket.set(zmq::sockopt::immediate, true);
        link->socket.set(zmq::sockopt::reconnect_ivl, reconnect_first_ms);
        link->socket.set(zmq::sockopt::reconnect_ivl_max, reconnect_longest_ms);
        if (encrypted()) {
            link->socket.set(zmq::sockopt::curve_serverkey, settings_.curve_public_key);
            link->socket.set(zmq::sockopt::curve_publickey, settings_.curve_public_key);
            link->socket.set(zmq::sockopt::curve_secretkey, settings_.curve_secret_key);
        }
        try {
            link->socket.connect(endpoint);
        } catch (const zmq::error_t&) {
            // A malformed endpoint never connects; what is sent there is reported undelivered.
        }
        link->watch = loop_.call_when_readable(link->socket.get(zmq::sockopt::fd),
                                               [this, endpoint] { drain_link(endpoint); });
        return *links_.emplace(endpoint, std::move(link)).first->second;
    }

    bool try_send(outbound_link& link, const wire::Envelope& message) {
        const std::string bytes = message.SerializeAsString();
        const auto sent = link.socket.send(zmq::buffer(bytes), zmq::send_flags::dontwait);
        if (!sent) {
            return false;
        }
        bytes_sent_ += bytes.size();
        return true;
    }

    /// Runs only while messages wait: a timer that never rests would wake an idle process.
    void plan_flush() {
        if (std::exchange(flush_planned_, true)) {
            return;
        }
        loop_.call_after(retry_period, [this, alive = alive_] {
            if (!*alive) {
                return;
            }
            flush_planned_ = false;
            flush_waiting();
            if (waiting_count_ > 0) {
                plan_flush();
            }
        });
    }

    void flush_waiting() {
        const instant now = monotonic_now();
        std::deque<std::pair<std::string, wire::Envelope>> given_up;
        for (auto& [endpoint, link] : links_) {
            if (!link->waiting.empty()) {
                touched_.insert(endpoint);
            }
            while (!link->waiting.empty()) {
                waiting_message& first = link->waiting.front();
                const bool sent = try_send(*link, first.message);
                if (!sent && first.until > now) {
                    break;
                }
                if (!sent) {
                    given_up.emplace_back(endpoint, std::move(first.message));
                }
                link->waiting.pop_front();
                --waiting_count_;
            }
        }
        drain_later();
        for (const auto& [endpoint, message] : given_up) {
            if (on_undelivered_) {
                on_undelivered_(endpoint, message);
            }
        }
    }

    /// A zmq descriptor signals edges only, so whatever came in during a send is looked for here,
    /// on the sockets that sent: a look at each costs a system call, which with 25 connections was
    /// a third of what a message costs.
    void drain_later() {
        if (std::exchange(drain_planned_, true)) {
            return;
        }
        loop_.call_after(microseconds(0), [this, alive = alive_] {
            if (!*alive) {
                return;
            }
            drain_planned_ = false;
            if (std::exchange(inbound_touched_, false)) {
                drain_inbound();
            }
            for (const std::string& endpoint : std::exchange(touched_, {})) {
                drain_link(endpoint);
            }
        });
    }

    void drain_inbound() {
        while ((inbound_.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0) {
            zmq::message_t name;
            zmq::message_t body;
            if (!inbound_.recv(name, zmq::recv_flags::dontwait)) {
                return;
            }
            const bool has_body = name.more() && inbound_.recv(body, zmq::recv_flags::dontwait);
            if (!has_body) {
                continue;
            }
            skip_rest(inbound_, body);
            deliver({name.to_string(), {}}, body);
        }
    }

    void drain_link(const std::string& endpoint) {
        while (true) {
            const auto link = links_.find(endpoint);
            if (link == links_.end()) {
                return;
            }
            zmq::socket_t& socket = link->second->socket;
            if ((socket.get(zmq::sockopt::events) & ZMQ_POLLIN) == 0) {
                return;
            }
            zmq::message_t body;
            if (!socket.recv(body, zmq::recv_flags::dontwait)) {
                return;
            }
            skip_rest(socket, body);
            deliver({{}, endpoint}, body);
        }
    }

    /// Our messages have one part; whatever a stranger adds is dropped.
    static void skip_rest(zmq::socket_t& socket, const zmq::message_t& part) {
        bool more = part.more();
        while (more) {
            zmq::message_t rest;
            if (!socket.recv(rest, zmq::recv_flags::dontwait)) {
                return;
            }
            more = rest.more();
        }
    }

    void deliver(const message_origin& origin, const zmq::message_t& body) {
        bytes_received_ += body.size();
        wire::Envelope message;
        const bool parsed = message.ParseFromArray(body.data(), static_cast<int>(body.size()));
        if (parsed && on_message_) {
            on_message_(origin, message);
        }
    }

    event_loop& loop_;
    message_bus_settings settings_;
    zmq::context_t context_;
    zmq::socket_t authenticator_;
    std::unique_ptr<timer> authenticator_watch_;
    zmq::socket_t inbound_;
    std::unique_ptr<timer> inbound_watch_;
    std::string endpoint_;
    std::map<std::string, std::unique_ptr<outbound_link>> links_;
    message_hook on_message_;
    undelivered_hook on_undelivered_;
    std::size_t waiting_count_ = 0;
    bool drain_planned_ = false;
    /// The endpoints of the connections that sent since the last drain, and whether the inbound
    /// ones did.
    std::set<std::string> touched_;
    bool inbound_touched_ = false;
    bool flush_planned_ = false;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

result<std::unique_ptr<message_bus>> message_bus::open(event_loop& loop,
                                                       const message_bus_settings& settings) {
    auto bus = std::make_unique<zmq_bus>(loop, settings);
    const result<void> bound = bus->bind();
    if (!bound) {
        return bound.error();
    }
    return std::unique_ptr<message_bus>(std::move(bus));
}

}  // namespace wrenswitch
