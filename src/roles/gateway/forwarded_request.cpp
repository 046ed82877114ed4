#include "roles/gateway/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/target_request.hpp"
#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned first_redirection = 300;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_no_key = 401;
constexpr unsigned status_no_tokens = 402;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_timeout = 408;
constexpr unsigned status_misdirected = 421;
constexpr unsigned status_too_many = 429;
constexpr unsigned first_server_error = 500;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;

/// When to come back after a refusal, by what has to change until then.
constexpr microseconds until_configured = milliseconds(300);
constexpr microseconds until_tokens = milliseconds(500);
constexpr microseconds until_targets = milliseconds(200);
constexpr microseconds until_turns = milliseconds(400);
/// A region without targets stays so for longer than one that is merely busy.
constexpr microseconds until_region_has_targets = seconds(1);
constexpr microseconds until_elsewhere = milliseconds(50);

/// A run that ends its target does so within some 100 ms, and the end is known 150 ms later.
constexpr microseconds until_suspect_ended = milliseconds(300);

/// How often a request that no version may get right now is looked at again.
constexpr microseconds until_versions = milliseconds(40);
constexpr microseconds until_less_busy = milliseconds(150);

/// A target that refuses a connection does so at once; one that takes longer says nothing.
constexpr microseconds least_silence = milliseconds(300);

/// Events that may be on their way when an answer ends unseen, beside what its silence allows.
constexpr tokens unseen_events = 8;

/// How long a target has to end a run that was called off, before the worst is assumed.
constexpr microseconds longest_call_off = milliseconds(250);

/// What a request is expected to need at the most beside its tokens, when a process is to stop.
constexpr microseconds engine_reading_time = milliseconds(800);
constexpr microseconds plain_answer_time = milliseconds(600);

/// A target that says these without saying that it did not run a request promises too much.
bool promises_not_run(unsigned status) {
    return status == status_unavailable || status == status_too_many || status == status_timeout ||
           status == status_misdirected;
}

/// What an engine was chosen by, for logs.
std::string describe(const placement_price& price) {
    const auto whole = [](double value) { return std::to_string(static_cast<long>(value)); };
    return "first_event_ms=" + whole(price.first_event_ms) +
           ",backlog_ms=" + whole(price.backlog_ms) + ",pause_ms=" + whole(price.pause_ms) +
           ",lost_here=" + whole(price.lost_here) + ",lost_beside=" + whole(price.lost_beside);
}

/// Where a request may be, for logs.
std::string describe(const allowed_regions& regions) {
    if (!regions) {
        return "any";
    }
    std::string names;
    for (const std::string& region : *regions) {
        names += (names.empty() ? "" : ",") + region;
    }
    return names.empty() ? "none" : names;
}

}  // namespace

forwarded_request::forwarded_request(gateway_context& context, ingress_exchange_pointer exchange)
    : context_(context),
      exchange_(std::move(exchange)),
      to_caller_(exchange_, context.dialect),
      rollout_(context.rollouts),
      suspicion_(context.suspects, context.ends) {}

void forwarded_request::start() {
    context_.requests.insert(shared_from_this());
    context_.counters.counter("gateway_requests_total") += 1;
    context_.last_request = monotonic_now();
    exchange_->on_closed([self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->caller_gone();
        }
    });
    if (read_request() && admit_request() && is_no_danger() && may_be_somewhere() &&
        can_end_before_stop() && reaches_others() && has_time()) {
        set_deadline();
        take_tokens();
    }
}

bool forwarded_request::read_request() {
    result<incoming_request> read = read_incoming(exchange_->head(), context_.dialect);
    if (!read) {
        fail(status_bad_request, "malformed");
        return false;
    }
    request_ = std::move(read.value());
    trace_.begin(request_.id, exchange_->received());
    suspicion_.belongs_to({exchange_->head().method, request_.host, exchange_->head().target,
                           admitted_.account, exchange_->body()});
    return true;
}

