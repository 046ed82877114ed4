#include "wrenswitch/drivers/stream_follower.hpp"

#include <algorithm>

#include "wrenswitch/core/log.hpp"

namespace wrenswitch {
namespace {

constexpr std::size_t page_bytes = 1024U * 1024U;
constexpr microseconds long_poll = seconds(20);
constexpr microseconds first_backoff = milliseconds(50);
constexpr microseconds longest_backoff = seconds(1);

log_offset after(log_offset offset) {
    return log_offset{raw(offset) + 1};
}

}  // namespace

stream_follower::stream_follower(event_loop& loop, log_service& log, std::string stream,
                                 stream_follower_hooks hooks)
    : loop_(loop),
      log_(log),
      stream_(std::move(stream)),
      hooks_(std::move(hooks)),
      backoff_(first_backoff) {}

stream_follower::~stream_follower() {
    *alive_ = false;
}

void stream_follower::start() {
    read_next();
}

void stream_follower::read_next() {
    const bool searching = phase_ == phase::search_snapshot;
    const log_offset from = searching ? search_from_ : after(position_);
    const microseconds wait = live_ && !searching ? long_poll : microseconds(0);
    log_.read(stream_, from, page_bytes, wait, [this, alive = alive_](result<log_page> page) {
        if (*alive) {
            on_page(std::move(page));
        }
    });
}

void stream_follower::on_page(result<log_page> page) {
    if (!page && page.error().code == error_code::expired) {
        on_expired();
        return;
    }
    if (!page) {
        set_reachable(false);
        retry_later();
        return;
    }
    set_reachable(true);
    backoff_ = first_backoff;
    if (phase_ == phase::search_snapshot) {
        on_search_page(page.value());
        return;
    }
    apply_page(page.value());
    read_next();
}

void stream_follower::on_expired() {
    set_reachable(true);
    log_event(log_level::warning, "stream_position_expired",
              {{"stream", stream_}, {"position", std::to_string(raw(position_))}});
    live_ = false;
    phase_ = phase::search_snapshot;
    assembler_ = snapshot_assembler();
    // Offset zero stands for the oldest record that is kept.
    search_from_ = log_offset{};
    read_next();
}

void stream_follower::on_search_page(const log_page& page) {
    for (const log_record& record : page.records) {
        if (const auto chunk = hooks_.chunk_of(record.data)) {
            assembler_.add(*chunk);
        }
        search_from_ = after(record.offset);
    }
    if (search_from_ < page.end && !page.records.empty()) {
        read_next();
        return;
    }
    finish_search(page);
}

void stream_follower::finish_search(const log_page& page) {
    const auto& best = assembler_.best();
    const bool usable = best.has_value() && after(best->as_of) >= page.first;
    if (!usable || !hooks_.load(*best)) {
        if (!stranded_) {
            log_event(log_level::error, "stream_without_usable_snapshot", {{"stream", stream_}});
        }
        stranded_ = true;
        search_from_ = log_offset{};
        retry_later();
        return;
    }
    stranded_ = false;
    position_ = best->as_of;
    phase_ = phase::tail;
    log_event(log_level::information, "stream_resumed_from_snapshot",
              {{"stream", stream_}, {"as_of", std::to_string(raw(position_))}});
    read_next();
}

void stream_follower::apply_page(const log_page& page) {
    const std::shared_ptr<bool> alive = alive_;
    for (const log_record& record : page.records) {
        if (record.offset <= position_) {
            continue;
        }
        position_ = record.offset;
        hooks_.apply(record.offset, record.data);
        if (!*alive) {
            return;
        }
    }
    if (after(position_) >= page.end) {
        live_ = true;
        hooks_.caught_up();
    }
}

void stream_follower::retry_later() {
    const microseconds wait = backoff_;
    backoff_ = std::min(backoff_ * 2, longest_backoff);
    loop_.call_after(wait, [this, alive = alive_] {
        if (*alive) {
            read_next();
        }
    });
}

void stream_follower::set_reachable(bool reachable) {
    if (reachable_ == reachable) {
        return;
    }
    reachable_ = reachable;
    log_event(reachable ? log_level::information : log_level::warning,
              reachable ? "log_reachable" : "log_unreachable", {{"stream", stream_}});
    hooks_.reachable(reachable);
}

}  // namespace wrenswitch
