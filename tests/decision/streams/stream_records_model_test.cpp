#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <set>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/streams/recent_values.hpp"
#include "wrenswitch/decision/streams/record_relays.hpp"
#include "wrenswitch/decision/streams/stream_holders.hpp"
#include "wrenswitch/decision/streams/stream_origin.hpp"
#include "wrenswitch/decision/streams/stream_record_table.hpp"

namespace {

using namespace wrenswitch;

/// A way in which entries may decide; all but the first must join versions or lose streams.
enum class rules {
    as_built,
    /// A stream that nobody knows goes on at any version.
    unknown_goes_on,
    /// The record is sent after the caller has the first event, so a kill may come before it.
    recorded_late,
    /// Only the entry that began a stream keeps its record.
    kept_where_begun,
    /// An entry that has just started trusts the versions it sees.
    trusts_short_lists,
    /// Relays get the record of each attempt when it is sent, though a later one may follow.
    relays_hold_unbound,
    /// No relay holds records.
    no_relays,
    /// Streams begin at versions that aren't in the version log.
    begins_unrecorded,
    /// An entry that starts trusts a version log that was restored from a copy.
    trusts_restored_log,
};

/// What happens beside kills, freezes and cuts of single entries.
enum class losses {
    none,
    /// All entries are lost at once now and then, and some relays.
    of_all_entries,
    /// The same without relays. Entries that start read a version log, which is late, dark or
    /// restored.
    beside_version_log,
};

/// Entries of one region that keep and ask for records, with faults between them, in virtual time.
class record_model {
public:
    static constexpr microseconds step = milliseconds(100);
    static constexpr microseconds longest_stream = seconds(15);
    static constexpr microseconds window = seconds(30);
    static constexpr std::size_t entry_count = 6;
    static constexpr std::size_t relay_count = 6;

    record_model(std::uint64_t seed, rules variant, losses kind = losses::none)
        : random_(seed),
          variant_(variant),
          loses_all_(kind != losses::none),
          has_log_(kind == losses::beside_version_log) {
        std::vector<record_relay> relays;
        for (std::size_t number = 0; number < relay_count; ++number) {
            relays.push_back({"side-" + std::to_string(number), domain_of(number)});
            relay_tables_.emplace(relays.back().endpoint, stream_record_table(1000));
        }
        relays_.select(relays);
        for (std::size_t number = 0; number < entry_count; ++number) {
            entries_.push_back(
                std::make_unique<entry>("front-" + std::to_string(number), domain_of(number)));
            start(*entries_.back());
        }
        for (const auto& each : entries_) {
            for (std::size_t number = 0; number < entry_count; ++number) {
                each->members.apply({entries_[number]->host,
                                     {},
                                     entries_[number]->host,
                                     1.0,
                                     domain_of(number),
                                     "",
                                     {},
                                     true});
            }
        }
    }

    void play(int steps) {
        for (int number = 0; number < steps; ++number) {
            now_ += step;
            change_versions();
            harm();
            harm_log();
            record_versions();
            for (const auto& each : entries_) {
                note_versions(*each);
            }
            for (int turn = 0; turn < 3; ++turn) {
                begin_stream();
                resume_stream();
            }
            std::erase_if(streams_, [this](const stream& each) { return each.until <= now_; });
        }
    }

    std::size_t joined = 0;
    std::size_t resumed = 0;
    std::size_t refused = 0;

private:
    struct entry {
        entry(const std::string& name, const std::string& failure_domain)
            : host(name), members(name, {}), holders(members, failure_domain, "") {}

        std::string host;
        token_allocator_selector members;
        stream_holders holders;
        std::unique_ptr<stream_record_table> table;
        std::unique_ptr<recent_values> versions;
        std::set<std::string, std::less<>> listed;
        instant started{};
        /// True if the version log told which versions there had been.
        bool is_covered = false;
        bool frozen = false;
        bool cut_off = false;
        std::deque<stream_record> queued;
    };

    struct stream {
        std::string request;
        std::string version;
        instant until{};
    };

    /// Two entries are in each failure domain.
    static std::string domain_of(std::size_t number) { return "z" + std::to_string(number / 2); }

