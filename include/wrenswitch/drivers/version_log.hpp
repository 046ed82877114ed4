#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "wrenswitch/decision/streams/recent_values.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/keyed_follower.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch {

/// The versions that targets of each service have had of late, as records of a keyed log. A process
/// that starts after all others were lost learns from it which versions may have begun the streams
/// that its callers resume. For this a version must be recorded before a stream begins at it.
///
/// The log is written only when a version appears or has long gone.
class version_log {
public:
    struct hooks {
        /// A version is recorded.
        std::function<void(const std::string& service, const std::string& version)> recorded;
        /// True if this process writes the records with a key at once; a few processes should.
        std::function<bool(std::string_view key)> is_writer;
        /// True if the service has targets of the version.
        std::function<bool(const std::string& service, const std::string& version)> is_present;
        /// The log has been read for the first time; versions may be due to be recorded.
        std::function<void()> read;
    };

    /// The log must outlive this.
    version_log(event_loop& loop, keyed_log& log, std::string name, hooks callbacks);
    ~version_log();
    version_log(const version_log&) = delete;
    version_log& operator=(const version_log&) = delete;

    /// Reads the log and follows it.
    void start() { follower_.start(); }

    /// True once the log has been read.
    bool live() const { return follower_.live(); }

    /// When the log last answered.
    instant last_answer() const { return follower_.last_answer(); }

    /// True if the version is recorded, as far as this process knows.
    bool contains(const std::string& service, const std::string& version) const {
        return recorded_.contains({service, version});
    }

    /// True if the log had all versions that streams of the service may have begun at before this
    /// process started: it had the service, and no copy without its newest records took its place.
    bool covers(std::string_view service) const { return covered_.contains(service); }

    /// Appends the present versions that the log lacks and, if the list of targets that they come
    /// from is up to date, drops those that are no longer among the versions of late. To be called
    /// several times a second and whenever the list was read.
    void update(instant now, const recent_values& versions, bool is_list_current);

private:
    using service_version = std::pair<std::string, std::string>;

    void on_changed(const keyed_record& record);
    void on_caught_up();
    void on_restored(std::span<const std::string> lost);
    void erase(std::string_view key);
    void add_missing(instant now, const recent_values& versions, std::vector<keyed_record>& due);
    void drop_gone(const recent_values& versions, std::vector<keyed_record>& due) const;
    void append(std::vector<keyed_record> due);
    void on_appended(std::span<const keyed_record> records, bool succeeded);

    event_loop& loop_;
    keyed_log& log_;
    std::string name_;
    hooks hooks_;
    bool has_caught_up_ = false;
    bool is_appending_ = false;
    /// What the log holds, as far as this process knows.
    std::set<service_version> recorded_;
    std::set<std::string, std::less<>> covered_;
    /// Since when present versions have been missing in the log.
    std::map<service_version, instant> missing_since_;
    keyed_follower follower_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
