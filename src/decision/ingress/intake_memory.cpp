#include "wrenswitch/decision/ingress/intake_memory.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace wrenswitch {
namespace {

/// The part of the memory that is left for claims smaller than the one that grows.
constexpr std::size_t reserve_divisor = 8;

/// The time over which arrivals are averaged.
constexpr microseconds arrival_time_constant = seconds(1);

/// What a claim counts as receiving at least, so that of two silent claims the larger one gives
/// way.
constexpr double min_arrivals_per_second = 16.0 * 1024.0;

/// Bounds of the size that is set for a receive buffer, and the part of what is left for such
/// buffers that the next one may take.
constexpr std::size_t min_receive_buffer = 8U * 1024U;
constexpr std::size_t max_receive_buffer = 128U * 1024U;
constexpr std::size_t receive_buffer_divisor = 128;

/// The system allows for as much again for its own records, and fills it with data if it can.
constexpr std::size_t system_factor = 2;

}  // namespace

intake_memory::intake_memory(const intake_settings& settings) : settings_(settings) {}

intake_memory::~intake_memory() = default;

std::size_t intake_memory::max_claim_bytes() const {
    return settings_.max_bytes - settings_.max_bytes / reserve_divisor;
}

std::size_t intake_memory::next_receive_buffer() const {
    const std::size_t left =
        settings_.max_socket_bytes - std::min(socket_bytes_, settings_.max_socket_bytes);
    return std::clamp(left / system_factor / receive_buffer_divisor, min_receive_buffer,
                      max_receive_buffer);
}

bool intake_memory::fits(const intake_claim& claim, std::size_t bytes) const {
    const std::size_t others = used_ - claim.bytes_;
    if (others > settings_.max_bytes) {
        return false;
    }
    const std::size_t reserve = std::min(bytes, settings_.max_bytes / reserve_divisor);
    const std::size_t room = settings_.max_bytes - others;
    return reserve <= room && bytes <= room - reserve;
}

bool intake_memory::make_room(instant now, const intake_claim& claim, std::size_t bytes) {
    const microseconds own = claim.holding_time(now, bytes);
    while (!fits(claim, bytes)) {
        intake_claim* longest = longest_held(now, &claim, own);
        if (longest == nullptr) {
            return false;
        }
        longest->revoke(intake_shortage::memory);
    }
    return true;
}

bool intake_memory::make_room_for_connection(instant now) {
    while (connections_ >= settings_.max_connections) {
        intake_claim* longest = longest_held(now, nullptr, microseconds(0));
        if (longest == nullptr) {
            count(intake_shortage::connections);
            return false;
        }
        longest->revoke(intake_shortage::connections);
    }
    return true;
}

intake_claim* intake_memory::longest_held(instant now, const intake_claim* except,
                                          microseconds least) const {
    intake_claim* longest = nullptr;
    for (intake_claim* each : claims_) {
        if (each == except || !each->revocable_) {
            continue;
        }
        const microseconds held = each->holding_time(now, each->bytes_);
        if (held > least) {
            longest = each;
            least = held;
        }
    }
    return longest;
}

void intake_memory::count(intake_shortage shortage) {
    (shortage == intake_shortage::memory ? counts_.for_memory : counts_.for_connections) += 1;
}

void intake_memory::add(intake_claim& claim) {
    claim.index_ = claims_.size();
    claims_.push_back(&claim);
    connections_ += claim.kind_ == intake_kind::connection ? 1 : 0;
}

void intake_memory::remove(intake_claim& claim) {
    claims_.back()->index_ = claim.index_;
    claims_[claim.index_] = claims_.back();
    claims_.pop_back();
    connections_ -= claim.kind_ == intake_kind::connection ? 1 : 0;
    used_ -= claim.bytes_;
    socket_bytes_ -= claim.socket_bytes_;
}

intake_claim::intake_claim(intake_memory& memory, intake_kind kind, instant now,
                           revoke_hook on_revoked)
    : memory_(memory), kind_(kind), on_revoked_(std::move(on_revoked)), last_arrival_(now) {
    memory_.add(*this);
}

intake_claim::~intake_claim() {
    memory_.remove(*this);
}

bool intake_claim::hold(instant now, std::size_t bytes) {
    const bool grows = bytes > bytes_;
    if (grows && !memory_.fits(*this, bytes) && !memory_.make_room(now, *this, bytes)) {
        memory_.count(intake_shortage::memory);
        return false;
    }
    memory_.used_ += bytes;
    memory_.used_ -= bytes_;
    bytes_ = bytes;
    return true;
}

void intake_claim::record_receive_buffer(std::size_t size) {
    memory_.socket_bytes_ -= socket_bytes_;
    socket_bytes_ = system_factor * size;
    memory_.socket_bytes_ += socket_bytes_;
}

void intake_claim::record_arrival(instant now, std::size_t bytes) {
    arrivals_per_second_ =
        arrivals_per_second(now) + static_cast<double>(bytes) / as_seconds(arrival_time_constant);
    last_arrival_ = now;
}

double intake_claim::arrivals_per_second(instant now) const {
    const double age = as_seconds(now - last_arrival_) / as_seconds(arrival_time_constant);
    return arrivals_per_second_ * std::exp(-std::max(0.0, age));
}

microseconds intake_claim::holding_time(instant now, std::size_t bytes) const {
    const double rate = min_arrivals_per_second + arrivals_per_second(now);
    return from_seconds(static_cast<double>(bytes) / rate) +
           std::max<microseconds>(microseconds(0), now - last_arrival_);
}

void intake_claim::revoke(intake_shortage shortage) {
    revocable_ = false;
    memory_.count(shortage);
    // The hook may end the claim.
    const revoke_hook hook = on_revoked_;
    if (hook) {
        hook(shortage);
    }
}

}  // namespace wrenswitch
