#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace wrenswitch {

/// Room for several of the largest responses, well below the memory of a small host.
constexpr std::size_t max_held_response_bytes = 32U * 1024U * 1024U;

/// The memory for response bodies that a gateway holds until they are complete. Each may take as
/// much as the others have left free, so that one body without end leaves room for the rest.
class response_memory {
public:
    explicit response_memory(std::size_t capacity) : capacity_(capacity) {}

    /// The bytes of all bodies.
    std::size_t used() const { return used_; }

private:
    friend class held_response;
    std::size_t capacity_;
    std::size_t used_ = 0;
};

/// The body of one response, up to its end. The memory must outlive it.
class held_response {
public:
    explicit held_response(response_memory& memory) : memory_(memory) {}
    ~held_response() { clear(); }
    held_response(const held_response&) = delete;
    held_response& operator=(const held_response&) = delete;

    /// False if the body is too large for the memory that is free; the bytes are not added then.
    bool append(std::string_view bytes) {
        const std::size_t others = memory_.used_ - body_.size();
        const std::size_t wanted = body_.size() + bytes.size();
        if (wanted > (memory_.capacity_ - others) / 2) {
            return false;
        }
        body_.append(bytes);
        memory_.used_ += bytes.size();
        return true;
    }

    void clear() {
        memory_.used_ -= body_.size();
        // An assignment would keep the memory.
        std::string().swap(body_);
    }

    std::string_view bytes() const { return body_; }

private:
    response_memory& memory_;
    std::string body_;
};

}  // namespace wrenswitch
