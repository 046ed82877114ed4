#include "soak/soak_fleet.hpp"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "support/fixed_port.hpp"

namespace wrenswitch::testing {
namespace {

std::string configuration(std::uint64_t version, tokens prepaid) {
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[
     {"name":"stream","host":"h.test","pathPrefix":"/stream/","kind":"streaming","timeoutMs":2000,
      "service":"llm","maxAttempts":1},
     {"name":"once","host":"h.test","pathPrefix":"/once/","kind":"non_idempotent","timeoutMs":1000,
      "service":"app","maxAttempts":1},
     {"name":"again","host":"h.test","pathPrefix":"/again/","kind":"idempotent","timeoutMs":1000,
      "service":"app","maxAttempts":2},
     {"name":"stream-south","host":"h.test","pathPrefix":"/stream/south/","kind":"streaming",
      "timeoutMs":2000,"service":"llm","maxAttempts":1,"allowedRegions":["south"]},
     {"name":"again-south","host":"h.test","pathPrefix":"/again/south/","kind":"idempotent",
      "timeoutMs":1000,"service":"app","maxAttempts":2,"allowedRegions":["south"]},
     {"name":"roll","host":"h.test","pathPrefix":"/roll/","kind":"idempotent","timeoutMs":1000,
      "service":"rol","maxAttempts":2}],
     "services":[{"name":"llm","healthPath":"/health","maxConns":120,"engine":{"slots":64,"stride":3}},
      {"name":"app","healthPath":"/health","maxConns":120,"coldStartS":4,"coldPerS":)" +
           std::to_string(soak_fleet::cold_rate) + R"(},
      {"name":"rol","healthPath":"/health","maxConns":120}],
     "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,"idleTimeoutMs":10000},
     "tenants":[{"name":"southern","apiKeys":["key-south"],"allowedRegions":["south"]},
      {"name":"tenant","apiKeys":["key-1"],"prepaid":)" +
           std::to_string(prepaid) + "}]}";
}

/// The end of a process's output, enough to see its state.
std::string last_lines(const std::string& output) {
    constexpr std::size_t most = 1500;
    return output.substr(output.size() - std::min(most, output.size()));
}

}  // namespace

std::string soak_fleet::stream_event(int number) {
    return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

soak_fleet::soak_fleet(std::uint64_t seed) : random_(seed), seed_(seed) {
    for (const char* id : {"llm-1", "llm-2", "app-1", "app-2"}) {
        workers_.push_back(std::make_unique<worker_standin>(loop, id));
        worker_standin& worker = *workers_.back();
        worker.answer = [this, &worker](const ingress_exchange_pointer& exchange) {
            serve(worker, exchange);
        };
        store_.put("keyed.servers", id, entry_of(worker));
    }
    bad_version_ = seed % 2 == 1;
    add_versioned(1, "1");
    add_versioned(2, "1");
    configure();
    relay_bus_ = fixed_port();
    start_relay();
    gateways_.resize(gateway_count);
    for (std::size_t index = 0; index < gateway_count; ++index) {
        gateways_[index].listen = fixed_port();
        gateways_[index].admin = fixed_port();
        gateways_[index].bus = fixed_port();
        gateways_[index].way = std::make_unique<loopback_proxy>(loop, store_.port());
        gateways_[index].bus_way = std::make_unique<loopback_proxy>(loop, gateways_[index].bus);
        start_gateway(index);
    }
    run_for(milliseconds(500));
}

soak_fleet::~soak_fleet() {
    for (gateway_process& gateway : gateways_) {
        gateway.process->signal(SIGCONT);
        gateway.process.reset();
    }
    relay_.reset();
    for (std::size_t index = 0; index < gateway_count; ++index) {
        std::remove(settings_path("gate" + std::to_string(index)).c_str());
    }
    std::remove(settings_path("relay").c_str());
}

std::string soak_fleet::settings_path(const std::string& name) const {
    return "/tmp/wrensoak_" + std::to_string(seed_) + "_" + std::to_string(relay_bus_) + "_" + name;
}

void soak_fleet::start_relay() {
    relay_.reset();
    std::ofstream(settings_path("relay"))
        << R"({"host":"side","bus_endpoint":"tcp://127.0.0.1:)" << relay_bus_ << R"(","service":")"
        << store_.address() << R"("})";
    relay_ = std::make_unique<test::child_process>(
        std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings",
                                 settings_path("relay")},
        settings_path("relay") + ".log");
}

