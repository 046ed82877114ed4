#include "wrenswitch/drivers/log_window.hpp"

namespace wrenswitch {

std::size_t payload_bytes(const keyed_record& record) {
    return record.key.size() + (record.value ? record.value->size() : 0);
}

void log_window::restart(std::uint64_t generation, std::uint64_t offset) {
    records_.clear();
    bytes_ = 0;
    generation_ = generation;
    first_ = offset;
}

void log_window::add(std::uint64_t generation, std::uint64_t from,
                     std::span<const keyed_record> records) {
    const bool continues = generation == generation_ && from >= first_ && from <= end();
    if (!continues) {
        restart(generation, from);
    }
    for (const keyed_record& record : records) {
        if (record.offset < end()) {
            continue;
        }
        if (record.offset > end()) {
            restart(generation, record.offset);
        }
        bytes_ += payload_bytes(record);
        records_.push_back(record);
    }
    drop_oldest();
}

void log_window::drop_oldest() {
    while (bytes_ > max_bytes_) {
        bytes_ -= payload_bytes(records_.front());
        records_.pop_front();
        first_ += 1;
    }
}

log_window::iterator log_window::at(std::uint64_t offset) const {
    return records_.begin() + static_cast<std::ptrdiff_t>(offset - first_);
}

}  // namespace wrenswitch
