#include "support/fleet_fixture.hpp"

#include <stdlib.h>
#include <unistd.h>

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <csignal>
#include <fstream>

#include "wrenswitch/core/digest.hpp"
#include "wrenswitch/core/time.hpp"

namespace wrenswitch::test {
namespace {

using nlohmann::json;

/// Far more than anything here takes; reaching it is a failure.
constexpr microseconds patience = seconds(60);
constexpr microseconds loop_slice = milliseconds(5);
constexpr const char* operator_key = "operator";

std::string binary(const std::string& name) {
    return std::string(WRENSWITCH_BINARIES) + "/" + name;
}

}  // namespace

std::string caller_call::ran() const {
    const nlohmann::json parsed = json();
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("ran", "") : "";
}

std::string caller_call::code() const {
    const nlohmann::json parsed = json();
    return parsed.is_object() && parsed.contains("error") ? parsed["error"].value("code", "") : "";
}

fleet_fixture::fleet_fixture() {
    std::string pattern = "/tmp/wrenswitch-test-XXXXXX";
    folder_ = mkdtemp(pattern.data());
}

fleet_fixture::~fleet_fixture() {
    calls_.clear();
    processes_.clear();
    for (const auto& [name, address] : operators_) {
        unlink((folder_ + "/" + name + ".json").c_str());
    }
    rmdir(folder_.c_str());
}

void fleet_fixture::start(const std::string& name, std::vector<std::string> words) {
    processes_[name] =
        std::make_unique<child_process>(std::move(words), folder_ + "/" + name + ".log");
    wait_for_event(name, "listening");
}

void fleet_fixture::start_log() {
    start("log", {binary("wrenstand"), "log", "--port", "0", "--port", "0"});
    const std::string ports = process("log").field("listening", "ports");
    const std::size_t comma = ports.find(',');
    log_ways_ = {"127.0.0.1:" + ports.substr(0, comma), "127.0.0.1:" + ports.substr(comma + 1)};
    stands_["log"] = http_address::parse(log_ways_[0]).value();
}

void fleet_fixture::start_engine(const std::string& name, const std::vector<std::string>& options) {
    std::vector<std::string> words{binary("wrenstand"), "engine"};
    words.insert(words.end(), options.begin(), options.end());
    start(name, words);
    const std::string port = process(name).field("listening", "ports");
    stands_[name] = http_address::parse("127.0.0.1:" + port).value();
    targets_.push_back(name);
}

void fleet_fixture::start_service(const std::string& name,
                                  const std::vector<std::string>& options) {
    std::vector<std::string> words{binary("wrenstand"), "service"};
    words.insert(words.end(), options.begin(), options.end());
    start(name, words);
    const std::string port = process(name).field("listening", "ports");
    stands_[name] = http_address::parse("127.0.0.1:" + port).value();
    targets_.push_back(name);
}

void fleet_fixture::write_settings(const std::string& name, const std::string& members) {
    std::ofstream file(folder_ + "/" + name + ".json");
    file << "{\"host\": \"" << name
         << "\", \"region\": \"zagreb\", \"failure_domain\": \"zg-borongaj\"" << members << "}";
}

void fleet_fixture::start_entry(const std::string& name, const std::string& more, int log_way) {
    write_settings(name, ", \"log\": \"" + log_ways_[static_cast<std::size_t>(log_way)] +
                             "\", \"ledger_shards\": 2, \"settle_period_ms\": 50, "
                             "\"fence_after_ms\": 2500, \"operator_keys\": [\"release:" +
                             sha256_hex(operator_key) + "\"]" + more);
    start(name, {binary("wrenentry"), "--settings", folder_ + "/" + name + ".json"});
    callers_[name] =
        http_address::parse("127.0.0.1:" + process(name).field("listening", "caller_port")).value();
    operators_[name] =
        http_address::parse("127.0.0.1:" + process(name).field("listening", "operator_port"))
            .value();
}

void fleet_fixture::start_guard(const std::string& name, const std::string& service,
                                const std::string& target, const std::string& more, int log_way) {
    write_settings(name, ", \"log\": \"" + log_ways_[static_cast<std::size_t>(log_way)] +
                             "\", \"ledger_shards\": 2, \"service\": \"" + service +
                             "\", \"target\": \"" + stands_.at(target).to_text() + "\"" + more);
    start(name, {binary("wrenguard"), "--settings", folder_ + "/" + name + ".json"});
    operators_[name] =
        http_address::parse("127.0.0.1:" + process(name).field("listening", "operator_port"))
            .value();
}

void fleet_fixture::start_usual_fleet(long limit, const std::string& entry_more) {
    start_log();
    start_engine("engine1", {"--seed", "1"});
    start_engine("engine2", {"--seed", "2"});
    start_service("service1");
    start_entry("entry1", entry_more);
    start_entry("entry2", entry_more);
    start_guard("guard1", "model", "engine1");
    start_guard("guard2", "model", "engine2");
    start_guard("guard3", "plain", "service1");
    for (const char* name : {"entry1", "entry2"}) {
        wait_for_event(name, "entry_active");
    }
    for (const char* name : {"guard1", "guard2", "guard3"}) {
        wait_for_event(name, "guard_active");
    }
    configure("entry1", limit);
}

void fleet_fixture::configure(const std::string& entry, long limit) {
    const json answer =
        script(entry,
               "create service model kind = model;"
               "create service plain kind = plain tokens_per_call = 0 repeatable = false;"
               "create budget schools limit = " +
                   std::to_string(limit) + ";create client_account schools key = \"" + account_key +
                   "\" budget = schools");
    BOOST_REQUIRE_EQUAL(answer.value("outcome", ""), "done");
    // Every entry must know the account and hold tokens before a test measures anything.
    for (const auto& [name, address] : callers_) {
        wait_until(
            [&, entry_name = name] {
                return number(entry_name, "show configuration", "version") >= 3;
            },
            name + " has the configuration");
    }
}

void fleet_fixture::kill_process(const std::string& name) {
    process(name).signal(SIGKILL);
    wait_until([&] { return process(name).ended(); }, name + " is killed");
}

void fleet_fixture::wait_until(const std::function<bool()>& condition, const std::string& what) {
    const instant end = monotonic_now() + patience;
    while (!condition()) {
        if (monotonic_now() > end) {
            std::string logs;
            for (const auto& [name, child] : processes_) {
                logs += "--- " + name + "\n" + child->output();
            }
            BOOST_FAIL("This did not come: " + what + "\n" + logs);
        }
        loop_.call_after(loop_slice, [this] { loop_.stop(); });
        loop_.run();
    }
}

void fleet_fixture::wait_for_event(const std::string& name, const std::string& event) {
    wait_until([&] { return process(name).output().find("event=" + event) != std::string::npos; },
               name + " logs " + event);
}

std::shared_ptr<caller_call> fleet_fixture::send(const std::string& entry, const std::string& path,
                                                 const std::string& body,
                                                 std::vector<http_header> headers) {
    auto& client = clients_[callers_.at(entry).to_text()];
    if (client == nullptr) {
        client = std::make_unique<http_client>(loop_, callers_.at(entry));
    }
    http_request request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    request.headers = std::move(headers);
    request.headers.push_back({"Authorization", std::string("Bearer ") + account_key});
    request.fresh_connection = true;
    auto made = std::make_shared<caller_call>();
    made->call = client->send(
        std::move(request),
        [made](const result<http_reply>& reply) {
            made->done = true;
            made->status = reply ? reply.value().status : 0;
        },
        [made](const http_reply&, std::string_view piece) { made->body += piece; });
    calls_.push_back(made);
    return made;
}

std::shared_ptr<caller_call> fleet_fixture::complete(const std::string& entry,
                                                     const std::string& prompt, int max_tokens,
                                                     bool streamed, const std::string& key) {
    const json body = {{"model", "model"},
                       {"max_tokens", max_tokens},
                       {"stream", streamed},
                       {"messages", json::array({{{"role", "user"}, {"content", prompt}}})}};
    std::vector<http_header> headers;
    if (!key.empty()) {
        headers.push_back({"Idempotency-Key", key});
    }
    return send(entry, "/v1/chat/completions", body.dump(), std::move(headers));
}

std::shared_ptr<caller_call> fleet_fixture::call_service(const std::string& entry,
                                                         const std::string& key) {
    return send(entry, "/v1/services/plain/valve", R"({"open":true})", {{"Idempotency-Key", key}});
}

void fleet_fixture::wait_for(const std::shared_ptr<caller_call>& call, const std::string& what) {
    wait_until([&] { return call->done; }, what);
}

json fleet_fixture::exchange(const http_address& address, http_request request) {
    http_client client(loop_, address);
    json answer;
    bool done = false;
    const auto call = client.send(std::move(request), [&](const result<http_reply>& reply) {
        done = true;
        answer = reply ? json::parse(reply.value().body, nullptr, false) : json();
    });
    wait_until([&] { return done; }, "an answer of " + address.to_text());
    return answer;
}

json fleet_fixture::script(const std::string& entry, const std::string& text) {
    http_request request;
    request.method = "POST";
    request.target = "/v1/operator/commands";
    request.headers = {{"Authorization", std::string("Bearer ") + operator_key}};
    request.body = text;
    return exchange(operators_.at(entry), std::move(request));
}

long fleet_fixture::number(const std::string& entry, const std::string& show,
                           const std::string& column) {
    const json answer = script(entry, show + " columns " + column);
    const bool has_row = answer.is_object() && answer.contains("results") &&
                         answer["results"][0].contains("rows") &&
                         !answer["results"][0]["rows"].empty();
    return has_row ? std::stol(answer["results"][0]["rows"][0][0].get<std::string>()) : -1;
}

json fleet_fixture::get(const std::string& stand, const std::string& path) {
    http_request request;
    request.target = path;
    return exchange(stands_.at(stand), std::move(request));
}

void fleet_fixture::post(const std::string& stand, const std::string& path,
                         const std::string& body) {
    http_request request;
    request.method = "POST";
    request.target = path;
    request.body = body;
    exchange(stands_.at(stand), std::move(request));
}

long fleet_fixture::counted_tokens() {
    long sum = 0;
    for (const std::string& target : targets_) {
        sum += get(target, "/counts")["tokens"].get<long>();
    }
    return sum;
}

long fleet_fixture::most_runs_of_a_key() {
    long most = 0;
    std::map<std::string, long> runs;
    for (const std::string& target : targets_) {
        const json counts = get(target, "/counts");
        for (const auto& [key, count] : counts["runs_by_key"].items()) {
            runs[key] += count.get<long>();
            most = std::max(most, runs[key]);
        }
    }
    return most;
}

long fleet_fixture::counted_runs() {
    long sum = 0;
    for (const std::string& target : targets_) {
        sum += get(target, "/counts")["runs"].get<long>();
    }
    return sum;
}

void fleet_fixture::wait_for_balance(const std::string& entry) {
    wait_until(
        [&] {
            const long billed = number(entry, "show budget", "billed");
            const long burnt = number(entry, "show budget", "burnt");
            return billed + burnt == counted_tokens();
        },
        "the bill equals the targets' count");
}

}  // namespace wrenswitch::test
