#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace Lagoonbank::Routing {

/// Hash of a name that is the same on every machine and in every version.
std::uint64_t stableHash(std::string_view text);

/// Hash of a chat; the same chat name in two workspaces gives two chats.
std::uint64_t chatHash(const Base::WorkspaceId &workspace, const Base::ChatId &chat);

/// The name under which engines know a chat, 16 hexadecimal digits, so that their cache events
/// lead back to its hash and workspaces stay apart.
std::string chatName(std::uint64_t chatHash);
std::optional<std::uint64_t> chatHashFromName(std::string_view name);

/// Joins the hash of a chat with that of an endpoint; all output bits depend on all input bits.
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
/// `weight`, drawn from both hashes. The order of a chat is by rising cost. An endpoint comes
/// first for a share of chats in proportion to its weight; a change of one endpoint moves only
/// chats to or from it.
class RendezvousCost
{
public:
    explicit RendezvousCost(std::uint64_t chatHash)
        : m_chat(chatHash)
    { }

    double cost(std::uint64_t endpointHash, double weight) const;

    /// Whether the endpoint's cost is under `best`, and if so writes it there. The logarithm is
    /// taken only where the simple lower bound 1 - u <= -ln u leaves it open.
    bool improves(std::uint64_t endpointHash, double weight, double *best) const;

private:
    double uniform(std::uint64_t endpointHash) const;

    std::uint64_t m_chat;
};

} // namespace Lagoonbank::Routing