bool forwarded_request::admit_request() {
    auto answer = admit(context_.configuration, request_.host, request_.path, request_.key,
                        context_.random.unit());
    if (auto* admitted = std::get_if<admitted_request>(&answer)) {
        admitted_ = std::move(*admitted);
        suspicion_.belongs_to({exchange_->head().method, request_.host, exchange_->head().target,
                               admitted_.account, exchange_->body()});
        const bool has_session = !request_.prompt.parts.empty();
        rollout_.belongs_to(admitted_.service, admitted_.route,
                            has_session ? session_of(request_.prompt) : spread_hash(request_.id));
        return true;
    }
    const auto refusal = std::get<admission_refusal>(answer);
    const std::string_view reason = name_of(refusal);
    switch (refusal) {
        case admission_refusal::no_configuration:
            refuse(status_unavailable, reason, until_configured);
            break;
        case admission_refusal::no_service:
            refuse(status_unavailable, reason, until_targets);
            break;
        case admission_refusal::no_route:
            fail(status_not_found, reason);
            break;
        case admission_refusal::unknown_key:
            fail(status_no_key, reason);
            break;
    }
    return false;
}

/// A request under which three targets have ended takes the next one along with all that it
/// serves: sent on by entries that knew nothing of each other's runs, one ended eleven engines of
/// twelve within 15 s. 502 tells the caller that it has failed at targets, without a time to come
/// back. It isn't charged again.
bool forwarded_request::is_no_danger() {
    if (suspicion_.held() != suspicion::quarantined) {
        return true;
    }
    fail(status_bad_gateway, "request_quarantined");
    return false;
}

/// A request that may be nowhere is told so before tokens are drawn for it and engines asked.
bool forwarded_request::may_be_somewhere() {
    if (!admitted_.regions ||
        context_.targets.has_target_in(admitted_.service, admitted_.regions)) {
        return true;
    }
    refuse(status_unavailable, "no_target_in_allowed_regions", until_region_has_targets);
    return false;
}

/// A process that is about to stop takes no request that it would have to cut.
bool forwarded_request::can_end_before_stop() {
    if (!context_.stopping_since) {
        return true;
    }
    const microseconds since = monotonic_now() - *context_.stopping_since;
    const microseconds answer = request_.prompt.most_output * context_.settings.most_time_per_token;
    const microseconds needed =
        std::min<microseconds>(admitted_.route.timeout,
                               admitted_.engine ? engine_reading_time + answer : plain_answer_time);
    if (context_.settings.drain.may_take(since, needed)) {
        return true;
    }
    refuse(status_unavailable, "stopping", until_targets);
    return false;
}

/// An entry that reaches nobody has neither tokens nor engines and says so at once: the caller can
/// be served by another one in time. Plain targets may still be reached.
bool forwarded_request::reaches_others() {
    if (!admitted_.engine || !context_.isolated()) {
        return true;
    }
    refuse(status_unavailable, "isolated", until_elsewhere);
    return false;
}

/// An entry that is late with all it has says so at once to a part of its callers. A stream costs
/// it some ten times what another request does, so that streams are refused first.
bool forwarded_request::has_time() {
    const double share = context_.overload.refused_share();
    const double refused = admitted_.engine ? share : 2.0 * share - 1.0;
    if (refused <= 0.0 || context_.random.unit() >= refused) {
        return true;
    }
    refuse(status_unavailable, "overloaded", until_less_busy);
    return false;
}

tokens forwarded_request::tokens_per_event() const {
    return admitted_.engine ? admitted_.engine->tokens_per_event : 1;
}

void forwarded_request::set_deadline() {
    microseconds longest = admitted_.route.timeout;
    if (request_.deadline) {
        longest = std::min(longest, *request_.deadline);
    }
    deadline_ = exchange_->received() + longest;
    context_.loop.call_after(time_left(), [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->deadline_passed();
        }
    });
}

microseconds forwarded_request::time_left() const {
    return std::max(microseconds(0), deadline_ - monotonic_now());
}

void forwarded_request::take_tokens() {
    if (!admitted_.counted) {
        dispatch();
        return;
    }
    if (!context_.grants_known()) {
        refuse(status_unavailable, "grants_unknown", until_configured);
        return;
    }
    const tokens most = request_.prompt.prompt + request_.prompt.most_output;
    tokens_asked_ = monotonic_now();
    trace_.add(tokens_asked_, "tokens_asked",
               {{"account", admitted_.account},
                {"most", std::to_string(most)},
                {"free", std::to_string(context_.grants.free(admitted_.account))},
                {"available", std::to_string(context_.grants.available(admitted_.account))},
                {"left_at_most", std::to_string(context_.grants.left_at_most(admitted_.account))},
                {"limit", std::to_string(context_.grants.limit(admitted_.account))},
                {"home", context_.tokens.describe_home(tokens_asked_, admitted_.account)},
                {"ledger", context_.describe_ledger()}});
    const auto found = context_.tokens.reserve(tokens_asked_, admitted_.account, most,
                                               [self = weak_from_this()](reserve_outcome outcome) {
                                                   if (const auto alive = self.lock()) {
                                                       alive->tokens_answered(outcome);
                                                   }
                                               });
    if (!found.waiting) {
        pay(found.now);
        return;
    }
    waiting_ = found.waiting;
    context_.counters.counter("gateway_token_waits_total") += 1;
}

