#include <unordered_map>

#include "wrenswitch/drivers/service_channel.hpp"

namespace wrenswitch {
namespace {

class direct_channel final : public service_channel {
public:
    direct_channel(event_loop& loop, const http_address& address)
        : loop_(loop), client_(loop, address) {}

    void call(http_request request, reply_hook done) override {
        const std::uint64_t number = ++last_call_;
        auto running =
            client_.send(std::move(request),
                         [this, number, done = std::move(done)](const result<http_reply>& reply) {
                             retire(number);
                             done(reply);
                         });
        calls_.emplace(number, std::move(running));
    }

private:
    /// The call is still on the stack, so it is destroyed a turn of the loop later.
    void retire(std::uint64_t number) {
        const auto found = calls_.find(number);
        if (found == calls_.end()) {
            return;
        }
        const std::shared_ptr<http_call> ended = std::move(found->second);
        calls_.erase(found);
        loop_.call_after(microseconds(0), [ended] {});
    }

    event_loop& loop_;
    http_client client_;
    std::uint64_t last_call_ = 0;
    std::unordered_map<std::uint64_t, std::unique_ptr<http_call>> calls_;
};

}  // namespace

std::unique_ptr<service_channel> make_direct_channel(event_loop& loop,
                                                     const http_address& address) {
    return std::make_unique<direct_channel>(loop, address);
}

}  // namespace wrenswitch
