#pragma once

#include <string>

namespace wrenswitch::testing {

/// True if a response has been received whole, by its own length.
inline bool is_whole_response(const std::string& text) {
    const std::size_t body = text.find("\r\n\r\n");
    if (body == std::string::npos) {
        return false;
    }
    const std::string length_name = "Content-Length: ";
    const std::size_t length = text.find(length_name);
    if (length == std::string::npos || length > body) {
        return text.ends_with("0\r\n\r\n");
    }
    const std::size_t wanted = std::stoul(text.substr(length + length_name.size()));
    return text.size() >= body + 4 + wanted;
}

}  // namespace wrenswitch::testing