void forwarded_request::tokens_answered(reserve_outcome outcome) {
    waiting_.reset();
    pay(outcome);
}

void forwarded_request::pay(reserve_outcome outcome) {
    const instant now = monotonic_now();
    context_.counters.histogram("gateway_token_wait_ms").observe(now - tokens_asked_);
    trace_.add(now, "tokens_answered", {{"outcome", std::string(name_of(outcome))}});
    if (outcome == reserve_outcome::exhausted) {
        fail(status_no_tokens, "budget_exhausted");
        return;
    }
    if (outcome == reserve_outcome::short_of_tokens) {
        refuse(status_unavailable, "short_of_tokens",
               context_.log_answers() ? until_tokens : context_.settings.until_log);
        return;
    }
    charge_ = request_charge(context_.grants, admitted_.account, request_.prompt.prompt,
                             request_.prompt.most_output);
    dispatch();
}

void forwarded_request::dispatch() {
    admitted_.regions =
        regions_now(context_.configuration, admitted_, request_.host, request_.path);
    if (admitted_.engine && request_.prompt.prompt > 0 && !engine_request_) {
        engine_request_ = {request_.prompt,
                           *admitted_.engine,
                           admitted_.route.first_answer_aim,
                           admitted_.route.longest_pause,
                           {}};
    }
    const bool suspected = suspicion_.held() != suspicion::none;
    const auto versions =
        rollout_.choose_versions(monotonic_now(), history_.number() + 1, suspected);
    if (versions) {
        choose_target(*versions);
    } else {
        wait_for_versions();
    }
}

/// Right before a roll-out's deadline the old version may get nothing that it couldn't end, and the
/// new one no more than its bound allows. That is over within some 400 ms.
void forwarded_request::wait_for_versions() {
    context_.counters.counter("gateway_waits_for_versions_total") += 1;
    context_.loop.call_after(until_versions, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && !alive->called_off_) {
            alive->dispatch();
        }
    });
}

/// What the configuration and a roll-out of the service leave of its targets is what may be chosen.
void forwarded_request::choose_target(const version_limit& versions) {
    const candidate_limits limits{admitted_.regions, versions};
    if (!engine_request_) {
        target_chosen(context_.targets.pick(monotonic_now(), admitted_.service, history_.tried(),
                                            admitted_.route.first_answer_aim,
                                            may_repeat(admitted_.route.kind), limits),
                      {});
        return;
    }
    engine_request_->limits = limits;
    const unsigned choice = ++choices_;
    auto placing = context_.placements.place(
        admitted_.service, *engine_request_, history_.tried(), time_left(),
        [self = weak_from_this()](const target_choice& chosen, const placed_run& run) {
            if (const auto alive = self.lock()) {
                alive->target_chosen(chosen, run);
            }
        });
    if (choice == choices_) {
        // Else the answer came at once, and another choice began.
        placing_ = std::move(placing);
    }
}

void forwarded_request::target_chosen(const target_choice& choice, const placed_run& run) {
    if (choice.target == nullptr) {
        no_target_left(choice.all_cold);
    } else if (choice.wait > microseconds(0)) {
        wait_for_turn(choice, run);
    } else {
        send_to(choice, run);
    }
}

/// A cold target gets its requests one after the other. The wait is known, and short enough for the
/// answer to be in time; a refusal would cost the caller its first try.
void forwarded_request::wait_for_turn(const target_choice& choice, const placed_run& run) {
    trace_.add(monotonic_now(), "turn_awaited",
               {{"target", choice.target->id}, {"wait_ms", millis_text(choice.wait)}});
    context_.counters.histogram("gateway_turn_wait_ms").observe(choice.wait);
    turn_ = turn_at_target{choice, choice.target->id,
                           choice.copy_from == nullptr ? "" : choice.copy_from->id, run};
    context_.loop.call_after(choice.wait, [self = weak_from_this()] {
        const auto alive = self.lock();
        if (alive && alive->turn_) {
            alive->turn_came();
        }
    });
}

