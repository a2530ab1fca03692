#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Routing {

/// Hash of a name; the same on every machine and in every version.
std::uint64_t stableHash(std::string_view text);

/// Hash of a chat; the same chat name in two workspaces gives two chats.
std::uint64_t chatHash(const Base::WorkspaceId &workspace, const Base::ChatId &chat);

/// Name of a chat in requests to engines: its hash as 16 hexadecimal digits. It separates chats of
/// different workspaces, and maps cache events of the engines back to the hash.
std::string chatName(std::uint64_t chatHash);
std::optional<std::uint64_t> chatHashFromName(std::string_view name);

/// Combines the hashes of a chat and an endpoint; all output bits depend on all input bits.
constexpr std::uint64_t mixHashes(std::uint64_t chat, std::uint64_t endpoint)
{
    constexpr std::uint64_t firstMultiplier = 0xbf58476d1ce4e5b9ULL;
    constexpr std::uint64_t secondMultiplier = 0x94d049bb133111ebULL;
    std::uint64_t x = chat ^ endpoint;
    x = (x ^ (x >> 30)) * firstMultiplier;
    x = (x ^ (x >> 27)) * secondMultiplier;
    return x ^ (x >> 31);
}

/// Weighted rendezvous order: an endpoint's cost for a chat is an exponential variate with rate
/// `weight`, derived from both hashes. A chat's order of endpoints is by ascending cost; the first
/// is its home endpoint. An endpoint is the home of a share of the chats in proportion to its
/// weight; a change of one endpoint only moves chats to or from it.
class RendezvousCost
{
public:
    explicit RendezvousCost(std::uint64_t chatHash)
        : m_chat(chatHash)
    { }

    double cost(std::uint64_t endpointHash, double weight) const;

    /// Returns whether the endpoint's cost is below `best`, and if so stores it there. Computes the
    /// logarithm only if the lower bound 1 - u <= -ln u does not decide.
    bool improves(std::uint64_t endpointHash, double weight, double *best) const;

private:
    double uniform(std::uint64_t endpointHash) const;

    std::uint64_t m_chat;
};

} // namespace Lagoonbank::Routing
