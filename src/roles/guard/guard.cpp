#include "roles/guard/guard.hpp"

#include <algorithm>

#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/roles/guard.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds tick_period = milliseconds(500);
constexpr microseconds charge_period = milliseconds(20);
constexpr microseconds load_period = milliseconds(100);

/// How long a dispatch waits for the control records that it depends on.
constexpr microseconds deferral_timeout = milliseconds(800);

/// How often a stopping guard checks whether it can exit.
constexpr microseconds drain_poll_period = milliseconds(50);

/// Reserved at the end of the drain: the entries of attempts that still run are told then that the
/// response won't be complete.
constexpr microseconds drain_completion_margin = milliseconds(200);

/// The number of consecutive failures after which dispatches to the target are refused for
/// `target_down_duration`.
constexpr unsigned failures_until_down = 3;
constexpr microseconds target_down_duration = seconds(2);

/// An attempt beside its body, and how often it has the body: as received and as kept.
constexpr std::size_t attempt_overhead_bytes = 4U * 1024U;
constexpr std::size_t body_copies = 2;

/// The limiter bounds the calls, not the pool.
constexpr std::size_t max_target_connections = 10'000;

upstream_pool_settings target_pool_settings() {
    upstream_pool_settings settings;
    settings.most_connections = max_target_connections;
    return settings;
}

}  // namespace

guard::guard(event_loop& loop, const guard_settings& settings)
    : loop_(loop),
      settings_(settings),
      caller_memory_(settings.process.limits, metrics_),
      timeline_(settings.process.timeline_events),
      queue_(settings.admission),
      responses_(settings.responses),
      target_(loop, settings.target, target_pool_settings()),
      load_client_(loop, settings.target),
      target_load_(loop, load_client_) {}

result<void> guard::start() {
    log_ = make_http_log_service(loop_, settings_.process.log);
    auto bus = message_bus::open(loop_, settings_.process.bus);
    if (!bus) {
        return bus.error();
    }
    bus_ = std::move(bus.value());
    replies_ = std::make_unique<guard_reply_sender>(
        *bus_, incarnation_, [this] { return load_report(); }, metrics_, timeline_);
    bus_->on_message([this](const message_origin& origin, const wire::Envelope& message) {
        on_message(origin, message);
    });

    http_server_settings server_settings;
    server_settings.address = settings_.operator_address;
    server_settings.port = settings_.operator_port;
    auto server = http_server::start(
        loop_, server_settings,
        [this](const http_exchange_pointer& exchange) { handle_http(exchange); },
        caller_memory_.pool());
    if (!server) {
        return server.error();
    }
    server_ = std::move(server.value());

    limiter_ = make_limiter_factory(settings_.limiter, settings_.limits)();
    control_replica_hooks hooks;
    hooks.applied = [this](const control_record& record, const control_effect& effect, log_offset) {
        on_control_applied(record, effect);
    };
    hooks.caught_up = [this] { on_control_caught_up(); };
    hooks.restored = [] {};
    control_ = std::make_unique<control_replica>(loop_, *log_, settings_.process.snapshot_records,
                                                 random_, metrics_, std::move(hooks));
    charge_tracker_ = std::make_unique<charge_tracker>(incarnation_, control_->state());
    charge_reporter_ =
        std::make_unique<charge_reporter>(*bus_, control_->state(), *charge_tracker_, random_,
                                          incarnation_, settings_.process.failure_domain);
    control_->start();
    tick_ = loop_.call_every(tick_period, [this] { tick(); });
    charge_timer_ = loop_.call_every(
        charge_period, [this] { charge_reporter_->send_due_reports(monotonic_now()); });
    load_timer_ = loop_.call_every(load_period, [this] { target_load_.poll(); });
    log_event(log_level::information, "listening",
              {{"bus", bus_->endpoint()}, {"operator_port", std::to_string(server_->port())}});
    return outcome::success();
}

void guard::register_self() {
    incarnation_ = random_.next_id<incarnation_id>();
    charge_tracker_->set_incarnation(incarnation_);
    control_->set_writer(incarnation_);
    registration self;
    self.role = member_role::guard;
    self.host = settings_.process.host;
    self.region = settings_.process.region;
    self.failure_domain = settings_.process.failure_domain;
    self.endpoint = bus_->endpoint();
    self.service = settings_.service;
    self.operator_address = settings_.operator_address + ":" + std::to_string(server_->port());
    control_->submit(register_record{self});
    registering_ = true;
}

