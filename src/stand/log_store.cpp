#include "stand/log_store.hpp"

namespace wrenswitch::stand {

std::uint64_t stream_store::append(std::string data) {
    records_.push_back(std::move(data));
    return end_offset() - 1;
}

void stream_store::keep_only(std::size_t records) {
    while (records_.size() > records) {
        records_.pop_front();
        ++first_;
    }
}

stream_store& log_store::stream(std::string_view name) {
    const auto found = streams_.find(name);
    if (found != streams_.end()) {
        return found->second;
    }
    return streams_[std::string(name)];
}

}  // namespace wrenswitch::stand