    void start(entry& at) {
        at.table = std::make_unique<stream_record_table>(1000);
        at.versions = std::make_unique<recent_values>(seconds(600));
        at.listed.clear();
        at.queued.clear();
        at.started = now_;
        at.frozen = false;
        const bool is_whole = !is_log_restored_ || variant_ == rules::trusts_restored_log;
        at.is_covered = has_log_ && is_whole && !is_log_dark() && !logged_.empty();
        note_versions(at);
    }

    /// An entry that is cut off from the others is cut off from the list of targets as well.
    void note_versions(entry& at) {
        if (!at.cut_off && !at.frozen) {
            at.listed = versions_;
            for (const std::string& version : logged_) {
                at.versions->note(now_, "llm", version);
            }
        }
        for (const std::string& version : at.listed) {
            at.versions->note(now_, "llm", version);
        }
    }

    bool is_log_dark() const { return now_ < log_dark_until_; }

    /// The version log is dark, or refuses records, or is restored from a copy.
    void harm_log() {
        if (has_log_ && random_.below(60) == 0) {
            log_dark_until_ = now_ + seconds(1 + static_cast<int>(random_.below(8)));
        }
    }

    /// The store is restored from a copy that lacks a record.
    void harm_log_at_once() {
        if (random_.below(12) == 0 && !logged_.empty()) {
            is_log_restored_ = true;
            logged_.erase(any_of(logged_));
        }
    }

    /// Records come late, and go once no stream can have begun at their version any more.
    void record_versions() {
        std::erase_if(logged_, [this](const std::string& version) {
            const auto removed = removed_at_.find(version);
            return removed != removed_at_.end() && now_ - removed->second > 2 * window;
        });
        for (const std::string& version : versions_) {
            if (has_log_ && !is_log_dark() && random_.below(2) == 0) {
                logged_.insert(version);
            }
        }
    }

    /// The versions at which an entry may begin streams.
    std::set<std::string, std::less<>> open_versions(const entry& at) const {
        std::set<std::string, std::less<>> open = at.listed;
        if (has_log_ && variant_ != rules::begins_unrecorded) {
            std::erase_if(open, [this](const auto& each) { return !logged_.contains(each); });
        }
        return open;
    }

    void change_versions() {
        if (random_.below(has_log_ ? 300 : 60) != 0) {
            return;
        }
        if (versions_.size() < 2) {
            versions_.insert("v" + std::to_string(++last_version_));
            return;
        }
        const std::string removed = any_of(versions_);
        versions_.erase(removed);
        removed_at_[removed] = now_;
    }

    std::string any_of(const std::set<std::string, std::less<>>& versions) {
        return *std::next(versions.begin(),
                          static_cast<std::ptrdiff_t>(random_.below(versions.size())));
    }

    /// Targets serve for some seconds after they have left the list.
    bool serves(const std::string& version) const {
        const auto removed = removed_at_.find(version);
        return removed == removed_at_.end() || now_ - removed->second <= seconds(5);
    }

    void lose_all() {
        if (has_log_) {
            change_versions_at_once();
            harm_log_at_once();
        }
        for (const auto& each : entries_) {
            start(*each);
        }
        if (!has_log_) {
            change_versions_at_once();
        }
        // Waves follow one another; some entries stay away for a while.
        entries_[random_.below(entry_count)]->frozen = true;
    }

    /// A version may leave, and another one come, while nobody looks.
    void change_versions_at_once() {
        if (random_.below(2) == 0) {
            versions_.insert("v" + std::to_string(++last_version_));
        }
        if (versions_.size() > 1 && random_.below(2) == 0) {
            const std::string removed = any_of(versions_);
            versions_.erase(removed);
            removed_at_[removed] = now_;
        }
    }

    void harm() {
        if (loses_all_ && random_.below(80) == 0) {
            lose_all();
        }
        if (loses_all_ && random_.below(200) == 0) {
            relay_tables_.at("side-" + std::to_string(random_.below(relay_count))) =
                stream_record_table(1000);
        }
        entry& at = *entries_[random_.below(entry_count)];
        switch (random_.below(120)) {
            case 0:
                start(at);
                break;
            case 1:
                at.cut_off = true;
                break;
            case 2:
                at.frozen = true;
                break;
            default:
                break;
        }
        entry& healed = *entries_[random_.below(entry_count)];
        if (random_.below(10) == 0) {
            heal(healed);
        }
    }