void guard::on_control_caught_up() {
    if (!registering_ && !active_ && !close_submitted_) {
        register_self();
        return;
    }
    retry_deferred();
}

void guard::on_control_applied(const control_record& record, const control_effect& effect) {
    if (!effect.applied) {
        return;
    }
    const bool own_registration = registering_ && record.writer == incarnation_ &&
                                  std::holds_alternative<register_record>(record.kind);
    if (own_registration) {
        // Every fence that precedes this record has been read, so attempts may be accepted.
        registering_ = false;
        active_ = true;
        log_event(
            log_level::information, "guard_active",
            {{"incarnation", std::to_string(raw(incarnation_))}, {"service", settings_.service}});
    }
    if (const auto* fence = std::get_if<fence_record>(&record.kind)) {
        timeline_.add(timeline_kind::fence_applied, "", {}, {},
                      std::to_string(raw(fence->incarnation)));
        if (fence->incarnation == incarnation_ && active_) {
            log_event(log_level::warning, "guard_fenced",
                      {{"incarnation", std::to_string(raw(incarnation_))}});
            active_ = false;
            return;
        }
        charge_reporter_->send_fence_acks();
    }
    const service* configured = control_->state().config().find_service(settings_.service);
    if (configured != nullptr && configured->concurrency > 0) {
        limiter_->set_max_limit(configured->concurrency);
    }
}

void guard::tick() {
    const instant now = monotonic_now();
    caller_memory_.tick(now);
    control_->tick(now);
    responses_.expire(now);
    charge_reporter_->send_fence_acks();
    for (const queued_request& item : queue_.remove_unmeetable(now, microseconds(0))) {
        refuse_queued(item, refusal_reason::deadline);
    }
    retry_deferred();
    const bool drained_by_operator =
        control_->state().config().drained_hosts().count(settings_.process.host) > 0;
    if (drained_by_operator && !draining_) {
        log_event(log_level::information, "host_drained_by_operator", {});
    }
    draining_ = drained_by_operator || on_drained_ != nullptr;
    metrics_.gauge("guard_running") = static_cast<double>(charge_tracker_->running_count());
    metrics_.gauge("guard_queued") = static_cast<double>(queue_.size());
    metrics_.gauge("guard_limit") = limiter_->limit();
    metrics_.gauge("guard_unsettled_charges") =
        static_cast<double>(charge_tracker_->unsettled_count());
    metrics_.gauge("guard_answer_buffer_bytes") = static_cast<double>(responses_.bytes());
    metrics_.gauge("guard_control_offset") = static_cast<double>(raw(control_->position()));
    finish_drain_if_idle();
}

void guard::on_message(const message_origin& origin, const wire::Envelope& message) {
    switch (message.body_case()) {
        case wire::Envelope::kDispatch:
            on_dispatch(origin, message.dispatch());
            return;
        case wire::Envelope::kJoin:
            on_join(origin, message.join());
            return;
        case wire::Envelope::kCancel:
            on_cancel(message.cancel());
            return;
        case wire::Envelope::kVoidRequest:
            on_void(origin, message.void_request());
            return;
        case wire::Envelope::kChargeAck:
            on_charge_ack(message.charge_ack());
            return;
        case wire::Envelope::kPing:
            on_ping(origin, message.ping());
            return;
        default:
            metrics_.counter("guard_unexpected_messages_total") += 1;
    }
}

refusal_reason guard::check_dispatch(const wire::Dispatch& dispatch) const {
    if (draining_) {
        return refusal_reason::leaving;
    }
    if (!active_) {
        return refusal_reason::behind;
    }
    if (dispatch.service() != settings_.service) {
        return refusal_reason::wrong_service;
    }
    if (monotonic_now() < target_down_until_) {
        return refusal_reason::target_down;
    }
    return charge_tracker_->check_ticket(decode_ticket(dispatch.ticket()), control_->position());
}

