#include "wrenswitch/decision/placement/engine_placer.hpp"

#include <algorithm>
#include <cmath>

#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// An engine's memory if the service doesn't say: enough for some long prompts.
constexpr tokens assumed_memory = 200'000;

/// The time between events that is assumed before any was seen, in ms: streams on today's engines.
constexpr double assumed_pace_ms = 30.0;

/// How soft the bound of the first event is: estimates are some tens of percent off.
constexpr double first_event_softness = 0.2;

/// The time to set a copy up, in ms.
constexpr double copy_start_ms = 4.0;

/// What a token that is read costs, as a share of one that is asked for: engines' time for others.
/// At 0.3 requests waited at engines that had read their prompts while others were idle; 0.2 is
/// worth 0.012 and 0.003 on two days with trouble of 26 entries (four seeds), 0.000 to 0.025 on
/// four days each of 4 and 4 entries (seven seeds), and nothing less anywhere; 0.1 no more than
/// that.
constexpr double reading_share = 0.2;

/// The same for a token that is copied.
constexpr double copying_share = 0.03;

/// What waiting for as long as the aim allows costs, as a share of the request: just enough to
/// prefer the shorter of two waits that are both in time.
constexpr double waiting_share = 0.02;

/// What a full engine costs, as a share of the request: just enough to spread requests.
constexpr double crowding_share = 0.02;

/// What the engine that a session's requests meet at by hash is preferred by, as a share of the
/// request: entries that know nothing of each other choose the same.
constexpr double home_share = 0.01;

/// What going to another region costs, as a share of the request, beside its time: the bytes there
/// and back, and what one region's load in the other takes from its own.
constexpr double crossing_share = 0.05;

/// Bounds of what one engine is taken to be slower than most: estimates beyond are no speed but
/// trouble, which other terms see.
constexpr double least_slowness = 0.5;
constexpr double most_slowness = 5.0;

constexpr double ms_a_second = 1000.0;

/// What is lost if an answer isn't worth anything: the tokens that it costs.
double stake_of(const prompt_shape& shape) {
    return static_cast<double>(shape.prompt + expected_output(shape));
}

}  // namespace

engine_placer::engine_state& engine_placer::state_of(const std::string& service,
                                                     const std::string& target,
                                                     const engine_shape& engine) {
    engine_state& state = engines_[target];
    state.service = service;
    state.memory.set_room(engine.memory > 0 ? engine.memory : assumed_memory);
    return state;
}

engine_choice engine_placer::choose(instant now, const std::string& service,
                                    std::span<const engine_candidate> candidates,
                                    std::span<const engine_source> sources,
                                    const engine_request& request) {
    std::vector<engine_state*> states;
    states.reserve(candidates.size());
    for (const engine_candidate& candidate : candidates) {
        const auto known = engines_.find(candidate.id);
        states.push_back(known != engines_.end()
                             ? &known->second
                             : &state_of(service, std::string(candidate.id), request.engine));
        states.back()->load.watch_bound(as_milliseconds(request.longest_pause));
    }
    learn_usual_pace(service, states);
    const std::vector<asked> questions =
        ask_by_region(candidates, sources, request, services_[service]);
    engine_choice best;
    for (std::size_t index = 0; index < candidates.size(); ++index) {
        const auto question = std::find_if(
            questions.begin(), questions.end(),
            [&](const asked& each) { return each.region == candidates[index].region; });
        engine_choice choice = price_at(now, candidates[index], *states[index], *question);
        choice.index = index;
        if (index == 0 || choice.price.sum < best.price.sum) {
            best = std::move(choice);
        }
    }
    return best;
}

std::vector<engine_placer::asked> engine_placer::ask_by_region(
    std::span<const engine_candidate> candidates, std::span<const engine_source> sources,
    const engine_request& request, const service_state& service) {
    std::map<std::string_view, std::vector<std::string_view>> regions;
    for (const engine_candidate& candidate : candidates) {
        regions[candidate.region].push_back(candidate.id);
    }
    std::vector<asked> questions;
    for (const auto& [region, engines] : regions) {
        asked question{
            region, request, service, home_of(engines, request.shape), stake_of(request.shape),
            0,      {}};
        if (request.engine.copy_ms_per_token > 0.0) {
            find_keeper(question, sources);
        }
        questions.push_back(question);
    }
    return questions;
}

void engine_placer::learn_usual_pace(const std::string& service,
                                     std::span<engine_state* const> states) {
    std::vector<double> known;
    for (const engine_state* state : states) {
        if (state->pace.known()) {
            known.push_back(state->pace.gap_ms());
        }
    }
    if (known.empty()) {
        return;
    }
    const auto middle = known.begin() + static_cast<std::ptrdiff_t>(known.size() / 2);
    std::nth_element(known.begin(), middle, known.end());
    services_[service].usual_pace_ms = *middle;
}

