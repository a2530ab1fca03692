#include "admission/sharedigest.h"

#include <cereal/archives/portable_binary.hpp>

#include <sstream>

namespace Lagoonbank::Admission {

using Errors::ErrorKind;

namespace {

constexpr std::uint8_t representativeFlag = 1;

template<typename Archive>
void serializeHeader(Archive &archive, ShareDigest &digest)
{
    auto flags = static_cast<std::uint8_t>(digest.representative ? representativeFlag : 0);
    auto dataCentre = static_cast<std::uint8_t>(digest.dataCentre);
    archive(digest.routers, digest.dataCentres, digest.version, digest.author, dataCentre, flags,
            digest.demand);
    digest.dataCentre = dataCentre;
    digest.representative = (flags & representativeFlag) != 0;
    if (digest.representative)
        archive(digest.dataCentreDemand, digest.level, digest.extra);
}

template<typename Archive>
void serializeCells(Archive &archive, std::vector<ShareCell> &cells, auto serializeCell)
{
    auto count = static_cast<std::uint8_t>(cells.size());
    archive(count);
    if (count > maxShareCells)
        throw cereal::Exception("too many cells");
    cells.resize(count);
    for (ShareCell &cell : cells)
        serializeCell(cell);
}

template<typename Archive>
void serializeDigest(Archive &archive, ShareDigest &digest)
{
    serializeHeader(archive, digest);
    serializeCells(archive, digest.routerCells, [&](ShareCell &cell) {
        cell.from = digest.author;
        archive(cell.to, cell.transferred);
    });
    serializeCells(archive, digest.dataCentreCells, [&](ShareCell &cell) {
        auto from = static_cast<std::uint8_t>(cell.from);
        auto to = static_cast<std::uint8_t>(cell.to);
        archive(from, to, cell.transferred);
        cell.from = from;
        cell.to = to;
    });
}

} // namespace

std::string encode(const ShareDigest &digest)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        ShareDigest copy = digest;
        serializeDigest(archive, copy);
    }
    return std::move(stream).str();
}

Errors::Result<ShareDigest> decodeShareDigest(std::string_view bytes)
{
    try {
        std::istringstream stream{std::string(bytes)};
        cereal::PortableBinaryInputArchive archive(stream);
        ShareDigest digest;
        serializeDigest(archive, digest);
        return digest;
    } catch (const cereal::Exception &) {
        return Errors::makeError(ErrorKind::BadMessage, "The share digest cannot be read.");
    }
}

} // namespace Lagoonbank::Admission
