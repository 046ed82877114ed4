#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace wrenswitch {

/// The bytes of a message that is sent: a text, and a body behind it that is sent from where it is.
struct outgoing_message {
    std::string text;
    std::string_view body;
    /// Keeps the body alive.
    std::shared_ptr<const void> body_owner;

    std::size_t size() const { return text.size() + body.size(); }
};

}  // namespace wrenswitch
