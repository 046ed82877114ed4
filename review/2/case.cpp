// A client that asks for an answer without an end lifts the prepaid bound of its tenant.

#include <map>
#include <set>

#include "stand/deployment.hpp"

namespace {

using namespace review;

constexpr long prepaid = 29'000;
constexpr long prompt_tokens = 400;
/// What an ordinary request may get at most, and what it gets: events of 3 tokens each.
constexpr long most_output = 100;
constexpr int events = 30;
constexpr long tokens_per_event = 3;
constexpr long memory_tokens = 374'509;

/// What the client that wants no end sends: a prompt of the usual size of a commissioning-review,
/// and as the most out the largest whole number of 64 bits.
const std::string without_end = "9190,9223372036854775807";

const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-ask","host":"a.example","pathPrefix":"/ask/","kind":"streaming","timeoutMs":4000,
   "targetLatencyMs":500,"priority":0,"service":"llm","maxAttempts":2,"public":false,"sticky":true,
   "resumable":true,"targetGapMs":300}],
 "services":[{"name":"llm","healthPath":"/health","maxConns":360,"protocol":"h1","tls":false,
   "engine":{"slots":64,"kvCapacity":374509,"kvTokenBytes":163840,"linkMbps":1100000.0,
   "moves":true,"backups":true,"stride":3,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,
   "models":[{"name":"m"}]}}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"tenant-1","apiKeys":["key-1"],"priority":1,"prepaid":29000}]})";

/// All that the case watches.
struct play {
    record notes;
    deployment site;
    /// Tokens in, once for each request, and tokens handed out, as the workers saw them.
    long tokens_in = 0;
    long tokens_out = 0;
    std::set<std::string> read;
    std::map<unsigned, int> statuses;

    explicit play(const std::string& file) : notes(file), site(temporary_folder()) {}

    /// A model worker. One request that is larger than its memory is rejected as if it were full.
    void run(worker& self, const ingress_exchange_pointer& exchange) {
        const message_head& head = exchange->head();
        const std::string id(head.header("Request-Id"));
        const std::string usage(head.header("Token-Usage"));
        const std::size_t comma = usage.find(',');
        const double most = std::stod(usage.substr(0, comma)) + std::stod(usage.substr(comma + 1));
        if (most > static_cast<double>(memory_tokens)) {
            notes.add("worker " + self.id() + " turns " + id + " away, not run: Token-Usage " +
                      usage + " is more than its memory");
            auto headers = self.signature(exchange);
            headers.push_back({"Not-Executed", "1"});
            exchange->answer(503, headers, "");
            return;
        }
        if (read.insert(id).second) {
            tokens_in += prompt_tokens;
        }
        exchange->begin_answer(200, self.signature(exchange));
        for (int number = 1; number <= events; ++number) {
            exchange->send_piece("id: " + std::to_string(number) + "\ndata: text\n\n");
            tokens_out += tokens_per_event;
        }
        exchange->end_answer();
        notes.add("worker " + self.id() + " ran " + id + ": " + std::to_string(tokens_in) +
                  " tokens in and " + std::to_string(tokens_out) + " out for tenant-1 so far");
    }

    unsigned ask(std::size_t at, const std::string& id, const std::string& usage) {
        const front& entry = site.fronts[at];
        wire client = wire::connect(entry.host, entry.listen);
        notes.add("client sends " + id + " to " + entry.name + ", Token-Usage: " + usage);
        client.send("POST /ask/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id +
                    "\r\nModel: m\r\nToken-Usage: " + usage +
                    "\r\nPrefix-Hash: a1:300,b2:100\r\nDeadline-Ms: 4000\r\n"
                    "Credential: key-1\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi");
        site.run_until(
            [&] {
                client.read();
                return client.ended();
            },
            seconds(5));
        notes.add("client gets " + std::to_string(client.status()) + " for " + id);
        return client.status();
    }

    int verdict() {
        for (const auto& [status, count] : statuses) {
            notes.add(std::to_string(count) + " requests ended with " + std::to_string(status));
        }
        const long got = tokens_in + tokens_out;
        notes.add("tenant-1 got " + std::to_string(got) + " tokens of " + std::to_string(prepaid) +
                  " prepaid");
        if (statuses[200] == 0) {
            notes.add("could not run: no request was served");
            return could_not_run;
        }
        notes.add(got > prepaid ? "BUDGET is broken" : "BUDGET holds");
        return got > prepaid ? rule_broken : rule_held;
    }

    int play_all() {
        for (int number = 1; number <= 3; ++number) {
            site.add_worker("i-" + std::to_string(number), "llm",
                            number == 1 ? "zg-sesvete" : "zg-borongaj", 64,
                            [this](worker& self, const ingress_exchange_pointer& exchange) {
                                run(self, exchange);
                            });
        }
        site.configure(configuration);
        if (!site.start_front("front-zg-borongaj-1", "zg-borongaj") ||
            !site.start_front("front-zg-sesvete-1", "zg-sesvete")) {
            notes.add("could not run: a gateway is not ready");
            return could_not_run;
        }
        site.run_for(seconds(1));
        if (with_trouble()) {
            ask(0, "without-end", without_end);
        }
        ask_often("q");
        // What is spent has to be known to those that come after, too.
        site.run_for(seconds(6));
        for (front& each : site.fronts) {
            notes.add("planned stop and start of " + each.name + ", " +
                      std::to_string(tokens_in + tokens_out) + " tokens spent");
            if (!site.restart_front(each)) {
                notes.add("could not run: a gateway is not ready again");
                return could_not_run;
            }
        }
        site.run_for(seconds(1));
        ask_often("s");
        return verdict();
    }

    void ask_often(const std::string& name) {
        const std::string usage = std::to_string(prompt_tokens) + "," + std::to_string(most_output);
        for (int number = 0; number < 160 && notes.elapsed_ms() < 60'000; ++number) {
            const std::size_t at = static_cast<std::size_t>(number) % site.fronts.size();
            statuses[ask(at, name + std::to_string(number), usage)] += 1;
        }
        notes.add("tenant-1 got " + std::to_string(tokens_in + tokens_out) + " tokens so far");
    }
};

}  // namespace

int main(int, char** arguments) {
    return play(arguments[1]).play_all();
}
