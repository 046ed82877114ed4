#include "roles/gateway/event_splitter.hpp"

#include <algorithm>

namespace wrenswitch {
namespace {

/// An empty line ends an event. Both LF and CRLF line ends are in use.
constexpr std::string_view lf_terminator = "\n\n";
constexpr std::string_view crlf_terminator = "\r\n\r\n";

/// The position behind the first complete event that ends behind `from`, or npos if there is none.
std::size_t find_event_end(std::string_view text, std::size_t from) {
    const std::size_t lf_position = text.find(lf_terminator, from);
    const std::size_t crlf_position = text.find(crlf_terminator, from);
    if (lf_position == std::string_view::npos && crlf_position == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (lf_position < crlf_position) {
        return lf_position + lf_terminator.size();
    }
    return crlf_position + crlf_terminator.size();
}

}  // namespace

complete_events event_splitter::add(std::string_view bytes) {
    partial_event_.append(bytes);
    complete_events complete;
    std::string_view remaining = partial_event_;
    for (std::size_t end = find_event_end(remaining, searched_bytes_);
         end != std::string_view::npos; end = find_event_end(remaining, 0)) {
        record_event_id(remaining.substr(0, end));
        remaining.remove_prefix(end);
        complete.count += 1;
    }
    const std::size_t consumed = partial_event_.size() - remaining.size();
    complete.bytes = partial_event_.substr(0, consumed);
    partial_event_.erase(0, consumed);
    // A terminator may be cut between two pieces.
    searched_bytes_ =
        partial_event_.size() - std::min(partial_event_.size(), crlf_terminator.size() - 1);
    return complete;
}

void event_splitter::record_event_id(std::string_view event) {
    constexpr std::string_view field_prefix = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
        if (line.substr(0, field_prefix.size()) != field_prefix) {
            continue;
        }
        line.remove_prefix(field_prefix.size());
        const std::size_t first = line.find_first_not_of(' ');
        const std::size_t last = line.find_last_not_of(" \r");
        last_event_id_ =
            first == std::string_view::npos ? "" : line.substr(first, last - first + 1);
    }
}

}  // namespace wrenswitch