    void heal(entry& at) {
        at.cut_off = false;
        at.frozen = false;
        for (const stream_record& each : at.queued) {
            at.table->record(now_, each);
        }
        at.queued.clear();
    }

    static bool connected(const entry& one, const entry& other) {
        return !one.cut_off && !other.cut_off;
    }

    entry& find(const std::string& host) {
        return **std::find_if(entries_.begin(), entries_.end(),
                              [&host](const auto& each) { return each->host == host; });
    }

    void begin_stream() {
        entry& at = *entries_[random_.below(entry_count)];
        const std::set<std::string, std::less<>> open = open_versions(at);
        if (at.frozen || open.empty()) {
            return;
        }
        const std::string request = "r" + std::to_string(++last_request_);
        const microseconds life = longest_stream;
        std::string version;
        const std::uint32_t attempts = random_.below(4) == 0 ? 2 : 1;
        for (std::uint32_t attempt = 1; attempt <= attempts; ++attempt) {
            version = any_of(open);
            const stream_record record{request, "llm", version, 0, attempt, now_ + life};
            send(at, record);
            if (attempt == attempts || variant_ == rules::relays_hold_unbound) {
                send_to_relays(at, record);
            }
        }
        if (serves(version)) {
            streams_.push_back({request, version, now_ + life});
        }
        if (random_.below(200) == 0) {
            start(at);
        }
    }

    void send(entry& from, const stream_record& record) {
        from.table->record(now_, record);
        const bool is_lost = variant_ == rules::recorded_late && random_.below(10) == 0;
        if (variant_ == rules::kept_where_begun || is_lost) {
            return;
        }
        for (const cluster_member& each : from.holders.recipients(record.request)) {
            entry& to = find(each.host);
            if (connected(from, to)) {
                if (to.frozen) {
                    to.queued.push_back(record);
                } else {
                    to.table->record(now_, record);
                }
            }
        }
    }

    /// A message to a relay may be lost with the connection.
    void send_to_relays(const entry& from, const stream_record& record) {
        if (!loses_all_ || has_log_ || variant_ == rules::no_relays || from.cut_off) {
            return;
        }
        for (const std::string& endpoint : relays_.recipients(record.request)) {
            if (random_.below(20) != 0) {
                relay_tables_.at(endpoint).record(now_, record);
            }
        }
    }

    std::vector<stream_knowledge> relay_knowledge(const entry& at, const std::string& request) {
        std::vector<stream_knowledge> known;
        for (const std::string& endpoint : relays_.candidates(request)) {
            const stream_record* record = relay_tables_.at(endpoint).find(now_, request, 0);
            if (!at.cut_off && record != nullptr) {
                known.push_back({endpoint, *record, {}, false});
            }
        }
        return known;
    }

    stream_knowledge knowledge(const entry& at, const std::string& request) const {
        stream_knowledge known;
        known.host = at.host;
        if (const stream_record* record = at.table->find(now_, request, 0)) {
            known.record = *record;
        }
        known.versions = at.versions->within(now_, "llm", window);
        const bool long_enough =
            now_ - at.started >= window || at.is_covered || variant_ == rules::trusts_short_lists;
        known.versions_complete = long_enough && !at.cut_off;
        return known;
    }

    void resume_stream() {
        entry& at = *entries_[random_.below(entry_count)];
        if (at.frozen || streams_.empty()) {
            return;
        }
        const stream& taken = streams_[random_.below(streams_.size())];
        std::vector<stream_knowledge> known{knowledge(at, taken.request)};
        for (const cluster_member& each : at.holders.candidates(taken.request)) {
            const entry& other = find(each.host);
            if (connected(at, other) && !other.frozen) {
                known.push_back(knowledge(other, taken.request));
            }
        }
        if (known.size() == 1) {
            known.front().versions_complete = false;
        }
        for (stream_knowledge& each : relay_knowledge(at, taken.request)) {
            known.push_back(std::move(each));
        }
        const stream_origin origin = determine_origin(known, "llm");
        resumed += 1;
        if (origin.source == origin_source::unknown) {
            refused += variant_ == rules::unknown_goes_on ? 0 : 1;
            joined += variant_ == rules::unknown_goes_on && !at.listed.contains(taken.version);
            return;
        }
        joined += origin.version != taken.version;
    }

