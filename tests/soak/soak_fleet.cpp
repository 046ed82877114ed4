#include "soak/soak_fleet.hpp"

#include <algorithm>
#include <cctype>
#include <csignal>
#include <cstdio>
#include <fstream>

#include "support/fixed_port.hpp"

namespace wrenswitch::testing {
namespace {

constexpr microseconds longest_request = seconds(3);

/// What a cold plain worker bears in a second, and what may reach it at the most: half as much
/// again and five.
constexpr double cold_rate = 6.0;
constexpr std::size_t most_while_cold = 14;

/// How long gateways that can read the store may take to know of a change.
constexpr microseconds until_known = milliseconds(1500);

/// From the 50th bad answer of a version to the last request that it may get.
constexpr std::size_t borne_bad_answers = 50;
constexpr microseconds until_stopped = milliseconds(1500);

std::string event(int number) {
    return "id: " + std::to_string(number) + "\ndata: e" + std::to_string(number) + "\n\n";
}

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
           std::to_string(cold_rate) + R"(},
      {"name":"rol","healthPath":"/health","maxConns":120}],
     "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,"idleTimeoutMs":10000},
     "tenants":[{"name":"southern","apiKeys":["key-south"],"allowedRegions":["south"]},
      {"name":"tenant","apiKeys":["key-1"],"prepaid":)" +
           std::to_string(prepaid) + "}]}";
}

/// True if an answer has come whole, by its own length.
bool is_whole(const std::string& answer) {
    const std::size_t body = answer.find("\r\n\r\n");
    if (body == std::string::npos) {
        return false;
    }
    const std::string length_name = "Content-Length: ";
    const std::size_t length = answer.find(length_name);
    if (length == std::string::npos || length > body) {
        return answer.ends_with("0\r\n\r\n");
    }
    const std::size_t wanted = std::stoul(answer.substr(length + length_name.size()));
    return answer.size() >= body + 4 + wanted;
}

/// The end of a process's output, enough to see its state.
std::string last_lines(const std::string& output) {
    constexpr std::size_t most = 1500;
    return output.substr(output.size() - std::min(most, output.size()));
}

/// The first worker of each service is in one failure domain and region, the second in another.
bool is_south(const worker_standin& worker) {
    return worker.id().ends_with("2");
}

/// The request that ends the workers which run it, and how long these are away.
constexpr const char* crashing_body = "ends its worker";
constexpr microseconds worker_away = milliseconds(600);

/// So many workers may end under it before it is known, and it may reach so many more later than
/// this after the third, once nothing else is wrong.
constexpr std::size_t most_ends = 3;
constexpr std::ptrdiff_t most_after_ends = 3;
constexpr microseconds in_touch_after = seconds(3);

/// The bound on retries, as gateways have it by default.
constexpr double retry_share = 0.1;
constexpr double retry_slack = 20.0;
constexpr microseconds retry_window = seconds(10);

}  // namespace

