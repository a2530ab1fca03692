#pragma once

#include "errors/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Admission {

/// One cell of a ShareLedger as sent to peers: the units that participant `from` has ever
/// transferred to participant `to`.
struct ShareCell
{
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    std::uint32_t transferred = 0;

    bool operator==(const ShareCell &) const = default;
};

/// Gossip message of one router about one workspace. Encodes to at most maxShareDigestBytes; cells
/// that do not fit are sent in later digests.
struct ShareDigest
{
    std::uint32_t routers = 0; ///< Hash of the router list in which `author` is an index.
    std::uint32_t dataCentres = 0; ///< Hash of the fleet's data centres.
    std::uint32_t version = 0; ///< Increases with each digest of the author.
    std::uint16_t author = 0; ///< Index of the sender among its data centre's routers.
    std::uint16_t dataCentre = 0; ///< Index of the author's data centre.
    std::uint32_t demand = 0; ///< Demand of the author, in 1/10,000 of the fleet-wide limit.
    bool representative = false; ///< Whether the author represents its data centre.
    /// Set by a representative: demand of all routers of its data centre, in the unit of `demand`.
    std::uint32_t dataCentreDemand = 0;
    /// Set by a representative: FairDivision of the share of its data centre, in 1/10,000 of that
    /// share.
    std::uint16_t level = 0;
    std::uint16_t extra = 0;
    std::vector<ShareCell> routerCells; ///< Transfers by `author` to other routers.
    std::vector<ShareCell> dataCentreCells; ///< Transfers between data centres.

    bool operator==(const ShareDigest &) const = default;
};

constexpr std::size_t maxShareDigestBytes = 96;
/// Maximum number of cells in one digest, router and data centre cells together.
constexpr std::size_t maxShareCells = 10;

std::string encode(const ShareDigest &digest);
Errors::Result<ShareDigest> decodeShareDigest(std::string_view bytes);

} // namespace Lagoonbank::Admission
