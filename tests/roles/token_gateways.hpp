#pragma once

#include <bus.pb.h>

#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "roles/gateway/token_exchange.hpp"
#include "support/loop_runner.hpp"

namespace wrenswitch::testing {

inline constexpr const char* account = "a";
inline constexpr tokens limit = 100'000;

/// A gateway with a real bus. Appends to the ledger take effect at once in a table that all
/// gateways share.
class gateway_process {
public:
    gateway_process(event_loop& loop, grant_table& shared, int number, std::string own_region = {})
        : host("h" + std::to_string(number)),
          region(std::move(own_region)),
          bus(message_bus::open(loop, {"tcp://127.0.0.1:0", {}, {}}).value()),
          allocators(host, allocator_settings(region)),
          grants(host, incarnation_id(static_cast<std::uint64_t>(number)), {}, shared),
          wait_queue(grants),
          exchange(loop, *bus, allocators, grants, wait_queue, counters, short_settings(),
                   {[this, &shared] { append(shared); }, [this] { return can_allocate; },
                    [this] { return log_reachable; }, [this] { return link_saturated; },
                    [this](const std::string& host_name) { unresponsive.push_back(host_name); }}) {
        grants.set_limit(account, limit);
        grants.set_draw_ahead_filter([this](const std::string& name) {
            return allocators.is_allocator(monotonic_now(), name);
        });
        bus->on_message([this](const message_origin& origin, const wire::Envelope& message) {
            if (accepts_messages) {
                exchange.on_message(origin, message);
            } else {
                unhandled.push_back(message);
            }
        });
        bus->on_undelivered([this](const std::string&, const wire::Envelope& message) {
            exchange.on_undelivered(message);
        });
    }

    static token_exchange_settings short_settings() {
        token_exchange_settings settings;
        settings.reply_timeout = milliseconds(100);
        settings.wait_timeout = milliseconds(300);
        settings.short_wait_timeout = milliseconds(100);
        return settings;
    }

    void append(grant_table& shared) {
        if (!log_reachable) {
            return;
        }
        for (const grant_record& record : grants.compose_records(monotonic_now())) {
            shared.apply(record);
        }
        grants.on_append_resolved();
        wait_queue.serve(monotonic_now());
    }

    static token_allocator_settings allocator_settings(const std::string& region) {
        token_allocator_settings settings;
        settings.own_region = region;
        settings.remote_round_trip = milliseconds(500);
        return settings;
    }

    cluster_member self() const {
        return {host, incarnation_id{1}, bus->endpoint(), 1.0, {}, region};
    }

    std::string host;
    std::string region;
    bool accepts_messages = true;
    bool can_allocate = true;
    bool log_reachable = true;
    bool link_saturated = false;
    std::vector<wire::Envelope> unhandled;
    std::vector<std::string> unresponsive;
    metrics counters;
    std::unique_ptr<message_bus> bus;
    token_allocator_selector allocators;
    grant_holder grants;
    token_wait_queue wait_queue;
    token_exchange exchange;
};

/// Three gateways that know each other.
struct exchange_fixture : loop_runner {
    grant_table table;
    std::vector<std::unique_ptr<gateway_process>> gateways;
    std::optional<reserve_outcome> outcome;
    std::shared_ptr<token_exchange::handle> handle;

    exchange_fixture() {
        for (int number = 1; number <= 3; ++number) {
            gateways.push_back(std::make_unique<gateway_process>(loop, table, number));
        }
        for (const auto& each : gateways) {
            for (const auto& other : gateways) {
                each->allocators.apply(other->self());
            }
        }
    }

    gateway_process& by_host(const std::string& host) {
        for (const auto& each : gateways) {
            if (each->host == host) {
                return *each;
            }
        }
        throw std::out_of_range(host);
    }

    gateway_process& allocator() {
        return by_host(gateways.front()->allocators.allocator_of(monotonic_now(), account)->host);
    }

    /// The allocator that is queried after the first one.
    gateway_process& second_allocator() {
        const std::vector<std::string> tried{allocator().host};
        return by_host(
            gateways.front()->allocators.allocator_of(monotonic_now(), account, tried)->host);
    }

    /// A gateway that is neither of the two.
    gateway_process& requester() {
        for (const auto& each : gateways) {
            if (each->host != allocator().host && each->host != second_allocator().host) {
                return *each;
            }
        }
        throw std::out_of_range("asker");
    }

    /// Reserves at a gateway and waits for the outcome.
    reserve_outcome reserve(gateway_process& gateway, tokens amount) {
        outcome.reset();
        const auto found = gateway.exchange.reserve(
            monotonic_now(), account, amount, [this](reserve_outcome result) { outcome = result; });
        if (!found.waiting_handle) {
            return found.outcome;
        }
        handle = found.waiting_handle;
        BOOST_REQUIRE(run_until([this] { return outcome.has_value(); }));
        return *outcome;
    }

    /// The tokens that can still be spent at any process.
    tokens spendable() {
        tokens sum = limit - table.granted(account);
        for (const auto& each : gateways) {
            sum += each->grants.free_tokens(account);
        }
        return sum;
    }
};

}  // namespace wrenswitch::testing
