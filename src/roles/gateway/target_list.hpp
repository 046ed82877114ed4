#pragma once

#include <functional>
#include <initializer_list>
#include <map>
#include <string>
#include <string_view>

#include "wrenswitch/core/log.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/gateway/target_pool.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch {

/// Applies the platform's list of targets to the pool, entry by entry: targets that are added,
/// changed, removed or restarted. A target whose entry can't be read is not used.
class target_list {
public:
    struct hooks {
        std::function<result<listed_target>(std::string_view id, std::string_view value)> parse;
        /// The target has a new process or address, so the existing connections to it are invalid.
        std::function<void(const std::string& id)> on_replaced;
        /// The target was removed from the list, or was restarted under the same identifier.
        std::function<void(const std::string& id)> on_unlisted;
        std::function<void(const std::string& id)> on_restarted;
        /// Writes a log line about a target that was listed or removed.
        std::function<void(std::string_view event, std::initializer_list<log_field> fields)>
            log_change = [](std::string_view event, std::initializer_list<log_field> fields) {
                log_event(log_level::information, event, fields);
            };
    };

    target_list(target_pool& targets, metrics& counters, hooks callbacks)
        : targets_(targets), counters_(counters), hooks_(std::move(callbacks)) {}

    /// Applies the newest entry of a target, or its removal.
    void apply(instant now, const keyed_record& record);

    /// Removes a target that a restored list lacks and that hasn't renewed its entry in time.
    void remove_lost(instant now, const std::string& id);

private:
    void remove_target(instant now, const std::string& id);
    void report_removal(const std::string& id, std::string_view reason);
    void report_unreadable(const keyed_record& record, const std::string& why);
    bool is_stale_entry(const gateway_target& target, const gateway_target* known) const;
    bool handle_restart(const gateway_target& target, const gateway_target* known);
    void update_target(instant now, const keyed_record& record, const listed_target& entry);

    target_pool& targets_;
    /// Sequence number of the last listed entry, in the order of arrival.
    std::uint64_t entry_sequence_ = 0;
    metrics& counters_;
    hooks hooks_;
    /// The findings of the entries that can't be read, by the target's identifier.
    std::map<std::string, std::string, std::less<>> unreadable_entries_;
};

}  // namespace wrenswitch
