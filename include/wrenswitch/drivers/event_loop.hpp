#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include "wrenswitch/core/time.hpp"

struct event_base;

namespace wrenswitch {

/// A timer that runs until it is destroyed.
class timer {
public:
    virtual ~timer() = default;
};

/// The bytes that a process's connections have carried since it began.
struct traffic_counts {
    std::uint64_t received = 0;
    std::uint64_t sent = 0;
};

/// The one event loop of a process. All of the fleet's code runs on it, one step at a time.
class event_loop {
public:
    event_loop();
    ~event_loop();
    event_loop(const event_loop&) = delete;
    event_loop& operator=(const event_loop&) = delete;

    /// Calls a function once, after a time. It cannot be called off; it must look whether it is
    /// still wanted.
    void call_after(microseconds delay, std::function<void()> action);

    /// Calls a function again and again until the timer is destroyed.
    std::unique_ptr<timer> call_every(microseconds period, std::function<void()> action);

    /// Calls a function whenever a file descriptor can be read, until the result is destroyed.
    std::unique_ptr<timer> call_when_readable(int descriptor, std::function<void()> action);

    /// Calls a function at SIGTERM and SIGINT in place of ending the process.
    void on_stop_signal(std::function<void()> action);

    /// Calls a function at SIGHUP in place of ending the process.
    void on_reload_signal(std::function<void()> action);

    /// Runs until stop() is called.
    void run();

    /// Makes run() return.
    void stop();

    /// libevent's own handle, for the other drivers.
    event_base* base() const { return base_; }

    /// What callers', targets' and other entries' connections carried, which the drivers count
    /// here.
    traffic_counts& traffic() { return traffic_; }

    /// What the calls to the platform's store carried: bodies without their heads.
    traffic_counts& store_traffic() { return store_traffic_; }

private:
    event_base* base_;
    traffic_counts traffic_;
    traffic_counts store_traffic_;
    std::unique_ptr<timer> terminate_;
    std::unique_ptr<timer> interrupt_;
    std::unique_ptr<timer> hangup_;
};

}  // namespace wrenswitch
