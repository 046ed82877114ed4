#include "wrenswitch/drivers/event_loop.hpp"

#include <event2/event.h>

#include <csignal>
#include <utility>

#include "drivers/loop_priorities.hpp"
#include "drivers/timeval.hpp"

namespace wrenswitch {
namespace {

/// An event that calls a function each time it becomes active.
class repeated_event final : public timer {
public:
    repeated_event(event_base* base, int descriptor, short kind, std::function<void()> action)
        : action_(std::move(action)),
          event_(event_new(base, descriptor, static_cast<short>(kind | EV_PERSIST),
                           &repeated_event::fire, this)) {}

    ~repeated_event() override { event_free(event_); }
    repeated_event(const repeated_event&) = delete;
    repeated_event& operator=(const repeated_event&) = delete;

    void start(const timeval* period) { event_add(event_, period); }
    void go_first() { event_priority_set(event_, first_priority); }

private:
    static void fire(int, short, void* self) {
        // A copy, since the action may destroy this event.
        const std::function<void()> action = static_cast<repeated_event*>(self)->action_;
        action();
    }

    std::function<void()> action_;
    event* event_;
};

/// Timers are good to some milliseconds. Precise ones cost a system call more in each turn of the
/// loop, one of five for an event of a stream.
event_base* make_base() {
    event_base* base = event_base_new();
    event_base_priority_init(base, loop_priorities);
    return base;
}

void fire_once(int, short, void* argument) {
    const std::unique_ptr<std::function<void()>> action(
        static_cast<std::function<void()>*>(argument));
    (*action)();
}

}  // namespace

event_loop::event_loop() : base_(make_base()) {
    // A peer that goes away shows as an error of the write; it must not end the process.
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop() {
    terminate_.reset();
    interrupt_.reset();
    hangup_.reset();
    event_base_free(base_);
}

void event_loop::call_after(microseconds delay, std::function<void()> action) {
    const timeval wait = to_timeval(delay);
    auto owned = std::make_unique<std::function<void()>>(std::move(action));
    event_base_once(base_, -1, EV_TIMEOUT, &fire_once, owned.release(), &wait);
}

std::unique_ptr<timer> event_loop::call_every(microseconds period, std::function<void()> action) {
    auto made = std::make_unique<repeated_event>(base_, -1, short{0}, std::move(action));
    const timeval wait = to_timeval(period);
    made->start(&wait);
    return made;
}

std::unique_ptr<timer> event_loop::call_when_readable(int descriptor,
                                                      std::function<void()> action) {
    auto made =
        std::make_unique<repeated_event>(base_, descriptor, short{EV_READ}, std::move(action));
    made->go_first();
    made->start(nullptr);
    return made;
}

void event_loop::on_stop_signal(std::function<void()> action) {
    auto terminate = std::make_unique<repeated_event>(base_, SIGTERM, short{EV_SIGNAL}, action);
    terminate->start(nullptr);
    auto interrupt = std::make_unique<repeated_event>(base_, SIGINT, short{EV_SIGNAL}, action);
    interrupt->start(nullptr);
    terminate_ = std::move(terminate);
    interrupt_ = std::move(interrupt);
}

void event_loop::on_reload_signal(std::function<void()> action) {
    auto hangup =
        std::make_unique<repeated_event>(base_, SIGHUP, short{EV_SIGNAL}, std::move(action));
    hangup->start(nullptr);
    hangup_ = std::move(hangup);
}

void event_loop::run() {
    event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_loop::stop() {
    event_base_loopbreak(base_);
}

}  // namespace wrenswitch
