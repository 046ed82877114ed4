#include "wrenswitch/drivers/connection_probe.hpp"

#include <arpa/inet.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>

#include <cerrno>
#include <utility>

#include "drivers/timeval.hpp"

namespace wrenswitch {

struct connection_probe::state {
    answer_hook told;
    bufferevent* stream = nullptr;
    /// True if not even an attempt could be made.
    bool not_tried = false;

    state() = default;
    state(const state&) = delete;
    state& operator=(const state&) = delete;
    ~state() {
        if (stream != nullptr) {
            bufferevent_free(stream);
        }
    }

    probe_answer answer_of(short what) const {
        if (not_tried) {
            return probe_answer::unknown;
        }
        if ((what & BEV_EVENT_CONNECTED) != 0) {
            return probe_answer::accepted;
        }
        const int problem = EVUTIL_SOCKET_ERROR();
        const bool refused =
            (what & BEV_EVENT_ERROR) != 0 && (problem == ECONNREFUSED || problem == ECONNRESET);
        return refused ? probe_answer::refused : probe_answer::unknown;
    }

    static void on_event(bufferevent*, short what, void* self) {
        auto* probe = static_cast<state*>(self);
        const probe_answer answer = probe->answer_of(what);
        // The hook may destroy the probe.
        const answer_hook hook = std::exchange(probe->told, {});
        if (hook) {
            hook(answer);
        }
    }
};

connection_probe::connection_probe(event_loop& loop, const http_address& address,
                                   microseconds longest, answer_hook told)
    : state_(std::make_unique<state>()) {
    sockaddr_in peer{};
    peer.sin_family = AF_INET;
    peer.sin_port = htons(address.port);
    inet_pton(AF_INET, address.host.c_str(), &peer.sin_addr);
    state_->told = std::move(told);
    state_->stream =
        bufferevent_socket_new(loop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(state_->stream, nullptr, nullptr, &state::on_event, state_.get());
    const timeval wait = to_timeval(longest);
    bufferevent_set_timeouts(state_->stream, nullptr, &wait);
    bufferevent_enable(state_->stream, EV_WRITE);
    if (bufferevent_socket_connect(state_->stream, reinterpret_cast<sockaddr*>(&peer),
                                   sizeof peer) != 0) {
        state_->not_tried = true;
        bufferevent_trigger_event(state_->stream, BEV_EVENT_ERROR, BEV_OPT_DEFER_CALLBACKS);
    }
}

connection_probe::~connection_probe() = default;

}  // namespace wrenswitch
