#pragma once

#include <event2/bufferevent.h>

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "wrenswitch/drivers/ingress_server.hpp"
#include "wrenswitch/drivers/message_parser.hpp"

namespace wrenswitch {

class ingress_connection;

/// What all connections of one server share.
struct ingress_context {
    event_loop& loop;
    ingress_limits_source limits;
    ingress_handler handler;
    std::function<void(ingress_connection*)> on_gone;
    /// Empty if requests proceed without a decision on their heads.
    ingress_head_hook on_head;
    std::shared_ptr<intake_memory> intake;
    shortage_hook refuse_for_shortage;
    bool draining = false;
    /// True while callers should go on over other connections.
    bool sheds = false;
    /// Accounts whose callers should go on over other connections.
    std::set<std::string, std::less<>> closing_accounts{};
    /// Called for each connection that ends only because of `closing_accounts`. May be empty.
    std::function<void(std::string_view)> on_account_closed{};
};

/// One caller's connection: reads one request at a time and writes its answer.
class ingress_connection : public std::enable_shared_from_this<ingress_connection> {
public:
    ingress_connection(ingress_context& context, bufferevent* stream);
    ~ingress_connection();
    ingress_connection(const ingress_connection&) = delete;
    ingress_connection& operator=(const ingress_connection&) = delete;

    /// Begins to read. False if there is no memory for the connection, which then closes.
    bool start(std::size_t receive_buffer_bytes);

    /// Ends the connection if no request is being read or answered: at once, or after what isn't
    /// sent yet of its last answer. True if it does.
    bool close_if_idle();

    /// Writes to the peer as an exchange asks; `last` ends the answer.
    void write(std::string_view bytes);
    /// Holds bytes back until the next write, so that both go out together.
    void write_soon(std::string_view bytes);
    void finish_answer(bool keep);
    /// Ends the wait of a request behind its head.
    void end_wait(const head_decision& decision);
    void abort();

    /// Refuses a request that has been read in part only, or is held behind its head.
    void refuse_unread(const head_decision& refusal);

    /// True with a request that is read or answered, or bytes that the peer has not acknowledged.
    bool is_busy() const;

    bool open() const { return stream_ != nullptr; }
    bool keeps_alive() const { return is_kept_otherwise() && !is_account_closing(); }
    /// The account that last used the connection, or empty.
    const std::string& account() const { return account_; }
    std::size_t unsent_bytes() const;

private:
    enum class phase { idle, reading, waiting, answering, lingering };

    /// True unless the connection ends after its present answer for another reason than its
    /// account.
    bool is_kept_otherwise() const { return keep_alive_ && !context_.draining && !context_.sheds; }
    bool is_account_closing() const { return context_.closing_accounts.contains(account_); }

    static void on_readable(bufferevent*, void* self);
    static void on_written(bufferevent*, void* self);
    static void on_event(bufferevent*, short what, void* self);

    message_parser make_parser();
    void read_available();
    result<void> head_arrived(message_head head);
    void invite_body();
    void decide_on_head();
    void continue_with_body();
    bool peer_has_closed() const;
    bool head_is_overdue() const;
    void begin_request();
    std::size_t request_bytes() const;
    void update_revocable();
    bool hold_buffers();
    bool hold_request();
    void hold_after_read();
    void give_way(intake_shortage shortage);
    void end_for_shortage();
    head_decision shortage_refusal() const;
    void body_arrived(std::string_view piece);
    void request_complete();
    void refuse(const head_decision& decision);
    void refuse(unsigned status) { refuse(head_decision{head_action::refuse, status, {}, {}}); }
    void peer_gone();
    void linger();
    void finish_writing(std::size_t bytes_before, instant progress_at);
    std::size_t unacknowledged_bytes() const;
    void close();
    void set_read_timeout(microseconds length);
    void timed_out();

    ingress_context& context_;
    /// The claims refer to it, also when the server is gone.
    std::shared_ptr<intake_memory> intake_;
    bufferevent* stream_;
    /// For the connection and its buffers, until it closes.
    std::optional<intake_claim> claim_;
    /// For the request that is read. It goes on to the request's exchange.
    std::unique_ptr<intake_claim> request_claim_;
    /// Bytes that go out with the next write.
    std::string held_;
    ingress_limits limits_;
    message_parser parser_;
    phase phase_ = phase::idle;
    message_head head_;
    std::string body_;
    bool keep_alive_ = true;
    std::string account_;
    /// When the first byte of the present request came.
    instant reading_since_{};
    /// Tells the exchange that the peer went away.
    std::function<void()> gone_hook_;
    /// Identifies the present wait, so that the end of an earlier one has no effect.
    std::uint64_t wait_number_ = 0;
    instant waiting_since_{};
    microseconds waited_{};
    friend class connection_exchange;
    friend class connection_wait;
};

}  // namespace wrenswitch
