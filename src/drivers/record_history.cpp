#include "wrenswitch/drivers/record_history.hpp"

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// More records than 800 targets write in 20 s.
constexpr std::size_t max_records = 16'384;

std::uint64_t hash_of(const keyed_record& record) {
    const std::uint64_t key = spread_hash(record.key);
    return record.value ? spread_hash(*record.value, key) : key;
}

}  // namespace

void record_history::add(const keyed_record& record) {
    hashes_[record.offset] = hash_of(record);
    while (hashes_.size() > max_records) {
        hashes_.erase(hashes_.begin());
    }
}

bool record_history::contains(const keyed_record& record) const {
    const auto found = hashes_.find(record.offset);
    return found != hashes_.end() && found->second == hash_of(record);
}

}  // namespace wrenswitch
