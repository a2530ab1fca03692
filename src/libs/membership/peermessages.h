#pragma once

#include <cereal/cereal.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Lagoonbank::Membership {

/// Most bytes of an id or a name in a peer message.
constexpr std::size_t maxNameBytes = 64;
/// Most bytes of one workspace's digest.
constexpr std::size_t maxDemandBytes = 96;
/// Most entries of one section; what is over waits for the next datagram or pull.
constexpr std::size_t maxSectionEntries = 4096;

/// What a datagram is for.
enum class MessageType : std::uint8_t {
    Ping = 1, ///< Asks for an Ack.
    Ack = 2, ///< Answers the Ping with the same probe number.
    PingRequest = 3, ///< Asks the receiver to ping `target` and to pass its Ack on.
    Gossip = 4, ///< Carries sections only; not answered.
    Outdated = 5 ///< Tells a sender that a higher incarnation of its id is known.
};

enum class MemberRole : std::uint8_t { Router = 0, Controller = 1 };

/// In rising order: at one incarnation the later one wins.
enum class MemberStatus : std::uint8_t { Alive = 0, Suspect = 1, Dead = 2, Left = 3 };

namespace Internal {

/// Text with a length of one byte, checked before anything is allocated.
template<std::size_t Max, typename Archive>
void serializeText(Archive &archive, std::string &text)
{
    static_assert(Max <= 255);
    if (text.size() > Max)
        throw cereal::Exception("text too long");
    auto size = static_cast<std::uint8_t>(text.size());
    archive(size);
    if (size > Max)
        throw cereal::Exception("text too long");
    text.resize(size);
    archive(cereal::binary_data(text.data(), size));
}

/// A section with a count of two bytes; elements are read one by one, so that a hostile count can
/// claim no more memory than bytes were sent.
template<typename Archive, typename T>
void serializeSection(Archive &archive, std::vector<T> &section)
{
    if (section.size() > maxSectionEntries)
        throw cereal::Exception("section too long");
    auto count = static_cast<std::uint16_t>(section.size());
    archive(count);
    if (count > maxSectionEntries)
        throw cereal::Exception("section too long");
    if constexpr (Archive::is_loading::value) {
        section.clear();
        for (std::uint16_t i = 0; i < count; ++i)
            archive(section.emplace_back());
    } else {
        for (T &entry : section)
            archive(entry);
    }
}

template<typename Archive, typename Enum>
void serializeEnum(Archive &archive, Enum &value, Enum first, Enum last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number < static_cast<std::uint8_t>(first) || number > static_cast<std::uint8_t>(last))
        throw cereal::Exception("value out of range");
    value = static_cast<Enum>(number);
}

} // namespace Internal

/// How far a process has applied the configuration stream.
struct ConfigurationMark
{
    std::uint64_t offset = 0; ///< Offset after the last record applied; 0 if none.
    std::uint64_t hash = 0; ///< Hash of the reduced state.

    bool operator==(const ConfigurationMark &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(offset, hash);
    }
};

/// One process of the fleet as some member knows it.
struct MemberUpdate
{
    std::string id; ///< Unique in the fleet, e.g. "vm-3/router".
    MemberRole role = MemberRole::Router;
    MemberStatus status = MemberStatus::Alive;
    std::string dataCentre;
    std::string region;
    std::uint32_t ip = 0; ///< IPv4, host order.
    std::uint16_t port = 0;
    std::uint64_t incarnation = 0;

    bool operator==(const MemberUpdate &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeText<maxNameBytes>(archive, id);
        Internal::serializeEnum(archive, role, MemberRole::Router, MemberRole::Controller);
        Internal::serializeEnum(archive, status, MemberStatus::Alive, MemberStatus::Left);
        Internal::serializeText<maxNameBytes>(archive, dataCentre);
        Internal::serializeText<maxNameBytes>(archive, region);
        archive(ip, port, incarnation);
    }
};

