#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "drivers/upstream_socket.hpp"
#include "wrenswitch/drivers/message_parser.hpp"
#include "wrenswitch/drivers/upstream_pool.hpp"

namespace wrenswitch {

/// One connection to a target. It carries one call at a time.
class upstream_connection : public std::enable_shared_from_this<upstream_connection> {
public:
    /// Told when the connection can carry another call, or has ended.
    using change_hook = std::function<void(upstream_connection&)>;

    upstream_connection(event_loop& loop, const upstream_pool_settings& settings,
                        change_hook on_change);
    ~upstream_connection();
    upstream_connection(const upstream_connection&) = delete;
    upstream_connection& operator=(const upstream_connection&) = delete;

    /// Connects. To be called once, before all else.
    void connect(const http_address& address);

    /// Begins a call: the message goes out as soon as the connection stands.
    void begin(outgoing_message message, bool bodyless, upstream_hooks hooks);

    /// Lets the connection carry no other call after this one.
    void close_after_answer() { reusable_ = false; }

    /// Ends the call and the connection without telling the hooks.
    void abandon();

    /// Ends this side of the connection; answers are still read.
    void half_close();

    bool open() const { return open_; }
    bool idle() const { return open() && !hooks_; }
    bool sent() const { return sent_; }

    /// Bytes of the request that the system has not taken; at a call's end, what it had not taken
    /// then.
    std::size_t unsent_bytes() const;

    /// True if a call that allows this much rest may go over the connection now.
    bool usable_after(instant now, microseconds longest_rest) const;

private:
    void connected();
    void take_in(std::string_view bytes);
    bool count_before_head(std::size_t bytes);
    result<void> head_arrived(const message_head& head);
    void answer_complete();
    void peer_ended(connection_end end);
    bool may_end_here() const;
    void fail(upstream_failure failure);
    void close();
    void note_keep_alive(const message_head& head);

    event_loop& loop_;
    upstream_pool_settings settings_;
    change_hook on_change_;
    std::shared_ptr<upstream_socket> socket_;
    message_parser parser_;
    std::optional<upstream_hooks> hooks_;
    outgoing_message unsent_;
    bool open_ = true;
    bool connected_ = false;
    bool sent_ = false;
    std::size_t unsent_at_end_ = 0;
    bool skipping_ = false;
    bool answer_done_ = false;
    /// True once the head of the call's own answer has come.
    bool head_arrived_ = false;
    /// What came before it: of late answers of other calls, and besides.
    std::size_t skipped_bytes_ = 0;
    std::size_t interim_bytes_ = 0;
    /// True if the end of the connection shows where the present answer ends.
    bool ends_with_connection_ = false;
    bool reusable_ = true;
    instant rests_since_{};
    microseconds peer_idle_limit_ = seconds(3600);
};

}  // namespace wrenswitch
