#include "wrenswitch/drivers/message_parser.hpp"

#include <http_parser.h>

#include <algorithm>
#include <cctype>
#include <optional>
#include <utility>

namespace wrenswitch {
namespace {

constexpr unsigned first_final_status = 200;

/// What http_parser takes as "this message has no body".
constexpr int skip_body = 1;

/// What a header takes beside its text, in a list that has grown by doubling.
constexpr std::size_t header_bytes = 2 * sizeof(http_header);

bool is_token_letter(unsigned char letter) {
    constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    return std::isalnum(letter) != 0 || marks.find(static_cast<char>(letter)) != marks.npos;
}

bool is_token(std::string_view text) {
    return !text.empty() && std::all_of(text.begin(), text.end(), is_token_letter);
}

}  // namespace

struct message_parser::state {
    http_parser parser{};
    http_parser_settings callbacks{};
    message_parser_limits limits;
    message_parser_hooks hooks;
    message_head head;
    std::size_t head_bytes = 0;
    std::size_t head_memory = 0;
    bool value_was_last = false;
    bool active = false;
    bool head_done = false;
    bool trailers = false;
    bool ended = false;
    bool bodyless = false;
    bool pauses = false;
    std::optional<error> problem;

    static state& of(http_parser* parser) { return *static_cast<state*>(parser->data); }

    int fail(error_code code, std::string message) {
        problem = error{code, std::move(message)};
        return -1;
    }

    bool count_head_bytes(std::size_t length) {
        head_bytes += length;
        head_memory += length;
        return head_bytes <= limits.most_header_bytes;
    }

    void reset_message() {
        head = message_head{};
        head_bytes = 0;
        head_memory = 0;
        value_was_last = false;
        head_done = false;
        trailers = false;
        active = true;
    }

    int add_target(std::string_view piece) {
        head.target.append(piece);
        return count_head_bytes(piece.size())
                   ? 0
                   : fail(error_code::too_large, "The head is too long.");
    }

    int add_name(std::string_view piece) {
        if (head_done) {
            trailers = true;
            return 0;
        }
        if (value_was_last || head.headers.empty()) {
            head.headers.emplace_back();
            head_memory += header_bytes;
        }
        value_was_last = false;
        head.headers.back().name.append(piece);
        return count_head_bytes(piece.size())
                   ? 0
                   : fail(error_code::too_large, "The head is too long.");
    }

    int add_value(std::string_view piece) {
        if (trailers) {
            return 0;
        }
        value_was_last = true;
        head.headers.back().value.append(piece);
        return count_head_bytes(piece.size())
                   ? 0
                   : fail(error_code::too_large, "The head is too long.");
    }

    int finish_head() {
        for (const http_header& header : head.headers) {
            if (!is_token(header.name)) {
                return fail(error_code::bad_input, "A header's name is malformed.");
            }
        }
        const bool is_request = parser.type == HTTP_REQUEST;
        if (is_request) {
            head.method = http_method_str(static_cast<http_method>(parser.method));
        } else if (!is_valid_status(parser.status_code)) {
            return fail(error_code::bad_input, "The status is not one of an answer.");
        } else {
            head.status = parser.status_code;
        }
        if (head.count("Content-Length") > 0) {
            head.content_length = parser.content_length;
        }
        head.keep_alive = http_should_keep_alive(&parser) != 0;
        parser.upgrade = 0;
        head_done = true;
        if (head.status != 0 && head.status < first_final_status) {
            return 0;
        }
        const result<void> taken = hooks.on_head(std::move(head));
        head = message_head{};
        if (!taken) {
            problem = taken.error();
            return -1;
        }
        if (std::exchange(pauses, false)) {
            http_parser_pause(&parser, 1);
        }
        return bodyless ? skip_body : 0;
    }

    int finish_message() {
        active = false;
        const bool interim =
            parser.type == HTTP_RESPONSE && parser.status_code < first_final_status;
        if (interim) {
            return 0;
        }
        ended = true;
        http_parser_pause(&parser, 1);
        hooks.on_end();
        return 0;
    }

    void set_up(message_kind kind) {
        http_parser_init(&parser, kind == message_kind::request ? HTTP_REQUEST : HTTP_RESPONSE);
        parser.data = this;
        http_parser_settings_init(&callbacks);
        callbacks.on_message_begin = [](http_parser* self) {
            of(self).reset_message();
            return 0;
        };
        callbacks.on_url = [](http_parser* self, const char* data, std::size_t length) {
            return of(self).add_target({data, length});
        };
        callbacks.on_header_field = [](http_parser* self, const char* data, std::size_t length) {
            return of(self).add_name({data, length});
        };
        callbacks.on_header_value = [](http_parser* self, const char* data, std::size_t length) {
            return of(self).add_value({data, length});
        };
        callbacks.on_headers_complete = [](http_parser* self) { return of(self).finish_head(); };
        callbacks.on_body = [](http_parser* self, const char* data, std::size_t length) {
            of(self).hooks.on_body({data, length});
            return 0;
        };
        callbacks.on_message_complete = [](http_parser* self) { return of(self).finish_message(); };
    }
};

message_parser::message_parser(message_kind kind, message_parser_limits limits,
                               message_parser_hooks hooks)
    : state_(std::make_unique<state>()) {
    state_->limits = limits;
    state_->hooks = std::move(hooks);
    state_->set_up(kind);
}

message_parser::~message_parser() = default;
message_parser::message_parser(message_parser&&) noexcept = default;
message_parser& message_parser::operator=(message_parser&&) noexcept = default;

result<std::size_t> message_parser::feed(std::string_view bytes) {
    state& self = *state_;
    self.ended = false;
    http_parser_pause(&self.parser, 0);
    const std::size_t taken =
        http_parser_execute(&self.parser, &self.callbacks, bytes.data(), bytes.size());
    if (self.problem) {
        return *self.problem;
    }
    const http_errno status = HTTP_PARSER_ERRNO(&self.parser);
    if (status == HPE_HEADER_OVERFLOW) {
        return failed(error_code::too_large, "The head is too long.");
    }
    if (status != HPE_OK && status != HPE_PAUSED) {
        return failed(error_code::bad_input, http_errno_description(status));
    }
    return taken;
}

bool message_parser::end_of_input() {
    state& self = *state_;
    if (!self.active) {
        return false;
    }
    self.ended = false;
    http_parser_pause(&self.parser, 0);
    http_parser_execute(&self.parser, &self.callbacks, nullptr, 0);
    return self.ended;
}

void message_parser::expect_no_body(bool bodyless) {
    state_->bodyless = bodyless;
}

void message_parser::pause_after_head() {
    state_->pauses = true;
}

bool message_parser::in_message() const {
    return state_->active;
}

std::size_t message_parser::head_memory() const {
    return state_->head_memory;
}

bool message_parser::head_complete() const {
    return state_->active && state_->head_done;
}

}  // namespace wrenswitch
