#pragma once

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/gateway_fleet.hpp"

namespace wrenswitch::testing {

/// A target that answers with a stream of numbered events that name its software version. It goes
/// on after the event that a request names.
class stream_target {
public:
    static constexpr int events = 24;

    stream_target(event_loop& loop, const std::string& id, const std::string& version)
        : loop_(loop), worker(loop, id) {
        worker.version = version;
        worker.answer = [this](const ingress_exchange_pointer& exchange) { serve(exchange); };
    }

    /// Ends like a process that is killed.
    void crash() {
        life_ += 1;
        worker.crash();
    }

    /// Starts again under the same identifier and version.
    void start_again() { worker.start_again(); }

    bool runs() const { return worker.runs(); }

private:
    event_loop& loop_;

public:
    worker_standin worker;
    std::string service;
    /// The time between two events.
    microseconds event_interval = milliseconds(25);

private:
    /// Numbers the processes that this target has been.
    unsigned life_ = 0;

    void serve(const ingress_exchange_pointer& exchange) {
        exchange->begin_answer(200, worker.signed_headers(exchange));
        const std::string last(exchange->head().header("Last-Event-Id"));
        send_events(exchange, last.empty() ? 1 : std::stoi(last) + 1, life_);
    }

    void send_events(const ingress_exchange_pointer& exchange, int number, unsigned life) {
        if (life != life_) {
            return;
        }
        if (number > events) {
            exchange->end_answer();
            return;
        }
        exchange->send_piece("id: " + std::to_string(number) + "\ndata: " + worker.version +
                             "\n\n");
        loop_.call_after(event_interval, [this, exchange, number, life] {
            send_events(exchange, number + 1, life);
        });
    }
};

/// A caller's stream, over all of its attempts.
struct resumable_call {
    std::string path;
    std::string key = "key-1";
    /// The identifier of each attempt, and the one whose response brought the first event.
    std::vector<std::string> attempts;
    std::string begun_by;
    raw_socket socket;
    /// The numbers and versions of the events that arrived over all attempts.
    std::vector<int> numbers;
    std::set<std::string> versions;
    /// The status of the current attempt, or zero.
    unsigned status = 0;
    bool complete = false;

    std::string last_event() const { return numbers.empty() ? "" : std::to_string(numbers.back()); }

    /// Reads what has arrived of the current attempt.
    void read() {
        const std::string& text = socket.received();
        if (text.size() > 12) {
            status = static_cast<unsigned>(std::stoul(text.substr(9, 3)));
        }
        for (std::size_t at = text.find("id: ", parsed_); at != std::string::npos;
             at = text.find("id: ", parsed_)) {
            const std::size_t data = text.find("\ndata: ", at);
            const std::size_t end = text.find("\n\n", at);
            if (end == std::string::npos) {
                break;
            }
            numbers.push_back(std::stoi(text.substr(at + 4)));
            versions.insert(text.substr(data + 7, end - data - 7));
            parsed_ = end;
            if (begun_by.empty()) {
                begun_by = attempts.back();
            }
        }
        complete = complete || (status == 200U && text.ends_with("0\r\n\r\n"));
    }

    /// True once the current attempt has ended.
    bool ended() {
        read();
        return complete || socket.ended();
    }

    void begin_attempt(raw_socket connected, const std::string& id) {
        attempts.push_back(id);
        socket = std::move(connected);
        parsed_ = 0;
        status = 0;
    }

    /// True if each event arrived once and in order.
    bool is_whole() const {
        for (std::size_t at = 0; at < numbers.size(); ++at) {
            if (numbers[at] != static_cast<int>(at) + 1) {
                return false;
            }
        }
        return complete && numbers.size() == stream_target::events;
    }

private:
    std::size_t parsed_ = 0;
};

/// Some real wrengates before stream targets of two software versions, of a plain service and of
/// engines, and callers that resume broken streams.
struct stream_fleet : gateway_fleet {
    std::vector<std::unique_ptr<stream_target>> targets;
    std::deque<resumable_call> calls;
    std::uint64_t configuration_version = 0;
    /// The services of the plain stream route, as JSON.
    std::string plain_services = R"("service":"app")";

    explicit stream_fleet(std::size_t count = 3) : gateway_fleet(count) {
        more_settings = R"(,"retry_share":0.5)";
        configure();
    }

