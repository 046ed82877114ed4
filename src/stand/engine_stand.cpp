#include "stand/engine_stand.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch::stand {
namespace {

using nlohmann::json;

constexpr std::size_t bytes_a_token = 4;
constexpr std::size_t prefix_bytes = 256;
constexpr std::size_t kept_events = 1000;
constexpr microseconds load_sample_period = milliseconds(20);

void reply_json(const http_exchange_pointer& exchange, unsigned status, const json& body) {
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

std::string prompt_of(const json& request) {
    std::string text;
    if (request.contains("prompt") && request["prompt"].is_string()) {
        return request["prompt"].get<std::string>();
    }
    if (!request.contains("messages") || !request["messages"].is_array()) {
        return text;
    }
    for (const json& message : request["messages"]) {
        if (message.is_object() && message.contains("content") && message["content"].is_string()) {
            text += message["content"].get_ref<const std::string&>();
        }
    }
    return text;
}

}  // namespace

/// One answer that is being made.
struct engine_stand::completion {
    http_exchange_pointer exchange;
    std::uint64_t sequence = 0;
    std::string account;
    bool streamed = false;
    bool chat = true;
    std::size_t prompt_tokens = 0;
    std::size_t answer_tokens = 0;
    std::string text;
    bool gone = false;
};

result<std::unique_ptr<engine_stand>> engine_stand::start(event_loop& loop,
                                                          engine_stand_settings settings) {
    std::unique_ptr<engine_stand> stand(new engine_stand(loop, std::move(settings)));
    engine_stand* self = stand.get();
    http_server_settings server_settings;
    server_settings.port = self->settings_.port;
    auto server = http_server::start(
        loop, server_settings,
        [self](const http_exchange_pointer& exchange) { self->handle(exchange); });
    if (!server) {
        return server.error();
    }
    stand->server_ = std::move(server.value());
    stand->load_timer_ = loop.call_every(load_sample_period, [self] { self->sample_load(); });
    return stand;
}

engine_stand::engine_stand(event_loop& loop, engine_stand_settings settings)
    : loop_(loop),
      settings_(std::move(settings)),
      random_(settings_.seed),
      engine_(settings_.speed) {}

void engine_stand::handle(const http_exchange_pointer& exchange) {
    const std::string_view path = exchange->path();
    if (path == "/v1/chat/completions" || path == "/v1/completions") {
        complete(exchange);
    } else if (path == "/load") {
        report_load(exchange);
    } else if (path == "/counts") {
        json counts = counts_.to_json();
        counts["cache_hits"] = engine_.cache_hits();
        counts["cache_lookups"] = engine_.cache_lookups();
        reply_json(exchange, 200, counts);
    } else if (path == "/cache_events") {
        report_cache_events(exchange);
    } else if (path == "/orders") {
        take_order(exchange);
    } else if (path == "/faults") {
        set_faults(exchange);
    } else {
        reply_json(exchange, 404, {{"error", "unknown path"}});
    }
}

void engine_stand::complete(const http_exchange_pointer& exchange) {
    if (refuse_all_) {
        reply_json(exchange, 503, {{"error", "the engine is not ready"}});
        return;
    }
    const json request = json::parse(exchange->body(), nullptr, false);
    if (!request.is_object()) {
        reply_json(exchange, 400, {{"error", "a JSON object is needed"}});
        return;
    }
    const std::string prompt = prompt_of(request);
    const std::size_t allowed = request.value("max_tokens", std::size_t{16});
    auto running = std::make_shared<completion>();
    running->exchange = exchange;
    running->sequence = next_sequence_++;
    running->account = exchange->header("X-Client-Account");
    running->streamed = request.value("stream", false);
    running->chat = exchange->path() == "/v1/chat/completions";
    running->prompt_tokens = (prompt.size() + bytes_a_token - 1) / bytes_a_token;
    // The same prompt gets an answer of the same length, so that runs can be repeated.
    const std::size_t longest =
        std::max<std::size_t>(std::min(allowed, settings_.longest_answer), 1);
    running->answer_tokens = 1 + spread_hash(prompt) % longest;
    counts_.started(exchange->header("Idempotency-Key"), running->account);

    exchange->on_closed([this, running] {
        running->gone = true;
        engine_.cancel(running->sequence);
    });
    if (running->streamed) {
        exchange->start_stream(200, {{"Content-Type", "text/event-stream"}});
    }
    engine_sequence sequence;
    sequence.id = running->sequence;
    const std::string priority(exchange->header("X-Priority"));
    sequence.priority = priority.empty() ? 0U : static_cast<std::uint32_t>(std::stoul(priority));
    sequence.prompt_tokens = running->prompt_tokens;
    sequence.wanted_tokens = running->answer_tokens;
    sequence.prefix = spread_hash(std::string_view(prompt).substr(0, prefix_bytes));
    sequence.prefix_tokens = std::min(prompt.size(), prefix_bytes) / bytes_a_token;
    sequence.on_token = [this, running](std::size_t number, bool last) {
        on_token(running, number, last);
    };
    counts_.spent(running->account, static_cast<std::int64_t>(running->prompt_tokens));
    engine_.add(std::move(sequence));
    run_steps();
}

void engine_stand::run_steps() {
    if (stepping_ || engine_.idle()) {
        return;
    }
    stepping_ = true;
    loop_.call_after(engine_.begin_step() + extra_delay_, [this] {
        engine_.end_step();
        stepping_ = false;
        run_steps();
    });
}

void engine_stand::on_token(const std::shared_ptr<completion>& running, std::size_t number,
                            bool last) {
    if (running->gone) {
        return;
    }
    counts_.spent(running->account, 1);
    const bool cut = cut_after_ > 0 && number + 1 >= cut_after_;
    if (cut) {
        running->gone = true;
        engine_.cancel(running->sequence);
        running->exchange->cut();
        return;
    }
    if (running->streamed) {
        send_token(*running, number);
    } else {
        running->text += "t" + std::to_string(number) + " ";
    }
    if (last) {
        counts_.ended();
        send_end(*running);
        const bool told = random_.unit() >= settings_.lost_events;
        const std::uint64_t event = next_event_++;
        if (told) {
            cache_events_.emplace_back(event, running->sequence);
        }
        if (cache_events_.size() > kept_events) {
            cache_events_.pop_front();
        }
    }
}

void engine_stand::send_token(completion& running, std::size_t number) {
    const std::string text = "t" + std::to_string(number) + " ";
    const std::string id = std::to_string(running.sequence);
    const json choice =
        running.chat
            ? json{{"index", 0}, {"delta", {{"content", text}}}, {"finish_reason", nullptr}}
            : json{{"index", 0}, {"text", text}, {"finish_reason", nullptr}};
    const json event = {{"id", "c" + id},
                        {"object", running.chat ? "chat.completion.chunk" : "text_completion"},
                        {"model", settings_.model},
                        {"choices", json::array({choice})}};
    running.exchange->send_piece("data: " + event.dump() + "\n\n");
}

void engine_stand::send_end(completion& running) {
    const json usage = {{"prompt_tokens", running.prompt_tokens},
                        {"completion_tokens", running.answer_tokens},
                        {"total_tokens", running.prompt_tokens + running.answer_tokens}};
    if (running.streamed) {
        const json event = {{"id", "c" + std::to_string(running.sequence)},
                            {"object", running.chat ? "chat.completion.chunk" : "text_completion"},
                            {"model", settings_.model},
                            {"choices", json::array()},
                            {"usage", usage}};
        running.exchange->send_piece("data: " + event.dump() + "\n\ndata: [DONE]\n\n");
        running.exchange->end_stream();
        return;
    }
    const json choice = running.chat
                            ? json{{"index", 0},
                                   {"message", {{"role", "assistant"}, {"content", running.text}}},
                                   {"finish_reason", "stop"}}
                            : json{{"index", 0}, {"text", running.text}, {"finish_reason", "stop"}};
    reply_json(running.exchange, 200,
               {{"id", "c" + std::to_string(running.sequence)},
                {"object", running.chat ? "chat.completion" : "text_completion"},
                {"model", settings_.model},
                {"choices", json::array({choice})},
                {"usage", usage}});
}

void engine_stand::sample_load() {
    const instant now = monotonic_now();
    load_history_.push_back({now, engine_.batch(), engine_.queue(), engine_.memory_share()});
    while (load_history_.size() > 1 && now - load_history_[1].when >= settings_.report_lag) {
        load_history_.pop_front();
    }
}

void engine_stand::report_load(const http_exchange_pointer& exchange) const {
    const load_sample sample = load_history_.empty() ? load_sample{} : load_history_.front();
    reply_json(exchange, 200,
               {{"batch", sample.batch}, {"queue", sample.queue}, {"memory", sample.memory}});
}

void engine_stand::report_cache_events(const http_exchange_pointer& exchange) const {
    json list = json::array();
    for (const auto& [number, sequence] : cache_events_) {
        list.push_back({{"number", number}, {"sequence", sequence}});
    }
    reply_json(exchange, 200, list);
}

void engine_stand::take_order(const http_exchange_pointer& exchange) {
    const json order = json::parse(exchange->body(), nullptr, false);
    const bool valid = order.is_object() && order.contains("subject") && order.contains("epoch") &&
                       order["subject"].is_string() && order["epoch"].is_number_unsigned();
    if (!valid) {
        reply_json(exchange, 400, {{"error", "an order needs a subject and an epoch"}});
        return;
    }
    std::uint64_t& known = order_epochs_[order["subject"].get<std::string>()];
    const auto epoch = order["epoch"].get<std::uint64_t>();
    if (epoch < known) {
        reply_json(exchange, 409,
                   {{"error", "a later issuer's order is in force"}, {"epoch", known}});
        return;
    }
    known = epoch;
    reply_json(exchange, 200, {{"epoch", known}});
}

void engine_stand::set_faults(const http_exchange_pointer& exchange) {
    const json wanted = json::parse(exchange->body(), nullptr, false);
    if (!wanted.is_object()) {
        reply_json(exchange, 400, {{"error", "a JSON object is needed"}});
        return;
    }
    refuse_all_ = wanted.value("refuse", refuse_all_);
    cut_after_ = wanted.value("cut_after", cut_after_);
    extra_delay_ = milliseconds(wanted.value(
        "step_delay_ms", std::chrono::duration_cast<milliseconds>(extra_delay_).count()));
    if (wanted.contains("speed_factor")) {
        engine_.set_speed_factor(wanted["speed_factor"].get<double>());
    }
    reply_json(exchange, 200, {{"ok", true}});
}

}  // namespace wrenswitch::stand
