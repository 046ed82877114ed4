#include "stand/log_stand.hpp"

#include <log.pb.h>

#include <charconv>
#include <nlohmann/json.hpp>

namespace wrenswitch::stand {
namespace {

using nlohmann::json;

constexpr std::string_view streams_prefix = "/v1/streams/";
constexpr std::string_view records_suffix = "/records";
constexpr microseconds late_read_period = milliseconds(50);

std::uint64_t number_of(const std::string& text, std::uint64_t fallback) {
    std::uint64_t value = fallback;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

void reply_json(const http_exchange_pointer& exchange, unsigned status, const json& body) {
    exchange->reply(status, {{"Content-Type", "application/json"}}, body.dump());
}

}  // namespace

result<std::unique_ptr<log_stand>> log_stand::start(event_loop& loop,
                                                    const std::vector<std::uint16_t>& ports,
                                                    std::uint64_t seed) {
    std::unique_ptr<log_stand> stand(new log_stand(loop, seed));
    log_stand* self = stand.get();
    for (const std::uint16_t port : ports) {
        const std::size_t index = stand->listeners_.size();
        http_server_settings settings;
        settings.port = port;
        auto server = http_server::start(loop, settings,
                                         [self, index](const http_exchange_pointer& exchange) {
                                             self->handle(index, exchange);
                                         });
        if (!server) {
            return server.error();
        }
        auto made = std::make_unique<listener>();
        made->server = std::move(server.value());
        stand->listeners_.push_back(std::move(made));
    }
    stand->timer_ = loop.call_every(late_read_period, [self] { self->end_late_reads(); });
    return stand;
}

std::vector<std::uint16_t> log_stand::ports() const {
    std::vector<std::uint16_t> list;
    for (const auto& item : listeners_) {
        list.push_back(item->server->port());
    }
    return list;
}

void log_stand::handle(std::size_t index, const http_exchange_pointer& exchange) {
    if (exchange->path() == "/faults" && exchange->method() == "POST") {
        set_faults(exchange);
        return;
    }
    if (exchange->path() == "/state") {
        describe(exchange);
        return;
    }
    const log_faults& faults = listeners_[index]->faults;
    if (faults.outage) {
        exchange->reply(503, {}, "");
        return;
    }
    if (faults.delay > microseconds(0)) {
        loop_.call_after(faults.delay, [this, index, exchange] { handle_stream(index, exchange); });
        return;
    }
    handle_stream(index, exchange);
}

void log_stand::handle_stream(std::size_t index, const http_exchange_pointer& exchange) {
    std::string_view path = exchange->path();
    const bool known = path.size() > streams_prefix.size() + records_suffix.size() &&
                       path.substr(0, streams_prefix.size()) == streams_prefix &&
                       path.substr(path.size() - records_suffix.size()) == records_suffix;
    if (!known) {
        reply_json(exchange, 404, {{"error", "unknown path"}});
        return;
    }
    path.remove_prefix(streams_prefix.size());
    path.remove_suffix(records_suffix.size());
    if (exchange->method() == "POST") {
        append(index, exchange, path);
        return;
    }
    read(index, exchange, path);
}

void log_stand::append(std::size_t index, const http_exchange_pointer& exchange,
                       std::string_view name) {
    const log_faults& faults = listeners_[index]->faults;
    if (random_.unit() < faults.refuse_appends) {
        exchange->reply(503, {}, "");
        return;
    }
    stream_store& stream = store_.stream(name);
    ++appends_;
    append_bytes_ += exchange->body().size();
    wire::AppendReply reply;
    reply.set_offset(stream.append(std::string(exchange->body())));
    stream.keep_only(retention_);
    if (random_.unit() < faults.lose_answers) {
        exchange->cut();
    } else {
        exchange->reply(200, {{"Content-Type", "application/x-protobuf"}},
                        reply.SerializeAsString());
    }
    wake(name);
}

void log_stand::read(std::size_t index, const http_exchange_pointer& exchange,
                     std::string_view name) {
    waiting_read wanted;
    wanted.exchange = exchange;
    wanted.stream = name;
    wanted.from = number_of(exchange->query("from"), 0);
    constexpr std::uint64_t default_bytes = 1U << 20U;
    wanted.most_bytes = number_of(exchange->query("max_bytes"), default_bytes);
    wanted.until = monotonic_now() + milliseconds(number_of(exchange->query("wait_ms"), 0));
    wanted.listener_index = index;

    const stream_store& stream = store_.stream(name);
    const bool from_oldest = wanted.from == 0;
    if (from_oldest) {
        wanted.from = stream.first_offset();
    }
    if (wanted.from < stream.first_offset()) {
        reply_json(exchange, 410, {{"first_offset", stream.first_offset()}});
        return;
    }
    const bool nothing_yet = wanted.from >= stream.end_offset();
    if (nothing_yet && wanted.until > monotonic_now()) {
        waiting_.push_back(std::move(wanted));
        return;
    }
    answer_read(wanted);
}

void log_stand::answer_read(const waiting_read& read) {
    const stream_store& stream = store_.stream(read.stream);
    wire::ReadReply reply;
    reply.set_first_offset(stream.first_offset());
    reply.set_end_offset(stream.end_offset());
    std::size_t bytes = 0;
    for (std::uint64_t offset = std::max(read.from, stream.first_offset());
         offset < stream.end_offset() && bytes < read.most_bytes; ++offset) {
        wire::LogRecord& record = *reply.add_records();
        record.set_offset(offset);
        record.set_data(stream.at(offset));
        bytes += record.data().size();
    }
    read_bytes_ += bytes;
    read.exchange->reply(200, {{"Content-Type", "application/x-protobuf"}},
                         reply.SerializeAsString());
}

void log_stand::wake(std::string_view stream) {
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        const bool concerned =
            item->stream == stream && !listeners_[item->listener_index]->faults.outage;
        if (!concerned) {
            ++item;
            continue;
        }
        const waiting_read read = std::move(*item);
        item = waiting_.erase(item);
        answer_read(read);
    }
}

void log_stand::end_late_reads() {
    const instant now = monotonic_now();
    for (auto item = waiting_.begin(); item != waiting_.end();) {
        if (item->until > now) {
            ++item;
            continue;
        }
        const waiting_read read = std::move(*item);
        item = waiting_.erase(item);
        answer_read(read);
    }
}

void log_stand::set_faults(const http_exchange_pointer& exchange) {
    const json wanted = json::parse(exchange->body(), nullptr, false);
    if (!wanted.is_object()) {
        reply_json(exchange, 400, {{"error", "a JSON object is needed"}});
        return;
    }
    for (std::size_t index = 0; index < listeners_.size(); ++index) {
        if (wanted.contains("listener") && wanted["listener"] != index) {
            continue;
        }
        log_faults& faults = listeners_[index]->faults;
        faults.outage = wanted.value("outage", faults.outage);
        faults.delay = milliseconds(wanted.value(
            "delay_ms", std::chrono::duration_cast<milliseconds>(faults.delay).count()));
        faults.lose_answers = wanted.value("lose_answers", faults.lose_answers);
        faults.refuse_appends = wanted.value("refuse_appends", faults.refuse_appends);
        if (!faults.outage) {
            continue;
        }
        // Those who wait for records are cut off too.
        for (auto item = waiting_.begin(); item != waiting_.end();) {
            if (item->listener_index != index) {
                ++item;
                continue;
            }
            item->exchange->reply(503, {}, "");
            item = waiting_.erase(item);
        }
    }
    if (wanted.contains("retention_records")) {
        retention_ = wanted["retention_records"].get<std::size_t>();
        for (const auto& [name, stream] : store_.streams()) {
            store_.stream(name).keep_only(retention_);
        }
    }
    reply_json(exchange, 200, {{"ok", true}});
}

void log_stand::describe(const http_exchange_pointer& exchange) {
    json streams = json::object();
    for (const auto& [name, stream] : store_.streams()) {
        streams[name] = {{"first", stream.first_offset()}, {"end", stream.end_offset()}};
    }
    reply_json(exchange, 200,
               {{"streams", streams},
                {"appends", appends_},
                {"append_bytes", append_bytes_},
                {"read_bytes", read_bytes_}});
}

}  // namespace wrenswitch::stand