/// The target may have been lost, emptied or forbidden meanwhile; then another is looked for.
void forwarded_request::turn_came() {
    admitted_.regions =
        regions_now(context_.configuration, admitted_, request_.host, request_.path);
    if (!context_.targets.usable(turn_->target, admitted_.service, {admitted_.regions, {}})) {
        drop_turn();
        dispatch();
        return;
    }
    turn_at_target turn = std::move(*turn_);
    turn_.reset();
    turn.choice.target = context_.targets.find(turn.target);
    const bool copies = context_.targets.may_copy(turn.copy_from, turn.target, admitted_.regions);
    turn.choice.copy_from = copies ? context_.targets.find(turn.copy_from) : nullptr;
    send_to(turn.choice, turn.run);
}

/// A run that was counted at an engine never gets there.
void forwarded_request::drop_turn() {
    if (!turn_) {
        return;
    }
    const placed_run run = std::move(turn_->run);
    turn_.reset();
    give_back(run);
}

/// An engine was chosen, and the request doesn't go there.
void forwarded_request::give_back(const placed_run& run) {
    if (run.number != 0) {
        context_.placements.ended(run, run_end::left);
    }
}

void forwarded_request::no_target_left(bool all_cold) {
    if (const auto versions = rollout_.look_further(all_cold)) {
        choose_target(*versions);
    } else {
        refuse_without_target(all_cold);
    }
}

void forwarded_request::refuse_without_target(bool all_cold) {
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "no_target_left");
    } else if (all_cold) {
        refuse(status_unavailable, "targets_cold", until_turns);
    } else if (admitted_.regions) {
        refuse(status_unavailable, "no_target_in_allowed_regions", until_targets);
    } else {
        refuse(status_unavailable, "no_target", until_targets);
    }
}

void forwarded_request::send_to(const target_choice& choice, const placed_run& run) {
    const gateway_target& target = *choice.target;
    const instant now = monotonic_now();
    if (suspicion_.held() == suspicion::quarantined || !suspicion_.begin(life_of(target))) {
        give_back(run);
        refuse_suspect();
        return;
    }
    if (!rollout_.begin(now, target)) {
        suspicion_.not_sent();
        give_back(run);
        dispatch();
        return;
    }
    target_ = target.id;
    history_.begin(target.id);
    answer_ = message_head{};
    answer_body_.clear();
    answer_refused_ = false;
    streaming_ = false;
    stream_.begin_attempt();
    sent_at_ = now;
    if (history_.number() == 1) {
        context_.retries.first_try(now, admitted_.service);
    }
    trace_.add(now, "request_sent",
               {{"target", target_},
                {"attempt", std::to_string(history_.number())},
                {"load", context_.targets.describe(now, target_)},
                {"unread_prompt", std::to_string(choice.unread)},
                {"copy_from", choice.copy_from == nullptr ? "" : choice.copy_from->id},
                {"price", describe(choice.price)},
                {"keeper", run.keeper},
                {"asked_for_us", std::to_string(run.asked_for.count())},
                {"left_ms", millis_text(time_left())}});
    run_ = run;
    count_by_region("gateway_sent_by_region_total");
    context_.targets.sent(target_);
    const std::string_view copy_from =
        choice.copy_from == nullptr ? std::string_view{} : choice.copy_from->address;
    const upstream_request sent =
        request_to_target(*exchange_, context_.dialect, request_, admitted_, target, copy_from,
                          events_.last_id(), time_left());
    call_ = context_.pool_of(target).send(sent, hooks_for(history_.number()));
    if (!engine_request_) {
        watch_silence();
    }
}

void forwarded_request::watch_silence() {
    const microseconds longest = context_.plain_answers.longest_usual(admitted_.service);
    context_.loop.call_after(longest, [self = weak_from_this(), attempt = history_.number()] {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && alive->call_ && alive->history_.number() == attempt) {
            alive->target_silent();
        }
    });
}

