// Two plain services, each with workers of its own. An entry under the id of a worker of the one
// comes from another writer: it names the other service, and the fields version, coldLeftMs and seq
// are missing. The worker goes on writing its own entry as before.
//
// usage: foreign_entry FOLDER-OF-BINARIES TEMPORARY-FOLDER RECORD-FILE TROUBLE
#include "kit.hpp"

namespace {

struct run {
    std::int64_t at;
    std::string request;
    std::string path;
};

/// A plain worker: runs what names it in Expect-Instance, and turns everything else away.
class worker {
public:
    worker(std::string id, std::string service, const std::string& host, kit::record_file& record)
        : id_(std::move(id)),
          service_(std::move(service)),
          record_(record),
          server_(host, [this](kit::connection& peer) { serve(peer); }) {}

    const std::string& id() const { return id_; }
    const std::string& service() const { return service_; }
    std::string address() const { return server_.address(); }
    std::string entry() {
        return "{\"service\":\"" + service_ + "\",\"addr\":\"" + server_.address() +
               "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":\"ready\","
               "\"coldLeftMs\":0,\"born\":" +
               std::to_string(born_) + ",\"seq\":" + std::to_string(++seq_) + "}";
    }
    std::vector<run> runs() {
        const std::lock_guard<std::mutex> hold(mutex_);
        return runs_;
    }

private:
    void serve(kit::connection& peer) {
        while (const std::optional<kit::message> request = peer.whole()) {
            const std::string number = request->header("Request-Id");
            if (request->header("Expect-Instance") != id_) {
                peer.send(kit::answer_text(421, "Misdirected Request",
                                           {{"Request-Id", number}, {"Instance-Id", id_}}, ""));
                continue;
            }
            {
                const std::lock_guard<std::mutex> hold(mutex_);
                runs_.push_back({kit::now_ms(), number, request->path()});
            }
            record_.line("run " + id_ + " of " + service_ + " request " + number + " " +
                         request->first + " " + request->path());
            kit::sleep_ms(15);
            if (!peer.send(kit::answer_text(
                    200, "OK", {{"Request-Id", number}, {"Server-Stamp", id_ + "." + number}},
                    service_ + " did " + number))) {
                return;
            }
        }
    }

    std::string id_;
    std::string service_;
    kit::record_file& record_;
    std::int64_t born_ = kit::unix_ms();
    int seq_ = 0;
    std::mutex mutex_;
    std::vector<run> runs_;
    kit::server server_;
};

const char* const configuration =
    "{\"version\":7,\"routes\":[{\"name\":\"r-orders\",\"host\":\"site.example\",\"pathPrefix\":"
    "\"/orders/\",\"kind\":\"non_idempotent\",\"timeoutMs\":1000,\"targetLatencyMs\":100,"
    "\"priority\":1,\"service\":\"orders\",\"maxAttempts\":1,\"public\":false},{\"name\":"
    "\"r-bills\",\"host\":\"site.example\",\"pathPrefix\":\"/bills/\",\"kind\":\"non_idempotent\","
    "\"timeoutMs\":1000,\"targetLatencyMs\":100,\"priority\":1,\"service\":\"bills\","
    "\"maxAttempts\":1,\"public\":false}],\"services\":[{\"name\":\"orders\",\"healthPath\":"
    "\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false},{\"name\":\"bills\","
    "\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":false}],\"limits\":{"
    "\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":"
    "15000},\"tenants\":[{\"name\":\"tenant1\",\"apiKeys\":[\"key1\"],\"priority\":1}]}";

}  // namespace

int main(int argc, char** argv) {
    if (argc != 5) {
        return 2;
    }
    const std::string binaries = argv[1];
    const std::string folder = argv[2];
    kit::record_file record(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";
    ::signal(SIGPIPE, SIG_IGN);

    kit::store store("127.0.0.10");
    kit::fleet_ports ports;
    store.put("keyed.op", "config", std::string(configuration));
    std::vector<std::unique_ptr<worker>> workers;
    for (int at = 0; at < 4; ++at) {
        workers.push_back(std::make_unique<worker>("w-" + std::to_string(at + 1),
                                                   at < 2 ? "orders" : "bills",
                                                   "127.0.0.2" + std::to_string(at + 1), record));
        store.put("keyed.servers", workers.back()->id(), workers.back()->entry());
    }
    std::atomic<bool> beating{true};
    std::thread beats([&] {
        while (beating) {
            kit::sleep_ms(1200);
            for (const auto& each : workers) {
                store.put("keyed.servers", each->id(), each->entry());
            }
        }
    });
    const std::string gateway = "127.0.0.11";
    kit::program program(
        binaries + "/wrengate", folder + "/front-1.json",
        kit::gateway_settings("front-1", "zone-a", gateway, ports, store.address()),
        folder + "/front-1.log");
    int result = 2;
    if (kit::wait_ready(gateway, ports.ready, 15000)) {
        kit::sleep_ms(2000);
        const std::int64_t begin = kit::now_ms();
        record.line("traffic begins");
        std::unique_ptr<kit::connection> link;
        int served = 0;
        for (int number = 0; number < 300; ++number) {
            kit::sleep_until_ms(begin + 50 * number);
            if (trouble && number == 60) {
                const worker& other = *workers[2];
                store.put("keyed.servers", other.id(),
                          "{\"service\":\"orders\",\"addr\":\"" + other.address() +
                              "\",\"zone\":\"zone-a\",\"slots\":6,\"state\":\"ready\",\"born\":" +
                              std::to_string(kit::unix_ms()) + "}");
                record.line("another writer's entry stands under " + other.id());
            }
            if (!link) {
                link = kit::open_to(gateway, ports.front);
            }
            const std::string id = "c" + std::to_string(1000 + number);
            const std::string path = number % 2 == 0 ? "/orders/new" : "/bills/new";
            const std::string body = "work " + id;
            std::optional<kit::message> answer;
            if (link &&
                link->send("POST " + path + " HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " + id +
                           "\r\nDeadline-Ms: 1000\r\nCredential: key1\r\n" +
                           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
                answer = link->whole(1500);
            }
            record.line("client " + id + " " + path + " status " +
                        (answer ? answer->second + " " + answer->body : "none"));
            served += answer && answer->second == "200" ? 1 : 0;
            if (!answer) {
                link.reset();
            }
        }
        int foreign = 0;
        for (const auto& each : workers) {
            for (const run& one : each->runs()) {
                if (one.path.rfind("/" + each->service() + "/", 0) != 0) {
                    ++foreign;
                    record.line("ROUTE: " + each->id() + " of " + each->service() + " ran " +
                                one.request + " " + one.path + " at " + std::to_string(one.at));
                }
            }
        }
        record.line("requests run by a service that no configuration allows: " +
                    std::to_string(foreign) + ", served " + std::to_string(served) + " of 300");
        result = served < 100 ? 2 : (foreign > 0 ? 1 : 0);
    } else {
        record.line("the gateway did not become ready");
    }
    program.kill();
    beating = false;
    beats.join();
    return result;
}
