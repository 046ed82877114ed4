#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <vector>

#include "wrenswitch/core/time.hpp"

namespace wrenswitch {

class intake_claim;

/// How much all claims of a process may hold together. By default, without limit.
struct intake_settings {
    std::size_t max_bytes = std::numeric_limits<std::size_t>::max();
    std::size_t max_connections = std::numeric_limits<std::size_t>::max();
    /// What the receive buffers of all connections may hold, beyond the least that each one gets.
    std::size_t max_socket_bytes = std::numeric_limits<std::size_t>::max();
};

/// What a claim that has to give way lacks.
enum class intake_shortage { memory, connections };

/// How often since the start a claim gave way, or was refused, by what was short.
struct intake_counts {
    std::uint64_t for_memory = 0;
    std::uint64_t for_connections = 0;
};

/// The memory and the connections of a process for what its peers send. Every connection and every
/// request has a claim to a part. If a claim can't grow, others give way to it: those that have
/// held their memory for long and whose peers send little. A part of the memory is left for claims
/// that are smaller than the one that grows, so that large requests leave room for usual ones.
///
/// Claims refer to the memory; it must outlive them.
class intake_memory {
public:
    explicit intake_memory(const intake_settings& settings);
    ~intake_memory();
    intake_memory(const intake_memory&) = delete;
    intake_memory& operator=(const intake_memory&) = delete;

    /// Makes room for one more connection by closing another one. False if all are in use.
    bool make_room_for_connection(instant now);

    /// The most bytes that one claim can hold while there are no others.
    std::size_t max_claim_bytes() const;

    /// The size to set for the receive buffer of the next connection: the fewer bytes are left for
    /// such buffers, the smaller it is.
    std::size_t next_receive_buffer() const;

    /// True if a further connection needs another one to be closed.
    bool is_full() const { return connections_ >= settings_.max_connections; }

    std::size_t max_bytes() const { return settings_.max_bytes; }
    std::size_t used_bytes() const { return used_; }
    std::size_t connections() const { return connections_; }
    const intake_counts& counts() const { return counts_; }

private:
    friend class intake_claim;

    bool fits(const intake_claim& claim, std::size_t bytes) const;
    bool make_room(instant now, const intake_claim& claim, std::size_t bytes);
    /// The revocable claim that has been held the longest, if longer than `least`.
    intake_claim* longest_held(instant now, const intake_claim* except, microseconds least) const;
    void count(intake_shortage shortage);
    void add(intake_claim& claim);
    void remove(intake_claim& claim);

    intake_settings settings_;
    std::size_t used_ = 0;
    std::size_t connections_ = 0;
    std::size_t socket_bytes_ = 0;
    std::vector<intake_claim*> claims_;
    intake_counts counts_;
};

/// What a claim is for.
enum class intake_kind { connection, request };

/// One holder's part of an intake memory. It ends with the object.
class intake_claim {
public:
    /// Asked to give its part back: it has to release its memory before it returns, as far as it
    /// can. Called while the claim is revocable; the claim no longer is then.
    using revoke_hook = std::function<void(intake_shortage)>;

    intake_claim(intake_memory& memory, intake_kind kind, instant now, revoke_hook on_revoked);
    ~intake_claim();
    intake_claim(const intake_claim&) = delete;
    intake_claim& operator=(const intake_claim&) = delete;

    /// Sets how many bytes the holder has. False if there is no room and this claim has to give way
    /// itself; it then keeps the bytes that it had.
    bool hold(instant now, std::size_t bytes);

    /// Records the size that was set for the receive buffer of the connection.
    void record_receive_buffer(std::size_t size);

    /// Records bytes that the peer has sent.
    void record_arrival(instant now, std::size_t bytes);

    /// Whether the holder can give its part back. At first it can't.
    void set_revocable(bool revocable) { revocable_ = revocable; }

    std::size_t bytes() const { return bytes_; }

private:
    friend class intake_memory;

    double arrivals_per_second(instant now) const;
    /// How long `bytes` would have been held at the rate at which the peer sends now, and how long
    /// nothing has come.
    microseconds holding_time(instant now, std::size_t bytes) const;
    void revoke(intake_shortage shortage);

    intake_memory& memory_;
    intake_kind kind_;
    revoke_hook on_revoked_;
    std::size_t bytes_ = 0;
    std::size_t socket_bytes_ = 0;
    bool revocable_ = false;
    instant last_arrival_;
    double arrivals_per_second_ = 0.0;
    std::size_t index_ = 0;
};

}  // namespace wrenswitch
