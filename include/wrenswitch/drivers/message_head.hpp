#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/drivers/http_server.hpp"

namespace wrenswitch {

/// The start line and the headers of one HTTP/1.1 message, in the order in which they came.
struct message_head {
    /// Of a request.
    std::string method;
    /// Of a request: the path with the query, exactly as sent.
    std::string target;
    /// Of an answer.
    unsigned status = 0;
    std::vector<http_header> headers;
    /// The length that the sender gave, if it gave one.
    std::optional<std::uint64_t> content_length;
    /// False if the sender ends the connection after this message.
    bool keep_alive = true;

    /// The value of the first header with this name, in any case, or an empty text.
    std::string_view header(std::string_view name) const;

    /// How many headers have this name.
    std::size_t count(std::string_view name) const;
};

/// True for the statuses that an answer may have: 100 to 599.
constexpr bool is_valid_status(unsigned status) {
    constexpr unsigned first = 100;
    constexpr unsigned last = 599;
    return status >= first && status <= last;
}

/// True if the end of the connection is all that shows where the answer's body ends.
bool ends_with_connection(const message_head& answer);

/// True if both names are the same header, in any case.
bool same_header_name(std::string_view left, std::string_view right);

/// The headers that concern the whole path: without those of one connection, whether by their
/// nature or because `Connection` names them.
std::vector<http_header> end_to_end_headers(const message_head& head);

/// Appends "Name: value" and the line's end.
void append_header(std::string& text, std::string_view name, std::string_view value);

}  // namespace wrenswitch
