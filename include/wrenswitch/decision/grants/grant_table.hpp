#pragma once

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>

#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/tokens.hpp"

namespace wrenswitch {

/// Identifies a grant: one client account's tokens at one host.
struct grant_key {
    std::string account;
    std::string host;

    friend bool operator==(const grant_key&, const grant_key&) = default;
    friend bool operator<(const grant_key& left, const grant_key& right) {
        return std::tie(left.account, left.host) < std::tie(right.account, right.host);
    }
};

/// The tokens of one account that a host was granted, accumulated over all processes that ran on
/// the host. Each record holds the complete state, so only the newest record of a key has to be
/// retained.
struct grant {
    /// The process that wrote the record.
    incarnation_id holder{};
    /// The amount granted to the host before this process started. All of it counts as spent, since
    /// it is unknown how much of it earlier processes used.
    tokens base = 0;
    /// The total granted to the host less its returns, including the base.
    tokens granted = 0;
    /// The amount known to be spent, including the base.
    tokens spent = 0;
    /// The additional amount that the process would draw if the budget had enough.
    tokens wanted = 0;

    friend bool operator==(const grant&, const grant&) = default;
};

/// A grant with its key, as stored in the log.
struct grant_record {
    grant_key key;
    grant value;

    friend bool operator==(const grant_record&, const grant_record&) = default;
};

/// The grants of all hosts, as recorded in the log. A record is only appended at the end of a log
/// that its writer has read completely, so each record was within the budget when it was written,
/// and the newest record of each key is the current state. Modelled in spec/grants.pml.
class grant_table {
public:
    /// Replaces a key's grant by a newer record.
    void apply(const grant_record& record);

    /// Removes a key that was deleted from the log.
    void remove(const grant_key& key);

    /// The grant of a key, or an empty one.
    grant find(const grant_key& key) const;

    /// The total granted to all hosts of an account, less their returns.
    tokens granted(std::string_view account) const;

    /// The total known to be spent of an account. Granted tokens beyond it may be unspent.
    tokens spent(std::string_view account) const;

    /// The total that hosts other than this one would draw of an account if the budget had enough.
    tokens wanted_by_others(std::string_view account, std::string_view host) const;

    /// The number of hosts that have a grant of an account.
    std::size_t hosts(std::string_view account) const;

    const std::map<grant_key, grant>& grants() const { return grants_; }

private:
    struct totals {
        tokens granted = 0;
        tokens spent = 0;
        tokens wanted = 0;
        std::size_t hosts = 0;
    };

    const totals& totals_of(std::string_view account) const;
    void add(const grant_key& key, const grant& value, int sign);

    std::map<grant_key, grant> grants_;
    std::unordered_map<std::string, totals> totals_;
};

}  // namespace wrenswitch
