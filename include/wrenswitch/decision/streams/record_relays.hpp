#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace wrenswitch {

/// A relay that can hold records of streams.
struct record_relay {
    std::string endpoint;
    std::string failure_domain;

    friend bool operator==(const record_relay&, const record_relay&) = default;
};

/// Which relays hold the record of a stream. Relays run beside targets, so their records outlast
/// the loss of all entries. As with stream_holders, a few relays of each failure domain hold the
/// records of all entries of a region, and all entries that know the same relays choose the same
/// ones.
class record_relays {
public:
    /// The number of relays that hold a record, in different failure domains if there are several.
    static constexpr std::size_t copies = 2;

    /// The number of relays that are asked about a stream. More than hold it, since the relays may
    /// have changed meanwhile.
    static constexpr std::size_t candidates_per_stream = 4;

    /// The number of relays of one failure domain that hold records.
    static constexpr std::size_t relays_per_domain = 4;

    /// Selects the relays that hold records among those of this region. Returns true if they have
    /// changed.
    bool select(std::vector<record_relay> relays);

    /// The relays that get the record of a stream that the request begins.
    std::vector<std::string> recipients(std::string_view request) const;

    /// The relays that are asked about a stream, the most likely holders first.
    std::vector<std::string> candidates(std::string_view request) const;

    /// All relays that hold records.
    const std::vector<record_relay>& selected() const { return selected_; }

    bool contains(std::string_view endpoint) const;

private:
    std::vector<const record_relay*> ranked(std::string_view request) const;

    std::vector<record_relay> selected_;
};

}  // namespace wrenswitch
