#pragma once

#include <optional>

#include "roles/gateway/suspect_exchange.hpp"
#include "roles/gateway/target_ends.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// One request's part in finding those that end their targets: what is held against it, and what
/// its runs show.
class request_suspicion {
public:
    request_suspicion(suspect_exchange& suspects, target_ends& ends)
        : suspects_(suspects), ends_(ends) {}
    ~request_suspicion() { end_alone(); }
    request_suspicion(const request_suspicion&) = delete;
    request_suspicion& operator=(const request_suspicion&) = delete;

    /// What the request is known by. The texts must stay for as long as this.
    void belongs_to(const request_content& content) { content_ = content; }

    const digest& fingerprint();

    /// What is held against the request now.
    suspicion held();

    /// True if this is the request and a run of it is under way.
    bool is_under_way(const digest& request) { return begun_ && fingerprint() == request; }

    /// The request is about to be sent to a target. False if it must wait for the end of another
    /// run of the same content.
    bool begin(const target_incarnation& life);

    /// It isn't sent there after all.
    void not_sent() {
        begun_ = false;
        end_alone();
    }

    /// Something of the target of the run under way came.
    void heard(instant now) { ends_.heard(now, life_); }

    /// The run under way ended: its connection failed so.
    void broke(instant now, upstream_failure failure);
    /// ... this entry ended it before its answer came whole.
    void left(instant now);
    /// ... its target answered; `well` if it has run the request to a good end.
    void answered(bool well);

private:
    void end_alone();

    suspect_exchange& suspects_;
    target_ends& ends_;
    request_content content_;
    std::optional<digest> fingerprint_;
    target_incarnation life_;
    bool begun_ = false;
    /// True while the run is held to be the only one of its content here.
    bool alone_ = false;
};

}  // namespace wrenswitch
