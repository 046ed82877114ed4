#include "soak/resumed_streams.hpp"

#include <algorithm>
#include <csignal>

namespace wrenswitch::testing {
namespace {

constexpr std::size_t max_attempts = 5;
constexpr microseconds stream_deadline = seconds(8);

/// From the end of all faults until the fleet is in touch again.
constexpr microseconds recovery_time = seconds(3);

/// After this a target that has left the list gets no requests.
constexpr microseconds target_drain = seconds(2);

}  // namespace

resumed_streams::resumed_streams(std::uint64_t seed, bool with_losses)
    : stream_fleet(entry_count),
      random_(seed),
      with_losses_(with_losses),
      paused_(entry_count, false) {
    if (with_losses_) {
        more_settings += R"(,"relay_port":)" + std::to_string(relay_port_);
        start_relay();
    }
    for (std::size_t index = 0; index < entry_count; ++index) {
        entry& each = entries[index];
        links_.push_back(std::make_unique<loopback_proxy>(loop, each.bus));
        each.more_settings =
            R"(,"member_endpoint":"tcp://127.0.0.1:)" + std::to_string(links_.back()->port()) + '"';
    }
    for (const char* service : {"app", "llm"}) {
        add_targets(service, "v1", 3);
        add_targets(service, "v2", 3);
    }
    start_all();
    run_for(seconds(1));
}

resumed_streams::~resumed_streams() {
    relay_.reset();
    std::remove(relay_file_.c_str());
}

void resumed_streams::start_relay() {
    relay_.reset();
    std::ofstream(relay_file_) << R"({"host":"side-1","bus_endpoint":"tcp://127.0.0.1:)"
                               << relay_port_ << R"(","service":")" << store.address() << R"("})";
    relay_ = std::make_unique<test::child_process>(
        std::vector<std::string>{WRENSWITCH_BINARIES "/wrenrelay", "--settings", relay_file_},
        relay_file_ + ".log");
}

void resumed_streams::begin_stream() {
    callers_.push_back({&begin(random_.below(2) == 0 ? "/plain/" : "/engine/",
                               entries[random_.below(entry_count)]),
                        instant{}, false});
}

void resumed_streams::play(microseconds length) {
    const instant end = monotonic_now() + length;
    instant next_fault = monotonic_now() + milliseconds(300);
    while (monotonic_now() < end) {
        begin_stream();
        run_for(milliseconds(15 + static_cast<std::int64_t>(random_.below(25))));
        update_callers();
        restart_ended();
        if (monotonic_now() > next_fault) {
            next_fault =
                monotonic_now() + milliseconds(150 + static_cast<std::int64_t>(random_.below(500)));
            if (random_.below(3) == 0) {
                end_faults();
            }
            inject_fault();
        }
    }
    end_faults();
    run_until(
        [this] {
            update_callers();
            restart_ended();
            return std::all_of(callers_.begin(), callers_.end(), [](const caller& each) {
                return each.call->complete || each.given_up;
            });
        },
        stream_deadline);
}

void resumed_streams::update_callers() {
    const instant now = monotonic_now();
    for (caller& each : callers_) {
        if (each.given_up || each.call->complete || !each.call->ended()) {
            continue;
        }
        if (each.call->complete) {
            continue;
        }
        if (each.retry_at == instant{}) {
            check_attempt(*each.call);
            each.retry_at = now + milliseconds(50 + static_cast<std::int64_t>(random_.below(250)));
            each.given_up = each.call->attempts.size() >= max_attempts;
        } else if (now >= each.retry_at) {
            retry(each);
        }
    }
}

void resumed_streams::retry(caller& each) {
    each.retry_at = instant{};
    resumptions_ += each.call->numbers.empty() ? 0 : 1;
    send(*each.call, entries[random_.below(entry_count)]);
}

/// Keeps the attempts that an entry said it didn't run.
void resumed_streams::check_attempt(const resumable_call& call) {
    if (call.status == 503U || call.status == 429U) {
        refused_.push_back(call.attempts.back());
    }
}

void resumed_streams::restart_ended() {
    for (entry& each : entries) {
        if (each.process->ended()) {
            launch(each);
        }
    }
}

void resumed_streams::inject_loss() {
    switch (random_.below(6)) {
        case 0:
            faults_.push_back("refuse the records of versions");
            store.refused_topic = "keyed.versions";
            break;
        case 1:
            faults_.push_back("restart the relay");
            start_relay();
            break;
        case 2:
        case 3:
            leave_silently();
            break;
        default:
            lose_all_entries();
            break;
    }
}

