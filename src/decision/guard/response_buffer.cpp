#include "wrenswitch/decision/guard/response_buffer.hpp"

namespace wrenswitch {

void response_buffer::begin(const digest& key) {
    discard(key);
    responses_[key] = buffered_response{};
}

void response_buffer::set_head(const digest& key, unsigned status, std::string_view content_type) {
    const auto found = responses_.find(key);
    if (found == responses_.end()) {
        return;
    }
    found->second.status = status;
    found->second.content_type = content_type;
}

void response_buffer::append(const digest& key, std::string_view chunk) {
    const auto found = responses_.find(key);
    if (found == responses_.end()) {
        return;
    }
    found->second.chunks.emplace_back(chunk);
    found->second.bytes += chunk.size();
    total_bytes_ += chunk.size();
    evict_to_fit(key);
}

void response_buffer::finish(const digest& key, instant now, bool complete, tokens cost) {
    const auto found = responses_.find(key);
    if (found == responses_.end()) {
        return;
    }
    found->second.finished = true;
    found->second.complete = complete;
    found->second.cost = cost;
    found->second.finished_at = now;
    finished_order_.push_back(key);
}

void response_buffer::discard(const digest& key) {
    const auto found = responses_.find(key);
    if (found == responses_.end()) {
        return;
    }
    total_bytes_ -= found->second.bytes;
    responses_.erase(found);
}

const buffered_response* response_buffer::find(const digest& key) const {
    const auto found = responses_.find(key);
    return found == responses_.end() ? nullptr : &found->second;
}

void response_buffer::expire(instant now) {
    while (!finished_order_.empty()) {
        const auto found = responses_.find(finished_order_.front());
        const bool gone = found == responses_.end() || !found->second.finished;
        if (!gone && now - found->second.finished_at < settings_.retention) {
            return;
        }
        if (!gone) {
            discard(finished_order_.front());
        }
        finished_order_.pop_front();
    }
}

void response_buffer::evict_to_fit(const digest& growing_key) {
    while (total_bytes_ > settings_.max_bytes && !finished_order_.empty()) {
        const digest oldest = finished_order_.front();
        finished_order_.pop_front();
        const auto found = responses_.find(oldest);
        if (found != responses_.end() && found->second.finished) {
            discard(oldest);
        }
    }
    if (total_bytes_ > settings_.max_bytes) {
        discard(growing_key);
    }
}

}  // namespace wrenswitch
