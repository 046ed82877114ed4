#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>

#include "support/fixed_port.hpp"
#include "support/raw_socket.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::testing {

/// What delimits the body of a response.
enum class body_end { chunks, connection };

/// A stand-in of a model engine that writes its responses byte by byte, so that a test decides how
/// they end, and that crashes when it begins to write an answer on a certain prompt part.
class prompt_engine {
public:
    static constexpr microseconds prefill_time = milliseconds(40);
    static constexpr microseconds event_interval = milliseconds(10);
    static constexpr int events = 3;

    struct hooks {
        /// A request with the crashing part arrived.
        std::function<void()> reached;
        /// The process ends under such a request.
        std::function<void()> crashed;
    };

    prompt_engine(event_loop& loop, std::string id, hooks callbacks)
        : loop_(loop), id_(std::move(id)), hooks_(std::move(callbacks)) {
        start_again();
    }
    ~prompt_engine() { *alive_ = false; }
    prompt_engine(const prompt_engine&) = delete;
    prompt_engine& operator=(const prompt_engine&) = delete;

    const std::string& id() const { return id_; }
    bool runs() const { return listener_.open(); }

    /// What the platform's list says of this engine.
    std::string list_entry() const {
        return R"({"service":"llm","addr":"127.0.0.1:)" + std::to_string(port_) +
               R"(","zone":"z1","slots":64,"coldLeftMs":0,"state":"ready","seq":1,"born":)" +
               std::to_string(started_) + "}";
    }

    /// Ends like a process that is killed: its connections close, and nothing listens.
    void crash() {
        runs_.clear();
        listener_.close();
    }

    void start_again() {
        started_ += 1000;
        listener_ = raw_socket::listen(port_, 64);
        poll();
    }

    /// The part that crashes this engine, as prompts name it; empty for none. The last part of a
    /// prompt never does.
    std::string crashing_part;
    body_end delimiter = body_end::chunks;
    /// The whole events that are written before a crash.
    int events_before_crash = 0;
    /// True if the crash cuts an event in two.
    bool crashes_inside_event = true;

private:
    struct run {
        raw_socket socket;
        std::string request_id;
        bool is_fatal = false;
        bool started = false;
        bool finished = false;
        int sent_events = 0;
        instant due{};
    };

    static constexpr microseconds poll_period = milliseconds(2);

    void poll() {
        if (!runs()) {
            return;
        }
        accept_connections();
        for (run& each : runs_) {
            if (each.started) {
                advance(each);
            } else {
                read_request(each);
            }
            if (!runs()) {
                return;
            }
        }
        std::erase_if(runs_, [](run& each) { return each.finished || each.socket.ended(); });
        loop_.call_after(poll_period, [this, life = started_, alive = alive_] {
            if (*alive && life == started_) {
                poll();
            }
        });
    }

    void accept_connections() {
        for (raw_socket accepted = listener_.accept(); accepted.open();
             accepted = listener_.accept()) {
            runs_.emplace_back().socket = std::move(accepted);
        }
    }

    static std::string header(const std::string& request, const std::string& name) {
        const std::size_t at = request.find("\r\n" + name + ": ");
        if (at == std::string::npos) {
            return {};
        }
        const std::size_t begin = at + name.size() + 4;
        return request.substr(begin, request.find("\r\n", begin) - begin);
    }

    bool has_crashing_part(const std::string& prompt) const {
        const std::size_t last = prompt.rfind(',');
        const std::string shared = "," + prompt.substr(0, last == prompt.npos ? 0 : last);
        return !crashing_part.empty() && shared.find("," + crashing_part + ":") != shared.npos;
    }

    void read_request(run& each) {
        const std::string& text = each.socket.received();
        const std::size_t head_end = text.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return;
        }
        const std::string length = header(text, "Content-Length");
        if (text.size() < head_end + 4 + (length.empty() ? 0 : std::stoul(length))) {
            return;
        }
        each.started = true;
        each.request_id = header(text, "Request-Id");
        each.is_fatal = has_crashing_part(header(text, "Prefix-Hash"));
        each.due = monotonic_now() + prefill_time;
        if (each.is_fatal) {
            hooks_.reached();
        }
    }

    void send_body(const run& each, const std::string& bytes) const {
        if (delimiter == body_end::connection) {
            each.socket.send(bytes);
            return;
        }
        constexpr std::string_view digits = "0123456789abcdef";
        std::string length;
        for (std::size_t left = bytes.size(); left > 0; left /= 16) {
            length.insert(length.begin(), digits[left % 16]);
        }
        each.socket.send(length + "\r\n" + bytes + "\r\n");
    }

    void send_head(const run& each) const {
        each.socket.send(
            "HTTP/1.1 200 OK\r\nRequest-Id: " + each.request_id + "\r\nServer-Stamp: stamp-" + id_ +
            "\r\nContent-Type: text/event-stream\r\nConnection: close\r\n" +
            (delimiter == body_end::chunks ? "Transfer-Encoding: chunked\r\n" : "") + "\r\n");
    }

    void advance(run& each) {
        if (monotonic_now() < each.due) {
            return;
        }
        if (each.sent_events == 0) {
            send_head(each);
        }
        if (each.is_fatal && each.sent_events == events_before_crash) {
            if (crashes_inside_event) {
                send_body(each, "id: 9\nda");
            }
            hooks_.crashed();
            crash();
            return;
        }
        each.sent_events += 1;
        send_body(each, "id: " + std::to_string(each.sent_events) + "\ndata: e\n\n");
        each.due = monotonic_now() + event_interval;
        if (each.sent_events == events) {
            if (delimiter == body_end::chunks) {
                each.socket.send("0\r\n\r\n");
            }
            each.finished = true;
        }
    }

    event_loop& loop_;
    std::string id_;
    hooks hooks_;
    std::uint16_t port_ = fixed_port();
    std::int64_t started_ = 1'700'000'000'000;
    raw_socket listener_;
    std::list<run> runs_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch::testing