/// A version may come, and a target leave, while no entry looks.
void resumed_streams::lose_all_entries() {
    faults_.push_back("kill all entries");
    for (entry& each : entries) {
        each.process->signal(SIGKILL);
    }
    last_away_ = monotonic_now();
    if (random_.below(2) == 0) {
        harm_target();
    }
    if (random_.below(2) == 0) {
        leave_silently();
    }
}

/// A target leaves without saying so: its entry goes, and it serves for some seconds more.
void resumed_streams::leave_silently() {
    std::vector<stream_target*> running;
    for (const auto& each : targets) {
        if (each->runs() && store.newest("keyed.servers", each->worker.id())) {
            running.push_back(each.get());
        }
    }
    stream_target& old = *running[random_.below(running.size())];
    add_target(old.service, "i-" + old.service + "-new-" + std::to_string(++last_target_),
               "v" + std::to_string(last_version_ - static_cast<int>(random_.below(2))));
    faults_.push_back("unlist " + old.worker.id());
    store.put("keyed.servers", old.worker.id(), std::nullopt);
    loop.call_after(target_drain,
                    [this, &old, left = monotonic_now()] { check_gone_target(old, left); });
}

/// From now on the target gets nothing from an entry that has read of its leaving.
void resumed_streams::check_gone_target(const stream_target& gone, instant left) {
    const std::size_t seen = gone.worker.seen.size();
    loop.call_after(seconds(1), [this, &gone, left, seen] {
        const bool may_not_know = last_away_ >= left - seconds(1);
        if (!may_not_know && gone.worker.seen.size() > seen) {
            late_requests_.push_back(std::to_string(gone.worker.seen.size() - seen) + " at " +
                                     gone.worker.id());
        }
    });
}

void resumed_streams::inject_fault() {
    if (with_losses_ && random_.below(3) == 0) {
        inject_loss();
        return;
    }
    switch (random_.below(8)) {
        case 0:
        case 1:
        case 2:
            harm_entry(random_.below(entry_count));
            break;
        case 3:
        case 4:
            harm_link(random_.below(entry_count));
            break;
        case 5:
            faults_.push_back("lose the store");
            store.silent = true;
            last_away_ = monotonic_now();
            break;
        default:
            harm_target();
            break;
    }
}

void resumed_streams::harm_entry(std::size_t index) {
    const std::string name = " entry " + std::to_string(index + 1);
    switch (random_.below(3)) {
        case 0:
            faults_.push_back("kill" + name);
            entries[index].process->signal(SIGKILL);
            break;
        case 1:
            faults_.push_back("stop" + name);
            entries[index].process->signal(SIGTERM);
            break;
        default:
            faults_.push_back("pause" + name);
            entries[index].process->signal(SIGSTOP);
            last_away_ = monotonic_now();
            paused_[index] = true;
            break;
    }
}

void resumed_streams::harm_link(std::size_t index) {
    const std::string name = " the link of entry " + std::to_string(index + 1);
    switch (random_.below(4)) {
        case 0:
            faults_.push_back("silence" + name);
            links_[index]->silent = true;
            break;
        case 1:
            faults_.push_back("lose answers on" + name);
            links_[index]->answers_lost = true;
            break;
        case 2:
            faults_.push_back("delay" + name);
            links_[index]->delay = milliseconds(20 + static_cast<std::int64_t>(random_.below(200)));
            break;
        default:
            faults_.push_back("reset" + name);
            links_[index]->reset_connections();
            break;
    }
}

void resumed_streams::harm_target() {
    std::vector<stream_target*> running;
    for (const auto& each : targets) {
        if (each->runs()) {
            running.push_back(each.get());
        }
    }
    stream_target& harmed = *running[random_.below(running.size())];
    if (random_.below(2) == 0) {
        faults_.push_back("crash " + harmed.worker.id());
        harmed.crash();
        harmed.start_again();
        list(harmed, harmed.service);
        return;
    }
    replace_target(harmed);
}

