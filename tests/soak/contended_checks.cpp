// What a contended domain has to hold, and what is seen of it.

#include <algorithm>
#include <sstream>

#include "soak/contended_domain.hpp"

namespace wrenswitch::testing {
namespace {

/// The age of reports and two readiness checks.
constexpr microseconds max_exceeded_time = contended_caller::fault_effect;

/// A request waits for the patience of its caller at an entry that is lost. The next one is
/// directed elsewhere by then, and a flooded link delays it by less than 0.8 s. The rest allows for
/// a busy machine.
constexpr microseconds max_unserved_time = contended_caller::patience + seconds(1);

bool is_event(const std::string& line, const std::string& name) {
    return line.find("event=" + name + " ") != std::string::npos;
}

std::string text_of(microseconds length) {
    return std::to_string(length / milliseconds(1)) + " ms";
}

}  // namespace

void contended_domain::read_logs() {
    for (gateway& each : gateways_) {
        each.log->for_each_new_line([&](const std::string& line) { read_line(each, line); });
    }
}

void contended_domain::read_line(gateway& source, const std::string& line) {
    if (is_event(line, "stepped_back")) {
        source.stepped_back = true;
        step_backs_ += 1;
    } else if (is_event(line, "callers_sent_away")) {
        source.sheds = true;
    } else if (is_event(line, "callers_taken_again")) {
        // The end of timed shedding has this field, the return from a step back doesn't.
        const bool ends_shedding = line.find("received_share=") != std::string::npos;
        (ends_shedding ? source.sheds : source.stepped_back) = false;
    } else if (is_event(line, "token_home_lost") || is_event(line, "engine_keeper_lost")) {
        check_loss(source, line);
    }
}

bool contended_domain::is_undisturbed(std::size_t index, instant now) const {
    return entries_[index].running &&
           now - entries_[index].last_fault >= contended_caller::fault_effect;
}

/// An entry may only be told as lost by one that a fault affected, or if one affected it.
void contended_domain::check_loss(const gateway& source, const std::string& line) {
    const instant now = monotonic_now();
    const auto source_index = static_cast<std::size_t>(&source - gateways_.data());
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
        const std::string host = "=front-" + std::to_string(index);
        const bool is_named = line.size() >= host.size() &&
                              line.compare(line.size() - host.size(), host.size(), host) == 0;
        if (is_named && is_undisturbed(index, now) && is_undisturbed(source_index, now)) {
            broken_.push_back("entry " + std::to_string(source_index) +
                              " took a living entry for lost: " + line);
        }
    }
}

std::size_t contended_domain::count_stepped_back() const {
    return static_cast<std::size_t>(std::count_if(
        gateways_.begin(), gateways_.end(), [](const gateway& each) { return each.stepped_back; }));
}

/// An entry that starts counts as accepting callers, although it is not ready at once.
void contended_domain::check_accepting(instant now) {
    std::size_t out = 0;
    std::size_t accepting = 0;
    bool any_stays_back = false;
    for (std::size_t index = 0; index < gateways_.size(); ++index) {
        const gateway& each = gateways_[index];
        const bool running = entries_[index].running;
        out += !running || each.stepped_back ? 1 : 0;
        accepting += running && !each.stepped_back && !each.sheds ? 1 : 0;
        any_stays_back = any_stays_back || (running && each.stepped_back);
    }
    most_stepped_back_ = std::max(most_stepped_back_, count_stepped_back());
    const auto measure = [now](std::optional<instant>& since, bool holds, microseconds& longest) {
        since = holds ? since.value_or(now) : std::optional<instant>();
        longest = std::max(longest, since ? now - *since : microseconds(0));
    };
    measure(too_many_out_since_, any_stays_back && 2 * out >= entry_count, longest_too_many_out_);
    measure(none_accepts_since_, accepting == 0, longest_none_accepts_);
    none_accepts_beside_wide_ =
        none_accepts_beside_wide_ || (accepting == 0 && entries_[wide_entry].running);
}

void contended_domain::check_results(instant now) {
    if (step_backs_ == 0) {
        broken_.emplace_back("no entry stepped back");
    }
    if (longest_too_many_out_ > max_exceeded_time) {
        broken_.push_back("half of the entries or more were out for " +
                          text_of(longest_too_many_out_) + " while some had stepped back");
    }
    if (longest_none_accepts_ > max_exceeded_time) {
        broken_.push_back("no entry accepted callers for " + text_of(longest_none_accepts_));
    }
    if (none_accepts_beside_wide_) {
        broken_.emplace_back("no entry accepted callers while the high-bandwidth entry ran");
    }
    if (handed_out_ > prepaid) {
        broken_.push_back("overspent: " + std::to_string(handed_out_) + " of " +
                          std::to_string(prepaid));
    }
    check_callers(now);
}

/// What the entries that still run logged of a request.
std::string contended_domain::log_lines_of(const std::string& request) const {
    std::string found;
    for (const gateway& each : gateways_) {
        std::istringstream lines(each.process->output());
        for (std::string line; std::getline(lines, line);) {
            if (line.find("request=" + request + " ") != std::string::npos) {
                found += "\n" + line;
            }
        }
    }
    return found;
}

void contended_domain::check_callers(instant now) {
    for (const contended_caller& each : callers_) {
        for (const std::string& response : each.undelivered()) {
            broken_.push_back("a completed response was not delivered: " + response);
        }
        const bool is_flood = &each == &callers_.front();
        if (is_flood || each.is_metered()) {
            continue;
        }
        const contended_caller::outcome& result = each.result();
        if (result.refused + result.failed > 0) {
            broken_.push_back(each.account() + ": " + std::to_string(result.refused) +
                              " requests refused and " + std::to_string(result.failed) +
                              " failed although no fault affected their entry");
            for (const auto& [id, failure] : each.failures()) {
                broken_.push_back(id + " failed: " + failure + log_lines_of(id));
            }
        }
        if (each.longest_gap(now) > max_unserved_time) {
            broken_.push_back(each.account() + ": no request served for " +
                              text_of(each.longest_gap(now)));
        }
    }
}

std::string contended_domain::summary() const {
    std::string text = "seed " + std::to_string(seed_) +
                       (shares_link_ ? " with share_link:" : " without share_link:") +
                       fault_summary_ + " flood order";
    for (const std::size_t each : callers_.front().order()) {
        text += " " + std::to_string(each);
    }
    text += "; " + std::to_string(step_backs_) + " step backs, at most " +
            std::to_string(most_stepped_back_) + " at once, too many out for " +
            text_of(longest_too_many_out_) + ", none accepting for " +
            text_of(longest_none_accepts_) + ", all ready after " + text_of(recovery_time_) + ", " +
            std::to_string(handed_out_) + " tokens";
    return text + callers_summary_;
}

std::string contended_domain::summarize_callers(instant now) const {
    std::string text;
    for (const contended_caller& each : callers_) {
        const contended_caller::outcome& result = each.result();
        text += "; " + each.account() + ": served " + std::to_string(result.served) + ", refused " +
                std::to_string(result.refused) + ", failed " + std::to_string(result.failed) +
                ", sent again " + std::to_string(result.resent) + ", slowest " +
                text_of(result.slowest) + ", longest gap " + text_of(each.longest_gap(now));
    }
    return text;
}

}  // namespace wrenswitch::testing
