// Small stand-ins for the scripts of the second review: the platform's store, workers, clients and
// the start of the project's own programs. One thread a connection, blocking sockets, no library
// beside the system's own.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using clock = std::chrono::steady_clock;

inline const clock::time_point process_start = clock::now();

/// Milliseconds since this program began.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - process_start)
        .count();
}

inline std::int64_t unix_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t length) {
    std::this_thread::sleep_for(std::chrono::milliseconds(length));
}

inline void sleep_until_ms(std::int64_t at) {
    sleep_ms(std::max<std::int64_t>(0, at - now_ms()));
}

/// What was sent, answered and run, in the order of its arrival.
class record_file {
public:
    explicit record_file(const std::string& path) : file_(path) {}
    void line(const std::string& text) {
        const std::lock_guard<std::mutex> hold(mutex_);
        file_ << now_ms() << " " << text << "\n";
        file_.flush();
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

/// A head as it came: the first line's three words and the headers.
struct message {
    std::string first;
    std::string second;
    std::string third;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const {
        for (const auto& [known, value] : headers) {
            if (strcasecmp(known.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    bool has(const std::string& name) const {
        return std::any_of(headers.begin(), headers.end(), [&](const auto& each) {
            return strcasecmp(each.first.c_str(), name.c_str()) == 0;
        });
    }
    std::string path() const { return second.substr(0, second.find('?')); }
    std::string parameter(const std::string& name) const {
        for (const char mark : {'?', '&'}) {
            const std::size_t at = second.find(mark + name + "=");
            if (at != std::string::npos) {
                const std::size_t begin = at + name.size() + 2;
                return second.substr(begin, second.find('&', begin) - begin);
            }
        }
        return {};
    }
};

/// A blocking connection with a buffer of what was read ahead.
class connection {
public:
    explicit connection(int descriptor) : descriptor_(descriptor) {
        const int on = 1;
        ::setsockopt(descriptor_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    }
    ~connection() {
        if (descriptor_ >= 0) {
            ::close(descriptor_);
        }
    }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    bool send(const std::string& bytes) {
        std::size_t sent = 0;
        while (sent < bytes.size()) {
            const ssize_t taken =
                ::send(descriptor_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (taken <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(taken);
        }
        return true;
    }

    /// False at the end, at an error, or if nothing comes for so long.
    bool fill(int timeout_ms = -1) {
        pollfd state{descriptor_, POLLIN, 0};
        if (::poll(&state, 1, timeout_ms) <= 0) {
            return false;
        }
        char bytes[16384];
        const ssize_t length = ::recv(descriptor_, bytes, sizeof bytes, 0);
        if (length <= 0) {
            ended_ = true;
            reset_ = length < 0;
            return false;
        }
        buffer_.append(bytes, static_cast<std::size_t>(length));
        return true;
    }

    /// True if the peer has closed or reset the connection.
    bool peer_gone() const {
        pollfd state{descriptor_, POLLRDHUP, 0};
        return ::poll(&state, 1, 0) > 0 && (state.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

    std::optional<std::string> line(int timeout_ms = -1) {
        std::size_t end = buffer_.find("\r\n");
        while (end == std::string::npos) {
            if (!fill(timeout_ms)) {
                return std::nullopt;
            }
            end = buffer_.find("\r\n");
        }
        std::string text = buffer_.substr(0, end);
        buffer_.erase(0, end + 2);
        return text;
    }

    std::optional<std::string> bytes(std::size_t count, int timeout_ms = -1) {
        while (buffer_.size() < count) {
            if (!fill(timeout_ms)) {
                return std::nullopt;
            }
        }
        std::string text = buffer_.substr(0, count);
        buffer_.erase(0, count);
        return text;
    }

    /// One head, without its body.
    std::optional<message> head(int timeout_ms = -1) {
        std::optional<std::string> start = line(timeout_ms);
        if (!start) {
            return std::nullopt;
        }
        message read;
        std::istringstream words(*start);
        words >> read.first >> read.second;
        std::getline(words, read.third);
        while (true) {
            const std::optional<std::string> text = line(timeout_ms);
            if (!text) {
                return std::nullopt;
            }
            if (text->empty()) {
                return read;
            }
            const std::size_t colon = text->find(':');
            if (colon == std::string::npos) {
                return std::nullopt;
            }
            const std::size_t value = text->find_first_not_of(' ', colon + 1);
            read.headers.push_back(
                {text->substr(0, colon), value == std::string::npos ? "" : text->substr(value)});
        }
    }

    /// The next chunk of a body in chunks; empty at its end, nothing if it is cut.
    std::optional<std::string> chunk(int timeout_ms = -1) {
        const std::optional<std::string> size = line(timeout_ms);
        if (!size) {
            return std::nullopt;
        }
        const std::size_t length = std::strtoul(size->c_str(), nullptr, 16);
        std::optional<std::string> data = bytes(length + 2, timeout_ms);
        if (data) {
            data->resize(length);
        }
        return data;
    }

    /// One request or answer with its body.
    std::optional<message> whole(int timeout_ms = -1) {
        std::optional<message> read = head(timeout_ms);
        if (!read) {
            return std::nullopt;
        }
        if (strcasecmp(read->header("Transfer-Encoding").c_str(), "chunked") == 0) {
            while (true) {
                const std::optional<std::string> part = chunk(timeout_ms);
                if (!part) {
                    return std::nullopt;
                }
                if (part->empty()) {
                    return read;
                }
                read->body += *part;
            }
        }
        const std::string length = read->header("Content-Length");
        if (!length.empty()) {
            std::optional<std::string> data = bytes(std::stoul(length), timeout_ms);
            if (!data) {
                return std::nullopt;
            }
            read->body = std::move(*data);
        }
        return read;
    }

    void shut_down() { ::shutdown(descriptor_, SHUT_RDWR); }
    bool was_reset() const { return reset_; }

private:
    int descriptor_;
    std::string buffer_;
    bool ended_ = false;
    bool reset_ = false;
};

/// Opens a connection to a loopback address. Null if that fails.
inline std::unique_ptr<connection> open_to(const std::string& host, int port) {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, host.c_str(), &peer.sin_addr);
    if (::connect(descriptor, reinterpret_cast<sockaddr*>(&peer), sizeof peer) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    return std::make_unique<connection>(descriptor);
}

/// A port that is free on all loopback addresses at this moment.
inline int free_port() {
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in any{};
    any.sin_family = AF_INET;
    any.sin_addr.s_addr = htonl(INADDR_ANY);
    ::bind(descriptor, reinterpret_cast<sockaddr*>(&any), sizeof any);
    socklen_t length = sizeof any;
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&any), &length);
    ::close(descriptor);
    return ntohs(any.sin_port);
}

/// Accepts connections at a loopback address and serves each in a thread of its own.
class server {
public:
    using serve_hook = std::function<void(connection&)>;

    /// At a port that the system chooses, or at a given one.
    server(std::string host, serve_hook serve, int port = 0)
        : host_(std::move(host)), serve_(std::move(serve)) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in own{};
        own.sin_family = AF_INET;
        own.sin_port = htons(static_cast<std::uint16_t>(port));
        inet_pton(AF_INET, host_.c_str(), &own.sin_addr);
        socklen_t length = sizeof own;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&own), sizeof own) != 0 ||
            ::listen(listener_, 512) != 0 ||
            ::getsockname(listener_, reinterpret_cast<sockaddr*>(&own), &length) != 0) {
            std::perror("stand-in");
            std::exit(2);
        }
        port_ = ntohs(own.sin_port);
        accepting_ = std::thread([this] { accept_all(); });
    }
    ~server() { stop(); }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    const std::string& host() const { return host_; }
    int port() const { return port_; }
    std::string address() const { return host_ + ":" + std::to_string(port_); }

    /// Ends like a process that exits: the port is dead and all connections are closed.
    void stop() {
        if (stopped_.exchange(true)) {
            return;
        }
        ::shutdown(listener_, SHUT_RDWR);
        ::close(listener_);
        accepting_.join();
        {
            const std::lock_guard<std::mutex> hold(mutex_);
            for (connection* each : open_) {
                each->shut_down();
            }
        }
        for (std::thread& each : threads_) {
            each.join();
        }
    }
    bool stopped() const { return stopped_; }

private:
    void accept_all() {
        while (!stopped_) {
            const int descriptor = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
            if (descriptor < 0) {
                if (stopped_ || errno == EBADF || errno == EINVAL) {
                    return;
                }
                continue;
            }
            const std::lock_guard<std::mutex> hold(mutex_);
            threads_.emplace_back([this, descriptor] {
                connection peer(descriptor);
                {
                    const std::lock_guard<std::mutex> inner(mutex_);
                    open_.insert(&peer);
                }
                if (!stopped_) {
                    serve_(peer);
                }
                const std::lock_guard<std::mutex> inner(mutex_);
                open_.erase(&peer);
            });
        }
    }

    std::string host_;
    serve_hook serve_;
    int listener_ = -1;
    int port_ = 0;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::set<connection*> open_;
    std::vector<std::thread> threads_;
    std::thread accepting_;
};

inline std::string answer_text(int status, const std::string& reason,
                               const std::vector<std::pair<std::string, std::string>>& headers,
                               const std::string& body) {
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason + "\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The platform's store: keyed topics of one partition, kept in memory.
class store {
public:
    explicit store(const std::string& host)
        : server_(host, [this](connection& peer) { serve(peer); }) {}
    ~store() {
        {
            const std::lock_guard<std::mutex> hold(mutex_);
            closing_ = true;
        }
        changed_.notify_all();
        server_.stop();
    }

    std::string address() const { return server_.address(); }

    /// Writes a record as the operator or a worker does; without a value the key is dropped.
    /// Returns when the store acknowledged it.
    std::int64_t put(const std::string& topic, const std::string& key,
                     const std::optional<std::string>& value) {
        const std::lock_guard<std::mutex> hold(mutex_);
        topics_[topic].push_back({key, value});
        changed_.notify_all();
        return now_ms();
    }

    /// True if the key stands in the store.
    bool has(const std::string& topic, const std::string& key) {
        const std::lock_guard<std::mutex> hold(mutex_);
        bool there = false;
        for (const record& each : topics_[topic]) {
            if (each.key == key) {
                there = each.value.has_value();
            }
        }
        return there;
    }

private:
    struct record {
        std::string key;
        std::optional<std::string> value;
    };

    static std::string number(std::uint64_t value, unsigned length) {
        std::string bytes;
        for (unsigned left = length; left > 0; --left) {
            bytes += static_cast<char>((value >> (8 * (left - 1))) & 0xFF);
        }
        return bytes;
    }

    static std::uint64_t number_at(const std::string& bytes, std::size_t at, std::size_t length) {
        std::uint64_t value = 0;
        for (std::size_t index = at; index < at + length; ++index) {
            value = (value << 8) | static_cast<unsigned char>(bytes[index]);
        }
        return value;
    }

    static std::string base64(const std::string& bytes) {
        static const char* letters =
            "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
        std::string text;
        for (std::size_t at = 0; at < bytes.size(); at += 3) {
            const std::size_t count = std::min<std::size_t>(3, bytes.size() - at);
            std::uint32_t value = 0;
            for (std::size_t index = 0; index < 3; ++index) {
                const auto byte = index < count ? static_cast<unsigned char>(bytes[at + index]) : 0;
                value = (value << 8) | byte;
            }
            for (std::size_t index = 0; index < 4; ++index) {
                text += index <= count ? letters[(value >> (6 * (3 - index))) & 63] : '=';
            }
        }
        return text;
    }

    static std::string json_text(const std::string& text) {
        std::string quoted = "\"";
        for (const char letter : text) {
            if (letter == '"' || letter == '\\') {
                quoted += '\\';
            }
            if (static_cast<unsigned char>(letter) < 0x20) {
                char code[8];
                std::snprintf(code, sizeof code, "\\u%04x", letter);
                quoted += code;
            } else {
                quoted += letter;
            }
        }
        return quoted + "\"";
    }

    static std::string unescaped(const std::string& text) {
        std::string plain;
        for (std::size_t at = 0; at < text.size(); ++at) {
            if (text[at] == '%' && at + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(at + 1, 2), nullptr, 16));
                at += 2;
            } else {
                plain += text[at];
            }
        }
        return plain;
    }

    void serve(connection& peer) {
        while (const std::optional<message> call = peer.whole()) {
            sleep_ms(2);
            const std::string topic = call->parameter("topic");
            std::string answer;
            if (call->path() == "/-/log-append") {
                answer = append(topic, *call);
            } else if (call->path() == "/-/log-read") {
                answer = read(topic, *call);
            } else if (call->path() == "/-/log-newest") {
                answer = newest(topic, *call);
            } else if (call->path() == "/-/log-owners") {
                answer = answer_text(200, "OK", {{"Content-Type", "application/json"}},
                                     "{\"owners\":[]}");
            } else {
                answer = answer_text(404, "Not Found", {}, "");
            }
            if (!peer.send(answer)) {
                return;
            }
        }
    }

    std::string append(const std::string& topic, const message& call) {
        const std::lock_guard<std::mutex> hold(mutex_);
        std::vector<record>& records = topics_[topic];
        const std::string at = call.parameter("at");
        if (!at.empty() && std::stoull(at) != records.size()) {
            return answer_text(412, "Precondition Failed", {{"Content-Type", "application/json"}},
                               "{\"end\":" + std::to_string(records.size()) + "}");
        }
        const std::size_t first = records.size();
        for (std::size_t place = 0; place + 4 <= call.body.size();) {
            const std::size_t length = number_at(call.body, place, 4);
            const std::string body = call.body.substr(place + 4, length);
            const std::size_t key_length = number_at(body, 0, 1);
            record added{body.substr(1, key_length), std::nullopt};
            if (body.size() > key_length + 1) {
                added.value = body.substr(key_length + 1);
            }
            records.push_back(added);
            place += 4 + length;
        }
        changed_.notify_all();
        return answer_text(200, "OK", {{"Content-Type", "application/json"}},
                           "{\"offset\":" + std::to_string(first) +
                               ",\"end\":" + std::to_string(records.size()) + "}");
    }

    std::string read(const std::string& topic, const message& call) {
        const std::uint64_t from = std::stoull("0" + call.parameter("from"));
        const std::uint64_t wait = std::stoull("0" + call.parameter("waitMs"));
        std::unique_lock<std::mutex> hold(mutex_);
        std::vector<record>& records = topics_[topic];
        changed_.wait_for(hold, std::chrono::milliseconds(wait),
                          [&] { return closing_ || records.size() > from; });
        std::string body = number(records.size(), 8) + number(0, 8);
        for (std::size_t at = from; at < records.size(); ++at) {
            const std::string bytes = number(records[at].key.size(), 1) + records[at].key +
                                      records[at].value.value_or("");
            body += number(bytes.size(), 4) + bytes;
        }
        return answer_text(200, "OK", {{"Content-Type", "application/octet-stream"}}, body);
    }

    std::string newest(const std::string& topic, const message& call) {
        const std::lock_guard<std::mutex> hold(mutex_);
        const std::vector<record>& records = topics_[topic];
        std::map<std::string, std::size_t> last;
        for (std::size_t at = 0; at < records.size(); ++at) {
            if (records[at].value) {
                last[records[at].key] = at;
            } else {
                last.erase(records[at].key);
            }
        }
        const std::string after = unescaped(call.parameter("afterRev"));
        std::string items;
        for (const auto& [key, at] : last) {
            if (!after.empty() && key <= after) {
                continue;
            }
            items += (items.empty() ? "" : ",") + std::string("{\"key\":") + json_text(key) +
                     ",\"value\":\"" + base64(*records[at].value) +
                     "\",\"offset\":" + std::to_string(at) + "}";
        }
        return answer_text(200, "OK", {{"Content-Type", "application/json"}},
                           "{\"items\":[" + items +
                               "],\"more\":false,\"end\":" + std::to_string(records.size()) + "}");
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, std::vector<record>> topics_;
    bool closing_ = false;
    server server_;
};

/// A process of the project's own, started with the command of the deploy file.
class program {
public:
    program(const std::string& binary, const std::string& settings_path,
            const std::string& settings, const std::string& log_path)
        : binary_(binary), settings_path_(settings_path), log_path_(log_path) {
        std::ofstream(settings_path) << settings;
        start();
    }
    ~program() { kill(); }
    program(const program&) = delete;
    program& operator=(const program&) = delete;

    void start() {
        std::fflush(nullptr);
        process_ = ::fork();
        if (process_ == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            FILE* log = std::freopen(log_path_.c_str(), "a", stdout);
            ::dup2(::fileno(log), STDERR_FILENO);
            ::setenv("WRENSWITCH_CONFIG", settings_path_.c_str(), 1);
            ::execl(binary_.c_str(), binary_.c_str(), "--settings", settings_path_.c_str(),
                    nullptr);
            ::_exit(127);
        }
    }
    void signal(int number) const {
        if (process_ > 0) {
            ::kill(process_, number);
        }
    }
    void kill() {
        if (process_ > 0) {
            ::kill(process_, SIGKILL);
            ::waitpid(process_, nullptr, 0);
            process_ = -1;
        }
    }
    /// True if the process ended by itself.
    bool has_ended() {
        if (process_ > 0 && ::waitpid(process_, &status_, WNOHANG) == process_) {
            process_ = -1;
            return true;
        }
        return process_ < 0;
    }
    int status() const { return status_; }

private:
    std::string binary_;
    std::string settings_path_;
    std::string log_path_;
    pid_t process_ = -1;
    int status_ = 0;
};

/// The ports that are alike on all machines of a script, each of which has a loopback address.
struct fleet_ports {
    int front = free_port();
    int ready = free_port();
    int bus = free_port();
    int metrics = free_port();
};

/// The settings that `deploy/gateway.json.tmpl` yields for a front machine.
inline std::string gateway_settings(const std::string& name, const std::string& zone,
                                    const std::string& ip, const fleet_ports& ports,
                                    const std::string& store) {
    const auto at = [&ip](int port) { return ip + ":" + std::to_string(port); };
    std::ostringstream text;
    text << "{\"host\":\"" << name << "\",\"failure_domain\":\"" << zone
         << "\",\"regions\":{\"zone-a\":\"region\",\"zone-b\":\"region\"},\"listen\":\""
         << at(ports.front) << "\",\"admin\":\"" << at(ports.ready) << "\",\"service\":\"" << store
         << "\",\"bus_endpoint\":\"tcp://" << at(ports.bus)
         << "\",\"capacity\":0.19,\"link_mbps\":1000.0,\"relay_port\":" << ports.bus
         << ",\"retry_share\":0.2,\"retry_slack\":54,\"retry_window_s\":10,\"metrics_port\":"
         << ports.metrics << ",\"longest_drain_ms\":8000}";
    return text.str();
}

/// The settings that `deploy/relay.json.tmpl` yields for a side machine.
inline std::string relay_settings(const std::string& name, const std::string& ip,
                                  const fleet_ports& ports, const std::string& store) {
    return "{\"host\":\"" + name + "\",\"bus_endpoint\":\"tcp://" + ip + ":" +
           std::to_string(ports.bus) + "\",\"service\":\"" + store + "\"}";
}

/// True once a gateway says that it is ready.
inline bool wait_ready(const std::string& ip, int port, std::int64_t until_ms) {
    while (now_ms() < until_ms) {
        if (const auto link = open_to(ip, port)) {
            link->send("GET /-/ready HTTP/1.1\r\nHost: " + ip + "\r\n\r\n");
            const std::optional<message> answer = link->whole(1000);
            if (answer && answer->second == "200") {
                return true;
            }
        }
        sleep_ms(50);
    }
    return false;
}

}  // namespace kit