/// Another target takes the place of one that leaves, now and then of a new version.
void resumed_streams::replace_target(stream_target& old) {
    if (random_.below(3) == 0) {
        last_version_ += 1;
    }
    const std::string version =
        "v" + std::to_string(last_version_ - static_cast<int>(random_.below(2)));
    stream_target& added = add_target(
        old.service, "i-" + old.service + "-new-" + std::to_string(++last_target_), version);
    faults_.push_back("replace " + old.worker.id() + " by " + added.worker.id() + " of " + version);
    list(old, old.service, "draining");
    loop.call_after(milliseconds(600), [this, &old] {
        if (old.runs()) {
            old.crash();
        }
        store.put("keyed.servers", old.worker.id(), std::nullopt);
    });
}

void resumed_streams::end_faults() {
    const bool was_away =
        store.silent || std::find(paused_.begin(), paused_.end(), true) != paused_.end();
    last_away_ = was_away ? monotonic_now() : last_away_;
    store.silent = false;
    store.refused_topic.clear();
    for (std::size_t index = 0; index < entry_count; ++index) {
        links_[index]->heal();
        if (paused_[index]) {
            paused_[index] = false;
            entries[index].process->signal(SIGCONT);
        }
    }
}

double resumed_streams::share_resumed_after_kill() {
    constexpr std::size_t streams = 24;
    const instant until = monotonic_now() + recovery_time;
    run_until(
        [this, until] {
            restart_ended();
            return monotonic_now() > until;
        },
        recovery_time + seconds(1));
    for (const entry& each : entries) {
        until_ready(each);
    }
    run_for(seconds(1));
    std::vector<resumable_call*> running;
    for (std::size_t number = 0; number < streams; ++number) {
        running.push_back(&begin(number % 2 == 0 ? "/plain/" : "/engine/", entries[0]));
    }
    run_until([&running] {
        return std::all_of(running.begin(), running.end(), [](resumable_call* call) {
            call->read();
            return call->numbers.size() >= 3;
        });
    });
    entries[0].process->signal(SIGKILL);
    const auto all_ended = [&running] {
        return std::all_of(running.begin(), running.end(),
                           [](resumable_call* call) { return call->ended(); });
    };
    run_until(all_ended);
    std::size_t resumed = 0;
    for (resumable_call* call : running) {
        if (!call->complete && !call->numbers.empty()) {
            resumed += 1;
            send(*call, entries[1 + resumed % (entry_count - 1)]);
        }
    }
    run_until(all_ended);
    std::size_t whole_streams = 0;
    for (resumable_call* call : running) {
        if (call->is_whole()) {
            whole_streams += 1;
            continue;
        }
        faults_.push_back("not whole: " + call->begun_by + " as " + call->attempts.back() +
                          ", status " + std::to_string(call->status) + ", " +
                          logged_resumption(call->attempts.back()));
    }
    return static_cast<double>(whole_streams) / static_cast<double>(streams);
}

/// What the entry that got the request has logged of its stream, or of its end.
std::string resumed_streams::logged_resumption(const std::string& id) const {
    for (const char* event : {"event=stream_resumed request=", "event=request_ended request="}) {
        for (const entry& each : entries) {
            const std::string output = each.process->output();
            const std::size_t begin = output.find(event + id + " ");
            if (begin != std::string::npos) {
                return output.substr(begin, output.find('\n', begin) - begin);
            }
        }
    }
    return "not logged";
}

bool resumed_streams::has_run(const std::string& id) const {
    return std::any_of(targets.begin(), targets.end(), [&id](const auto& each) {
        return std::any_of(
            each->worker.seen.begin(), each->worker.seen.end(),
            [&id](const message_head& head) { return head.header("Request-Id") == id; });
    });
}

std::vector<std::string> resumed_streams::broken() {
    std::vector<std::string> all;
    for (const resumable_call& call : calls) {
        if (call.versions.size() > 1) {
            std::string versions;
            for (const std::string& version : call.versions) {
                versions += " " + version;
            }
            all.push_back("a stream of two versions, begun by " + call.begun_by + ":" + versions);
        }
        for (std::size_t at = 0; at < call.numbers.size(); ++at) {
            if (call.numbers[at] != static_cast<int>(at) + 1) {
                all.push_back("an event is missing or comes twice: " + call.begun_by);
                break;
            }
        }
        if (call.complete && !call.is_whole()) {
            all.push_back("a stream ends whole without its events: " + call.begun_by);
        }
    }
    for (const std::string& each : late_requests_) {
        all.push_back("requests to a target that left two seconds before: " + each);
    }
    for (const std::string& id : refused_) {
        if (has_run(id)) {
            all.push_back("refused as not run, and ran: " + id);
        }
    }
    return all;
}

}  // namespace wrenswitch::testing
