#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "support/raw_socket.hpp"

namespace wrenswitch::testing {

/// What each client of a crowd sends.
struct crowd_script {
    std::string bytes;
    /// How many bytes short of the end most clients stop. Every tenth sends all.
    std::size_t withheld = 0;
    /// The most that a client sends at a time.
    std::size_t piece = std::numeric_limits<std::size_t>::max();
};

/// Clients that send their scripts as fast as they are read, and stay open.
class client_crowd {
public:
    client_crowd(std::uint16_t port, std::size_t count, crowd_script script)
        : script_(std::move(script)) {
        for (std::size_t number = 0; number < count; ++number) {
            members_.push_back({raw_socket::connect(port), 0});
        }
    }

    /// Sends a piece for each client that may send more. True if a byte was taken.
    bool send_pieces() {
        bool moved = false;
        for (std::size_t number = 0; number < members_.size(); ++number) {
            member& each = members_[number];
            const bool sends_all = number % 10 == 0;
            const std::size_t end = script_.bytes.size() - (sends_all ? 0 : script_.withheld);
            const std::string_view rest =
                std::string_view(script_.bytes).substr(each.sent, end - each.sent);
            const std::size_t taken =
                each.socket.send_some(rest.substr(0, std::min(script_.piece, rest.size())));
            each.sent += taken;
            moved = moved || taken > 0;
        }
        return moved;
    }

    std::size_t size() const { return members_.size(); }

    /// How many clients got an answer with this status so far.
    std::size_t count_of(std::string_view status) {
        return static_cast<std::size_t>(
            std::count_if(members_.begin(), members_.end(), [status](member& each) {
                const std::string& text = each.socket.received();
                return text.size() > 12 && text.substr(9, 3) == status;
            }));
    }

    /// The answers that came so far, for messages.
    std::string summary() {
        std::string text = "of " + std::to_string(size()) + " clients";
        for (const char* status : {"200", "400", "404", "408", "413", "431", "503", "504"}) {
            text += std::string(", ") + status + ": " + std::to_string(count_of(status));
        }
        return text;
    }

    /// The first answer with this status, or an empty text.
    std::string answer_with(std::string_view status) {
        for (member& each : members_) {
            const std::string& text = each.socket.received();
            if (text.size() > 12 && text.substr(9, 3) == status) {
                return text;
            }
        }
        return {};
    }

private:
    struct member {
        raw_socket socket;
        std::size_t sent = 0;
    };

    crowd_script script_;
    std::vector<member> members_;
};

/// The body of `payload` bytes in chunks of a size, with its last chunk and end.
inline std::string chunked_body(std::size_t payload, std::size_t chunk) {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr std::size_t base = 16;
    std::string size;
    for (std::size_t rest = chunk; rest > 0; rest /= base) {
        size.insert(size.begin(), digits[rest % base]);
    }
    const std::string one = size + "\r\n" + std::string(chunk, 'x') + "\r\n";
    std::string text;
    text.reserve(payload / chunk * one.size() + 5);
    for (std::size_t made = 0; made + chunk <= payload; made += chunk) {
        text += one;
    }
    return text + "0\r\n\r\n";
}

/// The scripts of one server. `head` is a request's start line and headers, without its end.
class crowd_scripts {
public:
    crowd_scripts(std::string head, std::size_t largest_body, std::size_t largest_head)
        : head_(std::move(head)), largest_body_(largest_body), largest_head_(largest_head) {}

    crowd_script whole_bodies() const { return {with_length(largest_body_), 0}; }

    crowd_script bodies_in_pieces() const { return {with_length(largest_body_), 0, piece_bytes}; }

    crowd_script unfinished_bodies() const { return {with_length(largest_body_), 1}; }

    /// Announced by a length, and sent as far as the server takes it.
    crowd_script announced_bodies_over_the_limit() const {
        return {head_ + "Content-Length: " + std::to_string(1000 * largest_body_) + "\r\n\r\n" +
                    std::string(times_over_limit * largest_body_, 'x'),
                0};
    }

    /// Just sent: no length tells how long they are.
    crowd_script bodies_over_the_limit() const {
        return {chunked(times_over_limit * largest_body_, large_chunk), 1};
    }

    crowd_script unfinished_large_chunks() const {
        return {chunked(largest_body_, large_chunk), 1};
    }

    crowd_script unfinished_tiny_chunks() const { return {chunked(tiny_chunks, 1), 1}; }

    /// Heads of the shortest headers, which take the most memory a byte.
    crowd_script unfinished_heads() const {
        std::string text = head_;
        while (text.size() + 16 < largest_head_) {
            text += "a:b\r\n";
        }
        return {text + "\r\n", 2};
    }

    /// A whole request, and behind it more bytes than a server may leave unread.
    crowd_script bytes_behind_a_request() const {
        return {with_length(2) + with_length(largest_body_), 0};
    }

    static crowd_script nothing() { return {}; }

private:
    static constexpr std::size_t piece_bytes = 16U * 1024U;
    static constexpr std::size_t large_chunk = 64U * 1024U;
    static constexpr std::size_t tiny_chunks = 64U * 1024U;
    static constexpr std::size_t times_over_limit = 4;

    std::string with_length(std::size_t length) const {
        return head_ + "Content-Length: " + std::to_string(length) + "\r\n\r\n" +
               std::string(length, 'x');
    }

    std::string chunked(std::size_t payload, std::size_t chunk) const {
        return head_ + "Transfer-Encoding: chunked\r\n\r\n" + chunked_body(payload, chunk);
    }

    std::string head_;
    std::size_t largest_body_;
    std::size_t largest_head_;
};

}  // namespace wrenswitch::testing
