#include "wrenswitch/decision/streams/stream_record_table.hpp"

namespace wrenswitch {

stream_record_table::record_key stream_record_table::key_of(const stream_record& record) {
    return {record.account, record.request};
}

stream_record_table::outcome stream_record_table::record(instant now, stream_record added) {
    if (!is_valid(added)) {
        return outcome::invalid;
    }
    if (added.expires <= now) {
        return outcome::expired;
    }
    const record_key key = key_of(added);
    const auto known = records_.find(key);
    if (known != records_.end()) {
        if (known->second.attempt > added.attempt) {
            return outcome::outdated;
        }
        remove(key);
    }
    if (records_.size() >= max_records_) {
        evict_one();
    }
    add(std::move(added));
    return outcome::recorded;
}

void stream_record_table::add(stream_record added) {
    const record_key key = key_of(added);
    std::set<expiry_key>& of_account = by_account_[added.account];
    account_sizes_.erase({of_account.size(), added.account});
    of_account.emplace(added.expires, key);
    account_sizes_.emplace(of_account.size(), added.account);
    by_expiry_.emplace(added.expires, key);
    bytes_ += added.bytes();
    records_.emplace(key, std::move(added));
}

const stream_record* stream_record_table::find(instant now, std::string_view request,
                                               std::uint64_t account) const {
    const auto found = records_.find({account, std::string(request)});
    const bool usable = found != records_.end() && found->second.expires > now;
    return usable ? &found->second : nullptr;
}

void stream_record_table::remove(std::string_view request, std::uint64_t account) {
    remove(record_key{account, std::string(request)});
}

void stream_record_table::remove(const record_key& key) {
    const auto found = records_.find(key);
    if (found == records_.end()) {
        return;
    }
    const stream_record& record = found->second;
    remove_from_account(record);
    by_expiry_.erase({record.expires, key});
    bytes_ -= record.bytes();
    records_.erase(found);
}

void stream_record_table::remove_from_account(const stream_record& record) {
    const auto of_account = by_account_.find(record.account);
    account_sizes_.erase({of_account->second.size(), record.account});
    of_account->second.erase({record.expires, key_of(record)});
    if (of_account->second.empty()) {
        by_account_.erase(of_account);
        return;
    }
    account_sizes_.emplace(of_account->second.size(), record.account);
}

void stream_record_table::evict_one() {
    if (account_sizes_.empty()) {
        return;
    }
    const std::uint64_t largest = account_sizes_.rbegin()->second;
    const record_key first_to_expire = by_account_[largest].begin()->second;
    remove(first_to_expire);
    evictions_ += 1;
}

std::size_t stream_record_table::remove_expired(instant now) {
    std::size_t removed = 0;
    while (!by_expiry_.empty() && by_expiry_.begin()->first <= now) {
        const record_key expired = by_expiry_.begin()->second;
        remove(expired);
        removed += 1;
    }
    return removed;
}

void stream_record_table::for_each(const std::function<void(const stream_record&)>& visit) const {
    for (const auto& [key, record] : records_) {
        visit(record);
    }
}

}  // namespace wrenswitch