/// A target that hangs looks well to everybody else: it takes connections and says that it is
/// ready. One of four that hung for 7 s cost 160 requests, each held to its deadline. Found by its
/// silence, it costs an entry one request, and none that may be repeated.
void forwarded_request::target_silent() {
    if (answer_.status != 0 || !call_->sent()) {
        return;
    }
    const instant now = monotonic_now();
    context_.counters.counter("gateway_targets_silent_total") += 1;
    trace_.add(now, "target_silent",
               {{"target", target_}, {"after_ms", millis_text(now - sent_at_)}});
    context_.targets.silent(now, target_);
    if (called_off_ || !may_repeat(admitted_.route.kind)) {
        return;
    }
    if (!context_.targets.has_another(now, admitted_.service, history_.tried(),
                                      {admitted_.regions, {}})) {
        // It may still answer, and nobody else can.
        return;
    }
    if (take_retry()) {
        history_.note_may_have_run();
        suspicion_.left(now);
        end_attempt(run_end::left, rollout_gate::answer::badly);
        dispatch();
    }
}

upstream_hooks forwarded_request::hooks_for(unsigned attempt) {
    const auto self = weak_from_this();
    const auto when_current = [self, attempt](auto action) {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && alive->history_.number() == attempt) {
            action(*alive);
        }
    };
    upstream_hooks hooks;
    hooks.belongs = [id = request_.id, name = context_.dialect.request_id](
                        const message_head& head) { return head.header(name) == id; };
    hooks.on_head = [when_current](const message_head& head) {
        when_current([&head](forwarded_request& request) { request.on_head(head); });
    };
    hooks.on_piece = [when_current](std::string_view piece) {
        when_current([piece](forwarded_request& request) { request.on_piece(piece); });
    };
    hooks.on_end = [when_current] {
        when_current([](forwarded_request& request) { request.on_end(); });
    };
    hooks.on_failed = [when_current](upstream_failure failure) {
        when_current([failure](forwarded_request& request) { request.on_failed(failure); });
    };
    return hooks;
}

void forwarded_request::on_head(const message_head& head) {
    const instant now = monotonic_now();
    note_life();
    suspicion_.heard(now);
    if (const auto load = context_.dialect.read_load(head.header(context_.dialect.load))) {
        context_.targets.reported(now, target_, *load);
    }
    context_.counters.histogram("gateway_target_ms").observe(now - sent_at_);
    if (!engine_request_) {
        context_.plain_answers.observe(admitted_.service, now - sent_at_);
    }
    trace_.add(now, "target_answered",
               {{"target", target_},
                {"status", std::to_string(head.status)},
                {"after_ms", millis_text(now - sent_at_)}});
    answer_ = head;
    answer_refused_ = head.count(context_.dialect.not_run) > 0 || head.status == status_misdirected;
    if (answer_refused_) {
        return;
    }
    history_.note_may_have_run();
    rollout_.note_reached();
    charge_.prompt_read(now);
    streaming_ = is_stream(admitted_.route.kind) && head.status == status_ok;
    if (!streaming_) {
        rollout_.note_first(now);
    }
}

/// Engines stand on the fleet's own hosts: one that answers shows that this entry reaches them.
void forwarded_request::note_life() {
    if (admitted_.engine) {
        context_.heard();
    }
}

void forwarded_request::on_piece(std::string_view piece) {
    if (streaming_) {
        pass_stream(piece);
        return;
    }
    answer_body_.append(piece);
}

void forwarded_request::pass_stream(std::string_view piece) {
    const whole_events whole = events_.add(piece);
    if (whole.count == 0) {
        return;
    }
    note_events(whole.count);
    charge_.handed_out(stream_.last(), tokens_per_event() * static_cast<tokens>(whole.count));
    if (called_off_) {
        return;
    }
    if (!to_caller_.begun()) {
        context_.counters.histogram("gateway_first_event_ms")
            .observe(monotonic_now() - exchange_->received());
        note_first_answer();
    }
    if (!to_caller_.pass_events(answer_, whole.bytes)) {
        caller_gone();
    }
}

/// Learns from the times at which events come, and keeps what held one up for too long.
void forwarded_request::note_events(std::size_t count) {
    const instant now = monotonic_now();
    suspicion_.heard(now);
    const bool first = stream_.events() == 0;
    const microseconds gap = stream_.note(now, count);
    if (first) {
        context_.placements.first_event(run_);
        rollout_.note_first(now);
        return;
    }
    if (const std::optional<microseconds> span = stream_.take_span()) {
        context_.placements.next_events(run_, *span);
        note_life();
    }
    context_.pauses.observe(gap);
    const microseconds bound = admitted_.route.longest_pause;
    if (bound > microseconds(0) && gap > bound) {
        context_.counters.counter("gateway_late_pauses_total") += 1;
        trace_.add(now, "stream_paused",
                   {{"target", target_},
                    {"pause_ms", millis_text(gap)},
                    {"load", context_.targets.describe(now, target_)}});
    }
}