    random_source random_;
    rules variant_;
    bool loses_all_;
    bool has_log_;
    record_relays relays_;
    std::map<std::string, stream_record_table> relay_tables_;
    instant now_{seconds(1000)};
    std::vector<std::unique_ptr<entry>> entries_;
    std::set<std::string, std::less<>> versions_{"v1"};
    std::map<std::string, instant> removed_at_;
    /// The version log.
    std::set<std::string, std::less<>> logged_;
    instant log_dark_until_{};
    bool is_log_restored_ = false;
    std::vector<stream> streams_;
    int last_version_ = 1;
    int last_request_ = 0;
};

constexpr std::uint64_t seeds = 40;
constexpr int steps = 1500;

/// The sums over all seeds.
struct model_sums {
    std::size_t joined = 0;
    std::size_t resumed = 0;
    std::size_t refused = 0;
};

model_sums play_all(rules variant, losses kind = losses::none) {
    model_sums sums;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        record_model model(seed, variant, kind);
        model.play(steps);
        sums.joined += model.joined;
        sums.resumed += model.resumed;
        sums.refused += model.refused;
    }
    return sums;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(stream_records_model_test)

BOOST_AUTO_TEST_CASE(records_under_kills_freezes_and_cuts_join_no_two_versions) {
    const model_sums sums = play_all(rules::as_built);
    BOOST_TEST(sums.resumed > 10000U);
    BOOST_TEST(sums.joined == 0U);
    // Of an entry in six that is cut off or frozen, the others still know most streams.
    BOOST_TEST(sums.refused * 4 < sums.resumed);
}

/// Without records at relays no stream went on after a loss of all entries beside two versions.
BOOST_AUTO_TEST_CASE(losses_of_all_entries_join_no_versions_and_lose_few_streams) {
    const model_sums sums = play_all(rules::as_built, losses::of_all_entries);
    BOOST_TEST(sums.resumed > 10000U);
    BOOST_TEST(sums.joined == 0U);
    BOOST_TEST(sums.refused * 10 < sums.resumed);
    BOOST_TEST(play_all(rules::no_relays, losses::of_all_entries).refused > 3 * sums.refused);
}

BOOST_AUTO_TEST_CASE(relays_that_hold_records_of_unbound_streams_join_versions) {
    BOOST_TEST(play_all(rules::relays_hold_unbound, losses::of_all_entries).joined > 0U);
}

/// Streams went on at the only version that a restarted entry knew, which hadn't begun them.
BOOST_AUTO_TEST_CASE(losses_beside_a_late_dark_or_restored_version_log_join_no_versions) {
    const model_sums sums = play_all(rules::as_built, losses::beside_version_log);
    BOOST_TEST(sums.resumed > 10000U);
    BOOST_TEST(sums.joined == 0U);
    BOOST_TEST(sums.resumed - sums.refused > 10000U);
}

BOOST_AUTO_TEST_CASE(streams_that_begin_before_their_version_is_recorded_join_versions) {
    BOOST_TEST(play_all(rules::begins_unrecorded, losses::beside_version_log).joined > 0U);
}

BOOST_AUTO_TEST_CASE(version_logs_that_are_trusted_after_they_were_restored_join_versions) {
    BOOST_TEST(play_all(rules::trusts_restored_log, losses::beside_version_log).joined > 0U);
}

BOOST_AUTO_TEST_CASE(unknown_streams_that_go_on_join_versions) {
    BOOST_TEST(play_all(rules::unknown_goes_on).joined > 0U);
}

BOOST_AUTO_TEST_CASE(lists_that_have_just_been_read_join_versions) {
    BOOST_TEST(play_all(rules::trusts_short_lists).joined > 0U);
}

BOOST_AUTO_TEST_CASE(records_that_are_late_or_kept_only_where_begun_refuse_more_streams) {
    const std::size_t refused = play_all(rules::as_built).refused;
    BOOST_TEST(play_all(rules::recorded_late).refused > refused);
    BOOST_TEST(play_all(rules::kept_where_begun).refused > 2 * refused);
}

BOOST_AUTO_TEST_SUITE_END()
