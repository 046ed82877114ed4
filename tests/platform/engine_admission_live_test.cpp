// Requests that compete for two engines, before three real wrengates of which one coordinates both
// engines.

#include <algorithm>

#include "platform/engine_standin.hpp"
#include "platform/gateway_fleet.hpp"

namespace {

using namespace wrenswitch;
using namespace wrenswitch::testing;

struct request_kind {
    std::string path;
    std::string usage;
    unsigned prompt_tokens = 0;
    microseconds objective{};
};

struct engine_admission_fixture : gateway_fleet {
    struct call {
        const request_kind* kind = nullptr;
        std::string id;
        std::size_t entry_index = 0;
        raw_socket socket;
        instant sent{};
        instant ended{};
        /// When the caller may send a refused request again.
        instant retry_at{};
        /// The request is sent again, or is itself one that was sent again.
        bool is_resent = false;
        bool is_second = false;

        bool is_refused() { return socket.received().starts_with("HTTP/1.1 503"); }
        microseconds took() const { return ended - sent; }
    };

    const request_kind urgent{"/urgent/", "830,30", 830, milliseconds(250)};
    const request_kind bulk{"/bulk/", "9200,30", 9200, milliseconds(800)};
    static constexpr microseconds urgent_interval = microseconds(62'500);
    /// 0.5 of the capacity of two engines, and 2.5 times that.
    static constexpr microseconds usual_bulk_interval = milliseconds(250);
    static constexpr microseconds burst_bulk_interval = milliseconds(100);
    static constexpr microseconds only_urgent = seconds(3600);

    engine_standin first{loop, "llm-1"};
    engine_standin second{loop, "llm-2"};
    std::vector<call> calls;
    std::vector<std::size_t> used_entries{0, 1, 2};
    std::size_t last_request = 0;

    engine_admission_fixture() : gateway_fleet(3) {
        more_settings = R"(,"log_requests_per_second":1000)";
        for (engine_standin* engine : {&first, &second}) {
            store.put("keyed.servers", engine->worker.id(), engine->list_entry("llm"));
        }
    }

    void start(unsigned bulk_priority) {
        store.put("keyed.op", "config",
                  R"({"version":1,"routes":[
            {"name":"urgent","host":"h.test","pathPrefix":"/urgent/","kind":"streaming",
             "timeoutMs":5000,"targetLatencyMs":250,"targetGapMs":300,"service":"llm",
             "maxAttempts":1,"priority":0},
            {"name":"bulk","host":"h.test","pathPrefix":"/bulk/","kind":"streaming",
             "timeoutMs":5000,"targetLatencyMs":800,"targetGapMs":400,"service":"llm",
             "maxAttempts":1,"priority":)" +
                      std::to_string(bulk_priority) +
                      R"(}],
            "services":[{"name":"llm","healthPath":"/health","maxConns":240,
              "engine":{"slots":64,"kvCapacity":1000000,"stride":3}}],
            "limits":{"maxHeaderBytes":4096,"maxBodyBytes":10000,"headerTimeoutMs":1000,
              "idleTimeoutMs":10000},
            "tenants":[{"name":"tenant","apiKeys":["key-1"]}]})");
        start_all();
    }

    call send(const request_kind& kind) {
        const std::size_t number = ++last_request;
        const std::size_t at = used_entries[number % used_entries.size()];
        const std::string id = "r" + std::to_string(number);
        raw_socket socket = raw_socket::connect(entries[at].listen);
        socket.send("POST " + kind.path + " HTTP/1.1\r\nHost: h.test\r\nRequest-Id: " + id +
                    "\r\nCredential: key-1\r\nConnection: close\r\nModel: m\r\nToken-Usage: " +
                    kind.usage + "\r\nPrefix-Hash: " + std::to_string(number) + ":" +
                    std::to_string(kind.prompt_tokens) + "\r\nContent-Length: 0\r\n\r\n");
        return {&kind, id, at, std::move(socket), monotonic_now(), {}, {}, false, false};
    }

