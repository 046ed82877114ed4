#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <functional>
#include <optional>
#include <queue>
#include <utility>
#include <vector>

#include "wrenswitch/core/random_source.hpp"
#include "wrenswitch/decision/suspects/part_suspect_table.hpp"
#include "wrenswitch/decision/suspects/request_fingerprint.hpp"

namespace {

using namespace wrenswitch;

/// What a variant of the model does otherwise than the gateways.
struct variant {
    part_suspect_settings settings;
    /// Evidence stays with the entry that saw a crash.
    bool keeps_evidence = false;
    /// Attempts that go on show nothing.
    bool ignores_survivors = false;
};

struct load {
    /// Of all requests, those with the part that crashes engines.
    double guilty_share = 0.0;
    /// Engines that crash for reasons of their own, and how often that happens.
    double wave_share = 0.0;
    microseconds wave_period = seconds(3);
    std::size_t requests = 10'000;
};

/// Some entries and engines. Time goes from event to event; nothing else is modelled of a network
/// than how long evidence takes.
class model {
public:
    static constexpr std::size_t entry_count = 5;
    static constexpr std::size_t engine_count = 12;

    std::size_t guilty_arrivals_late = 0;
    std::size_t crashes = 0;
    std::size_t sound_refused = 0;
    std::size_t sound_sent = 0;

    model(std::uint64_t seed, variant changed, load wanted)
        : random_(seed), variant_(changed), load_(wanted) {
        for (std::size_t number = 0; number < entry_count; ++number) {
            tables_.emplace_back(changed.settings);
        }
        for (std::size_t number = 0; number < engine_count; ++number) {
            engines_.push_back({next_life_++, true});
        }
    }

    void run() {
        constexpr double requests_per_second = 100.0;
        instant next = now_;
        if (load_.wave_share > 0.0) {
            at(now_ + load_.wave_period, [this] { wave(); });
        }
        for (std::size_t number = 0; number < load_.requests; ++number) {
            next += from_seconds(2.0 * random_.unit() / requests_per_second);
            run_until(next);
            begin_request();
        }
    }

private:
    struct engine {
        std::int64_t life = 0;
        bool runs = true;
    };

    struct attempt {
        std::size_t entry = 0;
        std::size_t engine = 0;
        std::int64_t life = 0;
        std::vector<digest> parts;
        instant began{};
        bool is_active = true;
        bool is_writing = false;
    };

    struct event {
        instant due;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator<(const event& other) const {
            return std::pair(due, order) > std::pair(other.due, other.order);
        }
    };

    void at(instant due, std::function<void()> action) {
        events_.push({due, next_event_++, std::move(action)});
    }

    void run_until(instant end) {
        while (!events_.empty() && events_.top().due <= end) {
            const event next = events_.top();
            events_.pop();
            now_ = next.due;
            next.action();
        }
        now_ = end;
    }

    microseconds between(microseconds least, microseconds most) {
        const auto range = static_cast<std::uint64_t>((most - least).count());
        return least + microseconds(static_cast<std::int64_t>(random_.below(range)));
    }

    suspicion worst(std::size_t entry, const std::vector<digest>& parts) {
        tables_[entry].quarantine_due(now_);
        suspicion found = suspicion::none;
        for (const digest& part : parts) {
            found = std::max(found, tables_[entry].suspicion_of(now_, part));
        }
        return found;
    }

    void begin_request() {
        constexpr std::uint64_t first_parts = 4;
        constexpr std::uint64_t session_parts = 104;
        const bool is_guilty = random_.unit() < load_.guilty_share;
        const digest first = fingerprint_of_part(1000 + random_.below(first_parts));
        const digest second =
            is_guilty ? guilty_ : fingerprint_of_part(2000 + random_.below(session_parts));
        const std::size_t entry = random_.below(entry_count);
        const std::vector<digest> parts{first, second};
        sound_sent += is_guilty ? 0 : 1;
        if (worst(entry, parts) == suspicion::quarantined) {
            sound_refused += is_guilty ? 0 : 1;
            return;
        }
        const std::size_t chosen = random_.below(engine_count);
        if (!engines_[chosen].runs) {
            return;
        }
        if (is_guilty && known_at_ && now_ > *known_at_) {
            guilty_arrivals_late += 1;
        }
        attempts_.push_back({entry, chosen, engines_[chosen].life, parts, {}, true, false});
        const std::size_t number = attempts_.size() - 1;
        at(now_ + between(milliseconds(50), milliseconds(300)),
           [this, number, is_guilty] { begin_writing(number, is_guilty); });
    }

    void begin_writing(std::size_t number, bool is_guilty) {
        attempt& begun = attempts_[number];
        if (!begun.is_active) {
            return;
        }
        // A quarantine ends attempts that have not begun to write.
        if (worst(begun.entry, begun.parts) == suspicion::quarantined) {
            deactivate(begun);
            sound_refused += is_guilty ? 0 : 1;
            return;
        }
        begun.began = now_;
        begun.is_writing = true;
        for (const digest& part : begun.parts) {
            tables_[begun.entry].begin_writing(now_, part);
        }
        if (is_guilty) {
            crash(begun.engine, true);
            return;
        }
        at(now_ + between(milliseconds(100), milliseconds(1500)), [this, number] { end(number); });
    }

    void deactivate(attempt& ended) {
        ended.is_active = false;
        if (std::exchange(ended.is_writing, false)) {
            for (const digest& part : ended.parts) {
                tables_[ended.entry].end_writing(part);
            }
        }
    }

