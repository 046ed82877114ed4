#pragma once

#include <algorithm>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <vector>

#include "support/raw_socket.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"

namespace wrenswitch::testing {

/// A link of limited bandwidth shared by several proxies. Data of all connections is sent in FIFO
/// order.
class throttled_link {
public:
    explicit throttled_link(double bytes_per_second) : bytes_per_second_(bytes_per_second) {}

    /// Queues the bytes and returns the time at which they have been transmitted.
    instant transmit(std::size_t bytes) {
        const auto duration =
            std::chrono::duration<double>(static_cast<double>(bytes) / bytes_per_second_);
        idle_at_ = std::max(idle_at_, monotonic_now()) +
                   std::chrono::duration_cast<microseconds>(duration);
        return idle_at_;
    }

    /// How long the queued bytes still need.
    microseconds backlog() const {
        return std::max(microseconds(0),
                        std::chrono::duration_cast<microseconds>(idle_at_ - monotonic_now()));
    }

private:
    double bytes_per_second_;
    instant idle_at_{};
};

/// Passes connections on to a port of this machine, with the faults that a network has.
class loopback_proxy {
public:
    loopback_proxy(event_loop& loop, std::uint16_t target) : target_(target) {
        ticker_ = loop.call_every(milliseconds(1), [this] { pump(); });
    }

    std::uint16_t port() const { return listener_.port(); }

    /// Nothing passes; connections are taken and stay open.
    bool silent = false;
    /// What the target sends doesn't arrive, while it hears everything.
    bool answers_lost = false;
    /// How long everything is on its way.
    microseconds delay{};
    /// If set, limits the bandwidth of data sent by the target.
    throttled_link* link = nullptr;
    /// If set, limits the bandwidth of data sent to the target.
    throttled_link* request_link = nullptr;
    /// If set, data sent to the target waits at its sender while the link's queue is longer, as TCP
    /// makes it. Otherwise the queue has no bound.
    microseconds longest_queue{};

    /// Resets all connections that are open.
    void reset_connections() {
        for (connection& each : connections_) {
            each.near.reset();
            each.far.reset();
        }
        connections_.clear();
    }

    void heal() {
        silent = false;
        answers_lost = false;
        delay = microseconds(0);
    }

private:
    struct chunk {
        instant due{};
        std::string bytes;
    };

    struct connection {
        raw_socket near;
        raw_socket far;
        std::deque<chunk> to_far;
        std::deque<chunk> to_near;
    };

    void pump() {
        for (raw_socket near = listener_.accept(); near.open(); near = listener_.accept()) {
            connections_.push_back({std::move(near), raw_socket::connect(target_), {}, {}});
        }
        if (silent) {
            return;
        }
        for (connection& each : connections_) {
            pass(each.near, each.far, each.to_far, request_link);
            if (!answers_lost) {
                pass(each.far, each.near, each.to_near, link);
            }
        }
        std::erase_if(connections_, [](connection& each) {
            // Data may have arrived with the end.
            return (each.near.ended() && each.near.received().empty() && each.to_far.empty()) ||
                   (each.far.ended() && each.far.received().empty() && each.to_near.empty());
        });
    }

    void pass(raw_socket& from, const raw_socket& to, std::deque<chunk>& waiting,
              throttled_link* shared_link) const {
        constexpr std::size_t most_chunk_bytes = 4096;
        const instant now = monotonic_now();
        const bool is_held = shared_link != nullptr && longest_queue > microseconds(0) &&
                             shared_link->backlog() > longest_queue;
        const std::string bytes = is_held ? "" : from.received();
        if (!is_held) {
            from.forget_received();
        }
        for (std::size_t at = 0; at < bytes.size(); at += most_chunk_bytes) {
            const std::string part = bytes.substr(at, most_chunk_bytes);
            const instant transmitted =
                shared_link == nullptr ? now : shared_link->transmit(part.size());
            waiting.push_back({transmitted + delay, part});
        }
        while (!waiting.empty() && waiting.front().due <= now) {
            to.send(waiting.front().bytes);
            waiting.pop_front();
        }
    }

    std::uint16_t target_;
    /// Opening a connection to a full listen queue would block the thread that empties it.
    static constexpr int backlog = 1024;

    raw_socket listener_ = raw_socket::listen(0, backlog);
    std::vector<connection> connections_;
    std::unique_ptr<timer> ticker_;
};

}  // namespace wrenswitch::testing
