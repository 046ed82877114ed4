#include "core/output_queue.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace wrenswitch {
namespace {

/// A pipe that is writable takes this much without waiting; POSIX promises no more.
constexpr std::size_t safe_write = 512;

}  // namespace

bool output_queue::writable() const {
    pollfd look{descriptor_, POLLOUT, 0};
    return ::poll(&look, 1, 0) == 1 && (look.revents & POLLOUT) != 0;
}

void output_queue::add(std::string line) {
    flush();
    if (bytes_ + line.size() > most_bytes_) {
        dropped_ += 1;
        unsaid_ += 1;
        return;
    }
    if (unsaid_ > 0) {
        const std::string said = "event=log_lines_dropped lines=" + std::to_string(unsaid_) + "\n";
        unsaid_ = 0;
        bytes_ += said.size();
        lines_.push_back(said);
    }
    bytes_ += line.size();
    lines_.push_back(std::move(line));
    flush();
}

void output_queue::flush() {
    while (!lines_.empty() && writable()) {
        std::string& first = lines_.front();
        const ssize_t written =
            ::write(descriptor_, first.data(), std::min(first.size(), safe_write));
        if (written <= 0) {
            return;
        }
        bytes_ -= static_cast<std::size_t>(written);
        first.erase(0, static_cast<std::size_t>(written));
        if (first.empty()) {
            lines_.pop_front();
        }
    }
}

}  // namespace wrenswitch
