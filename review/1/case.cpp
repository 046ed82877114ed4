// An answer that a crash of its worker breaks off reaches the client as whole.

#include <map>
#include <thread>

#include "stand/deployment.hpp"

namespace {

using namespace review;

/// The answer: so many pieces of so many bytes, one after the other.
constexpr int pieces = 16;
constexpr std::size_t piece_bytes = 512;
constexpr milliseconds piece_gap{50};
/// How much of the body a worker reads with each piece that it sends.
constexpr std::size_t read_beside_piece = 16384;

/// The largest segment on an Ethernet link, and a small window, as the links of the deployment
/// have.
constexpr int ethernet_segment = 1460;
constexpr int receive_buffer = 65536;

/// Less than maxBodyBytes.
constexpr std::size_t upload_bytes = 4'000'000;

/// The service has seven workers, of which one crashes.
constexpr int worker_count = 7;
constexpr int client_count = 10;

std::string piece(const std::string& id, int number) {
    std::string text = id + " piece " + std::to_string(number) + " ";
    text.resize(piece_bytes, '.');
    return text;
}

std::string whole_answer(const std::string& id) {
    std::string text;
    for (int number = 1; number <= pieces; ++number) {
        text += piece(id, number);
    }
    return text;
}

std::string header_of(const std::string& head, const std::string& name) {
    const std::size_t at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) {
        return {};
    }
    const std::size_t begin = at + name.size() + 4;
    return head.substr(begin, head.find("\r\n", begin) - begin);
}

/// The process of a worker. It begins to answer before it has read a long body, goes on reading
/// meanwhile and afterwards, and ends its answer, which carries no length, with its connection.
class worker_process {
public:
    worker_process(std::string id, const std::string& host, std::uint16_t port)
        : id_(std::move(id)), listener_(::socket(AF_INET, SOCK_STREAM, 0)) {
        ::setsockopt(listener_, IPPROTO_TCP, TCP_MAXSEG, &ethernet_segment,
                     sizeof ethernet_segment);
        ::setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        ::inet_pton(AF_INET, host.c_str(), &address.sin_addr);
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address);
        ::listen(listener_, 64);
    }

    [[noreturn]] void serve() const {
        while (true) {
            const int connection = ::accept(listener_, nullptr, nullptr);
            std::thread([this, connection] { answer(connection); }).detach();
        }
    }

private:
    static void say(const std::string& line) {
        const std::string text = line + "\n";
        [[maybe_unused]] const auto written = ::write(STDOUT_FILENO, text.data(), text.size());
    }

    static void send_all(int connection, const std::string& bytes) {
        [[maybe_unused]] const auto sent =
            ::send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    }

    /// Returns how much was read, which is less at the end of the connection.
    static std::size_t read_up_to(int connection, std::size_t most) {
        char buffer[4096];
        std::size_t read = 0;
        while (read < most) {
            const auto length = ::recv(connection, buffer, std::min(most - read, sizeof buffer), 0);
            if (length <= 0) {
                break;
            }
            read += static_cast<std::size_t>(length);
        }
        return read;
    }

    void answer(int connection) const {
        std::string received;
        char buffer[4096];
        while (received.find("\r\n\r\n") == std::string::npos) {
            const auto length = ::recv(connection, buffer, sizeof buffer, 0);
            if (length <= 0) {
                ::close(connection);
                return;
            }
            received.append(buffer, static_cast<std::size_t>(length));
        }
        const std::size_t head_end = received.find("\r\n\r\n") + 4;
        const std::string head = received.substr(0, head_end);
        const std::string request = header_of(head, "Request-Id");
        if (header_of(head, "Expect-Instance") != id_) {
            send_all(connection, "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: " + id_ +
                                     "\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
            ::close(connection);
            return;
        }
        say("begins " + request);
        send_all(connection, "HTTP/1.1 200 OK\r\nRequest-Id: " + request +
                                 "\r\nServer-Stamp: stamp." + id_ +
                                 "\r\nConnection: close\r\n\r\n");
        const std::size_t expected = head_end + std::stoull(header_of(head, "Content-Length"));
        std::size_t read = received.size();
        for (int number = 1; number <= pieces; ++number) {
            send_all(connection, piece(request, number));
            read += read_up_to(connection, std::min(expected, read + read_beside_piece) - read);
            std::this_thread::sleep_for(piece_gap);
        }
        read += read_up_to(connection, expected - read);
        say("has sent all of " + request + " and read " + std::to_string(read) + " bytes of " +
            std::to_string(expected));
        ::close(connection);
    }

    std::string id_;
    int listener_;
};

/// A worker as the case sees it.
struct started_worker {
    std::string id;
    std::string host;
    std::uint16_t port = 0;
    std::unique_ptr<test::child_process> process;

    int begun() const {
        const std::string output = process->output();
        int count = 0;
        for (std::size_t at = output.find("begins "); at != std::string::npos;
             at = output.find("begins ", at + 1)) {
            count += 1;
        }
        return count;
    }
};

/// A client that uploads, and what came of it.
struct client {
    std::string id;
    std::string request;
    std::size_t sent = 0;
    wire connection;
    bool done = false;
};

// A plain service, and a route whose requests may not be repeated.
const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-bid","host":"a.example","pathPrefix":"/bid/","kind":"non_idempotent",
   "timeoutMs":4000,"targetLatencyMs":400,"priority":2,"service":"app","maxAttempts":1,
   "public":false}],
 "services":[{"name":"app","healthPath":"/health","maxConns":210,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1}]})";

struct play {
    record notes;
    std::string program;
    std::string folder = temporary_folder();
    deployment site{folder};
    std::vector<started_worker> workers;
    std::vector<std::unique_ptr<client>> clients;

