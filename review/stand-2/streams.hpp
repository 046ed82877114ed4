// Model workers that answer with a series of events, and clients that take a stream up after a
// broken connection, for the scripts of the second review.
#pragma once

#include "kit.hpp"

namespace kit {

struct arrival {
    std::int64_t at;
    std::string request;
    std::string last_event;
};

/// A model worker: answers with a series of events, or goes on behind the event that is named. It
/// works on a request as long as the connection is open.
class stream_worker {
public:
    stream_worker(std::string id, std::string version, std::string host, int events,
                  record_file& record)
        : id_(std::move(id)), host_(std::move(host)), events_(events), record_(record) {
        start(version);
    }
    ~stream_worker() { end(); }

    const std::string& id() const { return id_; }

    /// The time to the first event and between two events.
    void set_pace(std::int64_t first_event_ms, std::int64_t event_gap_ms) {
        first_event_ms_ = first_event_ms;
        event_gap_ms_ = event_gap_ms;
    }

    /// Begins a new life under the same id and address.
    void start(const std::string& version) {
        const std::lock_guard<std::mutex> hold(mutex_);
        version_ = version;
        born_ = unix_ms();
        seq_ = 0;
        server_ = std::make_unique<server>(
            host_, [this, version](connection& peer) { serve(peer, version); }, port_);
        port_ = server_->port();
        ending_ = false;
    }
    /// Ends like a process that exits: the port is dead, streams break off.
    void end() {
        ending_ = true;
        if (server_) {
            server_->stop();
        }
    }

    std::string entry() {
        const std::lock_guard<std::mutex> hold(mutex_);
        return "{\"service\":\"texts\",\"addr\":\"" + host_ + ":" + std::to_string(port_) +
               "\",\"zone\":\"zone-a\",\"version\":\"" + version_ +
               "\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"stage\":\"colocated\","
               "\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],\"born\":" +
               std::to_string(born_) + ",\"seq\":" + std::to_string(++seq_) + "}";
    }
    std::vector<arrival> arrivals() {
        const std::lock_guard<std::mutex> hold(mutex_);
        return arrivals_;
    }

private:
    void serve(connection& peer, const std::string& version) {
        while (const std::optional<message> request = peer.whole()) {
            const std::string number = request->header("Request-Id");
            if (request->header("Expect-Instance") != id_) {
                peer.send(answer_text(421, "Misdirected Request",
                                      {{"Request-Id", number}, {"Instance-Id", id_}}, ""));
                continue;
            }
            const std::string last = request->header("Last-Event-Id");
            {
                const std::lock_guard<std::mutex> hold(mutex_);
                arrivals_.push_back({now_ms(), number, last});
            }
            record_.line("run " + id_ + " " + version + " request " + number + " last_event " +
                         (last.empty() ? "-" : last));
            if (!stream(peer, number, version, last.empty() ? 0 : std::stoi(last))) {
                record_.line("broken off " + id_ + " " + version + " request " + number);
                return;
            }
        }
    }

    bool stream(connection& peer, const std::string& number, const std::string& version, int from) {
        if (!peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + number + "\r\nServer-Stamp: " + id_ +
                       "." + number +
                       "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: "
                       "chunked\r\n\r\n")) {
            return false;
        }
        for (int event = from + 1; event <= events_; ++event) {
            sleep_ms(event == from + 1 ? first_event_ms_ : event_gap_ms_);
            const std::string text = "id: " + std::to_string(event) + "\ndata: " + version + "\n\n";
            char size[16];
            std::snprintf(size, sizeof size, "%zx\r\n", text.size());
            if (ending_ || peer.peer_gone() || !peer.send(size + text + "\r\n")) {
                return false;
            }
        }
        return peer.send("0\r\n\r\n");
    }

    std::string id_;
    std::string host_;
    int events_;
    record_file& record_;
    std::atomic<std::int64_t> first_event_ms_{40};
    std::atomic<std::int64_t> event_gap_ms_{200};
    std::mutex mutex_;
    std::string version_;
    int port_ = 0;
    std::int64_t born_ = 0;
    int seq_ = 0;
    std::vector<arrival> arrivals_;
    std::atomic<bool> ending_{false};
    std::unique_ptr<server> server_;
};

