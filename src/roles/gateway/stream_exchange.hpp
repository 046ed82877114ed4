#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "roles/shared/stream_codec.hpp"
#include "wrenswitch/core/metrics.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/streams/recent_values.hpp"
#include "wrenswitch/decision/streams/record_relays.hpp"
#include "wrenswitch/decision/streams/stream_holders.hpp"
#include "wrenswitch/decision/streams/stream_origin.hpp"
#include "wrenswitch/decision/streams/stream_record_table.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/message_bus.hpp"

namespace wrenswitch {

/// Keeps the records of streams at other entries and finds them there when a caller resumes a
/// stream at another entry than the one that began it, which by then may be gone.
///
/// A record is sent when the request is sent to its target, so it is on its way before the target
/// can have sent an event. Once the first event is passed on to the caller, which binds the stream
/// to its version for good, the record is also sent to relays, where it outlasts the loss of all
/// entries. Delivery isn't guaranteed: a stream whose record nobody holds continues only if all
/// targets that may have begun it had one version. docs/design/stream-versions.md says what happens
/// when entries and the links between them fail.
class stream_exchange {
public:
    struct hooks {
        /// The versions of the targets that may now get requests of the service.
        std::function<recent_values::value_set(std::string_view service)> present_versions;
        /// True while the list of targets and the version log are up to date.
        std::function<bool()> is_list_current;
        /// True if the versions that targets of the service had before this process started are
        /// known.
        std::function<bool(std::string_view service)> knows_earlier_versions;
        /// The relays of this region. None hold records if the function isn't set.
        std::function<std::vector<record_relay>()> relays = {};
    };

    struct resolution {
        stream_origin origin;
        microseconds elapsed{};
        std::size_t asked = 0;
        std::size_t answered = 0;
    };
    using resolution_hook = std::function<void(const resolution&)>;

    /// A question under way. If its owner drops it, the hook isn't called.
    class handle {};

    /// All references must outlive the exchange.
    stream_exchange(event_loop& loop, message_bus& bus, const token_allocator_selector& members,
                    std::string failure_domain, std::string region, metrics& counters,
                    hooks callbacks);
    ~stream_exchange();
    stream_exchange(const stream_exchange&) = delete;
    stream_exchange& operator=(const stream_exchange&) = delete;

    /// Records a stream that this entry begins, here and at its holders.
    void begin_stream(stream_record record);

    /// Records that the first event of a stream is passed on to its caller: from now on no attempt
    /// of the request may use another version.
    void bind_stream(std::string_view request, std::uint64_t account);

    /// Forgets a stream that the caller has received whole.
    void end_stream(std::string_view request, std::uint64_t account);

    /// Finds out where a stream began. The hook is called within about 60 ms, or later by the round
    /// trip to other regions; never before this call returns.
    std::shared_ptr<handle> ask(stream_question asked, resolution_hook on_resolved);

    /// Records that a service has targets of a version, or had them until now.
    void note_version(instant now, std::string_view service, std::string_view version) {
        versions_.note(now, service, version);
    }

    /// The versions of each service's targets of late.
    const recent_values& versions() const { return versions_; }

    /// Records that the list of targets has been read for the first time, or again.
    void note_list_read(instant now);

    /// Sends all records to entries that stay, because this one stops.
    void hand_over();

    /// Handles a message. False if it isn't of a kind that the exchange handles.
    bool on_message(const message_origin& origin, const wire::Envelope& message);

    /// Removes what has expired, and sends records again whose holders were replaced.
    void tick(instant now);

private:
    using holder = std::pair<std::string, incarnation_id>;

    /// A stream of this entry and the processes that have got its record.
    struct begun_stream {
        stream_record record;
        std::set<holder> sent_to;
        /// True once the caller has the first event.
        bool is_bound = false;
        /// When the record was last sent to relays.
        instant relayed_at{};
    };

    struct pending_question {
        stream_question asked;
        std::weak_ptr<handle> owner;
        resolution_hook on_resolved;
        instant asked_at{};
        std::vector<stream_knowledge> known;
        std::size_t asked_count = 0;
        std::size_t answered_count = 0;
        std::size_t entries_asked = 0;
        std::size_t entries_answered = 0;
        bool has_record = false;
    };

    using stream_key = std::pair<std::uint64_t, std::string>;

    using records_by_endpoint = std::map<std::string, std::vector<const stream_record*>>;

    stream_knowledge knowledge(instant now, const stream_question& asked) const;
    bool knows_all_versions(instant now, const stream_question& asked) const;
    void resolve(std::uint64_t number);
    void resolve_after(microseconds delay, std::uint64_t number);
    void add_recipients(instant now, begun_stream& stream, records_by_endpoint& batches);
    void send_records(instant now, const records_by_endpoint& batches, std::string_view kind);
    void send_to_relays(instant now, begun_stream& stream, records_by_endpoint& batches) const;
    void flush_bound();
    void update_relays();
    void refresh_relays(instant now);
    void on_records(instant now, const wire::Envelope& message);
    void on_question(instant now, const message_origin& origin, const wire::Envelope& message);
    void on_answer(const message_origin& origin, const wire::Envelope& message);
    void repair(instant now);
    void connect_to_keepers();
    void count_message(std::string_view kind, std::string_view direction);

    event_loop& loop_;
    message_bus& bus_;
    const token_allocator_selector& members_;
    metrics& counters_;
    hooks hooks_;
    stream_holders holders_;
    stream_record_table table_;
    std::map<stream_key, begun_stream> begun_;
    record_relays relays_;
    /// Bound streams whose records are about to be sent to relays.
    std::vector<stream_key> newly_bound_;
    recent_values versions_;
    std::optional<instant> list_read_since_;
    std::map<std::uint64_t, pending_question> pending_;
    std::uint64_t last_question_ = 0;
    std::uint64_t members_version_ = 0;
    /// The processes to which a connection was opened.
    std::set<holder> connected_;
    std::set<std::string> connected_relays_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
