#pragma once

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "platform/store_standin.hpp"
#include "stand/wire.hpp"
#include "support/child_process.hpp"
#include "support/loop_runner.hpp"
#include "wrenswitch/drivers/ingress_server.hpp"

namespace review {

using namespace wrenswitch;

/// What a case ends with.
enum exit_code { rule_held = 0, rule_broken = 1, could_not_run = 2 };

/// True unless the case is played without its disruption.
inline bool with_trouble() {
    const char* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// The file with what was sent, answered and run, a line each with the time since the start.
class record {
public:
    explicit record(const std::string& file) : file_(file) {}

    void add(const std::string& line) {
        const auto elapsed =
            std::chrono::duration_cast<milliseconds>(monotonic_now() - start_).count();
        file_ << elapsed << " ms  " << line << std::endl;
    }

    /// Since the start.
    long elapsed_ms() const {
        return std::chrono::duration_cast<milliseconds>(monotonic_now() - start_).count();
    }

private:
    std::ofstream file_;
    instant start_ = monotonic_now();
};

/// A port of this address that nobody uses.
inline std::uint16_t free_port(const std::string& host) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t length = sizeof address;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(descriptor);
    return ntohs(address.sin_port);
}

/// A worker: it answers 421 to requests that expect another one, and otherwise as the case says.
class worker {
public:
    using answer_hook = std::function<void(worker&, const ingress_exchange_pointer&)>;

    worker(event_loop& loop, std::string id, std::string service, std::string zone,
           std::string host, unsigned slots, answer_hook answer)
        : id_(std::move(id)),
          service_(std::move(service)),
          zone_(std::move(zone)),
          host_(std::move(host)),
          slots_(slots),
          answer_(std::move(answer)) {
        // Room for what the configuration allows callers to send.
        server_ =
            std::move(ingress_server::start(
                          loop, host_, 0, [] { return ingress_limits{}; },
                          [this](const ingress_exchange_pointer& exchange) { serve(exchange); })
                          .value());
    }

    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    const std::string& host() const { return host_; }

    /// The entry in the platform's store, with the next `seq`.
    std::string entry(const std::string& state = "ready") {
        return R"({"service":")" + service_ + R"(","addr":")" + host_ + ":" +
               std::to_string(server_->port()) + R"(","zone":")" + zone_ +
               R"(","version":"v1","slots":)" + std::to_string(slots_) + R"(,"state":")" + state +
               R"(","coldLeftMs":0,"seq":)" + std::to_string(++seq_) + "}";
    }

    /// The headers that each of its answers carries.
    std::vector<http_header> signature(const ingress_exchange_pointer& exchange) const {
        return {{"Request-Id", std::string(exchange->head().header("Request-Id"))},
                {"Server-Stamp", "stamp." + id_}};
    }

    /// Ends like a process: nothing listens any more, and its connections close.
    void stop() {
        server_->stop_listening();
        for (const std::weak_ptr<ingress_exchange>& each : exchanges_) {
            if (const ingress_exchange_pointer open = each.lock()) {
                open->cut();
            }
        }
    }

private:
    void serve(const ingress_exchange_pointer& exchange) {
        const std::string_view expected = exchange->head().header("Expect-Instance");
        if (!expected.empty() && expected != id_) {
            exchange->answer(421, {{"Instance-Id", id_}}, "");
            return;
        }
        std::erase_if(exchanges_, [](const auto& each) { return each.expired(); });
        exchanges_.emplace_back(exchange);
        answer_(*this, exchange);
    }

    std::string id_;
    std::string service_;
    std::string zone_;
    std::string host_;
    unsigned slots_;
    answer_hook answer_;
    std::uint64_t seq_ = 0;
    std::vector<std::weak_ptr<ingress_exchange>> exchanges_;
    std::unique_ptr<ingress_server> server_;
};

/// A machine with a gateway on it, at a loopback address of its own.
struct front {
    std::string name;
    std::string zone;
    std::string host;
    std::uint16_t listen = 0;
    std::uint16_t ready = 0;
    std::unique_ptr<test::child_process> process;
};

/// What a deployment's settings say of all its front machines. By default those of the site
/// toplina-zg.
struct site_settings {
    /// A JSON object with the region of each zone.
    std::string zones = R"({"zg-borongaj":"zagreb","zg-sesvete":"zagreb"})";
    std::string cpu_share = "0.19";
    std::string link_mbps = "1000.0";
    std::string retry_slack = "54";
};

