#include "wrenswitch/drivers/log_service.hpp"

#include <log.pb.h>

#include <unordered_map>

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
        : loop_(loop), client_(loop, address) {}

    void append(std::string_view stream, std::string data, append_hook done) override {
        http_request request;
        request.method = "POST";
        request.target = path_of(stream);
        request.headers.push_back({"Content-Type", "application/x-protobuf"});
        request.body = std::move(data);
        request.timeout = append_timeout;
        start(std::move(request), [done = std::move(done)](const result<http_reply>& reply) {
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
        start(std::move(request), [done = std::move(done)](const result<http_reply>& reply) {
            done(read_page(reply));
        });
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

    /// Keeps the call until its answer is there.
    void start(http_request request, http_reply_hook done) {
        const std::uint64_t number = ++last_call_;
        auto call =
            client_.send(std::move(request),
                         [this, number, done = std::move(done)](const result<http_reply>& reply) {
                             retire(number);
                             done(reply);
                         });
        calls_.emplace(number, std::move(call));
    }

    /// The call is still on the stack, so it is destroyed a little later.
    void retire(std::uint64_t number) {
        const auto found = calls_.find(number);
        if (found == calls_.end()) {
            return;
        }
        const std::shared_ptr<http_call> call = std::move(found->second);
        calls_.erase(found);
        loop_.call_after(microseconds(0), [call] {});
    }

    event_loop& loop_;
    http_client client_;
    std::uint64_t last_call_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<http_call>> calls_;
};

}  // namespace

std::unique_ptr<log_service> make_http_log_service(event_loop& loop, const http_address& address) {
    return std::make_unique<http_log_service>(loop, address);
}

}  // namespace wrenswitch
