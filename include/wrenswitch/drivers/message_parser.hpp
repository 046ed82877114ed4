#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

#include "wrenswitch/core/error.hpp"
#include "wrenswitch/drivers/message_head.hpp"

namespace wrenswitch {

/// What a parser calls while it reads.
struct message_parser_hooks {
    /// The head is whole. An error stops the parser and is what feed() returns.
    std::function<result<void>(message_head)> on_head;
    std::function<void(std::string_view)> on_body;
    /// The message is whole. The parser pauses behind it.
    std::function<void()> on_end;
};

/// What a peer may send before its message is refused.
struct message_parser_limits {
    std::size_t most_header_bytes = 32U * 1024U;
};

enum class message_kind { request, answer };

/// Reads HTTP/1.1 messages one after another, strictly: two lengths, a length beside chunks, an
/// unknown transfer coding, a malformed header name or a smuggled line is an error, never a guess.
/// Trailers are read and dropped. By http_parser, the parser that libevhtp builds on; see
/// docs/design/gateway.md for why the server around it is ours.
class message_parser {
public:
    message_parser(message_kind kind, message_parser_limits limits, message_parser_hooks hooks);
    ~message_parser();
    message_parser(message_parser&&) noexcept;
    message_parser& operator=(message_parser&&) noexcept;

    /// Reads up to the end of one message. Returns how many bytes were taken. Error codes:
    /// bad_input for a malformed message, too_large for a head that is too long, or the hook's own.
    result<std::size_t> feed(std::string_view bytes);

    /// The peer ended its side. True if that completes the message, as for an answer without
    /// length.
    bool end_of_input();

    /// The next answer belongs to a request that allows no body, such as HEAD.
    void expect_no_body(bool bodyless);

    /// Makes feed() return behind the head. To be called within on_head; the next feed() goes on
    /// with the body.
    void pause_after_head();

    /// True from the first byte of a message to its end.
    bool in_message() const;

    /// True once the head of the present message is whole.
    bool head_complete() const;

    /// The memory in bytes of the present message's head, whether the parser still holds it or has
    /// handed it out.
    std::size_t head_memory() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace wrenswitch
