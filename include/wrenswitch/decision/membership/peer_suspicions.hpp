#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch {

/// The peers that let a query time out and are therefore not queried for a while. Tells a peer that
/// is slow from one that is lost: both are skipped, but only the lost one has still not answered at
/// the end of that time.
class peer_suspicions {
public:
    /// Identifies one suspicion of one peer.
    using suspicion_id = std::uint64_t;

    /// Begins to suspect a peer. Empty if it is suspected already.
    std::optional<suspicion_id> begin(std::string_view host);

    /// The peer answered in time, or a new process has taken its place: it is suspected no longer.
    void clear(std::string_view host);

    /// The peer answered too late. It stays suspected, so that a peer that is slow for long doesn't
    /// delay each request, but it is not lost.
    void record_late_answer(std::string_view host);

    /// Ends a suspicion. Returns true if the peer has sent no answer since it began. Does nothing
    /// if the suspicion has ended; a later one of the same peer goes on.
    bool end(std::string_view host, suspicion_id id);

    bool is_suspected(std::string_view host) const { return suspicions_.contains(host); }

    /// Adds the suspected peers, in the order of their names.
    void add_suspected(std::vector<std::string>& hosts) const;

private:
    struct suspicion {
        suspicion_id id = 0;
        bool has_answered = false;
    };

    std::map<std::string, suspicion, std::less<>> suspicions_;
    suspicion_id last_id_ = 0;
};

}  // namespace wrenswitch