std::string soak_fleet::entry_of(const worker_standin& worker, int cold_left_ms) {
    const std::string& id = worker.id();
    return worker.list_entry(id.substr(0, 3), "ready", is_south(worker) ? "z2" : "z1",
                             cold_left_ms);
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

void soak_fleet::serve(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    if (ends_worker(worker, exchange)) {
        return;
    }
    if (says_something(worker, exchange) || turns_away(worker, exchange)) {
        return;
    }
    const std::string id(exchange->head().header("Request-Id"));
    runs_[id] += 1;
    arrivals_[worker.id()].push_back(monotonic_now());
    check_region(worker, exchange->head());
    const bool cuts = random_.unit() < cut_share_;
    if (exchange->head().target.starts_with("/stream/")) {
        // The prompt counts once a request, the events as they are handed out.
        handed_out_ += (runs_[id] == 1 ? prompt : 0) + 3;
        exchange->begin_answer(200, worker.signed_headers(exchange));
        exchange->send_piece(event(1));
        const microseconds pause = milliseconds(5 + static_cast<std::int64_t>(random_.below(60)));
        loop.call_after(pause, [this, exchange, cuts] {
            if (cuts) {
                exchange->cut();
                return;
            }
            handed_out_ += 3;
            exchange->send_piece(event(2));
            exchange->end_answer();
        });
        return;
    }
    if (cuts) {
        exchange->cut();
        return;
    }
    exchange->answer(200, worker.signed_headers(exchange), "body of " + id);
}

/// Counts what reaches a plain worker, and answers it at once if it is turned away.
bool soak_fleet::turns_away(const worker_standin& worker,
                            const ingress_exchange_pointer& exchange) {
    if (!worker.id().starts_with("app")) {
        return false;
    }
    const std::string id(exchange->head().header("Request-Id"));
    plain_arrivals_[id] += 1;
    if (plain_arrivals_[id] > 1) {
        plain_retries_.push_back(monotonic_now());
    }
    if (turned_away_share_ == 0.0 || turned_away_.unit() >= turned_away_share_) {
        return false;
    }
    std::vector<http_header> headers = worker.signed_headers(exchange);
    headers.push_back({"Not-Executed", "1"});
    exchange->answer(503, headers, "");
    return true;
}

void soak_fleet::check_region(const worker_standin& worker, const message_head& head) {
    const bool bound =
        head.target.find("/south/") != std::string::npos || head.header("Tenant") == "southern";
    bound_runs_ += bound ? 1 : 0;
    if (bound && !is_south(worker)) {
        broken_.push_back("a bound request reached another region: " +
                          std::string(head.header("Request-Id")));
    }
}

void soak_fleet::add_versioned(int number, const std::string& version) {
    versioned_.push_back(std::make_unique<worker_standin>(loop, "rol-" + std::to_string(number)));
    worker_standin& worker = *versioned_.back();
    worker.version = version;
    worker.answer = [this, &worker](const ingress_exchange_pointer& exchange) {
        serve_versioned(worker, exchange);
    };
    store_.put("keyed.servers", worker.id(), worker.list_entry("rol"));
}

/// The new version fails four times in ten, if it is bad.
void soak_fleet::serve_versioned(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    const bool fails = bad_version_ && worker.version == "2" && random_.unit() < 0.4;
    if (fails) {
        bad_answers_.push_back(monotonic_now());
        exchange->answer(500, worker.signed_headers(exchange), "");
        return;
    }
    serve(worker, exchange);
}

void soak_fleet::begin_rollout(microseconds length) {
    ordered_at_ = monotonic_now();
    order_length_ = length;
    store_.put("keyed.op", "rollout/rol",
               R"({"service":"rol","targetVersion":"2","durationS":)" +
                   std::to_string(as_seconds(length)) + "}");
    for (int number = 3; number <= 5; ++number) {
        add_versioned(number, "2");
    }
}

std::string soak_fleet::rollout_state() {
    const auto value = store_.newest("keyed.status", "rollout/rol");
    for (const char* state : {"completed", "rolled_back"}) {
        if (value && value->find(state) != std::string::npos) {
            return state;
        }
    }
    return "";
}

/// The text in the newest record of the log of roll-outs.
std::string soak_fleet::rollout_reason() {
    std::string text = store_.newest("keyed.rollouts", "rol").value_or("");
    std::erase_if(text, [](unsigned char each) { return std::isprint(each) == 0; });
    return text;
}

std::size_t soak_fleet::reached_new(instant from, instant until) const {
    std::size_t number = 0;
    for (const auto& worker : versioned_) {
        if (worker->version == "2") {
            number += static_cast<std::size_t>(
                std::count_if(worker->arrivals.begin(), worker->arrivals.end(),
                              [&](const worker_standin::arrival& each) {
                                  return each.at >= from && each.at < until;
                              }));
        }
    }
    return number;
}

/// Once all gateways are in touch, nothing comes later than it may after the 50th bad answer.
void soak_fleet::check_roll_back(instant in_touch) {
    if (bad_answers_.size() < borne_bad_answers) {
        return;
    }
    const instant bound = std::max(bad_answers_[borne_bad_answers - 1], in_touch) + until_stopped;
    const std::size_t late = reached_new(bound, instant::max());
    if (late > 0) {
        broken_.push_back(std::to_string(late) + " requests too late after the 50th bad answer");
    }
}

void soak_fleet::check_rollout() {
    const instant in_touch = monotonic_now() + until_known;
    const instant deadline = ordered_at_ + order_length_;
    std::size_t all = 0;
    for (const auto& worker : versioned_) {
        all += static_cast<std::size_t>(std::count_if(
            worker->arrivals.begin(), worker->arrivals.end(),
            [&](const auto& each) { return each.at >= ordered_at_ && each.at < deadline; }));
    }
    const std::size_t exposed = reached_new(ordered_at_, deadline);
    if (static_cast<double>(exposed) > exposed_share * static_cast<double>(all)) {
        broken_.push_back("exposed " + std::to_string(exposed) + " of " + std::to_string(all));
    }
    run_until(
        [this] {
            send("/roll/x", request_shape::repeatable);
            run_for(milliseconds(10));
            collect();
            return !rollout_state().empty();
        },
        seconds(20));
    const std::string state = rollout_state();
    faults_.push_back("roll-out of a " + std::string(bad_version_ ? "bad" : "good") +
                      " version: " + (state.empty() ? "no end" : state) + ", " +
                      std::to_string(bad_answers_.size()) + " bad answers, exposed " +
                      std::to_string(exposed) + " of " + std::to_string(all) + ", " +
                      rollout_reason());
    if (bad_version_ && state == "completed") {
        broken_.push_back("a bad version was completed");
    }
    run_for(until_known);
    if (state == "completed") {
        for (const int index : {0, 1}) {
            store_.put("keyed.servers", versioned_[static_cast<std::size_t>(index)]->id(),
                       std::nullopt);
        }
        versioned_.erase(versioned_.begin(), versioned_.begin() + 2);
    }
    const instant ended = monotonic_now();
    if (!serves_again("/roll/x")) {
        broken_.push_back("the service that was rolled out isn't served: " + state);
    }
    if (state == "rolled_back" && reached_new(ended, instant::max()) > 0) {
        broken_.push_back("a request reached a version that was rolled back");
    }
    check_roll_back(in_touch);
    run_until([this] {
        collect();
        return clients_.empty();
    });
}

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
        } else if (each.keeps && is_whole(each.socket.received())) {
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
        const std::size_t first = answer.find(event(1));
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

void soak_fleet::inject_fault() {
    gateway_process& gateway = gateways_[random_.below(gateway_count)];
    const std::size_t index = static_cast<std::size_t>(&gateway - gateways_.data());
    const std::string name = " gateway " + std::to_string(index);
    switch (random_.below(11)) {
        case 0:
            faults_.push_back("kill" + name);
            gateway.process->signal(SIGKILL);
            break;
        case 1:
            faults_.push_back("stop" + name);
            gateway.process->signal(SIGTERM);
            break;
        case 2:
            faults_.push_back("pause" + name);
            gateway.process->signal(SIGSTOP);
            gateway.paused = true;
            break;
        case 3:
            harm(*gateway.way, "the way of" + name);
            break;
        case 4:
            faults_.push_back("busy store");
            store_.busy = true;
            break;
        case 5:
            faults_.push_back("lost append answers");
            store_.lose_append_answers = true;
            break;
        case 6:
            faults_.push_back("kill the relay");
            relay_->signal(SIGKILL);
            break;
        case 7:
            faults_.push_back("workers cut answers");
            cut_share_ = 0.3;
            break;
        case 8:
            harm(*gateway.bus_way, "the bus of" + name);
            break;
        case 9:
            faults_.push_back("raise the budget");
            prepaid_ += top_up;
            configure();
            break;
        default:
            faults_.push_back("hang up" + name);
            gateway.process->signal(SIGHUP);
            break;
    }
}

void soak_fleet::harm(loopback_proxy& way, const std::string& name) {
    switch (random_.below(4)) {
        case 0:
            faults_.push_back("silence " + name);
            way.silent = true;
            break;
        case 1:
            faults_.push_back("lose answers on " + name);
            way.answers_lost = true;
            break;
        case 2:
            faults_.push_back("delay " + name);
            way.delay = milliseconds(20 + static_cast<std::int64_t>(random_.below(200)));
            break;
        default:
            faults_.push_back("reset " + name);
            way.reset_connections();
            break;
    }
}

void soak_fleet::end_faults() {
    store_.busy = false;
    store_.lose_append_answers = false;
    cut_share_ = 0.0;
    for (gateway_process& gateway : gateways_) {
        gateway.way->heal();
        gateway.bus_way->heal();
        if (std::exchange(gateway.paused, false)) {
            gateway.process->signal(SIGCONT);
        }
    }
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

/// Requests to plain workers at all gateways, some 80 a second.
void soak_fleet::ask_plain_workers(microseconds length) {
    std::vector<raw_socket> sockets;
    const instant end = monotonic_now() + length;
    for (std::size_t turn = 0; monotonic_now() < end; ++turn) {
        raw_socket socket = raw_socket::connect(gateways_[turn % gateway_count].listen);
        socket.send("GET /again/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: plain" +
                    std::to_string(++last_id_) +
                    "\r\nCredential: key-1\r\nDeadline-Ms: 1000\r\nConnection: close\r\n\r\n");
        plain_sent_.push_back(monotonic_now());
        sockets.push_back(std::move(socket));
        run_for(milliseconds(12));
    }
    run_for(milliseconds(200));
}

void soak_fleet::check_cold_worker(const worker_standin& worker, instant from) {
    const std::vector<instant>& times = arrivals_[worker.id()];
    for (auto first = times.begin(); first != times.end(); ++first) {
        const auto last = std::lower_bound(first, times.end(), *first + seconds(1));
        if (*first >= from && static_cast<std::size_t>(last - first) > most_while_cold) {
            broken_.push_back(std::to_string(last - first) + " requests in a second at cold " +
                              worker.id());
            return;
        }
    }
}

void soak_fleet::play_cold_and_emptied() {
    const worker_standin& worker = *workers_[2];
    const microseconds cold = seconds(4);
    const instant turned = monotonic_now();
    store_.put("keyed.servers", worker.id(),
               entry_of(worker, static_cast<int>(cold / milliseconds(1))));
    ask_plain_workers(cold - milliseconds(500));
    check_cold_worker(worker, turned + until_known);

    store_.put("keyed.op", "evacuate/z1", "{}");
    run_for(until_known);
    const std::size_t before = arrivals_[worker.id()].size();
    ask_plain_workers(seconds(1));
    if (arrivals_[worker.id()].size() != before) {
        broken_.push_back("a request reached a worker of an emptied domain");
    }
    store_.put("keyed.op", "evacuate/z1", std::nullopt);
    const std::size_t emptied = arrivals_[worker.id()].size();
    ask_plain_workers(until_known);
    if (arrivals_[worker.id()].size() == emptied) {
        broken_.push_back("no request reached a worker of a domain that was taken back");
    }
}

void soak_fleet::play_turned_away() {
    turned_away_share_ = 0.9;
    ask_plain_workers(seconds(2));
    const std::size_t index = seed_ % gateway_count;
    gateways_[index].process->signal(SIGKILL);
    run_until([&] { return gateways_[index].process->ended(); });
    start_gateway(index);
    ask_plain_workers(seconds(3));
    turned_away_share_ = 0.0;
    check_retries();
}

/// In each window, from a retry on: no more of them than a share of the requests of that window, of
/// the one before or of the one half a window before, and the slack.
void soak_fleet::check_retries() {
    const auto count = [](const std::vector<instant>& times, instant from, instant until) {
        return static_cast<double>(std::lower_bound(times.begin(), times.end(), until) -
                                   std::lower_bound(times.begin(), times.end(), from));
    };
    for (const instant from : plain_retries_) {
        const double retries = count(plain_retries_, from, from + retry_window);
        double requests = 0.0;
        for (const microseconds back : {microseconds(0), retry_window / 2, retry_window}) {
            const instant begin = from - back;
            requests = std::max(requests, count(plain_sent_, begin, begin + retry_window));
        }
        if (retries > retry_share * requests + retry_slack) {
            broken_.push_back(std::to_string(retries) + " retries for " + std::to_string(requests) +
                              " requests at plain workers");
            return;
        }
    }
}

/// A worker whose process ends with this request is back under its identifier a moment later.
bool soak_fleet::ends_worker(worker_standin& worker, const ingress_exchange_pointer& exchange) {
    if (exchange->body() != crashing_body) {
        return false;
    }
    crash_arrivals_.push_back(monotonic_now());
    loop.call_after(milliseconds(10), [this, &worker] {
        if (!worker.runs()) {
            return;
        }
        crash_ends_.push_back(monotonic_now());
        worker.crash();
        loop.call_after(worker_away, [this, &worker] {
            worker.start_again();
            store_.put("keyed.servers", worker.id(), entry_of(worker));
        });
    });
    return true;
}

void soak_fleet::ask_crashing(std::size_t index) {
    raw_socket socket = raw_socket::connect(gateways_[index].listen);
    socket.send(
        "POST /again/x HTTP/1.1\r\nHost: h.test\r\nRequest-Id: crash" + std::to_string(++last_id_) +
        "\r\nCredential: key-1\r\nDeadline-Ms: 600\r\nConnection: close\r\n"
        "Content-Length: " +
        std::to_string(std::string_view(crashing_body).size()) + "\r\n\r\n" + crashing_body);
    run_until([&] { return socket.ended(); }, milliseconds(700));
}

void soak_fleet::harm_while_crashing() {
    gateway_process& gateway = gateways_[crashing_.below(gateway_count)];
    const double kind = crashing_.unit();
    if (kind < 0.1) {
        gateway.process->signal(SIGKILL);
        run_until([&] { return gateway.process->ended(); });
        start_gateway(static_cast<std::size_t>(&gateway - gateways_.data()));
    } else if (kind < 0.2) {
        gateway.way->silent = !gateway.way->silent;
    } else if (kind < 0.25) {
        store_.silent = !store_.silent;
    } else if (kind < 0.35) {
        gateway.bus_way->silent = !gateway.bus_way->silent;
    }
}

void soak_fleet::play_crashing_request() {
    const instant until = monotonic_now() + seconds(6);
    while (monotonic_now() < until) {
        ask_crashing(crashing_.below(gateway_count));
        harm_while_crashing();
        run_for(milliseconds(static_cast<std::int64_t>(crashing_.below(200))));
    }
    store_.silent = false;
    for (gateway_process& gateway : gateways_) {
        gateway.way->heal();
        gateway.bus_way->heal();
    }
    const instant healed = monotonic_now();
    run_for(in_touch_after);
    for (std::size_t turn = 0; turn < 4 * gateway_count; ++turn) {
        ask_crashing(turn % gateway_count);
        run_for(milliseconds(150));
    }
    const instant third = crash_ends_.size() < most_ends ? instant::max() - in_touch_after
                                                         : crash_ends_[most_ends - 1];
    const instant from = std::max(healed, third) + in_touch_after;
    const auto late = std::count_if(crash_arrivals_.begin(), crash_arrivals_.end(),
                                    [from](instant at) { return at > from; });
    if (late > most_after_ends) {
        broken_.push_back("a request under which workers had ended reached workers " +
                          std::to_string(late) + " times more; " +
                          std::to_string(crash_ends_.size()) + " ended in all");
    }
    run_until([this] {
        return std::all_of(workers_.begin(), workers_.end(),
                           [](const auto& worker) { return worker->runs(); });
    });
    run_for(until_known);
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
