#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>

#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/suspects/suspect_table.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"

namespace wrenswitch {

/// An end as a record of a keyed log, written by a host, and back from the record's key alone, so
/// that a record that drops one can be read too. Nothing if the key isn't that of an end.
keyed_record encode_suspect_end(const crash_evidence& end, const std::string& host);
std::optional<crash_evidence> decode_suspect_end(const keyed_record& record);

/// What a log of suspects calls.
struct suspect_log_hooks {
    std::function<void(const crash_evidence&)> added;
    std::function<void(const crash_evidence&)> dropped;
    /// These ends couldn't be written yet; told with each try.
    std::function<void(std::span<const crash_evidence>)> not_written;
    std::function<void(bool reachable)> reachable;
};

/// The ends of targets under requests as the fleet's log has them. Each piece of evidence is a
/// record of its own that bears being written twice, so that writers never wait for one another.
/// What can't be written now is written when the log answers again.
class suspect_log {
public:
    suspect_log(event_loop& loop, keyed_log& log, std::string name, std::string host,
                metrics& counters, suspect_log_hooks hooks);
    ~suspect_log();
    suspect_log(const suspect_log&) = delete;
    suspect_log& operator=(const suspect_log&) = delete;

    void start() { follower_.start(); }

    /// True once the log was read to its end.
    bool live() const { return follower_.live(); }
    bool reachable() const { return reachable_; }

    /// True if the log is known to have this end.
    bool holds(const crash_evidence& end) const { return held_.contains(end); }

    /// Wants these ends in the log, or out of it.
    void add(std::span<const crash_evidence> ends) { want(ends, true); }
    void drop(std::span<const crash_evidence> ends) { want(ends, false); }

private:
    void want(std::span<const crash_evidence> ends, bool in_log);
    void changed(const keyed_record& record);
    void rewrite_lost(std::span<const std::string> lost);
    void append_if_due();
    void tell_not_written(const std::map<crash_evidence, bool>& tried) const;
    void appended(const std::map<crash_evidence, bool>& written, const result<std::uint64_t>& end);

    event_loop& loop_;
    keyed_log& log_;
    std::string name_;
    std::string host_;
    metrics& counters_;
    suspect_log_hooks hooks_;
    keyed_follower follower_;
    /// The ends that the log has.
    std::set<crash_evidence> held_;
    /// What is still to be written: true for ends that the log is to have.
    std::map<crash_evidence, bool> pending_;
    bool reachable_ = true;
    bool appending_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
