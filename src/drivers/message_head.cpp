#include "wrenswitch/drivers/message_head.hpp"

#include <algorithm>
#include <array>
#include <cctype>

namespace wrenswitch {
namespace {

/// Headers that concern one connection only.
constexpr std::array<std::string_view, 10> connection_headers{
    "Connection", "Keep-Alive",        "Proxy-Connection", "TE",     "Trailer",
    "Upgrade",    "Transfer-Encoding", "Content-Length",   "Expect", "Proxy-Authenticate"};

std::string_view trimmed(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

bool is_named_by(std::string_view list, std::string_view name) {
    while (!list.empty()) {
        const std::size_t comma = list.find(',');
        if (same_header_name(trimmed(list.substr(0, comma)), name)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

bool concerns_one_connection(const message_head& head, std::string_view name) {
    const auto same = [name](std::string_view other) { return same_header_name(other, name); };
    if (std::any_of(connection_headers.begin(), connection_headers.end(), same)) {
        return true;
    }
    const auto names_it = [name](const http_header& header) {
        return same_header_name(header.name, "Connection") && is_named_by(header.value, name);
    };
    return std::any_of(head.headers.begin(), head.headers.end(), names_it);
}

}  // namespace

bool ends_with_connection(const message_head& answer) {
    constexpr unsigned no_content = 204;
    constexpr unsigned not_modified = 304;
    const bool has_body = answer.status != no_content && answer.status != not_modified;
    return has_body && !answer.content_length && answer.count("Transfer-Encoding") == 0;
}

bool same_header_name(std::string_view left, std::string_view right) {
    const auto same_letter = [](unsigned char first, unsigned char second) {
        return std::tolower(first) == std::tolower(second);
    };
    return left.size() == right.size() &&
           std::equal(left.begin(), left.end(), right.begin(), same_letter);
}

std::string_view message_head::header(std::string_view name) const {
    for (const http_header& candidate : headers) {
        if (same_header_name(candidate.name, name)) {
            return candidate.value;
        }
    }
    return {};
}

std::size_t message_head::count(std::string_view name) const {
    const auto same = [name](const http_header& header) {
        return same_header_name(header.name, name);
    };
    return static_cast<std::size_t>(std::count_if(headers.begin(), headers.end(), same));
}

std::vector<http_header> end_to_end_headers(const message_head& head) {
    std::vector<http_header> kept;
    for (const http_header& header : head.headers) {
        if (!concerns_one_connection(head, header.name)) {
            kept.push_back(header);
        }
    }
    return kept;
}

void append_header(std::string& text, std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
}

}  // namespace wrenswitch
