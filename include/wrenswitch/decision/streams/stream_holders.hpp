#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "wrenswitch/decision/grants/token_allocator_selector.hpp"

namespace wrenswitch {

/// Where the records of streams are kept: in the region of the entry that began the stream, at one
/// other entry of its failure domain and at one of another domain. The first is still there if the
/// domain is cut off from the others, the second if the domain is lost. All entries that know the
/// same members choose the same holders, so no directory of records is needed.
///
/// A few entries of each failure domain keep the records of all, so that an entry needs connections
/// to a few others only, however large the fleet is.
class stream_holders {
public:
    /// The number of other entries that hold a record, beside the one that began the stream.
    static constexpr std::size_t copies = 2;

    /// The number of entries of one failure domain that keep records.
    static constexpr std::size_t keepers_per_domain = 4;

    /// `region` is empty if the regions of the members are unknown.
    stream_holders(const token_allocator_selector& members, std::string failure_domain,
                   std::string region);

    /// The entries to which this one sends the record of a stream that the request begins.
    std::vector<cluster_member> recipients(std::string_view request) const;

    /// The entries that this one asks about a stream, at most five of a region: those that hold it
    /// if it began in this failure domain, and those that hold it if it began in another one.
    std::vector<cluster_member> candidates(std::string_view request) const;

    /// All entries of this region to which records may be sent.
    std::vector<cluster_member> keepers() const;

private:
    using member_filter = std::function<bool(const cluster_member&)>;

    const std::vector<cluster_member>& all_keepers() const;
    std::vector<cluster_member> ranked(std::string_view request, std::size_t count,
                                       const member_filter& admits) const;
    std::vector<cluster_member> ranked_in_domain(std::string_view request, std::size_t count) const;
    std::vector<cluster_member> spread_over_domains(std::string_view request,
                                                    std::string_view region) const;
    void add_missing(std::vector<cluster_member>& to, std::vector<cluster_member> from) const;

    const token_allocator_selector& members_;
    std::string failure_domain_;
    std::string region_;
    /// The keepers of all failure domains, selected anew when the members have changed.
    mutable std::vector<cluster_member> keepers_;
    mutable std::optional<std::uint64_t> keepers_version_;
};

}  // namespace wrenswitch
