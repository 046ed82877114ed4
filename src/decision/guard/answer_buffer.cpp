#include "wrenswitch/decision/guard/answer_buffer.hpp"

namespace wrenswitch {

void answer_buffer::begin(const digest& key) {
    drop(key);
    answers_[key] = kept_answer{};
}

void answer_buffer::set_head(const digest& key, unsigned status, std::string_view content_type) {
    const auto found = answers_.find(key);
    if (found == answers_.end()) {
        return;
    }
    found->second.status = status;
    found->second.content_type = content_type;
}

void answer_buffer::append(const digest& key, std::string_view chunk) {
    const auto found = answers_.find(key);
    if (found == answers_.end()) {
        return;
    }
    found->second.chunks.emplace_back(chunk);
    found->second.bytes += chunk.size();
    bytes_ += chunk.size();
    make_room(key);
}

void answer_buffer::end(const digest& key, instant now, bool whole, tokens cost) {
    const auto found = answers_.find(key);
    if (found == answers_.end()) {
        return;
    }
    found->second.ended = true;
    found->second.whole = whole;
    found->second.cost = cost;
    found->second.ended_at = now;
    ended_.push_back(key);
}

void answer_buffer::drop(const digest& key) {
    const auto found = answers_.find(key);
    if (found == answers_.end()) {
        return;
    }
    bytes_ -= found->second.bytes;
    answers_.erase(found);
}

const kept_answer* answer_buffer::find(const digest& key) const {
    const auto found = answers_.find(key);
    return found == answers_.end() ? nullptr : &found->second;
}

void answer_buffer::expire(instant now) {
    while (!ended_.empty()) {
        const auto found = answers_.find(ended_.front());
        const bool gone = found == answers_.end() || !found->second.ended;
        if (!gone && now - found->second.ended_at < settings_.keep_ended_for) {
            return;
        }
        if (!gone) {
            drop(ended_.front());
        }
        ended_.pop_front();
    }
}

void answer_buffer::make_room(const digest& growing) {
    while (bytes_ > settings_.most_bytes && !ended_.empty()) {
        const digest oldest = ended_.front();
        ended_.pop_front();
        const auto found = answers_.find(oldest);
        if (found != answers_.end() && found->second.ended) {
            drop(oldest);
        }
    }
    if (bytes_ > settings_.most_bytes) {
        drop(growing);
    }
}

}  // namespace wrenswitch