void forwarded_request::on_end() {
    const bool well = answer_.status < first_server_error || answer_refused_;
    if (called_off_) {
        suspicion_.left(monotonic_now());
        end_attempt(run_end::left, rollout_gate::answer::silent);
        call_off_ended();
        return;
    }
    const bool whole = well && !(streaming_ && events_.has_rest());
    const bool is_success = answer_.status >= status_ok && answer_.status < first_redirection;
    suspicion_.answered(whole && is_success && !answer_refused_);
    const auto answer = whole ? rollout_gate::answer::well : rollout_gate::answer::badly;
    end_attempt(well ? run_end::answered_well : run_end::answered_badly,
                answer_refused_ ? rollout_gate::answer::silent : answer);
    context_.targets.answered(monotonic_now(), target_, well);
    if (answer_refused_) {
        if (answer_.status == status_misdirected) {
            // Another life of the target has its address.
            context_.targets.remove(monotonic_now(), target_);
            context_.targets.failed(monotonic_now(), target_);
        }
        answer_refused();
        return;
    }
    if (streaming_) {
        end_stream();
        return;
    }
    answer_complete();
}

void forwarded_request::end_stream() {
    if (events_.has_rest()) {
        attempt_broken();
        return;
    }
    to_caller_.end_stream(answer_);
    finish("served", answer_.status);
}

void forwarded_request::answer_complete() {
    const bool failure = answer_.status >= first_server_error;
    if (failure && try_again()) {
        return;
    }
    if (promises_not_run(answer_.status)) {
        fail(status_bad_gateway, "target_answered_" + std::to_string(answer_.status));
        return;
    }
    pass_answer();
}

void forwarded_request::answer_refused() {
    history_.note_refused();
    if (try_again()) {
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "refused_after_a_run");
        return;
    }
    refuse(status_unavailable, "target_refused_" + std::to_string(answer_.status), until_targets);
}

/// The target's own answer, as it came.
void forwarded_request::pass_answer() {
    if (to_caller_.begun()) {
        cut("resumed_with_" + std::to_string(answer_.status));
        return;
    }
    note_first_answer();
    to_caller_.pass_whole(answer_, answer_body_);
    finish("served", answer_.status);
}

void forwarded_request::end_attempt(run_end how, rollout_gate::answer answer) {
    call_.reset();
    rollout_.end(answer, stream_.pace());
    context_.targets.finished(target_);
    const placed_run run = std::exchange(run_, {});
    if (run.number != 0) {
        context_.placements.ended(run, how);
    }
}

void forwarded_request::on_failed(upstream_failure failure) {
    // What ends targets of one version and of another says nothing of either.
    const bool says_nothing = called_off_ || failure == upstream_failure::not_sent ||
                              suspicion_.held() != suspicion::none;
    if (called_off_) {
        suspicion_.left(monotonic_now());
    } else {
        suspicion_.broke(monotonic_now(), failure);
    }
    end_attempt(called_off_ ? run_end::left : run_end::failed,
                says_nothing ? rollout_gate::answer::silent : rollout_gate::answer::badly);
    if (called_off_) {
        if (failure != upstream_failure::cut_short) {
            assume_unseen();
        }
        call_off_ended();
        return;
    }
    trace_.add(monotonic_now(), "attempt_failed",
               {{"target", target_},
                {"attempt", std::to_string(history_.number())},
                {"failure", std::string(name_of(failure))},
                {"fingerprint", suspicion_.fingerprint().to_hex()},
                {"held", std::string(name_of(suspicion_.held()))},
                {"after_ms", millis_text(monotonic_now() - sent_at_)}});
    context_.targets.failed(monotonic_now(), target_);
    if (failure == upstream_failure::not_sent) {
        attempt_unsent();
        return;
    }
    history_.note_may_have_run();
    attempt_broken();
}

