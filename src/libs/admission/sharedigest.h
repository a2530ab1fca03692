#pragma once

#include "errors/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Admission {

/// Total of all transfers from one participant of a ShareLedger (router or data centre) to another,
/// as sent to peers.
struct TransferTotal
{
    std::uint16_t from = 0; ///< Index of the sending participant.
    std::uint16_t to = 0; ///< Index of the receiving participant.
    std::uint32_t units = 0; ///< Never decreases.

    bool operator==(const TransferTotal &) const = default;
};

/// Gossip message of one router about one workspace. Encodes to at most maxShareDigestBytes;
/// transfer totals that do not fit are sent in later digests.
struct ShareDigest
{
    std::uint32_t routersHash = 0; ///< Hash of the router list in which `author` is an index.
    std::uint32_t dataCentresHash = 0; ///< Hash of the fleet's data centres.
    std::uint32_t version = 0; ///< Increases with each digest of the author.
    std::uint16_t author = 0; ///< Index of the sender among its data centre's routers.
    std::uint16_t dataCentre = 0; ///< Index of the author's data centre.
    std::uint32_t demand = 0; ///< Demand of the author, in 1/10,000 of the fleet-wide limit.
    /// Whether the author exchanges shares with other data centres on behalf of its own.
    bool representative = false;
    /// Set by a representative: demand of all routers of its data centre, in the unit of `demand`.
    std::uint32_t dataCentreDemand = 0;
    /// Set by a representative: how it divides the share of its data centre among the routers, as
    /// in FairDivision: each gets its demand up to `level`, plus `extra`. In 1/10,000 of that
    /// share.
    std::uint16_t level = 0;
    std::uint16_t extra = 0;
    std::vector<TransferTotal> routerTransfers; ///< Transfers by `author` to other routers.
    std::vector<TransferTotal> dataCentreTransfers; ///< Transfers between data centres.

    bool operator==(const ShareDigest &) const = default;
};

constexpr std::size_t maxShareDigestBytes = 96;
/// Maximum number of transfer totals in one digest, of routers and data centres together.
constexpr std::size_t maxTransferTotals = 10;

std::string encode(const ShareDigest &digest);
Errors::Result<ShareDigest> decodeShareDigest(std::string_view bytes);

} // namespace Lagoonbank::Admission
