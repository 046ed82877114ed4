#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <vector>

#include "support/raw_socket.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch::testing {

/// A stand-in of the platform's load balancer for one failure domain. It checks every second
/// whether each entry is ready, and directs a caller to the first entry of the caller's order that
/// has not missed two checks. It uses all entries while fewer than half of them are ready.
class load_balancer_standin {
public:
    static constexpr microseconds check_period = seconds(1);
    static constexpr unsigned max_missed_checks = 2;

    explicit load_balancer_standin(const std::vector<std::uint16_t>& admin_ports) {
        for (const std::uint16_t port : admin_ports) {
            entries_.push_back({port, {}, {}, 0, false});
        }
    }

    /// Sends the checks that are due and takes the replies that have arrived.
    void update(instant now) {
        for (entry& each : entries_) {
            if (each.check && each.check->ended()) {
                record(each, each.check->received().find(" 200 ") != std::string::npos);
            }
            if (now < each.next_check) {
                continue;
            }
            if (each.check) {
                record(each, false);
            }
            each.next_check = now + check_period;
            each.check = raw_socket::connect(each.admin_port);
            each.check->send("GET /-/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
        }
    }

    /// The entry for a new connection of a caller with this order of entries.
    std::size_t direct(const std::vector<std::size_t>& order) const {
        const auto ready =
            static_cast<std::size_t>(std::count_if(entries_.begin(), entries_.end(), is_in_use));
        if (2 * ready < entries_.size()) {
            return order.front();
        }
        return *std::find_if(order.begin(), order.end(),
                             [this](std::size_t each) { return is_in_use(entries_[each]); });
    }

    /// True if the last check of every entry found it ready.
    bool all_ready() const {
        return std::all_of(entries_.begin(), entries_.end(),
                           [](const entry& each) { return each.last_was_ready; });
    }

private:
    struct entry {
        std::uint16_t admin_port = 0;
        std::optional<raw_socket> check;
        instant next_check{};
        unsigned missed = 0;
        bool last_was_ready = false;
    };

    static bool is_in_use(const entry& each) { return each.missed < max_missed_checks; }

    static void record(entry& checked, bool ready) {
        checked.check.reset();
        checked.last_was_ready = ready;
        checked.missed = ready ? 0 : checked.missed + 1;
    }

    std::vector<entry> entries_;
};

}  // namespace wrenswitch::testing
