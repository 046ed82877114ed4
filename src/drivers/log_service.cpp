#include "wrenswitch/drivers/log_service.hpp"

#include <log.pb.h>

#include "wrenswitch/drivers/service_channel.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds append_timeout = seconds(5);

/// Added to a read's own wait, for the way there and back.
constexpr microseconds read_slack = seconds(5);

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

class http_log_service final : public log_service {
public:
    http_log_service(event_loop& loop, const http_address& address)
        : channel_(make_direct_channel(loop, address, arrivals_)) {}

    void append(std::string_view stream, std::string data, append_hook done) override {
        http_request request;
        request.method = "POST";
        request.target = path_of(stream);
        request.headers.push_back({"Content-Type", "application/x-protobuf"});
        request.body = std::move(data);
        request.timeout = append_timeout;
        channel_->call(std::move(request),
                       [done = std::move(done)](const result<http_reply>& reply) {
                           done(read_append_reply(reply));
                       });
    }

    void read(std::string_view stream, log_offset from, std::size_t most_bytes, microseconds wait,
              read_hook done) override {
        http_request request;
        request.target = path_of(stream) + "?from=" + std::to_string(raw(from)) +
                         "&max_bytes=" + std::to_string(most_bytes) + "&wait_ms=" +
                         std::to_string(std::chrono::duration_cast<milliseconds>(wait).count());
        request.timeout = wait + read_slack;
        channel_->call(
            std::move(request),
            [done = std::move(done)](const result<http_reply>& reply) { done(read_page(reply)); });
    }

private:
    static std::string path_of(std::string_view stream) {
        return "/v1/streams/" + std::string(stream) + "/records";
    }

    static result<log_offset> read_append_reply(const result<http_reply>& reply) {
        if (!reply) {
            return reply.error();
        }
        wire::AppendReply parsed;
        const bool good =
            reply.value().status == status_ok && parsed.ParseFromString(reply.value().body);
        if (!good) {
            return failed(error_code::unavailable, "The log answered an append with status " +
                                                       std::to_string(reply.value().status) + ".");
        }
        return log_offset{parsed.offset()};
    }

    static result<log_page> read_page(const result<http_reply>& reply) {
        if (!reply) {
            return reply.error();
        }
        if (reply.value().status == status_gone) {
            return failed(error_code::expired, "The offset is no longer kept.");
        }
        wire::ReadReply parsed;
        const bool good =
            reply.value().status == status_ok && parsed.ParseFromString(reply.value().body);
        if (!good) {
            return failed(error_code::unavailable, "The log answered a read with status " +
                                                       std::to_string(reply.value().status) + ".");
        }
        log_page page;
        page.first = log_offset{parsed.first_offset()};
        page.end = log_offset{parsed.end_offset()};
        for (wire::LogRecord& record : *parsed.mutable_records()) {
            page.records.push_back(
                {log_offset{record.offset()}, std::move(*record.mutable_data())});
        }
        return page;
    }

    arrival_watch arrivals_;
    std::unique_ptr<service_channel> channel_;
};

}  // namespace

std::unique_ptr<log_service> make_http_log_service(event_loop& loop, const http_address& address) {
    return std::make_unique<http_log_service>(loop, address);
}

}  // namespace wrenswitch
