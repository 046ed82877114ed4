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

/// How long a dispatch waits for records of the control stream that it depends on.
constexpr microseconds early_patience = milliseconds(800);

/// After this many failures in a row a target is left alone for a while.
constexpr unsigned failures_until_down = 3;
constexpr microseconds down_time = seconds(2);

}  // namespace

guard::guard(event_loop& loop, const guard_settings& settings)
    : loop_(loop),
      settings_(settings),
      timeline_(settings.process.timeline_events),
      queue_(settings.admission),
      answers_(settings.answers),
      target_(loop, settings.target),
      target_load_(loop, target_) {}

result<void> guard::start() {
    log_ = make_http_log_service(loop_, settings_.process.log);
    auto bus = message_bus::open(loop_, settings_.process.bus);
    if (!bus) {
        return bus.error();
    }
    bus_ = std::move(bus.value());
    replies_ = std::make_unique<guard_replies>(
        *bus_, own_, [this] { return load(); }, metrics_, timeline_);
    bus_->on_message([this](const message_origin& origin, const wire::Envelope& message) {
        on_message(origin, message);
    });

    http_server_settings server_settings;
    server_settings.address = settings_.operator_address;
    server_settings.port = settings_.operator_port;
    auto server = http_server::start(
        loop_, server_settings,
        [this](const http_exchange_pointer& exchange) { handle_http(exchange); });
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
    book_ = std::make_unique<charge_tracker>(own_, control_->state());
    charges_ = std::make_unique<charge_reporter>(*bus_, control_->state(), *book_, random_, own_,
                                                 settings_.process.failure_domain);
    control_->start();
    tick_ = loop_.call_every(tick_period, [this] { tick(); });
    charge_timer_ = loop_.call_every(charge_period, [this] { charges_->report(monotonic_now()); });
    load_timer_ = loop_.call_every(load_period, [this] { target_load_.poll(); });
    log_event(log_level::information, "listening",
              {{"bus", bus_->endpoint()}, {"operator_port", std::to_string(server_->port())}});
    return outcome::success();
}

void guard::register_self() {
    own_ = random_.next_id<incarnation_id>();
    book_->set_incarnation(own_);
    control_->set_writer(own_);
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
    if (!registering_ && !active_ && !closing_) {
        register_self();
        return;
    }
    retry_early();
}

void guard::on_control_applied(const control_record& record, const control_effect& effect) {
    if (!effect.applied) {
        return;
    }
    const bool own_registration = registering_ && record.writer == own_ &&
                                  std::holds_alternative<register_record>(record.kind);
    if (own_registration) {
        // Every fence that came before this record has been read, so work may begin.
        registering_ = false;
        active_ = true;
        log_event(log_level::information, "guard_active",
                  {{"incarnation", std::to_string(raw(own_))}, {"service", settings_.service}});
    }
    if (const auto* fence = std::get_if<fence_record>(&record.kind)) {
        timeline_.add(timeline_kind::fence_applied, "", {}, {},
                      std::to_string(raw(fence->incarnation)));
        if (fence->incarnation == own_ && active_) {
            log_event(log_level::warning, "guard_fenced",
                      {{"incarnation", std::to_string(raw(own_))}});
            active_ = false;
            return;
        }
        charges_->send_marks();
    }
    const service* configured = control_->state().config().find_service(settings_.service);
    if (configured != nullptr && configured->concurrency > 0) {
        limiter_->set_max_limit(configured->concurrency);
    }
}