    void configure() {
        store.put("keyed.op", "config",
                  R"({"version":)" + std::to_string(++configuration_version) + R"(,"routes":[
            {"name":"plain","host":"h.test","pathPrefix":"/plain/","kind":"streaming",
             "resumable":true,"timeoutMs":8000,"targetLatencyMs":1000,)" +
                      plain_services + R"(,"maxAttempts":2},
            {"name":"engine","host":"h.test","pathPrefix":"/engine/","kind":"streaming",
             "resumable":true,"timeoutMs":8000,"targetLatencyMs":1000,"service":"llm",
             "maxAttempts":2}],
            "services":[{"name":"app","healthPath":"/health","maxConns":240},
             {"name":"other","healthPath":"/health","maxConns":240},
             {"name":"llm","healthPath":"/health","maxConns":240,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"],"prepaid":10000000},
             {"name":"stranger","apiKeys":["key-2"],"prepaid":10000000}]})");
    }

    stream_target& add_target(const std::string& service, const std::string& id,
                              const std::string& version) {
        targets.push_back(std::make_unique<stream_target>(loop, id, version));
        targets.back()->service = service;
        list(*targets.back(), service);
        return *targets.back();
    }

    void list(const stream_target& target, const std::string& service,
              const std::string& state = "ready") {
        store.put("keyed.servers", target.worker.id(), target.worker.list_entry(service, state));
    }

    /// So many targets of a version in a service.
    void add_targets(const std::string& service, const std::string& version, int count) {
        for (int number = 1; number <= count; ++number) {
            add_target(service, "i-" + service + "-" + version + "-" + std::to_string(number),
                       version);
        }
    }

    stream_target& target(const std::string& id) {
        return **std::find_if(targets.begin(), targets.end(),
                              [&id](const auto& each) { return each->worker.id() == id; });
    }

    /// Sends a new attempt of a stream. Resumes it if events have arrived.
    void send(resumable_call& call, const entry& at) {
        const std::string id = "r" + std::to_string(++last_id_);
        std::string resumption;
        if (!call.numbers.empty()) {
            resumption =
                "Resumes: " + call.begun_by + "\r\nLast-Event-Id: " + call.last_event() + "\r\n";
        }
        send_as(call, at, id, resumption);
    }

    /// Sends an attempt with the given headers about the resumed stream.
    void send_as(resumable_call& call, const entry& at, const std::string& id,
                 const std::string& resumption) {
        raw_socket socket = raw_socket::connect(at.listen);
        // Each prompt is a different one, so that no cached prefix draws it to one engine.
        const std::string prompt =
            call.path.starts_with("/engine")
                ? "Model: m\r\nToken-Usage: 100,200\r\nPrefix-Hash: a" + id.substr(1) + ":100\r\n"
                : "";
        socket.send("POST " + call.path + "x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
                    "\r\nCredential: " + call.key + "\r\nDeadline-Ms: 8000\r\n" + prompt +
                    resumption + "Connection: close\r\nContent-Length: 2\r\n\r\nhi");
        call.begin_attempt(std::move(socket), id);
    }

    resumable_call& begin(const std::string& path, const entry& at) {
        calls.emplace_back().path = path;
        send(calls.back(), at);
        return calls.back();
    }

    /// Starts streams at an entry and waits until each has brought some events.
    void begin_streams(const std::string& path, const entry& at, std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            begin(path, at);
        }
        BOOST_REQUIRE(run_until([this] {
            return std::all_of(calls.begin(), calls.end(), [](resumable_call& call) {
                call.read();
                return call.numbers.size() >= 3;
            });
        }));
    }

    /// Lets all attempts end.
    void finish_attempts() {
        BOOST_REQUIRE(run_until(
            [this] {
                return std::all_of(calls.begin(), calls.end(),
                                   [](resumable_call& call) { return call.ended(); });
            },
            seconds(10)));
    }

    /// Resumes all broken streams at an entry and lets them end.
    void resume_broken(const entry& at) {
        for (resumable_call& call : calls) {
            if (!call.complete) {
                send(call, at);
            }
        }
        finish_attempts();
    }

    std::size_t whole() const {
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [](const resumable_call& call) { return call.is_whole(); }));
    }

    /// The streams with events of more than one version.
    std::size_t mixed() const {
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(),
                          [](const resumable_call& call) { return call.versions.size() > 1; }));
    }

    /// Lets served streams earn retries at an entry; the streams are forgotten.
    void earn_retries(const std::string& path, const entry& at, std::size_t count) {
        for (std::size_t number = 0; number < count; ++number) {
            begin(path, at);
        }
        finish_attempts();
        calls.clear();
    }

private:
    std::size_t last_id_ = 0;
};

}  // namespace wrenswitch::testing
