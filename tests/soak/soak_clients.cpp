// The callers of a soak: what they send, and whether what comes back is right.

#include "soak/response_text.hpp"
#include "soak/soak_fleet.hpp"

namespace wrenswitch::testing {
namespace {

constexpr microseconds longest_request = seconds(3);

}  // namespace

void soak_fleet::send_request() {
    const auto shape = static_cast<request_shape>(random_.below(3));
    // One of four is bound to a region, by its route or, where it isn't paid for, by its account.
    const std::size_t next = last_id_ + 1;
    const bool bound = next % 4 == 0;
    const std::string path = shape == request_shape::stream
                                 ? (bound ? "/stream/south/x" : "/stream/x")
                             : shape == request_shape::single_run ? "/once/x"
                             : bound && next % 8 == 0             ? "/again/south/x"
                                                                  : "/again/x";
    send(path, shape, bound && shape != request_shape::stream ? "key-south" : "key-1");
}

void soak_fleet::send(const std::string& path, request_shape shape, const std::string& key) {
    const std::string id = "r" + std::to_string(++last_id_);
    sent_ += 1;
    const std::string usage = shape == request_shape::stream ? "Token-Usage: 100,30\r\n" : "";
    const std::size_t index = random_.below(gateway_count);
    gateway_process& gateway = gateways_[index];
    const bool keeps = random_.below(2) == 0;
    client made{raw_socket(), index, keeps, id, shape, monotonic_now() + longest_request};
    while (keeps && !made.socket.open() && !gateway.kept.empty()) {
        made.socket = std::move(gateway.kept.back());
        gateway.kept.pop_back();
        if (made.socket.ended()) {
            made.socket.close();
        }
    }
    if (!made.socket.open()) {
        made.socket = raw_socket::connect(gateway.listen);
    }
    made.socket.send("POST " + path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
                     "\r\nCredential: " + key + "\r\nDeadline-Ms: 2000\r\n" +
                     (keeps ? "" : "Connection: close\r\n") + usage +
                     "Content-Length: 2\r\n\r\nhi");
    if (shape != request_shape::stream && !path.starts_with("/roll/")) {
        plain_sent_.push_back(monotonic_now());
    }
    shapes_[id] = shape;
    clients_.push_back(std::move(made));
}

void soak_fleet::collect() {
    const instant now = monotonic_now();
    std::vector<client> open;
    for (client& each : clients_) {
        if (each.socket.ended() || now > each.until) {
            judge(each, each.socket.received());
        } else if (each.keeps && is_whole_response(each.socket.received())) {
            judge(each, each.socket.received());
            keep(each);
        } else {
            open.push_back(std::move(each));
        }
    }
    clients_ = std::move(open);
}

void soak_fleet::keep(client& done) {
    if (done.socket.received().find("Connection: close") != std::string::npos) {
        return;
    }
    done.socket.forget_received();
    gateways_[done.gateway].kept.push_back(std::move(done.socket));
}

void soak_fleet::judge(const client& ended, const std::string& answer) {
    const bool ok = answer.starts_with("HTTP/1.1 200");
    if (answer.starts_with("HTTP/1.1 503") || answer.starts_with("HTTP/1.1 429")) {
        refused_[ended.id] = true;
        return;
    }
    if (!ok) {
        return;
    }
    if (answer.find("Request-Id: " + ended.id + "\r\n") == std::string::npos) {
        broken_.push_back("an answer of another request: " + ended.id);
    }
    const bool whole = ended.shape == request_shape::stream
                           ? answer.ends_with("0\r\n\r\n")
                           : answer.ends_with("body of " + ended.id);
    const bool looks_whole = ended.shape != request_shape::stream || whole;
    if (whole) {
        served_ += 1;
        const std::size_t first = answer.find(stream_event(1));
        const std::size_t second = answer.find("data: e2");
        const bool in_order = ended.shape != request_shape::stream ||
                              (first != std::string::npos && second != std::string::npos);
        if (!in_order) {
            broken_.push_back("a stream that ends whole without its events: " + ended.id);
        }
    } else if (looks_whole && answer.find("Content-Length: ") != std::string::npos &&
               answer.find("\r\n\r\nbody") != std::string::npos) {
        broken_.push_back("a body that is not the worker's: " + ended.id);
    }
}

}  // namespace wrenswitch::testing
