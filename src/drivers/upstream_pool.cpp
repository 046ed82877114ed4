#include "wrenswitch/drivers/upstream_pool.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include "drivers/outgoing_message.hpp"
#include "drivers/upstream_connection.hpp"

namespace wrenswitch {
namespace {

using connection_pointer = std::shared_ptr<upstream_connection>;

/// Shorter bodies are copied behind the head rather than kept alive.
constexpr std::size_t min_uncopied_bytes = 16U * 1024U;

outgoing_message message_of(const upstream_request& request) {
    outgoing_message message;
    std::string& text = message.text;
    text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const http_header& header : request.headers) {
        append_header(text, header.name, header.value);
    }
    const bool has_body = !request.body.empty() || request.method == "POST" ||
                          request.method == "PUT" || request.method == "PATCH";
    if (has_body) {
        append_header(text, "Content-Length", std::to_string(request.body.size()));
    }
    text += "\r\n";
    if (request.body_owner && request.body.size() >= min_uncopied_bytes) {
        message.body = request.body;
        message.body_owner = request.body_owner;
    } else {
        text += request.body;
    }
    return message;
}

class pooled_call final : public upstream_call {
public:
    explicit pooled_call(connection_pointer connection) : connection_(std::move(connection)) {}
    ~pooled_call() override {
        if (!*ended_) {
            connection_->abandon();
        }
    }
    pooled_call(const pooled_call&) = delete;
    pooled_call& operator=(const pooled_call&) = delete;

    bool sent() const override { return connection_->sent(); }
    std::size_t unsent_bytes() const override { return connection_->unsent_bytes(); }
    void call_off() override {
        if (!*ended_) {
            connection_->half_close();
        }
    }

    /// Set by the hooks at the call's end, since the connection then belongs to others.
    const std::shared_ptr<bool>& ended() const { return ended_; }

private:
    connection_pointer connection_;
    std::shared_ptr<bool> ended_ = std::make_shared<bool>(false);
};

/// The call that found no room for another connection.
class failed_call final : public upstream_call {
public:
    explicit failed_call(std::shared_ptr<bool> wanted) : wanted_(std::move(wanted)) {}
    ~failed_call() override { *wanted_ = false; }
    failed_call(const failed_call&) = delete;
    failed_call& operator=(const failed_call&) = delete;
    bool sent() const override { return false; }
    std::size_t unsent_bytes() const override { return 0; }
    void call_off() override {}

private:
    std::shared_ptr<bool> wanted_;
};

}  // namespace

std::string_view name_of(upstream_failure failure) {
    switch (failure) {
        case upstream_failure::not_sent:
            return "not_sent";
        case upstream_failure::cut_short:
            return "cut_short";
        case upstream_failure::broken:
            return "broken";
        case upstream_failure::malformed:
            return "malformed";
    }
    return "unnamed";
}

struct upstream_pool::shared_state {
    event_loop& loop;
    http_address address;
    upstream_pool_settings settings;
    std::vector<connection_pointer> connections;
    std::uint64_t made = 0;

    /// The connection that rested least, so that the others can run out.
    connection_pointer take_idle(microseconds longest_rest) const {
        const instant now = monotonic_now();
        const auto usable = [now, longest_rest](const connection_pointer& candidate) {
            return candidate->usable_after(now, longest_rest);
        };
        const auto found = std::find_if(connections.rbegin(), connections.rend(), usable);
        return found == connections.rend() ? nullptr : *found;
    }

    /// Puts a connection that became idle last, or forgets one that ended.
    void changed(upstream_connection& connection) {
        const auto same = [&connection](const connection_pointer& candidate) {
            return candidate.get() == &connection;
        };
        const auto found = std::find_if(connections.begin(), connections.end(), same);
        if (found == connections.end()) {
            return;
        }
        connection_pointer kept = std::move(*found);
        connections.erase(found);
        if (kept->open()) {
            connections.push_back(std::move(kept));
            return;
        }
        // The connection may still be on the stack.
        loop.call_after(microseconds(0), [kept = std::move(kept)] {});
    }
};

upstream_pool::upstream_pool(event_loop& loop, http_address address,
                             upstream_pool_settings settings)
    : state_(
          std::make_shared<shared_state>(shared_state{loop, std::move(address), settings, {}, 0})) {
}

upstream_pool::~upstream_pool() {
    const auto open = std::exchange(state_->connections, {});
    for (const connection_pointer& connection : open) {
        if (connection->idle()) {
            connection->abandon();
        }
    }
}

std::unique_ptr<upstream_call> upstream_pool::send(const upstream_request& request,
                                                   upstream_hooks hooks) {
    connection_pointer connection =
        request.needs_own_connection ? nullptr : state_->take_idle(request.longest_rest);
    if (!connection && state_->connections.size() >= state_->settings.most_connections) {
        auto wanted = std::make_shared<bool>(true);
        state_->loop.call_after(microseconds(0), [wanted, on_failed = std::move(hooks.on_failed)] {
            if (*wanted) {
                on_failed(upstream_failure::not_sent);
            }
        });
        return std::make_unique<failed_call>(std::move(wanted));
    }
    if (!connection) {
        const std::weak_ptr<shared_state> pool = state_;
        connection = std::make_shared<upstream_connection>(state_->loop, state_->settings,
                                                           [pool](upstream_connection& changed) {
                                                               if (const auto alive = pool.lock()) {
                                                                   alive->changed(changed);
                                                               }
                                                           });
        connection->connect(state_->address);
        state_->connections.push_back(connection);
        state_->made += 1;
    }
    auto call = std::make_unique<pooled_call>(connection);
    const std::shared_ptr<bool> ended = call->ended();
    hooks.on_end = [ended, told = std::move(hooks.on_end)] {
        *ended = true;
        told();
    };
    hooks.on_failed = [ended, told = std::move(hooks.on_failed)](upstream_failure failure) {
        *ended = true;
        told(failure);
    };
    if (request.needs_own_connection) {
        connection->close_after_answer();
    }
    connection->begin(message_of(request), request.method == "HEAD", std::move(hooks));
    return call;
}

const http_address& upstream_pool::address() const {
    return state_->address;
}

std::size_t upstream_pool::connections() const {
    return state_->connections.size();
}

std::uint64_t upstream_pool::connections_made() const {
    return state_->made;
}

}  // namespace wrenswitch
