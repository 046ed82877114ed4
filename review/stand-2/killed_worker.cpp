// Workers answer without a length and without chunks, each answer ending with its connection. One
// of seven worker processes is killed while it answers requests that it has read whole.
//
// usage: killed_worker FOLDER-OF-BINARIES TEMPORARY-FOLDER RECORD-FILE TROUBLE
//        killed_worker --settings FILE       a worker: FILE holds its id, its host, its port and
//        the time at which the record begins
#include "kit.hpp"

namespace {

constexpr int worker_count = 7;
constexpr int client_count = 21;
constexpr int pieces = 16;
constexpr std::size_t piece_bytes = 50;
constexpr std::int64_t piece_ms = 10;
constexpr std::int64_t heartbeat_ms = 1200;

std::string body_of(const std::string& number) {
    std::string body;
    for (int piece = 0; piece < pieces; ++piece) {
        std::string text = "piece " + std::to_string(piece + 1) + " for " + number + " ";
        text.resize(piece_bytes - 1, '.');
        body += text + "\n";
    }
    return body;
}

/// The process of one worker. It ends by a signal.
int run_worker(const std::string& settings) {
    std::string id;
    std::string host;
    int port = 0;
    std::int64_t began = 0;
    std::ifstream(settings) >> id >> host >> port >> began;
    kit::server server(
        host,
        [&id, began](kit::connection& peer) {
            while (const std::optional<kit::message> request = peer.whole()) {
                const std::string number = request->header("Request-Id");
                if (request->header("Expect-Instance") != id) {
                    peer.send(kit::answer_text(421, "Misdirected Request",
                                               {{"Request-Id", number}, {"Instance-Id", id}}, ""));
                    continue;
                }
                std::printf("%lld run %s request %s\n",
                            static_cast<long long>(kit::unix_ms() - began), id.c_str(),
                            number.c_str());
                std::fflush(stdout);
                if (!peer.send("HTTP/1.1 200 OK\r\nRequest-Id: " + number + "\r\nServer-Stamp: " +
                               id + "." + number + "\r\nConnection: close\r\n\r\n")) {
                    return;
                }
                const std::string body = body_of(number);
                for (int piece = 0; piece < pieces; ++piece) {
                    kit::sleep_ms(piece_ms);
                    if (!peer.send(body.substr(static_cast<std::size_t>(piece) * piece_bytes,
                                               piece_bytes))) {
                        return;
                    }
                }
                return;
            }
        },
        port);
    while (true) {
        ::pause();
    }
}

const char* const configuration =
    "{\"version\":7,\"routes\":[{\"name\":\"r-desk\",\"host\":\"site.example\",\"pathPrefix\":"
    "\"/desk/\",\"kind\":\"non_idempotent\",\"timeoutMs\":2000,\"targetLatencyMs\":300,"
    "\"priority\":1,\"service\":\"desk\",\"maxAttempts\":1,\"public\":false}],\"services\":[{"
    "\"name\":\"desk\",\"healthPath\":\"/health\",\"maxConns\":100,\"protocol\":\"h1\",\"tls\":"
    "false}],\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":"
    "3000,\"idleTimeoutMs\":15000},\"tenants\":[{\"name\":\"tenant1\",\"apiKeys\":[\"key1\"],"
    "\"priority\":1}]}";

struct figures {
    std::atomic<int> whole{0};
    std::atomic<int> truncated{0};
    std::atomic<int> failed{0};
};

/// Sends one request after the other on a kept connection.
void run_client(int client, const std::string& gateway, int port, std::int64_t until,
                kit::record_file& record, figures& counts) {
    std::unique_ptr<kit::connection> link;
    for (int at = 0; kit::now_ms() < until; ++at) {
        if (!link) {
            link = kit::open_to(gateway, port);
        }
        const std::string number = "k" + std::to_string(1000 * (client + 1) + at);
        std::optional<kit::message> answer;
        if (link && link->send("POST /desk/book HTTP/1.1\r\nHost: site.example\r\nRequest-Id: " +
                               number + "\r\nDeadline-Ms: 2000\r\nCredential: key1\r\n" +
                               "Content-Length: 4\r\n\r\nbook")) {
            answer = link->whole(3000);
        }
        const std::string status = answer ? answer->second : "none";
        std::string text = "client " + number + " status " + status;
        if (status == "200" && answer->body == body_of(number)) {
            ++counts.whole;
            text += " whole";
        } else if (status == "200") {
            ++counts.truncated;
            text = "MIXED: " + text + " from " + answer->header("Server-Stamp") +
                   " with Content-Length " + answer->header("Content-Length") + " of " +
                   std::to_string(body_of(number).size());
        } else {
            ++counts.failed;
        }
        record.line(text);
        if (!answer) {
            link.reset();
        }
    }
}

/// Adds what the workers ran to the record, in the order of time.
void add_runs(const std::string& folder, const std::string& record) {
    std::vector<std::pair<std::int64_t, std::string>> lines;
    const auto read = [&lines](const std::string& path) {
        std::ifstream file(path);
        std::string line;
        while (std::getline(file, line)) {
            lines.emplace_back(std::atoll(line.c_str()), line);
        }
    };
    for (int worker = 0; worker < worker_count; ++worker) {
        read(folder + "/w-" + std::to_string(worker + 1) + ".log");
    }
    read(record);
    std::stable_sort(lines.begin(), lines.end(),
                     [](const auto& left, const auto& right) { return left.first < right.first; });
    std::ofstream file(record);
    for (const auto& [at, line] : lines) {
        file << line << "\n";
    }
}

}  // namespace

