#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/service_channel.hpp"

namespace wrenswitch {
namespace {

/// Exceeds the timeout of any call plus the time that other replies may take meanwhile.
constexpr microseconds longest_connection_silence = seconds(60);

class direct_channel final : public service_channel {
public:
    direct_channel(event_loop& loop, const http_address& address, arrival_watch& arrivals)
        : loop_(loop), client_(loop, address), arrivals_(arrivals) {}

    ~direct_channel() override { *alive_ = false; }
    direct_channel(const direct_channel&) = delete;
    direct_channel& operator=(const direct_channel&) = delete;

    void call(http_request request, reply_hook done, piece_hook piece_received) override {
        const std::uint64_t number = ++last_call_;
        pending_call& call = calls_[number];
        call.target = request.target;
        call.longest_silence = request.timeout;
        call.done = std::move(done);
        call.piece_received = std::move(piece_received);
        call.last_activity = arrivals_.checkpoint_at(call.started_at);
        // The timeout is enforced here, since the HTTP client does not know of other replies on the
        // link.
        request.longest_idle = request.timeout;
        request.timeout = longest_connection_silence;
        auto running = client_.send(
            std::move(request),
            [this, number](result<http_reply> reply) { on_reply(number, std::move(reply)); },
            [this, number](const http_reply&, std::string_view piece) { on_piece(number, piece); });
        const auto found = calls_.find(number);
        if (found != calls_.end()) {
            found->second.running = std::move(running);
            schedule_timeout_check(number, found->second.longest_silence);
        }
    }

private:
    struct pending_call {
        std::unique_ptr<http_call> running;
        std::string target;
        reply_hook done;
        /// The part of the reply body received so far.
        std::string body;
        instant started_at = monotonic_now();
        piece_hook piece_received;
        microseconds longest_silence{};
        /// The last piece received, or the start of the call.
        arrival_watch::checkpoint last_activity;
        /// Null until the first piece.
        std::unique_ptr<incoming_reply> incoming;
    };

    void on_piece(std::uint64_t number, std::string_view piece) {
        // A call that timed out in this iteration of the loop is destroyed in the next one.
        const auto found = calls_.find(number);
        if (found == calls_.end()) {
            return;
        }
        pending_call& call = found->second;
        const instant now = monotonic_now();
        if (call.incoming) {
            call.incoming->record_piece(now);
        } else {
            call.incoming = std::make_unique<incoming_reply>(arrivals_, now);
        }
        call.last_activity = arrivals_.checkpoint_at(now);
        call.body += piece;
        if (call.piece_received) {
            call.piece_received();
        }
    }

    void schedule_timeout_check(std::uint64_t number, microseconds wait) {
        loop_.call_after(wait, [this, number, alive = alive_] {
            if (*alive) {
                check_timeout(number);
            }
        });
    }

    void check_timeout(std::uint64_t number) {
        const auto found = calls_.find(number);
        if (found == calls_.end()) {
            return;
        }
        const pending_call& call = found->second;
        const microseconds left =
            call.longest_silence - arrivals_.silence_since(call.last_activity, monotonic_now());
        if (left > microseconds(0)) {
            schedule_timeout_check(number, left);
            return;
        }
        on_reply(number,
                 failed(error_code::timed_out, "No reply from " + client_.address().to_text() +
                                                   ": the peer was silent for too long."));
    }

    void on_reply(std::uint64_t number, result<http_reply> reply) {
        const auto found = calls_.find(number);
        if (found == calls_.end()) {
            return;
        }
        pending_call call = std::move(found->second);
        calls_.erase(found);
        call.incoming.reset();
        // Deferred to the next loop iteration, since a callback of the call is still running.
        loop_.call_after(microseconds(0),
                         [finished = std::shared_ptr<http_call>(std::move(call.running))] {});
        if (reply) {
            reply.value().body = std::move(call.body);
        } else {
            log_unanswered(call, reply.error());
        }
        call.done(std::move(reply));
    }

    /// Logs the progress of this reply and of all others, to distinguish an unresponsive service
    /// from a saturated link.
    void log_unanswered(const pending_call& call, const error& problem) const {
        const instant now = monotonic_now();
        log_event(log_level::warning, "service_call_unanswered",
                  {{"call", call.target},
                   {"age_ms", millis_text(now - call.started_at)},
                   {"received_bytes", std::to_string(call.body.size())},
                   {"last_piece_ms",
                    arrivals_.last_piece() ? millis_text(now - *arrivals_.last_piece()) : "none"},
                   {"calls_open", std::to_string(calls_.size())},
                   {"error", problem.message}});
    }

    event_loop& loop_;
    http_client client_;
    std::uint64_t last_call_ = 0;
    std::unordered_map<std::uint64_t, pending_call> calls_;
    arrival_watch& arrivals_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace

std::unique_ptr<service_channel> make_direct_channel(event_loop& loop, const http_address& address,
                                                     arrival_watch& arrivals) {
    return std::make_unique<direct_channel>(loop, address, arrivals);
}

}  // namespace wrenswitch
