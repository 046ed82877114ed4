#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "wrenswitch/decision/streams/recent_values.hpp"
#include "wrenswitch/decision/streams/stream_record.hpp"

namespace wrenswitch {

/// What one entry knows of a stream that a caller resumes.
struct stream_knowledge {
    std::string host;
    /// Absent if the entry doesn't know the stream.
    std::optional<stream_record> record;
    /// The versions that targets of the service have had while the stream may have begun.
    recent_values::value_set versions;
    /// True if the entry has followed the list of targets for all of that time.
    bool versions_complete = false;
};

/// How the origin of a stream was determined.
enum class origin_source {
    /// An entry holds the record of the stream.
    record,
    /// No entry knows the stream, but all targets that may have begun it had one version.
    only_version,
    /// Neither.
    unknown,
};

/// The name of a source in logs and metrics.
std::string_view name_of(origin_source source);

/// At which version of which service a resumed stream began.
struct stream_origin {
    origin_source source = origin_source::unknown;
    std::string service;
    std::string version;
    /// The entry that held the record, if one did.
    std::string host;
    /// When that record expires.
    instant expires{};
};

/// Determines the origin of a stream by what entries know of it. `service` is the only service that
/// may have begun the stream, or empty if there are several.
///
/// A record of a later attempt supersedes the others. Without a record, versions that only one
/// entry saw count as well, since entries learn of targets at different times. If in doubt the
/// origin is unknown: a stream that is refused can be started anew, and one that joins two versions
/// is corrupt.
stream_origin determine_origin(std::span<const stream_knowledge> known, std::string_view service);

}  // namespace wrenswitch
