#pragma once

#include "errors/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Admission {

/// One count of a ShareLedger on its way to peers.
struct ShareCell
{
    std::uint16_t from = 0;
    std::uint16_t to = 0;
    std::uint32_t transferred = 0;

    bool operator==(const ShareCell &) const = default;
};

/// What one router says about one workspace. Fits into maxShareDigestBytes; cells that do not fit
/// go with later digests.
struct ShareDigest
{
    std::uint32_t routers = 0; ///< Hash of the data centre's routers that `author` counts among.
    std::uint32_t dataCentres = 0; ///< Hash of the fleet's data centres.
    std::uint32_t version = 0; ///< Goes up with each digest of the author.
    std::uint16_t author = 0; ///< Place among the data centre's routers.
    std::uint16_t dataCentre = 0; ///< Place of the author's data centre.
    std::uint32_t demand = 0; ///< The author's, in 1/10,000 of the fleet's limit.
    bool representative = false; ///< Whether the author speaks for its data centre.
    std::uint32_t dataCentreDemand = 0; ///< Set by a representative; same unit as `demand`.
    std::uint16_t level = 0; ///< Set by a representative: FairDivision of its data centre's
    std::uint16_t extra = 0; ///< part, in 1/10,000 of that part.
    std::vector<ShareCell> routerCells; ///< All from `author`.
    std::vector<ShareCell> dataCentreCells;

    bool operator==(const ShareDigest &) const = default;
};

constexpr std::size_t maxShareDigestBytes = 96;
/// Cells, of both kinds, that fit into one digest.
constexpr std::size_t maxShareCells = 10;

std::string encode(const ShareDigest &digest);
Errors::Result<ShareDigest> decodeShareDigest(std::string_view bytes);

} // namespace Lagoonbank::Admission
