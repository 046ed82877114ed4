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

/// Whose tokens: one client account's, in the hands of one host.
struct grant_key {
    std::string account;
    std::string host;

    friend bool operator==(const grant_key&, const grant_key&) = default;
    friend bool operator<(const grant_key& left, const grant_key& right) {
        return std::tie(left.account, left.host) < std::tie(right.account, right.host);
    }
};

/// What one host was granted of one account's budget, over all lives of its process. Each record
/// holds the whole, so that the newest one of a key is all that has to last.
struct grant {
    /// The process that wrote this.
    incarnation_id holder{};
    /// What the host had been granted when this process began. All of it counts as spent, since
    /// nobody can tell how much of it an earlier process used.
    tokens base = 0;
    /// All that the host was granted less what it gave back, with the base.
    tokens granted = 0;
    /// What is spent for certain, with the base.
    tokens spent = 0;
    /// What the process would draw if there were enough.
    tokens wanted = 0;

    friend bool operator==(const grant&, const grant&) = default;
};

/// A grant with its key, as it stands in the log.
struct grant_record {
    grant_key key;
    grant value;

    friend bool operator==(const grant_record&, const grant_record&) = default;
};

/// All grants, as the log holds them. A record is only ever appended at the end of a log that its
/// writer has read whole, so each one that is there was within the budget when it was written, and
/// the newest of each key are the state. spec/grants.pml models this.
class grant_table {
public:
    /// Takes in the newest record of a key.
    void apply(const grant_record& record);

    /// A key is no longer there.
    void remove(const grant_key& key);

    /// The grant of a key, or one of zero.
    grant find(const grant_key& key) const;

    /// What all hosts together were granted of an account, less what they gave back.
    tokens granted(std::string_view account) const;

    /// What is spent of an account for certain; the rest of what is granted may be unspent.
    tokens spent(std::string_view account) const;

    /// What hosts other than this one would draw of an account if there were enough.
    tokens wanted_by_others(std::string_view account, std::string_view host) const;

    /// The most hosts that have a grant of one account.
    std::size_t hosts() const;

    /// How many hosts have a grant of an account.
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
