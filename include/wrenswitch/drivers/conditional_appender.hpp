#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "wrenswitch/drivers/keyed_follower.hpp"
#include "wrenswitch/drivers/race_backoff.hpp"

namespace wrenswitch {

/// What an appender calls.
struct conditional_appender_hooks {
    /// The records that are due by what the log holds; none if nothing is.
    std::function<std::vector<keyed_record>()> compose;
    /// An append failed: a lost race is an error of code conflict. May be empty.
    std::function<void(const error&)> failed;
};

/// Appends to a keyed log what is due by what a follower has read of it, under the condition that
/// nothing else was appended since. After a lost race or a missing answer it looks at the log and
/// composes anew, since the log alone tells what it holds.
class conditional_appender {
public:
    conditional_appender(event_loop& loop, keyed_log& log, std::string name,
                         keyed_follower& follower, conditional_appender_hooks hooks);
    ~conditional_appender();
    conditional_appender(const conditional_appender&) = delete;
    conditional_appender& operator=(const conditional_appender&) = delete;

    /// To be called when something becomes due.
    void append_if_due();

    /// To be called whenever the follower has caught up.
    void caught_up();

private:
    void on_appended(const std::vector<keyed_record>& records, std::uint64_t at,
                     const result<std::uint64_t>& end);
    void look_later();

    event_loop& loop_;
    keyed_log& log_;
    race_backoff backoff_;
    std::string name_;
    keyed_follower& follower_;
    conditional_appender_hooks hooks_;
    bool appending_ = false;
    /// True from a failure on until the log was read again.
    bool looking_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
