#pragma once

#include <cstdint>
#include <string>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// At which version of which service a stream began. A caller that resumes the stream names it by
/// the request whose response brought the first event.
struct stream_record {
    /// Longer names are not recorded. Identifiers come from callers, the others from operators.
    static constexpr std::size_t max_request_bytes = 64;
    static constexpr std::size_t max_name_bytes = 128;
    /// The longest time that a record is kept, whatever a caller or a message says.
    static constexpr microseconds max_life = seconds(300);

    std::string request;
    std::string service;
    /// The software version of the target; may be empty.
    std::string version;
    /// A hash of the client account, which alone may resume the stream.
    std::uint64_t account = 0;
    /// The number of the attempt of this request. Until the caller has received an event, a later
    /// attempt may use another version; then the highest number counts.
    std::uint32_t attempt = 0;
    /// When the stream can no longer be resumed.
    instant expires{};

    /// The memory that the names take.
    std::size_t bytes() const { return request.size() + service.size() + version.size(); }
};

/// True if the record names a request and a service and is not too long to be kept.
inline bool is_valid(const stream_record& record) {
    return !record.request.empty() && record.request.size() <= stream_record::max_request_bytes &&
           !record.service.empty() && record.service.size() <= stream_record::max_name_bytes &&
           record.version.size() <= stream_record::max_name_bytes;
}

}  // namespace wrenswitch
