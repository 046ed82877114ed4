#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/decision/grants/peer_distances.hpp"

namespace wrenswitch {

/// One entry process as the directory of members gives it.
struct ledger_member {
    std::string host;
    incarnation_id process{};
    /// Where other entries reach it.
    std::string endpoint;
    /// How much it can do, in processor cores; more of the accounts' homes go to the larger ones.
    double capacity = 1.0;
    std::string failure_domain;
    /// Empty if none is known.
    std::string region;
    /// What a call to the platform's store took when the process started; zero if that isn't known.
    microseconds store_call{};

    friend bool operator==(const ledger_member&, const ledger_member&) = default;
};

/// Settings of the choice of homes.
struct token_home_settings {
    /// How many hosts are homes. Few, so that appends to the ledger seldom meet; more than one, so
    /// that no host answers for all accounts.
    std::size_t most_homes = 6;
    /// How long a home that didn't answer is passed over, at first and at the most.
    microseconds first_rest = seconds(1);
    microseconds longest_rest = seconds(8);
    /// Where this entry stands; empty if it isn't known.
    std::string own_region{};
    /// What the way to an entry of another region and back is taken for until it is measured.
    microseconds far_round_trip = milliseconds(40);
};

/// How often a member was asked, by what came of it.
struct member_answers {
    std::string_view host;
    std::string_view region;
    std::uint64_t answers = 0;
    std::uint64_t silences = 0;
};

/// Names each client account's home: the entry that draws the account's tokens from the ledger and
/// hands them to the other entries. Every entry chooses by the same hash, so they need no talk.
/// Where there are several regions, homes are in the one that is nearest to the store.
/// Entries that see other members name other homes, which costs a few more appends and nothing
/// else: a home hands out only what the ledger granted to it.
class token_homes {
public:
    token_homes(std::string own_host, token_home_settings settings);

    /// Takes in a member. A new process on a host isn't held to its predecessor's silence.
    void apply(const ledger_member& member);

    /// A member has left.
    void remove(std::string_view host);

    /// The home to ask, leaving out the hosts already tried and those that don't answer. Nothing if
    /// none is left.
    std::optional<ledger_member> home_of(instant now, std::string_view account,
                                         std::span<const std::string> tried = {}) const;

    /// The members with the most capacity, for work that some entries do for all: the same ones at
    /// every entry, leaving out those that don't answer. Of one region alone if one is named.
    std::vector<ledger_member> largest(instant now, std::size_t count,
                                       std::string_view region = {}) const;

    /// The same with those that don't answer this entry, so that all entries with the same members
    /// name the same ones, whoever they reach.
    std::vector<ledger_member> largest_of_all(std::size_t count,
                                              std::string_view region = {}) const;

    /// The first members in an order of their own that a name gives: the same at every entry that
    /// knows the same members, whoever it reaches.
    std::vector<ledger_member> first_for(std::string_view name, std::size_t count) const;

    /// How many members each region has; those whose region isn't known count nowhere.
    std::map<std::string, std::size_t, std::less<>> members_by_region() const;

    /// The homes that are in another region than this entry.
    std::vector<ledger_member> far_homes() const;

    /// True if this host is the account's home.
    bool is_home(instant now, std::string_view account) const;

    /// A home didn't answer or can't help. True if it was believed to be well.
    bool failed(instant now, std::string_view host);

    /// A home answered. True if it was believed to be out of reach.
    bool answered(std::string_view host);

    /// What came of asking each member since its present process was known.
    std::vector<member_answers> answers() const;

    /// The way to a member and back; zero within this entry's region.
    microseconds round_trip(const ledger_member& member) const {
        return distances_.round_trip(member.host, member.region);
    }

    /// True if a member is known to be in another region than this entry.
    bool is_far(const ledger_member& member) const { return distances_.is_far(member.region); }

    /// A member answered after this time.
    void answered_after(const ledger_member& member, microseconds took) {
        distances_.observe(member.host, member.region, took);
    }

    /// How many members there are.
    std::size_t members() const { return members_.size(); }

    /// Rises with each change of the members or of which of them answer.
    std::uint64_t version() const { return version_; }

    const std::string& own_host() const { return own_host_; }

private:
    struct rest {
        instant until{};
        microseconds length{};
    };

    struct asked_count {
        std::uint64_t answers = 0;
        std::uint64_t silences = 0;
    };

    void choose_homes();
    std::string_view region_nearest_to_store() const;
    static std::vector<ledger_member> largest_among(std::span<const ledger_member* const> members,
                                                    std::size_t count);
    bool rests(instant now, const std::string& host) const;

    std::string own_host_;
    token_home_settings settings_;
    peer_distances distances_;
    std::map<std::string, ledger_member, std::less<>> members_;
    /// The hosts that are homes.
    std::vector<std::string> homes_;
    std::map<std::string, rest, std::less<>> resting_;
    std::map<std::string, asked_count, std::less<>> asked_;
    std::uint64_t version_ = 0;
};

}  // namespace wrenswitch
