#pragma once

#include <deque>
#include <limits>
#include <map>
#include <string>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/drivers/event_loop.hpp"
#include "wrenswitch/drivers/keyed_log.hpp"

namespace wrenswitch::testing {

/// A keyed log in memory, shared by several readers, with the faults that a platform's store has.
class fake_keyed_log final : public keyed_log {
public:
    explicit fake_keyed_log(event_loop& loop) : loop_(loop) {}

    /// Calls answer with an error and do nothing.
    bool down = false;
    /// The share of appends that are done and not answered well.
    double lost_answers = 0.0;
    /// The share of appends that seem to fail and are tried later, if their condition still holds.
    double late_appends = 0.0;
    microseconds delay = milliseconds(1);
    /// The maximum number of records in one reply to a read.
    std::size_t most_records_per_page = std::numeric_limits<std::size_t>::max();
    /// The number of records returned by all calls.
    std::size_t records_read = 0;
    random_source random{7};
    std::size_t appends_done = 0;
    /// The number of calls of each kind, whatever their outcome.
    std::size_t newest_calls = 0;
    std::size_t read_calls = 0;
    std::size_t append_calls = 0;

    void put(const std::string& log, const std::string& key, std::optional<std::string> value) {
        records_[log].push_back({key, std::move(value), records_[log].size()});
        answer_held();
    }

    /// The store generation reported in replies.
    std::uint64_t store_generation = 1;

    /// Copies all current records for restore_copy().
    void take_copy() { copy_ = records_; }

    /// Restores the records of the copy under the next generation. Later records are lost, their
    /// offsets are reused, and held reads fail.
    void restore_copy() {
        records_ = copy_;
        ++store_generation;
        for (const held_read& read : std::exchange(held_, {})) {
            loop_.call_after(microseconds(0), [read] {
                read.done(failed(error_code::unavailable, "connection closed"));
            });
        }
    }

    /// Drops the history below an offset; the newest of each key stay.
    void forget_before(const std::string& log, std::uint64_t offset) { first_[log] = offset; }

    std::uint64_t generation() const override { return store_generation; }

    std::uint64_t end_of(const std::string& log) { return records_[log].size(); }

    void newest(std::string_view log, page_hook done) override {
        newest_calls += 1;
        loop_.call_after(delay, [this, name = std::string(log), done] {
            if (down) {
                done(failed(error_code::unavailable, "down"));
                return;
            }
            std::map<std::string, keyed_record> last;
            for (const keyed_record& record : records_[name]) {
                last[record.key] = record;
            }
            keyed_page page;
            page.generation = store_generation;
            page.end = records_[name].size();
            for (auto& [key, record] : last) {
                if (record.value) {
                    page.records.push_back(record);
                }
            }
            records_read += page.records.size();
            done(page);
        });
    }

    void read(std::string_view log, std::uint64_t from, microseconds wait,
              page_hook done) override {
        read_calls += 1;
        const std::string name(log);
        loop_.call_after(delay, [this, name, from, wait, done] {
            if (down) {
                done(failed(error_code::unavailable, "down"));
            } else if (from < first_[name] || from > records_[name].size()) {
                done(failed(error_code::expired, "gone"));
            } else if (from < records_[name].size() || wait == microseconds(0)) {
                done(page_from(name, from));
            } else {
                const std::uint64_t number = ++last_held_;
                held_.push_back({name, from, number, done});
                loop_.call_after(wait, [this, number] { answer_held(number); });
            }
        });
    }

    void append(std::string_view log, std::optional<std::uint64_t> at,
                std::span<const keyed_record> records, append_hook done) override {
        append_calls += 1;
        const std::string name(log);
        std::vector<keyed_record> copies(records.begin(), records.end());
        loop_.call_after(delay, [this, name, at, copies, done] {
            if (down) {
                done(failed(error_code::unavailable, "down"));
                return;
            }
            if (random.unit() < late_appends) {
                loop_.call_after(20 * delay,
                                 [this, name, at, copies] { try_append(name, at, copies); });
                done(failed(error_code::timed_out, "no answer"));
                return;
            }
            const bool taken = try_append(name, at, copies);
            if (random.unit() < lost_answers) {
                done(failed(error_code::timed_out, "no answer"));
            } else if (taken) {
                done(records_[name].size());
            } else {
                done(failed(error_code::conflict, "moved"));
            }
        });
    }

private:
    struct held_read {
        std::string log;
        std::uint64_t from = 0;
        std::uint64_t number = 0;
        page_hook done;
    };

    keyed_page page_from(const std::string& log, std::uint64_t from) {
        const std::vector<keyed_record>& all = records_[log];
        keyed_page page;
        page.generation = store_generation;
        page.end = all.size();
        const std::uint64_t until =
            all.size() - from > most_records_per_page ? from + most_records_per_page : all.size();
        for (std::uint64_t offset = from; offset < until; ++offset) {
            page.records.push_back(all[offset]);
        }
        records_read += page.records.size();
        return page;
    }

    bool try_append(const std::string& log, std::optional<std::uint64_t> at,
                    const std::vector<keyed_record>& records) {
        if (at && records_[log].size() != *at) {
            return false;
        }
        for (const keyed_record& record : records) {
            records_[log].push_back({record.key, record.value, records_[log].size()});
        }
        appends_done += 1;
        answer_held();
        return true;
    }

    /// Answers the held reads that have records now, and the one whose wait has ended. It is named
    /// by its number, since timers of the loop may fire up to some milliseconds early, and a read
    /// that isn't due by the clock then would never be answered.
    void answer_held(std::uint64_t ended = 0) {
        std::deque<held_read> waiting = std::exchange(held_, {});
        for (held_read& read : waiting) {
            if (read.from < records_[read.log].size() || read.number == ended) {
                loop_.call_after(microseconds(0),
                                 [this, read] { read.done(page_from(read.log, read.from)); });
            } else {
                held_.push_back(std::move(read));
            }
        }
    }

    event_loop& loop_;
    std::map<std::string, std::vector<keyed_record>> records_;
    std::map<std::string, std::vector<keyed_record>> copy_;
    std::map<std::string, std::uint64_t> first_;
    std::deque<held_read> held_;
    std::uint64_t last_held_ = 0;
};

}  // namespace wrenswitch::testing
