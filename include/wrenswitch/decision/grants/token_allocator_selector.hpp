#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/peer_round_trips.hpp"
#include "wrenswitch/decision/membership/peer_backoffs.hpp"
#include "wrenswitch/decision/membership/peer_suspicions.hpp"

namespace wrenswitch {

/// An entry process as listed in the member directory.
struct cluster_member {
    std::string host;
    incarnation_id process{};
    /// The address at which other entries reach it.
    std::string endpoint;
    /// Its processing capacity in CPU cores. The members with the most capacity are allocators.
    double capacity = 1.0;
    std::string failure_domain;
    /// Empty if unknown.
    std::string region;
    /// The duration of a call to the platform's store, measured when the process started; zero if
    /// unknown.
    microseconds store_latency{};
    /// True if it answers other entries' reads of the platform's logs. Earlier releases don't.
    bool shares_reads = false;

    friend bool operator==(const cluster_member&, const cluster_member&) = default;
};

/// Settings for choosing allocators.
struct token_allocator_settings {
    /// The number of hosts that are allocators: few, so that appends to the ledger rarely conflict,
    /// but more than one, so that no single host serves all accounts.
    std::size_t max_allocators = 6;
    /// How long an allocator that did not answer is skipped: after the first failure and at most.
    /// Doubles with each further failure.
    microseconds initial_backoff = seconds(1);
    microseconds max_backoff = seconds(8);
    /// The region of this entry; empty if unknown.
    std::string own_region{};
    /// The assumed round trip time to an entry of another region until it is measured.
    microseconds remote_round_trip = milliseconds(40);
};

/// The calls to a member, counted by result.
struct member_call_counts {
    std::string_view host;
    std::string_view region;
    std::uint64_t answers = 0;
    std::uint64_t failures = 0;
};

/// Selects each client account's allocator: the entry that draws the account's tokens from the
/// ledger and hands them out to the other entries. All entries use the same rendezvous hash and
/// need no coordination. With several regions, allocators are in the region with the lowest latency
/// to the store. Entries with different views of the membership select different allocators, which
/// only costs additional appends: an allocator hands out nothing beyond what the ledger granted to
/// it.
class token_allocator_selector {
public:
    token_allocator_selector(std::string own_host, token_allocator_settings settings);

    /// Adds or updates a member. A new process on a host starts without its predecessor's failures.
    void apply(const cluster_member& member);

    /// Removes a member that left.
    void remove(std::string_view host);

    /// The allocator to query for an account's tokens, skipping the excluded hosts, the suspected
    /// ones and those in backoff. Empty if none is left.
    std::optional<cluster_member> allocator_of(instant now, std::string_view account,
                                               std::span<const std::string> excluded = {}) const;

    /// The allocator that free tokens of an account go back to, skipping only hosts in backoff, so
    /// that a late answer moves no tokens to another host. Empty if none is left.
    std::optional<cluster_member> owner_of(instant now, std::string_view account) const;

    /// The host of the allocator that is reached at an endpoint. Empty if there is none.
    std::string allocator_at(std::string_view endpoint) const;

    /// The members with the most capacity that are not in backoff, of one region if it is not
    /// empty. Used for work that a few entries do for all; entries with the same view choose the
    /// same members.
    std::vector<cluster_member> largest_reachable(instant now, std::size_t count,
                                                  std::string_view region = {}) const;

    /// Like largest_reachable, but including members in backoff, so that all entries that know the
    /// same members choose the same ones regardless of which of them they reach.
    std::vector<cluster_member> largest_known(std::size_t count,
                                              std::string_view region = {}) const;

    /// The first members in rendezvous order for a name, among those that the filter admits. All
    /// entries that know the same members choose the same ones, regardless of which of them they
    /// reach.
    std::vector<cluster_member> ranked_members(
        std::string_view name, std::size_t count,
        const std::function<bool(const cluster_member&)>& admits = {}) const;

    /// The members of a failure domain, in the order of their names.
    std::vector<cluster_member> members_in(std::string_view failure_domain) const;

    /// The number of members by region, without members whose region is unknown.
    std::map<std::string, std::size_t, std::less<>> members_by_region() const;

    /// The allocators that are in another region than this entry.
    std::vector<cluster_member> remote_allocators() const;

    /// True if this host is the account's allocator, also in place of a suspected one.
    bool is_allocator(instant now, std::string_view account) const;

    /// Begins to suspect an allocator that let a query time out. Empty if it is suspected already,
    /// in backoff or not a member.
    std::optional<peer_suspicions::suspicion_id> begin_suspicion(instant now,
                                                                 std::string_view host);

    bool is_suspected(std::string_view host) const { return suspicions_.is_suspected(host); }

    /// Ends one suspicion. Returns true if the allocator hasn't answered since it began.
    bool end_suspicion(std::string_view host, peer_suspicions::suspicion_id id) {
        return suspicions_.end(host, id);
    }

    /// Records that an allocator did not answer or could not serve a call, and puts it in backoff.
    /// Returns true if it is the first failure since the allocator's last answer.
    bool record_failure(instant now, std::string_view host);

    /// Records an answer of an allocator and ends its suspicion and its backoff. Returns true if it
    /// had failed since its last answer.
    bool record_answer(std::string_view host);

    /// The same for an answer that came after its query had timed out, which doesn't end a
    /// suspicion.
    bool record_late_answer(std::string_view host);

    /// The calls to each member since its current process became known.
    std::vector<member_call_counts> call_counts() const;

    /// The estimated round trip time to a member; zero within this entry's region.
    microseconds round_trip(const cluster_member& member) const {
        return round_trips_.round_trip(member.host, member.region);
    }

    /// True if a member is known to be in another region than this entry.
    bool is_remote(const cluster_member& member) const {
        return round_trips_.is_remote(member.region);
    }

    /// Updates the round trip estimate with the time that a member took to answer.
    void record_round_trip(const cluster_member& member, microseconds elapsed) {
        round_trips_.observe(member.host, member.region, elapsed);
    }

    /// The number of members.
    std::size_t members() const { return members_.size(); }

    /// Increases with each change of the members or of their backoff by a call's result.
    std::uint64_t version() const { return version_; }

    const std::string& own_host() const { return own_host_; }

private:
    struct call_count {
        std::uint64_t answers = 0;
        std::uint64_t failures = 0;
    };

    /// The hosts that are allocators.
    const std::vector<std::string>& allocators() const;
    void select_allocators() const;
    std::string_view region_nearest_to_store() const;
    static std::vector<cluster_member> largest_among(std::span<const cluster_member* const> members,
                                                     std::size_t count);
    bool is_backed_off(instant now, const std::string& host) const;
    bool end_backoff(std::string_view host);
    std::optional<cluster_member> highest_ranked(
        std::string_view account, const std::function<bool(const std::string&)>& is_skipped) const;

    std::string own_host_;
    token_allocator_settings settings_;
    peer_round_trips round_trips_;
    std::map<std::string, cluster_member, std::less<>> members_;
    /// Selected when they are needed, not at each change: an entry that starts learns of all
    /// members one by one.
    mutable std::vector<std::string> allocators_;
    mutable bool allocators_outdated_ = false;
    peer_suspicions suspicions_;
    peer_backoffs backoffs_;
    std::map<std::string, call_count, std::less<>> call_counts_;
    std::uint64_t version_ = 0;
};

}  // namespace wrenswitch