    void end(std::size_t number) {
        attempt& ended = attempts_[number];
        if (!ended.is_active) {
            return;
        }
        deactivate(ended);
        if (variant_.ignores_survivors) {
            return;
        }
        for (const digest& part : ended.parts) {
            for (const crash_evidence& each :
                 tables_[ended.entry].record_survival(part, ended.began)) {
                at(now_ + between(milliseconds(300), milliseconds(700)), [this, each] {
                    for (part_suspect_table& table : tables_) {
                        table.withdraw(each);
                    }
                });
            }
        }
    }

    void crash(std::size_t number, bool by_part) {
        engine& ended = engines_[number];
        const target_incarnation incarnation{"t", ended.life};
        ended.runs = false;
        if (by_part && ++crashes == 5) {
            known_at_ = now_ + milliseconds(500);
        }
        at(now_ + milliseconds(1500), [this, number] { engines_[number] = {next_life_++, true}; });
        for (attempt& each : attempts_) {
            if (each.is_active && each.life == incarnation.started) {
                deactivate(each);
                for (const digest& part : each.parts) {
                    witness(each.entry, {part, incarnation, 0});
                }
            }
        }
    }

    /// An entry notices a crash, waits for survivors of a part that it knows as sound, and tells.
    void witness(std::size_t entry, const crash_evidence& evidence) {
        const instant crashed = now_;
        at(now_ + milliseconds(160), [this, entry, evidence, crashed] {
            part_suspect_table& table = tables_[entry];
            if (!table.is_survived_recently(now_, evidence.fingerprint)) {
                share(entry, evidence, crashed);
                return;
            }
            at(now_ + milliseconds(500), [this, entry, evidence, crashed] {
                if (!tables_[entry].is_survived_since(evidence.fingerprint, crashed)) {
                    share(entry, evidence, crashed);
                }
            });
        });
    }

    void share(std::size_t entry, const crash_evidence& evidence, instant crashed) {
        tables_[entry].add(now_, evidence, crashed);
        for (std::size_t other = 0; other < entry_count && !variant_.keeps_evidence; ++other) {
            if (other != entry) {
                at(now_ + between(milliseconds(20), milliseconds(120)),
                   [this, other, evidence, crashed] {
                       tables_[other].add(now_, evidence, crashed);
                   });
            }
        }
    }

    void wave() {
        for (std::size_t number = 0; number < engine_count; ++number) {
            if (engines_[number].runs && random_.unit() < load_.wave_share) {
                crash(number, false);
            }
        }
        at(now_ + load_.wave_period, [this] { wave(); });
    }

    random_source random_;
    variant variant_;
    load load_;
    const digest guilty_ = fingerprint_of_part(1);
    instant now_{seconds(1000)};
    std::int64_t next_life_ = 1;
    std::uint64_t next_event_ = 0;
    std::vector<part_suspect_table> tables_;
    std::vector<engine> engines_;
    std::vector<attempt> attempts_;
    std::priority_queue<event> events_;
    std::optional<instant> known_at_;
};

struct outcome {
    std::size_t most_late_arrivals = 0;
    std::size_t crashes = 0;
    std::size_t sound_refused = 0;
    std::size_t sound_sent = 0;
};

outcome play(const variant& changed, const load& wanted, std::uint64_t seeds) {
    outcome total;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        model played(seed, changed, wanted);
        played.run();
        total.most_late_arrivals = std::max(total.most_late_arrivals, played.guilty_arrivals_late);
        total.crashes += played.crashes;
        total.sound_refused += played.sound_refused;
        total.sound_sent += played.sound_sent;
    }
    return total;
}

constexpr std::uint64_t seeds = 20;
constexpr std::size_t most_late_arrivals = 2;
const load guilty_load{0.01, 0.0, seconds(3), 4000};
const load waves{0.0, 1.0 / 3.0, seconds(3), 10'000};

}  // namespace

BOOST_AUTO_TEST_SUITE(part_suspicion_model)

BOOST_AUTO_TEST_CASE(part_that_crashed_five_engines_reaches_no_more_than_two_others) {
    const outcome found = play({}, guilty_load, seeds);
    BOOST_TEST_MESSAGE(found.crashes << " crashes in " << seeds << " runs, refused "
                                     << found.sound_refused << " of " << found.sound_sent);
    BOOST_TEST(found.crashes >= 3 * seeds);
    BOOST_TEST(found.most_late_arrivals <= most_late_arrivals);
    BOOST_TEST(found.sound_refused * 10 <= found.sound_sent);
}

BOOST_AUTO_TEST_CASE(sound_requests_are_not_refused_in_waves_of_crashes_without_a_guilty_part) {
    const outcome found = play({}, waves, 1);
    BOOST_TEST(found.sound_sent == 10'000U);
    BOOST_TEST(found.sound_refused == 0U);
}

BOOST_AUTO_TEST_CASE(variant_that_keeps_evidence_at_one_entry_fails) {
    variant broken;
    broken.keeps_evidence = true;
    BOOST_TEST(play(broken, guilty_load, seeds).most_late_arrivals > most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(variant_that_needs_more_crashes_fails) {
    variant broken;
    broken.settings.quarantine_threshold = 12;
    broken.settings.certain_threshold = 12;
    BOOST_TEST(play(broken, guilty_load, seeds).most_late_arrivals > most_late_arrivals);
}

BOOST_AUTO_TEST_CASE(variant_that_ignores_survivors_fails) {
    variant broken;
    broken.ignores_survivors = true;
    BOOST_TEST(play(broken, waves, 1).sound_refused > 0U);
}

BOOST_AUTO_TEST_SUITE_END()
