#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>
#include <string>
#include <utility>

#include "support/child_process.hpp"

namespace wrenswitch::testing {

/// Samples what a process uses: its memory with what its sockets hold unread, and its descriptors.
class process_watch {
public:
    /// `ports` are the ports at which the process listens.
    process_watch(test::child_process& process, std::set<std::uint16_t> ports)
        : process_(process), ports_(std::move(ports)) {}

    void sample() {
        const std::size_t resident = process_.resident_kb() * bytes_per_kb;
        most_bytes_ = std::max(most_bytes_, resident + unread_bytes());
        most_descriptors_ = std::max(most_descriptors_, open_descriptors());
    }

    /// The most memory that a sample showed, or that the process had in between by itself.
    std::size_t most_bytes() const { return std::max(most_bytes_, peak_resident_bytes()); }

    /// Memory now, with what the sockets hold unread.
    std::size_t bytes() const { return process_.resident_kb() * bytes_per_kb + unread_bytes(); }

    std::size_t most_descriptors() const { return most_descriptors_; }

private:
    static constexpr std::size_t bytes_per_kb = 1024;

    std::size_t peak_resident_bytes() const {
        std::ifstream file("/proc/" + std::to_string(process_.pid()) + "/status");
        std::string line;
        while (std::getline(file, line)) {
            if (line.starts_with("VmHWM:")) {
                return std::stoul(line.substr(6)) * bytes_per_kb;
            }
        }
        return 0;
    }

    std::size_t open_descriptors() const {
        std::error_code unreadable;
        const std::filesystem::directory_iterator all(
            "/proc/" + std::to_string(process_.pid()) + "/fd", unreadable);
        return static_cast<std::size_t>(std::distance(begin(all), end(all)));
    }

    /// The lines of the system's table: number, local address, remote address, state, queues.
    std::size_t unread_bytes() const {
        constexpr int hexadecimal = 16;
        constexpr const char* listening = "0A";
        std::ifstream file("/proc/net/tcp");
        std::string line;
        std::getline(file, line);
        std::size_t sum = 0;
        while (std::getline(file, line)) {
            std::istringstream fields(line);
            std::string number;
            std::string local;
            std::string remote;
            std::string state;
            std::string queues;
            fields >> number >> local >> remote >> state >> queues;
            const auto port = static_cast<std::uint16_t>(
                std::stoul(local.substr(local.find(':') + 1), nullptr, hexadecimal));
            if (state != listening && ports_.contains(port)) {
                sum += std::stoul(queues.substr(queues.find(':') + 1), nullptr, hexadecimal);
            }
        }
        return sum;
    }

    test::child_process& process_;
    std::set<std::uint16_t> ports_;
    std::size_t most_bytes_ = 0;
    std::size_t most_descriptors_ = 0;
};

}  // namespace wrenswitch::testing
