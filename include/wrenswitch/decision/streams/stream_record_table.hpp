#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>

#include "wrenswitch/decision/streams/stream_record.hpp"

namespace wrenswitch {

/// The stream records that one entry holds, of its own streams and for others. Bounded in number,
/// bytes and time: when it is full, the account with the most records loses the one that expires
/// first, so that a flood of one account's streams evicts no records of others.
class stream_record_table {
public:
    /// What became of a record.
    enum class outcome { recorded, outdated, expired, invalid };

    explicit stream_record_table(std::size_t max_records) : max_records_(max_records) {}

    /// Adds a record, or replaces the one of the same account and request unless that is of a later
    /// attempt.
    outcome record(instant now, stream_record added);

    /// The record of an account's request, or null if there is none.
    const stream_record* find(instant now, std::string_view request, std::uint64_t account) const;

    void remove(std::string_view request, std::uint64_t account);

    /// Removes the expired records and returns their number.
    std::size_t remove_expired(instant now);

    /// Calls a function with each record.
    void for_each(const std::function<void(const stream_record&)>& visit) const;

    std::size_t size() const { return records_.size(); }

    /// The bytes of the names in all records.
    std::size_t bytes() const { return bytes_; }

    /// The records that were removed because the table was full.
    std::uint64_t evictions() const { return evictions_; }

private:
    /// Callers choose the identifiers of their requests, so two accounts may use the same one.
    using record_key = std::pair<std::uint64_t, std::string>;
    using expiry_key = std::pair<instant, record_key>;

    static record_key key_of(const stream_record& record);
    void add(stream_record added);
    void remove(const record_key& key);
    void remove_from_account(const stream_record& record);
    void evict_one();

    std::size_t max_records_;
    std::map<record_key, stream_record> records_;
    /// The records by time of expiry, of all accounts and of each.
    std::set<expiry_key> by_expiry_;
    std::map<std::uint64_t, std::set<expiry_key>> by_account_;
    /// The accounts by their number of records.
    std::set<std::pair<std::size_t, std::uint64_t>> account_sizes_;
    std::size_t bytes_ = 0;
    std::uint64_t evictions_ = 0;
};

}  // namespace wrenswitch