    void collect() {
        for (call& each : calls) {
            if (each.ended != instant{} || !each.socket.ended()) {
                continue;
            }
            each.ended = monotonic_now();
            const std::string& text = each.socket.received();
            const std::size_t at = text.find("Retry-After: ");
            if (at != std::string::npos) {
                each.retry_at = each.ended + from_seconds(std::stod(text.substr(at + 13)));
            }
        }
    }

    /// Sends refused requests again, once each, at the times that they were given.
    void resend_due() {
        const std::size_t count = calls.size();
        for (std::size_t index = 0; index < count; ++index) {
            call& each = calls[index];
            const bool is_due = each.retry_at != instant{} && monotonic_now() >= each.retry_at;
            if (is_due && !each.is_resent && !each.is_second) {
                each.is_resent = true;
                calls.push_back(send(*each.kind));
                calls.back().is_second = true;
            }
        }
    }

    /// Sends both kinds at steady rates and collects the responses.
    void offer(microseconds length, microseconds bulk_interval) {
        const instant end = monotonic_now() + length;
        instant next_urgent = monotonic_now();
        instant next_bulk = monotonic_now() + bulk_interval;
        while (monotonic_now() < end) {
            for (; next_urgent <= monotonic_now(); next_urgent += urgent_interval) {
                calls.push_back(send(urgent));
            }
            for (; next_bulk <= monotonic_now(); next_bulk += bulk_interval) {
                calls.push_back(send(bulk));
            }
            run_for(milliseconds(2));
            collect();
            resend_due();
        }
    }

    void until_ended() {
        BOOST_REQUIRE(run_until(
            [this] {
                collect();
                resend_due();
                return std::all_of(calls.begin(), calls.end(), [](const call& each) {
                    const bool is_pending = each.retry_at != instant{} && !each.is_second;
                    return each.ended != instant{} && (!is_pending || each.is_resent);
                });
            },
            seconds(25)));
    }

    std::size_t count_refused(const request_kind& kind, instant from = {}) {
        return static_cast<std::size_t>(
            std::count_if(calls.begin(), calls.end(), [&kind, from](call& each) {
                return each.kind == &kind && each.sent >= from && each.is_refused();
            }));
    }

    void check_refusal(call& each) {
        const std::string& response = each.socket.received();
        const microseconds wait = each.retry_at - each.ended;
        BOOST_TEST(response.ends_with("engine_share\n"));
        BOOST_TEST((wait >= milliseconds(50)));
        BOOST_TEST((wait <= seconds(10)));
        BOOST_TEST((each.took() <= bulk.objective / 2));
        BOOST_TEST(!ran(each.id));
        BOOST_TEST(lines("event=engine_share ", "request=" + each.id + " ") == 1U);
    }

    /// The entry that coordinates the engines.
    std::size_t coordinator() {
        const auto placements = [this](const entry& each) {
            return figure_of(each, "placements_total");
        };
        const auto found = std::max_element(entries.begin(), entries.end(),
                                            [&placements](const entry& left, const entry& right) {
                                                return placements(left) < placements(right);
                                            });
        return static_cast<std::size_t>(found - entries.begin());
    }

    bool ran(const std::string& id) const {
        return first.ran.contains(id) || second.ran.contains(id);
    }

