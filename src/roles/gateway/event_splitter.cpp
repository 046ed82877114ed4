#include "roles/gateway/event_splitter.hpp"

namespace wrenswitch {
namespace {

/// An empty line ends an event. Both kinds of line end are in use.
constexpr std::string_view plain_end = "\n\n";
constexpr std::string_view carriage_end = "\r\n\r\n";

/// Where the first event in the text ends, or npos.
std::size_t end_of_event(std::string_view text) {
    const std::size_t plain = text.find(plain_end);
    const std::size_t carriage = text.find(carriage_end);
    if (plain == std::string_view::npos && carriage == std::string_view::npos) {
        return std::string_view::npos;
    }
    if (plain < carriage) {
        return plain + plain_end.size();
    }
    return carriage + carriage_end.size();
}

}  // namespace

whole_events event_splitter::add(std::string_view bytes) {
    rest_.append(bytes);
    whole_events whole;
    std::string_view unread = rest_;
    for (std::size_t end = end_of_event(unread); end != std::string_view::npos;
         end = end_of_event(unread)) {
        note_id(unread.substr(0, end));
        unread.remove_prefix(end);
        whole.count += 1;
    }
    const std::size_t taken = rest_.size() - unread.size();
    whole.bytes = rest_.substr(0, taken);
    rest_.erase(0, taken);
    return whole;
}

void event_splitter::note_id(std::string_view event) {
    constexpr std::string_view name = "id:";
    while (!event.empty()) {
        const std::size_t end = event.find('\n');
        std::string_view line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view{} : event.substr(end + 1);
        if (line.substr(0, name.size()) != name) {
            continue;
        }
        line.remove_prefix(name.size());
        const std::size_t first = line.find_first_not_of(' ');
        const std::size_t last = line.find_last_not_of(" \r");
        last_id_ = first == std::string_view::npos ? "" : line.substr(first, last - first + 1);
    }
}

}  // namespace wrenswitch