/// The operator's configuration: one service of model workers behind one route, whose streams may
/// be resumed or not, and one tenant with so many tokens.
inline std::string stream_configuration(bool resumable, std::int64_t prepaid) {
    return "{\"version\":7,\"routes\":[{\"name\":\"r-texts\",\"host\":\"site.example\","
           "\"pathPrefix\":\"/texts/"
           "\",\"kind\":\"streaming\",\"timeoutMs\":30000,\"targetLatencyMs\":600,\"priority\":1,"
           "\"service\":\"texts\",\"maxAttempts\":3,\"public\":false,\"sticky\":true,"
           "\"resumable\":" +
           std::string(resumable ? "true" : "false") +
           ",\"targetGapMs\":400}],\"services\":[{\"name\":\"texts\",\"healthPath\":\"/"
           "health\",\"maxConns\":360,\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
           "\"kvCapacity\":374509,\"kvTokenBytes\":163840,\"linkMbps\":1100000.0,\"moves\":true,"
           "\"backups\":true,\"stride\":3,\"most\":12,\"pinMs\":4000.0,\"holdMs\":2000.0,"
           "\"handleS\":5.0,\"models\":[{\"name\":\"m\"}]}}],\"limits\":{\"maxHeaderBytes\":16384,"
           "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000},\"tenants\":"
           "[{\"name\":\"tenant1\",\"apiKeys\":[\"key1\"],\"priority\":1,\"prepaid\":" +
           std::to_string(prepaid) + "}]}";
}

/// What one client saw of its stream, over all its tries.
struct stream_outcome {
    /// A try that took the stream up was sent when all machines were in touch.
    bool tried_in_touch = false;
    /// One of these was answered with the next event.
    bool went_on = false;
    /// The first event came.
    bool began = false;
    bool complete = false;
    std::set<std::string> versions;
    /// The tries that were answered with 200 and broke off.
    std::vector<std::string> broken_off;
};

/// Two front machines with a gateway each, and side machines with a relay each.
class stream_fleet {
public:
    stream_fleet(const std::string& binaries, const std::string& folder, record_file& record,
                 const std::string& configuration = stream_configuration(true, 100'000'000))
        : record_(record), store_("127.0.0.10") {
        store_.put("keyed.op", "config", configuration);
        for (int at = 0; at < 2; ++at) {
            const std::string name = "front-" + std::to_string(at + 1);
            gateways_.push_back(std::make_unique<program>(
                binaries + "/wrengate", folder + "/" + name + ".json",
                gateway_settings(name, at == 0 ? "zone-a" : "zone-b", gateway_host(at), ports_,
                                 store_.address()),
                folder + "/" + name + ".log"));
        }
        for (int at = 0; at < 4; ++at) {
            const std::string name = "side-" + std::to_string(at + 1);
            relays_.push_back(
                std::make_unique<program>(binaries + "/wrenrelay", folder + "/" + name + ".json",
                                          relay_settings(name, "127.0.0.2" + std::to_string(at + 1),
                                                         ports_, store_.address()),
                                          folder + "/" + name + ".log"));
        }
        beats_ = std::thread([this] { beat(); });
    }
    ~stream_fleet() {
        beating_ = false;
        beats_.join();
        gateways_.clear();
        relays_.clear();
    }
    stream_fleet(const stream_fleet&) = delete;
    stream_fleet& operator=(const stream_fleet&) = delete;

    static std::string gateway_host(int at) { return "127.0.0.1" + std::to_string(at % 2 + 1); }
    program& gateway(int at) { return *gateways_[static_cast<std::size_t>(at)]; }
    int port() const { return ports_.front; }

    bool wait_until_ready() {
        return wait_ready(gateway_host(0), ports_.ready, now_ms() + 15000) &&
               wait_ready(gateway_host(1), ports_.ready, now_ms() + 15000);
    }

    /// The worker writes its entry, at once and then every heartbeat.
    void list(stream_worker& worker) { list_after(worker, 0); }
    /// The same from a first heartbeat on.
    void list_after(stream_worker& worker, std::int64_t wait) {
        const std::lock_guard<std::mutex> hold(mutex_);
        next_beat_[&worker] = now_ms() + wait;
    }
    /// The worker writes nothing more; its last entry stands.
    void silence(stream_worker& worker) {
        const std::lock_guard<std::mutex> hold(mutex_);
        next_beat_.erase(&worker);
    }
    /// The worker takes its entry away. Returns when the store acknowledged that.
    std::int64_t unlist(stream_worker& worker) {
        silence(worker);
        const std::int64_t at = store_.put("keyed.servers", worker.id(), std::nullopt);
        record_.line("store entry of " + worker.id() + " is gone");
        return at;
    }

private:
    static constexpr std::int64_t heartbeat_ms = 1200;