int main(int argc, char** argv) {
    ::signal(SIGPIPE, SIG_IGN);
    if (argc == 3 && std::string(argv[1]) == "--settings") {
        return run_worker(argv[2]);
    }
    if (argc != 5) {
        return 2;
    }
    const std::string folder = argv[2];
    kit::record_file record(argv[3]);
    const bool trouble = std::string(argv[4]) != "0";

    kit::store store("127.0.0.10");
    kit::fleet_ports ports;
    const int worker_port = kit::free_port();
    store.put("keyed.op", "config", std::string(configuration));
    std::vector<std::unique_ptr<kit::program>> workers;
    std::atomic<int> killed{-1};
    const std::int64_t born = kit::unix_ms();
    const std::int64_t began = born - kit::now_ms();
    const auto name_of = [](int at) { return "w-" + std::to_string(at + 1); };
    const auto host_of = [](int at) { return "127.0.0.2" + std::to_string(at + 1); };
    const auto list = [&](int seq) {
        for (int at = 0; at < worker_count; ++at) {
            if (at != killed) {
                store.put("keyed.servers", name_of(at),
                          "{\"service\":\"desk\",\"addr\":\"" + host_of(at) + ":" +
                              std::to_string(worker_port) +
                              "\",\"zone\":\"zone-a\",\"version\":\"v1\",\"slots\":6,\"state\":"
                              "\"ready\",\"coldLeftMs\":0,\"born\":" +
                              std::to_string(born) + ",\"seq\":" + std::to_string(seq) + "}");
            }
        }
    };
    for (int at = 0; at < worker_count; ++at) {
        workers.push_back(std::make_unique<kit::program>(argv[0], folder + "/" + name_of(at),
                                                         name_of(at) + " " + host_of(at) + " " +
                                                             std::to_string(worker_port) + " " +
                                                             std::to_string(began) + "\n",
                                                         folder + "/" + name_of(at) + ".log"));
    }
    list(1);
    std::atomic<bool> beating{true};
    std::thread beats([&] {
        for (int seq = 2; beating; ++seq) {
            kit::sleep_ms(heartbeat_ms);
            list(seq);
        }
    });
    const std::string gateway = "127.0.0.11";
    kit::program program(
        std::string(argv[1]) + "/wrengate", folder + "/front-1.json",
        kit::gateway_settings("front-1", "zone-a", gateway, ports, store.address()),
        folder + "/front-1.log");
    int result = 2;
    if (kit::wait_ready(gateway, ports.ready, kit::now_ms() + 15000)) {
        kit::sleep_ms(2000);
        const std::int64_t begin = kit::now_ms();
        record.line("traffic begins");
        figures counts;
        std::vector<std::thread> clients;
        for (int client = 0; client < client_count; ++client) {
            clients.emplace_back([&, client] {
                kit::sleep_ms(8 * client);
                run_client(client, gateway, ports.front, begin + 6000, record, counts);
            });
        }
        kit::sleep_until_ms(begin + 3000);
        if (trouble) {
            killed = 2;
            workers[2]->kill();
            record.line("worker w-3 is killed");
        }
        for (std::thread& each : clients) {
            each.join();
        }
        record.line("answers: " + std::to_string(counts.whole) + " whole, " +
                    std::to_string(counts.failed) +
                    " failed, truncated successes: " + std::to_string(counts.truncated));
        result = counts.whole < 100 ? 2 : (counts.truncated > 0 ? 1 : 0);
    } else {
        record.line("the gateway did not become ready");
    }
    program.kill();
    workers.clear();
    beating = false;
    beats.join();
    add_runs(folder, argv[3]);
    return result;
}