    play(const std::string& file, std::string own) : notes(file), program(std::move(own)) {}

    void start_worker(int number) {
        started_worker added;
        added.id = "i-" + std::to_string(number);
        added.host = "127.0.2." + std::to_string(number);
        added.port = free_port(added.host);
        added.process = std::make_unique<test::child_process>(
            std::vector<std::string>{program, "worker", added.id, added.host,
                                     std::to_string(added.port)},
            folder + "/" + added.id + ".log");
        workers.push_back(std::move(added));
    }

    /// Each worker that lives writes its entry about every 1.2 s.
    void beat() {
        for (started_worker& each : workers) {
            if (each.process->ended()) {
                continue;
            }
            site.store.put(
                "keyed.servers", each.id,
                R"({"service":"app","addr":")" + each.host + ":" + std::to_string(each.port) +
                    R"(","zone":"zg-borongaj","version":"v1","slots":6,)" +
                    R"("state":"ready","coldLeftMs":0,"seq":)" + std::to_string(++beats_) + "}");
        }
        site.loop.call_after(milliseconds(1200), [this] { beat(); });
    }

    void begin_uploads() {
        for (int number = 1; number <= client_count; ++number) {
            clients.push_back(std::make_unique<client>());
            client& added = *clients.back();
            added.id = "q" + std::to_string(number);
            added.request = "POST /bid/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + added.id +
                            "\r\nDeadline-Ms: 4000\r\nCredential: key-1\r\nConnection: close\r\n"
                            "Content-Length: " +
                            std::to_string(upload_bytes) + "\r\n\r\n" +
                            std::string(upload_bytes, 'u');
            added.connection = wire::connect(site.fronts[0].host, site.fronts[0].listen);
            notes.add("client sends " + added.id + " with a body of " +
                      std::to_string(upload_bytes) + " bytes");
        }
    }

    bool all_done() {
        bool all = true;
        for (const auto& each : clients) {
            work_on(*each);
            all = all && each->done;
        }
        return all;
    }

    void work_on(client& who) {
        if (who.done) {
            return;
        }
        who.sent += who.connection.send(std::string_view(who.request).substr(who.sent));
        who.connection.read();
        if (who.connection.complete() || who.connection.ended()) {
            who.done = true;
        }
    }

    int begun_of_all() const {
        int sum = 0;
        for (const started_worker& each : workers) {
            sum += each.begun();
        }
        return sum;
    }

    void crash_one() {
        started_worker* most = &workers.front();
        for (started_worker& each : workers) {
            most = each.begun() > most->begun() ? &each : most;
        }
        notes.add("worker " + most->id + " crashes (SIGKILL) while it answers " +
                  std::to_string(most->begun()) + " requests");
        most->process->signal(SIGKILL);
    }

    int verdict() {
        int whole = 0;
        int partial = 0;
        for (const auto& each : clients) {
            const wire& connection = each->connection;
            const std::string answer = connection.received();
            const std::size_t head_end = answer.find("\r\n\r\n");
            const std::string body =
                head_end == std::string::npos ? std::string{} : answer.substr(head_end + 4);
            const bool success = connection.status() == 200 && connection.complete();
            const bool is_whole = body == whole_answer(each->id);
            whole += success && is_whole ? 1 : 0;
            partial += success && !is_whole ? 1 : 0;
            notes.add(
                "client gets for " + each->id + ": status " + std::to_string(connection.status()) +
                ", Server-Stamp " + connection.header("Server-Stamp") + ", Content-Length " +
                connection.header("Content-Length") + ", " + std::to_string(body.size()) +
                " bytes of body" +
                (success && !is_whole ? ": looks complete, but the worker's whole body has " +
                                            std::to_string(whole_answer(each->id).size()) + " bytes"
                                      : ""));
        }
        for (const started_worker& each : workers) {
            std::istringstream lines(each.process->output());
            for (std::string line; std::getline(lines, line);) {
                notes.add("worker " + each.id + " " + line);
            }
        }
        notes.add(std::to_string(whole) + " clients got whole answers, " + std::to_string(partial) +
                  " got successes that look complete and are not");
        if (whole == 0) {
            notes.add("could not run: no answer was whole");
            return could_not_run;
        }
        notes.add(partial > 0 ? "MIXED is broken" : "MIXED holds");
        return partial > 0 ? rule_broken : rule_held;
    }

    int play_all() {
        for (int number = 1; number <= worker_count; ++number) {
            start_worker(number);
        }
        site.run_for(milliseconds(300));
        beat();
        site.configure(configuration);
        if (!site.start_front("front-zg-borongaj-1", "zg-borongaj")) {
            notes.add("could not run: the gateway is not ready");
            return could_not_run;
        }
        site.run_for(seconds(1));
        begin_uploads();
        const bool begun = site.run_until(
            [this] {
                all_done();
                return begun_of_all() >= client_count;
            },
            seconds(3));
        if (!begun) {
            notes.add("could not run: the requests did not reach the workers");
            return could_not_run;
        }
        // A quarter of the answers' time.
        const long middle = notes.elapsed_ms() + pieces * piece_gap.count() / 4;
        site.run_until(
            [&] {
                all_done();
                return notes.elapsed_ms() >= middle;
            },
            seconds(3));
        if (with_trouble()) {
            crash_one();
        }
        site.run_until([this] { return all_done(); }, seconds(8));
        return verdict();
    }

private:
    std::uint64_t beats_ = 0;
};

}  // namespace

int main(int count, char** arguments) {
    const std::string first = arguments[1];
    if (count == 5 && first == "worker") {
        worker_process(arguments[2], arguments[3],
                       static_cast<std::uint16_t>(std::stoul(arguments[4])))
            .serve();
    }
    return play(first, arguments[0]).play_all();
}
