#pragma once

#include <memory>
#include <string>

#include "wrenswitch/core/time.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/log_service.hpp"

namespace wrenswitch {

/// Appends records to a stream one at a time. An append without an answer is made again until the
/// record is seen in the stream; since records are numbered, a second copy does no harm.
class record_appender {
public:
    record_appender(event_loop& loop, log_service& log, std::string stream);
    ~record_appender();
    record_appender(const record_appender&) = delete;
    record_appender& operator=(const record_appender&) = delete;

    /// Appends a record. There must be none under way.
    void submit(std::string data);

    /// The record was seen in the stream.
    void confirm();

    /// The record no longer matters.
    void abandon() { confirm(); }

    bool busy() const { return busy_; }

    /// True if the record under way has waited for longer than a healthy log takes.
    bool slow(instant now) const;

private:
    void append();

    event_loop& loop_;
    log_service& log_;
    std::string stream_;
    std::string data_;
    std::uint64_t number_ = 0;
    instant submitted_{};
    microseconds backoff_{};
    bool busy_ = false;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace wrenswitch