/// The target couldn't be connected to, so that another may be offered the request.
void forwarded_request::attempt_unsent() {
    history_.note_unsent();
    if (admitted_.engine && monotonic_now() - sent_at_ >= least_silence) {
        context_.target_silent(target_);
    }
    const bool may_offer = history_.may_offer_again() && time_left() > microseconds(0);
    if (may_offer && !context_.isolated()) {
        context_.retries.followed_unsent(admitted_.service);
        dispatch();
        return;
    }
    if (history_.may_have_run()) {
        fail(status_bad_gateway, "target_lost");
        return;
    }
    refuse(status_unavailable, "targets_unreachable", until_targets);
}

/// An attempt that may have run ended without a whole answer.
void forwarded_request::attempt_broken() {
    events_.drop_rest();
    assume_unseen();
    if (try_again()) {
        return;
    }
    fail(status_bad_gateway, "target_lost");
}

/// A suspect that is under way elsewhere waits for the end of that run, which clears it or doesn't.
void forwarded_request::refuse_suspect() {
    const bool quarantined = suspicion_.held() == suspicion::quarantined;
    if (quarantined || history_.may_have_run()) {
        fail(status_bad_gateway, quarantined ? "request_quarantined" : "suspect_under_way");
        return;
    }
    refuse(status_unavailable, "suspect_under_way", until_suspect_ended);
}

void forwarded_request::quarantined(const digest& request) {
    if (ended_ || called_off_ || call_ == nullptr || !suspicion_.is_under_way(request)) {
        return;
    }
    const bool sent = call_->sent();
    suspicion_.left(monotonic_now());
    end_attempt(run_end::left, rollout_gate::answer::silent);
    if (sent) {
        history_.note_may_have_run();
        assume_unseen();
    }
    fail(status_bad_gateway, "request_quarantined");
}

/// True if the request may go to another target: the answer can go on from there, and the retries
/// allow it, of which this takes one.
bool forwarded_request::take_retry() {
    const bool can_go_on = !to_caller_.begun() || !events_.last_id().empty();
    const bool may_try =
        can_go_on && suspicion_.held() == suspicion::none && time_left() > microseconds(0) &&
        history_.may_send_again(admitted_.route.kind, admitted_.route.most_attempts);
    if (!may_try) {
        return false;
    }
    const instant now = monotonic_now();
    const double allowed = context_.retries.allowed(now, admitted_.service);
    const bool taken = context_.retries.take(now, admitted_.service);
    trace_.add(now, taken ? "retry_taken" : "retry_denied",
               {{"service", admitted_.service}, {"allowed", std::to_string(allowed)}});
    return taken;
}

/// Sends the request to another target, if it may go there.
bool forwarded_request::try_again() {
    if (!take_retry()) {
        return false;
    }
    dispatch();
    return true;
}

void forwarded_request::deadline_passed() {
    if (ended_ || called_off_) {
        return;
    }
    const bool sent = call_ != nullptr && call_->sent();
    suspicion_.left(monotonic_now());
    if (call_) {
        end_attempt(run_end::left, sent ? answer_at_deadline() : rollout_gate::answer::silent);
    }
    if (!sent && !history_.may_have_run()) {
        refuse(status_unavailable, "deadline_before_sending", until_targets);
        return;
    }
    history_.note_may_have_run();
    if (sent) {
        assume_unseen();
    }
    fail(status_gateway_timeout, "deadline");
}

/// A target that had most of the time that the caller gave, and didn't end, did badly. One that got
/// the request late says nothing.
rollout_gate::answer forwarded_request::answer_at_deadline() const {
    const microseconds had = deadline_ - sent_at_;
    const microseconds given = deadline_ - exchange_->received();
    return had * 2 >= given ? rollout_gate::answer::badly : rollout_gate::answer::silent;
}

void forwarded_request::join_rollout(const std::string& service) {
    if (!ended_ && call_ != nullptr && admitted_.service == service) {
        rollout_.join(context_.targets.find(target_));
    }
}

/// Calls the run off. A target that hadn't begun ends the connection without a word, so that the
/// account needn't pay for what the caller never could have got.
void forwarded_request::caller_gone() {
    if (ended_ || called_off_) {
        return;
    }
    called_off_ = true;
    waiting_.reset();
    placing_.reset();
    drop_turn();
    if (call_ == nullptr || !call_->sent()) {
        call_off_ended();
        return;
    }
    call_->call_off();
    context_.loop.call_after(longest_call_off, [self = weak_from_this()] {
        if (const auto alive = self.lock()) {
            alive->assume_unseen();
            alive->call_off_ended();
        }
    });
}

