#include "drivers/upstream_connection.hpp"

#include <charconv>
#include <utility>

namespace wrenswitch {
namespace {

/// A kept connection isn't used in the last part of the time that the peer keeps it.
constexpr microseconds idle_margin = milliseconds(600);

/// The longest head of an answer that is read.
constexpr std::size_t most_answer_head_bytes = 64U * 1024U;

/// What may come before the head of a call's own answer: heads of interim answers, and late answers
/// of other calls, which may be as large as any answer. A target that sends more is broken.
constexpr std::size_t max_interim_bytes = 256U * 1024U;
constexpr std::size_t max_skipped_bytes = 32U * 1024U * 1024U;

/// The seconds in "timeout=5, max=100".
std::optional<unsigned> keep_alive_seconds(std::string_view value) {
    constexpr std::string_view name = "timeout=";
    const std::size_t at = value.find(name);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string_view digits = value.substr(at + name.size());
    unsigned number = 0;
    const auto [end, problem] =
        std::from_chars(digits.data(), digits.data() + digits.size(), number);
    return problem == std::errc{} ? std::optional(number) : std::nullopt;
}

}  // namespace

upstream_connection::upstream_connection(event_loop& loop, const upstream_pool_settings& settings,
                                         change_hook on_change)
    : loop_(loop),
      settings_(settings),
      on_change_(std::move(on_change)),
      parser_(message_kind::answer, {most_answer_head_bytes},
              {[this](const message_head& head) { return head_arrived(head); },
               [this](std::string_view piece) {
                   if (!skipping_ && hooks_) {
                       hooks_->on_piece(piece);
                   }
               },
               [this] { answer_done_ = true; }}) {}

upstream_connection::~upstream_connection() {
    if (socket_) {
        socket_->close();
    }
}

void upstream_connection::connect(const http_address& address) {
    // The connection may be forgotten while one of its hooks runs.
    const auto with_self = [self = weak_from_this()](auto action) {
        if (const auto alive = self.lock()) {
            action(*alive);
        }
    };
    upstream_socket::hooks hooks;
    hooks.on_connected = [with_self] {
        with_self([](upstream_connection& connection) { connection.connected(); });
    };
    hooks.on_bytes = [with_self](std::string_view bytes) {
        with_self([bytes](upstream_connection& connection) { connection.take_in(bytes); });
    };
    hooks.on_end = [with_self](connection_end end) {
        with_self([end](upstream_connection& connection) { connection.peer_ended(end); });
    };
    socket_ = std::make_shared<upstream_socket>(
        loop_,
        upstream_socket::timeouts{settings_.connect_timeout, settings_.unacknowledged_timeout},
        std::move(hooks));
    socket_->connect(address);
}

void upstream_connection::begin(outgoing_message message, bool bodyless, upstream_hooks hooks) {
    hooks_ = std::move(hooks);
    parser_.expect_no_body(bodyless);
    skipping_ = false;
    answer_done_ = false;
    head_arrived_ = false;
    interim_bytes_ = 0;
    skipped_bytes_ = 0;
    sent_ = false;
    unsent_ = std::move(message);
    if (connected_) {
        connected();
    }
}

void upstream_connection::connected() {
    connected_ = true;
    if (!hooks_) {
        return;
    }
    sent_ = true;
    socket_->write(std::exchange(unsent_, {}));
}

void upstream_connection::take_in(std::string_view bytes) {
    while (open() && !bytes.empty()) {
        if (!hooks_) {
            // Bytes that nobody asked for: what follows can't be trusted.
            close();
            return;
        }
        const result<std::size_t> taken = parser_.feed(bytes);
        if (!open()) {
            return;
        }
        if (!taken || !count_before_head(taken.value())) {
            fail(upstream_failure::malformed);
            return;
        }
        bytes.remove_prefix(taken.value());
        if (answer_done_) {
            answer_complete();
        }
    }
}

/// False if more came before the head of the call's own answer than a sound target sends.
bool upstream_connection::count_before_head(std::size_t bytes) {
    if (head_arrived_) {
        return true;
    }
    (skipping_ ? skipped_bytes_ : interim_bytes_) += bytes;
    return skipped_bytes_ <= max_skipped_bytes && interim_bytes_ <= max_interim_bytes;
}

result<void> upstream_connection::head_arrived(const message_head& head) {
    note_keep_alive(head);
    if (!hooks_) {
        return failed(error_code::conflict, "No call waits for an answer.");
    }
    ends_with_connection_ = ends_with_connection(head);
    skipping_ = !hooks_->belongs(head);
    if (!skipping_) {
        head_arrived_ = true;
        hooks_->on_head(head);
    }
    return outcome::success();
}

void upstream_connection::note_keep_alive(const message_head& head) {
    reusable_ = reusable_ && head.keep_alive;
    const std::optional<unsigned> limit = keep_alive_seconds(head.header("Keep-Alive"));
    if (limit) {
        peer_idle_limit_ = seconds(*limit);
    }
}

void upstream_connection::answer_complete() {
    answer_done_ = false;
    if (skipping_) {
        skipping_ = false;
        if (!reusable_) {
            fail(upstream_failure::malformed);
        }
        return;
    }
    // The whole request must have left, too: an early answer may leave a body half sent.
    unsent_at_end_ = unsent_bytes();
    const bool all_sent = unsent_at_end_ == 0;
    const upstream_hooks hooks = std::move(*std::exchange(hooks_, std::nullopt));
    rests_since_ = monotonic_now();
    if (!reusable_ || !all_sent) {
        close();
    } else {
        on_change_(*this);
    }
    hooks.on_end();
}

std::size_t upstream_connection::unsent_bytes() const {
    return open() && hooks_ ? unsent_.size() + socket_->unsent_bytes() : unsent_at_end_;
}

/// True if the end of the connection completes the present answer.
bool upstream_connection::may_end_here() const {
    return hooks_ && !skipping_ && parser_.head_complete() && ends_with_connection_;
}

void upstream_connection::peer_ended(connection_end end) {
    switch (end) {
        case connection_end::refused:
            fail(upstream_failure::not_sent);
            return;
        case connection_end::broken:
            fail(upstream_failure::broken);
            return;
        case connection_end::unconfirmed:
            if (!may_end_here()) {
                fail(upstream_failure::cut_short);
            }
            return;
        case connection_end::clean:
            break;
    }
    if (!may_end_here() || !parser_.end_of_input()) {
        fail(upstream_failure::cut_short);
        return;
    }
    reusable_ = false;
    answer_complete();
}

void upstream_connection::fail(upstream_failure failure) {
    unsent_at_end_ = unsent_bytes();
    std::optional<upstream_hooks> hooks = std::exchange(hooks_, std::nullopt);
    close();
    if (hooks) {
        hooks->on_failed(failure);
    }
}

void upstream_connection::abandon() {
    // One of the hooks may be on the stack.
    loop_.call_after(microseconds(0), [kept = std::exchange(hooks_, std::nullopt)] {});
    close();
}

void upstream_connection::half_close() {
    reusable_ = false;
    if (connected_) {
        socket_->half_close();
    }
}

void upstream_connection::close() {
    if (!std::exchange(open_, false)) {
        return;
    }
    unsent_ = {};
    socket_->close();
    on_change_(*this);
}

bool upstream_connection::usable_after(instant now, microseconds longest_rest) const {
    const microseconds rest = now - rests_since_;
    return idle() && connected_ && rest <= longest_rest && rest + idle_margin < peer_idle_limit_;
}

}  // namespace wrenswitch
