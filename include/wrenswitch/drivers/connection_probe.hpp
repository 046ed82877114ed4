#pragma once

#include <functional>
#include <memory>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/http_client.hpp"

namespace wrenswitch {

/// What came of an attempt to connect.
enum class probe_answer {
    /// Something listens there.
    accepted,
    /// The host answered that nothing does.
    refused,
    /// Nothing came in time, or the attempt failed on this side: nothing is known.
    unknown,
};

/// Connects to an address and closes at once, to learn whether anything listens there. No byte is
/// sent. The hook is called once, never from within; destroying the probe calls it off.
class connection_probe {
public:
    using answer_hook = std::function<void(probe_answer)>;

    connection_probe(event_loop& loop, const http_address& address, microseconds longest,
                     answer_hook told);
    ~connection_probe();
    connection_probe(const connection_probe&) = delete;
    connection_probe& operator=(const connection_probe&) = delete;

private:
    struct state;
    std::unique_ptr<state> state_;
};

}  // namespace wrenswitch