/// An endpoint that takes no new work any more, up to this incarnation of it.
struct LeavingEndpoint
{
    std::string endpoint;
    std::uint64_t incarnation = 0;
    std::uint16_t ageSeconds = 0; ///< Since it was first said, so that it is forgotten everywhere.

    bool operator==(const LeavingEndpoint &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeText<maxNameBytes>(archive, endpoint);
        archive(incarnation, ageSeconds);
    }
};

/// How long ago the sender's data centre last had an answer from another one.
struct DataCentreContact
{
    std::uint32_t dataCentre = 0; ///< nameKey() of the data centre.
    std::uint16_t ageMs = 0;

    bool operator==(const DataCentreContact &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(dataCentre, ageMs);
    }
};

/// The freshest load report of one endpoint that the sender knows.
struct LoadReport
{
    std::uint32_t endpoint = 0; ///< nameKey() of the endpoint.
    std::uint32_t work = 0; ///< Units of work as sampled.
    std::uint16_t ageMs = 0; ///< Age of the sample when the datagram left.
    std::uint32_t sentSince = 0; ///< Units of work that the sender itself sent after the sample.

    bool operator==(const LoadReport &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(endpoint, work, ageMs, sentSince);
    }
};

/// What one router says of one workspace near its limit; admission alone knows the contents.
struct DemandDigest
{
    std::uint32_t origin = 0; ///< nameKey() of the router that wrote it.
    std::uint32_t version = 0; ///< Goes up with every digest of that router.
    std::uint16_t ageMs = 0;
    std::string workspace;
    std::string bytes;

    bool operator==(const DemandDigest &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        archive(origin, version, ageMs);
        Internal::serializeText<maxNameBytes>(archive, workspace);
        Internal::serializeText<maxDemandBytes>(archive, bytes);
    }
};

/// The body of every datagram between members; empty sections cost two bytes.
struct PeerMessage
{
    MessageType type = MessageType::Gossip;
    std::uint32_t probe = 0; ///< Pairs Ping, Ack and PingRequest.
    std::string target; ///< Ping: who is meant. PingRequest: who is to be pinged.
    std::uint32_t ownHash = 0; ///< Of the member table of the sender's data centre.
    std::uint32_t fleetHash = 0; ///< Of the sender's whole member table.
    std::uint64_t knownIncarnation = 0; ///< Outdated: the incarnation that the sender knows.
    ConfigurationMark configuration;
    std::vector<LeavingEndpoint> leaving;
    std::vector<MemberUpdate> members;
    std::vector<DataCentreContact> contacts;
    std::vector<LoadReport> loads;
    std::vector<DemandDigest> demands;

    bool operator==(const PeerMessage &) const = default;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeEnum(archive, type, MessageType::Ping, MessageType::Outdated);
        archive(probe);
        Internal::serializeText<maxNameBytes>(archive, target);
        archive(ownHash, fleetHash, knownIncarnation, configuration);
        Internal::serializeSection(archive, leaving);
        Internal::serializeSection(archive, members);
        Internal::serializeSection(archive, contacts);
        Internal::serializeSection(archive, loads);
        Internal::serializeSection(archive, demands);
    }
};

/// Hash of one data centre's members, so that a pull fetches only what differs.
struct TableHash
{
    std::string dataCentre;
    std::uint32_t hash = 0;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeText<maxNameBytes>(archive, dataCentre);
        archive(hash);
    }
};

/// Asks a peer, over TCP, for what it knows beyond these hashes.
struct StateRequest
{
    std::vector<TableHash> tables;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeSection(archive, tables);
    }
};

/// The answer to a StateRequest.
struct StateAnswer
{
    std::vector<MemberUpdate> members;
    std::vector<LeavingEndpoint> leaving;

    template<typename Archive>
    void serialize(Archive &archive)
    {
        Internal::serializeSection(archive, members);
        Internal::serializeSection(archive, leaving);
    }
};

} // namespace Lagoonbank::Membership
