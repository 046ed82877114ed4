#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/ids.hpp"
#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// One record of a stream.
struct log_record {
    log_offset offset{};
    std::string data;
};

/// A stretch of a stream.
struct log_page {
    /// The oldest offset that is kept.
    log_offset first{};
    /// The offset that the next append will get.
    log_offset end{};
    std::vector<log_record> records;
};

/// The platform's append-only log. Offsets start at 1, so that zero can mean none. This is the only
/// place that knows how the platform's log is spoken to: another service is another implementation.
class log_service {
public:
    using append_hook = std::function<void(result<log_offset>)>;
    using read_hook = std::function<void(result<log_page>)>;

    virtual ~log_service() = default;

    /// Appends a record. An error leaves open whether the record was taken.
    virtual void append(std::string_view stream, std::string data, append_hook done) = 0;

    /// Reads records from an offset on. If there are none yet, waits for one for so long. An error
    /// of code expired means that the offset is no longer kept.
    virtual void read(std::string_view stream, log_offset from, std::size_t most_bytes,
                      microseconds wait, read_hook done) = 0;
};

/// The log as the stand-in serves it, over HTTP with protobuf bodies.
std::unique_ptr<log_service> make_http_log_service(event_loop& loop, const http_address& address);

}  // namespace wrenswitch
