#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

/// One record of a keyed log.
struct keyed_record {
    std::string key;
    /// Nothing if the record drops the key.
    std::optional<std::string> value;
    std::uint64_t offset = 0;
};

/// A stretch of a keyed log.
struct keyed_page {
    /// Increases each time the store is restored from a copy without its newest records; zero if
    /// the reply does not report it. Offsets are valid only within one generation.
    std::uint64_t generation = 0;
    /// The offset that the next append will get.
    std::uint64_t end = 0;
    std::vector<keyed_record> records;
    /// How much earlier than this call the read of the store began that the page comes from. Zero
    /// unless another process read it.
    microseconds age{};
};

/// How long calls to a keyed log may take.
struct keyed_log_timeouts {
    /// A call that isn't held open.
    microseconds call = milliseconds(600);
    /// Added to a held read's own wait.
    microseconds held_read_slack = milliseconds(600);
};

/// The kinds of calls to a keyed log.
enum class keyed_log_operation { newest, read, append };

/// One reply to a call to a keyed log, or its absence.
struct keyed_log_call {
    std::string_view log;
    keyed_log_operation operation = keyed_log_operation::read;
    /// True if the log did what was asked. An append whose condition didn't hold has not.
    bool succeeded = false;
    /// The size of the reply's body.
    std::size_t reply_bytes = 0;
};

/// Told of each call once it has ended.
using keyed_log_call_hook = std::function<void(const keyed_log_call&)>;

/// A log whose records have keys, and which keeps the newest record of each key for good. Offsets
/// count from 0, without gaps.
class keyed_log {
public:
    using page_hook = std::function<void(result<keyed_page>)>;
    /// Told the offset behind the appended records.
    using append_hook = std::function<void(result<std::uint64_t>)>;

    virtual ~keyed_log() = default;

    /// The highest generation reported so far by any reply, including error replies; zero if none.
    virtual std::uint64_t generation() const = 0;

    /// The newest record of each key. The page's end is that of the log before the first was read,
    /// so that reading on from there misses nothing.
    virtual void newest(std::string_view log, page_hook done) = 0;

    /// Reads records from an offset on, waiting for one for so long if there are none. An error of
    /// code expired means that the offset is no longer kept.
    virtual void read(std::string_view log, std::uint64_t from, microseconds wait,
                      page_hook done) = 0;

    /// Appends all the records if the log ends at this offset, or none. An error of code conflict
    /// means that it doesn't; of any other, that the records may have been appended, or may still
    /// be as long as the log ends there. Without an offset they are appended wherever it ends, and
    /// after an error they may be at any later time: for records that bear being written twice.
    virtual void append(std::string_view log, std::optional<std::uint64_t> at,
                        std::span<const keyed_record> records, append_hook done) = 0;
};

}  // namespace wrenswitch