void guard::tick() {
    const instant now = monotonic_now();
    control_->tick(now);
    answers_.expire(now);
    charges_->send_marks();
    for (const queued_request& item : queue_.remove_unmeetable(now, microseconds(0))) {
        refuse_queued(item, refusal_reason::deadline);
    }
    retry_early();
    const bool drained_by_operator =
        control_->state().config().drained_hosts().count(settings_.process.host) > 0;
    if (drained_by_operator && !leaving_) {
        log_event(log_level::information, "host_drained_by_operator", {});
    }
    leaving_ = drained_by_operator || drained_ != nullptr;
    metrics_.gauge("guard_running") = static_cast<double>(book_->running_count());
    metrics_.gauge("guard_queued") = static_cast<double>(queue_.size());
    metrics_.gauge("guard_limit") = limiter_->limit();
    metrics_.gauge("guard_unsettled_charges") = static_cast<double>(book_->unsettled_count());
    metrics_.gauge("guard_answer_buffer_bytes") = static_cast<double>(answers_.bytes());
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

refusal_reason guard::reason_against(const wire::Dispatch& dispatch) const {
    if (leaving_) {
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
    return book_->check_ticket(decode_ticket(dispatch.ticket()), control_->position());
}

void guard::on_dispatch(const message_origin& origin, const wire::Dispatch& dispatch) {
    metrics_.counter("guard_dispatches_total") += 1;
    if (attempts_.count(attempt_id{dispatch.attempt()}) > 0) {
        return;
    }
    const refusal_reason reason = reason_against(dispatch);
    if (reason == refusal_reason::behind && active_) {
        early_.push_back({origin, dispatch, monotonic_now() + early_patience});
        return;
    }
    if (reason != refusal_reason::none) {
        replies_->refuse({origin, dispatch.request(), attempt_id{dispatch.attempt()}}, reason);
        return;
    }
    take_in(origin, dispatch);
}

void guard::retry_early() {
    const instant now = monotonic_now();
    std::deque<early_dispatch> waiting;
    waiting.swap(early_);
    for (early_dispatch& item : waiting) {
        const refusal_reason reason = reason_against(item.dispatch);
        if (reason == refusal_reason::behind && item.until > now) {
            early_.push_back(std::move(item));
        } else if (reason != refusal_reason::none) {
            replies_->refuse(
                {item.origin, item.dispatch.request(), attempt_id{item.dispatch.attempt()}},
                reason);
        } else {
            take_in(item.origin, item.dispatch);
        }
    }
}

void guard::take_in(const message_origin& origin, const wire::Dispatch& dispatch) {
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
    state.used = decode_ticket(dispatch.ticket());
    state.listeners.push_back({origin, dispatch.request(), id});
    state.request_name = std::to_string(dispatch.request());

    std::optional<queued_request> evicted;
    const refusal_reason reason = queue_.push(request, evicted);
    if (reason != refusal_reason::none) {
        replies_->refuse({origin, dispatch.request(), id}, reason);
        return;
    }
    attempts_.emplace(id, std::move(state));
    if (evicted) {
        refuse_queued(*evicted, refusal_reason::queue_full);
    }
    pump();
    const auto waiting = attempts_.find(id);
    if (waiting != attempts_.end() && !waiting->second.started) {
        replies_->accept(waiting->second.listeners.front(), false);
    }
}

void guard::pump() {
    while (queue_.size() > 0 && book_->running_count() < limiter_->limit()) {
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
        active_ ? book_->begin_charge(state.used, control_->position()) : refusal_reason::fenced;
    if (reason != refusal_reason::none) {
        refuse_queued(next, reason);
        return;
    }
    state.started = true;
    charges_->expect(state.used);
    metrics_.counter("guard_started_total") += 1;
    metrics_.quantiles("guard_queue_seconds")
        .observe(as_seconds(monotonic_now() - next.arrived_at));
    timeline_.add(timeline_kind::attempt_started, state.request_name, next.attempt, state.used.id,
                  state.dispatch.client_account());
    if (state.dispatch.keep_answer()) {
        answers_.begin(state.used.key);
        running_keys_[state.used.key] = next.attempt;
    }
    replies_->accept(state.listeners.front(), true);

    target_request request;
    request.method = state.dispatch.method();
    request.path = state.dispatch.path();
    request.content_type = state.dispatch.content_type();
    request.body = state.dispatch.body();
    request.client_account = state.dispatch.client_account();
    request.key = state.used.key.to_hex();
    request.priority = state.dispatch.priority();
    request.model = state.dispatch.model();
    request.bound = state.used.bound;
    request.fixed_cost = state.dispatch.fixed_cost();
    const attempt_id id = next.attempt;
    target_call_hooks hooks;
    hooks.head = [this, id](unsigned status, std::string_view type) { on_head(id, status, type); };
    hooks.piece = [this, id](std::string_view piece) { on_piece(id, piece); };
    hooks.end = [this, id](const target_end& end) { on_end(id, end); };
    state.call = std::make_unique<target_call>(target_, request, std::move(hooks));
}

void guard::on_head(attempt_id id, unsigned status, std::string_view content_type) {
    attempt_state& state = attempts_.at(id);
    state.status = status;
    state.content_type = content_type;
    answers_.set_head(state.used.key, status, content_type);
}

void guard::on_piece(attempt_id id, std::string_view piece) {
    attempt_state& state = attempts_.at(id);
    if (state.dispatch.keep_answer()) {
        answers_.append(state.used.key, piece);
    }
    const std::uint32_t index = state.next_chunk++;
    for (const answer_listener& to : state.listeners) {
        replies_->send_chunk(to, index, state.status, state.content_type, piece);
    }
}

void guard::on_end(attempt_id id, const target_end& end) {
    attempt_state state = std::move(attempts_.at(id));
    attempts_.erase(id);
    // The call is still on the stack.
    loop_.call_after(microseconds(0),
                     [call = std::shared_ptr<target_call>(std::move(state.call))] {});
    running_keys_.erase(state.used.key);
    const instant now = monotonic_now();

    limiter_sample sample;
    sample.now = now;
    sample.time_to_first_token = end.first_token;
    sample.inter_token_latency = end.between_tokens;
    sample.in_flight = static_cast<unsigned>(book_->running_count());
    sample.failed = end.not_run || !end.whole;
    sample.reported_batch = target_load_.last().batch;
    sample.reported_queue = target_load_.last().queue;
    sample.reported_memory = target_load_.last().memory;
    limiter_->observe(sample);

    target_failures_ = sample.failed ? target_failures_ + 1 : 0;
    if (target_failures_ == failures_until_down) {
        target_down_until_ = now + down_time;
        target_failures_ = 0;
        log_event(log_level::warning, "target_down", {{"target", settings_.target.to_text()}});
    }
    if (end.not_run) {
        book_->cancel_charge(state.used.id);
        charges_->forget(state.used.id);
        answers_.discard(state.used.key);
        metrics_.counter("guard_not_run_total") += 1;
        for (const answer_listener& to : state.listeners) {
            replies_->refuse(to, refusal_reason::target_down);
        }
        pump();
        return;
    }
    const tokens excess = book_->finish_charge(state.used.id, end.cost);
    if (excess > 0) {
        metrics_.counter("guard_tokens_beyond_bound_total") += static_cast<std::uint64_t>(excess);
        log_event(log_level::error, "target_exceeded_bound",
                  {{"target", settings_.target.to_text()}, {"tokens", std::to_string(excess)}});
    }
    answers_.finish(state.used.key, now, end.whole, end.cost);
    metrics_.counter(end.whole ? "guard_ended_total" : "guard_cut_total") += 1;
    metrics_.counter("guard_tokens_total") +=
        static_cast<std::uint64_t>(std::max<tokens>(end.cost, 0));
    metrics_.quantiles("guard_first_token_seconds").observe(as_seconds(end.first_token));
    metrics_.quantiles("guard_between_tokens_seconds").observe(as_seconds(end.between_tokens));
    timeline_.add(timeline_kind::attempt_ended, state.request_name, id, state.used.id,
                  std::to_string(end.cost) + (end.whole ? " tokens" : " tokens, cut"));
    for (const answer_listener& to : state.listeners) {
        replies_->send_end(to, state.next_chunk, end.whole, end.cost);
    }
    pump();
}

void guard::on_join(const message_origin& origin, const wire::Join& join) {
    const digest key{join.key_high(), join.key_low()};
    const answer_listener to{origin, join.request(), attempt_id{}};
    const buffered_response* kept = answers_.find(key);
    if (kept == nullptr) {
        replies_->refuse(to, refusal_reason::no_answer_kept);
        return;
    }
    metrics_.counter("guard_joins_total") += 1;
    replies_->accept(to, true);
    std::uint32_t index = 0;
    for (const std::string& chunk : kept->chunks) {
        if (index >= join.from_chunk()) {
            replies_->send_chunk(to, index, kept->status, kept->content_type, chunk);
        }
        ++index;
    }
    if (kept->finished) {
        replies_->send_end(to, index, kept->complete, kept->cost);
        return;
    }
    const auto running = running_keys_.find(key);
    if (running != running_keys_.end()) {
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
    // It runs to its end: what it costs is then known exactly, and a repeat can have the answer.
    std::erase_if(found->second.listeners,
                  [id](const answer_listener& to) { return to.attempt == id; });
}

void guard::on_void(const message_origin& origin, const wire::VoidRequest& request) {
    wire::Envelope answer;
    answer.set_sender(raw(own_));
    wire::VoidReply& reply = *answer.mutable_void_reply();
    reply.set_guard(raw(own_));
    for (const std::uint64_t number : request.tickets()) {
        const ticket_id id{number};
        const bool queued = std::any_of(attempts_.begin(), attempts_.end(), [id](const auto& item) {
            return item.second.used.id == id && !item.second.started;
        });
        if (queued) {
            const auto waiting =
                std::find_if(attempts_.begin(), attempts_.end(),
                             [id](const auto& item) { return item.second.used.id == id; });
            const attempt_id attempt = waiting->first;
            queue_.remove(attempt);
            attempts_.erase(waiting);
        }
        if (book_->void_ticket(id, incarnation_id{request.home()})) {
            reply.add_voided(number);
            timeline_.add(timeline_kind::attempt_voided, "", {}, id, "");
        } else {
            reply.add_started(number);
        }
    }
    bus_->answer(origin, answer);
}

void guard::on_charge_ack(const wire::ChargeAck& ack) {
    for (const std::uint64_t ticket : ack.tickets()) {
        book_->acknowledge_charge(ticket_id{ticket});
        charges_->forget(ticket_id{ticket});
    }
    finish_drain_if_idle();
}

void guard::on_ping(const message_origin& origin, const wire::Ping&) {
    wire::Envelope answer;
    answer.set_sender(raw(own_));
    wire::Pong& pong = *answer.mutable_pong();
    pong.set_sender(raw(own_));
    pong.set_control_offset(raw(control_->position()));
    *pong.mutable_load() = load();
    bus_->answer(origin, answer);
}

wire::LoadReport guard::load() const {
    wire::LoadReport report;
    report.set_guard(raw(own_));
    report.set_running(static_cast<std::uint32_t>(book_->running_count()));
    report.set_queued(static_cast<std::uint32_t>(queue_.size()));
    report.set_limit(limiter_->limit());
    report.set_leaving(leaving_);
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
    for (const answer_listener& to : state.listeners) {
        replies_->refuse(to, reason);
    }
}

void guard::drain(std::function<void()> done) {
    drained_ = std::move(done);
    leaving_ = true;
    drain_until_ = monotonic_now() + settings_.process.longest_drain;
    timeline_.add(timeline_kind::drain_started, "", {}, {}, "");
    log_event(log_level::information, "drain_started",
              {{"running", std::to_string(book_->running_count())},
               {"queued", std::to_string(queue_.size())}});
    for (const queued_request& item : queue_.remove_all()) {
        refuse_queued(item, refusal_reason::leaving);
    }
    finish_drain_if_idle();
}

void guard::finish_drain_if_idle() {
    if (drained_ == nullptr) {
        return;
    }
    const bool settled = book_->running_count() == 0 && book_->unsettled_count() == 0;
    if (settled && active_ && !closing_) {
        // The last record: it counts as this guard's mark for all later fences.
        closing_ = true;
        control_->submit(close_record{});
        return;
    }
    const bool closed = closing_ && control_->idle();
    const bool never_active = !active_ && !registering_ && settled;
    if (!closed && !never_active && monotonic_now() < drain_until_) {
        return;
    }
    log_event(log_level::information, "drain_ended",
              {{"closed", closed ? "yes" : "no"},
               {"running", std::to_string(book_->running_count())},
               {"unsettled", std::to_string(book_->unsettled_count())}});
    const auto done = std::exchange(drained_, nullptr);
    done();
}

void guard::handle_http(const http_exchange_pointer& exchange) {
    const http_header json_type{"Content-Type", "application/json"};
    if (exchange->path() == "/healthz") {
        const bool ready = active_ && !leaving_;
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
