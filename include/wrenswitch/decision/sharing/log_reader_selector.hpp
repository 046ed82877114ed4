#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/token_allocator_selector.hpp"
#include "wrenswitch/decision/membership/peer_backoffs.hpp"

namespace wrenswitch {

/// Settings for choosing the entries that read the platform's logs for others.
struct log_reader_settings {
    /// Each failure domain has one reader for this many entries, so that the load of a reader
    /// doesn't grow with the fleet.
    std::size_t entries_per_reader = 20;
    /// The number of readers of a failure domain at least, so that the loss of one leaves another.
    std::size_t min_readers = 2;
    /// In a failure domain with fewer entries each reads for itself, since few calls are saved.
    std::size_t min_entries = 12;
    /// The number of readers that are remembered by their announcements.
    std::size_t max_announced = 8;
    /// How long a reader that failed isn't asked: after the first failure and at most. Doubles with
    /// each further failure.
    microseconds initial_backoff = seconds(2);
    microseconds max_backoff = seconds(30);
};

/// Chooses the entries that read the platform's logs for the others of their failure domain, so
/// that the calls to the store grow with the number of readers and not with that of entries times
/// logs. The entries with the most capacity are chosen, by a hash among equal ones, so that all
/// entries that know the same members choose the same readers without coordination. Entries with
/// different views choose different readers, which costs calls and nothing else: an entry whose
/// reader doesn't answer reads the store itself.
class log_reader_selector {
public:
    log_reader_selector(std::string own_host, log_reader_settings settings);

    /// Replaces the members of this entry's failure domain. Those that don't answer reads are
    /// skipped.
    void set_members(std::span<const cluster_member> members);

    /// Adds a reader that announced itself, to be asked until set_members() is called.
    void add_announced(const cluster_member& reader);

    /// True if this entry reads the logs from the store and answers other entries' reads.
    bool is_reader() const { return is_reader_; }

    /// The reader that this entry asks. Empty if it reads the store itself: because it is a reader,
    /// the failure domain has too few entries, or all readers failed lately.
    std::optional<cluster_member> reader(instant now) const;

    /// Records that a reader didn't answer or had no fresh page. Returns true if it is the first
    /// failure since its last answer.
    bool record_failure(instant now, std::string_view host);

    /// Records a page of a reader. Returns true if it had failed since its last one.
    bool record_answer(std::string_view host);

private:
    std::string own_host_;
    log_reader_settings settings_;
    bool is_reader_ = false;
    /// In the order in which this entry asks them.
    std::vector<cluster_member> readers_;
    peer_backoffs backoffs_;
};

}  // namespace wrenswitch