void soak_fleet::start_gateway(std::size_t index) {
    gateway_process& gateway = gateways_[index];
    // The one before takes its output file with it.
    gateway.process.reset();
    const std::string path = settings_path("gate" + std::to_string(index));
    std::ofstream(path) << R"({"host":"front-)" << index << R"(","failure_domain":")"
                        << (index + 1 < gateway_count ? "z1" : "z2")
                        << R"(","regions":{"z1":"north","z2":"south"},"listen":"127.0.0.1:)"
                        << gateway.listen << R"(","admin":"127.0.0.1:)" << gateway.admin
                        << R"(","service":"127.0.0.1:)" << gateway.way->port()
                        << R"(","bus_endpoint":"tcp://127.0.0.1:)" << gateway.bus
                        << R"(","member_endpoint":"tcp://127.0.0.1:)" << gateway.bus_way->port()
                        << R"(","relay_port":)" << relay_bus_ << R"(,"exposed_share":)"
                        << exposed_share
                        << R"(,"longest_drain_ms":3000,"listen_after_stop_ms":300})";
    gateway.process = std::make_unique<test::child_process>(
        std::vector<std::string>{WRENSWITCH_BINARIES "/wrengate", "--settings", path},
        path + ".log");
    gateway.paused = false;
    gateway.kept.clear();
}

void soak_fleet::configure() {
    store_.put("keyed.op", "config", configuration(++version_, prepaid_));
}

void soak_fleet::play(microseconds length) {
    const instant end = monotonic_now() + length;
    instant next_fault = monotonic_now() + milliseconds(300);
    const instant order = monotonic_now() + length / 4;
    while (monotonic_now() < end) {
        if (monotonic_now() > order && ordered_at_ == instant{}) {
            begin_rollout(length / 2);
        }
        send_request();
        send("/roll/x", request_shape::repeatable);
        send("/roll/x", request_shape::repeatable);
        run_for(milliseconds(8 + static_cast<std::int64_t>(random_.below(12))));
        collect();
        if (monotonic_now() > next_fault) {
            next_fault =
                monotonic_now() + milliseconds(150 + static_cast<std::int64_t>(random_.below(500)));
            if (random_.below(3) == 0) {
                end_faults();
            }
            inject_fault();
        }
        for (std::size_t index = 0; index < gateway_count; ++index) {
            if (gateways_[index].process->ended()) {
                start_gateway(index);
            }
        }
        if (relay_->ended()) {
            start_relay();
        }
    }
    end_faults();
    run_until([this] {
        collect();
        return clients_.empty();
    });
}

bool soak_fleet::serves_again(const std::string& path) {
    for (std::size_t index = 0; index < gateway_count; ++index) {
        if (gateways_[index].process->ended()) {
            start_gateway(index);
        }
        std::string last;
        const bool answered = run_until(
            [this, index, &last, &path] {
                if (gateways_[index].process->ended()) {
                    start_gateway(index);
                }
                raw_socket socket = raw_socket::connect(gateways_[index].listen);
                socket.send("GET " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: last" +
                            std::to_string(++last_id_) +
                            "\r\nCredential: key-1\r\nConnection: close\r\n\r\n");
                run_until([&] { return socket.ended(); }, milliseconds(500));
                last = socket.received();
                return last.starts_with("HTTP/1.1 200");
            },
            seconds(10));
        if (!answered) {
            broken_.push_back("gateway " + std::to_string(index) + " doesn't serve again: \"" +
                              last.substr(0, last.find("\r\n")) + "\", it wrote at last: " +
                              last_lines(gateways_[index].process->output()));
            return false;
        }
    }
    return true;
}

std::vector<std::string> soak_fleet::broken() const {
    std::vector<std::string> all = broken_;
    if (handed_out_ > prepaid_) {
        all.push_back("overspent: " + std::to_string(handed_out_) + " of " +
                      std::to_string(prepaid_));
    }
    for (const auto& [id, runs] : runs_) {
        const auto shape = shapes_.find(id);
        const bool may_repeat =
            shape == shapes_.end() || shape->second == request_shape::repeatable;
        if (runs > 1 && !may_repeat) {
            all.push_back("ran more than once: " + id);
        }
        if (refused_.contains(id)) {
            all.push_back("refused as not run, and ran: " + id);
        }
    }
    return all;
}

}  // namespace wrenswitch::testing