/// The engine that keeps most of the prompt. If none is known to keep any, the one that the session
/// meets at by hash may, since other entries send there too.
void engine_placer::find_keeper(asked& question, std::span<const engine_source> sources) const {
    const kept_prompt most = most_kept(sources, question.region, question.request.shape);
    question.keeper = most.kept > 0 ? most.engine : question.home;
    question.most_kept = most.kept;
}

engine_placer::kept_prompt engine_placer::most_kept(std::span<const engine_source> sources,
                                                    std::string_view region,
                                                    const prompt_shape& shape) const {
    kept_prompt most;
    for (const engine_source& source : sources) {
        if (source.region != region) {
            continue;
        }
        const auto found = engines_.find(source.id);
        const tokens kept = found == engines_.end() ? 0 : found->second.memory.kept(shape);
        if (kept > most.kept) {
            most = {source.id, kept};
        }
    }
    return most;
}

engine_choice engine_placer::price_at(instant now, const engine_candidate& candidate,
                                      const engine_state& state, const asked& question) {
    const prompt_shape& shape = question.request.shape;
    const tokens kept = state.memory.kept(shape);
    const bool copies = question.most_kept - kept >= least_copied;
    const tokens copied = copies ? question.most_kept - kept : 0;
    engine_choice choice;
    choice.unread = std::max<tokens>(0, shape.prompt - kept - copied);
    const bool may_keep_more = question.most_kept == 0 && kept == 0;
    if ((copies || may_keep_more) && question.keeper != candidate.id) {
        choice.copy_from = question.keeper;
    }
    choice.price = price(now, candidate, state, question, choice.unread, copied);
    return choice;
}

placement_price engine_placer::price(instant now, const engine_candidate& candidate,
                                     const engine_state& state, const asked& question,
                                     tokens unread, tokens copied) {
    const engine_request& request = question.request;
    const double stake = question.stake;
    const double runs = static_cast<double>(state.load.runs());
    const double slots = std::max(1U, candidate.slots);
    placement_price price;
    price.backlog_ms = state.load.backlog_ms(now);
    price.first_event_ms = first_event_at(now, candidate, state, question, unread, copied);
    price.pause_ms = pause_at(now, state, question.service, request, unread);
    const double in_time = chance_in_time(now, state, question, price.first_event_ms);
    const double preempted = chance_preempted(state, question);
    price.lost_here = stake * (1.0 - in_time + candidate.failure_rate + preempted);
    price.lost_beside = state.load.loss_by_pause(now, price.pause_ms);
    const double engine_time =
        reading_share * static_cast<double>(unread) + copying_share * static_cast<double>(copied);
    const double aim = std::max(1.0, as_milliseconds(request.first_event_aim));
    const double home = candidate.id == question.home ? home_share : 0.0;
    const double crossing = candidate.way_ms > 0.0 ? crossing_share : 0.0;
    const double preference = waiting_share * price.first_event_ms / aim +
                              crowding_share * runs / slots + crossing - home;
    price.sum = price.lost_here + price.lost_beside + engine_time + stake * preference;
    return price;
}

/// The time until the first event there, in ms.
double engine_placer::first_event_at(instant now, const engine_candidate& candidate,
                                     const engine_state& state, const asked& question,
                                     tokens unread, tokens copied) {
    const engine_request& request = question.request;
    const double slots = std::max(1U, candidate.slots);
    const double beyond = static_cast<double>(state.load.runs()) - slots + 1.0;
    const double answer = answer_ms(state, question.service, request);
    const double slot_wait = std::max(0.0, beyond) * answer / slots;
    const double copying =
        copied > 0 ? copy_start_ms + request.engine.copy_ms_per_token * static_cast<double>(copied)
                   : 0.0;
    const double alone = question.service.model.first_event_ms(request.shape.prompt, unread);
    const double before = std::max(candidate.wait_ms, state.load.backlog_ms(now));
    return candidate.way_ms + before + state.load.overdue_ms(now) + slot_wait + copying +
           slowness(state, question.service) * alone;
}

/// The chance that neither the first event nor a pause behind it comes late.
double engine_placer::chance_in_time(instant now, const engine_state& state, const asked& question,
                                     double first_event_ms) {
    const engine_request& request = question.request;
    const double late_first =
        chance_late(first_event_ms, as_milliseconds(request.first_event_aim), first_event_softness);
    const double answer = answer_ms(state, question.service, request);
    const double late_pauses =
        state.load.late_pauses_per_second(now, as_milliseconds(request.longest_pause)) * answer /
        ms_a_second;
    return (1.0 - late_first) * std::exp(-late_pauses);
}

