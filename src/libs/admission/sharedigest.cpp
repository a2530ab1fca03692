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
    archive(digest.routersHash, digest.dataCentresHash, digest.version, digest.author, dataCentre,
            flags, digest.demand);
    digest.dataCentre = dataCentre;
    digest.representative = (flags & representativeFlag) != 0;
    if (digest.representative)
        archive(digest.dataCentreDemand, digest.level, digest.extra);
}

template<typename Archive>
void serializeTransfers(Archive &archive, std::vector<TransferTotal> &transfers,
                        auto serializeTransfer)
{
    auto count = static_cast<std::uint8_t>(transfers.size());
    archive(count);
    if (count > maxTransferTotals)
        throw cereal::Exception("too many transfers");
    transfers.resize(count);
    for (TransferTotal &transfer : transfers)
        serializeTransfer(transfer);
}

template<typename Archive>
void serializeDigest(Archive &archive, ShareDigest &digest)
{
    serializeHeader(archive, digest);
    serializeTransfers(archive, digest.routerTransfers, [&](TransferTotal &transfer) {
        transfer.from = digest.author;
        archive(transfer.to, transfer.units);
    });
    serializeTransfers(archive, digest.dataCentreTransfers, [&](TransferTotal &transfer) {
        auto from = static_cast<std::uint8_t>(transfer.from);
        auto to = static_cast<std::uint8_t>(transfer.to);
        archive(from, to, transfer.units);
        transfer.from = from;
        transfer.to = to;
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
