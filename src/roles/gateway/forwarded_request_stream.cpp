// The part of forwarded_request that lets a stream continue only at the version that began it.

#include <algorithm>

#include "roles/gateway/forwarded_request.hpp"
#include "roles/gateway/retry_after.hpp"
#include "roles/shared/http_status.hpp"
#include "wrenswitch/core/digest.hpp"

namespace wrenswitch {
namespace {

/// How much longer than its caller waits the record of a stream is kept.
constexpr microseconds record_margin = seconds(2);

/// An unknown stream may have begun at least this long before it is resumed.
constexpr microseconds min_stream_age = seconds(10);

/// A caller may resume a stream after its route's timeout, with a new one.
constexpr int timeouts_per_stream = 2;

}  // namespace

bool forwarded_request::resumes_stream() const {
    return is_stream(admitted_.route.kind) && request_.resumes_stream();
}

/// Identifies the account that may resume the stream.
std::uint64_t forwarded_request::stream_account() const {
    return spread_hash(admitted_.key_owner);
}

/// Finds out where the stream began that the caller resumes, before tokens are reserved.
void forwarded_request::find_stream_origin() {
    const microseconds max_age =
        std::max<microseconds>(min_stream_age, admitted_.route.timeout * timeouts_per_stream);
    const instant now = monotonic_now();
    stream_question question;
    if (request_.resumed_request.size() <= stream_record::max_request_bytes) {
        question.request = request_.resumed_request;
    }
    question.account = stream_account();
    question.service =
        context_.services_of_routes.only_service(now, admitted_.route, max_age).value_or("");
    question.max_age = max_age;
    origin_question_ = context_.streams.ask(
        std::move(question), [self = weak_from_this()](const stream_exchange::resolution& found) {
            const auto alive = self.lock();
            if (alive && !alive->ended_ && !alive->cancelled_) {
                alive->on_stream_origin(found);
            }
        });
}

void forwarded_request::on_stream_origin(const stream_exchange::resolution& found) {
    origin_question_.reset();
    trace_stream_origin(found);
    if (found.origin.source == origin_source::unknown) {
        refuse(status_unavailable, "stream_version_unknown", version_retry_after);
        return;
    }
    if (!adopt_stream_origin(found.origin)) {
        refuse(status_unavailable, "stream_service_withdrawn", version_retry_after);
        return;
    }
    reserve_tokens();
}

/// Sends the request where the stream began. Returns false if the configuration no longer allows
/// that service.
bool forwarded_request::adopt_stream_origin(const stream_origin& origin) {
    stream_version_ = origin.version;
    if (origin.service == admitted_.service) {
        return true;
    }
    if (!assign_service(context_.configuration, admitted_, request_.host, request_.path,
                        origin.service)) {
        return false;
    }
    set_rollout_request();
    return true;
}

void forwarded_request::trace_stream_origin(const stream_exchange::resolution& found) {
    const instant now = monotonic_now();
    const bool has_record = found.origin.source == origin_source::record;
    trace_.add(now, "stream_resumed",
               {{"resumes", request_.resumed_request},
                {"last_event", request_.last_event},
                {"source", std::string(name_of(found.origin.source))},
                {"begun_service", found.origin.service},
                {"begun_version", found.origin.version},
                {"known_from", found.origin.host},
                {"record_left_ms", has_record ? millis_text(found.origin.expires - now) : ""},
                {"asked", std::to_string(found.asked)},
                {"answered", std::to_string(found.answered)},
                {"asked_for_us", std::to_string(found.elapsed.count())}});
}

/// Shows an attempt that continues a response of which the caller already has events: the version
/// that sent the first of them and the version that continues.
void forwarded_request::trace_continuation() {
    if (!stream_version_) {
        return;
    }
    const bool same = *stream_version_ == target_version_;
    context_.counters.counter(labelled("gateway_streams_continued_total",
                                       {{"versions", same ? "same" : "different"}})) += 1;
    trace_.add(monotonic_now(), "stream_continued",
               {{"begun_version", *stream_version_},
                {"version", target_version_},
                {"last_event", splitter_.last_event_id()}});
}

/// The versions that the next attempt may use: for a stream of which the caller has events only the
/// version that began it.
std::optional<version_constraint> forwarded_request::choose_versions() {
    const instant now = monotonic_now();
    const unsigned attempt = history_.attempt_number() + 1;
    const bool suspected = suspicion_.level() != suspicion::none;
    if (stream_version_) {
        return rollout_.choose_continuation(now, attempt, *stream_version_, suspected);
    }
    return without_unrecorded(rollout_.choose_versions(now, attempt, suspected));
}

/// No resumable stream begins at a version that isn't in the version log yet.
version_set forwarded_request::unrecorded_versions() const {
    const bool begins_stream =
        !stream_version_ && admitted_.route.kind == request_kind::resumable_stream;
    return begins_stream ? context_.unrecorded_versions(admitted_.service) : version_set{};
}

std::optional<version_constraint> forwarded_request::without_unrecorded(
    std::optional<version_constraint> versions) const {
    if (versions) {
        versions->excluded.merge(unrecorded_versions());
    }
    return versions;
}

/// The constraints that hold for this request whatever a rollout allows.
candidate_constraints forwarded_request::current_constraints() const {
    candidate_constraints constraints{admitted_.regions, {}};
    if (stream_version_) {
        constraints.version = {version_rule::only, *stream_version_, 0, 0, {}};
    }
    constraints.version.excluded = unrecorded_versions();
    return constraints;
}

bool forwarded_request::has_target_of_stream_version() {
    return context_.targets.has_untried(monotonic_now(), admitted_.service, {},
                                        current_constraints());
}

/// Records the version of the attempt that is about to be sent, as long as the caller has no event
/// of the stream. It must be on its way to other entries before an event can arrive.
void forwarded_request::record_stream_begin() {
    if (stream_version_ || admitted_.route.kind != request_kind::resumable_stream) {
        return;
    }
    const microseconds caller_time = request_.deadline.value_or(microseconds(0));
    stream_record record;
    record.request = request_.id;
    record.service = admitted_.service;
    record.version = target_version_;
    record.account = stream_account();
    record.attempt = history_.attempt_number();
    record.expires = exchange_->received() +
                     std::max<microseconds>(caller_time, admitted_.route.timeout) + record_margin;
    context_.streams.begin_stream(std::move(record));
}

}  // namespace wrenswitch