void guard::on_dispatch(const message_origin& origin, const wire::Dispatch& dispatch) {
    metrics_.counter("guard_dispatches_total") += 1;
    if (attempts_.count(attempt_id{dispatch.attempt()}) > 0) {
        return;
    }
    refusal_reason reason = check_dispatch(dispatch);
    std::unique_ptr<intake_claim> claim;
    const bool is_kept =
        reason == refusal_reason::none || (reason == refusal_reason::behind && active_);
    if (is_kept) {
        claim = claim_memory(dispatch);
        reason = claim ? reason : refusal_reason::queue_full;
    }
    if (reason == refusal_reason::none) {
        enqueue(origin, dispatch, std::move(claim));
        return;
    }
    if (reason == refusal_reason::behind && active_) {
        deferred_.push_back(
            {origin, dispatch, monotonic_now() + deferral_timeout, std::move(claim)});
        return;
    }
    replies_->send_refused({origin, dispatch.request(), attempt_id{dispatch.attempt()}}, reason);
}

/// Claims the memory that a dispatch takes until it ends. Null if there is none.
std::unique_ptr<intake_claim> guard::claim_memory(const wire::Dispatch& dispatch) {
    const instant now = monotonic_now();
    auto claim = std::make_unique<intake_claim>(*caller_memory_.pool(), intake_kind::request, now,
                                                intake_claim::revoke_hook{});
    const std::size_t bytes = attempt_overhead_bytes + body_copies * dispatch.body().size();
    return claim->hold(now, bytes) ? std::move(claim) : nullptr;
}

void guard::retry_deferred() {
    const instant now = monotonic_now();
    std::deque<deferred_dispatch> waiting;
    waiting.swap(deferred_);
    for (deferred_dispatch& item : waiting) {
        const refusal_reason reason = check_dispatch(item.dispatch);
        if (reason == refusal_reason::behind && item.give_up_at > now) {
            deferred_.push_back(std::move(item));
        } else if (reason != refusal_reason::none) {
            replies_->send_refused(
                {item.origin, item.dispatch.request(), attempt_id{item.dispatch.attempt()}},
                reason);
        } else {
            enqueue(item.origin, item.dispatch, std::move(item.claim));
        }
    }
}

void guard::enqueue(const message_origin& origin, const wire::Dispatch& dispatch,
                    std::unique_ptr<intake_claim> claim) {
    const attempt_id id{dispatch.attempt()};
    const instant now = monotonic_now();
    queued_request request;
    request.attempt = id;
    request.client_account = dispatch.client_account();
    request.priority = dispatch.priority();
    request.token_bound = dispatch.ticket().bound();
    request.arrived_at = now;
    request.deadline = now + milliseconds(dispatch.deadline_ms());

    attempt_state state;
    state.dispatch = dispatch;
    state.claim = std::move(claim);
    state.attempt_ticket = decode_ticket(dispatch.ticket());
    state.listeners.push_back({origin, dispatch.request(), id});
    state.request_id = std::to_string(dispatch.request());

    std::optional<queued_request> evicted;
    const refusal_reason reason = queue_.push(request, evicted);
    if (reason != refusal_reason::none) {
        replies_->send_refused({origin, dispatch.request(), id}, reason);
        return;
    }
    attempts_.emplace(id, std::move(state));
    if (evicted) {
        refuse_queued(*evicted, refusal_reason::queue_full);
    }
    start_queued_attempts();
    const auto waiting = attempts_.find(id);
    if (waiting != attempts_.end() && !waiting->second.started) {
        replies_->send_accepted(waiting->second.listeners.front(), false);
    }
}

void guard::start_queued_attempts() {
    while (queue_.size() > 0 && charge_tracker_->running_count() < limiter_->limit()) {
        const instant now = monotonic_now();
        const auto next = queue_.pop(now);
        if (next->deadline <= now) {
            refuse_queued(*next, refusal_reason::deadline);
            continue;
        }
        start_attempt(*next);
    }
}

