#pragma once

#include <memory>
#include <string>
#include <vector>

#include "support/raw_socket.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::testing {

/// Passes calls on to the store until it is silenced.
class silenceable_way {
public:
    silenceable_way(event_loop& loop, std::uint16_t store) : store_(store) {
        ticker_ = loop.call_every(milliseconds(1), [this] { pump(); });
    }

    std::uint16_t port() const { return listener_.port(); }
    bool silent = false;

private:
    struct pair {
        raw_socket near;
        raw_socket far;
    };

    void pump() {
        for (raw_socket near = listener_.accept(); near.open(); near = listener_.accept()) {
            pairs_.push_back({std::move(near), raw_socket::connect(store_)});
        }
        if (silent) {
            return;
        }
        for (pair& each : pairs_) {
            pass(each.near, each.far);
            pass(each.far, each.near);
        }
    }

    static void pass(raw_socket& from, raw_socket& to) {
        const std::string bytes = from.received();
        from.forget_received();
        if (!bytes.empty()) {
            to.send(bytes);
        }
    }

    std::uint16_t store_;
    raw_socket listener_ = raw_socket::listen();
    std::vector<pair> pairs_;
    std::unique_ptr<timer> ticker_;
};

}  // namespace wrenswitch::testing