void forwarded_request::call_off_ended() {
    if (ended_) {
        return;
    }
    if (call_) {
        suspicion_.left(monotonic_now());
        end_attempt(run_end::left, rollout_gate::answer::silent);
    }
    finish("caller_gone", 0);
}

void forwarded_request::refuse(unsigned status, std::string_view reason, microseconds retry_after) {
    if (to_caller_.begun()) {
        cut(reason);
        return;
    }
    to_caller_.refuse(request_.id, status, reason, retry_after);
    finish(reason, status);
}

/// Charges what the target of an attempt may have handed out since its last event came. To be
/// called once an attempt, when its connection is closed: nothing more can be handed to this
/// process then.
void forwarded_request::assume_unseen() {
    const instant now = monotonic_now();
    const microseconds silence = now - std::max(sent_at_, stream_.last());
    const tokens possible = silence / context_.settings.least_time_per_token;
    charge_.assume(now, possible + tokens_per_event() * unseen_events);
}

/// Ends an answer that was begun and can't be finished, so that the caller sees that it isn't
/// whole.
void forwarded_request::cut(std::string_view reason) {
    to_caller_.cut();
    finish(reason, 0);
}

void forwarded_request::fail(unsigned status, std::string_view reason) {
    if (to_caller_.begun()) {
        cut(reason);
        return;
    }
    to_caller_.fail(request_.id, status, reason);
    finish(reason, status);
}

/// Counts an answer, or the first event of a stream, that comes later than its route's aim.
void forwarded_request::note_first_answer() const {
    const microseconds aim = admitted_.route.first_answer_aim;
    if (aim > microseconds(0) && monotonic_now() - exchange_->received() > aim) {
        count_by_region("gateway_late_by_region_total");
    }
}

/// Counts by the regions of this entry, to which the caller came, and of the last target. A region
/// that nobody named, or that of no target, is empty.
void forwarded_request::count_by_region(std::string_view what) const {
    const gateway_settings& settings = context_.settings;
    const metric_label caller{"caller", settings.regions.region_of(settings.failure_domain)};
    const metric_label target{"target", context_.targets.region_of(target_)};
    context_.counters.counter(labelled(what, {caller, target})) += 1;
}

/// Counts the end and tells the request's story: all of one that failed, and of a sample of the
/// rest.
void forwarded_request::note_end(std::string_view outcome, unsigned status) {
    const bool served = outcome == "served" && status < first_server_error;
    const instant now = monotonic_now();
    const microseconds took = now - exchange_->received();
    const std::string_view result = served ? "served" : (status == 0 ? "cut" : "failed");
    count_by_region(status == status_unavailable ? "gateway_refused_by_region_total"
                                                 : "gateway_requests_by_region_total");
    context_.counters.histogram(labelled("gateway_request_ms", {{"outcome", result}}))
        .observe(took);
    trace_.add(now, "request_ended",
               {{"outcome", std::string(outcome)},
                {"status", std::to_string(status)},
                {"route", admitted_.route.name},
                {"configuration", std::to_string(context_.configuration.current().version)},
                {"account", admitted_.account},
                {"fingerprint", served ? "" : suspicion_.fingerprint().to_hex()},
                {"target", target_},
                {"target_region", std::string(context_.targets.region_of(target_))},
                {"allowed_regions", describe(admitted_.regions)},
                {"attempts", std::to_string(history_.number())},
                {"tokens", std::to_string(charge_.spent())},
                {"prompt", std::to_string(charge_.prompt_spent())},
                {"longest_pause_ms", millis_text(stream_.longest_pause())},
                {"took_ms", millis_text(took)}});
    const bool wanted =
        !served || request_trace::sampled(trace_.id(), context_.settings.log_served_percent);
    if (wanted) {
        context_.events.tell(trace_, !served);
    }
}

void forwarded_request::finish(std::string_view outcome, unsigned status) {
    ended_ = true;
    waiting_.reset();
    placing_.reset();
    drop_turn();
    charge_.close();
    context_.counters.counter("gateway_outcome_" + std::string(outcome) + "_total") += 1;
    note_end(outcome, status);
    context_.loop.call_after(
        microseconds(0),
        [&requests = context_.requests, self = shared_from_this()] { requests.erase(self); });
}

}  // namespace wrenswitch