/// The chance that the engine runs out of memory and takes the request's away.
double engine_placer::chance_preempted(const engine_state& state, const asked& question) {
    const tokens memory = question.request.engine.memory;
    const auto room = static_cast<double>(memory > 0 ? memory : assumed_memory);
    const double over = static_cast<double>(state.load.held()) + question.stake - room;
    return std::clamp(over / std::max(1.0, question.stake), 0.0, 1.0);
}

/// How much longer the target takes for everything than most of the service's targets.
double engine_placer::slowness(const engine_state& state, const service_state& service) {
    if (!state.pace.known() || service.usual_pace_ms <= 0.0) {
        return 1.0;
    }
    return std::clamp(state.pace.gap_ms() / service.usual_pace_ms, least_slowness, most_slowness);
}

/// Streams get one event while the engine reads as many pieces as the event has tokens. Prompts
/// that are read one after the other count as one.
double engine_placer::pause_at(instant now, const engine_state& state, const service_state& service,
                               const engine_request& request, tokens unread) {
    const double slow = slowness(state, service);
    const tokens prompt = request.shape.prompt;
    const double whole =
        state.load.backlog_ms(now) + slow * service.model.reading_ms(prompt, unread);
    const double longest =
        slow * service.model.pause_ms(prompt, prompt, request.engine.tokens_per_event);
    return std::min(whole, std::max(longest, state.load.pending_pause_ms(now)));
}

/// How long the answer's events are expected to come, in ms.
double engine_placer::answer_ms(const engine_state& state, const service_state& service,
                                const engine_request& request) {
    const double usual = service.usual_pace_ms > 0.0 ? service.usual_pace_ms : assumed_pace_ms;
    const double pace = state.pace.known() ? state.pace.gap_ms() : usual;
    const auto events = static_cast<double>(expected_output(request.shape)) /
                        static_cast<double>(std::max<tokens>(1, request.engine.tokens_per_event));
    return events * pace;
}

std::uint64_t engine_placer::begin(instant now, const std::string& service,
                                   const std::string& target, const engine_request& request,
                                   tokens unread, bool all_known) {
    engine_state& state = state_of(service, target, request.engine);
    const service_state& known = services_[service];
    const bool alone = state.load.backlog_ms(now) <= 0.0;
    const double reading =
        slowness(state, known) * known.model.reading_ms(request.shape.prompt, unread);
    const double pause = pause_at(now, state, known, request, unread);
    const std::uint64_t number = ++last_number_;
    const engine_run run{number, request.shape.prompt + expected_output(request.shape),
                         stake_of(request.shape), as_milliseconds(request.longest_pause)};
    state.load.begin(now, run, {number, reading, pause});
    state.memory.remember(request.shape);
    if (all_known && alone) {
        state.watched[number] = {now, request.shape.prompt, unread};
    }
    return number;
}

void engine_placer::first_event(instant now, std::string_view target, std::uint64_t number) {
    const auto found = engines_.find(target);
    if (found == engines_.end()) {
        return;
    }
    engine_state& state = found->second;
    state.load.first_event(now, number);
    const auto watched = state.watched.find(number);
    if (watched == state.watched.end()) {
        return;
    }
    service_state& service = services_[state.service];
    const double took = as_milliseconds(now - watched->second.begun) / slowness(state, service);
    service.model.observe(watched->second.prompt, watched->second.unread, took);
    state.watched.erase(watched);
}

void engine_placer::next_events(instant now, std::string_view target, microseconds span) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        found->second.load.heard(now);
        found->second.pace.observe(span);
    }
}

void engine_placer::end(instant now, std::string_view target, std::uint64_t number) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        found->second.load.end(now, number);
        found->second.watched.erase(number);
    }
}

double engine_placer::reading_ms(std::string_view service, tokens prompt) const {
    const auto found = services_.find(service);
    return (found == services_.end() ? reading_model() : found->second.model)
        .reading_ms(prompt, prompt);
}

std::string engine_placer::describe(instant now, std::string_view target) const {
    const auto found = engines_.find(target);
    if (found == engines_.end()) {
        return "unknown";
    }
    const engine_state& state = found->second;
    const auto whole = [](double value) { return std::to_string(static_cast<long>(value)); };
    return "runs=" + std::to_string(state.load.runs()) +
           ",backlog_ms=" + whole(state.load.backlog_ms(now)) +
           ",overdue_ms=" + whole(state.load.overdue_ms(now)) +
           ",pace_ms=" + whole(state.pace.gap_ms());
}

void engine_placer::forget(std::string_view target) {
    const auto found = engines_.find(target);
    if (found != engines_.end()) {
        engines_.erase(found);
    }
}

}  // namespace wrenswitch