void guard::start_attempt(const queued_request& next) {
    attempt_state& state = attempts_.at(next.attempt);
    const refusal_reason reason =
        active_ ? charge_tracker_->begin_charge(state.attempt_ticket, control_->position())
                : refusal_reason::fenced;
    if (reason != refusal_reason::none) {
        refuse_queued(next, reason);
        return;
    }
    state.started = true;
    charge_reporter_->record_holder(state.attempt_ticket);
    metrics_.counter("guard_started_total") += 1;
    metrics_.quantiles("guard_queue_seconds")
        .observe(as_seconds(monotonic_now() - next.arrived_at));
    timeline_.add(timeline_kind::attempt_started, state.request_id, next.attempt,
                  state.attempt_ticket.id, state.dispatch.client_account());
    if (state.dispatch.keep_answer()) {
        responses_.begin(state.attempt_ticket.key);
        running_attempts_by_key_[state.attempt_ticket.key] = next.attempt;
    }
    replies_->send_accepted(state.listeners.front(), true);

    target_request request;
    request.method = state.dispatch.method();
    request.path = state.dispatch.path();
    request.content_type = state.dispatch.content_type();
    request.body = std::make_shared<const std::string>(std::move(*state.dispatch.mutable_body()));
    request.client_account = state.dispatch.client_account();
    request.key = state.attempt_ticket.key.to_hex();
    request.priority = state.dispatch.priority();
    request.is_model = state.dispatch.model();
    request.token_bound = state.attempt_ticket.bound;
    request.fixed_cost = state.dispatch.fixed_cost();
    const attempt_id id = next.attempt;
    target_call_hooks hooks;
    hooks.on_head = [this, id](unsigned status, std::string_view type) {
        on_head(id, status, type);
    };
    hooks.on_chunk = [this, id](std::string_view chunk) { on_chunk(id, chunk); };
    hooks.on_end = [this, id](const target_call_result& call_result) { on_end(id, call_result); };
    state.call =
        std::make_unique<target_call>(loop_, target_, std::move(request), std::move(hooks));
}

void guard::on_head(attempt_id id, unsigned status, std::string_view content_type) {
    attempt_state& state = attempts_.at(id);
    state.status = status;
    state.content_type = content_type;
    responses_.set_head(state.attempt_ticket.key, status, content_type);
}

void guard::on_chunk(attempt_id id, std::string_view chunk) {
    attempt_state& state = attempts_.at(id);
    if (state.dispatch.keep_answer()) {
        responses_.append(state.attempt_ticket.key, chunk);
    }
    const std::uint32_t index = state.next_chunk++;
    for (const response_listener& to : state.listeners) {
        replies_->send_chunk(to, index, state.status, state.content_type, chunk);
    }
}

void guard::on_end(attempt_id id, const target_call_result& call_result) {
    attempt_state state = std::move(attempts_.at(id));
    attempts_.erase(id);
    // The callback is running inside the call, so the call is destroyed later.
    loop_.call_after(microseconds(0),
                     [call = std::shared_ptr<target_call>(std::move(state.call))] {});
    running_attempts_by_key_.erase(state.attempt_ticket.key);
    const instant now = monotonic_now();

    limiter_sample sample;
    sample.now = now;
    sample.time_to_first_token = call_result.time_to_first_token;
    sample.inter_token_latency = call_result.inter_token_latency;
    sample.in_flight = static_cast<unsigned>(charge_tracker_->running_count());
    sample.failed = call_result.not_run || !call_result.complete;
    sample.reported_batch = target_load_.latest().batch;
    sample.reported_queue = target_load_.latest().queue;
    sample.reported_memory = target_load_.latest().memory;
    limiter_->observe(sample);

    target_failures_ = sample.failed ? target_failures_ + 1 : 0;
    if (target_failures_ == failures_until_down) {
        target_down_until_ = now + target_down_duration;
        target_failures_ = 0;
        log_event(log_level::warning, "target_down", {{"target", settings_.target.to_text()}});
    }
    if (call_result.not_run) {
        charge_tracker_->cancel_charge(state.attempt_ticket.id);
        charge_reporter_->forget_holder(state.attempt_ticket.id);
        responses_.discard(state.attempt_ticket.key);
        metrics_.counter("guard_not_run_total") += 1;
        for (const response_listener& to : state.listeners) {
            replies_->send_refused(to, refusal_reason::target_down);
        }
        start_queued_attempts();
        return;
    }
    const tokens excess = charge_tracker_->finish_charge(state.attempt_ticket.id, call_result.cost);
    if (excess > 0) {
        metrics_.counter("guard_tokens_beyond_bound_total") += static_cast<std::uint64_t>(excess);
        log_event(log_level::error, "target_exceeded_bound",
                  {{"target", settings_.target.to_text()}, {"tokens", std::to_string(excess)}});
    }
    responses_.finish(state.attempt_ticket.key, now, call_result.complete, call_result.cost);
    metrics_.counter(call_result.complete ? "guard_ended_total" : "guard_cut_total") += 1;
    metrics_.counter("guard_tokens_total") +=
        static_cast<std::uint64_t>(std::max<tokens>(call_result.cost, 0));
    metrics_.quantiles("guard_first_token_seconds")
        .observe(as_seconds(call_result.time_to_first_token));
    metrics_.quantiles("guard_between_tokens_seconds")
        .observe(as_seconds(call_result.inter_token_latency));
    timeline_.add(
        timeline_kind::attempt_ended, state.request_id, id, state.attempt_ticket.id,
        std::to_string(call_result.cost) + (call_result.complete ? " tokens" : " tokens, cut"));
    for (const response_listener& to : state.listeners) {
        replies_->send_end(to, state.next_chunk, call_result.complete, call_result.cost);
    }
    start_queued_attempts();
}

