#include "wrenswitch/decision/streams/stream_origin.hpp"

#include <algorithm>

namespace wrenswitch {

std::string_view name_of(origin_source source) {
    switch (source) {
        case origin_source::record:
            return "record";
        case origin_source::only_version:
            return "only_version";
        case origin_source::unknown:
            return "unknown";
    }
    return "unnamed";
}

stream_origin determine_origin(std::span<const stream_knowledge> known, std::string_view service) {
    const stream_knowledge* latest = nullptr;
    for (const stream_knowledge& each : known) {
        if (each.record && (latest == nullptr || each.record->attempt > latest->record->attempt)) {
            latest = &each;
        }
    }
    if (latest != nullptr) {
        return {origin_source::record, latest->record->service, latest->record->version,
                latest->host, latest->record->expires};
    }
    recent_values::value_set versions;
    bool complete = false;
    for (const stream_knowledge& each : known) {
        versions.insert(each.versions.begin(), each.versions.end());
        complete = complete || each.versions_complete;
    }
    if (service.empty() || !complete || versions.size() != 1) {
        return {};
    }
    return {origin_source::only_version, std::string(service), *versions.begin(), {}, {}};
}

}  // namespace wrenswitch