/// A small deployment on loopback addresses: stand-ins of the store and of workers, and the
/// project's gateways, started with the command and the settings of its deploy file.
class deployment : public testing::loop_runner {
public:
    explicit deployment(std::string folder, site_settings settings = {})
        : folder_(std::move(folder)), settings_(std::move(settings)) {
        std::filesystem::create_directories(folder_);
    }
    ~deployment() {
        for (front& each : fronts) {
            each.process.reset();
        }
        std::error_code ignored;
        std::filesystem::remove_all(folder_, ignored);
    }

    testing::store_standin store{loop};
    std::vector<front> fronts;
    std::vector<std::unique_ptr<worker>> workers;

    worker& add_worker(const std::string& id, const std::string& service, const std::string& zone,
                       unsigned slots, worker::answer_hook answer) {
        const std::string host = "127.0.2." + std::to_string(workers.size() + 1);
        workers.push_back(
            std::make_unique<worker>(loop, id, service, zone, host, slots, std::move(answer)));
        worker& added = *workers.back();
        announce(added);
        return added;
    }

    /// Writes the worker's entry now and at each heartbeat, until it is to stop.
    void announce(worker& each) {
        listed_[each.id()] = true;
        beat(each);
    }

    /// Takes the worker's entry out of the store, as the platform does for one that has left.
    void take_off_list(const worker& each) {
        listed_[each.id()] = false;
        store.put("keyed.servers", each.id(), std::nullopt);
    }

    void configure(const std::string& text) { store.put("keyed.op", "config", text); }

    /// Starts a gateway and waits until it is ready.
    bool start_front(const std::string& name, const std::string& zone) {
        front added;
        added.name = name;
        added.zone = zone;
        added.host = "127.0.1." + std::to_string(fronts.size() + 1);
        added.listen = free_port(added.host);
        added.ready = free_port(added.host);
        const std::string file = folder_ + "/" + name + ".json";
        std::ofstream(file) << settings_of(added);
        fronts.push_back(std::move(added));
        return launch(fronts.back());
    }

    /// Stops a gateway as the platform does, and starts it again.
    bool restart_front(front& each) {
        each.process->signal(SIGTERM);
        return run_until([&] { return each.process->ended(); }, seconds(10)) && launch(each);
    }

    bool is_ready(const front& each) {
        wire asked = wire::connect(each.host, each.ready);
        asked.send("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        run_until(
            [&] {
                asked.read();
                return asked.ended() || asked.status() != 0;
            },
            milliseconds(500));
        return asked.status() == 200;
    }

private:
    static constexpr milliseconds heartbeat{1200};

    bool launch(front& each) {
        const std::string file = folder_ + "/" + each.name + ".json";
        each.process = std::make_unique<test::child_process>(
            std::vector<std::string>{"target/bin/wrengate", "--settings", file}, file + ".log");
        return run_until([&] { return is_ready(each); }, seconds(10));
    }

    void beat(worker& each) {
        if (!listed_[each.id()]) {
            return;
        }
        store.put("keyed.servers", each.id(), each.entry());
        loop.call_after(heartbeat, [this, &each] { beat(each); });
    }

    /// What deploy/gateway.json.tmpl gives with the settings of a front machine.
    std::string settings_of(const front& each) {
        return R"({"host": ")" + each.name + R"(", "failure_domain": ")" + each.zone +
               R"(", "regions": )" + settings_.zones + R"(, "listen": ")" + each.host + ":" +
               std::to_string(each.listen) + R"(", "admin": ")" + each.host + ":" +
               std::to_string(each.ready) + R"(", "service": ")" + store.address() +
               R"(", "bus_endpoint": "tcp://)" + each.host + ":" + std::to_string(bus_port_) +
               R"(", "capacity": )" + settings_.cpu_share + R"(, "link_mbps": )" +
               settings_.link_mbps + R"(, "relay_port": )" + std::to_string(bus_port_) +
               R"(, "retry_share": 0.2, "retry_slack": )" + settings_.retry_slack +
               R"(, "retry_window_s": 10, )" + R"("metrics_port": 9464, "longest_drain_ms": 8000})";
    }

    std::string folder_;
    site_settings settings_;
    /// The same on all machines.
    std::uint16_t bus_port_ = free_port("127.0.0.1");
    std::map<std::string, bool> listed_;
};

/// A folder for the files of one run.
inline std::string temporary_folder() {
    std::string name = (std::filesystem::temp_directory_path() / "wren-review-XXXXXX").string();
    return ::mkdtemp(name.data()) == nullptr ? std::string{} : name;
}

}  // namespace review
