#include "roles/gateway/forwarded_request.hpp"

#include <algorithm>
#include <utility>

#include "roles/gateway/http_status.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/gateway/target_request.hpp"
#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// What a request is expected to need at the most beside its tokens, when a process is to stop.
constexpr microseconds engine_reading_time = milliseconds(800);
constexpr microseconds plain_answer_time = milliseconds(600);

/// What an engine was chosen by, for logs.
std::string describe(const placement_cost& price) {
    const auto whole = [](double value) { return std::to_string(static_cast<long>(value)); };
    return "first_event_ms=" + whole(price.first_event_ms) +
           ",backlog_ms=" + whole(price.backlog_ms) + ",pause_ms=" + whole(price.pause_ms) +
           ",lost_here=" + whole(price.own_cost) + ",lost_beside=" + whole(price.stream_cost);
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
    if (read_request() && admit_request() && is_not_quarantined() && may_be_somewhere() &&
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
    return true;
}

bool forwarded_request::admit_request() {
    auto answer = admit(context_.configuration, request_.host, request_.path, request_.key,
                        context_.random.unit());
    if (auto* admitted = std::get_if<admitted_request>(&answer)) {
        admitted_ = std::move(*admitted);
        suspicion_.belongs_to({exchange_->head().method, request_.host, exchange_->head().target,
                               admitted_.account, exchange_->body()});
        context_.urgencies.record(exchange_->received(), admitted_.service, admitted_.priority);
        const bool has_session = !request_.prompt.parts.empty();
        rollout_.belongs_to(admitted_.service, admitted_.route,
                            has_session ? session_id(request_.prompt) : spread_hash(request_.id));
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
bool forwarded_request::is_not_quarantined() {
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
    const microseconds answer = request_.prompt.max_output * context_.settings.most_time_per_token;
    const microseconds needed =
        std::min<microseconds>(admitted_.route.timeout,
                               admitted_.engine ? engine_reading_time + answer : plain_answer_time);
    if (context_.settings.drain.may_accept(since, needed)) {
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
    if (!admitted_.is_metered) {
        dispatch();
        return;
    }
    if (!context_.grants_known()) {
        refuse(status_unavailable, "grants_unknown", until_configured);
        return;
    }
    const tokens most = request_.prompt.prompt_tokens + request_.prompt.max_output;
    tokens_asked_ = monotonic_now();
    trace_.add(tokens_asked_, "tokens_asked",
               {{"account", admitted_.account},
                {"most", std::to_string(most)},
                {"free", std::to_string(context_.grants.free_tokens(admitted_.account))},
                {"available", std::to_string(context_.grants.ungranted(admitted_.account))},
                {"left_at_most", std::to_string(context_.grants.max_remaining(admitted_.account))},
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
    charge_ = request_charge(context_.grants, admitted_.account, request_.prompt.prompt_tokens,
                             request_.prompt.max_output);
    dispatch();
}

/// The only way to a target. What it has said of itself since it was chosen holds here: a request
/// that waited for a turn under a limit of fifty a second doesn't go under one of a half.
void forwarded_request::send_to(const target_choice& choice, const placed_run& run,
                                const send_permit& turn) {
    const gateway_target& target = *choice.target;
    const instant now = monotonic_now();
    if (!context_.targets.may_send(now, target.id, turn)) {
        context_.counters.counter("gateway_turns_void_total") += 1;
        trace_.add(now, "turn_void",
                   {{"target", target.id}, {"load", context_.targets.describe(now, target.id)}});
        give_back(run);
        dispatch();
        return;
    }
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
    patience_ = microseconds(0);
    target_ = target.id;
    life_ = life_of(target);
    history_.begin_attempt(target.id);
    answer_ = message_head{};
    answer_body_.clear();
    answer_refused_ = false;
    streaming_ = false;
    stream_.begin_attempt();
    sent_at_ = now;
    if (history_.attempt_number() == 1) {
        context_.retries.first_try(now, admitted_.service);
    }
    trace_.add(now, "request_sent",
               {{"target", target_},
                {"attempt", std::to_string(history_.attempt_number())},
                {"load", context_.targets.describe(now, target_)},
                {"unread_prompt", std::to_string(choice.uncached_tokens)},
                {"copy_from", choice.copy_from == nullptr ? "" : choice.copy_from->id},
                {"price", describe(choice.price)},
                {"keeper", run.keeper},
                {"asked_for_us", std::to_string(run.asked_for.count())},
                {"left_ms", millis_text(time_left())}});
    run_ = run;
    count_by_region("gateway_sent_by_region_total");
    context_.targets.on_sent(target_);
    context_.signals.sent(now, target_);
    const std::string_view copy_from =
        choice.copy_from == nullptr ? std::string_view{} : choice.copy_from->address;
    const upstream_request sent =
        request_to_target(*exchange_, context_.dialect, request_, admitted_, target, copy_from,
                          events_.last_id(), time_left());
    call_ = context_.pool_of(target).send(sent, hooks_for(history_.attempt_number()));
    if (!engine_request_) {
        watch_silence();
    }
}

void forwarded_request::watch_silence() {
    const microseconds longest = context_.plain_answers.silence_threshold(admitted_.service);
    context_.loop.call_after(longest,
                             [self = weak_from_this(), attempt = history_.attempt_number()] {
                                 const auto alive = self.lock();
                                 if (alive && !alive->ended_ && alive->call_ &&
                                     alive->history_.attempt_number() == attempt) {
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
    context_.targets.on_unresponsive(now, target_);
    if (called_off_ || !may_repeat(admitted_.route.kind)) {
        return;
    }
    if (!context_.targets.has_untried(now, admitted_.service, left_out(),
                                      {admitted_.regions, {}})) {
        // It may still answer, and nobody else can.
        return;
    }
    if (take_retry()) {
        history_.record_possible_run();
        suspicion_.left(now);
        end_attempt(run_end::left, rollout_gate::outcome::failed);
        dispatch();
    }
}

upstream_hooks forwarded_request::hooks_for(unsigned attempt) {
    const auto self = weak_from_this();
    const auto when_current = [self, attempt](auto action) {
        const auto alive = self.lock();
        if (alive && !alive->ended_ && alive->history_.attempt_number() == attempt) {
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

}  // namespace wrenswitch
