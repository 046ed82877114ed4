// Requests go on to a worker that has left the list, long after drainMs.

#include <map>

#include "stand/deployment.hpp"

namespace {

using namespace review;

// Of the site lelang-tani-grown.
constexpr long drain_ms = 4000;
/// How much longer than drain_ms the worker serves ("at times many seconds").
constexpr long linger_ms = 6000;
/// How long a request may be on its way from the gateway to the worker, at the very most.
constexpr long slack_ms = 500;
/// How long a worker works on a request.
constexpr long work_ms = 60;

/// The service has seven workers, one of them in the second region.
constexpr int workers_in_first_region = 6;

const std::string configuration = R"({"version":7,"routes":[
  {"name":"r-bid","host":"a.example","pathPrefix":"/bid/","kind":"non_idempotent",
   "timeoutMs":4000,"targetLatencyMs":400,"priority":2,"service":"app","maxAttempts":1,
   "public":false}],
 "services":[{"name":"app","healthPath":"/health","maxConns":210,"protocol":"h1","tls":false}],
 "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
   "idleTimeoutMs":15000},
 "tenants":[{"name":"tenant-timur","apiKeys":["key-timur"],"priority":1,
    "allowedRegions":["jawa-timur"]},
  {"name":"tenant-any","apiKeys":["key-any"],"priority":1}]})";

site_settings settings_of_site() {
    site_settings settings;
    settings.zones = R"({"smg-a":"jawa-tengah","smg-b":"jawa-tengah","slo-a":"jawa-tengah",)"
                     R"("sby-a":"jawa-timur","sby-b":"jawa-timur","mlg-a":"jawa-timur"})";
    settings.cpu_share = "0.5";
    settings.link_mbps = "200.0";
    settings.retry_slack = "90";
    return settings;
}

/// A client that sends one request after the other, each over a new connection.
struct client {
    std::string key;
    wire connection;
    std::string id;
    bool waits = false;
    long next_ms = 0;
};

struct play {
    record notes;
    deployment site;
    worker* leaving = nullptr;
    /// When the store acknowledged that the worker is gone, and when the worker ended.
    long gone_ms = 0;
    long ended_ms = 0;
    int late = 0;
    long latest_ms = 0;
    int begun_and_lost = 0;
    int number = 0;
    /// The requests that a worker has begun.
    std::map<std::string, std::string> begun;
    std::map<std::string, std::map<unsigned, int>> statuses;

    explicit play(const std::string& file)
        : notes(file), site(temporary_folder(), settings_of_site()) {}

    void serve(worker& self, const ingress_exchange_pointer& exchange) {
        const std::string id(exchange->head().header("Request-Id"));
        begun[id] = self.id();
        const long now = notes.elapsed_ms();
        const bool is_gone = &self == leaving && gone_ms > 0;
        notes.add(
            "worker " + self.id() + " begins " + id +
            (is_gone ? ", " + std::to_string(now - gone_ms) + " ms after the store took its leaving"
                     : ""));
        if (is_gone && now - gone_ms > drain_ms + slack_ms) {
            late += 1;
            latest_ms = now - gone_ms;
        }
        site.loop.call_after(milliseconds(work_ms), [this, exchange, &self] {
            if (&self != leaving || ended_ms == 0) {
                exchange->answer(200, self.signature(exchange), "done");
            }
        });
    }

    void ask(client& who) {
        who.id = "q" + std::to_string(++number);
        const front& entry = site.fronts[static_cast<std::size_t>(number) % site.fronts.size()];
        who.connection = wire::connect(entry.host, entry.listen);
        who.waits = true;
        notes.add("client of " + who.key + " sends " + who.id + " to " + entry.name);
        who.connection.send("POST /bid/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + who.id +
                            "\r\nDeadline-Ms: 4000\r\nCredential: " + who.key +
                            "\r\nContent-Length: 2\r\n\r\nhi");
    }

    void look(client& who) {
        if (!who.waits) {
            if (notes.elapsed_ms() >= who.next_ms) {
                ask(who);
            }
            return;
        }
        who.connection.read();
        if (!who.connection.complete() && !who.connection.ended()) {
            return;
        }
        who.waits = false;
        who.next_ms = notes.elapsed_ms() + 40;
        const unsigned status = who.connection.complete() ? who.connection.status() : 0;
        statuses[who.key][status] += 1;
        const bool was_begun = begun.contains(who.id);
        notes.add("client of " + who.key + " gets " + std::to_string(status) + " for " + who.id);
        if (was_begun && status != 200 && begun[who.id] == leaving->id() && ended_ms > 0) {
            begun_and_lost += 1;
            notes.add(who.id + " had begun at the worker that left, and is lost");
        }
    }

    void pass(std::vector<client>& clients, long length_ms) {
        const long end = notes.elapsed_ms() + length_ms;
        while (notes.elapsed_ms() < end) {
            for (client& each : clients) {
                look(each);
            }
            site.run_for(milliseconds(5));
        }
    }

    int play_all() {
        const auto answer = [this](worker& self, const ingress_exchange_pointer& exchange) {
            serve(self, exchange);
        };
        for (int at = 1; at <= workers_in_first_region; ++at) {
            site.add_worker("i-tengah-" + std::to_string(at), "app", at <= 3 ? "smg-a" : "smg-b", 6,
                            answer);
        }
        leaving = &site.add_worker("i-timur-1", "app", "sby-a", 6, answer);
        site.configure(configuration);
        if (!site.start_front("front-smg-a-1", "smg-a") ||
            !site.start_front("front-sby-a-1", "sby-a")) {
            notes.add("could not run: a gateway is not ready");
            return could_not_run;
        }
        std::vector<client> clients(6);
        for (std::size_t at = 0; at < clients.size(); ++at) {
            clients[at].key = at < 4 ? "key-timur" : "key-any";
        }
        pass(clients, 3000);
        if (statuses["key-timur"][200] == 0 || statuses["key-any"][200] == 0) {
            notes.add("could not run: requests are not served");
            return could_not_run;
        }
        if (with_trouble()) {
            site.take_off_list(*leaving);
            gone_ms = notes.elapsed_ms();
            notes.add("the store took the leaving of worker i-timur-1: its entry is gone");
        }
        pass(clients, drain_ms + linger_ms);
        if (with_trouble()) {
            ended_ms = notes.elapsed_ms();
            leaving->stop();
            notes.add("worker i-timur-1 ends");
        }
        pass(clients, 3000);
        for (const auto& [key, by_status] : statuses) {
            for (const auto& [status, count] : by_status) {
                notes.add(key + ": " + std::to_string(count) + " requests ended with " +
                          std::to_string(status));
            }
        }
        notes.add(std::to_string(late) + " requests reached the worker later than drainMs + " +
                  std::to_string(slack_ms) + " ms after the store took its leaving, the last " +
                  std::to_string(latest_ms) + " ms after; " + std::to_string(begun_and_lost) +
                  " requests had begun there and are lost");
        notes.add(late > 0 ? "DRAIN is broken" : "DRAIN holds");
        return late > 0 ? rule_broken : rule_held;
    }
};

}  // namespace

int main(int, char** arguments) {
    return play(arguments[1]).play_all();
}
