#pragma once

#include <functional>
#include <memory>
#include <utility>

#include "drivers/ingress_connection.hpp"

namespace wrenswitch {

/// The wait of one request behind its head.
class connection_wait final : public waiting_head {
public:
    connection_wait(const std::shared_ptr<ingress_connection>& connection, std::uint64_t number)
        : connection_(connection), number_(number) {}

    void end_wait(const head_decision& decision) override {
        const auto connection = connection_.lock();
        if (connection && is_present(*connection)) {
            connection->end_wait(decision);
        }
    }

    void on_closed(std::function<void()> action) override {
        const auto connection = connection_.lock();
        if (connection && connection->open() && connection->wait_number_ == number_) {
            connection->gone_hook_ = std::move(action);
        }
    }

private:
    bool is_present(const ingress_connection& connection) const {
        return connection.open() && connection.phase_ == ingress_connection::phase::waiting &&
               connection.wait_number_ == number_;
    }

    std::weak_ptr<ingress_connection> connection_;
    std::uint64_t number_;
};

}  // namespace wrenswitch