    void beat() {
        while (beating_) {
            {
                const std::lock_guard<std::mutex> hold(mutex_);
                for (auto& [worker, at] : next_beat_) {
                    if (now_ms() >= at) {
                        at = now_ms() + heartbeat_ms;
                        store_.put("keyed.servers", worker->id(), worker->entry());
                    }
                }
            }
            sleep_ms(5);
        }
    }

    record_file& record_;
    store store_;
    fleet_ports ports_;
    std::vector<std::unique_ptr<program>> gateways_;
    std::vector<std::unique_ptr<program>> relays_;
    std::mutex mutex_;
    std::map<stream_worker*, std::int64_t> next_beat_;
    std::atomic<bool> beating_{true};
    std::thread beats_;
};

/// How a client acts.
struct stream_client {
    int number = 0;
    int port = 0;
    int deadline_ms = 30000;
    /// The most tries that find a gateway, the first among them.
    int tries = 10;
    /// The tries sent from this time on count as sent to machines in touch.
    std::int64_t in_touch_from = 0;
    /// The client's own connection breaks at this time of the first try; never if zero.
    std::int64_t breaks_at = 0;
    record_file* record = nullptr;

    /// Begins a stream and takes it up after each broken connection, always on a new connection
    /// and after the time that a refusal names.
    void run(stream_outcome& result) const {
        char name[32];
        std::snprintf(name, sizeof name, "a%06x", number + 1);
        const std::string first = name;
        int last = 0;
        const std::int64_t started = now_ms();
        int found = 0;
        for (int at = number; found < tries && !result.complete; ++at) {
            const std::int64_t left = started + deadline_ms - now_ms();
            if (left < 1000) {
                return;
            }
            const std::int64_t sent_at = now_ms();
            const auto link = open_to(stream_fleet::gateway_host(at), port);
            if (!link) {
                sleep_ms(250);
                continue;
            }
            const std::string id = found == 0 ? first : first + "r" + std::to_string(found);
            ++found;
            link->send(request_text(id, first, last, left));
            const int before = last;
            std::string status;
            const double retry_after =
                read(*link, found == 1 ? breaks_at : 0, last, status, result);
            const bool in_touch = sent_at >= in_touch_from;
            record->line("client " + id + (before > 0 ? " takes up at " : " begins, at ") +
                         std::to_string(before) + " status " + status + " events to " +
                         std::to_string(last) + (result.complete ? " complete" : "") +
                         (in_touch ? " in touch" : ""));
            if (before > 0 && in_touch) {
                result.tried_in_touch = true;
                result.went_on = result.went_on || last > before || result.complete;
            }
            result.began = result.began || (before == 0 && last > 0);
            if (status == "200" && !result.complete) {
                result.broken_off.push_back(id);
            }
            sleep_ms(static_cast<std::int64_t>(1000.0 * std::min(retry_after, 5.0)));
        }
    }

private:
    std::string request_text(const std::string& id, const std::string& first, int last,
                             std::int64_t left) const {
        const std::string body = "question " + first;
        std::string text =
            "POST /texts/a HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
            "\r\nModel: m\r\nToken-Usage: 300,400\r\nPrefix-Hash: " +
            (number % 4 < 2 ? "aa01" : "bb02") + ":200," + first.substr(1) +
            ":100\r\nDeadline-Ms: " + std::to_string(left) +
            "\r\nCredential: key1\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
        if (last > 0) {
            text += "Last-Event-Id: " + std::to_string(last) + "\r\nResumes: " + first + "\r\n";
        }
        return text + "\r\n" + body;
    }

    /// Reads one answer. Returns the seconds of a refusal's Retry-After.
    static double read(connection& link, std::int64_t breaks_at, int& last, std::string& status,
                       stream_outcome& seen) {
        constexpr int patience_ms = 3000;
        const std::optional<message> head = link.head(patience_ms);
        status = head ? head->second : "none";
        if (status != "200") {
            return head ? std::atof(head->header("Retry-After").c_str()) : 0.0;
        }
        while (breaks_at == 0 || now_ms() < breaks_at) {
            const std::optional<std::string> part = link.chunk(patience_ms);
            if (!part) {
                return 0.0;
            }
            if (part->empty()) {
                seen.complete = true;
                return 0.0;
            }
            for (std::size_t at = part->find("id: "); at != std::string::npos;
                 at = part->find("id: ", at + 1)) {
                last = std::atoi(part->c_str() + at + 4);
                const std::size_t data = part->find("data: ", at);
                seen.versions.insert(part->substr(data + 6, 2));
            }
        }
        return 0.0;
    }
};

}  // namespace kit