    /// The lines of all entries with these parts.
    std::size_t lines(const std::string& part, const std::string& other = "") const {
        std::size_t found = 0;
        for (const entry& each : entries) {
            std::istringstream text(each.process->output());
            for (std::string line; std::getline(text, line);) {
                found +=
                    line.find(part) != std::string::npos && line.find(other) != std::string::npos
                        ? 1
                        : 0;
            }
        }
        return found;
    }
};

BOOST_FIXTURE_TEST_SUITE(engine_admission_live, engine_admission_fixture)

BOOST_AUTO_TEST_CASE(burst_of_less_urgent_kind_is_refused_at_once_and_urgent_kind_never) {
    // Guards against prompts that fill the engines' queues so that urgent requests are late, and
    // against callers that wait for a refusal or are told a time at which they are refused again.
    start(2);
    offer(seconds(2), usual_bulk_interval);
    offer(seconds(4), burst_bulk_interval);
    const instant burst_end = monotonic_now();
    offer(seconds(3), only_urgent);
    until_ended();
    const std::size_t refused = count_refused(bulk);
    BOOST_TEST(refused > 0U);
    BOOST_TEST(count_refused(urgent) == 0U);
    std::size_t at_once = 0;
    std::size_t resent_later = 0;
    for (call& each : calls) {
        const bool is_refused = each.is_refused();
        if (each.is_second && each.sent >= burst_end) {
            BOOST_TEST(!is_refused);
            resent_later += 1;
        }
        if (!is_refused) {
            continue;
        }
        at_once += each.took() <= bulk.objective / 4 ? 1 : 0;
        check_refusal(each);
    }
    BOOST_TEST(2 * at_once >= refused);
    BOOST_TEST(resent_later > 0U);
    BOOST_TEST(lines("event=request_ended ", "outcome=engine_share ") == refused);
    // A refusal that reaches its entry too late is counted, but the entry has chosen by itself.
    const double counted = sum_of("placements_refused_total");
    BOOST_TEST(counted >= static_cast<double>(refused));
    BOOST_TEST(counted <= static_cast<double>(refused) + sum_of("placement_asks_late_total"));
}

BOOST_AUTO_TEST_CASE(held_requests_are_counted_and_pressure_is_logged) {
    // Guards against holds without a trace, holds longer than a quarter of an objective, and a line
    // for each request.
    start(2);
    offer(seconds(2), usual_bulk_interval);
    offer(seconds(2), burst_bulk_interval);
    const instant end = monotonic_now() + seconds(10);
    while (lines("event=engine_pressure_ended ") == 0 && monotonic_now() < end) {
        offer(milliseconds(250), only_urgent);
    }
    until_ended();
    const double held = sum_of("placements_held_total");
    BOOST_TEST(held > 0.0);
    BOOST_TEST(sum_of("placement_hold_ms_count") == held);
    BOOST_TEST(sum_of(R"(placement_hold_ms_bucket{le="500"})") == held);
    BOOST_TEST(lines("event=engine_pressure_began ") == 1U);
    BOOST_TEST(lines("event=engine_pressure_ended ") == 1U);
    const test::child_process& logging = *entries[coordinator()].process;
    BOOST_TEST(logging.field("engine_pressure_began", "service") == "llm");
    BOOST_TEST(logging.field("engine_pressure_began", "account") == "tenant");
    BOOST_TEST(logging.field("engine_pressure_began", "priority") == "2");
    BOOST_TEST(logging.field("engine_pressure_began", "target").starts_with("llm-"));
    BOOST_TEST(std::stod(logging.field("engine_pressure_began", "harm")) >
               std::stod(logging.field("engine_pressure_began", "value")));
}

BOOST_AUTO_TEST_CASE(coordinator_that_is_killed_in_a_burst_causes_no_more_refusals) {
    // Guards against entries that refuse because they reach no coordinator.
    start(2);
    offer(seconds(2), usual_bulk_interval);
    const instant burst_start = monotonic_now();
    offer(seconds(3), burst_bulk_interval);
    const std::size_t killed = coordinator();
    entries[killed].process->signal(SIGKILL);
    std::erase(used_entries, killed);
    const instant killed_at = monotonic_now();
    std::erase_if(calls, [killed](const call& each) {
        return each.entry_index == killed && each.ended == instant{};
    });
    const std::size_t before = count_refused(bulk, burst_start);
    offer(seconds(3), burst_bulk_interval);
    until_ended();
    const std::size_t after = count_refused(bulk, killed_at);
    BOOST_TEST(before > 0U);
    BOOST_TEST(after <= before);
    BOOST_TEST(count_refused(urgent) == 0U);
    // Each of them was decided by the coordinator that took over.
    BOOST_TEST(static_cast<double>(after) <= sum_of("placements_refused_total"));
}

BOOST_AUTO_TEST_CASE(requests_of_equal_priority_are_neither_held_nor_refused) {
    // Guards against admission control where nothing competes.
    start(0);
    offer(seconds(1), usual_bulk_interval);
    offer(seconds(2), burst_bulk_interval);
    until_ended();
    BOOST_TEST(count_refused(bulk) + count_refused(urgent) == 0U);
    BOOST_TEST(sum_of("placements_held_total") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
