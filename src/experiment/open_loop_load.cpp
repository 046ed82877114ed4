#include "experiment/open_loop_load.hpp"

#include <algorithm>
#include <random>

namespace wrenswitch::experiment {
namespace {

using nlohmann::json;

constexpr microseconds send_period = microseconds(500);

/// How long the run waits for the last answers.
constexpr microseconds longest_tail = seconds(30);

constexpr unsigned status_ok = 200;

}  // namespace

open_loop_load::open_loop_load(event_loop& loop, load_settings settings)
    : loop_(loop), settings_(std::move(settings)), random_(settings_.seed) {
    for (const http_address& address : settings_.addresses) {
        clients_.push_back(std::make_unique<http_client>(loop, address));
    }
}

void open_loop_load::plan() {
    std::exponential_distribution<double> gap(settings_.rate);
    double time = gap(random_.engine());
    while (time < as_seconds(settings_.length)) {
        constexpr double microseconds_a_second = 1e6;
        arrivals_.emplace_back(static_cast<std::int64_t>(time * microseconds_a_second));
        time += gap(random_.engine());
    }
    requests_.resize(arrivals_.size());
}

json open_loop_load::run() {
    plan();
    begin_ = monotonic_now();
    timer_ = loop_.call_every(send_period, [this] { send_due(); });
    loop_.call_after(settings_.length + longest_tail, [this] { loop_.stop(); });
    loop_.run();
    timer_.reset();
    return {{"seed", settings_.seed},
            {"rate", settings_.rate},
            {"sent", next_},
            {"answered", answered_},
            {"outcomes", outcomes_},
            {"answer_ms", answer_.to_json()},
            {"first_piece_ms", first_piece_.to_json()},
            {"between_pieces_ms", between_pieces_.to_json()},
            {"send_lateness_ms", lateness_.to_json()}};
}

void open_loop_load::send_due() {
    const microseconds passed = monotonic_now() - begin_;
    while (next_ < arrivals_.size() && arrivals_[next_] <= passed) {
        send(next_++);
    }
}

std::string open_loop_load::body_of(std::size_t index) {
    const std::string beginning =
        "request " + std::to_string(index) + " of seed " + std::to_string(settings_.seed) + " ";
    std::string prompt = beginning;
    prompt.resize(std::max(settings_.prompt_bytes, prompt.size()), 'x');
    const json body = {{"model", settings_.model},
                       {"max_tokens", settings_.max_tokens},
                       {"stream", settings_.streamed},
                       {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}};
    return body.dump();
}

void open_loop_load::send(std::size_t index) {
    sent_request& item = requests_[index];
    item.planned = begin_ + arrivals_[index];
    constexpr double milliseconds_a_second = 1e3;
    lateness_.add(as_seconds(monotonic_now() - item.planned) * milliseconds_a_second);
    http_request request;
    request.method = "POST";
    const bool plain = !settings_.service_path.empty();
    request.target = plain ? settings_.service_path : "/v1/chat/completions";
    request.headers = {{"Authorization", "Bearer " + settings_.key},
                       {"Content-Type", "application/json"}};
    if (settings_.keyed) {
        request.headers.push_back({"Idempotency-Key", "load-" + std::to_string(settings_.seed) +
                                                          "-" + std::to_string(index)});
    }
    if (settings_.priority >= 0) {
        request.headers.push_back({"X-Priority", std::to_string(settings_.priority)});
    }
    request.body = plain ? "{}" : body_of(index);
    http_client& client = *clients_[index % clients_.size()];
    item.call = client.send(
        std::move(request),
        [this, index](const result<http_reply>& reply) { on_reply(index, reply); },
        [this, index](const http_reply&, std::string_view) { on_piece(index); });
}

void open_loop_load::on_piece(std::size_t index) {
    sent_request& item = requests_[index];
    item.last = monotonic_now();
    if (item.pieces++ == 0) {
        item.first = item.last;
    }
}

void open_loop_load::on_reply(std::size_t index, const result<http_reply>& reply) {
    sent_request& item = requests_[index];
    constexpr double milliseconds_a_second = 1e3;
    const instant now = monotonic_now();
    ++answered_;
    const std::string outcome = reply ? "status_" + std::to_string(reply.value().status)
                                      : std::string(name_of(reply.error().code));
    ++outcomes_[outcome];
    if (reply && reply.value().status == status_ok) {
        answer_.add(as_seconds(now - item.planned) * milliseconds_a_second);
        if (item.pieces > 0) {
            first_piece_.add(as_seconds(item.first - item.planned) * milliseconds_a_second);
        }
        if (item.pieces > 1) {
            between_pieces_.add(as_seconds(item.last - item.first) * milliseconds_a_second /
                                static_cast<double>(item.pieces - 1));
        }
    }
    loop_.call_after(microseconds(0), [call = std::shared_ptr<http_call>(std::move(item.call))] {});
    const bool done = answered_ == arrivals_.size();
    if (done) {
        loop_.stop();
    }
}

}  // namespace wrenswitch::experiment
