#include "routing/rendezvous.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <charconv>
#include <cmath>
#include <system_error>

namespace Lagoonbank::Routing {

namespace {

constexpr std::size_t hexDigits = 16;

} // namespace

std::uint64_t stableHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t chatHash(const Base::WorkspaceId &workspace, const Base::ChatId &chat)
{
    const std::string &name = chat.value();
    return XXH3_64bits_withSeed(name.data(), name.size(), stableHash(workspace.value()));
}

std::string chatName(std::uint64_t chatHash)
{
    std::string name(hexDigits, '0');
    for (std::size_t i = hexDigits; i-- > 0; chatHash >>= 4)
        name[i] = "0123456789abcdef"[chatHash & 15];
    return name;
}

std::optional<std::uint64_t> chatHashFromName(std::string_view name)
{
    std::uint64_t hash = 0;
    const char *end = name.data() + name.size();
    const auto [stop, error] = std::from_chars(name.data(), end, hash, 16);
    if (name.size() != hexDigits || error != std::errc() || stop != end)
        return std::nullopt;
    return hash;
}

double RendezvousCost::uniform(std::uint64_t endpointHash) const
{
    // 53 random bits, scaled to (0, 1].
    constexpr int droppedBits = 11;
    constexpr double scale = 1.0 / 9007199254740992.0;
    return (static_cast<double>(mixHashes(m_chat, endpointHash) >> droppedBits) + 1.0) * scale;
}

double RendezvousCost::cost(std::uint64_t endpointHash, double weight) const
{
    return -std::log(uniform(endpointHash)) / weight;
}

bool RendezvousCost::improves(std::uint64_t endpointHash, double weight, double *best) const
{
    const double u = uniform(endpointHash);
    const double limit = *best * weight;
    if (1.0 - u >= limit)
        return false;
    const double cost = -std::log(u);
    if (cost >= limit)
        return false;
    *best = cost / weight;
    return true;
}

} // namespace Lagoonbank::Routing
