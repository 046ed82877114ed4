#include "roles/entry/entry.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "wrenswitch/core/exit_codes.hpp"
#include "wrenswitch/core/log.hpp"
#include "wrenswitch/drivers/ledger_codec.hpp"
#include "wrenswitch/roles/entry.hpp"

namespace wrenswitch {
namespace {

constexpr microseconds tick_period = milliseconds(500);
constexpr microseconds append_period = milliseconds(20);

/// A guard that handles requests of this entry is pinged after this much inactivity.
constexpr microseconds ping_after = seconds(1);

/// A monitored process is pinged on each tick once it has been inactive for
/// `fence_after / (pings_before_fence + 1)`.
constexpr int pings_before_fence = 2;

/// A guard that handles requests of this entry is considered lost after this much inactivity.
constexpr microseconds guard_lost_after = seconds(4);

/// The window of the retry budget, and the number of retries that it allows beyond `retry_share`,
/// so that an entry with little traffic can retry at all.
constexpr microseconds retry_window = seconds(10);
constexpr double min_retries = 20.0;
/// How often a stopping entry checks whether it can exit.
constexpr microseconds drain_poll_period = milliseconds(50);

/// Reserved at the end of the drain: requests that still run are answered then, so that the answers
/// can be delivered.
constexpr microseconds drain_completion_margin = milliseconds(400);

constexpr unsigned status_unavailable = 503;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_method_not_allowed = 405;

}  // namespace

entry::entry(event_loop& loop, const entry_settings& settings)
    : loop_(loop),
      settings_(settings),
      caller_memory_(settings.process.limits, metrics_),
      timeline_(settings.process.timeline_events),
      retries_(settings.retry_share, retry_window, min_retries) {}

entry::~entry() = default;

result<void> entry::start() {
    log_ = make_http_log_service(loop_, settings_.process.log);
    auto bus = message_bus::open(loop_, settings_.process.bus);
    if (!bus) {
        return bus.error();
    }
    bus_ = std::move(bus.value());
    bus_->on_message([this](const message_origin& origin, const wire::Envelope& message) {
        on_message(origin, message);
    });

    control_replica_hooks hooks;
    hooks.applied = [this](const control_record& record, const control_effect& effect, log_offset) {
        on_control_applied(record, effect);
    };
    hooks.caught_up = [this] { on_control_caught_up(); };
    hooks.restored = [this] { on_control_restored(); };
    control_ = std::make_unique<control_replica>(loop_, *log_, settings_.process.snapshot_records,
                                                 random_, metrics_, std::move(hooks));
    picker_settings routing = settings_.routing;
    routing.subset_seed = random_.next_id<std::uint64_t>();
    picker_ = std::make_unique<target_picker>(routing, random_);
    cluster_ = std::make_unique<cluster_view>(settings_, control_->state(), *picker_);
    allocators_ = std::make_unique<allocator_service>(
        settings_, allocator_service_context{loop_, *log_, *bus_, *control_, *cluster_, random_,
                                             metrics_, timeline_});
    operator_api_ = std::make_unique<operator_api>(
        settings_, operator_api_context{loop_, *control_, *cluster_, *allocators_, random_});

    auto callers = http_server::start(
        loop_, settings_.callers,
        [this](const http_exchange_pointer& exchange) { handle_caller(exchange); },
        caller_memory_.pool());
    if (!callers) {
        return callers.error();
    }
    caller_server_ = std::move(callers.value());
    auto operators = http_server::start(
        loop_, settings_.operators,
        [this](const http_exchange_pointer& exchange) { handle_operator(exchange); },
        caller_memory_.pool());
    if (!operators) {
        return operators.error();
    }
    operator_server_ = std::move(operators.value());

    control_->start();
    tick_ = loop_.call_every(tick_period, [this] { tick(); });
    append_timer_ = loop_.call_every(append_period, [this] {
        allocators_->append_due_batches(monotonic_now());
        submit_fence_acks();
    });
    log_event(log_level::information, "listening",
              {{"bus", bus_->endpoint()},
               {"caller_port", std::to_string(caller_server_->port())},
               {"operator_port", std::to_string(operator_server_->port())}});
    return outcome::success();
}

void entry::register_self() {
    incarnation_ = random_.next_id<incarnation_id>();
    control_->set_writer(incarnation_);
    registration self;
    self.role = member_role::entry;
    self.host = settings_.process.host;
    self.region = settings_.process.region;
    self.failure_domain = settings_.process.failure_domain;
    self.endpoint = bus_->endpoint();
    self.operator_address =
        settings_.operators.address + ":" + std::to_string(operator_server_->port());
    control_->submit(register_record{self});
    registering_ = true;
}

void entry::on_control_caught_up() {
    if (!registering_ && !active_ && !closing_) {
        register_self();
    }
    if (std::exchange(cluster_changed_, false)) {
        cluster_->rebuild();
    }
}

void entry::on_control_restored() {
    cluster_changed_ = true;
    if (active_ && !control_->state().is_active(incarnation_)) {
        on_self_fenced();
    }
}

void entry::on_control_applied(const control_record& record, const control_effect& effect) {
    if (!effect.applied) {
        return;
    }
    cluster_changed_ = cluster_changed_ || effect.membership_changed || effect.was_configuration;
    const bool own_registration = registering_ && record.writer == incarnation_ &&
                                  std::holds_alternative<register_record>(record.kind);
    if (own_registration) {
        registering_ = false;
        active_ = true;
        cluster_->set_incarnation(incarnation_);
        cluster_->rebuild();
        allocators_->restart(incarnation_);
        log_event(log_level::information, "entry_active",
                  {{"incarnation", std::to_string(raw(incarnation_))}});
    }
    if (effect.was_configuration) {
        timeline_.add(timeline_kind::configuration_applied, "", {}, {},
                      std::string(name_of(effect.outcome)) + " version " +
                          std::to_string(control_->state().config().version()));
    }
    if (const auto* fence = std::get_if<fence_record>(&record.kind)) {
        timeline_.add(timeline_kind::fence_applied, "", {}, {},
                      std::to_string(raw(fence->incarnation)));
        allocators_->on_fence(fence->incarnation);
        if (fence->incarnation == incarnation_ && active_) {
            on_self_fenced();
        }
    }
}

/// Being fenced is not an error: the grants of the old incarnation are reclaimed, and this process
/// registers again under a new one.
void entry::on_self_fenced() {
    log_event(log_level::warning, "entry_fenced",
              {{"incarnation", std::to_string(raw(incarnation_))}});
    metrics_.counter("own_fences_total") += 1;
    active_ = false;
    closing_ = false;
    register_self();
}

bool entry::ready() const {
    return active_ && on_drained_ == nullptr && control_->live() && allocators_->ready();
}

request_handler* entry::find_handler(std::uint64_t request) {
    const auto found = handlers_.find(request);
    return found == handlers_.end() ? nullptr : found->second.get();
}

void entry::on_message(const message_origin& origin, const wire::Envelope& message) {
    const incarnation_id sender{message.sender()};
    cluster_->record_activity(monotonic_now(), sender);
    const auto with_handler = [this](std::uint64_t request, const auto& action) {
        const auto found = handlers_.find(request);
        if (found != handlers_.end()) {
            const std::shared_ptr<request_handler> keep_alive = found->second;
            action(*keep_alive);
        }
    };
    switch (message.body_case()) {
        case wire::Envelope::kReserveRequest:
            allocators_->on_reserve(origin, message.reserve_request());
            return;
        case wire::Envelope::kReserveReply: {
            const wire::ReserveReply& reply = message.reserve_reply();
            if (find_handler(reply.request()) == nullptr &&
                reply.outcome() == wire::RESERVE_GRANTED) {
                wire::Envelope release;
                release.set_sender(raw(incarnation_));
                release.mutable_release_ticket()->set_ticket(reply.ticket().ticket());
                bus_->send(reply.ticket().holder_endpoint(), release);
                return;
            }
            with_handler(reply.request(),
                         [&](request_handler& item) { item.on_reserve_reply(reply); });
            return;
        }
        case wire::Envelope::kStarted:
            allocators_->ticket_started(ticket_id{message.started().ticket()},
                                        incarnation_id{message.started().guard()},
                                        message.started().guard_endpoint());
            return;
        case wire::Envelope::kReleaseTicket:
            allocators_->release_ticket(ticket_id{message.release_ticket().ticket()});
            return;
        case wire::Envelope::kAccepted:
            with_handler(message.accepted().request(), [&](request_handler& item) {
                item.on_accepted(sender, message.accepted());
            });
            return;
        case wire::Envelope::kRefused:
            with_handler(message.refused().request(), [&](request_handler& item) {
                item.on_refused(sender, message.refused());
            });
            return;
        case wire::Envelope::kAnswerChunk:
            with_handler(message.answer_chunk().request(),
                         [&](request_handler& item) { item.on_chunk(message.answer_chunk()); });
            return;
        case wire::Envelope::kAnswerEnd:
            with_handler(message.answer_end().request(),
                         [&](request_handler& item) { item.on_end(sender, message.answer_end()); });
            return;
        case wire::Envelope::kChargeReport:
            allocators_->on_charges(origin, message.charge_report());
            return;
        case wire::Envelope::kVoidReply: {
            allocators_->on_void_reply(message.void_reply());
            const auto handlers = handlers_;
            for (const auto& [number, item] : handlers) {
                item->on_void_reply(message.void_reply());
            }
            return;
        }
        case wire::Envelope::kMarkReport:
            collect_fence_ack(message.mark_report());
            return;
        case wire::Envelope::kPing: {
            wire::Envelope pong;
            pong.set_sender(raw(incarnation_));
            pong.mutable_pong()->set_sender(raw(incarnation_));
            pong.mutable_pong()->set_control_offset(raw(control_->position()));
            bus_->answer(origin, pong);
            return;
        }
        case wire::Envelope::kPong:
            on_pong(message.pong());
            return;
        default:
            metrics_.counter("unexpected_messages_total") += 1;
    }
}

void entry::on_pong(const wire::Pong& pong) {
    if (pong.has_load()) {
        picker_->update_load(incarnation_id{pong.sender()}, decode_load(pong.load()));
    }
}

void entry::handle_caller(const http_exchange_pointer& exchange) {
    const std::string_view path = exchange->path();
    const bool is_forwarded = path == "/v1/chat/completions" || path == "/v1/completions" ||
                              path.substr(0, 13) == "/v1/services/";
    if (is_forwarded) {
        start_request(exchange);
    } else if (path == "/v1/models") {
        list_models(exchange);
    } else if (path == "/healthz") {
        exchange->reply(ready() ? 200 : status_unavailable, {{"Content-Type", "application/json"}},
                        ready() ? R"({"ready":true})" : R"({"ready":false})");
    } else {
        const api_error error{status_not_found, "unknown_path", "There is nothing at this path.",
                              execution_status::not_run, microseconds(0)};
        error.send(*exchange, "");
    }
}

void entry::start_request(const http_exchange_pointer& exchange) {
    const bool completion = exchange->path().substr(0, 13) != "/v1/services/";
    if (completion && exchange->method() != "POST") {
        const api_error error{status_method_not_allowed, "bad_method", "Only POST is allowed here.",
                              execution_status::not_run, microseconds(0)};
        error.send(*exchange, "");
        return;
    }
    if (!active_ || on_drained_ != nullptr) {
        const api_error error{status_unavailable, "not_ready",
                              "This entry takes no requests now; another one will.",
                              execution_status::not_run, seconds(1)};
        error.send(*exchange, "");
        return;
    }
    caller_request_result request = parse_caller_request(
        *exchange, {control_->state().config(), random_, settings_.default_deadline});
    if (!request) {
        metrics_.counter(labelled("requests_refused_total", {{"code", request.error().code}})) += 1;
        request.error().send(*exchange, "");
        return;
    }
    const request_handler_context context{loop_,     *bus_,     *cluster_,   *allocators_,
                                          *picker_,  retries_,  random_,     metrics_,
                                          timeline_, settings_, incarnation_};
    const std::uint64_t number = request.value().number;
    auto handler = std::make_shared<request_handler>(context, std::move(request.value()), exchange,
                                                     [this](std::uint64_t ended) {
                                                         handlers_.erase(ended);
                                                         finish_drain_if_idle();
                                                     });
    handlers_[number] = handler;
    handler->start();
}

void entry::list_models(const http_exchange_pointer& exchange) {
    if (authenticate(*exchange, control_->state().config()) == nullptr) {
        const api_error error{401, "bad_key", "The key is missing or not known.",
                              execution_status::not_run, microseconds(0)};
        error.send(*exchange, "");
        return;
    }
    nlohmann::json list = nlohmann::json::array();
    for (const auto& [name, value] : control_->state().config().services()) {
        if (value.model) {
            list.push_back({{"id", name}, {"object", "model"}, {"owned_by", "wrenswitch"}});
        }
    }
    const nlohmann::json body = {{"object", "list"}, {"data", list}};
    exchange->reply(200, {{"Content-Type", "application/json"}}, body.dump());
}

void entry::handle_operator(const http_exchange_pointer& exchange) {
    const http_header json_type{"Content-Type", "application/json"};
    if (exchange->path() == "/v1/operator/commands") {
        operator_api_->handle(exchange);
    } else if (exchange->path() == "/metrics") {
        update_gauges(monotonic_now());
        exchange->reply(200, {{"Content-Type", "text/plain; version=0.0.4"}},
                        metrics_.to_prometheus_text());
    } else if (exchange->path() == "/healthz") {
        exchange->reply(ready() ? 200 : status_unavailable, {json_type},
                        ready() ? R"({"ready":true})" : R"({"ready":false})");
    } else if (exchange->path() == "/timeline") {
        exchange->reply(
            200, {json_type},
            timeline_.to_json("entry " + settings_.process.host, exchange->query("request")));
    } else {
        exchange->reply(status_not_found, {json_type}, R"({"error":{"message":"Unknown path."}})");
    }
}

void entry::tick() {
    const instant now = monotonic_now();
    caller_memory_.tick(now);
    control_->tick(now);
    allocators_->tick(now);
    if (active_) {
        check_watched_members(now);
        check_guards_in_use(now);
        acknowledge_guard_fences();
    }
    finish_drain_if_idle();
}

void entry::send_ping(incarnation_id to) {
    wire::Envelope message;
    message.set_sender(raw(incarnation_));
    message.mutable_ping()->set_sender(raw(incarnation_));
    message.mutable_ping()->set_control_offset(raw(control_->position()));
    bus_->send(cluster_->endpoint_of(to), message);
}

void entry::check_watched_members(instant now) {
    for (const incarnation_id id : cluster_->watched()) {
        const microseconds inactivity = now - cluster_->last_activity(id);
        if (inactivity < settings_.fence_after / (pings_before_fence + 1)) {
            continue;
        }
        send_ping(id);
        const bool timed_out = inactivity >= settings_.fence_after && control_->log_healthy(now) &&
                               control_->state().is_active(id);
        if (timed_out && fences_sent_.insert(id).second) {
            log_event(log_level::warning, "silent_process_fenced",
                      {{"incarnation", std::to_string(raw(id))},
                       {"endpoint", cluster_->endpoint_of(id)}});
            metrics_.counter("fences_sent_total") += 1;
            control_->submit(fence_record{id});
        }
    }
}

void entry::check_guards_in_use(instant now) {
    std::set<incarnation_id> in_use;
    for (const auto& [number, item] : handlers_) {
        const bool at_guard = item->phase() == request_handler_phase::accepted ||
                              item->phase() == request_handler_phase::joining;
        if (at_guard) {
            in_use.insert(item->guard());
        }
    }
    for (const incarnation_id guard : in_use) {
        const microseconds inactivity = now - cluster_->last_activity(guard);
        if (inactivity >= ping_after) {
            send_ping(guard);
        }
        if (inactivity < guard_lost_after) {
            continue;
        }
        metrics_.counter("guards_lost_total") += 1;
        const auto handlers = handlers_;
        for (const auto& [number, item] : handlers) {
            item->on_guard_lost(guard);
        }
    }
}

void entry::acknowledge_guard_fences() {
    const member* self = control_->state().find(incarnation_);
    if (self == nullptr || !control_->idle()) {
        return;
    }
    fence_acks_record acks;
    for (const auto& [fenced, fence] : control_->state().fences()) {
        const member* known = control_->state().find(fenced);
        const bool ack_due = known != nullptr && known->info.role == member_role::guard &&
                             fence.offset > self->registered_at &&
                             control_->state().wants_ack(fenced, incarnation_) &&
                             allocators_->is_guard_settled(fenced);
        if (ack_due) {
            acks.acks.push_back({fenced, incarnation_, {}});
            allocators_->forget_guard(fenced);
        }
    }
    if (!acks.acks.empty()) {
        control_->submit(std::move(acks));
    }
}

void entry::collect_fence_ack(const wire::MarkReport& report) {
    fence_ack ack{incarnation_id{report.fenced()}, incarnation_id{report.marker()}, {}};
    const bool expected = control_->state().wants_ack(ack.fenced, ack.sender);
    const bool already_queued = std::any_of(
        pending_fence_acks_.begin(), pending_fence_acks_.end(), [&ack](const fence_ack& item) {
            return item.fenced == ack.fenced && item.sender == ack.sender;
        });
    if (!expected || already_queued) {
        return;
    }
    for (const wire::Charge& item : report.charges()) {
        ack.charges.push_back(decode_charge(item, incarnation_id{}));
    }
    pending_fence_acks_.push_back(std::move(ack));
}

void entry::submit_fence_acks() {
    if (pending_fence_acks_.empty() || !active_ || !control_->idle()) {
        return;
    }
    control_->submit(fence_acks_record{std::exchange(pending_fence_acks_, {})});
}

void entry::update_gauges(instant now) {
    metrics_.gauge("requests_under_way") = static_cast<double>(handlers_.size());
    metrics_.gauge("control_offset") = static_cast<double>(raw(control_->position()));
    metrics_.gauge("configuration_version") =
        static_cast<double>(control_->state().config().version());
    metrics_.gauge("log_healthy") = control_->log_healthy(now) ? 1.0 : 0.0;
    metrics_.gauge("bus_sent_bytes") = static_cast<double>(bus_->bytes_sent());
    metrics_.gauge("bus_received_bytes") = static_cast<double>(bus_->bytes_received());
}

void entry::drain(std::function<void()> done) {
    on_drained_ = std::move(done);
    drain_deadline_ = monotonic_now() + settings_.process.max_drain;
    timeline_.add(timeline_kind::drain_started, "", {}, {}, "");
    log_event(log_level::information, "drain_started",
              {{"requests", std::to_string(handlers_.size())}});
    caller_server_->stop_listening();
    allocators_->start_drain();
    drain_timer_ = loop_.call_every(drain_poll_period, [this] { finish_drain_if_idle(); });
    finish_drain_if_idle();
}

/// Answers the callers of all requests that have not ended, while there is time to deliver the
/// answers.
void entry::end_remaining_requests() {
    const auto handlers = handlers_;
    for (const auto& [number, item] : handlers) {
        item->end_for_shutdown();
    }
}

void entry::finish_drain_if_idle() {
    if (on_drained_ == nullptr) {
        return;
    }
    const instant now = monotonic_now();
    if (now + drain_completion_margin >= drain_deadline_ && !handlers_.empty()) {
        end_remaining_requests();
        return;
    }
    const bool idle = handlers_.empty() && allocators_->idle();
    if (idle && active_ && !closing_) {
        closing_ = true;
        control_->submit(close_record{});
        return;
    }
    const bool closed = closing_ && control_->idle();
    const bool done =
        (closed || !active_) && handlers_.empty() && caller_server_->undelivered_connections() == 0;
    if (!done && now < drain_deadline_) {
        return;
    }
    log_event(log_level::information, "drain_ended",
              {{"closed", closed ? "yes" : "no"},
               {"requests", std::to_string(handlers_.size())},
               {"undelivered", std::to_string(caller_server_->undelivered_connections())}});
    const auto finished = std::exchange(on_drained_, nullptr);
    finished();
}

int run_entry(const entry_settings& settings) {
    event_loop loop;
    entry entry_process(loop, settings);
    const result<void> started = entry_process.start();
    if (!started) {
        log_event(log_level::error, "start_failed", {{"finding", started.error().message}});
        return exit_unavailable;
    }
    loop.on_stop_signal([&loop, &entry_process] { entry_process.drain([&loop] { loop.stop(); }); });
    loop.run();
    return exit_done;
}

}  // namespace wrenswitch