void guard::on_join(const message_origin& origin, const wire::Join& join) {
    const digest key{join.key_high(), join.key_low()};
    const response_listener to{origin, join.request(), attempt_id{}};
    const buffered_response* buffered = responses_.find(key);
    if (buffered == nullptr) {
        replies_->send_refused(to, refusal_reason::no_answer_kept);
        return;
    }
    metrics_.counter("guard_joins_total") += 1;
    replies_->send_accepted(to, true);
    std::uint32_t index = 0;
    for (const std::string& chunk : buffered->chunks) {
        if (index >= join.from_chunk()) {
            replies_->send_chunk(to, index, buffered->status, buffered->content_type, chunk);
        }
        ++index;
    }
    if (buffered->finished) {
        replies_->send_end(to, index, buffered->complete, buffered->cost);
        return;
    }
    const auto running = running_attempts_by_key_.find(key);
    if (running != running_attempts_by_key_.end()) {
        attempts_.at(running->second).listeners.push_back(to);
    }
}

void guard::on_cancel(const wire::Cancel& cancel) {
    const attempt_id id{cancel.attempt()};
    const auto found = attempts_.find(id);
    if (found == attempts_.end()) {
        return;
    }
    if (!found->second.started && queue_.remove(id)) {
        refuse_queued({id, {}, 0, 0, {}, {}}, refusal_reason::cancelled);
        return;
    }
    // The attempt runs to completion: its cost is then known exactly, and a repeated request can
    // receive its response.
    std::erase_if(found->second.listeners,
                  [id](const response_listener& to) { return to.attempt == id; });
}

void guard::on_void(const message_origin& origin, const wire::VoidRequest& request) {
    wire::Envelope reply_message;
    reply_message.set_sender(raw(incarnation_));
    wire::VoidReply& reply = *reply_message.mutable_void_reply();
    reply.set_guard(raw(incarnation_));
    for (const std::uint64_t number : request.tickets()) {
        const ticket_id id{number};
        const bool queued = std::any_of(attempts_.begin(), attempts_.end(), [id](const auto& item) {
            return item.second.attempt_ticket.id == id && !item.second.started;
        });
        if (queued) {
            const auto waiting = std::find_if(
                attempts_.begin(), attempts_.end(),
                [id](const auto& item) { return item.second.attempt_ticket.id == id; });
            const attempt_id attempt = waiting->first;
            queue_.remove(attempt);
            attempts_.erase(waiting);
        }
        if (charge_tracker_->void_ticket(id, incarnation_id{request.home()})) {
            reply.add_voided(number);
            timeline_.add(timeline_kind::attempt_voided, "", {}, id, "");
        } else {
            reply.add_started(number);
        }
    }
    bus_->answer(origin, reply_message);
}

void guard::on_charge_ack(const wire::ChargeAck& ack) {
    for (const std::uint64_t ticket : ack.tickets()) {
        charge_tracker_->acknowledge_charge(ticket_id{ticket});
        charge_reporter_->forget_holder(ticket_id{ticket});
    }
    finish_drain_if_idle();
}

void guard::on_ping(const message_origin& origin, const wire::Ping&) {
    wire::Envelope reply_message;
    reply_message.set_sender(raw(incarnation_));
    wire::Pong& pong = *reply_message.mutable_pong();
    pong.set_sender(raw(incarnation_));
    pong.set_control_offset(raw(control_->position()));
    *pong.mutable_load() = load_report();
    bus_->answer(origin, reply_message);
}

