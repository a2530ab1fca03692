#pragma once

#include "errors/result.h"
#include "membership/peermessages.h"

#include <absl/container/flat_hash_map.h>

#include <array>
#include <bitset>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Lagoonbank::Membership {

/// Maximum size of a datagram that a member sends or accepts, without IP and UDP headers.
constexpr std::size_t maxDatagramBytes = 1200;
/// Maximum size of a sealed body over TCP.
constexpr std::size_t maxPullBytes = 4 * 1024 * 1024;
/// Size of the IPv4 and UDP headers, which count towards the budget.
constexpr std::size_t datagramOverheadBytes = 28;

/// Why a datagram was dropped.
enum class DropReason : std::uint8_t {
    Truncated,
    Oversized,
    WrongMagic,
    WrongVersion,
    WrongKey,
    Replayed,
    OldIncarnation,
    BadBody,
    OwnMessage
};
constexpr std::size_t dropReasonCount = 9;
std::string_view toString(DropReason reason);

/// The process that sealed a message, with the incarnation and sequence number of the message.
struct Sender
{
    std::string id;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;

    bool operator==(const Sender &) const = default;
};

/// A message whose seal was verified.
struct OpenedMessage
{
    Sender sender;
    std::string_view body; ///< Points into the datagram that was opened.
};

/// Hash that stands for the name of an endpoint, data centre or router in digests.
std::uint32_t nameKey(std::string_view name);

/// Encode and decode message bodies in cereal's portable binary format; BadMessage if a bound of
/// the schema is exceeded.
Errors::Result<std::string> encodeMessage(const PeerMessage &message);
Errors::Result<PeerMessage> decodeMessage(std::string_view body);
Errors::Result<std::string> encodeStateRequest(const StateRequest &request);
Errors::Result<StateRequest> decodeStateRequest(std::string_view body);
Errors::Result<std::string> encodeStateAnswer(const StateAnswer &answer);
Errors::Result<StateAnswer> decodeStateAnswer(std::string_view body);

/// Size of an entry in an encoded body, in bytes.
std::size_t encodedSize(const MemberUpdate &update);
std::size_t encodedSize(const LeavingEndpoint &leaving);
std::size_t encodedSize(const DataCentreContact &contact);
std::size_t encodedSize(const LoadReport &report);
std::size_t encodedSize(const DemandDigest &digest);
/// Size of the whole encoded body, in bytes.
std::size_t encodedSize(const PeerMessage &message);
/// Bytes that sealing adds to a body from a sender with this id.
std::size_t sealSize(std::string_view senderId);

/// Accepts each sequence number of a sender's incarnation once; numbers older than the window count
/// as replayed. Does not depend on clocks.
class ReplayWindow
{
public:
    /// Returns whether \a sequence is neither too old nor accepted already, and marks it as
    /// accepted.
    bool accept(std::uint64_t sequence);

private:
    static constexpr std::size_t windowSize = 1024;
    std::uint64_t m_highestSequence = 0;
    std::bitset<windowSize> m_seenSequences; ///< Bit i: m_highestSequence - i was accepted.
};

/// Seals and opens messages between members. A sealed message consists of magic, version, sender,
/// incarnation, sequence number and body, followed by the HMAC-SHA256 of all of them, truncated to
/// 16 bytes.
class PeerCodec
{
public:
    struct Options
    {
        std::string id; ///< Id of this process.
        std::uint64_t incarnation = 0;
        /// HMAC keys of the fleet: one, or two while keys are rotated. Messages are sealed with the
        /// first one; a message sealed with any of them is accepted.
        std::vector<std::string> keys;
    };

    explicit PeerCodec(Options options);

    /// Returns BadSettings unless there are one or two keys of 16 bytes or more.
    static Errors::Result<void> checkKeys(const std::vector<std::string> &keys);

    void setIncarnation(std::uint64_t incarnation) { m_options.incarnation = incarnation; }
    void setKeys(std::vector<std::string> keys) { m_options.keys = std::move(keys); }

    std::string seal(std::string_view body);
    /// Checks size, magic, version, seal and replay window of a datagram, in this order; nothing is
    /// allocated for a message before its seal is verified. Counts the reason if the message is
    /// dropped; with OldIncarnation, sets \a outdated to the sender.
    std::optional<OpenedMessage> open(std::string_view datagram,
                                      std::optional<Sender> *outdated = nullptr);
    /// Like open() for a body over TCP, without the replay window: the caller checks that an answer
    /// belongs to its request.
    std::optional<OpenedMessage> openPulled(std::string_view sealed);
    void countDrop(DropReason reason) { ++m_drops[static_cast<std::size_t>(reason)]; }

    std::uint64_t drops(DropReason reason) const
    {
        return m_drops.at(static_cast<std::size_t>(reason));
    }
    /// The highest incarnation in the datagrams received from \a id, or 0 if there were none.
    /// Datagrams of lower incarnations are dropped.
    std::uint64_t seenIncarnation(const std::string &id) const;
    /// Removes the replay window of a member that does not come back.
    void forget(const std::string &id) { m_replayWindows.erase(id); }

private:
    struct Window
    {
        std::uint64_t incarnation = 0;
        ReplayWindow window;
    };
    using Mac = std::array<unsigned char, 16>;

    static Mac mac(std::string_view key, std::string_view data);
    bool hasValidSeal(std::string_view data, std::string_view seal) const;
    std::optional<OpenedMessage> openSealed(std::string_view sealed, std::size_t maxBytes);

    Options m_options;
    std::uint64_t m_sequence = 0;
    absl::flat_hash_map<std::string, Window> m_replayWindows; ///< By id of the sender.
    std::array<std::uint64_t, dropReasonCount> m_drops{};
};

} // namespace Lagoonbank::Membership