wire::LoadReport guard::load_report() const {
    wire::LoadReport report;
    report.set_guard(raw(incarnation_));
    report.set_running(static_cast<std::uint32_t>(charge_tracker_->running_count()));
    report.set_queued(static_cast<std::uint32_t>(queue_.size()));
    report.set_limit(limiter_->limit());
    report.set_leaving(draining_);
    report.set_control_offset(raw(control_->position()));
    return report;
}

void guard::refuse_queued(const queued_request& item, refusal_reason reason) {
    const auto found = attempts_.find(item.attempt);
    if (found == attempts_.end()) {
        return;
    }
    const attempt_state state = std::move(found->second);
    attempts_.erase(found);
    for (const response_listener& to : state.listeners) {
        replies_->send_refused(to, reason);
    }
}

void guard::drain(std::function<void()> done) {
    on_drained_ = std::move(done);
    draining_ = true;
    drain_until_ = monotonic_now() + settings_.process.max_drain;
    timeline_.add(timeline_kind::drain_started, "", {}, {}, "");
    log_event(log_level::information, "drain_started",
              {{"running", std::to_string(charge_tracker_->running_count())},
               {"queued", std::to_string(queue_.size())}});
    for (const queued_request& item : queue_.remove_all()) {
        refuse_queued(item, refusal_reason::leaving);
    }
    drain_timer_ = loop_.call_every(drain_poll_period, [this] { finish_drain_if_idle(); });
    finish_drain_if_idle();
}

/// Tells the entries of all attempts that still run that their responses end here. The charges stay
/// as reserved: what the targets do with the requests is not seen any more.
void guard::end_remaining_attempts() {
    for (auto& [id, state] : attempts_) {
        for (const response_listener& to : std::exchange(state.listeners, {})) {
            replies_->send_end(to, state.next_chunk, false, state.attempt_ticket.bound);
        }
    }
}

void guard::finish_drain_if_idle() {
    if (on_drained_ == nullptr) {
        return;
    }
    if (monotonic_now() + drain_completion_margin >= drain_until_) {
        end_remaining_attempts();
    }
    const bool settled =
        charge_tracker_->running_count() == 0 && charge_tracker_->unsettled_count() == 0;
    if (settled && active_ && !close_submitted_) {
        // The close record is the last one; it also acknowledges all later fences for this guard.
        close_submitted_ = true;
        control_->submit(close_record{});
        return;
    }
    const bool closed = close_submitted_ && control_->idle();
    const bool never_active = !active_ && !registering_ && settled;
    if (!closed && !never_active && monotonic_now() < drain_until_) {
        return;
    }
    log_event(log_level::information, "drain_ended",
              {{"closed", closed ? "yes" : "no"},
               {"running", std::to_string(charge_tracker_->running_count())},
               {"unsettled", std::to_string(charge_tracker_->unsettled_count())}});
    const auto done = std::exchange(on_drained_, nullptr);
    done();
}

void guard::handle_http(const http_exchange_pointer& exchange) {
    const http_header json_type{"Content-Type", "application/json"};
    if (exchange->path() == "/healthz") {
        const bool ready = active_ && !draining_;
        exchange->reply(ready ? 200 : 503, {json_type},
                        ready ? R"({"ready":true})" : R"({"ready":false})");
    } else if (exchange->path() == "/metrics") {
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                        metrics_.to_prometheus_text());
    } else if (exchange->path() == "/timeline") {
        exchange->reply(
            200, {json_type},
            timeline_.to_json("guard " + settings_.process.host, exchange->query("request")));
    } else {
        exchange->reply(404, {json_type}, R"({"error":{"message":"Unknown path."}})");
    }
}

int run_guard(const guard_settings& settings) {
    event_loop loop;
    guard process(loop, settings);
    const result<void> started = process.start();
    if (!started) {
        log_event(log_level::error, "start_failed", {{"finding", started.error().message}});
        return exit_unavailable;
    }
    loop.on_stop_signal([&loop, &process] { process.drain([&loop] { loop.stop(); }); });
    loop.run();
    return exit_done;
}

}  // namespace wrenswitch
